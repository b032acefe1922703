"""Connections of a replica: which messages are allowed, and which connections are closed."""

from __future__ import annotations

import random

from badgercart.distribution.effects import Close, RecoveredState
from badgercart.distribution.messages import (
    AppendEntries,
    AppendResponse,
    Hello,
    Subscribe,
)
from badgercart.distribution.replica import Replica
from badgercart.distribution.replica_config import ReplicaGroup, ReplicaLimits, ReplicaTiming
from tests.distribution.scenarios import change, replica_with_leader
from tests.distribution.support import (
    closed_connections,
    connect_client,
    leader_of_four,
    messages_to,
    propose,
)


def test_a_message_out_of_place_closes_the_connection() -> None:
    names = ("a", "b", "c")
    for hello, message, expected_text in (
        (None, Subscribe(()), "came before Hello"),
        (Hello("n", False), Hello("n", False), "said Hello twice"),
        (Hello("n", False), AppendEntries(1, 0, (), 0), "not for a follower"),
        (Hello("b", True), Subscribe(()), "not for a store"),
        (Hello("b", True), AppendEntries(1, 0, (change(1, 2),), 0), "other places"),
        (None, Hello("z", True), "not another of the stores"),
        (None, Hello("a", True), "not another of the stores"),
    ):
        replica = Replica(
            ReplicaGroup("a", names, names), ReplicaTiming(), random.Random(1), RecoveredState()
        )
        replica.start(0.0)
        replica.accepted(0.0, 1)
        if hello is not None:
            replica.received(0.0, 1, hello)
        (close,) = (
            effect for effect in replica.received(0.0, 1, message) if isinstance(effect, Close)
        )
        assert (
            expected_text in close.detail
            and not replica.connections.by_number
            and not replica.raft.state.peers
        )
        assert (
            replica.received(0.0, 1, message) == []
        ), "later messages of the connection are ignored"


def test_a_replica_dials_replicas_with_later_names_and_checks_their_hello() -> None:
    names = ("a", "b", "c")
    replica = Replica(
        ReplicaGroup("b", names, names), ReplicaTiming(), random.Random(1), RecoveredState()
    )
    replica.start(0.0)
    assert replica.replicas_to_dial() == ("c",)
    replica.connected(0.0, 1, "c")
    assert replica.replicas_to_dial() == ()
    (close,) = (
        effect for effect in replica.received(0.0, 1, Hello("a", True)) if isinstance(effect, Close)
    )
    assert "answers where 'c' was dialled" in close.detail
    assert replica.replicas_to_dial() == ("c",)


def test_a_newer_connection_of_a_peer_replaces_its_old_one() -> None:
    replica = replica_with_leader(RecoveredState(), Replica)
    replica.accepted(0.0, 2)
    assert closed_connections(replica.received(0.0, 2, Hello("a", True))) == [(1, "replaced")]
    assert replica.raft.state.peers["a"].connection == 2
    assert replica.closed(0.0, 1) == [] and replica.raft.state.peers["a"].connection == 2


def test_a_peer_that_does_not_respond_is_disconnected() -> None:
    replica = leader_of_four(ReplicaLimits())
    closed = []
    for now_ms in range(3100, 10_000, 100):
        for connection in (2, 3):
            peer = replica.connections.by_number[connection].peer
            assert peer is not None
            if peer.progress.in_flight:
                replica.received(
                    float(now_ms),
                    connection,
                    AppendResponse(
                        6,
                        replica.raft.state.log.last_index,
                        replica.raft.state.log.commit_index,
                        False,
                    ),
                )
        closed += closed_connections(replica.tick(float(now_ms)))
    assert closed == [(4, "silent")] and replica.raft.state.is_leader


def test_an_impossible_response_closes_the_connection() -> None:
    for index, committed in ((5000, 0), (0, 5000), (-1, 0), (0, -1)):
        replica = leader_of_four(ReplicaLimits())
        effects = replica.received(3001.0, 2, AppendResponse(6, index, committed, True))
        assert closed_connections(effects) == [(2, "stray")] and "b" not in replica.raft.state.peers
    for index in (1000, 1001):
        assert (
            closed_connections(replica.received(3001.0, 3, AppendResponse(6, index, 1000, False)))
            == []
        )
    effects = replica.received(3001.0, 3, AppendResponse(6, 1001, 1000, False))
    assert closed_connections(effects) == [(3, "stray")], "no request was in flight"


def test_a_stalled_peer_is_sent_nothing_until_it_is_writable() -> None:
    replica = leader_of_four(ReplicaLimits())
    for connection in (2, 3):
        replica.received(3001.0, connection, AppendResponse(6, 1001, 1000, False))
    for connection in (2, 3):
        replica.received(3001.0, connection, AppendResponse(6, 1001, 1001, False))
    replica.stalled(3002.0, 2)
    connect_client(replica, 0)
    effects = propose(replica, "t0", ("k", b"new"))
    assert not messages_to(effects, 2) and messages_to(effects, 3)
    assert not messages_to(replica.tick(3200.0), 2)
    (append,) = messages_to(replica.writable(3201.0, 2), 2)
    assert isinstance(append, AppendEntries) and [c.index for c in append.changes] == [1002]
