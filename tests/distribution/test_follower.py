"""The follower alone: what it takes, what it refuses with nothing changed, and when it turns
elsewhere."""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import Callable

import pytest
from hypothesis import given
from hypothesis import strategies as st

from badgercart.distribution import follower as module
from badgercart.distribution.effects import Close, Dial, Effect, Happened, Send, Take
from badgercart.distribution.follower import MAX_AGAIN, MAX_PARTS, Follower, Timing
from badgercart.distribution.messages import (
    MAX_FRAME,
    MAX_TOPICS,
    MAX_VALUE,
    WHOLE,
    Append,
    Beat,
    Codec,
    Delta,
    Entry,
    Hello,
    Message,
    No,
    Refused,
    Subscribe,
    Whole,
)
from badgercart.distribution.topic import Topic

TIMING = Timing()
A, B = "servers/a", "servers/b"


def entries(**values: str | None) -> tuple[Entry, ...]:
    return tuple(
        Entry(key, None if value is None else value.encode()) for key, value in values.items()
    )


def wholes(topic: str, state: Topic, parts: int = 1) -> list[Whole]:
    told = [Entry(key, value) for key, value in state.entries.items()]
    step = max(1, -(-len(told) // parts))
    pieces = [tuple(told[at : at + step]) for at in range(0, len(told), step)] or [()]
    return [
        Whole(topic, state.number, state.digest, i, len(pieces), p) for i, p in enumerate(pieces, 1)
    ]


def next_delta(topic: str, state: Topic, **values: str | None) -> Delta:
    state.change(entries(**values))
    return Delta(topic, state.number, state.digest, entries(**values))


class Rig:
    """A follower whose stores the test plays; what is in force as the effects say."""

    def __init__(
        self, *topics: str, stores: int = 3, seed: int = 1, timing: Timing = TIMING
    ) -> None:
        self.follower = Follower("n", topics or (A,), stores, timing, random.Random(seed))
        self.now = 1000.0
        self.taken: dict[str, Topic] = {topic: Topic() for topic in self.follower.topics}
        self.effects: list[Effect] = []
        self.connection = 0
        self.do(self.follower.start(self.now))

    def do(self, effects: list[Effect]) -> list[Effect]:
        self.effects = effects
        for effect in effects:
            if isinstance(effect, Dial):
                self.connection = effect.connection
            elif isinstance(effect, Take):
                if effect.whole:
                    self.taken[effect.topic] = Topic(effect.number, effect.entries)
                else:
                    self.taken[effect.topic].change(effect.entries)
                    assert self.taken[effect.topic].number == effect.number
        for topic, held in self.follower.topics.items():  # what it holds is what it said
            assert (held.number, held.digest) == (
                self.taken[topic].number,
                self.taken[topic].digest,
            )
        return effects

    def tell(self, *messages: Message, after: float = 0.0) -> list[Effect]:
        told: list[Effect] = []
        for message in messages:
            self.now += after
            told += self.do(self.follower.received(self.now, self.connection, message))
        return told

    def tick(self) -> list[Effect]:
        assert math.isfinite(self.follower.due)
        self.now = max(self.now, self.follower.due)
        return self.do(self.follower.tick(self.now))

    def connect(self) -> Subscribe:
        """Come up with the next store, and give what it is asked for."""
        while not self.follower.connection:
            self.tick()
        effects = self.do(self.follower.connected(self.now, self.connection))
        assert [type(e.message) for e in effects if isinstance(e, Send)] == [Hello, Subscribe]
        self.tell(Hello("s", True))
        (subscribe,) = [
            e.message for e in effects if isinstance(e, Send) and isinstance(e.message, Subscribe)
        ]
        return subscribe

    def with_topic(self, parts: int = 1, **values: str) -> Topic:
        """Up, with one topic whole and proven."""
        self.connect()
        state = Topic(4, entries(**(values or {"x": "1", "y": "2", "z": "3"})))
        self.tell(*wholes(next(iter(self.follower.topics)), state, parts), Beat(0.0))
        assert self.follower.age(self.now) == 0
        return state

    def held(self) -> dict[str, tuple[int, dict[str, bytes]]]:
        return {
            topic: (held.number, dict(held.entries)) for topic, held in self.follower.topics.items()
        }


def happened(effects: list[Effect]) -> list[tuple[str, str]]:
    return [(e.name, e.told.get("kind", "")) for e in effects if isinstance(e, Happened)]


def subscribes(effects: list[Effect]) -> list[Subscribe]:
    return [e.message for e in effects if isinstance(e, Send) and isinstance(e.message, Subscribe)]


def closes(effects: list[Effect]) -> list[str]:
    return [e.kind for e in effects if isinstance(e, Close)]


def test_it_greets_asks_for_all_and_takes_a_whole_with_its_last_part() -> None:
    rig = Rig(A, B)
    assert rig.connect() == Subscribe(((A, 0, 0), (B, 0, 0)))
    state = Topic(7, entries(x="1", y="2", z="3"))
    first, second, third = wholes(A, state, 3)
    assert rig.tell(first, second) == [] and rig.taken[A].number == 0
    (take,) = rig.tell(third)
    assert take == Take(A, 7, True, entries(x="1", y="2", z="3"))
    rig.tell(Beat(0.0))
    assert rig.follower.age(rig.now) == math.inf  # the other is owed still
    rig.tell(*wholes(B, Topic(1)), Beat(200.0))
    assert rig.follower.age(rig.now) == 200


def test_changes_are_taken_in_their_order_and_the_age_runs_from_the_last_beat() -> None:
    rig = Rig()
    state = rig.with_topic()
    assert rig.tell(next_delta(A, state, x="9", y=None)) == [
        Take(A, 5, False, entries(x="9", y=None))
    ]
    assert rig.held()[A] == (5, {"x": b"9", "z": b"3"})
    rig.tell(Beat(30.0), after=100)
    rig.tell(Beat(500.0), after=100)  # an older proof than the last changes nothing
    assert rig.follower.age(rig.now) == 130
    rig.tell(Beat(0.0), after=100)
    rig.now += 700
    assert rig.follower.age(rig.now) == 700


def test_a_gap_is_noticed_and_closed_from_what_there_is() -> None:
    rig = Rig()
    state = rig.with_topic()
    had = rig.held()
    lost, after = next_delta(A, state, x="5"), next_delta(A, state, y="6")
    told = rig.tell(after)
    assert happened(told) == [("gap", "gap")] and rig.held() == had
    assert subscribes(told) == [Subscribe(((A, had[A][0], rig.taken[A].digest),))]
    rig.tell(Beat(0.0), after=50)
    assert rig.follower.age(rig.now) == 50  # nothing is proven meanwhile
    later = next_delta(A, state, z="7")
    assert rig.tell(later) == []  # written before the question was read
    assert len(rig.tell(lost, after, later)) == 3 and rig.held()[A][0] == 7
    rig.tell(Beat(0.0))
    assert rig.follower.age(rig.now) == 0


def test_what_is_told_twice_because_of_a_gap_elsewhere_is_passed_over() -> None:
    rig = Rig(A, B)
    rig.connect()
    one, other = Topic(4, entries(x="1")), Topic(2, entries(y="1"))
    rig.tell(*wholes(A, one), *wholes(B, other), Beat(0.0))
    first, second, change = (
        next_delta(A, one, x="2"),
        next_delta(A, one, x="3"),
        next_delta(B, other, y="2"),
    )
    assert subscribes(rig.tell(second, change)) and rig.held()[B] == (3, {"y": b"2"})
    assert rig.tell(change) == [] and rig.held()[B] == (
        3,
        {"y": b"2"},
    )  # the store answers what was asked
    rig.tell(first, second, Beat(0.0))
    assert rig.held()[A] == (6, {"x": b"3"}) and rig.follower.age(rig.now) == 0


def test_a_wrong_digest_changes_nothing_and_has_all_of_it_told_again() -> None:
    rig = Rig()
    state = rig.with_topic()
    had = rig.held()
    wrong = next_delta(A, state, x="5")
    told = rig.tell(Delta(A, wrong.number, wrong.digest ^ 1, wrong.entries))
    assert happened(told) == [("gap", "digest")] and rig.held() == had
    assert subscribes(told) == [Subscribe(((A, WHOLE, 0),))]
    assert rig.tell(wrong, Beat(0.0)) == [] and rig.held() == had  # only a whole makes it good
    (part,) = wholes(A, state)
    told = rig.tell(Whole(A, part.number, part.digest ^ 1, 1, 1, part.entries))
    assert happened(told) == [("gap", "digest")] and rig.held() == had
    rig.tell(part, Beat(0.0), after=10)
    assert rig.held()[A][1] == state.entries and rig.follower.age(rig.now) == 0


def test_a_doubt_outlives_the_connection() -> None:
    rig = Rig()
    state = rig.with_topic()
    wrong = next_delta(A, state, x="5")
    rig.tell(Delta(A, wrong.number, wrong.digest ^ 1, wrong.entries))
    rig.do(rig.follower.closed(rig.now, rig.connection))
    assert rig.connect() == Subscribe(((A, WHOLE, 0),))
    rig.tell(Beat(0.0), after=1)
    assert rig.follower.age(rig.now) > 0
    told: list[Effect] = []
    for _ in range(200):
        if not told:
            told = (
                rig.tell(Beat(0.0), after=100) if rig.now + 100 < rig.follower.due else rig.tick()
            )
    assert closes(told) == ["no-answer"]  # it is owed there, too


@pytest.mark.parametrize("how", ["delta", "whole"])
def test_nothing_older_is_taken_for_newer(how: str) -> None:
    rig = Rig()
    state = rig.with_topic()
    had, older = rig.held(), Topic(3, entries(x="0"))
    message: Message = wholes(A, older)[0]
    if how == "delta":
        message = Delta(A, 4, state.digest, entries(x="0"))
    store = rig.follower.store
    told = rig.tell(message)
    assert closes(told) == ["older"] and happened(told) == [("lost", "older")] and rig.held() == had
    assert rig.connect() == Subscribe(((A, 4, state.digest),)) and rig.follower.store != store


def test_another_history_at_the_same_number_is_taken_whole_and_counted() -> None:
    rig = Rig()
    rig.with_topic()
    other = Topic(4, entries(x="other"))
    (take,) = rig.tell(*wholes(A, other))
    assert take == Take(A, 4, True, entries(x="other")) and rig.follower.faults["other"] == 1


@pytest.mark.parametrize("kind", ["behind", "too-many", "something-new"])
def test_a_store_that_says_no_is_left_for_another(kind: str) -> None:
    rig = Rig()
    rig.with_topic()
    had, store = rig.held(), rig.follower.store
    told = rig.tell(No(kind, "", "no"))
    wanted = "refused" if kind == "something-new" else kind
    assert closes(told) == [wanted] and rig.held() == had
    rig.connect()
    assert rig.follower.store != store


def test_a_service_that_nobody_has_is_said_once_and_stays_asked_for() -> None:
    rig = Rig(A, B)
    rig.connect()
    rig.tell(*wholes(A, Topic(1, entries(x="1"))))
    assert happened(rig.tell(No("unknown-topic", B, "nobody has it"))) == [("unknown-topic", "")]
    rig.tell(Beat(0.0))
    assert rig.follower.age(rig.now) == 0  # that is all there is
    rig.do(rig.follower.closed(rig.now, rig.connection))
    assert rig.connect().topics[1] == (B, 0, 0)
    assert rig.tell(No("unknown-topic", B, "nobody has it")) == []
    state = Topic()
    assert rig.tell(next_delta(B, state, y="1")) == [Take(B, 1, False, entries(y="1"))]
    assert closes(rig.tell(No("unknown-topic", B, "nobody has it"))) == [
        "behind"
    ]  # but it was there


def part(
    state: Topic,
    part: int,
    parts: int = 3,
    number: int = 0,
    entry: Entry | None = None,
    digest: int = 0,
) -> Whole:
    entry = entry or Entry("xyz"[(part - 1) % 3], str(part - 1).encode())
    return Whole(A, number or state.number, digest or state.digest, part, parts, (entry,))


SPOILT: dict[str, Callable[[Topic], list[Whole]]] = {
    "one left out": lambda s: [part(s, 1), part(s, 3)],
    "no first": lambda s: [part(s, 2)],
    "one twice": lambda s: [part(s, 1), part(s, 1), part(s, 2), part(s, 2)],
    "another number": lambda s: [part(s, 1), part(s, 2, number=s.number + 1)],
    "another digest": lambda s: [part(s, 1), part(s, 2, digest=s.digest ^ 1)],
    "another count": lambda s: [part(s, 1), part(s, 2, parts=4)],
    "no parts": lambda s: [part(s, 1, parts=0)],
    "below": lambda s: [part(s, 0)],
    "behind the last": lambda s: [part(s, 4)],
    "too many parts": lambda s: [part(s, 1, parts=MAX_PARTS + 1)],
    "one that is gone": lambda s: [part(s, 1, entry=Entry("x", None))],
}


@pytest.mark.parametrize("how", SPOILT)
def test_parts_that_do_not_follow_change_nothing_and_are_asked_for_again(how: str) -> None:
    rig = Rig()
    state = rig.with_topic()
    had = rig.held()
    state.change(entries(x="0", y="1", z="2"))
    told = rig.tell(*SPOILT[how](state))
    assert happened(told) == [("gap", "parts")] and rig.held() == had and not closes(told)
    assert subscribes(told) and not rig.follower.staged and not rig.follower.staged_size
    rig.tell(Beat(0.0), after=5)
    assert rig.follower.age(rig.now) == 5
    rig.tell(*wholes(A, state, 3), Beat(0.0))
    assert rig.held()[A] == (5, state.entries) and rig.follower.age(rig.now) == 0


def test_a_whole_begun_anew_takes_the_place_of_the_one_begun_before() -> None:
    rig = Rig()
    state = rig.with_topic()
    rig.tell(Whole(A, 5, 1, 1, 2, entries(w="old")))
    state.change(entries(x="7"))
    state.change(entries(x="8"))
    rig.tell(*wholes(A, state, 3))
    assert rig.held()[A] == (6, state.entries)


def test_a_whole_that_nobody_asked_for_is_owed_until_its_last_part() -> None:
    rig = Rig()
    state = rig.with_topic()
    state.change(entries(x="7"))
    first, *others = wholes(A, state, 3)
    rig.tell(first, Beat(0.0), after=10)
    assert rig.follower.age(rig.now) == 20
    rig.tell(*others, Beat(0.0))
    assert rig.held()[A] == (5, state.entries) and rig.follower.age(rig.now) == 0


def test_parts_of_two_topics_may_mix() -> None:
    rig = Rig(A, B)
    rig.connect()
    one, other = Topic(2, entries(x="1", y="2")), Topic(9, entries(x="3", y="4"))
    first, second = wholes(A, one, 2)
    third, fourth = wholes(B, other, 2)
    rig.tell(first, third, second, fourth)
    assert rig.held() == {A: (2, one.entries), B: (9, other.entries)}


@pytest.mark.parametrize(
    ("message", "kind"),
    [
        (Delta("servers/other", 1, 0, ()), "unasked"),
        (Whole("servers/other", 1, 0, 1, 1, ()), "unasked"),
        (No("unknown-topic", "servers/other", ""), "unasked"),
        (Append(1, 0, (), 0), "unasked"),
        (Subscribe(()), "unasked"),
        (Hello("s", True), "unasked"),
        (Beat(-1.0), "malformed"),
        (Beat(math.nan), "malformed"),
    ],
)
def test_what_was_never_asked_for_changes_nothing_and_ends_the_connection(
    message: Message, kind: str
) -> None:
    rig = Rig()
    rig.with_topic()
    had = rig.held()
    told = rig.tell(message, after=10)
    assert closes(told) == [kind] and rig.held() == had and rig.follower.age(rig.now) == 10
    assert rig.follower.faults[kind] == 1


@pytest.mark.parametrize("first", [Hello("n2", False), Beat(0.0), Delta(A, 1, 0, ())])
def test_who_does_not_greet_as_a_store_is_left(first: Message) -> None:
    rig = Rig()
    rig.do(rig.follower.connected(rig.now, rig.connection))
    assert closes(rig.tell(first)) in (["no-store"], ["unasked"])


@pytest.mark.parametrize("state", ["dialling", "up", "waiting"])
def test_what_comes_of_another_connection_is_passed_over(state: str) -> None:
    rig = Rig()
    old = rig.connection
    if state != "dialling":
        rig.with_topic()
        old = rig.connection
        rig.do(rig.follower.closed(rig.now, old))
    if state == "up":
        rig.connect()
    follower, had = rig.follower, rig.held()
    wrong = old + 7 if state == "dialling" else old
    change = wholes(A, Topic(9, entries(x="new")))[0]
    due = follower.due
    assert (
        follower.received(rig.now, wrong, change) == [] and follower.connected(rig.now, wrong) == []
    )
    assert follower.closed(rig.now, wrong) == [] and rig.held() == had and follower.due == due


# Stores that say nothing, hang, lag.


def test_a_silent_store_is_left_and_another_is_called_within_the_window() -> None:
    rig = Rig()
    rig.with_topic()
    store, began = rig.follower.store, rig.now
    assert rig.do(rig.follower.tick(rig.now + TIMING.silence - 1)) == []
    told = rig.tick()
    assert rig.now == began + TIMING.silence and closes(told) == ["silent"]
    (dial,) = rig.tick()
    assert isinstance(dial, Dial) and dial.store != store
    assert rig.now <= began + TIMING.silence + TIMING.window


def test_what_lay_in_a_buffer_while_the_process_stood_still_proves_nothing() -> None:
    rig = Rig()
    state = rig.with_topic()
    had, began = rig.held(), rig.now
    rig.now += 60_000
    told = rig.tell(next_delta(A, state, x="5"))
    assert closes(told) == ["silent"] and rig.tell(Beat(0.0)) == []
    assert rig.held() == had and rig.follower.age(rig.now) == rig.now - began


def test_a_dial_that_hangs_is_given_up() -> None:
    rig = Rig()
    store = rig.follower.store
    told = rig.tick()
    assert rig.now == 1000.0 + TIMING.dial and closes(told) == ["hangs"]
    rig.tick()
    assert rig.follower.store != store


def test_a_store_that_owes_an_answer_and_only_beats_is_left() -> None:
    rig = Rig()
    rig.connect()
    told: list[Effect] = []
    for _ in range(200):
        if not told:
            told = (
                rig.tell(Beat(0.0), after=100) if rig.now + 100 < rig.follower.due else rig.tick()
            )
    assert closes(told) == ["no-answer"] and rig.now == 1000.0 + TIMING.answer


def test_parts_that_come_slowly_are_an_answer() -> None:
    rig = Rig()
    rig.connect()
    state = Topic(3, entries(**{f"k{i}": "v" for i in range(20)}))
    rig.tell(*wholes(A, state, 20), after=TIMING.silence - 1)
    assert rig.held()[A] == (3, state.entries)


def test_a_store_that_is_cut_off_from_its_leader_is_kept_while_another_is_looked_for() -> None:
    rig = Rig(timing=Timing(window=100.0))
    state = rig.with_topic()
    store = rig.follower.store
    rig.tell(Beat(TIMING.lag))
    by = rig.follower.due
    assert rig.now <= by <= rig.now + 100.0
    rig.tell(next_delta(A, state, x="6"), Beat(TIMING.lag + 10))
    assert rig.held()[A][0] == 5 and rig.follower.due == by  # put off by nothing but a leader
    told = rig.tick()
    assert closes(told) == ["lags"] and isinstance(told[-1], Dial) and told[-1].store != store
    rig.connect()
    rig.tell(Beat(TIMING.lag), Beat(0.0))
    assert rig.follower.due == rig.now + TIMING.silence  # its leader is back, it is kept


def test_a_store_that_never_knew_of_a_leader_proves_nothing() -> None:
    rig = Rig()
    rig.connect()
    rig.tell(*wholes(A, Topic(1)), Beat(math.inf))
    assert rig.follower.age(rig.now) == math.inf and rig.follower.freshness.proved_ms is None
    rig.tell(Beat(40.0))
    assert rig.follower.age(rig.now) == 40


def test_the_only_store_is_kept_though_it_lags() -> None:
    rig = Rig(stores=1)
    rig.with_topic()
    rig.tell(Beat(60_000.0))
    assert rig.follower.due == rig.now + TIMING.silence


def test_a_store_that_is_back_takes_up_where_it_was() -> None:
    rig = Rig(stores=1)
    state = rig.with_topic()
    rig.do(rig.follower.closed(rig.now, rig.connection))
    missed = next_delta(A, state, x="8")
    assert rig.connect() == Subscribe(((A, 4, rig.taken[A].digest),))
    rig.tell(missed, Beat(0.0))
    assert rig.held()[A][0] == 5 and rig.follower.age(rig.now) == 0


def test_tries_without_a_proof_come_ever_later_up_to_a_bound_and_a_proof_begins_anew() -> None:
    timing, waits = Timing(window=100.0, longest=1000.0), []
    rig = Rig(timing=timing)
    for _ in range(60):
        rig.do(rig.follower.closed(rig.now, rig.connection))
        waits.append(rig.follower.due - rig.now)
        rig.tick()
    bounds = [min(100.0 * 2**i, 1000.0) for i in range(60)]
    assert all(0 <= wait <= bound for wait, bound in zip(waits, bounds, strict=True))
    assert max(waits[5:]) > 800 and min(waits[5:]) < 200  # drawn from all of it
    rig.with_topic()
    rig.do(rig.follower.closed(rig.now, rig.connection))
    assert rig.follower.due - rig.now <= 100


# 8,600 at once.


def calls_of(followers: list[Follower], span: float) -> list[tuple[float, int]]:
    """(time, store) of each call while nobody answers, as all lose their stores at 0."""
    calls = []
    for follower in followers:
        connection = follower.connection
        follower.closed(0.0, connection)
        while (now := follower.due) < span:
            (dial,) = follower.tick(now)
            assert isinstance(dial, Dial)
            calls.append((now, dial.store))
            follower.closed(now, dial.connection)  # refused at once: the worst case
    return calls


def many(count: int) -> list[Follower]:
    followers = [Follower(f"n{i}", (A,), 40, TIMING, random.Random(f"n{i}")) for i in range(count)]
    for follower in followers:
        follower.start(0.0)
    return followers


def test_8600_that_lost_all_stores_do_not_come_back_together() -> None:
    calls = calls_of(many(8600), 60_000.0)
    by_tenth = Counter(int(now // 100) for now, _ in calls)
    peak = max(by_tenth.values())
    # First calls come evenly over the window, 430 in 100 ms. At its end second calls (from twice
    # the window), third ones and so on have risen to 1/2, 1/16, 1/384, ... of that beside them.
    # Four deviations of chance.
    most = (1 + 1 / 2 + 1 / 16 + 1 / 384 + 1e-3) * 8600 * 100 / TIMING.window
    assert peak <= most + 4 * math.sqrt(most)
    second = Counter((int(now // 1000), store) for now, store in calls)
    assert (
        max(second.values()) <= 2.5 * 8600 / 40 * 1000 / TIMING.window
    )  # of one store, by chance too
    late = sum(count for at, count in by_tenth.items() if at >= 300) / 30
    assert late <= 1.3 * 8600 / (
        TIMING.longest / 2 / 1000
    )  # calls a second once all wait the longest


def test_stores_are_tried_in_an_order_of_each_nodes_own_and_share_the_load() -> None:
    followers = many(8600)
    first = Counter(follower.store for follower in followers)
    mean, spread = 8600 / 40, 4 * math.sqrt(8600 / 40)
    assert len(first) == 40 and all(abs(count - mean) < spread for count in first.values())
    gone = first.most_common(1)[0][0]  # one store dies: its nodes go to all the others
    second: Counter[int] = Counter()
    for follower in followers:
        if follower.store == gone:
            follower.closed(0.0, follower.connection)
            follower.tick(follower.due)
            second[follower.store] += 1
    assert len(second) == 39 and max(second.values()) <= 20


# Bounds.


def test_topics_are_bounded_by_number_and_by_what_one_frame_holds() -> None:
    def made(*topics: str) -> Follower:
        return Follower("n", topics, 3, TIMING, random.Random(1))

    most = made(*(f"servers/{i}" for i in range(MAX_TOPICS)))
    Codec("g", b"secret").encode(most.subscription())
    for topics in [(), (A, A), tuple(f"servers/{i}" for i in range(MAX_TOPICS + 1))]:
        with pytest.raises(ValueError, match="topics are not 1 to"):
            made(*topics)
    long = ["é" * 195 + f"{i:05}" for i in range(MAX_TOPICS)]
    with pytest.raises(ValueError, match="more than one frame holds"):
        made(*long)
    fits = made(*long[: MAX_FRAME // 440])
    Codec("g", b"secret").encode(fits.subscription())
    with pytest.raises(ValueError, match="no store"):
        Follower("n", (A,), 0, TIMING, random.Random(1))


def test_what_it_holds_is_bounded_in_force_and_in_parts() -> None:
    def filled(most: int) -> Rig:
        rig = Rig()
        rig.follower.most_bytes = most
        rig.connect()
        return rig

    big = Topic(1, entries(**{f"k{i}": "v" * 1000 for i in range(10)}))
    rig = filled(9000)
    assert closes(rig.tell(*wholes(A, big, 10))) == ["oversized"] and rig.held()[A][0] == 0
    assert not rig.follower.staged and not rig.follower.staged_size
    rig = filled(5000)
    told = rig.tell(*wholes(A, big, 10)[:5])
    assert closes(told) == ["oversized"] and not rig.follower.staged_size  # long before the last
    two = Rig(A, B)
    two.follower.most_bytes = 15_000
    two.connect()
    assert closes(two.tell(*wholes(A, big, 10), *wholes(B, big, 10))) == ["oversized"]
    assert two.held()[A][0] == 1 and two.held()[B][0] == 0
    rig = filled(11_000)
    rig.tell(*wholes(A, big, 10))
    had = rig.held()
    assert had[A][0] == 1
    told = rig.tell(next_delta(A, big, more="v" * 1000))
    assert closes(told) == ["oversized"] and rig.held() == had
    rig = filled(11_000)
    state = Topic(1, entries(**{f"k{i}": "v" * 1000 for i in range(10)}))
    rig.tell(*wholes(A, state, 10))
    for _ in range(50):  # what takes an old value's place takes its room
        rig.tell(next_delta(A, state, k0="w" * 1000, k1=None), next_delta(A, state, k1="v" * 1000))
    assert rig.follower.size == module.size_of(Entry(k, v) for k, v in state.entries.items())
    fresh = Follower("n", (A, B), 1, TIMING, random.Random(1))
    fresh.succeed(rig.follower)
    assert fresh.size == rig.follower.size and fresh.topics[A] is rig.follower.topics[A]


def test_a_store_that_leaves_gap_upon_gap_is_left() -> None:
    rig = Rig()
    state = rig.with_topic()
    kinds: list[str] = []
    for _ in range(MAX_AGAIN + 1):
        kinds += closes(rig.tell(Whole(A, state.number + 1, 1, 2, 2, ())))
    assert kinds == ["gaps"]


def test_lines_that_can_not_be_used_are_asked_for_again_whole() -> None:
    rig = Rig()
    state = rig.with_topic()
    rig.tell(next_delta(A, state, x="bad"))
    told = rig.do(rig.follower.ask_whole(rig.now, A))
    assert happened(told) == [("gap", "unusable")] and subscribes(told) == [
        Subscribe(((A, WHOLE, 0),))
    ]
    rig.tell(Beat(0.0), after=20)
    assert rig.follower.age(rig.now) == 20  # not whole for sure until then
    (take,) = rig.tell(*wholes(A, state))
    assert isinstance(take, Take) and take.whole and take.number == 5
    assert rig.do(rig.follower.ask_whole(rig.now, A)) == []  # it is no better: not in a circle
    rig.tell(Beat(0.0), after=1000)
    assert rig.follower.age(rig.now) == 1020
    assert rig.follower.due == rig.now + TIMING.silence  # nobody owes anything
    mended = next_delta(A, state, x="good")
    assert subscribes(rig.tell(mended)) == [Subscribe(((A, WHOLE, 0),))]
    rig.tell(*wholes(A, state), Beat(0.0))
    assert rig.held()[A] == (6, state.entries) and rig.follower.age(rig.now) == 0
    rig.do(rig.follower.closed(rig.now, rig.connection))
    assert rig.do(rig.follower.ask_whole(rig.now, A)) == []
    assert rig.connect() == Subscribe(((A, WHOLE, 0),))


# Any order of anything.


@given(st.integers(0, 2**32))
def test_whatever_is_told_nothing_older_and_no_half_is_ever_in_force(seed: int) -> None:
    """One history of one topic; stores tell pieces of it, late, twice, spoilt and mixed."""
    history, states = [Topic()], [(0, 0)]
    rng = draw = random.Random(seed)
    deltas: list[Delta] = []
    state = Topic()
    for _ in range(12):
        values = {
            f"k{rng.randrange(5)}": rng.choice([None, "a", "b", "c"])
            for _ in range(rng.randint(1, 3))
        }
        deltas.append(next_delta(A, state, **values))
        copy = Topic(state.number, [Entry(k, v) for k, v in state.entries.items()])
        history.append(copy)
        states.append((copy.number, copy.digest))
    rig = Rig(seed=seed)
    last = 0
    for _ in range(80):
        act = draw.random()
        if not rig.follower.up:
            rig.connect()
        elif act < 0.5:
            delta = draw.choice(deltas)
            if draw.random() < 0.6 and rig.follower.topics[A].number < len(deltas):
                delta = deltas[rig.follower.topics[A].number]
            if draw.random() < 0.1:
                delta = Delta(A, delta.number, delta.digest ^ 1, delta.entries)
            rig.tell(delta)
        elif act < 0.8:
            pieces = wholes(A, draw.choice(history[1:]), draw.randint(1, 4))
            if draw.random() < 0.3:
                draw.shuffle(pieces)
            if draw.random() < 0.3:
                pieces = pieces[: draw.randrange(len(pieces) + 1)]
            rig.tell(*pieces)
        elif act < 0.9:
            rig.tell(Beat(0.0))
        elif act < 0.95:
            rig.do(rig.follower.closed(rig.now, rig.connection))
        else:
            rig.tick()
        held = rig.follower.topics[A]
        assert held.number >= last and (held.number, held.digest) == states[held.number]
        assert held.entries == history[held.number].entries
        last = held.number


def test_an_oversized_value_is_refused_by_the_codec_before_the_follower_sees_it() -> None:
    codec = Codec("g", b"secret")
    with pytest.raises(Refused, match="bytes of") as caught:
        codec.encode(Delta(A, 1, 0, (Entry("x", bytes(MAX_VALUE + 1)),)))
    assert caught.value.kind == "oversized"
