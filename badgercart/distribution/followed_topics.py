"""The topics that a follower has in force."""

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
    """Topics by name, their sizes, and what is known to be wrong with them.

    Attributes:
        by_name: the topics in force.
        doubted: topics that may be wrong, so that no delta makes them right.
        unknown: topics that no replica has, as far as is known.
        total_bytes: keys and values of all topics, with their framing.
        max_bytes: the most of that.
        change_count: changes and snapshots put in force.
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
        """Begin with nothing of any topic.

        Raises:
            ValueError: the topics are more than one subscription can name.
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
        """Return a topic. Raises ReplicaAbandonedError where it is not followed."""
        topic = self.by_name.get(name)
        if topic is None:
            raise ReplicaAbandonedError("unasked", f"{name} was not asked for")
        return topic

    def subscription(self) -> Subscribe:
        """Return what is to be subscribed to, from what is in force."""
        return Subscribe(
            tuple(
                TopicVersion(name, RESEND, 0)
                if name in self.doubted
                else TopicVersion(name, topic.version, topic.digest)
                for name, topic in self.by_name.items()
            )
        )

    def apply(self, delta: Delta) -> None:
        """Put the next change of a topic in force.

        Raises:
            ReplicaAbandonedError: there would be too much in force.
        """
        size_bytes = self._size_after(delta.topic, delta.entries)
        if not self._fits(delta.topic, size_bytes):
            detail = f"with change {delta.version} of {delta.topic}, over {self.max_bytes} bytes"
            raise ReplicaAbandonedError("oversized", detail)
        self.by_name[delta.topic].apply(delta.entries)
        self._record_change(delta.topic, size_bytes)

    def replace(self, name: str, topic: Topic, size_bytes: int) -> None:
        """Put a whole topic in force.

        Raises:
            ReplicaAbandonedError: there would be too much in force.
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
        """Go on from what another had in force; this must not have begun."""
        for name, topic in other.by_name.items():
            if name in self.by_name:
                self.by_name[name], self._sizes[name] = topic, other._sizes[name]
        self.total_bytes = sum(self._sizes.values())
        self.doubted = other.doubted & self.by_name.keys()
        self.unknown = other.unknown & self.by_name.keys()
        self.change_count = other.change_count


def _check_names(names: tuple[str, ...]) -> None:
    """Raise ValueError where the names don't fit one subscription."""
    if len(set(names)) != len(names) or not 0 < len(names) <= MAX_TOPICS:
        detail = f"{len(names)} topics are not 1 to {MAX_TOPICS} different ones"
        raise ValueError(detail)
    names_bytes = sum(len(name.encode()) + 2 * ENTRY_FRAMING_BYTES for name in names)
    if names_bytes > MAX_FRAME_BYTES - FRAME_HEADER_BYTES - ENTRY_FRAMING_BYTES:
        detail = f"the names of {len(names)} topics are more than one frame holds"
        raise ValueError(detail)
