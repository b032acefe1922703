"""What commands show: a table where there is a terminal, aligned text where there is none, JSON if
asked."""

from __future__ import annotations

import sys
from collections.abc import Iterable, Sequence

from rich.console import Console
from rich.table import Table


def aligned(columns: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """Columns of text, two blanks apart."""
    lines = [columns, *rows]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    shown = [
        "  ".join(c.ljust(w) for c, w in zip(line, widths, strict=True)).rstrip() for line in lines
    ]
    return "\n".join(shown)


def show_table(columns: Sequence[str], rows: Sequence[Sequence[str]]) -> None:
    """A table to read, on standard output."""
    if not sys.stdout.isatty():
        print(aligned(columns, rows))
        return
    table = Table(*columns, box=None, header_style="bold")
    for row in rows:
        table.add_row(*row)
    Console().print(table)
