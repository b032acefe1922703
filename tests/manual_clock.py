"""A clock and timers whose time a test advances."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from typing import Any


class ManualTimer:
    """A timer that is set."""

    def __init__(self) -> None:
        self.cancelled = False

    def cancel(self) -> None:
        """Cancel the timer."""
        self.cancelled = True


class ManualClock:
    """The clock of a pipeline (ms) and `call_later` of an event loop (s)."""

    def __init__(self, start: float = 50_000.0) -> None:
        self.now = start
        self.waiting: list[
            tuple[float, int, ManualTimer, Callable[..., object], tuple[Any, ...]]
        ] = []
        self.numbers = itertools.count()

    def clock(self) -> float:
        """Return the time in ms."""
        return self.now

    def call_later(
        self, delay_s: float, callback: Callable[..., object], *args: Any
    ) -> ManualTimer:
        """Set a timer as an event loop does."""
        timer = ManualTimer()
        heapq.heappush(
            self.waiting, (self.now + delay_s * 1000, next(self.numbers), timer, callback, args)
        )
        return timer

    def advance(self, ms: float) -> None:
        """Let time pass, and fire the timers that are due on the way."""
        end = self.now + ms
        while self.waiting and self.waiting[0][0] <= end:
            due_ms, _, timer, callback, args = heapq.heappop(self.waiting)
            if not timer.cancelled:
                self.now = max(self.now, due_ms)
                callback(*args)
        self.now = end

    @property
    def set(self) -> int:
        """The number of timers that will fire."""
        return sum(not timer.cancelled for _, _, timer, _, _ in self.waiting)
