"""Measure cluster membership between real processes: detection, healing, traffic, processor time.

`python -m benchmarks.trials [--most N]` measures clusters of 3, 10, 40, … up to N processes with the
timeouts of production. It then compares the response times of the same requests on three nodes with
and without cluster membership, alternating between the two, and prints their ratios.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import statistics
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

from badgercart.cluster.commands import fetch_cluster_page
from lab.trial.checkers import find_violations
from lab.trial.world import Shape, World

SIZES = (3, 10, 40, 100)
# How long a settled cluster is measured while idle.
IDLE_PERIOD_S = 10.0
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def processor_seconds(world: World) -> float:
    """Return the processor time in seconds that all running nodes have used."""
    total = 0
    for node in world.nodes.values():
        if node.process is not None and node.process.returncode is None:
            fields = Path(f"/proc/{node.process.pid}/stat").read_text().rpartition(")")[2].split()
            total += int(fields[11]) + int(fields[12])
    return total / CLOCK_TICKS_PER_S


@dataclass(slots=True, frozen=True)
class ClusterResult:
    """Measurements of one cluster.

    Attributes:
        join_s: Time until every node knows all members.
        detection_s: Median time until a node declares a killed one dead.
        agreement_s: Time from the end of a network split until all nodes have the same members.
        bytes_per_node_s: Bytes sent per node and second while idle.
        core_share: Processor time per node, as a share of a core, while idle.
    """

    join_s: float
    detection_s: float
    agreement_s: float
    bytes_per_node_s: float
    core_share: float


async def measure_cluster(count: int) -> ClusterResult:
    """Start a cluster of `count` nodes and measure it."""
    with tempfile.TemporaryDirectory() as folder:
        world = World(Shape(nodes=count, period_ms=1000.0), Path(folder))
        started_at = time.monotonic()
        await world.start()
        try:
            await world.wait_for_members(count)
            join_s = time.monotonic() - started_at
            await asyncio.sleep(2.0)
            bytes_before, processor_s_before, idle_since = (
                sum(world.switch.forwarded_bytes.values()),
                processor_seconds(world),
                time.monotonic(),
            )
            await asyncio.sleep(IDLE_PERIOD_S)
            idle_s = time.monotonic() - idle_since
            bytes_per_node_s = (
                (sum(world.switch.forwarded_bytes.values()) - bytes_before) / count / idle_s
            )
            core_share = (processor_seconds(world) - processor_s_before) / count / idle_s
            names = list(world.nodes)
            event_counts = world.event_counts()
            killed_at = time.monotonic()
            await world.kill_node(names[-1])

            async def detection_time(name: str) -> float:
                node = world.nodes[name]
                expected = {"peer": names[-1], "status": "dead"}
                await node.wait_for_event(
                    "peers.changed",
                    lambda event: expected.items() <= event.items(),
                    event_counts[name],
                )
                return time.monotonic() - killed_at

            durations = await asyncio.gather(*(detection_time(name) for name in names[:-1]))
            event_counts = world.event_counts()
            await world.restart_node(names[-1])
            await world.wait_for_level("whole", names, event_counts)
            world.split_groups(names[: count // 2], names[count // 2 :])
            await asyncio.sleep(15.0)
            event_counts = world.event_counts()
            world.switch.heal()
            healed_at = time.monotonic()
            await world.wait_for_level("whole", names, event_counts)
            agreement_s = time.monotonic() - healed_at
            return ClusterResult(
                join_s, statistics.median(durations), agreement_s, bytes_per_node_s, core_share
            )
        finally:
            await world.stop()


async def response_times(peers: bool, seed: int) -> tuple[float, float]:
    """Return the median and the 99th percentile of the response times in ms."""
    with tempfile.TemporaryDirectory() as folder:
        world = await World(Shape(nodes=3, peers=peers, period_ms=1000.0), Path(folder)).start()
        try:
            await asyncio.sleep(2.0)
            await world.send_traffic(150, 6.0, seed)
        finally:
            await world.stop()
        assert not find_violations(world)
        durations = sorted(
            sent.result.response_time_ms
            for sent in world.sent_requests
            if sent.result.outcome == "served"
        )
        return durations[len(durations) // 2], durations[len(durations) * 99 // 100]


async def quota_shares() -> dict[str, tuple[float, float]]:
    """Return the lowest and highest sum of five nodes' fractions of a tenant's quota, by phase.

    Two nodes receive all traffic. One node is killed, then two are disconnected from the others.
    """
    with tempfile.TemporaryDirectory() as folder:
        world = await World(Shape(nodes=5, quota=200.0), Path(folder)).start()
        sums_by_phase: dict[str, list[float]] = {}
        phase, names = ["settled"], list(world.nodes)

        async def sample_sums() -> None:
            while True:
                running = [name for name in names if name not in world.downtimes]
                pages = await asyncio.gather(
                    *(
                        asyncio.to_thread(fetch_cluster_page, world.nodes[name].frontend_address)
                        for name in running
                    )
                )
                sums = [
                    sum(node_parts)
                    for node_parts in zip(*(page["parts"] for page in pages), strict=True)
                ]
                sums_by_phase.setdefault(phase[0], []).extend((min(sums), max(sums)))
                await asyncio.sleep(0.2)

        try:
            await world.wait_for_members(5)
            traffic = asyncio.ensure_future(world.send_traffic(180, 22.0, nodes=names[:2]))
            await asyncio.sleep(4.0)
            sampling = asyncio.ensure_future(sample_sums())
            await asyncio.sleep(3.0)
            phase[0] = "one dies"
            await world.kill_node(names[-1])
            await asyncio.sleep(3.0)
            phase[0] = "one is dead"
            await asyncio.sleep(3.0)
            phase[0] = "two are cut off"
            world.split_groups(names[2:4], names[:2])
            await asyncio.sleep(3.0)
            phase[0] = "two are away"
            await asyncio.sleep(3.0)
            sampling.cancel()
            await traffic
        finally:
            await world.stop()
        return {name: (min(sums), max(sums)) for name, sums in sums_by_phase.items()}


def main() -> None:
    """Run all measurements and print them."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--most", type=int, default=10, help="the largest group (10)")
    max_size = parser.parse_args().most
    names = (
        "processes",
        "joined s",
        "buried s",
        "one view s",
        "bytes a node a s",
        "core share a node",
    )
    print("|", " | ".join(names), "|")
    print("| --- | --- | --- | --- | --- | --- |")
    for count in (size for size in SIZES if size <= max_size):
        result = asyncio.run(measure_cluster(count))
        print(
            f"| {count} | {result.join_s:.2f} | {result.detection_s:.2f} | {result.agreement_s:.2f} | {result.bytes_per_node_s:.0f} | {result.core_share:.4f} |",
            flush=True,
        )
    for phase_name, (lowest, highest) in asyncio.run(quota_shares()).items():
        print(f"parts of a share, all nodes together, {phase_name}: {lowest:.2f} to {highest:.2f}")
    pairs = [
        (asyncio.run(response_times(False, seed)), asyncio.run(response_times(True, seed)))
        for seed in (1, 2, 3)
    ]
    for name, index in (("median", 0), ("99th percentile", 1)):
        ratio = statistics.median(
            with_peers[index] / without_peers[index] for without_peers, with_peers in pairs
        )
        print(f"{name} of answers with peers over without: {ratio:.3f}")


if __name__ == "__main__":
    main()
