"""Runs a follower on a TCP connection."""

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
    """Runs one follower: dials replicas for it and passes its updates on.

    Attributes:
        follower: the state machine.
        on_event: called after each event, because the event may have proven the topics fresh.
        local_host: the local address to connect from; None: any.
    """

    def __init__(
        self,
        runtime: Runtime,
        follower: Follower,
        replicas: tuple[Address, ...],
        on_update: Callable[[UpdateTopic], None],
    ) -> None:
        """Create a driver that is not started.

        Args:
            runtime: the environment of the driver.
            follower: the state machine.
            replicas: the addresses of the replicas, in the order of the settings.
            on_update: called with each applied update.
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
        """Start the follower."""
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
            # The connection is not established yet.
            task.cancel()
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
        """Notify the follower of an established connection."""
        super().link_opened(link)
        self.perform(self.follower.connected(self.clock(), link.number))

    async def dial(self, effect: Dial) -> None:
        """Connect to a replica, and notify the follower if that fails."""
        link = Link(self, effect.connection)
        address = self._replicas[effect.replica]
        local = None if self.local_host is None else (self.local_host, 0)
        try:
            await self.loop.create_connection(lambda: link, *address, local_addr=local)
        except OSError:
            self.perform(self.follower.closed(self.clock(), effect.connection))
