"""Failure detection of zones by a node's own attempts and health checks."""

from __future__ import annotations

import random

import pytest

from badgercart.policy.events import AttemptResult
from badgercart.zones.failure_detector import (
    MAX_TRACKED_ENDPOINTS,
    REACHABLE_FOR_MS,
    REQUIRED_HEALTHY_CHECKS,
    Reachability,
    ZoneFailureDetector,
)

REACHABLE, UNREACHABLE, UNKNOWN = (
    Reachability.REACHABLE,
    Reachability.UNREACHABLE,
    Reachability.UNKNOWN,
)


def detector_with_responses(
    seed: int = 1, mean_ms: float = 50.0
) -> tuple[ZoneFailureDetector, float]:
    """Return a detector that has observed 200 responses of zone 0, and the time."""
    detector, rng, now_ms = ZoneFailureDetector(2), random.Random(seed), 0.0
    for number in range(200):
        latency_ms = rng.expovariate(1 / mean_ms)
        now_ms += 10.0
        detector.attempt_sent(now_ms - latency_ms, 0, number % 4)
        detector.attempt_ended(now_ms, 0, AttemptResult.OK, latency_ms)
    return detector, now_ms


def test_a_silent_zone_is_detected_sooner_with_more_attempts_in_flight() -> None:
    """Detection takes under 100 ms with an attempt every 2 ms, and under 400 ms with few."""
    detection_times_ms = []
    for interval_ms in (2.0, 10.0, 50.0):
        detector, now_ms = detector_with_responses()
        started_ms = now_ms
        while detector.reachability(now_ms, 0) is not UNREACHABLE:
            now_ms += interval_ms
            detector.attempt_sent(now_ms, 0, int(now_ms) % 4)
            assert now_ms < started_ms + 5000
        detection_times_ms.append(now_ms - started_ms)
    assert detection_times_ms[0] < detection_times_ms[1] < detection_times_ms[2]
    assert detection_times_ms[0] < 100
    assert detection_times_ms[2] < 400


def test_random_latencies_cause_no_false_detection() -> None:
    """Exponentially distributed latencies never make a zone unreachable."""
    for seed in range(20):
        detector, now_ms = detector_with_responses(seed)
        rng, outstanding = random.Random(seed), []
        for number in range(2000):
            now_ms += rng.expovariate(1 / 20)
            for end_ms, sent_ms in [pair for pair in outstanding if pair[0] <= now_ms]:
                detector.attempt_ended(end_ms, 0, AttemptResult.OK, end_ms - sent_ms)
                outstanding.remove((end_ms, sent_ms))
            detector.attempt_sent(now_ms, 0, number % 3)
            outstanding.append((now_ms + rng.expovariate(1 / 50), now_ms))
            assert detector.reachability(now_ms, 0) is REACHABLE, seed


@pytest.mark.parametrize(
    ("result", "max_attempts"),
    [
        (AttemptResult.UNREACHABLE, 5),
        (AttemptResult.RESET, 10),
        (AttemptResult.TIMEOUT, 3),
        (AttemptResult.NOT_SENT, 99),
    ],
)
def test_failed_attempts_raise_suspicion_and_one_response_resets_it(
    result: AttemptResult, max_attempts: int
) -> None:
    """A refused connection counts more than a reset one; an attempt never sent counts nothing."""
    detector, now_ms = detector_with_responses()
    count = 0
    while detector.reachability(now_ms, 0) is not UNREACHABLE and count < 40:
        detector.attempt_sent(now_ms, 0, count % 2)
        now_ms += 1.0 if result is not AttemptResult.TIMEOUT else 500.0
        detector.attempt_ended(
            now_ms, 0, result, 1.0 if result is not AttemptResult.TIMEOUT else 500.0
        )
        count += 1
    assert (
        count <= max_attempts
        if max_attempts < 99
        else detector.reachability(now_ms, 0) is UNREACHABLE or count == 40
    )
    detector.attempt_sent(now_ms, 0, 1)
    detector.attempt_ended(now_ms + 5, 0, AttemptResult.FULL, 5.0)  # a full endpoint responds
    assert detector.reachability(now_ms + 5, 0) is REACHABLE


def test_one_hanging_endpoint_of_two_is_left_to_the_policy() -> None:
    """A zone is not unreachable because one of its endpoints hangs."""
    detector, now_ms = detector_with_responses()
    for _ in range(50):
        detector.attempt_sent(now_ms, 0, 7)
    assert detector.reachability(now_ms + 10_000, 0) is not UNREACHABLE
    assert detector.reachability(now_ms + 10_000, 0, endpoint_count=1) is UNREACHABLE
    assert detector.zones[0].endpoint_count <= MAX_TRACKED_ENDPOINTS


def test_consecutive_health_checks_make_a_zone_reachable() -> None:
    """A failed check restarts the count; a zone without traffic becomes unknown."""
    detector, now_ms = detector_with_responses()
    for number in range(6):
        detector.health_checked(now_ms, 0, number, False)
    assert detector.reachability(now_ms, 0) is UNREACHABLE
    assert detector.wants_check(now_ms, 0, 2000.0)
    for healthy in (
        *(True,) * (REQUIRED_HEALTHY_CHECKS - 1),
        False,
        *(True,) * (REQUIRED_HEALTHY_CHECKS - 1),
    ):
        detector.health_checked(now_ms, 0, 1, healthy)
        assert detector.reachability(now_ms, 0) is UNREACHABLE
    detector.health_checked(now_ms, 0, 1, True)
    assert detector.reachability(now_ms, 0) is REACHABLE
    assert not detector.wants_check(now_ms + 50, 0, 2000.0)
    assert detector.reachability(now_ms + REACHABLE_FOR_MS, 0) is UNKNOWN
    assert detector.reachability(now_ms, 1) is UNKNOWN


def test_timeouts_raise_the_relative_latency_of_a_zone() -> None:
    """A zone is compared with its own baseline, and old measurements are not current."""
    detector, now_ms = detector_with_responses()
    assert detector.zones[0].latency.relative < 2.0
    assert detector.zones[0].latency.is_current(now_ms)
    assert not detector.zones[1].latency.is_current(now_ms)
    for _ in range(40):
        now_ms += 10.0
        detector.attempt_ended(now_ms, 0, AttemptResult.TIMEOUT, 200.0)
    assert detector.zones[0].latency.relative > 2.5
    assert not detector.zones[0].latency.is_current(now_ms + 5000.0)
