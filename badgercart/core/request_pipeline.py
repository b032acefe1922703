"""The request pipeline: turns calls of frontends, transports and discovery into policy events.

It carries out the actions that the policy returns and decides nothing itself. Actions are executed
in the order in which the policy returns them; events that arise meanwhile are queued.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, cast

from badgercart.core.clock import MAX_HOLD_UP_MS, RESPONSE_MARGIN_MS, now_ms
from badgercart.core.log_events import ATTEMPT_ENDED, POLICY_FAILED, POLICY_SAID
from badgercart.core.ports import (
    AttemptObserver,
    AttemptRequest,
    Frontend,
    IncomingRequest,
    RequestObserver,
    RequestOutcome,
    StreamingFrontend,
    Timers,
    UpstreamResponse,
    UpstreamTransport,
)
from badgercart.core.streams import ResponseHeaderSection, ResponseSink
from badgercart.policy import Policy
from badgercart.policy.actions import (
    Action,
    CancelAttempt,
    Fail,
    Log,
    Send,
    SetTimer,
    Shed,
    Subscribe,
)
from badgercart.policy.events import (
    AttemptEnded,
    AttemptRerouted,
    AttemptResult,
    ClusterView,
    DeadlineExceeded,
    EndpointUpdate,
    Event,
    HealthCheckResult,
    PeerMessage,
    Request,
    RequestCancelled,
    RequestCompleted,
    ResponseStarted,
    RetryDecisionDue,
    SettingsChanged,
    TimerFired,
    TrafficPlan,
)
from badgercart.policy.settings import Settings

# The text for each kind of event in the log event `policy.failed`.
EVENT_KIND_TEXTS: dict[type[Event], str] = {
    EndpointUpdate: "ServerList",
    Request: "Request",
    RequestCompleted: "Whole",
    ResponseStarted: "Began",
    AttemptEnded: "Outcome",
    AttemptRerouted: "Diverted",
    RetryDecisionDue: "Resume",
    HealthCheckResult: "ProbeResult",
    TimerFired: "Timer",
    PeerMessage: "PeerMessage",
    RequestCancelled: "Withdrawn",
    SettingsChanged: "Retuned",
    ClusterView: "Company",
    TrafficPlan: "Planned",
    DeadlineExceeded: "Overdue",
}

# Receives each event and the actions that the policy returned for it, before they are executed;
# None: the policy raised an exception.
DecisionLog = Callable[[float, Event, list[Action] | None], None]


@dataclass(slots=True)
class InFlightRequest:
    """A request whose final response is still owed."""

    frontend: Frontend
    transport: UpstreamTransport
    request: IncomingRequest
    accepted_ms: float  # on the pipeline's clock; 0: accepted while there was no observer
    attempts: int = 0


class RequestPipeline:
    """All requests in flight and all open attempts, over every frontend and transport."""

    def __init__(
        self, settings: Settings, seed: int, timers: Timers, clock: Callable[[], float] = now_ms
    ) -> None:
        self.timers = timers
        self.clock = clock
        self.policy = Policy(settings, seed)
        self.in_flight: dict[int, InFlightRequest] = {}
        # By request id and attempt number, including attempts of requests that are over.
        self.open_attempts: dict[tuple[int, int], UpstreamTransport] = {}
        self.last_request_id = 0
        # Cancelled by the client, before the policy has received the event of it.
        self.cancelled: dict[int, InFlightRequest] = {}
        self.events: deque[Event] = deque()
        self.processing = False
        self.failed_event: Event | None = None  # the last on which the policy raised an exception
        self.shutdown_deadline_ms = math.inf  # no response is written after it
        self.observers: tuple[RequestObserver, ...] = ()
        self.attempt_observers: tuple[AttemptObserver, ...] = ()
        self.decision_log: DecisionLog | None = None
        self.action_handlers: dict[type[Action], Callable[[Any], None]] = {
            Send: self.send,
            Shed: self.shed,
            Fail: self.fail,
            CancelAttempt: self.cancel,
            SetTimer: self.set_timer,
            Log: self.log,
            Subscribe: self.subscribe,
        }

    # Events for the policy, and the actions that it returns.

    def dispatch(self, event: Event) -> None:
        """Give the policy an event, after those that are queued already."""
        self.events.append(event)
        self.process_events()

    def process_events(self) -> None:
        """Have the policy handle the queued events, unless it is handling one."""
        if self.processing:
            return
        self.processing = True
        try:
            while self.events:
                event = self.events.popleft()
                now_ms, decided = self.clock(), False
                if isinstance(event, RequestCancelled):
                    self.cancelled.pop(event.id, None)
                try:
                    actions = self.policy.handle(now_ms, event)
                    decided = True
                    if self.decision_log is not None:
                        self.decision_log(now_ms, event, actions)
                    for action in actions:
                        self.action_handlers[type(action)](action)
                except Exception:
                    if self.decision_log is not None and not decided:
                        self.decision_log(now_ms, event, None)
                    self.failed_event = event
                    # One request must not stop the node; it still is owed a response.
                    POLICY_FAILED(
                        True, kind=EVENT_KIND_TEXTS[type(event)], request=getattr(event, "id", 0)
                    )
                    if isinstance(
                        event, Request | AttemptEnded | AttemptRerouted | RetryDecisionDue
                    ):
                        self.fail_after_policy_error(event.id)
                    elif isinstance(event, TimerFired):
                        self.fail_after_policy_error(event.token)
        finally:
            self.processing = False

    def send(self, action: Send) -> None:
        """Send an attempt by the transport of its request."""
        in_flight = self.in_flight.get(action.id) or self.cancelled[action.id]
        attempt_number, in_flight.attempts = in_flight.attempts, in_flight.attempts + 1
        timeout_ms = (
            in_flight.request.deadline_ms - self.clock()
            if in_flight.request.complete
            else in_flight.request.response_window_ms
        )
        if action.timeout_ms:
            timeout_ms = min(timeout_ms, action.timeout_ms)
        self.open_attempts[action.id, attempt_number] = in_flight.transport
        # The client disconnected while the policy was deciding.
        if action.id in self.cancelled:
            self.attempt_ended(
                action.id, attempt_number, action.endpoint_id, AttemptResult.NOT_SENT, 0.0
            )
            return
        for observer in self.attempt_observers:
            observer.attempt_sent(action.endpoint_id)
        payload = in_flight.request.payload
        in_flight.transport.send(
            AttemptRequest(
                action.id, attempt_number, action.endpoint_id, timeout_ms, payload, action.fallbacks
            )
        )

    def shed(self, action: Shed) -> None:
        """End a request that was not executed."""
        if (in_flight := self.in_flight.pop(action.id, None)) is not None:
            self.notify_completed(action.id, in_flight, RequestOutcome.SHED)
            self.abandon_attempts(action.id, in_flight)
            in_flight.frontend.on_shed(action.retry_after_ms)

    def fail(self, action: Fail) -> None:
        """Fail a request by the policy's decision."""
        self.fail_request(action.id, internal_error=False)

    def fail_request(self, request_id: int, internal_error: bool) -> None:
        """Fail a request, if it is still in flight."""
        if (in_flight := self.in_flight.pop(request_id, None)) is not None:
            self.notify_completed(request_id, in_flight, RequestOutcome.FAILED)
            self.abandon_attempts(request_id, in_flight)
            in_flight.frontend.on_failure(internal_error)

    def fail_after_policy_error(self, request_id: int) -> None:
        """Fail a request on which the policy raised an exception, and have the policy forget it."""
        if request_id in self.in_flight:
            self.fail_request(request_id, internal_error=True)
            self.events.append(RequestCancelled(request_id))

    def abandon_attempts(self, request_id: int, in_flight: InFlightRequest) -> None:
        """Have the transports abandon the attempts of a request that is over.

        What has not been written by now never is, whether or not work may be cancelled.
        """
        for attempt_number in range(in_flight.attempts):
            if (transport := self.open_attempts.get((request_id, attempt_number))) is not None:
                transport.abandon_attempt(request_id, attempt_number)

    def notify_completed(
        self,
        request_id: int,
        in_flight: InFlightRequest,
        outcome: RequestOutcome,
        endpoint_id: int = 0,
    ) -> None:
        """Notify the observers of the end of a request."""
        elapsed_ms = self.clock() - in_flight.accepted_ms if in_flight.accepted_ms else 0.0
        for observer in self.observers:
            observer.request_finished(
                request_id, in_flight.request, outcome, elapsed_ms, endpoint_id, in_flight.attempts
            )

    def cancel(self, action: CancelAttempt) -> None:
        """Cancel an attempt, if it is still open."""
        if (transport := self.open_attempts.get((action.id, action.attempt))) is not None:
            transport.cancel(action.id, action.attempt)

    def set_timer(self, action: SetTimer) -> None:
        """Set a timer of the policy."""
        # Rounded up: a timer that fires early finds nothing due and would be set again at once.
        self.timers.call_later(
            math.ceil(action.delay_ms) / 1000, self.dispatch, TimerFired(action.token)
        )

    def log(self, action: Log) -> None:
        """Log a message of the policy."""
        POLICY_SAID(text=action.text)

    def subscribe(self, action: Subscribe) -> None:
        """Do nothing: discovery follows the endpoint list from its start."""

    # Calls of frontends.

    def next_request_id(self) -> int:
        """Return the id for a request that is about to be accepted."""
        self.last_request_id += 1
        return self.last_request_id

    def begin_shutdown(self, ends_at_ms: float) -> None:
        """Limit the deadlines of new requests, and end all others shortly before `ends_at_ms`.

        That is when the process ends.
        """
        self.shutdown_deadline_ms = ends_at_ms - RESPONSE_MARGIN_MS
        self.timers.call_later(
            max(self.shutdown_deadline_ms - self.clock(), 0.0) / 1000, self.end_all_requests
        )

    def end_all_requests(self) -> None:
        """End all requests: shed where they can't have been executed, failed otherwise."""
        for request_id, in_flight in list(self.in_flight.items()):
            # What has not been written is known not to have been executed.
            self.abandon_attempts(request_id, in_flight)
            if request_id in self.in_flight:
                self.dispatch(DeadlineExceeded(request_id))
                # This has an effect only where the policy did not know the request.
                self.fail_request(request_id, internal_error=False)

    def accept(
        self,
        request_id: int,
        request: IncomingRequest,
        frontend: Frontend,
        transport: UpstreamTransport,
    ) -> None:
        """Accept a request. The frontend may be notified of its end before this returns."""
        if request.complete:
            request.deadline_ms = min(request.deadline_ms, self.shutdown_deadline_ms)
        self.in_flight[request_id] = InFlightRequest(
            frontend, transport, request, self.clock() if self.observers else 0.0
        )
        event = Request(
            id=request_id,
            class_index=request.class_index,
            deadline_at_ms=request.deadline_ms,
            key=request.key,
            tenant=request.tenant,
            expected_work_ms=request.expected_work_ms,
            is_client_retry=request.is_client_retry,
            max_fallbacks=request.max_fallbacks,
            possibly_executed=request.possibly_executed,
            reachable_endpoints=request.reachable_endpoints,
            complete=request.complete,
        )
        self.dispatch(event)

    def request_completed(self, request_id: int, deadline_ms: float) -> None:
        """Note that a request that was accepted before has been received completely."""
        if (in_flight := self.in_flight.get(request_id)) is not None:
            in_flight.request.complete, in_flight.request.deadline_ms = (
                True,
                min(deadline_ms, self.shutdown_deadline_ms),
            )
            self.dispatch(RequestCompleted(request_id, in_flight.request.deadline_ms))

    def cancel_request(self, request_id: int) -> None:
        """Cancel a request whose client has disconnected: no response is owed any more."""
        if (in_flight := self.in_flight.pop(request_id, None)) is not None:
            self.notify_completed(request_id, in_flight, RequestOutcome.CANCELLED)
            if self.processing:
                self.cancelled[request_id] = in_flight
            self.abandon_attempts(request_id, in_flight)
            self.dispatch(RequestCancelled(request_id))

    # Calls of upstream transports.

    def is_awaited(self, request_id: int) -> bool:
        """Return whether a request is still in flight; called before an attempt is written.

        Its client may have disconnected without that having been read yet: the request is cancelled
        here in that case.
        """
        if (in_flight := self.in_flight.get(request_id)) is None:
            return False
        if in_flight.frontend.client_is_gone():
            self.cancel_request(request_id)
            return False
        return True

    def latest_write_ms(self, request_id: int, attempt_number: int) -> float:
        """Return the latest clock time to write an attempt; called before one is written.

        Earlier attempts, which may have been executed, limit it. It allows for the time that the
        process may be held up before it writes.
        """
        return self.policy.latest_send_ms(request_id, attempt_number) - MAX_HOLD_UP_MS

    def response_deadline_ms(self, request_id: int) -> float:
        """Return the latest clock time for a short response to be complete; infinite: none."""
        in_flight = self.in_flight.get(request_id)
        if in_flight is None or in_flight.request.streams_response:
            return math.inf
        return in_flight.request.deadline_ms

    def is_cut_short(self, request_id: int) -> bool:
        """Return whether the process ends before a request's time is over."""
        in_flight = self.in_flight.get(request_id)
        return in_flight is not None and in_flight.request.deadline_ms >= self.shutdown_deadline_ms

    def attempt_ended(
        self,
        request_id: int,
        attempt_number: int,
        endpoint_id: int,
        result: AttemptResult,
        elapsed_ms: float,
        response: UpstreamResponse | None = None,
        retry_deferred: bool = False,
        body_consumed: bool = False,
    ) -> None:
        """Record the end of an attempt, `elapsed_ms` after it was sent. Only the first call counts.

        With `retry_deferred`, the policy learns from it but decides nothing until
        `retry_decision_due`.
        """
        if self.open_attempts.pop((request_id, attempt_number), None) is None:
            return
        for observer in self.attempt_observers:
            observer.attempt_ended(endpoint_id, result, elapsed_ms)
        self.log_attempt_end(request_id, attempt_number, result, elapsed_ms)
        is_final = result is AttemptResult.OK
        if response is not None and 400 <= response.status < 500 and response.status != 429:
            # The request itself is at fault, at whichever endpoint: it must neither be retried nor
            # count against endpoints, or one bad client would make all of them look broken. 429
            # is no such response: it would mean that the server rejects load.
            is_final, result = True, AttemptResult.CANCELLED
        if (
            is_final
            and response is not None
            and (in_flight := self.in_flight.pop(request_id, None))
        ):
            if self.observers:
                self.notify_completed(
                    request_id,
                    in_flight,
                    RequestOutcome.SERVED if response.status < 400 else RequestOutcome.CLIENT_ERROR,
                    endpoint_id,
                )
        else:
            in_flight = None
        completed = request_id not in self.in_flight
        event = AttemptEnded(
            request_id,
            endpoint_id,
            completed,
            result,
            attempt_number,
            elapsed_ms,
            retry_deferred=retry_deferred,
            body_consumed=body_consumed,
        )
        # Queued before the response, which may trigger the client's next request: the attempt must
        # not be open any more when the policy handles that one.
        self.events.append(event)
        if in_flight is not None and response is not None:
            in_flight.frontend.on_response(response)
        self.process_events()

    def log_attempt_end(
        self, request_id: int, attempt_number: int, result: AttemptResult, elapsed_ms: float
    ) -> None:
        """Log the end of an attempt at level debug; that of an ended request has no name."""
        if not ATTEMPT_ENDED.is_enabled:
            return
        in_flight = self.in_flight.get(request_id)
        ATTEMPT_ENDED(
            attempt=attempt_number,
            request="" if in_flight is None else in_flight.request.request_name.decode("latin-1"),
            number=request_id,
            result=result.name,
            elapsed=int(elapsed_ms),
        )

    def response_started(
        self,
        request_id: int,
        attempt_number: int,
        endpoint_id: int,
        elapsed_ms: float,
        header_section: ResponseHeaderSection,
    ) -> ResponseSink | None:
        """Start to stream the response of an attempt, which is the final one of its request.

        Returns where the body goes, or None where the request is not in flight any more. The
        attempt ends by `attempt_ended`, like any other.
        """
        if (request_id, attempt_number) not in self.open_attempts or (
            in_flight := self.in_flight.pop(request_id, None)
        ) is None:
            return None
        if self.observers:
            self.notify_completed(request_id, in_flight, RequestOutcome.SERVED, endpoint_id)
        sink = cast(StreamingFrontend, in_flight.frontend).on_response_started(header_section)
        self.dispatch(ResponseStarted(request_id, attempt_number, endpoint_id, elapsed_ms))
        return sink

    def attempt_rerouted(
        self,
        request_id: int,
        attempt_number: int,
        endpoint_id: int,
        result: AttemptResult,
        elapsed_ms: float,
        next_endpoint_id: int,
    ) -> None:
        """Record that an attempt has ended and its transport went on to another endpoint."""
        transport, in_flight = (
            self.open_attempts.pop((request_id, attempt_number), None),
            self.in_flight.get(request_id),
        )
        if transport is None or in_flight is None:
            return
        for observer in self.attempt_observers:
            observer.attempt_ended(endpoint_id, result, elapsed_ms)
            observer.attempt_sent(next_endpoint_id)
        self.open_attempts[request_id, in_flight.attempts] = transport
        in_flight.attempts += 1
        self.dispatch(
            AttemptRerouted(
                request_id, attempt_number, endpoint_id, result, elapsed_ms, next_endpoint_id
            )
        )

    def retry_decision_due(self, request_id: int, resend: bool) -> None:
        """Have the policy decide on a request whose last attempt ended with a deferred retry."""
        if request_id in self.in_flight:
            self.dispatch(RetryDecisionDue(request_id, resend))
