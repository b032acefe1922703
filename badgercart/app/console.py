"""Output of commands: a table on a terminal, aligned text elsewhere."""

from __future__ import annotations

import sys
from collections.abc import Iterable, Sequence

from rich.console import Console
from rich.table import Table


def aligned(columns: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """Return aligned columns of text, separated by two spaces."""
    lines = [columns, *rows]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    shown = [
        "  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True)).rstrip()
        for line in lines
    ]
    return "\n".join(shown)


def show_table(columns: Sequence[str], rows: Sequence[Sequence[str]]) -> None:
    """Print a table."""
    if not sys.stdout.isatty():
        print(aligned(columns, rows))
        return
    table = Table(*columns, box=None, header_style="bold")
    for row in rows:
        table.add_row(*row)
    Console().print(table)
