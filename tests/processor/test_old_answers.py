"""Tests how proxies that use old answers are treated."""

from __future__ import annotations

from badgercart.frontends.processor.old_answers import MAX_PROXIES, OldAnswerTracker, Standing
from badgercart.frontends.processor.settings import OldAnswers

RULE = OldAnswers(window_ms=1000.0, no_fallbacks_after=3, refuse_after=5, refuse_for_ms=200.0)


def test_fallbacks_are_withdrawn_first_then_routes_and_both_are_restored() -> None:
    tracker = OldAnswerTracker(RULE)
    proxy = tracker.find_or_add("p")
    assert [tracker.record_old_use(proxy, False, 10.0 * i) for i in range(5)] == [
        Standing.GOOD,
        Standing.GOOD,
        Standing.NO_FALLBACKS,
        Standing.NO_FALLBACKS,
        Standing.REFUSED,
    ]
    assert tracker.standing(proxy, 239.0) is Standing.REFUSED
    assert tracker.standing(proxy, 240.0) is Standing.GOOD  # counting has started again
    assert tracker.record_old_use(proxy, True, 250.0) is Standing.GOOD
    assert (proxy.old, proxy.drained) == (6, 1)


def test_old_uses_leave_the_window() -> None:
    tracker = OldAnswerTracker(RULE)
    proxy = tracker.find_or_add("p")
    for i in range(30):
        assert tracker.record_old_use(proxy, False, 500.0 * i) is Standing.GOOD
    assert len(proxy.old_use_times_ms) <= RULE.refuse_after


def test_the_number_of_proxies_is_limited_and_those_whose_requests_are_shed_are_kept() -> None:
    tracker = OldAnswerTracker(RULE)
    shed = tracker.find_or_add("bad")
    for _ in range(5):
        tracker.record_old_use(shed, False, 0.0)
    for i in range(2 * MAX_PROXIES):
        tracker.find_or_add(f"p-{i}")
    assert len(tracker.proxies) == MAX_PROXIES and tracker.find_or_add("bad") is shed
