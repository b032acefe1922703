"""Hybrid logical clocks (Kulkarni et al. 2014): one order of all nodes' events that respects
cause."""

from __future__ import annotations

from collections.abc import Callable

MAX_AHEAD = 60_000  # ms that another's clock may pull ours ahead of our own wall clock

Stamp = tuple[int, int]  # Unix ms, and a counter among equals


class HybridClock:
    """Stamps that never go back. Another clock pulls ours along, within a bound."""

    def __init__(self, wall: Callable[[], float]) -> None:
        self.wall = wall  # Unix ms
        self.last: Stamp = (0, 0)

    def tick(self) -> Stamp:
        """The stamp of an event of our own, a message that is sent among them."""
        now = int(self.wall())
        self.last = (now, 0) if now > self.last[0] else (self.last[0], self.last[1] + 1)
        return self.last

    def hear(self, told: Stamp) -> Stamp:
        """The stamp of a message that came, behind the one that it bears."""
        now = int(self.wall())
        if told[0] > now + MAX_AHEAD:
            return self.tick()
        time = max(now, self.last[0], told[0])
        behind = [stamp[1] for stamp in (self.last, told) if stamp[0] == time]
        self.last = (time, max(behind) + 1 if behind else 0)
        return self.last
