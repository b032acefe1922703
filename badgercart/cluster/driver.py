"""Carries the machine's packets: one socket for datagrams, one listener for push-pulls, one
timer."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections import Counter
from collections.abc import Callable

import netaddr

from badgercart.cluster.codec import MAX_SYNC, MTU, Codec, Leave, Packet, Refused, Sync
from badgercart.cluster.log_events import REFUSED
from badgercart.cluster.swim import Effect, SendTo, SwimProtocol, SyncWith
from badgercart.config import Address

AT_ONCE = 32  # datagrams that are read before the loop turns to requests again
RATE = 4000  # datagrams a second that are looked at: a flood costs a bounded part of the core
REST = 0.02  # s for which the socket is left alone when that is used up
MAX_SYNCS = 8  # push-pulls at a time, on either side
PATIENCE = 2.0  # s for one
MAX_SOURCES = 4096  # addresses that are known to be allowed
LENGTH = struct.Struct("!I")


class Allowed:
    """Which addresses may be peers, each looked up once."""

    def __init__(self, networks: tuple[str, ...]) -> None:
        self.networks = netaddr.IPSet([netaddr.IPNetwork(network).cidr for network in networks])
        self.known: dict[str, bool] = {}

    def __contains__(self, host: str) -> bool:
        found = self.known.get(host)
        if found is None:
            if len(self.known) >= MAX_SOURCES:
                self.known.clear()
            try:
                found = netaddr.IPAddress(host) in self.networks
            except (netaddr.AddrFormatError, ValueError):
                found = False
            self.known[host] = found
        return found


class Driver:
    """One machine on sockets. `act` gets the effects that are no packets."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Callable[[], float],
        machine: SwimProtocol,
        codec: Codec,
        listen: Address,
        allowed: Allowed,
        act: Callable[[list[Effect]], None],
    ) -> None:
        self.loop, self.clock, self.machine, self.codec = loop, clock, machine, codec
        self.listen, self.allowed, self.act = listen, allowed, act
        self.refused: Counter[str] = Counter()
        self.sent = self.received = self.bytes_out = self.bytes_in = self.syncs = 0
        self.timer: asyncio.TimerHandle | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        self.allowance, self.refilled = float(RATE), 0.0
        self.socket: socket.socket | None = None
        self.server: asyncio.Server | None = None
        self.serving = 0

    async def start(self) -> None:
        """OSError where the address can't be had."""
        self.server = await asyncio.start_server(self.serve, *self.listen, limit=MAX_SYNC)
        host, port = self.server.sockets[0].getsockname()[:2]
        self.listen = host, port
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setblocking(False)
        self.socket.bind(self.listen)
        self.refilled = self.loop.time()
        self.loop.add_reader(self.socket.fileno(), self.readable)
        self.run(self.machine.start(self.clock()))

    def close(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        if self.socket is not None:
            self.loop.remove_reader(self.socket.fileno())
            self.socket.close()
            self.socket = None
        if self.server is not None:
            self.server.close()
        for task in self.tasks:
            task.cancel()

    # The machine.

    def run(self, effects: list[Effect]) -> None:
        """Carry out what the machine wants, and set the timer for what it wants next."""
        others: list[Effect] = []
        for effect in effects:
            if isinstance(effect, SendTo):
                self.send(effect)
            elif isinstance(effect, SyncWith):
                self.sync(effect)
            else:
                others.append(effect)
        if others:
            self.act(others)
        if self.timer is not None:
            self.timer.cancel()
        if self.socket is not None:
            delay = max(0.0, self.machine.due - self.clock()) / 1000
            self.timer = self.loop.call_later(delay, self.tick)

    def tick(self) -> None:
        self.run(self.machine.tick(self.clock()))

    # Datagrams.

    def send(self, effect: SendTo) -> None:
        data = self.codec.encode(effect.packet)
        if self.socket is None:
            return
        with contextlib.suppress(OSError):  # a full buffer or no way there: lost, as datagrams are
            self.socket.sendto(data, effect.address)
            self.sent += 1
            self.bytes_out += len(data)

    def readable(self) -> None:
        """Read some of what waits, within the rate."""
        assert self.socket is not None
        now = self.loop.time()
        self.allowance = min(self.allowance + (now - self.refilled) * RATE, float(RATE))
        self.refilled = now
        for _ in range(AT_ONCE):
            if self.allowance < 1:
                self.loop.remove_reader(self.socket.fileno())
                self.loop.call_later(REST, self.resume)
                return
            try:
                data, source = self.socket.recvfrom(MTU + 1)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                continue  # what an earlier datagram met
            self.allowance -= 1
            self.datagram(data, source)

    def resume(self) -> None:
        if self.socket is not None:
            self.loop.add_reader(self.socket.fileno(), self.readable)

    def datagram(self, data: bytes, source: Address) -> None:
        self.received += 1
        self.bytes_in += len(data)
        if (packet := self.read(data, source, MTU)) is not None and not isinstance(
            packet.body, Sync | Leave
        ):
            self.run(self.machine.receive(self.clock(), packet, source))

    def read(self, data: bytes, source: Address, most: int) -> Packet | None:
        """A packet that may be taken; one that may not is counted and said."""
        try:
            if source[0] not in self.allowed:
                raise Refused("stranger", "its address is in none of the networks allowed")
            return self.codec.decode(data, most)
        except Refused as error:
            self.refused[error.kind] += 1
            REFUSED(source=f"{source[0]}:{source[1]}", kind=error.kind, words=str(error))
            return None

    # Push-pulls.

    def sync(self, effect: SyncWith) -> None:
        if len(self.tasks) < MAX_SYNCS:
            task = self.loop.create_task(self.exchange(effect))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def exchange(self, effect: SyncWith) -> None:
        with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
            async with asyncio.timeout(PATIENCE):
                reader, writer = await asyncio.open_connection(
                    *effect.address, limit=MAX_SYNC, local_addr=(self.listen[0], 0)
                )
                try:
                    self.write(writer, effect.packet)
                    packet = self.read(await self.whole(reader), effect.address, MAX_SYNC)
                finally:
                    writer.close()
            if packet is not None and isinstance(packet.body, Sync):
                self.run(self.machine.receive(self.clock(), packet, effect.address))

    def write(self, writer: asyncio.StreamWriter, packet: Packet) -> None:
        data = self.codec.encode(packet)
        self.bytes_out += len(data)
        writer.write(LENGTH.pack(len(data)) + data)

    async def whole(self, reader: asyncio.StreamReader) -> bytes:
        (length,) = LENGTH.unpack(await reader.readexactly(LENGTH.size))
        if length > MAX_SYNC:
            return bytes(MAX_SYNC + 1)  # refused as too large, with nothing of it read
        self.bytes_in += length
        return await reader.readexactly(length)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """The other side's connection: one exchange."""
        source = writer.get_extra_info("peername")[:2]
        if self.serving >= MAX_SYNCS or source[0] not in self.allowed:
            writer.transport.abort()
            return
        self.serving += 1
        try:
            # Cancelled it is as the process ends: what asyncio calls when it is done would log
            # that.
            with contextlib.suppress(
                OSError, TimeoutError, asyncio.IncompleteReadError, asyncio.CancelledError
            ):
                async with asyncio.timeout(PATIENCE):
                    packet = self.read(await self.whole(reader), source, MAX_SYNC)
                    if packet is not None and isinstance(packet.body, Leave):
                        if packet.sender == self.machine.me.name:
                            self.run(self.machine.leave(self.clock()))
                            self.write(writer, self.machine.everything())
                            await writer.drain()
                    elif packet is not None and isinstance(packet.body, Sync):
                        self.syncs += 1
                        answer, effects = self.machine.answer_sync(self.clock(), packet, source)
                        self.write(writer, answer)
                        self.run(effects)
                        await writer.drain()
        finally:
            self.serving -= 1
            writer.close()
