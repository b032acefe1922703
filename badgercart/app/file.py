"""An operator's file: its model, its checks, and the installation that it describes."""

from __future__ import annotations

import os
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from functools import cache
from importlib.util import find_spec
from pathlib import Path as FilePath
from typing import Any

from pydantic import Field, ValidationError, create_model

from badgercart.app import document
from badgercart.app.base import Base, check, config_of
from badgercart.app.component import (
    CheckedFile,
    ComponentDeclaration,
    ComponentKind,
    start_order,
)
from badgercart.app.errors import OrderError
from badgercart.app.faults import (
    Fault,
    SettingsFileError,
    holds_table_array,
    of_model,
    problem,
    table_model,
)
from badgercart.app.locate import lines_of
from badgercart.app.model import Table
from badgercart.app.registry import declarations
from badgercart.config import Config

# Groups of components, and their descriptions for operators.
GROUPS = {"fronts": "who may ask", "members": "where the server list comes from: one of these"}


@dataclass(slots=True, frozen=True)
class Installation:
    """What an operator's file switches on."""

    config: Config
    # Settings of the components that are on, by name.
    component_settings: dict[str, Any]
    # Folder of the file, against which relative paths in it are resolved.
    folder: str = "."
    # The tables that the configuration was made from; None without a file.
    base: Base | None = None
    known_components: tuple[ComponentDeclaration, ...] = field(default_factory=declarations)

    def enabled_components(self) -> list[ComponentDeclaration]:
        """Return the components that are on."""
        return [
            component
            for component in self.known_components
            if component.name in self.component_settings
        ]


@cache
def root_model(known: tuple[ComponentDeclaration, ...]) -> type[Base]:
    """Return the model of a complete file: the tables of every installation, and the components'."""
    groups: dict[str, dict[str, Any]] = {}
    fields: dict[str, Any] = {}
    for component in known:
        default: Any = () if holds_table_array(component.settings) else None
        setting = (
            component.settings
            if holds_table_array(component.settings)
            else component.settings | None
        )
        definition = (setting, Field(default, description=component.about))
        if len(component.key) == 1:
            fields[component.key[0]] = definition
        else:
            groups.setdefault(component.key[0], {})[component.key[1]] = definition
    for name, inner in groups.items():
        model = create_model(name.title(), __base__=Table, __doc__=GROUPS.get(name, name), **inner)
        fields[name] = (model, Field(model(), description=GROUPS.get(name)))
    root: type[Base] = create_model("File", __base__=Base, __doc__="an operator's file", **fields)
    return root


def settings_at(root: Base, component: ComponentDeclaration) -> Any:
    """Return the settings of a component in a file; None where it is switched off."""
    value: Any = root
    for key in component.key:
        value = getattr(value, key)
    return value if value != () else None


def load_installation(
    path: str,
    environ: Mapping[str, str] | None = None,
    known: tuple[ComponentDeclaration, ...] | None = None,
) -> Installation:
    """Read and check a file.

    Args:
        path: path of the file.
        environ: variables that override settings; those of the process if not given.
        known: components that a file may switch on; those of the registry if not given.

    Raises:
        SettingsFileError: names all that is wrong with the file.
    """
    return describe(document.read(path, os.environ if environ is None else environ), known)[0]


def describe(
    read: document.Document, known: tuple[ComponentDeclaration, ...] | None = None
) -> tuple[Installation, Base]:
    """Return the installation that a document describes, and the model behind it.

    Raises:
        SettingsFileError: names all that is wrong with the file.
    """
    known = declarations() if known is None else known
    model = root_model(known)
    try:
        root = model.model_validate(read.raw)
    except ValidationError as error:
        raise _error(read, list(of_model(error, model))) from error
    enabled = {
        component.name: value
        for component in known
        if (value := settings_at(root, component)) is not None
    }
    folder = str(FilePath(read.path).parent)
    found = [*check(root), *_check_whole(known, enabled), *_check_libraries(known, enabled)]
    if not found:
        found = list(_check_components(known, CheckedFile(root, folder, enabled)))
    if found:
        raise _error(read, found)
    return Installation(config_of(root), enabled, folder, root, known), root


def _check_components(known: Sequence[ComponentDeclaration], file: CheckedFile) -> Iterator[Fault]:
    """Yield what each component finds wrong with its settings."""
    for component in known:
        if component.name in file.enabled:
            for place, words in component.check(file.enabled[component.name], file):
                yield component.key + place, words


def _error(read: document.Document, found: list[Fault]) -> SettingsFileError:
    lines = lines_of(read.text)
    return SettingsFileError(
        read.path, [problem(place, words, lines, read.origins) for place, words in found]
    )


def _check_whole(
    known: tuple[ComponentDeclaration, ...], enabled: Mapping[str, Any]
) -> Iterator[Fault]:
    """Yield why the enabled components make no installation."""
    kinds = {
        kind: [component for component in known if component.kind is kind] for kind in ComponentKind
    }
    if not any(component.name in enabled for component in kinds[ComponentKind.FRONTEND]):
        names = ", ".join(component.key[-1] for component in kinds[ComponentKind.FRONTEND])
        yield ("fronts",), f"nobody may ask: switch on one of {names}"
    sources = [
        component for component in kinds[ComponentKind.DISCOVERY] if component.name in enabled
    ]
    if len(sources) != 1:
        words = ", ".join(_key_text(component) for component in kinds[ComponentKind.DISCOVERY])
        yield ("members",), f"the server list comes from one of {words}, not {len(sources)}"
    try:
        start_order(component for component in known if component.name in enabled)
    except OrderError as error:
        yield (), str(error)


def _key_text(component: ComponentDeclaration) -> str:
    key = ".".join(component.key)
    if holds_table_array(component.settings):
        return f"[[{key}]]"
    return f"[{key}]" if table_model(component.settings) is not None else key


def _check_libraries(
    known: tuple[ComponentDeclaration, ...], enabled: Mapping[str, Any]
) -> Iterator[Fault]:
    """Yield the components whose libraries are not installed."""
    for component in known:
        if component.name not in enabled:
            continue
        absent = [name for name in component.libraries if find_spec(name) is None]
        if absent:
            words = f"needs {', '.join(absent)}, which is not installed"
            yield component.key, f"{words}: pip install 'badgercart[{component.extra}]'"
