"""The latest deltas of each topic, for subscribers that lag by a few versions."""

from __future__ import annotations

from collections import OrderedDict, deque

from badgercart.distribution.messages import Delta
from badgercart.distribution.replica_config import ReplicaLimits


class DeltaHistory:
    """Deltas in order of arrival, limited for each topic and in total.

    Attributes:
        by_topic: deltas by topic, the oldest first; topics without deltas are absent.
        sizes: bytes of each delta by topic and version, the oldest first.
        total_bytes: bytes of all deltas.
    """

    __slots__ = ("_limits", "by_topic", "sizes", "total_bytes")

    def __init__(self, limits: ReplicaLimits) -> None:
        self._limits = limits
        self.by_topic: dict[str, deque[Delta]] = {}
        self.sizes: OrderedDict[tuple[str, int], int] = OrderedDict()
        self.total_bytes = 0

    def add(self, delta: Delta, size_bytes: int) -> None:
        """Add the newest delta of its topic, and drop the oldest ones over a limit."""
        deltas = self.by_topic.setdefault(delta.topic, deque())
        deltas.append(delta)
        self.sizes[delta.topic, delta.version] = size_bytes
        self.total_bytes += size_bytes
        if len(deltas) > self._limits.max_topic_history:
            self._drop_oldest(delta.topic, deltas[0].version)
        while self._exceeds_limits():
            self._drop_oldest(*next(iter(self.sizes)))

    def _exceeds_limits(self) -> bool:
        limits = self._limits
        return len(self.sizes) > limits.max_history or self.total_bytes > limits.max_history_bytes

    def _drop_oldest(self, topic: str, version: int) -> None:
        self.total_bytes -= self.sizes.pop((topic, version))
        deltas = self.by_topic[topic]
        deltas.popleft()
        if not deltas:
            del self.by_topic[topic]

    def delta_after(self, topic: str, version: int) -> Delta | None:
        """Return the delta that follows a version of a topic; None if it was dropped.

        The version must be older than the topic's current one.
        """
        deltas = self.by_topic.get(topic)
        if not deltas or deltas[0].version > version + 1:
            return None
        return deltas[version + 1 - deltas[0].version]

    def clear(self) -> None:
        """Drop all deltas, after topics were replaced by a snapshot."""
        self.by_topic.clear()
        self.sizes.clear()
        self.total_bytes = 0
