"""The switch between a trial's processes: passes traffic on, with faults for each directed link.

Everybody has a loopback address of its own to send from, and one of the switch, at which others
reach it: by the two the switch knows who speaks to whom with one socket an address. A cut is
silent, as a real one is: connections stay open and nothing comes, new ones get no answer.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections import Counter
from dataclasses import dataclass, replace
from typing import Any

from badgercart.config import Address

CHUNK_BYTES = 65536
CUT_POLL_INTERVAL_S = 0.01  # s between looks of a held connection at its link


@dataclass(slots=True, frozen=True)
class Fault:
    """What befalls all that goes one way between two."""

    cut: bool = False
    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    loss: float = 0.0  # of datagrams
    duplicate: float = 0.0  # datagrams that come twice
    reorder: float = 0.0  # datagrams that are overtaken
    max_bytes_per_s: float = 0.0  # at most; 0: as fast as it comes


NO_FAULT = Fault()
REORDER_DELAY_MS = 50.0  # ms more for a datagram that is reordered


class DatagramSocket(asyncio.DatagramProtocol):
    """The switch's socket for datagrams at one address."""

    def __init__(self, switch: Switch, name: str) -> None:
        self.switch, self.name = switch, name
        self.transport: asyncio.DatagramTransport

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, source: Any) -> None:
        self.switch.handle_datagram(self.switch.name_of(source[0]), self.name, data)


@dataclass(slots=True)
class Endpoint:
    """One that is reached through the switch."""

    real_address: Address
    switch_address: Address
    datagram_socket: DatagramSocket | None = None
    server: asyncio.Server | None = None


class Switch:
    """Links between names; what is not said otherwise is fine."""

    def __init__(self, seed: int = 1) -> None:
        self.random = random.Random(f"{seed} switch")
        self.endpoints: dict[str, Endpoint] = {}
        self.names: dict[str, str] = {}  # by the address that they send from
        self.links: dict[tuple[str, str], Fault] = {}
        self.cut_changes: list[
            tuple[float, tuple[str, str], bool]
        ] = []  # when (monotonic s), where, whether cut
        self.forwarded_bytes: Counter[tuple[str, str]] = Counter()  # bytes
        self.dropped_datagrams = 0
        self.open_writers: dict[tuple[str, str], set[asyncio.StreamWriter]] = {}
        self.tasks: set[asyncio.Task[None]] = set()

    def name_of(self, host: str) -> str:
        return self.names.get(host, host)

    async def add(self, name: str, real: Address, shown: Address) -> None:
        """Have others reach `name`, which listens and sends at `real`, at `shown`. The ports may be
        0."""
        loop = asyncio.get_running_loop()
        server = await asyncio.start_server(lambda r, w: self.handle_connection(name, r, w), *shown)
        bound: Address = server.sockets[0].getsockname()[:2]
        _, port = await loop.create_datagram_endpoint(
            lambda: DatagramSocket(self, name), local_addr=bound
        )
        self.endpoints[name] = Endpoint(real, bound, port, server)
        self.names[real[0]] = self.names[bound[0]] = name

    def close(self) -> None:
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
        """Change what befalls one way."""
        before = self.links.get((source, to), NO_FAULT)
        self.links[source, to] = after = replace(before, **changes)
        if before.cut != after.cut:
            self.cut_changes.append((time.monotonic(), (source, to), after.cut))

    def set_both_ways(self, some: list[str], others: list[str], **changes: Any) -> None:
        """Change what befalls both ways between two groups."""
        for one in some:
            for other in others:
                if one != other:
                    self.set_fault(one, other, **changes)
                    self.set_fault(other, one, **changes)

    def set_one_way(self, some: list[str], others: list[str], **changes: Any) -> None:
        """Change what befalls the ways from one group to another."""
        for one in some:
            for other in others:
                self.set_fault(one, other, **changes)

    def heal(self) -> None:
        for source, to in list(self.links):
            self.set_fault(source, to, cut=False)
        self.links.clear()

    def reset_connections(self, source: str, to: str) -> None:
        """Reset the connections that `source` opened to `to`."""
        for writer in list(self.open_writers.get((source, to), ())):
            writer.transport.abort()

    # Datagrams.

    def handle_datagram(self, source: str, to: str, data: bytes) -> None:
        fault = self.links.get((source, to), NO_FAULT)
        if fault.cut or self.random.random() < fault.loss:
            self.dropped_datagrams += 1
            return
        self.forwarded_bytes[source, to] += len(data)
        for _ in range(2 if self.random.random() < fault.duplicate else 1):
            late = fault.delay_ms + self.random.random() * fault.jitter_ms
            late += REORDER_DELAY_MS if self.random.random() < fault.reorder else 0.0
            if late:
                asyncio.get_running_loop().call_later(late / 1000, self.forward, source, to, data)
            else:
                self.forward(source, to, data)

    def forward(self, source: str, to: str, data: bytes) -> None:
        sender = self.endpoints.get(source)
        port = sender.datagram_socket if sender is not None else self.endpoints[to].datagram_socket
        if port is not None and not port.transport.is_closing():
            port.transport.sendto(data, self.endpoints[to].real_address)

    # Connections.

    async def handle_connection(
        self, to: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        source, endpoint = self.name_of(writer.get_extra_info("peername")[0]), self.endpoints[to]
        link = source, to
        self.open_writers.setdefault(link, set()).add(writer)
        sender = self.endpoints.get(source)
        upstream_writer = None
        try:
            await self.wait_until_open(link)
            local = (sender.switch_address[0], 0) if sender is not None else None
            upstream_reader, upstream_writer = await asyncio.open_connection(
                *endpoint.real_address, local_addr=local
            )
            await asyncio.gather(
                self.copy_stream(reader, upstream_writer, (source, to)),
                self.copy_stream(upstream_reader, writer, (to, source)),
            )
        except (OSError, asyncio.CancelledError):
            writer.transport.abort()
            if upstream_writer is not None:
                upstream_writer.transport.abort()
        finally:
            self.open_writers[link].discard(writer)
            self.tasks.discard(task)
            for end in (writer, upstream_writer):
                if end is not None:
                    end.close()

    async def wait_until_open(self, link: tuple[str, str]) -> Fault:
        """Wait until the link lets anything through."""
        while (fault := self.links.get(link, NO_FAULT)).cut:
            await asyncio.sleep(CUT_POLL_INTERVAL_S)
        return fault

    async def copy_stream(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, link: tuple[str, str]
    ) -> None:
        """Pass bytes on one way; an end or a reset goes on as what it is."""
        while data := await reader.read(CHUNK_BYTES):
            fault = await self.wait_until_open(link)
            if fault.delay_ms or fault.jitter_ms:
                await asyncio.sleep(
                    (fault.delay_ms + self.random.random() * fault.jitter_ms) / 1000
                )
            if fault.max_bytes_per_s:
                await asyncio.sleep(len(data) / fault.max_bytes_per_s)
            self.forwarded_bytes[link] += len(data)
            writer.write(data)
            await writer.drain()
        await self.wait_until_open(link)
        with contextlib.suppress(OSError, RuntimeError):
            writer.write_eof()
