"""Drives the console over asyncio: a listener of its own, with few callers at a time."""

from __future__ import annotations

import asyncio
import socket
from typing import cast

from badgercart.admin.log_events import OPEN
from badgercart.admin.requests import Call, Desk
from badgercart.config import Address
from badgercart.core.descriptors import ADMIN

MAX_CALLERS = ADMIN - 1  # connections at a time; their descriptors are kept back for them
PAUSE = 0.2  # s without accepting, where that fails
CALL_TIME = 5.0  # s after which one that has made no whole call is closed


class Door:
    """The listener. Where one caller more comes, the one that has waited longest makes room."""

    def __init__(self, loop: asyncio.AbstractEventLoop, address: Address, desk: Desk) -> None:
        self.loop = loop
        self.listen = address
        self.desk = desk
        self.callers: dict[Caller, asyncio.TimerHandle] = {}  # the longest there first
        self.socket: socket.socket | None = None

    async def start(self) -> None:
        """OSError where the address can't be had."""
        host, port = self.listen
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self.socket = socket.create_server((host, port), family=family, backlog=64)
        self.socket.setblocking(False)
        self.resume()
        OPEN(host=self.address[0], port=self.address[1])

    @property
    def address(self) -> Address:
        assert self.socket is not None
        host, port = self.socket.getsockname()[:2]
        return host, port

    def close(self) -> None:
        if self.socket is not None:
            self.loop.remove_reader(self.socket)
            self.socket.close()
            self.socket = None
        for caller in [*self.callers]:
            caller.abort()

    # The loop's own server accepts before it is asked who may stay, and ends for good without
    # descriptors.

    def resume(self) -> None:
        if self.socket is not None:
            self.loop.add_reader(self.socket, self.accept)

    def accept(self) -> None:
        """Take over callers that wait. Called again in each turn of the loop while any does."""
        assert self.socket is not None
        if len(self.callers) >= MAX_CALLERS:
            next(iter(self.callers)).abort()  # its descriptor is free in the next turn
        while len(self.callers) < MAX_CALLERS:
            try:
                sock, _ = self.socket.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError:
                self.loop.remove_reader(self.socket)
                self.loop.call_later(PAUSE, self.resume)
                return
            sock.setblocking(False)
            caller = Caller(self)
            self.callers[caller] = self.loop.call_later(CALL_TIME, caller.abort)
            self.loop.create_task(self.take_over(sock, caller))

    async def take_over(self, sock: socket.socket, caller: Caller) -> None:
        try:
            await self.loop.connect_accepted_socket(lambda: caller, sock)
        except OSError:  # gone already
            sock.close()
            self.leave(caller)

    def leave(self, caller: Caller) -> None:
        if (timer := self.callers.pop(caller, None)) is not None:
            timer.cancel()


class Caller(asyncio.Protocol):
    """One call on its connection."""

    transport: asyncio.Transport | None = None

    def __init__(self, door: Door) -> None:
        self.door = door
        self.call = Call(door.desk)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        if (answer := self.call.received(data)) is not None and self.transport is not None:
            self.transport.write(answer)
            # Not a plain close: bytes that come unread behind the call would reset the answer. The
            # caller ends the connection, or the door's time does.
            self.transport.write_eof()

    def connection_lost(self, exc: Exception | None) -> None:
        self.call.close()
        self.door.leave(self)
