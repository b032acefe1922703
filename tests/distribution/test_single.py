"""One store that is the only voter: proposals, and what its followers are told."""

from __future__ import annotations

import random

from badgercart.distribution.effects import Effect, Keep, Recovered, Send
from badgercart.distribution.messages import (
    Beat,
    Delta,
    Entry,
    Hello,
    Message,
    No,
    Propose,
    Proposed,
    Subscribe,
    Whole,
)
from badgercart.distribution.store import Store, Timing


def single() -> Store:
    store = Store("a", ("a",), ("a",), Timing(), random.Random(1), Recovered())
    store.start(0.0)
    return store


def said(effects: list[Effect], connection: int) -> list[Message]:
    return [e.message for e in effects if isinstance(e, Send) and e.connection == connection]


def attach(store: Store, connection: int) -> None:
    assert said(store.accepted(1.0, connection), connection) == [Hello("a", True)]
    assert store.received(1.0, connection, Hello(f"node-{connection}", False)) == []


def test_the_only_voter_leads_at_once_and_keeps_a_change_before_it_answers() -> None:
    store = single()
    assert store.leading and store.age(0.0) == 0.0
    attach(store, 1)
    effects = store.received(2.0, 1, Propose(7, "servers/a", (Entry("x", b"1"),), 0))
    assert [type(effect) for effect in effects] == [Keep, Send]
    assert said(effects, 1) == [Proposed(7, 1, "", "")]
    assert store.topics["servers/a"].entries == {"x": b"1"}


def test_a_follower_is_told_of_an_unknown_topic_its_changes_and_the_whole() -> None:
    store = single()
    attach(store, 1)
    attach(store, 2)
    (no,) = said(store.received(2.0, 1, Subscribe((("t", 0, 0),))), 1)
    assert isinstance(no, No) and (no.kind, no.about) == ("unknown-topic", "t")
    effects = store.received(3.0, 2, Propose(1, "t", (Entry("x", b"1"),), -1))
    digest = store.topics["t"].digest
    assert said(effects, 1) == [Delta("t", 1, digest, (Entry("x", b"1"),))]
    attach(store, 3)
    told = said(store.received(4.0, 3, Subscribe((("t", 1, digest + 1),))), 3)
    assert told == [Whole("t", 1, digest, 1, 1, (Entry("x", b"1"),))]
    assert said(store.received(5.0, 3, Subscribe((("t", 1, digest),))), 3) == []
    assert said(store.tick(1000.0), 3) == [Beat(0.0)]
