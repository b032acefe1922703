"""A zone's servers die under real nodes: how long until its requests are served elsewhere, and what
it costs.

`python -m benchmarks.zone_trials [--nodes 12] [--seeds 3]`: processes in three zones and two
regions, by each way of deciding, the same requests in turn. Told from clients' and servers' records
alone: the time from the loss until a node serves 0.95 of its requests again for good, worth served
in the 5 s after it, and the fullest second of a zone that lives.
"""

from __future__ import annotations

import argparse
import asyncio
import statistics
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

from lab.trial.checkers import broken
from lab.trial.world import WORK, Asked, Shape, World

WAYS = ("majority", "shared", "")  # the last: each node alone
CORES, BEFORE, AFTER = 2, 3.0, 6.0  # of a server; s of traffic
BIN = 0.5  # s
REGIONS = (("a", "b"), ("c",))


@dataclass(slots=True)
class Seen:
    moved: list[float]  # by node: s from the loss until it serves
    worth: float
    fullest: float  # of a living zone's capacity, in its fullest second
    broken: int


def fullest(world: World, zones: tuple[str, ...], since: float) -> float:
    """Of a zone's capacity, what came in its fullest second; by the mean work of requests."""
    work = sum(sum(ends) for ends in WORK.values()) / (2 * len(WORK)) / 1000  # s
    worst = 0.0
    for zone in zones:
        servers = [world.servers[name] for name in world.servers_of(zone)]
        times = sorted(
            seen.at for server in servers for seen in server.seen if seen.id and seen.at > since
        )
        first = 0
        for last, at in enumerate(times):
            while times[first] <= at - 1.0:
                first += 1
            worst = max(worst, (last - first + 1) * work / (len(servers) * CORES))
    return worst


def settled(asked: list[Asked], since: float) -> float:
    """s from then until the end of the last half second in which under 0.95 of the requests were
    served."""
    bins: dict[int, list[bool]] = {}
    for told in asked:
        bins.setdefault(int((told.sent - since) / BIN), []).append(told.result.outcome == "served")
    return max(
        ((place + 1) * BIN for place, ends in bins.items() if sum(ends) < 0.95 * len(ends)),
        default=0.0,
    )


async def one(way: str, nodes: int, load: float, seed: int) -> Seen:
    servers = 9
    rate = (
        load * servers * CORES / (sum(sum(ends) for ends in WORK.values()) / (2 * len(WORK)) / 1000)
    )
    shape = Shape(
        nodes=nodes, servers=servers, cores=CORES, queue=4, quota=1e6, plan=way, seed=seed, lease_ms=4000.0,
        hold_ms=3000.0, period_ms=1000.0, regions=REGIONS if way else (),
    )  # fmt: skip
    with tempfile.TemporaryDirectory() as folder:
        world = await World(shape, Path(folder)).start()
        try:
            await world.group(nodes)
            if way == "majority":
                await world.in_force(list(world.nodes), dict.fromkeys(world.nodes, 0))
            traffic = asyncio.ensure_future(world.traffic(rate, BEFORE + AFTER, seed))
            await asyncio.sleep(BEFORE)
            died = time.monotonic()
            for name in world.servers_of("b"):
                world.crash(name)
            await traffic
        finally:
            await world.stop()
        late = [a for a in world.asked if a.sent >= died]
        moved = [settled([a for a in late if a.node == name], died) for name in world.nodes]
        soon = [a for a in late if a.sent < died + 5.0]
        worth = sum(a.result.worth for a in soon) / sum(a.result.arrival.kind.worth for a in soon)
        return Seen(moved, worth, fullest(world, ("a", "c"), died), len(broken(world)))


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m benchmarks.zone_trials", description=__doc__)
    parser.add_argument("--nodes", type=int, default=12, help="processes (12)")
    parser.add_argument("--seeds", type=int, default=3, help="of each way (3)")
    parser.add_argument("--loads", type=float, nargs="+", default=[0.5], help="of capacity (0.5)")
    chosen = parser.parse_args()
    print(
        "| nodes | load | way | moved median s | p99 s | worth in 5 s | fullest second | broken |"
    )
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for load in chosen.loads:
        for way in WAYS:
            seen = [
                asyncio.run(one(way, chosen.nodes, load, seed))
                for seed in range(1, chosen.seeds + 1)
            ]
            moved = sorted(s for told in seen for s in told.moved)
            print(
                f"| {chosen.nodes} | {load} | {way or 'alone'} | {statistics.median(moved):.2f} | "
                f"{moved[len(moved) * 99 // 100]:.2f} | {statistics.fmean(t.worth for t in seen):.4f} | "
                f"{max(t.fullest for t in seen):.2f} | {sum(t.broken for t in seen)} |",
                flush=True,
            )
    return 0


if __name__ == "__main__":
    sys.exit(main())
