"""Reports as one HTML page without outside references, with figures of matplotlib as SVG in it.

Matplotlib was chosen since it draws SVG that every browser shows as it is, with nothing to load,
and PNG by the same calls.
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
    """Return matplotlib's pyplot, which draws without a window.

    Raises:
        ImportError: matplotlib is not installed.
    """
    import matplotlib

    # Matplotlib logs the fonts that it finds.
    logging.getLogger("matplotlib").setLevel(logging.WARNING)
    matplotlib.use("agg")
    from matplotlib import pyplot

    return pyplot


def svg(figure: Any) -> str:
    """Return a figure as an element of a page; the same bytes whenever it is drawn."""
    buffer = io.StringIO()
    figure.savefig(buffer, format="svg", metadata={"Date": None})
    text = buffer.getvalue()
    return text[text.index("<svg") :]


def heading(text: str) -> str:
    """Return a heading."""
    return f"<h2>{html.escape(text)}</h2>"


def table(
    head: Sequence[str], rows: Iterable[Sequence[object]], marked: frozenset[int] = frozenset()
) -> str:
    """Return a table; the rows with the numbers in `marked` stand out."""
    lines = ["".join(f"<th>{html.escape(name)}</th>" for name in head)]
    lines += ["".join(f"<td>{html.escape(str(cell))}</td>" for cell in row) for row in rows]
    styles = (
        "",
        *(' class="marked"' if index in marked else "" for index in range(len(lines) - 1)),
    )
    return (
        "<table>"
        + "".join(f"<tr{style}>{line}</tr>" for style, line in zip(styles, lines, strict=True))
        + "</table>"
    )


def page(title: str, parts: Iterable[str]) -> str:
    """Return a complete page; `parts` are HTML already, the title is not."""
    title = html.escape(title)
    return "\n".join(
        (
            f'<!doctype html><html lang="en"><head><meta charset="utf-8"><title>{title}</title>',
            f"<style>{STYLE}</style></head><body><h1>{title}</h1>",
            *parts,
            "</body></html>\n",
        )
    )
