"""Measure the load of many nodes on cold servers: `python -m benchmarks.cold [--nodes 24] [--seed 1]`.

Starts many real `run` processes in front of servers that start cold while the traffic grows by half:
some servers join, some return under their own ids, or all start at once. One in eight nodes gets four
times an even part of the traffic. The results come from the records of the servers. With N as the
number of requests that the settings allow, they are the highest number of requests that one server
got within the collapse window, relative to N + 2 * sqrt(N) + 2, and the share of N that all servers
got. A third of N is certainly within the capacity of a server of that age.
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
from standins.traffic import (
    REQUEST_CLASSES,
    TENANTS,
    Result,
    draw_arrivals,
    send_arrivals,
    served_share,
)

SERVERS = 10
COLD_SERVERS = 4
CORES_PER_SERVER = 2
# Load as a share of the warm capacity of all servers, and its growth while servers are cold.
LOAD = 0.7
LOAD_GROWTH = 1.5
TRAFFIC_BEFORE_START_S = 8.0
# How long a server is away before it returns.
ABSENCE_S = 1.0
MEAN_WORK_MS = sum(
    request_class.share * sum(WORK[request_class.name]) / 2 for request_class in REQUEST_CLASSES
)
RAMP = SlowStartScenario(cores=CORES_PER_SERVER, mean_work_ms=MEAN_WORK_MS, ramp_ms=6000.0)


def node_config(number: int, nodes: int, discovery: str) -> dict[str, Any]:
    """Return the configuration of a node process."""
    classes = [
        {
            "Name": request_class.name, "Aim": request_class.aim_ms,
            "Deadline": request_class.deadline_ms, "Worth": request_class.worth,
            "Window": 6000.0, "LateValue": 0.0, "Group": "all",
            "Idempotency": "guarded" if request_class.keyed else "free",
        }
        for request_class in REQUEST_CLASSES
    ]  # fmt: skip
    tenants = [
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
            "Azs": ["angyalfold"], "Classes": classes, "Customers": tenants, "Discovery": "push",
            "Domain": {"WarmKeys": True}, "GroupSize": nodes, "Kinds": ["k2-fast", "k3-slow"], "Me": number,
            "Obligations": {
                "AskWithin": 10000.0, "DrainGrace": 500.0, "ColdFrom": RAMP.cold_from,
                "RampTime": RAMP.ramp_ms, "OverloadFor": RAMP.collapse_window_ms, "TipMultiple": RAMP.collapse_load_factor,
            },
            "OverShareWorth": 0.05, "Tick": 5.0,
        },
    }  # fmt: skip


class NodeProcess:
    """Process of one node, started by its configuration."""

    async def start(self, folder: Path, number: int, nodes: int, discovery: str) -> NodeProcess:
        """Start the node and wait until it has read its first endpoint list."""
        path = folder / f"n{number}.json"
        path.write_text(json.dumps(node_config(number, nodes, discovery)))
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
            if match := re.search(r"listens on (127\.0\.0\.1:\d+)", line.decode()):
                self.address = match[1]
            if "list 1" in line.decode():
                break
        self.draining = asyncio.create_task(self.process.stderr.read())
        return self

    async def stop(self) -> None:
        """Kill the process and wait for its end."""
        self.process.kill()
        await self.process.wait()
        await self.draining


class RampingServer:
    """A server that speeds up after its start.

    `started_at_s` is the start in monotonic time; 0 stands for a server that is warm.
    """

    def __init__(self, number: int, seed: int) -> None:
        self.dispatch_server = DispatchServer(
            f"s-{number}", WORK, cores=CORES_PER_SERVER, queue_limit=CORES_PER_SERVER, seed=seed
        )
        self.started_at_s = 0.0

    async def start(self) -> None:
        """Start the server cold."""
        await self.dispatch_server.start(self.dispatch_server.port)
        self.started_at_s = time.monotonic()
        self.dispatch_server.started_at_ms, self.dispatch_server.state = (
            int(time.time() * 1000),
            "active",
        )

    def update_speed(self) -> None:
        """Set the speed of the server by its age."""
        age_ms = (time.monotonic() - self.started_at_s) * 1000
        self.dispatch_server.service_time_factor = (
            1.0 if not self.started_at_s else 1.0 / RAMP.speed_share(age_ms)
        )

    def ramp_load(self) -> tuple[int, float]:
        """Return the number of requests during the ramp, and the highest load over its bound."""
        end = self.started_at_s + RAMP.ramp_ms / 1000
        times = [
            1000 * request.received_at_s
            for request in self.dispatch_server.received_requests
            if self.started_at_s <= request.received_at_s < end
        ]
        return len(times), max_bound_ratio(
            times, [True] * len(times), 1000 * self.started_at_s, RAMP
        )


async def run_trial(start_mode: str, nodes: int, seed: int, folder: Path) -> str:
    """Run one trial and return its line of output."""
    servers = [RampingServer(number + 1, seed) for number in range(SERVERS)]
    cold_servers = servers[-COLD_SERVERS:] if start_mode != "all" else servers
    listed_servers = servers[:-COLD_SERVERS] if start_mode == "join" else servers
    for server in listed_servers:
        await server.dispatch_server.start()
    catalog = await Catalog([server.dispatch_server.entry() for server in listed_servers]).start()
    node_processes = list(
        await asyncio.gather(
            *(NodeProcess().start(folder, n, nodes, catalog.address) for n in range(nodes))
        )
    )
    warm_rate_per_s = 1000 * CORES_PER_SERVER / MEAN_WORK_MS * SERVERS
    weights = [4.0 if n % 8 == 3 else 1.0 for n in range(nodes)]
    load_by_begin_s = {
        0.0: LOAD * len(listed_servers) / SERVERS,
        TRAFFIC_BEFORE_START_S + ABSENCE_S: LOAD * LOAD_GROWTH,
    }
    ends = [
        TRAFFIC_BEFORE_START_S + ABSENCE_S,
        TRAFFIC_BEFORE_START_S + ABSENCE_S + RAMP.ramp_ms / 1000,
    ]
    sending: list[asyncio.Task[list[Result]]] = []

    async def send_traffic(number: int, begin: float, end: float, rate: float) -> list[Result]:
        traffic = list(draw_arrivals(seed * 1000 + 10 * number + int(begin), rate, end - begin))
        return await send_arrivals(node_processes[number].address, traffic)

    async def update_speeds() -> None:
        while True:
            for server in cold_servers:
                server.update_speed()
            await asyncio.sleep(0.05)

    aging_task = asyncio.create_task(update_speeds())
    text = ""
    try:
        for (begin, load), end in zip(load_by_begin_s.items(), ends, strict=True):
            if begin:
                for server in cold_servers:
                    await server.start()
                catalog.change(*(server.dispatch_server.entry() for server in cold_servers))
            rates = [load * warm_rate_per_s * weight / sum(weights) for weight in weights]
            sending = [
                asyncio.create_task(send_traffic(n, begin, end, rate))
                for n, rate in enumerate(rates)
            ]
            if not begin:
                await asyncio.sleep(TRAFFIC_BEFORE_START_S)
                for server in cold_servers if start_mode != "join" else []:
                    server.dispatch_server.stop()
                    server.dispatch_server.state = "left"
                if start_mode != "join":
                    catalog.change(*(server.dispatch_server.entry() for server in cold_servers))
            results = [result for part in await asyncio.gather(*sending) for result in part]
            text += f"  served {served_share(results):.2f}"
        loads = [server.ramp_load() for server in cold_servers]
        allowed = (
            RAMP.collapse_load_factor
            * RAMP.server_rate_per_ms
            * RAMP.ramp_ms
            * (1 + RAMP.cold_from)
            / 2
            * len(cold_servers)
        )
        overloaded = sum(peak > 1 for _, peak in loads)
        sent = sum(count for count, _ in loads) / allowed
        peak_load = max(peak for _, peak in loads)
        return f"{start_mode:5}{text}  of N sent {sent:.2f}  closest {peak_load:.2f} of its bound  fallen {overloaded}"
    finally:
        aging_task.cancel()
        for node in node_processes:
            await node.stop()
        catalog.stop()
        for server in servers:
            if server in listed_servers or server.started_at_s:
                server.dispatch_server.stop()


def main() -> None:
    """Run the trials that the command line asks for."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("--nodes", type=int, default=24)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--way", choices=("join", "back", "all"))
    arguments = parser.parse_args()
    for start_mode in [arguments.way] if arguments.way else ["join", "back", "all"]:
        with tempfile.TemporaryDirectory() as folder:
            print(
                asyncio.run(run_trial(start_mode, arguments.nodes, arguments.seed, Path(folder))),
                flush=True,
            )


if __name__ == "__main__":
    main()
