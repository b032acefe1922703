"""Nodes that know each other as real processes: detection, healing, bytes, processor time, answers'
times.

`python -m benchmarks.trials [--most N]`: groups of 3, 10, 40, … to N processes with the times of
service; the same requests on three nodes with peers and without, by turns, as ratios.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import statistics
import tempfile
import time
from pathlib import Path

from badgercart.cluster.commands import fetch_cluster_page
from lab.trial.checkers import find_violations
from lab.trial.world import Shape, World

SIZES = (3, 10, 40, 100)
REST = 10.0  # s at rest
TICKS = os.sysconf("SC_CLK_TCK")


def processor(world: World) -> float:
    """Processor seconds that all nodes have taken."""
    total = 0
    for node in world.nodes.values():
        if node.process is not None and node.process.returncode is None:
            fields = Path(f"/proc/{node.process.pid}/stat").read_text().rpartition(")")[2].split()
            total += int(fields[11]) + int(fields[12])
    return total / TICKS


async def group(count: int) -> tuple[float, float, float, float, float]:
    """s to join, to bury one that died (median), to one view after a split; bytes and core share at
    rest."""
    with tempfile.TemporaryDirectory() as folder:
        world = World(Shape(nodes=count, period_ms=1000.0), Path(folder))
        begun = time.monotonic()
        await world.start()
        try:
            await world.wait_for_members(count)
            joined = time.monotonic() - begun
            await asyncio.sleep(2.0)
            passed, spent, since = (
                sum(world.switch.forwarded_bytes.values()),
                processor(world),
                time.monotonic(),
            )
            await asyncio.sleep(REST)
            rest = time.monotonic() - since
            bytes_ = (sum(world.switch.forwarded_bytes.values()) - passed) / count / rest
            share = (processor(world) - spent) / count / rest
            names = list(world.nodes)
            mark = world.event_counts()
            died = time.monotonic()
            await world.kill_node(names[-1])

            async def buried(name: str) -> float:
                node = world.nodes[name]
                wanted = {"peer": names[-1], "status": "dead"}
                await node.wait_for_event(
                    "peers.changed", lambda e: wanted.items() <= e.items(), mark[name]
                )
                return time.monotonic() - died

            took = await asyncio.gather(*(buried(name) for name in names[:-1]))
            mark = world.event_counts()
            await world.restart_node(names[-1])
            await world.wait_for_level("whole", names, mark)
            world.split_groups(names[: count // 2], names[count // 2 :])
            await asyncio.sleep(15.0)
            mark = world.event_counts()
            world.switch.heal()
            healed = time.monotonic()
            await world.wait_for_level("whole", names, mark)
            view = time.monotonic() - healed
            return joined, statistics.median(took), view, bytes_, share
        finally:
            await world.stop()


async def requests(peers: bool, seed: int) -> tuple[float, float]:
    """Median and 99th percentile (ms) of the answers' times."""
    with tempfile.TemporaryDirectory() as folder:
        world = await World(Shape(nodes=3, peers=peers, period_ms=1000.0), Path(folder)).start()
        try:
            await asyncio.sleep(2.0)
            await world.send_traffic(150, 6.0, seed)
        finally:
            await world.stop()
        assert not find_violations(world)
        took = sorted(
            asked.result.took for asked in world.sent_requests if asked.result.outcome == "served"
        )
        return took[len(took) // 2], took[len(took) * 99 // 100]


async def shares() -> dict[str, tuple[float, float]]:
    """Of a tenant's share, what five nodes together may use: least and most, by what has befallen
    them.

    All traffic comes to two of them; one is killed, then two are cut off."""
    with tempfile.TemporaryDirectory() as folder:
        world = await World(Shape(nodes=5, quota=200.0), Path(folder)).start()
        found: dict[str, list[float]] = {}
        now, names = ["settled"], list(world.nodes)

        async def look() -> None:
            while True:
                running = [n for n in names if n not in world.downtimes]
                told = await asyncio.gather(
                    *(
                        asyncio.to_thread(fetch_cluster_page, world.nodes[n].frontend_address)
                        for n in running
                    )
                )
                sums = [sum(parts) for parts in zip(*(t["parts"] for t in told), strict=True)]
                found.setdefault(now[0], []).extend((min(sums), max(sums)))
                await asyncio.sleep(0.2)

        try:
            await world.wait_for_members(5)
            traffic = asyncio.ensure_future(world.send_traffic(180, 22.0, nodes=names[:2]))
            await asyncio.sleep(4.0)
            looking = asyncio.ensure_future(look())
            await asyncio.sleep(3.0)
            now[0] = "one dies"
            await world.kill_node(names[-1])
            await asyncio.sleep(3.0)
            now[0] = "one is dead"
            await asyncio.sleep(3.0)
            now[0] = "two are cut off"
            world.split_groups(names[2:4], names[:2])
            await asyncio.sleep(3.0)
            now[0] = "two are away"
            await asyncio.sleep(3.0)
            looking.cancel()
            await traffic
        finally:
            await world.stop()
        return {name: (min(sums), max(sums)) for name, sums in found.items()}


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--most", type=int, default=10, help="the largest group (10)")
    most = parser.parse_args().most
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
    for count in (size for size in SIZES if size <= most):
        joined, took, view, bytes_, share = asyncio.run(group(count))
        print(
            f"| {count} | {joined:.2f} | {took:.2f} | {view:.2f} | {bytes_:.0f} | {share:.4f} |",
            flush=True,
        )
    for moment, (least, most_) in asyncio.run(shares()).items():
        print(f"parts of a share, all nodes together, {moment}: {least:.2f} to {most_:.2f}")
    pairs = [
        (asyncio.run(requests(False, seed)), asyncio.run(requests(True, seed)))
        for seed in (1, 2, 3)
    ]
    for name, at in (("median", 0), ("99th percentile", 1)):
        ratio = statistics.median(with_[at] / without[at] for without, with_ in pairs)
        print(f"{name} of answers with peers over without: {ratio:.3f}")


if __name__ == "__main__":
    main()
