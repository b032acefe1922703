"""The common part of peer policies: requests, attempts, retries within a budget, and the four rules.

A peer keeps the same four rules as badgercart's policy, because a proxy that breaks them is not a
fair comparison: it sends nothing to a draining endpoint, and it sends a request that may have been
executed again only if the request's class permits that.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from badgercart.policy.actions import Action, CancelAttempt, Fail, HealthCheck, Send, Shed
from badgercart.policy.endpoint import Endpoint, EndpointState
from badgercart.policy.events import (
    NOT_EXECUTED,
    AttemptEnded,
    AttemptResult,
    EndpointUpdate,
    Event,
    HealthCheckResult,
    Request,
    RequestCancelled,
    UpdateKind,
)
from badgercart.policy.settings import DeduplicationScope, Idempotency, Settings


@dataclass(slots=True, eq=False)
class Host:
    """An endpoint with a node's own measurements of it."""

    entry: Endpoint
    in_flight: int = 0
    ready: bool = True
    latency_ewma_ms: float = 0.0  # only of pickers that keep one
    ewma_updated_ms: float = 0.0
    queries: int = 0


class Picker(Protocol):
    """Chooses the endpoint of an attempt."""

    zone: int  # of this node

    def hosts(self, hosts: list[Host]) -> None:
        """Receive the ready hosts, after each change of the endpoint list."""

    def pick(self, now_ms: float, excluded_ids: list[int]) -> Host | None:
        """Return a host whose id is not excluded, or None if there is none."""

    def attempt_ended(self, host: Host, now_ms: float, elapsed_ms: float, result: int) -> None:
        """Receive the end of an attempt, which the counters of the host already include."""

    def probe_targets(self, now_ms: float) -> list[int]:
        """Return the ids of the endpoints to probe along with a request that was sent."""

    def probe_answered(self, host: Host, now_ms: float, report: tuple[float, ...]) -> None:
        """Receive a probe's report: the requests in flight there and their usual latency (ms)."""


class Limit(Protocol):
    """Bounds the attempts in flight from a node."""

    def allows(self, in_flight: int) -> bool:
        """Return whether another attempt may be sent."""

    def ended(self, now_ms: float, elapsed_ms: float, dropped: bool, in_flight: int) -> None:
        """Receive the end of an attempt."""


class Budget(Protocol):
    """Bounds the retries of a node."""

    def request(self, now_ms: float) -> None:
        """Receive a client's request."""

    def take(self, now_ms: float) -> bool:
        """Withdraw one retry; return False if the budget is exhausted."""


@dataclass(slots=True, eq=False)
class OpenRequest:
    """A client's request that has no answer yet."""

    request: Request
    attempt_count: int = 0
    tried_ids: list[int] = field(default_factory=list)
    # When and where the request was sent and may have been executed.
    possible_executions: list[tuple[float, Endpoint]] = field(default_factory=list)
    # Open attempts by number: when and where each was sent.
    open_attempts: dict[int, tuple[float, Host]] = field(default_factory=dict)


class NoOverload:
    """Stands in for the policy's overload controller: peers have no shed threshold."""

    level = shed_threshold = 0.0


class Peer:
    """The policy of one node, in place of `badgercart.policy.Policy`."""

    overload = NoOverload()

    def __init__(
        self,
        settings: Settings,
        seed: int,
        picker: Callable[[random.Random], Picker],
        limit: Limit | None,
        budget: Budget,
    ) -> None:
        self.settings, self.limit, self.budget = settings, limit, budget
        self.random = random.Random(seed)
        self.picker = picker(self.random)
        self.picker.zone = settings.zone
        self.hosts: dict[int, Host] = {}
        self.open_requests: dict[int, OpenRequest] = {}
        # Open attempts by request id and number.
        self.open_attempts: dict[tuple[int, int], tuple[OpenRequest, Host]] = {}
        self.now_ms = 0.0
        self.actions: list[Action] = []

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """Process an event; return the actions that follow from it."""
        self.now_ms, self.actions = now_ms, []
        if isinstance(event, Request):
            self.on_request(event)
        elif isinstance(event, AttemptEnded):
            self.on_attempt_ended(event)
        elif isinstance(event, EndpointUpdate):
            self.on_endpoint_update(event)
        elif isinstance(event, RequestCancelled):
            self.finish(event.id)
        elif (
            isinstance(event, HealthCheckResult)
            and (host := self.hosts.get(event.endpoint_id)) is not None
        ):
            self.picker.probe_answered(host, now_ms, event.report)
        return self.actions

    def on_request(self, request: Request) -> None:
        """Send a new request, or shed it if the limit is reached."""
        self.budget.request(self.now_ms)
        if self.limit is not None and not self.limit.allows(len(self.open_attempts)):
            self.actions.append(Shed(request.id, 0.0))
            return
        open_request = self.open_requests[request.id] = OpenRequest(request)
        self.send_attempt(open_request)

    def send_attempt(self, open_request: OpenRequest) -> None:
        """Send a request to an endpoint not tried yet, or end it if none may be used."""
        request = open_request.request
        host = (
            self.picker.pick(self.now_ms, open_request.tried_ids)
            if request.deadline_at_ms > self.now_ms
            else None
        )
        if host is None or not self.may_send(open_request, host):
            self.end_unanswered(open_request)
            return
        self.actions.append(Send(request.id, host.entry.id, request.deadline_at_ms - self.now_ms))
        self.actions += [HealthCheck(server) for server in self.picker.probe_targets(self.now_ms)]
        open_request.open_attempts[open_request.attempt_count] = self.now_ms, host
        open_request.tried_ids.append(host.entry.id)
        open_request.possible_executions.append((self.now_ms, host.entry))
        self.open_attempts[request.id, open_request.attempt_count] = open_request, host
        open_request.attempt_count += 1
        host.in_flight += 1

    def may_send(self, open_request: OpenRequest, host: Host) -> bool:
        """Return whether the request's class permits a host, given where it may have executed."""
        cls = self.settings.classes[open_request.request.class_index]
        if not open_request.possible_executions or cls.idempotency is Idempotency.IDEMPOTENT:
            return True
        if cls.idempotency is Idempotency.NON_IDEMPOTENT:
            return False
        return all(
            self.now_ms - sent_ms < cls.deduplication_window_ms - self.settings.tick_ms
            and (
                cls.deduplication_scope is not DeduplicationScope.ZONE
                or entry.zone == host.entry.zone
            )
            and (
                cls.deduplication_scope is not DeduplicationScope.CELL
                or entry.cell == host.entry.cell
            )
            for sent_ms, entry in open_request.possible_executions
        )

    def on_attempt_ended(self, event: AttemptEnded) -> None:
        """Account for an attempt's end, then finish, retry or end the request."""
        open_request, host = self.open_attempts.pop((event.id, event.attempt), (None, None))
        if open_request is None or host is None:
            return
        host.in_flight -= 1
        open_request.open_attempts.pop(event.attempt, None)
        if event.result in NOT_EXECUTED:
            open_request.possible_executions = [
                execution
                for execution in open_request.possible_executions
                if execution[1].id != event.endpoint_id
            ]
        self.picker.attempt_ended(host, self.now_ms, event.elapsed_ms, event.result)
        if self.limit is not None and event.result != AttemptResult.CANCELLED:
            dropped = event.result != AttemptResult.OK
            self.limit.ended(self.now_ms, event.elapsed_ms, dropped, len(self.open_attempts) + 1)
        if event.request_finished or event.id not in self.open_requests:
            self.finish(event.id)
        elif (
            event.result != AttemptResult.TIMEOUT
            and open_request.attempt_count < self.settings.max_attempts
            and self.budget.take(self.now_ms)
        ):
            self.send_attempt(open_request)
        else:
            self.end_unanswered(open_request)

    def end_unanswered(self, open_request: OpenRequest) -> None:
        """Shed the request if the client may safely retry it, else fail it."""
        cls = self.settings.classes[open_request.request.class_index]
        request_id = open_request.request.id
        may_shed = cls.client_may_retry or not open_request.possible_executions
        self.actions.append(Shed(request_id, 0.0) if may_shed else Fail(request_id))
        self.finish(request_id)

    def finish(self, request_id: int) -> None:
        """Forget a request and cancel its open attempts."""
        open_request = self.open_requests.pop(request_id, None)
        if open_request is not None and self.settings.may_cancel:
            self.actions += [
                CancelAttempt(request_id, attempt) for attempt in sorted(open_request.open_attempts)
            ]

    def on_endpoint_update(self, event: EndpointUpdate) -> None:
        """Apply a snapshot or a delta of the endpoint list."""
        if event.kind is UpdateKind.FAILED:
            return
        if event.kind is not UpdateKind.DELTA:
            for host in self.hosts.values():
                host.ready = False
        for entry in event.endpoints:
            host = self.hosts.setdefault(entry.id, Host(entry))
            host.entry, host.ready = entry, entry.state is EndpointState.READY
        self.picker.hosts([host for host in self.hosts.values() if host.ready])
