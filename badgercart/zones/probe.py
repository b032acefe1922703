"""Asks one server whether it answers at all: one request, one status line, one connection."""

from __future__ import annotations

import asyncio
import contextlib

from badgercart.config import Address


async def answers(address: Address, path: str, patience: float, source: str | None) -> bool:
    """Whether an answer of any status comes within `patience` ms; a connection alone is none."""
    writer = None
    with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
        async with asyncio.timeout(patience / 1000):
            local = (source, 0) if source is not None else None
            reader, writer = await asyncio.open_connection(*address, local_addr=local)
            host = f"{address[0]}:{address[1]}"
            writer.write(
                f"GET {path} HTTP/1.1\r\nHost: {host}\r\nConnection: close\r\n\r\n".encode()
            )
            found = (await reader.readexactly(5)) == b"HTTP/"
            writer.transport.abort()
            return found
    if writer is not None:
        writer.transport.abort()
    return False
