"""Who shares the fleet, as a plain input: without it the policy decides as its settings say."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from badgercart.policy.actions import Send
from badgercart.policy.events import AttemptResult, ClusterView
from badgercart.policy.outlier_detection import EJECT_FAILURE_RATE, REPORTED_RATE_CAP
from badgercart.policy.policy import Policy
from tests.policy.support import Stage, server
from tests.policy.support import settings as terms


def play(seed: int, size: int, told: bool) -> list[object]:
    """A random day of one of `size` nodes, told of its company or not."""
    rng = random.Random(seed)
    stage = Stage(
        terms(
            cluster_size=size,
            node_index=size // 2,
            quotas_per_s=(40.0, 5.0),
            key_affinity=True,
            slow_start_min_capacity=0.3,
        ),
        seed=seed,
    )
    if told:
        stage.give(ClusterView(size, size // 2, size))
    for number in range(150):
        stage.advance(rng.expovariate(1 / 15))
        stage.request(rng.randrange(3), key=rng.randrange(20), tenant=rng.randrange(2))
        stage.go_on(number, rng)
    return stage.log


@settings(max_examples=25, deadline=None)
@given(st.integers(0, 10**6), st.integers(1, 12))
def test_a_company_that_the_settings_name_already_changes_no_decision(seed: int, size: int) -> None:
    assert play(seed, size, True) == play(seed, size, False)


def test_a_fleet_that_begins_cold_is_shared_by_all_that_may_live() -> None:
    def out(company: ClusterView | None) -> int:
        stage = Stage(
            terms(cluster_size=1, slow_start_min_capacity=0.2, slow_start_duration_ms=60_000.0),
            servers=0,
        )
        if company is not None:
            stage.give(company)
        stage.list([server(i, started=stage.now) for i in range(4)])
        for _ in range(8):
            stage.request()
        return sum(isinstance(action, Send) for action in stage.log)

    assert out(None) == 4 and out(ClusterView(1, 0, 8)) < 4


def test_parts_bound_what_a_tenant_may_use_here() -> None:
    def beyond(parts: tuple[float, ...]) -> float:
        stage = Stage(terms(cluster_size=4, quotas_per_s=(40.0,)))
        stage.give(ClusterView(4, 0, 4, parts))
        for _ in range(30):
            stage.request()
        return sum(stage.policy.priority.offered[3:])

    assert beyond((1.0,)) < 1 < beyond(()) < beyond((0.1,))


def test_hearsay_weighs_less_than_what_one_rests_for_and_our_own_eyes_win() -> None:
    assert REPORTED_RATE_CAP < EJECT_FAILURE_RATE
    stage = Stage(terms())
    stage.give(ClusterView(1, 0, 1, failure_reports=((2, 1.0), (99, 1.0))))
    health = stage.policy.fleet.endpoints.by_id[2].health[0]
    assert (
        health.failure_rate == REPORTED_RATE_CAP
        and not health.ejected_until_ms
        and 99 not in stage.policy.fleet.endpoints.by_id
    )
    while stage.policy.fleet.endpoints.by_id[2].health[0].failure_rate > 0.1:
        number = stage.request()
        if (number, 0) in stage.open:
            stage.outcome(number, 0, AttemptResult.OK, 20.0)


@pytest.mark.parametrize(
    "wrong", [(0, 0, 1), (2, 2, 2), (2, 0, 1), (2, -1, 2), (1, 0, 1, (0.0,)), (1, 0, 1, (1.5,))]
)
def test_a_company_that_can_not_be_is_refused(wrong: tuple[int, ...]) -> None:
    with pytest.raises(ValueError):
        ClusterView(*wrong)


def test_settings_with_other_tenants_set_parts_aside() -> None:
    policy = Policy(terms(quotas_per_s=(40.0, 10.0)), 1)
    policy.handle(1.0, ClusterView(2, 0, 2, (0.5,)))
    assert policy.quotas.divisors == [2, 2]
