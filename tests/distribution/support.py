"""Replicas in a state that tests need, and short ways to talk to them."""

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
    """A subscription to topics, by name, version and digest."""
    return Subscribe(tuple(TopicVersion(*topic) for topic in topics))


def topic_parts(*parts: tuple[str, int, int, tuple[Entry, ...]]) -> tuple[TopicPart, ...]:
    """Parts of topics, by name, version, digest and entries."""
    return tuple(TopicPart(*part) for part in parts)


CODEC = Codec("a group", b"its secret")


def single_replica(limits: ReplicaLimits | None = None, topics: Iterable[str] = ()) -> Replica:
    """The only voter, with an operator on connection 0."""
    told = {name: Topic(1, (Entry("k", b"v"),)) for name in topics}
    recovered = RecoveredState(1, "a", 1, 1, 1, told, ())
    group = ReplicaGroup("a", ("a",), ("a",))
    replica = Replica(group, ReplicaTiming(), random.Random(1), recovered, limits)
    replica.start(0.0)
    say_hello(replica, 0)
    return replica


def say_hello(replica: Replica, connection: int) -> None:
    replica.accepted(0.0, connection)
    replica.received(0.0, connection, Hello(f"node-{connection}", False))


def messages_to(effects: list[Effect], connection: int) -> list[Message]:
    messages = [e.message for e in effects if isinstance(e, Send) and e.connection == connection]
    for message in messages:
        CODEC.encode(message)  # it fits
    return messages


def subscribe_on(replica: Replica, connection: int, *topics: tuple[str, int, int]) -> list[Message]:
    if connection not in replica.connections.by_number:
        say_hello(replica, connection)
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


def closed_in(effects: list[Effect]) -> list[tuple[int, str]]:
    return [(e.connection, e.kind) for e in effects if isinstance(e, Close)]


def leader_of_four(limits: ReplicaLimits) -> Replica:
    """A replica of four that leads, with two that lag far behind on connections 2 and 3."""
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
