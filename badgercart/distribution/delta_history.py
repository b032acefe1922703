"""The last deltas of each topic, for subscribers that are a little behind."""

from __future__ import annotations

from collections import OrderedDict, deque

from badgercart.distribution.messages import Delta
from badgercart.distribution.replica_config import ReplicaLimits


class DeltaHistory:
    """Deltas in the order in which they came, bounded for each topic and for all together."""

    __slots__ = ("_limits", "by_topic", "sizes", "total_bytes")

    def __init__(self, limits: ReplicaLimits) -> None:
        self._limits = limits
        self.by_topic: dict[str, deque[Delta]] = {}  # without empty ones
        # Bytes of each delta by topic and version, the oldest first.
        self.sizes: OrderedDict[tuple[str, int], int] = OrderedDict()
        self.total_bytes = 0

    def add(self, delta: Delta, size_bytes: int) -> None:
        """Add the newest delta of its topic and drop what exceeds a limit."""
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
        """Return the delta that follows a version of a topic; None where it is no longer held.

        The version must be older than the topic's.
        """
        deltas = self.by_topic.get(topic)
        if not deltas or deltas[0].version > version + 1:
            return None
        return deltas[version + 1 - deltas[0].version]

    def clear(self) -> None:
        """Drop all, where topics have changed by no delta."""
        self.by_topic.clear()
        self.sizes.clear()
        self.total_bytes = 0
