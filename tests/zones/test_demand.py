"""Requests are converted to slots by the lowest recent latency."""

from __future__ import annotations

import pytest

from badgercart.zones.demand import SMOOTHING_FACTOR, DemandEstimator


def test_slots_are_requests_per_ms_times_the_baseline_latency() -> None:
    """Rows of another topology are ignored."""
    demand = DemandEstimator(2, 1)
    assert not demand.has_baseline
    for _ in range(100):
        demand.count(0)
    demand.count(7)  # a row of another topology
    demand.update(1000.0, 50.0, ())
    assert demand.has_baseline
    assert demand.slots == [pytest.approx(SMOOTHING_FACTOR * 0.1 * 50.0), 0.0]


def test_a_slow_zone_does_not_raise_the_demand() -> None:
    """Slow responses keep more slots busy, but plans must not reserve more capacity for them."""
    demand = DemandEstimator(1, 1)
    for now_ms, latency_ms in ((1000.0, 50.0), (2000.0, 500.0)):
        for _ in range(100):
            demand.count(0)
        demand.update(now_ms, latency_ms, ())
    assert demand.slots[0] == pytest.approx(5.0 * (1 - (1 - SMOOTHING_FACTOR) ** 2), rel=0.02)


def test_the_demand_is_divided_by_the_typical_latency_of_classes() -> None:
    """A class with three times the typical latency needs three times the slots."""
    demand = DemandEstimator(4, 2)
    for _ in range(10):
        demand.count(0)
        demand.count(1)
    demand.update(1000.0, 40.0, (20.0, 60.0))
    assert demand.slots[1] == pytest.approx(3 * demand.slots[0])
    assert demand.slots[2:] == [0.0, 0.0]
    demand.reset(2, 1)
    assert demand.slots == [0.0, 0.0]
    assert demand.has_baseline
