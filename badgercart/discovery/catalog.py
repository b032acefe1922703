"""The platform's catalog: a snapshot of the list, then a watch, renewed whenever it ends or is silent."""

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
    FIRST_CALL_PATIENCE_S,
    MAX_CALLS,
    Backoff,
    CallPacing,
)
from badgercart.discovery.catalog_call import CatalogCall
from badgercart.discovery.errors import CallFailedError
from badgercart.discovery.list_framing import ListDecoder, parse_list
from badgercart.discovery.log_events import CATALOG_BROKEN, CATALOG_FAILED

CATALOG_PATH = "/catalog/members"
# A line is due every 2 s, if only an empty one, and a change counts as delivered 6 s after the last
# one, though it never arrived. A watch that has been silent for this long is opened anew, with half of
# that time left for it: two calls may hang.
WATCH_SILENCE_S = 3.0
MIN_BYTES_PER_S = 64_000  # that a list comes in with

# What is called with each list, raw. It returns the list's version, and raises ValueError at a list
# that it can't accept.
UpdateCallback = Callable[[dict[str, Any]], int]


class CatalogClient:
    """Keeps the list fresh by calls to the catalog, several at once where one says nothing."""

    def __init__(
        self,
        address: Address,
        on_update: UpdateCallback,
        rng: random.Random,
        source: str | None = None,
        pacing: CallPacing | None = None,
    ) -> None:
        """Set up a client that does not call yet.

        Args:
            address: of the catalog.
            on_update: called with each list.
            rng: of the jitter.
            source: the address that connections set out from; None: the system's choice.
            pacing: of the calls; None: as towards one service of all nodes.
        """
        self.pacing = pacing or CallPacing.for_shared_service()
        self.address = address
        self.local_address = (source, 0) if source else None
        self.on_update = on_update
        self.backoff = Backoff(rng)
        self.version: int | None = None  # of the list in force; None: a snapshot is wanted
        self.failing = False
        # Those that are open, the first first. One that has an update is open alone.
        self.calls: list[CatalogCall] = []
        self.next_call_s = -math.inf  # on the loop's clock
        self.parallel_delay_s = 0.0  # from the last call's start, if nothing comes of it
        self.wakeup = asyncio.Event()  # one of the above has changed
        self.task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begin to call."""
        self.next_call_s = -math.inf
        self.task = asyncio.get_running_loop().create_task(self._open_calls())

    def close(self) -> None:
        """End all calls."""
        if self.task is not None:
            self.task.cancel()
        self._cancel_calls(self.calls)

    def move(self, address: Address, anew: bool = False) -> None:
        """Leave the old watch at once for another address, or for the same one `anew`.

        Another service counts its versions anew, so that a snapshot is fetched. A second call with
        the same address has no effect.
        """
        if address == self.address and not anew:
            return
        self.close()
        self.address, self.version = address, None
        self.backoff, self.failing = Backoff(self.backoff.random), False
        self.start()

    # Calls.

    async def _open_calls(self) -> None:
        """Open calls as they are due."""
        loop = asyncio.get_running_loop()
        while True:
            self.wakeup.clear()
            if loop.time() < self.next_call_s:
                await self._wait_until(self.next_call_s)
                continue
            patience_s = self._patience_ends_s()
            if loop.time() < patience_s:
                self.next_call_s = patience_s
            else:
                self._open_call(loop.time())

    async def _wait_until(self, until: float) -> None:
        """Wait until a time, or until something changes."""
        with suppress(TimeoutError):
            async with asyncio.timeout_at(None if until == math.inf else until):
                await self.wakeup.wait()

    def _patience_ends_s(self) -> float:
        """Return until when the last call is waited for: a list may come slowly, if it comes on."""
        if not self.calls:
            return -math.inf
        return progress_s(self.calls[-1]) + self.parallel_delay_s

    def _open_call(self, now: float) -> None:
        if self.calls:
            self._report_failure(f"no answer in {self.parallel_delay_s:.1f} s")
        if len(self.calls) >= MAX_CALLS:
            # The first is the next to be answered where calls are worked through in turn, unless it
            # is lost.
            first_may_answer = now - progress_s(self.calls[0]) < FIRST_CALL_PATIENCE_S
            self._cancel_calls([self.calls[1 if first_may_answer else 0]])
        call = CatalogCall(self.version is None, now)
        self.calls.append(call)
        self.parallel_delay_s = self.backoff.parallel_delay(self.pacing)
        self.next_call_s = now + self.parallel_delay_s
        call.task = asyncio.get_running_loop().create_task(self._supervise(call))

    def _cancel_calls(self, calls: list[CatalogCall]) -> None:
        for call in list(calls):
            self.calls.remove(call)
            if call.task is not None:
                call.task.cancel()

    def _report_failure(self, error: str) -> None:
        """Log the first failure of a stretch of failures."""
        if not self.failing:
            CATALOG_FAILED(error=error)
        self.failing = True

    async def _supervise(self, call: CatalogCall) -> None:
        """See a call to its end, and set when the next is due."""
        try:
            await self._perform(call)
        except (OSError, CallFailedError, httptools.HttpParserError) as error:
            self._report_failure(str(error) or type(error).__name__)
        except Exception:
            # A watch that ended here would leave the node with its old list for ever.
            CATALOG_BROKEN(True)
            self.version = None
        if call not in self.calls:
            return  # another had an update first
        self.calls.remove(call)
        self._schedule_after(call)
        self.wakeup.set()

    def _schedule_after(self, call: CatalogCall) -> None:
        """Set when the next call is due, behind one that has ended."""
        now = asyncio.get_running_loop().time()
        if call.is_snapshot and call.has_update:
            self.next_call_s = now  # for the watch
            return
        if self.version is None:
            # Watches would go on from a list that is not to be trusted.
            self._cancel_calls([other for other in self.calls if not other.is_snapshot])
        if call.has_update:
            self.backoff.watch_ended(now - call.first_update_s, self.pacing)
        if not self.calls:
            self.next_call_s = now + self.backoff.retry_delay(self.pacing)

    # One call.

    async def _perform(self, call: CatalogCall) -> None:
        host, port = self.address
        watch = "" if call.is_snapshot else f"?watch=1&from={self.version}"
        reader, writer = await asyncio.open_connection(host, port, local_addr=self.local_address)
        try:
            request = f"GET {CATALOG_PATH}{watch} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n"
            writer.write(request.encode())
            if call.is_snapshot:
                await self._fetch_snapshot(call, reader)
            else:
                await self._follow_watch(call, reader)
        finally:
            writer.close()

    async def _fetch_snapshot(self, call: CatalogCall, reader: asyncio.StreamReader) -> None:
        """Fetch all endpoints. Where they do not come on, another call is opened beside this one."""
        while not call.body.complete:
            await call.body.receive(reader)
        self._accept(call, lambda: [parse_list(call.body.take())])

    async def _follow_watch(self, call: CatalogCall, reader: asyncio.StreamReader) -> None:
        """Take changes as they come.

        Raises:
            CallFailedError: the watch ended, or a list is malformed.
            TimeoutError: nothing came whole for too long. Bytes alone are no sign of life.
        """
        loop, body, decoder = asyncio.get_running_loop(), call.body, ListDecoder()
        last_update_s = list_since_s = loop.time()
        bytes_before_list = 0
        while not body.complete:
            # A first update is not waited for, but the next call is opened beside this one.
            until = None
            if decoder.has_partial_list:
                list_bytes = body.received_bytes - bytes_before_list
                until = list_since_s + self.pacing.parallel_after_s + list_bytes / MIN_BYTES_PER_S
            elif call.has_update:
                until = last_update_s + WATCH_SILENCE_S
            try:
                await body.receive(reader, until)
            except TimeoutError:
                if decoder.has_partial_list:
                    # Raises that the list is cut, unless only the end of its line is missing.
                    self._accept(call, decoder.finish)
                raise
            updates = self._accept(call, lambda: decoder.feed(body.take()))
            if updates:
                last_update_s = loop.time()
            if updates or not decoder.has_partial_list:
                list_since_s, bytes_before_list = loop.time(), body.received_bytes
        self._accept(call, decoder.finish)
        raise CallFailedError("the watch ended")

    def _accept(self, call: CatalogCall, read: Callable[[], list[dict[str, Any] | None]]) -> int:
        """Put lists in force as they are read; return how many came, signs of life among them.

        Raises:
            CallFailedError: a list is malformed, or can't be accepted.
        """
        try:
            updates = read()
            for update in updates:
                if update is not None:
                    self.version = self.on_update(update)
                self._update_received(call)
        except ValueError as error:
            # A change may have been missed with it: only a snapshot brings it back.
            self.version = None
            raise CallFailedError(f"malformed list: {error}") from error
        return len(updates)

    def _update_received(self, call: CatalogCall) -> None:
        """Keep the call that something came of, and end those beside it."""
        self.backoff.update_received()
        self.failing = False
        if not call.has_update:
            call.first_update_s = asyncio.get_running_loop().time()
            self.next_call_s = math.inf
            self._cancel_calls([other for other in self.calls if other is not call])
            self.wakeup.set()


def progress_s(call: CatalogCall) -> float:
    """Return when a call began, later by the time that the bytes received may have taken."""
    return call.begun_s + call.body.received_bytes / MIN_BYTES_PER_S
