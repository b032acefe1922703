"""What followers are told, how much of it at a time, at what cost; and the bound of every table."""

from __future__ import annotations

import random
from collections.abc import Iterable

import pytest

from badgercart.distribution import publisher as telling
from badgercart.distribution import store as module
from badgercart.distribution.effects import Close, Effect, Happened, Recovered, Send
from badgercart.distribution.messages import (
    MAX_ENTRIES,
    MAX_TOPICS,
    Append,
    Appended,
    Beat,
    Change,
    Codec,
    Delta,
    Entry,
    Hello,
    Message,
    No,
    Propose,
    Proposed,
    State,
    Subscribe,
    Vote,
    VoteRequest,
    Whole,
)
from badgercart.distribution.publisher import Bounds
from badgercart.distribution.store import Store, Timing
from badgercart.distribution.topic import Topic
from tests.distribution.group import Group
from tests.distribution.orders import alone, change

CODEC = Codec("a group", b"its secret")


def single(bounds: Bounds | None = None, most: int = 1024, topics: Iterable[str] = ()) -> Store:
    """The only voter, with an operator on connection 0."""
    told = {name: Topic(1, (Entry("k", b"v"),)) for name in topics}
    recovered = Recovered(1, "a", 1, 1, 1, told, ())
    store = Store("a", ("a",), ("a",), Timing(), random.Random(1), recovered, most, bounds)
    store.start(0.0)
    greet(store, 0)
    return store


def greet(store: Store, connection: int) -> None:
    store.accepted(0.0, connection)
    store.received(0.0, connection, Hello(f"node-{connection}", False))


def said(effects: list[Effect], connection: int) -> list[Message]:
    messages = [e.message for e in effects if isinstance(e, Send) and e.connection == connection]
    for message in messages:
        CODEC.encode(message)  # it fits
    return messages


def ask(store: Store, connection: int, *topics: tuple[str, int, int]) -> list[Message]:
    if connection not in store.connections:
        greet(store, connection)
    return said(store.received(1.0, connection, Subscribe(topics)), connection)


def put(
    store: Store, topic: str, *pairs: tuple[str, bytes | None], expected: int = -1
) -> list[Effect]:
    entries = tuple(Entry(key, value) for key, value in pairs)
    return store.received(2.0, 0, Propose(5, topic, entries, expected))


def answer(effects: list[Effect]) -> Proposed:
    (message,) = said(effects, 0)
    assert isinstance(message, Proposed)
    return message


def closes(effects: list[Effect]) -> list[tuple[int, str]]:
    return [(e.connection, e.kind) for e in effects if isinstance(e, Close)]


# Proposals.


def test_a_proposal_for_another_number_than_there_is_is_a_conflict() -> None:
    store = single()
    assert answer(put(store, "t", ("k", b"1"), expected=0)).number == 1
    refused = answer(put(store, "t", ("k", b"2"), expected=0))
    assert (refused.error, refused.number) == ("conflict", 1)
    assert store.topics["t"].entries == {"k": b"1"}
    assert answer(put(store, "t", ("k", b"2"), expected=1)).number == 2


def test_a_proposal_that_changes_nothing_is_answered_with_the_number_there_is() -> None:
    store = single()
    put(store, "t", ("k", b"1"), ("l", b"2"))
    last = store.last
    for same in ((("k", b"1"),), (("m", None),), (), (("k", b"7"), ("k", b"1"))):
        assert answer(put(store, "t", *same)) == Proposed(5, 1, "", "")
    assert answer(put(store, "none", ("k", None))) == Proposed(5, 0, "", "")
    assert store.last == last and "none" not in store.topics


def test_what_waits_counts_for_the_next_proposal() -> None:
    group = Group(3)
    assert group.run(5000.0, lambda: bool(group.leader()))
    leader, operator = group.leader(), group.operator
    group.run(500.0)
    one = operator.propose(leader, "t", [Entry("k", b"1")], 0)
    two = operator.propose(leader, "t", [Entry("k", b"2")], 0)
    three = operator.propose(leader, "t", [Entry("k", b"3")], 1)
    same = operator.propose(leader, "t", [Entry("k", b"3")])
    group.run(500.0)
    told = operator.answers
    assert (told[one].error, told[one].number) == ("", 1)
    assert told[two].error == "conflict"
    assert (told[three].error, told[three].number) == ("", 2)
    assert (told[same].error, told[same].number) == ("", 2), "when it is in force, not before"


def test_a_change_over_its_bound_is_refused_and_the_largest_goes_through_all_messages() -> None:
    group = Group(3)
    assert group.run(5000.0, lambda: bool(group.leader()))
    group.run(500.0)
    whole = [Entry(f"key {number:02}", bytes(65_000)) for number in range(16)]
    room = module.LARGEST - telling.size(whole) - len("last") - 16
    most = [*whole, Entry("last", bytes(room))]
    assert telling.size(most) == module.LARGEST
    fits = group.operator.propose(group.leader(), "t" * 200, most)
    over = group.operator.propose(group.leader(), "t", [*whole, Entry("last", bytes(room + 1))])
    group.run(1000.0)
    assert group.operator.answers[fits].error == ""
    assert group.operator.answers[over].error == "oversized"
    assert all(group.store(name).number("t" * 200) == 1 for name in group.names)
    store = single()
    assert (
        answer(put(store, "t", *((f"{n}", b"") for n in range(MAX_ENTRIES + 1)))).error
        == "oversized"
    )


def test_proposals_that_wait_are_bounded_by_count_and_bytes() -> None:
    for bounds in (Bounds(waiting=3), Bounds(waiting_bytes=3 * 120)):
        group = Group(3, bounds=bounds)
        assert group.run(5000.0, lambda group=group: bool(group.leader()))  # type: ignore[misc]
        group.run(500.0)
        leader = group.leader()
        for name in group.names:
            if name != leader:
                group.pause(name)
        serials = [
            group.operator.propose(leader, "t", [Entry(f"k{n}", bytes(100))]) for n in range(5)
        ]
        group.run(100.0)
        assert [s for s in serials if s in group.operator.answers] == serials[3:]
        assert {group.operator.answers[s].error for s in serials[3:]} == {"too-many"}
        store = group.store(leader)
        assert store.waiting_count == 3 and sum(map(len, store.waiting.values())) == 3
        for name in group.names:
            group.wake(name)
        group.run(300.0)
        assert [group.operator.answers[s].error for s in serials[:3]] == ["", "", ""]
        assert (store.waiting_count, store.tail_bytes, store.tail_entries) == (0, 0, 0)
        assert not store.waiting and not store.ahead


def test_topics_and_entries_are_bounded() -> None:
    store = single(Bounds(topics=2, entries=5))
    put(store, "a", ("k", b"1"))
    put(store, "b", ("k", b"1"), ("l", b"1"))
    assert answer(put(store, "c", ("k", b"1"))).error == "too-many"
    assert answer(put(store, "a", ("l", b"1"), ("m", b"1"))).error == ""
    assert answer(put(store, "a", ("n", b"1"))).error == "too-many"
    assert (
        answer(put(store, "a", ("l", None))).error == "too-many"
    ), "it is counted as if it were new"
    assert sorted(store.topics) == ["a", "b"] and store.teller.entries == 5


# Followers.


def test_followers_are_bounded_and_one_too_many_is_told_so() -> None:
    store = single(most=3, topics="t")
    for connection in (1, 2, 3):
        ask(store, connection, ("t", 0, 0))
    greet(store, 4)
    effects = store.received(1.0, 4, Subscribe((("t", 0, 0),)))
    (no,) = said(effects, 4)
    assert isinstance(no, No) and no.kind == "too-many" and closes(effects) == [(4, "too-many")]
    assert 4 not in store.connections and len(store.teller.followers) == 3
    assert ask(store, 3, ("t", 0, 0)), "one that is here may ask anew"
    store.closed(2.0, 1)
    assert ask(store, 5, ("t", 0, 0))


def test_topics_of_a_follower_and_of_all_are_bounded() -> None:
    store = single()
    greet(store, 1)
    many = tuple((f"t{n}", 0, 0) for n in range(MAX_TOPICS + 1))
    effects = store.received(1.0, 1, Subscribe(many))
    assert closes(effects) == [(1, "too-many")]
    store = single(Bounds(subscriptions=5))
    ask(store, 2, *((f"t{n}", 0, 0) for n in range(4)))
    greet(store, 3)
    assert closes(store.received(1.0, 3, Subscribe(tuple((f"t{n}", 0, 0) for n in range(2))))) == [
        (3, "too-many")
    ]
    ask(store, 2, ("t1", 0, 0))
    assert store.teller.subscriptions == 1 and list(store.teller.index) == ["t1"]
    ask(store, 4, *((f"t{n}", 0, 0) for n in range(4)))
    for connection in (2, 4):
        store.closed(1.0, connection)
    assert store.teller.subscriptions == 0 and not store.teller.index and not store.teller.followers


def test_connections_that_say_nothing_are_bounded_and_ended() -> None:
    store = single(Bounds(guests=3))
    effects = [store.accepted(1.0, connection) for connection in range(1, 6)]
    assert [closes(each) for each in effects] == [[], [], [], [(4, "too-many")], [(5, "too-many")]]
    store.received(2.0, 1, Hello("operator", False))
    assert closes(store.tick(4000.0)) == []
    assert closes(store.tick(6000.0)) == [(2, "silent"), (3, "silent")]
    assert sorted(store.connections) == [0, 1]


def test_one_behind_gets_changes_as_far_as_they_are_kept_and_else_the_whole() -> None:
    store = single(Bounds(history_each=3))
    for number in range(1, 8):
        put(store, "t", ("k", b"%d" % number))
    assert [m.number for m in ask(store, 1, ("t", 4, 0)) if isinstance(m, Delta)] == [5, 6, 7]
    (whole,) = ask(store, 2, ("t", 3, 0))
    assert isinstance(whole, Whole) and (whole.number, whole.entries) == (7, (Entry("k", b"7"),))
    assert ask(store, 3, ("t", 7, store.topics["t"].digest)) == []
    (mended,) = ask(store, 4, ("t", 7, 12345))
    assert isinstance(mended, Whole) and mended.number == 7
    for connection in (1, 2, 3, 4):
        assert [type(m) for m in said(put(store, "t", ("k", b"%d" % connection)), connection)] == [
            Delta
        ]


@pytest.mark.parametrize("bounds", [Bounds(history=5), Bounds(history_bytes=5 * 40)])
def test_the_history_of_all_topics_together_is_bounded(bounds: Bounds) -> None:
    store = single(bounds)
    for number in range(40):
        put(store, f"t{number % 7}", ("k", b"%023d" % number))
        teller = store.teller
        kept = sum(map(len, teller.deltas.values()))
        assert kept == len(teller.order) == min(5, number + 1)
        assert teller.history_bytes == sum(teller.order.values()) <= 200
        assert all(teller.deltas.values())


def test_a_topic_that_is_not_there_is_remembered_until_it_is() -> None:
    store = single()
    (no,) = ask(store, 1, ("t", 0, 0))
    assert isinstance(no, No) and (no.kind, no.about) == ("unknown-topic", "t")
    assert [type(m) for m in said(put(store, "t", ("k", b"1")), 1)] == [Delta]


def test_who_knows_more_is_told_so_and_served_once_we_know_as_much() -> None:
    store = single()
    put(store, "t", ("k", b"1"))
    other = Topic()
    for number in (1, 2):
        other.change((Entry("k", b"%d" % number),))
    (no,) = ask(store, 1, ("t", 2, other.digest))
    assert isinstance(no, No) and (no.kind, no.about) == ("behind", "t")
    (wrong,) = ask(store, 2, ("t", 2, 999))
    assert isinstance(wrong, No) and wrong.kind == "behind"
    effects = put(store, "t", ("k", b"2"))
    assert said(effects, 1) == [], "it has that"
    assert [type(m) for m in said(store.tick(store.due), 2)] == [Whole], "what it has is another's"
    effects = put(store, "t", ("k", b"3"))
    for connection in (1, 2):
        (delta,) = said(effects, connection)
        assert isinstance(delta, Delta) and delta.number == 3


def test_what_is_asked_for_anew_takes_the_place_of_what_was() -> None:
    store = single(topics="tu")
    ask(store, 1, ("t", 0, 0))
    ask(store, 1, ("u", 0, 0))
    assert said(put(store, "t", ("k", b"2")), 1) == []
    assert [type(m) for m in said(put(store, "u", ("k", b"2")), 1)] == [Delta]


def test_a_topic_named_twice_is_asked_for_once() -> None:
    store = single(topics="t")
    assert len(ask(store, 1, ("t", 0, 0), ("t", 0, 0))) == 1
    assert len(said(put(store, "t", ("k", b"2")), 1)) == 1
    assert store.teller.subscriptions == 1


def test_a_change_costs_work_by_its_own_followers_alone() -> None:
    costs = {}
    for others in (10, 1000):
        store = single(topics=[f"t{n}" for n in range(others + 1)])
        for connection in range(1, others + 1):
            ask(store, connection, (f"t{connection}", 0, 0))
        for connection in range(2000, 2005):
            ask(store, connection, ("t0", 0, 0))
        before = store.teller.touched
        effects = put(store, "t0", ("k", b"new"))
        costs[others] = store.teller.touched - before, len(effects)
        assert not store.teller.busy
    assert costs[10] == costs[1000] == (5, 7)  # five changes, one kept, one answer


# Beats.


def test_beats_come_at_their_time_to_each_and_say_how_old_all_is() -> None:
    store = single(topics="t")
    for connection in (1, 2):
        ask(store, connection, ("t", 0, 0))
    assert not said(store.tick(999.0), 1)
    effects = store.tick(1000.0)
    assert said(effects, 1) == said(effects, 2) == [Beat(0.0)]
    assert not said(store.tick(1999.0), 1)
    assert said(store.tick(2000.0), 1) == [Beat(0.0)]


def test_a_store_that_has_heard_no_leader_says_that_it_knows_no_age() -> None:
    store = alone(Recovered(1, "", 1, 1, 1, {"t": Topic(1, (Entry("k", b"v"),))}), Store)
    greet(store, 5)
    told = said(store.received(0.0, 5, Subscribe((("t", 0, 0),))), 5)
    assert [type(m) for m in told] == [Whole]
    assert Beat(float("inf")) in said(store.tick(1000.0), 5)


def test_a_beat_is_no_newer_than_what_the_follower_was_sent() -> None:
    store = single(topics="t")
    ask(store, 1, ("t", 0, 0))
    assert said(store.tick(1000.0), 1) == [Beat(0.0)]
    store.stalled(1100.0, 1)
    put(store, "t", ("k", b"2"))
    assert said(store.tick(2000.0), 1) == []
    assert [type(m) for m in said(store.room(2500.0, 1), 1)] == [Delta]
    assert said(store.tick(3000.0), 1) == [Beat(0.0)]


def test_a_beat_between_two_bursts_is_as_old_as_when_all_was_told(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(telling, "BURST", 1)
    store = single(topics="tu")
    ask(store, 1, ("t", 0, 0), ("u", 0, 0))
    said(store.tick(2.0), 1)
    assert said(store.tick(1000.0), 1) == [Beat(0.0)]
    store.stalled(1100.0, 1)
    put(store, "t", ("k", b"2"))
    put(store, "u", ("k", b"2"))
    assert [m.topic for m in said(store.room(1900.0, 1), 1) if isinstance(m, Delta)] == ["t"]
    beat, delta = said(store.tick(2000.0), 1)
    assert beat == Beat(1000.0) and isinstance(delta, Delta) and delta.topic == "u"
    assert said(store.tick(3000.0), 1) == [Beat(0.0)]


# Room.


def test_a_stalled_follower_is_told_from_where_it_was() -> None:
    store = single(Bounds(history_each=3))
    put(store, "t", ("k", b"0"))
    for connection in (1, 2, 3):
        ask(store, connection, ("t", 0, 0))
    store.stalled(2.0, 1)
    store.stalled(2.0, 2)
    for number in range(2):
        effects = put(store, "t", ("k", b"a%d" % number))
        assert not said(effects, 1) and not said(effects, 2) and len(said(effects, 3)) == 1
    assert [m.number for m in said(store.room(3.0, 1), 1) if isinstance(m, Delta)] == [2, 3]
    for number in range(2):
        put(store, "t", ("k", b"b%d" % number))
    (whole,) = said(store.room(4.0, 2), 2)
    assert isinstance(whole, Whole) and whole.number == 5
    assert store.room(5.0, 2) == [] and store.tick(6.0) == []


def test_no_more_is_built_for_a_connection_than_a_burst_a_call(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(telling, "BURST", 1000)
    names = [f"t{n}" for n in range(50)]
    store = single()
    for name in names:
        put(store, name, ("k", bytes(200)))
    first = ask(store, 1, *((name, 0, 0) for name in names))
    assert len(first) == 5 and store.due == store.now
    got = list(first)
    effects = store.tick(3.0)
    assert len(said(effects, 1)) == 5
    got += said(effects, 1)
    store.stalled(3.0, 1)
    assert store.due > store.now and store.tick(4.0) == []
    put(store, "t0", ("k", b"new"))  # which was told
    got += said(store.room(5.0, 1), 1)
    while store.due <= store.now:
        more = said(store.tick(6.0), 1)
        assert 0 < len(more) <= 5
        got += more
    numbers = {m.topic: m.number for m in got if isinstance(m, Whole | Delta)}
    assert numbers == {name: store.number(name) for name in names} and len(got) == 51


def test_many_changes_in_force_at_once_are_no_more_than_a_burst_either(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(telling, "BURST", 1000)
    store = alone(Recovered(), Store)
    greet(store, 5)
    store.received(0.0, 5, Subscribe((("t", 0, 0),)))
    log = tuple(Change(1, index, "t", (Entry("k", b"%0200d" % index),)) for index in range(1, 21))
    got = said(store.received(1.0, 1, Append(1, 0, log, 20)), 5)
    assert store.committed == 20 and len(got) == 5 and store.due == store.now
    while store.due <= store.now:
        more = said(store.tick(2.0), 5)
        assert 0 < len(more) <= 5
        got += more
    assert [m.number for m in got if isinstance(m, Delta)] == list(range(1, 21))


def test_a_topic_of_many_parts_is_told_whole_though_it_changes_and_stalls_between(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(telling, "BURST", 1)
    store = single()
    for number in range(20):
        put(store, "t", *((f"{number} {n}", bytes(60_000)) for n in range(4)))
    got = ask(store, 1, ("t", 0, 0), ("u", 0, 0))
    assert [type(m) for m in got] == [No, Delta]  # the history has them
    store = single(Bounds(history_each=1))
    for number in range(20):
        put(store, "t", *((f"{number} {n}", bytes(60_000)) for n in range(4)))
    got = ask(store, 1, ("t", 0, 0))
    assert len(got) == 1
    for number in range(3):
        assert said(put(store, "t", ("x", b"%d" % number)), 1) == []
    store.stalled(2.0, 1)
    assert store.tick(3.0) == []
    got += said(store.room(3.0, 1), 1)
    while store.due <= store.now:
        got += said(store.tick(4.0), 1)
    parts = [m for m in got if isinstance(m, Whole)]
    began = [at for at, m in enumerate(parts) if m.part == 1]
    assert (
        began[0] == 0 and len(began) == 2
    ), "what changed was not in the history any more: whole again"
    assert [m.part for m in parts[: began[1]]] == list(range(1, parts[0].parts + 1))
    topic = Topic(parts[-1].number, (entry for m in parts[began[1] :] for entry in m.entries))
    assert (topic.number, topic.digest) == (23, store.topics["t"].digest)
    held = store.teller.followers[1]
    assert not held.whole and not held.todo


# The log, and what other stores are told.


@pytest.mark.parametrize("bounds", [Bounds(log=8), Bounds(log_bytes=8 * 40)])
def test_the_log_behind_the_place_in_force_is_bounded(bounds: Bounds) -> None:
    store = single(bounds)
    for number in range(200):
        put(store, "t", ("k", b"%023d" % number))
        assert store.committed - store.base <= 17 and store.log_bytes <= 2 * 9 * 40
        assert store.last - store.base == len(store.log)
        assert store.log[-1].index == store.last
    assert store.committed - store.base >= 7


def leading(bounds: Bounds) -> Store:
    """A store of four that leads, with two that lag far behind on connections 2 and 3."""
    names = ("a", "b", "c", "d")
    topics = {f"t{n}": Topic(1, (Entry("k", bytes(60_000)),)) for n in range(30)}
    recovered = Recovered(5, "", 1000, 1000, 5, topics)
    store = Store("a", names, names, Timing(), random.Random(1), recovered, bounds=bounds)
    store.start(0.0)
    for connection, name in ((2, "b"), (3, "c"), (4, "d")):
        store.connected(0.0, connection, name)
        store.received(0.0, connection, Hello(name, True))
    store.tick(3000.0)
    for connection in (2, 3):
        store.received(3000.0, connection, Vote(6, True, True))
    for connection in (2, 3):
        store.received(3000.0, connection, Vote(6, True, False))
    assert store.leading
    return store


def test_few_are_told_all_topics_at_a_time_and_a_part_an_answer() -> None:
    store = leading(Bounds(stages=1))
    first = said(store.received(3001.0, 2, Appended(6, 0, 0, True)), 2)
    assert [type(m) for m in first] == [State]
    assert said(store.received(3001.0, 3, Appended(6, 0, 0, True)), 3) == []
    assert sum(peer.state is not None for peer in store.peers.values()) == 1
    effects = store.tick(3100.0)
    assert [type(m) for m in said(effects, 3)] == [Append], "a sign of life all the same"
    assert said(effects, 2) == [], "one that has not answered is told nothing more"
    parts = [m for m in first if isinstance(m, State)]
    while len(parts) < parts[0].parts:
        (part,) = said(store.received(3102.0, 2, Appended(6, 0, 0, False)), 2)
        assert isinstance(part, State)
        parts.append(part)
    assert [m.part for m in parts] == list(range(1, parts[0].parts + 1)) and len(parts) > 2
    assert sum(len(m.topics) for m in parts) == 30
    after = said(store.received(3103.0, 2, Appended(6, 1000, 1000, False)), 2)
    assert [type(m) for m in after] == [Append] and store.peers["b"].state is None
    effects = store.received(3104.0, 3, Appended(6, 0, 0, True))
    effects += store.tick(3300.0)
    assert [type(m) for m in said(effects, 3)] == [State]


def states(parts: int = 2, term: int = 2, digest: int | None = None) -> list[State]:
    whole = Topic(4, (Entry("k", b"4"), Entry("l", b"5")))
    digest = whole.digest if digest is None else digest
    first = ("t", 4, digest, (Entry("k", b"4"),))
    second = ("t", 4, digest, (Entry("l", b"5"),))
    return [State(term, 9, 1, 1, parts, (first,)), State(term, 9, 1, 2, parts, (second,))]


def test_all_topics_are_in_force_with_the_last_part_and_not_before() -> None:
    store = alone(Recovered(1, "", 1, 0, 0, {}, (change(1, 1),)), Store)
    one, two = states()
    effects = store.received(1.0, 1, one)
    assert effects[-1] == Send(1, Appended(2, 1, 1, False)) and store.topics["t"].number == 1
    effects = store.received(1.0, 1, two)
    assert effects[-1] == Send(1, Appended(2, 9, 9, False))
    assert store.topics["t"].entries == {"k": b"4", "l": b"5"} and store.committed == 9


def test_parts_out_of_order_a_new_term_and_a_closed_connection_drop_the_stage() -> None:
    one, two = states()
    for between in ("part", "term", "vote", "close", "append"):
        store = alone(Recovered(1, "", 1, 0, 0, {}, (change(1, 1),)), Store)
        connection = 1
        store.received(1.0, 1, one)
        assert store.stage is not None
        if between == "part":
            effects = store.received(1.0, 1, State(2, 9, 1, 3, 2, ()))
        elif between == "term":
            effects = store.received(1.0, 1, states(term=3)[1])
        elif between == "vote":
            store.received(1001.0, 1, VoteRequest(3, 9, 9, False))
            effects = []
        elif between == "append":
            effects = store.received(1.0, 1, Append(2, 1, (), 1))
        else:
            store.closed(1.0, 1)
            store.accepted(1.0, 2)
            store.received(1.0, 2, Hello("a", True))
            connection, effects = 2, []
        assert store.stage is None
        if between != "append" and effects:
            assert isinstance(effects[-1], Send) and effects[-1].message.missing  # type: ignore[union-attr]
        if between not in ("term", "vote"):
            effects = store.received(2.0, connection, two)
            assert effects[-1] == Send(connection, Appended(2, 1, 1, True))
        assert store.committed == 1 and store.topics["t"].number == 1


def test_a_spoilt_state_changes_nothing_and_ends_the_connection() -> None:
    old = Topic(7, (Entry("k", b"7"),))
    for topics, parts, words in (
        ({}, states(digest=5), "another digest"),
        ({"t": old}, states(), "older than here"),
        ({"u": old}, states(), "older than here"),
        ({}, [states()[0], State(2, 9, 1, 2, 2, (("t", 5, 5, ()),))], "two numbers or digests"),
    ):
        store = alone(Recovered(1, "", 1, 1, 1, dict(topics)), Store)
        store.received(1.0, 1, parts[0])
        effects = store.received(1.0, 1, parts[1])
        assert closes(effects) == [(1, "spoilt")]
        (happened,) = (e for e in effects if isinstance(e, Happened))
        assert happened.name == "store-state-refused" and words in happened.told["why"]
        assert store.committed == 1 and store.topics == topics and store.stage is None


def test_a_stage_is_bounded_in_parts_topics_and_entries() -> None:
    many = tuple((f"t{n}", 1, 0, (Entry("k", b""),)) for n in range(4))
    for bounds, told in (
        (Bounds(topics=3), State(2, 9, 1, 1, 2, many)),
        (Bounds(entries=3), State(2, 9, 1, 1, 2, many)),
    ):
        store = alone(Recovered(), Store)
        store.bounds = bounds
        assert closes(store.received(1.0, 1, told)) == [(1, "spoilt")] and store.stage is None
    store = alone(Recovered(), Store)
    store.bounds = Bounds(parts=3)
    effects = store.received(1.0, 1, State(2, 9, 1, 1, 4, many))
    assert effects[-1] == Send(1, Appended(2, 0, 0, True)) and store.stage is None


# Connections.


def test_what_is_said_out_of_place_ends_the_connection() -> None:
    names = ("a", "b", "c")
    for hello, message, words in (
        (None, Subscribe(()), "came before Hello"),
        (Hello("n", False), Hello("n", False), "said Hello twice"),
        (Hello("n", False), Append(1, 0, (), 0), "not for a follower"),
        (Hello("b", True), Subscribe(()), "not for a store"),
        (Hello("b", True), Append(1, 0, (change(1, 2),), 0), "other places"),
        (None, Hello("z", True), "not another of the stores"),
        (None, Hello("a", True), "not another of the stores"),
    ):
        store = Store("a", names, names, Timing(), random.Random(1), Recovered())
        store.start(0.0)
        store.accepted(0.0, 1)
        if hello is not None:
            store.received(0.0, 1, hello)
        (close,) = (e for e in store.received(0.0, 1, message) if isinstance(e, Close))
        assert words in close.words and not store.connections and not store.peers
        assert store.received(0.0, 1, message) == [], "what comes behind it is not read"


def test_a_store_dials_those_behind_it_by_name_and_knows_whom_it_dialled() -> None:
    names = ("a", "b", "c")
    store = Store("b", names, names, Timing(), random.Random(1), Recovered())
    store.start(0.0)
    assert store.wanted == ("c",)
    store.connected(0.0, 1, "c")
    assert store.wanted == ()
    (close,) = (e for e in store.received(0.0, 1, Hello("a", True)) if isinstance(e, Close))
    assert "answers where 'c' was dialled" in close.words
    assert store.wanted == ("c",)


def test_a_newer_connection_of_a_store_takes_the_place_of_its_old_one() -> None:
    store = alone(Recovered(), Store)
    store.accepted(0.0, 2)
    assert closes(store.received(0.0, 2, Hello("a", True))) == [(1, "replaced")]
    assert store.peers["a"].number == 2
    assert store.closed(0.0, 1) == [] and store.peers["a"].number == 2


def test_a_store_that_does_not_answer_is_let_go() -> None:
    store = leading(Bounds())
    ends = []
    for now in range(3100, 10_000, 100):
        for connection in (2, 3):
            peer = store.connections[connection]
            if peer.in_flight:
                store.received(
                    float(now), connection, Appended(6, store.last, store.committed, False)
                )
        ends += closes(store.tick(float(now)))
    assert ends == [(4, "silent")] and store.leading


def test_an_answer_that_can_not_be_ends_the_connection() -> None:
    for index, committed in ((5000, 0), (0, 5000), (-1, 0), (0, -1)):
        store = leading(Bounds())
        effects = store.received(3001.0, 2, Appended(6, index, committed, True))
        assert closes(effects) == [(2, "stray")] and "b" not in store.peers
    for index in (1000, 1001):
        assert closes(store.received(3001.0, 3, Appended(6, index, 1000, False))) == []
    effects = store.received(3001.0, 3, Appended(6, 1001, 1000, False))
    assert closes(effects) == [(3, "stray")], "nothing was asked"


def test_a_stalled_store_is_told_nothing_until_there_is_room() -> None:
    store = leading(Bounds())
    for connection in (2, 3):
        store.received(3001.0, connection, Appended(6, 1001, 1000, False))
    for connection in (2, 3):
        store.received(3001.0, connection, Appended(6, 1001, 1001, False))
    store.stalled(3002.0, 2)
    greet(store, 0)
    effects = put(store, "t0", ("k", b"new"))
    assert not said(effects, 2) and said(effects, 3)
    assert not said(store.tick(3200.0), 2)
    (told,) = said(store.room(3201.0, 2), 2)
    assert isinstance(told, Append) and [c.index for c in told.changes] == [1002]
