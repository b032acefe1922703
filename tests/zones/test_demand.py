"""Requests are turned into slots by the quickest latency of late."""

from __future__ import annotations

import pytest

from badgercart.zones.demand import SMOOTHING, DemandEstimator


def test_slots_are_requests_a_ms_times_the_baseline_latency() -> None:
    demand = DemandEstimator(2, 1)
    assert not demand.has_baseline
    for _ in range(100):
        demand.count(0)
    demand.count(7)  # a row of another topology
    demand.update(1000.0, 50.0, ())
    assert demand.has_baseline
    assert demand.slots == [pytest.approx(SMOOTHING * 0.1 * 50.0), 0.0]


def test_a_zone_that_gets_slow_does_not_raise_the_demand() -> None:
    demand = DemandEstimator(1, 1)
    for now, latency_ms in ((1000.0, 50.0), (2000.0, 500.0)):
        for _ in range(100):
            demand.count(0)
        demand.update(now, latency_ms, ())
    assert demand.slots[0] == pytest.approx(5.0 * (1 - (1 - SMOOTHING) ** 2), rel=0.02)


def test_classes_stand_beside_each_other_by_their_typical_latency() -> None:
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
