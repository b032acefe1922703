"""A node process with servers and a list, under limits of memory and descriptors."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from lab.trial.platform_node import PlatformNode, configuration
from standins.catalog import Catalog
from standins.crowd import Crowd, ResponseError, ask, request
from standins.planned_answers import PlannedServer

MEMORY_LIMIT_MB = 96
DESCRIPTOR_LIMIT = 1024
SERVERS = 4
START_PATIENCE_S = 10.0


@dataclass(slots=True)
class Deployment:
    """One node with its servers and its list."""

    node: PlatformNode
    servers: list[PlannedServer]
    catalog: Catalog
    crowd: Crowd = field(default_factory=Crowd)

    def times_received(self, request_id: str) -> int:
        """Return how often servers got a request."""
        return sum(server.times_received[request_id] for server in self.servers)


@asynccontextmanager
async def deployed(
    folder: Path, command: Sequence[str] = ("-m", "badgercart"), **changes: Any
) -> AsyncIterator[Deployment]:
    """Run a node of a small deployment; `changes` replace parts of its configuration."""
    servers = [await PlannedServer(f"s-{number}").start() for number in range(SERVERS)]
    entries = [server.entry() for server in servers]
    catalog = await Catalog(entries).start()
    config = configuration(catalog.address, entries, MEMORY_LIMIT_MB, DESCRIPTOR_LIMIT) | changes
    node = await PlatformNode(folder, config, command).start()
    deployment = Deployment(node, servers, catalog)
    try:
        await ask(node.port, request(), START_PATIENCE_S)  # it is ready once it serves
        yield deployment
    finally:
        await deployment.crowd.close()
        if node.running:
            await node.kill()
        for server in servers:
            server.stop()
        catalog.stop()


@dataclass(slots=True)
class Probe:
    """What other clients get: the times of good answers (s), and all other outcomes."""

    served_s: list[float] = field(default_factory=list)
    failed: list[str] = field(default_factory=list)


async def probe(port: int, seconds: float, interval_s: float = 0.1) -> Probe:
    """Send short requests on new connections for a time, and return what came."""
    loop, found = asyncio.get_running_loop(), Probe()
    end_s = loop.time() + seconds

    async def one() -> None:
        begin_s = loop.time()
        try:
            status, _ = await ask(port, request())
        except (OSError, TimeoutError, ResponseError) as error:
            found.failed.append(type(error).__name__)
            return
        if status == 200:
            found.served_s.append(loop.time() - begin_s)
        else:
            found.failed.append(str(status))

    tasks = []
    while loop.time() < end_s:
        tasks.append(asyncio.ensure_future(one()))
        await asyncio.sleep(interval_s)
    await asyncio.gather(*tasks)
    return found
