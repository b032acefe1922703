"""What may be attempted again, where and until when."""

from __future__ import annotations

import random

import pytest

from badgercart.policy.actions import Fail, Shed
from badgercart.policy.endpoint import Endpoint, EndpointState
from badgercart.policy.error_rate import ErrorRate
from badgercart.policy.events import AttemptResult, Request
from badgercart.policy.overload import OverloadController
from badgercart.policy.requests import PendingRequest
from badgercart.policy.retries import RetryPolicy
from badgercart.policy.settings import DeduplicationScope, Idempotency, RequestClass, Settings
from badgercart.policy.throughput import Throughput

IDEMPOTENT = RequestClass(400.0, 1000.0, 1.0, Idempotency.IDEMPOTENT)
NON_IDEMPOTENT = RequestClass(400.0, 1000.0, 1.0, Idempotency.NON_IDEMPOTENT)
HERE = Endpoint(1, 0, 0, 5, EndpointState.READY, 1.0, 0.0)
SAME_ZONE = Endpoint(2, 0, 0, 6, EndpointState.READY, 1.0, 0.0)
SAME_CELL = Endpoint(3, 1, 0, 5, EndpointState.READY, 1.0, 0.0)


def keyed(scope: DeduplicationScope, window_ms: float = 600.0) -> RequestClass:
    return RequestClass(400.0, 1000.0, 1.0, Idempotency.KEYED, scope, window_ms)


def retries_of(*classes: RequestClass, full_possibly_executed: bool = False) -> RetryPolicy:
    settings = Settings(
        classes,
        tick_ms=5.0,
        max_attempts=3,
        max_retry_after_ms=1000.0,
        full_possibly_executed=full_possibly_executed,
    )
    overload = OverloadController(ErrorRate(), Throughput())
    return RetryPolicy(overload, settings, random.Random(1))


def executed(cls: RequestClass, sent_ms: float = 100.0) -> PendingRequest:
    pending = PendingRequest(Request(9, 0, 1100.0), cls, 50.0, 40.0)
    pending.possibly_executed[0] = sent_ms, HERE
    return pending


def test_what_may_have_been_executed_goes_on_by_its_class_only() -> None:
    retries = retries_of(IDEMPOTENT)
    assert retries.may_send(executed(IDEMPOTENT), SAME_ZONE, 200.0)
    assert not retries.may_send(executed(NON_IDEMPOTENT), SAME_ZONE, 200.0)
    fresh = PendingRequest(Request(9, 0, 1100.0), NON_IDEMPOTENT, 50.0, 40.0)
    assert retries.may_send(fresh, SAME_ZONE, 200.0)


@pytest.mark.parametrize(
    ("scope", "zone", "cell"),
    [
        (DeduplicationScope.ALL, True, True),
        (DeduplicationScope.ZONE, True, False),
        (DeduplicationScope.CELL, False, True),
    ],
)
def test_a_keyed_request_stays_with_those_that_drop_its_repeats(
    scope: DeduplicationScope, zone: bool, cell: bool
) -> None:
    retries, pending = retries_of(IDEMPOTENT), executed(keyed(scope))
    assert retries.may_send(pending, SAME_ZONE, 200.0) is zone
    assert retries.may_send(pending, SAME_CELL, 200.0) is cell


def test_a_keyed_request_is_repeated_within_its_window_less_a_tick() -> None:
    retries, pending = retries_of(IDEMPOTENT), executed(keyed(DeduplicationScope.ALL))
    assert retries.may_send(pending, HERE, 694.0) and not retries.may_send(pending, HERE, 695.0)
    assert not retries.may_send(pending, HERE, 200.0, until_ms=695.0)


def test_only_reachable_endpoints_are_sent_to() -> None:
    request = Request(9, 0, 1100.0, reachable_endpoints=frozenset({2}))
    pending = PendingRequest(request, IDEMPOTENT, 50.0, 40.0)
    retries = retries_of(IDEMPOTENT)
    assert retries.may_send(pending, SAME_ZONE, 60.0) and not retries.may_send(pending, HERE, 60.0)


def test_results_that_prove_nothing_was_executed_follow_the_settings() -> None:
    assert AttemptResult.FULL in retries_of(IDEMPOTENT).not_executed
    never = retries_of(IDEMPOTENT, full_possibly_executed=True).not_executed
    assert AttemptResult.FULL not in never and AttemptResult.UNREACHABLE in never


def test_a_request_with_earlier_attempts_elsewhere_is_taken_only_where_repeats_do_no_harm() -> None:
    classes = (IDEMPOTENT, NON_IDEMPOTENT, keyed(DeduplicationScope.ALL, 2000.0),
               keyed(DeduplicationScope.ALL, 600.0), keyed(DeduplicationScope.ZONE, 2000.0))  # fmt: skip
    retries = retries_of(*classes)
    taken = [
        retries.accepts(Request(1, index, 900.0, possibly_executed=True)) for index in range(5)
    ]
    assert taken == [True, False, True, False, False]
    assert retries.accepts(Request(1, 1, 900.0))


def test_an_attempt_ends_with_what_an_answer_is_worth() -> None:
    retries = retries_of(IDEMPOTENT)
    pending = PendingRequest(Request(9, 0, 1100.0), IDEMPOTENT, 50.0, 40.0)
    assert retries.end_ms(pending) == 450.0
    assert retries.timeout_ms(pending, 450.0, 100.0) == 350.0
    assert retries.latest_start_ms(pending, 450.0, 0, 80.0) == 410.0
    assert retries.latest_start_ms(pending, 450.0, 2, 80.0) == 250.0
    assert retries.latest_start_ms(pending, 450.0, 0, 1.0) == 440.0  # two ticks
    late = RequestClass(400.0, 1000.0, 1.0, Idempotency.IDEMPOTENT, late_value_share=0.5)
    assert retries.end_ms(PendingRequest(Request(9, 0, 1100.0), late, 50.0, 40.0)) == 1100.0


def test_retries_end_with_overload_and_with_a_time_out() -> None:
    retries = retries_of(IDEMPOTENT)
    assert retries.should_retry(AttemptResult.ERROR)
    assert not retries.should_retry(AttemptResult.TIMEOUT)
    overload = OverloadController(ErrorRate(), Throughput())
    overload.level = 1.0
    suppressed = RetryPolicy(overload, Settings((IDEMPOTENT,)), random.Random(1))
    assert not suppressed.should_retry(AttemptResult.ERROR) and not suppressed.allows_fallbacks()


def test_a_client_is_told_to_come_back_only_where_that_does_no_harm() -> None:
    retries = retries_of(IDEMPOTENT)
    assert isinstance(retries.final_answer(executed(IDEMPOTENT)), Shed)
    assert isinstance(retries.final_answer(executed(NON_IDEMPOTENT)), Fail)
    fresh = PendingRequest(Request(9, 0, 1100.0), NON_IDEMPOTENT, 50.0, 40.0)
    answer = retries.final_answer(fresh)
    assert isinstance(answer, Shed) and 540.0 <= answer.retry_after_ms <= 600.0
