"""Publishing to subscribers: deltas, snapshots, heartbeats, bursts and their cost."""

from __future__ import annotations

import pytest

from badgercart.distribution import publisher
from badgercart.distribution.effects import RecoveredState
from badgercart.distribution.messages import (
    MAX_TOPICS,
    AppendEntries,
    Change,
    Delta,
    Entry,
    Heartbeat,
    Hello,
    Rejection,
    Snapshot,
)
from badgercart.distribution.replica import Replica
from badgercart.distribution.replica_config import ReplicaLimits
from badgercart.distribution.topic import Topic
from tests.distribution.scenarios import replica_with_leader
from tests.distribution.support import (
    closed_connections,
    connect_client,
    messages_to,
    propose,
    single_replica,
    subscribe,
    subscribe_on,
)


def test_subscribers_are_bounded_and_one_too_many_is_rejected() -> None:
    replica = single_replica(ReplicaLimits(max_subscribers=3), topics="t")
    for connection in (1, 2, 3):
        subscribe_on(replica, connection, ("t", 0, 0))
    connect_client(replica, 4)
    effects = replica.received(1.0, 4, subscribe(("t", 0, 0)))
    (rejection,) = messages_to(effects, 4)
    assert (
        isinstance(rejection, Rejection)
        and rejection.kind == "too-many"
        and closed_connections(effects) == [(4, "too-many")]
    )
    assert (
        4 not in replica.connections.by_number
        and len(replica.publisher.subscriptions.subscribers) == 3
    )
    assert subscribe_on(replica, 3, ("t", 0, 0)), "a current subscriber may subscribe again"
    replica.closed(2.0, 1)
    assert subscribe_on(replica, 5, ("t", 0, 0))


def test_subscriptions_are_bounded_for_one_and_for_all_subscribers() -> None:
    replica = single_replica()
    connect_client(replica, 1)
    many = tuple((f"t{n}", 0, 0) for n in range(MAX_TOPICS + 1))
    effects = replica.received(1.0, 1, subscribe(*many))
    assert closed_connections(effects) == [(1, "too-many")]
    replica = single_replica(ReplicaLimits(max_subscriptions=5))
    subscribe_on(replica, 2, *((f"t{n}", 0, 0) for n in range(4)))
    connect_client(replica, 3)
    assert closed_connections(
        replica.received(1.0, 3, subscribe(*((f"t{n}", 0, 0) for n in range(2))))
    ) == [(3, "too-many")]
    subscribe_on(replica, 2, ("t1", 0, 0))
    assert replica.publisher.subscriptions.count == 1 and list(
        replica.publisher.subscriptions.by_topic
    ) == ["t1"]
    subscribe_on(replica, 4, *((f"t{n}", 0, 0) for n in range(4)))
    for connection in (2, 4):
        replica.closed(1.0, connection)
    assert (
        replica.publisher.subscriptions.count == 0
        and not replica.publisher.subscriptions.by_topic
        and not replica.publisher.subscriptions.subscribers
    )


def test_unidentified_connections_are_bounded_and_closed() -> None:
    replica = single_replica(ReplicaLimits(max_unidentified_connections=3))
    effects = [replica.accepted(1.0, connection) for connection in range(1, 6)]
    assert [closed_connections(each) for each in effects] == [
        [],
        [],
        [],
        [(4, "too-many")],
        [(5, "too-many")],
    ]
    replica.received(2.0, 1, Hello("operator", False))
    assert closed_connections(replica.tick(4000.0)) == []
    assert closed_connections(replica.tick(6000.0)) == [(2, "silent"), (3, "silent")]
    assert sorted(replica.connections.by_number) == [0, 1]


def test_a_lagging_subscriber_gets_deltas_from_the_history_or_else_a_snapshot() -> None:
    replica = single_replica(ReplicaLimits(max_topic_history=3))
    for number in range(1, 8):
        propose(replica, "t", ("k", b"%d" % number))
    assert [m.version for m in subscribe_on(replica, 1, ("t", 4, 0)) if isinstance(m, Delta)] == [
        5,
        6,
        7,
    ]
    (snapshot,) = subscribe_on(replica, 2, ("t", 3, 0))
    assert isinstance(snapshot, Snapshot) and (snapshot.version, snapshot.entries) == (
        7,
        (Entry("k", b"7"),),
    )
    assert subscribe_on(replica, 3, ("t", 7, replica.topics["t"].digest)) == []
    (repair,) = subscribe_on(replica, 4, ("t", 7, 12345))
    assert isinstance(repair, Snapshot) and repair.version == 7
    for connection in (1, 2, 3, 4):
        assert [
            type(m)
            for m in messages_to(propose(replica, "t", ("k", b"%d" % connection)), connection)
        ] == [Delta]


@pytest.mark.parametrize(
    "limits", [ReplicaLimits(max_history=5), ReplicaLimits(max_history_bytes=5 * 40)]
)
def test_the_history_of_all_topics_together_is_bounded(limits: ReplicaLimits) -> None:
    replica = single_replica(limits)
    for number in range(40):
        propose(replica, f"t{number % 7}", ("k", b"%023d" % number))
        history = replica.publisher.history
        delta_count = sum(map(len, history.by_topic.values()))
        assert delta_count == len(history.sizes) == min(5, number + 1)
        assert history.total_bytes == sum(history.sizes.values()) <= 200
        assert all(history.by_topic.values())


def test_a_subscription_to_an_unknown_topic_is_served_once_it_exists() -> None:
    replica = single_replica()
    (rejection,) = subscribe_on(replica, 1, ("t", 0, 0))
    assert isinstance(rejection, Rejection) and (rejection.kind, rejection.topic) == (
        "unknown-topic",
        "t",
    )
    assert [type(m) for m in messages_to(propose(replica, "t", ("k", b"1")), 1)] == [Delta]


def test_a_subscriber_ahead_is_rejected_and_served_once_the_replica_caught_up() -> None:
    replica = single_replica()
    propose(replica, "t", ("k", b"1"))
    other = Topic()
    for number in (1, 2):
        other.apply((Entry("k", b"%d" % number),))
    (rejection,) = subscribe_on(replica, 1, ("t", 2, other.digest))
    assert isinstance(rejection, Rejection) and (rejection.kind, rejection.topic) == ("behind", "t")
    (wrong,) = subscribe_on(replica, 2, ("t", 2, 999))
    assert isinstance(wrong, Rejection) and wrong.kind == "behind"
    effects = propose(replica, "t", ("k", b"2"))
    assert messages_to(effects, 1) == [], "the subscriber already has the change"
    assert [type(m) for m in messages_to(replica.tick(replica.due_ms), 2)] == [
        Snapshot
    ], "its content of that version is not the group's"
    effects = propose(replica, "t", ("k", b"3"))
    for connection in (1, 2):
        (delta,) = messages_to(effects, connection)
        assert isinstance(delta, Delta) and delta.version == 3


def test_a_new_subscription_replaces_the_one_before() -> None:
    replica = single_replica(topics="tu")
    subscribe_on(replica, 1, ("t", 0, 0))
    subscribe_on(replica, 1, ("u", 0, 0))
    assert messages_to(propose(replica, "t", ("k", b"2")), 1) == []
    assert [type(m) for m in messages_to(propose(replica, "u", ("k", b"2")), 1)] == [Delta]


def test_a_topic_named_twice_is_subscribed_once() -> None:
    replica = single_replica(topics="t")
    assert len(subscribe_on(replica, 1, ("t", 0, 0), ("t", 0, 0))) == 1
    assert len(messages_to(propose(replica, "t", ("k", b"2")), 1)) == 1
    assert replica.publisher.subscriptions.count == 1


def test_a_change_visits_only_the_subscribers_of_its_topic() -> None:
    costs = {}
    for others in (10, 1000):
        replica = single_replica(topics=[f"t{n}" for n in range(others + 1)])
        for connection in range(1, others + 1):
            subscribe_on(replica, connection, (f"t{connection}", 0, 0))
        for connection in range(2000, 2005):
            subscribe_on(replica, connection, ("t0", 0, 0))
        before = replica.publisher.visited_count
        effects = propose(replica, "t0", ("k", b"new"))
        costs[others] = replica.publisher.visited_count - before, len(effects)
        assert not replica.publisher.ready
    # Five subscribers are visited; the effects are five deltas, one Persist and one response.
    assert costs[10] == costs[1000] == (5, 7)


# Heartbeats.


def test_heartbeats_come_at_their_interval_with_the_age() -> None:
    replica = single_replica(topics="t")
    for connection in (1, 2):
        subscribe_on(replica, connection, ("t", 0, 0))
    assert not messages_to(replica.tick(999.0), 1)
    effects = replica.tick(1000.0)
    assert messages_to(effects, 1) == messages_to(effects, 2) == [Heartbeat(0.0)]
    assert not messages_to(replica.tick(1999.0), 1)
    assert messages_to(replica.tick(2000.0), 1) == [Heartbeat(0.0)]


def test_a_replica_without_leader_contact_reports_an_infinite_age() -> None:
    replica = replica_with_leader(
        RecoveredState(1, "", 1, 1, 1, {"t": Topic(1, (Entry("k", b"v"),))}), Replica
    )
    connect_client(replica, 5)
    sent = messages_to(replica.received(0.0, 5, subscribe(("t", 0, 0))), 5)
    assert [type(m) for m in sent] == [Snapshot]
    assert Heartbeat(float("inf")) in messages_to(replica.tick(1000.0), 5)


def test_a_heartbeat_is_no_newer_than_what_was_sent() -> None:
    replica = single_replica(topics="t")
    subscribe_on(replica, 1, ("t", 0, 0))
    assert messages_to(replica.tick(1000.0), 1) == [Heartbeat(0.0)]
    replica.stalled(1100.0, 1)
    propose(replica, "t", ("k", b"2"))
    assert messages_to(replica.tick(2000.0), 1) == []
    assert [type(m) for m in messages_to(replica.writable(2500.0, 1), 1)] == [Delta]
    assert messages_to(replica.tick(3000.0), 1) == [Heartbeat(0.0)]


def test_the_age_in_a_heartbeat_between_bursts_is_counted_from_the_last_complete_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(publisher, "MAX_BURST_BYTES", 1)
    replica = single_replica(topics="tu")
    subscribe_on(replica, 1, ("t", 0, 0), ("u", 0, 0))
    messages_to(replica.tick(2.0), 1)
    assert messages_to(replica.tick(1000.0), 1) == [Heartbeat(0.0)]
    replica.stalled(1100.0, 1)
    propose(replica, "t", ("k", b"2"))
    propose(replica, "u", ("k", b"2"))
    assert [
        m.topic for m in messages_to(replica.writable(1900.0, 1), 1) if isinstance(m, Delta)
    ] == ["t"]
    heartbeat, delta = messages_to(replica.tick(2000.0), 1)
    assert heartbeat == Heartbeat(1000.0) and isinstance(delta, Delta) and delta.topic == "u"
    assert messages_to(replica.tick(3000.0), 1) == [Heartbeat(0.0)]


# Stalled connections and bursts.


def test_a_stalled_subscriber_resumes_from_its_last_version() -> None:
    replica = single_replica(ReplicaLimits(max_topic_history=3))
    propose(replica, "t", ("k", b"0"))
    for connection in (1, 2, 3):
        subscribe_on(replica, connection, ("t", 0, 0))
    replica.stalled(2.0, 1)
    replica.stalled(2.0, 2)
    for number in range(2):
        effects = propose(replica, "t", ("k", b"a%d" % number))
        assert (
            not messages_to(effects, 1)
            and not messages_to(effects, 2)
            and len(messages_to(effects, 3)) == 1
        )
    assert [
        m.version for m in messages_to(replica.writable(3.0, 1), 1) if isinstance(m, Delta)
    ] == [2, 3]
    for number in range(2):
        propose(replica, "t", ("k", b"b%d" % number))
    (snapshot,) = messages_to(replica.writable(4.0, 2), 2)
    assert isinstance(snapshot, Snapshot) and snapshot.version == 5
    assert replica.writable(5.0, 2) == [] and replica.tick(6.0) == []


def test_one_event_builds_at_most_one_burst_for_a_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(publisher, "MAX_BURST_BYTES", 1000)
    names = [f"t{n}" for n in range(50)]
    replica = single_replica()
    for name in names:
        propose(replica, name, ("k", bytes(200)))
    first = subscribe_on(replica, 1, *((name, 0, 0) for name in names))
    assert len(first) == 5 and replica.due_ms == replica.raft.state.now_ms
    sent = list(first)
    effects = replica.tick(3.0)
    assert len(messages_to(effects, 1)) == 5
    sent += messages_to(effects, 1)
    replica.stalled(3.0, 1)
    assert replica.due_ms > replica.raft.state.now_ms and replica.tick(4.0) == []
    # The previous version of this topic was already sent.
    propose(replica, "t0", ("k", b"new"))
    sent += messages_to(replica.writable(5.0, 1), 1)
    while replica.due_ms <= replica.raft.state.now_ms:
        burst = messages_to(replica.tick(6.0), 1)
        assert 0 < len(burst) <= 5
        sent += burst
    numbers = {m.topic: m.version for m in sent if isinstance(m, Snapshot | Delta)}
    assert (
        numbers == {name: replica.publisher.topics.version(name) for name in names}
        and len(sent) == 51
    )


def test_many_changes_committed_at_once_are_sent_in_bursts(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(publisher, "MAX_BURST_BYTES", 1000)
    replica = replica_with_leader(RecoveredState(), Replica)
    connect_client(replica, 5)
    replica.received(0.0, 5, subscribe(("t", 0, 0)))
    log = tuple(Change(1, index, "t", (Entry("k", b"%0200d" % index),)) for index in range(1, 21))
    sent = messages_to(replica.received(1.0, 1, AppendEntries(1, 0, log, 20)), 5)
    assert (
        replica.raft.state.log.commit_index == 20
        and len(sent) == 5
        and replica.due_ms == replica.raft.state.now_ms
    )
    while replica.due_ms <= replica.raft.state.now_ms:
        burst = messages_to(replica.tick(2.0), 5)
        assert 0 < len(burst) <= 5
        sent += burst
    assert [m.version for m in sent if isinstance(m, Delta)] == list(range(1, 21))


def test_a_long_snapshot_is_completed_despite_changes_and_stalls(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(publisher, "MAX_BURST_BYTES", 1)
    replica = single_replica()
    for number in range(20):
        propose(replica, "t", *((f"{number} {n}", bytes(60_000)) for n in range(4)))
    sent = subscribe_on(replica, 1, ("t", 0, 0), ("u", 0, 0))
    # The history still has all deltas.
    assert [type(m) for m in sent] == [Rejection, Delta]
    replica = single_replica(ReplicaLimits(max_topic_history=1))
    for number in range(20):
        propose(replica, "t", *((f"{number} {n}", bytes(60_000)) for n in range(4)))
    sent = subscribe_on(replica, 1, ("t", 0, 0))
    assert len(sent) == 1
    for number in range(3):
        assert messages_to(propose(replica, "t", ("x", b"%d" % number)), 1) == []
    replica.stalled(2.0, 1)
    assert replica.tick(3.0) == []
    sent += messages_to(replica.writable(3.0, 1), 1)
    while replica.due_ms <= replica.raft.state.now_ms:
        sent += messages_to(replica.tick(4.0), 1)
    parts = [m for m in sent if isinstance(m, Snapshot)]
    first_parts = [at for at, m in enumerate(parts) if m.part == 1]
    assert (
        first_parts[0] == 0 and len(first_parts) == 2
    ), "the history no longer had the changes, so a second snapshot was sent"
    assert [m.part for m in parts[: first_parts[1]]] == list(range(1, parts[0].parts + 1))
    topic = Topic(
        parts[-1].version, (entry for m in parts[first_parts[1] :] for entry in m.entries)
    )
    assert (topic.version, topic.digest) == (23, replica.topics["t"].digest)
    subscriber = replica.publisher.subscriptions.subscribers[1]
    assert not subscriber.snapshot_parts and not subscriber.pending
