"""Line numbers of the keys of a TOML text, which the standard parser does not keep.

Tree-sitter was chosen since its grammar of TOML gives every node its place, in one pass of C;
tomlkit keeps the layout but no line numbers, and takes time that grows with the square of a file's
tables.
"""

from __future__ import annotations

import tomllib

import tree_sitter_toml
from tree_sitter import Language, Node, Parser

from badgercart.app.faults import Path

LANGUAGE = Language(tree_sitter_toml.language())


def _names(key: Node) -> tuple[str, ...]:
    """Return the parts of a bare, quoted or dotted key."""
    if key.type == "dotted_key":
        return tuple(name for child in key.named_children for name in _names(child))
    assert key.text is not None
    text = key.text.decode()
    return tuple(tomllib.loads(f"{text} = 0")) if key.type == "quoted_key" else (text,)


def _resolve(names: tuple[str, ...], counts: dict[Path, int]) -> Path:
    """Return a header's path; below an array of tables it refers to the last one."""
    path: Path = ()
    for index, name in enumerate(names):
        path = (*path, name)
        if index < len(names) - 1 and path in counts:
            path = (*path, counts[path] - 1)
    return path


def lines_of(text: str) -> dict[Path, int]:
    """Return the line, from 1, of each table header and each key outside inline tables.

    Args:
        text: valid TOML.
    """
    found: dict[Path, int] = {}
    # Number of tables of each array so far.
    counts: dict[Path, int] = {}

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
        # A header also creates the tables above it.
        for length in range(1, len(path) + 1):
            found.setdefault(path[:length], line)
        pairs(node, table)
    return found
