"""Helpers to create replicas in a certain state, and to exchange messages with them."""

from __future__ import annotations

import random
from collections.abc import Iterable

from badgercart.distribution.effects import Close, Effect, RecoveredState, Send
from badgercart.distribution.messages import (
    Codec,
    Entry,
    Hello,
    Message,
    Propose,
    ProposeResponse,
    Subscribe,
    TopicPart,
    TopicVersion,
    VoteResponse,
)
from badgercart.distribution.replica import Replica
from badgercart.distribution.replica_config import ReplicaGroup, ReplicaLimits, ReplicaTiming
from badgercart.distribution.topic import Topic


def subscribe(*topics: tuple[str, int, int]) -> Subscribe:
    """Return a subscription to topics, each given by name, version and digest."""
    return Subscribe(tuple(TopicVersion(*topic) for topic in topics))


def topic_parts(*parts: tuple[str, int, int, tuple[Entry, ...]]) -> tuple[TopicPart, ...]:
    """Return parts of topics, each given by name, version, digest and entries."""
    return tuple(TopicPart(*part) for part in parts)


CODEC = Codec("a group", b"its secret")


def single_replica(limits: ReplicaLimits | None = None, topics: Iterable[str] = ()) -> Replica:
    """Return the only voter of a group, with an operator on connection 0."""
    initial_topics = {name: Topic(1, (Entry("k", b"v"),)) for name in topics}
    recovered = RecoveredState(1, "a", 1, 1, 1, initial_topics, ())
    group = ReplicaGroup("a", ("a",), ("a",))
    replica = Replica(group, ReplicaTiming(), random.Random(1), recovered, limits)
    replica.start(0.0)
    connect_client(replica, 0)
    return replica


def connect_client(replica: Replica, connection: int) -> None:
    replica.accepted(0.0, connection)
    replica.received(0.0, connection, Hello(f"node-{connection}", False))


def messages_to(effects: list[Effect], connection: int) -> list[Message]:
    messages = [
        effect.message
        for effect in effects
        if isinstance(effect, Send) and effect.connection == connection
    ]
    for message in messages:
        # Check that each message fits a frame.
        CODEC.encode(message)
    return messages


def subscribe_on(replica: Replica, connection: int, *topics: tuple[str, int, int]) -> list[Message]:
    if connection not in replica.connections.by_number:
        connect_client(replica, connection)
    return messages_to(replica.received(1.0, connection, subscribe(*topics)), connection)


def propose(
    replica: Replica, topic: str, *pairs: tuple[str, bytes | None], expected: int = -1
) -> list[Effect]:
    entries = tuple(Entry(key, value) for key, value in pairs)
    return replica.received(2.0, 0, Propose(5, topic, entries, expected))


def response_in(effects: list[Effect]) -> ProposeResponse:
    (message,) = messages_to(effects, 0)
    assert isinstance(message, ProposeResponse)
    return message


def closed_connections(effects: list[Effect]) -> list[tuple[int, str]]:
    return [(effect.connection, effect.kind) for effect in effects if isinstance(effect, Close)]


def leader_of_four(limits: ReplicaLimits) -> Replica:
    """Return the leader of four replicas, two of which lag far behind, on connections 2 and 3."""
    names = ("a", "b", "c", "d")
    topics = {f"t{n}": Topic(1, (Entry("k", bytes(60_000)),)) for n in range(30)}
    recovered = RecoveredState(5, "", 1000, 1000, 5, topics)
    group = ReplicaGroup("a", names, names)
    replica = Replica(group, ReplicaTiming(), random.Random(1), recovered, limits)
    replica.start(0.0)
    for connection, name in ((2, "b"), (3, "c"), (4, "d")):
        replica.connected(0.0, connection, name)
        replica.received(0.0, connection, Hello(name, True))
    replica.tick(3000.0)
    for connection in (2, 3):
        replica.received(3000.0, connection, VoteResponse(6, True, True))
    for connection in (2, 3):
        replica.received(3000.0, connection, VoteResponse(6, True, False))
    assert replica.raft.state.is_leader
    return replica
