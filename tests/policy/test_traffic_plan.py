"""Where requests go by a plan, as a plain input: without one the policy decides as it did."""

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
from tests.policy.support import Stage, server
from tests.policy.support import settings as terms

NOWHERE = (0.0, 0.0, 0.0)
KEYED = RequestClass(400.0, 1000.0, 1.0, Idempotency.KEYED, DeduplicationScope.ZONE, 600.0)


def play(seed: int, plan: TrafficPlan | None, **more: object) -> Stage:
    """A random day, told of a plan now and then or never."""
    rng = random.Random(seed)
    stage = Stage(
        terms(
            quotas_per_s=(40.0, 5.0),
            key_affinity=seed % 2 == 0,
            slow_start_min_capacity=0.3,
            **more,
        ),
        seed=seed,
    )
    for number in range(150):
        if plan is not None and number % 10 == 0:
            stage.give(plan)
        stage.advance(rng.expovariate(1 / 15))
        stage.request(
            rng.randrange(len(stage.config.classes)), key=rng.randrange(20), tenant=rng.randrange(2)
        )
        stage.go_on(number, rng)
    return stage


def zones(stage: Stage) -> Counter[int]:
    return Counter(
        stage.entries[told.endpoint_id].zone for told in stage.log if isinstance(told, Send)
    )


@settings(max_examples=25, deadline=None)
@given(st.integers(0, 10**6))
def test_without_a_plan_it_decides_as_before(seed: int) -> None:
    assert play(seed, None).log == play(seed, TrafficPlan()).log


@settings(max_examples=40, deadline=None)
@given(st.integers(0, 10**6), st.integers(0, 2))
def test_nothing_goes_where_no_part_and_no_spill_leads(seed: int, closed: int) -> None:
    row = tuple(0.0 if zone == closed else 0.5 for zone in range(3))
    spill = tuple(0.0 if zone == closed else 1.0 for zone in range(3))
    stage = play(seed, TrafficPlan((row,) * 6, spill, frozenset({closed})))
    assert closed not in zones(stage) and len(zones(stage)) == 2


@settings(max_examples=20, deadline=None)
@given(st.integers(0, 10**6))
def test_a_keyed_request_stays_in_its_groups_zone_whatever_the_plan_says(seed: int) -> None:
    # The stage itself asserts it at every send: what may have run in a zone is repeated nowhere
    # else.
    stage = play(seed, TrafficPlan(((0.4, 0.3, 0.3),) * 2, (1.0,) * 3), classes=(KEYED,))
    assert len(zones(stage)) == 3


def test_parts_are_kept_and_what_they_leave_is_refused() -> None:
    stage = Stage(terms(), servers=9)
    stage.give(TrafficPlan(((0.5, 0.3, 0.0), NOWHERE, (0.0, 1.0, 0.0)) * 2, NOWHERE))
    for _ in range(1000):
        stage.advance(1.0)
        number = stage.request(0)
        if (number, 0) in stage.open:
            stage.outcome(number, 0, AttemptResult.OK, 5.0)
    went = zones(stage)
    assert went[0] == pytest.approx(500, abs=60) and went[1] == pytest.approx(300, abs=60)
    assert went[2] == 0 and Counter(stage.answers.values())["refused"] == 1000 - went[0] - went[1]
    assert all(stage.answers[stage.request(1)] == "refused" for _ in range(5))


def test_a_bound_tenant_has_parts_of_its_own() -> None:
    stage = Stage(terms(quotas_per_s=(1e6, 1e6)), servers=9)
    stage.give(
        TrafficPlan(
            (((0.0, 1.0, 0.0),) * 3 + ((0.0, 0.0, 1.0),) * 3),
            NOWHERE,
            planned_tenants=frozenset({1}),
        )
    )
    for tenant, zone in ((0, 1), (1, 2)):
        number = stage.request(0, tenant=tenant)
        assert stage.attempts[number][0][1].zone == zone


def test_where_no_server_fits_a_request_spills_at_the_plans_rate_and_no_faster() -> None:
    stage = Stage(terms(), servers=9)
    stage.list([server(number, EndpointState.DRAINING) for number in (0, 3, 6)])  # all of zone 0
    stage.give(TrafficPlan(((1.0, 0.0, 0.0),) * 6, (0.0, 0.02, 0.0)))
    for _ in range(1000):
        stage.advance(1.0)
        number = stage.request(0)
        if (number, 0) in stage.open:
            stage.outcome(number, 0, AttemptResult.OK, 5.0)
    assert set(zones(stage)) == {1} and zones(stage)[1] == pytest.approx(20, abs=3)


def test_a_cold_server_gets_no_more_by_a_plan_than_a_warm_one_of_its_zone() -> None:
    stage = Stage(terms(slow_start_min_capacity=0.2, slow_start_duration_ms=60_000.0), servers=9)
    stage.give(TrafficPlan(((1.0, 0.0, 0.0),) * 6, NOWHERE))

    def serve(count: int) -> Counter[int]:
        mark = len(stage.log)
        for _ in range(count):
            stage.advance(2.0)
            number = stage.request(0)
            if (number, 0) in stage.open:
                stage.outcome(number, 0, AttemptResult.OK, 5.0)
        return Counter(told.endpoint_id for told in stage.log[mark:] if isinstance(told, Send))

    serve(1500)
    stage.list([server(0, EndpointState.READY, stage.now)])
    counts = serve(1500)
    assert 0 < counts[0] < 0.5 * min(counts[3], counts[6])


@pytest.mark.parametrize(
    "wrong",
    [
        (((1.0,),), ()),
        (((0.7, 0.7),), (0.0, 0.0)),
        (((-0.1, 0.0),), (0.0, 0.0)),
        (((1.0,),), (-1.0,)),
    ],
)
def test_a_plan_that_can_not_be_is_refused(wrong: tuple[object, ...]) -> None:
    with pytest.raises(ValueError):
        TrafficPlan(*wrong)  # type: ignore[arg-type]


@settings(max_examples=30, deadline=None)
@given(st.integers(0, 10**6))
def test_a_few_changed_lines_leave_the_zones_as_a_look_at_all_servers_finds_them(seed: int) -> None:
    rng = random.Random(seed)
    stage = Stage(terms(), servers=12)
    stage.give(TrafficPlan(((0.4, 0.3, 0.3),) * 6, (1.0,) * 3))
    for _ in range(40):
        lines = [
            replace(
                server(rng.randrange(16), rng.choice(list(EndpointState))),
                zone=rng.choice((-1, 0, 1, 2)),
            )
            for _ in range(rng.randint(1, 3))
        ]
        stage.list(list({line.id: line for line in lines}.values()))
        found = {
            zone: set(there) for zone, there in stage.policy.fleet.locality.by_zone.items() if there
        }
        assert found == {
            zone: there for zone, there in stage.policy.fleet.locality.members.items() if there
        }
        stage.policy.fleet.locality.group_by_zone()
        assert found == {
            zone: set(there) for zone, there in stage.policy.fleet.locality.by_zone.items()
        }
