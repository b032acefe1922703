"""Timers on a clock that the caller advances. No I/O."""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable


class TimerQueue:
    """Callbacks by due time; callbacks due at the same time run in the order they were added.

    Attributes:
        now_ms: the node's monotonic clock, as advanced by the caller.
    """

    __slots__ = ("_count", "_timers", "now_ms")

    def __init__(self) -> None:
        self.now_ms = 0.0
        self._timers: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0

    @property
    def due_ms(self) -> float:
        """When the next callback is due (ms); infinity if there is none."""
        return self._timers[0][0] if self._timers else math.inf

    def advance(self, now_ms: float) -> None:
        """Set the clock, which never goes back."""
        self.now_ms = max(self.now_ms, now_ms)

    def after(self, delay_ms: float, callback: Callable[[], None]) -> None:
        """Schedule a callback after a delay."""
        self._count += 1
        heapq.heappush(self._timers, (self.now_ms + delay_ms, self._count, callback))

    def run_due(self) -> None:
        """Run all callbacks that are due, including those that are added meanwhile."""
        while self._timers and self._timers[0][0] <= self.now_ms:
            heapq.heappop(self._timers)[2]()

    def postpone(self, gap_ms: float) -> None:
        """Postpone all callbacks by `gap_ms`."""
        self._timers = [
            (due_ms + gap_ms, count, callback) for due_ms, count, callback in self._timers
        ]
        heapq.heapify(self._timers)
