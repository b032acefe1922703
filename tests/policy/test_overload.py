"""Error rate, throughput, concurrency limit, overload and the shed threshold."""

from __future__ import annotations

import pytest

from badgercart.policy.error_rate import ErrorRate
from badgercart.policy.events import SettingsChanged
from badgercart.policy.overload import OverloadController
from badgercart.policy.settings import Idempotency, RequestClass, Settings
from badgercart.policy.throughput import MIN_SAMPLES, Throughput


def controller() -> OverloadController:
    return OverloadController(ErrorRate(), Throughput())


def test_a_few_failures_by_chance_are_no_overload() -> None:
    errors = ErrorRate()
    errors.record(True, 1.0, True)
    assert errors.rate == 0.2
    for _ in range(200):
        errors.record(False, 1.0, True)
    assert errors.rate < 0.01


def test_a_failure_without_a_connection_is_counted_separately() -> None:
    errors = ErrorRate()
    for _ in range(30):
        errors.record(True, 0.0, False)
    assert errors.rate == 0.0 and errors.connect_failure_rate > 0.9


def test_shed_requests_decay_the_weight_of_earlier_attempts() -> None:
    errors = ErrorRate()
    for _ in range(30):
        errors.record(True, 1.0, True)
    before = errors.attempts, errors.failures
    for _ in range(100):
        errors.record_shed()
    assert errors.attempts < 0.4 * before[0] and errors.failures < 0.4 * before[1]


def test_the_threshold_is_the_cube_of_overload_by_errors_or_by_attempts_in_flight() -> None:
    overload = controller()
    overload.measure()
    assert (overload.level, overload.shed_threshold) == (0.0, 0.0)
    overload.error_rate.rate = 0.25
    overload.measure()
    assert overload.level == pytest.approx(0.5)
    assert overload.shed_threshold == pytest.approx(12.5)
    overload.error_rate.rate, overload.concurrency.limit = 0.0, 8.0
    overload.concurrency.current = overload.concurrency.average = 12
    overload.measure()
    assert overload.level == 1.0 and overload.sheds(99.9)
    # After a burst no attempt is open: the average alone sheds nothing.
    overload.concurrency.current = 0
    overload.measure()
    assert overload.level == 0.0


def test_a_burst_is_shed_by_the_attempts_open_at_this_moment() -> None:
    overload = controller()
    overload.concurrency.limit, overload.concurrency.current = 10.0, 45
    overload.measure()
    assert overload.shed_threshold == 0.0
    # Half way from 3 to 6 times the limit.
    assert overload.sheds(12.4) and not overload.sheds(12.6)


def test_retries_are_suppressed_by_overload_or_by_failed_connections() -> None:
    overload = controller()
    overload.level, overload.error_rate.connect_failure_rate = 0.3, 0.6
    assert overload.retry_suppression() == 0.6
    overload.level = 0.9
    assert overload.retry_suppression() == 0.9


def test_shedding_is_logged_once_at_its_start_and_end() -> None:
    overload = controller()
    assert overload.refresh(50.0, 4.0, 4) == ""
    overload.error_rate.failures = overload.error_rate.attempts = 100.0
    text = overload.refresh(1.0, 4.0, 4)
    assert text.startswith("shedding on: x 1.00, errors 0.9") and text.endswith(" of 4.0")
    assert overload.refresh(1.0, 4.0, 4) == ""
    overload.error_rate.failures = 0.0
    assert overload.refresh(1.0, 4.0, 4).startswith("shedding off: x 0.00")


def test_the_limit_is_the_slots_until_enough_responses_then_rate_times_latency() -> None:
    overload = controller()
    overload.refresh_limit(50.0, 0.25, 2)
    assert overload.concurrency.limit == 1.0
    throughput = overload.throughput
    overload.refresh_limit(1950.0, 0.25, 2)
    for _ in range(400):
        for _ in range(5):
            throughput.record_timely(100.0, 1.0)
        overload.refresh_limit(50.0, 0.25, 2)
    assert throughput.is_known and throughput.samples > MIN_SAMPLES
    assert throughput.best_latency_ms == pytest.approx(100.0)
    assert throughput.best_rate == pytest.approx(0.1, rel=1e-3)
    assert throughput.best_rate_per_endpoint == pytest.approx(0.05, rel=1e-3)
    # Next to nothing fails: the limit is 1.5 times as high.
    assert overload.concurrency.limit == pytest.approx(15.0, rel=1e-3)
    overload.error_rate.rate = 0.1
    overload.refresh_limit(0.001, 0.25, 2)
    assert overload.concurrency.limit == pytest.approx(10.0, rel=1e-3)


def test_time_windows_scale_with_the_strictest_live_class() -> None:
    overload = controller()
    classes = tuple(
        RequestClass(ms, 1000.0, 1.0, Idempotency.IDEMPOTENT) for ms in (100.0, 200.0, 900.0)
    )
    overload.apply_settings(SettingsChanged(Settings(classes), frozenset({1, 2})))
    assert overload.time_scale == 0.5
    overload.apply_settings(SettingsChanged(Settings(classes), frozenset({2})))
    assert overload.time_scale == 1.0
