"""Measure how fast real nodes fail over when all servers of a zone crash, and at what cost.

`python -m benchmarks.zone_trials [--nodes 12] [--seeds 3]` runs processes in three zones and two
regions, with the same requests in each planning mode in turn. All results come from the records of
clients and servers: the time from the loss until a node permanently serves 0.95 of its requests
again, the value served in the 5 s after the loss, and the highest load of a surviving zone in one
second.
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

# The empty mode has no plan: each node decides alone.
MODES = ("majority", "shared", "")
SERVERS = 9
CORES_PER_SERVER = 2
TRAFFIC_BEFORE_LOSS_S = 3.0
TRAFFIC_AFTER_LOSS_S = 6.0
# The value is that of the requests sent in this period after the loss.
VALUE_PERIOD_S = 5.0
BIN_S = 0.5
# A bin counts as served from this share of its requests.
MIN_SERVED_SHARE = 0.95
REGIONS = (("a", "b"), ("c",))
LOST_ZONE = "b"
SURVIVING_ZONES = ("a", "c")
MEAN_WORK_S = sum(sum(bounds) for bounds in WORK_MS.values()) / (2 * len(WORK_MS)) / 1000


@dataclass(slots=True)
class TrialResult:
    """Result of one trial.

    Attributes:
        failover_s: By node, the time from the loss until it serves again.
        value: Served share of the value of all requests.
        peak_utilization: Highest load of a surviving zone in one second, as a share of its capacity.
        violations: Number of guarantees broken.
    """

    failover_s: list[float]
    value: float
    peak_utilization: float
    violations: int


def peak_utilization(world: World, lost_at: float) -> float:
    """Return the highest load of a surviving zone in one second, as a share of its capacity."""
    peak = 0.0
    for zone in SURVIVING_ZONES:
        servers = [world.servers[name] for name in world.servers_in_zone(zone)]
        times = sorted(
            request.received_at_s
            for server in servers
            for request in server.received_requests
            if request.request_id and request.received_at_s > lost_at
        )
        first = 0
        for last, at in enumerate(times):
            while times[first] <= at - 1.0:
                first += 1
            arrived = last - first + 1
            peak = max(peak, arrived * MEAN_WORK_S / (len(servers) * CORES_PER_SERVER))
    return peak


def failover_time(requests: Sequence[SentRequest], lost_at: float) -> float:
    """Return the time in s until the end of the last bin with too few served requests."""
    served_by_bin: dict[int, list[bool]] = {}
    for request in requests:
        served = request.result.outcome == "served"
        served_by_bin.setdefault(int((request.sent_at_s - lost_at) / BIN_S), []).append(served)
    failed_bin_ends_s = [
        (number + 1) * BIN_S
        for number, outcomes in served_by_bin.items()
        if sum(outcomes) < MIN_SERVED_SHARE * len(outcomes)
    ]
    return max(failed_bin_ends_s, default=0.0)


def make_shape(mode: str, nodes: int, seed: int) -> Shape:
    """Return the settings of the environment of a trial."""
    return Shape(
        nodes=nodes,
        servers=SERVERS,
        cores=CORES_PER_SERVER,
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
    """Run a trial: send traffic and crash all servers of a zone during it."""
    rate = load * SERVERS * CORES_PER_SERVER / MEAN_WORK_S
    with tempfile.TemporaryDirectory() as folder:
        world = await World(make_shape(mode, nodes, seed), Path(folder)).start()
        try:
            await world.wait_for_members(nodes)
            if mode == "majority":
                await world.wait_for_plan(list(world.nodes), dict.fromkeys(world.nodes, 0))
            traffic = asyncio.ensure_future(
                world.send_traffic(rate, TRAFFIC_BEFORE_LOSS_S + TRAFFIC_AFTER_LOSS_S, seed)
            )
            await asyncio.sleep(TRAFFIC_BEFORE_LOSS_S)
            lost_at = time.monotonic()
            for name in world.servers_in_zone(LOST_ZONE):
                world.crash_server(name)
            await traffic
        finally:
            await world.stop()
        return result_of(world, lost_at)


def result_of(world: World, lost_at: float) -> TrialResult:
    """Return the result of a trial in which a zone was lost at `lost_at`."""
    after_loss = [request for request in world.sent_requests if request.sent_at_s >= lost_at]
    by_node = [[request for request in after_loss if request.node == name] for name in world.nodes]
    counted = [
        request.result for request in after_loss if request.sent_at_s < lost_at + VALUE_PERIOD_S
    ]
    value = sum(result.earned_worth for result in counted) / sum(
        result.arrival.request_class.worth for result in counted
    )
    failover_s = [failover_time(requests, lost_at) for requests in by_node]
    return TrialResult(
        failover_s, value, peak_utilization(world, lost_at), len(find_violations(world))
    )


def print_row(nodes: int, load: float, mode: str, results: Sequence[TrialResult]) -> None:
    """Print the table row of one mode at one load."""
    failover_s = sorted(seconds for result in results for seconds in result.failover_s)
    cells = (
        str(nodes),
        str(load),
        mode or "alone",
        f"{statistics.median(failover_s):.2f}",
        f"{failover_s[len(failover_s) * 99 // 100]:.2f}",
        f"{statistics.fmean(result.value for result in results):.4f}",
        f"{max(result.peak_utilization for result in results):.2f}",
        str(sum(result.violations for result in results)),
    )
    print(f"| {' | '.join(cells)} |", flush=True)


def main() -> int:
    """Run the trials that the command line asks for and print their table."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.zone_trials", description=__doc__)
    parser.add_argument("--nodes", type=int, default=12, help="processes (12)")
    parser.add_argument("--seeds", type=int, default=3, help="of each way (3)")
    parser.add_argument("--loads", type=float, nargs="+", default=[0.5], help="of capacity (0.5)")
    arguments = parser.parse_args()
    print(
        "| nodes | load | way | moved median s | p99 s | worth in 5 s | fullest second | broken |"
    )
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for load in arguments.loads:
        for mode in MODES:
            results = [
                asyncio.run(run_trial(mode, arguments.nodes, load, seed))
                for seed in range(1, arguments.seeds + 1)
            ]
            print_row(arguments.nodes, load, mode, results)
    return 0


if __name__ == "__main__":
    sys.exit(main())
