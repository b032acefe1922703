"""One call to the console as a machine without I/O: bytes in, the whole answer out.

A call is HTTP/1.1 and has its connection to itself. Source: RFC 9112 for its form; what there is to
call stands in `ROUTES`.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Protocol
from urllib.parse import unquote_to_bytes

import httptools

MAX_CALL = 8192  # bytes of a whole call
MAX_ID = 256  # bytes of a server's id


@dataclass(slots=True, frozen=True)
class Reply:
    """What a call is answered: a status, and one line that says why."""

    status: HTTPStatus
    line: str
    allow: str = ""  # the method that would do

    def write(self) -> bytes:
        body = f"{self.line}\n".encode()
        allow = f"Allow: {self.allow}\r\n" if self.allow else ""
        head = (
            f"HTTP/1.1 {self.status.value} {self.status.phrase}\r\n"
            f"Content-Type: text/plain; charset=utf-8\r\nContent-Length: {len(body)}\r\n"
            f"{allow}Connection: close\r\n\r\n"
        )
        return head.encode() + body


class Desk(Protocol):
    """Whoever carries out what operators ask for."""

    def ready(self) -> Reply: ...

    def disable(self, name: str) -> Reply: ...

    def enable(self, name: str) -> Reply: ...


ROUTES: tuple[tuple[re.Pattern[bytes], str, Callable[[Desk, str], Reply]], ...] = (
    (re.compile(rb"/-/ready()"), "GET", lambda desk, _: desk.ready()),
    (re.compile(rb"/-/servers/([^/]+)/disable"), "POST", lambda desk, name: desk.disable(name)),
    (re.compile(rb"/-/servers/([^/]+)/enable"), "POST", lambda desk, name: desk.enable(name)),
)


def respond(desk: Desk, method: bytes, target: bytes) -> Reply:
    """The answer to a whole call."""
    try:
        path = httptools.parse_url(target).path or b"/"
    except httptools.HttpParserInvalidURLError:
        return Reply(HTTPStatus.BAD_REQUEST, "the target is no path")
    for pattern, wanted, act in ROUTES:
        if (match := pattern.fullmatch(path)) is None:
            continue
        if method != wanted.encode():
            return Reply(HTTPStatus.METHOD_NOT_ALLOWED, f"this is asked for by {wanted}", wanted)
        raw = unquote_to_bytes(match[1])
        try:
            name = raw.decode()
        except UnicodeDecodeError:
            return Reply(HTTPStatus.BAD_REQUEST, "the server's id is no UTF-8")
        if len(raw) > MAX_ID or not name.isprintable():
            return Reply(
                HTTPStatus.BAD_REQUEST, f"a server's id has up to {MAX_ID} printable bytes"
            )
        return act(desk, name)
    return Reply(
        HTTPStatus.NOT_FOUND, "there is /-/ready, /-/servers/ID/disable and /-/servers/ID/enable"
    )


class Call:
    """The machine. It gives one answer, and takes nothing after that."""

    def __init__(self, desk: Desk) -> None:
        self.desk = desk
        self.parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self.target = b""
        self.size = 0
        self.whole = False

    def received(self, data: bytes) -> bytes | None:
        """The answer, as soon as the call is whole or can't become one."""
        if self.parser is None:
            return None
        self.size += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self.whole:
                return self.answer(
                    Reply(HTTPStatus.BAD_REQUEST, f"this is no HTTP/1.1 call: {error}")
                )
        if self.whole:
            return self.answer(respond(self.desk, self.parser.get_method(), self.target))
        if self.size > MAX_CALL:
            return self.answer(
                Reply(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, f"a call has up to {MAX_CALL} bytes")
            )
        return None

    def answer(self, reply: Reply) -> bytes:
        self.close()
        return reply.write()

    def close(self) -> None:
        """Part from the parser: the two refer to each other, and would wait for the cyclic
        collector."""
        self.parser = None

    # What the parser finds.

    def on_url(self, url: bytes) -> None:
        if not self.whole:
            self.target += url

    def on_message_complete(self) -> None:
        self.whole = True
