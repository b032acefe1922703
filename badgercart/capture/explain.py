"""Why one request went as it did: its segment is decided anew by a policy that also says why.

The policy's own code runs, in a subclass whose methods call it and take notes of one request; a
node's policy is never of this class, so that nobody pays for what nobody asks.
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
class Notes:
    """What was noted of one request."""

    wanted: int  # the request's id
    lines: list[str] = field(default_factory=list)
    considered: dict[int, str] | None = (
        None  # by endpoint, while one is being chosen for the request
    )

    def add(self, now_ms: float, words: str) -> None:
        """Note something that was decided at this time."""
        self.lines.append(f"{now_ms:.3f} ms  {words}")


class ExplainingSelector(EndpointSelector):
    """Chooses as its parent does, and notes what spoke for and against each endpoint."""

    __slots__ = ("_notes",)

    def __init__(self, policy: Policy, notes: Notes) -> None:
        super().__init__(
            policy.fleet,
            policy.overload.concurrency,
            policy.key_traffic,
            policy.retries,
            policy.settings,
            policy.random,
        )
        self._notes = notes

    def select(self, pending: PendingRequest, now_ms: float) -> TrackedEndpoint | None:
        """Return the endpoint of a request's next attempt; None where none can serve it."""
        notes = self._notes
        if pending.request.id != notes.wanted:
            return super().select(pending, now_ms)
        notes.considered = {}
        tracked = super().select(pending, now_ms)
        considered, notes.considered = notes.considered, None
        for endpoint_id, words in considered.items():
            notes.add(now_ms, f"  {endpoint_id:x}: {words}")
        chosen = f"server {tracked.endpoint.id:x}" if tracked is not None else "no server will do"
        notes.add(now_ms, f"attempt {pending.attempts}: {chosen}")
        return tracked

    def is_usable(self, tracked: TrackedEndpoint, health: ClassHealth, now_ms: float) -> bool:
        """Return whether an endpoint may get an attempt now."""
        usable = super().is_usable(tracked, health, now_ms)
        if self._notes.considered is not None:
            words = self._describe(tracked, health, usable, now_ms)
            self._notes.considered[tracked.endpoint.id] = words
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
        if any(overdue_ms < now_ms for _, overdue_ms in tracked.open_attempts.values()):
            return f"hangs: an attempt there is overdue; {load}"
        share = self._slow_start.capacity_share(tracked.endpoint, now_ms)
        return f"cold, at {share:.2f} of its work, and has no token"


class ExplainingRetryPolicy(RetryPolicy):
    """Decides as its parent does, and notes where a request may not go."""

    __slots__ = ("_notes",)

    def __init__(self, policy: Policy, notes: Notes) -> None:
        super().__init__(policy.overload, policy.settings, policy.random)
        self._notes = notes

    def may_send(
        self, pending: PendingRequest, endpoint: Endpoint, now_ms: float, until_ms: float = 0.0
    ) -> bool:
        """Return whether a request may go to an endpoint."""
        allowed = super().may_send(pending, endpoint, now_ms, until_ms)
        if not allowed and self._notes.considered is not None:
            self._notes.considered[endpoint.id] = (
                "not allowed: the request may have run where its class forbids a repeat"
            )
        return allowed


class ExplainingPolicy(Policy):
    """Decides as its parent does. Only made of a policy that was read from a capture."""

    notes: Notes

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """Decide what follows from an event."""
        if not isinstance(event, Request) or event.id != self.notes.wanted:
            return super().handle(now_ms, event)
        score = self._note_score(now_ms, event)
        actions = super().handle(now_ms, event)
        if score < self.overload.shed_threshold:
            self.notes.add(now_ms, "its score is below the cut")
        return actions

    def _note_score(self, now_ms: float, request: Request) -> float:
        """Note how the request will be scored, and return its score."""
        group, beyond = request.class_index, ""
        if self.settings.quotas_per_s and self.quotas.level(request.tenant) > self.quotas.limit(
            request.tenant
        ):
            group, beyond = group + len(self.settings.classes), ", beyond its tenant's share"
        state = self.random.getstate()  # looked at, and put back: the parent draws the same
        low, width = self.priority.bands[group]
        score = self.priority.score(group, self.random.random())
        self.random.setstate(state)
        self.notes.add(
            now_ms,
            f"taken: class {request.class_index}, tenant {request.tenant}{beyond}, "
            f"key {request.key:x}",
        )
        band = f"of {low:.2f} to {low + width:.2f} for its class and share"
        self.notes.add(now_ms, f"score {score:.2f}, {band}")
        overload = self.overload
        overload.measure()  # as the parent will
        concurrency = overload.concurrency
        self.notes.add(
            now_ms,
            f"cut {overload.shed_threshold:.2f} at x {overload.level:.3f}: "
            f"errors {overload.error_rate.rate:.3f}, "
            f"{concurrency.average:.1f} attempts in flight of {concurrency.limit:.1f} needed",
        )
        return score


def explaining(policy: Policy, notes: Notes) -> ExplainingPolicy:
    """Turn a policy that was read from a capture into one that takes notes."""
    policy.retries = policy.lifecycle.retries = ExplainingRetryPolicy(policy, notes)
    policy.selector = policy.lifecycle.selector = ExplainingSelector(policy, notes)
    policy.__class__ = ExplainingPolicy
    assert isinstance(policy, ExplainingPolicy)
    policy.notes = notes
    return policy


def _of(event: Event) -> int:
    """The request that an event is about; 0: none."""
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


_EVENT_WORDS: dict[type, str] = {
    RequestCompleted: "whole",
    ResponseStarted: "began",
    RetryDecisionDue: "resume",
    RequestCancelled: "withdrawn",
    TimerFired: "timer",
}
_ACTION_WORDS: dict[type, str] = {Fail: "fail", CancelAttempt: "cancel"}


def _told(event: Event) -> str:
    if isinstance(event, AttemptEnded):
        parked = ", parked" if event.retry_deferred else ""
        words = f"attempt {event.attempt} at {event.endpoint_id:x}: {RESULTS[event.result]} after"
        return f"{words} {event.elapsed_ms:.1f} ms{parked}" + (
            ", the request is over" if event.request_finished else ""
        )
    if isinstance(event, AttemptRerouted):
        result = RESULTS[event.result]
        return (
            f"attempt {event.attempt}: {result}; its carrier went on to {event.next_endpoint_id:x}"
        )
    return _EVENT_WORDS[type(event)]


def _done(action: Action) -> str:
    if isinstance(action, Send):
        more = f", fallbacks {[f'{i:x}' for i in action.fallbacks]}" if action.fallbacks else ""
        return f"send to {action.endpoint_id:x}, {action.timeout_ms:.0f} ms at most{more}"
    if isinstance(action, Shed):
        return (
            f"refuse; come back after {action.retry_after_ms:.0f} ms"
            if action.retry_after_ms
            else "refuse"
        )
    if isinstance(action, SetTimer):
        return f"wait {action.delay_ms:.0f} ms"
    return _ACTION_WORDS[type(action)]


def may_hold(data: bytes, request_id: int) -> bool:
    """Whether a segment may hold events about a request; one without an index may."""
    index = read_index(data, 0)
    return index is None or index.low <= request_id <= index.high


def explain(path: Path, request_id: int) -> list[str]:
    """The life of a request, line by line; empty where this segment does not have it.

    Raises FormatError, CodecError and OSError. One that began in an earlier segment is told from
    there on."""
    segment = Segment(path.read_bytes())
    # Deciding is dear: a segment that does not have the request is only searched.
    if not may_hold(segment.data, request_id):
        return []
    told = list(read_events(segment))
    last = max((at for at, item in enumerate(told) if _of(item.event) == request_id), default=-1)
    if last < 0:
        return []
    notes = Notes(request_id)
    policy = explaining(initial_policy(segment), notes)
    for item in told[: last + 1]:
        now, event = item.now_ms, item.event
        mine = _of(event) == request_id
        if mine and not isinstance(event, Request):
            notes.lines.append(f"{now:.3f} ms  {_told(event)}")
        try:
            actions = policy.handle(now, event)
        except Exception as error:  # as it did then
            actions = []
            if mine:
                notes.lines.append(
                    f"{now:.3f} ms  the policy failed: {type(error).__name__}: {error}"
                )
        for action in actions:
            about = action.token if isinstance(action, SetTimer) else getattr(action, "id", 0)
            if (
                isinstance(action, Send | Shed | Fail | CancelAttempt | SetTimer)
                and about == request_id
            ):
                notes.lines.append(f"{now:.3f} ms  {_done(action)}")
    return notes.lines
