"""A dispatch server: HTTP/1.1 as the platform's protocol has it, a few cores, and faults on
command.

It drops repeats of an idempotency key for a while, counts the effects that each key had, and
remembers when each request began to reach it, so that a test can check the rules from outside.
"""

from __future__ import annotations

import asyncio
import json
import random
import time
from collections import Counter, deque
from dataclasses import dataclass
from typing import Any

from standins import http1

MAX_SEEN = 200_000  # requests remembered


@dataclass(slots=True, frozen=True)
class Seen:
    """A request that reached the server."""

    id: str
    key: str  # its idempotency key
    target: str
    at: float  # s on the monotonic clock
    source: str = ""  # the address that it came from


class DispatchServer:
    """One server. `slowness` multiplies its work, `silent` and `failing` are shares of requests."""

    def __init__(
        self,
        name: str,
        work: dict[str, tuple[float, float]],  # by class: ms of work, from and to
        cores: int = 2,
        queue: int = 4,
        kind: str = "k2-fast",
        zone: str = "angyalfold",
        seed: int = 1,
        window: float = 6.0,  # s for which repeats are dropped
    ) -> None:
        self.name, self.work, self.kind, self.zone = name, work, kind, zone
        self.cores, self.queue, self.window = cores, queue, window
        self.random = random.Random(f"{seed} {name}")
        self.slowness, self.silent, self.failing = 1.0, 0.0, 0.0
        self.draining = False
        self.state = "active"
        self.started_at = 0  # Unix ms, as the list says it
        self.slots = asyncio.Semaphore(cores)
        self.held = 0
        self.seen: deque[Seen] = deque(maxlen=MAX_SEEN)
        self.effects: Counter[str] = Counter()  # by idempotency key
        self.done: dict[
            str, float
        ] = {}  # keys and when they had their effect; a group's servers share it
        self.life = 0  # over each, work that is under way is gone
        self.writers: set[asyncio.StreamWriter] = set()
        self.host, self.port = "127.0.0.1", 0
        self.shown = ""  # the address in the list, where that is another

    @property
    def address(self) -> str:
        return self.shown or f"{self.host}:{self.port}"

    def entry(self, state: str | None = None) -> dict[str, Any]:
        """Its line of the server list."""
        return {
            "instanceId": self.name,
            "hostPort": self.address,
            "zone": self.zone,
            "machineType": self.kind,
            "cell": 0,
            "lifecycle": state or self.state,
            "weight": float(self.cores),
            "startedAtMs": self.started_at,
        }

    async def start(self, port: int = 0) -> DispatchServer:
        self.server = await asyncio.start_server(self.serve, self.host, port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def stop(self) -> None:
        """As a process that dies: connections are reset, new ones refused, work under way has no
        effect."""
        self.life += 1
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        source = str(writer.get_extra_info("peername")[0])
        try:
            while True:
                writer.write(await self.answer(await http1.read_message(reader), source))
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, request: http1.Message, source: str = "") -> bytes:
        name, key = (
            request.headers.get("request-id", ""),
            request.headers.get("idempotency-key", ""),
        )
        self.seen.append(Seen(name, key, request.start[1], time.monotonic(), source))
        if not name:
            return http1.answer(404)
        if self.draining or self.held >= self.cores + self.queue:
            return http1.answer(503, {"not-started": "1"})
        chance = self.random.random()
        if chance < self.silent:
            await asyncio.sleep(3600)
        if chance < self.silent + self.failing:
            return http1.answer(500)
        by_graphql = request.start[1] == "/graphql"
        if by_graphql:
            from standins import graphql  # its library is heavy

            fields = graphql.root_fields(json.loads(request.body).get("query", ""))
            ranges = [self.work.get(graphql.WORK_OF.get(name, ""), (1.0, 1.0)) for name in fields]
            low, high = (sum(ends) for ends in zip(*ranges, strict=True)) if ranges else (1.0, 1.0)
        else:
            low, high = self.work.get(request.start[1].split("/")[1], (1.0, 1.0))
        self.held += 1
        life = self.life
        try:
            async with self.slots:
                await asyncio.sleep(self.random.uniform(low, high) * self.slowness / 1000)
        finally:
            self.held -= 1
        now = time.monotonic()
        if life != self.life:
            return http1.answer(500)  # nobody is there to read it
        if key and now - self.done.get(key, -self.window) >= self.window:
            self.done[key] = now
            self.effects[key] += 1
        if by_graphql:
            status, body = graphql.answer(self.name, request.body)
            return http1.answer(status, {"content-type": "application/graphql-response+json"}, body)
        return http1.answer(200, {"content-type": "text/plain"}, f"{self.name} {name}\n".encode())
