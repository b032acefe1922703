"""One connection to an endpoint as a machine without I/O: a request out, its response in, repeatedly.

It reads no clock and holds no socket. Its legal transitions stand in `TRANSITIONS`.
Source: the protocol's page, section "Nodes to servers"; RFC 9112 for framing.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum

import httptools

from badgercart.core.memory_budget import MAX_BUFFERED_BYTES
from badgercart.core.ports import Response
from badgercart.core.streams import ResponseHead, StreamedBody
from badgercart.upstream.errors import IllegalTransitionError

MAX_BODY_BYTES = 65536  # of a body that is buffered whole
MAX_STREAMED_BODY_BYTES = 64 << 20
MAX_HEAD_BYTES = 16384  # status line and headers, with those of interim responses
MAX_RESPONSE_BYTES = MAX_HEAD_BYTES + 2 * MAX_BODY_BYTES  # with the framing of its body
# Bytes of framing for each byte of a streamed body: a chunk of one byte has 5, and extensions more.
MAX_FRAMING_FACTOR = 32
MAX_INTERIM_RESPONSES = 8
OPTIONAL_WHITESPACE = b" \t"  # around a field's value, and no part of it (RFC 9110, section 5.5)


@dataclass(slots=True)
class UpstreamRequest:
    """A request as it is forwarded, without the time-out, which each attempt writes anew."""

    head: bytes  # request line and header lines
    body: bytes
    body_stream: StreamedBody | None = None  # the body, where it is streamed
    accepts_streaming: bool = False  # whether its response may be streamed


class ExchangeState(IntEnum):  # hashed for every request: as numbers, that costs nothing
    """What is expected of the endpoint."""

    IDLE = 0  # nothing: bytes that come now could pass for the next response
    AWAITING_RESPONSE = 1
    CLOSED = 2  # nothing ever: the connection is of no more use


TRANSITIONS: dict[ExchangeState, frozenset[ExchangeState]] = {
    ExchangeState.IDLE: frozenset((ExchangeState.AWAITING_RESPONSE, ExchangeState.CLOSED)),
    ExchangeState.AWAITING_RESPONSE: frozenset((ExchangeState.IDLE, ExchangeState.CLOSED)),
    ExchangeState.CLOSED: frozenset(),
}


def max_message_bytes(body_bytes: int) -> int:
    """Return how long a message with so much of its body may be, framing included."""
    return 2 * MAX_HEAD_BYTES + (1 + MAX_FRAMING_FACTOR) * body_bytes


@dataclass(slots=True)
class ResponseReceived:
    """The response came whole; where it was streamed, its `response` has no body."""

    response: Response
    not_started: bool  # its header Not-Started: the endpoint executed nothing
    reusable: bool  # the connection can carry the next request


@dataclass(slots=True)
class MalformedResponse:
    """What came is no response."""

    reason: str


@dataclass(slots=True)
class UnexpectedData:
    """Something came though nothing was asked."""


ExchangeEvent = ResponseReceived | MalformedResponse | UnexpectedData


def buffer_all() -> int:
    """Return the largest limit of a buffered response."""
    return MAX_BUFFERED_BYTES


class Exchange:
    """The machine. The parser refers back to it: `release_parser` parts the two.

    A response is buffered until it is whole. Where it may be streamed, `must_stream` says that it is
    time: then `begin_streaming` gives its head, and `take_body` what has come of its body since.
    """

    __slots__ = (
        "__weakref__",
        "accepts_streaming",
        "body",
        "body_bytes",
        "body_stream",
        "buffer_limit_bytes",
        "chunked",
        "complete",
        "content_type",
        "has_stray_bytes",
        "has_transfer_coding",
        "head_complete",
        "interim_responses",
        "keep_alive",
        "length",
        "not_started",
        "parser",
        "received_bytes",
        "state",
        "streaming",
    )

    def __init__(self) -> None:
        """Set up the machine of a connection that has carried nothing."""
        self.state = ExchangeState.IDLE
        self.parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self.buffer_limit_bytes: Callable[[], int] = buffer_all
        # Of the request.
        self.body_stream: StreamedBody | None = None
        self.accepts_streaming = False
        # Of the response.
        self.received_bytes = 0
        self.interim_responses = 0
        self.head_complete = False
        self.not_started = False
        self.content_type = b""
        self.length: int | None = None  # of the body, where it is given
        self.chunked = self.has_transfer_coding = False
        self.body = bytearray()  # what was not taken yet
        self.body_bytes = 0  # also of what was taken
        self.streaming = False
        self.complete = False
        self.keep_alive = False
        self.has_stray_bytes = False  # some came after the response

    def begin_request(self, request: UpstreamRequest, left_ms: float) -> bytes:
        """Return the bytes of a request whose attempt has so many ms left.

        Of one whose body is streamed these are the head; `next_body_bytes` gives the rest.

        Raises:
            IllegalTransitionError: the connection is not idle.
        """
        if ExchangeState.AWAITING_RESPONSE not in TRANSITIONS[self.state]:
            raise IllegalTransitionError(self.state.name, ExchangeState.AWAITING_RESPONSE.name)
        self.state = ExchangeState.AWAITING_RESPONSE
        self.complete = self.head_complete = self.streaming = False
        self.body.clear()  # what is left of the last response must not pass for this one's
        self.received_bytes = self.interim_responses = self.body_bytes = 0
        self.accepts_streaming = request.accepts_streaming
        self.body_stream = request.body_stream
        timeout_ms = max(1, int(left_ms))
        return b"%bRequest-Timeout: %dm\r\n\r\n%b" % (request.head, timeout_ms, request.body)

    def next_body_bytes(self) -> bytes:
        """Return what has come of the request's body since, in its framing, with its end."""
        assert self.body_stream is not None
        data = self.body_stream.read()
        if self.body_stream.length is not None:
            return data
        chunk = b"%x\r\n%b\r\n" % (len(data), data) if data else b""
        return chunk + b"0\r\n\r\n" if self.body_stream.exhausted else chunk

    def receive_data(self, data: bytes) -> ExchangeEvent | None:
        """Take bytes of the endpoint, and return what came of them.

        Returns None while the response is not whole.
        """
        if self.state is not ExchangeState.AWAITING_RESPONSE:
            self.close()
            return UnexpectedData()
        assert self.parser is not None
        self.received_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            if not self.complete:
                return self._malformed(str(error.__context__ or error))
            self.has_stray_bytes = True
        except httptools.HttpParserUpgrade:
            return self._malformed("an upgrade")
        if self.complete:
            return self._response(self.keep_alive and not self.has_stray_bytes)
        return self._check_size()

    def receive_eof(self) -> ResponseReceived | None:
        """Take the endpoint's end of the connection.

        Returns the response where nothing else marks its end, and None where it is cut short.
        """
        if self.state is not ExchangeState.AWAITING_RESPONSE or not self.head_complete:
            return None
        if self.chunked or self.length is not None:
            return None
        return self._response(reusable=False)

    @property
    def must_stream(self) -> bool:
        """Whether the response is to be streamed from here: it can't be buffered whole."""
        if not self.accepts_streaming or self.streaming or not self.body:
            return False
        if self.state is not ExchangeState.AWAITING_RESPONSE:
            return False
        limit = self.buffer_limit_bytes()
        return len(self.body) > limit or (self.length is not None and self.length > limit)

    @property
    def can_stream(self) -> bool:
        """Whether the response could be streamed, though it need not."""
        return (
            self.accepts_streaming
            and self.head_complete
            and not self.streaming
            and bool(self.body)
            and self.length is None
        )

    def begin_streaming(self) -> ResponseHead:
        """Have the response streamed, and return its head."""
        assert self.parser is not None
        self.streaming = True
        return ResponseHead(self.parser.get_status_code(), self.content_type, self.length)

    def take_body(self) -> bytes:
        """Return what has come of the body and was not taken yet."""
        data = bytes(self.body)
        self.body.clear()
        return data

    def close(self) -> None:
        """Mark the connection as gone, or of no more use. A second call changes nothing."""
        self.state = ExchangeState.CLOSED  # which any state may move to

    def release_parser(self) -> None:
        """Part parser and machine, which refer to each other and would wait for the collector."""
        self.parser = None

    def _response(self, reusable: bool) -> ResponseReceived:
        assert self.parser is not None
        status = self.parser.get_status_code()
        response = Response(status, bytes(self.body), self.content_type)
        # What is left of the request would pass for the next one.
        sent = self.body_stream is None or self.body_stream.exhausted
        reusable = reusable and sent
        self.state = ExchangeState.IDLE if reusable else ExchangeState.CLOSED
        return ResponseReceived(response, self.not_started, reusable)

    def _check_size(self) -> MalformedResponse | None:
        if not self.head_complete and self.received_bytes > MAX_HEAD_BYTES:
            return self._malformed("its head is over the limit")
        limit = MAX_RESPONSE_BYTES
        if self.accepts_streaming:
            limit = max_message_bytes(self.body_bytes)
        return self._malformed("over the limit") if self.received_bytes > limit else None

    def _malformed(self, reason: str) -> MalformedResponse:
        self.close()
        return MalformedResponse(reason)

    @property
    def _max_body_bytes(self) -> int:
        return MAX_STREAMED_BODY_BYTES if self.accepts_streaming else MAX_BODY_BYTES

    # Called by the parser. A ValueError reaches `receive_data` as a parser error.

    def on_message_begin(self) -> None:
        """Begin a response, or an interim one."""
        if self.complete:
            self.has_stray_bytes = True
            return
        self.body.clear()
        self.not_started = self.chunked = self.has_transfer_coding = False
        self.length = None
        self.content_type = b""

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header, but not a trailer, which must not pass for one."""
        if self.complete or self.head_complete:
            return
        lower, raw, value = name.lower(), value, value.strip(OPTIONAL_WHITESPACE)
        if lower == b"content-length":
            self.length = int(value)
            if self.length > self._max_body_bytes:
                # Found out before the body comes, which may never end.
                raise ValueError("a length over the limit")
        elif lower == b"transfer-encoding":
            # The parser takes it for chunked with spaces behind it, not with a tab.
            self.has_transfer_coding = True
            self.chunked = raw.rstrip(b" ").lower() == b"chunked"
        elif lower == b"not-started":
            self.not_started = value == b"1"
        elif lower == b"content-type":
            self.content_type = value

    def on_headers_complete(self) -> None:
        """End the head of a response, or of an interim one."""
        if self.complete or self.parser is None:
            return
        status = self.parser.get_status_code()
        self.head_complete = status >= 200
        if not self.head_complete:
            return
        if self.has_transfer_coding and not self.chunked:
            raise ValueError("a coding that is not spoken here")
        self.accepts_streaming = self.accepts_streaming and status == 200

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        if self.complete:
            return
        self.body_bytes += len(body)
        if self.body_bytes > self._max_body_bytes:
            raise ValueError("a body over the limit")
        self.body += body

    def on_message_complete(self) -> None:
        """End a response, or an interim one."""
        if self.complete or self.parser is None:
            return
        if not self.head_complete:
            self.interim_responses += 1
            if self.interim_responses > MAX_INTERIM_RESPONSES:
                raise ValueError("too many interim answers")
            return
        self.complete = True
        self.keep_alive = self.parser.should_keep_alive()
