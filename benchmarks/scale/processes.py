"""Real processes of `serve` and one list service: a change told to all, at rest and while a tenth
is killed.

The service is a stand-in in a process of its own. When a node has a change is read from its log, by
its own clock; the service's clock is the same machine's. Bytes are those that the service writes,
heads and framing too; processor times come from /proc, of processes that were started here. Nodes
and service share the cores that this command may use, which is said with the figures: with fewer
cores than nodes, times are the cores'.
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

SIZES = (25, 50, 100)
SERVERS = 1000
STARTING = 4  # processes that start at a time
CHANGES = 20  # told one after the other
APART = 0.5  # s between two of them
REST = 10.0  # s
TENTH = 10  # one in so many is killed and started again, one after the other
TOLD_WITHIN = 30.0  # s in which a change must be in force in all that run
TICKS = os.sysconf("SC_CLK_TCK")
PAGE = os.sysconf("SC_PAGE_SIZE")


# The service, in its own process.


class Writer:
    """A stream writer whose bytes are counted."""

    def __init__(self, writer: asyncio.StreamWriter, service: Service) -> None:
        self.writer, self.service = writer, service

    def write(self, data: bytes) -> None:
        self.service.bytes += len(data)
        self.writer.write(data)

    def __getattr__(self, name: str) -> Any:
        return getattr(self.writer, name)


class Service(Catalog):
    """The list service, with what it writes counted."""

    bytes = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await super().serve(reader, Writer(writer, self))  # type: ignore[arg-type]


def entries(count: int) -> list[dict[str, Any]]:
    """Lines of servers that nobody calls."""
    lines = []
    for number in range(count):
        server = DispatchServer(f"s-{number + 1}", {})
        server.host, server.port = "127.0.0.1", 1024 + number
        lines.append(server.entry())
    return lines


def serve(pipe: Connection, count: int) -> None:
    """Until the pipe ends: `change` tells a line to all, anything else asks for what was written so
    far."""

    async def run() -> None:
        service = await Service(entries(count)).start()
        assert isinstance(service, Service)
        pipe.send(service.address)
        over, ways = asyncio.Event(), random.Random(1)

        def asked() -> None:
            try:
                what = pipe.recv()
            except EOFError:
                over.set()
                return
            if what == "change":
                line = ways.choice(list(service.entries.values()))
                state = "leaving" if line["lifecycle"] == "active" else "active"
                at = time.time()
                service.change(line | {"lifecycle": state})
                pipe.send((service.generation, at))
            else:
                pipe.send(service.bytes)

        asyncio.get_running_loop().add_reader(pipe.fileno(), asked)
        await over.wait()
        asyncio.get_running_loop().remove_reader(pipe.fileno())
        service.stop()

    asyncio.run(run())


# What processes have taken.


def processor(pid: int) -> float:
    """Processor seconds of a process; OSError where it is gone."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def memory(pid: int) -> float:
    """Resident bytes of a process, pages that it shares with others among them."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE


@dataclass(slots=True, frozen=True)
class Mark:
    """What was taken until a moment."""

    at: float
    bytes: int
    service: float  # s of its processor
    nodes: dict[tuple[str, int], float]  # by name and life


@dataclass(slots=True)
class Fleet:
    """Node processes and their list service."""

    count: int
    folder: Path
    nodes: list[NodeProcess] = field(default_factory=list)
    pipe: Connection = field(init=False)  # to the service
    service: BaseProcess = field(init=False)

    async def start(self) -> None:
        context = multiprocessing.get_context("spawn")
        self.pipe, other = context.Pipe()
        self.service = context.Process(target=serve, args=(other, SERVERS), daemon=True)
        self.service.start()
        other.close()
        address = await asyncio.to_thread(self.pipe.recv)
        file = self.folder / "node.toml"
        file.write_text(operators_file(address))
        self.nodes = [NodeProcess(f"n{number}", file) for number in range(self.count)]
        gate = asyncio.Semaphore(STARTING)
        await asyncio.gather(*(self.begin(node, gate) for node in self.nodes))

    async def begin(self, node: NodeProcess, gate: asyncio.Semaphore) -> None:
        async with gate:
            await node.start()
            await node.wait_for_event("list.taken")

    async def stop(self) -> None:
        for node in self.nodes:
            if node.process is not None and node.process.returncode is None:
                await node.kill()
        self.pipe.close()
        await asyncio.to_thread(self.service.join)

    def ask(self, what: str) -> Any:
        self.pipe.send(what)
        return self.pipe.recv()

    def mark(self) -> Mark:
        nodes = {}
        for node in self.nodes:
            if node.process is not None and node.process.returncode is None:
                nodes[node.name, node.lives] = processor(node.process.pid)
        assert self.service.pid is not None
        return Mark(time.monotonic(), self.ask("bytes"), processor(self.service.pid), nodes)

    async def change(self, nodes: Sequence[NodeProcess]) -> list[float]:
        """ms from the telling of one change until each of these nodes has it in force."""
        version, at = self.ask("change")

        def fits(told: LogRecord) -> bool:
            return bool(told["version"] >= version)

        async def taken(node: NodeProcess) -> float:
            async with asyncio.timeout(TOLD_WITHIN):
                told = await node.wait_for_event("list.taken", fits)
            return (datetime.fromisoformat(str(told["timestamp"])).timestamp() - float(at)) * 1000

        return list(await asyncio.gather(*(taken(node) for node in nodes)))

    async def changes(self, nodes: Sequence[NodeProcess]) -> list[list[float]]:
        found = []
        for _ in range(CHANGES):
            found.append(await self.change(nodes))
            for node in nodes:
                node.events = node.events[-2:]  # what was looked at is not looked at again
            await asyncio.sleep(APART)
        return found

    async def churn(self, nodes: Sequence[NodeProcess], over: asyncio.Event) -> int:
        """Kill these and start them again, one after the other, until told that it is over; how
        often."""
        times = 0
        while not over.is_set():
            node = nodes[times % len(nodes)]
            await node.kill()
            await node.start()
            await node.wait_for_event("list.taken")
            times += 1
        return times


def between(before: Mark, after: Mark, lasting: Sequence[NodeProcess]) -> dict[str, float]:
    """A second: what the service wrote, its processor's time, and that of a node that ran all
    along."""
    seconds = after.at - before.at
    spent = [after.nodes[n.name, n.lives] - before.nodes[n.name, n.lives] for n in lasting]
    return {
        "bytes": (after.bytes - before.bytes) / seconds,
        "service": (after.service - before.service) / seconds * 1000,
        "node": statistics.fmean(spent) / seconds * 1000,
    }


async def play(count: int) -> dict[str, float]:
    """One fleet: its start, at rest, changes, and changes while a tenth is killed and started
    again."""
    with tempfile.TemporaryDirectory() as folder:
        fleet, begun = Fleet(count, Path(folder)), time.monotonic()
        try:
            await fleet.start()
            found = {"start": time.monotonic() - begun}
            found["bytes of the start"] = fleet.ask("bytes") / count
            pids = [node.process.pid for node in fleet.nodes if node.process is not None]
            found["memory"] = statistics.fmean(map(memory, pids))

            before = fleet.mark()
            await asyncio.sleep(REST)
            after = fleet.mark()
            found |= {
                f"{name} at rest": value
                for name, value in between(before, after, fleet.nodes).items()
            }

            before = fleet.mark()
            told = await fleet.changes(fleet.nodes)
            after = fleet.mark()
            found |= {
                f"{name}, changes": v for name, v in between(before, after, fleet.nodes).items()
            }
            found |= times(told, "")

            some, rest = (
                fleet.nodes[: max(1, count // TENTH)],
                fleet.nodes[max(1, count // TENTH) :],
            )
            over = asyncio.Event()
            churning = asyncio.ensure_future(fleet.churn(some, over))
            before = fleet.mark()
            told = await fleet.changes(rest)
            after = fleet.mark()
            over.set()
            found["killed"] = await churning
            found |= {
                f"{name}, killed": value for name, value in between(before, after, rest).items()
            }
            found |= times(told, ", killed")
            found["all have the last change"] = max(await fleet.change(fleet.nodes))
            return found
        finally:
            await fleet.stop()


def times(told: list[list[float]], word: str) -> dict[str, float]:
    """ms: the median node, the last one of a median change, the last one of the worst."""
    last = [max(nodes) for nodes in told]
    return {
        f"told to half{word}": statistics.median([took for nodes in told for took in nodes]),
        f"told to the last{word}": statistics.median(last),
        f"told to the last, worst{word}": max(last),
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


def measure(most: int | None) -> list[Series]:
    """All series; `most` caps processes."""
    found: dict[int, dict[str, float]] = {}
    for count in SIZES:
        if most is None or count <= most:
            try:
                found[count] = asyncio.run(play(count))
            except (NodeError, TimeoutError) as error:
                print(f"{count} processes: not ended, {error!r:.300}", file=sys.stderr)
                continue
            print(f"{count} processes: {json.dumps(found[count])}", file=sys.stderr, flush=True)
    fixed = {"servers": float(SERVERS), "cores": float(len(os.sched_getaffinity(0)))}
    series = []
    for name, unit in UNITS.items():
        points = [(float(count), float(told[name])) for count, told in found.items()]
        series.append(Series(name, unit, "processes", "one", points, fixed))
    return series
