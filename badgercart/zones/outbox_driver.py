"""Sends the messages of an outbox in batches, after the current event is processed."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from badgercart.cluster.effects import Effect
from badgercart.zones.outbox import Outbox


class OutboxDriver:
    """Empties an outbox on the node's event loop."""

    def __init__(
        self,
        outbox: Outbox,
        loop: asyncio.AbstractEventLoop,
        send: Callable[[list[Effect]], None],
    ) -> None:
        """Register as the driver of an outbox.

        Args:
            outbox: the outbox of a controller.
            loop: the event loop of the node.
            send: executes effects of the cluster protocol.
        """
        self._outbox, self._loop, self._send = outbox, loop, send
        self._handle: asyncio.Handle | None = None
        outbox.on_ready = self.schedule

    def schedule(self) -> None:
        """Flush in the next iteration of the event loop."""
        if self._handle is None:
            self._handle = self._loop.call_soon(self.flush)

    def flush(self) -> None:
        """Send all waiting messages."""
        self.close()
        if self._outbox:
            self._send(self._outbox.take())

    def close(self) -> None:
        """Cancel a scheduled flush."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None
