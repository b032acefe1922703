"""Dispatch server over HTTP/1.1 with a few cores and with faults on command.

It follows the platform's protocol. It drops repeats of an idempotency key for a while, counts the
effects that each key had, and records when each request arrived, so that a test can check the rules
from outside.
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
from standins.ports import ReservedPort

# The latest requests that a server keeps a record of.
MAX_RECORDED_REQUESTS = 200_000
# Far longer than any client waits for a silent server.
SILENCE_S = 3600
# Minimum and maximum service time in ms of a request class that a server has no times for.
DEFAULT_WORK_MS = (1.0, 1.0)


@dataclass(slots=True, frozen=True)
class ReceivedRequest:
    """Record of a request that reached the server."""

    request_id: str
    # Empty where the request has none.
    idempotency_key: str
    target: str
    # The time on the monotonic clock.
    received_at_s: float
    peer_ip: str = ""


class DispatchServer:
    """One dispatch server.

    Its faults are attributes: `service_time_factor` multiplies the service time, `silent_share` is
    the share of requests that get no response, `error_share` the share that get status 500. While
    it is `draining` it rejects every request as not started.

    Args:
        work_ms: By request class, the minimum and maximum service time in ms.
        cores: Requests that are processed at once.
        queue_limit: Requests that may wait for a core; those beyond are rejected as not started.
        machine_type: The machine type in the endpoint list.
        window_s: How long repeats of an idempotency key are dropped, in s.
    """

    def __init__(
        self,
        name: str,
        work_ms: dict[str, tuple[float, float]],
        cores: int = 2,
        queue_limit: int = 4,
        machine_type: str = "k2-fast",
        zone: str = "angyalfold",
        seed: int = 1,
        window_s: float = 6.0,
    ) -> None:
        self.name, self.work_ms, self.machine_type, self.zone = name, work_ms, machine_type, zone
        self.cores, self.queue_limit, self.window_s = cores, queue_limit, window_s
        self.random = random.Random(f"{seed} {name}")
        self.service_time_factor, self.silent_share, self.error_share = 1.0, 0.0, 0.0
        self.draining = False
        self.state = "active"
        # Unix time in ms, as the endpoint list has it.
        self.started_at_ms = 0
        self.slots = asyncio.Semaphore(cores)
        self.in_flight = 0
        self.received_requests: deque[ReceivedRequest] = deque(maxlen=MAX_RECORDED_REQUESTS)
        # Count of effects by idempotency key.
        self.effects: Counter[str] = Counter()
        # When each idempotency key had its effect, in s on the monotonic clock. The servers of a
        # group share this dict.
        self.effect_times: dict[str, float] = {}
        # Counts the stops of the process: work in flight does not survive one.
        self.generation = 0
        self.writers: set[asyncio.StreamWriter] = set()
        self.host, self.port = "127.0.0.1", 0
        # The address in the endpoint list, where it differs from the address of the socket.
        self.advertised_address = ""

    @property
    def address(self) -> str:
        """The address as the endpoint list has it."""
        return self.advertised_address or f"{self.host}:{self.port}"

    def entry(self, state: str | None = None) -> dict[str, Any]:
        """Return the server's entry of the endpoint list."""
        return {
            "instanceId": self.name,
            "hostPort": self.address,
            "zone": self.zone,
            "machineType": self.machine_type,
            "cell": 0,
            "lifecycle": state or self.state,
            "weight": float(self.cores),
            "startedAtMs": self.started_at_ms,
        }

    async def start(self, port: int = 0) -> DispatchServer:
        """Listen on `port`, or on a free port where it is 0.

        A free port stays the server's own while it is stopped.
        """
        if not port:
            self.reserved_port = ReservedPort(self.host)
            port = self.reserved_port.number
        self.server = await asyncio.start_server(self.serve, self.host, port)
        self.port = port
        return self

    def stop(self) -> None:
        """Behave as a process that dies.

        Connections are reset, new ones are refused, and work in flight has no effect.
        """
        self.generation += 1
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Respond to the requests of one connection until it ends."""
        self.writers.add(writer)
        peer_ip = str(writer.get_extra_info("peername")[0])
        try:
            while True:
                writer.write(await self.process_request(await http1.read_message(reader), peer_ip))
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def process_request(self, request: http1.Message, peer_ip: str = "") -> bytes:
        """Process one request and return the response in wire format."""
        request_id, key = (
            request.headers.get("request-id", ""),
            request.headers.get("idempotency-key", ""),
        )
        self.received_requests.append(
            ReceivedRequest(request_id, key, request.start_line[1], time.monotonic(), peer_ip)
        )
        if not request_id:
            return http1.response(404)
        if self.draining or self.in_flight >= self.cores + self.queue_limit:
            return http1.response(503, {"not-started": "1"})
        draw = self.random.random()
        if draw < self.silent_share:
            await asyncio.sleep(SILENCE_S)
        if draw < self.silent_share + self.error_share:
            return http1.response(500)
        by_graphql = request.start_line[1] == "/graphql"
        if by_graphql:
            # Imported here: the GraphQL library loads slowly, and most servers do without it.
            from standins import graphql

            fields = graphql.root_fields(json.loads(request.body).get("query", ""))
            ranges = [
                self.work_ms.get(graphql.WORK_OF.get(name, ""), DEFAULT_WORK_MS) for name in fields
            ]
            min_ms, max_ms = (
                (sum(ends) for ends in zip(*ranges, strict=True)) if ranges else DEFAULT_WORK_MS
            )
        else:
            min_ms, max_ms = self.work_ms.get(request.start_line[1].split("/")[1], DEFAULT_WORK_MS)
        self.in_flight += 1
        generation = self.generation
        try:
            async with self.slots:
                await asyncio.sleep(
                    self.random.uniform(min_ms, max_ms) * self.service_time_factor / 1000
                )
        finally:
            self.in_flight -= 1
        now = time.monotonic()
        if generation != self.generation:
            # The server stopped meanwhile: the connection is gone, and nobody reads this.
            return http1.response(500)
        if key and now - self.effect_times.get(key, -self.window_s) >= self.window_s:
            self.effect_times[key] = now
            self.effects[key] += 1
        if by_graphql:
            status, body = graphql.execute_request(self.name, request.body)
            return http1.response(
                status, {"content-type": "application/graphql-response+json"}, body
            )
        return http1.response(
            200, {"content-type": "text/plain"}, f"{self.name} {request_id}\n".encode()
        )
