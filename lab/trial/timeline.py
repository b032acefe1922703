"""All nodes' events in one order that respects cause: why did one node think another dead? No
I/O."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from typing import Any

Row = dict[str, Any]


def ordered(rows: Iterable[Row]) -> list[Row]:
    """By hybrid time, then by node: what one event may have caused stands behind it."""
    stamped = [row for row in rows if row["hlc_ms"]]
    return sorted(stamped, key=lambda row: (row["hlc_ms"], row["hlc_count"], row["node"]))


def concerns(row: Row, name: str) -> bool:
    """Whether an event is about a node or a server of that name."""
    fields = json.loads(row["fields"])
    return name in (
        fields.get("peer"),
        fields.get("name"),
        fields.get("server"),
        fields.get("author"),
    )


def lines(rows: Iterable[Row], node: str = "", about: str = "") -> Iterator[str]:
    """One line an event, its time from the first one shown."""
    shown = [
        row for row in ordered(rows)
        if (not node or row["node"] == node) and (not about or concerns(row, about))
    ]  # fmt: skip
    for row in shown:
        since = (row["hlc_ms"] - shown[0]["hlc_ms"]) / 1000
        yield f"{since:9.3f} s .{row['hlc_count']:<3} {row['node']:>5}  {row['event']:<16} {row['message']}"
