"""Views of the cluster: without one the policy uses the settings."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from badgercart.policy.actions import Send
from badgercart.policy.events import AttemptResult, ClusterView
from badgercart.policy.outlier_detection import EJECT_FAILURE_RATE, REPORTED_RATE_CAP
from badgercart.policy.policy import Policy
from tests.policy.support import PolicyDriver, endpoint, make_settings


def play(seed: int, size: int, announced: bool) -> list[object]:
    """Play random events for one of `size` nodes, with an announced cluster view or without."""
    rng = random.Random(seed)
    driver = PolicyDriver(
        make_settings(
            cluster_size=size,
            node_index=size // 2,
            quotas_per_s=(40.0, 5.0),
            key_affinity=True,
            slow_start_min_capacity=0.3,
        ),
        seed=seed,
    )
    if announced:
        driver.handle(ClusterView(size, size // 2, size))
    for number in range(150):
        driver.advance(rng.expovariate(1 / 15))
        driver.add_request(rng.randrange(3), key=rng.randrange(20), tenant=rng.randrange(2))
        driver.random_step(number, rng)
    return driver.actions


@settings(max_examples=25, deadline=None)
@given(st.integers(0, 10**6), st.integers(1, 12))
def test_a_view_equal_to_the_settings_changes_no_decision(seed: int, size: int) -> None:
    assert play(seed, size, True) == play(seed, size, False)


def test_the_slow_start_budget_is_shared_by_all_nodes_possibly_alive() -> None:
    def count_sends(view: ClusterView | None) -> int:
        driver = PolicyDriver(
            make_settings(
                cluster_size=1, slow_start_min_capacity=0.2, slow_start_duration_ms=60_000.0
            ),
            endpoint_count=0,
        )
        if view is not None:
            driver.handle(view)
        driver.update_endpoints([endpoint(i, started=driver.now_ms) for i in range(4)])
        for _ in range(8):
            driver.add_request()
        return sum(isinstance(action, Send) for action in driver.actions)

    assert count_sends(None) == 4 and count_sends(ClusterView(1, 0, 8)) < 4


def test_quota_shares_limit_a_tenant_on_this_node() -> None:
    def over_quota(quota_shares: tuple[float, ...]) -> float:
        driver = PolicyDriver(make_settings(cluster_size=4, quotas_per_s=(40.0,)))
        driver.handle(ClusterView(4, 0, 4, quota_shares))
        for _ in range(30):
            driver.add_request()
        return sum(driver.policy.priority.offered[3:])

    assert over_quota((1.0,)) < 1 < over_quota(()) < over_quota((0.1,))


def test_failure_reports_alone_eject_nothing_and_own_attempts_override_them() -> None:
    assert REPORTED_RATE_CAP < EJECT_FAILURE_RATE
    driver = PolicyDriver(make_settings())
    driver.handle(ClusterView(1, 0, 1, failure_reports=((2, 1.0), (99, 1.0))))
    health = driver.policy.fleet.endpoints.by_id[2].health[0]
    assert (
        health.failure_rate == REPORTED_RATE_CAP
        and not health.ejected_until_ms
        and 99 not in driver.policy.fleet.endpoints.by_id
    )
    while driver.policy.fleet.endpoints.by_id[2].health[0].failure_rate > 0.1:
        number = driver.add_request()
        if (number, 0) in driver.open_attempts:
            driver.end_attempt(number, 0, AttemptResult.OK, 20.0)


@pytest.mark.parametrize(
    "arguments", [(0, 0, 1), (2, 2, 2), (2, 0, 1), (2, -1, 2), (1, 0, 1, (0.0,)), (1, 0, 1, (1.5,))]
)
def test_an_invalid_view_is_rejected(arguments: tuple[int, ...]) -> None:
    with pytest.raises(ValueError):
        ClusterView(*arguments)


def test_quota_shares_of_another_number_of_tenants_are_ignored() -> None:
    policy = Policy(make_settings(quotas_per_s=(40.0, 10.0)), 1)
    policy.handle(1.0, ClusterView(2, 0, 2, (0.5,)))
    assert policy.quotas.divisors == [2, 2]
