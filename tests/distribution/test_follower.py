"""The follower: applied and rejected messages, timeouts, and changes of the replica."""

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
    all_entries = [Entry(key, value) for key, value in state.entries.items()]
    step = max(1, -(-len(all_entries) // parts))
    parts_of_entries = [
        tuple(all_entries[start : start + step]) for start in range(0, len(all_entries), step)
    ] or [()]
    return [
        Snapshot(topic, state.version, state.digest, number, len(parts_of_entries), part_entries)
        for number, part_entries in enumerate(parts_of_entries, 1)
    ]


def next_delta(topic: str, state: Topic, **values: str | None) -> Delta:
    state.apply(entries(**values))
    return Delta(topic, state.version, state.digest, entries(**values))


def follower_of(
    name: str, topics: tuple[str, ...], replicas: int, timing: FollowerTiming, rng: random.Random
) -> Follower:
    return Follower(name, topics, ReplicaSelector(replicas, timing, rng), timing)


class FollowerHarness:
    """A follower whose replicas the test plays, with the topics that its effects produce."""

    def __init__(
        self, *topics: str, replicas: int = 3, seed: int = 1, timing: FollowerTiming = TIMING
    ) -> None:
        self.follower = follower_of("n", topics or (A,), replicas, timing, random.Random(seed))
        self.now_ms = 1000.0
        self.applied: dict[str, Topic] = {topic: Topic() for topic in self.follower.topics.by_name}
        self.effects: list[Effect] = []
        self.connection = 0
        self.apply_effects(self.follower.start(self.now_ms))

    def apply_effects(self, effects: list[Effect]) -> list[Effect]:
        self.effects = effects
        for effect in effects:
            if isinstance(effect, Dial):
                self.connection = effect.connection
            elif isinstance(effect, UpdateTopic):
                if effect.is_snapshot:
                    self.applied[effect.topic] = Topic(effect.version, effect.entries)
                else:
                    self.applied[effect.topic].apply(effect.entries)
                    assert self.applied[effect.topic].version == effect.version
        # The follower's topics must equal the updates that it has passed on.
        for name, topic in self.follower.topics.by_name.items():
            assert (topic.version, topic.digest) == (
                self.applied[name].version,
                self.applied[name].digest,
            )
        return effects

    def receive(self, *messages: Message, after: float = 0.0) -> list[Effect]:
        effects: list[Effect] = []
        for message in messages:
            self.now_ms += after
            effects += self.apply_effects(
                self.follower.received(self.now_ms, self.connection, message)
            )
        return effects

    def tick(self) -> list[Effect]:
        assert math.isfinite(self.follower.due_ms)
        self.now_ms = max(self.now_ms, self.follower.due_ms)
        return self.apply_effects(self.follower.tick(self.now_ms))

    def connect(self) -> Subscribe:
        """Connect to the next replica, and return the subscription that it gets."""
        while self.follower.session is None:
            self.tick()
        effects = self.apply_effects(self.follower.connected(self.now_ms, self.connection))
        assert [type(e.message) for e in effects if isinstance(e, Send)] == [Hello, Subscribe]
        self.receive(Hello("s", True))
        (subscribe,) = [
            e.message for e in effects if isinstance(e, Send) and isinstance(e.message, Subscribe)
        ]
        return subscribe

    def connect_with_topic(self, parts: int = 1, **values: str) -> Topic:
        """Connect, and apply a snapshot of one topic that is proven fresh."""
        self.connect()
        state = Topic(4, entries(**(values or {"x": "1", "y": "2", "z": "3"})))
        self.receive(
            *snapshot_parts(next(iter(self.follower.topics.by_name)), state, parts), Heartbeat(0.0)
        )
        assert self.follower.age_ms(self.now_ms) == 0
        return state

    def topic_state(self) -> dict[str, tuple[int, dict[str, bytes]]]:
        return {
            name: (topic.version, dict(topic.entries))
            for name, topic in self.follower.topics.by_name.items()
        }


def dialled(follower: Follower) -> int:
    """Return the number of the current connection."""
    assert follower.session is not None
    return follower.session.connection


def followed(follower: Follower) -> int:
    """Return the position of the replica that is followed or dialled."""
    assert follower.session is not None
    return follower.session.replica


def assembled_bytes(follower: Follower) -> int:
    """Return the size of unfinished snapshots."""
    sync = None if follower.session is None else follower.session.sync
    return 0 if sync is None else sync.assembled_bytes


def logged(effects: list[Effect]) -> list[tuple[str, str]]:
    return [(e.name, e.fields.get("kind", "")) for e in effects if isinstance(e, LogEvent)]


def subscribes(effects: list[Effect]) -> list[Subscribe]:
    return [e.message for e in effects if isinstance(e, Send) and isinstance(e.message, Subscribe)]


def closed_kinds(effects: list[Effect]) -> list[str]:
    return [e.kind for e in effects if isinstance(e, Close)]


def test_a_follower_subscribes_and_installs_a_snapshot_with_its_last_part() -> None:
    harness = FollowerHarness(A, B)
    assert harness.connect() == subscribe((A, 0, 0), (B, 0, 0))
    state = Topic(7, entries(x="1", y="2", z="3"))
    first, second, third = snapshot_parts(A, state, 3)
    assert harness.receive(first, second) == [] and harness.applied[A].version == 0
    (update,) = harness.receive(third)
    assert update == UpdateTopic(A, 7, True, entries(x="1", y="2", z="3"))
    harness.receive(Heartbeat(0.0))
    # The other topic is still awaited.
    assert harness.follower.age_ms(harness.now_ms) == math.inf
    harness.receive(*snapshot_parts(B, Topic(1)), Heartbeat(200.0))
    assert harness.follower.age_ms(harness.now_ms) == 200


def test_deltas_are_applied_in_order_and_the_age_runs_from_the_last_heartbeat() -> None:
    harness = FollowerHarness()
    state = harness.connect_with_topic()
    assert harness.receive(next_delta(A, state, x="9", y=None)) == [
        UpdateTopic(A, 5, False, entries(x="9", y=None))
    ]
    assert harness.topic_state()[A] == (5, {"x": b"9", "z": b"3"})
    harness.receive(Heartbeat(30.0), after=100)
    # A heartbeat with an older proof than the last one changes nothing.
    harness.receive(Heartbeat(500.0), after=100)
    assert harness.follower.age_ms(harness.now_ms) == 130
    harness.receive(Heartbeat(0.0), after=100)
    harness.now_ms += 700
    assert harness.follower.age_ms(harness.now_ms) == 700


def test_a_gap_is_closed_by_subscribing_from_the_current_version() -> None:
    harness = FollowerHarness()
    state = harness.connect_with_topic()
    state_before = harness.topic_state()
    lost, after = next_delta(A, state, x="5"), next_delta(A, state, y="6")
    effects = harness.receive(after)
    assert logged(effects) == [("gap", "gap")] and harness.topic_state() == state_before
    assert subscribes(effects) == [subscribe((A, state_before[A][0], harness.applied[A].digest))]
    harness.receive(Heartbeat(0.0), after=50)
    # Heartbeats prove nothing until the gap is closed.
    assert harness.follower.age_ms(harness.now_ms) == 50
    later = next_delta(A, state, z="7")
    # The replica sent this delta before it received the new subscription.
    assert harness.receive(later) == []
    assert len(harness.receive(lost, after, later)) == 3 and harness.topic_state()[A][0] == 7
    harness.receive(Heartbeat(0.0))
    assert harness.follower.age_ms(harness.now_ms) == 0


def test_deltas_repeated_because_of_a_gap_in_another_topic_are_ignored() -> None:
    harness = FollowerHarness(A, B)
    harness.connect()
    one, other = Topic(4, entries(x="1")), Topic(2, entries(y="1"))
    harness.receive(*snapshot_parts(A, one), *snapshot_parts(B, other), Heartbeat(0.0))
    first, second, change = (
        next_delta(A, one, x="2"),
        next_delta(A, one, x="3"),
        next_delta(B, other, y="2"),
    )
    assert subscribes(harness.receive(second, change)) and harness.topic_state()[B] == (
        3,
        {"y": b"2"},
    )
    # The replica repeats the delta in response to the new subscription.
    assert harness.receive(change) == [] and harness.topic_state()[B] == (
        3,
        {"y": b"2"},
    )
    harness.receive(first, second, Heartbeat(0.0))
    assert (
        harness.topic_state()[A] == (6, {"x": b"3"})
        and harness.follower.age_ms(harness.now_ms) == 0
    )


def test_a_wrong_digest_changes_nothing_and_requests_a_snapshot() -> None:
    harness = FollowerHarness()
    state = harness.connect_with_topic()
    state_before = harness.topic_state()
    wrong = next_delta(A, state, x="5")
    effects = harness.receive(Delta(A, wrong.version, wrong.digest ^ 1, wrong.entries))
    assert logged(effects) == [("gap", "digest")] and harness.topic_state() == state_before
    # Only a snapshot can repair the topic.
    assert subscribes(effects) == [subscribe((A, RESEND, 0))]
    assert harness.receive(wrong, Heartbeat(0.0)) == [] and harness.topic_state() == state_before
    (part,) = snapshot_parts(A, state)
    effects = harness.receive(Snapshot(A, part.version, part.digest ^ 1, 1, 1, part.entries))
    assert logged(effects) == [("gap", "digest")] and harness.topic_state() == state_before
    harness.receive(part, Heartbeat(0.0), after=10)
    assert (
        harness.topic_state()[A][1] == state.entries
        and harness.follower.age_ms(harness.now_ms) == 0
    )


def test_a_doubted_topic_stays_doubted_on_the_next_connection() -> None:
    harness = FollowerHarness()
    state = harness.connect_with_topic()
    wrong = next_delta(A, state, x="5")
    harness.receive(Delta(A, wrong.version, wrong.digest ^ 1, wrong.entries))
    harness.apply_effects(harness.follower.closed(harness.now_ms, harness.connection))
    assert harness.connect() == subscribe((A, RESEND, 0))
    harness.receive(Heartbeat(0.0), after=1)
    assert harness.follower.age_ms(harness.now_ms) > 0
    effects: list[Effect] = []
    for _ in range(200):
        if not effects:
            effects = (
                harness.receive(Heartbeat(0.0), after=100)
                if harness.now_ms + 100 < harness.follower.due_ms
                else harness.tick()
            )
    # The snapshot is awaited on the new connection as well.
    assert closed_kinds(effects) == ["no-answer"]


@pytest.mark.parametrize("case", ["delta", "whole"])
def test_an_older_version_is_never_applied(case: str) -> None:
    harness = FollowerHarness()
    state = harness.connect_with_topic()
    state_before, older = harness.topic_state(), Topic(3, entries(x="0"))
    message: Message = snapshot_parts(A, older)[0]
    if case == "delta":
        message = Delta(A, 4, state.digest, entries(x="0"))
    store = followed(harness.follower)
    effects = harness.receive(message)
    assert (
        closed_kinds(effects) == ["older"]
        and logged(effects) == [("lost", "older")]
        and harness.topic_state() == state_before
    )
    assert (
        harness.connect() == subscribe((A, 4, state.digest)) and followed(harness.follower) != store
    )


def test_a_snapshot_of_the_same_version_with_other_entries_is_applied_and_counted() -> None:
    harness = FollowerHarness()
    harness.connect_with_topic()
    other = Topic(4, entries(x="other"))
    (update,) = harness.receive(*snapshot_parts(A, other))
    assert (
        update == UpdateTopic(A, 4, True, entries(x="other"))
        and harness.follower.faults["other"] == 1
    )


@pytest.mark.parametrize("kind", ["behind", "too-many", "something-new"])
def test_a_replica_that_rejects_the_subscription_is_replaced_by_another(kind: str) -> None:
    harness = FollowerHarness()
    harness.connect_with_topic()
    state_before, store = harness.topic_state(), followed(harness.follower)
    effects = harness.receive(Rejection(kind, "", "no"))
    expected_kind = "refused" if kind == "something-new" else kind
    assert closed_kinds(effects) == [expected_kind] and harness.topic_state() == state_before
    harness.connect()
    assert followed(harness.follower) != store


def test_an_unknown_topic_is_logged_once_and_stays_subscribed() -> None:
    harness = FollowerHarness(A, B)
    harness.connect()
    harness.receive(*snapshot_parts(A, Topic(1, entries(x="1"))))
    assert logged(harness.receive(Rejection("unknown-topic", B, "nobody has it"))) == [
        ("unknown-topic", "")
    ]
    harness.receive(Heartbeat(0.0))
    # An unknown topic counts as complete.
    assert harness.follower.age_ms(harness.now_ms) == 0
    harness.apply_effects(harness.follower.closed(harness.now_ms, harness.connection))
    assert harness.connect().topics[1] == TopicVersion(B, 0, 0)
    assert harness.receive(Rejection("unknown-topic", B, "nobody has it")) == []
    state = Topic()
    assert harness.receive(next_delta(B, state, y="1")) == [
        UpdateTopic(B, 1, False, entries(y="1"))
    ]
    # The topic existed before, so the replica lags behind the follower.
    assert closed_kinds(harness.receive(Rejection("unknown-topic", B, "nobody has it"))) == [
        "behind"
    ]


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


INVALID_PARTS: dict[str, Callable[[Topic], list[Snapshot]]] = {
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


@pytest.mark.parametrize("case", INVALID_PARTS)
def test_snapshot_parts_out_of_sequence_change_nothing_and_are_requested_again(case: str) -> None:
    harness = FollowerHarness()
    state = harness.connect_with_topic()
    state_before = harness.topic_state()
    state.apply(entries(x="0", y="1", z="2"))
    effects = harness.receive(*INVALID_PARTS[case](state))
    assert (
        logged(effects) == [("gap", "parts")]
        and harness.topic_state() == state_before
        and not closed_kinds(effects)
    )
    assert subscribes(effects) and not assembled_bytes(harness.follower)
    harness.receive(Heartbeat(0.0), after=5)
    assert harness.follower.age_ms(harness.now_ms) == 5
    harness.receive(*snapshot_parts(A, state, 3), Heartbeat(0.0))
    assert (
        harness.topic_state()[A] == (5, state.entries)
        and harness.follower.age_ms(harness.now_ms) == 0
    )


def test_a_new_snapshot_replaces_an_unfinished_one() -> None:
    harness = FollowerHarness()
    state = harness.connect_with_topic()
    harness.receive(Snapshot(A, 5, 1, 1, 2, entries(w="old")))
    state.apply(entries(x="7"))
    state.apply(entries(x="8"))
    harness.receive(*snapshot_parts(A, state, 3))
    assert harness.topic_state()[A] == (6, state.entries)


def test_an_unrequested_snapshot_is_awaited_until_its_last_part() -> None:
    harness = FollowerHarness()
    state = harness.connect_with_topic()
    state.apply(entries(x="7"))
    first, *others = snapshot_parts(A, state, 3)
    harness.receive(first, Heartbeat(0.0), after=10)
    assert harness.follower.age_ms(harness.now_ms) == 20
    harness.receive(*others, Heartbeat(0.0))
    assert (
        harness.topic_state()[A] == (5, state.entries)
        and harness.follower.age_ms(harness.now_ms) == 0
    )


def test_snapshot_parts_of_two_topics_may_interleave() -> None:
    harness = FollowerHarness(A, B)
    harness.connect()
    one, other = Topic(2, entries(x="1", y="2")), Topic(9, entries(x="3", y="4"))
    first, second = snapshot_parts(A, one, 2)
    third, fourth = snapshot_parts(B, other, 2)
    harness.receive(first, third, second, fourth)
    assert harness.topic_state() == {A: (2, one.entries), B: (9, other.entries)}


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
    harness = FollowerHarness()
    harness.connect_with_topic()
    state_before = harness.topic_state()
    effects = harness.receive(message, after=10)
    assert (
        closed_kinds(effects) == [kind]
        and harness.topic_state() == state_before
        and harness.follower.age_ms(harness.now_ms) == 10
    )
    assert harness.follower.faults[kind] == 1


@pytest.mark.parametrize("first", [Hello("n2", False), Heartbeat(0.0), Delta(A, 1, 0, ())])
def test_a_connection_without_a_replicas_hello_is_left(first: Message) -> None:
    harness = FollowerHarness()
    harness.apply_effects(harness.follower.connected(harness.now_ms, harness.connection))
    assert closed_kinds(harness.receive(first)) in (["no-store"], ["unasked"])


@pytest.mark.parametrize("state", ["dialling", "up", "waiting"])
def test_events_of_other_connections_are_ignored(state: str) -> None:
    harness = FollowerHarness()
    old = harness.connection
    if state != "dialling":
        harness.connect_with_topic()
        old = harness.connection
        harness.apply_effects(harness.follower.closed(harness.now_ms, old))
    if state == "up":
        harness.connect()
    follower, state_before = harness.follower, harness.topic_state()
    wrong = old + 7 if state == "dialling" else old
    change = snapshot_parts(A, Topic(9, entries(x="new")))[0]
    due = follower.due_ms
    assert (
        follower.received(harness.now_ms, wrong, change) == []
        and follower.connected(harness.now_ms, wrong) == []
    )
    assert (
        follower.closed(harness.now_ms, wrong) == []
        and harness.topic_state() == state_before
        and follower.due_ms == due
    )


# Replicas that are silent, hang or lag.


def test_a_silent_replica_is_abandoned_and_another_dialled_within_the_window() -> None:
    harness = FollowerHarness()
    harness.connect_with_topic()
    store, started_at_ms = followed(harness.follower), harness.now_ms
    assert (
        harness.apply_effects(harness.follower.tick(harness.now_ms + TIMING.silence_timeout_ms - 1))
        == []
    )
    effects = harness.tick()
    assert harness.now_ms == started_at_ms + TIMING.silence_timeout_ms and closed_kinds(
        effects
    ) == ["silent"]
    (dial,) = harness.tick()
    assert isinstance(dial, Dial) and dial.replica != store
    assert harness.now_ms <= started_at_ms + TIMING.silence_timeout_ms + TIMING.reconnect_window_ms


def test_messages_buffered_while_the_process_was_paused_prove_nothing() -> None:
    harness = FollowerHarness()
    state = harness.connect_with_topic()
    state_before, started_at_ms = harness.topic_state(), harness.now_ms
    harness.now_ms += 60_000
    effects = harness.receive(next_delta(A, state, x="5"))
    assert closed_kinds(effects) == ["silent"] and harness.receive(Heartbeat(0.0)) == []
    assert (
        harness.topic_state() == state_before
        and harness.follower.age_ms(harness.now_ms) == harness.now_ms - started_at_ms
    )


def test_a_dial_that_hangs_is_abandoned() -> None:
    harness = FollowerHarness()
    store = followed(harness.follower)
    effects = harness.tick()
    assert harness.now_ms == 1000.0 + TIMING.connect_timeout_ms and closed_kinds(effects) == [
        "hangs"
    ]
    harness.tick()
    assert followed(harness.follower) != store


def test_a_replica_that_sends_only_heartbeats_for_a_subscription_is_abandoned() -> None:
    harness = FollowerHarness()
    harness.connect()
    effects: list[Effect] = []
    for _ in range(200):
        if not effects:
            effects = (
                harness.receive(Heartbeat(0.0), after=100)
                if harness.now_ms + 100 < harness.follower.due_ms
                else harness.tick()
            )
    assert (
        closed_kinds(effects) == ["no-answer"]
        and harness.now_ms == 1000.0 + TIMING.answer_timeout_ms
    )


def test_slow_snapshot_parts_count_as_progress() -> None:
    harness = FollowerHarness()
    harness.connect()
    state = Topic(3, entries(**{f"k{i}": "v" for i in range(20)}))
    harness.receive(*snapshot_parts(A, state, 20), after=TIMING.silence_timeout_ms - 1)
    assert harness.topic_state()[A] == (3, state.entries)


def test_a_replica_cut_off_from_its_leader_is_kept_until_another_is_dialled() -> None:
    harness = FollowerHarness(timing=FollowerTiming(reconnect_window_ms=100.0))
    state = harness.connect_with_topic()
    store = followed(harness.follower)
    harness.receive(Heartbeat(TIMING.max_lag_ms))
    abandon_at_ms = harness.follower.due_ms
    assert harness.now_ms <= abandon_at_ms <= harness.now_ms + 100.0
    harness.receive(next_delta(A, state, x="6"), Heartbeat(TIMING.max_lag_ms + 10))
    # Only a heartbeat with a leader postpones the time of abandoning.
    assert harness.topic_state()[A][0] == 5 and harness.follower.due_ms == abandon_at_ms
    effects = harness.tick()
    assert (
        closed_kinds(effects) == ["lags"]
        and isinstance(effects[-1], Dial)
        and effects[-1].replica != store
    )
    harness.connect()
    harness.receive(Heartbeat(TIMING.max_lag_ms), Heartbeat(0.0))
    # The replica has a leader again, so it is kept.
    assert harness.follower.due_ms == harness.now_ms + TIMING.silence_timeout_ms


def test_a_replica_without_leader_contact_proves_no_freshness() -> None:
    harness = FollowerHarness()
    harness.connect()
    harness.receive(*snapshot_parts(A, Topic(1)), Heartbeat(math.inf))
    assert (
        harness.follower.age_ms(harness.now_ms) == math.inf
        and harness.follower.freshness.proven_at_ms is None
    )
    harness.receive(Heartbeat(40.0))
    assert harness.follower.age_ms(harness.now_ms) == 40


def test_the_only_replica_is_kept_even_if_it_lags() -> None:
    harness = FollowerHarness(replicas=1)
    harness.connect_with_topic()
    harness.receive(Heartbeat(60_000.0))
    assert harness.follower.due_ms == harness.now_ms + TIMING.silence_timeout_ms


def test_a_reconnect_resumes_from_the_current_version() -> None:
    harness = FollowerHarness(replicas=1)
    state = harness.connect_with_topic()
    harness.apply_effects(harness.follower.closed(harness.now_ms, harness.connection))
    missed = next_delta(A, state, x="8")
    assert harness.connect() == subscribe((A, 4, harness.applied[A].digest))
    harness.receive(missed, Heartbeat(0.0))
    assert harness.topic_state()[A][0] == 5 and harness.follower.age_ms(harness.now_ms) == 0


def test_reconnects_back_off_up_to_a_bound_until_freshness_is_proven() -> None:
    timing, delays_ms = (
        FollowerTiming(reconnect_window_ms=100.0, max_reconnect_window_ms=1000.0),
        [],
    )
    harness = FollowerHarness(timing=timing)
    for _ in range(60):
        harness.apply_effects(harness.follower.closed(harness.now_ms, harness.connection))
        delays_ms.append(harness.follower.due_ms - harness.now_ms)
        harness.tick()
    bounds = [min(100.0 * 2**i, 1000.0) for i in range(60)]
    assert all(0 <= delay_ms <= bound for delay_ms, bound in zip(delays_ms, bounds, strict=True))
    # The delays are drawn from the complete window.
    assert max(delays_ms[5:]) > 800 and min(delays_ms[5:]) < 200
    harness.connect_with_topic()
    harness.apply_effects(harness.follower.closed(harness.now_ms, harness.connection))
    assert harness.follower.due_ms - harness.now_ms <= 100


# Load of 8,600 followers that reconnect at the same time.


def dial_times(followers: list[Follower], duration_ms: float) -> list[tuple[float, int]]:
    """Return the time and replica of each dial, if all followers lose their replicas at 0 ms.

    All dials fail.
    """
    dials = []
    for follower in followers:
        connection = dialled(follower)
        follower.closed(0.0, connection)
        while (now_ms := follower.due_ms) < duration_ms:
            (dial,) = follower.tick(now_ms)
            assert isinstance(dial, Dial)
            dials.append((now_ms, dial.replica))
            # The connection is refused at once, which is the worst case.
            follower.closed(now_ms, dial.connection)
    return dials


def started_followers(count: int) -> list[Follower]:
    followers = [
        follower_of(f"n{i}", (A,), 40, TIMING, random.Random(f"n{i}")) for i in range(count)
    ]
    for follower in followers:
        follower.start(0.0)
    return followers


def test_8600_followers_that_lost_all_replicas_do_not_reconnect_together() -> None:
    dials = dial_times(started_followers(8600), 60_000.0)
    by_tenth = Counter(int(now_ms // 100) for now_ms, _ in dials)
    peak = max(by_tenth.values())
    # The first dials are uniform over the window: 430 in 100 ms. At its end second dials (from a
    # window twice as long), third ones and so on add 1/2, 1/16, 1/384, ... of that rate. Four
    # standard deviations are allowed for chance.
    expected_peak = (1 + 1 / 2 + 1 / 16 + 1 / 384 + 1e-3) * 8600 * 100 / TIMING.reconnect_window_ms
    assert peak <= expected_peak + 4 * math.sqrt(expected_peak)
    # The load of a single replica, allowing for chance.
    second = Counter((int(now_ms // 1000), store) for now_ms, store in dials)
    assert max(second.values()) <= 2.5 * 8600 / 40 * 1000 / TIMING.reconnect_window_ms
    # Dials per second once all followers use the maximum window.
    late_dials_per_s = sum(count for tenth, count in by_tenth.items() if tenth >= 300) / 30
    assert late_dials_per_s <= 1.3 * 8600 / (TIMING.max_reconnect_window_ms / 2 / 1000)


def test_each_follower_has_its_own_order_of_replicas_which_spreads_the_load() -> None:
    followers = started_followers(8600)
    first = Counter(followed(follower) for follower in followers)
    mean, spread = 8600 / 40, 4 * math.sqrt(8600 / 40)
    assert len(first) == 40 and all(abs(count - mean) < spread for count in first.values())
    # One replica stops: its followers spread over all others.
    stopped = first.most_common(1)[0][0]
    second: Counter[int] = Counter()
    for follower in followers:
        if followed(follower) == stopped:
            follower.closed(0.0, dialled(follower))
            follower.tick(follower.due_ms)
            second[followed(follower)] += 1
    assert len(second) == 39 and max(second.values()) <= 20


# Limits.


def test_followed_topics_are_bounded_by_count_and_by_frame_size() -> None:
    def made(*topics: str) -> Follower:
        return follower_of("n", topics, 3, TIMING, random.Random(1))

    largest = made(*(f"servers/{i}" for i in range(MAX_TOPICS)))
    Codec("g", b"secret").encode(largest.topics.subscription())
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
    def limited(max_bytes: int) -> FollowerHarness:
        harness = FollowerHarness()
        harness.follower.topics.max_bytes = max_bytes
        harness.connect()
        return harness

    big = Topic(1, entries(**{f"k{i}": "v" * 1000 for i in range(10)}))
    harness = limited(9000)
    assert (
        closed_kinds(harness.receive(*snapshot_parts(A, big, 10))) == ["oversized"]
        and harness.topic_state()[A][0] == 0
    )
    assert not assembled_bytes(harness.follower)
    harness = limited(5000)
    # The limit applies before the last part is received.
    effects = harness.receive(*snapshot_parts(A, big, 10)[:5])
    assert closed_kinds(effects) == ["oversized"] and not assembled_bytes(harness.follower)
    two = FollowerHarness(A, B)
    two.follower.topics.max_bytes = 15_000
    two.connect()
    assert closed_kinds(two.receive(*snapshot_parts(A, big, 10), *snapshot_parts(B, big, 10))) == [
        "oversized"
    ]
    assert two.topic_state()[A][0] == 1 and two.topic_state()[B][0] == 0
    harness = limited(11_000)
    harness.receive(*snapshot_parts(A, big, 10))
    state_before = harness.topic_state()
    assert state_before[A][0] == 1
    effects = harness.receive(next_delta(A, big, more="v" * 1000))
    assert closed_kinds(effects) == ["oversized"] and harness.topic_state() == state_before
    harness = limited(11_000)
    state = Topic(1, entries(**{f"k{i}": "v" * 1000 for i in range(10)}))
    harness.receive(*snapshot_parts(A, state, 10))
    # A value that replaces another one frees the size of the old one.
    for _ in range(50):
        harness.receive(
            next_delta(A, state, k0="w" * 1000, k1=None), next_delta(A, state, k1="v" * 1000)
        )
    assert harness.follower.topics.total_bytes == framed_size(
        Entry(k, v) for k, v in state.entries.items()
    )
    fresh = follower_of("n", (A, B), 1, TIMING, random.Random(1))
    fresh.take_over_from(harness.follower)
    assert (
        fresh.topics.total_bytes == harness.follower.topics.total_bytes
        and fresh.topics.by_name[A] is harness.follower.topics.by_name[A]
    )


def test_a_replica_that_leaves_too_many_gaps_is_abandoned() -> None:
    harness = FollowerHarness()
    state = harness.connect_with_topic()
    kinds: list[str] = []
    for _ in range(MAX_GAPS + 1):
        kinds += closed_kinds(harness.receive(Snapshot(A, state.version + 1, 1, 2, 2, ())))
    assert kinds == ["gaps"]


def test_unusable_entries_are_requested_again_as_a_snapshot() -> None:
    harness = FollowerHarness()
    state = harness.connect_with_topic()
    harness.receive(next_delta(A, state, x="bad"))
    effects = harness.apply_effects(harness.follower.request_resend(harness.now_ms, A))
    assert logged(effects) == [("gap", "unusable")] and subscribes(effects) == [
        subscribe((A, RESEND, 0))
    ]
    harness.receive(Heartbeat(0.0), after=20)
    # The topic is not known to be complete until the snapshot comes.
    assert harness.follower.age_ms(harness.now_ms) == 20
    (update,) = harness.receive(*snapshot_parts(A, state))
    assert isinstance(update, UpdateTopic) and update.is_snapshot and update.version == 5
    # The snapshot was unusable as well, so it is not requested in a loop.
    assert harness.apply_effects(harness.follower.request_resend(harness.now_ms, A)) == []
    harness.receive(Heartbeat(0.0), after=1000)
    assert harness.follower.age_ms(harness.now_ms) == 1020
    # No response is awaited, so only the silence timeout is left.
    assert harness.follower.due_ms == harness.now_ms + TIMING.silence_timeout_ms
    mended = next_delta(A, state, x="good")
    assert subscribes(harness.receive(mended)) == [subscribe((A, RESEND, 0))]
    harness.receive(*snapshot_parts(A, state), Heartbeat(0.0))
    assert (
        harness.topic_state()[A] == (6, state.entries)
        and harness.follower.age_ms(harness.now_ms) == 0
    )
    harness.apply_effects(harness.follower.closed(harness.now_ms, harness.connection))
    assert harness.apply_effects(harness.follower.request_resend(harness.now_ms, A)) == []
    assert harness.connect() == subscribe((A, RESEND, 0))


# Random sequences of messages.


@given(st.integers(0, 2**32))
def test_whatever_is_received_no_older_or_partial_version_is_ever_in_force(seed: int) -> None:
    """Replicas send deltas and snapshots of one history late, repeated, corrupt and reordered."""
    history, states = [Topic()], [(0, 0)]
    rng = random.Random(seed)
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
    harness = FollowerHarness(seed=seed)
    last_version = 0
    for _ in range(80):
        action = rng.random()
        if not harness.follower.is_connected:
            harness.connect()
        elif action < 0.5:
            delta = rng.choice(deltas)
            if rng.random() < 0.6 and harness.follower.topics.by_name[A].version < len(deltas):
                delta = deltas[harness.follower.topics.by_name[A].version]
            if rng.random() < 0.1:
                delta = Delta(A, delta.version, delta.digest ^ 1, delta.entries)
            harness.receive(delta)
        elif action < 0.8:
            parts_of_entries = snapshot_parts(A, rng.choice(history[1:]), rng.randint(1, 4))
            if rng.random() < 0.3:
                rng.shuffle(parts_of_entries)
            if rng.random() < 0.3:
                parts_of_entries = parts_of_entries[: rng.randrange(len(parts_of_entries) + 1)]
            harness.receive(*parts_of_entries)
        elif action < 0.9:
            harness.receive(Heartbeat(0.0))
        elif action < 0.95:
            harness.apply_effects(harness.follower.closed(harness.now_ms, harness.connection))
        else:
            harness.tick()
        topic = harness.follower.topics.by_name[A]
        assert (
            topic.version >= last_version and (topic.version, topic.digest) == states[topic.version]
        )
        assert topic.entries == history[topic.version].entries
        last_version = topic.version


def test_an_oversized_value_is_refused_by_the_codec_before_the_follower_sees_it() -> None:
    codec = Codec("g", b"secret")
    with pytest.raises(FrameError, match="bytes of") as caught:
        codec.encode(Delta(A, 1, 0, (Entry("x", bytes(MAX_VALUE_BYTES + 1)),)))
    assert caught.value.kind == "oversized"
