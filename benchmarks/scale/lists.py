"""Costs of the server list outside the policy: its bytes, parsing, reading and the endpoint table.

The list has the format of the platform's discovery. A whole list is read as the catalog client
reads a snapshot, a changed entry as its watch does. A node rejects a text of more than
`MAX_LIST_BYTES`; larger ones are measured as well, so that the slope shows where the limit lies.
Times are processor times of the thread, and memory is the resident size of a separate process.
"""

from __future__ import annotations

import json
import statistics
import sys
import time
from collections.abc import Callable
from typing import Any, cast

from badgercart.config import Config
from badgercart.core.endpoint_table import EndpointTable
from badgercart.core.request_pipeline import RequestPipeline
from badgercart.discovery.entries import ListReader
from badgercart.discovery.list_framing import MAX_LIST_BYTES, ListParser, parse_list
from badgercart.policy.events import EndpointUpdate, Event
from benchmarks.scale.configuration import make_config
from benchmarks.scale.fit import Point, doublings
from benchmarks.scale.policy import TARGET_SERVERS, SeriesBuilder, resident_bytes, run_in_child
from benchmarks.scale.report import Series

LIST_CHANGE_COUNT = 200

# Whole lists that are read at each size, of which the median counts.
WHOLE_LIST_COUNT = 3


def make_entry(number: int, lifecycle: str = "active") -> dict[str, Any]:
    """Return the list entry of a server, with names as long as those of the operators' cities."""
    return {
        "instanceId": f"dispatch-{number % 5400:04d}-{number:06d}",
        "hostPort": f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}:8080",
        "zone": f"zone-{number % 11}",
        "machineType": f"kind-{number % 3}",
        "cell": number % 4,
        "lifecycle": lifecycle,
        "weight": 1.0 + number % 2,
        "startedAtMs": 0,
    }


def encode_list(generation: int, entries: list[dict[str, Any]], reset: bool) -> bytes:
    """Return a list in the format of the catalog."""
    return json.dumps({"generation": generation, "reset": reset, "instances": entries}).encode()


class RecordingPipeline:
    """A stand-in for the request pipeline that counts list updates and has no policy."""

    failed_event: Event | None = None

    def __init__(self) -> None:
        self.update_count = 0

    def clock(self) -> float:
        """Return a constant time (ms)."""
        return 1000.0

    def dispatch(self, event: Event) -> None:
        """Count an update of the endpoints."""
        assert isinstance(event, EndpointUpdate)
        self.update_count += 1


def small_config() -> Config:
    """Return a configuration with one class and no tenants."""
    return make_config(classes=1, tenants=0)


def timed_us(call: Callable[[], Any]) -> tuple[float, Any]:
    """Return the processor time of a call in µs, and its result."""
    begun = time.thread_time_ns()
    result = call()
    return (time.thread_time_ns() - begun) / 1000, result


def measure_size(size: int, builder: SeriesBuilder) -> None:
    """Measure whole lists and changed entries at one number of servers."""
    whole_list = encode_list(1, [make_entry(number) for number in range(size)], True)
    builder.add("whole list", "bytes", "one", size, len(whole_list))
    reader, costs_us = ListReader(small_config()), dict[str, list[float]]()
    for _ in range(WHOLE_LIST_COUNT):
        pipeline = RecordingPipeline()
        table = EndpointTable(reader, cast(RequestPipeline, pipeline))
        parse_us, raw = timed_us(lambda: parse_list(whole_list))
        read_us, updates = timed_us(lambda raw=raw: reader.read(raw))  # type: ignore[misc]
        apply_us, _ = timed_us(lambda table=table, updates=updates: table.apply(updates))  # type: ignore[misc]
        reapply_us, _ = timed_us(lambda table=table, updates=updates: table.apply(updates))  # type: ignore[misc]
        assert pipeline.update_count == 2 and len(table.listed) == size
        for name, cost_us in (
            ("JSON", parse_us),
            ("reader", read_us),
            ("roster", apply_us),
            ("roster again", reapply_us),
        ):
            costs_us.setdefault(f"whole list, {name}", []).append(cost_us)
        costs_us.setdefault("whole list", []).append(parse_us + read_us + apply_us)
    for name, samples in costs_us.items():
        builder.add(name, "us", "median", size, statistics.median(samples))
    parser, changes_us = ListParser(), []
    for turn in range(LIST_CHANGE_COUNT):
        number = (turn // 2 * 7919) % size
        change = (
            encode_list(2 + turn, [make_entry(number, "active" if turn % 2 else "leaving")], False)
            + b"\n"
        )

        def read_change(change: bytes = change) -> None:
            for raw in parser.feed(change):
                assert raw is not None
                table.accept(raw)

        changes_us.append(timed_us(read_change)[0])
    builder.add_distribution("changed line", size, changes_us)
    builder.add("changed line", "bytes", "one", size, len(change))


def memory_growth(servers: int) -> int:
    """Return the bytes by which an endpoint table of this size grows this process."""
    before = resident_bytes()
    table = EndpointTable(ListReader(small_config()), cast(RequestPipeline, RecordingPipeline()))
    table.accept(
        json.loads(encode_list(1, [make_entry(number) for number in range(servers)], True))
    )
    return resident_bytes() - before


def measure(max_size: int | None) -> list[Series]:
    """Return all series; `max_size` caps the servers."""
    largest = TARGET_SERVERS if max_size is None else min(TARGET_SERVERS, max_size)
    builder = SeriesBuilder("servers", bound_bytes=MAX_LIST_BYTES)
    for size in doublings(10, largest):
        measure_size(size, builder)
        print(f"lists: {size} servers", file=sys.stderr, flush=True)
    points: list[Point] = [
        (
            size,
            run_in_child(
                f"from benchmarks.scale.lists import memory_growth; print(memory_growth({size}))"
            ),
        )
        for size in doublings(min(10_000, largest), largest)
    ]
    return [
        *builder.build(),
        Series("memory, peak of taking a list", "bytes", "servers", "one", points),
    ]
