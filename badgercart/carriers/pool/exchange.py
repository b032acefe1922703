"""One connection to a server as a machine without I/O: a request out, its answer in, over and over.

It reads no clock and holds no socket. Its legal moves stand in `MOVES`.
Source: the protocol's page, section "Nodes to servers"; RFC 9112 for framing.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

import httptools

from badgercart.core.ports import Answer

MAX_BODY = 65536
MAX_HEAD = 16384  # bytes of status line and headers, those of interim answers included
MAX_ANSWER = MAX_HEAD + 2 * MAX_BODY  # bytes of a whole answer, the framing of its body included
MAX_INTERIM = 8  # answers 1xx ahead of the final one


@dataclass(slots=True)
class Message:
    """A request as it goes on: all but its time-out, which each attempt writes anew."""

    head: bytes  # request line and header lines
    body: bytes


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


def illegal(old: State, new: State) -> RuntimeError:
    return RuntimeError(f"a server's connection can't go from {old.name} to {new.name}")


@dataclass(slots=True)
class Done:
    """The answer came whole."""

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
    """The machine. The parser refers back to it: `close` parts the two."""

    __slots__ = (
        "__weakref__", "body", "complete", "content_type", "interim", "keep", "not_started", "parser", "size",
        "state", "stray", "whole_head",
    )  # fmt: skip

    def __init__(self) -> None:
        self.state = State.IDLE
        self.parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self.body = bytearray()
        self.size = 0  # bytes of the answer so far
        self.interim = 0
        self.whole_head = False
        self.not_started = False
        self.content_type = b""
        self.complete = False
        self.keep = False
        self.stray = False  # bytes came after the answer

    def ask(self, message: Message, left: float) -> bytes:
        """The bytes of a request whose attempt has so many ms left."""
        if State.ASKED not in MOVES[self.state]:
            raise illegal(self.state, State.ASKED)
        self.state = State.ASKED
        self.complete = self.whole_head = False
        self.size = self.interim = 0
        return b"%bRequest-Timeout: %dm\r\n\r\n%b" % (message.head, max(1, int(left)), message.body)

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
                return self.malformed(str(error))
            self.stray = True
        except httptools.HttpParserUpgrade:
            return self.malformed("an upgrade")
        if self.complete:
            answer = Answer(self.parser.get_status_code(), bytes(self.body), self.content_type)
            keep = self.keep and not self.stray
            self.state = State.IDLE if keep else State.OVER  # ASKED moves to either
            return Done(answer, self.not_started, keep)
        if self.size > (MAX_ANSWER if self.whole_head else MAX_HEAD):
            return self.malformed("over the limit")
        return None

    def malformed(self, why: str) -> Malformed:
        self.close()
        return Malformed(why)

    def close(self) -> None:
        """The connection is gone or of no more use. Told again, it changes nothing."""
        self.state = State.OVER  # which any state may move to

    def unlink(self) -> None:
        """Part parser and machine, which refer to each other: both would wait for the cyclic collector."""
        self.parser = None

    # What the parser finds.

    def on_message_begin(self) -> None:
        if self.complete:
            self.stray = True
            return
        self.body.clear()
        self.not_started = False
        self.content_type = b""

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.complete:
            return
        lower = name.lower()
        if lower == b"content-length" and int(value) > MAX_BODY:
            raise ValueError("a length over the limit")  # before the body comes, which may never end
        if lower == b"not-started":
            self.not_started = value == b"1"
        elif lower == b"content-type":
            self.content_type = value

    def on_body(self, body: bytes) -> None:
        if self.complete:
            return
        if len(self.body) + len(body) > MAX_BODY:
            raise ValueError("a body over the limit")  # reaches `received` as a parser error
        self.body += body

    def on_headers_complete(self) -> None:
        if not self.complete and self.parser is not None:
            self.whole_head = self.parser.get_status_code() >= 200

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
