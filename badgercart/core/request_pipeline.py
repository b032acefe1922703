"""The join: turns what fronts, carriers and membership tell into events, and actions into what is
done.

It decides nothing. Actions are carried out in the order in which the module gives them; events that
arise meanwhile wait for their turn.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, cast

from badgercart.core.clock import RESPONSE_MARGIN_MS, now_ms
from badgercart.core.log_events import POLICY_FAILED, POLICY_SAID
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

# What operators read in `policy.failed` as the kind of the event that it was.
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

# Told of each event and of what was decided by it, before that is done; None: the policy raised.
DecisionLog = Callable[[float, Event, list[Action] | None], None]


@dataclass(slots=True)
class InFlightRequest:
    """A request that is owed its final answer."""

    frontend: Frontend
    transport: UpstreamTransport
    request: IncomingRequest
    accepted_ms: float  # ms on the join's clock; 0: before anybody watched
    attempts: int = 0


class RequestPipeline:
    """All requests that are held and all attempts that are out, over every front and carrier."""

    def __init__(
        self, settings: Settings, seed: int, timers: Timers, clock: Callable[[], float] = now_ms
    ) -> None:
        self.timers = timers
        self.clock = clock
        self.policy = Policy(settings, seed)
        self.in_flight: dict[int, InFlightRequest] = {}
        self.open_attempts: dict[
            tuple[int, int], UpstreamTransport
        ] = {}  # attempts, also of requests that are over
        self.last_request_id = 0
        self.cancelled: dict[
            int, InFlightRequest
        ] = {}  # withdrawn, and the policy has yet to hear of it
        self.events: deque[Event] = deque()
        self.processing = False
        self.failed_event: Event | None = None  # the last that the policy broke over
        self.shutdown_deadline_ms = math.inf  # ms, after which no answer goes out
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

    # Events in, actions out.

    def dispatch(self, event: Event) -> None:
        """Give the policy an event, after those that wait already."""
        self.events.append(event)
        self.process_events()

    def process_events(self) -> None:
        """Have the policy handle what waits, unless it is at it."""
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
                    # One request must not take the node down with it; it still is owed an answer.
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
        if action.id in self.cancelled:  # its client left while this was being decided
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
        if (in_flight := self.in_flight.pop(action.id, None)) is not None:
            self.notify_completed(action.id, in_flight, RequestOutcome.SHED)
            self.abandon_attempts(action.id, in_flight)
            in_flight.frontend.on_shed(action.retry_after_ms)

    def fail(self, action: Fail) -> None:
        self.fail_request(action.id, internal_error=False)

    def fail_request(self, request_id: int, internal_error: bool) -> None:
        if (in_flight := self.in_flight.pop(request_id, None)) is not None:
            self.notify_completed(request_id, in_flight, RequestOutcome.FAILED)
            self.abandon_attempts(request_id, in_flight)
            in_flight.frontend.on_failure(internal_error)

    def fail_after_policy_error(self, request_id: int) -> None:
        """The policy broke over it: it has its answer, and the policy is to forget it."""
        if request_id in self.in_flight:
            self.fail_request(request_id, internal_error=True)
            self.events.append(RequestCancelled(request_id))

    def abandon_attempts(self, request_id: int, in_flight: InFlightRequest) -> None:
        """A request is over: what has not gone out for it by now never does, whether or not work
        may be cancelled."""
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
        elapsed_ms = self.clock() - in_flight.accepted_ms if in_flight.accepted_ms else 0.0
        for observer in self.observers:
            observer.request_finished(
                request_id, in_flight.request, outcome, elapsed_ms, endpoint_id, in_flight.attempts
            )

    def cancel(self, action: CancelAttempt) -> None:
        if (transport := self.open_attempts.get((action.id, action.attempt))) is not None:
            transport.cancel(action.id, action.attempt)

    def set_timer(self, action: SetTimer) -> None:
        # Rounded up: a timer that rings early finds nothing due and would be set again at once.
        self.timers.call_later(
            math.ceil(action.delay_ms) / 1000, self.dispatch, TimerFired(action.token)
        )

    def log(self, action: Log) -> None:
        POLICY_SAID(text=action.text)

    def subscribe(self, action: Subscribe) -> None:
        """Nothing to do: membership follows the list from its start."""

    # From fronts.

    def next_request_id(self) -> int:
        """A number for a request that is about to be taken."""
        self.last_request_id += 1
        return self.last_request_id

    def begin_shutdown(self, ends_at_ms: float) -> None:
        """The process ends then (ms): what comes has no more time, and what is held is ended ahead
        of it."""
        self.shutdown_deadline_ms = ends_at_ms - RESPONSE_MARGIN_MS
        self.timers.call_later(
            max(self.shutdown_deadline_ms - self.clock(), 0.0) / 1000, self.end_all_requests
        )

    def end_all_requests(self) -> None:
        """End all that is held: refused where it can't have run, else failed."""
        for request_id, in_flight in list(self.in_flight.items()):
            self.abandon_attempts(
                request_id, in_flight
            )  # what was not written is known not to have run
            if request_id in self.in_flight:
                self.dispatch(DeadlineExceeded(request_id))
                self.fail_request(
                    request_id, internal_error=False
                )  # where the policy did not know it

    def accept(
        self,
        request_id: int,
        request: IncomingRequest,
        frontend: Frontend,
        transport: UpstreamTransport,
    ) -> None:
        """Take on a request. The front may be told its answer before this returns."""
        if request.complete:
            request.deadline_ms = min(request.deadline_ms, self.shutdown_deadline_ms)
        self.in_flight[request_id] = InFlightRequest(
            frontend, transport, request, self.clock() if self.observers else 0.0
        )
        event = Request(
            id=request_id,
            class_index=request.class_index,
            deadline=request.deadline_ms,
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
        """A request that was taken on before has come in whole."""
        if (in_flight := self.in_flight.get(request_id)) is not None:
            in_flight.request.complete, in_flight.request.deadline_ms = (
                True,
                min(deadline_ms, self.shutdown_deadline_ms),
            )
            self.dispatch(RequestCompleted(request_id, in_flight.request.deadline_ms))

    def cancel_request(self, request_id: int) -> None:
        """The client has gone away: nothing is owed any more."""
        if (in_flight := self.in_flight.pop(request_id, None)) is not None:
            self.notify_completed(request_id, in_flight, RequestOutcome.CANCELLED)
            if self.processing:
                self.cancelled[request_id] = in_flight
            self.abandon_attempts(request_id, in_flight)
            self.dispatch(RequestCancelled(request_id))

    # From carriers.

    def is_awaited(self, request_id: int) -> bool:
        """Whether a request still waits, asked before an attempt for it is written. Its client may
        have left with that unread: who has is withdrawn here."""
        if (in_flight := self.in_flight.get(request_id)) is None:
            return False
        if in_flight.frontend.client_is_gone():
            self.cancel_request(request_id)
            return False
        return True

    def attempt_ended(
        self,
        request_id: int,
        attempt_number: int,
        endpoint_id: int,
        result: AttemptResult,
        elapsed_ms: float,
        response: UpstreamResponse | None = None,
        parked: bool = False,
        body_consumed: bool = False,
    ) -> None:
        """An attempt has ended, `elapsed` ms after it was sent. Told twice, it counts once.

        Where it is parked, the policy learns from it and decides nothing until `resume`."""
        if self.open_attempts.pop((request_id, attempt_number), None) is None:
            return
        for observer in self.attempt_observers:
            observer.attempt_ended(endpoint_id, result, elapsed_ms)
        is_final = result is AttemptResult.OK
        if response is not None and 400 <= response.status < 500 and response.status != 429:
            # The request is at fault, wherever it goes: it must neither go round the servers nor
            # count against them, or one bad client would have them all taken for broken. 429 would
            # be a refusal.
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
            parked=parked,
            body_consumed=body_consumed,
        )
        # Before the answer, which may bring the client's next request: to that, the attempt must
        # not be out.
        self.events.append(event)
        if in_flight is not None and response is not None:
            in_flight.frontend.on_response(response)
        self.process_events()

    def response_started(
        self,
        request_id: int,
        attempt_number: int,
        endpoint_id: int,
        elapsed_ms: float,
        header_section: ResponseHeaderSection,
    ) -> ResponseSink | None:
        """An attempt's answer begins: where it goes, as it comes; None where nobody waits for it
        any more.

        It is the request's final answer. The attempt ends by `ended`, as any other."""
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
        """An attempt has ended, and its carrier went on to another server by itself."""
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
        """Have the policy decide on a request whose last end was parked."""
        if request_id in self.in_flight:
            self.dispatch(RetryDecisionDue(request_id, resend))
