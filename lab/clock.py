"""Virtual time: a queue of what is to happen. No I/O.

What is due at one time happens in the order in which it was asked for; nothing else breaks a tie,
so that a day is the same on any machine.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any


class Due:
    """Something that will happen, unless it is cancelled."""

    __slots__ = ("cancelled",)

    def __init__(self) -> None:
        self.cancelled = False

    def cancel(self) -> None:
        self.cancelled = True


class Clock:
    """Time in ms. `call_later` is the join's port for timers."""

    def __init__(self) -> None:
        self.now = 0.0
        self.queue: list[tuple[float, int, Callable[..., object], tuple[Any, ...]]] = []
        self.count = 0  # asked for so far: the order of ties
        self.done = 0

    def time(self) -> float:
        return self.now

    def at(self, when: float, callback: Callable[..., object], *args: Any) -> None:
        """Call at a time (ms), or now where that is past."""
        self.count += 1
        heapq.heappush(self.queue, (max(when, self.now), self.count, callback, args))

    def after(self, ms: float, callback: Callable[..., object], *args: Any) -> None:
        self.at(self.now + ms, callback, *args)

    def call_later(self, delay: float, callback: Callable[..., object], *args: Any) -> Due:
        """After `delay` s, unless the handle is cancelled."""
        due = Due()
        self.at(self.now + delay * 1000, self._ring, due, callback, args)
        return due

    def _ring(self, due: Due, callback: Callable[..., object], args: tuple[Any, ...]) -> None:
        if not due.cancelled:
            callback(*args)

    def run(self, until: float) -> None:
        """Let all happen that is due before `until` (ms) or at it."""
        queue, pop = self.queue, heapq.heappop
        while queue and queue[0][0] <= until:
            self.now, _, callback, args = pop(queue)
            self.done += 1
            callback(*args)
        self.now = max(self.now, until)
