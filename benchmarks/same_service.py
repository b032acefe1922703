"""Compare the HTTP frontend with a proxy that uses the external processor on the same day.

`python -m benchmarks.same_service` sends the same traffic, with the same server faults, through both
frontends to fleets with the same seed. It prints the share of the value that was served in time, and
whether the four rules held according to the records of the stand-in servers. The exit status is 1 if
a rule was broken or the shares differ by more than `--most`.
"""

from __future__ import annotations

import argparse
import asyncio
import bisect
import sys
import tempfile
import time
from collections import Counter, defaultdict
from pathlib import Path

from standins.demo import NodeProcess
from standins.fleet import Fleet, operators_file
from standins.proxy import Proxy
from standins.server import DispatchServer
from standins.traffic import ASSIGN, Result, draw_arrivals, send_arrivals, served_share

SERVERS = 8
DRAIN_GRACE_S = 0.5
DEDUPLICATION_WINDOW_S = 6.0
# Tolerance of time limits, for the delays of real sockets.
TIME_TOLERANCE_S = 0.05
# A cold server may get this multiple of its present capacity within a second, and so many requests
# more.
MAX_LOAD_FACTOR = 3.0
MAX_LOAD_TOLERANCE_REQUESTS = 6
# Capacity of a cold server at its start, as a share of the warm capacity, and the time until warm.
INITIAL_CAPACITY = 0.32
RAMP_DURATION_S = 8.8
SLOW_FACTOR = 5.0


class DayRun:
    """One run of a day through one frontend.

    `drained_at` and `returned_at` hold, by server, when it was told to drain and when it came back.
    """

    def __init__(self, frontend: str, seed: int, rate: float, seconds: float) -> None:
        self.frontend, self.seed, self.seconds = frontend, seed, seconds
        self.traffic = list(draw_arrivals(seed, rate, seconds))
        self.drained_at: dict[str, float] = {}
        self.returned_at: dict[str, float] = {}

    async def run(self) -> list[Result]:
        """Run the day and return the results of all requests."""
        self.fleet = await Fleet(SERVERS, self.seed).start()
        node = NodeProcess()
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "site.toml"
            path.write_text(operators_file(self.fleet.catalog.address))
            await node.start(path)
            proxy = await Proxy(node.fronts["processor"]).start()
            address = node.fronts["http"] if self.frontend == "http" else proxy.address
            faults = asyncio.ensure_future(self.inject_faults())
            results = await send_arrivals(address, self.traffic)
            await faults
            await proxy.stop()
            if await node.stop():
                raise RuntimeError("the node exited with an error:\n" + "\n".join(node.lines))
        await self.fleet.stop()
        return results

    async def inject_faults(self) -> None:
        """Make servers slow, silent and failing at fixed times, then drain and restart one cold."""
        step_s, servers = self.seconds / 12, self.fleet.servers
        await asyncio.sleep(2 * step_s)
        servers[0].service_time_factor = servers[1].service_time_factor = SLOW_FACTOR
        await asyncio.sleep(2 * step_s)
        servers[0].service_time_factor = servers[1].service_time_factor = 1.0
        servers[2].silent_share = 0.5
        await asyncio.sleep(1 * step_s)
        servers[2].silent_share, servers[3].error_share = 0.0, 0.7
        await asyncio.sleep(1 * step_s)
        servers[3].error_share = 0.0
        leaving: DispatchServer = servers[4]
        await self.fleet.drain(leaving)
        self.drained_at[leaving.name] = time.monotonic()
        await asyncio.sleep(max(1.5, 1.5 * step_s))
        await self.fleet.leave(leaving)
        await asyncio.sleep(1 * step_s)
        await self.fleet.come_back(leaving)
        self.returned_at[leaving.name] = time.monotonic()

    def violations(self, results: list[Result]) -> list[str]:
        """Return a line for each broken rule, judged by the records of clients and servers."""
        return [
            *self.unanswered(results),
            *self.duplicates(),
            *self.sent_after_drain(),
            *self.cold_overloads(),
        ]

    def unanswered(self, results: list[Result]) -> list[str]:
        """Check rule 1: each request gets an answer in time."""
        unanswered = [result.arrival.request_id for result in results if result.outcome == "lost"]
        return (
            [f"rule 1: {len(unanswered)} requests with no answer in time, {unanswered[:3]}"]
            if unanswered
            else []
        )

    def duplicates(self) -> list[str]:
        """Check rule 2: no key is sent again after its deduplication window."""
        times_by_key: dict[str, list[float]] = defaultdict(list)
        for server in self.fleet.servers:
            for request in server.received_requests:
                if request.idempotency_key:
                    times_by_key[request.idempotency_key].append(request.received_at_s)
        late = [
            key
            for key, times in times_by_key.items()
            if max(times) - min(times) >= DEDUPLICATION_WINDOW_S
        ]
        return [f"rule 2: {len(late)} keys sent again after their window"] if late else []

    def sent_after_drain(self) -> list[str]:
        """Check rule 3: a drained server gets no request after the grace period."""
        violations = []
        for server in self.fleet.servers:
            drained_at, returned_at = (
                self.drained_at.get(server.name),
                self.returned_at.get(server.name, float("inf")),
            )
            if drained_at is None:
                continue
            late = [
                request
                for request in server.received_requests
                if drained_at + DRAIN_GRACE_S + TIME_TOLERANCE_S
                < request.received_at_s
                < returned_at
            ]
            if late:
                violations.append(f"rule 3: {len(late)} requests at {server.name} after its drain")
        return violations

    def cold_overloads(self) -> list[str]:
        """Check rule 4: a cold server gets at most a multiple of its present capacity."""
        violations = []
        # The mean of the two bounds of both request classes, converted from ms.
        mean_work_s = sum(low + high for low, high in self.fleet.servers[0].work_ms.values()) / 4000
        for server in self.fleet.servers:
            returned_at = self.returned_at.get(server.name)
            if returned_at is None:
                continue
            times = [
                request.received_at_s
                for request in server.received_requests
                if request.received_at_s >= returned_at
            ]
            for at in times:
                age = min(1.0, (at - returned_at) / RAMP_DURATION_S)
                capacity = (
                    server.cores / mean_work_s * (INITIAL_CAPACITY + (1 - INITIAL_CAPACITY) * age)
                )
                count = bisect.bisect(times, at + 1.0) - bisect.bisect_left(times, at)
                if age < 1.0 and count > MAX_LOAD_FACTOR * capacity + MAX_LOAD_TOLERANCE_REQUESTS:
                    violations.append(f"rule 4: {count} requests in 1 s at {server.name}, cold")
                    break
        return violations


def summary_line(frontend: str, results: list[Result]) -> str:
    """Return the line that summarizes the results of one run."""
    outcomes = Counter(result.outcome for result in results)
    assigned = [result for result in results if result.arrival.request_class is ASSIGN]
    durations = sorted(result.response_time_ms for result in results if result.outcome == "served")
    share, assigned_share = served_share(results), served_share(assigned)
    return (
        f"{frontend:10} worth served in time {share:.3f}, ride-assign {assigned_share:.3f}; "
        f"{dict(outcomes)}; p50 {durations[len(durations) // 2]:.0f} ms, p99 {durations[len(durations) * 99 // 100]:.0f} ms"
    )


async def compare(arguments: argparse.Namespace) -> int:
    """Run all days through both frontends and return the exit status."""
    differences, violations = [], []
    for seed in range(arguments.seed, arguments.seed + arguments.days):
        shares = {}
        for frontend in ("http", "processor"):
            day = DayRun(frontend, seed, arguments.rate, arguments.seconds)
            results = await day.run()
            shares[frontend] = served_share(results)
            print(f"seed {seed} {summary_line(frontend, results)}", flush=True)
            day_violations = day.violations(results)
            violations += day_violations
            print(
                "\n".join(f"    {violation}" for violation in day_violations)
                or "    all four rules held",
                flush=True,
            )
        differences.append(shares["processor"] - shares["http"])
    mean_difference = sum(differences) / len(differences)
    print(
        f"difference of the shares: {mean_difference:+.3f} on average, {[f'{difference:+.3f}' for difference in differences]}"
    )
    return 1 if violations or abs(mean_difference) > arguments.most else 0


def main() -> int:
    """Run the benchmark that the command line asks for."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.same_service", description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="of the first day (1)")
    parser.add_argument(
        "--days", type=int, default=1, help="how many days, each of the next seed (1)"
    )
    parser.add_argument("--rate", type=float, default=150.0, help="requests a second (150)")
    parser.add_argument("--seconds", type=float, default=24.0, help="of each day (24)")
    parser.add_argument(
        "--most", type=float, default=0.02, help="how far the shares may differ (0.02)"
    )
    return asyncio.run(compare(parser.parse_args()))


if __name__ == "__main__":
    sys.exit(main())
