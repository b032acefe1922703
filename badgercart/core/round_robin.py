"""Shares the event loop among connections that have much to do."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from time import monotonic

# How long the callbacks run in one iteration of the event loop, before sockets are read again.
TURN_S = 0.004


class RoundRobin:
    """Runs callbacks in turn, for a limited time in each iteration of the event loop.

    A callback does one small step, and adds itself again where it has more to do.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.waiting: deque[Callable[[], None]] = deque()
        self.scheduled = False

    def add(self, callback: Callable[[], None]) -> None:
        """Run the callback after those that wait already."""
        self.waiting.append(callback)
        self.schedule()

    def schedule(self) -> None:
        """Have `run` called in the next iteration of the loop."""
        if not self.scheduled:
            self.scheduled = True
            self.loop.call_soon(self.run)

    def run(self) -> None:
        """Run callbacks until the time is over; at least one."""
        self.scheduled = False
        end_s = monotonic() + TURN_S
        try:
            while self.waiting:
                self.waiting.popleft()()
                if monotonic() >= end_s:
                    break
        finally:
            if self.waiting:
                self.schedule()
