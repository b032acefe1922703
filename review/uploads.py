"""Long request bodies for two cases: servers that hang in the middle of one, and the client."""

from __future__ import annotations

import asyncio
import fcntl
import math
import re
import struct
import termios
from dataclasses import dataclass

from small_deployment import (
    NODE_ENDED,
    CaseError,
    Discovery,
    Node,
    Record,
    Server,
    node_config,
    read_message,
    response,
    settings,
)

SERVERS = 12
TIMEOUT_MS = 1900
# An answer up to half a second after the request's time is not lost yet.
LATE_MS = 500.0
# One page says 5.9 to 24 s, another that servers fall silent for 6 s.
HANG_S = 5.95
WATCH_S = 9.0
# So that two of the twelve servers hang at a time at most, under the 19% of the page.
SPACING_S = 3.4
# The page's largest body.
PROBE_BYTES = 32_000_000
PROBE_S = 1.0
PROBES = 3
# Without the disruption the room does not show: bodies are of about this size then.
CALM_BYTES = 4_500_000
PIECE_BYTES = 65536
NO_LIMIT = "this machine takes even the largest body whole"
CONTENT_LENGTH = re.compile(rb"(?i)content-length: (\d+)")


class DispatchServer(Server):
    """A server that takes long bodies. It hangs in the middle of one when `hangs` says so."""

    def __init__(self, name: str, record: Record, faults: Faults) -> None:
        super().__init__(name, self.refuse, record)
        self.faults = faults

    async def refuse(self, *_: object) -> bytes | None:
        """Answer nothing: this class reads requests by itself."""
        return None

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Take the requests of one connection."""
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                found = CONTENT_LENGTH.search(head)
                left = int(found[1]) if found else 0
                self.record(f"{self.name} has a head, {left} bytes are to come")
                if self.faults.hangs and left > PIECE_BYTES:
                    self.record(f"{self.name} hangs")
                    writer.transport.pause_reading()  # type: ignore[attr-defined]
                    self.faults.hangs = False
                    await asyncio.sleep(HANG_S)
                    writer.transport.resume_reading()  # type: ignore[attr-defined]
                    self.record(f"{self.name} goes on")
                while left:
                    data = await reader.read(min(left, PIECE_BYTES))
                    if not data:
                        self.record(f"{self.name}: the connection ended, {left} bytes short")
                        return
                    left -= len(data)
                self.record(f"{self.name} has the last byte, runs the request, answers 200")
                writer.write(response(200, b"booked"))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Faults:
    """Whether the next server that gets a long body hangs in the middle of it."""

    def __init__(self) -> None:
        self.hangs = False


@dataclass
class Sent:
    """How one upload went, in ms of the record; None: it did not come to that."""

    size_bytes: int
    number: int
    delivered_ms: float | None = None  # the node's machine has acknowledged the last byte
    ended_ms: float | None = None
    status: int | None = None  # of the answer; None: the connection ended with no whole answer

    @property
    def unanswered(self) -> bool:
        """Whether the node ended the connection with no whole answer, all of the request taken."""
        return self.delivered_ms is not None and self.ended_ms is not None and self.status is None

    @property
    def late_ms(self) -> float:
        """How long after the request's time its answer came; infinite where none was seen."""
        if self.delivered_ms is None:
            return 0.0
        if self.ended_ms is None or self.status is None:
            return math.inf
        return self.ended_ms - self.delivered_ms - TIMEOUT_MS

    def __str__(self) -> str:
        if self.delivered_ms is None:
            return f"{self.size_bytes} bytes: not taken whole, so it does not count"
        if self.unanswered:
            assert self.ended_ms is not None
            after_ms = self.ended_ms - self.delivered_ms
            return (
                f"{self.size_bytes} bytes: no answer, closed {after_ms:.0f} ms after the last byte"
            )
        return f"{self.size_bytes} bytes: answered {self.late_ms:.0f} ms after its time"


def unacknowledged(writer: asyncio.StreamWriter) -> int:
    """Return how many bytes the other side's machine has not acknowledged yet."""
    found, descriptor = bytearray(4), writer.get_extra_info("socket").fileno()
    if descriptor < 0:  # the connection has ended
        return -1
    fcntl.ioctl(descriptor, termios.TIOCOUTQ, found)
    count: int = struct.unpack("i", found)[0]
    return count + writer.transport.get_write_buffer_size()


class Uploads:
    """One node with its servers, and a client that sends it long bodies, one at a time."""

    def __init__(self, record: Record) -> None:
        self.record, self.faults = record, Faults()
        self.number = 0

    async def start(self) -> Uploads:
        """Start servers, discovery and the node."""
        servers = [
            await DispatchServer(f"s-{number}", self.record, self.faults).start()
            for number in range(SERVERS)
        ]
        self.discovery = await Discovery(self.record).start(*servers)
        self.node = Node(self.record, node_config(self.discovery, settings()))
        await self.node.start()
        return self

    async def send(self, size_bytes: int, trouble: bool, watch_s: float) -> Sent:
        """Send one booking of this size, and watch for its answer."""
        self.number += 1
        self.faults.hangs = trouble
        head = (
            f"POST /ride-assign/r{self.number} HTTP/1.1\r\nHost: backend.local\r\n"
            f"Request-Id: {self.number:016x}\r\nTenant: fovarosi\r\n"
            f"Idempotency-Key: {self.number:032x}\r\nRequest-Timeout: {TIMEOUT_MS}m\r\n"
            f"Content-Length: {size_bytes}\r\n\r\n"
        )
        reader, writer = await asyncio.open_connection("127.0.0.1", self.node.port)
        sent = Sent(size_bytes, self.number)
        start_ms = self.record(f"the client sends request {self.number:016x} of {size_bytes} bytes")
        writer.write(head.encode() + bytes(size_bytes))
        answer = asyncio.create_task(read_message(reader))
        while not answer.done() and self.record.now_ms() - start_ms < watch_s * 1000:
            unsent = unacknowledged(writer)
            if self.record.now_ms() - start_ms < PROBE_S * 1000:
                self.unsent_at_probe = unsent
            if sent.delivered_ms is None and not unsent:
                sent.delivered_ms = self.record("the node's machine has its last byte")
            await asyncio.sleep(0.01)
        if answer.done():
            try:
                sent.status = answer.result().status
                sent.ended_ms = self.record(f"the client gets {sent.status}")
                if sent.delivered_ms is None:  # answered between two looks: it was taken by now
                    sent.delivered_ms = sent.ended_ms
            except (OSError, asyncio.IncompleteReadError) as error:
                sent.ended_ms = self.record(f"the connection ends with no answer: {error!r}")
        else:
            answer.cancel()
            self.record("the client stops watching and closes")
        writer.transport.abort()
        rest_s = SPACING_S - (self.record.now_ms() - start_ms) / 1000 if trouble else 0.0
        await asyncio.sleep(max(rest_s, 0.2))
        if not self.node.alive:
            raise CaseError(NODE_ENDED)
        return sent

    async def measure_room(self, trouble: bool) -> int:
        """Return how many bytes the node's machine takes while the server hangs, at least.

        The client does not leave: it waits for the end of each request. Without the disruption the
        bodies are sent all the same.
        """
        rooms = []
        for _ in range(PROBES):
            await self.send(PROBE_BYTES, trouble, WATCH_S)
            if not trouble:
                continue
            rooms.append(PROBE_BYTES - self.unsent_at_probe)
            self.record(f"with a server that hangs, there is room for about {rooms[-1]} bytes")
            if self.unsent_at_probe <= 0:
                raise CaseError(NO_LIMIT)
        return min(rooms, default=CALM_BYTES)

    async def stop(self) -> None:
        """End the node."""
        await self.node.stop()
