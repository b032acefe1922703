"""The lifecycle of a request: its attempts, their ends, and its final answer. No I/O."""

from __future__ import annotations

from typing import NamedTuple

from badgercart.policy.actions import Action, CancelAttempt, Send, SetTimer
from badgercart.policy.endpoints import AttemptKey, TrackedEndpoint
from badgercart.policy.events import (
    AttemptEnded,
    AttemptRerouted,
    AttemptResult,
    Request,
    RequestCompleted,
    ResponseStarted,
)
from badgercart.policy.feedback import AttemptFeedback
from badgercart.policy.fleet import Fleet
from badgercart.policy.key_queue import KeyQueue, KeyQueues
from badgercart.policy.overload import OverloadController
from badgercart.policy.requests import PendingRequest
from badgercart.policy.retries import ANY_TIME, NEVER, RetryPolicy
from badgercart.policy.selection import EndpointSelector
from badgercart.policy.settings import Settings

# An attempt that is open for more than this multiple of the typical latency is overdue.
OVERDUE_LATENCY_FACTOR = 4.0


class ActiveUse(NamedTuple):
    """The classes and tenants that requests and attempts still refer to."""

    classes: set[int]
    tenants: set[int]


class RequestLifecycle:
    """The pending requests, the streamed responses, and the actions of the present event.

    Attributes:
        requests: the requests without a final answer, by id.
        streaming: the attempts whose responses are being streamed to the client.
        actions: the actions of the present event.
    """

    def __init__(
        self,
        settings: Settings,
        fleet: Fleet,
        overload: OverloadController,
        key_queues: KeyQueues,
        retries: RetryPolicy,
        selector: EndpointSelector,
    ) -> None:
        self._settings, self._fleet, self._overload = settings, fleet, overload
        self._endpoints, self._latency = fleet.endpoints, fleet.latency
        self._key_queues, self.retries, self.selector = key_queues, retries, selector
        self._feedback = AttemptFeedback(fleet, overload)
        self.requests: dict[int, PendingRequest] = {}
        self.streaming: dict[AttemptKey, PendingRequest] = {}
        self.actions: list[Action] = []

    def apply_settings(self, settings: Settings) -> None:
        """Apply settings; pending requests keep the settings of their class."""
        self._settings = settings

    def active_use(self) -> ActiveUse:
        """Return the classes and tenants that a request or an attempt still refers to."""
        endpoints = self._endpoints
        pending = [*self.requests.values(), *self.streaming.values()]
        for tracked in (endpoints.by_id[i] for i in endpoints.active & endpoints.by_id.keys()):
            pending += [request for request, _ in tracked.open_attempts.values()]
            pending += tracked.uploads.values()
        requests = [item.request for item in pending]
        return ActiveUse(
            {request.class_index for request in requests}, {request.tenant for request in requests}
        )

    # Attempts.

    def accept(self, request: Request, score: float, now_ms: float) -> None:
        """Accept a request, and send it or queue it behind others of its key."""
        request_class = self._settings.classes[request.class_index]
        pending = self.requests[request.id] = PendingRequest(request, request_class, now_ms, score)
        if request.key and request_class.serialized_by_key:
            self._key_queues.join(pending)
        self.attempt(pending, now_ms)

    def attempt(self, pending: PendingRequest, now_ms: float) -> None:
        """Send a request, have it wait in its key's queue, or end it.

        It is ended if it has no attempts left, too little time, or no endpoint that it may go to.
        """
        request, retries, queue = pending.request, self.retries, pending.key_queue
        end_ms = retries.end_ms(pending)
        ahead = queue.waiting.index(pending) if queue is not None else 0
        typical_ms = self._latency.typical_ms[request.class_index]
        latest_ms = retries.latest_start_ms(pending, end_ms, ahead, typical_ms)
        if retries.attempts_left(pending) <= 0 or latest_ms <= now_ms:
            self.end(pending)
            return
        if queue is not None and not pending.attempts and queue.must_wait(ahead, now_ms):
            self._wait(request, queue.wait_until(ahead, latest_ms), latest_ms, now_ms)
            return
        tracked = self.selector.select(pending, now_ms)
        if tracked is None:
            self.end(pending)
            return
        self._launch(pending, tracked, now_ms)
        timeout_ms = retries.timeout_ms(pending, end_ms, now_ms)
        fallbacks = (
            self.selector.fallbacks(pending, end_ms, now_ms) if request.max_fallbacks else ()
        )
        self.actions.append(Send(request.id, tracked.endpoint.id, timeout_ms, fallbacks))

    def _wait(self, request: Request, until_ms: float, latest_ms: float, now_ms: float) -> None:
        """Set a timer for a waiting request; an incomplete one has no latest start time."""
        if request.complete or until_ms < latest_ms:
            self.actions.append(SetTimer(until_ms - now_ms, request.id))

    def _launch(self, pending: PendingRequest, tracked: TrackedEndpoint, now_ms: float) -> None:
        """Record an attempt that is sent now."""
        number, endpoint = pending.attempts, tracked.endpoint
        pending.open_attempts.add(number)
        pending.possibly_executed[number] = (now_ms, endpoint)
        pending.tried_endpoints.append(endpoint.id)
        if pending.request.complete:
            self._open(pending, number, tracked, now_ms)
        else:
            tracked.uploads[pending.request.id, number] = pending
        if pending.key_queue is not None:
            pending.key_queue.open_attempts += 1
        pending.attempts += 1
        self._endpoints.count_attempt(tracked)

    def _open(
        self, pending: PendingRequest, number: int, tracked: TrackedEndpoint, now_ms: float
    ) -> None:
        """Record an attempt as open: its endpoint executes the request from now on."""
        request = pending.request
        overdue_ms = now_ms + OVERDUE_LATENCY_FACTOR * self._latency.typical_ms[request.class_index]
        tracked.open_attempts[request.id, number] = pending, overdue_ms
        self._overload.concurrency.current += 1
        self._overload.throughput.sent += 1

    def request_completed(self, event: RequestCompleted, now_ms: float) -> None:
        """Start the time limits of a request whose last part has arrived."""
        pending = self.requests.get(event.id)
        if pending is None or pending.request.complete:
            return
        request, pending.arrived_ms = pending.request, now_ms
        request.complete, request.deadline_at_ms = True, event.deadline_at_ms
        for number in sorted(pending.open_attempts):
            tracked = self._endpoints.by_id[pending.tried_endpoints[number]]
            del tracked.uploads[request.id, number]
            self._open(pending, number, tracked, now_ms)
        if not pending.attempts:
            self.attempt(pending, now_ms)

    def latest_send_ms(self, request_id: int, number: int) -> float:
        """Return the clock time before which an attempt that was decided has to be written.

        `ANY_TIME` for a request that has ended: whether it is awaited is known elsewhere.
        """
        pending = self.requests.get(request_id)
        if pending is None or number >= pending.attempts:
            return ANY_TIME
        tracked = self._endpoints.by_id.get(pending.tried_endpoints[number])
        if tracked is None:
            return NEVER
        return self.retries.latest_send_ms(pending, tracked.endpoint, number)

    # Ends of attempts.

    def _close(
        self, endpoint_id: int, attempt: AttemptKey
    ) -> tuple[TrackedEndpoint, PendingRequest] | None:
        """Remove an attempt from the open ones; None if it or its endpoint is not known."""
        tracked = self._endpoints.by_id.get(endpoint_id)
        if tracked is None:
            return None
        opened = tracked.open_attempts.pop(attempt, None)
        if opened is not None:
            self._overload.concurrency.current -= 1
            return tracked, opened[0]
        upload = tracked.uploads.pop(attempt, None)
        return None if upload is None else (tracked, upload)

    def attempt_ended(self, event: AttemptEnded, now_ms: float) -> None:
        """Learn from the end of an attempt, and retry or end its request."""
        attempt = event.id, event.attempt
        streamed = self.streaming.pop(attempt, None)
        if streamed is not None:
            self._stream_ended(event, streamed, now_ms)
            return
        closed = self._close(event.endpoint_id, attempt)
        if closed is None:
            # Its end was reported before, or the transport sent it to a fallback endpoint that has
            # been forgotten since.
            if event.request_finished:
                self.finish(event.id)
            return
        tracked, pending = closed
        self._fleet.forget_if_gone(tracked)
        self._note_end(pending, event.attempt, event.result, now_ms)
        self._feedback.learn(tracked, pending, event.result, event.elapsed_ms, now_ms)
        self._decide_next_step(event, pending, now_ms)

    def _decide_next_step(
        self, event: AttemptEnded, pending: PendingRequest, now_ms: float
    ) -> None:
        if event.request_finished or event.id not in self.requests:
            self.finish(event.id)
        elif event.retry_deferred:
            pending.deferred_result = event.result
        elif event.body_consumed:
            self.end(pending)
        else:
            self._retry(pending, event.result, now_ms)

    def _stream_ended(self, event: AttemptEnded, pending: PendingRequest, now_ms: float) -> None:
        self._note_end(pending, event.attempt, event.result, now_ms)
        tracked = self._endpoints.by_id.get(event.endpoint_id)
        if tracked is not None:
            self._feedback.learn_from_stream(tracked, pending, event.result, now_ms)

    def _note_end(self, pending: PendingRequest, number: int, result: int, now_ms: float) -> None:
        """Record whether the request may have been executed, and update its key's queue."""
        pending.open_attempts.discard(number)
        if result in self.retries.not_executed:
            pending.possibly_executed.pop(number, None)
        queue: KeyQueue | None = pending.key_queue
        if queue is not None:
            self._key_queues.attempt_ended(queue, result, now_ms, self._settings.key_cooldown_ms)

    def response_started(self, event: ResponseStarted, now_ms: float) -> None:
        """Count a request as served, and keep its attempt until the response has ended."""
        attempt = event.id, event.attempt
        closed = self._close(event.endpoint_id, attempt)
        if closed is None:
            return
        tracked, pending = closed
        self._fleet.forget_if_gone(tracked)
        self.streaming[attempt] = pending
        pending.open_attempts.discard(event.attempt)
        self._feedback.learn(tracked, pending, AttemptResult.OK, event.elapsed_ms, now_ms)
        self.finish(event.id)

    def attempt_rerouted(self, event: AttemptRerouted, now_ms: float) -> None:
        """Record that the transport has sent the next attempt to a fallback endpoint."""
        target = self._endpoints.by_id.get(event.next_endpoint_id)
        closed = self._close(event.endpoint_id, (event.id, event.attempt))
        if closed is None:
            return
        tracked, pending = closed
        self._fleet.forget_if_gone(tracked)
        self._note_end(pending, event.attempt, event.result, now_ms)
        self._feedback.learn(tracked, pending, event.result, event.elapsed_ms, now_ms)
        if target is not None and event.id in self.requests:
            self._launch(pending, target, now_ms)

    def _retry(self, pending: PendingRequest, result: int, now_ms: float) -> None:
        """Send a request again, or end it, by the result of its last attempt."""
        if self.retries.should_retry(result):
            self.attempt(pending, now_ms)
        else:
            self.end(pending)

    def decide_deferred(self, request_id: int, may_retry: bool, now_ms: float) -> None:
        """Retry or end a request whose decision was deferred at the end of its last attempt."""
        pending = self.requests.get(request_id)
        if pending is None or not pending.deferred_result:
            return
        result, pending.deferred_result = pending.deferred_result, 0
        if may_retry:
            self._retry(pending, result, now_ms)
        else:
            self.end(pending)

    # Final answers.

    def end(self, pending: PendingRequest) -> None:
        """Give a request without an open attempt its final answer."""
        self.actions.append(self.retries.final_answer(pending))
        self.finish(pending.request.id)

    def finish(self, request_id: int) -> None:
        """Forget a request that has its final answer, and cancel open attempts where allowed."""
        pending = self.requests.pop(request_id, None)
        if pending is None:
            return
        if self._settings.may_cancel:
            for number in sorted(pending.open_attempts):
                self.actions.append(CancelAttempt(request_id, number))
        self._key_queues.leave(pending)
