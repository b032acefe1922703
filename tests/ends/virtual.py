"""A loop whose time is its own, ways to servers that a test opens, answers on and cuts, services by
port."""

from __future__ import annotations

import asyncio
import os
import selectors
from collections.abc import Awaitable, Callable
from typing import Any

from badgercart.upstream.connection_pool import ServerConnection


class VirtualSelector(selectors.BaseSelector):
    """Nothing ever comes from outside: waiting only lets time pass."""

    def __init__(self, passed: Callable[[float], None]) -> None:
        self.passed = passed

    def register(self, fileobj: Any, events: int, data: Any = None) -> Any: ...

    def unregister(self, fileobj: Any) -> Any: ...

    def get_map(self) -> Any:
        return {}

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise RuntimeError("everybody waits, and nothing will come")
        self.passed(max(timeout, 0.0))
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop on virtual time. Connections are made as the test says."""

    def __init__(self) -> None:
        self.now = 1000.0
        super().__init__(VirtualSelector(self.let_pass))  # type: ignore[arg-type]
        self.dials: list[PendingConnection] = []
        self.ways = 0
        self.services: dict[
            int, Callable[[Callable[[], Any]], Awaitable[Any]]
        ] = {}  # what answers at a port
        self.quiet_end, self.other_end = os.pipe()

    def let_pass(self, passed: float) -> None:
        self.now += passed

    def time(self) -> float:
        return self.now

    async def create_connection(self, factory: Any, *args: Any, **options: Any) -> Any:  # type: ignore[override]
        if args[1] in self.services:
            return await self.services[args[1]](factory)
        dial = PendingConnection(self, factory, args[1])
        self.dials.append(dial)
        return await dial.up

    def close(self) -> None:
        if not self.is_closed():
            os.close(self.quiet_end)
            os.close(self.other_end)
        super().close()


class PendingConnection:
    """A connection that comes up when the test has it do so."""

    def __init__(
        self, loop: VirtualLoop, factory: Callable[[], ServerConnection], port: int
    ) -> None:
        self.loop, self.factory, self.port = loop, factory, port
        self.up: asyncio.Future[Any] = loop.create_future()

    def open(self, on_write: Callable[[ServerTransport, bytes], None]) -> ServerTransport | None:
        if self.up.done():
            return None
        way = ServerTransport(self.loop, self.factory(), self.port, on_write)
        way.protocol.connection_made(way)
        self.up.set_result((way, way.protocol))
        return way

    def fail(self) -> None:
        if not self.up.done():
            self.up.set_exception(ConnectionRefusedError())


class ServerTransport(asyncio.Transport):
    """The node's end of a connection to a server."""

    def __init__(
        self,
        loop: VirtualLoop,
        protocol: ServerConnection,
        port: int,
        on_write: Callable[[ServerTransport, bytes], None],
    ) -> None:
        super().__init__()
        self.loop, self.protocol, self.port, self.on_write = loop, protocol, port, on_write
        self.closing = False
        loop.ways += 1
        self.number = loop.ways

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return self

    def fileno(self) -> int:
        return self.loop.quiet_end

    def write(self, data: Any) -> None:
        assert not self.closing, "written on a connection that is closed"
        self.on_write(self, bytes(data))

    def get_write_buffer_size(self) -> int:
        return 0  # what is written has gone out

    def is_closing(self) -> bool:
        return self.closing

    def close(self) -> None:
        self.cut()

    def abort(self) -> None:
        self.cut()

    def cut(self) -> None:
        """The connection is gone: its protocol hears of it in the next turn."""
        if not self.closing:
            self.closing = True
            self.loop.call_soon(self.protocol.connection_lost, None)

    def come(self, data: bytes) -> None:
        """The server's bytes."""
        if not self.closing:
            self.protocol.get_buffer(len(data))[: len(data)] = data
            self.protocol.buffer_updated(len(data))

    def pause_reading(self) -> None: ...

    def resume_reading(self) -> None: ...
