"""One client's connection as a machine without I/O: bytes, answers and times in, bytes and requests
out.

Requests on a connection are answered one after the other. The machine reads no clock, opens nothing
and waits for nothing; what it wants done it asks of its `Side`. Its legal moves stand in `MOVES`.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Mapping
from enum import IntEnum
from typing import Any, Protocol

import httptools

from badgercart.core.streams import ResponseHeaderSection, Upload
from badgercart.frontends.http.requests import (
    MAX_REQUEST,
    OWN,
    PHRASES,
    READ,
    BadRequest,
    ClientRequest,
    Headers,
    Health,
    Item,
    Page,
)
from badgercart.upstream.exchange import (
    MAX_BODY_BYTES,
    MAX_HEADER_SECTION_BYTES,
    MAX_STREAMED_BODY_BYTES,
    OPTIONAL_WHITESPACE,
    max_framed_bytes,
)

MAX_WAITING = 8  # requests sent ahead on one connection, after which it is read no further
SLICE = 4096  # bytes parsed at a time: what is read at once may hold hundreds of requests
SLOWEST = 32_000.0  # bytes a second that a body comes in with at least, on average
HEALTH_PATH = b"/_health"


class State(IntEnum):  # hashed and compared for every request: as numbers, that costs nothing
    """What a connection waits for."""

    SILENT = 0  # connected, nothing heard
    ARRIVING = 1  # a request has come in part
    HELD = 2  # a request is being served
    IDLE = 3  # between requests, or its client does not read its answers
    ENDING = 4  # the last answer is written
    CLOSED = 5
    UPLOADING = 6  # a request is being served that has come in part


MOVES: dict[State, frozenset[State]] = {
    State.SILENT: frozenset((State.ARRIVING, State.HELD, State.ENDING, State.CLOSED)),
    State.ARRIVING: frozenset((State.HELD, State.IDLE, State.ENDING, State.CLOSED)),
    State.HELD: frozenset(
        (State.ARRIVING, State.IDLE, State.ENDING, State.CLOSED, State.UPLOADING)
    ),
    State.UPLOADING: frozenset((State.HELD, State.ENDING, State.CLOSED)),
    State.IDLE: frozenset((State.ARRIVING, State.HELD, State.ENDING, State.CLOSED)),
    State.ENDING: frozenset((State.CLOSED,)),
    State.CLOSED: frozenset(),
}


class Side(Protocol):
    """What a connection asks of its surroundings. None of these calls comes back into it but
    `take`."""

    @property
    def keeps(self) -> bool:
        """Whether connections are kept after their answers."""

    @property
    def serves(self) -> bool:
        """Whether the node can serve: what /_health says."""

    @property
    def bulk(self) -> bool:
        """Whether bodies may go on as they come; else they are held whole, and bounded."""

    def hold(self) -> int:
        """Bytes that a body may be held up to now."""

    def window(self) -> int:
        """Bytes of a body that may wait to go on."""

    def later(self, call: Callable[[], None]) -> None:
        """Call, but not from within this."""

    def now(self) -> float: ...

    def read(
        self, method: bytes, url: bytes, headers: Headers, body: bytes
    ) -> ClientRequest | Page:
        """A request into what is taken: whole, or with the rest of it to come. Raises
        BadRequest."""

    def whole(self, request: ClientRequest) -> None:
        """The rest of it has come."""

    def words(self, status: int, why: str) -> tuple[bytes, bytes]:
        """Content type and body that say why."""

    def take(self, request: ClientRequest) -> None:
        """Serve a request. Its answer may come before this returns."""

    @property
    def write(self) -> Callable[[bytes], object]: ...

    def pause(self) -> None:
        """Read no further for now."""

    def resume(self) -> None: ...

    def finish(self) -> None:
        """Nothing more is written."""

    def break_off(self) -> None:
        """End the connection at once."""


# Who waits, by what for, and since when (s): the longest first. Who is HELD waits for a server.
Waits = Mapping[State, dict[Any, float]]


class Connection:
    """The machine. `now` is given with each event, in s on one clock that only goes forward."""

    __slots__ = (
        "__weakref__", "advancing", "backlog", "body", "busy", "chunks", "ended", "full", "headers", "heard",
        "incoming", "keep", "names", "now", "parser", "paused", "reading", "request", "served", "side",
        "since", "size", "stalled", "state", "upload", "url", "waiting", "waits",
    )  # fmt: skip

    def __init__(self, side: Side, now: float, names: set[bytes], waits: Waits) -> None:
        """Shared by all connections of a listener: the names of open requests, and who waits for
        what."""
        self.side = side
        self.names = names
        self.waits = waits
        self.now = now
        self.state = State.SILENT
        waits[State.SILENT][side] = now
        self.parser = httptools.HttpRequestParser(self)
        # What has come in whole and waits for its turn, and whether to keep the connection after
        # it.
        self.waiting: deque[tuple[Item, bool]] = deque()
        self.backlog = b""  # read and not parsed, while enough requests wait
        self.request: ClientRequest | None = None  # that is being served
        self.busy = self.advancing = False
        self.keep = True  # the connection, after the answer under way
        self.ended = False  # nothing further is read on it
        self.paused = self.full = False  # reading; writing
        self.reading = False  # a request has come in part
        self.served = False  # one has come in whole
        self.heard = now  # when something last came, or the connection did
        self.since = now  # when the one that comes in began, the first with the connection
        self.url = b""
        self.headers = Headers()
        self.body = bytearray()
        self.size = 0  # bytes of the request that comes in
        self.upload: Upload | None = (
            None  # the body of the one that comes in, where it goes on as it comes
        )
        self.incoming: ClientRequest | None = None  # that one
        self.stalled = False  # it waits for room
        self.chunks = False  # whether the answer under way goes out in chunks

    # Events.

    def received(self, data: bytes, now: float) -> None:
        self.now = self.heard = now
        if self.ended:
            return
        if (
            self.headers.whole and self.state in self.waits
        ):  # a body has the longer the more of it comes
            self.since = min(now, self.since + len(data) / SLOWEST)
            self.waits[self.state][self.side] = self.since
        if self.backlog:
            self.backlog += data
        else:
            self.parse(data)
        self.next()

    def room_again(self) -> None:
        """The body that comes in has room to go on."""
        if (
            not self.stalled
            or self.state is State.CLOSED
            or (self.upload is not None and self.upload.is_full)
        ):
            return
        self.stalled = False
        self.now = self.since = self.side.now()
        if self.state in self.waits:
            self.waits[self.state][self.side] = self.since
        backlog, self.backlog = self.backlog, b""
        self.parse(backlog)
        self.next()

    def overdue(self, now: float) -> None:
        """The request that comes in has taken too long."""
        self.now = now
        self.refuse(408, "the request did not come in whole in time")
        self.next()

    def answer(
        self, now: float, status: int, body: bytes, content_type: bytes, extra: bytes
    ) -> None:
        """The final answer to the request under way, if its client is still there."""
        if self.state is State.CLOSED:
            return
        self.now = now
        self.write_answer(status, body, content_type, extra)
        self.next()

    def unread(self) -> None:
        """A client that does not read its answers gets no further ones."""
        self.full = True

    def read_again(self, now: float) -> None:
        self.now = now
        self.full = False
        self.next()

    def left(self, now: float) -> None:
        """Its client has left: nothing of it is owed an answer any more. What is written may still
        go out."""
        self.owe_nothing(now)
        self.busy = False
        if self.state not in (State.ENDING, State.CLOSED):
            self.move(State.ENDING)

    def lost(self, now: float) -> None:
        """The connection is gone, and all that waited on it with it."""
        self.owe_nothing(now)
        del (
            self.parser
        )  # it refers back to this connection: both would wait for the cyclic collector
        self.move(State.CLOSED)
        del self.side  # it refers back, too

    def owe_nothing(self, now: float) -> None:
        """Read nothing more, and answer nothing of what was."""
        self.now = now
        self.ended = True
        self.upload = self.incoming = None
        self.drop_waiting()
        self.release(self.request)
        self.request = None

    # States.

    def move(self, state: State, since: float | None = None) -> None:
        if state is self.state:
            return
        if state not in MOVES[self.state]:
            raise RuntimeError(
                f"a client's connection can't go from {self.state.name} to {state.name}"
            )
        if (wait := self.waits.get(self.state)) is not None:
            del wait[self.side]
        self.state = state
        if (wait := self.waits.get(state)) is not None:
            wait[self.side] = self.now if since is None else since

    def place(self) -> None:
        """Say what the connection waits for."""
        if self.busy:
            if self.upload is None or self.ended:
                self.move(State.HELD)
            else:
                self.move(State.UPLOADING, self.since)
        elif self.ended and not self.waiting:
            self.move(State.ENDING)
        elif self.full or (self.served and not self.reading):
            self.move(State.IDLE)
        elif self.reading:
            self.move(State.ARRIVING, self.since)

    def release(self, item: Item | None) -> None:
        if isinstance(item, ClientRequest):
            self.names.discard(item.name)

    def drop_waiting(self) -> None:
        for item, _ in self.waiting:
            self.release(item)
        self.waiting.clear()
        self.backlog = b""

    # Requests in.

    def parse(self, data: bytes) -> None:
        """Parse until enough requests wait; the rest is kept until they are answered, and reading
        rests."""
        at = 0
        while at < len(data) and not self.ended:
            if self.stalled or len(self.waiting) >= MAX_WAITING:
                break
            part = data[at : at + SLICE] if len(data) > SLICE else data
            at += len(part)
            self.size += len(part)
            try:
                self.parser.feed_data(part)
            except httptools.HttpParserUpgrade:
                # No upgrade is offered: the request is served as any other, and the last on its
                # connection.
                self.ended = True
                if self.waiting:
                    self.waiting[-1] = (self.waiting[-1][0], False)
            except httptools.HttpParserError as error:
                cause = error.__context__
                if isinstance(cause, BadRequest):
                    self.refuse(cause.status, cause.why, cause.extra)
                else:
                    self.refuse(400, f"this is no HTTP/1.1 request: {error}")
                # it holds this frame, and this frame it: both would wait for the cyclic collector
                del cause
            else:
                if self.size > MAX_HEADER_SECTION_BYTES:
                    self.check_size()
        self.backlog = b"" if self.ended else data[at:]
        if not self.backlog:
            self.read_on()
        elif not self.paused:
            self.paused = True
            self.side.pause()

    def check_size(self) -> None:
        most = max_framed_bytes(self.headers.got) if self.side.bulk else MAX_REQUEST
        if not self.headers.whole:
            self.refuse(431, f"the head is over {MAX_HEADER_SECTION_BYTES} bytes")
        elif self.size > most:
            self.refuse(413, f"the request is over {most} bytes")

    def read_on(self) -> None:
        if self.paused:
            self.paused = False
            self.side.resume()

    def refuse(self, status: int, why: str, extra: bytes = b"") -> None:
        """Answer what came before, then this, and close: where the next request begins can't be
        trusted."""
        self.ended = True
        if self.incoming is not None:
            if self.incoming is self.request:  # it can't become whole, and so was never taken
                self.side.break_off()
                return
            self.release(self.waiting.pop()[0])
        self.forget()
        self.waiting.append((BadRequest(status, why, extra), False))

    def forget(self) -> None:
        """Keep nothing of a request that has come in: the connection may stand idle for long."""
        self.reading = False
        self.size = 0
        self.url = b""
        self.headers, self.body = Headers(), bytearray()
        self.upload = self.incoming = None

    # What the parser finds.

    def on_message_begin(self) -> None:
        self.reading = True
        if self.served:
            self.since = self.now

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        headers = self.headers
        headers.size += len(name) + len(value) + 4
        if headers.size > MAX_HEADER_SECTION_BYTES:
            raise BadRequest(431, f"the headers are over {MAX_HEADER_SECTION_BYTES} bytes")
        if headers.whole:  # trailers come here too: they must not pass for headers
            return
        lower, value = name.lower(), value.strip(OPTIONAL_WHITESPACE)
        if (read := READ.get(lower)) is not None:
            read(headers, value)
        if lower not in OWN:
            headers.lines.append(b"%b: %b\r\n" % (name, value))

    def on_headers_complete(self) -> None:
        headers, version = self.headers, self.parser.get_http_version()
        headers.whole = True
        if version not in ("1.0", "1.1"):
            raise BadRequest(505, "only HTTP/1.0 and HTTP/1.1 are spoken here")
        # The parser passes over codings that it does not know, and HTTP/1.0 has none.
        if headers.coding is not None and (
            headers.coding.lower() != b"chunked" or version == "1.0"
        ):
            raise BadRequest(400, "Transfer-Encoding can only be chunked, and only in HTTP/1.1")
        headers.old = version == "1.0"
        if headers.length and headers.length > self.most:
            raise BadRequest(413, f"the body is over {self.most} bytes")  # before the body has come
        if headers.expects and not self.busy and not self.waiting:
            self.side.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        if headers.length and self.side.bulk and headers.length > self.side.hold():
            self.begin_upload()

    @property
    def most(self) -> int:
        """Bytes of a body."""
        return MAX_STREAMED_BODY_BYTES if self.side.bulk else MAX_BODY_BYTES

    def on_body(self, body: bytes) -> None:
        headers = self.headers
        headers.got += len(body)
        if headers.got > self.most:
            raise BadRequest(413, f"the body is over {self.most} bytes")
        if self.upload is None and self.side.bulk and headers.got > self.side.hold():
            self.begin_upload()
        if self.upload is None:
            self.body += body
        elif not self.upload.feed(body) and not self.stalled:
            # Nothing is read until there is room: meanwhile it is not the client that is slow.
            self.stalled, self.since = True, math.inf

    def begin_upload(self) -> None:
        """Take the request on though it is not whole: its body goes on as it comes."""
        headers, side = self.headers, self.side
        length = None if headers.coding is not None else headers.length
        self.upload = Upload(length, side.window)
        self.upload.on_space = lambda: side.later(self.room_again)
        headers.upload = self.upload
        item = self.take_in()
        if not isinstance(item, ClientRequest):
            raise BadRequest(413, "this has no body of such a size")
        self.incoming = item
        if self.body:
            self.upload.feed(bytes(self.body))
            self.body.clear()

    def on_message_complete(self) -> None:
        if self.upload is not None:
            upload, request = self.upload, self.incoming
            self.forget()
            upload.finish()
            if request is not None:
                self.side.whole(request)
            return
        self.take_in()
        self.forget()

    def take_in(self) -> Item:
        """A request's turn comes when those before it are answered."""
        item = self.read_request()
        if isinstance(item, ClientRequest):
            # Two that are open under one name could not be told apart by the servers.
            if item.name in self.names:
                raise BadRequest(409, "a request of this Request-Id is open")
            self.names.add(item.name)
        self.waiting.append((item, self.parser.should_keep_alive()))
        self.served = True
        return item

    def read_request(self) -> Item:
        method = self.parser.get_method()
        if self.url == HEALTH_PATH:
            if method != b"GET":
                raise BadRequest(405, "the health is asked for by GET", b"Allow: GET\r\n")
            return Health()
        return self.side.read(method, self.url, self.headers, bytes(self.body))

    def next(self) -> None:
        """Begin with the next request that has come in whole."""
        if (
            self.advancing
        ):  # an answer given at once comes back here: a loop, or many would nest too deep
            return
        self.advancing = True
        while not self.busy and not self.full:
            if not self.waiting and self.backlog and not self.stalled:
                backlog, self.backlog = self.backlog, b""
                self.parse(backlog)
            if not self.waiting:
                break
            item, self.keep = self.waiting.popleft()
            self.busy = True
            self.begin(item)
        self.advancing = False
        if self.state is not State.CLOSED:
            self.place()

    def begin(self, item: Item) -> None:
        self.move(State.HELD)
        if isinstance(item, ClientRequest):
            self.request = item
            self.side.take(item)
        elif isinstance(item, BadRequest):
            content_type, body = self.side.words(item.status, item.why)
            self.write_answer(item.status, body, content_type, item.extra)
        elif isinstance(item, Page):
            self.write_answer(200, item.body(), item.content_type, b"")
        elif self.side.serves:
            self.write_answer(200, b"ok\n", b"text/plain", b"")
        else:
            self.write_answer(503, b"", b"", b"")

    # Answers out.

    def write_answer(self, status: int, body: bytes, content_type: bytes, extra: bytes) -> None:
        if self.request is not None:
            self.names.discard(self.request.name)
            self.request = None
        keep = self.keeps()
        lines = b"HTTP/1.1 %d %b\r\nContent-Length: %d\r\n%b" % (
            status,
            PHRASES.get(status, b""),
            len(body),
            extra,
        )
        if content_type:
            lines += b"Content-Type: %b\r\n" % content_type
        self.side.write(b"%b%b\r\n%b" % (lines, b"" if keep else b"Connection: close\r\n", body))
        self.busy = False
        if not keep:
            self.end()

    def keeps(self) -> bool:
        """Whether the connection goes on after the answer under way.

        A node that stops still owes an answer to what it has read: the connection ends with the
        last. What is left of a request that is answered already is not read."""
        keep = self.keep and (bool(self.waiting or self.backlog) or self.side.keeps)
        return keep and self.upload is None

    # Answers that go out as they come.

    def begin_answer(self, now: float, opening: ResponseHeaderSection) -> None:
        if self.state is State.CLOSED:
            return
        self.now = now
        request, self.request = self.request, None
        old = request is not None and request.old
        self.release(request)
        self.chunks = opening.body_length is None and not old
        self.keep = self.keeps() and not (old and opening.body_length is None)
        framing = b"Transfer-Encoding: chunked\r\n" if self.chunks else b""
        if opening.body_length is not None:
            framing = b"Content-Length: %d\r\n" % opening.body_length
        if opening.content_type:
            framing += b"Content-Type: %b\r\n" % opening.content_type
        if not self.keep:
            framing += b"Connection: close\r\n"
        line = b"HTTP/1.1 %d %b\r\n" % (opening.status, PHRASES.get(opening.status, b""))
        self.side.write(line + framing + b"\r\n")

    def go_on(self, data: bytes) -> bool:
        """Bytes of its body; whether there is room for more."""
        if data and self.state is not State.CLOSED:
            self.side.write(b"%x\r\n%b\r\n" % (len(data), data) if self.chunks else data)
        return not self.full

    def finish_answer(self, now: float) -> None:
        if self.state is State.CLOSED:
            return
        self.now = now
        if self.chunks:
            self.side.write(b"0\r\n\r\n")
        self.busy = False
        if not self.keep:
            self.end()
        self.next()

    def end(self) -> None:
        """After the last answer: a plain close with bytes unread would reset the connection under
        it."""
        self.ended = True
        self.drop_waiting()
        self.read_on()
        self.side.finish()
