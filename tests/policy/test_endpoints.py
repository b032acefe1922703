"""The parts that know the endpoints: set, latency, capacity, subset, slow start and others."""

from __future__ import annotations

import random

import pytest

from badgercart.policy.endpoint import Endpoint, EndpointState, EndpointStatistics
from badgercart.policy.endpoints import TrackedEndpoint
from badgercart.policy.error_rate import ErrorRate
from badgercart.policy.events import (
    AttemptResult,
    ClusterView,
    EndpointUpdate,
    SettingsChanged,
    TrafficPlan,
    UpdateKind,
)
from badgercart.policy.fleet import Fleet
from badgercart.policy.hash_ring import KeyTraffic
from badgercart.policy.hashing import mix_hash
from badgercart.policy.outlier_detection import MAX_EJECTED_SHARE
from badgercart.policy.polling import EndpointPolling
from badgercart.policy.refresh import RefreshSchedule
from badgercart.policy.settings import Idempotency, RequestClass, Settings
from badgercart.policy.throughput import Throughput

CLASSES = (
    RequestClass(400.0, 1000.0, 1.0, Idempotency.IDEMPOTENT),
    RequestClass(800.0, 1000.0, 8.0, Idempotency.IDEMPOTENT),
)
SETTINGS = Settings(
    CLASSES,
    slow_start_min_capacity=0.2,
    slow_start_duration_ms=8000.0,
    collapse_load_factor=2.0,
    collapse_window_ms=1000.0,
)
NOW = 50_000.0
ALL_CLASSES = frozenset({0, 1})


def endpoint(
    number: int,
    state: EndpointState = EndpointState.READY,
    *,
    zone: int = 0,
    kind: int = 0,
    size: float = 1.0,
    started_ms: float = 0.0,
) -> Endpoint:
    return Endpoint(number, zone, kind, 0, state, size, started_ms)


def fleet_of(*endpoints: Endpoint, settings: Settings = SETTINGS) -> Fleet:
    fleet = Fleet(settings, Throughput(), ErrorRate(), random.Random(1))
    fleet.apply_settings(SettingsChanged(settings, ALL_CLASSES, ALL_CLASSES))
    update(fleet, *endpoints, kind=UpdateKind.SNAPSHOT)
    return fleet


def update(
    fleet: Fleet, *endpoints: Endpoint, kind: UpdateKind = UpdateKind.DELTA, limit: float = 1e9
) -> None:
    fleet.apply_update(EndpointUpdate(kind, 1, list(endpoints)), NOW)
    fleet.refresh(limit, NOW)


def tracked(fleet: Fleet, number: int) -> TrackedEndpoint:
    return fleet.endpoints.by_id[number]


# The set.


def test_ready_endpoints_are_in_the_order_of_their_hashes() -> None:
    fleet = fleet_of(*map(endpoint, range(1, 200)))
    assert fleet.endpoints.ready == sorted(range(1, 200), key=mix_hash)
    update(fleet, endpoint(5, EndpointState.DRAINING), endpoint(300))
    assert fleet.endpoints.ready == sorted({*range(1, 200), 300} - {5}, key=mix_hash)
    assert fleet.endpoints.hashes == [mix_hash(number) for number in fleet.endpoints.ready]


def test_a_change_has_the_former_and_the_present_entry() -> None:
    fleet = fleet_of(endpoint(1), endpoint(2))
    endpoints = fleet.endpoints
    endpoints.track(endpoint(3), 2, NOW, random.Random(1))
    for item in (endpoint(1, size=3.0), endpoint(2), endpoint(3)):
        endpoints.by_id[item.id].endpoint = item
        endpoints.updated.add(item.id)
    changes = endpoints.take_changes()
    assert sorted(changes.endpoint_ids) == [1, 3]
    entries = {endpoint_id: (before, after) for endpoint_id, before, after in changes}
    assert entries == {1: (endpoint(1), endpoint(1, size=3.0)), 3: (None, endpoint(3))}
    assert changes.added() == [3] and not changes.removed()
    assert not endpoints.take_changes().endpoint_ids


def test_a_snapshot_removes_endpoints_unless_they_have_open_attempts() -> None:
    fleet = fleet_of(endpoint(1), endpoint(2))
    tracked(fleet, 2).open_attempts[9, 0] = (None, 0.0)  # type: ignore[assignment]
    update(fleet, endpoint(3), kind=UpdateKind.SNAPSHOT)
    assert fleet.endpoints.by_id.keys() == {2, 3} and fleet.endpoints.ready == [3]
    gone = tracked(fleet, 2)
    gone.open_attempts.clear()
    fleet.forget_if_gone(gone)
    assert fleet.endpoints.by_id.keys() == {3}


def test_a_restarted_endpoint_loses_its_history_but_keeps_its_open_attempts() -> None:
    fleet = fleet_of(endpoint(1, started_ms=100.0))
    before = tracked(fleet, 1)
    before.relative_latency, before.open_attempts[9, 0] = 4.0, (None, 0.0)  # type: ignore[assignment]
    update(fleet, endpoint(1, started_ms=100.0, size=2.0))
    assert tracked(fleet, 1) is before
    update(fleet, endpoint(1, started_ms=40_000.0))
    after = tracked(fleet, 1)
    assert after.relative_latency == 1.0 and after.open_attempts == {(9, 0): (None, 0.0)}


def test_statistics_are_restored_once_and_only_for_the_same_start() -> None:
    fleet = fleet_of()
    known = EndpointStatistics(100.0, 4.0, 3.0, (0.9, 0.1), (2.0, 0.0))
    fleet.endpoints.restorable = {1: known, 2: known, 3: known}
    update(
        fleet, endpoint(1, started_ms=100.5), endpoint(2, started_ms=900.0), kind=UpdateKind.CACHED
    )
    same, other = tracked(fleet, 1), tracked(fleet, 2)
    assert (same.relative_latency, same.recent_attempts) == (4.0, 3.0)
    assert same.health[0].ejected_until_ms == NOW and fleet.outliers.ejected == {1}
    assert other.relative_latency == 1.0 and fleet.endpoints.restorable.keys() == {3}


def test_only_active_endpoints_are_halved() -> None:
    fleet = fleet_of(endpoint(1), endpoint(2))
    fleet.endpoints.active.clear()
    fleet.endpoints.count_attempt(tracked(fleet, 1))
    tracked(fleet, 1).relative_latency = 3.0
    fleet.endpoints.halve_recent_attempts()
    assert tracked(fleet, 1).recent_attempts == 0.5 and tracked(fleet, 1).relative_latency == 2.0
    assert fleet.endpoints.active == {1}


# Latency and capacity.


def test_latencies_are_learned_more_slowly_under_overload() -> None:
    latency = fleet_of().latency
    assert latency.typical_ms == [100.0, 200.0]
    latency.record_work(3, 0, 50.0, 150.0, 0.0)
    assert latency.typical_ms[0] == 101.0 and latency.warm_work_ms == {3: 185.0}
    latency.record_work(3, 1, 50.0, 300.0, 0.9)
    assert latency.typical_ms[1] == pytest.approx(200.2)


def test_the_ratio_of_a_kind_is_its_latency_over_the_typical_one() -> None:
    latency = fleet_of().latency
    assert latency.record_ratio(3, 0, 200.0) == 2.0
    assert latency.kind_ratios == {3: 1.005}
    assert latency.record_ratio(3, 0, 1e9) == pytest.approx(8.0 / 1.005)


def test_weights_depend_on_sizes_and_kinds() -> None:
    fleet = fleet_of(endpoint(1, size=4.0), endpoint(2, size=2.0), endpoint(3, kind=1, size=4.0))
    fleet.latency.kind_ratios[1] = 2.0
    fleet.refresh(1e9, NOW)
    capacity = fleet.capacity
    assert [capacity.weight(tracked(fleet, i).endpoint) for i in (1, 2, 3)] == [1.0, 0.5, 0.5]
    assert capacity.mean_weight == pytest.approx(2 / 3)
    assert capacity.slots_per_endpoint == pytest.approx(10 / 3)
    update(fleet, endpoint(1, EndpointState.DRAINING))
    assert capacity.weight(tracked(fleet, 2).endpoint) == 1.0


def test_available_capacity_excludes_ejected_lost_and_starting_endpoints() -> None:
    fleet = fleet_of(*(endpoint(i, zone=i % 2) for i in range(1, 9)))
    assert fleet.available_capacity == 8.0 and fleet.slots == 8.0
    fleet.outliers.ejected.add(2)
    tracked(fleet, 2).health[0].ejected_until_ms = NOW + 1
    fleet.refresh_available_capacity(NOW)
    assert fleet.available_capacity == 7.5  # ejected for one of two classes
    update(fleet, endpoint(20, started_ms=NOW - 4000.0))
    assert fleet.available_capacity == pytest.approx(8.1)
    fleet.apply_plan(TrafficPlan(((0.0, 1.0),) * 4, (0.0, 0.0), frozenset({0})))
    fleet.refresh(1e9, NOW)
    assert fleet.available_capacity == pytest.approx(3.6 + 0.0)


# The subset and the ring.


def test_subsets_of_a_sparse_cluster_cover_all_endpoints() -> None:
    seen: list[int] = []
    for node in range(0, 24, 6):
        fleet = fleet_of(*map(endpoint, range(1, 81)))
        fleet.apply_view(ClusterView(24, node, 24))
        fleet.refresh(1.0, NOW)
        assert fleet.subset.groups == 4 and fleet.subset.size == 20
        assert all(map(fleet.subset.contains, fleet.subset.endpoint_ids))
        assert not fleet.subset.is_whole
        seen += fleet.subset.endpoint_ids
    assert sorted(seen) == list(range(1, 81))


def test_a_busy_node_sends_to_all_endpoints() -> None:
    fleet = fleet_of(*map(endpoint, range(1, 81)))
    fleet.apply_view(ClusterView(24, 5, 24))
    fleet.refresh(16.0, NOW)
    assert fleet.subset.is_whole and fleet.subset.endpoint_ids == fleet.endpoints.ready


def test_virtual_nodes_depend_on_weights_and_changes() -> None:
    fleet = fleet_of(endpoint(1, size=2.0), endpoint(2, size=1.0))
    nodes = fleet.virtual_nodes
    assert nodes.counts == {1: 17, 2: 9} and len(nodes.ring) == 26
    update(fleet, endpoint(1, EndpointState.DRAINING))
    assert nodes.counts == {2: 17} and {i for _, i in nodes.ring.virtual_nodes()} == {2}
    assert {nodes.endpoint_of(key, 0) for key in range(1, 30)} == {2}


def test_many_virtual_nodes_are_placed_in_steps() -> None:
    fleet = fleet_of(*map(endpoint, range(1, 1001)))
    assert fleet.virtual_nodes.pending
    while fleet.virtual_nodes.pending:
        before = len(fleet.virtual_nodes.ring)
        fleet.virtual_nodes.place(256)
        assert 0 < len(fleet.virtual_nodes.ring) - before <= 256 + 17
    assert len(fleet.virtual_nodes.ring) == 17_000


def test_a_popular_key_is_spread_and_a_rare_one_forgotten() -> None:
    keys = KeyTraffic()
    for _ in range(30):
        keys.count(7)
    for key in range(100, 130):
        keys.count(key)
    assert keys.places(7, 10) == 10 and keys.places(100, 10) == 1 and keys.places(5, 10) == 1
    keys.halve()
    keys.halve()
    assert keys.counts == {7: 7.5}


# Slow start and outliers.


def test_a_starting_endpoint_reaches_its_full_capacity() -> None:
    slow_start = fleet_of().slow_start
    item = endpoint(1, started_ms=NOW)
    shares = [slow_start.capacity_share(item, NOW + age) for age in (-5.0, 0.0, 4000.0, 8000.0)]
    assert shares == pytest.approx([0.2, 0.2, 0.6, 1.0])
    assert slow_start.capacity_share(endpoint(1), NOW) == 1.0  # started long ago


def test_tokens_are_earned_at_this_nodes_share_of_the_budget() -> None:
    fleet = fleet_of(endpoint(1, started_ms=NOW), *map(endpoint, range(2, 12)))
    fleet.apply_view(ClusterView(2, 0, 2))
    fleet.latency.warm_work_ms[0] = 10.0
    starting = tracked(fleet, 1)
    starting.tokens, starting.tokens_as_of_ms = -0.1, NOW
    assert not fleet.slow_start.has_token(starting, NOW)
    # 0.8 of twice a fifth of 0.1 per ms, for two nodes: about 0.016 per ms.
    assert fleet.slow_start.has_token(starting, NOW + 10.0)
    assert starting.tokens == pytest.approx(0.06, rel=0.03)
    fleet.slow_start.has_token(starting, NOW + 5000.0)
    assert starting.tokens == pytest.approx(0.25 * 1000.0 * 0.8 * 2 * 0.7 * 0.1 / 2)


def test_a_fleet_that_starts_all_at_once_gets_one_attempt_on_credit() -> None:
    fleet = fleet_of(*(endpoint(i, started_ms=NOW) for i in range(1, 6)))
    starting = tracked(fleet, 1)
    starting.tokens, starting.tokens_as_of_ms = -0.5, NOW
    assert fleet.slow_start.has_token(starting, NOW)
    starting.open_attempts[9, 0] = (None, 0.0)  # type: ignore[assignment]
    assert not fleet.slow_start.has_token(starting, NOW)


def fail(
    fleet: Fleet, number: int, times: int, result: AttemptResult, class_index: int = 0
) -> None:
    for _ in range(times):
        fleet.outliers.record_failure(tracked(fleet, number), class_index, result, 1.0, NOW)


def test_an_outlier_is_ejected_until_a_success() -> None:
    fleet = fleet_of(*map(endpoint, range(1, 11)))
    fail(fleet, 1, 1, AttemptResult.ERROR)
    failing = tracked(fleet, 1)
    assert failing.health[0].failure_rate == 0.5 and failing.health[1].failure_rate == 0.1
    assert 1500.0 <= failing.health[0].ejected_until_ms - NOW <= 2500.0
    assert not failing.health[1].ejected_until_ms and fleet.outliers.ejected == {1}
    assert fleet.outliers.ejected_capacity(failing, 0.5) == 0.25
    fleet.outliers.record_success(failing, 0)
    assert not failing.health[0].ejected_until_ms and not fleet.outliers.ejected
    assert failing.health[0].failure_rate == pytest.approx(0.35)


def test_missing_responses_count_for_all_classes() -> None:
    fleet = fleet_of(*map(endpoint, range(1, 11)))
    fail(fleet, 1, 2, AttemptResult.TIMEOUT)
    assert all(health.ejected_until_ms for health in tracked(fleet, 1).health)


def test_at_most_a_share_is_ejected_when_all_fail() -> None:
    fleet = fleet_of(*map(endpoint, range(1, 11)))
    for number in range(1, 11):
        fail(fleet, number, 3, AttemptResult.RESET)
    assert len(fleet.outliers.ejected) == int(MAX_EJECTED_SHARE * 10) + 1


def test_reports_of_other_nodes_eject_nothing_alone() -> None:
    fleet = fleet_of(endpoint(1), endpoint(2))
    fleet.outliers.apply_reports([(1, 0.9), (99, 0.9)])
    assert [health.failure_rate for health in tracked(fleet, 1).health] == [0.3, 0.3]
    assert not fleet.outliers.ejected and 99 not in fleet.endpoints.by_id


# A traffic plan.


def planned(fleet: Fleet, plan: TrafficPlan) -> None:
    assert fleet.apply_plan(plan)
    fleet.refresh(1e9, NOW)


def test_a_plan_groups_endpoints_by_zone_and_applies_changes() -> None:
    fleet = fleet_of(*(endpoint(i, zone=i % 3 - 1) for i in range(1, 10)))
    planned(fleet, TrafficPlan(((0.75, 0.25),) * 4, (0.0, 0.0)))
    locality = fleet.locality
    assert {zone: set(ids) for zone, ids in locality.by_zone.items()} == {
        0: {1, 4, 7},
        1: {2, 5, 8},
    }
    assert locality.load_factors == {0: 1.5, 1: 0.5}
    update(fleet, endpoint(4, EndpointState.DRAINING), endpoint(20, zone=1))
    assert locality.members == {0: {1, 7}, 1: {2, 5, 8, 20}}
    update(fleet, endpoint(7, zone=1))
    assert locality.members == {0: {1}, 1: {2, 5, 7, 8, 20}}
    assert fleet.apply_plan(TrafficPlan()) and locality.plan is None and not locality.lost_zones


def test_a_zone_is_drawn_by_its_share_and_the_rest_is_shed() -> None:
    fleet = fleet_of(endpoint(1), endpoint(2, zone=1))
    drawn = [fleet.locality.draw_zone((0.2, 0.5)) for _ in range(2000)]
    counts = [drawn.count(zone) / 2000 for zone in (0, 1, None)]
    assert counts == pytest.approx([0.2, 0.5, 0.3], abs=0.04)


def test_spillover_has_the_planned_rate() -> None:
    fleet = fleet_of(endpoint(1), endpoint(2, zone=1))
    plan = TrafficPlan(((1.0, 0.0),) * 4, (0.0, 0.01))
    locality, spilled = fleet.locality, 0
    for ms in range(1000):
        if locality.may_spill(plan, 1, NOW + ms):
            locality.count_spillover(1)
            spilled += 1
        assert not locality.may_spill(plan, 0, NOW + ms)
    assert spilled in (10, 11)


def test_other_zones_are_tried_first_for_a_lost_zone_or_a_retry() -> None:
    locality = fleet_of(endpoint(1)).locality
    plan = TrafficPlan(((0.5, 0.5),) * 4, (0.0, 0.0), frozenset({1}), offload_shares=(0.0, 0.0))
    assert not locality.is_avoided(plan, 0, 0)
    assert locality.is_avoided(plan, 0, 1) and locality.is_avoided(plan, 1, 0)
    offloading = TrafficPlan(((0.5, 0.5),) * 4, (0.0, 0.0), offload_shares=(1.0, 0.0))
    assert locality.is_avoided(offloading, 0, 0) and not locality.is_avoided(offloading, 1, 0)


# Schedules.


def test_polls_back_off_with_jitter_until_a_success() -> None:
    settings = Settings(CLASSES, polls_endpoints=True, poll_interval_ms=8000.0)
    polling, rng = EndpointPolling(settings), random.Random(1)
    delays = [polling.next_delay_ms(settings, rng) for _ in range(6)]
    for delay, backoff in zip(delays, (200.0, 400.0, 800.0, 1600.0, 2000.0, 2000.0), strict=True):
        assert 0.2 * backoff <= delay <= backoff
    polling.reset(settings)
    assert polling.backoff_ms == 400.0


def test_a_refresh_accounts_for_at_most_a_second() -> None:
    schedule = RefreshSchedule()
    assert schedule.is_due(100.0, 1.0) and schedule.begin(100.0, 1.0) == 50.0
    assert not schedule.is_due(149.0, 1.0) and schedule.is_due(125.0, 0.5)
    assert schedule.begin(180.0, 1.0) == 80.0 and schedule.begin(9000.0, 1.0) == 1000.0
    assert schedule.begin_halving(9000.0) and not schedule.begin_halving(13_999.0)
    assert schedule.begin_halving(14_000.0)
