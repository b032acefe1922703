"""Priority scores: bands in the order of the weights, as wide as their share of the traffic."""

from __future__ import annotations

from badgercart.policy.events import SettingsChanged
from badgercart.policy.priority import PriorityBands
from badgercart.policy.settings import Idempotency, RequestClass, Settings


def request_class(weight: float) -> RequestClass:
    return RequestClass(400.0, 1000.0, weight, Idempotency.IDEMPOTENT)


def settings_change(
    *weights: float, live: frozenset[int], reset: frozenset[int]
) -> SettingsChanged:
    settings = Settings(tuple(map(request_class, weights)), over_quota_weight=0.5)
    return SettingsChanged(settings, live, reset)


def bands_of(*weights: float) -> PriorityBands:
    priority, all_classes = PriorityBands(), frozenset(range(len(weights)))
    priority.apply_settings(settings_change(*weights, live=all_classes, reset=all_classes))
    return priority


def test_bands_are_in_order_of_weight_and_as_wide_as_their_offered_weight() -> None:
    priority = bands_of(1.0, 8.0)
    # The last two are beyond a quota, with half the weight.
    priority.offered = [30.0, 10.0, 40.0, 0.0]
    priority.refresh()
    assert priority.weights == [1.0, 8.0, 0.5, 4.0]
    total = 30.0 + 80.0 + 20.0
    assert priority.bands[2] == (0.0, 100.0 * 20.0 / total)
    assert priority.bands[0] == (100.0 * 20.0 / total, 100.0 * 30.0 / total)
    assert priority.bands[1] == (100.0 * 50.0 / total, 100.0 * 80.0 / total)


def test_equal_weights_share_a_band() -> None:
    priority = bands_of(2.0, 2.0, 5.0)
    priority.offered = [5.0, 10.0, 6.0, 0.0, 0.0, 0.0]
    priority.refresh()
    assert priority.bands[0] == priority.bands[1] == (0.0, 50.0)
    assert priority.score(0, 0.5) == 25.0 and priority.score(2, 0.0) == 50.0


def test_a_removed_class_gets_no_band_and_one_that_stays_keeps_its_traffic() -> None:
    priority = bands_of(1.0, 2.0)
    priority.offered = [6.0, 7.0, 1.0, 2.0]
    event = settings_change(1.0, 2.0, 3.0, live=frozenset({0, 2}), reset=frozenset({2}))
    priority.apply_settings(event)
    assert priority.offered[0] == 6.0 and priority.offered[3] == 1.0
    assert all(priority.offered[group] < 1e-6 for group in (1, 2, 4, 5))
    assert len(priority.bands) == 6
    priority.halve_traffic()
    assert priority.offered[0] == 3.0
