"""The side of the clients: the listener, request parsing, and final answers."""

from __future__ import annotations

import asyncio
import re
from collections import deque
from dataclasses import dataclass
from hashlib import blake2b
from http import HTTPStatus
from typing import Protocol, cast

import httptools

from badgercart.config import Config
from badgercart.servers import MAX_BODY, Message, now_ms
from cottonhall.interface import Effect

MAX_HEAD = 16384  # bytes of request line and headers
MAX_WAITING = 16  # requests sent ahead on one connection, after which it is read no further
REQUEST_TIME = 10.0  # s that a client may take to send one request
LINGER = 1.0  # s to discard what still comes after an answer that ends the connection
HEALTH_PATH = b"/_health"

_TIMEOUT = re.compile(rb"(\d{1,9}(?:\.\d{1,6})?)([mu])")
_DIGITS = re.compile(rb"\d{1,9}")
_OWN = frozenset(  # headers that concern one connection only, or that each attempt writes anew
    (b"connection", b"keep-alive", b"proxy-connection", b"te", b"trailer", b"transfer-encoding", b"upgrade",
     b"expect", b"content-length", b"request-timeout")
)  # fmt: skip
_STATUS_LINES = {s.value: f"HTTP/1.1 {s.value} {s.phrase}\r\nContent-Length: ".encode() for s in HTTPStatus}


def stable_id(name: bytes) -> int:
    """A number for a name, never 0, and the same at every node and after every start."""
    return int.from_bytes(blake2b(name, digest_size=8).digest()) or 1


class BadRequest(Exception):
    """A request that can't be taken: the status that says why, and header lines that go with it."""

    def __init__(self, status: int, extra: bytes = b"") -> None:
        self.status = status
        self.extra = extra


@dataclass(slots=True)
class ClientRequest:
    """A checked request."""

    message: Message
    cls: int
    tenant: int
    key: int
    sent: float  # as near as the node can tell
    timeout: float  # ms from then until the client gives up
    hint: float  # the client's guess at the work in ms, 0: none
    repeat: bool  # marked as the client's retry


class Health:
    """The front asks whether the node can serve."""


class Handler(Protocol):
    """What takes the requests."""

    healthy: bool
    stopping: bool

    def take(self, client: ClientConnection, request: ClientRequest) -> None:
        """Take on a request and give the connection its number."""

    def withdraw(self, request_id: int) -> None:
        """The client has gone away."""


class Listener:
    """All connections of clients."""

    def __init__(self, loop: asyncio.AbstractEventLoop, config: Config, handler: Handler, limit: int) -> None:
        self.loop = loop
        self.config = config
        self.handler = handler
        self.limit = limit
        self.connections: set[ClientConnection] = set()
        self.idle: dict[ClientConnection, None] = {}  # in order of how long they have been idle

    async def start(self) -> asyncio.Server:
        host, port = self.config.listen
        return await self.loop.create_server(lambda: ClientConnection(self), host, port, backlog=1024)

    def opened(self, client: ClientConnection) -> None:
        self.connections.add(client)
        self.idle[client] = None
        # Between requests a close is harmless, so at the limit the longest idle one makes room.
        if len(self.connections) > self.limit and (oldest := next(iter(self.idle))) is not client:
            oldest.close()

    def closed(self, client: ClientConnection) -> None:
        self.connections.discard(client)
        self.idle.pop(client, None)

    def close_idle(self) -> None:
        for client in list(self.idle):
            client.close()

    def check(
        self, parser: httptools.HttpRequestParser, url: bytes, headers: Headers
    ) -> tuple[int, int, int]:
        """Class, tenant and key of a request, or BadRequest."""
        parts = url.partition(b"?")[0].split(b"/")
        if parts[0] or len(parts) < 2:
            raise BadRequest(400)  # no path from the root
        cls = self.config.classes.get(parts[1])
        if cls is None:
            raise BadRequest(404)
        effect = self.config.settings.classes[cls].effect
        method = b"GET" if effect is Effect.SAFE else b"POST"
        if parser.get_method() != method:
            raise BadRequest(405, b"Allow: %b\r\n" % method)
        tenant = self.config.tenants.get(headers.tenant or b"") if self.config.tenants else 0
        if headers.bad or not headers.request_id or tenant is None:
            raise BadRequest(400)
        if effect is not Effect.SAFE and (headers.key is None) == (effect is Effect.KEYED):
            raise BadRequest(400)  # keyed with no key, or a key where a repeat can't be told
        key = stable_id(parts[-1]) if len(parts) > 2 and parts[-1] else 0
        return cls, tenant, key


class Headers:
    """The headers of one request: what the node reads of them, and the lines that go on."""

    __slots__ = (
        "bad", "expects", "hint", "key", "length", "lines", "repeat", "request_id", "size", "tenant",
        "timeout", "whole",
    )  # fmt: skip

    def __init__(self) -> None:
        self.lines: list[bytes] = []
        self.size = self.length = 0
        self.bad = self.expects = self.whole = False
        self.request_id: bytes | None = None
        self.tenant: bytes | None = None
        self.key: bytes | None = None
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
        elif lower == b"work-hint":
            self.hint = int(value) / 1000 if _DIGITS.fullmatch(value) else 0.0  # a guess may be left out
        elif lower == b"client-retry":
            self.repeat = value == b"1"
        elif lower == b"expect":
            self.expects = value.lower() == b"100-continue"
        if lower not in _OWN:
            self.lines.append(b"%b: %b\r\n" % (name, value))


class ClientConnection(asyncio.Protocol):
    """One connection of a client. Requests on it are answered one after the other."""

    transport: asyncio.Transport

    def __init__(self, listener: Listener) -> None:
        self.listener = listener
        self.parser = httptools.HttpRequestParser(self)
        self.waiting: deque[tuple[ClientRequest | BadRequest | Health, bool]] = (
            deque()
        )  # and whether to keep alive
        self.request_id = 0  # of the request that is being served; 0: none
        self.busy = self.advancing = False
        self.keep = True  # the connection, after the answer under way
        self.ended = False  # the last answer has been written
        self.paused = False
        self.reading = False  # a request has come in part
        self.timer: asyncio.TimerHandle | None = None  # runs while a request is on its way in
        self.url = b""
        self.headers = Headers()
        self.body = bytearray()
        self.unread = 0  # bytes since the last whole head

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # Not isinstance: uvloop's transports do not derive from asyncio's. They come with TCP_NODELAY set.
        self.transport = cast(asyncio.Transport, transport)
        self.listener.opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.ended = True
        self.listener.closed(self)
        if self.timer is not None:
            self.timer.cancel()
        self.waiting.clear()
        if self.request_id:
            request_id, self.request_id = self.request_id, 0
            self.listener.handler.withdraw(request_id)

    def close(self) -> None:
        self.ended = True
        self.listener.closed(self)
        self.transport.close()

    # Requests in.

    def data_received(self, data: bytes) -> None:
        if self.ended:
            return
        self.unread += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # No upgrade is offered: the request is served as any other, and the last on its connection.
            self.ended = True
            if self.waiting:
                self.waiting[-1] = (self.waiting[-1][0], False)
        except httptools.HttpParserError as error:
            cause = error.__context__
            self.stop_reading(cause if isinstance(cause, BadRequest) else BadRequest(400))
        else:
            if self.unread > MAX_HEAD and not self.headers.whole:
                self.stop_reading(BadRequest(431))
        if len(self.waiting) > MAX_WAITING and not self.paused:
            self.paused = True
            self.transport.pause_reading()
        self.next()

    def stop_reading(self, error: BadRequest) -> None:
        """Nothing further on this connection can be told apart: answer what came before, then this."""
        self.ended = True
        self.listener.idle.pop(self, None)
        if self.timer is not None:
            self.timer.cancel()
        self.waiting.append((error, False))

    def on_message_begin(self) -> None:
        self.listener.idle.pop(self, None)
        self.headers = Headers()
        self.body = bytearray()
        self.url = b""
        self.reading = True
        self.timer = self.listener.loop.call_later(REQUEST_TIME, self.too_slow)

    def too_slow(self) -> None:
        """A client that never finishes its request must not hold a descriptor for ever."""
        self.stop_reading(BadRequest(408))
        self.next()

    def on_url(self, url: bytes) -> None:
        self.url += url
        if len(self.url) > MAX_HEAD:
            raise BadRequest(431)

    def on_header(self, name: bytes, value: bytes) -> None:
        headers = self.headers
        headers.size += len(name) + len(value) + 4
        if headers.size > MAX_HEAD:
            raise BadRequest(431)
        headers.add(name, value)

    def on_headers_complete(self) -> None:
        self.headers.whole = True
        if self.headers.length > MAX_BODY:
            raise BadRequest(413)  # before the body has come
        if self.headers.expects and not self.busy and not self.waiting:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        if len(self.body) + len(body) > MAX_BODY:
            raise BadRequest(413)
        self.body += body

    def on_message_complete(self) -> None:
        self.reading = False
        if self.timer is not None:
            self.timer.cancel()
        self.unread = 0
        keep = self.parser.should_keep_alive()
        try:
            self.waiting.append((self.whole_request(), keep))
        except BadRequest as error:
            self.waiting.append((error, keep))

    def whole_request(self) -> ClientRequest | Health:
        headers, url = self.headers, self.url
        if url == HEALTH_PATH:
            if self.parser.get_method() != b"GET":
                raise BadRequest(405, b"Allow: GET\r\n")
            return Health()
        cls, tenant, key = self.listener.check(self.parser, url, headers)
        method = self.parser.get_method()
        if headers.timeout is None or (self.body and method == b"GET"):
            raise BadRequest(400)
        if method == b"POST":
            headers.lines.append(b"Content-Length: %d\r\n" % len(self.body))
        head = b"%b %b HTTP/1.1\r\n%b" % (method, url, b"".join(headers.lines))
        return ClientRequest(
            message=Message(head, bytes(self.body)),
            cls=cls,
            tenant=tenant,
            key=key,
            sent=now_ms(),
            timeout=headers.timeout,
            hint=headers.hint,
            repeat=headers.repeat,
        )

    def next(self) -> None:
        """Begin with the next request that has come in whole."""
        if self.advancing:  # an answer given at once comes back here: a loop, or many would nest too deep
            return
        self.advancing = True
        handler = self.listener.handler
        while self.waiting and not self.busy:
            item, self.keep = self.waiting.popleft()
            self.busy = True
            if isinstance(item, ClientRequest):
                handler.take(self, item)
            elif isinstance(item, BadRequest):
                self.answer(item.status, extra=item.extra)
            elif handler.healthy and not handler.stopping:
                self.answer(200, b"ok\n", b"text/plain")
            else:
                self.answer(503)
        self.advancing = False

    # Answers out.

    def answer(self, status: int, body: bytes = b"", content_type: bytes = b"", extra: bytes = b"") -> None:
        """Write the final answer to the request under way."""
        self.request_id = 0
        # A node that stops still owes an answer to what it has read: the connection ends with the last.
        keep = self.keep and (bool(self.waiting) or not self.listener.handler.stopping)
        lines = b"%b%d\r\n%b" % (_STATUS_LINES[status], len(body), extra)
        if content_type:
            lines += b"Content-Type: %b\r\n" % content_type
        self.transport.write(b"%b%b\r\n%b" % (lines, b"" if keep else b"Connection: close\r\n", body))
        self.busy = False
        if not keep:
            self.end()
            return
        self.next()
        if self.waiting or self.busy:
            return
        if self.paused:
            self.paused = False
            self.transport.resume_reading()
        if not self.reading and not self.ended:
            self.listener.idle[self] = None

    def end(self) -> None:
        """After the last answer: a plain close with bytes unread would reset the connection under it."""
        self.ended = True
        self.waiting.clear()
        if self.paused:
            self.paused = False
            self.transport.resume_reading()
        if not self.transport.is_closing() and self.transport.can_write_eof():
            self.transport.write_eof()
            self.listener.loop.call_later(LINGER, self.transport.abort)
        else:
            self.transport.close()
