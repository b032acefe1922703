"""Estimates what a changed policy would have decided for captured traffic. No I/O.

A capture holds the results of the decisions that were taken then. Where the changed policy decides
differently, `CounterfactualReplay` assumes the following: an attempt that is sent to another
endpoint ends there as it did then, after the same time and with the same result; a request that was
shed then and is sent now is served after the typical latency of its class; a request that is shed
now has no attempts. The result for a complete capture is therefore an estimate. The result for a
single decision is exact up to the first one that differs.
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

MAX_SHOWN_DIFFERENCES = 10
# So many open requests are tracked; beyond that the oldest is dropped.
MAX_OPEN_REQUESTS = 1 << 20


@dataclass(slots=True)
class RequestState:
    """What is known of one request, as captured and in the replay."""

    class_index: int
    captured_attempts: int = 0
    # The endpoints that the replay sent the request to, by attempt number.
    endpoint_ids: list[int] = field(default_factory=list)
    finished: bool = False


# Called after each event of the replay: the time in ms, the event and its actions.
Step = Callable[[float, Event, "list[Action] | None"], None]


class CounterfactualReplay:
    """Feeds captured events to a policy, adapted to the decisions that this policy takes."""

    def __init__(self, policy: Policy, on_step: Step) -> None:
        self.policy, self.on_step = policy, on_step
        self.requests: dict[int, RequestState] = {}
        # Events that the capture may lack, as a heap: the time in ms, a sequence number, the event.
        self.scheduled: list[tuple[float, int, Event]] = []
        self.sequence_numbers = itertools.count()
        self.now_ms = 0.0

    def feed(self, item: CapturedEvent, captured_endpoints: dict[int, list[int]]) -> None:
        """Feed one captured event; `captured_endpoints` is the result of `sent_endpoints`."""
        self.run_scheduled(item.now_ms)
        event = item.event
        if isinstance(event, Request):
            while len(self.requests) >= MAX_OPEN_REQUESTS:
                del self.requests[next(iter(self.requests))]
            self.requests[event.id] = RequestState(
                event.class_index, len(captured_endpoints.get(event.id, ()))
            )
            self.handle_event(item.now_ms, event)
            return
        state = self.requests.get(getattr(event, "id", 0))
        if (
            isinstance(event, AttemptEnded | AttemptRerouted | ResponseStarted)
            and state is not None
        ):
            if event.attempt >= len(state.endpoint_ids):
                return  # the replay has no such attempt
            event = replace(event, endpoint_id=state.endpoint_ids[event.attempt])
            if isinstance(event, AttemptRerouted):
                state.endpoint_ids.append(event.next_endpoint_id)
        if isinstance(event, TimerFired):
            state = self.requests.get(event.token)
        if (
            isinstance(event, RetryDecisionDue | RequestCancelled | TimerFired)
            and state is not None
            and state.finished
        ):
            return
        self.handle_event(item.now_ms, event)
        if (
            isinstance(event, ResponseStarted)
            or (isinstance(event, AttemptEnded) and event.request_finished)
        ) and state is not None:
            state.finished = True

    def run_scheduled(self, now_ms: float) -> None:
        """Feed the scheduled events that are due by a time."""
        while self.scheduled and self.scheduled[0][0] <= now_ms:
            due_ms, _, event = heapq.heappop(self.scheduled)
            self.handle_event(max(due_ms, self.now_ms), event)
        self.now_ms = max(self.now_ms, now_ms)

    def handle_event(self, now_ms: float, event: Event) -> None:
        """Pass an event to the policy, and track its actions."""
        actions = decide(self.policy, now_ms, event)
        self.on_step(now_ms, event, actions)
        for action in actions or ():
            if isinstance(action, Send) and (state := self.requests.get(action.id)) is not None:
                state.endpoint_ids.append(action.endpoint_id)
                # The capture has no result for an attempt beyond those that were sent then.
                if len(state.endpoint_ids) > state.captured_attempts:
                    latency_ms = min(
                        self.policy.fleet.latency.typical_ms[state.class_index], action.timeout_ms
                    )
                    end = AttemptEnded(
                        action.id,
                        action.endpoint_id,
                        True,
                        AttemptResult.OK,
                        len(state.endpoint_ids) - 1,
                        latency_ms,
                    )
                    heapq.heappush(
                        self.scheduled, (now_ms + latency_ms, next(self.sequence_numbers), end)
                    )
            elif (
                isinstance(action, Shed | Fail)
                and (state := self.requests.get(action.id)) is not None
            ):
                state.finished = True
            elif isinstance(action, SetTimer) and action.token in self.requests:
                # The request waits in the queue of its key. The capture may have no such timer.
                due_ms = now_ms + action.delay_ms
                heapq.heappush(
                    self.scheduled,
                    (due_ms, next(self.sequence_numbers), TimerFired(action.token)),
                )


def sent_endpoints(items: Iterable[CapturedEvent]) -> dict[int, list[int]]:
    """Return the endpoints of each request's captured attempts, by request id.

    They are taken from the actions; in format 1, which has none, from the results of attempts.
    """
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
    """What a changed policy changes, over all segments that were replayed."""

    events: int = 0
    # Requests that are shed instead of sent, sent instead of shed, or sent to another endpoint.
    differing: int = 0
    sent_elsewhere: int = 0
    shed_now: Counter[int] = field(default_factory=Counter)  # by class
    sent_now: Counter[int] = field(default_factory=Counter)  # by class
    gained_weight: float = (
        0.0  # priority weights of the requests that were shed then and are sent now
    )
    lost_weight: float = (
        0.0  # priority weights of the requests that were sent then and are shed now
    )
    first_differences: list[str] = field(default_factory=list)


def what_if(policy: Policy, items: Iterable[CapturedEvent], change: ChangeSummary) -> None:
    """Replay a segment with a changed policy, and add the differences to the summary."""
    weights = [cls.priority_weight for cls in policy.settings.classes]
    captured = list(items)
    captured_endpoints = sent_endpoints(captured)

    def compare(now_ms: float, event: Event, actions: list[Action] | None) -> None:
        if not isinstance(event, Request):
            return
        endpoint_id = next(
            (a.endpoint_id for a in actions or () if isinstance(a, Send) and a.id == event.id), 0
        )
        queued = any(isinstance(a, SetTimer) and a.token == event.id for a in actions or ())
        captured_endpoint_id = captured_endpoints.get(event.id, [0])[0]
        if endpoint_id == captured_endpoint_id or queued:
            return
        change.differing += 1
        weight = weights[event.class_index]
        if endpoint_id and captured_endpoint_id:
            change.sent_elsewhere += 1
            text = f"sent to {endpoint_id:x}, then to {captured_endpoint_id:x}"
        elif endpoint_id:
            change.sent_now[event.class_index] += 1
            change.gained_weight += weight
            text = f"sent to {endpoint_id:x}, then turned away"
        else:
            change.shed_now[event.class_index] += 1
            change.lost_weight += weight
            text = f"turned away, then sent to {captured_endpoint_id:x}"
        if len(change.first_differences) < MAX_SHOWN_DIFFERENCES:
            change.first_differences.append(
                f"{now_ms:.3f} ms  request {event.id}, class {event.class_index}: {text}"
            )

    replay = CounterfactualReplay(policy, compare)
    for item in captured:
        change.events += 1
        replay.feed(item, captured_endpoints)
    replay.run_scheduled(float("inf"))


def renumbered(event: Event, new_number: Callable[[str, int], int]) -> Event:
    """Return an event with other numbers for its keys, endpoints and tenants.

    `new_number(kind, number)` gives the new number; the kind is "key", "server" or "tenant".
    """
    changes: dict[str, Any] = {}
    if isinstance(event, Request):
        changes = {
            "key": new_number("key", event.key),
            "tenant": new_number("tenant", event.tenant),
        }
        if event.reachable_endpoints is not None:
            changes["reachable_endpoints"] = frozenset(
                new_number("server", endpoint_id) for endpoint_id in event.reachable_endpoints
            )
    elif isinstance(event, AttemptEnded | AttemptRerouted):
        changes = {"endpoint_id": new_number("server", event.endpoint_id)}
        if isinstance(event, AttemptRerouted):
            changes["next_endpoint_id"] = new_number("server", event.next_endpoint_id)
    elif isinstance(event, EndpointUpdate):
        changes = {
            "endpoints": [
                replace(entry, id=new_number("server", entry.id)) for entry in event.endpoints
            ]
        }
    return replace(event, **changes)
