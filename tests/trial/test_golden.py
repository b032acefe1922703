"""The record tables of a trial: columns, types and rows match the golden files."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

from lab.trial import records
from lab.trial.processes import NodeProcess
from lab.trial.switch import Endpoint
from lab.trial.world import SentRequest, Shape, World
from standins.server import DispatchServer, ReceivedRequest
from standins.traffic import ASSIGN, LOOKUP, Arrival, Result

GOLDEN = Path(__file__).parent / "golden"
TABLES = ("requests.parquet", "attempts.parquet", "events.parquet")


def recorded_world(folder: Path) -> World:
    """Return a world of two nodes with all kinds of responses and events, without any process."""
    world = World(Shape(nodes=2, servers=1), folder)
    world.block.close()
    world.started_at_s = 100.0
    for number in (0, 1):
        name = f"n{number}"
        world.nodes[name] = NodeProcess(name, folder / f"{name}.toml")
        world.switch.endpoints[name] = Endpoint(
            (f"127.2.0.{number}", 7946), (f"127.2.128.{number}", 7946)
        )
    for at, (status, took_ms) in enumerate(
        ((200, 12.5), (429, 1.0), (503, 1.25), (500, 9.0), (0, 2400.0))
    ):
        request_class = (LOOKUP, ASSIGN)[at % 2]
        arrival = Arrival(0.5 * at, request_class, "fovarosi", f"r{at}", "ride-1")
        world.sent_requests.append(
            SentRequest(f"n{at % 2}", 100.25 + at, Result(arrival, status, took_ms, ""))
        )
    server = DispatchServer("s-1", {})
    server.received_requests.append(ReceivedRequest("r0", "k0", "/", 100.5, "127.2.128.0"))
    server.received_requests.append(ReceivedRequest("r1", "", "/", 101.5, "127.9.9.9"))
    world.servers["s-1"] = server
    events: list[dict[str, Any]] = [
        {"event": "http.listening", "message": "up", "host": "127.0.0.1", "port": 1},
        {
            "event": "peers.changed",
            "message": "x",
            "hlc": "1790000000123.4",
            "peer": "n1",
            "status": "dead",
        },
        {"event": "said", "text": "not JSON"},
        {
            "event": "peers.level",
            "message": "y",
            "hlc": "1790000000124.0",
            "standing": "whole",
            "live": 2,
        },
    ]
    world.nodes["n0"].events = [{**event, "node": "n0", "life": 1} for event in events]
    world.nodes["n1"].events = [{**events[3], "node": "n1", "life": 2}]
    return world


def rows(folder: Path) -> str:
    """Return all rows of all tables as text."""
    return "".join(
        f"{name}\n" + "".join(json.dumps(row) + "\n" for row in records.read(folder, name))
        for name in TABLES
    )


def test_columns_and_types_match_the_golden_file() -> None:
    columns = "".join(f"{name}\n{schema}\n" for name, schema in records.SCHEMAS.items())
    assert columns == (GOLDEN / "columns.txt").read_text()


def test_written_rows_match_the_golden_file(tmp_path: Path) -> None:
    records.write(recorded_world(tmp_path), tmp_path / "kept", {"name": "t", "requests": 5})
    assert rows(tmp_path / "kept") == (GOLDEN / "rows.txt").read_text()
    assert (tmp_path / "kept" / "summary.json").read_text() == '{\n "name": "t",\n "requests": 5\n}'


def test_earlier_records_are_read() -> None:
    assert rows(GOLDEN) == (GOLDEN / "rows.txt").read_text()
