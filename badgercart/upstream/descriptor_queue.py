"""Attempts that wait for a connection to be closed, as all descriptors are in use."""

from __future__ import annotations

import asyncio
from collections import deque


class DescriptorQueue:
    """A queue of attempts; the first that came is woken first."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.waiting: deque[asyncio.Future[None]] = deque()

    async def wait(self) -> None:
        """Wait until a connection has been closed."""
        turn: asyncio.Future[None] = self.loop.create_future()
        self.waiting.append(turn)
        try:
            await turn
        finally:
            if turn in self.waiting:
                self.waiting.remove(turn)

    def wake_next(self) -> None:
        """Wake the first that waits."""
        while self.waiting:
            turn = self.waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                return

    def __len__(self) -> int:
        """Return how many wait."""
        return len(self.waiting)
