"""Measure cluster membership in virtual time: detection, false alarms, traffic, healing, and cost.

`python -m benchmarks.peers [--most N]` simulates clusters of 3, 10, 40, 100, … up to N nodes, the
small ones with five seeds each. It then measures the processor time of the protocol and codec of one
node with 100 peers, as a share of a core, and the time of a policy decision with the state of a
cluster relative to that without, in one run.
"""

from __future__ import annotations

import argparse
import random
import statistics
import time

from badgercart.cluster.membership_table import MemberStatus
from badgercart.policy import Policy, Settings
from badgercart.policy.actions import Send
from badgercart.policy.endpoint import Endpoint, EndpointState
from badgercart.policy.events import (
    AttemptEnded,
    AttemptResult,
    ClusterView,
    EndpointUpdate,
    Request,
    UpdateKind,
)
from badgercart.policy.settings import Idempotency, RequestClass
from lab.simulated_cluster import SimulatedCluster

SIZES = (3, 10, 40, 100, 300, 1000)
# Clusters of up to this size run with all seeds, larger ones with one.
MAX_SIZE_FOR_ALL_SEEDS = 40
SETTLING_TIME_MS = 10_000.0
OBSERVATION_TIME_MS = 60_000.0
SLOW_NODE_DELAY_MS = 1500.0
SPLIT_DURATION_MS = 30_000
COST_PERIOD_MS = 20_000
DECISIONS = 20_000
CLUSTER_UPDATE_INTERVAL_MS = 100.0


def settled_cluster(count: int, seed: int) -> SimulatedCluster:
    """Return a cluster whose nodes have the same members and have settled."""
    cluster = SimulatedCluster(count, seed, expected=count)
    cluster.run(OBSERVATION_TIME_MS, cluster.agreed)
    cluster.run(cluster.now + SETTLING_TIME_MS)
    return cluster


def detection_times(count: int, seed: int) -> list[float]:
    """Return the time in ms from the end of a node until each other node declares it dead."""
    cluster = settled_cluster(count, seed)
    cluster.kill("n1")
    killed_at = cluster.now
    cluster.run(killed_at + OBSERVATION_TIME_MS, lambda: cluster.all_declared_dead("n1"))
    delay_by_observer: dict[str, float] = {}
    for change in cluster.changes:
        if change.name == "n1" and change.status is MemberStatus.DEAD and change.at_ms >= killed_at:
            delay_by_observer.setdefault(change.observer, change.at_ms - killed_at)
    return list(delay_by_observer.values())


def false_alarms(count: int, seed: int) -> tuple[int, int]:
    """Return how many healthy members, and how many members in all, were declared dead.

    This counts one minute in which one in ten nodes is slow.
    """
    cluster = settled_cluster(count, seed)
    slow = random.Random(seed).sample(list(cluster.protocols), max(1, count // 10))
    for name in slow:
        cluster.delays_ms[name] = SLOW_NODE_DELAY_MS
    started_at = cluster.now
    cluster.run(started_at + OBSERVATION_TIME_MS)
    dead = {
        change.name
        for change in cluster.changes
        if change.status is MemberStatus.DEAD and change.at_ms >= started_at
    }
    return len(dead - set(slow)), len(dead)


def traffic_and_healing(count: int, seed: int) -> tuple[float, float]:
    """Return the bytes per node and second while idle, and the ms to agreement after a 30 s split."""
    cluster = settled_cluster(count, seed)
    bytes_before = sum(cluster.bytes_sent.values())
    cluster.run(cluster.now + OBSERVATION_TIME_MS)
    idle_bytes = (
        (sum(cluster.bytes_sent.values()) - bytes_before) / count / (OBSERVATION_TIME_MS / 1000)
    )
    names = list(cluster.protocols)
    cluster.split(names[: count // 2], names[count // 2 :])
    cluster.run(cluster.now + SPLIT_DURATION_MS)
    cluster.heal()
    healed_at = cluster.now
    return idle_bytes, cluster.run(healed_at + 4 * OBSERVATION_TIME_MS, cluster.agreed) - healed_at


def protocol_cost(count: int = 100) -> float:
    """Return the processor time of one node's protocol and codec, as a share of a core."""
    cluster = settled_cluster(count, 1)
    processor_time_before, started_at = time.process_time(), cluster.now
    cluster.run(started_at + COST_PERIOD_MS)
    # This includes the small cost of the simulation. A packet is encoded once here, while a real
    # node decodes it as well.
    return (time.process_time() - processor_time_before) / count / (COST_PERIOD_MS / 1000)


def decision_time(clustered: bool) -> float:
    """Return the time in µs that a policy takes per request.

    If `clustered`, the policy gets the state of its cluster ten times a second, otherwise never.
    """
    classes = (
        RequestClass(
            latency_objective_ms=400.0,
            deadline_ms=1000.0,
            priority_weight=1.0,
            idempotency=Idempotency.IDEMPOTENT,
        ),
    )
    policy = Policy(Settings(classes=classes, cluster_size=10, quotas_per_s=(1e6,)), 1)
    entries = [Endpoint(i + 1, 0, 0, 0, EndpointState.READY, 2.0, 0.0) for i in range(20)]
    policy.handle(1.0, EndpointUpdate(UpdateKind.SNAPSHOT, 1, entries))
    now, updated_at, started_at = 1.0, 0.0, time.perf_counter()
    for number in range(1, DECISIONS + 1):
        now += 1.0
        if clustered and now - updated_at >= CLUSTER_UPDATE_INTERVAL_MS:
            updated_at = now
            policy.handle(now, ClusterView(10, 3, 10, (0.1 + (number % 7) / 100,), ((1, 0.2),)))
        for action in policy.handle(now, Request(number, 0, now + 1000)):
            if isinstance(action, Send):
                policy.handle(
                    now + 0.5,
                    AttemptEnded(number, action.endpoint_id, True, AttemptResult.OK, 0, 20.0),
                )
    return (time.perf_counter() - started_at) / DECISIONS * 1e6


def main() -> None:
    """Run all measurements and print them."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--most", type=int, default=100, help="the largest group (100)")
    max_size = parser.parse_args().most
    names = (
        "nodes",
        "detect median s",
        "p99 s",
        "buried, healthy",
        "any",
        "bytes a node a s",
        "one view s",
    )
    print("|", " | ".join(names), "|")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for count in (size for size in SIZES if size <= max_size):
        seeds = range(1, 6) if count <= MAX_SIZE_FOR_ALL_SEEDS else (1,)
        times = [time_ms for seed in seeds for time_ms in detection_times(count, seed)]
        times.sort()
        healthy, any_member = (
            sum(part) for part in zip(*(false_alarms(count, seed) for seed in seeds), strict=True)
        )
        idle_bytes, healing_time = (
            statistics.fmean(values)
            for values in zip(*(traffic_and_healing(count, seed) for seed in seeds), strict=True)
        )
        median, p99 = statistics.median(times) / 1000, times[int(0.99 * (len(times) - 1))] / 1000
        row = (
            count,
            f"{median:.2f}",
            f"{p99:.2f}",
            healthy,
            any_member,
            f"{idle_bytes:.0f}",
            f"{healing_time / 1000:.1f}",
        )
        print("|", " | ".join(map(str, row)), "|", flush=True)
    print(f"machine and codec at 100 peers: {protocol_cost():.4f} of a core")
    pairs = [(decision_time(False), decision_time(True)) for _ in range(5)]
    without_cluster, with_cluster = (min(values) for values in zip(*pairs, strict=True))
    print(
        f"a decision: {without_cluster:.1f} us without a company, {with_cluster:.1f} us with one, {with_cluster / without_cluster:.3f}"
    )


if __name__ == "__main__":
    main()
