"""The fleet's incremental values equal a full computation after each update and refresh."""

from __future__ import annotations

import random
from bisect import bisect
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from badgercart.policy.actions import Send
from badgercart.policy.capacity import SizeIndex
from badgercart.policy.endpoint import Endpoint, EndpointState
from badgercart.policy.events import (
    AttemptEnded,
    AttemptResult,
    EndpointUpdate,
    Request,
    TimerFired,
    UpdateKind,
)
from badgercart.policy.fleet import Fleet
from badgercart.policy.hash_ring import (
    BLOCK_SIZE,
    VIRTUAL_NODES,
    HashRing,
)
from badgercart.policy.hashing import HASH_MASK, mix_hash
from badgercart.policy.overload import BURST_FULL, BURST_MIN
from badgercart.policy.policy import Policy
from badgercart.policy.settings import Idempotency, RequestClass, Settings
from badgercart.policy.subset import MIN_REQUESTS_PER_ENDPOINT, MIN_SUBSET_SIZE, NODES_PER_GROUP

CLASSES = (
    RequestClass(400.0, 1000.0, 1.0, Idempotency.IDEMPOTENT),
    RequestClass(400.0, 1000.0, 8.0, Idempotency.KEYED, deduplication_window_ms=6000.0),
)


class FullComputation:
    """Reference implementation that computes all values of the fleet from all endpoints."""

    def __init__(self, policy: Policy, strongest: float) -> None:
        settings, servers = policy.settings, policy.fleet.endpoints.by_id
        self.ready = sorted(
            (i for i, s in servers.items() if s.endpoint.state is EndpointState.READY), key=mix_hash
        )
        ready = [servers[i] for i in self.ready]
        sparse = policy.overload.concurrency.limit < MIN_REQUESTS_PER_ENDPOINT * len(ready)
        groups = (
            max(1, min(settings.cluster_size // NODES_PER_GROUP, len(ready) // MIN_SUBSET_SIZE))
            if sparse
            else 1
        )
        group = settings.node_index * groups // settings.cluster_size
        self.start = group * len(ready) // groups
        self.size = max(1, (group + 1) * len(ready) // groups - self.start)
        self.endpoint_ids = self.ready[self.start : self.start + self.size]
        usable_shares = [
            sum(h.ejected_until_ms == 0 for h in s.health) / len(s.health) for s in ready
        ]
        shares = [
            policy.fleet.slow_start.capacity_share(s.endpoint, policy.now_ms) * part
            for s, part in zip(ready, usable_shares, strict=True)
        ]
        self.available_capacity = max(sum(shares), 1.0)

        def weight(server: Any, strongest: float) -> float:
            return float(
                server.endpoint.size
                / policy.fleet.latency.kind_ratios.get(server.endpoint.kind, 1.0)
                / strongest
            )

        self.strongest = strongest * (
            max((weight(s, strongest) for s in ready), default=1.0) or 1.0
        )
        mean_size = sum(s.endpoint.size for s in ready) / max(1, len(ready))
        self.slots = (mean_size if 0.5 <= mean_size <= 8 else 1.0) / settings.cluster_size
        self.mean_weight = sum(weight(s, self.strongest) for s in ready) / max(1, len(ready))
        counts = {
            i: int(VIRTUAL_NODES * weight(servers[i], self.strongest)) + 1
            for i in self.endpoint_ids
        }
        self.ring = sorted(
            (mix_hash(i * 1000003 + point), i)
            for i in self.endpoint_ids
            for point in range(counts[i])
        )

    def endpoint_of(self, key: int, number: int) -> int:
        position = bisect(self.ring, (mix_hash(key + number * 0x632BE59BD9B4E019 & HASH_MASK), 0))
        return self.ring[position % len(self.ring)][1]


class CheckedFleet(Fleet):
    """A fleet that compares each refresh with a full computation."""

    policy: Policy
    checks = 0

    def refresh(self, concurrency_limit: float, now_ms: float) -> None:
        before = self.capacity.strongest
        super().refresh(concurrency_limit, now_ms)
        full, subset, nodes = FullComputation(self.policy, before), self.subset, self.virtual_nodes
        assert (self.endpoints.ready, subset.start, subset.size, subset.endpoint_ids) == (
            full.ready,
            full.start,
            full.size,
            full.endpoint_ids,
        )
        for name, incremental, computed in (
            ("available", self.available_capacity, full.available_capacity),
            ("strongest", self.capacity.strongest, full.strongest),
            ("slots", self.capacity.slots_per_endpoint, full.slots),
            ("mean", self.capacity.mean_weight, full.mean_weight),
        ):
            assert incremental == pytest.approx(computed, rel=1e-12), name
        while nodes.pending:
            nodes.place(1 << 30)
        assert nodes.ring.virtual_nodes() == full.ring
        assert nodes.counts.keys() == set(subset.endpoint_ids)
        if subset.endpoint_ids:
            assert all(
                nodes.endpoint_of(key, 0) == full.endpoint_of(key, 0) for key in range(1, 40)
            )
        CheckedFleet.checks += 1


def checked_policy(settings: Settings, seed: int) -> Policy:
    policy = Policy(settings, seed)
    policy.fleet.__class__ = CheckedFleet
    policy.fleet.policy = policy  # type: ignore[attr-defined]
    return policy


def test_incremental_values_equal_a_full_computation_through_random_events() -> None:
    for seed in range(60):
        rng = random.Random(seed)
        nodes = rng.choice((1, 3, 30))
        policy = checked_policy(
            Settings(
                classes=CLASSES,
                cluster_size=nodes,
                node_index=rng.randrange(nodes),
                key_affinity=True,
                max_attempts=3,
                slow_start_min_capacity=0.3,
                slow_start_duration_ms=3000.0,
            ),
            seed,
        )
        now, number, open_attempts = 50_000.0, 0, []
        fleet: dict[int, Endpoint] = {}
        for _ in range(120):
            now += rng.choice((0.0, 10.0, 400.0, 6000.0))
            if rng.random() < 0.4:
                changed = {}
                for _ in range(rng.choice((1, 1, 3, 90))):
                    server = rng.randrange(1, 200)
                    state = rng.choice(
                        (
                            EndpointState.READY,
                            EndpointState.READY,
                            EndpointState.READY,
                            EndpointState.DRAINING,
                            EndpointState.GONE,
                        )
                    )
                    started = rng.choice((0.0, 0.0, now - 500.0))
                    size = rng.choice((0.0, 1.0, 2.0, 3.0, rng.uniform(0.5, 9)))
                    changed[server] = Endpoint(
                        server, server % 2, server % 3, 0, state, size, started
                    )
                kind = rng.choice(
                    (
                        UpdateKind.DELTA,
                        UpdateKind.DELTA,
                        UpdateKind.DELTA,
                        UpdateKind.SNAPSHOT,
                        UpdateKind.CACHED,
                    )
                )
                policy.handle(now, EndpointUpdate(kind, 1, list(changed.values())))
            else:
                number += 1
                cls = rng.randrange(2)
                open_attempts += [
                    (number, action.endpoint_id, cls)
                    for action in policy.handle(
                        now, Request(number, cls, now + 900, rng.randrange(1, 50))
                    )
                    if isinstance(action, Send)
                ]
                if open_attempts and rng.random() < 0.8:
                    request_id, server, _ = open_attempts.pop(rng.randrange(len(open_attempts)))
                    result = rng.choice(
                        (
                            AttemptResult.OK,
                            AttemptResult.OK,
                            AttemptResult.OK,
                            AttemptResult.ERROR,
                            AttemptResult.TIMEOUT,
                        )
                    )
                    policy.handle(
                        now, AttemptEnded(request_id, server, True, result, 0, rng.uniform(5, 600))
                    )
        assert fleet == {}
    assert CheckedFleet.checks > 2000


def test_a_long_endpoint_list_is_placed_over_several_events() -> None:
    policy = Policy(Settings(classes=CLASSES, key_affinity=True), 1)
    entries = [
        Endpoint(i, 0, i % 2, 0, EndpointState.READY, 1.0 + i % 7, 0.0) for i in range(1, 2001)
    ]
    policy.handle(0.0, EndpointUpdate(UpdateKind.SNAPSHOT, 1, entries))
    assert policy.fleet.virtual_nodes.pending and policy.fleet.virtual_nodes.ring.blocks
    # Requests use the virtual nodes that are placed so far.
    assert isinstance(policy.handle(1.0, Request(1, 0, 900.0, key=5))[-1], Send)
    event_count = 0
    while policy.fleet.virtual_nodes.pending:
        policy.handle(2.0, TimerFired(0))
        event_count += 1
    assert event_count > 10
    assert (
        policy.fleet.virtual_nodes.ring.virtual_nodes()
        == FullComputation(policy, policy.fleet.capacity.strongest).ring
    )


def test_a_key_uses_no_removed_endpoint_although_its_virtual_nodes_remain() -> None:
    """If an update removes many endpoints, their virtual nodes are removed with later events."""
    for state in (EndpointState.DRAINING, EndpointState.GONE):
        policy = Policy(Settings(CLASSES, key_affinity=True, max_attempts=3), 1)
        entries = [Endpoint(i, 0, 0, 0, EndpointState.READY, 2.0, 0.0) for i in range(1, 1001)]
        policy.handle(0.0, EndpointUpdate(UpdateKind.SNAPSHOT, 1, entries))
        while policy.fleet.virtual_nodes.pending:
            policy.fleet.virtual_nodes.place(1 << 30)
        removed = [Endpoint(i, 0, 0, 0, state, 2.0, 0.0) for i in range(1, 901)]
        policy.handle(1.0, EndpointUpdate(UpdateKind.DELTA, 2, removed))
        assert policy.fleet.virtual_nodes.pending and any(
            i <= 900 for _, i in policy.fleet.virtual_nodes.ring.virtual_nodes()
        )
        chosen = []
        for number in range(1, 41):
            for action in policy.handle(2.0, Request(number, 0, 900.0, key=number * 7919)):
                assert isinstance(action, Send)
                chosen.append(action.endpoint_id)
                policy.handle(
                    2.0, AttemptEnded(number, action.endpoint_id, True, AttemptResult.OK, 0, 20.0)
                )
        assert len(chosen) == 40 and min(chosen) > 900


@settings(max_examples=200, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 300), st.integers(1, 5)), max_size=400), st.randoms())
def test_a_ring_equals_a_sorted_list(points: list[tuple[int, int]], rng: random.Random) -> None:
    ring, plain = HashRing(), sorted(set(points))
    half = len(plain) // 2
    shuffled = rng.sample(plain, len(plain))
    ring.extend(shuffled[:half])
    ring.extend(shuffled[half:])
    for point in shuffled[::3]:
        ring.remove(point)
        plain.remove(point)
    assert ring.virtual_nodes() == plain and len(ring) == len(plain)
    assert all(0 < len(block) < 2 * BLOCK_SIZE for block in ring.blocks)
    if plain:
        for position in range(0, 310, 7):
            expected = plain[bisect(plain, (position, 0)) % len(plain)][1]
            assert ring.successor(position) == expected


@settings(max_examples=200, deadline=None)
@given(st.lists(st.floats(0, 10), max_size=300), st.floats(0.1, 5), st.floats(0.1, 5))
def test_a_size_index_finds_all_changed_levels(sizes: list[float], old: float, new: float) -> None:
    index, largest = SizeIndex(), max([*sizes, 1.0])
    index.add([(size, number) for number, size in enumerate(sizes)])

    def level(scale: float) -> Any:
        return lambda size: int(VIRTUAL_NODES * (size / largest * min(1.0, scale / 5)))

    assert index.level_changes((old, 1.0), level(old), VIRTUAL_NODES) == []
    changed = set(index.level_changes((new, 1.0), level(new), VIRTUAL_NODES))
    assert (
        changed >= {n for n, size in enumerate(sizes) if level(old)(size) != level(new)(size)}
        or old == new
    )
    assert index.total == pytest.approx(sum(sizes)) and index.largest == max(sizes, default=0.0)


def policy_with_endpoints(starting: int, warm: int, cluster_size: int = 2) -> Policy:
    """Return a policy with this many endpoints that have just started and this many warm ones."""
    policy = Policy(
        Settings(
            (RequestClass(600.0, 1500.0, 1.0, Idempotency.IDEMPOTENT),),
            cluster_size=cluster_size,
            slow_start_min_capacity=0.3,
            slow_start_duration_ms=8000.0,
        ),
        3,
    )
    entries = [
        Endpoint(n + 1, 0, 0, 0, EndpointState.READY, 3.0, 1000.0 if n < starting else 0.0)
        for n in range(starting + warm)
    ]
    policy.handle(1000.0, EndpointUpdate(UpdateKind.SNAPSHOT, 1, entries))
    return policy


def sent(policy: Policy, requests: int, now: float = 1001.0, first: int = 1) -> list[Send]:
    """Return the attempts that are sent for this many requests at one moment."""
    actions = [
        action
        for number in range(requests)
        for action in policy.handle(now, Request(first + number, 0, now + 1400.0))
    ]
    return [action for action in actions if isinstance(action, Send)]


def test_a_fleet_in_slow_start_gets_attempts_by_size_and_by_responses() -> None:
    policy = policy_with_endpoints(10, 0)
    first = [action.endpoint_id for action in sent(policy, 200)]
    # With two nodes and three slots per endpoint, this node has one open attempt at each endpoint,
    # or as many as the tokens allow.
    assert 10 <= len(first) <= 25 and max(map(first.count, first)) <= 2
    again = sent(policy, 200, 1002.0, 500)
    assert len(again) < 5  # there was no response in between


def test_a_starting_endpoint_among_warm_ones_waits_for_its_tokens() -> None:
    policy = policy_with_endpoints(2, 10)
    chosen = sent(policy, 40)
    assert len(chosen) == 40 and sum(action.endpoint_id <= 2 for action in chosen) <= 2


def test_capacity_in_slow_start_grows_between_updates() -> None:
    policy = policy_with_endpoints(10, 0)
    before = policy.fleet.available_capacity
    for step in range(20):
        policy.handle(1000.0 + 100.0 * step, Request(step + 1, 0, 5000.0))
    assert before == pytest.approx(3.0) and policy.fleet.available_capacity == pytest.approx(
        10 * (0.3 + 0.7 * 1900 / 8000)
    )


def test_a_burst_after_a_pause_is_limited_and_later_requests_are_accepted() -> None:
    """A paused node gets the requests of the pause all at once, which would overload the fleet."""
    policy = policy_with_endpoints(0, 10)  # 30 slots for two nodes: the limit is 15
    first = sent(policy, 200)
    assert BURST_MIN * 15 < len(first) <= BURST_FULL * 15 + 1
    for action in first:
        policy.handle(
            1040.0, AttemptEnded(action.id, action.endpoint_id, True, AttemptResult.OK, 0, 30.0)
        )
    assert policy.overload.concurrency.current == 0 and len(sent(policy, 10, 1041.0, 500)) == 10


def test_shedding_everything_with_idle_endpoints_ends_sooner() -> None:
    """Errors of an overload must not shed everything long after it: no attempt can show its end."""
    policy = policy_with_endpoints(0, 10)
    policy.overload.error_rate.failures, policy.overload.error_rate.attempts = 25.0, 30.0
    now, opened = 1001.0, 0.0
    for step in range(200):
        now += 10.0
        policy.handle(now, Request(1000 + step, 0, now + 1400.0))
        opened = opened or (now if policy.overload.level < 1.0 else 0.0)
    assert 0 < opened < 1400.0
