"""Virtual time: a queue of scheduled callbacks. No I/O.

Callbacks that are due at the same time run in the order in which they were scheduled. No other
tie-breaker is used, so that a simulation is the same on any machine.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any


class TimerHandle:
    """Handle of a scheduled callback that can be cancelled."""

    __slots__ = ("cancelled",)

    def __init__(self) -> None:
        self.cancelled = False

    def cancel(self) -> None:
        """Prevent the callback from running."""
        self.cancelled = True


class VirtualClock:
    """Discrete-event scheduler whose time is in ms.

    `call_later` is the interface that the request pipeline uses for its timers.
    """

    def __init__(self) -> None:
        self.now_ms = 0.0
        self.queue: list[tuple[float, int, Callable[..., object], tuple[Any, ...]]] = []
        # Callbacks scheduled so far, which orders those that are due at the same time.
        self.scheduled_count = 0
        self.executed_events = 0

    def time(self) -> float:
        """Return the current time (ms)."""
        return self.now_ms

    def call_at(self, time_ms: float, callback: Callable[..., object], *args: Any) -> None:
        """Schedule a callback at a time, or now if that time has passed."""
        self.scheduled_count += 1
        heapq.heappush(
            self.queue, (max(time_ms, self.now_ms), self.scheduled_count, callback, args)
        )

    def call_after(self, delay_ms: float, callback: Callable[..., object], *args: Any) -> None:
        """Schedule a callback after a delay."""
        self.call_at(self.now_ms + delay_ms, callback, *args)

    def call_later(self, delay: float, callback: Callable[..., object], *args: Any) -> TimerHandle:
        """Schedule a callback after `delay` seconds, unless its handle is cancelled."""
        handle = TimerHandle()
        self.call_at(self.now_ms + delay * 1000, self._run_timer, handle, callback, args)
        return handle

    def _run_timer(
        self, handle: TimerHandle, callback: Callable[..., object], args: tuple[Any, ...]
    ) -> None:
        if not handle.cancelled:
            callback(*args)

    def run(self, until_ms: float) -> None:
        """Run all callbacks that are due at or before a time, and advance to it."""
        queue, pop = self.queue, heapq.heappop
        while queue and queue[0][0] <= until_ms:
            self.now_ms, _, callback, args = pop(queue)
            self.executed_events += 1
            callback(*args)
        self.now_ms = max(self.now_ms, until_ms)
