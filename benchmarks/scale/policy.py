"""Costs of the policy alone: server lists, changed entries and decisions.

They are measured as servers, tenants and classes grow. Times are processor times of the thread, so
that other work on the core does not count. There are two kinds of fleets: a single node, whose hash
ring and random choices span all servers; and as many nodes per server as at the target (8,600 for
170,000), where each node uses a subset. Costs named `placing` are measured while virtual nodes are
still being placed after a whole list; for the others all are placed. Memory is the resident size of
a separate process.
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

# The target.
TARGET_SERVERS = 170_000
TARGET_NODES = 8_600
TARGET_TENANTS = 290_000
MAX_CLASSES = 64

ZONES = 11

# At one request per ms these contain 120 maintenance runs, one of which halves the counters.
DECISION_COUNT = 6000
REQUEST_INTERVAL_MS = 1.0

LIST_CHANGE_COUNT = 200

# The fleet for which tenants and classes grow.
SMALL_FLEET_SERVERS = 100


def make_settings(classes: int = 1, tenants: int = 0, nodes: int = 1) -> Settings:
    """Return settings with so many classes and tenants for one node of a cluster."""
    request_classes = [
        RequestClass(400.0, 1000.0, 1.0 + number, Idempotency.IDEMPOTENT)
        for number in range(classes)
    ]
    return Settings(
        classes=tuple(request_classes),
        cluster_size=nodes,
        node_index=nodes // 2,
        quotas_per_s=(50.0,) * tenants,
        over_quota_weight=0.5,
        max_attempts=3,
        slow_start_min_capacity=0.3,
        slow_start_duration_ms=8000.0,
    )


def make_endpoint(number: int, state: EndpointState = EndpointState.READY) -> Endpoint:
    """Return an endpoint of one of three kinds, two sizes and eleven zones.

    Its id is scattered over the range of ids, as ids from names are.
    """
    endpoint_id = number * 0x9E3779B97F4A7C15 % (1 << 62) + 1
    return Endpoint(
        endpoint_id, number % ZONES, number % 3, number % 4, state, 1.0 + number % 2, 0.0
    )


class PolicyHarness:
    """A policy with a clock. Each method returns the processor time of its calls in µs."""

    def __init__(
        self, servers: int, *, classes: int = 1, tenants: int = 0, nodes: int = 1, seed: int = 1
    ):
        self.random = random.Random(seed)
        self.settings = make_settings(classes, tenants, nodes)
        self.policy = Policy(self.settings, seed)
        self.request_ids, self.now_ms = count(1), 1000.0
        self.server_count = servers
        self.endpoints = [make_endpoint(number) for number in range(servers)]

    def handle(self, event: object) -> tuple[float, list[object]]:
        """Give an event to the policy and return the time and the actions."""
        begun = time.thread_time_ns()
        actions = self.policy.handle(self.now_ms, event)  # type: ignore[arg-type]
        return (time.thread_time_ns() - begun) / 1000, list(actions)

    def apply_snapshot(self) -> float:
        """Apply the list of all servers."""
        return self.handle(EndpointUpdate(UpdateKind.SNAPSHOT, 1, self.endpoints))[0]

    def place_virtual_nodes(self) -> float:
        """Place all virtual nodes on the ring, by timer events without other work."""
        total_us = 0.0
        while self.policy.fleet.virtual_nodes.pending:
            total_us += self.handle(TimerFired(0))[0]
        return total_us

    def decide(self, request_count: int = DECISION_COUNT) -> list[float]:
        """Send requests 1 ms apart, each of which the first server answers.

        Only the requests are timed, not the ends of attempts.
        """
        costs_us = []
        classes, tenants = len(self.settings.classes), max(1, len(self.settings.quotas_per_s))
        for request_id in (next(self.request_ids) for _ in range(request_count)):
            self.now_ms += REQUEST_INTERVAL_MS
            request_class, tenant = self.random.randrange(classes), self.random.randrange(tenants)
            cost_us, actions = self.handle(
                Request(request_id, request_class, self.now_ms + 1000, tenant=tenant)
            )
            costs_us.append(cost_us)
            for action in actions:
                if isinstance(action, Send):
                    self.now_ms += REQUEST_INTERVAL_MS / 4
                    self.handle(
                        AttemptEnded(
                            request_id, action.endpoint_id, True, AttemptResult.OK, 0, 20.0
                        )
                    )
        return costs_us

    def change_endpoints(self, change_count: int = LIST_CHANGE_COUNT) -> list[float]:
        """Drain one random server, make it ready again, and go on with another."""
        costs_us = []
        for turn in range(change_count):
            self.now_ms += 20.0
            if turn % 2 == 0:
                number = self.random.randrange(self.server_count)
            state = EndpointState.READY if turn % 2 else EndpointState.DRAINING
            costs_us.append(
                self.handle(
                    EndpointUpdate(UpdateKind.DELTA, 2 + turn, [make_endpoint(number, state)])
                )[0]
            )
        return costs_us

    def drain_rack(self) -> float:
        """Drain up to 40 servers with one list."""
        endpoints = [
            make_endpoint(number, EndpointState.DRAINING)
            for number in range(min(40, self.server_count // 2))
        ]
        return self.handle(EndpointUpdate(UpdateKind.DELTA, 1, endpoints))[0]

    def change_settings(self) -> float:
        """Apply the same settings again as if all classes had changed."""
        all_classes = frozenset(range(len(self.settings.classes)))
        return self.handle(SettingsChanged(self.settings, all_classes))[0]

    def apply_traffic_plan(self) -> float:
        """Apply a traffic plan with equal shares of all zones."""
        even = (1 / ZONES,) * ZONES
        return self.handle(TrafficPlan((even,) * 2 * len(self.settings.classes), (0.01,) * ZONES))[
            0
        ]

    def collect_active_use(self) -> float:
        """Collect what is still used by requests, as a reload does."""
        begun = time.thread_time_ns()
        self.policy.lifecycle.active_use()
        return (time.thread_time_ns() - begun) / 1000

    def repeat_cluster_view(self) -> float:
        """Apply the same view of the cluster again, without tenants' quota shares."""
        return self.handle(
            ClusterView(
                self.settings.cluster_size, self.settings.node_index, self.settings.cluster_size
            )
        )[0]

    def change_quota_shares(self) -> float:
        """Apply a view of the cluster with new quota shares of all tenants."""
        quota_shares = tuple([self.random.uniform(0.01, 0.2) for _ in self.settings.quotas_per_s])
        return self.handle(ClusterView(10, 3, 10, quota_shares))[0]


class SeriesBuilder:
    """Collects points into series, which keep the order of their first points."""

    def __init__(self, over: str, **fixed: float) -> None:
        self.over, self.fixed = over, fixed
        self.points: dict[tuple[str, str, str], list[Point]] = {}

    def add(self, name: str, unit: str, statistic: str, size: float, value: float) -> None:
        """Add a point to the series of this name, unit and statistic."""
        self.points.setdefault((name, unit, statistic), []).append((size, value))

    def add_distribution(self, name: str, size: float, costs_us: list[float]) -> None:
        """Add the mean, the median, the 99th percentile and the maximum of costs."""
        ordered = sorted(costs_us)
        self.add(name, "us", "mean", size, statistics.fmean(ordered))
        self.add(name, "us", "median", size, statistics.median(ordered))
        self.add(name, "us", "99th", size, ordered[int(0.99 * (len(ordered) - 1))])
        self.add(name, "us", "worst", size, ordered[-1])

    def build(self) -> list[Series]:
        """Return the series."""
        return [
            Series(name, unit, self.over, statistic, points, dict(self.fixed))
            for (name, unit, statistic), points in self.points.items()
        ]


def measure_servers(
    max_servers: int, node_count: Callable[[int], int], **fixed: float
) -> list[Series]:
    """Measure fleets that grow in servers; `node_count` gives the nodes for so many servers."""
    builder = SeriesBuilder("servers", tenants=0, classes=1, **fixed)
    for size in doublings(10, max_servers):
        harness = PolicyHarness(size, nodes=node_count(size))
        builder.add("whole list", "us", "first", size, harness.apply_snapshot())
        builder.add_distribution("decision, placing", size, harness.decide(500))
        builder.add("placing", "us", "sum", size, max(harness.place_virtual_nodes(), 1.0))
        builder.add_distribution("decision", size, harness.decide())
        builder.add_distribution("changed line", size, harness.change_endpoints())
        harness.place_virtual_nodes()
        builder.add("rack drains", "us", "one", size, harness.drain_rack())
        harness.place_virtual_nodes()
        builder.add("whole list again", "us", "one", size, harness.apply_snapshot())
        for name, call in (
            ("retuned", harness.change_settings),
            ("busy", harness.collect_active_use),
            ("company", harness.repeat_cluster_view),
        ):
            builder.add(name, "us", "median", size, statistics.median(call() for _ in range(5)))
        harness.place_virtual_nodes()
        builder.add("plan", "us", "first", size, harness.apply_traffic_plan())
        builder.add(
            "company, planned",
            "us",
            "median",
            size,
            statistics.median(harness.repeat_cluster_view() for _ in range(5)),
        )
        builder.add_distribution("changed line, planned", size, harness.change_endpoints(40))
        builder.add_distribution("decision, planned", size, harness.decide(1000))
        print(
            f"policy: {size} servers, {harness.settings.cluster_size} nodes",
            file=sys.stderr,
            flush=True,
        )
    return builder.build()


def measure_tenants(max_tenants: int) -> list[Series]:
    """Measure a small fleet with growing numbers of tenants."""
    builder = SeriesBuilder("tenants", servers=SMALL_FLEET_SERVERS, classes=1)
    for size in (0, *doublings(min(1000, max_tenants), max_tenants)):
        harness = PolicyHarness(SMALL_FLEET_SERVERS, tenants=size)
        harness.apply_snapshot()
        builder.add_distribution("decision", size, harness.decide())
        builder.add(
            "retuned",
            "us",
            "median",
            size,
            statistics.median(harness.change_settings() for _ in range(5)),
        )
        builder.add(
            "company",
            "us",
            "median",
            size,
            statistics.median(harness.change_quota_shares() for _ in range(5)),
        )
        print(f"policy: {size} tenants", file=sys.stderr, flush=True)
    return builder.build()


def measure_classes(max_classes: int) -> list[Series]:
    """Measure a small fleet with growing numbers of request classes."""
    builder = SeriesBuilder("classes", servers=SMALL_FLEET_SERVERS, tenants=0)
    for size in doublings(1, max_classes):
        harness = PolicyHarness(SMALL_FLEET_SERVERS, classes=size)
        harness.apply_snapshot()
        builder.add_distribution("decision", size, harness.decide())
        builder.add(
            "retuned",
            "us",
            "median",
            size,
            statistics.median(harness.change_settings() for _ in range(5)),
        )
    return builder.build()


def resident_bytes() -> int:
    """Return the resident memory of this process."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * 4096


def memory_growth(servers: int, tenants: int) -> int:
    """Return the bytes by which a policy of this size grows this process.

    They include the entries of the server list.
    """
    before = resident_bytes()
    harness = PolicyHarness(servers, tenants=tenants)
    harness.apply_snapshot()
    harness.endpoints.clear()
    while harness.policy.fleet.virtual_nodes.pending:
        harness.policy.fleet.virtual_nodes.place(1 << 40)
    harness.decide(1000)
    return max(resident_bytes() - before, 4096)


def run_in_child(code: str) -> int:
    """Run Python code in a new process and return the number that it prints."""
    completed = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True
    )
    return int(completed.stdout)


def measure_memory(max_servers: int, max_tenants: int) -> list[Series]:
    """Measure the memory of a policy by servers and by tenants."""
    series = []
    for over, max_size, fixed in (
        ("servers", max_servers, {"tenants": 0, "classes": 1}),
        ("tenants", max_tenants, {"servers": SMALL_FLEET_SERVERS, "classes": 1}),
    ):
        points: list[Point] = []
        # The growth of a smaller policy is partly hidden in pages that the process already has.
        for size in doublings(min(10_000, max_size), max_size):
            sizes = (size, 0) if over == "servers" else (SMALL_FLEET_SERVERS, size)
            code = f"from benchmarks.scale.policy import memory_growth; print(memory_growth{sizes})"
            points.append((size, run_in_child(code)))
        series.append(Series("memory", "bytes", over, "one", points, dict(fixed)))
    return series


def measure(max_size: int | None) -> list[Series]:
    """Return all series; `max_size` caps servers, tenants and classes."""

    def cap(target: int) -> int:
        return target if max_size is None else min(target, max_size)

    return [
        *measure_servers(cap(TARGET_SERVERS), lambda size: 1, nodes=1),
        *measure_servers(
            cap(TARGET_SERVERS),
            lambda size: max(1, size * TARGET_NODES // TARGET_SERVERS),
            nodes_a_server=TARGET_NODES / TARGET_SERVERS,
        ),
        *measure_tenants(cap(TARGET_TENANTS)),
        *measure_classes(cap(MAX_CLASSES)),
        *measure_memory(cap(TARGET_SERVERS), cap(TARGET_TENANTS)),
    ]
