"""Why one request went as it did: its segment is decided anew by a policy that also says why.

The policy's own code runs, in a subclass whose methods call it and take notes of one request; a
node's policy is never of this class, so that nobody pays for what nobody asks.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from badgercart.capture.format import Segment, read_index
from badgercart.capture.replay import events, start
from badgercart.capture.words import RESULTS
from badgercart.policy.actions import Action, CancelAttempt, Fail, Send, SetTimer, Shed
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


@dataclass(slots=True)
class Notes:
    wanted: int
    lines: list[str] = field(default_factory=list)
    looked: dict[int, str] | None = None  # servers that a search has come by, while one is on


class Telling(Policy):
    """Decides as its parent does. Only made of a policy that was read from a capture."""

    notes: Notes

    def on_request(self, request: Request) -> None:
        if request.id != self.notes.wanted:
            super().on_request(request)
            return
        state = self.random.getstate()  # looked at, and put back: the parent draws the same
        draw = self.random.random()
        self.random.setstate(state)
        settings, group, beyond = self.settings, request.class_index, ""
        tenant = request.tenant
        quota = (
            settings.quotas_per_s[tenant] / self.divisors[tenant]
            if settings.quotas_per_s
            else float("inf")
        )
        if settings.quotas_per_s and self.used_by(tenant) > quota:
            group, beyond = group + len(settings.classes), ", beyond its tenant's share"
        low, width = self.bands[group]
        score = low + width * draw
        self.say(
            f"taken: class {request.class_index}, tenant {request.tenant}{beyond}, key {request.key:x}"
        )
        self.say(f"score {score:.2f}, of {low:.2f} to {low + width:.2f} for its class and share")
        self.measure_overload()  # as the parent will
        flying = f"{self.in_flight:.1f} attempts in flight of {self.need:.1f} needed"
        self.say(f"cut {self.cut:.2f} at x {self.x:.3f}: errors {self.errors:.3f}, {flying}")
        super().on_request(request)
        if score < self.cut:
            self.say("its score is below the cut")

    def pick(self, job: Any) -> Any:
        if job.request.id != self.notes.wanted:
            return super().pick(job)
        self.notes.looked = {}
        server = super().pick(job)
        looked, self.notes.looked = self.notes.looked, None
        for server_id, words in looked.items():
            self.say(f"  {server_id:x}: {words}")
        self.say(
            f"attempt {job.tries}: "
            + (f"server {server.entry.id:x}" if server else "no server will do")
        )
        return server

    def usable(self, server: Any, health: Any) -> bool:
        fit = super().usable(server, health)
        if (looked := self.notes.looked) is not None:
            load = f"{len(server.open)} open, slow {server.slow:.2f}, fails {health.fails:.2f}"
            if fit:
                words = f"could serve: {load}"
            elif health.rest_until:
                words = f"rests until {health.rest_until:.0f} ms or proves itself: {load}"
            elif any(overdue < self.now for _, overdue in server.open.values()):
                words = f"hangs: an attempt there is overdue; {load}"
            else:
                words = f"cold, at {self.cold_share(server):.2f} of its work, and has no token"
            looked[server.entry.id] = words
        return fit

    def allowed(self, job: Any, server: Any, until: float = 0.0) -> bool:
        fit = super().allowed(job, server, until)
        if not fit and (looked := self.notes.looked) is not None:
            looked[server.entry.id] = (
                "not allowed: the request may have run where its class forbids a repeat"
            )
        return fit

    def say(self, words: str) -> None:
        self.notes.lines.append(f"{self.now:.3f} ms  {words}")


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
        parked = ", parked" if event.parked else ""
        words = f"attempt {event.attempt} at {event.endpoint_id:x}: {RESULTS[event.result]} after"
        return f"{words} {event.elapsed_ms:.1f} ms{parked}" + (
            ", the request is over" if event.completed else ""
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
    told = list(events(segment))
    last = max((at for at, item in enumerate(told) if _of(item.event) == request_id), default=-1)
    if last < 0:
        return []
    policy = start(segment)
    policy.__class__ = Telling
    assert isinstance(policy, Telling)
    policy.notes = notes = Notes(request_id)
    for item in told[: last + 1]:
        now, event = item.now, item.event
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
