"""One replica: its Raft node, its service for subscribers and operators, its connections. No I/O.

Each call is an event with its time in ms on a monotonic clock. It returns effects, which must be
executed in order, because a message may depend on state that an earlier effect persists.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from typing import Any

from badgercart.distribution.connections import Connection, ConnectionTable
from badgercart.distribution.effects import Close, Effect, EffectQueue, RecoveredState
from badgercart.distribution.errors import ConnectionRejectedError, SubscriptionRejectedError
from badgercart.distribution.messages import (
    MESSAGE_LABELS,
    Hello,
    Message,
    Propose,
    Rejection,
    Subscribe,
)
from badgercart.distribution.proposals import Proposals, ProposalService
from badgercart.distribution.publisher import Publisher
from badgercart.distribution.raft.node import RaftNode
from badgercart.distribution.raft.state import Peer, RaftState
from badgercart.distribution.replica_config import ReplicaGroup, ReplicaLimits, ReplicaTiming
from badgercart.distribution.state_machine import TopicStateMachine
from badgercart.distribution.topic import Topic, TopicTable


class Replica:
    """Replicates topics with the other replicas of its group, and publishes them.

    Attributes:
        group: the replicas of the group, and the name of this one.
        raft: the Raft node that decides which changes are committed.
        publisher: sends committed changes to subscribers.
        proposals: the pending proposals of operators.
        connections: all open connections.
    """

    def __init__(
        self,
        group: ReplicaGroup,
        timing: ReplicaTiming,
        rng: random.Random,
        recovered: RecoveredState,
        limits: ReplicaLimits | None = None,
    ) -> None:
        """Continue from recovered state, which the replica owns from now on."""
        limits = ReplicaLimits() if limits is None else limits
        topics = TopicTable(recovered.topics)
        self.group = group
        self._timing = timing
        self._limits = limits
        self._effects = EffectQueue()
        self.connections = ConnectionTable(group)
        self.publisher = Publisher(topics, limits)
        self.proposals = Proposals(topics, limits)
        machine = TopicStateMachine(self.publisher, self.proposals, self.connections, self._effects)
        self.raft = RaftNode(
            RaftState(group, recovered, machine, self._effects, limits), timing, rng
        )
        # When the next heartbeat to subscribers is due.
        self._heartbeat_due_ms = math.inf
        self._proposal_service = ProposalService(self.proposals, self.raft, topics, self._effects)
        self._handlers: dict[type[Message], Callable[[Connection, Any], None]] = {
            Subscribe: self._handle_subscribe,
            Propose: self._handle_propose,
        }

    # State that may be read between events.

    @property
    def topics(self) -> dict[str, Topic]:
        """All topics as of the commit index, which the caller must not change."""
        return self.publisher.topics.by_name

    @property
    def due_ms(self) -> float:
        """When `tick` has to be called next."""
        if self.publisher.ready:
            return self.raft.state.now_ms
        return min(self.raft.due_ms, self._heartbeat_due_ms)

    def age_ms(self, now_ms: float) -> float:
        """Return the time since this replica was known to be complete; infinite if it never was."""
        return self.raft.age.age_ms(now_ms)

    def replicas_to_dial(self) -> tuple[str, ...]:
        """Return the replicas to connect to: those later in name order and not connected.

        So each pair of replicas is connected by only one of them.
        """
        reached = self.connections.dialled_or_connected()
        local = self.group.local
        return tuple(name for name in self.group.members if name > local and name not in reached)

    def recoverable_state(self) -> RecoveredState:
        """Return the state to persist for a restart, for a compaction of the journal.

        The topics are not copied: they must be written before the replica's next event.
        """
        return self.raft.state.recoverable_state(self.topics)

    # Events.

    def start(self, now_ms: float) -> list[Effect]:
        """Start the replica."""
        self.raft.state.now_ms = now_ms
        self._heartbeat_due_ms = now_ms + self._timing.subscriber_heartbeat_interval_ms
        self.raft.elections.start()
        return self._end_event()

    def tick(self, now_ms: float) -> list[Effect]:
        """Handle expired timers."""
        self._advance_clock(now_ms)
        self.raft.tick()
        now_ms = self.raft.state.now_ms
        if now_ms >= self._heartbeat_due_ms:
            self._heartbeat_due_ms = now_ms + self._timing.subscriber_heartbeat_interval_ms
            complete_at_ms = now_ms - self.age_ms(now_ms)
            self._effects.extend(self.publisher.heartbeats(now_ms, complete_at_ms))
            self._close_timed_out()
        self._effects.extend(self.publisher.send_ready(now_ms))
        return self._end_event()

    def connected(self, now_ms: float, connection: int, replica: str) -> list[Effect]:
        """Add a connection to another replica that this one has dialled."""
        return self._open(now_ms, Connection(connection, now_ms, dialled=replica))

    def accepted(self, now_ms: float, connection: int) -> list[Effect]:
        """Add an accepted connection, whose Hello identifies the other end."""
        return self._open(now_ms, Connection(connection, now_ms))

    def closed(self, now_ms: float, connection: int) -> list[Effect]:
        """Remove a connection that either end has closed."""
        self._advance_clock(now_ms)
        self._forget(connection)
        return self._end_event()

    def received(self, now_ms: float, connection: int, message: Message) -> list[Effect]:
        """Handle a received message."""
        self._advance_clock(now_ms)
        self.raft.check_lease()
        source = self.connections.by_number.get(connection)
        # Without an entry the connection was closed by this replica.
        if source is not None:
            try:
                self._handle(source, message)
            except ConnectionRejectedError as rejected:
                self._close(connection, rejected)
        return self._end_event()

    def writable(self, now_ms: float, connection: int) -> list[Effect]:
        """Resume sending to a connection that was stalled."""
        self._advance_clock(now_ms)
        source = self.connections.by_number.get(connection)
        if source is not None:
            self.connections.set_stalled(source, False)
            if source.peer is not None:
                self.raft.replication.send_to(source.peer)
            else:
                resumed = self.publisher.resume(self.raft.state.now_ms, connection)
                self._effects.extend(resumed)
        return self._end_event()

    def stalled(self, now_ms: float, connection: int) -> list[Effect]:
        """Stop sending to a connection until it is writable again."""
        self._advance_clock(now_ms)
        source = self.connections.by_number.get(connection)
        if source is not None:
            self.connections.set_stalled(source, True)
            self.publisher.pause(connection)
        return self._end_event()

    def _advance_clock(self, now_ms: float) -> None:
        state = self.raft.state
        state.now_ms = max(state.now_ms, now_ms)

    def _end_event(self) -> list[Effect]:
        self.publisher.end_event()
        return self._effects.take()

    # Connections.

    def _open(self, now_ms: float, connection: Connection) -> list[Effect]:
        self._advance_clock(now_ms)
        self.connections.by_number[connection.number] = connection
        identified = len(self.raft.state.peers) + len(self.publisher.subscriptions.subscribers)
        unidentified = len(self.connections.by_number) - identified
        max_unidentified = self._limits.max_unidentified_connections + len(self.group.members)
        if unidentified > max_unidentified:
            detail = f"{unidentified} connections have not said what they are for"
            self._close(connection.number, ConnectionRejectedError("too-many", detail))
        else:
            self._effects.send(connection.number, Hello(self.group.local, True))
        return self._end_event()

    def _close(
        self, connection: int, reason: ConnectionRejectedError | SubscriptionRejectedError
    ) -> None:
        self._forget(connection)
        self._effects.add(Close(connection, reason.kind, reason.detail))

    def _forget(self, number: int) -> None:
        connection = self.connections.by_number.pop(number, None)
        if connection is None:
            return
        self.publisher.unsubscribe(number)
        if connection.peer is not None:
            self.raft.peer_disconnected(connection.peer)

    def _close_timed_out(self) -> None:
        now_ms, timeout_ms = self.raft.state.now_ms, self._timing.reply_timeout_ms
        for connection in list(self.connections.by_number.values()):
            detail = self.connections.timeout_reason(connection, now_ms, timeout_ms)
            if detail:
                self._close(connection.number, ConnectionRejectedError("silent", detail))

    # Messages. Handlers raise ConnectionRejectedError if the connection must be closed.

    def _handle(self, source: Connection, message: Message) -> None:
        if isinstance(message, Hello):
            self._handle_hello(source, message)
        elif not source.name:
            detail = f"{MESSAGE_LABELS[type(message)]} came before Hello"
            raise ConnectionRejectedError("stray", detail)
        elif source.peer is not None:
            source.peer.awaiting_reply_since_ms = None
            self.raft.receive(source.peer, message)
        else:
            self._handle_request(source, message)

    def _handle_request(self, source: Connection, message: Message) -> None:
        handler = self._handlers.get(type(message))
        if handler is None:
            detail = f"{MESSAGE_LABELS[type(message)]} is not for a follower to say"
            raise ConnectionRejectedError("stray", detail)
        handler(source, message)

    def _handle_hello(self, source: Connection, hello: Hello) -> None:
        self.connections.identify(source, hello)
        if source.peer is not None:
            self._replace_peer(source.peer)
            self.raft.peer_connected(source.peer)

    def _replace_peer(self, peer: Peer) -> None:
        """Close the earlier connection of a replica that has connected again."""
        replaced = self.raft.state.peers.get(peer.name)
        if replaced is not None:
            detail = f"{peer.name!r} has a newer connection"
            self._close(replaced.connection, ConnectionRejectedError("replaced", detail))

    def _handle_subscribe(self, source: Connection, message: Subscribe) -> None:
        now_ms = self.raft.state.now_ms
        try:
            effects = self.publisher.subscribe(now_ms, source.number, message)
        except SubscriptionRejectedError as rejected:
            rejection = Rejection(rejected.kind, "", rejected.detail)
            self._effects.send(source.number, rejection)
            self._close(source.number, rejected)
        else:
            self._effects.extend(effects)

    def _handle_propose(self, source: Connection, proposal: Propose) -> None:
        self._proposal_service.handle(source.number, proposal)
