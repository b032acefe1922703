"""Measure the cost of metrics and of logging each request in the HTTP frontend.

`python -m benchmarks.operator` sends the same closed-loop load to three variants of `serve` in turn:
bare, with metrics, and with metrics and a log line per request. It prints the throughput of each
variant relative to the bare one, and the startup time and peak memory of `serve` and of the node that
is configured by the platform. `--against DIR` adds another checkout of this program as a variant.
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
STARTUP_TIMEOUT_S = 20.0
# Each startup time and peak memory is the median of so many starts.
STARTS = 5
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
SETTINGS = """\
[[class]]
name = "find"
aim_ms = 5000
deadline_ms = 9000
worth = 2
effect = "safe"
[fronts.http]
listen = "127.0.0.1:0"
"""
# One server for each client. With fewer the node would shed requests, and a rejected request costs
# less.
SERVER_TABLE = """\
[[members.server]]
name = "s-{number}"
address = "127.0.0.1:{port}"
"""


def settings_file(port: int) -> str:
    """Return the settings of a node whose servers all listen on this port."""
    return SETTINGS + "".join(
        SERVER_TABLE.format(number=number, port=port) for number in range(CLIENTS)
    )


METRICS_TABLE = '[metrics]\nlisten = "127.0.0.1:0"\n'
VARIANTS = {
    # Logs only its start.
    "bare": "",
    "metrics": METRICS_TABLE,
    "a line a request": METRICS_TABLE + '[log]\nlevel = "debug"\n',
}


async def answer_all(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answer each request on a connection."""
    with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
        while True:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(RESPONSE)


class NodeProcess:
    """Process of `serve` from one checkout, pinned to one core."""

    def __init__(self, text: str, root: Path) -> None:
        self.text, self.root = text, root

    async def __aenter__(self) -> NodeProcess:
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
            line = (
                await asyncio.wait_for(self.process.stderr.readline(), STARTUP_TIMEOUT_S)
            ).decode()
            if not line:
                raise RuntimeError("the node did not start")
            # Matches the message and the fields of the log event; checkouts differ in which they log.
            match = re.search(r"listens on 127\.0\.0\.1:(\d+)", line)
            if match is not None and "metrics" not in line:
                self.port = int(match[1])
                break
        self.reading = asyncio.ensure_future(self.discard_log())
        return self

    async def discard_log(self) -> None:
        """Read the log until the process ends, so that its pipe never fills."""
        assert self.process.stderr is not None
        while await self.process.stderr.read(65536):
            pass

    async def __aexit__(self, *_: object) -> None:
        self.process.kill()
        await self.process.wait()
        await self.reading
        self.folder.cleanup()

    def processor_seconds(self) -> float:
        """Return the processor time in seconds that the process has used."""
        with open(f"/proc/{self.process.pid}/stat") as file:
            fields = file.read().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def send_load(port: int, seconds: float) -> int:
    """Send requests from all clients, one at a time each, and return how many got status 200."""
    end, served = time.perf_counter() + seconds, 0

    async def client(index: int) -> None:
        nonlocal served
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        sequence = 0
        while time.perf_counter() < end:
            sequence += 1
            writer.write(
                b"GET /find/cab%d HTTP/1.1\r\nHost: b\r\nRequest-Id: c%d-%d\r\nRequest-Timeout: 8000m\r\n\r\n"
                % (index, index, sequence)
            )
            head = await reader.readuntil(b"\r\n\r\n")
            if head.startswith(b"HTTP/1.1 200"):
                await reader.readexactly(4)
                served += 1
        writer.close()

    await asyncio.gather(*(client(index) for index in range(CLIENTS)))
    return served


async def measure_throughput(seconds: float, rounds: int, against: Path | None) -> None:
    """Measure all variants in random order in each round and print their throughput."""
    server = await asyncio.start_server(answer_all, "127.0.0.1", 0)
    base = settings_file(server.sockets[0].getsockname()[1])
    this_root = Path.cwd()
    variants = {name: (base + extra_tables, this_root) for name, extra_tables in VARIANTS.items()}
    if against is not None:
        variants["the other checkout"] = (base, against)
    async with contextlib.AsyncExitStack() as stack:
        nodes = {
            name: await stack.enter_async_context(NodeProcess(*variant))
            for name, variant in variants.items()
        }
        rates: dict[str, list[float]] = {name: [] for name in nodes}
        costs_us: dict[str, list[float]] = {name: [] for name in nodes}
        rng = random.Random(7)
        # The first round only warms up.
        for round_number in range(rounds + 1):
            for name, node in rng.sample(list(nodes.items()), len(nodes)):
                processor_s_before = node.processor_seconds()
                served = await send_load(node.port, seconds)
                if round_number:
                    rates[name].append(served / seconds)
                    costs_us[name].append(
                        (node.processor_seconds() - processor_s_before) / max(1, served) * 1e6
                    )
    server.close()
    bare_cost_us = statistics.median(costs_us["bare"])
    for name in nodes:
        rate, cost_us = statistics.median(rates[name]), statistics.median(costs_us[name])
        print(
            f"{name:20} {rate:7.0f} a second, {cost_us:5.0f} µs of a core each: {bare_cost_us / cost_us:.3f} of bare"
        )


def measure_start(
    name: str, command: Sequence[str], root: Path, environ: dict[str, str], marker: str
) -> None:
    """Print the median time until a log line with the marker, and the median peak memory."""
    times_ms, peaks_mib = [], []
    for _ in range(STARTS):
        started_at = time.perf_counter()
        process = subprocess.Popen(
            [sys.executable, "-B", "-m", "badgercart", *command],
            cwd=root, env=os.environ | environ, stderr=subprocess.PIPE, text=True,
        )  # fmt: skip
        assert process.stderr is not None
        for line in process.stderr:
            if marker in line:
                break
        times_ms.append((time.perf_counter() - started_at) * 1000)
        status = Path(f"/proc/{process.pid}/status").read_text()
        match = re.search(r"VmHWM:\s+(\d+)", status)
        peaks_mib.append(int(match[1]) / 1024 if match else 0.0)
        process.kill()
        process.wait()
        process.stderr.close()
    print(
        f"{name:34} {statistics.median(times_ms):5.0f} ms to listen, {statistics.median(peaks_mib):5.1f} MiB at most"
    )


def measure_starts(roots: dict[str, Path]) -> None:
    """Measure the start of both kinds of node from each checkout."""
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
    node_config = {
        "name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "8c1f",
        "limits": {"sockets": 1024}, "settings": settings,
    }  # fmt: skip
    with tempfile.TemporaryDirectory() as folder:
        config_path, settings_path = Path(folder) / "config.json", Path(folder) / "site.toml"
        config_path.write_text(json.dumps(node_config))
        settings_path.write_text(settings_file(1))
        for name, root in roots.items():
            measure_start(
                f"the platform's node, {name}",
                [],
                root,
                {"ROUTER_CONFIG": str(config_path)},
                "listens on",
            )
            measure_start(f"serve, {name}", ["serve", str(settings_path)], root, {}, "listens on")


def main() -> int:
    """Run the benchmark that the command line asks for."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.operator", description=__doc__)
    parser.add_argument("--seconds", type=float, default=2.0, help="of each way in each round (2)")
    parser.add_argument("--rounds", type=int, default=7, help="rounds (7)")
    parser.add_argument(
        "--against", type=Path, metavar="DIR", help="another checkout, to compare with"
    )
    arguments = parser.parse_args()
    uvloop.run(measure_throughput(arguments.seconds, arguments.rounds, arguments.against))
    measure_starts(
        {"here": Path.cwd()} | ({"there": arguments.against} if arguments.against else {})
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
