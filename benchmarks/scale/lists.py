"""What the server list costs a node beside its policy: its bytes, its text, the reader and the
roster.

The list is worded as the platform's discovery words it. A whole list is read as `Discovery.fetch`
does, a changed line as its watch does. The node refuses a text over `MAX_LIST_BYTES` bytes; it is measured
beyond that as well, so that the slope shows where the bound lies. Times are of the thread's
processor; memory is the resident size of a process of its own.
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
from benchmarks.scale.configuration import config
from benchmarks.scale.fit import Point, doublings
from benchmarks.scale.policy import SERVERS, Found, in_a_child, resident
from benchmarks.scale.report import Series

LINES = 200
WHOLE_LISTS = 3  # whole lists at a size; the median counts


def line(number: int, lifecycle: str = "active") -> dict[str, Any]:
    """A server's line, with names as long as those of the operators' cities."""
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


def text(generation: int, lines: list[dict[str, Any]], reset: bool) -> bytes:
    return json.dumps({"generation": generation, "reset": reset, "instances": lines}).encode()


class Ear:
    """Stands in for the join: it hears of a list and has no policy."""

    failed_event: Event | None = None

    def __init__(self) -> None:
        self.heard = 0

    def clock(self) -> float:
        return 1000.0

    def dispatch(self, event: Event) -> None:
        assert isinstance(event, EndpointUpdate)
        self.heard += 1


def named() -> Config:
    return config(classes=1, tenants=0)


def spent(call: Callable[[], Any]) -> tuple[float, Any]:
    """us of the thread's processor, and what came of it."""
    begun = time.thread_time_ns()
    found = call()
    return (time.thread_time_ns() - begun) / 1000, found


def at(size: int, found: Found) -> None:
    whole = text(1, [line(number) for number in range(size)], True)
    found.note("whole list", "bytes", "one", size, len(whole))
    reader, costs = ListReader(named()), dict[str, list[float]]()
    for _ in range(WHOLE_LISTS):
        ear = Ear()
        roster = EndpointTable(reader, cast(RequestPipeline, ear))
        parsed, raw = spent(lambda: parse_list(whole))
        checked, told = spent(lambda raw=raw: reader.read(raw))  # type: ignore[misc]
        taken, _ = spent(lambda roster=roster, told=told: roster.apply(told))  # type: ignore[misc]
        again, _ = spent(lambda roster=roster, told=told: roster.apply(told))  # type: ignore[misc]
        assert ear.heard == 2 and len(roster.listed) == size
        for name, cost in (
            ("JSON", parsed),
            ("reader", checked),
            ("roster", taken),
            ("roster again", again),
        ):
            costs.setdefault(f"whole list, {name}", []).append(cost)
        costs.setdefault("whole list", []).append(parsed + checked + taken)
    for name, several in costs.items():
        found.note(name, "us", "median", size, statistics.median(several))
    texts, lines = ListParser(), []
    for turn in range(LINES):
        number = (turn // 2 * 7919) % size
        change = text(2 + turn, [line(number, "active" if turn % 2 else "leaving")], False) + b"\n"

        def follow(change: bytes = change) -> None:
            for raw in texts.feed(change):
                assert raw is not None
                roster.accept(raw)

        lines.append(spent(follow)[0])
    found.spread("changed line", size, lines)
    found.note("changed line", "bytes", "one", size, len(change))


def grown(servers: int) -> int:
    """Bytes that a roster of this size takes in this process."""
    before = resident()
    roster = EndpointTable(ListReader(named()), cast(RequestPipeline, Ear()))
    roster.accept(json.loads(text(1, [line(number) for number in range(servers)], True)))
    return resident() - before


def measure(most: int | None) -> list[Series]:
    largest = SERVERS if most is None else min(SERVERS, most)
    found = Found("servers", bound_bytes=MAX_LIST_BYTES)
    for size in doublings(10, largest):
        at(size, found)
        print(f"lists: {size} servers", file=sys.stderr, flush=True)
    points: list[Point] = [
        (size, in_a_child(f"from benchmarks.scale.lists import grown; print(grown({size}))"))
        for size in doublings(min(10_000, largest), largest)
    ]
    return [
        *found.series(),
        Series("memory, peak of taking a list", "bytes", "servers", "one", points),
    ]
