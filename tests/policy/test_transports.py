"""Transports that retry by themselves: fallbacks, deferred decisions, and earlier attempts."""

from __future__ import annotations

from typing import Any

import pytest

from badgercart.policy.actions import Fail, Send, Shed
from badgercart.policy.endpoint import Endpoint, EndpointState
from badgercart.policy.events import (
    AttemptEnded,
    AttemptRerouted,
    AttemptResult,
    EndpointUpdate,
    Request,
    RequestCancelled,
    RetryDecisionDue,
    UpdateKind,
)
from badgercart.policy.policy import Policy
from badgercart.policy.settings import DeduplicationScope, Idempotency, RequestClass, Settings

NOW = 50_000.0
SAFE = RequestClass(400.0, 1000.0, 1.0, Idempotency.IDEMPOTENT)
KEYED = RequestClass(400.0, 1000.0, 1.0, Idempotency.KEYED, deduplication_window_ms=6000.0)
ZONED = RequestClass(
    400.0, 1000.0, 1.0, Idempotency.KEYED, DeduplicationScope.ZONE, deduplication_window_ms=6000.0
)
SHORT = RequestClass(400.0, 1000.0, 1.0, Idempotency.KEYED, deduplication_window_ms=300.0)
UNSAFE = RequestClass(400.0, 1000.0, 1.0, Idempotency.NON_IDEMPOTENT)
CLASSES = (SAFE, KEYED, ZONED, SHORT, UNSAFE)


def policy(started: float = 0.0, **changes: Any) -> Policy:
    values: dict[str, Any] = {
        "max_attempts": 4,
        "slow_start_min_capacity": 0.3,
        "slow_start_duration_ms": 8000.0,
    }
    made = Policy(Settings(classes=CLASSES, **values | changes), seed=3)
    entries = [
        Endpoint(i, i % 2, 0, 0, EndpointState.READY, 1.0, started if i > 1 else 0.0)
        for i in range(1, 7)
    ]
    made.handle(NOW, EndpointUpdate(UpdateKind.SNAPSHOT, 1, entries))
    return made


def sent(actions: list[Any]) -> Send:
    (send,) = [action for action in actions if isinstance(action, Send)]
    return send


def send_request(made: Policy, class_index: int, **changes: Any) -> list[Any]:
    return made.handle(NOW, Request(1, class_index, NOW + 900.0, **changes))


@pytest.mark.parametrize(("class_index", "count"), [(0, 3), (1, 3), (2, 2), (3, 0), (4, 0)])
def test_fallbacks_are_limited_by_attempts_scope_and_window(class_index: int, count: int) -> None:
    send = sent(send_request(policy(), class_index, max_fallbacks=9))
    # There are four attempts at most, three endpoints in a zone, and a window of 300 ms that ends
    # before the attempt may.
    assert len(send.fallbacks) == count
    assert len({send.endpoint_id, *send.fallbacks}) == count + 1
    if class_index == 2:
        assert len({server % 2 for server in (send.endpoint_id, *send.fallbacks)}) == 1


def test_no_fallbacks_unless_requested_and_never_in_slow_start() -> None:
    assert sent(send_request(policy(), 0)).fallbacks == ()
    made = policy(started=NOW - 100.0)
    # No attempt ends, which must not count as a burst.
    made.overload.concurrency.limit, made.schedule.refreshed_at_ms = 100.0, NOW
    for number in range(20):
        send = sent(made.handle(NOW, Request(number + 1, 0, NOW + 900.0, max_fallbacks=3)))
        assert set(send.fallbacks) <= {1}


def test_no_fallbacks_where_connections_fail() -> None:
    made = policy()
    made.overload.error_rate.connect_failure_rate = 1.0  # a retry would add connections
    assert sent(send_request(made, 0, max_fallbacks=2)).fallbacks == ()


def test_a_transport_sends_to_a_fallback() -> None:
    made = policy()
    send = sent(send_request(made, 1, max_fallbacks=2))
    to = send.fallbacks[0]
    made.handle(NOW + 10, AttemptRerouted(1, 0, send.endpoint_id, AttemptResult.ERROR, 10.0, to))
    assert (
        made.overload.concurrency.current == 1
        and not made.fleet.endpoints.by_id[send.endpoint_id].open_attempts
    )
    assert (1, 1) in made.fleet.endpoints.by_id[to].open_attempts and made.fleet.endpoints.by_id[
        send.endpoint_id
    ].health[1].failure_rate > 0
    # The first attempt may have been executed: the class's scope and window limit the next one.
    made.random.random = lambda: 0.99  # type: ignore[method-assign]
    again = sent(made.handle(NOW + 20, AttemptEnded(1, to, False, AttemptResult.ERROR, 1, 10.0)))
    assert again.endpoint_id not in (send.endpoint_id, to)
    made.handle(NOW + 30, AttemptEnded(1, again.endpoint_id, True, AttemptResult.OK, 2, 10.0))
    assert made.overload.concurrency.current == 0 and not made.lifecycle.requests


def test_a_repeated_or_unknown_reroute_changes_nothing() -> None:
    made = policy()
    send = sent(send_request(made, 0, max_fallbacks=1))
    for _ in range(2):
        made.handle(
            NOW,
            AttemptRerouted(1, 0, send.endpoint_id, AttemptResult.ERROR, 1.0, send.fallbacks[0]),
        )
    made.handle(
        NOW, AttemptRerouted(7, 0, send.endpoint_id, AttemptResult.ERROR, 1.0, send.fallbacks[0])
    )
    assert made.overload.concurrency.current == 1


def test_a_deferred_decision_updates_statistics_and_sends_nothing() -> None:
    made = policy()
    send = sent(send_request(made, 0))
    assert (
        made.handle(
            NOW + 5,
            AttemptEnded(
                1, send.endpoint_id, False, AttemptResult.ERROR, 0, 5.0, retry_deferred=True
            ),
        )
        == []
    )
    assert (
        made.overload.concurrency.current == 0
        and 1 in made.lifecycle.requests
        and made.fleet.endpoints.by_id[send.endpoint_id].health[0].failure_rate > 0
    )
    made.random.random = lambda: 0.99  # type: ignore[method-assign]
    assert sent(made.handle(NOW + 9, RetryDecisionDue(1, True))).endpoint_id != send.endpoint_id
    assert made.handle(NOW + 9, RetryDecisionDue(1, True)) == []  # it has an open attempt again


@pytest.mark.parametrize(
    ("class_index", "result", "answer"),
    [
        (0, AttemptResult.ERROR, Shed),
        (1, AttemptResult.RESET, Shed),
        (2, AttemptResult.RESET, Fail),
        (4, AttemptResult.ERROR, Fail),
        (4, AttemptResult.FULL, Shed),
    ],
)
def test_a_deferred_request_that_is_ended_is_shed_where_a_retry_does_no_harm(
    class_index: int, result: AttemptResult, answer: type
) -> None:
    made = policy()
    send = sent(send_request(made, class_index))
    made.handle(
        NOW + 5, AttemptEnded(1, send.endpoint_id, False, result, 0, 5.0, retry_deferred=True)
    )
    assert [type(action) for action in made.handle(NOW + 6, RetryDecisionDue(1, False))] == [answer]
    assert not made.lifecycle.requests and made.handle(NOW + 7, RetryDecisionDue(1, False)) == []


def test_a_deferred_request_may_be_cancelled() -> None:
    made = policy()
    send = sent(send_request(made, 0))
    made.handle(
        NOW + 5,
        AttemptEnded(1, send.endpoint_id, False, AttemptResult.ERROR, 0, 5.0, retry_deferred=True),
    )
    assert made.handle(NOW + 6, RequestCancelled(1)) == [] and not made.lifecycle.requests


@pytest.mark.parametrize(
    ("class_index", "answer"), [(0, Send), (1, Send), (2, Fail), (3, Fail), (4, Fail)]
)
def test_a_request_possibly_executed_elsewhere_is_sent_only_if_all_endpoints_deduplicate(
    class_index: int, answer: type
) -> None:
    assert type(send_request(policy(), class_index, possibly_executed=True)[-1]) is answer


def test_only_reachable_endpoints_are_used() -> None:
    made = policy()
    for number in range(20):
        request = Request(
            number + 1, 0, NOW + 900.0, max_fallbacks=3, reachable_endpoints=frozenset({2, 5, 99})
        )
        send = sent(made.handle(NOW, request))
        assert {send.endpoint_id, *send.fallbacks} <= {2, 5}
    assert type(send_request(made, 0, reachable_endpoints=frozenset())[-1]) is Shed
