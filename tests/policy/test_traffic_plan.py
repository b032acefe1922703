"""Traffic plans: the shares of zones, spillover_rates-over, and decisions without a plan."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from badgercart.policy.actions import Send
from badgercart.policy.endpoint import EndpointState
from badgercart.policy.events import AttemptResult, TrafficPlan
from badgercart.policy.settings import DeduplicationScope, Idempotency, RequestClass
from tests.policy.support import PolicyDriver, endpoint, make_settings

NO_ZONE = (0.0, 0.0, 0.0)
KEYED = RequestClass(400.0, 1000.0, 1.0, Idempotency.KEYED, DeduplicationScope.ZONE, 600.0)


def play(seed: int, plan: TrafficPlan | None, **changes: object) -> PolicyDriver:
    """Play random events, with the plan among them every ten requests if members is one."""
    rng = random.Random(seed)
    driver = PolicyDriver(
        make_settings(
            quotas_per_s=(40.0, 5.0),
            key_affinity=seed % 2 == 0,
            slow_start_min_capacity=0.3,
            **changes,
        ),
        seed=seed,
    )
    for number in range(150):
        if plan is not None and number % 10 == 0:
            driver.handle(plan)
        driver.advance(rng.expovariate(1 / 15))
        driver.add_request(
            rng.randrange(len(driver.config.classes)),
            key=rng.randrange(20),
            tenant=rng.randrange(2),
        )
        driver.random_step(number, rng)
    return driver


def count_by_zone(driver: PolicyDriver) -> Counter[int]:
    return Counter(
        driver.endpoints[action.endpoint_id].zone
        for action in driver.actions
        if isinstance(action, Send)
    )


@settings(max_examples=25, deadline=None)
@given(st.integers(0, 10**6))
def test_an_empty_plan_changes_no_decision(seed: int) -> None:
    assert play(seed, None).actions == play(seed, TrafficPlan()).actions


@settings(max_examples=40, deadline=None)
@given(st.integers(0, 10**6), st.integers(0, 2))
def test_a_zone_without_share_and_spillover_gets_nothing(seed: int, closed_zone: int) -> None:
    row = tuple(0.0 if zone == closed_zone else 0.5 for zone in range(3))
    spillover_rates = tuple(0.0 if zone == closed_zone else 1.0 for zone in range(3))
    driver = play(seed, TrafficPlan((row,) * 6, spillover_rates, frozenset({closed_zone})))
    assert closed_zone not in count_by_zone(driver) and len(count_by_zone(driver)) == 2


@settings(max_examples=20, deadline=None)
@given(st.integers(0, 10**6))
def test_a_keyed_request_stays_in_its_deduplication_zone_under_a_plan(seed: int) -> None:
    # The driver asserts at each attempt that a request which may have been executed in a zone is
    # sent to no other zone.
    driver = play(seed, TrafficPlan(((0.4, 0.3, 0.3),) * 2, (1.0,) * 3), classes=(KEYED,))
    assert len(count_by_zone(driver)) == 3


def test_shares_are_kept_and_the_rest_is_shed() -> None:
    driver = PolicyDriver(make_settings(), endpoint_count=9)
    driver.handle(TrafficPlan(((0.5, 0.3, 0.0), NO_ZONE, (0.0, 1.0, 0.0)) * 2, NO_ZONE))
    for _ in range(1000):
        driver.advance(1.0)
        number = driver.add_request(0)
        if (number, 0) in driver.open_attempts:
            driver.end_attempt(number, 0, AttemptResult.OK, 5.0)
    counts = count_by_zone(driver)
    assert counts[0] == pytest.approx(500, abs=60) and counts[1] == pytest.approx(300, abs=60)
    assert (
        counts[2] == 0 and Counter(driver.answers.values())["shed"] == 1000 - counts[0] - counts[1]
    )
    assert all(driver.answers[driver.add_request(1)] == "shed" for _ in range(5))


def test_a_planned_tenant_has_shares_of_its_own() -> None:
    driver = PolicyDriver(make_settings(quotas_per_s=(1e6, 1e6)), endpoint_count=9)
    driver.handle(
        TrafficPlan(
            (((0.0, 1.0, 0.0),) * 3 + ((0.0, 0.0, 1.0),) * 3),
            NO_ZONE,
            planned_tenants=frozenset({1}),
        )
    )
    for tenant, zone in ((0, 1), (1, 2)):
        number = driver.add_request(0, tenant=tenant)
        assert driver.attempts[number][0][1].zone == zone


def test_without_a_usable_endpoint_requests_spill_over_at_the_planned_rate() -> None:
    driver = PolicyDriver(make_settings(), endpoint_count=9)
    # All endpoints of zone 0 are draining.
    driver.update_endpoints([endpoint(number, EndpointState.DRAINING) for number in (0, 3, 6)])
    driver.handle(TrafficPlan(((1.0, 0.0, 0.0),) * 6, (0.0, 0.02, 0.0)))
    for _ in range(1000):
        driver.advance(1.0)
        number = driver.add_request(0)
        if (number, 0) in driver.open_attempts:
            driver.end_attempt(number, 0, AttemptResult.OK, 5.0)
    assert set(count_by_zone(driver)) == {1} and count_by_zone(driver)[1] == pytest.approx(
        20, abs=3
    )


def test_a_starting_endpoint_gets_less_than_a_warm_one_of_its_zone() -> None:
    driver = PolicyDriver(
        make_settings(slow_start_min_capacity=0.2, slow_start_duration_ms=60_000.0),
        endpoint_count=9,
    )
    driver.handle(TrafficPlan(((1.0, 0.0, 0.0),) * 6, NO_ZONE))

    def serve(count: int) -> Counter[int]:
        before = len(driver.actions)
        for _ in range(count):
            driver.advance(2.0)
            number = driver.add_request(0)
            if (number, 0) in driver.open_attempts:
                driver.end_attempt(number, 0, AttemptResult.OK, 5.0)
        return Counter(
            action.endpoint_id for action in driver.actions[before:] if isinstance(action, Send)
        )

    serve(1500)
    driver.update_endpoints([endpoint(0, EndpointState.READY, driver.now_ms)])
    counts = serve(1500)
    assert 0 < counts[0] < 0.5 * min(counts[3], counts[6])


@pytest.mark.parametrize(
    "arguments",
    [
        (((1.0,),), ()),
        (((0.7, 0.7),), (0.0, 0.0)),
        (((-0.1, 0.0),), (0.0, 0.0)),
        (((1.0,),), (-1.0,)),
    ],
)
def test_an_invalid_plan_is_rejected(arguments: tuple[object, ...]) -> None:
    with pytest.raises(ValueError):
        TrafficPlan(*arguments)  # type: ignore[arg-type]


@settings(max_examples=30, deadline=None)
@given(st.integers(0, 10**6))
def test_incremental_changes_of_zones_equal_a_full_grouping(seed: int) -> None:
    rng = random.Random(seed)
    driver = PolicyDriver(make_settings(), endpoint_count=12)
    driver.handle(TrafficPlan(((0.4, 0.3, 0.3),) * 6, (1.0,) * 3))
    for _ in range(40):
        entries = [
            replace(
                endpoint(rng.randrange(16), rng.choice(list(EndpointState))),
                zone=rng.choice((-1, 0, 1, 2)),
            )
            for _ in range(rng.randint(1, 3))
        ]
        driver.update_endpoints(list({entry.id: entry for entry in entries}.values()))
        by_zone = {
            zone: set(members)
            for zone, members in driver.policy.fleet.locality.by_zone.items()
            if members
        }
        assert by_zone == {
            zone: members
            for zone, members in driver.policy.fleet.locality.members.items()
            if members
        }
        driver.policy.fleet.locality.group_by_zone()
        assert by_zone == {
            zone: set(members) for zone, members in driver.policy.fleet.locality.by_zone.items()
        }
