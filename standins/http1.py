"""The little of HTTP/1.1 that the stand-ins speak: whole messages with a length, or a body that
goes on."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass, field

MAX_BODY = 1 << 16


@dataclass(slots=True)
class Message:
    """A request or an answer. Header names are in lower case."""

    start: list[str]  # the three words of the first line
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def status(self) -> int:
        return int(self.start[1])


async def read_message(reader: asyncio.StreamReader) -> Message:
    """The next message. asyncio.IncompleteReadError where the connection ends, ValueError on
    others."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head[:-4].split("\r\n")
    message = Message(first.split(" ", 2))
    if len(message.start) < 2:
        raise ValueError(f"{first!r} is no first line")
    for line in lines:
        name, _, value = line.partition(":")
        message.headers[name.strip().lower()] = value.strip()
    length = int(message.headers.get("content-length", 0))
    if length > MAX_BODY:
        raise ValueError("a body over the limit")
    message.body = await reader.readexactly(length)
    return message


def request(method: str, target: str, headers: Mapping[str, str], body: bytes = b"") -> bytes:
    lines = [
        f"{method} {target} HTTP/1.1",
        *(f"{name}: {value}" for name, value in headers.items()),
    ]
    if body or method == "POST":
        lines.append(f"content-length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def answer(status: int, headers: Mapping[str, str] | None = None, body: bytes = b"") -> bytes:
    lines = [
        f"HTTP/1.1 {status} -",
        *(f"{name}: {value}" for name, value in (headers or {}).items()),
    ]
    return ("\r\n".join([*lines, f"content-length: {len(body)}"]) + "\r\n\r\n").encode(
        "latin-1"
    ) + body


class Connections:
    """A client's idle connections, by address."""

    def __init__(self) -> None:
        self.idle: dict[str, list[tuple[asyncio.StreamReader, asyncio.StreamWriter]]] = {}

    async def open(self, address: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """An idle connection that is still open, or a new one. Raises OSError."""
        waiting = self.idle.setdefault(address, [])
        while waiting:
            reader, writer = waiting.pop()
            if not (reader.at_eof() or writer.is_closing()):
                return reader, writer
            writer.close()
        host, _, port = address.rpartition(":")
        return await asyncio.open_connection(host, int(port))

    def keep(
        self, address: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.idle.setdefault(address, []).append((reader, writer))

    def close(self) -> None:
        for waiting in self.idle.values():
            for _, writer in waiting:
                writer.close()
        self.idle.clear()
