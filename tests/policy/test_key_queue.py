"""Serialization by key: one request at a time, in order of arrival."""

from __future__ import annotations

from badgercart.policy.events import AttemptResult, Request
from badgercart.policy.key_queue import KeyQueue, KeyQueues
from badgercart.policy.requests import PendingRequest
from badgercart.policy.settings import Idempotency, RequestClass

SERIAL = RequestClass(400.0, 1000.0, 1.0, Idempotency.IDEMPOTENT, serialized_by_key=True)


def pending(number: int, key: int = 7) -> PendingRequest:
    return PendingRequest(Request(number, 0, 1000.0, key), SERIAL, 0.0, 50.0)


def queue_of(item: PendingRequest) -> KeyQueue:
    assert item.key_queue is not None
    return item.key_queue


def test_requests_of_a_key_wait_behind_each_other_and_others_do_not() -> None:
    queues, first, second, other = KeyQueues(), pending(1), pending(2), pending(3, key=8)
    for item in (first, second, other):
        queues.join(item)
    assert queue_of(first) is queue_of(second) and queue_of(other) is not queue_of(first)
    assert not queue_of(first).must_wait(0, 10.0) and queue_of(first).must_wait(1, 10.0)
    queue_of(first).open_attempts = 1
    assert queue_of(second).must_wait(0, 10.0)


def test_the_next_request_is_ready_once_the_first_has_its_answer() -> None:
    queues, first, second = KeyQueues(), pending(1), pending(2)
    queues.join(first)
    queues.join(second)
    first.attempts = queue_of(first).open_attempts = 1
    queues.attempt_ended(queue_of(first), AttemptResult.OK, 10.0, 250.0)
    assert queues.next_ready() is None  # the first is still at the head, and was sent
    queues.leave(first)
    assert queues.next_ready() is second and not queues.changed


def test_an_attempt_that_may_still_be_executing_starts_a_cooldown() -> None:
    queues, first = KeyQueues(), pending(1)
    queues.join(first)
    queue = queue_of(first)
    queue.open_attempts = 1
    queues.attempt_ended(queue, AttemptResult.TIMEOUT, 10.0, 250.0)
    assert queue.cooldown_until_ms == 260.0 and queue.must_wait(0, 259.0)
    assert not queue.must_wait(0, 260.0)
    assert queue.wait_until(0, 1000.0) == 260.0 and queue.wait_until(1, 1000.0) == 1000.0
    queues.leave(first)
    queues.prune(259.0)
    assert queues.by_key == {7: queue}
    queues.prune(260.0)
    assert not queues.by_key
