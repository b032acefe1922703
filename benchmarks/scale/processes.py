"""Costs of real `serve` processes with one list service: at rest, and with list changes.

The changes are measured twice, the second time while a tenth of the nodes is killed and restarted.
The service is a stand-in in a separate process. The time at which a node has a change is read from
its log; node and service use the clock of the same machine. Bytes are those that the service
writes, with headers and framing. Processor times are read from /proc for the processes that were
started here. Nodes and service share the cores that this command may use, and the number of cores
is stored with the figures: with fewer cores than nodes, the times include waiting for a core.
"""

from __future__ import annotations

import asyncio
import json
import multiprocessing
import os
import random
import statistics
import sys
import tempfile
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from datetime import datetime
from multiprocessing.connection import Connection
from multiprocessing.process import BaseProcess
from pathlib import Path
from typing import Any

from benchmarks.scale.report import Series
from lab.trial.processes import LogRecord, NodeError, NodeProcess
from standins.catalog import Catalog
from standins.fleet import operators_file
from standins.server import DispatchServer

PROCESS_COUNTS = (25, 50, 100)
SERVERS = 1000
MAX_CONCURRENT_STARTS = 4

# List changes, one after another.
CHANGE_COUNT = 20
CHANGE_INTERVAL_S = 0.5

IDLE_DURATION_S = 10.0

# One in this many nodes is killed and restarted, one after another.
NODES_PER_RESTARTED_NODE = 10

# A change must be in force in all running nodes within this time.
CHANGE_TIMEOUT_S = 30.0

CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


# The list service, in a separate process.


class CountingWriter:
    """A stream writer that adds its bytes to the count of the service."""

    def __init__(self, writer: asyncio.StreamWriter, service: CountingCatalog) -> None:
        self.writer, self.service = writer, service

    def write(self, data: bytes) -> None:
        """Write and count some bytes."""
        self.service.written_bytes += len(data)
        self.writer.write(data)

    def __getattr__(self, name: str) -> Any:
        return getattr(self.writer, name)


class CountingCatalog(Catalog):
    """The list service, which counts the bytes that it writes."""

    written_bytes = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve a connection and count what is written to it."""
        await super().serve(reader, CountingWriter(writer, self))  # type: ignore[arg-type]


def make_entries(count: int) -> list[dict[str, Any]]:
    """Return the list entries of servers that receive no requests."""
    entries = []
    for number in range(count):
        server = DispatchServer(f"s-{number + 1}", {})
        server.host, server.port = "127.0.0.1", 1024 + number
        entries.append(server.entry())
    return entries


def run_service(pipe: Connection, count: int) -> None:
    """Run the list service until the pipe is closed.

    The message `change` changes one entry of the list and returns the version and the time of the
    change. Any other message returns the number of bytes written so far.
    """

    async def run() -> None:
        service = await CountingCatalog(make_entries(count)).start()
        assert isinstance(service, CountingCatalog)
        pipe.send(service.address)
        closed, rng = asyncio.Event(), random.Random(1)

        def handle_message() -> None:
            try:
                message = pipe.recv()
            except EOFError:
                closed.set()
                return
            if message == "change":
                entry = rng.choice(list(service.entries.values()))
                state = "leaving" if entry["lifecycle"] == "active" else "active"
                changed_at = time.time()
                service.change(entry | {"lifecycle": state})
                pipe.send((service.generation, changed_at))
            else:
                pipe.send(service.written_bytes)

        asyncio.get_running_loop().add_reader(pipe.fileno(), handle_message)
        await closed.wait()
        asyncio.get_running_loop().remove_reader(pipe.fileno())
        service.stop()

    asyncio.run(run())


# Costs of processes.


def processor_s(pid: int) -> float:
    """Return the processor time of a process in seconds.

    Raises:
        OSError: The process does not exist.
    """
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def resident_bytes(pid: int) -> float:
    """Return the resident memory of a process, including pages that it shares with others."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES


@dataclass(slots=True, frozen=True)
class Usage:
    """The costs up to a time.

    Attributes:
        time_s: the time on the monotonic clock.
        written_bytes: the bytes that the service has written.
        service_s: the processor time of the service.
        nodes_s: the processor times of the nodes, by name and `NodeProcess.lives`.
    """

    time_s: float
    written_bytes: int
    service_s: float
    nodes_s: dict[tuple[str, int], float]


@dataclass(slots=True)
class ProcessFleet:
    """Node processes and their list service, to which `pipe` leads."""

    count: int
    folder: Path
    nodes: list[NodeProcess] = field(default_factory=list)
    pipe: Connection = field(init=False)
    service: BaseProcess = field(init=False)

    async def start(self) -> None:
        """Start the service and all nodes, and wait until each node has the list."""
        context = multiprocessing.get_context("spawn")
        self.pipe, service_pipe = context.Pipe()
        self.service = context.Process(
            target=run_service, args=(service_pipe, SERVERS), daemon=True
        )
        self.service.start()
        service_pipe.close()
        address = await asyncio.to_thread(self.pipe.recv)
        file = self.folder / "node.toml"
        file.write_text(operators_file(address))
        self.nodes = [NodeProcess(f"n{number}", file) for number in range(self.count)]
        limit = asyncio.Semaphore(MAX_CONCURRENT_STARTS)
        await asyncio.gather(*(self.start_node(node, limit) for node in self.nodes))

    async def start_node(self, node: NodeProcess, limit: asyncio.Semaphore) -> None:
        """Start a node, within the limit of concurrent starts."""
        async with limit:
            await node.start()
            await node.wait_for_event("list.taken")

    async def stop(self) -> None:
        """Kill all nodes and end the service."""
        for node in self.nodes:
            if node.process is not None and node.process.returncode is None:
                await node.kill()
        self.pipe.close()
        await asyncio.to_thread(self.service.join)

    def ask(self, message: str) -> Any:
        """Send a message to the service and return its answer."""
        self.pipe.send(message)
        return self.pipe.recv()

    def usage(self) -> Usage:
        """Return the costs up to now."""
        nodes_s = {}
        for node in self.nodes:
            if node.process is not None and node.process.returncode is None:
                nodes_s[node.name, node.lives] = processor_s(node.process.pid)
        assert self.service.pid is not None
        return Usage(time.monotonic(), self.ask("bytes"), processor_s(self.service.pid), nodes_s)

    async def change(self, nodes: Sequence[NodeProcess]) -> list[float]:
        """Change the list once and return the ms until each of these nodes has applied it."""
        version, changed_at = self.ask("change")

        def is_applied(record: LogRecord) -> bool:
            return bool(record["version"] >= version)

        async def delay_ms(node: NodeProcess) -> float:
            async with asyncio.timeout(CHANGE_TIMEOUT_S):
                record = await node.wait_for_event("list.taken", is_applied)
            applied_at = datetime.fromisoformat(str(record["timestamp"])).timestamp()
            return (applied_at - float(changed_at)) * 1000

        return list(await asyncio.gather(*(delay_ms(node) for node in nodes)))

    async def changes(self, nodes: Sequence[NodeProcess]) -> list[list[float]]:
        """Change the list several times and return the delays of the nodes for each change."""
        delays_ms = []
        for _ in range(CHANGE_COUNT):
            delays_ms.append(await self.change(nodes))
            for node in nodes:
                # Records that were already searched are not searched again.
                node.events = node.events[-2:]
            await asyncio.sleep(CHANGE_INTERVAL_S)
        return delays_ms

    async def restart_nodes(self, nodes: Sequence[NodeProcess], stop: asyncio.Event) -> int:
        """Kill and restart these nodes one after another until `stop` is set.

        Returns:
            The number of restarts.
        """
        restarts = 0
        while not stop.is_set():
            node = nodes[restarts % len(nodes)]
            await node.kill()
            await node.start()
            await node.wait_for_event("list.taken")
            restarts += 1
        return restarts


def rates(before: Usage, after: Usage, nodes: Sequence[NodeProcess]) -> dict[str, float]:
    """Return the costs per second between two times.

    These are the bytes and the processor time (ms) of the service, and the mean processor time (ms)
    of `nodes`, which must have run all the time.
    """
    seconds = after.time_s - before.time_s
    nodes_s = [
        after.nodes_s[node.name, node.lives] - before.nodes_s[node.name, node.lives]
        for node in nodes
    ]
    return {
        "bytes": (after.written_bytes - before.written_bytes) / seconds,
        "service": (after.service_s - before.service_s) / seconds * 1000,
        "node": statistics.fmean(nodes_s) / seconds * 1000,
    }


async def measure_fleet(count: int) -> dict[str, float]:
    """Measure a fleet as it starts, at rest, with changes, and with changes during restarts."""
    with tempfile.TemporaryDirectory() as folder:
        fleet, begun = ProcessFleet(count, Path(folder)), time.monotonic()
        try:
            await fleet.start()
            results = {"start": time.monotonic() - begun}
            results["bytes of the start"] = fleet.ask("bytes") / count
            pids = [node.process.pid for node in fleet.nodes if node.process is not None]
            results["memory"] = statistics.fmean(map(resident_bytes, pids))

            before = fleet.usage()
            await asyncio.sleep(IDLE_DURATION_S)
            after = fleet.usage()
            results |= {
                f"{name} at rest": value
                for name, value in rates(before, after, fleet.nodes).items()
            }

            before = fleet.usage()
            delays_ms = await fleet.changes(fleet.nodes)
            after = fleet.usage()
            results |= {
                f"{name}, changes": v for name, v in rates(before, after, fleet.nodes).items()
            }
            results |= delay_statistics(delays_ms, "")

            restarted, others = (
                fleet.nodes[: max(1, count // NODES_PER_RESTARTED_NODE)],
                fleet.nodes[max(1, count // NODES_PER_RESTARTED_NODE) :],
            )
            stop = asyncio.Event()
            restarts = asyncio.ensure_future(fleet.restart_nodes(restarted, stop))
            before = fleet.usage()
            delays_ms = await fleet.changes(others)
            after = fleet.usage()
            stop.set()
            results["killed"] = await restarts
            results |= {
                f"{name}, killed": value for name, value in rates(before, after, others).items()
            }
            results |= delay_statistics(delays_ms, ", killed")
            results["all have the last change"] = max(await fleet.change(fleet.nodes))
            return results
        finally:
            await fleet.stop()


def delay_statistics(delays_ms: list[list[float]], suffix: str) -> dict[str, float]:
    """Return statistics of the delays of nodes (inner lists) for each change.

    These are the median over all nodes and changes, and the median and the maximum over the changes
    of the last node's delay.
    """
    last_node_ms = [max(nodes_ms) for nodes_ms in delays_ms]
    return {
        f"told to half{suffix}": statistics.median(
            [delay_ms for nodes_ms in delays_ms for delay_ms in nodes_ms]
        ),
        f"told to the last{suffix}": statistics.median(last_node_ms),
        f"told to the last, worst{suffix}": max(last_node_ms),
    }


UNITS = {
    "start": "s",
    "bytes of the start": "B a node",
    "memory": "B a node",
    "bytes at rest": "B/s",
    "service at rest": "ms/s",
    "node at rest": "ms/s a node",
    "bytes, changes": "B/s",
    "service, changes": "ms/s",
    "node, changes": "ms/s a node",
    "told to half": "ms",
    "told to the last": "ms",
    "told to the last, worst": "ms",
    "bytes, killed": "B/s",
    "service, killed": "ms/s",
    "node, killed": "ms/s a node",
    "told to half, killed": "ms",
    "told to the last, killed": "ms",
    "told to the last, worst, killed": "ms",
    "killed": "processes",
}


def measure(max_size: int | None) -> list[Series]:
    """Return all series; `max_size` caps the processes."""
    results: dict[int, dict[str, float]] = {}
    for count in PROCESS_COUNTS:
        if max_size is None or count <= max_size:
            try:
                results[count] = asyncio.run(measure_fleet(count))
            except (NodeError, TimeoutError) as error:
                print(f"{count} processes: not finished, {error!r:.300}", file=sys.stderr)
                continue
            print(f"{count} processes: {json.dumps(results[count])}", file=sys.stderr, flush=True)
    fixed = {"servers": float(SERVERS), "cores": float(len(os.sched_getaffinity(0)))}
    series = []
    for name, unit in UNITS.items():
        points = [(float(count), float(result[name])) for count, result in results.items()]
        series.append(Series(name, unit, "processes", "one", points, fixed))
    return series
