"""The demo: a small fleet, its list, a node with all its fronts, and traffic, in one live table.

`--json --seconds N` prints one line once all is ready, without traffic or troubles, and serves for
N seconds.
"""

from __future__ import annotations

import argparse
import asyncio
import itertools
import json
import random
import signal
import sys
import tempfile
import time
from collections import Counter, deque
from pathlib import Path

from standins import http1
from standins.fleet import Fleet, operators_file
from standins.graphql import SCHEMA_FILE
from standins.proxy import Proxy
from standins.server import DispatchServer
from standins.traffic import REQUEST_CLASSES, Arrival, Result, draw_arrivals, send_request

SERVER_COUNT = 8
# About two thirds of the capacity of the fleet.
RATE_PER_S = 110.0
# The share of the traffic that goes through the proxy and the external processor.
PROXY_SHARE = 0.3
READY_TIMEOUT_S = 30.0
PAINT_INTERVAL_S = 0.5
# Without a terminal the table is printed at every tenth repaint.
REPAINTS_PER_PRINT = 10
# The table shows the requests of this last period.
TABLE_PERIOD_S = 10.0
# The frontend that each log event announces.
FRONTS = {
    "http.listening": "http",
    "processor.listening": "processor",
    "graphql.listening": "graphql",
}


class NodeProcess:
    """Process of `python -m badgercart serve FILE`, and where its frontends listen."""

    def __init__(self, wanted: tuple[str, ...] = ("http", "processor")) -> None:
        self.wanted = set(wanted)
        self.lines: deque[str] = deque(maxlen=200)
        self.fronts: dict[str, str] = {}
        self.ready = asyncio.Event()

    async def start(self, path: Path) -> None:
        """Start the node and wait until it is ready.

        Raises RuntimeError with its log lines where it ends or is not ready in time.
        """
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-B",
            "-m",
            "badgercart",
            "serve",
            str(path),
            stderr=asyncio.subprocess.PIPE,
        )
        self.reading = asyncio.get_running_loop().create_task(self.read())
        ended = asyncio.ensure_future(self.process.wait())
        ready = asyncio.ensure_future(self.ready.wait())
        await asyncio.wait(
            (ended, ready), timeout=READY_TIMEOUT_S, return_when=asyncio.FIRST_COMPLETED
        )
        ready.cancel()
        if not self.ready.is_set():
            await self.stop()
            raise RuntimeError("the node did not come up:\n" + "\n".join(self.lines))

    async def read(self) -> None:
        """Read the node's log until it ends, and note when the node is ready."""
        assert self.process.stderr is not None
        has_endpoint_list = False
        while line := (await self.process.stderr.readline()).decode().rstrip():
            self.lines.append(line)
            try:
                event = json.loads(line)
            except ValueError:
                # Errors from before the log is set up are plain text.
                continue
            if (name := FRONTS.get(event["event"])) is not None:
                self.fronts[name] = f"{event['host']}:{event['port']}"
            has_endpoint_list = has_endpoint_list or event["event"] == "list.taken"
            if has_endpoint_list and self.fronts.keys() >= self.wanted:
                self.ready.set()

    async def stop(self) -> int:
        """Stop the node and return its exit code."""
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGTERM)
        code = await self.process.wait()
        await self.reading
        return code


class Table:
    """Table of the results of recent requests and the state of the servers.

    On a terminal it is painted in place, else it is printed again and again.
    """

    def __init__(self, fleet: Fleet, node: NodeProcess) -> None:
        self.fleet, self.node = fleet, node
        self.results: deque[tuple[float, str, Result]] = deque()
        self.total: Counter[str] = Counter()
        self.note = "calm"
        self.live = sys.stdout.isatty()

    def add(self, frontend: str, result: Result) -> None:
        """Add the result of a request that went to a frontend."""
        self.results.append((time.monotonic(), frontend, result))
        self.total[result.outcome] += 1

    def rows(self) -> list[str]:
        """Return the table's lines."""
        now = time.monotonic()
        while self.results and self.results[0][0] < now - TABLE_PERIOD_S:
            self.results.popleft()
        rows = [
            f"{'last 10 s':22}{'asked':>7}{'served':>8}{'refused':>9}{'failed':>8}{'p50 ms':>8}{'p99 ms':>8}"
        ]
        for frontend in ("http", "processor"):
            for request_class in REQUEST_CLASSES:
                found = [
                    result
                    for _, result_frontend, result in self.results
                    if result_frontend == frontend and result.arrival.request_class is request_class
                ]
                outcomes = Counter(result.outcome for result in found)
                took_ms = sorted(
                    result.response_time_ms for result in found if result.outcome == "served"
                ) or [0.0]
                served, refused = outcomes["served"], outcomes["refused"]
                failed = outcomes["failed"] + outcomes["lost"]
                rows.append(
                    f"{request_class.name + ' / ' + frontend:22}{len(found):>7}{served:>8}{refused:>9}"
                    f"{failed:>8}{took_ms[len(took_ms) // 2]:>8.0f}"
                    f"{took_ms[len(took_ms) * 99 // 100]:>8.0f}"
                )
        rows += ["", f"now: {self.note}", ""]
        for server in self.fleet.servers:
            state = (
                server.state
                if server.state != "active"
                else "slow"
                if server.service_time_factor > 1
                else "ready"
            )
            bar = "#" * server.in_flight
            rows.append(
                f"{server.name:6}{server.machine_type:9}{state:9}{len(server.received_requests):>7} requests  {bar}"
            )
        return rows

    async def paint(self) -> None:
        """Show the table at each interval."""
        for repaint in itertools.count():
            await asyncio.sleep(PAINT_INTERVAL_S)
            rows = self.rows()
            if self.live:
                sys.stdout.write("\x1b[H\x1b[2J" + "\n".join(rows) + "\n")
            elif repaint % REPAINTS_PER_PRINT == REPAINTS_PER_PRINT - 1:
                print("\n".join(rows), end="\n\n")
            sys.stdout.flush()


async def inject_faults(fleet: Fleet, table: Table, rng: random.Random) -> None:
    """Slow down a server, then drain, stop and restart one, again and again."""
    while True:
        await asyncio.sleep(6)
        slow: DispatchServer = rng.choice([s for s in fleet.servers if s.state == "active"])
        slow.service_time_factor, table.note = 6.0, f"{slow.name} is six times slower"
        await asyncio.sleep(8)
        slow.service_time_factor = 1.0
        leaving = rng.choice([s for s in fleet.servers if s.state == "active"])
        table.note = f"{leaving.name} drains: nothing new goes there from 0.5 s on"
        await fleet.drain(leaving)
        await asyncio.sleep(4)
        await fleet.leave(leaving)
        table.note = f"{leaving.name} is gone"
        await asyncio.sleep(4)
        await fleet.come_back(leaving)
        table.note = f"{leaving.name} is back, and cold for 8.8 s"
        await asyncio.sleep(8)
        table.note = "calm"


async def traffic(addresses: dict[str, str], table: Table, seconds: float) -> None:
    """Send requests for a time; the table gets the result of each as it ends."""
    connections, start, rng = http1.ConnectionPool(), time.monotonic(), random.Random(2)
    in_flight: set[asyncio.Task[None]] = set()

    async def send(frontend: str, arrival: Arrival) -> None:
        table.add(frontend, await send_request(addresses[frontend], arrival, connections))

    try:
        for arrival in draw_arrivals(1, RATE_PER_S, seconds):
            await asyncio.sleep(max(0.0, start + arrival.send_at_s - time.monotonic()))
            frontend = "processor" if rng.random() < PROXY_SHARE else "http"
            task = asyncio.ensure_future(send(frontend, arrival))
            in_flight.add(task)
            task.add_done_callback(in_flight.discard)
    finally:
        # Also where the time of the demo is up first.
        await asyncio.gather(*in_flight, return_exceptions=True)
        connections.close()


async def demo(seconds: float, as_json: bool) -> int:
    """Run the demo and return the node's exit code, or 1 where the node does not become ready."""
    loop, stop = asyncio.get_running_loop(), asyncio.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stop.set)
    fleet, node = await Fleet(SERVER_COUNT).start(), NodeProcess(("http", "processor", "graphql"))
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "demo.toml"
        etcd = await fleet.start_etcd()
        path.write_text(operators_file("", etcd.address, str(SCHEMA_FILE), later_attempts=True))
        try:
            await node.start(path)
        except RuntimeError as error:
            print(error, file=sys.stderr)
            return 1
        if as_json:
            servers = [server.address for server in fleet.servers]
            graphql = f"http://{node.fronts['graphql']}/graphql"
            ready = {**node.fronts, "graphql": graphql, "servers": servers, "etcd": etcd.address}
            print(json.dumps(ready), flush=True)
            await until(stop, seconds)
        else:
            await show(fleet, node, stop, seconds)
        code = await node.stop()
    await fleet.stop()
    return code


async def until(stop: asyncio.Event, seconds: float) -> None:
    """Wait for the event, for some seconds at most."""
    try:
        async with asyncio.timeout(seconds):
            await stop.wait()
    except TimeoutError:
        pass


async def show(fleet: Fleet, node: NodeProcess, stop: asyncio.Event, seconds: float) -> None:
    """Run traffic and faults with the live table until the time is up."""
    proxy = await Proxy(node.fronts["processor"]).start()
    table = Table(fleet, node)
    addresses = {"http": node.fronts["http"], "processor": proxy.address}
    tasks = [
        asyncio.ensure_future(work)
        for work in (
            traffic(addresses, table, seconds),
            table.paint(),
            inject_faults(fleet, table, random.Random(3)),
        )
    ]
    await until(stop, seconds)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    await proxy.stop()
    print("in all:", ", ".join(f"{count} {outcome}" for outcome, count in table.total.items()))


def main() -> int:
    """Run the program and return its exit code."""
    parser = argparse.ArgumentParser(prog="./demo", description=__doc__)
    parser.add_argument(
        "--seconds", type=float, default=60.0, metavar="N", help="how long to run (60)"
    )
    parser.add_argument(
        "--json",
        action="store_true",
        help="print one line with the fronts' addresses, then only serve",
    )
    chosen = parser.parse_args()
    if chosen.seconds <= 0:
        parser.error("--seconds must be above 0")
    return asyncio.run(demo(chosen.seconds, chosen.json))


if __name__ == "__main__":
    sys.exit(main())
