"""The policy alone: what a list, a changed line and a decision cost as servers, tenants and classes
grow.

Times are of the thread's processor, so that what else runs on a core does not count. Two fleets:
one node before all servers, whose ring and draws go over the whole fleet; and one node for so many
servers as at the target (8,600 before 170,000), which keeps to a subset. `placing`: with the ring
being filled behind a whole list; otherwise all points are placed. Memory is the resident size of a
process of its own.
"""

from __future__ import annotations

import random
import statistics
import subprocess
import sys
import time
from collections.abc import Callable
from itertools import count
from pathlib import Path

from badgercart.policy import Policy, Settings
from badgercart.policy.actions import Send
from badgercart.policy.endpoint import Endpoint, EndpointState
from badgercart.policy.events import (
    AttemptEnded,
    AttemptResult,
    ClusterView,
    EndpointUpdate,
    Request,
    SettingsChanged,
    TimerFired,
    TrafficPlan,
    UpdateKind,
)
from badgercart.policy.settings import Idempotency, RequestClass
from benchmarks.scale.fit import Point, doublings
from benchmarks.scale.report import ROOT, Series

SERVERS, NODES, TENANTS, CLASSES = 170_000, 8_600, 290_000, 64  # the target
ZONES = 11
DECISIONS = 6000  # a ms apart: with 120 upkeeps, one of them a halving
LINES = 200
FLEET_OF_TENANTS = 100  # servers
GAP = 1.0  # ms between requests


def settings(classes: int = 1, tenants: int = 0, nodes: int = 1) -> Settings:
    terms = [
        RequestClass(400.0, 1000.0, 1.0 + number, Idempotency.IDEMPOTENT)
        for number in range(classes)
    ]
    return Settings(
        classes=tuple(terms),
        cluster_size=nodes,
        node_index=nodes // 2,
        quotas_per_s=(50.0,) * tenants,
        over_quota_weight=0.5,
        max_attempts=3,
        slow_start_min_capacity=0.3,
        slow_start_duration_ms=8000.0,
    )


def entry(number: int, state: EndpointState = EndpointState.READY) -> Endpoint:
    """Three kinds, two sizes, eleven zones: ids scatter as those of names do."""
    server = number * 0x9E3779B97F4A7C15 % (1 << 62) + 1
    return Endpoint(server, number % ZONES, number % 3, number % 4, state, 1.0 + number % 2, 0.0)


class Stage:
    """One policy and its clock; what each call costs, in us."""

    def __init__(
        self, servers: int, *, classes: int = 1, tenants: int = 0, nodes: int = 1, seed: int = 1
    ):
        self.random = random.Random(seed)
        self.settings = settings(classes, tenants, nodes)
        self.policy = Policy(self.settings, seed)
        self.numbers, self.now = count(1), 1000.0
        self.servers = servers
        self.entries = [entry(number) for number in range(servers)]

    def give(self, event: object) -> tuple[float, list[object]]:
        begun = time.thread_time_ns()
        actions = self.policy.handle(self.now, event)  # type: ignore[arg-type]
        return (time.thread_time_ns() - begun) / 1000, list(actions)

    def whole_list(self) -> float:
        return self.give(EndpointUpdate(UpdateKind.SNAPSHOT, 1, self.entries))[0]

    def place(self) -> float:
        """Have all points placed, by events that ask for nothing."""
        total = 0.0
        while self.policy.fleet.virtual_nodes.pending:
            total += self.give(TimerFired(0))[0]
        return total

    def decisions(self, most: int = DECISIONS) -> list[float]:
        """Requests a ms apart, each served by the first server; what the requests alone cost."""
        costs = []
        classes, tenants = len(self.settings.classes), max(1, len(self.settings.quotas_per_s))
        for number in (next(self.numbers) for _ in range(most)):
            self.now += GAP
            cls, tenant = self.random.randrange(classes), self.random.randrange(tenants)
            cost, actions = self.give(Request(number, cls, self.now + 1000, tenant=tenant))
            costs.append(cost)
            for action in actions:
                if isinstance(action, Send):
                    self.now += GAP / 4
                    self.give(
                        AttemptEnded(number, action.endpoint_id, True, AttemptResult.OK, 0, 20.0)
                    )
        return costs

    def lines(self, most: int = LINES) -> list[float]:
        """One server drains, then is ready again, and another."""
        costs = []
        for turn in range(most):
            self.now += 20.0
            if turn % 2 == 0:
                number = self.random.randrange(self.servers)
            state = EndpointState.READY if turn % 2 else EndpointState.DRAINING
            costs.append(
                self.give(EndpointUpdate(UpdateKind.DELTA, 2 + turn, [entry(number, state)]))[0]
            )
        return costs

    def rack(self) -> float:
        """Up to 40 servers drain with one list."""
        told = [
            entry(number, EndpointState.DRAINING) for number in range(min(40, self.servers // 2))
        ]
        return self.give(EndpointUpdate(UpdateKind.DELTA, 1, told))[0]

    def retuned(self) -> float:
        every = frozenset(range(len(self.settings.classes)))
        return self.give(SettingsChanged(self.settings, every))[0]

    def planned(self) -> float:
        """An even plan over the zones."""
        even = (1 / ZONES,) * ZONES
        return self.give(TrafficPlan((even,) * 2 * len(self.settings.classes), (0.01,) * ZONES))[0]

    def busy(self) -> float:
        """What a reload asks: who still has requests."""
        begun = time.thread_time_ns()
        self.policy.lifecycle.active_use()
        return (time.thread_time_ns() - begun) / 1000

    def peers(self) -> float:
        """The company is told again, without tenants' parts."""
        return self.give(
            ClusterView(
                self.settings.cluster_size, self.settings.node_index, self.settings.cluster_size
            )
        )[0]

    def company(self) -> float:
        """Each tenant's part is told anew."""
        parts = tuple([self.random.uniform(0.01, 0.2) for _ in self.settings.quotas_per_s])
        return self.give(ClusterView(10, 3, 10, parts))[0]


class Found:
    """Series as they grow, in the order in which they were named first."""

    def __init__(self, over: str, **fixed: float) -> None:
        self.over, self.fixed = over, fixed
        self.points: dict[tuple[str, str, str], list[Point]] = {}

    def note(self, name: str, unit: str, statistic: str, size: float, value: float) -> None:
        self.points.setdefault((name, unit, statistic), []).append((size, value))

    def spread(self, name: str, size: float, costs: list[float]) -> None:
        """Mean, median, 99th of 100 and worst, in us."""
        ordered = sorted(costs)
        self.note(name, "us", "mean", size, statistics.fmean(ordered))
        self.note(name, "us", "median", size, statistics.median(ordered))
        self.note(name, "us", "99th", size, ordered[int(0.99 * (len(ordered) - 1))])
        self.note(name, "us", "worst", size, ordered[-1])

    def series(self) -> list[Series]:
        return [
            Series(name, unit, self.over, statistic, points, dict(self.fixed))
            for (name, unit, statistic), points in self.points.items()
        ]


def over_servers(most: int, nodes_at: Callable[[int], int], **fixed: float) -> list[Series]:
    found = Found("servers", tenants=0, classes=1, **fixed)
    for size in doublings(10, most):
        stage = Stage(size, nodes=nodes_at(size))
        found.note("whole list", "us", "first", size, stage.whole_list())
        found.spread("decision, placing", size, stage.decisions(500))
        found.note("placing", "us", "sum", size, max(stage.place(), 1.0))
        found.spread("decision", size, stage.decisions())
        found.spread("changed line", size, stage.lines())
        stage.place()
        found.note("rack drains", "us", "one", size, stage.rack())
        stage.place()
        found.note("whole list again", "us", "one", size, stage.whole_list())
        for name, call in (
            ("retuned", stage.retuned),
            ("busy", stage.busy),
            ("company", stage.peers),
        ):
            found.note(name, "us", "median", size, statistics.median(call() for _ in range(5)))
        stage.place()
        found.note("plan", "us", "first", size, stage.planned())
        found.note(
            "company, planned",
            "us",
            "median",
            size,
            statistics.median(stage.peers() for _ in range(5)),
        )
        found.spread("changed line, planned", size, stage.lines(40))
        found.spread("decision, planned", size, stage.decisions(1000))
        print(
            f"policy: {size} servers, {stage.settings.cluster_size} nodes",
            file=sys.stderr,
            flush=True,
        )
    return found.series()


def over_tenants(most: int) -> list[Series]:
    found = Found("tenants", servers=FLEET_OF_TENANTS, classes=1)
    for size in (0, *doublings(min(1000, most), most)):
        stage = Stage(FLEET_OF_TENANTS, tenants=size)
        stage.whole_list()
        found.spread("decision", size, stage.decisions())
        found.note(
            "retuned", "us", "median", size, statistics.median(stage.retuned() for _ in range(5))
        )
        found.note(
            "company", "us", "median", size, statistics.median(stage.company() for _ in range(5))
        )
        print(f"policy: {size} tenants", file=sys.stderr, flush=True)
    return found.series()


def over_classes(most: int) -> list[Series]:
    found = Found("classes", servers=FLEET_OF_TENANTS, tenants=0)
    for size in doublings(1, most):
        stage = Stage(FLEET_OF_TENANTS, classes=size)
        stage.whole_list()
        found.spread("decision", size, stage.decisions())
        found.note(
            "retuned", "us", "median", size, statistics.median(stage.retuned() for _ in range(5))
        )
    return found.series()


def resident() -> int:
    """Bytes of this process that are in memory."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * 4096


def grown(servers: int, tenants: int) -> int:
    """Bytes that a policy of this size takes in this process, the list's own entries included."""
    before = resident()
    stage = Stage(servers, tenants=tenants)
    stage.whole_list()
    stage.entries.clear()
    while stage.policy.fleet.virtual_nodes.pending:
        stage.policy.fleet.virtual_nodes.place(1 << 40)
    stage.decisions(1000)
    return max(resident() - before, 4096)


def in_a_child(call: str) -> int:
    """The number that a process of its own prints."""
    told = subprocess.run(
        [sys.executable, "-c", call], cwd=ROOT, capture_output=True, text=True, check=True
    )
    return int(told.stdout)


def memory(servers: int, tenants: int) -> list[Series]:
    series = []
    for over, most, fixed in (
        ("servers", servers, {"tenants": 0, "classes": 1}),
        ("tenants", tenants, {"servers": FLEET_OF_TENANTS, "classes": 1}),
    ):
        points: list[Point] = []
        for size in doublings(
            min(10_000, most), most
        ):  # of less, pages that are there already hide much
            sizes = (size, 0) if over == "servers" else (FLEET_OF_TENANTS, size)
            call = f"from benchmarks.scale.policy import grown; print(grown{sizes})"
            points.append((size, in_a_child(call)))
        series.append(Series("memory", "bytes", over, "one", points, dict(fixed)))
    return series


def measure(most: int | None) -> list[Series]:
    def cap(target: int) -> int:
        return target if most is None else min(target, most)

    return [
        *over_servers(cap(SERVERS), lambda size: 1, nodes=1),
        *over_servers(
            cap(SERVERS),
            lambda size: max(1, size * NODES // SERVERS),
            nodes_a_server=NODES / SERVERS,
        ),
        *over_tenants(cap(TENANTS)),
        *over_classes(cap(CLASSES)),
        *memory(cap(SERVERS), cap(TENANTS)),
    ]
