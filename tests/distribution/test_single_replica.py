"""A single replica that is the only voter: proposals, and messages to its followers."""

from __future__ import annotations

import random

from badgercart.distribution.effects import Effect, Persist, RecoveredState, Send
from badgercart.distribution.messages import (
    Delta,
    Entry,
    Heartbeat,
    Hello,
    Message,
    Propose,
    ProposeResponse,
    Rejection,
    Snapshot,
)
from badgercart.distribution.replica import Replica
from badgercart.distribution.replica_config import ReplicaGroup, ReplicaTiming
from tests.distribution.support import subscribe


def single_replica() -> Replica:
    replica = Replica(
        ReplicaGroup("a", ("a",), ("a",)), ReplicaTiming(), random.Random(1), RecoveredState()
    )
    replica.start(0.0)
    return replica


def messages_to(effects: list[Effect], connection: int) -> list[Message]:
    return [e.message for e in effects if isinstance(e, Send) and e.connection == connection]


def connect_client(replica: Replica, connection: int) -> None:
    assert messages_to(replica.accepted(1.0, connection), connection) == [Hello("a", True)]
    assert replica.received(1.0, connection, Hello(f"node-{connection}", False)) == []


def test_the_only_voter_leads_at_once_and_persists_before_it_responds() -> None:
    replica = single_replica()
    assert replica.raft.state.is_leader and replica.age_ms(0.0) == 0.0
    connect_client(replica, 1)
    effects = replica.received(2.0, 1, Propose(7, "servers/a", (Entry("x", b"1"),), 0))
    assert [type(effect) for effect in effects] == [Persist, Send]
    assert messages_to(effects, 1) == [ProposeResponse(7, 1, "", "")]
    assert replica.topics["servers/a"].entries == {"x": b"1"}


def test_a_subscriber_gets_a_rejection_a_delta_a_snapshot_and_heartbeats() -> None:
    replica = single_replica()
    connect_client(replica, 1)
    connect_client(replica, 2)
    (rejection,) = messages_to(replica.received(2.0, 1, subscribe(("t", 0, 0))), 1)
    assert isinstance(rejection, Rejection) and (rejection.kind, rejection.topic) == (
        "unknown-topic",
        "t",
    )
    effects = replica.received(3.0, 2, Propose(1, "t", (Entry("x", b"1"),), -1))
    digest = replica.topics["t"].digest
    assert messages_to(effects, 1) == [Delta("t", 1, digest, (Entry("x", b"1"),))]
    connect_client(replica, 3)
    messages = messages_to(replica.received(4.0, 3, subscribe(("t", 1, digest + 1))), 3)
    assert messages == [Snapshot("t", 1, digest, 1, 1, (Entry("x", b"1"),))]
    assert messages_to(replica.received(5.0, 3, subscribe(("t", 1, digest))), 3) == []
    assert messages_to(replica.tick(1000.0), 3) == [Heartbeat(0.0)]
