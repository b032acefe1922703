"""The way of a request between frontends, the policy and the upstream transports.

Whatever happens to a request or an attempt is reported here, becomes an event for the policy, and
the policy's actions are carried out. Nothing is decided here.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import cast

from badgercart.core.action_executor import ActionExecutor
from badgercart.core.clock import RESPONSE_MARGIN_MS, now_ms
from badgercart.core.in_flight import InFlightRequests
from badgercart.core.policy_driver import PolicyDriver
from badgercart.core.ports import (
    Frontend,
    IncomingRequest,
    RequestOutcome,
    Response,
    StreamingFrontend,
    Timers,
    UpstreamTransport,
)
from badgercart.core.streams import ResponseHead, ResponseSink
from badgercart.policy import Policy
from badgercart.policy.events import (
    AttemptEnded,
    AttemptRerouted,
    AttemptResult,
    DeadlineExceeded,
    Event,
    Request,
    RequestCancelled,
    RequestCompleted,
    ResponseStarted,
    RetryDecisionDue,
    TimerFired,
)
from badgercart.policy.settings import Settings

TOO_MANY_REQUESTS = 429


class RequestPipeline:
    """The ports of the core: what frontends, transports and other subsystems call.

    Its parts own the state: `in_flight` the requests and attempts, `driver` the queue of events,
    `executor` the handlers of actions. The driver's policy makes every decision.
    """

    def __init__(
        self, settings: Settings, seed: int, timers: Timers, clock: Callable[[], float] = now_ms
    ) -> None:
        """Set up a pipeline with no request in flight.

        Args:
            settings: the policy's settings.
            seed: of the policy's random draws.
            timers: what calls back later, in seconds.
            clock: milliseconds on a monotonic clock.
        """
        self.timers = timers
        self.clock = clock
        self.in_flight = InFlightRequests(clock)
        self.executor = ActionExecutor(
            self.in_flight, timers, clock, self.dispatch, self.attempt_ended
        )
        self.driver = PolicyDriver(
            Policy(settings, seed),
            clock,
            self.executor.handlers,
            before_cancellation=self._forget_cancelled,
            recover=self._recover,
        )
        self.shutdown_deadline = math.inf  # ms; no response goes out after it

    @property
    def policy(self) -> Policy:
        """What decides; the driver owns it."""
        return self.driver.policy

    def dispatch(self, event: Event) -> None:
        """Give the policy an event, after those that wait already."""
        self.driver.dispatch(event)

    # Called by frontends.

    def next_request_id(self) -> int:
        """Return an id for a request that is about to be accepted."""
        return self.in_flight.next_id()

    def accept(
        self,
        request_id: int,
        request: IncomingRequest,
        frontend: Frontend,
        transport: UpstreamTransport,
    ) -> None:
        """Take on a request. The frontend may be told its response before this returns."""
        if request.complete:
            request.deadline = min(request.deadline, self.shutdown_deadline)
        self.in_flight.add(request_id, request, frontend, transport)
        event = Request(
            id=request_id,
            class_index=request.class_index,
            deadline=request.deadline,
            key=request.key,
            tenant=request.tenant,
            expected_work_ms=request.expected_work_ms,
            is_client_retry=request.is_client_retry,
            max_fallbacks=request.max_fallbacks,
            possibly_executed=request.possibly_executed,
            reachable_endpoints=request.reachable_endpoints,
            complete=request.complete,
        )
        self.driver.dispatch(event)

    def request_completed(self, request_id: int, deadline: float) -> None:
        """Report that the rest of a request that was accepted incomplete has been received."""
        in_flight = self.in_flight.requests.get(request_id)
        if in_flight is None:
            return
        request = in_flight.request
        request.complete = True
        request.deadline = min(deadline, self.shutdown_deadline)
        self.driver.dispatch(RequestCompleted(request_id, request.deadline))

    def cancel_request(self, request_id: int) -> None:
        """Report that the client has gone: no response is owed any more."""
        in_flight = self.in_flight.complete(request_id, RequestOutcome.CANCELLED)
        if in_flight is None:
            return
        if self.driver.running:
            self.in_flight.cancelled[request_id] = in_flight
        self.in_flight.abandon_attempts(request_id, in_flight)
        self.driver.dispatch(RequestCancelled(request_id))

    # Called by transports.

    def is_awaited(self, request_id: int) -> bool:
        """Return whether a client still waits for a request.

        Asked before an attempt is written. A client that has left without this having been read
        yet is found out here, and its request is cancelled.
        """
        in_flight = self.in_flight.requests.get(request_id)
        if in_flight is None:
            return False
        if in_flight.frontend.client_is_gone():
            self.cancel_request(request_id)
            return False
        return True

    def attempt_ended(
        self,
        request_id: int,
        attempt: int,
        endpoint_id: int,
        result: AttemptResult,
        elapsed_ms: float,
        response: Response | None = None,
        parked: bool = False,
        body_consumed: bool = False,
    ) -> None:
        """Report the end of an attempt; a second report of the same attempt has no effect.

        Args:
            request_id: the request's id.
            attempt: the attempt's number.
            endpoint_id: the endpoint that the attempt went to.
            result: how the attempt ended.
            elapsed_ms: time since the attempt was sent.
            response: the endpoint's response, where one was received whole.
            parked: the policy learns from the attempt but decides nothing until
                `retry_decision_due`.
            body_consumed: the request's body was read and can't be sent again.
        """
        if self.in_flight.attempts.pop((request_id, attempt), None) is None:
            return
        for observer in self.in_flight.attempt_observers:
            observer.attempt_ended(endpoint_id, result, elapsed_ms)
        is_final = result is AttemptResult.OK
        if response is not None and is_client_error(response.status):
            # Every endpoint would respond so. Retries would have one bad client go round all
            # endpoints and have each of them counted as failing.
            is_final, result = True, AttemptResult.CANCELLED
        answered = None
        if is_final and response is not None:
            answered = self.in_flight.complete(request_id, outcome_of(response), endpoint_id)
        completed = request_id not in self.in_flight.requests
        event = AttemptEnded(
            request_id,
            endpoint_id,
            completed,
            result,
            attempt,
            elapsed_ms,
            parked=parked,
            body_consumed=body_consumed,
        )
        # Queued before the response goes out, which may bring the client's next request: the policy
        # must not count this attempt as open when it handles that one.
        self.driver.queue.append(event)
        if answered is not None and response is not None:
            answered.frontend.on_response(response)
        self.driver.run()

    def response_started(
        self,
        request_id: int,
        attempt: int,
        endpoint_id: int,
        elapsed_ms: float,
        head: ResponseHead,
    ) -> ResponseSink | None:
        """Report that the response to an attempt begins to be streamed.

        It is the request's final response; the attempt's end is reported by `attempt_ended`, as any
        other. Returns where the body goes, None where nobody waits for it any more.
        """
        if (request_id, attempt) not in self.in_flight.attempts:
            return None
        in_flight = self.in_flight.complete(request_id, RequestOutcome.SERVED, endpoint_id)
        if in_flight is None:
            return None
        sink = cast(StreamingFrontend, in_flight.frontend).on_response_started(head)
        self.driver.dispatch(ResponseStarted(request_id, attempt, endpoint_id, elapsed_ms))
        return sink

    def attempt_rerouted(
        self,
        request_id: int,
        attempt: int,
        endpoint_id: int,
        result: AttemptResult,
        elapsed_ms: float,
        next_endpoint_id: int,
    ) -> None:
        """Report that an attempt ended and its transport went on to another endpoint by itself."""
        transport = self.in_flight.attempts.pop((request_id, attempt), None)
        in_flight = self.in_flight.requests.get(request_id)
        if transport is None or in_flight is None:
            return
        for observer in self.in_flight.attempt_observers:
            observer.attempt_ended(endpoint_id, result, elapsed_ms)
            observer.attempt_sent(next_endpoint_id)
        self.in_flight.begin_attempt(request_id, in_flight)
        self.driver.dispatch(
            AttemptRerouted(request_id, attempt, endpoint_id, result, elapsed_ms, next_endpoint_id)
        )

    def retry_decision_due(self, request_id: int, may_retry: bool) -> None:
        """Have the policy decide on a request whose last attempt was reported as parked."""
        if request_id in self.in_flight.requests:
            self.driver.dispatch(RetryDecisionDue(request_id, may_retry))

    # Shutdown and recovery.

    def begin_shutdown(self, deadline: float) -> None:
        """Have every request answered before the process ends.

        `deadline` is when it ends (ms). No later deadline counts, and what is still in flight ahead
        of it is ended.
        """
        self.shutdown_deadline = deadline - RESPONSE_MARGIN_MS
        left_ms = max(self.shutdown_deadline - self.clock(), 0.0)
        self.timers.call_later(left_ms / 1000, self.end_all_requests)

    def end_all_requests(self) -> None:
        """End every request: shed it where it can't have been executed, else fail it."""
        for request_id, in_flight in list(self.in_flight.requests.items()):
            self.in_flight.abandon_attempts(request_id, in_flight)
            if request_id in self.in_flight.requests:
                self.driver.dispatch(DeadlineExceeded(request_id))
                # Where the policy did not know the request, it is still in flight.
                self.executor.fail_request(request_id, internal_error=False)

    def _forget_cancelled(self, request_id: int) -> None:
        self.in_flight.cancelled.pop(request_id, None)

    def _recover(self, event: Event) -> None:
        """Fail the request of an event that the policy raised on, and have the policy forget it."""
        request_id = affected_request(event)
        if request_id in self.in_flight.requests:
            self.executor.fail_request(request_id, internal_error=True)
            self.driver.queue.append(RequestCancelled(request_id))


def is_client_error(status: int) -> bool:
    """Return whether a response blames the request. 429 does not: it sheds the request."""
    return 400 <= status < 500 and status != TOO_MANY_REQUESTS


def outcome_of(response: Response) -> RequestOutcome:
    """Return how a request ends whose final response is this one."""
    return RequestOutcome.SERVED if response.status < 400 else RequestOutcome.CLIENT_ERROR


def affected_request(event: Event) -> int:
    """Return the id of the request that an event may leave without a response; 0 for none."""
    if isinstance(event, Request | AttemptEnded | AttemptRerouted | RetryDecisionDue):
        return event.id
    return event.token if isinstance(event, TimerFired) else 0
