"""A zone's servers die under real nodes: how long until others serve, and at what cost.

`python -m benchmarks.zone_trials [--nodes 12] [--seeds 3]` runs processes in three zones and two
regions, in each planning mode, with the same requests in turn. Figures are from clients' and
servers' records alone: the time from the loss until a node serves 0.95 of its requests again for
good, the value served in the 5 s after it, and the fullest second of a zone that lives.
"""

from __future__ import annotations

import argparse
import asyncio
import statistics
import sys
import tempfile
import time
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from lab.trial.checkers import find_violations
from lab.trial.world import WORK_MS, SentRequest, Shape, World

MODES = ("majority", "shared", "")  # the last: each node alone
SERVERS, CORES = 9, 2
BEFORE_S, AFTER_S = 3.0, 6.0  # of traffic, before and after the loss
VALUE_S = 5.0  # after the loss, in which the value served counts
BIN_S = 0.5
SERVED_SHARE = 0.95  # from which a bin counts as served
REGIONS = (("a", "b"), ("c",))
LOST_ZONE, LIVING_ZONES = "b", ("a", "c")
MEAN_WORK_S = sum(sum(ends) for ends in WORK_MS.values()) / (2 * len(WORK_MS)) / 1000


@dataclass(slots=True)
class TrialResult:
    """What came of one trial."""

    moved_s: list[float]  # by node: from the loss until it serves
    value: float  # served, as a share
    fullest: float  # share of a living zone's capacity, in its fullest second
    broken: int  # promises broken


def fullest_second(world: World, since: float) -> float:
    """Return what came to a living zone in its fullest second, as a share of its capacity."""
    worst = 0.0
    for zone in LIVING_ZONES:
        servers = [world.servers[name] for name in world.servers_in_zone(zone)]
        times = sorted(
            seen.at for server in servers for seen in server.seen if seen.id and seen.at > since
        )
        first = 0
        for last, at in enumerate(times):
            while times[first] <= at - 1.0:
                first += 1
            arrived = last - first + 1
            worst = max(worst, arrived * MEAN_WORK_S / (len(servers) * CORES))
    return worst


def settling_time(asked: Sequence[SentRequest], since: float) -> float:
    """Return the seconds until the end of the last bin in which too few requests were served."""
    bins: dict[int, list[bool]] = {}
    for request in asked:
        served = request.result.outcome == "served"
        bins.setdefault(int((request.sent - since) / BIN_S), []).append(served)
    failed = [
        (number + 1) * BIN_S
        for number, ends in bins.items()
        if sum(ends) < SERVED_SHARE * len(ends)
    ]
    return max(failed, default=0.0)


def shape_of(mode: str, nodes: int, seed: int) -> Shape:
    """Return the shape of a trial's world."""
    return Shape(
        nodes=nodes,
        servers=SERVERS,
        cores=CORES,
        queue=4,
        quota=1e6,
        plan=mode,
        seed=seed,
        lease_ms=4000.0,
        hold_ms=3000.0,
        period_ms=1000.0,
        regions=REGIONS if mode else (),
    )


async def run_trial(mode: str, nodes: int, load: float, seed: int) -> TrialResult:
    """Play a trial: traffic, and the loss of a zone in its midst."""
    rate = load * SERVERS * CORES / MEAN_WORK_S
    with tempfile.TemporaryDirectory() as folder:
        world = await World(shape_of(mode, nodes, seed), Path(folder)).start()
        try:
            await world.wait_for_members(nodes)
            if mode == "majority":
                await world.wait_for_plan(list(world.nodes), dict.fromkeys(world.nodes, 0))
            traffic = asyncio.ensure_future(world.send_traffic(rate, BEFORE_S + AFTER_S, seed))
            await asyncio.sleep(BEFORE_S)
            died = time.monotonic()
            for name in world.servers_in_zone(LOST_ZONE):
                world.crash_server(name)
            await traffic
        finally:
            await world.stop()
        return result_of(world, died)


def result_of(world: World, died: float) -> TrialResult:
    """Return what came of a trial in which a zone was lost at this time."""
    late = [request for request in world.sent_requests if request.sent >= died]
    by_node = [[request for request in late if request.node == name] for name in world.nodes]
    soon = [request.result for request in late if request.sent < died + VALUE_S]
    value = sum(result.worth for result in soon) / sum(result.arrival.kind.worth for result in soon)
    moved_s = [settling_time(asked, died) for asked in by_node]
    return TrialResult(moved_s, value, fullest_second(world, died), len(find_violations(world)))


def print_row(nodes: int, load: float, mode: str, results: Sequence[TrialResult]) -> None:
    """Print the table's row for one mode at one load."""
    moved_s = sorted(seconds for result in results for seconds in result.moved_s)
    cells = (
        str(nodes),
        str(load),
        mode or "alone",
        f"{statistics.median(moved_s):.2f}",
        f"{moved_s[len(moved_s) * 99 // 100]:.2f}",
        f"{statistics.fmean(result.value for result in results):.4f}",
        f"{max(result.fullest for result in results):.2f}",
        str(sum(result.broken for result in results)),
    )
    print(f"| {' | '.join(cells)} |", flush=True)


def main() -> int:
    """Run the trials that the command line asks for, and print their table."""
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
        for mode in MODES:
            results = [
                asyncio.run(run_trial(mode, chosen.nodes, load, seed))
                for seed in range(1, chosen.seeds + 1)
            ]
            print_row(chosen.nodes, load, mode, results)
    return 0


if __name__ == "__main__":
    sys.exit(main())
