"""Fitted slopes: exact for exact data, correct intervals for noise, errors for too few points."""

from __future__ import annotations

import math
import random

import pytest

from benchmarks.scale.fit import doublings, fit


@pytest.mark.parametrize("exponent", [-1.0, 0.0, 0.5, 1.0, 2.0])
def test_an_exact_power_law_is_found_with_an_empty_interval(exponent: float) -> None:
    slope = fit([(x, 3.0 * x**exponent) for x in doublings(10, 170_000)])
    assert slope.exponent == pytest.approx(exponent, abs=1e-9)
    assert slope.factor == pytest.approx(3.0)
    assert slope.high - slope.low < 1e-6
    estimate = slope.at(1e6)
    assert estimate.value == pytest.approx(3.0 * 1e6**exponent)
    assert estimate.low == pytest.approx(estimate.value) and estimate.high == pytest.approx(
        estimate.value
    )


def test_the_interval_matches_a_worked_example() -> None:
    # Logarithms 0, 1, 2, 3 with costs e**0, e**1, e**3, e**3: slope 1.1, standard error sqrt(0.35),
    # t(2) = 4.30265.
    slope = fit([(math.e**x, math.e**y) for x, y in ((0, 0), (1, 1), (2, 3), (3, 3))])
    assert slope.exponent == pytest.approx(1.1) and math.log(slope.factor) == pytest.approx(0.1)
    assert slope.standard_error == pytest.approx(math.sqrt(0.35))
    half_width = 4.30265273 * math.sqrt(0.35) / math.sqrt(5)
    assert (slope.low, slope.high) == (
        pytest.approx(1.1 - half_width),
        pytest.approx(1.1 + half_width),
    )
    estimate = slope.at(math.e**4)
    prediction_half_width = 4.30265273 * math.sqrt(0.35) * math.sqrt(1 + 1 / 4 + 2.5**2 / 5)
    assert math.log(estimate.value) == pytest.approx(4.5)
    assert (math.log(estimate.low), math.log(estimate.high)) == (
        pytest.approx(4.5 - prediction_half_width),
        pytest.approx(4.5 + prediction_half_width),
    )


def test_intervals_of_noisy_data_have_the_promised_coverage() -> None:
    rng, covered_slopes, covered_estimates, trials = random.Random(1), 0, 0, 400
    for _ in range(trials):
        points = [(x, 5.0 * x**0.8 * math.exp(rng.gauss(0, 0.2))) for x in doublings(10, 20_000)]
        slope = fit(points)
        covered_slopes += slope.low <= 0.8 <= slope.high
        estimate, actual = slope.at(170_000), 5.0 * 170_000**0.8 * math.exp(rng.gauss(0, 0.2))
        covered_estimates += estimate.low <= actual <= estimate.high
    assert 0.92 < covered_slopes / trials < 0.98 and 0.92 < covered_estimates / trials < 0.98


def test_an_estimate_is_less_certain_further_out() -> None:
    rng = random.Random(2)
    slope = fit([(x, x * math.exp(rng.gauss(0, 0.1))) for x in doublings(10, 10_000)])
    widths = [slope.at(x).high / slope.at(x).low for x in (1_000, 100_000, 10_000_000)]
    assert widths == sorted(widths)
    assert [slope.extrapolation_factor(x) for x in (5, 10, 300, 10_000, 170_000)] == [
        2,
        1,
        1,
        1,
        17,
    ]


def test_a_range_or_the_last_points_exclude_the_flat_part() -> None:
    points = [(x, max(60.0, 0.01 * x)) for x in doublings(100, 102_400)]
    assert fit(points, min_size=10_000).exponent == pytest.approx(1.0)
    assert fit(points, max_size=3000).exponent == pytest.approx(0.0, abs=1e-12)
    assert fit(points, last=4).exponent == pytest.approx(1.0)
    assert fit([*points, (0.0, 1.0)], max_size=3000).min_size == 100


@pytest.mark.parametrize("points", [[], [(1.0, 1.0)], [(1.0, 1.0), (2.0, 2.0)], [(2.0, 1.0)] * 5])
def test_too_few_sizes_are_an_error(points: list[tuple[float, float]]) -> None:
    with pytest.raises(ValueError, match=f"a slope needs 3 sizes, got {len(set(points))}"):
        fit(points)
    with pytest.raises(ValueError, match="from 5 to 6, the last 2"):
        fit([(5.0, 1.0), (5.5, 1.0), (6.0, 1.0)], min_size=5, max_size=6, last=2)


@pytest.mark.parametrize("cost", [0.0, -1.0, math.inf, math.nan])
def test_a_cost_without_a_logarithm_is_an_error(cost: float) -> None:
    with pytest.raises(ValueError, match="the cost at size 20 is"):
        fit([(10.0, 1.0), (20.0, cost), (40.0, 1.0)])


def test_a_size_of_0_has_no_estimate() -> None:
    with pytest.raises(ValueError, match="a size must be positive, not 0"):
        fit([(1.0, 1.0), (2.0, 2.0), (4.0, 4.0)]).at(0)


def test_doublings_end_with_the_largest_size() -> None:
    assert doublings(10, 170) == [10, 20, 40, 80, 170]
    assert doublings(10, 160) == [10, 20, 40, 80, 160]
    assert (
        doublings(1, 64, 4) == [1, 4, 16, 64]
        and doublings(10, 4) == [4]
        and doublings(10, 10) == [10]
    )
