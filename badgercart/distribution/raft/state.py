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
    """What committed changes are applied to, and who has to know of leadership."""

    @property
    def topics(self) -> dict[str, Topic]:
        """All topics as of the commit index."""

    def apply(self, change: Change, is_leader: bool) -> None:
        """Apply the next committed change."""

    def install_snapshot(self, topics: dict[str, Topic]) -> None:
        """Replace all topics."""

    def change_appended(self, change: Change) -> None:
        """Note a change that this leader has put into its log."""

    def leadership_gained(self, uncommitted: list[Change]) -> None:
        """Prepare for proposals, with the changes that earlier leaders left."""

    def leadership_lost(self) -> None:
        """Answer all proposals that are not committed."""


@dataclass(slots=True)
class Progress:
    """What a leader knows of one peer's log, in this term."""

    commit_index: int | None = None  # that the peer has; None: it has not said so yet
    match_index: int = 0  # up to which its log is the same as the leader's
    sent_commit_index: int = 0  # the leader's commit index that it was sent last
    in_flight: bool = False  # one message at a time waits for a response
    sent_at_ms: float = 0.0  # of that message
    snapshot_parts: Iterator[InstallSnapshot] | None = None  # that are left to send

    def begin_term(self) -> None:
        """Forget what was known, for a new leader."""
        self.sent_commit_index = 0
        self.end_term()

    def end_term(self) -> None:
        """Forget what was known and drop the copy of a snapshot, once leadership is lost."""
        self.commit_index, self.match_index = None, 0
        self.in_flight, self.snapshot_parts = False, None


@dataclass(slots=True)
class Peer:
    """Another replica of the group, on the connection over which it has said Hello."""

    name: str
    connection: int
    stalled: bool = False  # more waits to be written to it than the driver holds
    awaiting_reply_since_ms: float | None = None
    leader_acked_at_ms: float | None = None  # when it was last answered as this term's leader
    progress: Progress = field(default_factory=Progress)


class RaftState:
    """Term, vote, role, log and peers of one replica, with the time of the current event.

    Whatever changes what a restart has to find again goes through `persist_term`, `append` or
    `commit_to`.
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
        """Go on from what was recovered, whose committed changes are applied to the machine."""
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
        self.leader = ""  # the name of this term's leader; empty: not known
        self.term_start_index = 0  # of the first change of our own term, as leader
        self.peers: dict[str, Peer] = {}  # by name, in the order in which they came
        self.commit_to(recovered.commit_index)

    @property
    def is_leader(self) -> bool:
        """Whether this replica leads its term, as far as it knows."""
        return self.role is Role.LEADER

    @property
    def is_voter(self) -> bool:
        """Whether this replica has a vote."""
        return self.group.is_voter(self.group.local)

    def is_majority(self, count: int) -> bool:
        """Tell whether so many voters are more than half of them."""
        return 2 * count > len(self.group.voters)

    def persist_term(self) -> None:
        """Have the term and the vote on disk before any later effect."""
        self._persist(self.log.last_index, ())

    def append(self, after_index: int, changes: tuple[Change, ...]) -> None:
        """Replace what the log has behind an index, and have that on disk before any later effect."""
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
        """Send a message that has to be answered."""
        if peer.awaiting_reply_since_ms is None:
            peer.awaiting_reply_since_ms = self.now_ms
        self.send(peer, message)

    def recoverable_state(self, topics: dict[str, Topic]) -> RecoveredState:
        """Return what a restart has to find, given the topics as of the commit index."""
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
        """Have topics and log on disk in place of all that was kept before."""
        self.effects.add(PersistSnapshot(self.recoverable_state(topics)))
