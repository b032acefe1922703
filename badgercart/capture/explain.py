"""Explains the decisions about one request by replaying its segment with a tracing policy.

The tracing policy is a subclass of the policy whose methods call the policy's own code and trace
one request. The policy of a running node is never of this class, so tracing costs it nothing.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path

from badgercart.capture.format import Segment, read_index
from badgercart.capture.replay import initial_policy, read_events
from badgercart.capture.words import RESULTS
from badgercart.policy.actions import Action, CancelAttempt, Fail, Send, SetTimer, Shed
from badgercart.policy.endpoint import Endpoint
from badgercart.policy.endpoints import ClassHealth, TrackedEndpoint
from badgercart.policy.events import (
    AttemptEnded,
    AttemptRerouted,
    Event,
    Request,
    RequestCancelled,
    RequestCompleted,
    ResponseStarted,
    RetryDecisionDue,
    TimerFired,
)
from badgercart.policy.policy import Policy
from badgercart.policy.requests import PendingRequest
from badgercart.policy.retries import RetryPolicy
from badgercart.policy.selection import EndpointSelector


@dataclass(slots=True)
class RequestTrace:
    """The lines that explain one request."""

    request_id: int
    lines: list[str] = field(default_factory=list)
    # The reason for or against each endpoint, while one is being selected for the request.
    considered: dict[int, str] | None = None

    def add(self, now_ms: float, text: str) -> None:
        """Add a line about what was decided at this time."""
        self.lines.append(f"{now_ms:.3f} ms  {text}")


class ExplainingSelector(EndpointSelector):
    """Selects as its parent does, and traces the reasons for and against each endpoint."""

    __slots__ = ("_trace",)

    def __init__(self, policy: Policy, trace: RequestTrace) -> None:
        super().__init__(
            policy.fleet,
            policy.overload.concurrency,
            policy.key_traffic,
            policy.retries,
            policy.settings,
            policy.random,
        )
        self._trace = trace

    def select(self, pending: PendingRequest, now_ms: float) -> TrackedEndpoint | None:
        """Return the endpoint of a request's next attempt; None where none can serve it."""
        trace = self._trace
        if pending.request.id != trace.request_id:
            return super().select(pending, now_ms)
        trace.considered = {}
        tracked = super().select(pending, now_ms)
        considered, trace.considered = trace.considered, None
        for endpoint_id, reason in considered.items():
            trace.add(now_ms, f"  {endpoint_id:x}: {reason}")
        chosen = f"server {tracked.endpoint.id:x}" if tracked is not None else "no server will do"
        trace.add(now_ms, f"attempt {pending.attempts}: {chosen}")
        return tracked

    def is_usable(self, tracked: TrackedEndpoint, health: ClassHealth, now_ms: float) -> bool:
        """Return whether an endpoint may get an attempt now."""
        usable = super().is_usable(tracked, health, now_ms)
        if self._trace.considered is not None:
            reason = self._describe(tracked, health, usable, now_ms)
            self._trace.considered[tracked.endpoint.id] = reason
        return usable

    def _describe(
        self, tracked: TrackedEndpoint, health: ClassHealth, usable: bool, now_ms: float
    ) -> str:
        load = (
            f"{len(tracked.open_attempts)} open, slow {tracked.relative_latency:.2f}, "
            f"fails {health.failure_rate:.2f}"
        )
        if usable:
            return f"could serve: {load}"
        if health.ejected_until_ms:
            return f"rests until {health.ejected_until_ms:.0f} ms or proves itself: {load}"
        if any(deadline_ms < now_ms for _, deadline_ms in tracked.open_attempts.values()):
            return f"hangs: an attempt there is overdue; {load}"
        share = self._slow_start.capacity_share(tracked.endpoint, now_ms)
        return f"cold, at {share:.2f} of its work, and has no token"


class ExplainingRetryPolicy(RetryPolicy):
    """Decides as its parent does, and traces the endpoints that a request may not go to."""

    __slots__ = ("_trace",)

    def __init__(self, policy: Policy, trace: RequestTrace) -> None:
        super().__init__(policy.overload, policy.settings, policy.random)
        self._trace = trace

    def may_send(
        self, pending: PendingRequest, endpoint: Endpoint, now_ms: float, until_ms: float = 0.0
    ) -> bool:
        """Return whether a request may go to an endpoint."""
        allowed = super().may_send(pending, endpoint, now_ms, until_ms)
        if not allowed and self._trace.considered is not None:
            self._trace.considered[endpoint.id] = (
                "not allowed: the request may have run where its class forbids a repeat"
            )
        return allowed


class ExplainingPolicy(Policy):
    """Decides as its parent does, and traces a request; made only from a captured policy."""

    trace: RequestTrace

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """Decide what follows from an event."""
        if not isinstance(event, Request) or event.id != self.trace.request_id:
            return super().handle(now_ms, event)
        score = self._trace_score(now_ms, event)
        actions = super().handle(now_ms, event)
        if score < self.overload.shed_threshold:
            self.trace.add(now_ms, "its score is below the cut")
        return actions

    def _trace_score(self, now_ms: float, request: Request) -> float:
        """Trace how the request will be scored, and return its score."""
        band_index, beyond = request.class_index, ""
        if self.settings.quotas_per_s and self.quotas.level(request.tenant) > self.quotas.limit(
            request.tenant
        ):
            band_index, beyond = (
                band_index + len(self.settings.classes),
                ", beyond its tenant's share",
            )
        # The random state is restored, so that the parent draws the same number.
        random_state = self.random.getstate()
        low, width = self.priority.bands[band_index]
        score = self.priority.score(band_index, self.random.random())
        self.random.setstate(random_state)
        self.trace.add(
            now_ms,
            f"taken: class {request.class_index}, tenant {request.tenant}{beyond}, "
            f"key {request.key:x}",
        )
        band = f"of {low:.2f} to {low + width:.2f} for its class and share"
        self.trace.add(now_ms, f"score {score:.2f}, {band}")
        overload = self.overload
        overload.measure()  # as the parent does next
        concurrency = overload.concurrency
        self.trace.add(
            now_ms,
            f"cut {overload.shed_threshold:.2f} at x {overload.level:.3f}: "
            f"errors {overload.error_rate.rate:.3f}, "
            f"{concurrency.average:.1f} attempts in flight of {concurrency.limit:.1f} needed",
        )
        return score


def trace_decisions(policy: Policy, trace: RequestTrace) -> ExplainingPolicy:
    """Turn a policy that was read from a capture into one that traces its decisions."""
    policy.retries = policy.lifecycle.retries = ExplainingRetryPolicy(policy, trace)
    policy.selector = policy.lifecycle.selector = ExplainingSelector(policy, trace)
    policy.__class__ = ExplainingPolicy
    assert isinstance(policy, ExplainingPolicy)
    policy.trace = trace
    return policy


def _request_id_of(event: Event) -> int:
    """Return the id of the request that an event is about; 0 where there is none."""
    if isinstance(
        event,
        Request
        | RequestCompleted
        | ResponseStarted
        | AttemptEnded
        | AttemptRerouted
        | RetryDecisionDue
        | RequestCancelled,
    ):
        return event.id
    return event.token if isinstance(event, TimerFired) else 0


_EVENT_TEXTS: dict[type, str] = {
    RequestCompleted: "whole",
    ResponseStarted: "began",
    RetryDecisionDue: "resume",
    RequestCancelled: "withdrawn",
    TimerFired: "timer",
}
_ACTION_TEXTS: dict[type, str] = {Fail: "fail", CancelAttempt: "cancel"}


def _describe_event(event: Event) -> str:
    if isinstance(event, AttemptEnded):
        deferred = ", parked" if event.retry_deferred else ""
        text = f"attempt {event.attempt} at {event.endpoint_id:x}: {RESULTS[event.result]} after"
        return f"{text} {event.elapsed_ms:.1f} ms{deferred}" + (
            ", the request is over" if event.request_finished else ""
        )
    if isinstance(event, AttemptRerouted):
        result = RESULTS[event.result]
        return (
            f"attempt {event.attempt}: {result}; its carrier went on to {event.next_endpoint_id:x}"
        )
    return _EVENT_TEXTS[type(event)]


def _describe_action(action: Action) -> str:
    if isinstance(action, Send):
        fallbacks = (
            f", fallbacks {[f'{endpoint_id:x}' for endpoint_id in action.fallbacks]}"
            if action.fallbacks
            else ""
        )
        return f"send to {action.endpoint_id:x}, {action.timeout_ms:.0f} ms at most{fallbacks}"
    if isinstance(action, Shed):
        return (
            f"refuse; come back after {action.retry_after_ms:.0f} ms"
            if action.retry_after_ms
            else "refuse"
        )
    if isinstance(action, SetTimer):
        return f"wait {action.delay_ms:.0f} ms"
    return _ACTION_TEXTS[type(action)]


def may_hold_request(data: bytes, request_id: int) -> bool:
    """Return whether a segment may hold events about a request; without an index it may."""
    index = read_index(data, 0)
    return index is None or index.low <= request_id <= index.high


def explain(path: Path, request_id: int) -> list[str]:
    """Return the history of a request as lines; empty where the segment has no event about it.

    A request that began in an earlier segment is explained from this segment's beginning on.

    Raises:
        FormatError: The file is not a capture, or its header can't be read.
        CodecError: The policy's state, a record or the settings can't be decoded.
        OSError: The file can't be read.
    """
    segment = Segment(path.read_bytes())
    # A replay is expensive, so segments without the request are ruled out by their index and events.
    if not may_hold_request(segment.data, request_id):
        return []
    captured = list(read_events(segment))
    last = max(
        (
            position
            for position, item in enumerate(captured)
            if _request_id_of(item.event) == request_id
        ),
        default=-1,
    )
    if last < 0:
        return []
    trace = RequestTrace(request_id)
    policy = trace_decisions(initial_policy(segment), trace)
    for item in captured[: last + 1]:
        now_ms, event = item.now_ms, item.event
        is_traced = _request_id_of(event) == request_id
        if is_traced and not isinstance(event, Request):
            trace.lines.append(f"{now_ms:.3f} ms  {_describe_event(event)}")
        try:
            actions = policy.handle(now_ms, event)
        except Exception as error:  # the policy raised in the running node too
            actions = []
            if is_traced:
                trace.lines.append(
                    f"{now_ms:.3f} ms  the policy failed: {type(error).__name__}: {error}"
                )
        for action in actions:
            action_request_id = (
                action.token if isinstance(action, SetTimer) else getattr(action, "id", 0)
            )
            if (
                isinstance(action, Send | Shed | Fail | CancelAttempt | SetTimer)
                and action_request_id == request_id
            ):
                trace.lines.append(f"{now_ms:.3f} ms  {_describe_action(action)}")
    return trace.lines
