"""What the operator's surface costs: the HTTP front bare, with metrics, and with a line a request,
too.

`python -m benchmarks.operator` plays the same closed-loop load against `serve` three ways in turn,
over and over, and prints each way's throughput as a share of the bare one's, beside starts and peak
memory of `serve` and of the platform's node. `--against DIR` takes another checkout of this program
into the turn.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import os
import random
import re
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Sequence
from pathlib import Path

import uvloop

CLIENTS = 24
READY = 20.0  # s for a node to come up
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
FILE = """\
[[class]]
name = "find"
aim_ms = 5000
deadline_ms = 9000
worth = 2
effect = "safe"
[fronts.http]
listen = "127.0.0.1:0"
"""
# As many as there are clients: with fewer the node would shed, and what is refused costs less.
SERVER = """\
[[members.server]]
name = "s-{number}"
address = "127.0.0.1:{port}"
"""


def installation(port: int) -> str:
    return FILE + "".join(SERVER.format(number=number, port=port) for number in range(CLIENTS))


METRICS = '[metrics]\nlisten = "127.0.0.1:0"\n'
WAYS = {
    "bare": "",  # its log has no line but at its start
    "metrics": METRICS,
    "a line a request": METRICS + '[log]\nlevel = "debug"\n',
}


async def answer_all(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
        while True:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(ANSWER)


class Node:
    """`serve` of one checkout, on a core of its own."""

    def __init__(self, text: str, root: Path) -> None:
        self.text, self.root = text, root

    async def __aenter__(self) -> Node:
        self.folder = tempfile.TemporaryDirectory()
        path = Path(self.folder.name) / "site.toml"
        path.write_text(self.text)
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-B", "-m", "badgercart", "serve", str(path),
            cwd=self.root, stderr=asyncio.subprocess.PIPE,
        )  # fmt: skip
        with contextlib.suppress(OSError, AttributeError):
            os.sched_setaffinity(self.process.pid, {max(os.sched_getaffinity(0))})
        assert self.process.stderr is not None
        while True:
            line = (await asyncio.wait_for(self.process.stderr.readline(), READY)).decode()
            if not line:
                raise RuntimeError("the node did not come up")
            # Words or fields, as the checkout has them.
            match = re.search(r"listens on 127\.0\.0\.1:(\d+)", line)
            if match is not None and "metrics" not in line:
                self.port = int(match[1])
                break
        self.reading = asyncio.ensure_future(self.drink())
        return self

    async def drink(self) -> None:
        assert self.process.stderr is not None
        while await self.process.stderr.read(65536):
            pass

    async def __aexit__(self, *_: object) -> None:
        self.process.kill()
        await self.process.wait()
        await self.reading
        self.folder.cleanup()

    def cpu(self) -> float:
        """Seconds of its core that it has used."""
        with open(f"/proc/{self.process.pid}/stat") as file:
            fields = file.read().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def load(port: int, seconds: float) -> int:
    """Requests answered 200 by so many clients, each with one out at a time."""
    end, served = time.perf_counter() + seconds, 0

    async def client(number: int) -> None:
        nonlocal served
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        count = 0
        while time.perf_counter() < end:
            count += 1
            writer.write(
                b"GET /find/cab%d HTTP/1.1\r\nHost: b\r\nRequest-Id: c%d-%d\r\nRequest-Timeout: 8000m\r\n\r\n"
                % (number, number, count)
            )
            head = await reader.readuntil(b"\r\n\r\n")
            if head.startswith(b"HTTP/1.1 200"):
                await reader.readexactly(4)
                served += 1
        writer.close()

    await asyncio.gather(*(client(number) for number in range(CLIENTS)))
    return served


async def throughput(seconds: float, rounds: int, against: Path | None) -> None:
    server = await asyncio.start_server(answer_all, "127.0.0.1", 0)
    base = installation(server.sockets[0].getsockname()[1])
    here = Path.cwd()
    ways = {name: (base + more, here) for name, more in WAYS.items()}
    if against is not None:
        ways["the other checkout"] = (base, against)
    async with contextlib.AsyncExitStack() as stack:
        nodes = {name: await stack.enter_async_context(Node(*way)) for name, way in ways.items()}
        rates: dict[str, list[float]] = {name: [] for name in nodes}
        costs: dict[str, list[float]] = {name: [] for name in nodes}
        rng = random.Random(7)
        for turn in range(rounds + 1):  # the first warms up
            for name, node in rng.sample(list(nodes.items()), len(nodes)):
                cpu = node.cpu()
                served = await load(node.port, seconds)
                if turn:
                    rates[name].append(served / seconds)
                    costs[name].append((node.cpu() - cpu) / max(1, served) * 1e6)
    server.close()
    first = statistics.median(costs["bare"])
    for name in nodes:
        rate, cost = statistics.median(rates[name]), statistics.median(costs[name])
        print(
            f"{name:20} {rate:7.0f} a second, {cost:5.0f} µs of a core each: {first / cost:.3f} of bare"
        )


def start(
    name: str, command: Sequence[str], root: Path, environ: dict[str, str], mark: str
) -> None:
    """Time from the start to a line of the log, and peak memory, of five processes."""
    times, peaks = [], []
    for _ in range(5):
        begun = time.perf_counter()
        process = subprocess.Popen(
            [sys.executable, "-B", "-m", "badgercart", *command],
            cwd=root, env=os.environ | environ, stderr=subprocess.PIPE, text=True,
        )  # fmt: skip
        assert process.stderr is not None
        for line in process.stderr:
            if mark in line:
                break
        times.append((time.perf_counter() - begun) * 1000)
        status = Path(f"/proc/{process.pid}/status").read_text()
        match = re.search(r"VmHWM:\s+(\d+)", status)
        peaks.append(int(match[1]) / 1024 if match else 0.0)
        process.kill()
        process.wait()
        process.stderr.close()
    print(
        f"{name:34} {statistics.median(times):5.0f} ms to listen, {statistics.median(peaks):5.1f} MiB at most"
    )


def starts(roots: dict[str, Path]) -> None:
    settings = {
        "Classes": [
            {"Name": "find", "Aim": 5000.0, "Deadline": 9000.0, "Idempotency": "free", "Worth": 1.0}
        ],
        "Allowed": {
            "MaxAttempts": 3,
            "MaxRetryAfter": 2000.0,
            "DialTimeout": 5000.0,
            "ConnIdle": 15000.0,
        },
        "Obligations": {"DrainGrace": 500.0, "ColdFrom": 0.3, "RampTime": 9000.0},
        "Discovery": "ask",
        "Tick": 5.0,
    }
    raw = {
        "name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "8c1f",
        "limits": {"sockets": 1024}, "settings": settings,
    }  # fmt: skip
    with tempfile.TemporaryDirectory() as folder:
        config, site = Path(folder) / "config.json", Path(folder) / "site.toml"
        config.write_text(json.dumps(raw))
        site.write_text(installation(1))
        for name, root in roots.items():
            start(
                f"the platform's node, {name}",
                [],
                root,
                {"ROUTER_CONFIG": str(config)},
                "listens on",
            )
            start(f"serve, {name}", ["serve", str(site)], root, {}, "listens on")


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m benchmarks.operator", description=__doc__)
    parser.add_argument("--seconds", type=float, default=2.0, help="of each way in each round (2)")
    parser.add_argument("--rounds", type=int, default=7, help="rounds (7)")
    parser.add_argument(
        "--against", type=Path, metavar="DIR", help="another checkout, to compare with"
    )
    chosen = parser.parse_args()
    uvloop.run(throughput(chosen.seconds, chosen.rounds, chosen.against))
    starts({"here": Path.cwd()} | ({"there": chosen.against} if chosen.against else {}))
    return 0


if __name__ == "__main__":
    sys.exit(main())
