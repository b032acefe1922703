"""Cluster membership: detection, false alarms, bytes and healing in virtual time, and its cost.

`python -m benchmarks.peers [--most N]`: groups of 3, 10, 40, 100, … to N, five seeds each of the
small ones; then the processor time of one node's protocol and codec at 100 peers as a share of a
core, and the time of a decision with a cluster's view over that without, in one run.
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
SETTLED = 10_000.0  # ms
LONG = 60_000.0


def joined(count: int, seed: int) -> SimulatedCluster:
    """Return a cluster whose nodes know each other and have settled."""
    cluster = SimulatedCluster(count, seed, expected=count)
    cluster.run(LONG, cluster.agreed)
    cluster.run(cluster.now + SETTLED)
    return cluster


def detection(count: int, seed: int) -> list[float]:
    """Return the times (ms) from a death until each other node declares it."""
    cluster = joined(count, seed)
    cluster.kill("n1")
    died = cluster.now
    cluster.run(died + LONG, lambda: cluster.all_declared_dead("n1"))
    first: dict[str, float] = {}
    for seen in cluster.changes:
        if seen.name == "n1" and seen.status is MemberStatus.DEAD and seen.at_ms >= died:
            first.setdefault(seen.observer, seen.at_ms - died)
    return list(first.values())


def false_alarms(count: int, seed: int) -> tuple[int, int]:
    """Return how many healthy members, and how many in all, were declared dead.

    That is in a minute in which one in ten nodes is slow.
    """
    cluster = joined(count, seed)
    slow = random.Random(seed).sample(list(cluster.protocols), max(1, count // 10))
    for name in slow:
        cluster.delays_ms[name] = 1500.0
    since = cluster.now
    cluster.run(since + LONG)
    dead = {s.name for s in cluster.changes if s.status is MemberStatus.DEAD and s.at_ms >= since}
    return len(dead - set(slow)), len(dead)


def rates(count: int, seed: int) -> tuple[float, float]:
    """Return bytes a node a second at rest, and ms to agreement after a split of 30 s."""
    cluster = joined(count, seed)
    before = sum(cluster.bytes_sent.values())
    cluster.run(cluster.now + LONG)
    rest = (sum(cluster.bytes_sent.values()) - before) / count / (LONG / 1000)
    names = list(cluster.protocols)
    cluster.split(names[: count // 2], names[count // 2 :])
    cluster.run(cluster.now + 30_000)
    cluster.heal()
    healed = cluster.now
    return rest, cluster.run(healed + 4 * LONG, cluster.agreed) - healed


def cost(count: int = 100) -> float:
    """Return the processor time of one node's protocol and codec, as a share of a core."""
    cluster = joined(count, 1)
    begun, since = time.process_time(), cluster.now
    cluster.run(since + 20_000)
    # The simulation's own share is small beside: each packet is encoded once here; a node decodes
    # it too.
    return (time.process_time() - begun) / count / 20.0


def decisions(clustered: bool) -> float:
    """Return us a decision of a policy that is told of its cluster ten times a second, or never."""
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
    now, told, begun = 1.0, 0.0, time.perf_counter()
    for number in range(1, 20_001):
        now += 1.0
        if clustered and now - told >= 100.0:
            told = now
            policy.handle(now, ClusterView(10, 3, 10, (0.1 + (number % 7) / 100,), ((1, 0.2),)))
        for action in policy.handle(now, Request(number, 0, now + 1000)):
            if isinstance(action, Send):
                policy.handle(
                    now + 0.5,
                    AttemptEnded(number, action.endpoint_id, True, AttemptResult.OK, 0, 20.0),
                )
    return (time.perf_counter() - begun) / 20_000 * 1e6


def main() -> None:
    """Print all figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--most", type=int, default=100, help="the largest group (100)")
    most = parser.parse_args().most
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
    for count in (size for size in SIZES if size <= most):
        seeds = range(1, 6) if count <= 40 else (1,)
        times = [t for seed in seeds for t in detection(count, seed)]
        times.sort()
        healthy, any_ = (
            sum(part) for part in zip(*(false_alarms(count, s) for s in seeds), strict=True)
        )
        rest, heal = (
            statistics.fmean(p) for p in zip(*(rates(count, s) for s in seeds), strict=True)
        )
        median, p99 = statistics.median(times) / 1000, times[int(0.99 * (len(times) - 1))] / 1000
        row = (
            count,
            f"{median:.2f}",
            f"{p99:.2f}",
            healthy,
            any_,
            f"{rest:.0f}",
            f"{heal / 1000:.1f}",
        )
        print("|", " | ".join(map(str, row)), "|", flush=True)
    print(f"machine and codec at 100 peers: {cost():.4f} of a core")
    pairs = [(decisions(False), decisions(True)) for _ in range(5)]
    without, with_ = (min(values) for values in zip(*pairs, strict=True))
    print(
        f"a decision: {without:.1f} us without a company, {with_:.1f} us with one, {with_ / without:.3f}"
    )


if __name__ == "__main__":
    main()
