"""The seconds that are no mean: what their figures rest on, and what they come to where that is
plain."""

from __future__ import annotations

import math

import pytest

from benchmarks.capacity import page
from benchmarks.capacity.laws import Runs
from benchmarks.capacity.rows import POLICY, Tag
from benchmarks.capacity.storms import (
    Figure,
    Storm,
    busier,
    calls,
    cold,
    falls,
    lines_at_once,
    storms,
    tail,
)
from benchmarks.capacity.target import ASSUMED, TARGET, Budget
from benchmarks.scale.report import Run, Series


def made() -> Runs:
    """100 bytes a line; a changed line takes a µs for each server."""
    sizes = [(float(x), 100.0 * x) for x in (10, 1000, 170_000)]
    line = [(float(x), float(x)) for x in (10, 1000, 170_000)]
    fixed = {"nodes_a_server": TARGET.nodes / TARGET.servers}
    return Runs({
        "lists": Run("lists", "", "", {}, [Series("whole list", "bytes", "servers", "one", sizes)]),
        POLICY[0]: Run("policy", "", "", {}, [Series("changed line", "us", "servers", "mean", line, fixed)]),
    })  # fmt: skip


def by_name(storm: Storm) -> dict[str, Figure]:
    return {figure.what: figure for figure in storm.figures}


@pytest.mark.parametrize(("mean", "over"), [(2.0, 3.0), (5.0, 8.9), (0.5, 0.0)])
def test_the_tail_is_that_of_poisson(mean: float, over: float) -> None:
    by_terms = sum(math.exp(-mean) * mean**n / math.factorial(n) for n in range(int(over) + 1, 80))
    assert tail(mean, over) == pytest.approx(by_terms, rel=1e-9)


def test_more_that_is_sent_lets_more_servers_fall() -> None:
    shares = [falls(margin) for margin in (0.3, 0.6, 0.8, 1.0)]
    assert shares == sorted(shares) and 0 < shares[0] < shares[-1] < 1


def test_the_part_of_a_cold_budget_that_may_be_sent_keeps_the_bound() -> None:
    figures = by_name(cold())
    part = figures["part of the budget that may be sent to keep the bound"].today
    bound = figures["servers that fall, if each node draws by chance"].budget
    assert part is not None and bound is not None
    assert falls(part) <= bound.value < falls(part + 0.01)


def test_lines_at_once_cost_what_their_bytes_and_the_policy_say() -> None:
    figures = by_name(lines_at_once("x", 1700.0, made(), ()))
    served = ASSUMED["served"].value * TARGET.service_servers
    assert figures["lines that a node is told"].told == pytest.approx(
        1700 * served / TARGET.servers
    )
    assert figures["they take, at 17 KB a second"].today == pytest.approx(10)
    assert figures["a node's processor for them"].today == pytest.approx(1700 * 170)
    out = figures["bytes out: of one service today, of each of 40 machines told"]
    assert out.today == pytest.approx(8600 * 0.17)
    assert out.told == pytest.approx(8600 * 0.17 * served / TARGET.servers / 40)


def test_what_is_lost_goes_to_the_others() -> None:
    load = busier("region", 3).figures[0].today
    assert load == pytest.approx(1.5 * ASSUMED["busy"].value)


def test_the_first_wave_of_calls_is_that_of_the_first_wait() -> None:
    figures = by_name(calls(made()))
    first = figures["calls a second on each, the first wave (within 25 to 75 ms)"]
    assert first.today == pytest.approx(8600 / 40 / 0.05)


def test_a_figure_says_which_way_is_over_its_budget() -> None:
    budget = Budget(1.0, "s", "")
    assert Figure("x", "s", 2.0, 0.5, budget).over == "today"
    assert Figure("x", "s", 2.0, 2.0, budget).over == "today, told"
    assert Figure("x", "s", 0.5, None, budget).over == "neither"
    assert Figure("x", "s", 9.0, 9.0).over == ""


def test_a_figure_with_an_assumption_is_marked_as_guessed() -> None:
    assert Figure("x", "s", 1.0, 1.0, None, ("served",)).tag is Tag.GUESSED
    assert Figure("x", "s", 1.0, 1.0).tag is Tag.MODELLED


def test_every_storm_of_the_page_names_assumptions_that_there_are() -> None:
    found = storms(Runs.kept())
    text = page.tables(Runs.kept())["storms"]
    for storm in found:
        assert storm.name.capitalize() in text
        for figure in storm.figures:
            assert set(figure.assumed) <= set(ASSUMED)


def test_lost_servers_say_how_many_requests_went_there() -> None:
    lost = by_name(lines_at_once("x", 170.0, made(), (), lost=True))
    assert lost["requests a second that went there"].today == pytest.approx(910)
    assert "requests a second that went there" not in by_name(lines_at_once("x", 170.0, made(), ()))
