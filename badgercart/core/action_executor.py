"""Carry out the actions of the policy on frontends, transports and timers."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

from badgercart.core.in_flight import InFlightRequests
from badgercart.core.log_events import POLICY_SAID
from badgercart.core.ports import AttemptRequest, IncomingRequest, RequestOutcome, Timers
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
from badgercart.policy.events import AttemptResult, Event, TimerFired


class ActionExecutor:
    """One handler for each type of action, in `handlers`."""

    def __init__(
        self,
        in_flight: InFlightRequests,
        timers: Timers,
        clock: Callable[[], float],
        dispatch: Callable[[Event], None],
        attempt_ended: Callable[[int, int, int, AttemptResult, float], None],
    ) -> None:
        """Set up the handlers.

        Args:
            in_flight: the requests that the actions concern.
            timers: what rings the policy's timers.
            clock: milliseconds on the clock of all events.
            dispatch: gives an event to the policy.
            attempt_ended: reports the end of an attempt that was never handed to its transport.
        """
        self.in_flight = in_flight
        self.timers = timers
        self.clock = clock
        self.dispatch = dispatch
        self.attempt_ended = attempt_ended
        self.handlers: dict[type[Action], Callable[[Any], None]] = {
            Send: self.send,
            Shed: self.shed,
            Fail: self.fail,
            CancelAttempt: self.cancel_attempt,
            SetTimer: self.set_timer,
            Log: self.log,
            Subscribe: self.subscribe,
        }

    def send(self, action: Send) -> None:
        """Hand the request's next attempt to its transport."""
        request_id, endpoint_id = action.id, action.endpoint_id
        in_flight = self.in_flight.requests.get(request_id) or self.in_flight.cancelled[request_id]
        attempt = self.in_flight.begin_attempt(request_id, in_flight)
        if request_id in self.in_flight.cancelled:
            self.attempt_ended(request_id, attempt, endpoint_id, AttemptResult.NOT_SENT, 0.0)
            return
        timeout_ms = self._timeout_ms(in_flight.request, action.timeout_ms)
        for observer in self.in_flight.attempt_observers:
            observer.attempt_sent(endpoint_id)
        payload = in_flight.request.payload
        in_flight.transport.send(
            AttemptRequest(request_id, attempt, endpoint_id, timeout_ms, payload, action.fallbacks)
        )

    def _timeout_ms(self, request: IncomingRequest, wanted_ms: float) -> float:
        """Return the time that an attempt has: the policy's, within what the request has left."""
        left_ms = request.response_window_ms
        if request.complete:
            left_ms = request.deadline - self.clock()
        return min(left_ms, wanted_ms) if wanted_ms else left_ms

    def shed(self, action: Shed) -> None:
        """Tell the client that its request was not executed."""
        in_flight = self.in_flight.complete(action.id, RequestOutcome.SHED)
        if in_flight is not None:
            self.in_flight.abandon_attempts(action.id, in_flight)
            in_flight.frontend.on_shed(action.retry_after_ms)

    def fail(self, action: Fail) -> None:
        """Tell the client that its request failed and may have been executed."""
        self.fail_request(action.id, internal_error=False)

    def fail_request(self, request_id: int, internal_error: bool) -> None:
        """End a request without a promise, where it is still in flight.

        `internal_error` says that the node itself failed, rather than the attempts.
        """
        in_flight = self.in_flight.complete(request_id, RequestOutcome.FAILED)
        if in_flight is not None:
            self.in_flight.abandon_attempts(request_id, in_flight)
            in_flight.frontend.on_failure(internal_error)

    def cancel_attempt(self, action: CancelAttempt) -> None:
        """Have the transport stop waiting for an attempt, where it is still open."""
        transport = self.in_flight.attempts.get((action.id, action.attempt))
        if transport is not None:
            transport.cancel(action.id, action.attempt)

    def set_timer(self, action: SetTimer) -> None:
        """Tell the policy when a delay has passed."""
        # Rounded up: a timer that fires early finds nothing due and would be set again at once.
        delay_s = math.ceil(action.delay_ms) / 1000
        self.timers.call_later(delay_s, self.dispatch, TimerFired(action.token))

    def log(self, action: Log) -> None:
        """Write what the policy reports to the log."""
        POLICY_SAID(text=action.text)

    def subscribe(self, action: Subscribe) -> None:
        """Do nothing: discovery follows the endpoints from the start of the process."""
