"""An operator's file: the model of all of it, its checks, and the installation that a good one
describes."""

from __future__ import annotations

import os
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from functools import cache
from importlib.util import find_spec
from pathlib import Path as FilePath
from typing import Any

from pydantic import Field, ValidationError, create_model

from badgercart.app import document
from badgercart.app.base import Base, check, config_of
from badgercart.app.component import (
    Checked,
    ComponentDeclaration,
    ComponentKind,
    OrderError,
    start_order,
)
from badgercart.app.faults import FileError, Path, below, many, of_model, problem
from badgercart.app.locate import lines_of
from badgercart.app.model import Table
from badgercart.app.registry import declarations
from badgercart.config import Config

GROUPS = {"fronts": "who may ask", "members": "where the server list comes from: one of these"}


@dataclass(slots=True, frozen=True)
class Installation:
    """What an operator's file switches on."""

    config: Config
    parts: dict[str, Any]  # settings of the parts that are on, by name
    folder: str = "."  # the file's: what it names relative to itself
    base: Base | None = None  # the tables behind the configuration; None where there was no file
    known: tuple[ComponentDeclaration, ...] = field(default_factory=declarations)

    def declared(self) -> list[ComponentDeclaration]:
        """Those that are on."""
        return [part for part in self.known if part.name in self.parts]


@cache
def root_model(known: tuple[ComponentDeclaration, ...]) -> type[Base]:
    """The model of a whole file: the tables that are always there, and those of the parts."""
    groups: dict[str, dict[str, Any]] = {}
    fields: dict[str, Any] = {}
    for part in known:
        default: Any = () if many(part.settings) else None
        setting = part.settings if many(part.settings) else part.settings | None
        told = (setting, Field(default, description=part.about))
        if len(part.key) == 1:
            fields[part.key[0]] = told
        else:
            groups.setdefault(part.key[0], {})[part.key[1]] = told
    for name, inner in groups.items():
        model = create_model(name.title(), __base__=Table, __doc__=GROUPS.get(name, name), **inner)
        fields[name] = (model, Field(model(), description=GROUPS.get(name)))
    root: type[Base] = create_model("File", __base__=Base, __doc__="an operator's file", **fields)
    return root


def settings_at(root: Base, part: ComponentDeclaration) -> Any:
    """What a file says of a part; None where it is switched off."""
    value: Any = root
    for key in part.key:
        value = getattr(value, key)
    return value if value != () else None


def load(
    path: str,
    environ: Mapping[str, str] | None = None,
    known: tuple[ComponentDeclaration, ...] | None = None,
) -> Installation:
    """Read and check a file. FileError names all that is wrong with it."""
    return describe(document.read(path, os.environ if environ is None else environ), known)[0]


def describe(
    read: document.Document, known: tuple[ComponentDeclaration, ...] | None = None
) -> tuple[Installation, Base]:
    """The installation and the model behind it. FileError names all that is wrong."""
    known = declarations() if known is None else known
    model = root_model(known)
    found: list[tuple[Path, str]]
    try:
        root = model.model_validate(read.raw)
    except ValidationError as error:
        raise _error(read, list(of_model(error, model))) from None
    on = {part.name: value for part in known if (value := settings_at(root, part)) is not None}
    folder = str(FilePath(read.path).parent)
    found = [*check(root), *_whole(known, on), *_missing(known, on)]
    if not found:
        file = Checked(root, folder, on)
        for part in known:
            if part.name in on:
                found += [
                    (part.key + place, words) for place, words in part.check(on[part.name], file)
                ]
    if found:
        raise _error(read, found)
    return Installation(config_of(root), on, folder, root, known), root


def _error(read: document.Document, found: list[tuple[Path, str]]) -> FileError:
    lines = lines_of(read.text)
    return FileError(
        read.path, [problem(place, words, lines, read.origins) for place, words in found]
    )


def _whole(
    known: tuple[ComponentDeclaration, ...], on: Mapping[str, Any]
) -> Iterator[tuple[Path, str]]:
    """Whether the parts that are on make an installation."""
    kinds = {kind: [part for part in known if part.kind is kind] for kind in ComponentKind}
    if not any(part.name in on for part in kinds[ComponentKind.FRONTEND]):
        names = ", ".join(part.key[-1] for part in kinds[ComponentKind.FRONTEND])
        yield ("fronts",), f"nobody may ask: switch on one of {names}"
    sources = [part for part in kinds[ComponentKind.DISCOVERY] if part.name in on]
    if len(sources) != 1:
        words = ", ".join(_worded(part) for part in kinds[ComponentKind.DISCOVERY])
        yield ("members",), f"the server list comes from one of {words}, not {len(sources)}"
    try:
        start_order(part for part in known if part.name in on)
    except OrderError as error:
        yield (), str(error)


def _worded(part: ComponentDeclaration) -> str:
    key = ".".join(part.key)
    if many(part.settings):
        return f"[[{key}]]"
    return f"[{key}]" if below(part.settings) is not None else key


def _missing(
    known: tuple[ComponentDeclaration, ...], on: Mapping[str, Any]
) -> Iterator[tuple[Path, str]]:
    """Parts whose libraries are not installed."""
    for part in known:
        absent = (
            [name for name in part.libraries if find_spec(name) is None] if part.name in on else []
        )
        if absent:
            words = f"needs {', '.join(absent)}, which is not installed"
            yield part.key, f"{words}: pip install 'badgercart[{part.extra}]'"
