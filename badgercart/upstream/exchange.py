"""One connection to a server as a machine without I/O: a request out, its answer in, over and over.

It reads no clock and holds no socket. Its legal moves stand in `MOVES`.
Source: the protocol's page, section "Nodes to servers"; RFC 9112 for framing.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum

import httptools

from badgercart.core.memory_budget import HOLD
from badgercart.core.ports import Answer
from badgercart.core.streams import Opening, Upload

MAX_BODY = 65536  # bytes of a body where nothing passes through as it comes
MAX_BULK = 64 << 20  # bytes of one that does
MAX_HEAD = 16384  # bytes of status line and headers, those of interim answers included
MAX_ANSWER = MAX_HEAD + 2 * MAX_BODY  # bytes of a whole answer, the framing of its body included
# bytes of framing for each byte of a long body: chunks of one byte have 5, and extensions more
MAX_FRAMING = 32
MAX_INTERIM = 8  # answers 1xx ahead of the final one
OWS = b" \t"  # may stand behind a field's value, and is no part of it (RFC 9110, section 5.5)


@dataclass(slots=True)
class Message:
    """A request as it goes on: all but its time-out, which each attempt writes anew."""

    head: bytes  # request line and header lines
    body: bytes
    upload: Upload | None = None  # the body, where it goes on as it comes
    streams: bool = False  # whether its answer may


class State(IntEnum):  # hashed for every request: as numbers, that costs nothing
    """What is expected of the server."""

    IDLE = 0  # nothing: bytes that come now could pass for the next answer
    ASKED = 1  # an answer
    OVER = 2  # nothing ever: the connection is of no more use


MOVES: dict[State, frozenset[State]] = {
    State.IDLE: frozenset((State.ASKED, State.OVER)),
    State.ASKED: frozenset((State.IDLE, State.OVER)),
    State.OVER: frozenset(),
}


def over_framed(got: int) -> int:
    """Bytes of a message, with so much of its body, beyond which its framing is no framing any
    more."""
    return 2 * MAX_HEAD + (1 + MAX_FRAMING) * got


def illegal(old: State, new: State) -> RuntimeError:
    return RuntimeError(f"a server's connection can't go from {old.name} to {new.name}")


@dataclass(slots=True)
class Done:
    """The answer came whole; where it had begun to go on, `answer` has no body."""

    answer: Answer
    not_started: bool
    keep: bool  # whether the connection can carry the next request


@dataclass(slots=True)
class Malformed:
    """What came is no answer: why."""

    why: str


@dataclass(slots=True)
class Unasked:
    """Something came though nothing was asked."""


Found = Done | Malformed | Unasked


class Exchange:
    """The machine. The parser refers back to it: `close` parts the two.

    An answer is held until it is whole. Where it may go on as it comes, `opening` says that it is
    time: then `begin` gives its head, and `pass_on` what has come of its body since."""

    __slots__ = (
        "__weakref__", "begun", "body", "chunked", "coding", "complete", "content_type", "got", "hold",
        "interim", "keep", "length", "not_started", "parser", "size", "state", "stray", "streams", "upload",
        "whole_head",
    )  # fmt: skip

    def __init__(self) -> None:
        self.state = State.IDLE
        self.parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self.body = bytearray()
        self.size = 0  # bytes of the answer so far
        self.got = 0  # of its body
        self.interim = 0
        self.whole_head = False
        self.not_started = False
        self.content_type = b""
        self.complete = False
        self.keep = False
        self.stray = False  # bytes came after the answer
        self.length: int | None = None  # of the body, where it is told
        self.chunked = self.coding = False
        self.streams = self.begun = False  # whether the answer may go on as it comes, and does
        self.hold: Callable[[], int] = lambda: HOLD  # how much of an answer may be held now
        self.upload: Upload | None = None

    def ask(self, message: Message, left: float) -> bytes:
        """The bytes of a request whose attempt has so many ms left; of one that comes in, its
        head."""
        if State.ASKED not in MOVES[self.state]:
            raise illegal(self.state, State.ASKED)
        self.state = State.ASKED
        self.complete = self.whole_head = self.begun = False
        self.body.clear()  # what is left of the answer before must not pass for this one's
        self.size = self.interim = self.got = 0
        self.streams, self.upload = message.streams, message.upload
        return b"%bRequest-Timeout: %dm\r\n\r\n%b" % (message.head, max(1, int(left)), message.body)

    def upload_bytes(self) -> bytes:
        """What has come of the request's body since, in its framing; the end of it, too."""
        assert self.upload is not None
        data = self.upload.read()
        if self.upload.length is not None:
            return data
        chunk = b"%x\r\n%b\r\n" % (len(data), data) if data else b""
        return chunk + b"0\r\n\r\n" if self.upload.ended else chunk

    def received(self, data: bytes) -> Found | None:
        """What has come of it; None while the answer is not whole."""
        if self.state is not State.ASKED:
            self.close()
            return Unasked()
        assert self.parser is not None
        self.size += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            if not self.complete:
                return self.malformed(str(error.__context__ or error))
            self.stray = True
        except httptools.HttpParserUpgrade:
            return self.malformed("an upgrade")
        if self.complete:
            return self.done(self.keep and not self.stray)
        if not self.whole_head and self.size > MAX_HEAD:
            return self.malformed("its head is over the limit")
        if self.size > (over_framed(self.got) if self.streams else MAX_ANSWER):
            return self.malformed("over the limit")
        return None

    def ended(self) -> Found | None:
        """The server has ended its side: the end of an answer that has no other; None where it is
        none."""
        if (
            self.state is not State.ASKED
            or not self.whole_head
            or self.chunked
            or self.length is not None
        ):
            return None
        return self.done(False)

    def done(self, keep: bool) -> Done:
        assert self.parser is not None
        answer = Answer(self.parser.get_status_code(), bytes(self.body), self.content_type)
        # What is left of the request would pass for the next one.
        keep = keep and (self.upload is None or self.upload.ended)
        self.state = State.IDLE if keep else State.OVER  # ASKED moves to either
        return Done(answer, self.not_started, keep)

    @property
    def opening(self) -> bool:
        """Whether the answer goes on as it comes from here: it has begun, and can't be held
        whole."""
        if not self.streams or self.begun or not self.body or self.state is not State.ASKED:
            return False
        return len(self.body) > self.hold() or (
            self.length is not None and self.length > self.hold()
        )

    @property
    def may_open(self) -> bool:
        """Whether it could, though it need not."""
        return (
            self.streams
            and self.whole_head
            and not self.begun
            and bool(self.body)
            and self.length is None
        )

    def begin(self) -> Opening:
        assert self.parser is not None
        self.begun = True
        return Opening(self.parser.get_status_code(), self.content_type, self.length)

    def pass_on(self) -> bytes:
        """What has come of the body and was not passed on yet."""
        data = bytes(self.body)
        self.body.clear()
        return data

    def malformed(self, why: str) -> Malformed:
        self.close()
        return Malformed(why)

    def close(self) -> None:
        """The connection is gone or of no more use. Told again, it changes nothing."""
        self.state = State.OVER  # which any state may move to

    def unlink(self) -> None:
        """Part parser and machine, which refer to each other: both would wait for the cyclic
        collector."""
        self.parser = None

    # What the parser finds.

    def on_message_begin(self) -> None:
        if self.complete:
            self.stray = True
            return
        self.body.clear()
        self.not_started = self.chunked = self.coding = False
        self.length = None
        self.content_type = b""

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.complete or self.whole_head:  # trailers must not pass for headers
            return
        lower, raw, value = name.lower(), value, value.strip(OWS)
        if lower == b"content-length":
            self.length = int(value)
            if self.length > (MAX_BULK if self.streams else MAX_BODY):
                raise ValueError(
                    "a length over the limit"
                )  # before the body comes, which may never end
        elif lower == b"transfer-encoding":
            # The parser takes it for chunked with spaces behind it, not with a tab.
            self.coding, self.chunked = True, raw.rstrip(b" ").lower() == b"chunked"
        elif lower == b"not-started":
            self.not_started = value == b"1"
        elif lower == b"content-type":
            self.content_type = value

    def on_body(self, body: bytes) -> None:
        if self.complete:
            return
        self.got += len(body)
        if self.got > (MAX_BULK if self.streams else MAX_BODY):
            raise ValueError("a body over the limit")  # reaches `received` as a parser error
        self.body += body

    def on_headers_complete(self) -> None:
        if self.complete or self.parser is None:
            return
        status = self.parser.get_status_code()
        self.whole_head = status >= 200
        if self.whole_head:
            if self.coding and not self.chunked:
                raise ValueError("a coding that is not spoken here")
            self.streams = self.streams and status == 200  # nothing else is passed on as it comes

    def on_message_complete(self) -> None:
        if self.complete or self.parser is None:
            return
        if not self.whole_head:
            self.interim += 1
            if self.interim > MAX_INTERIM:
                raise ValueError("too many interim answers")
            return
        self.complete = True
        self.keep = self.parser.should_keep_alive()
