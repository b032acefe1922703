"""Nodes that know each other as real processes: detection, healing, bytes, processor time, answers' times.

`python -m benchmarks.trials [--most N]`: groups of 3, 10, 40, … to N processes with the times of service; the
same requests on three nodes with peers and without, by turns, as ratios.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import statistics
import tempfile
import time
from pathlib import Path

from lab.trial.checkers import broken
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
    """s to join, to bury one that died (median), to one view after a split; bytes and core share at rest."""
    with tempfile.TemporaryDirectory() as folder:
        world = World(Shape(nodes=count, period_ms=1000.0), Path(folder))
        begun = time.monotonic()
        await world.start()
        try:
            await world.group(count)
            joined = time.monotonic() - begun
            await asyncio.sleep(2.0)
            passed, spent, since = sum(world.switch.passed.values()), processor(world), time.monotonic()
            await asyncio.sleep(REST)
            rest = time.monotonic() - since
            bytes_ = (sum(world.switch.passed.values()) - passed) / count / rest
            share = (processor(world) - spent) / count / rest
            names = list(world.nodes)
            mark = world.marks()
            died = time.monotonic()
            await world.kill(names[-1])

            async def buried(name: str) -> float:
                node = world.nodes[name]
                wanted = {"peer": names[-1], "status": "dead"}
                await node.until("peers.changed", lambda e: wanted.items() <= e.items(), mark[name])
                return time.monotonic() - died

            took = await asyncio.gather(*(buried(name) for name in names[:-1]))
            mark = world.marks()
            await world.start_again(names[-1])
            await world.level("whole", names, mark)
            world.split(names[: count // 2], names[count // 2 :])
            await asyncio.sleep(15.0)
            mark = world.marks()
            world.switch.heal()
            healed = time.monotonic()
            await world.level("whole", names, mark)
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
            await world.traffic(150, 6.0, seed)
        finally:
            await world.stop()
        assert not broken(world)
        took = sorted(asked.result.took for asked in world.asked if asked.result.outcome == "served")
        return took[len(took) // 2], took[len(took) * 99 // 100]


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--most", type=int, default=10, help="the largest group (10)")
    most = parser.parse_args().most
    names = ("processes", "joined s", "buried s", "one view s", "bytes a node a s", "core share a node")
    print("|", " | ".join(names), "|")
    print("| --- | --- | --- | --- | --- | --- |")
    for count in (size for size in SIZES if size <= most):
        joined, took, view, bytes_, share = asyncio.run(group(count))
        print(
            f"| {count} | {joined:.2f} | {took:.2f} | {view:.2f} | {bytes_:.0f} | {share:.4f} |", flush=True
        )
    pairs = [(asyncio.run(requests(False, seed)), asyncio.run(requests(True, seed))) for seed in (1, 2, 3)]
    for name, at in (("median", 0), ("99th percentile", 1)):
        ratio = statistics.median(with_[at] / without[at] for without, with_ in pairs)
        print(f"{name} of answers with peers over without: {ratio:.3f}")


if __name__ == "__main__":
    main()
