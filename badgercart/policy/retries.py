"""Which requests may be retried, where and until when, and how a request is ended. No I/O."""

from __future__ import annotations

import random

from badgercart.policy.actions import Fail, Shed
from badgercart.policy.endpoint import Endpoint
from badgercart.policy.events import NOT_EXECUTED, AttemptResult, Request
from badgercart.policy.overload import MAX_SCORE, OverloadController
from badgercart.policy.requests import PendingRequest
from badgercart.policy.settings import DeduplicationScope, Idempotency, RequestClass, Settings

# Minimum and spread of the random factor of the retry advice, without which the clients that were
# shed together would retry together.
RETRY_AFTER_JITTER_MIN = 0.9
RETRY_AFTER_JITTER_SPREAD = 0.1
# An attempt is not sent if less than this share of the typical latency is left.
MIN_LATENCY_SHARE = 0.5
# An attempt is not sent if less than this number of clock ticks is left.
MIN_TICKS = 2
# Limits of the clock time at which an attempt may be sent.
ANY_TIME = float("inf")
NEVER = -ANY_TIME
# Results after which a request has no time left for a retry.
FINAL_RESULTS = frozenset({AttemptResult.TIMEOUT, AttemptResult.NOT_SENT})


class RetryPolicy:
    """The retries and final answers that the settings and the overload signal allow.

    Attributes:
        not_executed: results which prove that a request was not executed.
    """

    __slots__ = ("_overload", "_random", "_settings", "not_executed")

    def __init__(
        self, overload: OverloadController, settings: Settings, rng: random.Random
    ) -> None:
        self._overload, self._random = overload, rng
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Apply settings."""
        self._settings = settings
        full = {AttemptResult.FULL} if settings.full_possibly_executed else frozenset()
        self.not_executed: frozenset[AttemptResult] = NOT_EXECUTED - full

    def accepts(self, request: Request) -> bool:
        """Return whether a request may be sent, given earlier attempts unknown to this node."""
        if not request.possibly_executed:
            return True
        request_class = self._settings.classes[request.class_index]
        if not request_class.client_may_retry:
            return False
        return (
            request_class.idempotency is Idempotency.IDEMPOTENT
            or request_class.deadline_ms < request_class.deduplication_window_ms
        )

    def accepts_repeat(self, class_index: int, age_ms: float) -> bool:
        """Return whether a request may be sent whose id was seen before, and may have run.

        Args:
            class_index: the class of the request.
            age_ms: how long ago the request with its id was received.
        """
        request_class = self._settings.classes[class_index]
        if request_class.idempotency is Idempotency.IDEMPOTENT:
            return True
        latest_ms = age_ms + request_class.deadline_ms
        return request_class.client_may_retry and latest_ms < request_class.deduplication_window_ms

    def may_send(
        self, pending: PendingRequest, endpoint: Endpoint, now_ms: float, until_ms: float = 0.0
    ) -> bool:
        """Return whether a request may be sent to an endpoint, given its earlier attempts.

        Args:
            pending: the request.
            endpoint: the endpoint of the next attempt.
            now_ms: clock time.
            until_ms: the latest clock time at which it would be sent; before `now_ms`: now.
        """
        reachable = pending.request.reachable_endpoints
        if reachable is not None and endpoint.id not in reachable:
            return False
        if not pending.possibly_executed:
            return True
        latest_ms = self.latest_send_ms(pending, endpoint)
        return latest_ms == ANY_TIME or max(now_ms, until_ms) < latest_ms

    def latest_send_ms(
        self, pending: PendingRequest, endpoint: Endpoint, number: int | None = None
    ) -> float:
        """Return the clock time before which an attempt has to be sent, given the earlier ones.

        Args:
            pending: the request.
            endpoint: the endpoint of the attempt.
            number: the number of the attempt if it is recorded already.

        Returns:
            `ANY_TIME` if no earlier attempt sets a limit, `NEVER` if it may not be sent there.
        """
        earlier = [sent for i, sent in pending.possibly_executed.items() if i != number]
        request_class = pending.request_class
        if not earlier or request_class.idempotency is Idempotency.IDEMPOTENT:
            return ANY_TIME
        if request_class.idempotency is not Idempotency.KEYED:
            return NEVER
        if not all(_deduplicates(request_class, other, endpoint) for _, other in earlier):
            return NEVER
        first_ms = min(sent_ms for sent_ms, _ in earlier)
        return first_ms + request_class.deduplication_window_ms - self._settings.tick_ms

    def end_ms(self, pending: PendingRequest) -> float:
        """Return the clock time until which a response has a value for the client."""
        request, request_class = pending.request, pending.request_class
        if request_class.late_value_share or not request.complete:
            return request.deadline_at_ms
        return min(request.deadline_at_ms, pending.arrived_ms + request_class.latency_objective_ms)

    def timeout_ms(self, pending: PendingRequest, end_ms: float, now_ms: float) -> float:
        """Return the timeout of an attempt that is sent now."""
        if pending.request.complete:
            return end_ms - now_ms
        request_class = pending.request_class
        return (
            request_class.deadline_ms
            if request_class.late_value_share
            else request_class.latency_objective_ms
        )

    def latest_start_ms(
        self, pending: PendingRequest, end_ms: float, ahead: int, typical_ms: float
    ) -> float:
        """Return the latest clock time to send an attempt, with `ahead` others of its key before it.

        Requests that are too far back in a queue to be served in time are ended at once instead of
        waiting until their deadline.
        """
        expected_ms = max(
            (MIN_LATENCY_SHARE + ahead) * typical_ms,
            pending.request.expected_work_ms,
            MIN_TICKS * self._settings.tick_ms,
        )
        return end_ms - expected_ms

    def attempts_left(self, pending: PendingRequest) -> int:
        """Return how many attempts a request may still have."""
        return self._settings.max_attempts - pending.attempts

    def should_retry(self, result: int) -> bool:
        """Return whether a request is retried after this result; under overload by a draw."""
        if result in FINAL_RESULTS:
            return False
        return self._random.random() >= self._overload.retry_suppression()

    def allows_fallbacks(self) -> bool:
        """Return whether an attempt may have fallback endpoints; under overload by a draw."""
        return self._random.random() >= self._overload.retry_suppression()

    def retry_after_ms(self, score: float) -> float:
        """Return the retry advice for a shed request; a lower score means a longer time."""
        wait_ms = self._settings.max_retry_after_ms * (1.0 - score / MAX_SCORE)
        return wait_ms * (
            RETRY_AFTER_JITTER_MIN + RETRY_AFTER_JITTER_SPREAD * self._random.random()
        )

    def final_answer(self, pending: PendingRequest) -> Shed | Fail:
        """Return the final answer to a request: it is shed if a client's retry does no harm."""
        retry_after_ms = self.retry_after_ms(pending.score)
        if pending.request_class.client_may_retry or not pending.possibly_executed:
            return Shed(pending.request.id, retry_after_ms)
        return Fail(pending.request.id)


def _deduplicates(request_class: RequestClass, earlier: Endpoint, endpoint: Endpoint) -> bool:
    """Return whether an endpoint drops duplicates of what an earlier one may have executed."""
    if request_class.deduplication_scope is DeduplicationScope.ZONE:
        return earlier.zone == endpoint.zone
    if request_class.deduplication_scope is DeduplicationScope.CELL:
        return earlier.cell == endpoint.cell
    return True
