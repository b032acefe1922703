"""Asks one server whether it answers at all: one request, one status line, one connection."""

from __future__ import annotations

import asyncio
import contextlib

from badgercart.config import Address


async def answers_http(
    address: Address, path: str, timeout_ms: float, source_address: str | None
) -> bool:
    """Return whether an answer of any status comes in time; a connection alone is none.

    Args:
        address: of the server.
        path: to ask for.
        timeout_ms: for connection and answer together.
        source_address: from which to connect; None: any.
    """
    writer = None
    with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
        async with asyncio.timeout(timeout_ms / 1000):
            local = (source_address, 0) if source_address is not None else None
            reader, writer = await asyncio.open_connection(*address, local_addr=local)
            writer.write(_request(address, path))
            found = (await reader.readexactly(5)) == b"HTTP/"
            writer.transport.abort()
            return found
    if writer is not None:
        writer.transport.abort()
    return False


def _request(address: Address, path: str) -> bytes:
    host = f"{address[0]}:{address[1]}"
    return f"GET {path} HTTP/1.1\r\nHost: {host}\r\nConnection: close\r\n\r\n".encode()
