"""Where the keys of a TOML text stand: line numbers by path, which the standard reader does not
keep.

Why tree-sitter: its grammar of TOML gives every node its place, in one pass of C; tomlkit keeps the
layout but no line numbers, and takes time that grows with the square of a file's tables.
"""

from __future__ import annotations

import tomllib

import tree_sitter_toml
from tree_sitter import Language, Node, Parser

from badgercart.app.faults import Path

LANGUAGE = Language(tree_sitter_toml.language())


def _names(key: Node) -> tuple[str, ...]:
    """The parts of a bare, quoted or dotted key."""
    if key.type == "dotted_key":
        return tuple(name for child in key.named_children for name in _names(child))
    assert key.text is not None
    text = key.text.decode()
    return tuple(tomllib.loads(f"{text} = 0")) if key.type == "quoted_key" else (text,)


def _resolve(names: tuple[str, ...], counts: dict[Path, int]) -> Path:
    """A header's path: below an array of tables it means the last one."""
    path: Path = ()
    for at, name in enumerate(names):
        path = (*path, name)
        if at < len(names) - 1 and path in counts:
            path = (*path, counts[path] - 1)
    return path


def lines_of(text: str) -> dict[Path, int]:
    """The line, from 1, of every table header and of every key outside inline tables, of a valid
    text."""
    found: dict[Path, int] = {}
    counts: dict[Path, int] = {}  # tables of an array so far

    def pairs(holder: Node, table: Path) -> None:
        for pair in holder.named_children:
            if pair.type == "pair":
                names = _names(pair.named_children[0])
                for length in range(1, len(names) + 1):
                    found.setdefault((*table, *names[:length]), pair.start_point.row + 1)

    root = Parser(LANGUAGE).parse(text.encode()).root_node
    pairs(root, ())
    for node in root.named_children:
        if node.type not in ("table", "table_array_element"):
            continue
        line = node.start_point.row + 1
        path = table = _resolve(_names(node.named_children[0]), counts)
        if node.type == "table_array_element":
            table = (*path, counts.get(path, 0))
            counts[path] = counts.get(path, 0) + 1
            found[table] = line
        for length in range(1, len(path) + 1):  # a header makes the tables above it, too
            found.setdefault(path[:length], line)
        pairs(node, table)
    return found
