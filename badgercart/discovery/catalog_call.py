"""One call to the catalog: its connection, and the body of its response."""

from __future__ import annotations

import asyncio
import math

import httptools

from badgercart.discovery.errors import CallFailedError
from badgercart.discovery.list_framing import MAX_LIST_BYTES

READ_BYTES = 65536


class ResponseBody:
    """The body of one response, taken out of its framing."""

    def __init__(self) -> None:
        """Set up a body of which nothing was received."""
        self.parser = httptools.HttpResponseParser(self)
        self.data = bytearray()  # what was not taken yet
        self.received_bytes = 0
        self.complete = False

    def on_body(self, body: bytes) -> None:
        """Take a part of the body from the parser."""
        self.data += body
        self.received_bytes += len(body)

    def on_message_complete(self) -> None:
        """Take note of the body's end from the parser."""
        self.complete = True

    def take(self) -> bytes:
        """Return what was received since."""
        data = bytes(self.data)
        self.data.clear()
        return data

    async def receive(self, reader: asyncio.StreamReader, until: float | None = None) -> None:
        """Read on, until a moment of the loop's clock at the latest.

        Raises:
            TimeoutError: nothing came until then.
            CallFailedError: the connection ended, or what came is no list.
        """
        async with asyncio.timeout_at(until):
            chunk = await reader.read(READ_BYTES)
        if not chunk:
            raise CallFailedError("the connection ended")
        self.parser.feed_data(chunk)
        status = self.parser.get_status_code()
        if status not in (0, 200):
            raise CallFailedError(f"status {status}")
        if len(self.data) > MAX_LIST_BYTES:
            raise CallFailedError("a list over the limit")


class CatalogCall:
    """One call, for a snapshot of the list or for a watch."""

    def __init__(self, is_snapshot: bool, begun_s: float) -> None:
        """Set up a call that begins at this time of the loop's clock."""
        self.is_snapshot = is_snapshot
        self.begun_s = begun_s
        self.first_update_s = math.inf  # when something of it first came whole
        self.body = ResponseBody()
        self.task: asyncio.Task[None] | None = None

    @property
    def has_update(self) -> bool:
        """Whether something of it has come whole."""
        return self.first_update_s < math.inf
