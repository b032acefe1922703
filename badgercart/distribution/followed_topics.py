"""The current topics of a follower."""

from __future__ import annotations

from collections.abc import Iterable

from badgercart.distribution.errors import ReplicaAbandonedError
from badgercart.distribution.messages import (
    FRAME_HEADER_BYTES,
    MAX_FRAME_BYTES,
    MAX_TOPICS,
    RESEND,
    Delta,
    Entry,
    Subscribe,
    TopicVersion,
)
from badgercart.distribution.topic import ENTRY_FRAMING_BYTES, Topic


class FollowedTopics:
    """Topics by name, their sizes, and which of them may be wrong.

    Attributes:
        by_name: the current topics.
        doubted: topics whose content may be wrong, so that only a snapshot can repair them.
        unknown: topics that no replica is known to have.
        total_bytes: the size of all keys and values with their framing.
        max_bytes: the limit of `total_bytes`.
        change_count: the number of deltas and snapshots that were applied.
    """

    __slots__ = (
        "_sizes",
        "by_name",
        "change_count",
        "doubted",
        "max_bytes",
        "total_bytes",
        "unknown",
    )

    def __init__(self, names: tuple[str, ...], max_bytes: int) -> None:
        """Create empty topics.

        Raises:
            ValueError: there are no topics, duplicates, or more than one subscription can name.
        """
        _check_names(names)
        self.by_name: dict[str, Topic] = {name: Topic() for name in names}
        self._sizes = dict.fromkeys(names, 0)
        self.doubted: set[str] = set()
        self.unknown: set[str] = set()
        self.total_bytes = 0
        self.max_bytes = max_bytes
        self.change_count = 0

    def get(self, name: str) -> Topic:
        """Return a topic. Raises ReplicaAbandonedError if it is not followed."""
        topic = self.by_name.get(name)
        if topic is None:
            raise ReplicaAbandonedError("unasked", f"{name} was not asked for")
        return topic

    def subscription(self) -> Subscribe:
        """Return a subscription to all topics from their current versions."""
        return Subscribe(
            tuple(
                TopicVersion(name, RESEND, 0)
                if name in self.doubted
                else TopicVersion(name, topic.version, topic.digest)
                for name, topic in self.by_name.items()
            )
        )

    def apply(self, delta: Delta) -> None:
        """Apply the next delta of a topic.

        Raises:
            ReplicaAbandonedError: the topics would exceed `max_bytes`.
        """
        size_bytes = self._size_after(delta.topic, delta.entries)
        if not self._fits(delta.topic, size_bytes):
            detail = f"with change {delta.version} of {delta.topic}, over {self.max_bytes} bytes"
            raise ReplicaAbandonedError("oversized", detail)
        self.by_name[delta.topic].apply(delta.entries)
        self._record_change(delta.topic, size_bytes)

    def replace(self, name: str, topic: Topic, size_bytes: int) -> None:
        """Replace a topic by a complete snapshot.

        Raises:
            ReplicaAbandonedError: the topics would exceed `max_bytes`.
        """
        if not self._fits(name, size_bytes):
            raise ReplicaAbandonedError(
                "oversized", f"with {name} whole, over {self.max_bytes} bytes"
            )
        self.by_name[name] = topic
        self.doubted.discard(name)
        self._record_change(name, size_bytes)

    def _fits(self, name: str, size_bytes: int) -> bool:
        return self.total_bytes - self._sizes[name] + size_bytes <= self.max_bytes

    def _record_change(self, name: str, size_bytes: int) -> None:
        self.total_bytes += size_bytes - self._sizes[name]
        self._sizes[name] = size_bytes
        self.unknown.discard(name)
        self.change_count += 1

    def _size_after(self, name: str, entries: Iterable[Entry]) -> int:
        current, size_bytes = self.by_name[name].entries, self._sizes[name]
        for key, value in {entry.key: entry.value for entry in entries}.items():
            key_bytes = len(key.encode()) + ENTRY_FRAMING_BYTES
            replaced = current.get(key)
            if replaced is not None:
                size_bytes -= key_bytes + len(replaced)
            if value is not None:
                size_bytes += key_bytes + len(value)
        return size_bytes

    def take_over_from(self, other: FollowedTopics) -> None:
        """Take the topics of a replaced follower; must be called before this one is used."""
        for name, topic in other.by_name.items():
            if name in self.by_name:
                self.by_name[name], self._sizes[name] = topic, other._sizes[name]
        self.total_bytes = sum(self._sizes.values())
        self.doubted = other.doubted & self.by_name.keys()
        self.unknown = other.unknown & self.by_name.keys()
        self.change_count = other.change_count


def _check_names(names: tuple[str, ...]) -> None:
    """Raise ValueError if the names don't fit one subscription."""
    if len(set(names)) != len(names) or not 0 < len(names) <= MAX_TOPICS:
        detail = f"{len(names)} topics are not 1 to {MAX_TOPICS} different ones"
        raise ValueError(detail)
    names_bytes = sum(len(name.encode()) + 2 * ENTRY_FRAMING_BYTES for name in names)
    if names_bytes > MAX_FRAME_BYTES - FRAME_HEADER_BYTES - ENTRY_FRAMING_BYTES:
        detail = f"the names of {len(names)} topics are more than one frame holds"
        raise ValueError(detail)
