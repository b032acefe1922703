"""Hybrid logical clocks (Kulkarni et al. 2014), which order the events of all nodes causally."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

# How far a received timestamp may advance this clock ahead of the wall clock.
MAX_CLOCK_LEAD_MS = 60_000


class HybridTimestamp(NamedTuple):
    """A position in the order of all nodes' events.

    Attributes:
        wall_ms: Unix time in ms.
        counter: distinguishes events of the same millisecond.
    """

    wall_ms: int
    counter: int


class HybridLogicalClock:
    """A clock whose timestamps only grow; received timestamps advance it, within a bound.

    Args:
        wall_clock_ms: returns the Unix time in ms.
    """

    __slots__ = ("latest", "wall_clock_ms")

    def __init__(self, wall_clock_ms: Callable[[], float]) -> None:
        self.wall_clock_ms = wall_clock_ms
        self.latest = HybridTimestamp(0, 0)

    def tick(self) -> HybridTimestamp:
        """Return the timestamp of a local event, such as sending a message."""
        wall_ms = int(self.wall_clock_ms())
        if wall_ms > self.latest.wall_ms:
            self.latest = HybridTimestamp(wall_ms, 0)
        else:
            self.latest = HybridTimestamp(self.latest.wall_ms, self.latest.counter + 1)
        return self.latest

    def observe(self, remote: HybridTimestamp) -> HybridTimestamp:
        """Return a timestamp for receiving a message, later than the message's own timestamp.

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
