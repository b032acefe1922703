"""Which share of a zone's capacity is admitted as it fails, recovers, flaps and degrades."""

from __future__ import annotations

import pytest

from badgercart.zones.circuit_breaker import BreakerState, RecoverySettings, ZoneCircuitBreaker

RECOVERY = RecoverySettings(hold_ms=1000.0, max_hold_ms=8000.0, forgive_after_ms=20_000.0)


def walk(
    breaker: ZoneCircuitBreaker,
    now: float,
    until: float,
    down: bool,
    reachable: bool = True,
    health: float = 1.0,
) -> float:
    while now < until:
        now += 100.0
        breaker.tick(now, down, reachable, health)
    return now


def test_a_breaker_opens_at_once_holds_and_recovers_by_steps() -> None:
    breaker = ZoneCircuitBreaker(RECOVERY)
    now = walk(breaker, 0.0, 100.0, True)
    assert breaker.state is BreakerState.OPEN
    assert breaker.admitted_share == 0
    now = walk(breaker, now, now + 800.0, False)
    assert breaker.state is BreakerState.OPEN
    now = walk(breaker, now, now + 500.0, False)
    assert breaker.state is BreakerState.HALF_OPEN
    assert 0.1 <= breaker.admitted_share < 0.3
    walk(breaker, now, now + 6000.0, False)
    assert breaker.state is BreakerState.CLOSED
    assert breaker.admitted_share == 1.0


def test_a_zone_that_flaps_is_held_longer_each_time_and_in_the_end_stays_shut() -> None:
    breaker, now, recovered = ZoneCircuitBreaker(RECOVERY), 0.0, 0
    for _ in range(75):  # each 2 s for five minutes
        now = walk(breaker, now, now + 2000.0, True)
        before = breaker.state
        now = walk(breaker, now, now + 2000.0, False)
        recovered += before is BreakerState.OPEN and breaker.state is not BreakerState.OPEN
    assert recovered <= 3
    assert breaker.hold_ms > RECOVERY.hold_ms


def test_a_step_that_hurts_is_taken_back_once_and_a_slow_zone_keeps_a_share() -> None:
    breaker = ZoneCircuitBreaker(RECOVERY)
    now = walk(breaker, 0.0, 100.0, True)
    now = walk(breaker, now, now + 3500.0, False)
    before = breaker.admitted_share
    now = walk(breaker, now, now + 100.0, False, health=0.25)
    assert breaker.stepped_back
    assert breaker.admitted_share == pytest.approx(before / 2)
    walk(breaker, now, now + 100.0, False, health=0.25)
    # no further down than its answers say
    assert breaker.state is BreakerState.CLOSED
    assert breaker.admitted_share == 0.25
    slow = ZoneCircuitBreaker(RECOVERY)
    walk(slow, 0.0, 1000.0, False, health=0.3)
    assert slow.state is BreakerState.CLOSED
    assert slow.admitted_share == 0.3
