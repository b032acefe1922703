"""Publishes committed changes of topics to their subscribers. No I/O.

A subscriber that lags by a few versions gets the missing deltas from a bounded history; otherwise
it gets a snapshot of the topic. At most about `MAX_BURST_BYTES` are built for a connection in one
event. Later events continue from the version that the subscriber was sent last.
"""

from __future__ import annotations

from badgercart.distribution.delta_history import DeltaHistory
from badgercart.distribution.effects import Effect, Send
from badgercart.distribution.messages import (
    RESEND,
    Change,
    Delta,
    Heartbeat,
    Rejection,
    Snapshot,
    Subscribe,
    TopicVersion,
)
from badgercart.distribution.replica_config import ReplicaLimits
from badgercart.distribution.subscriptions import Subscriber, Subscriptions
from badgercart.distribution.topic import ENTRY_FRAMING_BYTES, Topic, TopicTable, framed_size

# The limit for one connection in one event. The message that exceeds it is still sent, as the last.
MAX_BURST_BYTES = 256 << 10


class Publisher:
    """Keeps every subscriber at the newest version of its topics.

    Attributes:
        topics: all topics as of the commit index.
        subscriptions: the subscribers and their topics.
        history: the latest deltas.
        ready: connections with pending topics that are not stalled.
        visited_count: how many subscribers were checked for changes since the start.
    """

    __slots__ = ("_sent_bytes", "history", "ready", "subscriptions", "topics", "visited_count")

    def __init__(self, topics: TopicTable, limits: ReplicaLimits) -> None:
        self.topics = topics
        self.subscriptions = Subscriptions(limits)
        self.history = DeltaHistory(limits)
        self.ready: dict[int, None] = {}
        self.visited_count = 0
        # Bytes built in the current event, by connection.
        self._sent_bytes: dict[int, int] = {}

    def end_event(self) -> None:
        """Reset the size of all bursts, whose messages were handed to the driver."""
        self._sent_bytes.clear()

    # Changes.

    def apply(self, change: Change) -> list[Effect]:
        """Apply a committed change, and send it to subscribers that have the previous version.

        For other subscribers the topic becomes pending.
        """
        topic = self.topics.apply(change)
        delta = Delta(change.topic, topic.version, topic.digest, change.entries)
        size_bytes = framed_size(change.entries)
        self.history.add(delta, size_bytes)
        effects: list[Effect] = []
        subscribers = self.subscriptions.subscribers
        for connection in self.subscriptions.by_topic.get(change.topic, ()):
            subscriber = subscribers[connection]
            self.visited_count += 1
            sent_version = subscriber.sent_versions[change.topic]
            lacks_nothing_else = sent_version == topic.version - 1 and not subscriber.pending
            if topic.version <= sent_version:
                self._check_caught_up(subscriber, change.topic, topic)
            elif (
                lacks_nothing_else
                and not subscriber.stalled
                and self._reserve_burst(connection, size_bytes)
            ):
                subscriber.sent_versions[change.topic] = topic.version
                effects.append(Send(connection, delta))
            else:
                self._enqueue(subscriber, change.topic)
        return effects

    def _check_caught_up(self, subscriber: Subscriber, name: str, topic: Topic) -> None:
        """Compare a topic with that of a subscriber that was ahead of this replica.

        If the same version has another digest, the subscriber's content is not the group's, and it
        gets a snapshot.
        """
        if topic.version != subscriber.sent_versions[name]:
            return
        if subscriber.newer_digests.pop(name, topic.digest) != topic.digest:
            subscriber.sent_versions[name] = RESEND
            self._enqueue(subscriber, name)

    def replace_topics(self, topics: dict[str, Topic]) -> None:
        """Replace all topics. No topic may have an older version than before."""
        self.topics.replace(topics)
        self.history.clear()
        for subscriber in self.subscriptions.subscribers.values():
            for name, sent_version in subscriber.sent_versions.items():
                topic = topics.get(name)
                if topic is None:
                    continue
                if topic.version > sent_version:
                    self._enqueue(subscriber, name)
                else:
                    self._check_caught_up(subscriber, name, topic)

    # Subscribers.

    def subscribe(self, now_ms: float, connection: int, message: Subscribe) -> list[Effect]:
        """Replace the subscription of a connection, and send the changes that it lacks.

        Raises:
            SubscriptionRejectedError: a limit is exceeded; the earlier subscription is kept.
        """
        self.subscriptions.check(connection, message)
        self.unsubscribe(connection)
        subscriber = self.subscriptions.add_subscriber(connection)
        effects: list[Effect] = []
        for requested in message.topics:
            if requested.topic not in subscriber.sent_versions:
                effects += self._subscribe_to(subscriber, requested)
        return effects + self._send_pending(now_ms, subscriber)

    def _subscribe_to(self, subscriber: Subscriber, requested: TopicVersion) -> list[Effect]:
        name = requested.topic
        self.subscriptions.add_topic(subscriber, name, requested.version)
        topic = self.topics.by_name.get(name)
        version = 0 if topic is None else topic.version
        if requested.version > version:
            subscriber.newer_digests[name] = requested.digest
            detail = f"the follower has number {requested.version}, this store {version}"
            return [Send(subscriber.connection, Rejection("behind", name, detail))]
        if topic is None:
            rejection = Rejection("unknown-topic", name, "there is no such topic yet")
            return [Send(subscriber.connection, rejection)]
        if requested.version < version:
            self._enqueue(subscriber, name)
        elif requested.digest != topic.digest:
            subscriber.sent_versions[name] = RESEND
            self._enqueue(subscriber, name)
        return []

    def unsubscribe(self, connection: int) -> None:
        """Remove the subscriber of a connection, if there is one."""
        self.ready.pop(connection, None)
        self.subscriptions.remove(connection)

    def _enqueue(self, subscriber: Subscriber, topic: str) -> None:
        subscriber.pending[topic] = None
        if not subscriber.stalled:
            self.ready[subscriber.connection] = None

    def pause(self, connection: int) -> None:
        """Stop sending to a subscriber until `resume`."""
        subscriber = self.subscriptions.subscribers.get(connection)
        if subscriber is not None:
            subscriber.stalled = True
            self.ready.pop(connection, None)

    def resume(self, now_ms: float, connection: int) -> list[Effect]:
        """Resume sending to a subscriber that was paused."""
        subscriber = self.subscriptions.subscribers.get(connection)
        if subscriber is None:
            return []
        subscriber.stalled = False
        return self._send_pending(now_ms, subscriber)

    def send_ready(self, now_ms: float) -> list[Effect]:
        """Send a burst to each connection with pending topics that is not stalled."""
        effects: list[Effect] = []
        for connection in list(self.ready):
            effects += self._send_pending(now_ms, self.subscriptions.subscribers[connection])
        return effects

    def heartbeats(self, now_ms: float, complete_at_ms: float) -> list[Effect]:
        """Send each subscriber the age of the data that it was sent.

        Args:
            now_ms: the time of this event.
            complete_at_ms: when this replica was last known to have every committed change.
        """
        effects: list[Effect] = []
        for subscriber in self.subscriptions.subscribers.values():
            if subscriber.stalled:
                continue
            if not subscriber.pending:
                subscriber.complete_at_ms = now_ms
            if subscriber.complete_at_ms > float("-inf"):
                age_ms = max(0.0, now_ms - min(complete_at_ms, subscriber.complete_at_ms))
                effects.append(Send(subscriber.connection, Heartbeat(age_ms)))
        return effects

    # Bursts.

    def _reserve_burst(self, connection: int, size_bytes: int) -> bool:
        """Add a message to the current burst of a connection; False if the burst is full."""
        sent_bytes = self._sent_bytes.get(connection, 0)
        if sent_bytes >= MAX_BURST_BYTES:
            return False
        self._sent_bytes[connection] = sent_bytes + size_bytes + ENTRY_FRAMING_BYTES
        return True

    def _send_pending(self, now_ms: float, subscriber: Subscriber) -> list[Effect]:
        """Send a subscriber one burst of the changes that it lacks."""
        connection = subscriber.connection
        effects: list[Effect] = []
        while subscriber.pending and self._sent_bytes.get(connection, 0) < MAX_BURST_BYTES:
            message = self._next_message(subscriber)
            effects.append(Send(connection, message))
            self._reserve_burst(connection, framed_size(message.entries))
        if subscriber.pending and not subscriber.stalled:
            self.ready[connection] = None
        else:
            self.ready.pop(connection, None)
        if not subscriber.pending:
            subscriber.complete_at_ms = now_ms
        return effects

    def _next_message(self, subscriber: Subscriber) -> Snapshot | Delta:
        """Return the next message for a subscriber with pending topics, and update its progress."""
        name = next(iter(subscriber.pending))
        message = self._message_for(subscriber, name)
        if not subscriber.snapshot_parts:
            subscriber.sent_versions[name] = message.version
            if message.version == self.topics.by_name[name].version:
                del subscriber.pending[name]
        return message

    def _message_for(self, subscriber: Subscriber, name: str) -> Snapshot | Delta:
        if subscriber.snapshot_parts:
            return subscriber.snapshot_parts.popleft()
        delta = self.history.delta_after(name, subscriber.sent_versions[name])
        if delta is not None:
            return delta
        topic = self.topics.by_name[name]
        parts = list(topic.parts())
        subscriber.snapshot_parts.extend(
            Snapshot(name, topic.version, topic.digest, part, len(parts), entries)
            for part, entries in enumerate(parts, 1)
        )
        return subscriber.snapshot_parts.popleft()
