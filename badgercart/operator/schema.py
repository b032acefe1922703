"""Checks tables of an operator's file against what may stand in them, and names every fault at once."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

from badgercart.config import parse_address
from badgercart.operator.locate import Path

Kind = Callable[[Any], Any]  # gives the checked value, or raises ValueError with what is wanted


class Required:
    """Stands in place of a default where there is none."""


REQUIRED = Required()


@dataclass(slots=True, frozen=True)
class Setting:
    kind: Kind
    default: Any
    about: str  # what it is, with its unit


@dataclass(slots=True, frozen=True)
class Table:
    """What may stand in one table. An array of tables where `many`."""

    about: str
    settings: Mapping[str, Setting] = field(default_factory=dict)
    tables: Mapping[str, Table] = field(default_factory=dict)
    many: bool = False
    needed: bool = False
    optional: bool = False  # switched on by being there: no defaults are filled in where it is not


@dataclass(slots=True, frozen=True, order=True)
class Problem:
    line: int  # 0: of the file as a whole
    key: str
    words: str

    def __str__(self) -> str:
        place = f"line {self.line}: " if self.line else ""
        return f"{place}{self.key}: {self.words}" if self.key else f"{place}{self.words}"


# Kinds of values.


def number(low: float, high: float) -> Kind:
    def check(value: Any) -> float:
        if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
            raise ValueError(f"{value!r} is no number")
        if not low <= value <= high:
            raise ValueError(f"{value!r} is not within {low:g} to {high:g}")
        return float(value)

    return check


def whole(low: int, high: int) -> Kind:
    def check(value: Any) -> int:
        if isinstance(value, bool) or not isinstance(value, int):
            raise ValueError(f"{value!r} is no whole number")
        if not low <= value <= high:
            raise ValueError(f"{value!r} is not within {low} to {high}")
        return int(value)

    return check


def text(value: Any) -> str:
    if not isinstance(value, str) or not value.strip() or "\n" in value:
        raise ValueError(f"{value!r} is no name of one line")
    return value


def maybe(kind: Kind) -> Kind:
    """The same, or none at all."""
    return lambda value: None if value is None else kind(value)


def header(value: Any) -> str:
    name = text(value).lower()
    if not name.isascii() or not all(char.isalnum() or char in "!#$%&'*+-.^_`|~" for char in name):
        raise ValueError(f"{value!r} is no header name")
    return name


def headers(value: Any) -> tuple[str, ...]:
    if not isinstance(value, list) or not value:
        raise ValueError(f"{value!r} is no list of header names")
    return tuple(header(item) for item in value)


def flag(value: Any) -> bool:
    if not isinstance(value, bool):
        raise ValueError(f"{value!r} is neither true nor false")
    return value


def address(value: Any) -> tuple[str, int]:
    if not isinstance(value, str):
        raise ValueError(f"{value!r} is no host:port")
    return parse_address(value)


def addresses(value: Any) -> tuple[tuple[str, int], ...]:
    if not isinstance(value, list) or not value:
        raise ValueError(f"{value!r} is no list of host:port")
    return tuple(address(item) for item in value)


def names(value: Any) -> tuple[str, ...]:
    if not isinstance(value, list) or len(set(map(str, value))) != len(value):
        raise ValueError(f"{value!r} is no list of different names")
    return tuple(text(item) for item in value)


def choice(*words: str) -> Kind:
    def check(value: Any) -> str:
        if value not in words:
            raise ValueError(f"{value!r} is none of {', '.join(words)}")
        return str(value)

    return check


def dotted(path: Path) -> str:
    """A path as people write it: `class[1].aim_ms`."""
    out = ""
    for part in path:
        out += f"[{part}]" if isinstance(part, int) else f".{part}" if out else str(part)
    return out


class Checker:
    """Collects what is wrong with one file."""

    def __init__(self, lines: Mapping[Path, int]) -> None:
        self.lines = lines
        self.problems: list[Problem] = []

    def blame(self, path: Path, words: str) -> None:
        """Name a fault, at the nearest place above it that has a line."""
        line, near = 0, path
        while near and not line:
            line, near = self.lines.get(near, 0), near[:-1]
        self.problems.append(Problem(line, dotted(path), words))

    def table(self, raw: Any, schema: Table, path: Path = ()) -> dict[str, Any]:
        """The checked values of a table, with defaults filled in; faults are blamed and passed over."""
        if not isinstance(raw, dict):
            self.blame(path, "is no table")
            return {}
        for key in raw.keys() - schema.settings.keys() - schema.tables.keys():
            known = ", ".join(sorted((*schema.settings, *schema.tables)))
            self.blame((*path, key), f"is not known here; known are {known}")
        values: dict[str, Any] = {}
        for key, setting in schema.settings.items():
            if key not in raw and setting.default is REQUIRED:
                self.blame(path, f"{key} is missing: {setting.about}")
            elif key not in raw:
                values[key] = setting.default
            else:
                try:
                    values[key] = setting.kind(raw[key])
                except ValueError as error:
                    self.blame((*path, key), f"{error}; it is {setting.about}")
        for key, below in schema.tables.items():
            values[key] = self.below(raw.get(key), below, (*path, key))
        return values

    def below(self, raw: Any, schema: Table, path: Path) -> Any:
        if raw is None and schema.needed:
            self.blame(path, f"is missing: {schema.about}")
        if schema.many:
            if not isinstance(raw, list | None):
                self.blame(path, "is no array of tables ([[...]])")
                return []
            return [self.table(item, schema, (*path, at)) for at, item in enumerate(raw or ())]
        if raw is None and (schema.optional or schema.needed):
            return None
        return self.table({} if raw is None else raw, schema, path)
