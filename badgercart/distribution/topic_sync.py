"""Brings the topics of a follower up to date over one connection.

A topic changes only by a complete snapshot with the right digest, or by the delta of the next
version. All other messages leave it unchanged.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from badgercart.distribution.effects import UpdateTopic
from badgercart.distribution.errors import ReplicaAbandonedError, TopicGapError
from badgercart.distribution.followed_topics import FollowedTopics
from badgercart.distribution.messages import Delta, Entry, Rejection, Snapshot
from badgercart.distribution.topic import Topic, framed_size

# The limit of parts in the snapshot of one topic.
MAX_SNAPSHOT_PARTS = 4096
# After more gaps on one connection the replica is abandoned.
MAX_GAPS = 8


@dataclass(slots=True)
class _SnapshotAssembly:
    """A snapshot of a topic that is partly received."""

    version: int
    digest: int
    parts: int
    entries: list[Entry] = field(default_factory=list)
    next_part: int = 1
    size_bytes: int = 0

    def continues_with(self, part: Snapshot) -> bool:
        """Return whether a part is the next one of this snapshot."""
        return (
            part.part == self.next_part
            and (part.version, part.digest, part.parts) == (self.version, self.digest, self.parts)
            and all(entry.value is not None for entry in part.entries)
        )


class TopicSync:
    """The synchronization of a follower's topics over one connection.

    Attributes:
        awaited: topics that were requested and not completely received.
        assembled_bytes: the size of all unfinished snapshots, with their framing.
    """

    __slots__ = (
        "_assemblies",
        "_faults",
        "_gap_count",
        "_resent_topics",
        "_topics",
        "assembled_bytes",
        "awaited",
    )

    def __init__(self, topics: FollowedTopics, faults: Counter[str]) -> None:
        self._topics = topics
        self._faults = faults
        self._assemblies: dict[str, _SnapshotAssembly] = {}
        self._gap_count = 0
        # Topics that were requested again because their entries were unusable.
        self._resent_topics: set[str] = set()
        self.assembled_bytes = 0
        empty = {name for name, topic in topics.by_name.items() if not topic.version}
        self.awaited = empty | topics.doubted

    @property
    def is_complete(self) -> bool:
        """Whether all topics are complete as of the replica's last message."""
        return not self.awaited and not self._topics.doubted

    def add_gap(self, gap: TopicGapError) -> None:
        """Record that a topic will be requested again because of a gap.

        Raises:
            ReplicaAbandonedError: there were too many gaps on this connection.
        """
        self._drop_assembly(gap.topic)
        self._faults[gap.kind] += 1
        self._gap_count += 1
        if self._gap_count > MAX_GAPS:
            detail = f"more than {MAX_GAPS} gaps, the last: {gap.topic}: {gap.detail}"
            raise ReplicaAbandonedError("gaps", detail)
        self.awaited.add(gap.topic)

    def may_resend(self, name: str) -> bool:
        """Return whether a topic with unusable entries may be requested again: once each."""
        if name in self._resent_topics:
            return False
        self._resent_topics.add(name)
        return True

    # Deltas.

    def apply_delta(self, delta: Delta) -> UpdateTopic | None:
        """Apply a delta; return None if it is ignored.

        Raises:
            TopicGapError: the topic must be requested again.
            ReplicaAbandonedError: the replica must be abandoned.
        """
        name, topic = delta.topic, self._topics.get(delta.topic)
        if name in self._topics.doubted:
            if name in self.awaited:
                # Only the requested snapshot can repair the topic.
                return None
            raise TopicGapError("unusable", name, f"change {delta.version} may mend it")
        if delta.version != topic.version + 1:
            self._check_repeated(delta, topic)
            return None
        if topic.digest_with(delta.entries) != delta.digest:
            self._topics.doubted.add(name)
            raise TopicGapError("digest", name, f"change {delta.version} has a wrong digest")
        self._topics.apply(delta)
        self._drop_assembly(name)
        self.awaited.discard(name)
        return UpdateTopic(name, delta.version, False, delta.entries)

    def _check_repeated(self, delta: Delta, topic: Topic) -> None:
        """Ignore a delta that was sent before, or repeated because of, a new subscription.

        Raises:
            TopicGapError: changes are missing before the delta.
            ReplicaAbandonedError: the delta is old although nothing was requested again.
        """
        name = delta.topic
        if name in self.awaited:
            return
        if delta.version > topic.version:
            raise TopicGapError("gap", name, f"change {delta.version} behind {topic.version}")
        if not self._gap_count:
            detail = f"{name} as of {delta.version}, which is {topic.version} here"
            raise ReplicaAbandonedError("older", detail)

    # Snapshots.

    def add_snapshot_part(self, part: Snapshot) -> UpdateTopic | None:
        """Add a part of a snapshot, and apply the snapshot with the last; return None before.

        Raises:
            TopicGapError: the topic must be requested again.
            ReplicaAbandonedError: the replica must be abandoned.
        """
        name, topic = part.topic, self._topics.get(part.topic)
        if part.version < topic.version:
            detail = f"{name} whole as of {part.version}, which is {topic.version} here"
            raise ReplicaAbandonedError("older", detail)
        assembly = self._assembly_for(part)
        self._extend(assembly, part)
        if assembly.next_part <= assembly.parts:
            return None
        return self._finish(name, assembly)

    def _assembly_for(self, part: Snapshot) -> _SnapshotAssembly:
        name = part.topic
        if part.part == 1 and 0 < part.parts <= MAX_SNAPSHOT_PARTS and part.version > 0:
            self._drop_assembly(name)
            self.awaited.add(name)
            assembly = _SnapshotAssembly(part.version, part.digest, part.parts)
            self._assemblies[name] = assembly
        started = self._assemblies.get(name)
        if started is None or not started.continues_with(part):
            detail = f"part {part.part} of {part.parts} as of {part.version} does not follow"
            raise TopicGapError("parts", name, detail)
        return started

    def _extend(self, assembly: _SnapshotAssembly, part: Snapshot) -> None:
        size_bytes = framed_size(part.entries)
        max_bytes = self._topics.max_bytes
        if self.assembled_bytes + size_bytes > max_bytes:
            detail = f"{part.topic} whole takes over {max_bytes} bytes"
            raise ReplicaAbandonedError("oversized", detail)
        assembly.entries += part.entries
        assembly.next_part += 1
        assembly.size_bytes += size_bytes
        self.assembled_bytes += size_bytes

    def _finish(self, name: str, assembly: _SnapshotAssembly) -> UpdateTopic:
        self._drop_assembly(name)
        topic, current = Topic(assembly.version, assembly.entries), self._topics.get(name)
        if topic.digest != assembly.digest:
            self._topics.doubted.add(name)
            raise TopicGapError(
                "digest", name, f"the whole of {assembly.version} has a wrong digest"
            )
        is_doubted = name in self._topics.doubted
        self._topics.replace(name, topic, assembly.size_bytes)
        if topic.version == current.version and topic.digest != current.digest and not is_doubted:
            # The replaced content was not part of the group's history.
            self._faults["other"] += 1
        self.awaited.discard(name)
        return UpdateTopic(name, topic.version, True, tuple(assembly.entries))

    def _drop_assembly(self, name: str) -> None:
        assembly = self._assemblies.pop(name, None)
        if assembly is not None:
            self.assembled_bytes -= assembly.size_bytes

    # Rejections.

    def mark_unknown(self, rejection: Rejection) -> bool:
        """Record that the replica doesn't have a topic; return whether that was not known.

        Raises:
            ReplicaAbandonedError: the follower has the topic, so the replica lags behind it.
        """
        name, topic = rejection.topic, self._topics.get(rejection.topic)
        if topic.version:
            detail = f"it knows no {name}, which is {topic.version} here"
            raise ReplicaAbandonedError("behind", detail)
        self.awaited.discard(name)
        if name in self._topics.unknown:
            return False
        self._topics.unknown.add(name)
        return True
