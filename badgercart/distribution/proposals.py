"""Proposals of operators: admission, and tracking until they are committed. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, field

from badgercart.distribution.effects import EffectQueue
from badgercart.distribution.errors import ProposalRejectedError
from badgercart.distribution.messages import (
    ANY_VERSION,
    MAX_ENTRIES,
    MAX_FRAME_BYTES,
    Change,
    Propose,
    ProposeResponse,
)
from badgercart.distribution.raft.node import RaftNode
from badgercart.distribution.replica_config import ReplicaLimits
from badgercart.distribution.topic import TopicTable, framed_size

# The limit of one change. The rest of a frame is left for the framing of each message with it.
MAX_CHANGE_BYTES = MAX_FRAME_BYTES - 4096


@dataclass(slots=True)
class ProjectedTopic:
    """The future state of a topic, once the leader's complete log is committed.

    Attributes:
        log_index: the log index of the topic's last change.
        version: the future version.
        entries: the uncommitted values by key; None for a removed key.
    """

    log_index: int
    version: int
    entries: dict[str, bytes | None] = field(default_factory=dict)


class UncommittedChanges:
    """The uncommitted changes of a leader's log, and the future state of the topics.

    Attributes:
        byte_count: the size of the entries of all uncommitted changes.
        entry_count: the number of these entries.
        projected: the future state of the topics with uncommitted changes.
    """

    __slots__ = ("_topics", "byte_count", "entry_count", "projected")

    def __init__(self, topics: TopicTable) -> None:
        self._topics = topics
        self.byte_count = 0
        self.entry_count = 0
        self.projected: dict[str, ProjectedTopic] = {}

    def add(self, change: Change) -> None:
        """Add the newest change of the log."""
        if not change.topic:
            return
        self.byte_count += framed_size(change.entries)
        self.entry_count += len(change.entries)
        projected = self.projected.get(change.topic)
        if projected is None:
            version = self._topics.version(change.topic)
            projected = self.projected[change.topic] = ProjectedTopic(0, version)
        projected.log_index = change.index
        projected.version += 1
        projected.entries.update((entry.key, entry.value) for entry in change.entries)

    def remove(self, change: Change) -> None:
        """Remove the oldest change, which is now committed."""
        if not change.topic:
            return
        self.byte_count -= framed_size(change.entries)
        self.entry_count -= len(change.entries)
        projected = self.projected.get(change.topic)
        if projected is not None and projected.log_index <= change.index:
            del self.projected[change.topic]

    def clear(self) -> None:
        """Remove all changes, since this replica no longer leads."""
        self.projected.clear()
        self.byte_count = self.entry_count = 0

    def version(self, topic: str) -> int:
        """Return the future version of a topic."""
        projected = self.projected.get(topic)
        return self._topics.version(topic) if projected is None else projected.version

    def value(self, topic: str, key: str) -> bytes | None:
        """Return the future value of a key; None if it will not exist."""
        projected = self.projected.get(topic)
        if projected is not None and key in projected.entries:
            return projected.entries[key]
        committed = self._topics.by_name.get(topic)
        return None if committed is None else committed.entries.get(key)

    def has_topic(self, topic: str) -> bool:
        """Return whether a topic exists or will exist."""
        return topic in self._topics.by_name or topic in self.projected

    def topic_count(self) -> int:
        """Return the future number of topics."""
        committed = self._topics.by_name
        return len(committed) + sum(name not in committed for name in self.projected)


@dataclass(slots=True, frozen=True)
class PendingProposal:
    """A proposal that is decided with a change that is in the log but not committed."""

    connection: int
    request_id: int
    topic: str


class Proposals:
    """The pending proposals of a leader.

    Attributes:
        uncommitted: the uncommitted changes in the log, also those of earlier leaders.
        by_index: pending proposals by the log index whose commit decides them.
        count: the number of pending proposals.
    """

    __slots__ = ("_limits", "_topics", "by_index", "count", "uncommitted")

    def __init__(self, topics: TopicTable, limits: ReplicaLimits) -> None:
        self._topics = topics
        self._limits = limits
        self.uncommitted = UncommittedChanges(topics)
        self.by_index: dict[int, list[PendingProposal]] = {}
        self.count = 0

    def check(self, proposal: Propose) -> None:
        """Raise ProposalRejectedError if a proposal can't be admitted."""
        size_bytes = framed_size(proposal.entries)
        self._check_size(proposal, size_bytes)
        self._check_pending(size_bytes)
        self._check_version(proposal)
        self._check_topic_count(proposal)
        self._check_entry_count(proposal)

    @staticmethod
    def _check_size(proposal: Propose, size_bytes: int) -> None:
        if size_bytes > MAX_CHANGE_BYTES or len(proposal.entries) > MAX_ENTRIES:
            detail = (
                f"{len(proposal.entries)} entries of {size_bytes} bytes, "
                f"{MAX_ENTRIES} of {MAX_CHANGE_BYTES} at most"
            )
            raise ProposalRejectedError("oversized", detail)

    def _check_pending(self, size_bytes: int) -> None:
        limits, pending_bytes = self._limits, self.uncommitted.byte_count
        if (
            self.count >= limits.max_pending_proposals
            or pending_bytes + size_bytes > limits.max_pending_bytes
        ):
            detail = f"{self.count} proposals of {pending_bytes} bytes wait to be decided"
            raise ProposalRejectedError("too-many", detail)

    def _check_version(self, proposal: Propose) -> None:
        version = self.uncommitted.version(proposal.topic)
        if proposal.expected_version not in (ANY_VERSION, version):
            detail = f"number {proposal.expected_version} was expected, it is {version}"
            raise ProposalRejectedError("conflict", detail)

    def _check_topic_count(self, proposal: Propose) -> None:
        if self.uncommitted.has_topic(proposal.topic):
            return
        count = self.uncommitted.topic_count()
        if count >= self._limits.max_topics:
            raise ProposalRejectedError("too-many", f"there are {count} topics, the most")

    def _check_entry_count(self, proposal: Propose) -> None:
        """Check the limit of entries of all topics, counting each proposed entry as a new one."""
        max_entries = self._limits.max_entries
        count = self._topics.entry_count + self.uncommitted.entry_count + len(proposal.entries)
        if count > max_entries:
            raise ProposalRejectedError(
                "too-many", f"there would be more than {max_entries} entries in all"
            )

    def is_no_op(self, proposal: Propose) -> bool:
        """Return whether all proposed values exist, or will once the log is committed."""
        proposed = {entry.key: entry.value for entry in proposal.entries}
        return all(
            self.uncommitted.value(proposal.topic, key) == value for key, value in proposed.items()
        )

    def add_pending(self, log_index: int, proposal: PendingProposal) -> None:
        """Add a proposal that is decided with the change at a log index."""
        self.by_index.setdefault(log_index, []).append(proposal)
        self.count += 1

    def take_decided(self, log_index: int) -> list[PendingProposal]:
        """Remove and return the proposals that are decided with the change at a log index."""
        decided = self.by_index.pop(log_index, [])
        self.count -= len(decided)
        return decided

    def take_all(self) -> list[PendingProposal]:
        """Remove and return all proposals, after this replica has lost leadership."""
        pending = [proposal for proposals in self.by_index.values() for proposal in proposals]
        self.by_index.clear()
        self.count = 0
        return pending


class ProposalService:
    """Handles proposals: rejects them, or appends their changes to the log."""

    __slots__ = ("_effects", "_proposals", "_raft", "_topics")

    def __init__(
        self, proposals: Proposals, raft: RaftNode, topics: TopicTable, effects: EffectQueue
    ) -> None:
        self._proposals = proposals
        self._raft = raft
        self._topics = topics
        self._effects = effects

    def handle(self, connection: int, proposal: Propose) -> None:
        """Append the change of a proposal to the log, or respond at once."""
        try:
            self._check(proposal)
        except ProposalRejectedError as rejected:
            self._respond(connection, proposal, rejected.kind, rejected.detail)
            return
        if self._proposals.is_no_op(proposal):
            index = self._index_of_current_value(proposal.topic)
            if index <= self._raft.state.log.commit_index:
                self._respond(connection, proposal, "", "")
                return
        else:
            index = self._raft.append(proposal.topic, proposal.entries)
        pending = PendingProposal(connection, proposal.request_id, proposal.topic)
        self._proposals.add_pending(index, pending)
        self._raft.replicate()

    def _check(self, proposal: Propose) -> None:
        if not self._raft.state.is_leader:
            raise ProposalRejectedError("not-leading", self._raft.state.leader)
        self._proposals.check(proposal)

    def _index_of_current_value(self, topic: str) -> int:
        """Return the log index whose commit makes the projected state of a topic final.

        Without an uncommitted change of the topic this is the first change of the leader's term:
        before that is committed, a later leader may have another state of the topic.
        """
        projected = self._proposals.uncommitted.projected.get(topic)
        if projected is None:
            return self._raft.state.term_start_index
        return projected.log_index

    def _respond(self, connection: int, proposal: Propose, error: str, detail: str) -> None:
        version = self._topics.version(proposal.topic)
        response = ProposeResponse(proposal.request_id, version, error, detail)
        self._effects.send(connection, response)
