"""Clients that hold a node's resources: they stop, read nothing, or send more than they may.

Each is one connection. They write with raw sockets, so that hundreds fit into one process.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import socket
from collections.abc import Awaitable, Callable, Mapping

from standins import http1
from standins.planned_answers import AnswerPlan

IDEMPOTENT, KEYED, UNSAFE = "cab-lookup", "ride-assign", "fare-charge"
READ_BYTES = 65536
RETRY_INTERVAL_S = 2.0

_numbers = itertools.count(1)


def request_head(
    request_class: str = IDEMPOTENT,
    plan: AnswerPlan | None = None,
    timeout_ms: int = 1400,
    fields: Mapping[str, str] | None = None,
    request_id: str = "",
) -> bytes:
    """Return the head of a request, up to its empty line, without that line."""
    name = request_id or f"{next(_numbers):016x}"
    method = "GET" if request_class == IDEMPOTENT else "POST"
    target = f"/{request_class}/{(plan or AnswerPlan()).encode()}"
    lines = {"Host": "backend.local", "Request-Id": name, "Request-Timeout": f"{timeout_ms}m"}
    if request_class == KEYED:
        lines["Idempotency-Key"] = f"key-{name}"
    lines |= fields or {}
    text = "".join(f"{key}: {value}\r\n" for key, value in lines.items())
    return f"{method} {target} HTTP/1.1\r\n{text}".encode()


def request(
    request_class: str = IDEMPOTENT,
    plan: AnswerPlan | None = None,
    timeout_ms: int = 1400,
    body: bytes = b"",
    request_id: str = "",
) -> bytes:
    """Return a complete request."""
    fields = {} if request_class == IDEMPOTENT else {"Content-Length": str(len(body))}
    return request_head(request_class, plan, timeout_ms, fields, request_id) + b"\r\n" + body


async def connect(port: int, receive_buffer: int = 0) -> socket.socket:
    """Return a connection to the node; `receive_buffer` limits what it takes unread."""
    sock = socket.socket()
    if receive_buffer:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", port))
    return sock


# What one member of a crowd does; it holds its connection until it is cancelled.
Behaviour = Callable[[int], Awaitable[None]]


async def hold(sock: socket.socket, data: bytes) -> None:
    """Send these bytes, read nothing, and keep the connection."""
    try:
        with contextlib.suppress(OSError):
            await asyncio.get_running_loop().sock_sendall(sock, data)
        await asyncio.Event().wait()
    finally:
        sock.close()


async def unfinished_head(port: int) -> None:
    """Send a head of very many short fields, without its end."""
    await hold(await connect(port), request_head() + b"a:b\r\n" * 2600)


async def unfinished_body(port: int) -> None:
    """Send the first part of a long body, then nothing."""
    head = request_head(KEYED, fields={"Content-Length": "8000000"})
    await hold(await connect(port), head + b"\r\n" + bytes(200_000))


async def unfinished_short_body(port: int) -> None:
    """Send all but the last byte of a body that is buffered."""
    head = request_head(KEYED, fields={"Content-Length": "60000"})
    await hold(await connect(port), head + b"\r\n" + bytes(59_999))


async def body_of_tiny_chunks(port: int) -> None:
    """Send a body in chunks of two bytes, without an end."""
    head = request_head(KEYED, fields={"Transfer-Encoding": "chunked"})
    await hold(await connect(port), head + b"\r\n" + b"2\r\nab\r\n" * 60_000)


async def unread_long_answer(port: int) -> None:
    """Ask for an answer of 4 MB and read none of it; one that is refused asks again."""
    plan = AnswerPlan(body_bytes=4_000_000)
    loop = asyncio.get_running_loop()
    while True:
        sock = await connect(port, 4096)
        await loop.sock_sendall(sock, request(plan=plan, timeout_ms=1400))
        status_line = await loop.sock_recv(sock, len(b"HTTP/1.1 200"))
        if status_line.endswith(b"200"):
            await hold(sock, b"")
        sock.close()
        await asyncio.sleep(RETRY_INTERVAL_S)


async def unread_short_answers(port: int) -> None:
    """Ask ahead for many answers of 60 kB and read none of them."""
    plan = AnswerPlan(body_bytes=60_000)
    data = b"".join(request(plan=plan, timeout_ms=1400) for _ in range(100))
    await hold(await connect(port, 4096), data)


async def bodies_ahead(port: int) -> None:
    """Send many requests with bodies of 60 kB ahead; the first one is answered slowly."""
    body = bytes(60_000)
    slow = AnswerPlan(head_delay=1200)
    data = b"".join(request(KEYED, slow, 1900, body) for _ in range(10))
    await hold(await connect(port, 4096), data)


async def long_keys(port: int) -> None:
    """Ask for ever new keys of 12 kB, and read the answers."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        while True:
            name = b"%016x" % next(_numbers)
            target = b"/cab-lookup/%b%b" % (name, b"k" * 12_000)
            lines = b"Host: x\r\nRequest-Id: %b\r\nRequest-Timeout: 1400m" % name
            writer.write(b"GET %b HTTP/1.1\r\n%b\r\n\r\n" % (target, lines))
            await read_response(reader)
    except ResponseError:
        await asyncio.sleep(RETRY_INTERVAL_S)
    finally:
        writer.transport.abort()


BEHAVIOURS: dict[str, Behaviour] = {
    "unfinished heads": unfinished_head,
    "unfinished bodies": unfinished_body,
    "unfinished short bodies": unfinished_short_body,
    "bodies of tiny chunks": body_of_tiny_chunks,
    "unread long answers": unread_long_answer,
    "unread short answers": unread_short_answers,
    "bodies ahead": bodies_ahead,
    "long keys": long_keys,
}


class Crowd:
    """Many clients at once, which stay until the crowd is closed."""

    def __init__(self) -> None:
        self.tasks: set[asyncio.Task[None]] = set()

    def add(self, behaviour: Behaviour, port: int, count: int) -> None:
        """Have `count` more clients behave in this way."""
        for _ in range(count):
            self.tasks.add(asyncio.ensure_future(keep_trying(behaviour, port)))

    async def close(self) -> None:
        """Close all connections."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


async def keep_trying(behaviour: Behaviour, port: int) -> None:
    """Behave in this way; a connection that is refused is tried again."""
    while True:
        try:
            await behaviour(port)
        except OSError:
            await asyncio.sleep(RETRY_INTERVAL_S)


class ResponseError(Exception):
    """What came is no complete response."""


async def ask(port: int, data: bytes, patience_s: float = 3.0) -> tuple[int, bytes]:
    """Send a request on a new connection; return the status and the body of the response.

    Raises ResponseError where the connection ends early, TimeoutError, and OSError.
    """
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        async with asyncio.timeout(patience_s):
            writer.write(data)
            return await read_response(reader)
    finally:
        writer.transport.abort()


async def read_body(head: http1.Message, reader: asyncio.StreamReader) -> bytes:
    """Return the body of a response whose head has been read."""
    if head.headers.get("transfer-encoding") == "chunked":
        return await http1.read_chunks(reader)
    return await reader.readexactly(int(head.headers["content-length"]))


async def read_response(reader: asyncio.StreamReader) -> tuple[int, bytes]:
    """Return the status and the body of the next response. Raises ResponseError."""
    try:
        head = await http1.read_head(reader)
        return head.status, await read_body(head, reader)
    except asyncio.IncompleteReadError as error:
        raise ResponseError(f"the connection ended after {len(error.partial)} bytes") from None
