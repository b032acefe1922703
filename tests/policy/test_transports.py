"""Carriers that are no part of the node: fallbacks, parked ends, requests that others have sent
before."""

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


def ask(made: Policy, cls: int, **changes: Any) -> list[Any]:
    return made.handle(NOW, Request(1, cls, NOW + 900.0, **changes))


@pytest.mark.parametrize(("cls", "count"), [(0, 3), (1, 3), (2, 2), (3, 0), (4, 0)])
def test_fallbacks_keep_to_class_group_and_window(cls: int, count: int) -> None:
    send = sent(ask(policy(), cls, max_fallbacks=9))
    # Attempts in all are four; a zone holds three servers; a window of 300 ms ends before the
    # attempt may.
    assert len(send.fallbacks) == count
    assert len({send.endpoint_id, *send.fallbacks}) == count + 1
    if cls == 2:
        assert len({server % 2 for server in (send.endpoint_id, *send.fallbacks)}) == 1


def test_no_fallbacks_unless_asked_for_and_never_a_cold_one() -> None:
    assert sent(ask(policy(), 0)).fallbacks == ()
    made = policy(started=NOW - 100.0)
    made.overload.concurrency.limit, made.schedule.refreshed_at_ms = (
        100.0,
        NOW,
    )  # none of them is answered: that is no burst
    for number in range(20):
        send = sent(made.handle(NOW, Request(number + 1, 0, NOW + 900.0, max_fallbacks=3)))
        assert set(send.fallbacks) <= {1}


def test_where_sending_again_feeds_a_jam_there_are_no_fallbacks() -> None:
    made = policy()
    made.overload.error_rate.connect_failure_rate = 1.0  # connections fail: sending again feeds it
    assert sent(ask(made, 0, max_fallbacks=2)).fallbacks == ()


def test_a_carrier_goes_on_by_itself() -> None:
    made = policy()
    send = sent(ask(made, 1, max_fallbacks=2))
    to = send.fallbacks[0]
    made.handle(NOW + 10, AttemptRerouted(1, 0, send.endpoint_id, AttemptResult.ERROR, 10.0, to))
    assert (
        made.overload.concurrency.current == 1
        and not made.fleet.endpoints.by_id[send.endpoint_id].open_attempts
    )
    assert (1, 1) in made.fleet.endpoints.by_id[to].open_attempts and made.fleet.endpoints.by_id[
        send.endpoint_id
    ].health[1].failure_rate > 0
    # The first may have run: a second end leaves only the class's own group and window.
    made.random.random = lambda: 0.99  # type: ignore[method-assign]
    again = sent(made.handle(NOW + 20, AttemptEnded(1, to, False, AttemptResult.ERROR, 1, 10.0)))
    assert again.endpoint_id not in (send.endpoint_id, to)
    made.handle(NOW + 30, AttemptEnded(1, again.endpoint_id, True, AttemptResult.OK, 2, 10.0))
    assert made.overload.concurrency.current == 0 and not made.lifecycle.requests


def test_diverted_twice_or_for_nobody_changes_nothing() -> None:
    made = policy()
    send = sent(ask(made, 0, max_fallbacks=1))
    for _ in range(2):
        made.handle(
            NOW,
            AttemptRerouted(1, 0, send.endpoint_id, AttemptResult.ERROR, 1.0, send.fallbacks[0]),
        )
    made.handle(
        NOW, AttemptRerouted(7, 0, send.endpoint_id, AttemptResult.ERROR, 1.0, send.fallbacks[0])
    )
    assert made.overload.concurrency.current == 1


def test_a_parked_end_is_learned_from_and_decides_nothing() -> None:
    made = policy()
    send = sent(ask(made, 0))
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
    assert made.handle(NOW + 9, RetryDecisionDue(1, True)) == []  # it is out again


@pytest.mark.parametrize(
    ("cls", "result", "answer"),
    [
        (0, AttemptResult.ERROR, Shed),
        (1, AttemptResult.RESET, Shed),
        (2, AttemptResult.RESET, Fail),
        (4, AttemptResult.ERROR, Fail),
        (4, AttemptResult.FULL, Shed),
    ],
)
def test_resumed_to_be_ended_it_is_refused_where_that_does_no_harm(
    cls: int, result: AttemptResult, answer: type
) -> None:
    made = policy()
    send = sent(ask(made, cls))
    made.handle(
        NOW + 5, AttemptEnded(1, send.endpoint_id, False, result, 0, 5.0, retry_deferred=True)
    )
    assert [type(action) for action in made.handle(NOW + 6, RetryDecisionDue(1, False))] == [answer]
    assert not made.lifecycle.requests and made.handle(NOW + 7, RetryDecisionDue(1, False)) == []


def test_a_parked_request_may_be_withdrawn() -> None:
    made = policy()
    send = sent(ask(made, 0))
    made.handle(
        NOW + 5,
        AttemptEnded(1, send.endpoint_id, False, AttemptResult.ERROR, 0, 5.0, retry_deferred=True),
    )
    assert made.handle(NOW + 6, RequestCancelled(1)) == [] and not made.lifecycle.requests


@pytest.mark.parametrize(("cls", "answer"), [(0, Send), (1, Send), (2, Fail), (3, Fail), (4, Fail)])
def test_what_may_have_run_elsewhere_is_sent_only_where_every_server_drops_it(
    cls: int, answer: type
) -> None:
    assert type(ask(policy(), cls, possibly_executed=True)[-1]) is answer


def test_only_servers_that_the_carrier_can_reach() -> None:
    made = policy()
    for number in range(20):
        request = Request(
            number + 1, 0, NOW + 900.0, max_fallbacks=3, reachable_endpoints=frozenset({2, 5, 99})
        )
        send = sent(made.handle(NOW, request))
        assert {send.endpoint_id, *send.fallbacks} <= {2, 5}
    assert type(ask(made, 0, reachable_endpoints=frozenset())[-1]) is Shed
