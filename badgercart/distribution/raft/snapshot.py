"""Snapshots of all topics, sent in parts to a peer that needs changes no longer in the log."""

from __future__ import annotations

from collections.abc import Iterator

from badgercart.distribution.errors import SnapshotError
from badgercart.distribution.messages import InstallSnapshot, TopicPart
from badgercart.distribution.raft.log import CHANGE_FRAMING_BYTES
from badgercart.distribution.replica_config import ReplicaLimits
from badgercart.distribution.topic import MAX_PART_BYTES, Topic, framed_size


def snapshot_parts(
    topics: dict[str, Topic], term: int, last_index: int, last_term: int
) -> Iterator[InstallSnapshot]:
    """Split all topics into messages that each fit one frame.

    Args:
        topics: all topics as of `last_index`; the caller may change them after the call.
        term: the term of the leader that sends the snapshot.
        last_index: the log index of the last change that the topics contain.
        last_term: the term of the change at that index.
    """
    groups: list[list[TopicPart]] = [[]]
    bytes_left = MAX_PART_BYTES
    for name, topic in topics.items():
        for entries in topic.parts():
            size_bytes = framed_size(entries) + len(name.encode()) + CHANGE_FRAMING_BYTES
            if size_bytes > bytes_left and groups[-1]:
                groups.append([])
                bytes_left = MAX_PART_BYTES
            bytes_left -= size_bytes
            groups[-1].append(TopicPart(name, topic.version, topic.digest, entries))
    return iter(
        [
            InstallSnapshot(term, last_index, last_term, part, len(groups), tuple(group))
            for part, group in enumerate(groups, 1)
        ]
    )


class SnapshotAssembler:
    """Assembles the parts of one snapshot.

    Attributes:
        topics: the topics received so far, complete once the last part was added.
    """

    __slots__ = ("_declared", "_entry_count", "_last_part", "topics")

    def __init__(self, first: InstallSnapshot) -> None:
        self._last_part = first
        # The version and digest that the parts state for each topic.
        self._declared: dict[str, tuple[int, int]] = {}
        self._entry_count = 0
        self.topics: dict[str, Topic] = {}

    def continues_with(self, part: InstallSnapshot) -> bool:
        """Return whether a part is the next one of the same snapshot."""
        last = self._last_part
        return part.part == last.part + 1 and _identity(part) == _identity(last)

    def add(self, part: InstallSnapshot, limits: ReplicaLimits) -> None:
        """Add a part. Raises SnapshotError."""
        self._last_part = part
        for topic_part in part.topics:
            declared = self._declared.setdefault(
                topic_part.topic, (topic_part.version, topic_part.digest)
            )
            if declared != (topic_part.version, topic_part.digest):
                detail = f"{topic_part.topic!r} has two numbers or digests"
                raise SnapshotError(detail)
            topic = self.topics.setdefault(topic_part.topic, Topic(topic_part.version))
            topic.put(topic_part.entries)
            self._entry_count += len(topic_part.entries)
        if len(self.topics) > limits.max_topics or self._entry_count > limits.max_entries:
            detail = f"more than {limits.max_topics} topics or {limits.max_entries} entries"
            raise SnapshotError(detail)

    def verify(self, current: dict[str, Topic]) -> None:
        """Check the digests, and that no current topic is newer or absent. Raises SnapshotError."""
        for name, topic in self.topics.items():
            if topic.digest != self._declared[name][1]:
                detail = f"{name!r} has another digest than it should have"
                raise SnapshotError(detail)
        for name, topic in current.items():
            if name not in self.topics or self.topics[name].version < topic.version:
                detail = f"{name!r} is older than here"
                raise SnapshotError(detail)


def _identity(part: InstallSnapshot) -> tuple[int, int, int, int]:
    return part.term, part.last_index, part.last_term, part.parts
