"""The captured night with another policy, and under other names. No I/O.

A capture holds what came of the decisions that were taken then. Where others are taken now, the
night is carried on by stated assumptions (`Night`): a request that is sent elsewhere ends there as
it did then, as soon and with the same result; one that was turned away then and is sent now is
served after the usual time of its class; one that is turned away now has no attempts. So what is
told of a whole night is an estimate; what is told of one decision is exact up to the first that
differs.
"""

from __future__ import annotations

import heapq
import itertools
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from typing import Any

from badgercart.capture.codec import decode_actions
from badgercart.capture.replay import CapturedEvent, decide
from badgercart.policy.actions import Action, Fail, Send, SetTimer, Shed
from badgercart.policy.events import (
    AttemptEnded,
    AttemptRerouted,
    AttemptResult,
    EndpointUpdate,
    Event,
    Request,
    RequestCancelled,
    ResponseStarted,
    RetryDecisionDue,
    TimerFired,
)
from badgercart.policy.policy import Policy

FIRST = 10  # differences that are shown
MAX_OPEN = 1 << 20  # requests under way that are followed; the oldest goes


@dataclass(slots=True)
class RequestFate:
    """What one request met, then and now."""

    cls: int
    then: int = 0  # attempts then
    sent: list[int] = field(default_factory=list)  # servers now, by attempt
    over: bool = False


Step = Callable[[float, Event, "list[Action] | None"], None]


class Reenactment:
    """Feeds a policy with captured events, bent to the decisions that it takes itself."""

    def __init__(self, policy: Policy, told: Step) -> None:
        self.policy, self.told = policy, told
        self.fates: dict[int, RequestFate] = {}
        self.due: list[
            tuple[float, int, Event]
        ] = []  # ends of attempts that there were none of then
        self.numbers = itertools.count()
        self.now = 0.0

    def feed(self, item: CapturedEvent, then: dict[int, list[int]]) -> None:
        """One captured event; `then`: what `sends` gives."""
        self.catch_up(item.now_ms)
        event = item.event
        if isinstance(event, Request):
            while len(self.fates) >= MAX_OPEN:
                del self.fates[next(iter(self.fates))]
            self.fates[event.id] = RequestFate(event.class_index, len(then.get(event.id, ())))
            self.give(item.now_ms, event)
            return
        fate = self.fates.get(getattr(event, "id", 0))
        if isinstance(event, AttemptEnded | AttemptRerouted | ResponseStarted) and fate is not None:
            if event.attempt >= len(fate.sent):
                return  # there was no such attempt now
            event = replace(event, endpoint_id=fate.sent[event.attempt])
            if isinstance(event, AttemptRerouted):
                fate.sent.append(event.next_endpoint_id)
        if isinstance(event, TimerFired):
            fate = self.fates.get(event.token)
        if (
            isinstance(event, RetryDecisionDue | RequestCancelled | TimerFired)
            and fate is not None
            and fate.over
        ):
            return
        self.give(item.now_ms, event)
        if (
            isinstance(event, ResponseStarted)
            or (isinstance(event, AttemptEnded) and event.request_finished)
        ) and fate is not None:
            fate.over = True

    def catch_up(self, now: float) -> None:
        """Give the events that are due by a time."""
        while self.due and self.due[0][0] <= now:
            at, _, event = heapq.heappop(self.due)
            self.give(max(at, self.now), event)
        self.now = max(self.now, now)

    def give(self, now: float, event: Event) -> None:
        """Have the policy decide on an event, and follow what it decides."""
        actions = decide(self.policy, now, event)
        self.told(now, event, actions)
        for action in actions or ():
            if isinstance(action, Send) and (fate := self.fates.get(action.id)) is not None:
                fate.sent.append(action.endpoint_id)
                if len(fate.sent) > fate.then:  # there was no such attempt then
                    took = min(self.policy.fleet.latency.typical_ms[fate.cls], action.timeout_ms)
                    end = AttemptEnded(
                        action.id,
                        action.endpoint_id,
                        True,
                        AttemptResult.OK,
                        len(fate.sent) - 1,
                        took,
                    )
                    heapq.heappush(self.due, (now + took, next(self.numbers), end))
            elif (
                isinstance(action, Shed | Fail) and (fate := self.fates.get(action.id)) is not None
            ):
                fate.over = True
            elif isinstance(action, SetTimer) and action.token in self.fates:
                # Held for its turn: then there may have been no timer that rings for it now.
                ring = now + action.delay_ms
                heapq.heappush(self.due, (ring, next(self.numbers), TimerFired(action.token)))


def sent_endpoints(items: Iterable[CapturedEvent]) -> dict[int, list[int]]:
    """The servers of each request's attempts then: by the actions, or in format 1 by the
    outcomes."""
    found: dict[int, list[int]] = {}
    for item in items:
        event = item.event
        if item.captured_actions:
            for action in decode_actions(item.captured_actions) or ():
                if isinstance(action, Send):
                    found.setdefault(action.id, []).append(action.endpoint_id)
            if isinstance(event, AttemptRerouted):
                found.setdefault(event.id, []).append(event.next_endpoint_id)
        elif isinstance(event, AttemptEnded | AttemptRerouted):
            found.setdefault(event.id, []).append(event.endpoint_id)
    return found


@dataclass(slots=True)
class ChangeSummary:
    """What another policy changes, over all that was played."""

    events: int = 0
    differing: int = (
        0  # requests that are turned away instead of sent, or the other way, or sent elsewhere
    )
    elsewhere: int = 0
    refused_now: Counter[int] = field(default_factory=Counter)  # by class
    sent_now: Counter[int] = field(default_factory=Counter)
    gained: float = 0.0  # worth of those sent now and turned away then
    lost: float = 0.0
    first: list[str] = field(default_factory=list)


def what_if(policy: Policy, items: Iterable[CapturedEvent], change: ChangeSummary) -> None:
    """Play a segment with a policy of another text, and add what changes."""
    worths = [cls.priority_weight for cls in policy.settings.classes]
    known = list(items)
    then = sent_endpoints(known)

    def told(now: float, event: Event, actions: list[Action] | None) -> None:
        if not isinstance(event, Request):
            return
        place = next(
            (a.endpoint_id for a in actions or () if isinstance(a, Send) and a.id == event.id), 0
        )
        held = any(isinstance(a, SetTimer) and a.token == event.id for a in actions or ())
        before = then.get(event.id, [0])[0]
        if place == before or held:
            return
        change.differing += 1
        worth = worths[event.class_index]
        if place and before:
            change.elsewhere += 1
            words = f"sent to {place:x}, then to {before:x}"
        elif place:
            change.sent_now[event.class_index] += 1
            change.gained += worth
            words = f"sent to {place:x}, then turned away"
        else:
            change.refused_now[event.class_index] += 1
            change.lost += worth
            words = f"turned away, then sent to {before:x}"
        if len(change.first) < FIRST:
            change.first.append(
                f"{now:.3f} ms  request {event.id}, class {event.class_index}: {words}"
            )

    night = Reenactment(policy, told)
    for item in known:
        change.events += 1
        night.feed(item, then)
    night.catch_up(float("inf"))


def renumbered(event: Event, names: Callable[[str, int], int]) -> Event:
    """An event under other names: `names(kind, number)` gives the new number of a key, server or
    tenant."""
    changes: dict[str, Any] = {}
    if isinstance(event, Request):
        changes = {"key": names("key", event.key), "tenant": names("tenant", event.tenant)}
        if event.reachable_endpoints is not None:
            changes["reachable_endpoints"] = frozenset(
                names("server", i) for i in event.reachable_endpoints
            )
    elif isinstance(event, AttemptEnded | AttemptRerouted):
        changes = {"endpoint_id": names("server", event.endpoint_id)}
        if isinstance(event, AttemptRerouted):
            changes["next_endpoint_id"] = names("server", event.next_endpoint_id)
    elif isinstance(event, EndpointUpdate):
        changes = {
            "endpoints": [replace(line, id=names("server", line.id)) for line in event.endpoints]
        }
    return replace(event, **changes)
