"""A state machine for one connection to a server, which carries requests one after another.

It does no I/O, reads no clock and holds no socket. `TRANSITIONS` lists its legal transitions.
Source: the protocol's page, section "Nodes to servers"; RFC 9112 for framing.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum

import httptools

from badgercart.core.memory_budget import MAX_BUFFERED_MESSAGE_BYTES
from badgercart.core.output_buffer import BATCH_BYTES
from badgercart.core.piece_buffer import PIECE_BYTES, Body, PieceBuffer
from badgercart.core.ports import UpstreamResponse
from badgercart.core.streams import ResponseHeaderSection, Upload

# The limit of a body that is not streamed.
MAX_BODY_BYTES = 65536
MAX_STREAMED_BODY_BYTES = 64 << 20
# The status line and the headers, including those of interim responses.
MAX_HEADER_SECTION_BYTES = 16384
# A complete response, including the framing of its body.
MAX_RESPONSE_BYTES = MAX_HEADER_SECTION_BYTES + 2 * MAX_BODY_BYTES
# Bytes of framing for each byte of a streamed body: chunks of one byte have 5, extensions more.
MAX_FRAMING_RATIO = 32
# Responses with a status 1xx before the final one.
MAX_INTERIM_RESPONSES = 8
# May follow a field's value, and is no part of it (RFC 9110, section 5.5).
OPTIONAL_WHITESPACE = b" \t"


@dataclass(slots=True)
class UpstreamRequest:
    """A request as it is forwarded, without its timeout, which each attempt writes anew."""

    header_section: bytes  # the request line and the header lines
    body: Body
    upload: Upload | None = None  # the body, where it is streamed
    may_stream_response: bool = False


# The states are hashed for every request, which costs nothing for integers.
class ExchangeState(IntEnum):
    """What is expected of the server."""

    IDLE = 0  # nothing: bytes that arrive now could be taken for the next response
    AWAITING_RESPONSE = 1
    CLOSED = 2  # nothing any more: the connection can't be used again


TRANSITIONS: dict[ExchangeState, frozenset[ExchangeState]] = {
    ExchangeState.IDLE: frozenset((ExchangeState.AWAITING_RESPONSE, ExchangeState.CLOSED)),
    ExchangeState.AWAITING_RESPONSE: frozenset((ExchangeState.IDLE, ExchangeState.CLOSED)),
    ExchangeState.CLOSED: frozenset(),
}


def max_framed_bytes(body_bytes: int) -> int:
    """Return the limit of a streamed message of which `body_bytes` of the body have arrived.

    What exceeds it can't be framing any more.
    """
    return 2 * MAX_HEADER_SECTION_BYTES + (1 + MAX_FRAMING_RATIO) * body_bytes


def illegal_transition(old: ExchangeState, new: ExchangeState) -> RuntimeError:
    """Return the error for a transition that `TRANSITIONS` does not list."""
    return RuntimeError(f"a server's connection can't go from {old.name} to {new.name}")


@dataclass(slots=True)
class CompleteResponse:
    """The response is complete; what was streamed of its body is not in `response`."""

    response: UpstreamResponse
    not_started: bool
    reusable: bool  # whether the connection can carry the next request


@dataclass(slots=True)
class MalformedResponse:
    """What arrived is not a valid response."""

    reason: str


@dataclass(slots=True)
class UnexpectedData:
    """Bytes arrived although no response was expected."""


ExchangeResult = CompleteResponse | MalformedResponse | UnexpectedData


class Exchange:
    """The state machine. It and its parser refer to each other until `release_parser`.

    A response is buffered until it is complete. Where it may be streamed, `must_stream` says when:
    then `start_streaming` returns its header section, and `take_body` what has arrived of its body
    since.
    """

    __slots__ = (
        "__weakref__", "body", "body_bytes", "body_length", "chunked", "complete", "content_type", "has_trailing_data",
        "has_transfer_coding", "headers_complete", "interim_responses", "keep_alive", "may_stream",
        "message_limit_bytes", "not_started", "parser", "response_bytes", "state", "streaming", "upload",
    )  # fmt: skip

    def __init__(self) -> None:
        self.state = ExchangeState.IDLE
        self.parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self.body = PieceBuffer()
        self.response_bytes = 0  # received so far, all framing included
        self.body_bytes = 0  # of these, the body
        self.interim_responses = 0
        self.headers_complete = False
        self.not_started = False
        self.content_type = b""
        self.complete = False
        self.keep_alive = False
        self.has_trailing_data = False  # bytes arrived after the response
        self.body_length: int | None = None  # from Content-Length
        self.chunked = self.has_transfer_coding = False
        self.may_stream = self.streaming = False  # the response
        # How much of a response may be buffered now.
        self.message_limit_bytes: Callable[[], int] = lambda: MAX_BUFFERED_MESSAGE_BYTES
        self.upload: Upload | None = None

    def start_request(self, request: UpstreamRequest, remaining_ms: float) -> bytes:
        """Return the bytes to send for a request; of a streamed one, its header section."""
        if ExchangeState.AWAITING_RESPONSE not in TRANSITIONS[self.state]:
            raise illegal_transition(self.state, ExchangeState.AWAITING_RESPONSE)
        self.state = ExchangeState.AWAITING_RESPONSE
        self.complete = self.headers_complete = self.streaming = False
        # The rest of the previous response must not be taken for a part of this one.
        self.body.clear()
        self.response_bytes = self.interim_responses = self.body_bytes = 0
        self.may_stream, self.upload = request.may_stream_response, request.upload
        return b"%bRequest-Timeout: %dm\r\n\r\n%b" % (
            request.header_section,
            max(1, int(remaining_ms)),
            bytes(request.body),
        )

    def read_upload(self, max_bytes: int = sys.maxsize) -> bytes:
        """Return what has been received of the request's body since, framed; also its end."""
        assert self.upload is not None
        data = self.upload.read(max_bytes)
        if self.upload.body_length is not None:
            return data
        chunk = b"%x\r\n%b\r\n" % (len(data), data) if data else b""
        return chunk + b"0\r\n\r\n" if self.upload.exhausted else chunk

    def receive(self, data: bytes | memoryview) -> ExchangeResult | None:
        """Parse bytes from the server; returns None while the response is incomplete."""
        if self.state is not ExchangeState.AWAITING_RESPONSE:
            self.close()
            return UnexpectedData()
        assert self.parser is not None
        self.response_bytes += len(data)
        try:
            for begin in range(0, len(data), PIECE_BYTES):
                self.parser.feed_data(data[begin : begin + PIECE_BYTES])
        except httptools.HttpParserError as error:
            if not self.complete:
                return self.reject_response(str(error.__context__ or error))
            self.has_trailing_data = True
        except httptools.HttpParserUpgrade:
            return self.reject_response("an upgrade")
        if self.complete:
            return self.complete_response(self.keep_alive and not self.has_trailing_data)
        if not self.headers_complete and self.response_bytes > MAX_HEADER_SECTION_BYTES:
            return self.reject_response("its head is over the limit")
        if self.response_bytes > (
            max_framed_bytes(self.body_bytes) if self.may_stream else MAX_RESPONSE_BYTES
        ):
            return self.reject_response("over the limit")
        return None

    def receive_eof(self) -> ExchangeResult | None:
        """Handle the end of the server's stream.

        It ends a response without other framing; returns None where it ends none.
        """
        if (
            self.state is not ExchangeState.AWAITING_RESPONSE
            or not self.headers_complete
            or self.chunked
            or self.body_length is not None
        ):
            return None
        return self.complete_response(False)

    def complete_response(self, reusable: bool) -> CompleteResponse:
        """Return the complete response, and make the connection idle or close the exchange."""
        assert self.parser is not None
        response = UpstreamResponse(
            self.parser.get_status_code(), bytes(self.body), self.content_type
        )
        # The rest of the request's body would be taken for the next request.
        reusable = reusable and (self.upload is None or self.upload.exhausted)
        self.state = ExchangeState.IDLE if reusable else ExchangeState.CLOSED
        self.release_messages()
        return CompleteResponse(response, self.not_started, reusable)

    @property
    def must_stream(self) -> bool:
        """Whether to stream the response: its body has begun, and is too large to be buffered."""
        if (
            not self.may_stream
            or self.streaming
            or not self.body
            or self.state is not ExchangeState.AWAITING_RESPONSE
        ):
            return False
        return len(self.body) > self.message_limit_bytes() or (
            self.body_length is not None and self.body_length > self.message_limit_bytes()
        )

    @property
    def has_unknown_length(self) -> bool:
        """Whether the head of a response has arrived that could be streamed, as it may be long."""
        return (
            self.may_stream
            and self.headers_complete
            and not self.streaming
            and self.body_length is None
        )

    @property
    def may_be_short(self) -> bool:
        """Whether the response may be, or is, one of `MAX_BODY_BYTES` at most."""
        return max(self.body_bytes, self.body_length or 0) <= MAX_BODY_BYTES

    @property
    def awaits_long_body(self) -> bool:
        """Whether the head of a response has arrived whose body may be too large to be buffered.

        The server has executed the request; only how fast it writes is open.
        """
        return (
            self.may_stream
            and self.headers_complete
            and not self.streaming
            and self.state is ExchangeState.AWAITING_RESPONSE
            and (self.body_length is None or self.body_length > self.message_limit_bytes())
        )

    def start_streaming(self) -> ResponseHeaderSection:
        """Switch to streaming, and return the response's header section."""
        assert self.parser is not None
        self.streaming = True
        return ResponseHeaderSection(
            self.parser.get_status_code(), self.content_type, self.body_length
        )

    def take_body(self) -> bytes:
        """Take a part of what has arrived of the body and was not taken yet."""
        return self.body.take(BATCH_BYTES)

    def reject_response(self, reason: str) -> MalformedResponse:
        """Close the exchange because of an invalid response."""
        self.close()
        return MalformedResponse(reason)

    def close(self) -> None:
        """Note that the connection is lost or can't be used any more. This is idempotent."""
        self.state = ExchangeState.CLOSED  # legal from any state
        self.release_messages()

    def release_messages(self) -> None:
        """Free the buffered response and the request's body: the connection may be idle long."""
        self.body.clear()
        self.upload = None

    def release_parser(self) -> None:
        """Drop the parser, so that neither waits for the cyclic garbage collector."""
        self.parser = None

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Start a response, which may be an interim one."""
        if self.complete:
            self.has_trailing_data = True
            return
        self.body.clear()
        self.not_started = self.chunked = self.has_transfer_coding = False
        self.body_length = None
        self.content_type = b""

    def on_header(self, name: bytes, value: bytes) -> None:
        """Read a header. Trailers arrive here too, and must not be taken for headers."""
        if self.complete or self.headers_complete:
            return
        lower, raw, value = name.lower(), value, value.strip(OPTIONAL_WHITESPACE)
        if lower == b"content-length":
            self.body_length = int(value)
            if self.body_length > (MAX_STREAMED_BODY_BYTES if self.may_stream else MAX_BODY_BYTES):
                # Raised before the body arrives, which may never end.
                raise ValueError("a length over the limit")
        elif lower == b"transfer-encoding":
            # The parser accepts `chunked` with spaces behind it, but not with a tab.
            self.has_transfer_coding, self.chunked = True, raw.rstrip(b" ").lower() == b"chunked"
        elif lower == b"not-started":
            self.not_started = value == b"1"
        elif lower == b"content-type":
            self.content_type = value

    def on_body(self, body: bytes) -> None:
        """Buffer a part of the body."""
        if self.complete:
            return
        self.body_bytes += len(body)
        if self.body_bytes > (MAX_STREAMED_BODY_BYTES if self.may_stream else MAX_BODY_BYTES):
            raise ValueError("a body over the limit")  # reaches `receive` as a parser error
        self.body.append(body)

    def on_headers_complete(self) -> None:
        """Check the headers, and whether the response may be streamed."""
        if self.complete or self.parser is None:
            return
        status = self.parser.get_status_code()
        self.headers_complete = status >= 200
        if self.headers_complete:
            if self.has_transfer_coding and not self.chunked:
                raise ValueError("a coding that is not spoken here")
            self.may_stream = self.may_stream and status == 200

    def on_message_complete(self) -> None:
        """Finish the response, or an interim one."""
        if self.complete or self.parser is None:
            return
        if not self.headers_complete:
            self.interim_responses += 1
            if self.interim_responses > MAX_INTERIM_RESPONSES:
                raise ValueError("too many interim answers")
            return
        self.complete = True
        self.keep_alive = self.parser.should_keep_alive()
