"""Which requests may be retried, where and until when."""

from __future__ import annotations

import math
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


def possibly_executed_request(
    request_class: RequestClass, sent_ms: float = 100.0
) -> PendingRequest:
    pending = PendingRequest(Request(9, 0, 1100.0), request_class, 50.0, 40.0)
    pending.possibly_executed[0] = sent_ms, HERE
    return pending


def test_a_possibly_executed_request_is_retried_only_if_idempotent() -> None:
    retries = retries_of(IDEMPOTENT)
    assert retries.may_send(possibly_executed_request(IDEMPOTENT), SAME_ZONE, 200.0)
    assert not retries.may_send(possibly_executed_request(NON_IDEMPOTENT), SAME_ZONE, 200.0)
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
def test_a_keyed_request_stays_within_its_deduplication_scope(
    scope: DeduplicationScope, zone: bool, cell: bool
) -> None:
    retries, pending = retries_of(IDEMPOTENT), possibly_executed_request(keyed(scope))
    assert retries.may_send(pending, SAME_ZONE, 200.0) is zone
    assert retries.may_send(pending, SAME_CELL, 200.0) is cell


def test_a_keyed_request_is_retried_within_its_window_minus_a_tick() -> None:
    retries, pending = (
        retries_of(IDEMPOTENT),
        possibly_executed_request(keyed(DeduplicationScope.ALL)),
    )
    assert retries.may_send(pending, HERE, 694.0) and not retries.may_send(pending, HERE, 695.0)
    assert not retries.may_send(pending, HERE, 200.0, until_ms=695.0)


def test_the_latest_time_to_send_follows_from_the_first_of_the_earlier_attempts() -> None:
    retries, pending = (
        retries_of(IDEMPOTENT),
        possibly_executed_request(keyed(DeduplicationScope.ZONE)),
    )
    assert retries.latest_send_ms(pending, SAME_ZONE) == 695.0
    assert retries.latest_send_ms(pending, SAME_CELL) == -math.inf  # out of the scope
    # The attempt itself is no earlier one, wherever the list moves its endpoint.
    assert retries.latest_send_ms(pending, SAME_CELL, number=0) == math.inf
    pending.possibly_executed[1] = 300.0, SAME_ZONE
    assert retries.latest_send_ms(pending, HERE, number=1) == 695.0
    pending.possibly_executed[2] = 400.0, HERE
    assert retries.latest_send_ms(pending, HERE, number=2) == 695.0
    for request_class, latest_ms in ((IDEMPOTENT, math.inf), (NON_IDEMPOTENT, -math.inf)):
        other = possibly_executed_request(request_class)
        assert retries.latest_send_ms(other, SAME_ZONE) == latest_ms


def test_only_reachable_endpoints_are_allowed() -> None:
    request = Request(9, 0, 1100.0, reachable_endpoints=frozenset({2}))
    pending = PendingRequest(request, IDEMPOTENT, 50.0, 40.0)
    retries = retries_of(IDEMPOTENT)
    assert retries.may_send(pending, SAME_ZONE, 60.0) and not retries.may_send(pending, HERE, 60.0)


def test_results_that_prove_nothing_was_executed_follow_the_settings() -> None:
    assert AttemptResult.FULL in retries_of(IDEMPOTENT).not_executed
    not_executed = retries_of(IDEMPOTENT, full_possibly_executed=True).not_executed
    assert AttemptResult.FULL not in not_executed and AttemptResult.UNREACHABLE in not_executed


def test_a_request_possibly_executed_elsewhere_is_accepted_only_if_deduplicated() -> None:
    classes = (
        IDEMPOTENT,
        NON_IDEMPOTENT,
        keyed(DeduplicationScope.ALL, 2000.0),
        keyed(DeduplicationScope.ALL, 600.0),
        keyed(DeduplicationScope.ZONE, 2000.0),
    )
    retries = retries_of(*classes)
    accepted = [
        retries.accepts(Request(1, index, 900.0, possibly_executed=True)) for index in range(5)
    ]
    assert accepted == [True, False, True, False, False]
    assert retries.accepts(Request(1, 1, 900.0))


def test_an_attempt_ends_when_a_response_has_no_value() -> None:
    retries = retries_of(IDEMPOTENT)
    pending = PendingRequest(Request(9, 0, 1100.0), IDEMPOTENT, 50.0, 40.0)
    assert retries.end_ms(pending) == 450.0
    assert retries.timeout_ms(pending, 450.0, 100.0) == 350.0
    assert retries.latest_start_ms(pending, 450.0, 0, 80.0) == 410.0
    assert retries.latest_start_ms(pending, 450.0, 2, 80.0) == 250.0
    assert retries.latest_start_ms(pending, 450.0, 0, 1.0) == 440.0  # two ticks
    late_value = RequestClass(400.0, 1000.0, 1.0, Idempotency.IDEMPOTENT, late_value_share=0.5)
    assert retries.end_ms(PendingRequest(Request(9, 0, 1100.0), late_value, 50.0, 40.0)) == 1100.0


def test_no_retries_under_overload_or_after_a_timeout() -> None:
    retries = retries_of(IDEMPOTENT)
    assert retries.should_retry(AttemptResult.ERROR)
    assert not retries.should_retry(AttemptResult.TIMEOUT)
    overload = OverloadController(ErrorRate(), Throughput())
    overload.level = 1.0
    suppressed = RetryPolicy(overload, Settings((IDEMPOTENT,)), random.Random(1))
    assert not suppressed.should_retry(AttemptResult.ERROR) and not suppressed.allows_fallbacks()


def test_a_request_is_shed_only_if_a_retry_of_the_client_does_no_harm() -> None:
    retries = retries_of(IDEMPOTENT)
    assert isinstance(retries.final_answer(possibly_executed_request(IDEMPOTENT)), Shed)
    assert isinstance(retries.final_answer(possibly_executed_request(NON_IDEMPOTENT)), Fail)
    fresh = PendingRequest(Request(9, 0, 1100.0), NON_IDEMPOTENT, 50.0, 40.0)
    answer = retries.final_answer(fresh)
    assert isinstance(answer, Shed) and 540.0 <= answer.retry_after_ms <= 600.0
