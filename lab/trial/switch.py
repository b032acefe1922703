"""The switch between a trial's processes: forwards traffic, with faults for each directed link.

Every process has a loopback address of its own that it sends from, and an address of the switch
at which others reach it. From the two the switch knows the source and the destination, with one
socket per address. A cut is silent, as in a real network: connections stay open and nothing
arrives; new connections get no response.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections import Counter
from collections.abc import Awaitable
from dataclasses import dataclass, replace
from typing import Any

from badgercart.config import Address

CHUNK_BYTES = 65536
CUT_POLL_INTERVAL_S = 0.01  # between checks whether the link of a held connection is open again


@dataclass(slots=True, frozen=True)
class Fault:
    """The faults on one direction of a link."""

    cut: bool = False
    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    loss: float = 0.0  # share of datagrams that are dropped
    duplicate: float = 0.0  # share of datagrams that are delivered twice
    reorder: float = 0.0  # share of datagrams that later ones overtake
    max_bytes_per_s: float = 0.0  # 0: no limit


NO_FAULT = Fault()
REORDER_DELAY_MS = 50.0  # added to a datagram that is reordered


@dataclass(slots=True, frozen=True)
class HeldData:
    """Data of a connection that the switch kept while the link was cut (times: monotonic clock)."""

    link: tuple[str, str]
    data: bytes
    received_at_s: float
    forwarded_at_s: float


class DatagramSocket(asyncio.DatagramProtocol):
    """The switch's datagram socket at one address."""

    def __init__(self, switch: Switch, name: str) -> None:
        self.switch, self.name = switch, name
        self.transport: asyncio.DatagramTransport

    def connection_made(self, transport: Any) -> None:
        """Keep the transport for sending."""
        self.transport = transport

    def datagram_received(self, data: bytes, source: Any) -> None:
        """Pass a datagram to the switch, with its source and destination."""
        self.switch.handle_datagram(self.switch.name_of(source[0]), self.name, data)


@dataclass(slots=True)
class Endpoint:
    """A process that others reach through the switch."""

    real_address: Address
    switch_address: Address
    datagram_socket: DatagramSocket | None = None
    server: asyncio.Server | None = None


class Switch:
    """Directed links between named endpoints; a link without an entry has no faults."""

    def __init__(self, seed: int = 1) -> None:
        self.random = random.Random(f"{seed} switch")
        self.endpoints: dict[str, Endpoint] = {}
        self.names: dict[str, str] = {}  # by the host that the endpoint sends from
        self.links: dict[tuple[str, str], Fault] = {}
        # Monotonic time (s), link, and whether it is cut since.
        self.cut_changes: list[tuple[float, tuple[str, str], bool]] = []
        self.held_data: list[HeldData] = []
        self.forwarded_bytes: Counter[tuple[str, str]] = Counter()
        self.dropped_datagrams = 0
        self.open_writers: dict[tuple[str, str], set[asyncio.StreamWriter]] = {}
        self.tasks: set[asyncio.Task[None]] = set()

    def name_of(self, host: str) -> str:
        """Return the name of the endpoint that has this host, or the host where none has."""
        return self.names.get(host, host)

    async def add(self, name: str, real: Address, shown: Address) -> None:
        """Let others reach `name`, which listens at and sends from `real`, at `shown`.

        The ports may be 0.
        """
        loop = asyncio.get_running_loop()
        server = await asyncio.start_server(lambda r, w: self.handle_connection(name, r, w), *shown)
        bound: Address = server.sockets[0].getsockname()[:2]
        _, port = await loop.create_datagram_endpoint(
            lambda: DatagramSocket(self, name), local_addr=bound
        )
        self.endpoints[name] = Endpoint(real, bound, port, server)
        self.names[real[0]] = self.names[bound[0]] = name

    def close(self) -> None:
        """Close all sockets and abort all connections."""
        for endpoint in self.endpoints.values():
            if endpoint.datagram_socket is not None and endpoint.server is not None:
                endpoint.datagram_socket.transport.close()
                endpoint.server.close()
        for task in self.tasks:
            task.cancel()
        for writers in self.open_writers.values():
            for writer in writers:
                writer.transport.abort()

    # Faults.

    def set_fault(self, source: str, to: str, **changes: Any) -> None:
        """Change the faults on one direction of a link."""
        before = self.links.get((source, to), NO_FAULT)
        self.links[source, to] = after = replace(before, **changes)
        if before.cut != after.cut:
            self.cut_changes.append((time.monotonic(), (source, to), after.cut))

    def set_both_ways(self, some: list[str], others: list[str], **changes: Any) -> None:
        """Change the faults on both directions of all links between two groups."""
        for one in some:
            for other in others:
                if one != other:
                    self.set_fault(one, other, **changes)
                    self.set_fault(other, one, **changes)

    def set_one_way(self, some: list[str], others: list[str], **changes: Any) -> None:
        """Change the faults on the links from one group to another."""
        for one in some:
            for other in others:
                self.set_fault(one, other, **changes)

    def heal(self) -> None:
        """Clear the faults of all links."""
        for source, to in list(self.links):
            self.set_fault(source, to, cut=False)
        self.links.clear()

    def reset_connections(self, source: str, to: str) -> None:
        """Abort the connections that `source` opened to `to`."""
        for writer in list(self.open_writers.get((source, to), ())):
            writer.transport.abort()

    # Datagrams.

    def handle_datagram(self, source: str, to: str, data: bytes) -> None:
        """Drop, delay, duplicate or forward one datagram."""
        fault = self.links.get((source, to), NO_FAULT)
        if fault.cut or self.random.random() < fault.loss:
            self.dropped_datagrams += 1
            return
        self.forwarded_bytes[source, to] += len(data)
        for _ in range(2 if self.random.random() < fault.duplicate else 1):
            total_delay_ms = fault.delay_ms + self.random.random() * fault.jitter_ms
            total_delay_ms += REORDER_DELAY_MS if self.random.random() < fault.reorder else 0.0
            if total_delay_ms:
                asyncio.get_running_loop().call_later(
                    total_delay_ms / 1000, self.forward, source, to, data
                )
            else:
                self.forward(source, to, data)

    def forward(self, source: str, to: str, data: bytes) -> None:
        """Send a datagram to its destination, from the source's address at the switch."""
        sender = self.endpoints.get(source)
        port = sender.datagram_socket if sender is not None else self.endpoints[to].datagram_socket
        if port is not None and not port.transport.is_closing():
            port.transport.sendto(data, self.endpoints[to].real_address)

    # Connections.

    async def handle_connection(
        self, to: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward one connection to an endpoint until both directions have ended."""
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        source, endpoint = self.name_of(writer.get_extra_info("peername")[0]), self.endpoints[to]
        link = source, to
        self.open_writers.setdefault(link, set()).add(writer)
        sender = self.endpoints.get(source)
        upstream_writer = None
        # Reading begins at once, so that the time at which data arrived is known.
        first_read = asyncio.ensure_future(read_chunk(reader))
        first_read.add_done_callback(retrieve_exception)
        try:
            await self.wait_until_open(link)
            local = (sender.switch_address[0], 0) if sender is not None else None
            upstream_reader, upstream_writer = await asyncio.open_connection(
                *endpoint.real_address, local_addr=local
            )
            await asyncio.gather(
                self.copy_stream(first_read, reader, upstream_writer, (source, to)),
                self.copy_stream(
                    read_chunk(upstream_reader), upstream_reader, writer, (to, source)
                ),
            )
        except (OSError, asyncio.CancelledError):
            writer.transport.abort()
            if upstream_writer is not None:
                upstream_writer.transport.abort()
        finally:
            first_read.cancel()
            self.open_writers[link].discard(writer)
            self.tasks.discard(task)
            for end in (writer, upstream_writer):
                if end is not None:
                    end.close()

    async def wait_until_open(self, link: tuple[str, str]) -> Fault:
        """Wait until the link is not cut."""
        while (fault := self.links.get(link, NO_FAULT)).cut:
            await asyncio.sleep(CUT_POLL_INTERVAL_S)
        return fault

    def was_cut_since(self, start_s: float, link: tuple[str, str]) -> bool:
        """Return whether the link was cut at some time from `start_s` until now."""
        changes = (change for change in reversed(self.cut_changes) if change[1] == link)
        last = next(changes, None)
        return last is not None and (last[2] or last[0] >= start_s)

    async def copy_stream(
        self,
        first_read: Awaitable[Chunk],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        link: tuple[str, str],
    ) -> None:
        """Copy one direction of a connection; an end or a reset is forwarded as such."""
        chunk = await first_read
        while chunk.data:
            fault = await self.wait_until_open(link)
            if self.was_cut_since(chunk.received_at_s, link):
                self.held_data.append(
                    HeldData(link, chunk.data, chunk.received_at_s, time.monotonic())
                )
            if fault.delay_ms or fault.jitter_ms:
                await asyncio.sleep(
                    (fault.delay_ms + self.random.random() * fault.jitter_ms) / 1000
                )
            if fault.max_bytes_per_s:
                await asyncio.sleep(len(chunk.data) / fault.max_bytes_per_s)
            self.forwarded_bytes[link] += len(chunk.data)
            writer.write(chunk.data)
            await writer.drain()
            chunk = await read_chunk(reader)
        await self.wait_until_open(link)
        with contextlib.suppress(OSError, RuntimeError):
            writer.write_eof()


@dataclass(slots=True, frozen=True)
class Chunk:
    """Data read from a connection, empty at its end, and when it arrived (monotonic clock)."""

    data: bytes
    received_at_s: float


async def read_chunk(reader: asyncio.StreamReader) -> Chunk:
    """Read data as soon as it arrives."""
    data = await reader.read(CHUNK_BYTES)
    return Chunk(data, time.monotonic())


def retrieve_exception(task: asyncio.Task[Chunk]) -> None:
    """Mark a task's exception as handled, as nobody may wait for the task."""
    if not task.cancelled():
        task.exception()
