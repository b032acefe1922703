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

from badgercart.core.clock import MARGIN, now_ms
from badgercart.core.log_events import POLICY_FAILED, POLICY_SAID
from badgercart.core.ports import (
    Answer,
    AttemptObserver,
    AttemptRequest,
    Frontend,
    IncomingRequest,
    RequestObserver,
    RequestOutcome,
    StreamingFrontend,
    Timers,
    UpstreamTransport,
)
from badgercart.core.streams import Opening, Sink
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
KINDS: dict[type[Event], str] = {
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
        self.last_id = 0
        self.cancelled: dict[
            int, InFlightRequest
        ] = {}  # withdrawn, and the policy has yet to hear of it
        self.events: deque[Event] = deque()
        self.handling = False
        self.failed_event: Event | None = None  # the last that the policy broke over
        self.shutdown_deadline = math.inf  # ms, after which no answer goes out
        self.observers: tuple[RequestObserver, ...] = ()
        self.attempt_observers: tuple[AttemptObserver, ...] = ()
        self.decision_log: DecisionLog | None = None
        self.perform: dict[type[Action], Callable[[Any], None]] = {
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
        if self.handling:
            return
        self.handling = True
        try:
            while self.events:
                event = self.events.popleft()
                now, decided = self.clock(), False
                if isinstance(event, RequestCancelled):
                    self.cancelled.pop(event.id, None)
                try:
                    actions = self.policy.handle(now, event)
                    decided = True
                    if self.decision_log is not None:
                        self.decision_log(now, event, actions)
                    for action in actions:
                        self.perform[type(action)](action)
                except Exception:
                    if self.decision_log is not None and not decided:
                        self.decision_log(now, event, None)
                    self.failed_event = event
                    # One request must not take the node down with it; it still is owed an answer.
                    POLICY_FAILED(True, kind=KINDS[type(event)], request=getattr(event, "id", 0))
                    if isinstance(
                        event, Request | AttemptEnded | AttemptRerouted | RetryDecisionDue
                    ):
                        self.give_up(event.id)
                    elif isinstance(event, TimerFired):
                        self.give_up(event.token)
        finally:
            self.handling = False

    def send(self, action: Send) -> None:
        held = self.in_flight.get(action.id) or self.cancelled[action.id]
        number, held.attempts = held.attempts, held.attempts + 1
        limit = (
            held.request.deadline - self.clock()
            if held.request.complete
            else held.request.response_window_ms
        )
        if action.timeout_ms:
            limit = min(limit, action.timeout_ms)
        self.open_attempts[action.id, number] = held.transport
        if action.id in self.cancelled:  # its client left while this was being decided
            self.attempt_ended(action.id, number, action.endpoint_id, AttemptResult.NOT_SENT, 0.0)
            return
        for watcher in self.attempt_observers:
            watcher.attempt_sent(action.endpoint_id)
        work = held.request.payload
        held.transport.send(
            AttemptRequest(action.id, number, action.endpoint_id, limit, work, action.fallbacks)
        )

    def shed(self, action: Shed) -> None:
        if (held := self.in_flight.pop(action.id, None)) is not None:
            self.notify_completed(action.id, held, RequestOutcome.SHED)
            self.abandon_attempts(action.id, held)
            held.frontend.on_shed(action.retry_after_ms)

    def fail(self, action: Fail) -> None:
        self.end(action.id, broken=False)

    def end(self, request_id: int, broken: bool) -> None:
        if (held := self.in_flight.pop(request_id, None)) is not None:
            self.notify_completed(request_id, held, RequestOutcome.FAILED)
            self.abandon_attempts(request_id, held)
            held.frontend.on_failure(broken)

    def give_up(self, request_id: int) -> None:
        """The policy broke over it: it has its answer, and the policy is to forget it."""
        if request_id in self.in_flight:
            self.end(request_id, broken=True)
            self.events.append(RequestCancelled(request_id))

    def abandon_attempts(self, request_id: int, held: InFlightRequest) -> None:
        """A request is over: what has not gone out for it by now never does, whether or not work
        may be cancelled."""
        for number in range(held.attempts):
            if (carrier := self.open_attempts.get((request_id, number))) is not None:
                carrier.abandon_attempt(request_id, number)

    def notify_completed(
        self, request_id: int, held: InFlightRequest, final: RequestOutcome, server: int = 0
    ) -> None:
        took = self.clock() - held.accepted_ms if held.accepted_ms else 0.0
        for observer in self.observers:
            observer.request_finished(request_id, held.request, final, took, server, held.attempts)

    def cancel(self, action: CancelAttempt) -> None:
        if (carrier := self.open_attempts.get((action.id, action.attempt))) is not None:
            carrier.cancel(action.id, action.attempt)

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
        self.last_id += 1
        return self.last_id

    def begin_shutdown(self, by: float) -> None:
        """The process ends then (ms): what comes has no more time, and what is held is ended ahead
        of it."""
        self.shutdown_deadline = by - MARGIN
        self.timers.call_later(
            max(self.shutdown_deadline - self.clock(), 0.0) / 1000, self.end_all_requests
        )

    def end_all_requests(self) -> None:
        """End all that is held: refused where it can't have run, else failed."""
        for request_id, held in list(self.in_flight.items()):
            self.abandon_attempts(request_id, held)  # what was not written is known not to have run
            if request_id in self.in_flight:
                self.dispatch(DeadlineExceeded(request_id))
                self.end(request_id, broken=False)  # where the policy did not know it

    def accept(
        self, request_id: int, intake: IncomingRequest, front: Frontend, carrier: UpstreamTransport
    ) -> None:
        """Take on a request. The front may be told its answer before this returns."""
        if intake.complete:
            intake.deadline = min(intake.deadline, self.shutdown_deadline)
        self.in_flight[request_id] = InFlightRequest(
            front, carrier, intake, self.clock() if self.observers else 0.0
        )
        event = Request(
            id=request_id,
            class_index=intake.class_index,
            deadline_at_ms=intake.deadline,
            key=intake.key,
            tenant=intake.tenant,
            expected_work_ms=intake.expected_work_ms,
            is_client_retry=intake.is_client_retry,
            max_fallbacks=intake.max_fallbacks,
            possibly_executed=intake.possibly_executed,
            reachable_endpoints=intake.reachable_endpoints,
            complete=intake.complete,
        )
        self.dispatch(event)

    def request_completed(self, request_id: int, due: float) -> None:
        """A request that was taken on before has come in whole."""
        if (held := self.in_flight.get(request_id)) is not None:
            held.request.complete, held.request.deadline = True, min(due, self.shutdown_deadline)
            self.dispatch(RequestCompleted(request_id, held.request.deadline))

    def cancel_request(self, request_id: int) -> None:
        """The client has gone away: nothing is owed any more."""
        if (held := self.in_flight.pop(request_id, None)) is not None:
            self.notify_completed(request_id, held, RequestOutcome.CANCELLED)
            if self.handling:
                self.cancelled[request_id] = held
            self.abandon_attempts(request_id, held)
            self.dispatch(RequestCancelled(request_id))

    # From carriers.

    def is_awaited(self, request_id: int) -> bool:
        """Whether a request still waits, asked before an attempt for it is written. Its client may
        have left with that unread: who has is withdrawn here."""
        if (held := self.in_flight.get(request_id)) is None:
            return False
        if held.frontend.client_is_gone():
            self.cancel_request(request_id)
            return False
        return True

    def attempt_ended(
        self,
        request_id: int,
        number: int,
        server_id: int,
        result: AttemptResult,
        elapsed: float,
        answer: Answer | None = None,
        parked: bool = False,
        spent: bool = False,
    ) -> None:
        """An attempt has ended, `elapsed` ms after it was sent. Told twice, it counts once.

        Where it is parked, the policy learns from it and decides nothing until `resume`."""
        if self.open_attempts.pop((request_id, number), None) is None:
            return
        for watcher in self.attempt_observers:
            watcher.attempt_ended(server_id, result, elapsed)
        final = result is AttemptResult.OK
        if answer is not None and 400 <= answer.status < 500 and answer.status != 429:
            # The request is at fault, wherever it goes: it must neither go round the servers nor
            # count against them, or one bad client would have them all taken for broken. 429 would
            # be a refusal.
            final, result = True, AttemptResult.CANCELLED
        if final and answer is not None and (held := self.in_flight.pop(request_id, None)):
            if self.observers:
                self.notify_completed(
                    request_id,
                    held,
                    RequestOutcome.SERVED if answer.status < 400 else RequestOutcome.CLIENT_ERROR,
                    server_id,
                )
        else:
            held = None
        over = request_id not in self.in_flight
        told = AttemptEnded(
            request_id,
            server_id,
            over,
            result,
            number,
            elapsed,
            retry_deferred=parked,
            body_consumed=spent,
        )
        # Before the answer, which may bring the client's next request: to that, the attempt must
        # not be out.
        self.events.append(told)
        if held is not None and answer is not None:
            held.frontend.on_answer(answer)
        self.process_events()

    def response_started(
        self, request_id: int, number: int, server_id: int, elapsed: float, opening: Opening
    ) -> Sink | None:
        """An attempt's answer begins: where it goes, as it comes; None where nobody waits for it
        any more.

        It is the request's final answer. The attempt ends by `ended`, as any other."""
        if (request_id, number) not in self.open_attempts or (
            held := self.in_flight.pop(request_id, None)
        ) is None:
            return None
        if self.observers:
            self.notify_completed(request_id, held, RequestOutcome.SERVED, server_id)
        sink = cast(StreamingFrontend, held.frontend).on_response_started(opening)
        self.dispatch(ResponseStarted(request_id, number, server_id, elapsed))
        return sink

    def attempt_rerouted(
        self,
        request_id: int,
        number: int,
        server_id: int,
        result: AttemptResult,
        elapsed: float,
        to: int,
    ) -> None:
        """An attempt has ended, and its carrier went on to another server by itself."""
        carrier, held = (
            self.open_attempts.pop((request_id, number), None),
            self.in_flight.get(request_id),
        )
        if carrier is None or held is None:
            return
        for watcher in self.attempt_observers:
            watcher.attempt_ended(server_id, result, elapsed)
            watcher.attempt_sent(to)
        self.open_attempts[request_id, held.attempts] = carrier
        held.attempts += 1
        self.dispatch(AttemptRerouted(request_id, number, server_id, result, elapsed, to))

    def retry_decision_due(self, request_id: int, resend: bool) -> None:
        """Have the policy decide on a request whose last end was parked."""
        if request_id in self.in_flight:
            self.dispatch(RetryDecisionDue(request_id, resend))
