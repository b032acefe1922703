"""The admitted share of a zone's capacity while it fails, recovers, flaps and degrades."""

from __future__ import annotations

import pytest

from badgercart.zones.circuit_breaker import BreakerState, RecoverySettings, ZoneCircuitBreaker

RECOVERY = RecoverySettings(hold_ms=1000.0, max_hold_ms=8000.0, hold_reset_after_ms=20_000.0)


def tick_until(
    breaker: ZoneCircuitBreaker,
    now_ms: float,
    end_ms: float,
    down: bool,
    reachable: bool = True,
    health: float = 1.0,
) -> float:
    """Tick a breaker every 100 ms until a time, and return the time."""
    while now_ms < end_ms:
        now_ms += 100.0
        breaker.tick(now_ms, down, reachable, health)
    return now_ms


def test_a_breaker_opens_at_once_and_recovers_step_by_step() -> None:
    """A zone that is down gets nothing, then nothing for the hold, then a growing share."""
    breaker = ZoneCircuitBreaker(RECOVERY)
    now_ms = tick_until(breaker, 0.0, 100.0, True)
    assert breaker.state is BreakerState.OPEN
    assert breaker.admitted_share == 0
    now_ms = tick_until(breaker, now_ms, now_ms + 800.0, False)
    assert breaker.state is BreakerState.OPEN
    now_ms = tick_until(breaker, now_ms, now_ms + 500.0, False)
    assert breaker.state is BreakerState.HALF_OPEN
    assert 0.1 <= breaker.admitted_share < 0.3
    tick_until(breaker, now_ms, now_ms + 6000.0, False)
    assert breaker.state is BreakerState.CLOSED
    assert breaker.admitted_share == 1.0


def test_a_flapping_zone_is_held_longer_each_time() -> None:
    """A zone that flaps must not make traffic flap: it recovers at most three times."""
    breaker, now_ms, recovered = ZoneCircuitBreaker(RECOVERY), 0.0, 0
    # The zone is down and up for 2 s each, for five minutes.
    for _ in range(75):
        now_ms = tick_until(breaker, now_ms, now_ms + 2000.0, True)
        before = breaker.state
        now_ms = tick_until(breaker, now_ms, now_ms + 2000.0, False)
        recovered += before is BreakerState.OPEN and breaker.state is not BreakerState.OPEN
    assert recovered <= 3
    assert breaker.hold_ms > RECOVERY.hold_ms


def test_a_regression_halves_the_share_once_and_a_slow_zone_keeps_a_share() -> None:
    """A recovering zone is not halved repeatedly, and a slow zone still gets a share."""
    breaker = ZoneCircuitBreaker(RECOVERY)
    now_ms = tick_until(breaker, 0.0, 100.0, True)
    now_ms = tick_until(breaker, now_ms, now_ms + 3500.0, False)
    before = breaker.admitted_share
    now_ms = tick_until(breaker, now_ms, now_ms + 100.0, False, health=0.25)
    assert breaker.stepped_back
    assert breaker.admitted_share == pytest.approx(before / 2)
    tick_until(breaker, now_ms, now_ms + 100.0, False, health=0.25)
    # The share is not halved again, but follows the health.
    assert breaker.state is BreakerState.CLOSED
    assert breaker.admitted_share == 0.25
    slow = ZoneCircuitBreaker(RECOVERY)
    tick_until(slow, 0.0, 1000.0, False, health=0.3)
    assert slow.state is BreakerState.CLOSED
    assert slow.admitted_share == 0.3
