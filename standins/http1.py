"""The subset of HTTP/1.1 that the stand-ins use.

Messages are complete and have a `content-length`, or no body. A stand-in that streams a body writes
its chunks itself.
"""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass, field

MAX_BODY_BYTES = 1 << 16


@dataclass(slots=True)
class Message:
    """A request or a response. Header names are in lower case."""

    # The three words of the request line or status line.
    start_line: list[str]
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def status(self) -> int:
        """The status code of a response."""
        return int(self.start_line[1])


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Read the next message up to its body.

    Raises asyncio.IncompleteReadError where the connection ends, and ValueError where the message
    is malformed.
    """
    header_section = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = header_section[:-4].split("\r\n")
    message = Message(first.split(" ", 2))
    if len(message.start_line) < 2:
        raise ValueError(f"{first!r} is not a request line or status line")
    for line in lines:
        name, _, value = line.partition(":")
        message.headers[name.strip().lower()] = value.strip()
    return message


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    """Read a body in chunks, without trailer fields; extensions are dropped."""
    body = bytearray()
    while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
        body += (await reader.readexactly(size + 2))[:-2]
    await reader.readuntil(b"\r\n")
    return bytes(body)


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read the next message, which has a length or no body.

    Raises asyncio.IncompleteReadError where the connection ends, and ValueError where the message
    is malformed or its body exceeds MAX_BODY_BYTES.
    """
    message = await read_head(reader)
    length = int(message.headers.get("content-length", 0))
    if length > MAX_BODY_BYTES:
        raise ValueError("the body exceeds the limit")
    message.body = await reader.readexactly(length)
    return message


def request(method: str, target: str, headers: Mapping[str, str], body: bytes = b"") -> bytes:
    """Return a request in wire format; `content-length` is added for a body and for each POST."""
    lines = [
        f"{method} {target} HTTP/1.1",
        *(f"{name}: {value}" for name, value in headers.items()),
    ]
    if body or method == "POST":
        lines.append(f"content-length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def response(status: int, headers: Mapping[str, str] | None = None, body: bytes = b"") -> bytes:
    """Return a response in wire format, with `content-length` added."""
    lines = [
        f"HTTP/1.1 {status} -",
        *(f"{name}: {value}" for name, value in (headers or {}).items()),
    ]
    return ("\r\n".join([*lines, f"content-length: {len(body)}"]) + "\r\n\r\n").encode(
        "latin-1"
    ) + body


class ConnectionPool:
    """Pool of a client's idle connections, by address."""

    def __init__(self) -> None:
        self.idle: dict[str, list[tuple[asyncio.StreamReader, asyncio.StreamWriter]]] = {}
        self.closed = False

    async def acquire(self, address: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Return an idle connection that is still open, or a new one.

        Raises OSError where no connection can be opened.
        """
        idle = self.idle.setdefault(address, [])
        while idle:
            reader, writer = idle.pop()
            if not (reader.at_eof() or writer.is_closing()):
                return reader, writer
            writer.close()
        host, _, port = address.rpartition(":")
        return await asyncio.open_connection(host, int(port))

    def release(
        self, address: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Put a connection back into the pool, or close it if the pool is closed."""
        if self.closed:
            writer.close()
            return
        self.idle.setdefault(address, []).append((reader, writer))

    def close(self) -> None:
        """Close all idle connections, and from now on those that are released."""
        self.closed = True
        for idle in self.idle.values():
            for _, writer in idle:
                writer.close()
        self.idle.clear()
