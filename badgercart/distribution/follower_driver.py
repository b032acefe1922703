"""A follower on sockets."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from badgercart.config import Address
from badgercart.distribution import log_events
from badgercart.distribution.driver import Driver, Runtime
from badgercart.distribution.effects import Close, Dial, LogEvent, UpdateTopic
from badgercart.distribution.follower import Follower
from badgercart.distribution.link import Link


class FollowerDriver(Driver):
    """One follower and the connection that it wants.

    Attributes:
        follower: the machine.
        on_event: called after each event, when the topics may have been proven fresh.
        local_host: the address to connect from; None: any.
    """

    def __init__(
        self,
        runtime: Runtime,
        follower: Follower,
        replicas: tuple[Address, ...],
        on_update: Callable[[UpdateTopic], None],
    ) -> None:
        """Make a driver that has not begun.

        Args:
            runtime: what it runs on.
            follower: the machine.
            replicas: their addresses, in the order of the settings.
            on_update: called with each update that is in force.
        """
        super().__init__(runtime, follower)
        self.follower = follower
        self.on_event: Callable[[], None] | None = None
        self.local_host: str | None = None
        self._replicas = replicas
        self._dials: dict[int, asyncio.Task[None]] = {}
        self._handlers[Dial] = self._handle_dial
        self._handlers[UpdateTopic] = on_update

    def start(self) -> None:
        """Begin."""
        self.is_open = True
        self.perform(self.follower.start(self.clock()))

    # Effects.

    def _handle_dial(self, effect: Dial) -> None:
        task = self.start_task(self.loop.create_task(self.dial(effect)))
        self._dials[effect.connection] = task
        task.add_done_callback(lambda _: self._dials.pop(effect.connection, None))

    def _handle_close(self, effect: Close) -> None:
        task = self._dials.pop(effect.connection, None)
        if task is not None:
            task.cancel()  # the connection is not up yet
        super()._handle_close(effect)

    def _handle_log_event(self, effect: LogEvent) -> None:
        """Log an event, with a replica's address in place of its position."""
        fields: dict[str, Any] = dict(effect.fields)
        position = fields.get("store")
        if isinstance(position, int):
            host, port = self._replicas[position]
            fields["store"] = f"{host}:{port}"
        log_events.log(LogEvent(effect.name, fields))

    def _after_effects(self) -> None:
        if self.on_event is not None:
            self.on_event()

    # Links.

    def link_opened(self, link: Link) -> None:
        """Tell the follower of a connection that is up."""
        super().link_opened(link)
        self.perform(self.follower.connected(self.clock(), link.number))

    async def dial(self, effect: Dial) -> None:
        """Connect to a replica."""
        link = Link(self, effect.connection)
        address = self._replicas[effect.replica]
        local = None if self.local_host is None else (self.local_host, 0)
        try:
            await self.loop.create_connection(lambda: link, *address, local_addr=local)
        except OSError:
            self.perform(self.follower.closed(self.clock(), effect.connection))
