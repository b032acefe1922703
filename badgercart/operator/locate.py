"""Where the keys of a TOML text stand: line numbers by path, which the standard reader does not keep.

The text must be valid TOML 1.0 already; only what is needed to find keys is read again here.
"""

from __future__ import annotations

import tomllib
from typing import Any

Path = tuple[str | int, ...]


def _names(key: str) -> tuple[str, ...]:
    """The parts of a dotted key, quoted ones included."""
    table: Any = tomllib.loads(f"{key} = 0")
    parts: list[str] = []
    while isinstance(table, dict):
        ((name, table),) = table.items()
        parts.append(name)
    return tuple(parts)


def _assignment(line: str) -> tuple[str, str] | None:
    """Key and the rest of a line that assigns, split at the first equals sign outside quotes."""
    quote = ""
    for at, char in enumerate(line):
        if quote:
            quote = "" if char == quote else quote
        elif char in "\"'":
            quote = char
        elif char == "#":
            return None
        elif char == "=":
            return line[:at].strip(), line[at + 1 :]
    return None


def _open_after(text: str, closing: str, depth: int) -> tuple[str, int]:
    """Whether a line ends within a long string (its quotes) or within brackets (how many)."""
    at = 0
    while at < len(text):
        if closing:
            end = text.find(closing, at)
            if end < 0:
                return (closing, depth) if len(closing) == 3 else ("", depth)
            if closing[0] == '"' and text[:end].endswith("\\") and not text[:end].endswith("\\\\"):
                at = end + 1
                continue
            at, closing = end + len(closing), ""
        elif text.startswith(('"""', "'''"), at):
            closing, at = text[at : at + 3], at + 3
        elif text[at] in "\"'":
            closing, at = text[at], at + 1
        elif text[at] == "#":
            break
        else:
            depth += {"[": 1, "{": 1, "]": -1, "}": -1}.get(text[at], 0)
            at += 1
    return closing if len(closing) == 3 else "", depth


def lines_of(text: str) -> dict[Path, int]:
    """The line, from 1, of every table header and of every key outside inline tables."""
    found: dict[Path, int] = {}
    counts: dict[Path, int] = {}  # tables of an array so far
    table: Path = ()
    closing, depth = "", 0
    for number, line in enumerate(text.splitlines(), 1):
        stripped = line.strip()
        if closing or depth:
            closing, depth = _open_after(line, closing, depth)
            continue
        if stripped.startswith("[["):
            path = _resolve(_names(stripped[2:].partition("]]")[0].strip()), counts)
            table = (*path, counts.get(path, 0))
            counts[path] = counts.get(path, 0) + 1
            found[table] = number
            found.setdefault(path, number)
        elif stripped.startswith("["):
            table = _resolve(_names(stripped[1:].partition("]")[0].strip()), counts)
            found.setdefault(table, number)
        elif (parts := _assignment(line)) is not None:
            names = _names(parts[0])
            for length in range(1, len(names) + 1):
                found.setdefault((*table, *names[:length]), number)
            closing, depth = _open_after(parts[1], "", 0)
    return found


def _resolve(names: tuple[str, ...], counts: dict[Path, int]) -> Path:
    """A header's path: below an array of tables it means the last one."""
    path: Path = ()
    for at, name in enumerate(names):
        path = (*path, name)
        if at < len(names) - 1 and path in counts:
            path = (*path, counts[path] - 1)
    return path
