"""Sends what the controller's outbox holds, all of it once the present event is over."""

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
        """Empty the outbox whenever something waits in it from now on.

        Args:
            outbox: of a controller.
            loop: of the node.
            send: carries out effects of the cluster protocol.
        """
        self._outbox, self._loop, self._send = outbox, loop, send
        self._handle: asyncio.Handle | None = None
        outbox.on_ready = self.schedule

    def schedule(self) -> None:
        """Flush once the present event is over."""
        if self._handle is None:
            self._handle = self._loop.call_soon(self.flush)

    def flush(self) -> None:
        """Send all that waits."""
        self.close()
        if self._outbox:
            self._send(self._outbox.take())

    def close(self) -> None:
        """Cancel what is scheduled."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None
