"""Small experiment days for the tests of the lab."""

from __future__ import annotations

from typing import Any

from lab.settings import Day

CLASSES = [
    {
        "name": "lookup", "share": 0.56, "work_ms": 70.0, "cv": 1.1, "aim_ms": 580.0,
        "deadline_ms": 1400.0, "worth": 2.0,
    },
    {
        "name": "assign", "share": 0.44, "work_ms": 90.0, "aim_ms": 750.0, "deadline_ms": 1900.0,
        "worth": 8.0, "effect": "keyed",
    },
]  # fmt: skip


def day(seconds: float = 10.0, trouble: list[dict[str, Any]] | None = None, **tables: Any) -> Day:
    """Return a day with 8 servers and 2 nodes.

    `tables` are tables of an experiment file, whose values replace those of this day.
    """
    raw: dict[str, Any] = {
        "experiment": {"name": "test", "seconds": seconds},
        "fleet": {"servers": 8, "nodes": 2},
        "kind": [{"name": "k", "cores": 2, "cold_from": 0.4, "ramp_ms": 4000.0}],
        "class": CLASSES,
        "trouble": trouble or [],
    }
    for name, table in tables.items():
        raw[name] = raw.get(name, {}) | table if isinstance(table, dict) else table
    return Day.model_validate(raw)
