"""The load scenarios of the capacity page: their formulas, and values in simple cases."""

from __future__ import annotations

import math

import pytest

from benchmarks.capacity import page
from benchmarks.capacity.laws import Runs
from benchmarks.capacity.requirements import POLICY_RUNS
from benchmarks.capacity.roles import Provenance
from benchmarks.capacity.scenarios import (
    Scenario,
    ScenarioFigure,
    all_scenarios,
    cold_server,
    failover_load,
    poisson_tail,
    reconnect_attempts,
    simultaneous_list_changes,
    slow_start_failure_probability,
)
from benchmarks.capacity.target import ASSUMPTIONS, TARGET, Budget
from benchmarks.scale.report import Run, Series


def synthetic_runs() -> Runs:
    """Return runs in which a line has 100 bytes and a changed line takes 1 µs for each server."""
    sizes = [(float(x), 100.0 * x) for x in (10, 1000, 170_000)]
    line = [(float(x), float(x)) for x in (10, 1000, 170_000)]
    fixed = {"nodes_a_server": TARGET.nodes / TARGET.servers}
    list_bytes = Series("whole list", "bytes", "servers", "one", sizes)
    changed_line = Series("changed line", "us", "servers", "mean", line, fixed)
    return Runs(
        {
            "lists": Run("lists", "", "", {}, [list_bytes]),
            POLICY_RUNS[0]: Run("policy", "", "", {}, [changed_line]),
        }
    )


def by_name(scenario: Scenario) -> dict[str, ScenarioFigure]:
    return {figure.name: figure for figure in scenario.figures}


@pytest.mark.parametrize(("mean", "over"), [(2.0, 3.0), (5.0, 8.9), (0.5, 0.0)])
def test_poisson_tail_equals_the_sum_of_its_terms(mean: float, over: float) -> None:
    by_terms = sum(math.exp(-mean) * mean**n / math.factorial(n) for n in range(int(over) + 1, 80))
    assert poisson_tail(mean, over) == pytest.approx(by_terms, rel=1e-9)


def test_more_servers_fail_when_more_is_sent() -> None:
    shares = [slow_start_failure_probability(margin) for margin in (0.3, 0.6, 0.8, 1.0)]
    assert shares == sorted(shares) and 0 < shares[0] < shares[-1] < 1


def test_the_allowed_part_of_a_cold_budget_keeps_the_failure_bound() -> None:
    figures = by_name(cold_server())
    part = figures["part of the budget that may be sent to keep the bound"].today
    bound = figures["servers that fall, if each node draws by chance"].budget
    assert part is not None and bound is not None
    assert (
        slow_start_failure_probability(part)
        <= bound.value
        < slow_start_failure_probability(part + 0.01)
    )


def test_simultaneous_list_changes_cost_their_bytes_and_the_policys_time() -> None:
    figures = by_name(simultaneous_list_changes("x", 1700.0, synthetic_runs(), ()))
    served = ASSUMPTIONS["served"].value * TARGET.servers_per_service
    assert figures["lines that a node is told"].scoped == pytest.approx(
        1700 * served / TARGET.servers
    )
    assert figures["they take, at 17 KB a second"].today == pytest.approx(10)
    assert figures["a node's processor for them"].today == pytest.approx(1700 * 170)
    out = figures["bytes out: of one service today, of each of 40 machines told"]
    assert out.today == pytest.approx(8600 * 0.17)
    assert out.scoped == pytest.approx(8600 * 0.17 * served / TARGET.servers / 40)


def test_the_load_of_a_lost_region_goes_to_the_others() -> None:
    load = failover_load("region", 3).figures[0].today
    assert load == pytest.approx(1.5 * ASSUMPTIONS["busy"].value)


def test_the_first_reconnect_attempts_spread_over_the_first_delay() -> None:
    figures = by_name(reconnect_attempts(synthetic_runs()))
    first = figures["calls a second on each, the first wave (within 25 to 75 ms)"]
    assert first.today == pytest.approx(8600 / 40 / 0.05)


def test_a_figure_states_which_costs_exceed_the_budget() -> None:
    budget = Budget(1.0, "s", "")
    assert ScenarioFigure("x", "s", 2.0, 0.5, budget).over_budget == "today"
    assert ScenarioFigure("x", "s", 2.0, 2.0, budget).over_budget == "today, told"
    assert ScenarioFigure("x", "s", 0.5, None, budget).over_budget == "neither"
    assert ScenarioFigure("x", "s", 9.0, 9.0).over_budget == ""


def test_a_figure_with_an_assumption_is_marked_as_guessed() -> None:
    assert ScenarioFigure("x", "s", 1.0, 1.0, None, ("served",)).provenance is Provenance.GUESSED
    assert ScenarioFigure("x", "s", 1.0, 1.0).provenance is Provenance.MODELLED


def test_every_scenario_of_the_page_uses_known_assumptions() -> None:
    scenarios = all_scenarios(Runs.load())
    text = page.build_tables(Runs.load())["storms"]
    for scenario in scenarios:
        assert scenario.name.capitalize() in text
        for figure in scenario.figures:
            assert set(figure.assumptions) <= set(ASSUMPTIONS)


def test_lost_servers_state_how_many_requests_they_had() -> None:
    lost = by_name(simultaneous_list_changes("x", 170.0, synthetic_runs(), (), servers_lost=True))
    assert lost["requests a second that went there"].today == pytest.approx(910)
    assert "requests a second that went there" not in by_name(
        simultaneous_list_changes("x", 170.0, synthetic_runs(), ())
    )
