"""The state that all parts of a Raft node share: time, term, vote, role, log and peers."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from badgercart.distribution.effects import (
    EffectQueue,
    Persist,
    PersistSnapshot,
    RecoveredState,
)
from badgercart.distribution.messages import Change, InstallSnapshot, Message
from badgercart.distribution.raft.log import RaftLog
from badgercart.distribution.replica_config import ReplicaGroup, ReplicaLimits
from badgercart.distribution.topic import Topic


class Role(Enum):
    """The role of a replica in its current term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class StateMachine(Protocol):
    """Applies committed changes, and is notified of changes of leadership."""

    @property
    def topics(self) -> dict[str, Topic]:
        """All topics as of the commit index."""

    def apply(self, change: Change, is_leader: bool) -> None:
        """Apply the next committed change."""

    def install_snapshot(self, topics: dict[str, Topic]) -> None:
        """Replace all topics."""

    def change_appended(self, change: Change) -> None:
        """Handle a change that this leader has appended to its log."""

    def leadership_gained(self, uncommitted: list[Change]) -> None:
        """Prepare for proposals, given the uncommitted changes that earlier leaders left."""

    def leadership_lost(self) -> None:
        """Respond to all proposals that are not committed."""


@dataclass(slots=True)
class Progress:
    """A leader's knowledge of one peer's log in the current term.

    Attributes:
        commit_index: the peer's commit index; None until the peer has reported it.
        match_index: the log index up to which the peer's log matches the leader's.
        sent_commit_index: the leader's commit index in the last message to the peer.
        in_flight: whether a message waits for a response; there is one at a time.
        sent_at_ms: when that message was sent.
        snapshot_parts: the remaining parts of a snapshot in progress; None without one.
    """

    commit_index: int | None = None
    match_index: int = 0
    sent_commit_index: int = 0
    in_flight: bool = False
    sent_at_ms: float = 0.0
    snapshot_parts: Iterator[InstallSnapshot] | None = None

    def begin_term(self) -> None:
        """Reset the progress for a new leader."""
        self.sent_commit_index = 0
        self.end_term()

    def end_term(self) -> None:
        """Reset the progress and release the copy of a snapshot, once leadership is lost."""
        self.commit_index, self.match_index = None, 0
        self.in_flight, self.snapshot_parts = False, None


@dataclass(slots=True)
class Peer:
    """Another replica of the group, on the connection over which it sent its Hello.

    Attributes:
        name: its name.
        connection: the number of the connection.
        stalled: whether its write buffer is over the driver's high-water mark.
        awaiting_reply_since_ms: when the oldest request without a reply was sent; None without one.
        leader_acked_at_ms: when this replica last acknowledged it as leader of the current term.
        progress: its replication progress, while this replica leads.
    """

    name: str
    connection: int
    stalled: bool = False
    awaiting_reply_since_ms: float | None = None
    leader_acked_at_ms: float | None = None
    progress: Progress = field(default_factory=Progress)


class RaftState:
    """Term, vote, role, log and peers of one replica, with the time of the current event.

    All changes of state that has to survive a restart go through `persist_term`, `append` or
    `commit_to`.

    Attributes:
        group: the replicas of the group.
        limits: bounds of the log and of snapshots.
        machine: the state machine that committed changes are applied to.
        effects: the queue of effects.
        now_ms: the time of the current event.
        term: the current term.
        voted_for: the replica that got this one's vote in the current term; empty: none.
        log: the replicated log.
        role: the role in the current term.
        leader: the name of the current term's leader; empty: not known.
        term_start_index: while leading, the log index of the first change of the current term.
        peers: connected replicas by name, in the order of their connections.
    """

    __slots__ = (
        "effects",
        "group",
        "leader",
        "limits",
        "log",
        "machine",
        "now_ms",
        "peers",
        "role",
        "term",
        "term_start_index",
        "voted_for",
    )

    def __init__(
        self,
        group: ReplicaGroup,
        recovered: RecoveredState,
        machine: StateMachine,
        effects: EffectQueue,
        limits: ReplicaLimits,
    ) -> None:
        """Continue from recovered state, and apply its committed changes to the state machine."""
        self.group = group
        self.limits = limits
        self.machine = machine
        self.effects = effects
        self.now_ms = 0.0
        self.term, self.voted_for = recovered.term, recovered.voted_for
        self.log = RaftLog(
            recovered.snapshot_index,
            recovered.snapshot_term,
            limits.max_log_changes,
            limits.max_log_bytes,
        )
        self.log.changes += recovered.changes
        self.role = Role.FOLLOWER
        self.leader = ""
        self.term_start_index = 0
        self.peers: dict[str, Peer] = {}
        self.commit_to(recovered.commit_index)

    @property
    def is_leader(self) -> bool:
        """Whether this replica leads the current term, as far as it knows."""
        return self.role is Role.LEADER

    @property
    def is_voter(self) -> bool:
        """Whether this replica has a vote."""
        return self.group.is_voter(self.group.local)

    def is_majority(self, count: int) -> bool:
        """Return whether this many voters are more than half of all voters."""
        return 2 * count > len(self.group.voters)

    def persist_term(self) -> None:
        """Persist the term and the vote before any later effect."""
        self._persist(self.log.last_index, ())

    def append(self, after_index: int, changes: tuple[Change, ...]) -> None:
        """Replace the log after an index, and persist that before any later effect."""
        self.log.replace_tail(after_index, changes)
        self._persist(after_index, changes)

    def _persist(self, after_index: int, changes: tuple[Change, ...]) -> None:
        commit_index = self.log.commit_index
        self.effects.add(Persist(self.term, self.voted_for, after_index, changes, commit_index))

    def commit_to(self, index: int) -> None:
        """Commit the log up to an index and apply what was committed."""
        while self.log.commit_index < index:
            self.machine.apply(self.log.commit_next(), self.is_leader)
        self.log.compact()

    def send(self, peer: Peer, message: Message) -> None:
        """Send a message to a peer."""
        self.effects.send(peer.connection, message)

    def request(self, peer: Peer, message: Message) -> None:
        """Send a message that requires a reply."""
        if peer.awaiting_reply_since_ms is None:
            peer.awaiting_reply_since_ms = self.now_ms
        self.send(peer, message)

    def recoverable_state(self, topics: dict[str, Topic]) -> RecoveredState:
        """Return the state to persist for a restart, given the topics as of the commit index."""
        log = self.log
        return RecoveredState(
            term=self.term,
            voted_for=self.voted_for,
            commit_index=log.commit_index,
            snapshot_index=log.commit_index,
            snapshot_term=log.term_at(log.commit_index),
            topics=topics,
            changes=tuple(log.uncommitted()),
        )

    def persist_snapshot(self, topics: dict[str, Topic]) -> None:
        """Persist topics and log in place of everything that was persisted before."""
        self.effects.add(PersistSnapshot(self.recoverable_state(topics)))
