"""A server whose answers are planned by the target of each request.

The last segment of the path is the plan, in the form that `AnswerPlan.encode` writes. So one server
gives short, long, late, slow and broken answers, as each client asks.
"""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections import Counter
from dataclasses import dataclass, fields
from typing import Any

from standins import http1
from standins.ports import ReservedPort

READ_LIMIT_BYTES = 1 << 20
PIECE_BYTES = 65536


@dataclass(slots=True, frozen=True)
class AnswerPlan:
    """How a request is answered; the times are in ms."""

    body_bytes: int = 64
    chunked: int = 0
    head_delay: int = 0
    body_delay: int = 0  # after the head
    piece: int = PIECE_BYTES  # bytes at a time
    interval: int = 0  # between pieces
    read_rate: int = 0  # bytes of the request's body a second; 0: at once
    reset_after: int = 0  # bytes of the body after which the connection is reset; 0: never
    hang_after: int = -1  # bytes of the body after which nothing follows; -1: never
    until_close: int = 0  # the end of the connection ends the body, whose length is not stated

    def encode(self) -> str:
        """Return the plan as the last segment of a path."""
        values = ((item.name, getattr(self, item.name)) for item in fields(self))
        return ",".join(f"{name}:{value}" for name, value in values)


def decode(segment: str) -> AnswerPlan:
    """Return the plan of a path's last segment; the plain one where it is none."""
    pairs = (pair.partition(":") for pair in segment.split(",") if ":" in pair)
    return AnswerPlan(**{name: int(value) for name, _, value in pairs})


@dataclass(slots=True, frozen=True)
class ReceivedRequest:
    """A request that has arrived completely; times are those of the monotonic clock."""

    request_id: str
    key: str
    head_at_s: float  # when its head had come
    received_at_s: float
    server: str
    timeout_ms: float


class PlannedServer:
    """One server.

    Attributes:
        received: the requests that have arrived completely, in order.
        open_connections: how many connections it holds now.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.received: list[ReceivedRequest] = []
        self.times_received: Counter[str] = Counter()  # by request id
        self.open_connections = 0
        self.started_at_ms = 0
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> PlannedServer:
        """Listen on a free port."""
        self.reserved_port = ReservedPort()
        await self.listen()
        return self

    async def listen(self) -> None:
        """Listen on the server's port."""
        host, port = self.reserved_port.address
        self.server = await asyncio.start_server(
            self.serve, host, port, limit=READ_LIMIT_BYTES, backlog=1024
        )

    def stop(self) -> None:
        """Stop as a process that dies: all connections are reset."""
        self.server.close()
        for writer in [*self.writers]:
            writer.transport.abort()

    def entry(self, lifecycle: str = "active") -> dict[str, Any]:
        """Return the server's entry of the endpoint list."""
        return {
            "instanceId": self.name,
            "hostPort": f"127.0.0.1:{self.reserved_port.number}",
            "zone": "angyalfold",
            "machineType": "k2-fast",
            "cell": 0,
            "lifecycle": lifecycle,
            "weight": 2.0,
            "startedAtMs": self.started_at_ms,
        }

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the requests of one connection."""
        self.writers.add(writer)
        self.open_connections += 1
        try:
            while True:
                head = await http1.read_head(reader)
                head_at_s = time.monotonic()
                plan = decode(head.start_line[1].rpartition("/")[2])
                await read_body(reader, head, plan.read_rate)
                self.record(head, head_at_s)
                await write_answer(writer, plan)
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError, ValueError):
            pass
        except (asyncio.CancelledError, RuntimeError):  # stopped; uvloop's closed transport
            pass
        finally:
            self.open_connections -= 1
            self.writers.discard(writer)
            writer.transport.abort()
            with contextlib.suppress(OSError):
                writer.close()

    def record(self, head: http1.Message, head_at_s: float) -> None:
        """Record a request that has arrived completely."""
        request_id = head.headers.get("request-id", "")
        self.times_received[request_id] += 1
        self.received.append(
            ReceivedRequest(
                request_id,
                head.headers.get("idempotency-key", ""),
                head_at_s,
                time.monotonic(),
                self.name,
                float(head.headers.get("request-timeout", "0m")[:-1]),
            )
        )


async def read_body(reader: asyncio.StreamReader, head: http1.Message, rate: int) -> None:
    """Read and drop the body of a request, at a rate (bytes a second; 0: at once)."""
    if head.headers.get("transfer-encoding", "").lower() == "chunked":
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            await drop(reader, size + len(b"\r\n"), rate)
        await reader.readuntil(b"\r\n")
        return
    await drop(reader, int(head.headers.get("content-length", 0)), rate)


async def drop(reader: asyncio.StreamReader, left: int, rate: int) -> None:
    """Read and drop so many bytes, at a rate (bytes a second; 0: at once)."""
    while left:
        data = await reader.read(min(left, PIECE_BYTES))
        if not data:
            raise asyncio.IncompleteReadError(b"", left)
        left -= len(data)
        if rate:
            await asyncio.sleep(len(data) / rate)


async def write_answer(writer: asyncio.StreamWriter, plan: AnswerPlan) -> None:
    """Write an answer by its plan."""
    await asyncio.sleep(plan.head_delay / 1000)
    writer.write(f"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n{framing(plan)}\r\n\r\n".encode())
    await writer.drain()
    await asyncio.sleep(plan.body_delay / 1000)
    written = 0
    given_bytes = plan.body_bytes if plan.hang_after < 0 else plan.hang_after
    while written < given_bytes:
        piece = b"x" * min(plan.piece, given_bytes - written)
        writer.write(b"%x\r\n%b\r\n" % (len(piece), piece) if plan.chunked else piece)
        written += len(piece)
        await writer.drain()
        if plan.reset_after and written >= plan.reset_after:
            raise ConnectionResetError
        if plan.interval and written < given_bytes:
            await asyncio.sleep(plan.interval / 1000)
    if plan.hang_after >= 0:
        await asyncio.Event().wait()
    if plan.chunked:
        writer.write(b"0\r\n\r\n")
        await writer.drain()
    elif plan.until_close:
        writer.close()
        await writer.wait_closed()


def framing(plan: AnswerPlan) -> str:
    """Return the header that says how an answer's body ends."""
    if plan.chunked:
        return "Transfer-Encoding: chunked"
    return "Connection: close" if plan.until_close else f"Content-Length: {plan.body_bytes}"
