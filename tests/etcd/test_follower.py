"""The etcd follower and the freshness of a list, without I/O.

The tests pass responses to the follower and check what it trusts, publishes and requests next.
"""

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
from badgercart.policy.endpoint import EndpointState
from badgercart.policy.events import UpdateKind
from tests.net import config

PREFIX = "/s/"
CLUSTER = 7


def entry_json(name: str, state: str = "active", port: int = 7000, weight: float = 1.0) -> bytes:
    entry = {
        "instanceId": name,
        "hostPort": f"127.0.0.1:{port}",
        "lifecycle": state,
        "weight": weight,
    }
    return json.dumps(entry).encode()


def key_value(name: str, revision: int = 1, data: bytes | None = b"-", **more: Any) -> KeyValue:
    return KeyValue(
        (PREFIX + name).encode(), entry_json(name, **more) if data == b"-" else data, revision
    )


def new_follower(**changes: Any) -> Follower:
    values = {"endpoints": (("127.0.0.1", 1),), "prefix": PREFIX, "page": 3} | changes
    return Follower(EtcdSettings(**values), ListReader(config(1)).read_entry, random.Random(1))


def header(revision: int, cluster: int = CLUSTER) -> Header:
    return Header(cluster, revision)


def follower_with_list(*pairs: KeyValue, revision: int = 5, **changes: Any) -> Follower:
    follower = new_follower(**changes)
    follower.begin()
    follower.on_page(RangePage(header(revision), list(pairs), False), 0.0)
    return follower


def published_update(actions: list[Any]) -> DiscoveryUpdate:
    (update,) = [action.update for action in actions if isinstance(action, PublishUpdate)]
    return update


def names_in_state(
    update: DiscoveryUpdate, state: EndpointState = EndpointState.READY
) -> list[str]:
    return sorted(member.name for member in update.endpoints if member.entry.state is state)


def test_all_pages_are_of_one_revision_and_published_as_one_snapshot() -> None:
    follower = new_follower()
    assert follower.begin() == [FetchPage(b"/s/", 0, 3)]
    pages = [[key_value("a"), key_value("b"), key_value("c")], [key_value("d")]]
    assert follower.on_page(RangePage(header(9), pages[0], True), 0.0) == [
        FetchPage(b"/s/c\0", 9, 3)
    ]
    # Nothing is applied before the last page.
    assert follower.members == {}
    actions = follower.on_page(RangePage(header(12), pages[1], False), 0.0)
    update = published_update(actions)
    assert (update.kind, update.version, names_in_state(update)) == (
        UpdateKind.SNAPSHOT,
        9,
        ["a", "b", "c", "d"],
    )
    assert [type(action) for action in actions] == [
        PublishUpdate,
        ListConfirmed,
        OpenWatch,
    ] and actions[-1] == OpenWatch(10)


def test_the_changes_of_one_response_are_one_update() -> None:
    follower = follower_with_list(key_value("a"), key_value("b"), key_value("c"), key_value("d"))
    events = [
        key_value("a", 6, state="leaving"),
        key_value("a", 7, state="active"),
        key_value("e", 7),
        key_value("b", 8, data=None),
        key_value("a", 9, state="leaving"),
    ]
    update = published_update(follower.on_watch_response(WatchResponse(header(9), events), 0.0))
    assert (update.kind, update.version) == (UpdateKind.DELTA, 9)
    assert names_in_state(update) == ["e"] and names_in_state(update, EndpointState.DRAINING) == [
        "a"
    ]
    assert names_in_state(update, EndpointState.GONE) == ["b"]
    follower.on_failure(Failure.UNREACHABLE)
    # The watch resumes after the last revision.
    assert follower.begin() == [OpenWatch(10)]


def test_duplicate_events_are_ignored() -> None:
    follower = follower_with_list(key_value("a"), revision=5)
    old = WatchResponse(header(5), [key_value("a", 4, state="leaving"), key_value("z", 5)])
    assert follower.on_watch_response(old, 0.0) == []
    twice = WatchResponse(header(6), [key_value("z", 6)])
    assert names_in_state(published_update(follower.on_watch_response(twice, 0.0))) == ["z"]
    assert follower.on_watch_response(twice, 0.0) == []


def test_fragments_are_applied_with_the_last_one() -> None:
    follower = follower_with_list(key_value("a"), key_value("b"))
    assert (
        follower.on_watch_response(
            WatchResponse(header(6), [key_value("a", 6, state="leaving")], fragment=True), 0.0
        )
        == []
    )
    assert (
        follower.on_watch_response(
            WatchResponse(header(6), [key_value("b", 6, state="leaving")], fragment=True), 0.0
        )
        == []
    )
    # The stream breaks after the second: both are discarded and requested again.
    follower.on_failure(Failure.UNREACHABLE)
    assert follower.begin() == [OpenWatch(6)]
    assert (
        follower.on_watch_response(
            WatchResponse(header(6), [key_value("a", 6, state="leaving")], fragment=True), 0.0
        )
        == []
    )
    update = published_update(
        follower.on_watch_response(
            WatchResponse(header(6), [key_value("b", 6, state="leaving")]), 0.0
        )
    )
    assert names_in_state(update, EndpointState.DRAINING) == ["a", "b"]


def test_the_list_of_a_stale_member_is_discarded_and_the_next_member_is_asked() -> None:
    follower = follower_with_list(key_value("a"), revision=50)
    follower.on_failure(Failure.COMPACTED)
    assert follower.begin() == [FetchPage(b"/s/", 0, 3)]
    problem, reconnect = follower.on_page(RangePage(header(49), [key_value("old")], False), 0.0)
    assert isinstance(problem, LogProblem) and "older than 50" in problem.text
    assert isinstance(reconnect, Reconnect) and reconnect.next_member
    assert [member.name for member in follower.published.values()] == ["a"]
    follower.begin()
    assert names_in_state(
        published_update(
            follower.on_page(RangePage(header(50), [key_value("a"), key_value("b")], False), 0.0)
        )
    ) == [
        "a",
        "b",
    ]


def test_a_member_whose_progress_is_behind_is_left() -> None:
    follower = follower_with_list(key_value("a"), revision=50)
    assert follower.on_progress(header(60)) == [ListConfirmed()]
    problem, reconnect = follower.on_progress(header(59))
    assert "behind 60" in problem.text and reconnect.next_member  # type: ignore[union-attr]
    assert follower.begin() == [OpenWatch(61)]


def test_the_history_of_another_cluster_is_listed_again() -> None:
    follower = follower_with_list(key_value("a"), key_value("b"), revision=50)
    problem, reconnect = follower.on_watch_response(
        WatchResponse(header(3, cluster=8), [key_value("x", 3)]), 0.0
    )
    assert "another cluster" in problem.text and isinstance(reconnect, Reconnect)  # type: ignore[union-attr]
    assert follower.begin() == [FetchPage(b"/s/", 0, 3)]
    actions = follower.on_page(
        RangePage(header(3, cluster=8), [key_value("x"), key_value("y")], False), 0.0
    )
    assert isinstance(actions[0], LogProblem)
    assert names_in_state(published_update(actions)) == ["x", "y"] and actions[-1] == OpenWatch(4)


def test_a_list_starts_again_where_the_cluster_changes_between_pages() -> None:
    follower = new_follower()
    follower.begin()
    follower.on_page(
        RangePage(header(9), [key_value("a"), key_value("b"), key_value("c")], True), 0.0
    )
    (reconnect,) = follower.on_page(RangePage(header(9, cluster=8), [key_value("d")], False), 0.0)
    assert (
        isinstance(reconnect, Reconnect) and follower.members == {} and follower.phase is Phase.IDLE
    )


def test_a_compaction_causes_a_new_list_in_the_watch_and_between_pages() -> None:
    follower = follower_with_list(key_value("a"), revision=5)
    problem, _ = follower.on_watch_response(
        WatchResponse(header(90), cancelled=True, compact_revision=80), 0.0
    )
    assert "80" in problem.text  # type: ignore[union-attr]
    assert follower.begin() == [FetchPage(b"/s/", 0, 3)]
    follower.on_page(
        RangePage(header(90), [key_value("a"), key_value("b"), key_value("c")], True), 0.0
    )
    follower.on_failure(Failure.COMPACTED)
    assert follower.begin() == [FetchPage(b"/s/", 0, 3)]
    assert names_in_state(
        published_update(follower.on_page(RangePage(header(95), [key_value("c")], False), 0.0))
    ) == ["c"]


@pytest.mark.parametrize(
    "data",
    [b"", b"{", b"[]", b"[" * 9999, b"\xff", entry_json("a", state="left"), b'{"instanceId":"a","hostPort":"x"}',
     entry_json("a", weight=-1.0), b'{"hostPort":"127.0.0.1:1","lifecycle":"active"}', b"x" * (65 << 10)],
    ids=range(10),
)  # fmt: skip
def test_an_invalid_value_affects_its_key_alone(data: bytes) -> None:
    follower = follower_with_list(key_value("a"), key_value("b"), revision=5)
    actions = follower.on_watch_response(
        WatchResponse(header(6), [key_value("a", 6, data=data), key_value("c", 6, data=data)]), 0.0
    )
    texts = [action.text for action in actions if isinstance(action, LogProblem)]
    assert len(texts) == 2 and "kept as it was" in texts[0] and "left out" in texts[1]
    assert sorted(member.name for member in follower.published.values()) == ["a", "b"]
    # The same fault is reported once.
    assert (
        follower.on_watch_response(WatchResponse(header(7), [key_value("a", 7, data=data)]), 0.0)
        == []
    )
    assert names_in_state(
        published_update(
            follower.on_watch_response(WatchResponse(header(8), [key_value("c", 8)]), 0.0)
        )
    ) == ["c"]


def test_of_one_instance_under_two_keys_the_first_is_kept() -> None:
    follower = follower_with_list(key_value("a"), revision=5)
    other = KeyValue(b"/s/copy", entry_json("a", state="leaving"), 6)
    (problem,) = follower.on_watch_response(WatchResponse(header(6), [other]), 0.0)
    assert isinstance(problem, LogProblem) and "another key" in problem.text
    update = published_update(
        follower.on_watch_response(
            WatchResponse(header(7), [KeyValue(b"/s/a", entry_json("b"), 7)]), 0.0
        )
    )
    assert names_in_state(update) == ["b"] and names_in_state(update, EndpointState.GONE) == ["a"]


def test_an_emptied_list_is_held_back_until_the_override() -> None:
    server_names = "abcdef"
    follower = follower_with_list(*(key_value(name) for name in server_names))
    actions = follower.on_watch_response(
        WatchResponse(header(6), [key_value(name, 6, data=None) for name in server_names]), 1.0
    )
    (problem,) = actions
    assert isinstance(problem, LogProblem) and "only 0 of 6" in problem.text
    # A drain and a new server take effect at once; missing servers are kept.
    update = published_update(
        follower.on_watch_response(
            WatchResponse(header(7), [key_value("a", 7, state="leaving"), key_value("z", 7)]), 2.0
        )
    )
    assert names_in_state(update) == ["z"] and names_in_state(update, EndpointState.DRAINING) == [
        "a"
    ]
    actions = follower.on_watch_response(
        WatchResponse(header(8), [KeyValue(f"/s/{SHRINK_ALLOWED_KEY}".encode(), b"on", 8)]), 3.0
    )
    assert names_in_state(published_update(actions), EndpointState.GONE) == list("bcdef")


def test_the_hold_ends_when_the_servers_are_back() -> None:
    follower = follower_with_list(*(key_value(name) for name in "abcdef"))
    follower.on_watch_response(
        WatchResponse(header(6), [key_value(name, 6, data=None) for name in "abcde"]), 1.0
    )
    assert follower.guard.holding
    actions = follower.on_watch_response(
        WatchResponse(header(7), [key_value(name, 7) for name in "abc"]), 2.0
    )
    assert not follower.guard.holding and names_in_state(
        published_update(actions), EndpointState.GONE
    ) == ["d", "e"]


def test_the_guard_allows_small_fleets_and_slow_changes() -> None:
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


def test_retry_delays_grow_with_jitter_up_to_a_limit() -> None:
    follower = new_follower(retry_first_ms=50.0, retry_most_ms=1000.0)
    delays_ms = []
    for _ in range(20):
        follower.begin()
        (reconnect,) = follower.on_failure(Failure.UNREACHABLE)
        assert isinstance(reconnect, Reconnect) and reconnect.next_member
        delays_ms.append(reconnect.delay_ms)
    assert delays_ms[0] < 75 and max(delays_ms) <= 1500 and len(set(delays_ms)) == 20


@settings(max_examples=300, deadline=None)
@given(st.data())
def test_whatever_the_order_of_events_the_list_ends_as_etcds(data: Any) -> None:
    """Compare the follower with a model of etcd's history.

    Its streams break, events are repeated, and it has to list again, at any point.
    """
    follower, rng = new_follower(guard_share=0.0), random.Random(data.draw(st.integers(0, 1 << 30)))
    history: dict[int, list[KeyValue]] = {}
    etcd_state: dict[bytes, tuple[int, bytes]] = {}
    revision, published = 1, {}
    actions = follower.begin()

    def apply(found: list[Any]) -> None:
        for action in found:
            if isinstance(action, PublishUpdate):
                if action.update.kind is UpdateKind.SNAPSHOT:
                    published.clear()
                for member in action.update.endpoints:
                    published[member.name] = member.entry.state
                    if member.entry.state is EndpointState.GONE:
                        del published[member.name]

    def listed() -> list[KeyValue]:
        return [KeyValue(key, value, at) for key, (at, value) in sorted(etcd_state.items())]

    for _ in range(data.draw(st.integers(1, 40))):
        step = rng.randrange(6)
        if step < 3:
            # A transaction.
            revision += 1
            chosen = rng.sample("abcde", rng.randrange(1, 4))
            history[revision] = [
                key_value(name, revision, data=None) if rng.random() < 0.3 else
                key_value(name, revision, state=rng.choice(("active", "leaving"))) for name in chosen
            ]  # fmt: skip
            for event in history[revision]:
                if event.value is None:
                    etcd_state.pop(event.key, None)
                else:
                    etcd_state[event.key] = (revision, event.value)
        elif step == 3 and follower.phase is Phase.WATCHING:
            # Some of the due events, perhaps cut off within a response, perhaps sent twice.
            last_revision = rng.randrange(follower.revision, revision + 1)
            events = [
                event
                for at in range(follower.revision + 1, last_revision + 1)
                for event in history.get(at, ())
            ]
            cut = rng.randrange(len(events) + 1)
            if cut and rng.random() < 0.4:
                apply(
                    follower.on_watch_response(
                        WatchResponse(header(last_revision), events[:cut], fragment=True), 0.0
                    )
                )
                follower.on_failure(Failure.UNREACHABLE)
                actions = follower.begin()
            else:
                for _ in range(rng.randrange(1, 3)):
                    apply(
                        follower.on_watch_response(
                            WatchResponse(header(last_revision), events), 0.0
                        )
                    )
        elif step == 4:
            follower.on_failure(rng.choice(list(Failure)))
            actions = follower.begin()
        elif follower.phase is Phase.LISTING and isinstance(actions[-1], FetchPage):
            at, everything = revision, listed()
            page, rest = everything[:3], everything[3:]
            actions = follower.on_page(RangePage(header(at), page, bool(rest)), 0.0)
            apply(actions)
            while rest:
                page, rest = rest[:3], rest[3:]
                actions = follower.on_page(RangePage(header(revision), page, bool(rest)), 0.0)
                apply(actions)
    follower.on_failure(Failure.COMPACTED)
    follower.begin()
    apply(follower.on_page(RangePage(header(revision), listed(), False), 0.0))
    expected = {key[len(PREFIX) :].decode() for key in etcd_state}
    assert set(published) == expected == {member.name for member in follower.published.values()}
    assert not follower.kept_by_guard and not follower.changed_ids


# The freshness of a list.


def test_a_list_ages_from_when_its_proof_was_requested() -> None:
    freshness = Freshness(FreshnessLimits(100.0, 300.0))
    # There is no proof yet.
    assert freshness.state(0.0) is FreshnessState.STALE and freshness.next_change(0.0) is None
    freshness.proof(1000.0)
    assert [freshness.state(1000.0 + age) for age in (0, 99.9, 100, 299.9, 300)] == [
        FreshnessState.FRESH, FreshnessState.FRESH, FreshnessState.DOUBTFUL, FreshnessState.DOUBTFUL, FreshnessState.STALE,
    ]  # fmt: skip
    assert (
        freshness.next_change(1000.0),
        freshness.next_change(1100.0),
        freshness.next_change(1300.0),
    ) == (
        1100.0,
        1300.0,
        None,
    )
    # An older proof changes nothing.
    freshness.proof(900.0)
    assert freshness.age(1050.0) == 50.0
    freshness.proof(1400.0)
    assert freshness.state(1400.0) is FreshnessState.FRESH


@given(st.lists(st.tuples(st.booleans(), st.floats(0, 500)), max_size=30))
def test_the_state_changes_exactly_when_next_change_says(steps: list[tuple[bool, float]]) -> None:
    freshness, now = Freshness(FreshnessLimits(100.0, 300.0)), 0.0
    for is_proof, elapsed in steps:
        due, before = freshness.next_change(now), freshness.state(now)
        now += elapsed
        if due is None or now < due:
            assert freshness.state(now) is before
        else:
            assert freshness.state(now) is not FreshnessState.FRESH
        if is_proof:
            freshness.proof(now)
            assert freshness.state(now) is FreshnessState.FRESH
