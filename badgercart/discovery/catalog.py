"""Follows the platform's discovery service: fetches a snapshot of the list, then watches its deltas.

The watch is opened again whenever it ends or falls silent.
"""

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

CATALOG_PATH = "/catalog/members"
# The service sends a line every 2 s, if only an empty one, and a change that a lost watch missed
# must be known 6 s after its last line. A watch that is silent for this long is opened again; that
# leaves half of the 6 s, enough for two calls that hang.
WATCH_SILENCE_TIMEOUT_S = 3.0
# A list that arrives at least this fast is waited for, unless it stops.
MIN_TRANSFER_BYTES_PER_S = 64_000
# The next call is opened beside one whose list has begun and of which nothing more has arrived for
# this long.
LIST_SILENCE_TIMEOUT_S = 1.0
# The first list of a watch may take this many times longer, as other calls are opened beside it.
FIRST_LIST_PATIENCE = 4
READ_CHUNK_BYTES = 65536
# Without any of these, a body ends with its connection (RFC 9112, section 6.3).
FRAMING_HEADERS = frozenset((b"content-length", b"transfer-encoding"))


class DiscoveryError(Exception):
    """A call that gave no list, or a watch that ended; the text says what was received instead."""


class ResponseBody:
    """The body of one response, decoded from its HTTP framing."""

    def __init__(self) -> None:
        """Start before the first byte of the response."""
        self.parser = httptools.HttpResponseParser(self)
        self.data = bytearray()
        # Bytes of the body received so far, and when the last of them was, on the loop's clock.
        self.size_bytes = 0
        self.received_at_s = -math.inf
        self.complete = False
        # Whether only the end of the connection ends the body.
        self.ends_by_close = True

    def on_header(self, name: bytes, value: bytes) -> None:  # noqa: ARG002 - the parser's signature
        """Note a header that frames the body (a callback of the parser)."""
        if name.lower() in FRAMING_HEADERS:
            self.ends_by_close = False

    def on_body(self, body: bytes) -> None:
        """Buffer a part of the body (a callback of the parser)."""
        self.data += body
        self.size_bytes += len(body)

    def take_data(self) -> bytes:
        """Return the bytes received since the last call, and clear the buffer."""
        data = bytes(self.data)
        self.data.clear()
        return data

    def on_message_complete(self) -> None:
        """Record the end of the response (a callback of the parser)."""
        self.complete = True

    async def read_more(
        self, reader: asyncio.StreamReader, deadline_s: float | None = None
    ) -> None:
        """Read on, until a time of the event loop's clock at the latest.

        Raises TimeoutError, DiscoveryError.
        """
        async with asyncio.timeout_at(deadline_s):
            chunk = await reader.read(READ_CHUNK_BYTES)
        if not chunk:
            if not self.ends_by_close or not self.size_bytes:
                raise DiscoveryError("the connection ended")
            self.complete = True
            return
        size_bytes = self.size_bytes
        self.parser.feed_data(chunk)
        if self.size_bytes > size_bytes:
            self.received_at_s = asyncio.get_running_loop().time()
        if self.parser.get_status_code() not in (0, 200):
            raise DiscoveryError(f"status {self.parser.get_status_code()}")
        if len(self.data) > MAX_LIST_BYTES:
            raise DiscoveryError("a list over the limit")


class Call:
    """One call, for a snapshot or for a watch. Times are of the event loop's clock."""

    def __init__(self, is_snapshot: bool, started_at_s: float) -> None:
        """Take what is called for, and when."""
        self.is_snapshot = is_snapshot
        self.started_at_s = started_at_s
        # When the first list or heartbeat was complete.
        self.first_received_at_s = math.inf
        self.body = ResponseBody()
        self.task: asyncio.Task[None] | None = None

    @property
    def silent_since_s(self) -> float:
        """When a part of the list was last received; before the first, when the call started."""
        return max(self.started_at_s, self.body.received_at_s)

    def describe_delay(self, now_s: float) -> str:
        """Return what is missing of the response, for the log."""
        if not self.body.size_bytes:
            return f"no answer in {now_s - self.started_at_s:.1f} s"
        return (
            f"{self.body.size_bytes} bytes of a list in {now_s - self.started_at_s:.1f} s, and no"
            f" more for {now_s - self.silent_since_s:.1f} s"
        )

    def awaited_until_s(self, response_timeout_s: float) -> float:
        """Return when the next call is due: the list has stopped, or arrives too slowly."""
        transfer_s = self.body.size_bytes / MIN_TRANSFER_BYTES_PER_S
        return min(
            self.started_at_s + response_timeout_s + transfer_s,
            self.silent_since_s + max(response_timeout_s, LIST_SILENCE_TIMEOUT_S),
        )


class Discovery:
    """Keeps the list fresh.

    `on_list` gets each list as decoded JSON, returns its version, and raises ValueError where the
    list is invalid.
    """

    def __init__(
        self,
        address: Address,
        on_list: Callable[[dict[str, Any]], int],
        rng: random.Random,
        source: str | None = None,
        timing: CallTiming | None = None,
    ) -> None:
        """Take the service's address and the local address that connections start from.

        Without `timing`, the service counts as one that all nodes share.
        """
        self.timing = timing or CallTiming.for_shared_service()
        self.address = address
        self.local = (source, 0) if source else None
        self.on_list = on_list
        # Called after each list or heartbeat: the list is up to date then.
        self.on_received: Callable[[], None] = lambda: None
        self.retry_state = RetryState(rng)
        # Version of the list in force; None: a snapshot must be fetched.
        self.version: int | None = None
        self.failing = False
        # Open calls, the oldest first. One that has received something is the only one.
        self.calls: list[Call] = []
        # When the next call is opened, on the event loop's clock.
        self.next_call_at_s = -math.inf
        # From the start of the latest call to the next one beside it, if nothing is received.
        self.next_call_after_s = 0.0
        # Set when one of the above has changed.
        self.wakeup = asyncio.Event()
        self.task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start to follow the list."""
        self.next_call_at_s = -math.inf
        self.task = asyncio.get_running_loop().create_task(self.run())

    def close(self) -> None:
        """Close all calls."""
        if self.task is not None:
            self.task.cancel()
        self.drop(self.calls)

    def move(self, address: Address, refetch: bool = False) -> None:
        """Follow another address from now on; with `refetch`, fetch a snapshot even from the same.

        Another service has versions of its own, so a snapshot is fetched.
        """
        # Repeated requests for the same address must not restart the watch each time.
        if address == self.address and not refetch:
            return
        self.close()
        self.address, self.version = address, None
        self.retry_state, self.failing = RetryState(self.retry_state.random), False
        self.start()

    async def run(self) -> None:
        """Open calls as they are due."""
        loop = asyncio.get_running_loop()
        while True:
            self.wakeup.clear()
            if loop.time() < self.next_call_at_s:
                with suppress(TimeoutError):
                    async with asyncio.timeout_at(
                        None if self.next_call_at_s == math.inf else self.next_call_at_s
                    ):
                        await self.wakeup.wait()
            else:
                # A list that arrives slowly, but still arrives, is waited for.
                waits_until_s = (
                    self.calls[-1].awaited_until_s(self.next_call_after_s)
                    if self.calls
                    else -math.inf
                )
                if loop.time() < waits_until_s:
                    self.next_call_at_s = waits_until_s
                else:
                    self.open(loop.time())

    def open(self, now_s: float) -> None:
        """Open a call, beside those that have received nothing."""
        if self.calls:
            self.log_failure(self.calls[-1].describe_delay(now_s))
        if len(self.calls) >= MAX_OPEN_CALLS:
            # Where the service works through calls in turn, the first is the next to get a
            # response, unless it is lost. So the second is dropped while the first is recent, or
            # still brings more of its list.
            silence_s = now_s - self.calls[0].silent_since_s
            self.drop([self.calls[silence_s < OLDEST_CALL_TIMEOUT_S]])
        call = Call(self.version is None, now_s)
        self.calls.append(call)
        self.next_call_after_s = self.retry_state.call_opened(self.timing)
        self.next_call_at_s = now_s + self.next_call_after_s
        call.task = asyncio.get_running_loop().create_task(self.attend(call))

    def drop(self, calls: list[Call]) -> None:
        """Close these calls."""
        for call in list(calls):
            self.calls.remove(call)
            if call.task is not None:
                call.task.cancel()

    def log_failure(self, error: str) -> None:
        """Log a failure: one line for each series of failures."""
        if not self.failing:
            CATALOG_FAILED(error=error)
        self.failing = True

    async def attend(self, call: Call) -> None:
        """Run a call to its end, then set when the next is due."""
        now_s = asyncio.get_running_loop().time
        try:
            await self.execute(call)
        except (OSError, DiscoveryError, httptools.HttpParserError) as error:
            self.log_failure(str(error) or type(error).__name__)
        except Exception:
            # Any exception must be caught here: if the watch died of it, the node would keep its
            # old list for ever.
            CATALOG_BROKEN(True)
            self.version = None
        if call not in self.calls:
            # Another call received something first.
            return
        self.calls.remove(call)
        if call.is_snapshot and call.first_received_at_s < math.inf:
            # The watch is opened at once.
            self.next_call_at_s = now_s()
        else:
            if self.version is None:
                # Other watches continue from a list that can no longer be trusted.
                self.drop([other for other in self.calls if not other.is_snapshot])
            if call.first_received_at_s < math.inf:
                self.retry_state.watch_ended(now_s() - call.first_received_at_s, self.timing)
            if not self.calls:
                self.next_call_at_s = now_s() + self.retry_state.next_retry_delay_s(self.timing)
        self.wakeup.set()

    def call_received(self, call: Call) -> None:
        """Keep the call that received a complete list or heartbeat, and close those beside it."""
        self.retry_state.list_received()
        self.failing = False
        self.on_received()
        if call.first_received_at_s == math.inf:
            call.first_received_at_s, self.next_call_at_s = (
                asyncio.get_running_loop().time(),
                math.inf,
            )
            self.drop([other for other in self.calls if other is not call])
            self.wakeup.set()

    async def execute(self, call: Call) -> None:
        """Connect, send the request and read the response."""
        host, port = self.address
        path = CATALOG_PATH if call.is_snapshot else f"{CATALOG_PATH}?watch=1&from={self.version}"
        reader, writer = await asyncio.open_connection(host, port, local_addr=self.local)
        try:
            writer.write(f"GET {path} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n".encode())
            await (self.fetch(call, reader) if call.is_snapshot else self.follow(call, reader))
        finally:
            writer.close()

    async def fetch(self, call: Call, reader: asyncio.StreamReader) -> None:
        """Read a snapshot. If it stops arriving, `run` opens another call beside this one."""
        while not call.body.complete:
            await call.body.read_more(reader)
        self.apply_lists(call, lambda: [parse_list(call.body.take_data())])

    async def follow(self, call: Call, reader: asyncio.StreamReader) -> None:
        """Apply deltas as they are received.

        Raises when the watch ends or falls silent. Only complete lines count against silence, not
        bytes alone.
        """
        loop, body, parser = asyncio.get_running_loop(), call.body, ListParser()
        # When a line was last complete, and since when a list has been incomplete.
        line_complete_at_s = list_started_at_s = loop.time()
        # Bytes of the body before that list.
        list_offset_bytes = 0
        while not body.complete:
            # The first line has no deadline; instead `run` opens the next call beside this one.
            deadline_s = None
            if parser.partial:
                transfer_s = (body.size_bytes - list_offset_bytes) / MIN_TRANSFER_BYTES_PER_S
                deadline_s = list_started_at_s + self.timing.response_timeout_s
                if call.first_received_at_s == math.inf:
                    deadline_s += FIRST_LIST_PATIENCE * transfer_s
                else:
                    silence_ends_s = body.received_at_s + WATCH_SILENCE_TIMEOUT_S
                    deadline_s = min(deadline_s + transfer_s, silence_ends_s)
            elif call.first_received_at_s < math.inf:
                deadline_s = line_complete_at_s + WATCH_SILENCE_TIMEOUT_S
            try:
                await body.read_more(reader, deadline_s)
            except TimeoutError:
                if parser.partial:
                    self.apply_partial(call, parser)
                raise
            received = self.apply_lists(call, lambda: parser.feed(body.take_data()))
            if received:
                line_complete_at_s = loop.time()
            if received or not parser.partial:
                list_started_at_s, list_offset_bytes = loop.time(), body.size_bytes
        self.apply_lists(call, parser.end)
        raise DiscoveryError("the watch ended")

    def apply_partial(self, call: Call, parser: ListParser) -> None:
        """Apply a list that has stopped arriving and lacks only its line break.

        Raises DiscoveryError that it is truncated; the calls beside this one bring what it lacks.
        """
        version = self.version
        try:
            self.apply_lists(call, parser.end)
        except DiscoveryError:
            if self.calls != [call]:
                self.version = version
            raise

    def check_version(self, item: dict[str, Any]) -> None:
        """Raise ValueError for changes that come before the list in force.

        They are of another process at the service's address, which counts versions of its own.
        """
        version = item.get("generation")
        if (
            self.version is not None
            and not item.get("reset")
            and isinstance(version, int)
            and version < self.version
        ):
            raise ValueError(f"changes of version {version} after version {self.version}")

    def apply_lists(self, call: Call, lists: Callable[[], list[dict[str, Any] | None]]) -> int:
        """Parse and apply lists, and return how many there were, heartbeats (None) included.

        Raises DiscoveryError.
        """
        try:
            parsed = lists()
            for item in parsed:
                if item is not None:
                    self.check_version(item)
                    self.version = self.on_list(item)
                self.call_received(call)
        except ValueError as error:
            # A change may have been missed with it: only a snapshot recovers it.
            self.version = None
            raise DiscoveryError(f"malformed list: {error}") from None
        return len(parsed)
