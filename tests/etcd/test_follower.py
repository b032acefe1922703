"""The follower without I/O: what it believes, what it hands over, and what it asks for next."""

from __future__ import annotations

import json
import random
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from badgercart.core.endpoint_table import DiscoveryUpdate
from badgercart.discovery.entries import ListReader
from badgercart.discovery.etcd.follower import (
    Failure,
    FetchPage,
    Follower,
    Header,
    KeyValue,
    ListConfirmed,
    LogProblem,
    OpenWatch,
    Phase,
    PublishUpdate,
    RangePage,
    Reconnect,
    WatchResponse,
)
from badgercart.discovery.etcd.guard import (
    COUNT_WINDOW_MS,
    MIN_GUARDED_SERVERS,
    SHRINK_ALLOWED_KEY,
    ShrinkGuard,
)
from badgercart.discovery.etcd.settings import EtcdSettings
from badgercart.discovery.freshness import Freshness, FreshnessLimits, FreshnessState
from badgercart.policy.endpoint import EndpointState as ServerState
from badgercart.policy.events import UpdateKind
from tests.net import config

PREFIX = "/s/"
CLUSTER = 7


def value(name: str, state: str = "active", port: int = 7000, weight: float = 1.0) -> bytes:
    line = {
        "instanceId": name,
        "hostPort": f"127.0.0.1:{port}",
        "lifecycle": state,
        "weight": weight,
    }
    return json.dumps(line).encode()


def pair(name: str, revision: int = 1, data: bytes | None = b"-", **more: Any) -> KeyValue:
    return KeyValue(
        (PREFIX + name).encode(), value(name, **more) if data == b"-" else data, revision
    )


def follower(**changes: Any) -> Follower:
    values = {"endpoints": (("127.0.0.1", 1),), "prefix": PREFIX, "page": 3} | changes
    return Follower(EtcdSettings(**values), ListReader(config(1)).read_member, random.Random(1))


def header(revision: int, cluster: int = CLUSTER) -> Header:
    return Header(cluster, revision)


def started(*pairs: KeyValue, revision: int = 5, **changes: Any) -> Follower:
    made = follower(**changes)
    made.begin()
    made.on_page(RangePage(header(revision), list(pairs), False), 0.0)
    return made


def delivered(orders: list[Any]) -> DiscoveryUpdate:
    (told,) = [order.update for order in orders if isinstance(order, PublishUpdate)]
    return told


def names(told: DiscoveryUpdate, state: ServerState = ServerState.READY) -> list[str]:
    return sorted(member.name for member in told.endpoints if member.entry.state is state)


def test_pages_are_one_revision_and_handed_over_whole() -> None:
    made = follower()
    assert made.begin() == [FetchPage(b"/s/", 0, 3)]
    pages = [[pair("a"), pair("b"), pair("c")], [pair("d")]]
    assert made.on_page(RangePage(header(9), pages[0], True), 0.0) == [FetchPage(b"/s/c\0", 9, 3)]
    assert made.members == {}  # nothing of it yet
    orders = made.on_page(RangePage(header(12), pages[1], False), 0.0)
    told = delivered(orders)
    assert (told.kind, told.version, names(told)) == (UpdateKind.SNAPSHOT, 9, ["a", "b", "c", "d"])
    assert [type(order) for order in orders] == [
        PublishUpdate,
        ListConfirmed,
        OpenWatch,
    ] and orders[-1] == OpenWatch(10)


def test_changes_of_one_response_are_one_hand_over() -> None:
    made = started(pair("a"), pair("b"), pair("c"), pair("d"))
    events = [
        pair("a", 6, state="leaving"),
        pair("a", 7, state="active"),
        pair("e", 7),
        pair("b", 8, data=None),
        pair("a", 9, state="leaving"),
    ]
    told = delivered(made.on_watch_response(WatchResponse(header(9), events), 0.0))
    assert (told.kind, told.version) == (UpdateKind.DELTA, 9)
    assert names(told) == ["e"] and names(told, ServerState.DRAINING) == ["a"]
    assert names(told, ServerState.GONE) == ["b"]
    made.on_failure(Failure.UNREACHABLE)
    assert made.begin() == [OpenWatch(10)]  # where it stopped


def test_what_was_told_before_is_passed_over() -> None:
    made = started(pair("a"), revision=5)
    old = WatchResponse(header(5), [pair("a", 4, state="leaving"), pair("z", 5)])
    assert made.on_watch_response(old, 0.0) == []
    twice = WatchResponse(header(6), [pair("z", 6)])
    assert names(delivered(made.on_watch_response(twice, 0.0))) == ["z"]
    assert made.on_watch_response(twice, 0.0) == []


def test_fragments_count_with_the_last_one() -> None:
    made = started(pair("a"), pair("b"))
    assert (
        made.on_watch_response(
            WatchResponse(header(6), [pair("a", 6, state="leaving")], fragment=True), 0.0
        )
        == []
    )
    assert (
        made.on_watch_response(
            WatchResponse(header(6), [pair("b", 6, state="leaving")], fragment=True), 0.0
        )
        == []
    )
    # Cut off after the second: none of it holds, and all of it is asked for again.
    made.on_failure(Failure.UNREACHABLE)
    assert made.begin() == [OpenWatch(6)]
    assert (
        made.on_watch_response(
            WatchResponse(header(6), [pair("a", 6, state="leaving")], fragment=True), 0.0
        )
        == []
    )
    told = delivered(
        made.on_watch_response(WatchResponse(header(6), [pair("b", 6, state="leaving")]), 0.0)
    )
    assert names(told, ServerState.DRAINING) == ["a", "b"]


def test_a_stale_members_list_is_not_taken_and_the_next_is_asked() -> None:
    made = started(pair("a"), revision=50)
    made.on_failure(Failure.COMPACTED)
    assert made.begin() == [FetchPage(b"/s/", 0, 3)]
    report, wait = made.on_page(RangePage(header(49), [pair("old")], False), 0.0)
    assert isinstance(report, LogProblem) and "older than 50" in report.text
    assert isinstance(wait, Reconnect) and wait.next_member
    assert [member.name for member in made.published.values()] == ["a"]
    made.begin()
    assert names(
        delivered(made.on_page(RangePage(header(50), [pair("a"), pair("b")], False), 0.0))
    ) == [
        "a",
        "b",
    ]


def test_a_member_behind_in_its_progress_is_left() -> None:
    made = started(pair("a"), revision=50)
    assert made.on_progress(header(60)) == [ListConfirmed()]
    report, wait = made.on_progress(header(59))
    assert "behind 60" in report.text and wait.next_member  # type: ignore[union-attr]
    assert made.begin() == [OpenWatch(61)]


def test_another_cluster_is_another_history() -> None:
    made = started(pair("a"), pair("b"), revision=50)
    report, wait = made.on_watch_response(WatchResponse(header(3, cluster=8), [pair("x", 3)]), 0.0)
    assert "another cluster" in report.text and isinstance(wait, Reconnect)  # type: ignore[union-attr]
    assert made.begin() == [FetchPage(b"/s/", 0, 3)]
    orders = made.on_page(RangePage(header(3, cluster=8), [pair("x"), pair("y")], False), 0.0)
    assert isinstance(orders[0], LogProblem)
    assert names(delivered(orders)) == ["x", "y"] and orders[-1] == OpenWatch(4)


def test_a_cluster_that_changes_between_pages_begins_the_list_anew() -> None:
    made = follower()
    made.begin()
    made.on_page(RangePage(header(9), [pair("a"), pair("b"), pair("c")], True), 0.0)
    (wait,) = made.on_page(RangePage(header(9, cluster=8), [pair("d")], False), 0.0)
    assert isinstance(wait, Reconnect) and made.members == {} and made.phase is Phase.IDLE


def test_compacted_history_is_listed_again_even_in_the_list_that_follows() -> None:
    made = started(pair("a"), revision=5)
    report, _ = made.on_watch_response(
        WatchResponse(header(90), cancelled=True, compact_revision=80), 0.0
    )
    assert "80" in report.text  # type: ignore[union-attr]
    assert made.begin() == [FetchPage(b"/s/", 0, 3)]
    made.on_page(RangePage(header(90), [pair("a"), pair("b"), pair("c")], True), 0.0)
    made.on_failure(Failure.COMPACTED)
    assert made.begin() == [FetchPage(b"/s/", 0, 3)]
    assert names(delivered(made.on_page(RangePage(header(95), [pair("c")], False), 0.0))) == ["c"]


@pytest.mark.parametrize(
    "data",
    [b"", b"{", b"[]", b"[" * 9999, b"\xff", value("a", state="left"), b'{"instanceId":"a","hostPort":"x"}',
     value("a", weight=-1.0), b'{"hostPort":"127.0.0.1:1","lifecycle":"active"}', b"x" * (65 << 10)],
    ids=range(10),
)  # fmt: skip
def test_a_value_that_is_no_entry_costs_its_key_alone(data: bytes) -> None:
    made = started(pair("a"), pair("b"), revision=5)
    orders = made.on_watch_response(
        WatchResponse(header(6), [pair("a", 6, data=data), pair("c", 6, data=data)]), 0.0
    )
    reports = [order.text for order in orders if isinstance(order, LogProblem)]
    assert len(reports) == 2 and "kept as it was" in reports[0] and "left out" in reports[1]
    assert sorted(member.name for member in made.published.values()) == ["a", "b"]
    assert (
        made.on_watch_response(WatchResponse(header(7), [pair("a", 7, data=data)]), 0.0) == []
    )  # told once
    assert names(
        delivered(made.on_watch_response(WatchResponse(header(8), [pair("c", 8)]), 0.0))
    ) == ["c"]


def test_one_instance_under_two_keys_is_taken_from_the_first() -> None:
    made = started(pair("a"), revision=5)
    other = KeyValue(b"/s/copy", value("a", state="leaving"), 6)
    (report,) = made.on_watch_response(WatchResponse(header(6), [other]), 0.0)
    assert isinstance(report, LogProblem) and "another key" in report.text
    told = delivered(
        made.on_watch_response(WatchResponse(header(7), [KeyValue(b"/s/a", value("b"), 7)]), 0.0)
    )
    assert names(told) == ["b"] and names(told, ServerState.GONE) == ["a"]


def test_a_list_emptied_by_mistake_is_held_back_until_the_override() -> None:
    names_of = "abcdef"
    made = started(*(pair(name) for name in names_of))
    orders = made.on_watch_response(
        WatchResponse(header(6), [pair(name, 6, data=None) for name in names_of]), 1.0
    )
    (report,) = orders
    assert isinstance(report, LogProblem) and "only 0 of 6" in report.text
    # A drain and a new server count at once; what is missing stays.
    told = delivered(
        made.on_watch_response(
            WatchResponse(header(7), [pair("a", 7, state="leaving"), pair("z", 7)]), 2.0
        )
    )
    assert names(told) == ["z"] and names(told, ServerState.DRAINING) == ["a"]
    orders = made.on_watch_response(
        WatchResponse(header(8), [KeyValue(f"/s/{SHRINK_ALLOWED_KEY}".encode(), b"on", 8)]), 3.0
    )
    assert names(delivered(orders), ServerState.GONE) == list("bcdef")


def test_the_hold_ends_when_the_servers_are_back() -> None:
    made = started(*(pair(name) for name in "abcdef"))
    made.on_watch_response(
        WatchResponse(header(6), [pair(name, 6, data=None) for name in "abcde"]), 1.0
    )
    assert made.guard.holding
    orders = made.on_watch_response(
        WatchResponse(header(7), [pair(name, 7) for name in "abc"]), 2.0
    )
    assert not made.guard.holding and names(delivered(orders), ServerState.GONE) == ["d", "e"]


def test_the_guard_lets_small_fleets_and_slow_leaves_pass() -> None:
    guard = ShrinkGuard(0.5)
    assert guard.allows(MIN_GUARDED_SERVERS - 1, 0.0, False) and guard.allows(0, 1.0, False)
    guard = ShrinkGuard(0.5)
    for step in range(60):
        assert guard.allows(100 - step, step * COUNT_WINDOW_MS / 2, False)
    guard = ShrinkGuard(0.5)
    assert guard.allows(100, 0.0, False)
    assert [guard.allows(count, 10.0, False) for count in (60, 50, 49, 50)] == [
        True,
        True,
        False,
        True,
    ]
    assert len(guard.counts) < 10


def test_waits_grow_with_jitter_and_are_bounded() -> None:
    made = follower(retry_first_ms=50.0, retry_most_ms=1000.0)
    waits = []
    for _ in range(20):
        made.begin()
        (wait,) = made.on_failure(Failure.UNREACHABLE)
        assert isinstance(wait, Reconnect) and wait.next_member
        waits.append(wait.delay_ms)
    assert waits[0] < 75 and max(waits) <= 1500 and len(set(waits)) == 20


@settings(max_examples=300, deadline=None)
@given(st.data())
def test_whatever_the_order_the_list_in_the_end_is_etcds(data: Any) -> None:
    """A model of etcd's history; the follower is cut off, told twice, and made to list again at any
    point."""
    made, rng = follower(guard_share=0.0), random.Random(data.draw(st.integers(0, 1 << 30)))
    history: dict[int, list[KeyValue]] = {}
    state: dict[bytes, tuple[int, bytes]] = {}
    revision, given_to = 1, {}
    orders = made.begin()

    def take(found: list[Any]) -> None:
        for order in found:
            if isinstance(order, PublishUpdate):
                if order.update.kind is UpdateKind.SNAPSHOT:
                    given_to.clear()
                for member in order.update.endpoints:
                    given_to[member.name] = member.entry.state
                    if member.entry.state is ServerState.GONE:
                        del given_to[member.name]

    def listed() -> list[KeyValue]:
        return [KeyValue(key, value_, at) for key, (at, value_) in sorted(state.items())]

    for _ in range(data.draw(st.integers(1, 40))):
        step = rng.randrange(6)
        if step < 3:  # a transaction
            revision += 1
            chosen = rng.sample("abcde", rng.randrange(1, 4))
            history[revision] = [
                pair(name, revision, data=None) if rng.random() < 0.3 else
                pair(name, revision, state=rng.choice(("active", "leaving"))) for name in chosen
            ]  # fmt: skip
            for event in history[revision]:
                if event.value is None:
                    state.pop(event.key, None)
                else:
                    state[event.key] = (revision, event.value)
        elif (
            step == 3 and made.phase is Phase.WATCHING
        ):  # tell some of what is due, maybe cut, maybe twice
            upto = rng.randrange(made.revision, revision + 1)
            events = [e for r in range(made.revision + 1, upto + 1) for e in history.get(r, ())]
            cut = rng.randrange(len(events) + 1)
            if cut and rng.random() < 0.4:
                take(
                    made.on_watch_response(
                        WatchResponse(header(upto), events[:cut], fragment=True), 0.0
                    )
                )
                made.on_failure(Failure.UNREACHABLE)
                orders = made.begin()
            else:
                for _ in range(rng.randrange(1, 3)):
                    take(made.on_watch_response(WatchResponse(header(upto), events), 0.0))
        elif step == 4:
            made.on_failure(rng.choice(list(Failure)))
            orders = made.begin()
        elif made.phase is Phase.LISTING and isinstance(orders[-1], FetchPage):
            at, everything = revision, listed()
            page, rest = everything[:3], everything[3:]
            orders = made.on_page(RangePage(header(at), page, bool(rest)), 0.0)
            take(orders)
            while rest:
                page, rest = rest[:3], rest[3:]
                orders = made.on_page(RangePage(header(revision), page, bool(rest)), 0.0)
                take(orders)
    made.on_failure(Failure.COMPACTED)
    made.begin()
    take(made.on_page(RangePage(header(revision), listed(), False), 0.0))
    wanted = {key[len(PREFIX) :].decode() for key in state}
    assert set(given_to) == wanted == {member.name for member in made.published.values()}
    assert not made.kept_by_guard and not made.changed_ids


# The age of the list.


def test_a_list_ages_from_when_its_proof_was_asked_for() -> None:
    list_ = Freshness(FreshnessLimits(100.0, 300.0))
    assert (
        list_.state(0.0) is FreshnessState.STALE and list_.next_change(0.0) is None
    )  # never proven
    list_.proof(1000.0)
    assert [list_.state(1000.0 + age) for age in (0, 99.9, 100, 299.9, 300)] == [
        FreshnessState.FRESH, FreshnessState.FRESH, FreshnessState.DOUBTFUL, FreshnessState.DOUBTFUL, FreshnessState.STALE,
    ]  # fmt: skip
    assert (list_.next_change(1000.0), list_.next_change(1100.0), list_.next_change(1300.0)) == (
        1100.0,
        1300.0,
        None,
    )
    list_.proof(900.0)  # an older one changes nothing
    assert list_.age(1050.0) == 50.0
    list_.proof(1400.0)
    assert list_.state(1400.0) is FreshnessState.FRESH


@given(st.lists(st.tuples(st.booleans(), st.floats(0, 500)), max_size=30))
def test_the_state_changes_exactly_when_it_was_said(steps: list[tuple[bool, float]]) -> None:
    list_, now = Freshness(FreshnessLimits(100.0, 300.0)), 0.0
    for proof, passed in steps:
        due, before = list_.next_change(now), list_.state(now)
        now += passed
        if due is None or now < due:
            assert list_.state(now) is before
        else:
            assert list_.state(now) is not FreshnessState.FRESH
        if proof:
            list_.proof(now)
            assert list_.state(now) is FreshnessState.FRESH
