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

from badgercart.policy.actions import Action, Cancel, Fail, Probe, Refuse, Send
from badgercart.policy.endpoint import ServerEntry, State
from badgercart.policy.events import (
    NEVER_RAN,
    Event,
    ListKind,
    Outcome,
    ProbeResult,
    Request,
    Result,
    ServerList,
    Withdrawn,
)
from badgercart.policy.settings import Effect, Group, Settings


@dataclass(slots=True, eq=False)
class Host:
    """A server as a peer sees it."""

    entry: ServerEntry
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
    maybe_ran: list[tuple[float, ServerEntry]] = field(default_factory=list)
    out: dict[int, tuple[float, Host]] = field(
        default_factory=dict
    )  # attempts: when they were sent, where


class Peer:
    """One node's policy, in the place of `badgercart.policy.Policy`."""

    x = cut = 0.0  # it has no such cut

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
        elif isinstance(event, Outcome):
            self.on_outcome(event)
        elif isinstance(event, ServerList):
            self.on_list(event)
        elif isinstance(event, Withdrawn):
            self.finish(event.id)
        elif isinstance(event, ProbeResult) and (host := self.hosts.get(event.server)) is not None:
            self.picker.probed(host, now, event.report)
        return self.done

    def on_request(self, request: Request) -> None:
        self.budget.request(self.now)
        if self.limit is not None and not self.limit.allows(len(self.flying)):
            self.done.append(Refuse(request.id, 0.0))
            return
        job = self.jobs[request.id] = Job(request)
        self.attempt(job)

    def attempt(self, job: Job) -> None:
        request = job.request
        host = self.picker.pick(self.now, job.used) if request.due > self.now else None
        if host is None or not self.allowed(job, host):
            self.end(job)
            return
        self.done.append(Send(request.id, host.entry.id, request.due - self.now))
        self.done += [Probe(server) for server in self.picker.probes(self.now)]
        job.out[job.tries] = self.now, host
        job.used.append(host.entry.id)
        job.maybe_ran.append((self.now, host.entry))
        self.flying[request.id, job.tries] = job, host
        job.tries += 1
        host.out += 1

    def allowed(self, job: Job, host: Host) -> bool:
        """Whether its class lets a request go there, given where it may have run."""
        cls = self.settings.classes[job.request.cls]
        if not job.maybe_ran or cls.effect is Effect.SAFE:
            return True
        if cls.effect is Effect.UNSAFE:
            return False
        return all(
            self.now - sent < cls.window - self.settings.tick
            and (cls.group is not Group.ZONE or entry.zone == host.entry.zone)
            and (cls.group is not Group.CELL or entry.cell == host.entry.cell)
            for sent, entry in job.maybe_ran
        )

    def on_outcome(self, event: Outcome) -> None:
        job, host = self.flying.pop((event.id, event.attempt), (None, None))
        if job is None or host is None:
            return
        host.out -= 1
        job.out.pop(event.attempt, None)
        if event.result in NEVER_RAN:
            job.maybe_ran = [ran for ran in job.maybe_ran if ran[1].id != event.server]
        self.picker.ended(host, self.now, event.elapsed, event.result)
        if self.limit is not None and event.result != Result.CANCELLED:
            dropped = event.result != Result.OK
            self.limit.ended(self.now, event.elapsed, dropped, len(self.flying) + 1)
        if event.over or event.id not in self.jobs:
            self.finish(event.id)
        elif (
            event.result != Result.TIMEOUT
            and job.tries < self.settings.max_attempts
            and self.budget.take(self.now)
        ):
            self.attempt(job)
        else:
            self.end(job)

    def end(self, job: Job) -> None:
        cls, number = self.settings.classes[job.request.cls], job.request.id
        refusable = cls.refusable or not job.maybe_ran
        self.done.append(Refuse(number, 0.0) if refusable else Fail(number))
        self.finish(number)

    def finish(self, number: int) -> None:
        job = self.jobs.pop(number, None)
        if job is not None and self.settings.may_cancel:
            self.done += [Cancel(number, attempt) for attempt in sorted(job.out)]

    def on_list(self, event: ServerList) -> None:
        if event.kind is ListKind.FAILED:
            return
        if event.kind is not ListKind.DELTA:
            for host in self.hosts.values():
                host.ready = False
        for entry in event.servers:
            host = self.hosts.setdefault(entry.id, Host(entry))
            host.entry, host.ready = entry, entry.state is State.READY
        self.picker.hosts([host for host in self.hosts.values() if host.ready])
