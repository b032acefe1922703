"""Drives clients' connections over asyncio: the listener, its limits, and what has waited for too
long."""

from __future__ import annotations

import asyncio
import errno
import select
import socket
from collections import Counter
from collections.abc import Callable, Iterator, Mapping
from typing import Protocol, cast

from badgercart.config import Address
from badgercart.core import read_buffer as reading
from badgercart.core.clock import now_ms
from badgercart.core.memory_budget import MAX_BUFFERED_MESSAGE_BYTES, MemoryBudget
from badgercart.core.ports import UpstreamResponse
from badgercart.core.streams import ResponseHeaderSection, ResponseSink, Upload, do_nothing
from badgercart.frontends.http.connection import Connection, State
from badgercart.frontends.http.connection_eviction import GREETING, makes_room
from badgercart.frontends.http.log_events import ACCEPT_FAILED
from badgercart.frontends.http.requests import (
    BadRequest,
    ClientRequest,
    Headers,
    Page,
    Read,
    Words,
    no_words,
)

REQUEST_TIME = (
    3.0  # s for a request's head, the first from the connection's start; a body has what it needs
)
KEEP_ALIVE = 10.0  # s that a connection may stand idle between requests
LINGER = 1.0  # s to discard what still comes after an answer that ends the connection
SWEEP = 0.2  # s between looks for connections whose time is up
ACCEPTS = 64  # connections taken over in one go, before those that are there are read
ACCEPT_FOR = 0.6  # s after SIGTERM during which new connections are accepted
QUIET = 0.6  # s of standing idle after which a process that is replaced closes a connection
LATE = 1.2  # s after which it closes those that are used, too, between two requests
LOOK = 0.1  # s between looks whether a client has left whose connection is not read now
LEFT = select.POLLRDHUP | select.POLLHUP | select.POLLERR
DRAIN_LOOK = 0.02  # s between looks whether all clients are answered


class Handler(Protocol):
    """What takes the requests."""

    stopping: bool
    pages: Mapping[bytes, Page]

    @property
    def healthy(self) -> bool: ...

    def take(self, client: ClientConnection, request: ClientRequest) -> None:
        """Take on a request and give the connection its number."""

    def withdraw(self, request_id: int) -> None:
        """The client has gone away."""


class BulkHandler(Handler, Protocol):
    """One that takes requests that are not whole."""

    def whole(self, client: ClientConnection, request: ClientRequest) -> None:
        """A request that was taken on before has come in whole."""


Wait = dict["ClientConnection", float]  # and since when


class Listener:
    """All connections of clients. Each that waits for its client is in one of the waits."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: Address,
        handler: Handler,
        limit: int,
        read: Read,
        words: Words = no_words,
        room: MemoryBudget | None = None,  # for what goes on as it comes; None: nothing does
    ) -> None:
        self.room = room
        self.loop = loop
        self.listen = address
        self.read = read
        self.words = words
        self.turned_away: Counter[int] = (
            Counter()
        )  # requests that could not be taken, by their status
        self.handler = handler
        self.limit = limit
        self.connections: set[ClientConnection] = set()  # also those that are about to close
        self.open_ids: set[bytes] = set()  # of requests that have come and are not answered
        # Since when, the longest first.
        self.silent: Wait = {}
        self.arriving: Wait = {}
        self.idle: Wait = {}
        self.ending: Wait = {}
        self.uploading: Wait = {}
        self.waits: dict[State, Wait] = {
            State.SILENT: self.silent,
            State.ARRIVING: self.arriving,
            State.IDLE: self.idle,
            State.ENDING: self.ending,
            State.UPLOADING: self.uploading,
        }
        # Connections that are not read now, whose ends the loop does not see.
        self.unheard: set[ClientConnection] = set()
        self.looking: asyncio.TimerHandle | None = None
        self.socket: socket.socket | None = None
        self.opened = True  # whether it may accept
        self.accepting = False
        self.evicted: ClientConnection | None = (
            None  # the last that had to make room, until it is gone
        )
        self.timer: asyncio.TimerHandle | None = None

    def start(self, inherited: socket.socket | None = None, opened: bool = True) -> None:
        """Serve on a socket that listens already, or on the address. Until it is opened, clients
        wait."""
        if inherited is None:
            host, port = self.listen
            family = socket.AF_INET6 if ":" in host else socket.AF_INET
            inherited = socket.create_server((host, port), family=family, backlog=1024)
        self.socket = inherited
        self.socket.setblocking(False)
        self.opened = opened
        self.resume()
        self.sweep()

    def open(self) -> None:
        """Take connections from now on."""
        self.opened = True
        self.resume()

    def keep_to(self, limit: int) -> None:
        """Have another limit of connections; those over it that nobody needs make room."""
        self.limit = limit
        spare = [client for client in self.idle if not self.spared(client)]
        for client in spare[: max(0, len(self.connections) - limit)]:
            client.transport.close()

    @property
    def address(self) -> tuple[str, int]:
        assert self.socket is not None
        host, port = self.socket.getsockname()[:2]
        return host, port

    def stop(self) -> None:
        """Take no new connections."""
        if self.socket is not None:
            self.pause()
            self.socket.close()
            self.socket = None

    async def drain(self, until: float) -> None:
        """Take what still comes for a while, then see clients answered, until then (ms) at most."""
        # A client that has been told the connection closes, or sees it close, comes back elsewhere.
        self.close_idle()
        await asyncio.sleep(ACCEPT_FOR)
        # Who has not sent its whole request by now can't keep the node from ending.
        while (self.socket is not None or self.connections) and now_ms() < until:
            if self.emptied():
                self.stop()  # what waited in the backlog would be reset with it
            self.close_idle()
            await asyncio.sleep(DRAIN_LOOK)
        self.stop()

    def emptied(self) -> bool:
        """Take over all that waits in the backlog, as far as there is room; whether nothing is
        left."""
        while self.socket is not None and len(self.connections) < self.limit:
            had = len(self.connections)
            if self.accept():
                return True
            if len(self.connections) == had:  # no descriptors
                return False
        return self.socket is None

    async def hand_over(self, until: float) -> None:
        """Leave new connections to another process, then see clients answered, until then (ms) at
        most.

        A client that is answered is told that the connection closes. One that asks nothing keeps it
        for a while: each close can cross a request, and the longer it stood idle the less likely
        that is."""
        self.stop()
        begun = self.loop.time()
        while self.connections and now_ms() < until:
            now = self.loop.time()
            quiet = now - QUIET if now - begun < LATE else now
            for client in self.overdue(self.idle, min(quiet, now - GREETING)):
                if now - begun > QUIET and not self.asks(client):
                    client.transport.close()
            await asyncio.sleep(DRAIN_LOOK)

    def close(self) -> None:
        self.stop()
        for timer in (self.timer, self.looking):
            if timer is not None:
                timer.cancel()

    # The loop's own server accepts without a limit and ends for good where descriptors have run
    # out, so the listening socket is read here: at the limit, clients wait in its backlog.

    def pause(self) -> None:
        if self.accepting and self.socket is not None:
            self.loop.remove_reader(self.socket)
        self.accepting = False

    def resume(self) -> None:
        if self.socket is not None and self.opened and not self.accepting:
            self.accepting = True
            self.loop.add_reader(self.socket, self.accept)

    def accept(self) -> bool:
        """Take over connections that wait; whether none is left."""
        assert self.socket is not None
        # One waits, or the loop would not have called. A close takes effect in the loop's next
        # turn, which comes back here.
        if len(self.connections) >= self.limit and not self.make_room():
            self.pause()
            self.loop.call_later(GREETING, self.resume)
        for _ in range(min(ACCEPTS, self.limit - len(self.connections))):
            try:
                sock, _ = self.socket.accept()
            except (BlockingIOError, InterruptedError):
                return True
            except OSError as error:
                if error.errno == errno.ECONNABORTED:  # the client was quicker
                    continue
                ACCEPT_FAILED(error=error)
                self.pause()  # no descriptor or memory now; the next sweep tries again
                return False
            sock.setblocking(False)
            client = ClientConnection(self)
            self.connections.add(client)  # from here on, so that many at once do not pass the limit
            self.loop.create_task(self.take_over(sock, client))
        return False

    async def take_over(self, sock: socket.socket, client: ClientConnection) -> None:
        try:
            await self.loop.connect_accepted_socket(lambda: client, sock)
        except OSError:  # gone already
            sock.close()
            self.connections.discard(client)

    def make_room(self) -> bool:
        """Close a connection that no request needs: one that says nothing before one that did its
        work."""
        if self.evicted in self.connections:
            return True  # it is on its way out
        client = makes_room(self.waits, self.silent_since, self.spared, self.loop.time())
        if client is not None:
            client.transport.abort()
            self.evicted = client
            return True
        return False

    def silent_since(self, client: ClientConnection) -> float:
        """When it was last heard, or had its answer (s)."""
        return max(client.machine.heard, self.waits[client.machine.state][client])

    def spared(self, client: ClientConnection) -> bool:
        """Whether it is closing anyway, has yet to read an answer, or has sent what is not read
        yet."""
        transport = client.transport
        return transport.is_closing() or transport.get_write_buffer_size() > 0 or self.asks(client)

    def asks(self, client: ClientConnection) -> bool:
        """Whether something has come that the loop reads in its next turn, and that an end now
        would lose."""
        return client not in self.unheard and client.unread()

    @property
    def crowd(self) -> int:
        """Some clients ask once and keep their connection: where so many stand idle, no more are
        kept."""
        return self.limit // 3

    def rest(self, client: ClientConnection) -> None:
        """A connection is not read for a while: whether its client leaves is looked for."""
        self.unheard.add(client)
        if self.looking is None:
            self.looking = self.loop.call_later(LOOK, self.look)

    def look(self) -> None:
        for client in [client for client in self.unheard if client.left()]:
            self.unheard.discard(client)
            client.transport.abort()
        self.looking = self.loop.call_later(LOOK, self.look) if self.unheard else None

    def read_ahead(self) -> Iterator[ClientRequest]:
        """Requests that were read, and whose turn has not come."""
        for client in self.connections:
            if hasattr(client, "machine"):  # else nothing has been read
                yield from (
                    item for item, _ in client.machine.waiting if isinstance(item, ClientRequest)
                )

    def lost(self, client: ClientConnection) -> None:
        self.connections.discard(client)
        self.unheard.discard(client)
        if client is self.evicted:
            self.evicted = None
        self.resume()

    def close_idle(self) -> None:
        """What a new client is about to send is still heard, and so is what has come and was not
        read yet."""
        for client in [*self.overdue(self.silent, self.loop.time() - GREETING), *self.idle]:
            if not self.asks(client):
                client.transport.close()

    def sweep(self) -> None:
        """End what has waited for its client for too long; one timer serves all connections."""
        self.timer = self.loop.call_later(SWEEP, self.sweep)
        self.resume()
        now = self.loop.time()
        for client in self.overdue(self.arriving, now - REQUEST_TIME):
            if not self.asks(client):
                client.machine.overdue(now)
        # A client that does not read its answer has longer than one that has it, but must not stay
        # for ever.
        for client in self.overdue(self.uploading, now - REQUEST_TIME):
            if not self.asks(client):
                client.transport.abort()  # its request is withdrawn
        told = [
            c
            for c in self.overdue(self.ending, now - LINGER)
            if not c.transport.get_write_buffer_size()
        ]
        for client in (*told, *self.overdue(self.ending, now - KEEP_ALIVE)):
            client.transport.abort()
        for client in (
            *self.overdue(self.silent, now - REQUEST_TIME),
            *self.overdue(self.idle, now - KEEP_ALIVE),
        ):
            if not self.asks(client):
                client.transport.abort()

    @staticmethod
    def overdue(wait: Wait, before: float) -> list[ClientConnection]:
        return [client for client, since in wait.items() if since < before]


class ClientConnection(asyncio.BufferedProtocol):
    """One connection of a client, and the front that owes the answer to its request."""

    transport: asyncio.Transport
    machine: Connection

    def __init__(self, listener: Listener) -> None:
        self.listener = listener
        self.request_id = 0  # the number of the request under way; 0: none
        # Of an answer that goes on as it comes: whom to tell of room, and of the client's end.
        self.on_room = self.on_lost = do_nothing

    # From the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # Not isinstance: uvloop's transports do not derive from asyncio's. They come with
        # TCP_NODELAY set.
        self.transport = cast(asyncio.Transport, transport)
        listener = self.listener
        self.machine = Connection(self, listener.loop.time(), listener.open_ids, listener.waits)
        # The transport's own: a call less for every answer.
        self.write: Callable[[bytes], object] = self.transport.write

    def connection_lost(self, exc: Exception | None) -> None:
        upload = self.machine.upload
        self.machine.lost(self.listener.loop.time())
        self.listener.lost(self)
        self.withdraw(upload)

    def eof_received(self) -> None:
        """A client that ends its side has left, by the protocol. The close that follows may take
        its time."""
        upload = self.machine.upload
        self.machine.left(self.listener.loop.time())
        self.withdraw(upload)

    def withdraw(self, upload: Upload | None) -> None:
        """Nothing is owed here any more."""
        on_lost, self.on_lost, self.on_room = self.on_lost, do_nothing, do_nothing
        on_lost()
        if self.request_id:
            request_id, self.request_id = self.request_id, 0
            self.listener.handler.withdraw(request_id)
        if (
            upload is not None
        ):  # also where the attempt must not be cancelled: it can only wait for ever
            upload.abandon()

    def get_buffer(self, sizehint: int) -> memoryview:
        return reading.get_read_buffer()

    def buffer_updated(self, nbytes: int) -> None:
        self.machine.received(reading.copy_read_bytes(nbytes), self.listener.loop.time())

    def pause_writing(self) -> None:
        self.machine.unread()

    def resume_writing(self) -> None:
        self.machine.read_again(self.listener.loop.time())
        self.on_room()

    def unread(self) -> bool:
        """Whether something has come that the loop has not read yet."""
        return self.shows(select.POLLIN)

    def left(self) -> bool:
        """Whether the client has left, or the connection is broken, behind whatever lies unread."""
        return self.shows(LEFT)

    def shows(self, events: int) -> bool:
        if self.transport.is_closing():
            return False
        poll = select.poll()
        poll.register(self.transport.get_extra_info("socket").fileno(), events)
        return bool(poll.poll(0))

    # From the join.

    def client_is_gone(self) -> bool:
        return self.transport.is_closing() or self.left()

    def on_response(self, answer: UpstreamResponse) -> None:
        self.request_id = 0
        self.machine.answer(
            self.listener.loop.time(), answer.status, answer.body, answer.content_type, b""
        )

    def on_response_started(self, opening: ResponseHeaderSection) -> ResponseSink:
        self.request_id = 0
        self.transport.set_write_buffer_limits(high=self.window())
        self.machine.begin_answer(self.listener.loop.time(), opening)
        return self

    # An answer that goes on as it comes.

    def set_callbacks(self, on_room: Callable[[], None], on_lost: Callable[[], None]) -> None:
        self.on_room, self.on_lost = on_room, on_lost

    def write_body(self, data: bytes) -> bool:
        return self.machine.go_on(data)

    def finish_body(self) -> None:
        self.on_room = self.on_lost = do_nothing
        self.machine.finish_answer(self.listener.loop.time())

    def abort_body(self) -> None:
        self.on_room = self.on_lost = do_nothing
        self.transport.abort()

    def on_shed(self, wait: float) -> None:
        content_type, body = self.listener.words(503, "not run; trying again does no harm")
        after = b"Retry-After: %.3f\r\n" % (wait / 1000) if wait else b""
        self.answer(503, body, content_type, after)

    def on_failure(self, broken: bool) -> None:
        status, why = (500, "the node failed") if broken else (502, "failed; it may have run")
        content_type, body = self.listener.words(status, why)
        self.answer(status, body, content_type)

    def answer(
        self, status: int, body: bytes = b"", content_type: bytes = b"", extra: bytes = b""
    ) -> None:
        """Write the final answer to the request under way."""
        self.request_id = 0
        self.machine.answer(self.listener.loop.time(), status, body, content_type, extra)

    # From the machine.

    @property
    def keeps(self) -> bool:
        listener = self.listener
        return not (listener.handler.stopping or len(listener.idle) >= listener.crowd)

    @property
    def serves(self) -> bool:
        return self.listener.handler.healthy and not self.listener.handler.stopping

    @property
    def bulk(self) -> bool:
        return self.listener.room is not None

    def hold(self) -> int:
        return (
            MAX_BUFFERED_MESSAGE_BYTES
            if self.listener.room is None
            else self.listener.room.message_limit_bytes
        )

    def window(self) -> int:
        return (
            MAX_BUFFERED_MESSAGE_BYTES
            if self.listener.room is None
            else self.listener.room.stream_window_bytes
        )

    def later(self, call: Callable[[], None]) -> None:
        self.listener.loop.call_soon(call)

    def now(self) -> float:
        return self.listener.loop.time()

    def read(
        self, method: bytes, url: bytes, headers: Headers, body: bytes
    ) -> ClientRequest | Page:
        if (page := self.listener.handler.pages.get(url)) is not None:
            if method != b"GET":
                raise BadRequest(405, "a page is asked for by GET", b"Allow: GET\r\n")
            return page
        return self.listener.read(method, url, headers, body)

    def whole(self, request: ClientRequest) -> None:
        request.sent = now_ms()
        if self.request_id:
            cast(BulkHandler, self.listener.handler).whole(self, request)

    def words(self, status: int, why: str) -> tuple[bytes, bytes]:
        self.listener.turned_away[status] += 1
        return self.listener.words(status, why)

    def take(self, request: ClientRequest) -> None:
        if self in self.listener.unheard and self.left():
            self.transport.abort()  # its end comes in the next turn, and nobody waits until then
            return
        self.listener.handler.take(self, request)

    def pause(self) -> None:
        self.transport.pause_reading()
        self.listener.rest(self)

    def resume(self) -> None:
        self.listener.unheard.discard(self)
        if not self.transport.is_closing():
            self.transport.resume_reading()

    def break_off(self) -> None:
        self.transport.abort()

    def finish(self) -> None:
        if not self.transport.is_closing() and self.transport.can_write_eof():
            self.transport.write_eof()
        else:
            self.transport.close()
