"""One connection to a server as a machine without I/O: a request out, its answer in, over and over.

It reads no clock and holds no socket. Its legal moves stand in `MOVES`.
Source: the protocol's page, section "Nodes to servers"; RFC 9112 for framing.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum

import httptools

from badgercart.core.memory_budget import MAX_BUFFERED_MESSAGE_BYTES
from badgercart.core.ports import UpstreamResponse
from badgercart.core.streams import ResponseHeaderSection, Upload

MAX_BODY_BYTES = 65536  # bytes of a body where nothing passes through as it comes
MAX_STREAMED_BODY_BYTES = 64 << 20  # bytes of one that does
MAX_HEADER_SECTION_BYTES = (
    16384  # bytes of status line and headers, those of interim answers included
)
MAX_RESPONSE_BYTES = (
    MAX_HEADER_SECTION_BYTES + 2 * MAX_BODY_BYTES
)  # bytes of a whole answer, the framing of its body included
# bytes of framing for each byte of a long body: chunks of one byte have 5, and extensions more
MAX_FRAMING_RATIO = 32
MAX_INTERIM_RESPONSES = 8  # answers 1xx ahead of the final one
OPTIONAL_WHITESPACE = (
    b" \t"  # may stand behind a field's value, and is no part of it (RFC 9110, section 5.5)
)


@dataclass(slots=True)
class UpstreamRequest:
    """A request as it goes on: all but its time-out, which each attempt writes anew."""

    header_section: bytes  # request line and header lines
    body: bytes
    upload: Upload | None = None  # the body, where it goes on as it comes
    may_stream_response: bool = False  # whether its answer may


class ExchangeState(IntEnum):  # hashed for every request: as numbers, that costs nothing
    """What is expected of the server."""

    IDLE = 0  # nothing: bytes that come now could pass for the next answer
    AWAITING_RESPONSE = 1  # an answer
    CLOSED = 2  # nothing ever: the connection is of no more use


TRANSITIONS: dict[ExchangeState, frozenset[ExchangeState]] = {
    ExchangeState.IDLE: frozenset((ExchangeState.AWAITING_RESPONSE, ExchangeState.CLOSED)),
    ExchangeState.AWAITING_RESPONSE: frozenset((ExchangeState.IDLE, ExchangeState.CLOSED)),
    ExchangeState.CLOSED: frozenset(),
}


def max_framed_bytes(body_bytes: int) -> int:
    """Bytes of a message, with so much of its body, beyond which its framing is no framing any
    more."""
    return 2 * MAX_HEADER_SECTION_BYTES + (1 + MAX_FRAMING_RATIO) * body_bytes


def illegal_transition(old: ExchangeState, new: ExchangeState) -> RuntimeError:
    return RuntimeError(f"a server's connection can't go from {old.name} to {new.name}")


@dataclass(slots=True)
class CompleteResponse:
    """The answer came whole; where it had begun to go on, `answer` has no body."""

    response: UpstreamResponse
    not_started: bool
    reusable: bool  # whether the connection can carry the next request


@dataclass(slots=True)
class MalformedResponse:
    """What came is no answer: why."""

    reason: str


@dataclass(slots=True)
class UnexpectedData:
    """Something came though nothing was asked."""


ExchangeResult = CompleteResponse | MalformedResponse | UnexpectedData


class Exchange:
    """The machine. The parser refers back to it: `close` parts the two.

    An answer is held until it is whole. Where it may go on as it comes, `opening` says that it is
    time: then `begin` gives its head, and `pass_on` what has come of its body since."""

    __slots__ = (
        "__weakref__", "body", "body_bytes", "body_length", "chunked", "complete", "content_type", "has_trailing_data",
        "has_transfer_coding", "headers_complete", "interim_responses", "keep_alive", "may_stream",
        "message_limit_bytes", "not_started", "parser", "response_bytes", "state", "streaming", "upload",
    )  # fmt: skip

    def __init__(self) -> None:
        self.state = ExchangeState.IDLE
        self.parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self.body = bytearray()
        self.response_bytes = 0  # bytes of the answer so far
        self.body_bytes = 0  # of its body
        self.interim_responses = 0
        self.headers_complete = False
        self.not_started = False
        self.content_type = b""
        self.complete = False
        self.keep_alive = False
        self.has_trailing_data = False  # bytes came after the answer
        self.body_length: int | None = None  # of the body, where it is told
        self.chunked = self.has_transfer_coding = False
        self.may_stream = self.streaming = (
            False  # whether the answer may go on as it comes, and does
        )
        self.message_limit_bytes: Callable[[], int] = (
            lambda: MAX_BUFFERED_MESSAGE_BYTES
        )  # how much of an answer may be held now
        self.upload: Upload | None = None

    def start_request(self, request: UpstreamRequest, remaining_ms: float) -> bytes:
        """The bytes of a request whose attempt has so many ms left; of one that comes in, its
        head."""
        if ExchangeState.AWAITING_RESPONSE not in TRANSITIONS[self.state]:
            raise illegal_transition(self.state, ExchangeState.AWAITING_RESPONSE)
        self.state = ExchangeState.AWAITING_RESPONSE
        self.complete = self.headers_complete = self.streaming = False
        self.body.clear()  # what is left of the answer before must not pass for this one's
        self.response_bytes = self.interim_responses = self.body_bytes = 0
        self.may_stream, self.upload = request.may_stream_response, request.upload
        return b"%bRequest-Timeout: %dm\r\n\r\n%b" % (
            request.header_section,
            max(1, int(remaining_ms)),
            request.body,
        )

    def read_upload(self) -> bytes:
        """What has come of the request's body since, in its framing; the end of it, too."""
        assert self.upload is not None
        data = self.upload.read()
        if self.upload.body_length is not None:
            return data
        chunk = b"%x\r\n%b\r\n" % (len(data), data) if data else b""
        return chunk + b"0\r\n\r\n" if self.upload.exhausted else chunk

    def receive(self, data: bytes) -> ExchangeResult | None:
        """What has come of it; None while the answer is not whole."""
        if self.state is not ExchangeState.AWAITING_RESPONSE:
            self.close()
            return UnexpectedData()
        assert self.parser is not None
        self.response_bytes += len(data)
        try:
            self.parser.feed_data(data)
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
        """The server has ended its side: the end of an answer that has no other; None where it is
        none."""
        if (
            self.state is not ExchangeState.AWAITING_RESPONSE
            or not self.headers_complete
            or self.chunked
            or self.body_length is not None
        ):
            return None
        return self.complete_response(False)

    def complete_response(self, reusable: bool) -> CompleteResponse:
        assert self.parser is not None
        response = UpstreamResponse(
            self.parser.get_status_code(), bytes(self.body), self.content_type
        )
        # What is left of the request would pass for the next one.
        reusable = reusable and (self.upload is None or self.upload.exhausted)
        self.state = (
            ExchangeState.IDLE if reusable else ExchangeState.CLOSED
        )  # ASKED moves to either
        return CompleteResponse(response, self.not_started, reusable)

    @property
    def must_stream(self) -> bool:
        """Whether the answer goes on as it comes from here: it has begun, and can't be held
        whole."""
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
    def can_stream(self) -> bool:
        """Whether it could, though it need not."""
        return (
            self.may_stream
            and self.headers_complete
            and not self.streaming
            and bool(self.body)
            and self.body_length is None
        )

    def start_streaming(self) -> ResponseHeaderSection:
        assert self.parser is not None
        self.streaming = True
        return ResponseHeaderSection(
            self.parser.get_status_code(), self.content_type, self.body_length
        )

    def take_body(self) -> bytes:
        """What has come of the body and was not passed on yet."""
        data = bytes(self.body)
        self.body.clear()
        return data

    def reject_response(self, reason: str) -> MalformedResponse:
        self.close()
        return MalformedResponse(reason)

    def close(self) -> None:
        """The connection is gone or of no more use. Told again, it changes nothing."""
        self.state = ExchangeState.CLOSED  # which any state may move to

    def release_parser(self) -> None:
        """Part parser and machine, which refer to each other: both would wait for the cyclic
        collector."""
        self.parser = None

    # What the parser finds.

    def on_message_begin(self) -> None:
        if self.complete:
            self.has_trailing_data = True
            return
        self.body.clear()
        self.not_started = self.chunked = self.has_transfer_coding = False
        self.body_length = None
        self.content_type = b""

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.complete or self.headers_complete:  # trailers must not pass for headers
            return
        lower, raw, value = name.lower(), value, value.strip(OPTIONAL_WHITESPACE)
        if lower == b"content-length":
            self.body_length = int(value)
            if self.body_length > (MAX_STREAMED_BODY_BYTES if self.may_stream else MAX_BODY_BYTES):
                raise ValueError(
                    "a length over the limit"
                )  # before the body comes, which may never end
        elif lower == b"transfer-encoding":
            # The parser takes it for chunked with spaces behind it, not with a tab.
            self.has_transfer_coding, self.chunked = True, raw.rstrip(b" ").lower() == b"chunked"
        elif lower == b"not-started":
            self.not_started = value == b"1"
        elif lower == b"content-type":
            self.content_type = value

    def on_body(self, body: bytes) -> None:
        if self.complete:
            return
        self.body_bytes += len(body)
        if self.body_bytes > (MAX_STREAMED_BODY_BYTES if self.may_stream else MAX_BODY_BYTES):
            raise ValueError("a body over the limit")  # reaches `received` as a parser error
        self.body += body

    def on_headers_complete(self) -> None:
        if self.complete or self.parser is None:
            return
        status = self.parser.get_status_code()
        self.headers_complete = status >= 200
        if self.headers_complete:
            if self.has_transfer_coding and not self.chunked:
                raise ValueError("a coding that is not spoken here")
            self.may_stream = (
                self.may_stream and status == 200
            )  # nothing else is passed on as it comes

    def on_message_complete(self) -> None:
        if self.complete or self.parser is None:
            return
        if not self.headers_complete:
            self.interim_responses += 1
            if self.interim_responses > MAX_INTERIM_RESPONSES:
                raise ValueError("too many interim answers")
            return
        self.complete = True
        self.keep_alive = self.parser.should_keep_alive()
