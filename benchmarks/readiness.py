"""How soon restarted processes are ready: `python -m benchmarks.readiness`.

Thirty of the platform's processes are restarted at once, under load, while discovery is slow,
refuses, or is down. Prints, by case, how many are ready, and the median, nine in ten and the worst
of the time from a process's start to its first yes on `/_health`, of that from when it listens, and
of its processor time until then: on a core of its own it listens after about so long, on few cores
for all of them much later. An outage ends so long after half of them listen.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import math
import os
import random
import re
import signal
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import Any

from standins import http1
from standins.catalog import Catalog
from standins.fleet import Fleet
from standins.traffic import KINDS, Result, arrivals, ask

SERVERS = 12
PER_NODE = 4.0  # requests a second
TRIES = 25.0  # s for a process to be ready in
POLL = 0.05  # s between looks at `/_health`
OUTAGE = 4.0  # s


class Slow(Catalog):
    """A catalog that answers late, works through calls in turn, or says nothing."""

    def __init__(self, entries: list[dict[str, Any]]) -> None:
        super().__init__(entries)
        self.delay = 0.0  # s that each answer takes
        self.cost = 0.0  # s of work for a call
        self.turn = asyncio.Lock()
        self.hung = False
        self.calls = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.calls += 1
        try:
            if self.hung:
                await reader.read(-1)  # until the node leaves
                writer.close()
                return
            await asyncio.sleep(self.delay)
            if self.cost:
                async with self.turn:
                    await asyncio.sleep(self.cost)
        except (asyncio.CancelledError, ConnectionError):  # the case is over, or the node has gone
            writer.close()
            return
        await super().serve(reader, writer)

    def refuse(self) -> None:
        self.server.close()
        self.hang_up()

    def hang_up(self) -> None:
        for writer in list(self.watches):
            writer.transport.abort()

    async def listen(self) -> None:
        self.server = await asyncio.start_server(self.serve, self.host, self.port)


# By case: what befalls discovery at the restart, for how long, and whether processes know their
# last list.
CASES: dict[str, tuple[dict[str, float], str, float, bool]] = {
    "well": ({}, "", 0.0, False),
    "answers take 2.5 s": ({"delay": 2.5}, "", 0.0, False),
    "in turn, 50 ms a call": ({"cost": 0.05}, "", 0.0, False),
    "refuses for 4 s": ({}, "refuse", OUTAGE, False),
    "silent for 4 s": ({}, "silent", OUTAGE, False),
    "known list, refuses for good": ({}, "refuse", math.inf, True),
    "known list, silent for good": ({}, "silent", math.inf, True),
}


def settings() -> dict[str, Any]:
    classes = [
        {
            "Name": kind.name, "Aim": kind.aim, "Deadline": kind.deadline, "Worth": kind.worth,
            "Idempotency": "guarded" if kind.keyed else "free", "Window": 6000.0,
        }
        for kind in KINDS
    ]  # fmt: skip
    return {
        "Allowed": {
            "MaxAttempts": 3, "MaxRetryAfter": 2000.0, "RetryAfter": True,
            "DialTimeout": 1000.0, "ConnIdle": 15000.0,
        },
        "Classes": classes,
        "Discovery": "ask",
        "Obligations": {"DrainGrace": 500.0, "ColdFrom": 0.3, "RampTime": 9000.0},
        "Tick": 1.0,
    }  # fmt: skip


def used(process: int) -> float:
    """s of processor time that a process has used."""
    fields = Path(f"/proc/{process}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


class NodeProcess:
    """One process of the platform's, started again and again under its name."""

    def __init__(self, number: int, folder: Path) -> None:
        self.number, self.file = number, folder / f"n{number}.json"
        self.folder = folder
        self.address = ""

    async def start(self, discovery: str, known: dict[str, Any], seed: int) -> None:
        config = {
            "name": f"n{self.number}", "listen": "127.0.0.1:0", "discovery": discovery, "seed": f"{seed:x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": known,
            "settings": settings(),
        }  # fmt: skip
        self.file.write_text(json.dumps(config))
        self.begun, self.listens, self.ready, self.used = (
            time.monotonic(),
            math.inf,
            math.inf,
            math.inf,
        )
        command = (sys.executable, "-B", "-m", "badgercart")
        environ = {k: v for k, v in os.environ.items() if not k.startswith("ROUTER_")}
        self.process = await asyncio.create_subprocess_exec(
            *command,
            env=environ | {"ROUTER_CONFIG": str(self.file), "TMPDIR": str(self.folder)},
            stderr=asyncio.subprocess.PIPE,
        )
        self.reading = asyncio.get_running_loop().create_task(self.read())

    async def read(self) -> None:
        assert self.process.stderr is not None
        while line := (await self.process.stderr.readline()).decode():
            if found := re.search(r"listens on (\S+)", line):
                self.address, self.listens = found[1], time.monotonic()

    async def watch(self) -> None:
        """Until it is ready, or its time is over."""
        while time.monotonic() < self.begun + TRIES:
            if self.listens < math.inf and await self.healthy():
                self.ready, self.used = time.monotonic(), used(self.process.pid)
                return
            await asyncio.sleep(POLL)

    async def healthy(self) -> bool:
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(*self.address.rsplit(":", 1))
                try:
                    writer.write(
                        http1.request("GET", "/_health", {"host": "n", "connection": "close"})
                    )
                    return (await http1.read_message(reader)).status == 200
                finally:
                    writer.close()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            return False

    async def stop(self, how: signal.Signals = signal.SIGTERM) -> None:
        self.process.send_signal(how)
        await self.process.wait()
        await self.reading


async def load(node: NodeProcess, seed: int, results: list[tuple[float, Result]]) -> None:
    """Clients of one node, for as long as they are let."""
    connections, start = http1.Connections(), time.monotonic()
    asking = set()

    async def one(arrival: Any) -> None:
        results.append((time.monotonic(), await ask(node.address, arrival, connections)))

    try:
        for arrival in arrivals(seed, PER_NODE, 600.0):
            await asyncio.sleep(max(0.0, start + arrival.at - time.monotonic()))
            task = asyncio.ensure_future(one(arrival))
            asking.add(task)
            task.add_done_callback(asking.discard)
    finally:
        for task in asking:
            task.cancel()
        connections.close()


async def play(name: str, nodes: int) -> str:
    how, outage, lasts, known = CASES[name]
    fleet = await Fleet(SERVERS).start()
    catalog = Slow([server.entry() for server in fleet.servers])
    await catalog.start()
    with tempfile.TemporaryDirectory() as folder:
        processes = [NodeProcess(number, Path(folder)) for number in range(nodes)]
        for process in processes:
            await process.start(catalog.address, {}, process.number + 1)
        await asyncio.gather(*(process.watch() for process in processes))
        results: list[tuple[float, Result]] = []
        loads = [
            asyncio.ensure_future(load(process, process.number, results)) for process in processes
        ]
        await asyncio.sleep(2.0)
        await asyncio.gather(*(process.stop() for process in processes))
        for key, value in how.items():
            setattr(catalog, key, value)
        if outage == "refuse":
            catalog.refuse()
        elif outage == "silent":
            catalog.hung = True
            catalog.hang_up()
        last = (
            {"generation": 1, "reset": True, "instances": list(catalog.entries.values())}
            if known
            else {}
        )
        catalog.calls = 0
        for process in processes:
            await process.start(
                catalog.address, last, random.Random(process.number).getrandbits(60)
            )
        watching = asyncio.gather(*(process.watch() for process in processes))
        if lasts < math.inf:
            while sum(process.listens < math.inf for process in processes) < nodes / 2:
                await asyncio.sleep(POLL)
            await asyncio.sleep(lasts)
            catalog.hung = False
            if outage == "refuse":
                await catalog.listen()
        await watching
        over = max((p.ready for p in processes if p.ready < math.inf), default=time.monotonic())
        await asyncio.sleep(2.0)
        for task in loads:
            task.cancel()
        await asyncio.gather(*loads, return_exceptions=True)
        answers = Counter(result.status for at, result in results if at > over)
        await asyncio.gather(*(process.stop(signal.SIGKILL) for process in processes))
    catalog.stop()
    await fleet.stop()
    ready = sum(p.ready < math.inf for p in processes)
    start = quantiles([p.ready - p.begun for p in processes])
    listening = quantiles([p.ready - p.listens for p in processes])
    processor = quantiles([p.used for p in processes])
    return (
        f"{name:30} {ready:3} of {nodes} ready; from its start {start}; from listening {listening}; "
        f"processor {processor}; "
        f"{catalog.calls} calls; answers from then on {dict(answers)}"
    )


def quantiles(times: list[float]) -> str:
    times = sorted(math.inf if math.isnan(t) else t for t in times)
    middle, nine = times[len(times) // 2], times[math.ceil(0.9 * len(times)) - 1]
    return f"{middle:.1f}, {nine:.1f}, {times[-1]:.1f} s"


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m benchmarks.readiness", description=__doc__)
    parser.add_argument("--nodes", type=int, default=30, help="processes (30)")
    parser.add_argument("--case", action="append", choices=list(CASES), help="only these")
    chosen = parser.parse_args()
    print("median, nine in ten, worst:")
    for name in chosen.case or CASES:
        print(asyncio.run(play(name, chosen.nodes)), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
