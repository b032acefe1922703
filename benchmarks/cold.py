"""Cold servers under the sum of all processes: `python -m benchmarks.cold [--nodes 24] [--seed 1]`.

So many real `run` processes before servers that start cold while the traffic grows by half: some
join, some come back under their own ids, all start at once. One node of eight gets four times an
even part. The servers' own records decide: the most that one was sent within the window that the
settings name, over N + 2 * sqrt(N) + 2, and how much of N all were sent (a third of it is what
their age surely lets them do).
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import re
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from lab.ramp import SlowStartScenario, max_bound_ratio
from standins.catalog import Catalog
from standins.fleet import QUOTA, WORK
from standins.server import DispatchServer
from standins.traffic import KINDS, TENANTS, Result, arrivals, play, served_share

SERVERS, COLD, CORES = 10, 4, 2
LOAD, BURST = 0.7, 1.5
BEFORE, AWAY = (
    8.0,
    1.0,
)  # s of traffic before the start, and that a server is away before it comes back
MEAN = sum(kind.share * sum(WORK[kind.name]) / 2 for kind in KINDS)  # ms
RAMP = SlowStartScenario(cores=CORES, mean_work_ms=MEAN, ramp_ms=6000.0)


def config(number: int, nodes: int, discovery: str) -> dict[str, Any]:
    classes = [
        {
            "Name": kind.name, "Aim": kind.aim, "Deadline": kind.deadline, "Worth": kind.worth,
            "Window": 6000.0, "LateValue": 0.0, "Group": "all",
            "Idempotency": "guarded" if kind.keyed else "free",
        }
        for kind in KINDS
    ]  # fmt: skip
    customers = [
        {"Name": n, "QuotaPerS": QUOTA * share, "Portion": share} for n, share in TENANTS.items()
    ]
    return {
        "name": f"n{number}",
        "listen": "127.0.0.1:0",
        "discovery": discovery,
        "seed": f"{number + 1:016x}",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
        "settings": {
            "Allowed": {
                "ConnIdle": 15000.0, "DialTimeout": 1000.0, "MaxAttempts": 4, "MaxRetryAfter": 600.0,
                "RetryAfter": True,
            },
            "Azs": ["angyalfold"], "Classes": classes, "Customers": customers, "Discovery": "push",
            "Domain": {"WarmKeys": True}, "GroupSize": nodes, "Kinds": ["k2-fast", "k3-slow"], "Me": number,
            "Obligations": {
                "AskWithin": 10000.0, "DrainGrace": 500.0, "ColdFrom": RAMP.cold_from,
                "RampTime": RAMP.ramp_ms, "OverloadFor": RAMP.collapse_window_ms, "TipMultiple": RAMP.collapse_load_factor,
            },
            "OverShareWorth": 0.05, "Tick": 5.0,
        },
    }  # fmt: skip


class NodeProcess:
    """One `run` process."""

    async def start(self, folder: Path, number: int, nodes: int, discovery: str) -> NodeProcess:
        path = folder / f"n{number}.json"
        path.write_text(json.dumps(config(number, nodes, discovery)))
        environ = {
            name: value for name, value in os.environ.items() if not name.startswith("ROUTER_")
        }
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-B", "-m", "badgercart",
            env=environ | {"ROUTER_CONFIG": str(path)}, stderr=asyncio.subprocess.PIPE,
        )  # fmt: skip
        assert self.process.stderr is not None
        self.address = ""
        async for line in self.process.stderr:
            if found := re.search(r"listens on (127\.0\.0\.1:\d+)", line.decode()):
                self.address = found[1]
            if "list 1" in line.decode():
                break
        self.drained = asyncio.create_task(self.process.stderr.read())
        return self

    async def stop(self) -> None:
        self.process.kill()
        await self.process.wait()
        await self.drained


class Cold:
    """A server, and when its process began (monotonic clock; 0: long ago)."""

    def __init__(self, number: int, seed: int) -> None:
        self.server = DispatchServer(f"s-{number}", WORK, cores=CORES, queue=CORES, seed=seed)
        self.began = 0.0

    async def start(self) -> None:
        await self.server.start(self.server.port)
        self.began = time.monotonic()
        self.server.started_at, self.server.state = int(time.time() * 1000), "active"

    def age(self) -> None:
        """Its work takes as long as its age has it."""
        past = (time.monotonic() - self.began) * 1000
        self.server.slowness = 1.0 if not self.began else 1.0 / RAMP.speed_share(past)

    def count(self) -> tuple[int, float]:
        """What it was sent amid its ramp, and the most over its bound."""
        end = self.began + RAMP.ramp_ms / 1000
        times = [1000 * seen.at for seen in self.server.seen if self.began <= seen.at < end]
        return len(times), max_bound_ratio(times, [True] * len(times), 1000 * self.began, RAMP)


async def trial(way: str, nodes: int, seed: int, folder: Path) -> str:
    servers = [Cold(number + 1, seed) for number in range(SERVERS)]
    later = servers[-COLD:] if way != "all" else servers
    listed = servers[:-COLD] if way == "join" else servers
    for one in listed:
        await one.server.start()
    catalog = await Catalog([one.server.entry() for one in listed]).start()
    running = list(
        await asyncio.gather(
            *(NodeProcess().start(folder, n, nodes, catalog.address) for n in range(nodes))
        )
    )
    warm = 1000 * CORES / MEAN * SERVERS
    parts = [4.0 if n % 8 == 3 else 1.0 for n in range(nodes)]
    spans = {0.0: LOAD * len(listed) / SERVERS, BEFORE + AWAY: LOAD * BURST}
    ends = [BEFORE + AWAY, BEFORE + AWAY + RAMP.ramp_ms / 1000]
    playing: list[asyncio.Task[list[Result]]] = []

    async def ask(number: int, begin: float, end: float, rate: float) -> list[Result]:
        coming = list(arrivals(seed * 1000 + 10 * number + int(begin), rate, end - begin))
        return await play(running[number].address, coming)

    async def aging() -> None:
        while True:
            for one in later:
                one.age()
            await asyncio.sleep(0.05)

    clock = asyncio.create_task(aging())
    told = ""
    try:
        for (begin, load), end in zip(spans.items(), ends, strict=True):
            if begin:
                for one in later:
                    await one.start()
                catalog.change(*(one.server.entry() for one in later))
            rates = [load * warm * part / sum(parts) for part in parts]
            playing = [
                asyncio.create_task(ask(n, begin, end, rate)) for n, rate in enumerate(rates)
            ]
            if not begin:
                await asyncio.sleep(BEFORE)
                for one in later if way != "join" else []:
                    one.server.stop()
                    one.server.state = "left"
                if way != "join":
                    catalog.change(*(one.server.entry() for one in later))
            results = [result for part in await asyncio.gather(*playing) for result in part]
            told += f"  served {served_share(results):.2f}"
        counts = [one.count() for one in later]
        allowed = (
            RAMP.collapse_load_factor
            * RAMP.server_rate_per_ms
            * RAMP.ramp_ms
            * (1 + RAMP.cold_from)
            / 2
            * len(later)
        )
        fallen = sum(most > 1 for _, most in counts)
        sent = sum(count for count, _ in counts) / allowed
        closest_one = max(most for _, most in counts)
        return f"{way:5}{told}  of N sent {sent:.2f}  closest {closest_one:.2f} of its bound  fallen {fallen}"
    finally:
        clock.cancel()
        for node in running:
            await node.stop()
        catalog.stop()
        for one in servers:
            if one in listed or one.began:
                one.server.stop()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("--nodes", type=int, default=24)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--way", choices=("join", "back", "all"))
    asked = parser.parse_args()
    for way in [asked.way] if asked.way else ["join", "back", "all"]:
        with tempfile.TemporaryDirectory() as folder:
            print(asyncio.run(trial(way, asked.nodes, asked.seed, Path(folder))), flush=True)


if __name__ == "__main__":
    main()
