"""Who has subscribed to which topics, and how far each subscriber is."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from badgercart.distribution.errors import SubscriptionRejectedError
from badgercart.distribution.messages import MAX_TOPICS, Snapshot, Subscribe
from badgercart.distribution.replica_config import ReplicaLimits


@dataclass(slots=True)
class Subscriber:
    """A connection that has subscribed.

    Attributes:
        connection: its number.
        sent_versions: by topic the version sent last, or that it had when it subscribed.
        newer_digests: digests of topics of which it had a newer version than this replica.
        pending: topics of which it has to be sent more, in the order in which they will be.
        snapshot_parts: parts left of the snapshot of the first pending topic.
        stalled: whether more waits to be written to it than the driver holds.
        complete_at_ms: when it had last been sent everything.
    """

    connection: int
    sent_versions: dict[str, int] = field(default_factory=dict)
    newer_digests: dict[str, int] = field(default_factory=dict)
    pending: dict[str, None] = field(default_factory=dict)
    snapshot_parts: deque[Snapshot] = field(default_factory=deque)
    stalled: bool = False
    complete_at_ms: float = float("-inf")


class Subscriptions:
    """All subscribers by connection, and their connections by topic."""

    __slots__ = ("_limits", "by_topic", "count", "subscribers")

    def __init__(self, limits: ReplicaLimits) -> None:
        self._limits = limits
        self.subscribers: dict[int, Subscriber] = {}
        self.by_topic: dict[str, dict[int, None]] = {}  # connections, without empty ones
        self.count = 0  # topics of all subscribers together

    def check(self, connection: int, message: Subscribe) -> None:
        """Raise SubscriptionRejectedError where a subscription would exceed a limit."""
        limits = self._limits
        current = self.subscribers.get(connection)
        replaced = 0 if current is None else len(current.sent_versions)
        wanted = len(message.topics)
        if current is None and len(self.subscribers) >= limits.max_subscribers:
            detail = f"this store has {limits.max_subscribers} followers, its most"
            raise SubscriptionRejectedError("too-many", detail)
        if wanted > MAX_TOPICS:
            raise SubscriptionRejectedError(
                "too-many", f"{wanted} topics are more than {MAX_TOPICS}"
            )
        if self.count - replaced + wanted > limits.max_subscriptions:
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
        """Subscribe to one more topic, of which the subscriber has a version."""
        self.by_topic.setdefault(topic, {})[subscriber.connection] = None
        self.count += 1
        subscriber.sent_versions[topic] = version

    def remove(self, connection: int) -> None:
        """Forget a subscriber, if there is one on that connection."""
        subscriber = self.subscribers.pop(connection, None)
        if subscriber is None:
            return
        self.count -= len(subscriber.sent_versions)
        for topic in subscriber.sent_versions:
            connections = self.by_topic[topic]
            del connections[connection]
            if not connections:
                del self.by_topic[topic]
