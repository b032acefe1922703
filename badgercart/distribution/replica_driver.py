"""Runs a replica on TCP connections and a disk."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from badgercart.config import Address
from badgercart.distribution import log_events
from badgercart.distribution.driver import Driver, Runtime
from badgercart.distribution.effects import Close, Persist, PersistSnapshot
from badgercart.distribution.errors import JournalError
from badgercart.distribution.journal import Disk
from badgercart.distribution.link import Link
from badgercart.distribution.messages import Message, Status, StatusRequest
from badgercart.distribution.raft.state import Role
from badgercart.distribution.replica import Replica

DIAL_TIMEOUT_S = 1.0
# The pause before another replica is dialled again is drawn from between these.
MIN_DIAL_RETRY_S = 0.2
MAX_DIAL_RETRY_S = 1.0

# The names of roles on the wire and in the output for operators.
ROLE_LABELS = {
    Role.FOLLOWER: "following",
    Role.PRE_CANDIDATE: "pre-candidate",
    Role.CANDIDATE: "candidate",
    Role.LEADER: "leading",
}


@dataclass(slots=True, frozen=True)
class ReplicaAddresses:
    """The address on which a replica listens, and the addresses of the other replicas."""

    listen: Address
    by_name: Mapping[str, Address]


class ReplicaDriver(Driver):
    """Runs one replica: its listener, its connections to other replicas and its disk.

    A disk failure stops the replica, because it must not lose state that it has acknowledged.

    Attributes:
        replica: the state machine.
        disk: executes `Persist` and `PersistSnapshot` effects.
        listen: the address of the listener; after `start` with the real port.
        on_failure: called with the error after the disk has failed and all is closed.
    """

    def __init__(
        self,
        runtime: Runtime,
        replica: Replica,
        disk: Disk,
        addresses: ReplicaAddresses,
        rng: random.Random,
    ) -> None:
        """Create a driver that is not started; `rng` draws the pauses between dials."""
        super().__init__(runtime, replica)
        self.replica = replica
        self.disk = disk
        self.listen = addresses.listen
        self.on_failure: Callable[[Exception], None] | None = None
        self._addresses = addresses.by_name
        self._random = rng
        self._server: asyncio.Server | None = None
        self._dials: dict[str, asyncio.Task[None]] = {}
        self._last_number = 0
        self._is_disk_closed = False
        self._handlers[Persist] = self._handle_persist
        self._handlers[PersistSnapshot] = self._handle_persist

    async def start(self) -> None:
        """Listen and start the replica. Raises OSError if the address can't be used."""
        self._server = await self.loop.create_server(self.accept, *self.listen)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.listen, self.is_open = (host, port), True
        self.perform(self.replica.start(self.clock()))

    def close(self) -> None:
        """Close everything.

        The disk is closed only once, because its file descriptors may be reused afterwards.
        """
        super().close()
        if self._server is not None:
            self._server.close()
        if not self._is_disk_closed:
            self._is_disk_closed = True
            self.disk.close()

    def status(self) -> Status:
        """Return the replica's state, for operators."""
        replica, state = self.replica, self.replica.raft.state
        return Status(
            name=replica.group.local,
            role=ROLE_LABELS[state.role],
            leader=state.leader,
            term=state.term,
            commit_index=state.log.commit_index,
            last_index=state.log.last_index,
            subscribers=len(replica.publisher.subscriptions.subscribers),
            topics=len(replica.topics),
            entries=replica.publisher.topics.entry_count,
            age_ms=replica.age_ms(self.clock()),
        )

    # Effects.

    def _handle_persist(self, effect: Persist | PersistSnapshot) -> None:
        try:
            self.disk.persist(effect)
        except (OSError, JournalError) as error:
            self._fail(error)

    def _handle_close(self, effect: Close) -> None:
        link = self.links.get(effect.connection)
        if link is not None:
            self._count_refused(link, effect.kind, effect.detail)
        super()._handle_close(effect)

    def _after_effects(self) -> None:
        if self.disk.needs_compaction:
            try:
                self.disk.compact(self.replica.recoverable_state())
            except (OSError, JournalError) as error:
                self._fail(error)
                return
        for name in self.replica.replicas_to_dial():
            if name not in self._dials:
                self._dials[name] = self.start_task(self.loop.create_task(self._dial(name)))

    def _fail(self, error: Exception) -> None:
        log_events.STORE_FAILED(error=error)
        self.close()
        if self.on_failure is not None:
            self.on_failure(error)

    # Links.

    def accept(self) -> Link:
        """Create the link of an accepted connection."""
        return self._new_link("")

    def _new_link(self, replica: str) -> Link:
        self._last_number += 1
        return Link(self, self._last_number, replica)

    async def _dial(self, name: str) -> None:
        """Dial another replica once, then pause, also if the connection is closed at once."""
        link = self._new_link(name)
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(DIAL_TIMEOUT_S):
                await self.loop.create_connection(lambda: link, *self._addresses[name])
        await asyncio.sleep(self._random.uniform(MIN_DIAL_RETRY_S, MAX_DIAL_RETRY_S))
        del self._dials[name]
        if self.is_open:
            self.perform([])

    def link_opened(self, link: Link) -> None:
        """Notify the replica of an established connection."""
        super().link_opened(link)
        if link.replica:
            self.perform(self.replica.connected(self.clock(), link.number, link.replica))
        else:
            self.perform(self.replica.accepted(self.clock(), link.number))

    def message_received(self, link: Link, message: Message) -> None:
        """Respond to a status request, and pass other messages to the replica."""
        if isinstance(message, StatusRequest):
            self.send(link, self.status())
        else:
            super().message_received(link, message)

    def link_stalled(self, link: Link) -> None:
        """Notify the replica that a connection is stalled."""
        self.perform(self.replica.stalled(self.clock(), link.number))

    def link_writable(self, link: Link) -> None:
        """Notify the replica that a connection is writable again."""
        self.perform(self.replica.writable(self.clock(), link.number))
