"""The records of a trial: Parquet files of requests, attempts and node events."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pyarrow as pa
import pyarrow.parquet as pq

from lab.trial.world import World

REQUESTS = "requests.parquet"
ATTEMPTS = "attempts.parquet"
EVENTS = "events.parquet"
SUMMARY = "summary.json"
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
    """A folder does not hold the records of a trial; the message says what is wrong."""


def request_rows(world: World) -> list[dict[str, Any]]:
    """Return a row for each request that a client sent."""
    return [
        {
            "id": request.result.arrival.request_id,
            "node": request.node,
            "class": request.result.arrival.request_class.name,
            "tenant": request.result.arrival.tenant,
            "sent_s": request.sent_at_s - world.started_at_s,
            "took_ms": request.result.response_time_ms,
            "status": request.result.status,
            "outcome": request.result.outcome,
            "worth": request.result.earned_worth,
            "asked": request.result.arrival.request_class.worth,
        }
        for request in world.sent_requests
    ]


def attempt_rows(world: World) -> list[dict[str, Any]]:
    """Return a row for each request that a server received."""
    names = {world.switch.endpoints[name].switch_address[0]: name for name in world.nodes}
    return [
        {
            "id": request.request_id,
            "node": names.get(request.peer_ip, request.peer_ip),
            "server": name,
            "at_s": request.received_at_s - world.started_at_s,
        }
        for name, server in world.servers.items()
        for request in server.received_requests
    ]


def hybrid_time(event: dict[str, Any]) -> tuple[int, int]:
    """Return an event's hybrid time as milliseconds and counter; (0, 0) if it has none."""
    if "hlc" in event:
        time_ms, _, count = str(event["hlc"]).partition(".")
        return int(time_ms), int(count)
    return 0, 0


def event_rows(world: World) -> list[dict[str, Any]]:
    """Return a row for each event, in the order in which each node logged them.

    An event without a hybrid time gets that of the event before it.
    """
    rows = []
    for node in world.nodes.values():
        last = (0, 0)
        for event in node.events:
            last = max(last, hybrid_time(event))
            fields = {
                key: value
                for key, value in event.items()
                if key not in ("node", "life", "event", "message", "hlc")
            }
            rows.append(
                {
                    "node": node.name,
                    "life": event["life"],
                    "hlc_ms": last[0],
                    "hlc_count": last[1],
                    "event": event["event"],
                    "message": event.get("message", event.get("text", "")),
                    "fields": json.dumps(fields),
                }
            )
    return rows


def write(world: World, folder: Path, summary: dict[str, Any]) -> None:
    """Write the records of a trial. Raises OSError if the folder can't be written."""
    folder.mkdir(parents=True, exist_ok=True)
    rows = {REQUESTS: request_rows(world), ATTEMPTS: attempt_rows(world), EVENTS: event_rows(world)}
    for name, schema in SCHEMAS.items():
        pq.write_table(pa.Table.from_pylist(rows[name], schema=schema), folder / name)
    (folder / SUMMARY).write_text(json.dumps(summary, indent=1))


def read(folder: Path, name: str) -> list[dict[str, Any]]:
    """Return the rows of one table. Raises RecordsError if they can't be read."""
    try:
        rows: list[dict[str, Any]] = pq.read_table(folder / name, schema=SCHEMAS[name]).to_pylist()
    except (OSError, pa.ArrowException) as error:
        raise RecordsError(f"{folder / name}: {error}") from None
    return rows
