"""The subscribers of a replica: their topics, and the progress of each subscriber."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from badgercart.distribution.errors import SubscriptionRejectedError
from badgercart.distribution.messages import MAX_TOPICS, Snapshot, Subscribe
from badgercart.distribution.replica_config import ReplicaLimits


@dataclass(slots=True)
class Subscriber:
    """A connection that has subscribed to topics.

    Attributes:
        connection: the number of the connection.
        sent_versions: by topic the version sent last, or the subscriber's own when it subscribed.
        newer_digests: the digests of topics of which it has a newer version than this replica.
        pending: topics with changes to send, in the order of sending.
        snapshot_parts: the remaining parts of the snapshot of the first pending topic.
        stalled: whether its write buffer is over the driver's high-water mark.
        complete_at_ms: when it was last sent all changes; minus infinity if never.
    """

    connection: int
    sent_versions: dict[str, int] = field(default_factory=dict)
    newer_digests: dict[str, int] = field(default_factory=dict)
    pending: dict[str, None] = field(default_factory=dict)
    snapshot_parts: deque[Snapshot] = field(default_factory=deque)
    stalled: bool = False
    complete_at_ms: float = float("-inf")


class Subscriptions:
    """All subscribers by connection, and their connections by topic.

    Attributes:
        subscribers: subscribers by connection.
        by_topic: connections by topic; topics without subscribers are absent.
        count: the number of topics of all subscribers together.
    """

    __slots__ = ("_limits", "by_topic", "count", "subscribers")

    def __init__(self, limits: ReplicaLimits) -> None:
        self._limits = limits
        self.subscribers: dict[int, Subscriber] = {}
        self.by_topic: dict[str, dict[int, None]] = {}
        self.count = 0

    def check(self, connection: int, message: Subscribe) -> None:
        """Raise SubscriptionRejectedError if a subscription would exceed a limit."""
        limits = self._limits
        current = self.subscribers.get(connection)
        replaced_count = 0 if current is None else len(current.sent_versions)
        topic_count = len(message.topics)
        if current is None and len(self.subscribers) >= limits.max_subscribers:
            detail = f"this store has {limits.max_subscribers} followers, its most"
            raise SubscriptionRejectedError("too-many", detail)
        if topic_count > MAX_TOPICS:
            raise SubscriptionRejectedError(
                "too-many", f"{topic_count} topics are more than {MAX_TOPICS}"
            )
        if self.count - replaced_count + topic_count > limits.max_subscriptions:
            detail = (
                "this store's followers would ask for more than "
                f"{limits.max_subscriptions} topics"
            )
            raise SubscriptionRejectedError("too-many", detail)

    def add_subscriber(self, connection: int) -> Subscriber:
        """Add a subscriber without topics."""
        subscriber = self.subscribers[connection] = Subscriber(connection)
        return subscriber

    def add_topic(self, subscriber: Subscriber, topic: str, version: int) -> None:
        """Subscribe to one more topic, from the version that the subscriber has."""
        self.by_topic.setdefault(topic, {})[subscriber.connection] = None
        self.count += 1
        subscriber.sent_versions[topic] = version

    def remove(self, connection: int) -> None:
        """Remove the subscriber of a connection, if there is one."""
        subscriber = self.subscribers.pop(connection, None)
        if subscriber is None:
            return
        self.count -= len(subscriber.sent_versions)
        for topic in subscriber.sent_versions:
            connections = self.by_topic[topic]
            del connections[connection]
            if not connections:
                del self.by_topic[topic]
