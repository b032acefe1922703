"""The side of the clients: the listener, request parsing, and final answers."""

from __future__ import annotations

import asyncio
import errno
import logging
import re
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Protocol, cast

import httptools

from badgercart.carriers.pool.pool import MAX_BODY, MAX_HEAD, Message
from badgercart.config import Address, Config
from badgercart.core.clock import now_ms
from badgercart.core.ports import Answer
from badgercart.core.requests import BadDescription, Classifier

MAX_REQUEST = MAX_HEAD + 2 * MAX_BODY  # bytes of a whole request, the framing of its body included
MAX_WAITING = 8  # requests sent ahead on one connection, after which it is read no further
SLICE = 4096  # bytes parsed at a time: what is read at once may hold hundreds of requests
REQUEST_TIME = 2.0  # s for a request, the first from the connection's start, others from their first byte
KEEP_ALIVE = 10.0  # s that a connection may stand idle between requests
LINGER = 1.0  # s to discard what still comes after an answer that ends the connection
SWEEP = 0.2  # s between looks for connections whose time is up
GREETING = 0.05  # s in which a new client is sure to be heard, before it may have to make room for others
HASTE = 0.3  # s in which a request comes in unless its client is in no hurry
SETTLED = 2.0  # s of standing idle after which its client has hardly any use for a connection
ACCEPTS = 64  # connections taken over in one go, before those that are there are read
ACCEPT_FOR = 0.6  # s after SIGTERM during which new connections are accepted
DRAIN_LOOK = 0.02  # s between looks whether all clients are answered
HEALTH_PATH = b"/_health"

_TIMEOUT = re.compile(rb"(\d{1,9}(?:\.\d{1,6})?)([mu])")
_DIGITS = re.compile(rb"\d{1,9}")
_OWN = frozenset(  # headers that concern one connection only, or that each attempt writes anew
    (b"connection", b"keep-alive", b"proxy-connection", b"te", b"trailer", b"transfer-encoding", b"upgrade",
     b"expect", b"content-length", b"request-timeout")
)  # fmt: skip
_PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}


log = logging.getLogger("badgercart")


class BadRequest(Exception):
    """A request that can't be taken: the status that says why, and header lines that go with it."""

    def __init__(self, status: int, extra: bytes = b"") -> None:
        self.status = status
        self.extra = extra


@dataclass(slots=True)
class ClientRequest:
    """A checked request."""

    message: Message
    name: bytes  # its Request-Id
    cls: int
    tenant: int
    key: int
    sent: float  # as near as the node can tell
    timeout: float  # ms from then until the client gives up
    hint: float  # the client's guess at the work in ms, 0: none
    repeat: bool  # marked as the client's retry


class Health:
    """The front asks whether the node can serve."""


@dataclass(slots=True)
class Page:
    """An operator asks for a page."""

    body: Callable[[], bytes]


class Handler(Protocol):
    """What takes the requests."""

    stopping: bool
    pages: dict[bytes, Callable[[], bytes]]

    @property
    def healthy(self) -> bool: ...

    def take(self, client: ClientConnection, request: ClientRequest) -> None:
        """Take on a request and give the connection its number."""

    def withdraw(self, request_id: int) -> None:
        """The client has gone away."""


Item = ClientRequest | BadRequest | Health | Page
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
    ) -> None:
        self.loop = loop
        self.listen = address
        self.read = read
        self.handler = handler
        self.limit = limit
        self.connections: set[ClientConnection] = set()  # also those that are about to close
        self.open_ids: set[bytes] = set()  # of requests that have come and are not answered
        # Since when, the longest first.
        self.silent: Wait = {}  # connected, nothing heard
        self.arriving: Wait = {}  # a request has come in part
        self.idle: Wait = {}  # between requests
        self.ending: Wait = {}  # the last answer is written
        self.socket: socket.socket | None = None
        self.accepting = False
        self.evicted: ClientConnection | None = None  # the last that had to make room, until it is gone
        self.timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        host, port = self.listen
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self.socket = socket.create_server((host, port), family=family, backlog=1024)
        self.socket.setblocking(False)
        self.resume()
        self.sweep()

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
        self.stop()
        # Who has not sent its whole request by now can't keep the node from ending.
        while self.connections and now_ms() < until:
            self.close_idle()
            await asyncio.sleep(DRAIN_LOOK)

    def close(self) -> None:
        self.stop()
        if self.timer is not None:
            self.timer.cancel()

    # The loop's own server accepts without a limit and ends for good where descriptors have run out, so the
    # listening socket is read here: at the limit, clients wait in its backlog.

    def pause(self) -> None:
        if self.accepting and self.socket is not None:
            self.loop.remove_reader(self.socket)
        self.accepting = False

    def resume(self) -> None:
        if self.socket is not None and not self.accepting:
            self.accepting = True
            self.loop.add_reader(self.socket, self.accept)

    def accept(self) -> None:
        assert self.socket is not None
        # One waits, or the loop would not have called. A close takes effect in the loop's next turn, which
        # comes back here.
        if len(self.connections) >= self.limit and not self.make_room():
            self.pause()
            self.loop.call_later(GREETING, self.resume)
        for _ in range(min(ACCEPTS, self.limit - len(self.connections))):
            try:
                sock, _ = self.socket.accept()
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                if error.errno == errno.ECONNABORTED:  # the client was quicker
                    continue
                log.warning("can't accept: %s", error)
                self.pause()  # no descriptor or memory now; the next sweep tries again
                return
            sock.setblocking(False)
            client = ClientConnection(self)
            self.connections.add(client)  # from here on, so that many at once do not pass the limit
            self.loop.create_task(self.take_over(sock, client))

    async def take_over(self, sock: socket.socket, client: ClientConnection) -> None:
        try:
            await self.loop.connect_accepted_socket(lambda: client, sock)
        except OSError:  # gone already
            sock.close()
            self.connections.discard(client)

    def make_room(self) -> bool:
        """Close a connection that no request needs: one that says nothing before one that did its work."""
        if self.evicted in self.connections:
            return True  # it is on its way out
        now = self.loop.time()
        for wait, least in (
            (self.silent, GREETING),
            (self.ending, GREETING),
            (self.idle, SETTLED),
            (self.arriving, HASTE),
            (self.idle, 0.0),
        ):
            for client, since in wait.items():
                if now - since < least:
                    break
                if not client.transport.is_closing() and not client.transport.get_write_buffer_size():
                    client.transport.abort()
                    self.evicted = client
                    return True
        return False

    @property
    def crowded(self) -> bool:
        """Some clients ask once and keep their connection: where many stand idle, no more are kept."""
        return len(self.idle) >= self.limit // 3

    def lost(self, client: ClientConnection) -> None:
        self.connections.discard(client)
        if client is self.evicted:
            self.evicted = None
        self.resume()

    def close_idle(self) -> None:
        """What a new client is about to send is still heard."""
        for client in [*self.overdue(self.silent, self.loop.time() - GREETING), *self.idle]:
            client.transport.close()

    def sweep(self) -> None:
        """End what has waited for its client for too long; one timer serves all connections."""
        self.timer = self.loop.call_later(SWEEP, self.sweep)
        self.resume()
        now = self.loop.time()
        for client in self.overdue(self.arriving, now - REQUEST_TIME):
            client.refuse(408)
            client.next()
        # A client that does not read its answer has longer than one that has it, but must not stay for ever.
        told = [c for c in self.overdue(self.ending, now - LINGER) if not c.transport.get_write_buffer_size()]
        for client in (
            *told,
            *self.overdue(self.silent, now - REQUEST_TIME),
            *self.overdue(self.idle, now - KEEP_ALIVE),
            *self.overdue(self.ending, now - KEEP_ALIVE),
        ):
            client.transport.abort()

    @staticmethod
    def overdue(wait: Wait, before: float) -> list[ClientConnection]:
        return [client for client, since in wait.items() if since < before]


class Headers:
    """The headers of one request: what the node reads of them, and the lines that go on."""

    __slots__ = (
        "bad", "coding", "expects", "hint", "key", "length", "lines", "repeat", "request_id", "size",
        "tenant", "timeout", "whole",
    )  # fmt: skip

    def __init__(self) -> None:
        self.lines: list[bytes] = []
        self.size = self.length = 0
        self.bad = self.expects = self.whole = False
        self.request_id: bytes | None = None
        self.tenant: bytes | None = None
        self.key: bytes | None = None
        self.coding: bytes | None = None
        self.timeout: float | None = None
        self.hint, self.repeat = 0.0, False

    def add(self, name: bytes, value: bytes) -> None:
        lower = name.lower()
        if lower == b"request-id":
            self.bad = self.bad or self.request_id is not None
            self.request_id = value
        elif lower == b"tenant":
            self.bad = self.bad or self.tenant is not None
            self.tenant = value
        elif lower == b"idempotency-key":
            self.bad = self.bad or self.key is not None or not value
            self.key = value
        elif lower == b"request-timeout":
            match = _TIMEOUT.fullmatch(value)
            self.bad = self.bad or self.timeout is not None or match is None
            if match is not None:
                self.timeout = float(match[1]) / (1 if match[2] == b"m" else 1000)
        elif lower == b"content-length":
            self.length = int(value)  # the parser has refused all but digits
        elif lower == b"transfer-encoding":
            self.bad = self.bad or self.coding is not None
            self.coding = value
        elif lower == b"work-hint":
            self.hint = int(value) / 1000 if _DIGITS.fullmatch(value) else 0.0  # a guess may be left out
        elif lower == b"client-retry":
            self.repeat = value == b"1"
        elif lower == b"expect":
            self.expects = value.lower() == b"100-continue"
        if lower not in _OWN:
            self.lines.append(b"%b: %b\r\n" % (name, value))


# Method, target, headers and body of a whole request into what is taken; BadRequest where it can't be.
Read = Callable[[bytes, bytes, Headers, bytes], ClientRequest]


def platform_requests(config: Config) -> Read:
    """Reads requests of the platform's protocol."""
    classifier = Classifier(config)

    def read(method: bytes, url: bytes, headers: Headers, body: bytes) -> ClientRequest:
        if headers.bad or headers.timeout is None or (body and method == b"GET"):
            raise BadRequest(400)
        try:
            found = classifier.read(method, url, headers.request_id, headers.tenant, headers.key)
        except BadDescription as error:
            allow = b"Allow: %b\r\n" % error.allow if error.allow else b""
            raise BadRequest(error.status, allow) from None
        if method == b"POST":
            headers.lines.append(b"Content-Length: %d\r\n" % len(body))
        head = b"%b %b HTTP/1.1\r\n%b" % (method, url, b"".join(headers.lines))
        return ClientRequest(
            message=Message(head, body),
            name=found.name,
            cls=found.cls,
            tenant=found.tenant,
            key=found.key,
            sent=now_ms(),
            timeout=headers.timeout,
            hint=headers.hint,
            repeat=headers.repeat,
        )

    return read


class ClientConnection(asyncio.Protocol):
    """One connection of a client. Requests on it are answered one after the other."""

    transport: asyncio.Transport
    parser: httptools.HttpRequestParser

    def __init__(self, listener: Listener) -> None:
        self.listener = listener
        # What has come in whole and waits for its turn, and whether to keep the connection after it.
        self.waiting: deque[tuple[Item, bool]] = deque()
        self.backlog = b""  # read and not parsed, while enough requests wait
        self.request: ClientRequest | None = None  # that is being served
        self.request_id = 0  # its number; 0: none
        self.busy = self.advancing = False
        self.keep = True  # the connection, after the answer under way
        self.ended = False  # nothing further is read on it
        self.paused = self.full = False  # reading; writing
        self.reading = False  # a request has come in part
        self.served = False  # one has come in whole
        self.since = 0.0  # when the one that comes in began, the first with the connection
        self.wait: Wait | None = None  # the one that it is in
        self.url = b""
        self.headers = Headers()
        self.body = bytearray()
        self.size = 0  # bytes of the request that comes in

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # Not isinstance: uvloop's transports do not derive from asyncio's. They come with TCP_NODELAY set.
        self.transport = cast(asyncio.Transport, transport)
        self.parser = httptools.HttpRequestParser(self)
        self.since = self.listener.loop.time()
        self.put(self.listener.silent, self.since)

    def connection_lost(self, exc: Exception | None) -> None:
        self.ended = True
        del self.parser  # it refers back to this connection: both would wait for the cyclic collector
        self.put(None)
        self.listener.lost(self)
        for item, _ in self.waiting:
            self.release(item)
        self.waiting.clear()
        self.backlog = b""
        self.release(self.request)
        if self.request_id:
            request_id, self.request_id = self.request_id, 0
            self.listener.handler.withdraw(request_id)

    def put(self, wait: Wait | None, since: float | None = None) -> None:
        """Into one of the listener's waits, or into none while a server is waited for."""
        if wait is self.wait:
            return
        if self.wait is not None:
            del self.wait[self]
        self.wait = wait
        if wait is not None:
            wait[self] = self.listener.loop.time() if since is None else since

    def release(self, item: Item | None) -> None:
        if isinstance(item, ClientRequest):
            self.listener.open_ids.discard(item.name)

    # Requests in.

    def data_received(self, data: bytes) -> None:
        if self.ended:
            return
        if self.backlog:
            self.backlog += data
        else:
            self.parse(data)
        self.next()

    def parse(self, data: bytes) -> None:
        """Parse until enough requests wait; the rest is kept until they are answered, and reading rests."""
        at = 0
        while at < len(data) and not self.ended:
            if len(self.waiting) >= MAX_WAITING:
                break
            part = data[at : at + SLICE] if len(data) > SLICE else data
            at += len(part)
            self.size += len(part)
            try:
                self.parser.feed_data(part)
            except httptools.HttpParserUpgrade:
                # No upgrade is offered: the request is served as any other, and the last on its connection.
                self.ended = True
                if self.waiting:
                    self.waiting[-1] = (self.waiting[-1][0], False)
            except httptools.HttpParserError as error:
                cause = error.__context__
                bad = (cause.status, cause.extra) if isinstance(cause, BadRequest) else (400, b"")
                del cause  # it holds this frame, and this frame it: both would wait for the cyclic collector
                self.refuse(*bad)
            else:
                if self.size > (MAX_REQUEST if self.headers.whole else MAX_HEAD):
                    self.refuse(413 if self.headers.whole else 431)
        self.backlog = b"" if self.ended else data[at:]
        if not self.backlog:
            self.read_on()
        elif not self.paused:
            self.paused = True
            self.transport.pause_reading()

    def read_on(self) -> None:
        if self.paused and not self.transport.is_closing():
            self.paused = False
            self.transport.resume_reading()

    def refuse(self, status: int, extra: bytes = b"") -> None:
        """Answer what came before, then this, and close: where the next request begins can't be trusted."""
        self.ended = True
        self.forget()
        self.waiting.append((BadRequest(status, extra), False))

    def forget(self) -> None:
        """Keep nothing of a request that has come in: the connection may stand idle for long."""
        self.reading = False
        self.size = 0
        self.url = b""
        self.headers, self.body = Headers(), bytearray()

    def on_message_begin(self) -> None:
        self.reading = True
        if self.served:
            self.since = self.listener.loop.time()

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        headers = self.headers
        headers.size += len(name) + len(value) + 4
        if headers.size > MAX_HEAD:
            raise BadRequest(431)
        if not headers.whole:  # trailers come here too: they must not pass for headers
            headers.add(name, value)

    def on_headers_complete(self) -> None:
        headers, version = self.headers, self.parser.get_http_version()
        headers.whole = True
        if version not in ("1.0", "1.1"):
            raise BadRequest(505)
        # The parser passes over codings that it does not know, and HTTP/1.0 has none.
        if headers.coding is not None and (headers.coding.lower() != b"chunked" or version == "1.0"):
            raise BadRequest(400)
        if headers.length > MAX_BODY:
            raise BadRequest(413)  # before the body has come
        if headers.expects and not self.busy and not self.waiting:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        if len(self.body) + len(body) > MAX_BODY:
            raise BadRequest(413)
        self.body += body

    def on_message_complete(self) -> None:
        item = self.whole_request()
        if isinstance(item, ClientRequest):
            # Two that are open under one name could not be told apart by the servers.
            if item.name in self.listener.open_ids:
                raise BadRequest(409)
            self.listener.open_ids.add(item.name)
        self.waiting.append((item, self.parser.should_keep_alive()))
        self.served = True
        self.forget()

    def whole_request(self) -> ClientRequest | Health | Page:
        headers, url = self.headers, self.url
        if url == HEALTH_PATH:
            if self.parser.get_method() != b"GET":
                raise BadRequest(405, b"Allow: GET\r\n")
            return Health()
        if (page := self.listener.handler.pages.get(url)) is not None:
            return Page(page)
        return self.listener.read(self.parser.get_method(), url, headers, bytes(self.body))

    def next(self) -> None:
        """Begin with the next request that has come in whole."""
        if self.advancing:  # an answer given at once comes back here: a loop, or many would nest too deep
            return
        self.advancing = True
        while not self.busy and not self.full:
            if not self.waiting and self.backlog:
                backlog, self.backlog = self.backlog, b""
                self.parse(backlog)
            if not self.waiting:
                break
            item, self.keep = self.waiting.popleft()
            self.busy = True
            self.begin(item)
        self.advancing = False
        self.place()

    def begin(self, item: Item) -> None:
        handler = self.listener.handler
        self.put(None)
        if isinstance(item, ClientRequest):
            self.request = item
            handler.take(self, item)
        elif isinstance(item, BadRequest):
            self.answer(item.status, extra=item.extra)
        elif isinstance(item, Page):
            self.answer(200, item.body(), b"application/json")
        elif handler.healthy and not handler.stopping:
            self.answer(200, b"ok\n", b"text/plain")
        else:
            self.answer(503)

    def place(self) -> None:
        """Say what the connection waits for."""
        listener = self.listener
        if self.busy:
            self.put(None)
        elif self.ended and not self.waiting:
            self.put(listener.ending)
        elif self.full or (self.served and not self.reading):
            self.put(listener.idle)
        elif self.reading:
            self.put(listener.arriving, self.since)

    # Answers out.

    def answered(self, answer: Answer) -> None:
        self.answer(answer.status, answer.body, answer.content_type)

    def refused(self, wait: float) -> None:
        self.answer(503, extra=b"Retry-After: %.3f\r\n" % (wait / 1000) if wait else b"")

    def failed(self, broken: bool) -> None:
        self.answer(500 if broken else 502)

    def answer(self, status: int, body: bytes = b"", content_type: bytes = b"", extra: bytes = b"") -> None:
        """Write the final answer to the request under way."""
        self.request_id = 0
        self.release(self.request)
        self.request = None
        # A node that stops still owes an answer to what it has read: the connection ends with the last.
        more = bool(self.waiting or self.backlog)
        keep = self.keep and (more or not (self.listener.handler.stopping or self.listener.crowded))
        lines = b"HTTP/1.1 %d %b\r\nContent-Length: %d\r\n%b" % (
            status,
            _PHRASES.get(status, b""),
            len(body),
            extra,
        )
        if content_type:
            lines += b"Content-Type: %b\r\n" % content_type
        self.transport.write(b"%b%b\r\n%b" % (lines, b"" if keep else b"Connection: close\r\n", body))
        self.busy = False
        if not keep:
            self.end()
        self.next()

    def end(self) -> None:
        """After the last answer: a plain close with bytes unread would reset the connection under it."""
        self.ended = True
        for item, _ in self.waiting:
            self.release(item)
        self.waiting.clear()
        self.backlog = b""
        self.read_on()
        if not self.transport.is_closing() and self.transport.can_write_eof():
            self.transport.write_eof()
        else:
            self.transport.close()

    # A client that does not read its answers gets no further ones.

    def pause_writing(self) -> None:
        self.full = True

    def resume_writing(self) -> None:
        self.full = False
        self.next()
