"""The follower of a node as a state machine: it takes timed events and returns effects. No I/O.

A follower has one connection at a time, to one of the replicas. Times are in ms on a monotonic
clock. The driver calls `tick` at `due_ms`.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from badgercart.discovery.freshness import Freshness, FreshnessLimits
from badgercart.distribution.effects import Close, Dial, Effect, LogEvent, Send
from badgercart.distribution.errors import ReplicaAbandonedError, TopicGapError
from badgercart.distribution.followed_topics import FollowedTopics
from badgercart.distribution.messages import (
    MESSAGE_LABELS,
    Delta,
    Heartbeat,
    Hello,
    Message,
    Rejection,
    Snapshot,
)
from badgercart.distribution.replica_selector import FollowerTiming, ReplicaSelector
from badgercart.distribution.topic_sync import TopicSync

# The limit for keys and values of the current topics, and for those of unfinished snapshots.
MAX_TOPIC_BYTES = 96 << 20

# Kinds of rejections that are counted as such; all others are counted as `refused`.
REJECTION_KINDS = frozenset({"behind", "too-many"})


@dataclass(slots=True)
class Session:
    """One connection to a replica, from the dial on.

    Attributes:
        connection: the number of the connection.
        replica: the position of the replica in the settings.
        last_received_ms: when the replica was dialled, connected or sent its last message.
        last_progress_ms: when awaited topics were last requested or received in part.
        abandon_at_ms: when a replica that lags is abandoned; infinite unless it lags.
        sync: the synchronization of the topics; None until connected.
        hello_received: whether the replica has sent its Hello.
    """

    connection: int
    replica: int
    last_received_ms: float
    last_progress_ms: float = 0.0
    abandon_at_ms: float = math.inf
    sync: TopicSync | None = None
    hello_received: bool = False


class Follower:
    """Keeps the topics of one node up to date from one replica at a time.

    Attributes:
        name: the node's name.
        topics: the current topics.
        freshness: when the topics were last known to be complete.
        session: the current connection; None between two. Events of other connections are ignored.
        dial_count: the number of dialled connections.
        faults: counts of abandoned replicas and rejected messages, by kind.
    """

    __slots__ = (
        "_dial_at_ms",
        "_handlers",
        "_selector",
        "_timing",
        "dial_count",
        "faults",
        "freshness",
        "name",
        "session",
        "topics",
    )

    def __init__(
        self,
        name: str,
        topics: tuple[str, ...],
        selector: ReplicaSelector,
        timing: FollowerTiming,
        rule: FreshnessLimits | None = None,
    ) -> None:
        """Create a follower that is not started.

        Args:
            name: the node's name, shown to operators.
            topics: the names of the topics to follow.
            selector: selects the replica to connect to.
            timing: timeouts.
            rule: the ages from which on the topics are doubtful or stale.

        Raises:
            ValueError: there are no topics, duplicates, or more than one subscription can name.
        """
        self.name = name
        self.topics = FollowedTopics(topics, MAX_TOPIC_BYTES)
        self._selector = selector
        self._timing = timing
        self.freshness = Freshness(rule or FreshnessLimits())
        self.session: Session | None = None
        self._dial_at_ms = math.inf
        self.dial_count = 0
        self.faults: Counter[str] = Counter()
        self._handlers: dict[type[Message], Callable[..., list[Effect]]] = {
            Delta: self._handle_delta,
            Snapshot: self._handle_snapshot,
            Heartbeat: self._handle_heartbeat,
            Rejection: self._handle_rejection,
        }

    # State that may be read between events.

    @property
    def due_ms(self) -> float:
        """When `tick` has to be called next."""
        session, timing = self.session, self._timing
        if session is None:
            return self._dial_at_ms
        if session.sync is None:
            return session.last_received_ms + timing.connect_timeout_ms
        answer_due_ms = math.inf
        if session.sync.awaited:
            answer_due_ms = session.last_progress_ms + timing.answer_timeout_ms
        silence_due_ms = session.last_received_ms + timing.silence_timeout_ms
        return min(silence_due_ms, answer_due_ms, session.abandon_at_ms)

    @property
    def is_connected(self) -> bool:
        """Whether the connection to a replica is established."""
        return self.session is not None and self.session.sync is not None

    @property
    def followed_replica(self) -> int | None:
        """The position of the connected replica that has sent its Hello; None without one."""
        session = self.session
        return session.replica if session is not None and session.hello_received else None

    def age_ms(self, now_ms: float) -> float:
        """Return the time since all topics were known to be complete; infinite if never."""
        return self.freshness.age(now_ms)

    def take_over_from(self, predecessor: Follower) -> None:
        """Continue with the state of another, closed follower; call it before `start`."""
        self.topics.take_over_from(predecessor.topics)
        self.freshness = predecessor.freshness
        self.dial_count = predecessor.dial_count
        self.faults = predecessor.faults

    # Events.

    def start(self, now_ms: float) -> list[Effect]:
        """Dial the first replica."""
        return self._dial(now_ms)

    def tick(self, now_ms: float) -> list[Effect]:
        """Handle expired timers: dial a replica, or abandon the current one."""
        if now_ms < self.due_ms:
            return []
        session, timing = self.session, self._timing
        if session is None:
            return self._dial(now_ms)
        if session.sync is None:
            detail = f"no connection after {timing.connect_timeout_ms:.0f} ms"
            return self._abandon_replica(now_ms, session, "hangs", detail)
        if now_ms >= session.last_received_ms + timing.silence_timeout_ms:
            detail = f"no word for {timing.silence_timeout_ms:.0f} ms"
            return self._abandon_replica(now_ms, session, "silent", detail)
        if now_ms >= session.abandon_at_ms:
            # Until now the replica still sent updates, so its successor is dialled without a delay.
            detail = f"it knew of no leader for over {timing.max_lag_ms:.0f} ms"
            return [*self._abandon_replica(now_ms, session, "lags", detail), *self._dial(now_ms)]
        topic = min(session.sync.awaited)
        detail = f"nothing on {topic} for {timing.answer_timeout_ms:.0f} ms"
        return self._abandon_replica(now_ms, session, "no-answer", detail)

    def connected(self, now_ms: float, connection: int) -> list[Effect]:
        """Send Hello and subscribe, once the connection is established."""
        session = self._session_of(connection)
        if session is None or session.sync is not None:
            return []
        session.sync = TopicSync(self.topics, self.faults)
        session.last_received_ms = session.last_progress_ms = now_ms
        subscribe = self.topics.subscription()
        return [Send(connection, Hello(self.name, False)), Send(connection, subscribe)]

    def closed(self, now_ms: float, connection: int) -> list[Effect]:
        """Schedule a connection to another replica, after the connection was lost."""
        session = self._session_of(connection)
        if session is None:
            return []
        detail = "the connection ended"
        return self._abandon_replica(now_ms, session, "closed", detail, is_open=False)

    def received(self, now_ms: float, connection: int, message: Message) -> list[Effect]:
        """Handle a received message."""
        session = self._session_of(connection)
        if session is None or session.sync is None:
            return []
        silence_ms = now_ms - session.last_received_ms
        if now_ms >= session.last_received_ms + self._timing.silence_timeout_ms:
            # This process or the network was stalled: buffered messages would seem to be fresh.
            return self._abandon_replica(
                now_ms, session, "silent", f"no word for {silence_ms:.0f} ms"
            )
        session.last_received_ms = now_ms
        try:
            return self._handle(now_ms, session, session.sync, message)
        except TopicGapError as gap:
            return self._resubscribe(now_ms, session, session.sync, gap)
        except ReplicaAbandonedError as reason:
            return self._abandon_replica(now_ms, session, reason.kind, reason.detail)

    def request_resend(self, now_ms: float, topic: str) -> list[Effect]:
        """Request a snapshot of a topic whose entries are unusable, once per connection.

        If the snapshot is unusable as well, the topic's next delta triggers another request. Until
        the topic is usable, heartbeats don't prove the topics fresh.
        """
        self.topics.doubted.add(topic)
        session = self.session
        if session is None or session.sync is None or not session.sync.may_resend(topic):
            return []
        gap = TopicGapError("unusable", topic, "what it holds can't be used")
        return self._resubscribe(now_ms, session, session.sync, gap)

    # Connections.

    def _session_of(self, connection: int) -> Session | None:
        session = self.session
        return session if session is not None and session.connection == connection else None

    def _dial(self, now_ms: float) -> list[Effect]:
        self.dial_count += 1
        replica = self._selector.current
        self.session = Session(self.dial_count, replica, last_received_ms=now_ms)
        self._dial_at_ms = math.inf
        return [Dial(replica, self.dial_count)]

    def _abandon_replica(
        self, now_ms: float, session: Session, kind: str, detail: str, is_open: bool = True
    ) -> list[Effect]:
        """Abandon a connection, and dial the next replica at a time drawn from the window."""
        self.session = None
        self._dial_at_ms = self._selector.draw_reconnect_time_ms(now_ms)
        self._selector.record_failure()
        self.faults[kind] += 1
        lost = LogEvent("lost", {"store": session.replica, "kind": kind, "error": detail})
        if is_open:
            return [Close(session.connection, kind, detail), lost]
        return [lost]

    def _resubscribe(
        self, now_ms: float, session: Session, sync: TopicSync, gap: TopicGapError
    ) -> list[Effect]:
        """Request the missing changes of a topic, or a snapshot if its content is doubted."""
        try:
            sync.add_gap(gap)
        except ReplicaAbandonedError as reason:
            return self._abandon_replica(now_ms, session, reason.kind, reason.detail)
        session.last_progress_ms = now_ms
        fields = {"topic": gap.topic, "kind": gap.kind, "error": gap.detail}
        subscribe = self.topics.subscription()
        return [LogEvent("gap", fields), Send(session.connection, subscribe)]

    # Messages. The handlers raise TopicGapError and ReplicaAbandonedError.

    def _handle(
        self, now_ms: float, session: Session, sync: TopicSync, message: Message
    ) -> list[Effect]:
        if not session.hello_received:
            return self._handle_hello(session, message)
        handler = self._handlers.get(type(message))
        if handler is None:
            label = MESSAGE_LABELS[type(message)]
            raise ReplicaAbandonedError("unasked", f"a {label} is nothing that a follower is told")
        return handler(now_ms, session, sync, message)

    @staticmethod
    def _handle_hello(session: Session, message: Message) -> list[Effect]:
        if not isinstance(message, Hello):
            label = MESSAGE_LABELS[type(message)]
            raise ReplicaAbandonedError("unasked", f"a {label} before any greeting")
        if not message.is_replica:
            raise ReplicaAbandonedError("no-store", f"{message.name} is no store")
        session.hello_received = True
        return [LogEvent("following", {"store": session.replica, "name": message.name})]

    @staticmethod
    def _handle_delta(
        now_ms: float, session: Session, sync: TopicSync, delta: Delta
    ) -> list[Effect]:
        update = sync.apply_delta(delta)
        if update is None:
            return []
        session.last_progress_ms = now_ms
        return [update]

    @staticmethod
    def _handle_snapshot(
        now_ms: float, session: Session, sync: TopicSync, part: Snapshot
    ) -> list[Effect]:
        update = sync.add_snapshot_part(part)
        session.last_progress_ms = now_ms
        return [] if update is None else [update]

    def _handle_heartbeat(
        self, now_ms: float, session: Session, sync: TopicSync, heartbeat: Heartbeat
    ) -> list[Effect]:
        age_ms = heartbeat.age_ms
        if math.isnan(age_ms) or age_ms < 0:
            raise ReplicaAbandonedError("malformed", f"an age of {age_ms} ms")
        if sync.is_complete and math.isfinite(age_ms):
            self.freshness.proof(now_ms - age_ms)
        if age_ms >= self._timing.max_lag_ms and self._selector.has_alternative:
            abandon_at_ms = self._selector.draw_reconnect_time_ms(now_ms)
            session.abandon_at_ms = min(session.abandon_at_ms, abandon_at_ms)
            return []
        session.abandon_at_ms = math.inf
        if sync.is_complete:
            self._selector.record_success()
        return []

    @staticmethod
    def _handle_rejection(
        now_ms: float, session: Session, sync: TopicSync, rejection: Rejection
    ) -> list[Effect]:
        if rejection.kind != "unknown-topic":
            kind = rejection.kind if rejection.kind in REJECTION_KINDS else "refused"
            raise ReplicaAbandonedError(kind, rejection.detail)
        is_newly_unknown = sync.mark_unknown(rejection)
        session.last_progress_ms = now_ms
        return [LogEvent("unknown-topic", {"topic": rejection.topic})] if is_newly_unknown else []
