"""A watch falls silent within a long list: drains are learned more than 6 s later."""

from __future__ import annotations

import asyncio
import resource
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import deployment_2 as deployment
from deployment_2 import Discovery, Message, Record, Server

SERVERS = 2400
DRAINING = SERVERS // 4
DRAIN_AFTER_S = 0.3
OTHER_DESCRIPTORS = 1000
REQUESTS_PER_S = 50
WATCHED_S = 13.0
WORK_S = 0.02
TIMEOUT_MS = 1300
# What a silent watch misses counts as told after 6 s; then come the grace, and 50 ms on sockets.
TOLD_S, GRACE_S, SLACK_S = 6.0, 0.5, 0.05


class LongLists(Discovery):
    """Its lists are indented. With `trouble`, the first watch falls silent within a list."""

    indent = 2
    trouble = False
    silent_since_s = 0.0

    def __init__(self, record: Record, servers: list[Server]) -> None:
        super().__init__(record, servers)
        self.was_watched = asyncio.Event()

    async def watch(
        self, target: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve a watch; the first one gets the whole list."""
        if self.was_watched.is_set():
            await super().watch(target, reader, writer)
            return
        line = self.list_bytes(self.servers, True)
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        if self.trouble:
            self.record.note(f"the watch falls silent within a list of {len(line)} bytes")
            writer.write(b"%x\r\n%b" % (len(line) + 1, line[: len(line) - len(line) // 50]))
        else:
            self.record.note(f"the watch begins with a list of {len(line)} bytes")
            self.write(writer, line)
            self.watches.add(writer)
        await writer.drain()
        self.silent_since_s = time.monotonic()
        self.was_watched.set()
        await reader.read()


async def look_up(record: Record, port: int, number: int, outcomes: Counter[str]) -> None:
    """Send a request."""
    headers = deployment.client_headers(number, TIMEOUT_MS)
    record.note(f"client of {headers['Request-Id']} sends")
    try:
        async with asyncio.timeout(TIMEOUT_MS / 1000 + deployment.ANSWER_SLACK_S):
            message = await deployment.get(port, f"/lookup/k{number}", headers)
        outcome = str(message.status)
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        outcome = type(error).__name__
    outcomes[outcome] += 1
    record.note(f"client of {headers['Request-Id']}: {outcome}")


def allow_descriptors(count: int) -> None:
    """Have this process hold so many descriptors."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if hard != resource.RLIM_INFINITY and hard < count:
        reason = f"{count} descriptors are needed, and {hard} are allowed"
        raise deployment.CouldNotRunError(reason)
    if soft != resource.RLIM_INFINITY and soft < count:
        resource.setrlimit(resource.RLIMIT_NOFILE, (count, hard))


async def case(record: Record, trouble: bool) -> bool:
    """Return whether nothing new went to a draining server after it counted as told."""
    allow_descriptors(SERVERS + OTHER_DESCRIPTORS)
    received: list[tuple[float, Server]] = []

    async def work(server: Server, _request: Message, writer: asyncio.StreamWriter) -> None:
        received.append((time.monotonic(), server))
        await asyncio.sleep(WORK_S)
        writer.write(deployment.ok(b"a cab is near"))

    servers = [Server(record, f"s-{i + 1:04}", work) for i in range(SERVERS)]
    discovery = LongLists(record, servers)
    discovery.trouble = trouble
    outcomes: Counter[str] = Counter()
    tasks = []
    async with deployment.deployed(record, servers, discovery) as node:
        await asyncio.wait_for(discovery.was_watched.wait(), deployment.READY_S)
        since_s = discovery.silent_since_s
        await asyncio.sleep(DRAIN_AFTER_S)
        for server in servers[:DRAINING]:
            server.lifecycle = "leaving"
        discovery.tell(servers[:DRAINING])
        record.note(f"s-0001 to s-{DRAINING:04} drain; discovery has it, and answers each new call")
        while time.monotonic() < since_s + WATCHED_S:
            tasks.append(asyncio.create_task(look_up(record, node.port, len(tasks), outcomes)))
            await asyncio.sleep(1 / REQUESTS_PER_S)
        await asyncio.gather(*tasks)
    limit_s = TOLD_S + GRACE_S + SLACK_S
    to_draining = [at_s - since_s for at_s, server in received if server.lifecycle == "leaving"]
    late = [passed_s for passed_s in to_draining if passed_s > limit_s]
    record.note(f"outcomes: {dict(outcomes)}")
    record.note(
        f"{len(late)} requests reached draining servers later than {limit_s:.2f} s after the watch"
        f" fell silent, the last one {max(to_draining, default=0.0):.2f} s after"
    )
    deployment.require_served(outcomes["200"])
    return not late


deployment.run(case, __file__)
