"""Restarted processes without a stored list are ready with the first list that they receive.

Nine in ten must be ready in time, whatever discovery does.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any

import pytest

from badgercart.discovery.backoff import MAX_OPEN_CALLS, OLDEST_CALL_TIMEOUT_S, CallTiming
from badgercart.discovery.catalog import Discovery
from tests.ends.discovery import QueueingDiscovery, ScriptedDiscovery
from tests.ends.test_list_change_delay import entry, run_on_virtual_time
from tests.ends.virtual import VirtualLoop

SOON_S = 0.01


def down(until: float, how: str) -> Callable[[QueueingDiscovery], None]:
    def fault(service: QueueingDiscovery) -> None:
        service.down = (0.0, service.loop.now + until, how)

    return fault


def slow(**how: float) -> Callable[[QueueingDiscovery], None]:
    def fault(service: QueueingDiscovery) -> None:
        for name, value in how.items():
            setattr(service, name, value)

    return fault


# What discovery does, how many processes start, and the time within which nine in ten are ready (s).
CASES: dict[str, tuple[Callable[[QueueingDiscovery], None], int, float]] = {
    "well": (slow(), 30, 0.1),
    "each answer takes 1.7 s": (slow(delay=1.7), 30, 1.75),
    "each answer takes 4 s": (slow(delay=4.0), 30, 4.05),
    "each answer takes 8 s": (slow(delay=8.0), 30, 8.05),
    "in turn, 50 ms a call": (slow(cost=0.05), 30, 1.4),
    "in turn, 20 ms a call": (slow(cost=0.02), 200, 3.7),
    "in turn, 50 ms a call, of many": (slow(cost=0.05), 200, 9.1),
    "in turn, 20 ms a call, and 503 after 1 s": (slow(cost=0.02, patience=1.0), 200, 10.0),
    "refuses for 4 s": (down(4.0, "refused"), 30, 5.5),
    "refuses for 8 s": (down(8.0, "refused"), 200, 9.5),
    "silent for 4 s": (down(4.0, "silent"), 30, 5.9),
    "silent for 8 s": (down(8.0, "silent"), 200, 9.9),
    "unreachable for 8 s": (down(8.0, "never up"), 200, 9.9),
    "503 for 8 s": (down(8.0, "503"), 200, 9.5),
    "closes for 8 s": (down(8.0, "closed after its head"), 200, 9.5),
}


@pytest.mark.parametrize("case", CASES)
def test_nine_in_ten_are_ready_in_time(case: str) -> None:
    fault, nodes, limit_s = CASES[case]

    async def test(loop: VirtualLoop) -> None:
        service = QueueingDiscovery(loop, 1, {"s-1": entry("s-1")})
        fault(service)
        begun, ready = loop.now, set[int]()

        def taking(node: int) -> Callable[[dict[str, Any]], int]:
            def take(raw: dict[str, Any]) -> int:
                ready.add(node)
                return int(raw["generation"])

            return take

        followers = [
            Discovery(("d", 1), taking(node), random.Random(node)) for node in range(nodes)
        ]
        for follower in followers:
            follower.start()
        await asyncio.sleep(limit_s)
        assert loop.now - begun <= limit_s + 0.001
        assert len(ready) >= 0.9 * nodes
        for follower in followers:
            follower.close()

    run_on_virtual_time(test)


def test_the_first_call_is_kept_for_long_and_then_closed() -> None:
    """Otherwise a service that takes longer than later calls are kept would never be heard."""

    async def test(loop: VirtualLoop) -> None:
        service = ScriptedDiscovery(loop, 1, {"s-1": entry("s-1")}, faults=["silent"] * 99)
        follower = Discovery(
            ("d", 1), lambda raw: 1, random.Random(1), timing=CallTiming.for_shared_service()
        )
        follower.start()
        await asyncio.sleep(SOON_S)
        (first,) = service.lines
        while not first.ended:
            assert len(service.lines) <= MAX_OPEN_CALLS
            await asyncio.sleep(0.1)
        assert OLDEST_CALL_TIMEOUT_S < loop.now - 1000.0 < OLDEST_CALL_TIMEOUT_S + 2.0
        follower.close()

    run_on_virtual_time(test)
