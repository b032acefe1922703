"""Hybrid logical clocks (Kulkarni et al. 2014): an order of all nodes' events by causality."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

MAX_CLOCK_LEAD_MS = 60_000  # by which another node's clock may pull ours ahead of the wall clock


class HybridTimestamp(NamedTuple):
    """A point in the order of all nodes' events."""

    wall_ms: int  # Unix time
    counter: int  # tells events of one millisecond apart


class HybridLogicalClock:
    """Timestamps that never go back. Another node's clock pulls this one along, within a bound.

    Args:
        wall_clock_ms: gives the Unix time in ms.
    """

    __slots__ = ("latest", "wall_clock_ms")

    def __init__(self, wall_clock_ms: Callable[[], float]) -> None:
        self.wall_clock_ms = wall_clock_ms
        self.latest = HybridTimestamp(0, 0)

    def tick(self) -> HybridTimestamp:
        """Return the timestamp of a local event, such as a message that is sent."""
        wall_ms = int(self.wall_clock_ms())
        if wall_ms > self.latest.wall_ms:
            self.latest = HybridTimestamp(wall_ms, 0)
        else:
            self.latest = HybridTimestamp(self.latest.wall_ms, self.latest.counter + 1)
        return self.latest

    def observe(self, remote: HybridTimestamp) -> HybridTimestamp:
        """Return the timestamp of a received message, which is later than the one that it bears.

        A remote timestamp too far ahead of the wall clock is ignored.
        """
        wall_ms = int(self.wall_clock_ms())
        if remote.wall_ms > wall_ms + MAX_CLOCK_LEAD_MS:
            return self.tick()
        latest_ms = max(wall_ms, self.latest.wall_ms, remote.wall_ms)
        counters = [
            timestamp.counter
            for timestamp in (self.latest, remote)
            if timestamp.wall_ms == latest_ms
        ]
        self.latest = HybridTimestamp(latest_ms, max(counters) + 1 if counters else 0)
        return self.latest
