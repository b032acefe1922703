"""The switch between a trial's processes: passes traffic on, with faults for each directed pair.

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

CHUNK = 65536
STEP = 0.01  # s between looks of a held connection at its link


@dataclass(slots=True, frozen=True)
class Fault:
    """What befalls all that goes one way between two."""

    cut: bool = False
    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    loss: float = 0.0  # of datagrams
    twice: float = 0.0  # datagrams that come twice
    reorder: float = 0.0  # datagrams that are overtaken
    bytes_s: float = 0.0  # at most; 0: as fast as it comes


FINE = Fault()
OVERTAKEN = 50.0  # ms more for a datagram that is reordered


class Port(asyncio.DatagramProtocol):
    """The switch's socket for datagrams at one address."""

    def __init__(self, switch: Switch, name: str) -> None:
        self.switch, self.name = switch, name
        self.transport: asyncio.DatagramTransport

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, source: Any) -> None:
        self.switch.datagram(self.switch.who(source[0]), self.name, data)


@dataclass(slots=True)
class Place:
    """One that is reached through the switch."""

    real: Address
    shown: Address
    port: Port | None = None
    server: asyncio.Server | None = None


class Switch:
    """Links between names; what is not said otherwise is fine."""

    def __init__(self, seed: int = 1) -> None:
        self.random = random.Random(f"{seed} switch")
        self.places: dict[str, Place] = {}
        self.names: dict[str, str] = {}  # by the address that they send from
        self.links: dict[tuple[str, str], Fault] = {}
        self.cuts: list[
            tuple[float, tuple[str, str], bool]
        ] = []  # when (monotonic s), where, whether cut
        self.passed: Counter[tuple[str, str]] = Counter()  # bytes
        self.lost = 0
        self.open: dict[tuple[str, str], set[asyncio.StreamWriter]] = {}
        self.tasks: set[asyncio.Task[None]] = set()

    def who(self, host: str) -> str:
        return self.names.get(host, host)

    async def add(self, name: str, real: Address, shown: Address) -> None:
        """Have others reach `name`, which listens and sends at `real`, at `shown`. The ports may be
        0."""
        loop = asyncio.get_running_loop()
        server = await asyncio.start_server(lambda r, w: self.connected(name, r, w), *shown)
        bound: Address = server.sockets[0].getsockname()[:2]
        _, port = await loop.create_datagram_endpoint(lambda: Port(self, name), local_addr=bound)
        self.places[name] = Place(real, bound, port, server)
        self.names[real[0]] = self.names[bound[0]] = name

    def close(self) -> None:
        for place in self.places.values():
            if place.port is not None and place.server is not None:
                place.port.transport.close()
                place.server.close()
        for task in self.tasks:
            task.cancel()
        for writers in self.open.values():
            for writer in writers:
                writer.transport.abort()

    # Faults.

    def set(self, source: str, to: str, **changes: Any) -> None:
        """Change what befalls one way."""
        before = self.links.get((source, to), FINE)
        self.links[source, to] = after = replace(before, **changes)
        if before.cut != after.cut:
            self.cuts.append((time.monotonic(), (source, to), after.cut))

    def between(self, some: list[str], others: list[str], **changes: Any) -> None:
        """Change what befalls both ways between two groups."""
        for one in some:
            for other in others:
                if one != other:
                    self.set(one, other, **changes)
                    self.set(other, one, **changes)

    def one_way(self, some: list[str], others: list[str], **changes: Any) -> None:
        """Change what befalls the ways from one group to another."""
        for one in some:
            for other in others:
                self.set(one, other, **changes)

    def heal(self) -> None:
        for source, to in list(self.links):
            self.set(source, to, cut=False)
        self.links.clear()

    def reset(self, source: str, to: str) -> None:
        """Reset the connections that `source` opened to `to`."""
        for writer in list(self.open.get((source, to), ())):
            writer.transport.abort()

    # Datagrams.

    def datagram(self, source: str, to: str, data: bytes) -> None:
        fault = self.links.get((source, to), FINE)
        if fault.cut or self.random.random() < fault.loss:
            self.lost += 1
            return
        self.passed[source, to] += len(data)
        for _ in range(2 if self.random.random() < fault.twice else 1):
            late = fault.delay_ms + self.random.random() * fault.jitter_ms
            late += OVERTAKEN if self.random.random() < fault.reorder else 0.0
            if late:
                asyncio.get_running_loop().call_later(late / 1000, self.forward, source, to, data)
            else:
                self.forward(source, to, data)

    def forward(self, source: str, to: str, data: bytes) -> None:
        sender = self.places.get(source)
        port = sender.port if sender is not None else self.places[to].port
        if port is not None and not port.transport.is_closing():
            port.transport.sendto(data, self.places[to].real)

    # Connections.

    async def connected(
        self, to: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        source, place = self.who(writer.get_extra_info("peername")[0]), self.places[to]
        pair = source, to
        self.open.setdefault(pair, set()).add(writer)
        sender = self.places.get(source)
        onward = None
        try:
            await self.passable(pair)
            local = (sender.shown[0], 0) if sender is not None else None
            back, onward = await asyncio.open_connection(*place.real, local_addr=local)
            await asyncio.gather(
                self.pump(reader, onward, (source, to)), self.pump(back, writer, (to, source))
            )
        except (OSError, asyncio.CancelledError):
            writer.transport.abort()
            if onward is not None:
                onward.transport.abort()
        finally:
            self.open[pair].discard(writer)
            self.tasks.discard(task)
            for end in (writer, onward):
                if end is not None:
                    end.close()

    async def passable(self, pair: tuple[str, str]) -> Fault:
        """Wait until the link lets anything through."""
        while (fault := self.links.get(pair, FINE)).cut:
            await asyncio.sleep(STEP)
        return fault

    async def pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, pair: tuple[str, str]
    ) -> None:
        """Pass bytes on one way; an end or a reset goes on as what it is."""
        while data := await reader.read(CHUNK):
            fault = await self.passable(pair)
            if fault.delay_ms or fault.jitter_ms:
                await asyncio.sleep(
                    (fault.delay_ms + self.random.random() * fault.jitter_ms) / 1000
                )
            if fault.bytes_s:
                await asyncio.sleep(len(data) / fault.bytes_s)
            self.passed[pair] += len(data)
            writer.write(data)
            await writer.drain()
        await self.passable(pair)
        with contextlib.suppress(OSError, RuntimeError):
            writer.write_eof()
