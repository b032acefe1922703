"""The same day twice: through the HTTP node, and through a proxy that asks the external processor.

`python -m benchmarks.same_service` plays one seed's arrivals and troubles both ways against fleets
of the same draw, and prints the share of worth that was served in time, and whether the four rules
held, from what the stand-in servers saw. Exit status 1 where a rule broke, or the shares differ by
more than --most.
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
from standins.traffic import ASSIGN, Result, arrivals, play, served_share

SERVERS = 8
GRACE, WINDOW = 0.5, 6.0  # s
SLACK = 0.05  # s, on each time limit, as between real sockets
TIP, COLD_FROM, RAMP = (
    3.0,
    0.32,
    8.8,
)  # of a cold server's present capacity; its first share; s until warm
TIP_SLACK = 6  # requests


class Day:
    """One way through one day."""

    def __init__(self, way: str, seed: int, rate: float, seconds: float) -> None:
        self.way, self.seed, self.seconds = way, seed, seconds
        self.coming = list(arrivals(seed, rate, seconds))
        self.told: dict[str, float] = {}  # server: when its drain was told
        self.back: dict[str, float] = {}  # server: when it came back

    async def play(self) -> list[Result]:
        self.fleet = await Fleet(SERVERS, self.seed).start()
        node = NodeProcess()
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "site.toml"
            path.write_text(operators_file(self.fleet.catalog.address))
            await node.start(path)
            proxy = await Proxy(node.fronts["processor"]).start()
            address = node.fronts["http"] if self.way == "http" else proxy.address
            troubles = asyncio.ensure_future(self.troubles())
            results = await play(address, self.coming)
            await troubles
            await proxy.stop()
            if await node.stop():
                raise RuntimeError("the node ended badly:\n" + "\n".join(node.lines))
        await self.fleet.stop()
        return results

    async def troubles(self) -> None:
        """At fixed times, to fixed servers: slow, silent, failing at once, a drain, a cold
        start."""
        part, servers = self.seconds / 12, self.fleet.servers
        await asyncio.sleep(2 * part)
        servers[0].slowness = servers[1].slowness = 5.0
        await asyncio.sleep(2 * part)
        servers[0].slowness = servers[1].slowness = 1.0
        servers[2].silent = 0.5
        await asyncio.sleep(1 * part)
        servers[2].silent, servers[3].failing = 0.0, 0.7
        await asyncio.sleep(1 * part)
        servers[3].failing = 0.0
        leaving: DispatchServer = servers[4]
        await self.fleet.drain(leaving)
        self.told[leaving.name] = time.monotonic()
        await asyncio.sleep(max(1.5, 1.5 * part))
        await self.fleet.leave(leaving)
        await asyncio.sleep(1 * part)
        await self.fleet.come_back(leaving)
        self.back[leaving.name] = time.monotonic()

    # The rules, from outside.

    def broken(self, results: list[Result]) -> list[str]:
        return [*self.lost(results), *self.twice(), *self.drained(), *self.pushed_over()]

    def lost(self, results: list[Result]) -> list[str]:
        lost = [r.arrival.name for r in results if r.outcome == "lost"]
        return [f"rule 1: {len(lost)} requests with no answer in time, {lost[:3]}"] if lost else []

    def twice(self) -> list[str]:
        sent: dict[str, list[float]] = defaultdict(list)
        for server in self.fleet.servers:
            for seen in server.seen:
                if seen.key:
                    sent[seen.key].append(seen.at)
        late = [key for key, times in sent.items() if max(times) - min(times) >= WINDOW]
        return [f"rule 2: {len(late)} keys sent again after their window"] if late else []

    def drained(self) -> list[str]:
        found = []
        for server in self.fleet.servers:
            told, back = self.told.get(server.name), self.back.get(server.name, float("inf"))
            if told is None:
                continue
            late = [s for s in server.seen if told + GRACE + SLACK < s.at < back]
            if late:
                found.append(f"rule 3: {len(late)} requests at {server.name} after its drain")
        return found

    def pushed_over(self) -> list[str]:
        found = []
        mean = sum(low + high for low, high in self.fleet.servers[0].work.values()) / 4000  # s
        for server in self.fleet.servers:
            back = self.back.get(server.name)
            if back is None:
                continue
            times = [s.at for s in server.seen if s.at >= back]
            for at in times:
                age = min(1.0, (at - back) / RAMP)
                capacity = server.cores / mean * (COLD_FROM + (1 - COLD_FROM) * age)
                count = bisect.bisect(times, at + 1.0) - bisect.bisect_left(times, at)
                if age < 1.0 and count > TIP * capacity + TIP_SLACK:
                    found.append(f"rule 4: {count} requests in 1 s at {server.name}, cold")
                    break
        return found


def line(way: str, results: list[Result]) -> str:
    outcomes = Counter(r.outcome for r in results)
    assigned = [r for r in results if r.arrival.kind is ASSIGN]
    took = sorted(r.took for r in results if r.outcome == "served")
    share, of_assigned = served_share(results), served_share(assigned)
    return (
        f"{way:10} worth served in time {share:.3f}, ride-assign {of_assigned:.3f}; "
        f"{dict(outcomes)}; p50 {took[len(took) // 2]:.0f} ms, p99 {took[len(took) * 99 // 100]:.0f} ms"
    )


async def both(chosen: argparse.Namespace) -> int:
    differences, broken = [], []
    for seed in range(chosen.seed, chosen.seed + chosen.days):
        shares = {}
        for way in ("http", "processor"):
            day = Day(way, seed, chosen.rate, chosen.seconds)
            results = await day.play()
            shares[way] = served_share(results)
            print(f"seed {seed} {line(way, results)}", flush=True)
            faults = day.broken(results)
            broken += faults
            print(
                "\n".join(f"    {fault}" for fault in faults) or "    all four rules held",
                flush=True,
            )
        differences.append(shares["processor"] - shares["http"])
    mean = sum(differences) / len(differences)
    print(f"difference of the shares: {mean:+.3f} on average, {[f'{d:+.3f}' for d in differences]}")
    return 1 if broken or abs(mean) > chosen.most else 0


def main() -> int:
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
    return asyncio.run(both(parser.parse_args()))


if __name__ == "__main__":
    sys.exit(main())
