"""The server list: the first whole list, then a watch, opened anew whenever it ends or falls
silent."""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable
from contextlib import suppress
from typing import Any

import httptools

from badgercart.config import Address
from badgercart.discovery.backoff import (
    MAX_OPEN_CALLS,
    OLDEST_CALL_TIMEOUT_S,
    CallTiming,
    RetryState,
)
from badgercart.discovery.list_framing import MAX_LIST_BYTES, ListParser, parse_list
from badgercart.discovery.log_events import CATALOG_BROKEN, CATALOG_FAILED

PATH = "/catalog/members"
# A line is due every 2 s, if only an empty one, and a change counts as told 6 s after the last one,
# though it never arrived. A watch that has said nothing for so long, in s, is opened anew, with
# half of that time left for it: two calls may hang.
WATCH_SILENCE_TIMEOUT_S = 3.0
MIN_TRANSFER_BYTES_PER_S = 64_000  # bytes a second that a list comes in with at least


class DiscoveryError(Exception):
    """A call that gave no list, or a watch that ended: what came instead."""


class Body:
    """The body of one answer, taken out of its framing."""

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.data = bytearray()
        self.size = 0  # of it so far
        self.complete = False

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

    async def more(self, reader: asyncio.StreamReader, until: float | None = None) -> None:
        """Read on, until a moment of the loop's clock at the latest. Raises TimeoutError,
        DiscoveryError."""
        async with asyncio.timeout_at(until):
            chunk = await reader.read(65536)
        if not chunk:
            raise DiscoveryError("the connection ended")
        self.parser.feed_data(chunk)
        if self.parser.get_status_code() not in (0, 200):
            raise DiscoveryError(f"status {self.parser.get_status_code()}")
        if len(self.data) > MAX_LIST_BYTES:
            raise DiscoveryError("a list over the limit")


class Call:
    """One call, for the whole list or for a watch."""

    def __init__(self, whole: bool, begun: float) -> None:
        self.whole = whole
        self.begun = begun  # on the loop's clock
        self.heard = math.inf  # when something of it first came whole
        self.body = Body()
        self.task: asyncio.Task[None] | None = None

    @property
    def credit(self) -> float:
        """When it began, for one whose bytes come on: later by the time that these may take."""
        return self.begun + self.body.size / MIN_TRANSFER_BYTES_PER_S


class Discovery:
    """Keeps the list fresh. `on_list` gets each one, raw, and raises ValueError at what it can't
    take."""

    def __init__(
        self,
        address: Address,
        on_list: Callable[[dict[str, Any]], int],
        rng: random.Random,
        source: str | None = None,  # the address that connections set out from
        timing: CallTiming | None = None,  # None: as with one service for all nodes
    ) -> None:
        self.timing = timing or CallTiming.for_shared_service()
        self.address = address
        self.local = (source, 0) if source else None
        self.on_list = on_list
        self.tries = RetryState(rng)
        self.version: int | None = None  # of the list in force; None: the whole list is wanted
        self.failing = False
        self.calls: list[
            Call
        ] = []  # that are out, the first first; one that was heard is out alone
        self.due = -math.inf  # when the next is opened, on the loop's clock
        self.beside = 0.0  # s from the last call's start, if nothing comes of it
        self.woken = asyncio.Event()  # something above has changed
        self.task: asyncio.Task[None] | None = None

    def start(self) -> None:
        self.due = -math.inf
        self.task = asyncio.get_running_loop().create_task(self.run())

    def close(self) -> None:
        if self.task is not None:
            self.task.cancel()
        self.drop(self.calls)

    def move(self, address: Address, refetch: bool = False) -> None:
        """Leave the old watch at once. Another service counts its versions anew: fetch the whole
        list."""
        if address == self.address and not refetch:
            return  # asked again and again, it must not begin again and again
        self.close()
        self.address, self.version = address, None
        self.tries, self.failing = RetryState(self.tries.random), False
        self.start()

    async def run(self) -> None:
        """Open calls as they are due."""
        loop = asyncio.get_running_loop()
        while True:
            self.woken.clear()
            if loop.time() < self.due:
                with suppress(TimeoutError):
                    async with asyncio.timeout_at(None if self.due == math.inf else self.due):
                        await self.woken.wait()
            else:
                # A list that comes slowly, but comes on, is waited for.
                coming = self.calls[-1].credit + self.beside if self.calls else -math.inf
                if loop.time() < coming:
                    self.due = coming
                else:
                    self.open(loop.time())

    def open(self, now: float) -> None:
        if self.calls:
            self.note(f"no answer in {self.beside:.1f} s")
        if len(self.calls) >= MAX_OPEN_CALLS:
            # The first is the next to be answered where calls are worked through in turn, if it is
            # not lost.
            self.drop([self.calls[now - self.calls[0].credit < OLDEST_CALL_TIMEOUT_S]])
        call = Call(self.version is None, now)
        self.calls.append(call)
        self.beside = self.tries.call_opened(self.timing)
        self.due = now + self.beside
        call.task = asyncio.get_running_loop().create_task(self.attend(call))

    def drop(self, calls: list[Call]) -> None:
        for call in list(calls):
            self.calls.remove(call)
            if call.task is not None:
                call.task.cancel()

    def note(self, error: str) -> None:
        if not self.failing:  # one line for each stretch of failures
            CATALOG_FAILED(error=error)
        self.failing = True

    async def attend(self, call: Call) -> None:
        """See a call to its end, and say when the next is due."""
        now = asyncio.get_running_loop().time
        try:
            await self.carry_out(call)
        except (OSError, DiscoveryError, httptools.HttpParserError) as error:
            self.note(str(error) or type(error).__name__)
        except Exception:
            # Whatever it was: a watch that dies of it would leave the node with its old list for
            # ever.
            CATALOG_BROKEN(True)
            self.version = None
        if call not in self.calls:
            return  # another was heard first
        self.calls.remove(call)
        if call.whole and call.heard < math.inf:
            self.due = now()  # the watch
        else:
            if self.version is None:  # watches go on from a list that is not to be trusted
                self.drop([other for other in self.calls if not other.whole])
            if call.heard < math.inf:
                self.tries.watch_ended(now() - call.heard, self.timing)
            if not self.calls:
                self.due = now() + self.tries.next_retry_delay_s(self.timing)
        self.woken.set()

    def heard(self, call: Call) -> None:
        """Something came whole: this call stays, and those beside it end."""
        self.tries.list_received()
        self.failing = False
        if call.heard == math.inf:
            call.heard, self.due = asyncio.get_running_loop().time(), math.inf
            self.drop([other for other in self.calls if other is not call])
            self.woken.set()

    async def carry_out(self, call: Call) -> None:
        host, port = self.address
        path = PATH if call.whole else f"{PATH}?watch=1&from={self.version}"
        reader, writer = await asyncio.open_connection(host, port, local_addr=self.local)
        try:
            writer.write(f"GET {path} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n".encode())
            await (self.fetch(call, reader) if call.whole else self.follow(call, reader))
        finally:
            writer.close()

    async def fetch(self, call: Call, reader: asyncio.StreamReader) -> None:
        """The whole list. Where it does not come on, another call is opened beside this one."""
        while not call.body.complete:
            await call.body.more(reader)
        self.take(call, lambda: [parse_list(call.body.taken())])

    async def follow(self, call: Call, reader: asyncio.StreamReader) -> None:
        """Changes, as they come. Raises when the watch ends or is silent: bytes alone are no
        life."""
        loop, body, texts = asyncio.get_running_loop(), call.body, ListParser()
        alive = part = loop.time()  # when a line last came whole; since when a list has not
        came = 0  # bytes before that list
        while not body.complete:
            until = None  # at first it is not waited for, but the next call is opened beside it
            if texts.partial:
                until = (
                    part
                    + self.timing.response_timeout_s
                    + (body.size - came) / MIN_TRANSFER_BYTES_PER_S
                )
            elif call.heard < math.inf:
                until = alive + WATCH_SILENCE_TIMEOUT_S
            try:
                await body.more(reader, until)
            except TimeoutError:
                if texts.partial:
                    self.take(
                        call, texts.end
                    )  # which says that it is cut, unless only its line's end is missing
                raise
            found = self.take(call, lambda: texts.feed(body.taken()))
            if found:
                alive = loop.time()
            if found or not texts.partial:
                part, came = loop.time(), body.size
        self.take(call, texts.end)
        raise DiscoveryError("the watch ended")

    def take(self, call: Call, lists: Callable[[], list[dict[str, Any] | None]]) -> int:
        """Take over lists as they are read; how many came, signs of life too. Raises
        DiscoveryError."""
        try:
            found = lists()
            for told in found:
                if told is not None:
                    self.version = self.on_list(told)
                self.heard(call)
        except ValueError as error:
            # A change may have been missed with it: only the whole list brings it back.
            self.version = None
            raise DiscoveryError(f"malformed list: {error}") from None
        return len(found)
