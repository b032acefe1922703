"""The events of all nodes in one causal order, by hybrid logical clock. No I/O.

It answers questions such as why one node considered another dead.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from typing import Any

Row = dict[str, Any]


def ordered(rows: Iterable[Row]) -> list[Row]:
    """Sort by hybrid time, then by node: an event comes before all that it may have caused.

    Events without a hybrid time are left out.
    """
    stamped = [row for row in rows if row["hlc_ms"]]
    return sorted(stamped, key=lambda row: (row["hlc_ms"], row["hlc_count"], row["node"]))


def concerns(row: Row, name: str) -> bool:
    """Return whether an event is about a node or a server of this name."""
    fields = json.loads(row["fields"])
    return name in (
        fields.get("peer"),
        fields.get("name"),
        fields.get("server"),
        fields.get("author"),
    )


def lines(rows: Iterable[Row], node: str = "", about: str = "") -> Iterator[str]:
    """Yield one line per event, with its time since the first event shown."""
    shown = [
        row for row in ordered(rows)
        if (not node or row["node"] == node) and (not about or concerns(row, about))
    ]  # fmt: skip
    for row in shown:
        seconds = (row["hlc_ms"] - shown[0]["hlc_ms"]) / 1000
        yield f"{seconds:9.3f} s .{row['hlc_count']:<3} {row['node']:>5}  {row['event']:<16} {row['message']}"
