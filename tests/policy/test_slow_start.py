"""What all nodes together send to endpoints in slow start, simulated by `lab/ramp.py`."""

from __future__ import annotations

import pytest

from badgercart.policy import slow_start
from badgercart.policy.actions import Send
from badgercart.policy.events import AttemptResult, EndpointUpdate, UpdateKind
from badgercart.policy.overload import OverloadController
from badgercart.policy.policy import Policy
from badgercart.policy.settings import Settings
from lab.ramp import SlowStartScenario, max_bound_ratio, simulate
from tests.policy.support import SAFE, PolicyDriver, endpoint, make_settings

SMALL_SCENARIO = SlowStartScenario(servers=16, cold_servers=6, warm_up_ms=3000.0, ramp_ms=5000.0)


def scenario_of(nodes: int, start_mode: str, **changes: float) -> SlowStartScenario:
    return SlowStartScenario(
        **{**SMALL_SCENARIO.__dict__, "nodes": nodes, "start_mode": start_mode, **changes}  # type: ignore[arg-type]
    )


@pytest.mark.parametrize("start_mode", ["join", "back", "all"])
@pytest.mark.parametrize("nodes", [2, 24, 200])
def test_no_starting_endpoint_collapses_and_its_budget_is_used(nodes: int, start_mode: str) -> None:
    result = simulate(scenario_of(nodes, start_mode, load=0.8))
    assert result.collapsed == 0 and result.max_bound_ratio < 0.9
    # By its age an endpoint can do a third of its capacity for certain. An earlier budget sent 0.16
    # to 0.21 to endpoints that joined or returned.
    assert result.budget_used > 0.23


def test_no_starting_endpoint_collapses_in_a_burst_during_slow_start() -> None:
    """The unused tokens of 100 nodes are used within a second."""
    result = simulate(scenario_of(100, "back", load=0.4, burst_factor=4.0, burst_delay_ms=2500.0))
    assert result.collapsed == 0


class NoOverload(OverloadController):
    """Never signals overload."""

    def refresh_limit(self, passed_ms: float, fleet_slots: float, ready_count: int) -> None:
        super().refresh_limit(passed_ms, fleet_slots, ready_count)
        self.concurrency.limit = 1e9

    def measure(self) -> None:
        self.level = self.shed_threshold = 0.0


class NoSheddingPolicy(Policy):
    """Sends all requests whatever the overload: the highest load that a budget has to limit."""

    def __init__(self, settings: Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.overload.__class__ = NoOverload


@pytest.mark.parametrize("nodes", [2, 24, 60, 200])
def test_no_starting_endpoint_collapses_at_twice_the_capacity_of_the_fleet(nodes: int) -> None:
    result = simulate(scenario_of(nodes, "all", load=2.0), NoSheddingPolicy)
    assert result.collapsed == 0 and result.budget_used > 0.5


def test_the_simulation_shows_that_twice_the_budget_makes_endpoints_collapse(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(slow_start, "BUDGET_SHARE", 2 * slow_start.BUDGET_SHARE)
    assert simulate(scenario_of(24, "all", load=2.0), NoSheddingPolicy).collapsed > 0


def test_arrivals_are_compared_with_the_bound_of_their_time_window() -> None:
    scenario = scenario_of(
        2,
        "back",
        collapse_load_factor=3.0,
        cores=1,
        mean_work_ms=100.0,
        cold_from=0.5,
        ramp_ms=1e9,
    )
    bound = 15 + 2 * 15**0.5 + 2  # half of three times ten per second
    known, now = [True] * 24, 1000.0
    assert max_bound_ratio([now + n for n in range(24)], known, now, scenario) == pytest.approx(
        24 / bound
    )
    assert max_bound_ratio(
        [now + 100 * n for n in range(24)], known, now, scenario
    ) == pytest.approx(10 / bound)
    known = [False] * 8 + [True] * 16  # two thirds, and not more
    assert max_bound_ratio([now] * 24, known, now, scenario) < 1.0


def test_a_node_sends_nothing_to_starting_endpoints_outside_its_subset() -> None:
    # When its subset was crowded, each of 200 nodes also sent to the rest of the fleet, at the rate
    # for its own subset: five times the budget in all.
    driver = PolicyDriver(
        make_settings(cluster_size=200, node_index=3, collapse_load_factor=3.0), endpoint_count=0
    )
    driver.update_endpoints(
        [endpoint(number, started=driver.now_ms) for number in range(40)], UpdateKind.SNAPSHOT
    )
    policy, far = driver.policy, set(range(40))
    assert policy.fleet.subset.size < 40
    far -= set(policy.fleet.subset.endpoint_ids)
    for _ in range(600):
        driver.advance(5.0)
        driver.add_request()
    sent = [action.endpoint_id for action in driver.actions if isinstance(action, Send)]
    assert sent and not far & set(sent)


def test_a_node_sends_its_share_of_the_budget() -> None:
    def sent(nodes: int) -> int:
        driver = PolicyDriver(
            make_settings(classes=(SAFE,), cluster_size=nodes, collapse_load_factor=3.0),
            endpoint_count=0,
        )
        driver.update_endpoints([endpoint(1, started=driver.now_ms)])
        for _ in range(2000):
            driver.now_ms += 5.0
            number = driver.add_request()
            if (number, 0) in driver.open_attempts:
                driver.end_attempt(number, 0, AttemptResult.OK, 50.0)
        return sum(
            isinstance(action, Send) and action.endpoint_id == 1 for action in driver.actions
        )

    few, many = sent(2), sent(20)
    # A latency of 50 ms at any age is 20 requests per second; the endpoint collapses at three times
    # that; this node is one of two.
    max_sent = slow_start.BUDGET_SHARE * 3.0 * 20.0 * 10.0 / 2
    assert 0.7 * max_sent < few <= max_sent + 1 and many <= 0.12 * few


def test_a_restarted_endpoint_gets_the_mean_of_recent_attempts_and_a_random_token_count() -> None:
    driver = PolicyDriver(
        make_settings(classes=(SAFE,), cluster_size=24, collapse_load_factor=3.0), endpoint_count=4
    )
    for _ in range(400):
        driver.now_ms += 10.0
        driver.end_attempt(driver.add_request(), 0, AttemptResult.OK)
    before = driver.policy.fleet.endpoints.by_id[0].recent_attempts
    driver.handle(EndpointUpdate(UpdateKind.DELTA, 2, [endpoint(0, started=driver.now_ms)]))
    peers = [driver.policy.fleet.endpoints.by_id[number].recent_attempts for number in (1, 2, 3)]
    assert before > 0 and driver.policy.fleet.endpoints.by_id[0].recent_attempts == pytest.approx(
        sum([before, *peers]) / 4
    )
    assert (
        -1.0 <= driver.policy.fleet.endpoints.by_id[0].tokens <= 0.0
    )  # random, so that nodes do not send at once
