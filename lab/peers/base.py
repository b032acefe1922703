"""What peers share: the life of a request at a node, sending again within a budget, and the four
rules.

A peer keeps the rules as ours does, since a proxy that breaks them is no peer: nothing goes to a
server that leaves, and what may have run is sent again only where its class lets it.
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
    """A server as a peer sees it."""

    entry: Endpoint
    out: int = 0
    ready: bool = True
    cost: float = 0.0  # of pickers that keep one: ms
    stamp: float = 0.0  # when it was looked at last, ms
    queries: int = 0


class Picker(Protocol):
    """Who is chosen."""

    zone: int  # the node's own

    def hosts(self, hosts: list[Host]) -> None:
        """The ready ones, after every change of the list."""

    def pick(self, now: float, without: list[int]) -> Host | None:
        """One of them whose id is none of these; None: there is none."""

    def ended(self, host: Host, now: float, took: float, result: int) -> None:
        """An attempt at one has ended; the counts of `Host` are as they are after it."""

    def probes(self, now: float) -> list[int]:
        """Servers to probe beside a request that was sent."""

    def probed(self, host: Host, now: float, report: tuple[float, ...]) -> None:
        """What a probe brought: requests in flight there, and their usual time (ms)."""


class Limit(Protocol):
    """How many attempts may be out."""

    def allows(self, out: int) -> bool: ...

    def ended(self, now: float, took: float, dropped: bool, out: int) -> None: ...


class Budget(Protocol):
    """How many attempts may be second ones."""

    def request(self, now: float) -> None: ...

    def take(self, now: float) -> bool: ...


@dataclass(slots=True, eq=False)
class Job:
    request: Request
    tries: int = 0
    used: list[int] = field(default_factory=list)
    maybe_ran: list[tuple[float, Endpoint]] = field(default_factory=list)
    out: dict[int, tuple[float, Host]] = field(
        default_factory=dict
    )  # attempts: when they were sent, where


class NoOverload:
    """In the place of the policy's overload: these policies have no shed threshold."""

    level = shed_threshold = 0.0


class Peer:
    """One node's policy, in the place of `badgercart.policy.Policy`."""

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
        self.jobs: dict[int, Job] = {}
        self.flying: dict[tuple[int, int], tuple[Job, Host]] = {}
        self.now = 0.0
        self.done: list[Action] = []

    def handle(self, now: float, event: Event) -> list[Action]:
        self.now, self.done = now, []
        if isinstance(event, Request):
            self.on_request(event)
        elif isinstance(event, AttemptEnded):
            self.on_outcome(event)
        elif isinstance(event, EndpointUpdate):
            self.on_list(event)
        elif isinstance(event, RequestCancelled):
            self.finish(event.id)
        elif (
            isinstance(event, HealthCheckResult)
            and (host := self.hosts.get(event.endpoint_id)) is not None
        ):
            self.picker.probed(host, now, event.report)
        return self.done

    def on_request(self, request: Request) -> None:
        self.budget.request(self.now)
        if self.limit is not None and not self.limit.allows(len(self.flying)):
            self.done.append(Shed(request.id, 0.0))
            return
        job = self.jobs[request.id] = Job(request)
        self.attempt(job)

    def attempt(self, job: Job) -> None:
        request = job.request
        host = self.picker.pick(self.now, job.used) if request.deadline_at_ms > self.now else None
        if host is None or not self.allowed(job, host):
            self.end(job)
            return
        self.done.append(Send(request.id, host.entry.id, request.deadline_at_ms - self.now))
        self.done += [HealthCheck(server) for server in self.picker.probes(self.now)]
        job.out[job.tries] = self.now, host
        job.used.append(host.entry.id)
        job.maybe_ran.append((self.now, host.entry))
        self.flying[request.id, job.tries] = job, host
        job.tries += 1
        host.out += 1

    def allowed(self, job: Job, host: Host) -> bool:
        """Whether its class lets a request go there, given where it may have run."""
        cls = self.settings.classes[job.request.class_index]
        if not job.maybe_ran or cls.idempotency is Idempotency.IDEMPOTENT:
            return True
        if cls.idempotency is Idempotency.NON_IDEMPOTENT:
            return False
        return all(
            self.now - sent < cls.deduplication_window_ms - self.settings.tick_ms
            and (
                cls.deduplication_scope is not DeduplicationScope.ZONE
                or entry.zone == host.entry.zone
            )
            and (
                cls.deduplication_scope is not DeduplicationScope.CELL
                or entry.cell == host.entry.cell
            )
            for sent, entry in job.maybe_ran
        )

    def on_outcome(self, event: AttemptEnded) -> None:
        job, host = self.flying.pop((event.id, event.attempt), (None, None))
        if job is None or host is None:
            return
        host.out -= 1
        job.out.pop(event.attempt, None)
        if event.result in NOT_EXECUTED:
            job.maybe_ran = [ran for ran in job.maybe_ran if ran[1].id != event.endpoint_id]
        self.picker.ended(host, self.now, event.elapsed_ms, event.result)
        if self.limit is not None and event.result != AttemptResult.CANCELLED:
            dropped = event.result != AttemptResult.OK
            self.limit.ended(self.now, event.elapsed_ms, dropped, len(self.flying) + 1)
        if event.request_finished or event.id not in self.jobs:
            self.finish(event.id)
        elif (
            event.result != AttemptResult.TIMEOUT
            and job.tries < self.settings.max_attempts
            and self.budget.take(self.now)
        ):
            self.attempt(job)
        else:
            self.end(job)

    def end(self, job: Job) -> None:
        cls, number = self.settings.classes[job.request.class_index], job.request.id
        refusable = cls.client_may_retry or not job.maybe_ran
        self.done.append(Shed(number, 0.0) if refusable else Fail(number))
        self.finish(number)

    def finish(self, number: int) -> None:
        job = self.jobs.pop(number, None)
        if job is not None and self.settings.may_cancel:
            self.done += [CancelAttempt(number, attempt) for attempt in sorted(job.out)]

    def on_list(self, event: EndpointUpdate) -> None:
        if event.kind is UpdateKind.FAILED:
            return
        if event.kind is not UpdateKind.DELTA:
            for host in self.hosts.values():
                host.ready = False
        for entry in event.endpoints:
            host = self.hosts.setdefault(entry.id, Host(entry))
            host.entry, host.ready = entry, entry.state is EndpointState.READY
        self.picker.hosts([host for host in self.hosts.values() if host.ready])
