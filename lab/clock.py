"""Virtual time: a queue of what is to happen. No I/O.

What is due at one time happens in the order in which it was asked for; nothing else breaks a tie,
so that a day is the same on any machine.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any


class TimerHandle:
    """Something that will happen, unless it is cancelled."""

    __slots__ = ("cancelled",)

    def __init__(self) -> None:
        self.cancelled = False

    def cancel(self) -> None:
        self.cancelled = True


class VirtualClock:
    """Time in ms. `call_later` is the join's port for timers."""

    def __init__(self) -> None:
        self.now_ms = 0.0
        self.queue: list[tuple[float, int, Callable[..., object], tuple[Any, ...]]] = []
        self.scheduled_count = 0  # asked for so far: the order of ties
        self.executed_events = 0

    def time(self) -> float:
        return self.now_ms

    def call_at(self, when: float, callback: Callable[..., object], *args: Any) -> None:
        """Call at a time (ms), or now where that is past."""
        self.scheduled_count += 1
        heapq.heappush(self.queue, (max(when, self.now_ms), self.scheduled_count, callback, args))

    def call_after(self, ms: float, callback: Callable[..., object], *args: Any) -> None:
        self.call_at(self.now_ms + ms, callback, *args)

    def call_later(self, delay: float, callback: Callable[..., object], *args: Any) -> TimerHandle:
        """After `delay` s, unless the handle is cancelled."""
        due = TimerHandle()
        self.call_at(self.now_ms + delay * 1000, self._run_timer, due, callback, args)
        return due

    def _run_timer(
        self, due: TimerHandle, callback: Callable[..., object], args: tuple[Any, ...]
    ) -> None:
        if not due.cancelled:
            callback(*args)

    def run(self, until: float) -> None:
        """Let all happen that is due before `until` (ms) or at it."""
        queue, pop = self.queue, heapq.heappop
        while queue and queue[0][0] <= until:
            self.now_ms, _, callback, args = pop(queue)
            self.executed_events += 1
            callback(*args)
        self.now_ms = max(self.now_ms, until)
