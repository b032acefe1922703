"""What has to stay flat as the fleet and its tenants grow, by counts: steps of the module, entries
touched.

The short form of benchmarks/scale: no clock. Steps are the interpreter's, so that a loop in a
comprehension counts as well; what C code walks through is counted by lists that tell of their
slices and by a dict that tells of the dead entries in front of its first.
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

SERVERS = (200, 400, 800, 1600, 3200)
FLAT = 0.15  # exponent: what a search by halves may add over these sizes; a look at all would be 1


class Slices(list[int]):
    """Counts the entries that slices of it copy."""

    copied = 0

    def __getitem__(self, at: Any) -> Any:
        found = super().__getitem__(at)
        Slices.copied += len(found) if isinstance(at, slice) else 0
        return found


class Dead(OrderedDict[int, None]):
    """Counts what a plain dict walks over to find its first entry: those deleted in front of it."""

    walked = deleted = 0

    def __iter__(self) -> Iterator[int]:
        Dead.walked += Dead.deleted
        return super().__iter__()

    def __delitem__(self, key: int) -> None:
        Dead.deleted += 1
        super().__delitem__(key)


def steps(policy: Policy, now: float, event: Event) -> int:
    """How many of the interpreter's steps the module takes to handle an event."""
    return count(lambda: policy.handle(now, event))


def count(call: Callable[[], Any]) -> int:
    taken = 0

    def step(frame: FrameType, what: str, argument: Any) -> Any:
        nonlocal taken
        frame.f_trace_opcodes = True
        frame.f_trace_lines = False
        taken += what == "opcode"
        return step

    before = sys.gettrace()
    sys.settrace(step)
    try:
        call()
    finally:
        sys.settrace(before)
    return taken


def entries(count: int) -> list[Endpoint]:
    return [entry(number) for number in range(count)]


def entry(number: int, state: EndpointState = EndpointState.READY) -> Endpoint:
    return Endpoint(mix_hash(number + 1), number % 3, number % 2, 0, state, 1.0 + number % 2, 0.0)


def fleet(servers: int = 20, tenants: int = 0, nodes: int = 1, **changes: Any) -> Policy:
    """A policy that has its list, with all points placed."""
    terms = (RequestClass(400.0, 1000.0, 1.0, Idempotency.IDEMPOTENT),)
    quotas = (50.0,) * tenants
    settings = Settings(
        terms,
        cluster_size=nodes,
        node_index=nodes // 2,
        quotas_per_s=quotas,
        max_attempts=3,
        **changes,
    )
    policy = Policy(settings, 1)
    policy.handle(1.0, EndpointUpdate(UpdateKind.SNAPSHOT, 1, entries(servers)))
    while policy.fleet.virtual_nodes.pending:
        policy.fleet.virtual_nodes.place(1 << 30)
    return policy


def serve(policy: Policy, now: float, requests: int, first: int = 1) -> float:
    """Requests 1 ms apart, each served at once; the time after them."""
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


def is_flat(cost: Callable[[int], int], sizes: tuple[int, ...]) -> None:
    points: list[Point] = [(size, cost(size)) for size in sizes]
    slope = fit(points)
    assert slope.exponent < FLAT, (str(slope), points)


def nodes_for(servers: int) -> int:
    """So many that a node's subset stays as large, and is one of over 64."""
    return servers * 3 // 4


def test_the_measure_tells_a_loop_over_all_from_none() -> None:
    """Else a flat slope would prove nothing."""

    class Looping(Policy):
        def refresh(self, now_ms: float) -> None:
            super().refresh(now_ms)
            self.looked = [server.recent_attempts for server in self.fleet.endpoints.by_id.values()]

    def cost(servers: int) -> int:
        policy = fleet(servers)
        policy.__class__ = Looping
        return steps(policy, 100.0, Request(1, 0, 1100.0))

    with pytest.raises(AssertionError):
        is_flat(cost, SERVERS)


def test_upkeep_costs_no_look_at_all_tenants() -> None:
    def cost(tenants: int) -> int:
        policy = fleet(tenants=tenants)
        policy.handle(10.0, Request(1, 0, 1000.0, tenant=3))
        return steps(policy, 10.0 + REFRESH_INTERVAL_MS, Request(2, 0, 1100.0, tenant=3))

    is_flat(cost, (100, 1000, 10_000))


def test_buckets_are_kept_for_tenants_with_something_in_them() -> None:
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
    assert len(policy.quotas.buckets) == 1000  # at most one a tenant
    policy.handle(6001.0, SettingsChanged(policy.settings, frozenset({0})))
    assert 0 < len(policy.quotas.buckets) < 100  # those with something in them yet
    settings = Settings(policy.settings.classes, quotas_per_s=(50.0,) * 10)
    policy.handle(6002.0, SettingsChanged(settings, frozenset({0})))
    assert all(
        tenant < 10 for tenant in policy.quotas.buckets
    )  # none of a tenant that is none any longer


class EagerQuotas(TenantQuotas):
    """With buckets as they were: all of them leak with each refresh, if only by nothing."""

    def __init__(self) -> None:
        super().__init__()
        self.full: list[float] = []

    def apply_settings(self, event: SettingsChanged) -> None:
        super().apply_settings(event)
        tenants = len(event.settings.quotas_per_s)
        self.full = (self.full + [0.0] * tenants)[:tenants]
        for i in event.reset_tenants:
            self.full[i] = 0.0

    def leak(self, passed_ms: float) -> None:
        used = zip(self.full, self.quotas_per_s, self.divisors, strict=True)
        self.full = [max(0.0, count - quota * (passed_ms / 1000 / by)) for count, quota, by in used]
        super().leak(passed_ms)

    def level(self, tenant: int) -> float:
        lazy = super().level(tenant)
        assert lazy == pytest.approx(self.full[tenant], abs=1e-6)
        return self.full[tenant]

    def admit(self, tenant: int) -> bool:
        held, admitted = self.full[tenant], super().admit(tenant)
        self.full[tenant] += not held > self.quotas_per_s[tenant] / self.divisors[tenant]
        return admitted


def eager_policy(settings: Settings, seed: int) -> Policy:
    policy, every = Policy(settings, seed), frozenset(range(len(settings.classes)))
    policy.quotas = EagerQuotas()
    policy.quotas.apply_settings(SettingsChanged(settings, every, every))
    policy.quotas.divide(policy.fleet.cluster.view)
    return policy


def test_buckets_that_leak_when_looked_at_decide_as_those_that_leak_all_along() -> None:
    beyond = 0
    for seed in range(20):
        rng = random.Random(seed)
        tenants = rng.choice((1, 3, 8))

        def terms(count: int, rng: random.Random = rng) -> Settings:
            quotas = tuple([rng.choice((0.0, 0.7, 3.1, 20.3, 90.7)) for _ in range(count)])
            classes = (RequestClass(400.0, 1000.0, 1.0, Idempotency.IDEMPOTENT),)
            return Settings(
                classes, quotas_per_s=quotas, over_quota_weight=0.3, max_retry_after_ms=1000.0
            )

        settings = terms(tenants)
        lazy, eager = Policy(settings, seed), eager_policy(settings, seed)
        now = 50_000.0 * rng.choice((0, 1))
        for number in range(600):
            now += rng.choice((0.0, rng.uniform(0, 30), rng.uniform(0, 30), rng.uniform(0, 3000)))
            what = rng.random()
            event: Event = Request(number, 0, now + 900.0, tenant=rng.randrange(tenants))
            if what < 0.02:
                event = EndpointUpdate(UpdateKind.SNAPSHOT, 1, entries(rng.randrange(1, 9)))
            elif what < 0.06:
                parts = tuple([rng.uniform(0.1, 1.0) for _ in range(tenants)])
                event = ClusterView(3, 1, 3, rng.choice(((), parts)))
            elif what < 0.08:
                tenants = rng.choice((1, 3, 8))
                settings = terms(tenants)
                fresh = frozenset(i for i in range(tenants) if rng.random() < 0.3)
                event = SettingsChanged(settings, frozenset({0}), reset_tenants=fresh)
            assert lazy.handle(now, event) == eager.handle(now, event)
            assert lazy.priority.offered == eager.priority.offered
        beyond += lazy.priority.offered[1] > 1.0
    assert beyond > 10  # some were beyond their quota: the other half of the rule was met, too


@pytest.mark.parametrize("alone", [True, False])
def test_a_changed_line_costs_no_look_at_all_servers(alone: bool) -> None:
    """In a subset also where what was learned meanwhile has moved the paces of all kinds of
    machines; alone that changes the points of all servers of a kind, which are all its own."""

    def cost(servers: int) -> int:
        policy = fleet(servers, nodes=1 if alone else nodes_for(servers))
        now = 1.0 if alone else serve(policy, 1.0, 50)
        now = serve(policy, now, 1, 1000)
        return steps(
            policy, now, EndpointUpdate(UpdateKind.DELTA, 2, [entry(0, EndpointState.DRAINING)])
        )

    is_flat(cost, SERVERS if alone else SERVERS[2:] + (6400,))


def test_the_points_of_a_subset_are_those_of_a_look_at_it() -> None:
    """While sizes, paces and the subset change: against what each server of it is due."""
    rng, placed = random.Random(5), 0
    servers, nodes = 800, 600
    policy = fleet(servers, nodes=nodes, key_affinity=True)
    assert policy.fleet.subset.groups > subset.SMALL_PART_GROUPS
    now = 1.0
    for turn in range(60):
        now = serve(policy, now + rng.choice((0.0, 6000.0)), 5, 1 + 10 * turn)
        policy.fleet.latency.kind_ratios[turn % 2] = rng.uniform(0.5, 2.0)
        told = [
            entry(rng.randrange(servers), rng.choice((EndpointState.READY, EndpointState.DRAINING)))
            for _ in range(3)
        ]
        policy.handle(now, EndpointUpdate(UpdateKind.DELTA, 2, told))
        while policy.fleet.virtual_nodes.pending:
            policy.fleet.virtual_nodes.place(1 << 30)
        strength = {
            i: policy.fleet.capacity.weight(policy.fleet.endpoints.by_id[i].endpoint)
            for i in policy.fleet.subset.endpoint_ids
        }
        due = {i: int(VIRTUAL_NODES * strength[i]) + 1 for i in policy.fleet.subset.endpoint_ids}
        ring = sorted(
            (mix_hash(i * 1000003 + point), i) for i, count in due.items() for point in range(count)
        )
        assert (
            policy.fleet.virtual_nodes.counts == due
            and policy.fleet.virtual_nodes.ring.virtual_nodes() == ring
        )
        if turn == 30:  # one group, and back: what was looked at meanwhile by sizes is known
            policy.handle(now, ClusterView(1, 0, 1))
            while policy.fleet.virtual_nodes.pending:
                policy.fleet.virtual_nodes.place(1 << 30)
            assert policy.fleet.subset.groups == 1 and len(
                policy.fleet.virtual_nodes.counts
            ) == len(policy.fleet.endpoints.ready)
            policy.handle(now, ClusterView(nodes, nodes // 2, nodes))
        placed += len(due)
    assert placed > 300


def test_one_group_after_many_has_all_points_by_the_paces_of_then() -> None:
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
    strength = {
        i: policy.fleet.capacity.weight(policy.fleet.endpoints.by_id[i].endpoint)
        for i in policy.fleet.endpoints.ready
    }
    due = {i: int(VIRTUAL_NODES * strength[i]) + 1 for i in policy.fleet.endpoints.ready}
    assert policy.fleet.subset.groups == 1 and policy.fleet.virtual_nodes.counts == due


def test_nothing_copies_the_list_of_all_servers() -> None:
    """Neither a changed line of one node before all servers, nor a draw that goes on, nor
    fallbacks."""

    def cost(servers: int) -> int:
        policy = fleet(servers)
        hung = list(policy.fleet.endpoints.ready)[1:]
        policy.fleet.endpoints.ready = policy.fleet.subset.endpoint_ids = Slices(
            policy.fleet.endpoints.ready
        )
        Slices.copied = 0
        policy.handle(2.0, EndpointUpdate(UpdateKind.DELTA, 2, [entry(0, EndpointState.DRAINING)]))
        assert isinstance(policy.fleet.endpoints.ready, Slices)
        policy.handle(3.0, Request(1, 0, 1000.0, max_fallbacks=2))
        for server_id in hung:
            policy.fleet.endpoints.by_id[server_id].open_attempts[0, 0] = (
                policy.lifecycle.requests[1],
                0.0,
            )  # draws go to the end
        policy.handle(4.0, Request(2, 0, 1000.0, max_fallbacks=2))
        return Slices.copied

    assert [cost(servers) for servers in SERVERS[:3]] == [0, 0, 0]


def test_a_copy_of_the_list_would_be_seen() -> None:
    Slices.copied = 0
    assert Slices([1, 2, 3])[1:] == [2, 3] and Slices.copied == 2


@pytest.mark.parametrize("size", [1, 7, 200])
def test_a_draw_ends_with_all_servers_from_a_random_one_on(size: int) -> None:
    """As slices gave them: from the start to the end, and round to it."""
    policy = fleet(size)
    for _ in range(20):
        state = policy.random.getstate()
        drawn = list(policy.selector.candidates(0))[-size:]
        policy.random.setstate(state)
        for _ in range(2 * min(selection.CANDIDATE_COUNT, 6)):
            policy.random.random()
        at = policy.fleet.endpoints.ready.index(drawn[0])
        assert drawn == policy.fleet.endpoints.ready[at:] + policy.fleet.endpoints.ready[:at]


def test_points_are_placed_without_a_walk_over_those_that_were() -> None:
    """A dict finds its first entry ever later as entries in front are deleted."""

    def cost(servers: int) -> int:
        policy = fleet(20)
        policy.fleet.virtual_nodes.pending = Dead(policy.fleet.virtual_nodes.pending)
        Dead.walked = Dead.deleted = 0
        policy.handle(2.0, EndpointUpdate(UpdateKind.SNAPSHOT, 2, entries(servers)))
        assert (
            isinstance(policy.fleet.virtual_nodes.pending, Dead)
            and policy.fleet.virtual_nodes.pending
        )
        events = 0
        while policy.fleet.virtual_nodes.pending:
            policy.fleet.virtual_nodes.place(256)
            events += 1
        return (Dead.walked + 1) // events + 1

    is_flat(cost, SERVERS)


def test_new_settings_cost_no_look_at_servers_they_do_not_touch() -> None:
    def cost(servers: int) -> int:
        policy = fleet(servers)
        return steps(policy, 2.0, SettingsChanged(policy.settings, frozenset({0})))

    is_flat(cost, SERVERS)


def test_who_is_busy_is_known_without_a_look_at_all_servers() -> None:
    def cost(servers: int) -> int:
        policy = fleet(servers, tenants=9)
        (sent,) = policy.handle(2.0, Request(1, 0, 1000.0, tenant=7))
        assert isinstance(sent, Send)
        policy.handle(3.0, RequestCancelled(1))  # the attempt is out still
        policy.handle(
            4.0,
            EndpointUpdate(
                UpdateKind.DELTA, 2, [replace_state(policy, sent.endpoint_id, EndpointState.GONE)]
            ),
        )
        assert policy.lifecycle.active_use() == ({0}, {7})
        policy.handle(5.0, AttemptEnded(1, sent.endpoint_id, True, AttemptResult.OK, 0, 3.0))
        assert policy.lifecycle.active_use() == (set(), set())
        return count(policy.lifecycle.active_use)

    is_flat(cost, SERVERS)


def replace_state(policy: Policy, server_id: int, state: EndpointState) -> Endpoint:
    return replace(policy.fleet.endpoints.by_id[server_id].endpoint, state=state)


def test_a_halving_costs_a_look_at_the_servers_that_were_sent_to() -> None:
    def cost(servers: int) -> int:
        policy = fleet(servers, nodes=nodes_for(servers))
        now = serve(policy, 10.0, 20)
        return steps(policy, now + HALF_LIFE_MS, Request(5000, 0, now + HALF_LIFE_MS + 1000.0))

    is_flat(cost, SERVERS[2:] + (6400,))


class Looking(Policy):
    """Looks at all servers where some were sent to, as it was."""

    def refresh(self, now_ms: float) -> None:
        self.fleet.endpoints.active = set(self.fleet.endpoints.by_id)
        super().refresh(now_ms)


def test_what_was_seen_of_servers_fades_as_if_all_were_looked_at() -> None:
    """Bit by bit, through halvings, restarts and servers that are forgotten or known from
    before."""
    for seed in range(5):
        rng = random.Random(seed)
        settings = Settings(
            (RequestClass(400.0, 1000.0, 1.0, Idempotency.IDEMPOTENT),), max_attempts=3
        )
        policies = Policy(settings, seed), Looking(settings, seed)
        for policy in policies:
            policy.fleet.endpoints.restorable = {
                entry(i).id: EndpointStatistics(0.0, 3.0, 9.0, (0.1,), (0.0,))
                for i in range(40, 50)
            }
        now, halvings, out = 10.0, 0, []
        for turn in range(1, 900):
            now += rng.choice((1.0, 20.0, 300.0))
            event: Event = Request(turn, 0, now + 1000.0)
            if turn == 1 or rng.random() < 0.1:
                told = [
                    entry(rng.randrange(50), rng.choice((EndpointState.READY, EndpointState.GONE)))
                    for _ in range(5)
                ]
                event = EndpointUpdate(UpdateKind.DELTA, 2, told)
            elif out and rng.random() < 0.5:
                number, server = out.pop(rng.randrange(len(out)))
                event = AttemptEnded(
                    number, server, True, AttemptResult.OK, 0, rng.uniform(5.0, 90.0)
                )
            before = policies[0].schedule.halved_at_ms
            actions, others = (policy.handle(now, event) for policy in policies)
            assert actions == others
            out += [
                (action.id, action.endpoint_id) for action in actions if isinstance(action, Send)
            ]
            halvings += policies[0].schedule.halved_at_ms != before
            seen = [
                {
                    i: (s.recent_attempts, s.relative_latency)
                    for i, s in policy.fleet.endpoints.by_id.items()
                }
                for policy in policies
            ]
            assert seen[0] == seen[1]
        assert halvings > 5 and len(policies[0].fleet.endpoints.active) <= 50


def test_a_long_list_of_changes_scatters_only_what_came(monkeypatch: pytest.MonkeyPatch) -> None:
    def cost(servers: int) -> int:
        policy = fleet(servers)
        calls = 0

        def counted(number: int) -> int:
            nonlocal calls
            calls += 1
            return mix_hash(number)

        told = [entry(number, EndpointState.DRAINING) for number in range(70)]
        told += [entry(servers + number) for number in range(70)]
        monkeypatch.setattr(policy.fleet, "refresh", lambda limit, now_ms: None)
        monkeypatch.setattr(endpoints_module, "mix_hash", counted)
        policy.handle(2.0, EndpointUpdate(UpdateKind.DELTA, 2, told))
        monkeypatch.setattr(endpoints_module, "mix_hash", mix_hash)
        assert (
            policy.fleet.endpoints.ready == sorted(policy.fleet.endpoints.ready, key=mix_hash)
            and len(policy.fleet.endpoints.ready) == servers
        )
        assert policy.fleet.endpoints.hashes == [
            mix_hash(server_id) for server_id in policy.fleet.endpoints.ready
        ]
        return calls

    assert [cost(servers) for servers in SERVERS[:3]] == [70, 70, 70]
