"""The follower alone: what it takes, what it refuses unchanged, and when it turns elsewhere."""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import Callable

import pytest
from hypothesis import given
from hypothesis import strategies as st

from badgercart.distribution.effects import Close, Dial, Effect, LogEvent, Send, UpdateTopic
from badgercart.distribution.errors import FrameError
from badgercart.distribution.follower import Follower
from badgercart.distribution.messages import (
    MAX_FRAME_BYTES,
    MAX_TOPICS,
    MAX_VALUE_BYTES,
    RESEND,
    AppendEntries,
    Codec,
    Delta,
    Entry,
    Heartbeat,
    Hello,
    Message,
    Rejection,
    Snapshot,
    Subscribe,
    TopicVersion,
)
from badgercart.distribution.replica_selector import FollowerTiming, ReplicaSelector
from badgercart.distribution.topic import Topic, framed_size
from badgercart.distribution.topic_sync import MAX_GAPS, MAX_SNAPSHOT_PARTS
from tests.distribution.support import subscribe

TIMING = FollowerTiming()
A, B = "servers/a", "servers/b"


def entries(**values: str | None) -> tuple[Entry, ...]:
    return tuple(
        Entry(key, None if value is None else value.encode()) for key, value in values.items()
    )


def snapshot_parts(topic: str, state: Topic, parts: int = 1) -> list[Snapshot]:
    effects_of = [Entry(key, value) for key, value in state.entries.items()]
    step = max(1, -(-len(effects_of) // parts))
    pieces = [tuple(effects_of[at : at + step]) for at in range(0, len(effects_of), step)] or [()]
    return [
        Snapshot(topic, state.version, state.digest, i, len(pieces), p)
        for i, p in enumerate(pieces, 1)
    ]


def next_delta(topic: str, state: Topic, **values: str | None) -> Delta:
    state.apply(entries(**values))
    return Delta(topic, state.version, state.digest, entries(**values))


def follower_of(
    name: str, topics: tuple[str, ...], replicas: int, timing: FollowerTiming, rng: random.Random
) -> Follower:
    return Follower(name, topics, ReplicaSelector(replicas, timing, rng), timing)


class Rig:
    """A follower whose stores the test plays; what is in force as the effects say."""

    def __init__(
        self, *topics: str, replicas: int = 3, seed: int = 1, timing: FollowerTiming = TIMING
    ) -> None:
        self.follower = follower_of("n", topics or (A,), replicas, timing, random.Random(seed))
        self.now = 1000.0
        self.in_force: dict[str, Topic] = {topic: Topic() for topic in self.follower.topics.by_name}
        self.effects: list[Effect] = []
        self.connection = 0
        self.do(self.follower.start(self.now))

    def do(self, effects: list[Effect]) -> list[Effect]:
        self.effects = effects
        for effect in effects:
            if isinstance(effect, Dial):
                self.connection = effect.connection
            elif isinstance(effect, UpdateTopic):
                if effect.is_snapshot:
                    self.in_force[effect.topic] = Topic(effect.version, effect.entries)
                else:
                    self.in_force[effect.topic].apply(effect.entries)
                    assert self.in_force[effect.topic].version == effect.version
        for topic, held in self.follower.topics.by_name.items():  # what it holds is what it said
            assert (held.version, held.digest) == (
                self.in_force[topic].version,
                self.in_force[topic].digest,
            )
        return effects

    def receive(self, *messages: Message, after: float = 0.0) -> list[Effect]:
        effects_of: list[Effect] = []
        for message in messages:
            self.now += after
            effects_of += self.do(self.follower.received(self.now, self.connection, message))
        return effects_of

    def tick(self) -> list[Effect]:
        assert math.isfinite(self.follower.due_ms)
        self.now = max(self.now, self.follower.due_ms)
        return self.do(self.follower.tick(self.now))

    def connect(self) -> Subscribe:
        """Come up with the next store, and give what it is asked for."""
        while self.follower.session is None:
            self.tick()
        effects = self.do(self.follower.connected(self.now, self.connection))
        assert [type(e.message) for e in effects if isinstance(e, Send)] == [Hello, Subscribe]
        self.receive(Hello("s", True))
        (subscribe,) = [
            e.message for e in effects if isinstance(e, Send) and isinstance(e.message, Subscribe)
        ]
        return subscribe

    def with_topic(self, parts: int = 1, **values: str) -> Topic:
        """Up, with one topic whole and proven."""
        self.connect()
        state = Topic(4, entries(**(values or {"x": "1", "y": "2", "z": "3"})))
        self.receive(
            *snapshot_parts(next(iter(self.follower.topics.by_name)), state, parts), Heartbeat(0.0)
        )
        assert self.follower.age_ms(self.now) == 0
        return state

    def held(self) -> dict[str, tuple[int, dict[str, bytes]]]:
        return {
            topic: (held.version, dict(held.entries))
            for topic, held in self.follower.topics.by_name.items()
        }


def dialled(follower: Follower) -> int:
    """The number of the connection that counts."""
    assert follower.session is not None
    return follower.session.connection


def followed(follower: Follower) -> int:
    """The replica that is followed, or dialled."""
    assert follower.session is not None
    return follower.session.replica


def assembled_bytes(follower: Follower) -> int:
    """Of unfinished snapshots."""
    sync = None if follower.session is None else follower.session.sync
    return 0 if sync is None else sync.assembled_bytes


def logged(effects: list[Effect]) -> list[tuple[str, str]]:
    return [(e.name, e.fields.get("kind", "")) for e in effects if isinstance(e, LogEvent)]


def subscribes(effects: list[Effect]) -> list[Subscribe]:
    return [e.message for e in effects if isinstance(e, Send) and isinstance(e.message, Subscribe)]


def closed_kinds(effects: list[Effect]) -> list[str]:
    return [e.kind for e in effects if isinstance(e, Close)]


def test_a_follower_subscribes_and_installs_a_snapshot_with_its_last_part() -> None:
    rig = Rig(A, B)
    assert rig.connect() == subscribe((A, 0, 0), (B, 0, 0))
    state = Topic(7, entries(x="1", y="2", z="3"))
    first, second, third = snapshot_parts(A, state, 3)
    assert rig.receive(first, second) == [] and rig.in_force[A].version == 0
    (take,) = rig.receive(third)
    assert take == UpdateTopic(A, 7, True, entries(x="1", y="2", z="3"))
    rig.receive(Heartbeat(0.0))
    assert rig.follower.age_ms(rig.now) == math.inf  # the other is owed still
    rig.receive(*snapshot_parts(B, Topic(1)), Heartbeat(200.0))
    assert rig.follower.age_ms(rig.now) == 200


def test_deltas_are_applied_in_order_and_the_age_runs_from_the_last_heartbeat() -> None:
    rig = Rig()
    state = rig.with_topic()
    assert rig.receive(next_delta(A, state, x="9", y=None)) == [
        UpdateTopic(A, 5, False, entries(x="9", y=None))
    ]
    assert rig.held()[A] == (5, {"x": b"9", "z": b"3"})
    rig.receive(Heartbeat(30.0), after=100)
    rig.receive(Heartbeat(500.0), after=100)  # an older proof than the last changes nothing
    assert rig.follower.age_ms(rig.now) == 130
    rig.receive(Heartbeat(0.0), after=100)
    rig.now += 700
    assert rig.follower.age_ms(rig.now) == 700


def test_a_gap_is_closed_by_subscribing_from_the_current_version() -> None:
    rig = Rig()
    state = rig.with_topic()
    had = rig.held()
    lost, after = next_delta(A, state, x="5"), next_delta(A, state, y="6")
    effects_of = rig.receive(after)
    assert logged(effects_of) == [("gap", "gap")] and rig.held() == had
    assert subscribes(effects_of) == [subscribe((A, had[A][0], rig.in_force[A].digest))]
    rig.receive(Heartbeat(0.0), after=50)
    assert rig.follower.age_ms(rig.now) == 50  # nothing is proven meanwhile
    later = next_delta(A, state, z="7")
    assert rig.receive(later) == []  # written before the question was read
    assert len(rig.receive(lost, after, later)) == 3 and rig.held()[A][0] == 7
    rig.receive(Heartbeat(0.0))
    assert rig.follower.age_ms(rig.now) == 0


def test_deltas_repeated_because_of_a_gap_in_another_topic_are_ignored() -> None:
    rig = Rig(A, B)
    rig.connect()
    one, other = Topic(4, entries(x="1")), Topic(2, entries(y="1"))
    rig.receive(*snapshot_parts(A, one), *snapshot_parts(B, other), Heartbeat(0.0))
    first, second, change = (
        next_delta(A, one, x="2"),
        next_delta(A, one, x="3"),
        next_delta(B, other, y="2"),
    )
    assert subscribes(rig.receive(second, change)) and rig.held()[B] == (3, {"y": b"2"})
    assert rig.receive(change) == [] and rig.held()[B] == (
        3,
        {"y": b"2"},
    )  # the store answers what was asked
    rig.receive(first, second, Heartbeat(0.0))
    assert rig.held()[A] == (6, {"x": b"3"}) and rig.follower.age_ms(rig.now) == 0


def test_a_wrong_digest_changes_nothing_and_requests_a_snapshot() -> None:
    rig = Rig()
    state = rig.with_topic()
    had = rig.held()
    wrong = next_delta(A, state, x="5")
    effects_of = rig.receive(Delta(A, wrong.version, wrong.digest ^ 1, wrong.entries))
    assert logged(effects_of) == [("gap", "digest")] and rig.held() == had
    assert subscribes(effects_of) == [subscribe((A, RESEND, 0))]
    assert (
        rig.receive(wrong, Heartbeat(0.0)) == [] and rig.held() == had
    )  # only a whole makes it good
    (part,) = snapshot_parts(A, state)
    effects_of = rig.receive(Snapshot(A, part.version, part.digest ^ 1, 1, 1, part.entries))
    assert logged(effects_of) == [("gap", "digest")] and rig.held() == had
    rig.receive(part, Heartbeat(0.0), after=10)
    assert rig.held()[A][1] == state.entries and rig.follower.age_ms(rig.now) == 0


def test_a_doubted_topic_stays_doubted_on_the_next_connection() -> None:
    rig = Rig()
    state = rig.with_topic()
    wrong = next_delta(A, state, x="5")
    rig.receive(Delta(A, wrong.version, wrong.digest ^ 1, wrong.entries))
    rig.do(rig.follower.closed(rig.now, rig.connection))
    assert rig.connect() == subscribe((A, RESEND, 0))
    rig.receive(Heartbeat(0.0), after=1)
    assert rig.follower.age_ms(rig.now) > 0
    effects_of: list[Effect] = []
    for _ in range(200):
        if not effects_of:
            effects_of = (
                rig.receive(Heartbeat(0.0), after=100)
                if rig.now + 100 < rig.follower.due_ms
                else rig.tick()
            )
    assert closed_kinds(effects_of) == ["no-answer"]  # it is owed there, too


@pytest.mark.parametrize("how", ["delta", "whole"])
def test_an_older_version_is_never_applied(how: str) -> None:
    rig = Rig()
    state = rig.with_topic()
    had, older = rig.held(), Topic(3, entries(x="0"))
    message: Message = snapshot_parts(A, older)[0]
    if how == "delta":
        message = Delta(A, 4, state.digest, entries(x="0"))
    store = followed(rig.follower)
    effects_of = rig.receive(message)
    assert (
        closed_kinds(effects_of) == ["older"]
        and logged(effects_of) == [("lost", "older")]
        and rig.held() == had
    )
    assert rig.connect() == subscribe((A, 4, state.digest)) and followed(rig.follower) != store


def test_a_snapshot_of_the_same_version_with_other_entries_is_applied_and_counted() -> None:
    rig = Rig()
    rig.with_topic()
    other = Topic(4, entries(x="other"))
    (take,) = rig.receive(*snapshot_parts(A, other))
    assert take == UpdateTopic(A, 4, True, entries(x="other")) and rig.follower.faults["other"] == 1


@pytest.mark.parametrize("kind", ["behind", "too-many", "something-new"])
def test_a_replica_that_rejects_the_subscription_is_left_for_another(kind: str) -> None:
    rig = Rig()
    rig.with_topic()
    had, store = rig.held(), followed(rig.follower)
    effects_of = rig.receive(Rejection(kind, "", "no"))
    wanted = "refused" if kind == "something-new" else kind
    assert closed_kinds(effects_of) == [wanted] and rig.held() == had
    rig.connect()
    assert followed(rig.follower) != store


def test_an_unknown_topic_is_logged_once_and_stays_subscribed() -> None:
    rig = Rig(A, B)
    rig.connect()
    rig.receive(*snapshot_parts(A, Topic(1, entries(x="1"))))
    assert logged(rig.receive(Rejection("unknown-topic", B, "nobody has it"))) == [
        ("unknown-topic", "")
    ]
    rig.receive(Heartbeat(0.0))
    assert rig.follower.age_ms(rig.now) == 0  # that is all there is
    rig.do(rig.follower.closed(rig.now, rig.connection))
    assert rig.connect().topics[1] == TopicVersion(B, 0, 0)
    assert rig.receive(Rejection("unknown-topic", B, "nobody has it")) == []
    state = Topic()
    assert rig.receive(next_delta(B, state, y="1")) == [UpdateTopic(B, 1, False, entries(y="1"))]
    assert closed_kinds(rig.receive(Rejection("unknown-topic", B, "nobody has it"))) == [
        "behind"
    ]  # but it was there


def part(
    state: Topic,
    part: int,
    parts: int = 3,
    number: int = 0,
    entry: Entry | None = None,
    digest: int = 0,
) -> Snapshot:
    entry = entry or Entry("xyz"[(part - 1) % 3], str(part - 1).encode())
    return Snapshot(A, number or state.version, digest or state.digest, part, parts, (entry,))


SPOILT: dict[str, Callable[[Topic], list[Snapshot]]] = {
    "one left out": lambda s: [part(s, 1), part(s, 3)],
    "no first": lambda s: [part(s, 2)],
    "one twice": lambda s: [part(s, 1), part(s, 1), part(s, 2), part(s, 2)],
    "another number": lambda s: [part(s, 1), part(s, 2, number=s.version + 1)],
    "another digest": lambda s: [part(s, 1), part(s, 2, digest=s.digest ^ 1)],
    "another count": lambda s: [part(s, 1), part(s, 2, parts=4)],
    "no parts": lambda s: [part(s, 1, parts=0)],
    "below": lambda s: [part(s, 0)],
    "behind the last": lambda s: [part(s, 4)],
    "too many parts": lambda s: [part(s, 1, parts=MAX_SNAPSHOT_PARTS + 1)],
    "one that is gone": lambda s: [part(s, 1, entry=Entry("x", None))],
}


@pytest.mark.parametrize("how", SPOILT)
def test_snapshot_parts_out_of_sequence_change_nothing_and_are_requested_again(how: str) -> None:
    rig = Rig()
    state = rig.with_topic()
    had = rig.held()
    state.apply(entries(x="0", y="1", z="2"))
    effects_of = rig.receive(*SPOILT[how](state))
    assert (
        logged(effects_of) == [("gap", "parts")]
        and rig.held() == had
        and not closed_kinds(effects_of)
    )
    assert subscribes(effects_of) and not assembled_bytes(rig.follower)
    rig.receive(Heartbeat(0.0), after=5)
    assert rig.follower.age_ms(rig.now) == 5
    rig.receive(*snapshot_parts(A, state, 3), Heartbeat(0.0))
    assert rig.held()[A] == (5, state.entries) and rig.follower.age_ms(rig.now) == 0


def test_a_new_snapshot_replaces_an_unfinished_one() -> None:
    rig = Rig()
    state = rig.with_topic()
    rig.receive(Snapshot(A, 5, 1, 1, 2, entries(w="old")))
    state.apply(entries(x="7"))
    state.apply(entries(x="8"))
    rig.receive(*snapshot_parts(A, state, 3))
    assert rig.held()[A] == (6, state.entries)


def test_an_unrequested_snapshot_is_awaited_until_its_last_part() -> None:
    rig = Rig()
    state = rig.with_topic()
    state.apply(entries(x="7"))
    first, *others = snapshot_parts(A, state, 3)
    rig.receive(first, Heartbeat(0.0), after=10)
    assert rig.follower.age_ms(rig.now) == 20
    rig.receive(*others, Heartbeat(0.0))
    assert rig.held()[A] == (5, state.entries) and rig.follower.age_ms(rig.now) == 0


def test_snapshot_parts_of_two_topics_may_interleave() -> None:
    rig = Rig(A, B)
    rig.connect()
    one, other = Topic(2, entries(x="1", y="2")), Topic(9, entries(x="3", y="4"))
    first, second = snapshot_parts(A, one, 2)
    third, fourth = snapshot_parts(B, other, 2)
    rig.receive(first, third, second, fourth)
    assert rig.held() == {A: (2, one.entries), B: (9, other.entries)}


@pytest.mark.parametrize(
    ("message", "kind"),
    [
        (Delta("servers/other", 1, 0, ()), "unasked"),
        (Snapshot("servers/other", 1, 0, 1, 1, ()), "unasked"),
        (Rejection("unknown-topic", "servers/other", ""), "unasked"),
        (AppendEntries(1, 0, (), 0), "unasked"),
        (Subscribe(()), "unasked"),
        (Hello("s", True), "unasked"),
        (Heartbeat(-1.0), "malformed"),
        (Heartbeat(math.nan), "malformed"),
    ],
)
def test_unexpected_messages_change_nothing_and_close_the_connection(
    message: Message, kind: str
) -> None:
    rig = Rig()
    rig.with_topic()
    had = rig.held()
    effects_of = rig.receive(message, after=10)
    assert (
        closed_kinds(effects_of) == [kind]
        and rig.held() == had
        and rig.follower.age_ms(rig.now) == 10
    )
    assert rig.follower.faults[kind] == 1


@pytest.mark.parametrize("first", [Hello("n2", False), Heartbeat(0.0), Delta(A, 1, 0, ())])
def test_a_connection_without_a_replicas_hello_is_left(first: Message) -> None:
    rig = Rig()
    rig.do(rig.follower.connected(rig.now, rig.connection))
    assert closed_kinds(rig.receive(first)) in (["no-store"], ["unasked"])


@pytest.mark.parametrize("state", ["dialling", "up", "waiting"])
def test_events_of_other_connections_are_ignored(state: str) -> None:
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
    change = snapshot_parts(A, Topic(9, entries(x="new")))[0]
    due = follower.due_ms
    assert (
        follower.received(rig.now, wrong, change) == [] and follower.connected(rig.now, wrong) == []
    )
    assert follower.closed(rig.now, wrong) == [] and rig.held() == had and follower.due_ms == due


# Stores that say nothing, hang, lag.


def test_a_silent_replica_is_left_and_another_dialled_within_the_window() -> None:
    rig = Rig()
    rig.with_topic()
    store, began = followed(rig.follower), rig.now
    assert rig.do(rig.follower.tick(rig.now + TIMING.silence_timeout_ms - 1)) == []
    effects_of = rig.tick()
    assert rig.now == began + TIMING.silence_timeout_ms and closed_kinds(effects_of) == ["silent"]
    (dial,) = rig.tick()
    assert isinstance(dial, Dial) and dial.replica != store
    assert rig.now <= began + TIMING.silence_timeout_ms + TIMING.reconnect_window_ms


def test_messages_buffered_while_the_process_was_paused_prove_nothing() -> None:
    rig = Rig()
    state = rig.with_topic()
    had, began = rig.held(), rig.now
    rig.now += 60_000
    effects_of = rig.receive(next_delta(A, state, x="5"))
    assert closed_kinds(effects_of) == ["silent"] and rig.receive(Heartbeat(0.0)) == []
    assert rig.held() == had and rig.follower.age_ms(rig.now) == rig.now - began


def test_a_dial_that_hangs_is_given_up() -> None:
    rig = Rig()
    store = followed(rig.follower)
    effects_of = rig.tick()
    assert rig.now == 1000.0 + TIMING.connect_timeout_ms and closed_kinds(effects_of) == ["hangs"]
    rig.tick()
    assert followed(rig.follower) != store


def test_a_replica_that_sends_only_heartbeats_for_a_subscription_is_left() -> None:
    rig = Rig()
    rig.connect()
    effects_of: list[Effect] = []
    for _ in range(200):
        if not effects_of:
            effects_of = (
                rig.receive(Heartbeat(0.0), after=100)
                if rig.now + 100 < rig.follower.due_ms
                else rig.tick()
            )
    assert (
        closed_kinds(effects_of) == ["no-answer"] and rig.now == 1000.0 + TIMING.answer_timeout_ms
    )


def test_slow_snapshot_parts_count_as_progress() -> None:
    rig = Rig()
    rig.connect()
    state = Topic(3, entries(**{f"k{i}": "v" for i in range(20)}))
    rig.receive(*snapshot_parts(A, state, 20), after=TIMING.silence_timeout_ms - 1)
    assert rig.held()[A] == (3, state.entries)


def test_a_replica_cut_off_from_its_leader_is_kept_until_another_is_dialled() -> None:
    rig = Rig(timing=FollowerTiming(reconnect_window_ms=100.0))
    state = rig.with_topic()
    store = followed(rig.follower)
    rig.receive(Heartbeat(TIMING.max_lag_ms))
    by = rig.follower.due_ms
    assert rig.now <= by <= rig.now + 100.0
    rig.receive(next_delta(A, state, x="6"), Heartbeat(TIMING.max_lag_ms + 10))
    assert rig.held()[A][0] == 5 and rig.follower.due_ms == by  # put off by nothing but a leader
    effects_of = rig.tick()
    assert (
        closed_kinds(effects_of) == ["lags"]
        and isinstance(effects_of[-1], Dial)
        and effects_of[-1].replica != store
    )
    rig.connect()
    rig.receive(Heartbeat(TIMING.max_lag_ms), Heartbeat(0.0))
    assert (
        rig.follower.due_ms == rig.now + TIMING.silence_timeout_ms
    )  # its leader is back, it is kept


def test_a_replica_that_never_knew_a_leader_proves_no_freshness() -> None:
    rig = Rig()
    rig.connect()
    rig.receive(*snapshot_parts(A, Topic(1)), Heartbeat(math.inf))
    assert rig.follower.age_ms(rig.now) == math.inf and rig.follower.freshness.proved is None
    rig.receive(Heartbeat(40.0))
    assert rig.follower.age_ms(rig.now) == 40


def test_the_only_replica_is_kept_even_if_it_lags() -> None:
    rig = Rig(replicas=1)
    rig.with_topic()
    rig.receive(Heartbeat(60_000.0))
    assert rig.follower.due_ms == rig.now + TIMING.silence_timeout_ms


def test_a_reconnect_resumes_from_the_current_version() -> None:
    rig = Rig(replicas=1)
    state = rig.with_topic()
    rig.do(rig.follower.closed(rig.now, rig.connection))
    missed = next_delta(A, state, x="8")
    assert rig.connect() == subscribe((A, 4, rig.in_force[A].digest))
    rig.receive(missed, Heartbeat(0.0))
    assert rig.held()[A][0] == 5 and rig.follower.age_ms(rig.now) == 0


def test_reconnects_back_off_up_to_a_bound_until_freshness_is_proven() -> None:
    timing, waits = FollowerTiming(reconnect_window_ms=100.0, max_reconnect_window_ms=1000.0), []
    rig = Rig(timing=timing)
    for _ in range(60):
        rig.do(rig.follower.closed(rig.now, rig.connection))
        waits.append(rig.follower.due_ms - rig.now)
        rig.tick()
    bounds = [min(100.0 * 2**i, 1000.0) for i in range(60)]
    assert all(0 <= wait <= bound for wait, bound in zip(waits, bounds, strict=True))
    assert max(waits[5:]) > 800 and min(waits[5:]) < 200  # drawn from all of it
    rig.with_topic()
    rig.do(rig.follower.closed(rig.now, rig.connection))
    assert rig.follower.due_ms - rig.now <= 100


# 8,600 at once.


def calls_of(followers: list[Follower], span: float) -> list[tuple[float, int]]:
    """(time, store) of each call while nobody answers, as all lose their stores at 0."""
    calls = []
    for follower in followers:
        connection = dialled(follower)
        follower.closed(0.0, connection)
        while (now := follower.due_ms) < span:
            (dial,) = follower.tick(now)
            assert isinstance(dial, Dial)
            calls.append((now, dial.replica))
            follower.closed(now, dial.connection)  # refused at once: the worst case
    return calls


def many(count: int) -> list[Follower]:
    followers = [
        follower_of(f"n{i}", (A,), 40, TIMING, random.Random(f"n{i}")) for i in range(count)
    ]
    for follower in followers:
        follower.start(0.0)
    return followers


def test_8600_followers_that_lost_all_replicas_do_not_reconnect_together() -> None:
    calls = calls_of(many(8600), 60_000.0)
    by_tenth = Counter(int(now // 100) for now, _ in calls)
    peak = max(by_tenth.values())
    # First calls come evenly over the window, 430 in 100 ms. At its end second calls (from twice
    # the window), third ones and so on have risen to 1/2, 1/16, 1/384, ... of that beside them.
    # Four standard deviations are allowed for chance.
    most = (1 + 1 / 2 + 1 / 16 + 1 / 384 + 1e-3) * 8600 * 100 / TIMING.reconnect_window_ms
    assert peak <= most + 4 * math.sqrt(most)
    second = Counter((int(now // 1000), store) for now, store in calls)
    assert (
        max(second.values()) <= 2.5 * 8600 / 40 * 1000 / TIMING.reconnect_window_ms
    )  # of one store, by chance too
    late = sum(count for at, count in by_tenth.items() if at >= 300) / 30
    assert late <= 1.3 * 8600 / (
        TIMING.max_reconnect_window_ms / 2 / 1000
    )  # calls a second once all wait the longest


def test_each_follower_has_its_own_order_of_replicas_which_spreads_the_load() -> None:
    followers = many(8600)
    first = Counter(followed(follower) for follower in followers)
    mean, spread = 8600 / 40, 4 * math.sqrt(8600 / 40)
    assert len(first) == 40 and all(abs(count - mean) < spread for count in first.values())
    gone = first.most_common(1)[0][0]  # one store dies: its nodes go to all the others
    second: Counter[int] = Counter()
    for follower in followers:
        if followed(follower) == gone:
            follower.closed(0.0, dialled(follower))
            follower.tick(follower.due_ms)
            second[followed(follower)] += 1
    assert len(second) == 39 and max(second.values()) <= 20


# Bounds.


def test_followed_topics_are_bounded_by_count_and_by_frame_size() -> None:
    def made(*topics: str) -> Follower:
        return follower_of("n", topics, 3, TIMING, random.Random(1))

    most = made(*(f"servers/{i}" for i in range(MAX_TOPICS)))
    Codec("g", b"secret").encode(most.topics.subscription())
    for topics in [(), (A, A), tuple(f"servers/{i}" for i in range(MAX_TOPICS + 1))]:
        with pytest.raises(ValueError, match="topics are not 1 to"):
            made(*topics)
    long = ["é" * 195 + f"{i:05}" for i in range(MAX_TOPICS)]
    with pytest.raises(ValueError, match="more than one frame holds"):
        made(*long)
    fits = made(*long[: MAX_FRAME_BYTES // 440])
    Codec("g", b"secret").encode(fits.topics.subscription())
    with pytest.raises(ValueError, match="no store"):
        follower_of("n", (A,), 0, TIMING, random.Random(1))


def test_bytes_are_bounded_in_force_and_in_unfinished_snapshots() -> None:
    def filled(most: int) -> Rig:
        rig = Rig()
        rig.follower.topics.max_bytes = most
        rig.connect()
        return rig

    big = Topic(1, entries(**{f"k{i}": "v" * 1000 for i in range(10)}))
    rig = filled(9000)
    assert (
        closed_kinds(rig.receive(*snapshot_parts(A, big, 10))) == ["oversized"]
        and rig.held()[A][0] == 0
    )
    assert not assembled_bytes(rig.follower)
    rig = filled(5000)
    effects_of = rig.receive(*snapshot_parts(A, big, 10)[:5])
    assert closed_kinds(effects_of) == ["oversized"] and not assembled_bytes(
        rig.follower
    )  # long before the last
    two = Rig(A, B)
    two.follower.topics.max_bytes = 15_000
    two.connect()
    assert closed_kinds(two.receive(*snapshot_parts(A, big, 10), *snapshot_parts(B, big, 10))) == [
        "oversized"
    ]
    assert two.held()[A][0] == 1 and two.held()[B][0] == 0
    rig = filled(11_000)
    rig.receive(*snapshot_parts(A, big, 10))
    had = rig.held()
    assert had[A][0] == 1
    effects_of = rig.receive(next_delta(A, big, more="v" * 1000))
    assert closed_kinds(effects_of) == ["oversized"] and rig.held() == had
    rig = filled(11_000)
    state = Topic(1, entries(**{f"k{i}": "v" * 1000 for i in range(10)}))
    rig.receive(*snapshot_parts(A, state, 10))
    for _ in range(50):  # what takes an old value's place takes its room
        rig.receive(
            next_delta(A, state, k0="w" * 1000, k1=None), next_delta(A, state, k1="v" * 1000)
        )
    assert rig.follower.topics.total_bytes == framed_size(
        Entry(k, v) for k, v in state.entries.items()
    )
    fresh = follower_of("n", (A, B), 1, TIMING, random.Random(1))
    fresh.take_over_from(rig.follower)
    assert (
        fresh.topics.total_bytes == rig.follower.topics.total_bytes
        and fresh.topics.by_name[A] is rig.follower.topics.by_name[A]
    )


def test_a_replica_that_leaves_too_many_gaps_is_left() -> None:
    rig = Rig()
    state = rig.with_topic()
    kinds: list[str] = []
    for _ in range(MAX_GAPS + 1):
        kinds += closed_kinds(rig.receive(Snapshot(A, state.version + 1, 1, 2, 2, ())))
    assert kinds == ["gaps"]


def test_unusable_entries_are_requested_again_as_a_snapshot() -> None:
    rig = Rig()
    state = rig.with_topic()
    rig.receive(next_delta(A, state, x="bad"))
    effects_of = rig.do(rig.follower.request_resend(rig.now, A))
    assert logged(effects_of) == [("gap", "unusable")] and subscribes(effects_of) == [
        subscribe((A, RESEND, 0))
    ]
    rig.receive(Heartbeat(0.0), after=20)
    assert rig.follower.age_ms(rig.now) == 20  # not whole for sure until then
    (take,) = rig.receive(*snapshot_parts(A, state))
    assert isinstance(take, UpdateTopic) and take.is_snapshot and take.version == 5
    assert rig.do(rig.follower.request_resend(rig.now, A)) == []  # it is no better: not in a circle
    rig.receive(Heartbeat(0.0), after=1000)
    assert rig.follower.age_ms(rig.now) == 1020
    assert rig.follower.due_ms == rig.now + TIMING.silence_timeout_ms  # nobody owes anything
    mended = next_delta(A, state, x="good")
    assert subscribes(rig.receive(mended)) == [subscribe((A, RESEND, 0))]
    rig.receive(*snapshot_parts(A, state), Heartbeat(0.0))
    assert rig.held()[A] == (6, state.entries) and rig.follower.age_ms(rig.now) == 0
    rig.do(rig.follower.closed(rig.now, rig.connection))
    assert rig.do(rig.follower.request_resend(rig.now, A)) == []
    assert rig.connect() == subscribe((A, RESEND, 0))


# Any order of anything.


@given(st.integers(0, 2**32))
def test_whatever_is_received_no_older_or_partial_version_is_ever_in_force(seed: int) -> None:
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
        copy = Topic(state.version, [Entry(k, v) for k, v in state.entries.items()])
        history.append(copy)
        states.append((copy.version, copy.digest))
    rig = Rig(seed=seed)
    last = 0
    for _ in range(80):
        act = draw.random()
        if not rig.follower.is_connected:
            rig.connect()
        elif act < 0.5:
            delta = draw.choice(deltas)
            if draw.random() < 0.6 and rig.follower.topics.by_name[A].version < len(deltas):
                delta = deltas[rig.follower.topics.by_name[A].version]
            if draw.random() < 0.1:
                delta = Delta(A, delta.version, delta.digest ^ 1, delta.entries)
            rig.receive(delta)
        elif act < 0.8:
            pieces = snapshot_parts(A, draw.choice(history[1:]), draw.randint(1, 4))
            if draw.random() < 0.3:
                draw.shuffle(pieces)
            if draw.random() < 0.3:
                pieces = pieces[: draw.randrange(len(pieces) + 1)]
            rig.receive(*pieces)
        elif act < 0.9:
            rig.receive(Heartbeat(0.0))
        elif act < 0.95:
            rig.do(rig.follower.closed(rig.now, rig.connection))
        else:
            rig.tick()
        held = rig.follower.topics.by_name[A]
        assert held.version >= last and (held.version, held.digest) == states[held.version]
        assert held.entries == history[held.version].entries
        last = held.version


def test_an_oversized_value_is_refused_by_the_codec_before_the_follower_sees_it() -> None:
    codec = Codec("g", b"secret")
    with pytest.raises(FrameError, match="bytes of") as caught:
        codec.encode(Delta(A, 1, 0, (Entry("x", bytes(MAX_VALUE_BYTES + 1)),)))
    assert caught.value.kind == "oversized"
