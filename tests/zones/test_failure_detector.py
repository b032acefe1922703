"""What a node observes of each zone by its own attempts and health checks."""

from __future__ import annotations

import random

import pytest

from badgercart.policy.events import AttemptResult
from badgercart.zones.failure_detector import (
    HEALTHY_CHECKS,
    MAX_ENDPOINTS,
    REACHABLE_FOR_MS,
    Reachability,
    ZoneFailureDetector,
)

REACHABLE, UNREACHABLE, UNKNOWN = (
    Reachability.REACHABLE,
    Reachability.UNREACHABLE,
    Reachability.UNKNOWN,
)


def serving(seed: int = 1, mean: float = 50.0) -> tuple[ZoneFailureDetector, float]:
    """Return a detector that has observed 200 answers of zone 0, and the time."""
    detector, rng, now = ZoneFailureDetector(2), random.Random(seed), 0.0
    for number in range(200):
        took = rng.expovariate(1 / mean)
        now += 10.0
        detector.attempt_sent(now - took, 0, number % 4)
        detector.attempt_ended(now, 0, AttemptResult.OK, took)
    return detector, now


def test_a_zone_that_falls_silent_is_unreachable_the_sooner_the_more_is_outstanding() -> None:
    found = []
    for every in (2.0, 10.0, 50.0):
        detector, now = serving()
        since = now
        while detector.reachability(now, 0) is not UNREACHABLE:
            now += every
            detector.attempt_sent(now, 0, int(now) % 4)
            assert now < since + 5000
        found.append(now - since)
    assert found[0] < found[1] < found[2]
    assert found[0] < 100
    assert found[2] < 400


def test_random_latencies_are_never_taken_for_an_unreachable_zone() -> None:
    for seed in range(20):
        detector, now = serving(seed)
        rng, outstanding = random.Random(seed), []
        for number in range(2000):
            now += rng.expovariate(1 / 20)
            for end, sent in [pair for pair in outstanding if pair[0] <= now]:
                detector.attempt_ended(end, 0, AttemptResult.OK, end - sent)
                outstanding.remove((end, sent))
            detector.attempt_sent(now, 0, number % 3)
            outstanding.append((now + rng.expovariate(1 / 50), now))
            assert detector.reachability(now, 0) is REACHABLE, seed


@pytest.mark.parametrize(
    ("result", "needed"),
    [
        (AttemptResult.UNREACHABLE, 5),
        (AttemptResult.RESET, 10),
        (AttemptResult.TIMEOUT, 3),
        (AttemptResult.NOT_SENT, 99),
    ],
)
def test_attempts_without_an_answer_raise_suspicion_and_one_answer_takes_it_away(
    result: AttemptResult, needed: int
) -> None:
    detector, now = serving()
    count = 0
    while detector.reachability(now, 0) is not UNREACHABLE and count < 40:
        detector.attempt_sent(now, 0, count % 2)
        now += 1.0 if result is not AttemptResult.TIMEOUT else 500.0
        detector.attempt_ended(
            now, 0, result, 1.0 if result is not AttemptResult.TIMEOUT else 500.0
        )
        count += 1
    assert (
        count <= needed
        if needed < 99
        else detector.reachability(now, 0) is UNREACHABLE or count == 40
    )
    detector.attempt_sent(now, 0, 1)
    detector.attempt_ended(now + 5, 0, AttemptResult.FULL, 5.0)  # a full endpoint answers, too
    assert detector.reachability(now + 5, 0) is REACHABLE


def test_one_hanging_endpoint_of_two_is_left_to_the_policy() -> None:
    detector, now = serving()
    for _ in range(50):
        detector.attempt_sent(now, 0, 7)
    assert detector.reachability(now + 10_000, 0) is not UNREACHABLE
    assert detector.reachability(now + 10_000, 0, endpoint_count=1) is UNREACHABLE
    assert detector.zones[0].endpoint_count <= MAX_ENDPOINTS


def test_checks_in_a_row_make_a_zone_reachable_and_one_without_traffic_is_unknown() -> None:
    detector, now = serving()
    for number in range(6):
        detector.health_checked(now, 0, number, False)
    assert detector.reachability(now, 0) is UNREACHABLE
    assert detector.wants_check(now, 0, 2000.0)
    for answered in (*(True,) * (HEALTHY_CHECKS - 1), False, *(True,) * (HEALTHY_CHECKS - 1)):
        detector.health_checked(now, 0, 1, answered)
        assert detector.reachability(now, 0) is UNREACHABLE
    detector.health_checked(now, 0, 1, True)
    assert detector.reachability(now, 0) is REACHABLE
    assert not detector.wants_check(now + 50, 0, 2000.0)
    assert detector.reachability(now + REACHABLE_FOR_MS, 0) is UNKNOWN
    assert detector.reachability(now, 1) is UNKNOWN


def test_a_zone_is_slow_beside_its_own_baseline_with_attempts_that_timed_out() -> None:
    detector, now = serving()
    assert detector.zones[0].latency.relative < 2.0
    assert detector.zones[0].latency.is_current(now)
    assert not detector.zones[1].latency.is_current(now)
    for _ in range(40):
        now += 10.0
        detector.attempt_ended(now, 0, AttemptResult.TIMEOUT, 200.0)
    assert detector.zones[0].latency.relative > 2.5
    assert not detector.zones[0].latency.is_current(now + 5000.0)
