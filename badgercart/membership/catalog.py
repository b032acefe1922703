"""The server list: the first whole list, then a watch, opened anew whenever it ends."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Callable
from typing import Any

import httptools

from badgercart.config import Address
from badgercart.membership.events import CATALOG_BROKEN, CATALOG_FAILED

PATH = "/catalog/members"
# An empty line is due every 2 s, and a change counts as told after 6 s, also one that never arrived: a
# watch that has said nothing for this long, in s, is opened anew in time to hear of it.
SILENCE = 4.5
CALL_TIME = 1.5  # s for a connection to come up, and for each part of a whole list
RETRY_FIRST, RETRY_MOST = 0.05, 1.0  # s between tries
MAX_LINE = 8 << 20  # bytes


class DiscoveryError(Exception):
    """A call that gave no list, or a watch that ended: what came instead."""


class Body:
    """The body of one answer, taken out of its framing."""

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.data = bytearray()
        self.complete = False

    def on_body(self, body: bytes) -> None:
        self.data += body

    def on_message_complete(self) -> None:
        self.complete = True

    async def more(self, reader: asyncio.StreamReader, patience: float) -> None:
        async with asyncio.timeout(patience):
            chunk = await reader.read(65536)
        if not chunk:
            raise DiscoveryError("the connection ended")
        self.parser.feed_data(chunk)
        if self.parser.get_status_code() not in (0, 200):
            raise DiscoveryError(f"status {self.parser.get_status_code()}")
        if len(self.data) > MAX_LINE:
            raise DiscoveryError("a line over the limit")


class Discovery:
    """Keeps the list fresh. `on_list` gets each one, raw, and raises ValueError at what it can't take."""

    def __init__(
        self,
        address: Address,
        on_list: Callable[[dict[str, Any]], int],
        rng: random.Random,
        source: str | None = None,  # the address that connections set out from
    ) -> None:
        self.address = address
        self.local = (source, 0) if source else None
        self.on_list = on_list
        self.random = rng
        self.version: int | None = None  # of the list in force; None: the whole list is wanted
        self.retry = RETRY_FIRST
        self.failing = False
        self.task: asyncio.Task[None] | None = None

    def start(self) -> None:
        self.task = asyncio.get_running_loop().create_task(self.run())

    def close(self) -> None:
        if self.task is not None:
            self.task.cancel()

    def move(self, address: Address, anew: bool = False) -> None:
        """Leave the old watch at once. Another service counts its versions anew: fetch the whole list."""
        if address == self.address and not anew:
            return  # asked again and again, it must not begin again and again
        self.close()
        self.address, self.version = address, None
        self.retry, self.failing = RETRY_FIRST, False
        self.start()

    async def run(self) -> None:
        while True:
            try:
                if self.version is None:
                    await self.call(PATH, whole=True)
                await self.call(f"{PATH}?watch=1&from={self.version}", whole=False)
            except (OSError, DiscoveryError, httptools.HttpParserError) as error:
                if not self.failing:  # one line for each stretch of failures
                    CATALOG_FAILED(error=str(error) or type(error).__name__)
                self.failing = True
            except Exception:
                # Whatever it was: a watch that dies of it would leave the node with its old list for ever.
                CATALOG_BROKEN(True)
                self.version = None
            # Nodes that lost discovery together must not come back together.
            await asyncio.sleep(self.retry * (0.5 + self.random.random()))
            self.retry = min(2 * self.retry, RETRY_MOST)

    async def call(self, path: str, whole: bool) -> None:
        host, port = self.address
        async with asyncio.timeout(CALL_TIME):
            reader, writer = await asyncio.open_connection(host, port, local_addr=self.local)
        try:
            writer.write(f"GET {path} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n".encode())
            body = Body()
            while not body.complete:
                await body.more(reader, CALL_TIME if whole else SILENCE)
                if not whole:
                    *lines, rest = body.data.split(b"\n")
                    body.data = rest
                    for line in lines:
                        self.take(bytes(line))
            if whole or body.data:
                self.take(bytes(body.data))
            if not whole:
                raise DiscoveryError("the watch ended")
        finally:
            writer.close()

    def take(self, line: bytes) -> None:
        try:
            if line.strip():
                self.version = self.on_list(json.loads(line))
            self.retry, self.failing = RETRY_FIRST, False
        except (ValueError, RecursionError) as error:
            # A change may have been missed with it: only the whole list brings it back.
            self.version = None
            raise DiscoveryError(f"malformed list: {error}") from None
