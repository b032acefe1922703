"""Reads an operator's file and the variables that override single settings of it.

`BADGERCART__FRONTS__HTTP__LISTEN` sets `fronts.http.listen`, `BADGERCART__CLASS__0__WORTH` the
`worth` of the first class. A value is parsed as TOML; one that is no TOML counts as the text
itself.
"""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path as FilePath
from typing import Any

from badgercart.app.errors import FileTooLargeError, NoSuchSettingError
from badgercart.app.faults import Path, Problem, SettingsFileError, dotted

# The size limit of an operator's file.
MAX_FILE_BYTES = 1 << 20
PREFIX = "BADGERCART__"
# Faults of the place that a variable names.
NO_SETTING, NO_ENTRY, NO_TABLE = "there is no such setting", "there is no such table", "is no table"


@dataclass(slots=True)
class Document:
    """A file's tables, with the overrides in them."""

    path: str
    text: str
    raw: dict[str, Any]
    # The variable that set a value, by the value's path.
    origins: dict[Path, str] = field(default_factory=dict)


def read(path: str, environ: Mapping[str, str]) -> Document:
    """Return a file's tables, with the settings that variables override.

    Raises:
        SettingsFileError: the file or a variable can't be read at all.
    """
    document = _parse(path)
    problems = []
    for variable in sorted(environ):
        if not variable.startswith(PREFIX):
            continue
        target = _target(variable)
        try:
            _put(document.raw, target, _value(environ[variable]))
        except NoSuchSettingError as error:
            words = f"{error.problem} (set by {variable})"
            problems.append(Problem(0, dotted(target), words))
        document.origins[target] = variable
    if problems:
        raise SettingsFileError(path, problems)
    return document


def _parse(path: str) -> Document:
    try:
        text = _text(path)
        return Document(path, text, tomllib.loads(text))
    except OSError as error:
        raise SettingsFileError(path, [Problem(0, "", error.strerror or str(error))]) from error
    except (ValueError, RecursionError) as error:
        # Includes text that is no UTF-8 or no TOML.
        raise SettingsFileError(path, [Problem(0, "", str(error))]) from error


def _text(path: str) -> str:
    with FilePath(path).open("rb") as file:
        data = file.read(MAX_FILE_BYTES + 1)
    if len(data) > MAX_FILE_BYTES:
        raise FileTooLargeError(MAX_FILE_BYTES)
    return data.decode()


def _target(variable: str) -> Path:
    """Return the place in the file that a variable sets."""
    parts = variable[len(PREFIX) :].lower().split("__")
    return tuple(int(part) if part.isdecimal() else part for part in parts)


def _value(text: str) -> Any:
    """Return a variable's text as a TOML value, or the text itself if it is none."""
    try:
        parsed = tomllib.loads(f"value = {text}")
    except (ValueError, RecursionError):
        return text
    return parsed["value"] if len(parsed) == 1 else text


def _put(raw: Any, target: Path, value: Any) -> None:
    """Set a value in nested tables.

    Raises:
        NoSuchSettingError: there is no such place.
    """
    for part in target[:-1]:
        raw = _table_in(raw, part)
    last = target[-1]
    if last == "" or not _has_place(raw, last):
        raise NoSuchSettingError(NO_SETTING)
    raw[last] = value


def _has_place(raw: Any, place: str | int) -> bool:
    """Return whether a table can have a key, or an array has an index."""
    if isinstance(place, str):
        return isinstance(raw, dict)
    return isinstance(raw, list) and place < len(raw)


def _table_in(raw: Any, part: str | int) -> Any:
    """Return the table at a key, which is made if need be, or at an index."""
    if isinstance(part, int):
        if not isinstance(raw, list) or part >= len(raw):
            raise NoSuchSettingError(NO_ENTRY)
        return raw[part]
    if not isinstance(raw, dict) or not part:
        raise NoSuchSettingError(NO_TABLE)
    return raw.setdefault(part, {})
