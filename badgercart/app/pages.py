"""Reports for people: one HTML page without outside references, with matplotlib's figures as SVG in
it.

Why matplotlib: it draws SVG that every browser shows as it is, with nothing to load, and PNG by the
same calls.
"""

from __future__ import annotations

import html
import io
import logging
from collections.abc import Iterable, Sequence
from typing import Any

STYLE = """body{font:15px/1.5 system-ui,sans-serif;max-width:72rem;margin:2rem auto;padding:0 1rem;color:#222}
svg{width:100%;height:auto}table{border-collapse:collapse;margin:1rem 0}td,th{padding:.2rem .8rem;
text-align:right;border-bottom:1px solid #ddd}td:first-child,th:first-child{text-align:left}
.marked{color:#b00;font-weight:bold}"""


def pyplot() -> Any:
    """matplotlib's, without a window. Raises ImportError where it is not installed."""
    import matplotlib

    logging.getLogger("matplotlib").setLevel(logging.WARNING)  # it tells of its fonts
    matplotlib.use("agg")
    from matplotlib import pyplot

    return pyplot


def svg(figure: Any) -> str:
    """A figure as an element of a page; the same bytes whenever it is drawn."""
    out = io.StringIO()
    figure.savefig(out, format="svg", metadata={"Date": None})
    text = out.getvalue()
    return text[text.index("<svg") :]


def heading(text: str) -> str:
    return f"<h2>{html.escape(text)}</h2>"


def table(
    head: Sequence[str], rows: Iterable[Sequence[object]], marked: frozenset[int] = frozenset()
) -> str:
    """A table; `marked`: the numbers of rows that are to stand out."""
    lines = ["".join(f"<th>{html.escape(name)}</th>" for name in head)]
    lines += ["".join(f"<td>{html.escape(str(cell))}</td>" for cell in row) for row in rows]
    styles = ("", *(' class="marked"' if at in marked else "" for at in range(len(lines) - 1)))
    return (
        "<table>"
        + "".join(f"<tr{s}>{line}</tr>" for s, line in zip(styles, lines, strict=True))
        + "</table>"
    )


def page(title: str, parts: Iterable[str]) -> str:
    """A whole page; `parts` are HTML already, the title is not."""
    title = html.escape(title)
    return "\n".join(
        (
            f'<!doctype html><html lang="en"><head><meta charset="utf-8"><title>{title}</title>',
            f"<style>{STYLE}</style></head><body><h1>{title}</h1>",
            *parts,
            "</body></html>\n",
        )
    )
