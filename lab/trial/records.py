"""What was seen in a trial, in columns: Parquet files of requests, attempts and nodes' events."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pyarrow as pa
import pyarrow.parquet as pq

from lab.trial.world import World

REQUESTS, ATTEMPTS, EVENTS, SUMMARY = (
    "requests.parquet",
    "attempts.parquet",
    "events.parquet",
    "summary.json",
)
SCHEMAS = {
    REQUESTS: pa.schema(
        [
            ("id", pa.string()), ("node", pa.string()), ("class", pa.string()), ("tenant", pa.string()),
            ("sent_s", pa.float64()), ("took_ms", pa.float64()), ("status", pa.int32()),
            ("outcome", pa.string()), ("worth", pa.float64()), ("asked", pa.float64()),
        ]
    ),
    ATTEMPTS: pa.schema(
        [("id", pa.string()), ("node", pa.string()), ("server", pa.string()), ("at_s", pa.float64())]
    ),
    EVENTS: pa.schema(
        [
            ("node", pa.string()), ("life", pa.int32()), ("hlc_ms", pa.int64()), ("hlc_count", pa.int64()),
            ("event", pa.string()), ("message", pa.string()), ("fields", pa.string()),
        ]
    ),
}  # fmt: skip


class RecordsError(Exception):
    """A folder that holds no trial's records: what is wrong."""


def requests(world: World) -> list[dict[str, Any]]:
    return [
        {
            "id": a.result.arrival.name, "node": a.node, "class": a.result.arrival.kind.name,
            "tenant": a.result.arrival.tenant, "sent_s": a.sent - world.started_at_s, "took_ms": a.result.took,
            "status": a.result.status, "outcome": a.result.outcome, "worth": a.result.worth,
            "asked": a.result.arrival.kind.worth,
        }
        for a in world.sent_requests
    ]  # fmt: skip


def attempts(world: World) -> list[dict[str, Any]]:
    names = {world.switch.endpoints[name].switch_address[0]: name for name in world.nodes}
    return [
        {
            "id": s.id,
            "node": names.get(s.source, s.source),
            "server": name,
            "at_s": s.at - world.started_at_s,
        }
        for name, server in world.servers.items()
        for s in server.seen
    ]


def stamp_of(told: dict[str, Any]) -> tuple[int, int]:
    """An event's hybrid time; those that bear none have the wall's."""
    if "hlc" in told:
        time, _, count = str(told["hlc"]).partition(".")
        return int(time), int(count)
    return 0, 0


def events(world: World) -> list[dict[str, Any]]:
    """In the order in which each node said them; one without a hybrid time has that of the one
    before it."""
    rows = []
    for node in world.nodes.values():
        last = (0, 0)
        for told in node.events:
            last = max(last, stamp_of(told))
            rest = {
                k: v
                for k, v in told.items()
                if k not in ("node", "life", "event", "message", "hlc")
            }
            rows.append(
                {
                    "node": node.name, "life": told["life"], "hlc_ms": last[0], "hlc_count": last[1],
                    "event": told["event"], "message": told.get("message", told.get("text", "")),
                    "fields": json.dumps(rest),
                }
            )  # fmt: skip
    return rows


def write(world: World, folder: Path, summary: dict[str, Any]) -> None:
    """Keep a trial. OSError where the folder can't be written."""
    folder.mkdir(parents=True, exist_ok=True)
    rows = {REQUESTS: requests(world), ATTEMPTS: attempts(world), EVENTS: events(world)}
    for name, schema in SCHEMAS.items():
        pq.write_table(pa.Table.from_pylist(rows[name], schema=schema), folder / name)
    (folder / SUMMARY).write_text(json.dumps(summary, indent=1))


def read(folder: Path, name: str) -> list[dict[str, Any]]:
    """The rows of one table. Raises RecordsError."""
    try:
        rows: list[dict[str, Any]] = pq.read_table(folder / name, schema=SCHEMAS[name]).to_pylist()
    except (OSError, pa.ArrowException) as error:
        raise RecordsError(f"{folder / name}: {error}") from None
    return rows
