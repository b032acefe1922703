"""Measure how soon restarted processes are ready: `python -m benchmarks.readiness`.

Restarts thirty processes of the platform at once, under load, while discovery is slow, refuses
connections, or does not respond. Prints, by case, how many processes are ready, and the median, the
90th percentile and the maximum of three times: from the start of a process to its first status 200
on `/_health`, from listening to the same, and the processor time until then. The processor time is
about how long a process with a core of its own needs until it listens; processes that share few cores
need much longer. The duration of an outage counts from when half of the processes listen.
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
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from standins import http1
from standins.catalog import Catalog
from standins.fleet import Fleet
from standins.traffic import REQUEST_CLASSES, Result, draw_arrivals, send_request

SERVERS = 12
RATE_PER_NODE_PER_S = 4.0
# How long a process may take to become ready.
READY_TIMEOUT_S = 25.0
HEALTH_POLL_INTERVAL_S = 0.05
HEALTH_TIMEOUT_S = 1.0
OUTAGE_S = 4.0
# Time under load before the restart, and after all processes are ready.
LOAD_PERIOD_S = 2.0


class FaultyCatalog(Catalog):
    """A catalog that answers late, handles calls one after another, or does not respond.

    Attributes:
        delay: Time in s before each answer.
        cost: Time in s that a call takes while others wait.
    """

    def __init__(self, entries: list[dict[str, Any]]) -> None:
        super().__init__(entries)
        self.delay = 0.0
        self.cost = 0.0
        self.call_lock = asyncio.Lock()
        self.hung = False
        self.calls = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve a connection with the present fault."""
        self.calls += 1
        try:
            if self.hung:
                # Returns when the node closes the connection.
                await reader.read(-1)
                writer.close()
                return
            await asyncio.sleep(self.delay)
            if self.cost:
                async with self.call_lock:
                    await asyncio.sleep(self.cost)
        except (asyncio.CancelledError, ConnectionError):
            # The case has ended, or the node has closed the connection.
            writer.close()
            return
        await super().serve(reader, writer)

    def refuse(self) -> None:
        """Stop listening and close all watches."""
        self.server.close()
        self.abort_watches()

    def abort_watches(self) -> None:
        """Abort the connections of all watches."""
        for writer in list(self.watches):
            writer.transport.abort()

    async def listen(self) -> None:
        """Listen again at the same address."""
        self.server = await asyncio.start_server(self.serve, self.host, self.port)


@dataclass(slots=True, frozen=True)
class Case:
    """A fault of discovery at the restart.

    Attributes:
        delays: Delays to set on the catalog, by attribute name.
        outage: `refuse`, `silent`, or empty for none.
        duration_s: Duration of the outage.
        known_list: Whether processes know their last list.
    """

    delays: dict[str, float]
    outage: str = ""
    duration_s: float = 0.0
    known_list: bool = False


CASES: dict[str, Case] = {
    "well": Case({}),
    "answers take 2.5 s": Case({"delay": 2.5}),
    "in turn, 50 ms a call": Case({"cost": 0.05}),
    "refuses for 4 s": Case({}, "refuse", OUTAGE_S),
    "silent for 4 s": Case({}, "silent", OUTAGE_S),
    "known list, refuses for good": Case({}, "refuse", math.inf, known_list=True),
    "known list, silent for good": Case({}, "silent", math.inf, known_list=True),
}


def node_settings() -> dict[str, Any]:
    """Return the settings of a node."""
    classes = [
        {
            "Name": request_class.name, "Aim": request_class.aim_ms,
            "Deadline": request_class.deadline_ms, "Worth": request_class.worth,
            "Idempotency": "guarded" if request_class.keyed else "free", "Window": 6000.0,
        }
        for request_class in REQUEST_CLASSES
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


def processor_seconds(pid: int) -> float:
    """Return the processor time in seconds that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


class NodeProcess:
    """Process of a node of the platform, which can be restarted under its name."""

    def __init__(self, number: int, folder: Path) -> None:
        self.number, self.config_path = number, folder / f"n{number}.json"
        self.folder = folder
        self.address = ""

    async def start(self, discovery: str, known: dict[str, Any], seed: int) -> None:
        """Start the process with the list that it knows from before."""
        config = {
            "name": f"n{self.number}", "listen": "127.0.0.1:0", "discovery": discovery, "seed": f"{seed:x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": known,
            "settings": node_settings(),
        }  # fmt: skip
        self.config_path.write_text(json.dumps(config))
        self.started_at, self.listening_at, self.ready_at, self.processor_s = (
            time.monotonic(),
            math.inf,
            math.inf,
            math.inf,
        )
        command = (sys.executable, "-B", "-m", "badgercart")
        environ = {k: v for k, v in os.environ.items() if not k.startswith("ROUTER_")}
        self.process = await asyncio.create_subprocess_exec(
            *command,
            env=environ | {"ROUTER_CONFIG": str(self.config_path), "TMPDIR": str(self.folder)},
            stderr=asyncio.subprocess.PIPE,
        )
        self.reading = asyncio.get_running_loop().create_task(self.read_log())

    async def read_log(self) -> None:
        """Read the log and record when the process listens."""
        assert self.process.stderr is not None
        while line := (await self.process.stderr.readline()).decode():
            if match := re.search(r"listens on (\S+)", line):
                self.address, self.listening_at = match[1], time.monotonic()

    async def wait_until_ready(self) -> None:
        """Wait until the process is ready or the timeout is over."""
        while time.monotonic() < self.started_at + READY_TIMEOUT_S:
            if self.listening_at < math.inf and await self.healthy():
                self.ready_at, self.processor_s = (
                    time.monotonic(),
                    processor_seconds(self.process.pid),
                )
                return
            await asyncio.sleep(HEALTH_POLL_INTERVAL_S)

    async def healthy(self) -> bool:
        """Return whether the process answers `/_health` with status 200."""
        try:
            async with asyncio.timeout(HEALTH_TIMEOUT_S):
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

    async def stop(self, signal_number: signal.Signals = signal.SIGTERM) -> None:
        """Send the signal and wait for the end of the process."""
        self.process.send_signal(signal_number)
        await self.process.wait()
        await self.reading


async def send_traffic(node: NodeProcess, seed: int, results: list[tuple[float, Result]]) -> None:
    """Send traffic to one node until cancelled."""
    connections, start = http1.ConnectionPool(), time.monotonic()
    pending = set()

    async def send_and_record(arrival: Any) -> None:
        results.append((time.monotonic(), await send_request(node.address, arrival, connections)))

    try:
        for arrival in draw_arrivals(seed, RATE_PER_NODE_PER_S, 600.0):
            await asyncio.sleep(max(0.0, start + arrival.send_at_s - time.monotonic()))
            task = asyncio.ensure_future(send_and_record(arrival))
            pending.add(task)
            task.add_done_callback(pending.discard)
    finally:
        for task in pending:
            task.cancel()
        connections.close()


async def run_case(name: str, nodes: int) -> str:
    """Run one case and return its line of output."""
    case = CASES[name]
    fleet = await Fleet(SERVERS).start()
    catalog = FaultyCatalog([server.entry() for server in fleet.servers])
    await catalog.start()
    with tempfile.TemporaryDirectory() as folder:
        processes = [NodeProcess(number, Path(folder)) for number in range(nodes)]
        for process in processes:
            await process.start(catalog.address, {}, process.number + 1)
        await asyncio.gather(*(process.wait_until_ready() for process in processes))
        results: list[tuple[float, Result]] = []
        loads = [
            asyncio.ensure_future(send_traffic(process, process.number, results))
            for process in processes
        ]
        await asyncio.sleep(LOAD_PERIOD_S)
        await asyncio.gather(*(process.stop() for process in processes))
        for key, value in case.delays.items():
            setattr(catalog, key, value)
        if case.outage == "refuse":
            catalog.refuse()
        elif case.outage == "silent":
            catalog.hung = True
            catalog.abort_watches()
        known_list = (
            {"generation": 1, "reset": True, "instances": list(catalog.entries.values())}
            if case.known_list
            else {}
        )
        catalog.calls = 0
        for process in processes:
            await process.start(
                catalog.address, known_list, random.Random(process.number).getrandbits(60)
            )
        waiting = asyncio.gather(*(process.wait_until_ready() for process in processes))
        if case.duration_s < math.inf:
            while sum(process.listening_at < math.inf for process in processes) < nodes / 2:
                await asyncio.sleep(HEALTH_POLL_INTERVAL_S)
            await asyncio.sleep(case.duration_s)
            catalog.hung = False
            if case.outage == "refuse":
                await catalog.listen()
        await waiting
        all_ready_at = max(
            (process.ready_at for process in processes if process.ready_at < math.inf),
            default=time.monotonic(),
        )
        await asyncio.sleep(LOAD_PERIOD_S)
        for task in loads:
            task.cancel()
        await asyncio.gather(*loads, return_exceptions=True)
        statuses = Counter(result.status for at, result in results if at > all_ready_at)
        await asyncio.gather(*(process.stop(signal.SIGKILL) for process in processes))
    catalog.stop()
    await fleet.stop()
    ready_count = sum(process.ready_at < math.inf for process in processes)
    since_start = format_quantiles([process.ready_at - process.started_at for process in processes])
    since_listening = format_quantiles(
        [process.ready_at - process.listening_at for process in processes]
    )
    processor_time = format_quantiles([process.processor_s for process in processes])
    return (
        f"{name:30} {ready_count:3} of {nodes} ready; from its start {since_start}; from listening {since_listening}; "
        f"processor {processor_time}; "
        f"{catalog.calls} calls; answers from then on {dict(statuses)}"
    )


def format_quantiles(times: list[float]) -> str:
    """Return the median, the 90th percentile and the maximum as text."""
    times = sorted(math.inf if math.isnan(t) else t for t in times)
    median, percentile_90 = times[len(times) // 2], times[math.ceil(0.9 * len(times)) - 1]
    return f"{median:.1f}, {percentile_90:.1f}, {times[-1]:.1f} s"


def main() -> int:
    """Run the cases that the command line asks for."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.readiness", description=__doc__)
    parser.add_argument("--nodes", type=int, default=30, help="processes (30)")
    parser.add_argument("--case", action="append", choices=list(CASES), help="only these")
    arguments = parser.parse_args()
    print("median, nine in ten, worst:")
    for name in arguments.case or CASES:
        print(asyncio.run(run_case(name, arguments.nodes)), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
