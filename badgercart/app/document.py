"""Reads an operator's file and the variables that override single settings of it.

`BADGERCART__FRONTS__HTTP__LISTEN` sets `fronts.http.listen`, `BADGERCART__CLASS__0__WORTH` the
`worth` of the first class. A value is read as TOML; what is no TOML value counts as the text
itself.
"""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path as FilePath
from typing import Any

from badgercart.app.faults import FileError, Path, Problem, dotted

MAX_FILE = 1 << 20  # bytes
PREFIX = "BADGERCART__"


@dataclass(slots=True)
class Document:
    """A file's tables with the overrides in them."""

    path: str
    text: str
    raw: dict[str, Any]
    origins: dict[Path, str] = field(default_factory=dict)  # by path: the variable that set it


def read(path: str, environ: Mapping[str, str]) -> Document:
    """Raises FileError where the file or a variable can't be read at all."""
    try:
        with FilePath(path).open("rb") as file:
            data = file.read(MAX_FILE + 1)
        if len(data) > MAX_FILE:
            raise ValueError(f"over {MAX_FILE} bytes")
        text = data.decode()
        document = Document(path, text, tomllib.loads(text))
    except OSError as error:
        raise FileError(path, [Problem(0, "", error.strerror or str(error))]) from None
    except (ValueError, RecursionError) as error:  # also what is no UTF-8 and no TOML
        raise FileError(path, [Problem(0, "", str(error))]) from None
    problems = []
    for name in sorted(environ):
        if name.startswith(PREFIX):
            target = tuple(
                int(p) if p.isdecimal() else p for p in name[len(PREFIX) :].lower().split("__")
            )
            try:
                _put(document.raw, target, _value(environ[name]))
            except LookupError as error:
                problems.append(Problem(0, dotted(target), f"{error.args[0]} (set by {name})"))
            document.origins[target] = name
    if problems:
        raise FileError(path, problems)
    return document


def _value(text: str) -> Any:
    try:
        read = tomllib.loads(f"value = {text}")
    except (ValueError, RecursionError):
        return text
    return read["value"] if len(read) == 1 else text


def _put(raw: Any, target: Path, value: Any) -> None:
    """Raises LookupError where there is no such place."""
    for part in target[:-1]:
        if isinstance(part, int):
            if not isinstance(raw, list) or part >= len(raw):
                raise LookupError("there is no such table")
            raw = raw[part]
        elif isinstance(raw, dict) and part:
            raw = raw.setdefault(part, {})
        else:
            raise LookupError("is no table")
    last = target[-1]
    there = (
        isinstance(raw, dict)
        if isinstance(last, str)
        else isinstance(raw, list) and last < len(raw)
    )
    if not there or last == "":
        raise LookupError("there is no such setting")
    raw[last] = value
