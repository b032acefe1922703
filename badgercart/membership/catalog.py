"""The server list: the first whole list, then a watch, opened anew whenever it ends."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import httptools

from badgercart.config import Address
from badgercart.membership.events import CATALOG_BROKEN, CATALOG_FAILED
from badgercart.membership.texts import MOST, Texts, read

PATH = "/catalog/members"
# A line is due every 2 s, if only an empty one, and a change counts as told 6 s after the last one, though it
# never arrived. A watch that has said nothing for so long, in s, is opened anew, with half of that time left
# for it: a first call may hang.
SILENCE = 3.0
RETRY_FIRST = 0.05  # s before the next try
RATE = 64_000  # bytes a second that a list comes in with at least


@dataclass(slots=True, frozen=True)
class Pace:
    """How patient calls are, and how soon they are made again."""

    call: float  # s for a connection to come up, for an answer to begin, and for a list that has begun
    retry: float  # s between tries, at most half as much again

    @classmethod
    def shared(cls) -> Pace:
        """One service for all nodes: it works through calls in turn, and must be spared."""
        return cls(call=1.5, retry=1.0)

    @classmethod
    def agent(cls, grace: float) -> Pace:
        """An agent of the node's own, which answers at once. Whatever it has counts as told.

        When it comes back, what it has must be heard within the grace (ms) in which a server that drains may
        still be sent something: one call that hangs and one pause take four fifths of that."""
        return cls(call=grace / 2 / 1000, retry=grace / 5 / 1000)


class DiscoveryError(Exception):
    """A call that gave no list, or a watch that ended: what came instead."""


class Body:
    """The body of one answer, taken out of its framing."""

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.data = bytearray()
        self.size = 0  # of it so far
        self.begun = self.complete = False

    def on_body(self, body: bytes) -> None:
        self.data += body
        self.size += len(body)

    def taken(self) -> bytes:
        """What has come of it since."""
        data = bytes(self.data)
        self.data.clear()
        return data

    def on_message_complete(self) -> None:
        self.complete = True

    async def more(self, reader: asyncio.StreamReader, until: float) -> None:
        """Read on, until a moment of the loop's clock at the latest. Raises TimeoutError, DiscoveryError."""
        async with asyncio.timeout_at(until):
            chunk = await reader.read(65536)
        if not chunk:
            raise DiscoveryError("the connection ended")
        self.parser.feed_data(chunk)
        if self.parser.get_status_code() not in (0, 200):
            raise DiscoveryError(f"status {self.parser.get_status_code()}")
        self.begun = True
        if len(self.data) > MOST:
            raise DiscoveryError("a list over the limit")


class Discovery:
    """Keeps the list fresh. `on_list` gets each one, raw, and raises ValueError at what it can't take."""

    def __init__(
        self,
        address: Address,
        on_list: Callable[[dict[str, Any]], int],
        rng: random.Random,
        source: str | None = None,  # the address that connections set out from
        pace: Pace | None = None,  # None: as with one service for all nodes
    ) -> None:
        self.pace = pace or Pace.shared()
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
            self.retry = min(2 * self.retry, self.pace.retry)

    async def call(self, path: str, whole: bool) -> None:
        host, port = self.address
        async with asyncio.timeout(self.pace.call):
            reader, writer = await asyncio.open_connection(host, port, local_addr=self.local)
        try:
            writer.write(f"GET {path} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n".encode())
            await (self.fetch(reader) if whole else self.follow(reader))
        finally:
            writer.close()

    async def fetch(self, reader: asyncio.StreamReader) -> None:
        """The whole list, which may come slowly, but has to come on."""
        body, begun = Body(), asyncio.get_running_loop().time()
        while not body.complete:
            await body.more(reader, begun + self.pace.call + body.size / RATE)
        self.take(lambda: [read(body.taken())])

    async def follow(self, reader: asyncio.StreamReader) -> None:
        """Changes, as they come. Raises when the watch ends or is silent: bytes alone are no life."""
        loop, body, texts = asyncio.get_running_loop(), Body(), Texts()
        alive = part = loop.time()  # when a line last came whole; since when a list has not
        came = 0  # bytes before that list
        while not body.complete:
            until = alive + SILENCE
            if not body.begun:
                until = alive + self.pace.call
            elif texts.partial:
                until = part + self.pace.call + (body.size - came) / RATE
            try:
                await body.more(reader, until)
            except TimeoutError:
                if texts.partial:
                    self.take(texts.end)  # which says that it is cut, unless only its line's end is missing
                raise
            found = self.take(lambda: texts.feed(body.taken()))
            if found:
                alive = loop.time()
            if found or not texts.partial:
                part, came = loop.time(), body.size
        self.take(texts.end)
        raise DiscoveryError("the watch ended")

    def take(self, lists: Callable[[], list[dict[str, Any] | None]]) -> int:
        """Take over lists as they are read; how many came, signs of life too. Raises DiscoveryError."""
        try:
            found = lists()
            for told in found:
                if told is not None:
                    self.version = self.on_list(told)
                self.retry, self.failing = RETRY_FIRST, False
        except ValueError as error:
            # A change may have been missed with it: only the whole list brings it back.
            self.version = None
            raise DiscoveryError(f"malformed list: {error}") from None
        return len(found)
