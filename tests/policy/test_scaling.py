"""The cost of an event must not grow with the number of endpoints or tenants.

This is the short form of benchmarks/scale, without a clock: the cost is a number of interpreter
instructions, so that a loop in a comprehension counts as well. Work in C code is counted by a list
that counts the entries copied by its slices, and by a dict that counts the deleted entries before
its first one.
"""

from __future__ import annotations

import random
import sys
from collections import OrderedDict
from collections.abc import Callable, Iterator
from dataclasses import replace
from types import FrameType
from typing import Any

import pytest

from badgercart.policy import endpoints as endpoints_module
from badgercart.policy import selection, subset
from badgercart.policy.actions import Send
from badgercart.policy.endpoint import Endpoint, EndpointState, EndpointStatistics
from badgercart.policy.events import (
    AttemptEnded,
    AttemptResult,
    ClusterView,
    EndpointUpdate,
    Event,
    Request,
    RequestCancelled,
    SettingsChanged,
    UpdateKind,
)
from badgercart.policy.hash_ring import VIRTUAL_NODES
from badgercart.policy.hashing import mix_hash
from badgercart.policy.overload import REFRESH_INTERVAL_MS
from badgercart.policy.policy import Policy
from badgercart.policy.quotas import TenantQuotas
from badgercart.policy.refresh import HALF_LIFE_MS
from badgercart.policy.settings import Idempotency, RequestClass, Settings
from benchmarks.scale.fit import Point, fit

ENDPOINT_COUNTS = (200, 400, 800, 1600, 3200)
# Largest exponent of the cost that counts as constant: a binary search may add that much over these
# sizes. A loop over all endpoints has an exponent of 1.
MAX_FLAT_EXPONENT = 0.15


class SliceCountingList(list[int]):
    """A list that counts the entries copied by its slices."""

    copied = 0

    def __getitem__(self, at: Any) -> Any:
        found = super().__getitem__(at)
        SliceCountingList.copied += len(found) if isinstance(at, slice) else 0
        return found


class DeletionCountingDict(OrderedDict[int, None]):
    """Counts the deleted entries that a plain dict skips to find its first entry."""

    skipped = deleted = 0

    def __iter__(self) -> Iterator[int]:
        DeletionCountingDict.skipped += DeletionCountingDict.deleted
        return super().__iter__()

    def __delitem__(self, key: int) -> None:
        DeletionCountingDict.deleted += 1
        super().__delitem__(key)


def handling_cost(policy: Policy, now: float, event: Event) -> int:
    """Return the number of interpreter instructions that the policy needs for an event."""
    return count_instructions(lambda: policy.handle(now, event))


def count_instructions(call: Callable[[], Any]) -> int:
    executed = 0

    def trace(frame: FrameType, what: str, argument: Any) -> Any:
        nonlocal executed
        frame.f_trace_opcodes = True
        frame.f_trace_lines = False
        executed += what == "opcode"
        return trace

    before = sys.gettrace()
    sys.settrace(trace)
    try:
        call()
    finally:
        sys.settrace(before)
    return executed


def entries(count: int) -> list[Endpoint]:
    return [entry(number) for number in range(count)]


def entry(number: int, state: EndpointState = EndpointState.READY) -> Endpoint:
    return Endpoint(mix_hash(number + 1), number % 3, number % 2, 0, state, 1.0 + number % 2, 0.0)


def fleet(endpoint_count: int = 20, tenants: int = 0, nodes: int = 1, **changes: Any) -> Policy:
    """Return a policy that has its endpoints, with all virtual nodes placed."""
    classes = (RequestClass(400.0, 1000.0, 1.0, Idempotency.IDEMPOTENT),)
    quotas = (50.0,) * tenants
    settings = Settings(
        classes,
        cluster_size=nodes,
        node_index=nodes // 2,
        quotas_per_s=quotas,
        max_attempts=3,
        **changes,
    )
    policy = Policy(settings, 1)
    policy.handle(1.0, EndpointUpdate(UpdateKind.SNAPSHOT, 1, entries(endpoint_count)))
    while policy.fleet.virtual_nodes.pending:
        policy.fleet.virtual_nodes.place(1 << 30)
    return policy


def serve(policy: Policy, now: float, requests: int, first: int = 1) -> float:
    """Send requests 1 ms apart, each of them served at once, and return the time after them."""
    for number in range(first, first + requests):
        now += 1.0
        for action in policy.handle(now, Request(number, 0, now + 1000.0)):
            if isinstance(action, Send):
                policy.handle(
                    now,
                    AttemptEnded(
                        number, action.endpoint_id, True, AttemptResult.OK, 0, 20.0 + number % 3
                    ),
                )
    return now


def assert_flat(cost: Callable[[int], int], sizes: tuple[int, ...]) -> None:
    points: list[Point] = [(size, cost(size)) for size in sizes]
    slope = fit(points)
    assert slope.exponent < MAX_FLAT_EXPONENT, (str(slope), points)


def nodes_for(endpoint_count: int) -> int:
    """Return a number of nodes with which a subset keeps its size and is one of over 64."""
    return endpoint_count * 3 // 4


def test_the_cost_measure_detects_a_loop_over_all_endpoints() -> None:
    """Otherwise a constant cost would prove nothing."""

    class LoopingPolicy(Policy):
        def refresh(self, now_ms: float) -> None:
            super().refresh(now_ms)
            self.scanned = [
                server.recent_attempts for server in self.fleet.endpoints.by_id.values()
            ]

    def cost(endpoint_count: int) -> int:
        policy = fleet(endpoint_count)
        policy.__class__ = LoopingPolicy
        return handling_cost(policy, 100.0, Request(1, 0, 1100.0))

    with pytest.raises(AssertionError):
        assert_flat(cost, ENDPOINT_COUNTS)


def test_a_refresh_needs_no_scan_of_all_tenants() -> None:
    def cost(tenants: int) -> int:
        policy = fleet(tenants=tenants)
        policy.handle(10.0, Request(1, 0, 1000.0, tenant=3))
        return handling_cost(policy, 10.0 + REFRESH_INTERVAL_MS, Request(2, 0, 1100.0, tenant=3))

    assert_flat(cost, (100, 1000, 10_000))


def test_buckets_are_kept_only_for_tenants_with_recent_requests() -> None:
    policy = fleet(tenants=1000)
    assert policy.quotas.buckets == {}
    for number in range(50):
        policy.handle(10.0, Request(number, 0, 1000.0, tenant=number * 7))
    assert len(policy.quotas.buckets) == 50
    policy.handle(3000.0, Request(90, 0, 4000.0, tenant=999))
    policy.handle(3001.0, ClusterView(1, 0, 2))
    assert policy.quotas.buckets.keys() == {999}
    for number in range(3000):
        policy.handle(3001.0 + number, Request(100 + number, 0, 9000.0, tenant=number % 1000))
    assert len(policy.quotas.buckets) == 1000  # at most one per tenant
    policy.handle(6001.0, SettingsChanged(policy.settings, frozenset({0})))
    assert 0 < len(policy.quotas.buckets) < 100  # those that are not empty yet
    settings = Settings(policy.settings.classes, quotas_per_s=(50.0,) * 10)
    policy.handle(6002.0, SettingsChanged(settings, frozenset({0})))
    # There is no bucket of a removed tenant.
    assert all(tenant < 10 for tenant in policy.quotas.buckets)


class EagerQuotas(TenantQuotas):
    """Reference implementation in which each refresh updates the buckets of all tenants."""

    def __init__(self) -> None:
        super().__init__()
        self.levels: list[float] = []

    def apply_settings(self, event: SettingsChanged) -> None:
        super().apply_settings(event)
        tenants = len(event.settings.quotas_per_s)
        self.levels = (self.levels + [0.0] * tenants)[:tenants]
        for i in event.reset_tenants:
            self.levels[i] = 0.0

    def leak(self, passed_ms: float) -> None:
        used = zip(self.levels, self.quotas_per_s, self.divisors, strict=True)
        self.levels = [
            max(0.0, count - quota * (passed_ms / 1000 / by)) for count, quota, by in used
        ]
        super().leak(passed_ms)

    def level(self, tenant: int) -> float:
        lazy = super().level(tenant)
        assert lazy == pytest.approx(self.levels[tenant], abs=1e-6)
        return self.levels[tenant]

    def admit(self, tenant: int) -> bool:
        level, admitted = self.levels[tenant], super().admit(tenant)
        self.levels[tenant] += not level > self.quotas_per_s[tenant] / self.divisors[tenant]
        return admitted


def eager_policy(settings: Settings, seed: int) -> Policy:
    policy, all_classes = Policy(settings, seed), frozenset(range(len(settings.classes)))
    policy.quotas = EagerQuotas()
    policy.quotas.apply_settings(SettingsChanged(settings, all_classes, all_classes))
    policy.quotas.divide(policy.fleet.cluster.view)
    return policy


def test_buckets_updated_on_access_decide_as_those_updated_at_each_refresh() -> None:
    seeds_over_quota = 0
    for seed in range(20):
        rng = random.Random(seed)
        tenants = rng.choice((1, 3, 8))

        def random_settings(count: int, rng: random.Random = rng) -> Settings:
            quotas = tuple([rng.choice((0.0, 0.7, 3.1, 20.3, 90.7)) for _ in range(count)])
            classes = (RequestClass(400.0, 1000.0, 1.0, Idempotency.IDEMPOTENT),)
            return Settings(
                classes, quotas_per_s=quotas, over_quota_weight=0.3, max_retry_after_ms=1000.0
            )

        settings = random_settings(tenants)
        lazy, eager = Policy(settings, seed), eager_policy(settings, seed)
        now = 50_000.0 * rng.choice((0, 1))
        for number in range(600):
            now += rng.choice((0.0, rng.uniform(0, 30), rng.uniform(0, 30), rng.uniform(0, 3000)))
            what = rng.random()
            event: Event = Request(number, 0, now + 900.0, tenant=rng.randrange(tenants))
            if what < 0.02:
                event = EndpointUpdate(UpdateKind.SNAPSHOT, 1, entries(rng.randrange(1, 9)))
            elif what < 0.06:
                quota_shares = tuple([rng.uniform(0.1, 1.0) for _ in range(tenants)])
                event = ClusterView(3, 1, 3, rng.choice(((), quota_shares)))
            elif what < 0.08:
                tenants = rng.choice((1, 3, 8))
                settings = random_settings(tenants)
                reset_tenants = frozenset(i for i in range(tenants) if rng.random() < 0.3)
                event = SettingsChanged(settings, frozenset({0}), reset_tenants=reset_tenants)
            assert lazy.handle(now, event) == eager.handle(now, event)
            assert lazy.priority.offered == eager.priority.offered
        seeds_over_quota += lazy.priority.offered[1] > 1.0
    assert seeds_over_quota > 10  # requests beyond their quota occurred as well


@pytest.mark.parametrize("alone", [True, False])
def test_a_changed_endpoint_needs_no_scan_of_all_endpoints(alone: bool) -> None:
    """In a subset this holds after the latency ratios of all kinds of machine have changed, too.

    On a single node such a change concerns the virtual nodes of all endpoints of a kind.
    """

    def cost(endpoint_count: int) -> int:
        policy = fleet(endpoint_count, nodes=1 if alone else nodes_for(endpoint_count))
        now = 1.0 if alone else serve(policy, 1.0, 50)
        now = serve(policy, now, 1, 1000)
        return handling_cost(
            policy, now, EndpointUpdate(UpdateKind.DELTA, 2, [entry(0, EndpointState.DRAINING)])
        )

    assert_flat(cost, ENDPOINT_COUNTS if alone else ENDPOINT_COUNTS[2:] + (6400,))


def test_incremental_virtual_nodes_of_a_subset_equal_a_full_computation() -> None:
    """They do so while sizes, latency ratios and the subset change."""
    rng, checked = random.Random(5), 0
    endpoint_count, nodes = 800, 600
    policy = fleet(endpoint_count, nodes=nodes, key_affinity=True)
    assert policy.fleet.subset.groups > subset.SMALL_PART_GROUPS
    now = 1.0
    for step in range(60):
        now = serve(policy, now + rng.choice((0.0, 6000.0)), 5, 1 + 10 * step)
        policy.fleet.latency.kind_ratios[step % 2] = rng.uniform(0.5, 2.0)
        updates = [
            entry(
                rng.randrange(endpoint_count),
                rng.choice((EndpointState.READY, EndpointState.DRAINING)),
            )
            for _ in range(3)
        ]
        policy.handle(now, EndpointUpdate(UpdateKind.DELTA, 2, updates))
        while policy.fleet.virtual_nodes.pending:
            policy.fleet.virtual_nodes.place(1 << 30)
        weights = {
            i: policy.fleet.capacity.weight(policy.fleet.endpoints.by_id[i].endpoint)
            for i in policy.fleet.subset.endpoint_ids
        }
        due = {i: int(VIRTUAL_NODES * weights[i]) + 1 for i in policy.fleet.subset.endpoint_ids}
        ring = sorted(
            (mix_hash(i * 1000003 + point), i) for i, count in due.items() for point in range(count)
        )
        assert (
            policy.fleet.virtual_nodes.counts == due
            and policy.fleet.virtual_nodes.ring.virtual_nodes() == ring
        )
        if step == 30:  # one group and back: the size indexes know the scale in between
            policy.handle(now, ClusterView(1, 0, 1))
            while policy.fleet.virtual_nodes.pending:
                policy.fleet.virtual_nodes.place(1 << 30)
            assert policy.fleet.subset.groups == 1 and len(
                policy.fleet.virtual_nodes.counts
            ) == len(policy.fleet.endpoints.ready)
            policy.handle(now, ClusterView(nodes, nodes // 2, nodes))
        checked += len(due)
    assert checked > 300


def test_one_group_after_many_has_virtual_nodes_by_the_present_ratios() -> None:
    policy = fleet(800, nodes=600)
    before = dict(policy.fleet.latency.kind_ratios)
    policy.fleet.latency.kind_ratios.update({0: 1.7, 1: 0.6})
    policy.handle(2.0, EndpointUpdate(UpdateKind.DELTA, 2, [entry(0, EndpointState.DRAINING)]))
    policy.handle(3.0, ClusterView(1, 0, 1))
    while policy.fleet.virtual_nodes.pending:
        policy.fleet.virtual_nodes.place(1 << 30)
    policy.fleet.latency.kind_ratios.clear()
    policy.fleet.latency.kind_ratios.update(before)
    policy.handle(4.0, EndpointUpdate(UpdateKind.DELTA, 3, [entry(0)]))
    while policy.fleet.virtual_nodes.pending:
        policy.fleet.virtual_nodes.place(1 << 30)
    weights = {
        i: policy.fleet.capacity.weight(policy.fleet.endpoints.by_id[i].endpoint)
        for i in policy.fleet.endpoints.ready
    }
    due = {i: int(VIRTUAL_NODES * weights[i]) + 1 for i in policy.fleet.endpoints.ready}
    assert policy.fleet.subset.groups == 1 and policy.fleet.virtual_nodes.counts == due


def test_nothing_copies_the_list_of_all_endpoints() -> None:
    """Neither an update of one endpoint, nor a selection from all endpoints, nor fallbacks do."""

    def cost(endpoint_count: int) -> int:
        policy = fleet(endpoint_count)
        hanging = list(policy.fleet.endpoints.ready)[1:]
        policy.fleet.endpoints.ready = policy.fleet.subset.endpoint_ids = SliceCountingList(
            policy.fleet.endpoints.ready
        )
        SliceCountingList.copied = 0
        policy.handle(2.0, EndpointUpdate(UpdateKind.DELTA, 2, [entry(0, EndpointState.DRAINING)]))
        assert isinstance(policy.fleet.endpoints.ready, SliceCountingList)
        policy.handle(3.0, Request(1, 0, 1000.0, max_fallbacks=2))
        # With overdue attempts on all other endpoints, the selection considers all of them.
        for endpoint_id in hanging:
            policy.fleet.endpoints.by_id[endpoint_id].open_attempts[0, 0] = (
                policy.lifecycle.requests[1],
                0.0,
            )
        policy.handle(4.0, Request(2, 0, 1000.0, max_fallbacks=2))
        return SliceCountingList.copied

    assert [cost(endpoint_count) for endpoint_count in ENDPOINT_COUNTS[:3]] == [0, 0, 0]


def test_a_copy_of_the_list_is_counted() -> None:
    SliceCountingList.copied = 0
    assert SliceCountingList([1, 2, 3])[1:] == [2, 3] and SliceCountingList.copied == 2


@pytest.mark.parametrize("size", [1, 7, 200])
def test_candidates_end_with_all_endpoints_from_a_random_one_on(size: int) -> None:
    """They are in the order of the ready endpoints, and wrap around at the end."""
    policy = fleet(size)
    for _ in range(20):
        state = policy.random.getstate()
        drawn = list(policy.selector.candidates(0))[-size:]
        policy.random.setstate(state)
        for _ in range(2 * min(selection.CANDIDATE_COUNT, 6)):
            policy.random.random()
        at = policy.fleet.endpoints.ready.index(drawn[0])
        assert drawn == policy.fleet.endpoints.ready[at:] + policy.fleet.endpoints.ready[:at]


def test_virtual_nodes_are_placed_without_skipping_deleted_entries() -> None:
    """A plain dict takes longer to find its first entry with each entry deleted before it."""

    def cost(endpoint_count: int) -> int:
        policy = fleet(20)
        policy.fleet.virtual_nodes.pending = DeletionCountingDict(
            policy.fleet.virtual_nodes.pending
        )
        DeletionCountingDict.skipped = DeletionCountingDict.deleted = 0
        policy.handle(2.0, EndpointUpdate(UpdateKind.SNAPSHOT, 2, entries(endpoint_count)))
        assert (
            isinstance(policy.fleet.virtual_nodes.pending, DeletionCountingDict)
            and policy.fleet.virtual_nodes.pending
        )
        events = 0
        while policy.fleet.virtual_nodes.pending:
            policy.fleet.virtual_nodes.place(256)
            events += 1
        return (DeletionCountingDict.skipped + 1) // events + 1

    assert_flat(cost, ENDPOINT_COUNTS)


def test_new_settings_need_no_scan_of_endpoints_that_they_do_not_concern() -> None:
    def cost(endpoint_count: int) -> int:
        policy = fleet(endpoint_count)
        return handling_cost(policy, 2.0, SettingsChanged(policy.settings, frozenset({0})))

    assert_flat(cost, ENDPOINT_COUNTS)


def test_classes_and_tenants_in_use_are_known_without_a_scan_of_all_endpoints() -> None:
    def cost(endpoint_count: int) -> int:
        policy = fleet(endpoint_count, tenants=9)
        (sent,) = policy.handle(2.0, Request(1, 0, 1000.0, tenant=7))
        assert isinstance(sent, Send)
        policy.handle(3.0, RequestCancelled(1))  # the attempt is still open
        policy.handle(
            4.0,
            EndpointUpdate(
                UpdateKind.DELTA, 2, [replace_state(policy, sent.endpoint_id, EndpointState.GONE)]
            ),
        )
        assert policy.lifecycle.active_use() == ({0}, {7})
        policy.handle(5.0, AttemptEnded(1, sent.endpoint_id, True, AttemptResult.OK, 0, 3.0))
        assert policy.lifecycle.active_use() == (set(), set())
        return count_instructions(policy.lifecycle.active_use)

    assert_flat(cost, ENDPOINT_COUNTS)


def replace_state(policy: Policy, endpoint_id: int, state: EndpointState) -> Endpoint:
    return replace(policy.fleet.endpoints.by_id[endpoint_id].endpoint, state=state)


def test_a_halving_scans_only_the_endpoints_with_recent_attempts() -> None:
    def cost(endpoint_count: int) -> int:
        policy = fleet(endpoint_count, nodes=nodes_for(endpoint_count))
        now = serve(policy, 10.0, 20)
        return handling_cost(
            policy, now + HALF_LIFE_MS, Request(5000, 0, now + HALF_LIFE_MS + 1000.0)
        )

    assert_flat(cost, ENDPOINT_COUNTS[2:] + (6400,))


class ScanningPolicy(Policy):
    """Reference implementation that halves the counts of all endpoints."""

    def refresh(self, now_ms: float) -> None:
        self.fleet.endpoints.active = set(self.fleet.endpoints.by_id)
        super().refresh(now_ms)


def test_halving_of_active_endpoints_equals_halving_of_all() -> None:
    """The values are exactly equal, also after restarts and with restored endpoints."""
    for seed in range(5):
        rng = random.Random(seed)
        settings = Settings(
            (RequestClass(400.0, 1000.0, 1.0, Idempotency.IDEMPOTENT),), max_attempts=3
        )
        policies = Policy(settings, seed), ScanningPolicy(settings, seed)
        for policy in policies:
            policy.fleet.endpoints.restorable = {
                entry(i).id: EndpointStatistics(0.0, 3.0, 9.0, (0.1,), (0.0,))
                for i in range(40, 50)
            }
        now, halvings, open_attempts = 10.0, 0, []
        for step in range(1, 900):
            now += rng.choice((1.0, 20.0, 300.0))
            event: Event = Request(step, 0, now + 1000.0)
            if step == 1 or rng.random() < 0.1:
                updates = [
                    entry(rng.randrange(50), rng.choice((EndpointState.READY, EndpointState.GONE)))
                    for _ in range(5)
                ]
                event = EndpointUpdate(UpdateKind.DELTA, 2, updates)
            elif open_attempts and rng.random() < 0.5:
                number, endpoint_id = open_attempts.pop(rng.randrange(len(open_attempts)))
                event = AttemptEnded(
                    number, endpoint_id, True, AttemptResult.OK, 0, rng.uniform(5.0, 90.0)
                )
            before = policies[0].schedule.halved_at_ms
            actions, others = (policy.handle(now, event) for policy in policies)
            assert actions == others
            open_attempts += [
                (action.id, action.endpoint_id) for action in actions if isinstance(action, Send)
            ]
            halvings += policies[0].schedule.halved_at_ms != before
            values = [
                {
                    i: (s.recent_attempts, s.relative_latency)
                    for i, s in policy.fleet.endpoints.by_id.items()
                }
                for policy in policies
            ]
            assert values[0] == values[1]
        assert halvings > 5 and len(policies[0].fleet.endpoints.active) <= 50


def test_a_long_list_of_changes_hashes_only_the_added_endpoints(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def cost(endpoint_count: int) -> int:
        policy = fleet(endpoint_count)
        calls = 0

        def counted(number: int) -> int:
            nonlocal calls
            calls += 1
            return mix_hash(number)

        updates = [entry(number, EndpointState.DRAINING) for number in range(70)]
        updates += [entry(endpoint_count + number) for number in range(70)]
        monkeypatch.setattr(policy.fleet, "refresh", lambda limit, now_ms: None)
        monkeypatch.setattr(endpoints_module, "mix_hash", counted)
        policy.handle(2.0, EndpointUpdate(UpdateKind.DELTA, 2, updates))
        monkeypatch.setattr(endpoints_module, "mix_hash", mix_hash)
        assert (
            policy.fleet.endpoints.ready == sorted(policy.fleet.endpoints.ready, key=mix_hash)
            and len(policy.fleet.endpoints.ready) == endpoint_count
        )
        assert policy.fleet.endpoints.hashes == [
            mix_hash(endpoint_id) for endpoint_id in policy.fleet.endpoints.ready
        ]
        return calls

    assert [cost(endpoint_count) for endpoint_count in ENDPOINT_COUNTS[:3]] == [70, 70, 70]
