"""Carries stores' and followers' messages over TCP: frames behind lengths, one timer, bounded
buffers."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import struct
from collections import Counter, deque
from collections.abc import Callable, Mapping
from typing import Protocol, cast

from badgercart.config import Address
from badgercart.distribution import log_events as events
from badgercart.distribution.effects import Close, Dial, Effect, Happened, Keep, KeepAll, Send, Take
from badgercart.distribution.follower import Follower
from badgercart.distribution.journal import Disk, JournalError
from badgercart.distribution.messages import (
    MAX_FRAME,
    Codec,
    Hello,
    Message,
    Refused,
    Status,
    StatusRequest,
)
from badgercart.distribution.store import Store

LENGTH = struct.Struct("!I")
HIGH = (
    256 << 10
)  # bytes that wait to be written to a connection, above which nothing more is told to it
MOST = 4 << 20  # bytes that may wait at all: a connection with more is ended
STALL = 10.0  # s in which those have to go, and sent bytes to be acknowledged
FLUSH = 1.0  # s for the last words to a connection that is ended
DIAL = 1.0  # s for a connection to another store
RETRY = (0.2, 1.0)  # s before another store is dialled again, drawn from these


class Machine(Protocol):
    """What both machines have in common."""

    @property
    def due(self) -> float: ...
    def start(self, now: float) -> list[Effect]: ...
    def tick(self, now: float) -> list[Effect]: ...
    def closed(self, now: float, connection: int) -> list[Effect]: ...
    def received(self, now: float, connection: int, message: Message) -> list[Effect]: ...


class Link(asyncio.Protocol):
    """One connection."""

    def __init__(self, driver: Driver, number: int) -> None:
        self.driver, self.number = driver, number
        self.transport: asyncio.Transport | None = None
        self.buffer = bytearray()
        self.source = ""
        self.ended = False  # by us: what still comes of it is passed over
        self.slow: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(HIGH)
        self.source = "{}:{}".format(*(transport.get_extra_info("peername") or ("?", "?"))[:2])
        if (sock := transport.get_extra_info("socket")) is not None and hasattr(
            socket, "TCP_USER_TIMEOUT"
        ):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(STALL * 1000))
        self.driver.made(self)

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        place, had = 0, len(self.buffer)
        try:
            while not self.ended and had - place >= LENGTH.size:
                (length,) = LENGTH.unpack_from(self.buffer, place)
                if length > MAX_FRAME:
                    raise Refused("oversized", f"a frame of {length} bytes is over {MAX_FRAME}")
                if had - place < LENGTH.size + length:
                    break
                place += LENGTH.size
                frame = bytes(self.buffer[place : place + length])
                place += length
                message = self.driver.codec.decode(frame)
                self.driver.bytes_in += LENGTH.size + length
                self.driver.message(self, message)
        except Refused as refused:
            self.driver.refuse(self, refused.kind, str(refused))
        if self.ended:
            self.buffer.clear()
        else:
            del self.buffer[:place]

    def write(self, data: bytes) -> None:
        if self.ended or self.transport is None or self.transport.is_closing():
            return
        self.transport.write(LENGTH.pack(len(data)) + data)
        self.driver.bytes_out += LENGTH.size + len(data)
        if self.transport.get_write_buffer_size() > MOST:
            self.driver.refuse(self, "slow", f"over {MOST} bytes wait to be read")

    def pause_writing(self) -> None:
        self.slow = self.driver.loop.call_later(
            STALL,
            self.driver.refuse,
            self,
            "slow",
            f"over {HIGH} bytes are not read in {STALL:.0f} s",
        )
        self.driver.stalled(self)

    def resume_writing(self) -> None:
        if self.slow is not None:
            self.slow.cancel()
        self.driver.room(self)

    def end(self, at_once: bool = False) -> None:
        """Write what waits, for FLUSH at most, and let go."""
        self.ended = True
        if self.slow is not None:
            self.slow.cancel()
        if self.transport is None:
            return
        if at_once:
            self.transport.abort()
        else:
            self.transport.close()
            self.driver.loop.call_later(FLUSH, self.transport.abort)

    def connection_lost(self, exc: Exception | None) -> None:
        if self.slow is not None:
            self.slow.cancel()
        if not self.ended:
            self.ended = True
            self.driver.lost(self)


class Driver:
    """One machine on connections. Effects are carried out in their order, also those that come
    meanwhile."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Callable[[], float],
        machine: Machine,
        codec: Codec,
    ) -> None:
        self.loop, self.clock, self.codec = loop, clock, codec
        self.machine = machine
        self.links: dict[int, Link] = {}
        self.refused: Counter[str] = (
            Counter()
        )  # frames and connections that were not taken, by kind
        self.bytes_in = self.bytes_out = 0
        self.encoded: tuple[Message | None, bytes] = None, b""  # the last
        self.timer: asyncio.TimerHandle | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        self.queue: deque[Effect] = deque()
        self.running = False
        self.open = False

    # The machine.

    def run(self, effects: list[Effect]) -> None:
        """Carry out what the machine wants, and set the timer for what it wants next."""
        self.queue.extend(effects)
        if self.running:
            return
        self.running = True
        try:
            while self.queue and self.open:
                self.act(self.queue.popleft())
        finally:
            self.running = False
            self.queue.clear()
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if self.open:
            self.after()
            if (due := self.machine.due) < float("inf"):
                self.timer = self.loop.call_later(max(0.0, due - self.clock()) / 1000, self.tick)

    def tick(self) -> None:
        self.run(self.machine.tick(self.clock()))

    def act(self, effect: Effect) -> None:
        if isinstance(effect, Send):
            if (link := self.links.get(effect.connection)) is not None:
                self.send(link, effect.message)
        elif isinstance(effect, Close):
            self.closing(effect)

    def send(self, link: Link, message: Message) -> None:
        if message is not self.encoded[0]:  # one change goes to many
            try:
                self.encoded = message, self.codec.encode(message)
            except Refused as refused:
                self.refuse(link, refused.kind, str(refused))
                return
        link.write(self.encoded[1])

    def closing(self, effect: Close) -> None:
        if (link := self.links.pop(effect.connection, None)) is not None:
            link.end()

    def after(self) -> None:
        """All that the machine wanted is done."""

    # Links.

    def made(self, link: Link) -> None:
        if self.open:
            self.links[link.number] = link
        else:
            link.end(at_once=True)

    def message(self, link: Link, message: Message) -> None:
        self.run(self.machine.received(self.clock(), link.number, message))

    def refuse(self, link: Link, kind: str, words: str) -> None:
        """Strangers, spoilt frames, and who does not read: the connection ends, nothing else
        changes."""
        if link.ended:
            return
        self.refused[kind] += 1
        events.REFUSED(source=link.source, kind=kind, words=words)
        link.end(at_once=True)
        self.lost(link)

    def lost(self, link: Link) -> None:
        if self.links.pop(link.number, None) is not None:
            self.run(self.machine.closed(self.clock(), link.number))

    def stalled(self, link: Link) -> None:
        """More waits to be written than HIGH."""

    def room(self, link: Link) -> None:
        """It is gone."""

    def task(self, work: asyncio.Task[None]) -> asyncio.Task[None]:
        self.tasks.add(work)
        work.add_done_callback(self.tasks.discard)
        return work

    def close(self) -> None:
        self.open = False
        if self.timer is not None:
            self.timer.cancel()
        for link in list(self.links.values()):
            link.end(at_once=True)
        self.links.clear()
        for task in self.tasks:
            task.cancel()


class StoreDriver(Driver):
    """One store: its listener, its connections to the others, its disk.

    A disk that fails ends it: what it said that it kept it must not forget."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Callable[[], float],
        store: Store,
        disk: Disk,
        codec: Codec,
        listen: Address,
        addresses: Mapping[str, Address],
        rng: random.Random,
        failed: Callable[[Exception], None] = lambda error: None,
    ) -> None:
        super().__init__(loop, clock, store, codec)
        self.store, self.disk, self.listen, self.addresses = store, disk, listen, addresses
        self.rng, self.failed = rng, failed
        self.server: asyncio.Server | None = None
        self.dialling: dict[str, asyncio.Task[None]] = {}
        self.number = 0
        self.closed = False

    async def start(self) -> None:
        """OSError where the address can't be had."""
        self.server = await self.loop.create_server(self.coming, *self.listen)
        host, port = self.server.sockets[0].getsockname()[:2]
        self.listen, self.open = (host, port), True
        self.run(self.store.start(self.clock()))

    def close(self) -> None:
        super().close()
        if self.server is not None:
            self.server.close()
        if not self.closed:  # once: its descriptors may be another's by now
            self.closed = True
            self.disk.close()

    def act(self, effect: Effect) -> None:
        if isinstance(effect, Keep | KeepAll):
            try:
                self.disk.keep(effect)
            except (OSError, JournalError) as error:
                self.fail(error)
        elif isinstance(effect, Happened):
            events.say(effect)
        else:
            super().act(effect)

    def closing(self, effect: Close) -> None:
        if (link := self.links.get(effect.connection)) is not None:
            self.refused[effect.kind] += 1
            events.REFUSED(source=link.source, kind=effect.kind, words=effect.words)
        super().closing(effect)

    def after(self) -> None:
        if self.disk.over:
            try:
                self.disk.compact(self.store.state())
            except (OSError, JournalError) as error:
                self.fail(error)
                return
        for name in self.store.wanted:
            if name not in self.dialling:
                self.dialling[name] = self.task(self.loop.create_task(self.dial(name)))

    def fail(self, error: Exception) -> None:
        events.STORE_FAILED(error=error)
        self.close()
        self.failed(error)

    # Links.

    def next_link(self) -> Link:
        self.number += 1
        return Link(self, self.number)

    def coming(self) -> Link:
        return self.next_link()

    def made(self, link: Link) -> None:
        super().made(link)
        if isinstance(link, Dialled):
            self.run(self.store.connected(self.clock(), link.number, link.name))
        else:
            self.run(self.store.accepted(self.clock(), link.number))

    async def dial(self, name: str) -> None:
        """One try at another store, and a rest if it fails."""
        self.number += 1
        link = Dialled(self, self.number, name)
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(DIAL):
                await self.loop.create_connection(lambda: link, *self.addresses[name])
        await asyncio.sleep(self.rng.uniform(*RETRY))  # also where it is closed at once
        del self.dialling[name]
        if self.open:
            self.run([])

    def message(self, link: Link, message: Message) -> None:
        if isinstance(message, StatusRequest):
            self.send(link, self.status())
        else:
            super().message(link, message)

    def stalled(self, link: Link) -> None:
        self.run(self.store.stalled(self.clock(), link.number))

    def room(self, link: Link) -> None:
        self.run(self.store.room(self.clock(), link.number))

    def status(self) -> Status:
        store = self.store
        return Status(
            store.name,
            str(store.role),
            store.leader,
            store.term,
            store.committed,
            store.last,
            len(store.teller.followers),
            len(store.topics),
            store.teller.entries,
            store.age(self.clock()),
        )


class Dialled(Link):
    """To a store that we called."""

    def __init__(self, driver: Driver, number: int, name: str) -> None:
        super().__init__(driver, number)
        self.name = name


class FollowerDriver(Driver):
    """One follower: the connection that it wants. `take` gets what is in force."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Callable[[], float],
        follower: Follower,
        codec: Codec,
        stores: tuple[Address, ...],
        take: Callable[[Take], None],
        proved: Callable[[], None] = lambda: None,
        source: str | None = None,
    ) -> None:
        super().__init__(loop, clock, follower, codec)
        self.follower, self.stores, self.take, self.proved = follower, stores, take, proved
        self.source = source
        self.dials: dict[int, asyncio.Task[None]] = {}

    def start(self) -> None:
        self.open = True
        self.run(self.follower.start(self.clock()))

    def act(self, effect: Effect) -> None:
        if isinstance(effect, Dial):
            task = self.task(self.loop.create_task(self.dial(effect)))
            self.dials[effect.connection] = task
            task.add_done_callback(lambda _: self.dials.pop(effect.connection, None))
        elif isinstance(effect, Take):
            self.take(effect)
        elif isinstance(effect, Happened):
            told = dict(effect.told)
            if isinstance(store := told.get("store"), int):
                told["store"] = "{}:{}".format(*self.stores[store])
            events.say(Happened(effect.name, told))
        else:
            super().act(effect)

    def closing(self, effect: Close) -> None:
        if (task := self.dials.pop(effect.connection, None)) is not None:
            task.cancel()  # still on its way
        super().closing(effect)

    def after(self) -> None:
        self.proved()

    def made(self, link: Link) -> None:
        super().made(link)
        self.run(self.follower.connected(self.clock(), link.number))

    async def dial(self, effect: Dial) -> None:
        link = Link(self, effect.connection)
        local = None if self.source is None else (self.source, 0)
        try:
            await self.loop.create_connection(
                lambda: link, *self.stores[effect.store], local_addr=local
            )
        except OSError:
            self.run(self.follower.closed(self.clock(), effect.connection))


class Client:
    """A connection of an operator's command to one store."""

    def __init__(self, address: Address, codec: Codec) -> None:
        self.address, self.codec = address, codec
        self.reader: asyncio.StreamReader
        self.writer: asyncio.StreamWriter

    async def __aenter__(self) -> Client:
        self.reader, self.writer = await asyncio.open_connection(*self.address)
        self.write(Hello("operator", False))
        return self

    async def __aexit__(self, *_: object) -> None:
        self.writer.close()
        with contextlib.suppress(OSError):
            await self.writer.wait_closed()

    def write(self, message: Message) -> None:
        """Raises Refused where the message is over a bound."""
        data = self.codec.encode(message)
        self.writer.write(LENGTH.pack(len(data)) + data)

    async def read(self) -> Message:
        """The next message but greetings. Raises Refused, OSError, IncompleteReadError."""
        while True:
            (length,) = LENGTH.unpack(await self.reader.readexactly(LENGTH.size))
            if length > MAX_FRAME:
                raise Refused("oversized", f"a frame of {length} bytes is over {MAX_FRAME}")
            message = self.codec.decode(await self.reader.readexactly(length))
            if not isinstance(message, Hello):
                return message
