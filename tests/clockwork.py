"""A clock and timers that stand still until a test moves them."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from typing import Any


class Ring:
    """A timer that is set."""

    def __init__(self) -> None:
        self.cancelled = False

    def cancel(self) -> None:
        self.cancelled = True


class Clockwork:
    """`clock()` in ms, `call_later` in s, as an event loop has them."""

    def __init__(self, start: float = 50_000.0) -> None:
        self.now = start
        self.waiting: list[tuple[float, int, Ring, Callable[..., object], tuple[Any, ...]]] = []
        self.numbers = itertools.count()

    def clock(self) -> float:
        return self.now

    def call_later(self, delay: float, callback: Callable[..., object], *args: Any) -> Ring:
        ring = Ring()
        heapq.heappush(
            self.waiting, (self.now + delay * 1000, next(self.numbers), ring, callback, args)
        )
        return ring

    def advance(self, ms: float) -> None:
        """Let time pass, and ring what is due on the way."""
        end = self.now + ms
        while self.waiting and self.waiting[0][0] <= end:
            at, _, ring, callback, args = heapq.heappop(self.waiting)
            if not ring.cancelled:
                self.now = max(self.now, at)
                callback(*args)
        self.now = end

    @property
    def set(self) -> int:
        """How many timers will ring."""
        return sum(not ring.cancelled for _, _, ring, _, _ in self.waiting)
