"""Drives the way to the servers: pooled connections, attempts on them, and how each attempt
ended."""

from __future__ import annotations

import asyncio
import math
import select
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Protocol, cast

from badgercart.config import Address
from badgercart.core import read_buffer as reading
from badgercart.core.clock import now_ms
from badgercart.core.endpoint_table import DiscoveredEndpoint
from badgercart.core.memory_budget import MemoryBudget, budget_bytes
from badgercart.core.ports import Answer, AttemptRequest
from badgercart.core.results import result_of
from badgercart.core.streams import Opening, Sink, nothing
from badgercart.policy.endpoint import EndpointState
from badgercart.policy.events import AttemptResult
from badgercart.upstream.attempts import BROKEN, OVERDUE, At, IdleLimit, check_end, hindrance
from badgercart.upstream.exchange import Done, Exchange, Found, Malformed, Message
from badgercart.upstream.log_events import MALFORMED_ANSWER, NO_DESCRIPTORS

LAST_LOOK = 0.001  # s, one turn of the loop, between an attempt's time and its end
SWEEP = 1.0  # s between looks for connections that have been idle for too long
# ms that a connection rests between an answer and the next request. A second answer may come some
# ms behind the first, and would pass for the next one's: answers do not say whose they are. Seen:
# 1.2 to 3.5 ms.
REST = 10.0
HOLD_TIME = 0.1  # s after its first byte that an answer of unknown length is held
SILENCE = 10_000.0  # ms without a byte after which a server's answer, or its reading, is given up
UNREAD = 30_000.0  # ms without room at the client after which its answer is given up


@dataclass(slots=True, eq=False)
class Attempt:
    request_id: int
    number: int
    server: Server
    version: int  # of the server's entry when the attempt was decided
    message: Message
    started: float
    deadline: float
    at: At = At.DIALLING
    overdue: bool = False
    limit: float = 0.0  # ms, where it counts from when the request is whole
    timer: asyncio.TimerHandle | None = None
    opener: asyncio.TimerHandle | None = None  # when its answer begins to go on at the latest
    dial: asyncio.Task[None] | None = None
    connection: ServerConnection | None = None


@dataclass(slots=True, eq=False)
class Server:
    """A server at its address. The version counts changes after which old connections are not
    used."""

    id: int
    address: Address
    state: EndpointState
    started: float
    version: int = 0
    out: int = 0  # attempts
    idle: list[ServerConnection] = field(default_factory=list)  # the most recently used last

    @property
    def endpoint(self) -> str:
        return f"{self.address[0]}:{self.address[1]}"


class ServerConnection(asyncio.BufferedProtocol):
    """One connection; it carries one attempt at a time."""

    transport: asyncio.Transport

    def __init__(self, pool: ServerPool, server: Server) -> None:
        self.pool = pool
        self.server = server
        self.version = server.version
        self.exchange = Exchange()
        self.attempt: Attempt | None = None
        self.idle_since = 0.0
        self.idled = 0.0  # ms before the attempt
        self.held = 0  # bytes of an answer that count as held
        self.sink: Sink | None = None  # where the answer goes on to
        self.full = self.paused = False  # writing; reading
        self.moved = 0.0  # ms, when something last went on, of what goes on as it comes

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # Not isinstance: uvloop's transports do not derive from asyncio's. They come with
        # TCP_NODELAY set.
        self.transport = cast(asyncio.Transport, transport)
        self.poll = select.poll()
        self.poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)

    def connection_lost(self, exc: Exception | None) -> None:
        self.exchange.close()
        self.exchange.unlink()
        self.pool.connections.discard(self)
        if self in self.server.idle:
            self.server.idle.remove(self)
        if (attempt := self.attempt) is not None:
            # Where the request has been given to the transport, what its buffer held is no proof
            # that the server did not get it: the attempt may have run.
            self.pool.idle_limit.reused(self.idled, self.exchange.size > 0)
            self.leave(whole=False)
            self.pool.end(attempt, BROKEN[attempt.at])

    def quiet(self) -> bool:
        """Whether it is open and nothing lies unread in it, which would pass for the next answer.

        What came right behind the last answer, or a close, may not have reached the loop yet."""
        return not self.transport.is_closing() and not self.poll.poll(0)

    def start(self, attempt: Attempt) -> None:
        self.attempt = attempt
        self.idled = attempt.started - self.idle_since if self.idle_since else 0.0
        attempt.connection = self
        message = attempt.message
        attempt.at = At.SENT if message.upload is None else At.SENDING
        self.exchange.hold = self.pool.hold
        left = attempt.deadline - now_ms()
        self.transport.write(
            self.exchange.ask(message, left if math.isfinite(left) else attempt.limit)
        )
        if message.upload is not None:
            self.moved = now_ms()
            self.transport.set_write_buffer_limits(high=self.pool.room.window)
            message.upload.on_data = self.send_on
            self.send_on()

    def all_sent(self) -> bool:
        """Whether the request that it carries has left this process."""
        if self.attempt is not None and self.attempt.at is At.SENT:
            return self.transport.is_closing() or not self.transport.get_write_buffer_size()
        return self.attempt is None or self.attempt.at is not At.SENDING

    # A request that comes in, and an answer that goes on, as they come.

    def send_on(self) -> None:
        attempt = self.attempt
        if (
            attempt is None
            or attempt.at is not At.SENDING
            or self.full
            or self.transport.is_closing()
        ):
            return
        upload = attempt.message.upload
        assert upload is not None
        if data := self.exchange.upload_bytes():
            self.moved = now_ms()
            self.transport.write(data)
        if upload.ended:
            attempt.at = At.SENT
            upload.on_data = nothing
            self.pool.arm(attempt)

    def pause_writing(self) -> None:
        self.full = True

    def resume_writing(self) -> None:
        self.full, self.moved = False, now_ms()
        self.send_on()

    def open(self) -> None:
        """Let the answer go on as it comes."""
        attempt, pool = self.attempt, self.pool
        if attempt is None or attempt.at is At.SENDING or self.exchange.begun:
            return
        attempt.at = At.STREAMING
        pool.disarm(attempt)
        opening, elapsed = self.exchange.begin(), now_ms() - attempt.started
        self.sink = pool.on_begin(
            attempt.request_id, attempt.number, self.server.id, elapsed, opening
        )
        if self.sink is None:  # nobody waits for it any more
            pool.drop(attempt, AttemptResult.CANCELLED)
            return
        pool.room.streams += 1
        self.sink.watch(self.on_room, self.on_lost)
        self.pass_on()

    def pass_on(self) -> None:
        assert self.sink is not None
        data = self.exchange.pass_on()
        if not data:
            return
        self.moved = now_ms()
        if not self.sink.part(data) and self.sink is not None and not self.paused:
            self.paused = True
            self.transport.pause_reading()

    def on_room(self) -> None:
        if self.paused and not self.transport.is_closing():
            self.paused, self.moved = False, now_ms()
            self.transport.resume_reading()

    def on_lost(self) -> None:
        """The client has gone away."""
        self.sink = None
        self.pool.room.streams -= 1
        if self.attempt is not None:
            self.pool.drop(self.attempt, AttemptResult.CANCELLED)

    def leave(self, whole: bool) -> Attempt | None:
        """Part from the attempt, which is over: nothing more goes on."""
        attempt, self.attempt = self.attempt, None
        if self.held:
            self.count(0)
        if (sink := self.sink) is not None:
            self.sink = None
            self.pool.room.streams -= 1
            if whole:
                sink.done()
            else:
                sink.broken()
        return attempt

    def count(self, held: int) -> None:
        self.pool.room.held += held - self.held
        self.held = held

    # From the transport.

    def get_buffer(self, sizehint: int) -> memoryview:
        return reading.buffer()

    def buffer_updated(self, nbytes: int) -> None:
        found = self.exchange.received(reading.taken(nbytes))
        if found is not None:
            self.found(found)
        elif self.exchange.begun:
            self.pass_on()
        elif self.exchange.opening:
            self.open()
        else:
            self.count(len(self.exchange.body))
            attempt = self.attempt
            if attempt is not None and attempt.opener is None and self.exchange.may_open:
                attempt.opener = self.pool.loop.call_later(HOLD_TIME, self.open)

    def eof_received(self) -> None:
        if (found := self.exchange.ended()) is not None:
            self.found(found)

    def found(self, found: Found) -> None:
        if self.sink is not None and isinstance(found, Done):
            self.sink.part(found.answer.body)
        if self.paused and not self.transport.is_closing():
            self.paused = False
            self.transport.resume_reading()
        attempt = self.leave(whole=isinstance(found, Done))
        if attempt is not None and isinstance(found, Done):
            self.pool.idle_limit.reused(self.idled, True)
            if found.keep:
                self.pool.park(self)
            else:
                self.transport.close()
            answer = found.answer
            self.pool.end(attempt, result_of(answer.status, found.not_started), answer)
        elif attempt is not None and isinstance(found, Malformed):
            self.transport.abort()
            MALFORMED_ANSWER(server=self.server.endpoint, request=attempt.request_id, why=found.why)
            self.pool.end(attempt, AttemptResult.ERROR)
        else:  # nothing was asked
            self.transport.abort()


class OnEnd(Protocol):
    """Who is told of the end of an attempt, with the answer where one came whole."""

    def __call__(
        self,
        request_id: int,
        number: int,
        server_id: int,
        result: AttemptResult,
        elapsed: float,
        answer: Answer | None = None,
        *,
        spent: bool = False,
    ) -> None: ...  # fmt: skip


# Request, number of the attempt, server, ms until now, the answer's head; where it goes, None:
# nowhere.
OnBegin = Callable[[int, int, int, float, Opening], Sink | None]


def any_request(request_id: int) -> bool:
    """For who does not tell which requests still wait."""
    return True


def held_only(
    request_id: int, number: int, server_id: int, elapsed: float, opening: Opening
) -> Sink | None:
    """For fronts whose messages ask for no answer as it comes."""
    return None


class ServerPool:
    """All servers that a list has named, and all attempts that are out."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        dial_timeout: float,
        idle_timeout: float,
        max_connections: int,
        on_end: OnEnd,
        on_begin: OnBegin = held_only,
        room: MemoryBudget | None = None,
        source: str | None = None,  # the address that connections set out from
        wanted: Callable[[int], bool] = any_request,
    ) -> None:
        self.loop = loop
        self.wanted = wanted
        self.local = (source, 0) if source else None
        self.dial_timeout = dial_timeout
        self.idle_limit = IdleLimit(idle_timeout)
        self.max_connections = max_connections
        self.on_end = on_end
        self.on_begin = on_begin
        self.room = room or MemoryBudget(budget_bytes(0))
        self.servers: dict[int, Server] = {}
        self.attempts: dict[tuple[int, int], Attempt] = {}
        self.connections: set[ServerConnection] = set()
        self.dials = 0
        self.loop.call_later(SWEEP, self.sweep)

    def update(self, member: DiscoveredEndpoint) -> None:
        """Take over a line of the server list."""
        entry, address = member.entry, member.address
        server_id, state, started = entry.id, entry.state, entry.started_ms
        server = self.servers.get(server_id)
        if server is None:
            if state is not EndpointState.GONE:
                self.servers[server_id] = Server(server_id, address, state, started)
        elif (server.address, server.state, server.started) != (address, state, started):
            # Connections from before a restart are dead, and a server that drains gets nothing new.
            server.address, server.state, server.started = address, state, started
            server.version += 1
            for connection in server.idle:
                connection.transport.close()
            server.idle.clear()
            self.forget(server)

    def forget(self, server: Server) -> None:
        """Ids are ever new: a server that is gone leaves with its last attempt."""
        if (
            server.state is EndpointState.GONE
            and not server.out
            and self.servers.get(server.id) is server
        ):
            del self.servers[server.id]

    def send(self, order: AttemptRequest) -> None:
        server = self.servers[order.endpoint_id]
        now, limit = now_ms(), order.timeout_ms
        attempt = Attempt(
            order.request_id, order.attempt, server, server.version, order.payload, now, now + limit
        )
        self.attempts[order.request_id, order.attempt] = attempt
        server.out += 1
        upload = order.payload.upload
        if upload is not None and not upload.whole:
            attempt.limit, attempt.deadline = limit, math.inf
            upload.on_data = partial(self.came_in, attempt)
            upload.on_lost = partial(self.drop, attempt, AttemptResult.CANCELLED)
        else:
            attempt.timer = self.loop.call_later(max(0.0, limit) / 1000, self.expire, attempt)
        at = len(server.idle)
        while at and now - server.idle[at - 1].idle_since < REST:
            at -= 1
        while at:
            at -= 1
            connection = server.idle.pop(at)
            if self.trusted(connection):
                self.put_on(attempt, connection)
                return
            connection.transport.abort()
        way = self.rested(attempt, server.idle.pop(0)) if server.idle else self.connect(attempt)
        attempt.dial = self.loop.create_task(way)

    async def rested(self, attempt: Attempt, connection: ServerConnection) -> None:
        """Go out on a connection that has just had an answer, once it has rested."""
        try:
            await asyncio.sleep((REST + connection.idle_since - now_ms()) / 1000)
        except asyncio.CancelledError:
            self.park(connection)
            raise
        if self.trusted(connection):
            attempt.dial = None
            self.put_on(attempt, connection)
        else:
            connection.transport.abort()
            await self.connect(attempt)

    def trusted(self, connection: ServerConnection) -> bool:
        """Whether an idle connection can carry the next request."""
        return now_ms() - connection.idle_since < self.idle_limit.ms and connection.quiet()

    def put_on(self, attempt: Attempt, connection: ServerConnection) -> None:
        """The one place where an attempt begins to be written, if it still may be.

        Meanwhile its request may have ended, its time passed, or its server begun to drain."""
        server = attempt.server
        fit = attempt.version == server.version and server.state is EndpointState.READY
        fit = fit and not connection.transport.is_closing()
        left = attempt.deadline - now_ms()
        why = hindrance(self.wanted(attempt.request_id), fit, left)
        if why is None:
            connection.start(attempt)
            return
        if why is AttemptResult.NOT_SENT and fit:  # nothing is wrong with it
            self.park(connection)
        else:
            connection.transport.abort()
        self.end(attempt, why)

    def hold(self) -> int:
        return self.room.hold

    def came_in(self, attempt: Attempt) -> None:
        """More of a request whose connection is not up yet."""
        assert attempt.message.upload is not None
        if attempt.message.upload.whole:
            self.arm(attempt)

    def arm(self, attempt: Attempt) -> None:
        """Its request is whole: its time counts from now on."""
        if attempt.timer is None and math.isinf(attempt.deadline):
            attempt.started = now_ms()
            attempt.deadline = attempt.started + attempt.limit
            attempt.timer = self.loop.call_later(
                max(0.0, attempt.limit) / 1000, self.expire, attempt
            )

    def disarm(self, attempt: Attempt) -> None:
        for timer in (attempt.timer, attempt.opener):
            if timer is not None:
                timer.cancel()

    async def connect(self, attempt: Attempt) -> None:
        """Open a connection for an attempt; no byte has been sent where this fails."""
        server = attempt.server
        while self.open >= self.max_connections and self.close_an_idle_one():
            await asyncio.sleep(0)  # it holds its descriptor until then
        if self.open >= self.max_connections:
            NO_DESCRIPTORS(server=server.endpoint, request=attempt.request_id)
            self.end(attempt, AttemptResult.UNREACHABLE)
            return
        self.dials += 1
        connection = ServerConnection(self, server)
        try:
            async with asyncio.timeout(self.dial_timeout / 1000):
                await self.loop.create_connection(
                    lambda: connection, *server.address, local_addr=self.local
                )
        except (OSError, UnicodeError):  # no connection in time, or an address that is none
            connection.exchange.unlink()
            self.end(attempt, AttemptResult.UNREACHABLE)
            return
        except asyncio.CancelledError:
            connection.exchange.unlink()
            raise
        finally:
            self.dials -= 1
        attempt.dial = None
        # Counted from here, not from connection_made: a dial that is cancelled just as it comes up
        # is closed by uvloop without connection_lost, and would count against the limit for ever.
        if not connection.transport.is_closing():
            self.connections.add(connection)
        self.put_on(attempt, connection)

    @property
    def open(self) -> int:
        """Connections that hold a descriptor."""
        return len(self.connections) + self.dials

    def retune(self, dial_timeout: float, idle_timeout: float) -> None:
        self.dial_timeout = dial_timeout
        self.idle_limit.retell(idle_timeout)

    def keep_to(self, most: int) -> None:
        """Have another limit of connections; idle ones over it are closed."""
        self.max_connections = most
        for _ in range(self.open - most):
            if not self.close_an_idle_one():
                return

    def close_an_idle_one(self) -> bool:
        longest = [server.idle[0] for server in self.servers.values() if server.idle]
        if not longest:
            return False
        connection = min(longest, key=lambda c: c.idle_since)
        connection.server.idle.remove(connection)
        connection.transport.abort()
        return True

    def park(self, connection: ServerConnection) -> None:
        """Keep a connection for the next attempt, if its server still is the one it was opened
        to."""
        server = connection.server
        if connection.version != server.version or server.state is not EndpointState.READY:
            connection.transport.close()
            return
        connection.idle_since = now_ms()
        server.idle.append(connection)

    def sweep(self) -> None:
        self.loop.call_later(SWEEP, self.sweep)
        self.idle_limit.grow()
        now = now_ms()
        for connection in [*self.connections]:
            attempt = connection.attempt
            if attempt is None or attempt.at not in (At.SENDING, At.STREAMING):
                continue
            # A request may come in slowly: that is its client's affair, and only a server that does
            # not read is given up.
            waits = connection.full if attempt.at is At.SENDING else True
            if waits and now - connection.moved > (UNREAD if connection.paused else SILENCE):
                self.drop(attempt, OVERDUE[attempt.at])
        before = now - self.idle_limit.ms
        for server in self.servers.values():
            while server.idle and server.idle[0].idle_since < before:
                server.idle.pop(0).transport.close()

    def expire(self, attempt: Attempt) -> None:
        # The loop runs timers before it reads: after a stall the answer may lie in the socket
        # unread, and a server that did its work would pass for a silent one. So it reads once more
        # first.
        if not attempt.overdue:
            attempt.overdue = True
            attempt.timer = self.loop.call_later(LAST_LOOK, self.expire, attempt)
            return
        if attempt.connection is not None and attempt.connection.exchange.may_open:
            attempt.connection.open()  # it may be a long one, whose first bytes are in time
            return
        # Where no connection came up in the whole time, nothing was sent.
        self.drop(attempt, OVERDUE[attempt.at])

    def cancel(self, request_id: int, number: int) -> None:
        attempt = self.attempts.get((request_id, number))
        if attempt is not None:
            self.drop(attempt, AttemptResult.CANCELLED)

    def abandon_attempt(self, request_id: int, number: int) -> None:
        """Nobody waits for it: what has not been written of it never is. A server begins a request
        with its last byte, so one whose last byte is still here never runs."""
        attempt = self.attempts.get((request_id, number))
        if attempt is None:
            return
        if attempt.at is At.DIALLING:
            self.drop(attempt, AttemptResult.NOT_SENT)
        elif attempt.connection is not None and not attempt.connection.all_sent():
            self.drop(attempt, AttemptResult.CANCELLED)

    def drop(self, attempt: Attempt, result: AttemptResult) -> None:
        """Stop waiting: the connection is of no more use, an answer may still come on it."""
        if attempt.dial is not None:
            attempt.dial.cancel()
        if attempt.connection is not None:
            attempt.connection.leave(whole=False)
            attempt.connection.exchange.close()
            attempt.connection.transport.abort()
        self.end(attempt, result)

    def end(self, attempt: Attempt, result: AttemptResult, answer: Answer | None = None) -> None:
        if self.attempts.pop((attempt.request_id, attempt.number), None) is None:
            return
        check_end(attempt.at, result)
        self.disarm(attempt)
        attempt.dial = attempt.connection = None
        attempt.server.out -= 1
        self.forget(attempt.server)
        elapsed = now_ms() - attempt.started
        upload = attempt.message.upload
        spent = upload is not None and upload.spent
        if upload is not None:
            upload.on_data = upload.on_lost = nothing
        server = attempt.server.id
        self.on_end(
            attempt.request_id, attempt.number, server, result, elapsed, answer, spent=spent
        )
