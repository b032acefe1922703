"""The bytes of every answer that a client can get, by each form of the listener, against golden
files."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

import pytest

from badgercart.core.memory_budget import MemoryBudget
from badgercart.core.ports import UpstreamResponse
from badgercart.core.streams import ResponseHeaderSection
from badgercart.frontends.graphql.requests import bad_request
from badgercart.frontends.http.clients import ClientConnection, Listener
from badgercart.frontends.http.requests import (
    ClientRequest,
    Page,
    Words,
    no_words,
    platform_requests,
    problem,
)
from tests.golden import differences
from tests.net import config

GOLDEN = Path(__file__).parent / "golden"


class StillLoop:
    """A loop whose clock stands; what it is to call later is never called."""

    def time(self) -> float:
        return 100.0

    def call_later(self, *_: Any) -> Any:
        return None

    def call_soon(self, call: Callable[[], None]) -> None:
        call()


class Wire:
    """A transport that keeps what is written."""

    def __init__(self) -> None:
        self.out = b""
        self.ended = False

    def write(self, data: bytes) -> None:
        self.out += data

    def is_closing(self) -> bool:
        return self.ended

    def can_write_eof(self) -> bool:
        return True

    def write_eof(self) -> None:
        self.out += b"<end>"

    def abort(self) -> None:
        self.ended = True
        self.out += b"<abort>"

    def pause_reading(self) -> None: ...

    def resume_reading(self) -> None: ...

    def set_write_buffer_limits(self, high: int) -> None: ...


class Taker:
    """What takes requests; each is kept, and answered by the test."""

    def __init__(self) -> None:
        self.stopping, self.healthy = False, True
        self.pages: Mapping[bytes, Page] = {
            b"/metrics": Page(lambda: b"up 1\n", b"text/plain; version=0.0.4")
        }
        self.taken: list[ClientRequest] = []

    def take(self, client: ClientConnection, request: ClientRequest) -> None:
        self.taken.append(request)

    def whole(self, client: ClientConnection, request: ClientRequest) -> None: ...

    def withdraw(self, request_id: int) -> None: ...


class Stand:
    """One connection on a listener that opens nothing."""

    def __init__(self, words: Words = no_words, streams: bool = True) -> None:
        loop: Any = StillLoop()
        self.taker = Taker()
        room = MemoryBudget(8 << 20) if streams else None
        read = platform_requests(config(1, tenants={b"acme": 0}), streams=True)
        listener = Listener(loop, ("127.0.0.1", 0), self.taker, 30, read, words, room)
        self.listener = listener
        self.client = ClientConnection(listener)
        self.wire: Any = Wire()
        self.client.connection_made(self.wire)

    def hear(self, data: bytes) -> Stand:
        self.client.machine.received(data, 100.0)
        return self

    def got(self) -> bytes:
        out, self.wire.out = self.wire.out, b""
        return bytes(out)


def head(line: str = "GET /find/cab7 HTTP/1.1", *more: str, without: str = "") -> bytes:
    """A request of the class `find` with what it must have, and lines that follow."""
    lines = [line, "Host: x", "Request-Id: r1", "Request-Timeout: 800m", "Tenant: acme"]
    lines = [text for text in lines if not without or not text.startswith(without)]
    return ("\r\n".join([*lines, *more]) + "\r\n\r\n").encode()


POST = "POST /pay/7 HTTP/1.1"
TURNED_AWAY: dict[str, bytes] = {
    "no request": b"nonsense\r\n\r\n",
    "no id": head(without="Request-Id"),
    "empty id": head("GET /find/cab7 HTTP/1.1", "Request-Id:", without="Request-Id"),
    "two ids": head("GET /find/cab7 HTTP/1.1", "Request-Id: r2"),
    "two tenants": head("GET /find/cab7 HTTP/1.1", "Tenant: b"),
    "two keys": head(POST, "Idempotency-Key: a", "Idempotency-Key: b"),
    "empty key": head(POST, "Idempotency-Key: "),
    "no timeout": head(without="Request-Timeout"),
    "two timeouts": head("GET /find/cab7 HTTP/1.1", "Request-Timeout: 1m"),
    "a timeout without unit": head(
        "GET /find/1 HTTP/1.1", "Request-Timeout: 1", without="Request-T"
    ),
    "no tenant": head(without="Tenant"),
    "unknown tenant": head("GET /find/cab7 HTTP/1.1", "Tenant: other", without="Tenant"),
    "no class": head("GET /nothing HTTP/1.1"),
    "by POST": head("POST /find/cab7 HTTP/1.1"),
    "by GET": head("GET /pay/7 HTTP/1.1"),
    "no key": head("POST /book/7 HTTP/1.1"),
    "a key too many": head(POST, "Idempotency-Key: a"),
    "a GET with a body": head("GET /find/cab7 HTTP/1.1", "Content-Length: 1") + b"x",
    "no path": head("GET ftp://x/find HTTP/1.1"),
    "no target": head("GET http:// HTTP/1.1"),
    "a path that is none": head("OPTIONS * HTTP/1.1"),
    "another coding": head(POST, "Transfer-Encoding: gzip"),
    "two codings": head(POST, "Transfer-Encoding: chunked", "Transfer-Encoding: chunked"),
    "chunks in HTTP/1.0": head("POST /pay/7 HTTP/1.0", "Transfer-Encoding: chunked"),
    "HTTP/2.0": head("GET /find/cab7 HTTP/2.0"),
    "a long body": head(POST, "Content-Length: 70000000"),
    "a long header": head("GET /find/cab7 HTTP/1.1", "X: " + "y" * 17000),
    "a long target": b"GET /" + b"a" * 17000,
    "a long chunk extension": head(POST, "Transfer-Encoding: chunked") + b"1;" + b"x" * 200_000,
    "a page by POST": head("POST /metrics HTTP/1.1"),
    "health by POST": head("POST /_health HTTP/1.1"),
    "an upgrade": head("PUT /find/cab7 HTTP/1.1", "Connection: upgrade", "Upgrade: websocket"),
}


def turned_away(words: Words, streams: bool) -> dict[str, bytes]:
    pieces = {}
    for name, data in TURNED_AWAY.items():
        stand = Stand(words, streams).hear(data)
        assert not stand.taker.taken
        pieces[name] = stand.got()
    twice = Stand(words, streams).hear(head() + head())
    twice.client.on_response(UpstreamResponse(200, b"one"))
    pieces["an id that is open"] = twice.got()
    late = Stand(words, streams).hear(head()[:40])
    late.client.machine.overdue(104.0)
    pieces["a request that does not come in whole"] = late.got()
    return pieces


def answers(words: Words) -> dict[str, bytes]:
    pieces = {}
    for name, answer in {
        "served": UpstreamResponse(200, b"done", b"application/json"),
        "served without type": UpstreamResponse(200, b"done"),
        "empty": UpstreamResponse(204),
        "the request's fault": UpstreamResponse(404, b"no such ride", b"text/plain"),
        "an unknown status": UpstreamResponse(499, b"x"),
    }.items():
        stand = Stand(words).hear(head())
        stand.client.on_response(answer)
        pieces[name] = stand.got()
    for wait in (0.0, 0.4, 250.0, 250.4, 1234.5678, 60_000.0):
        stand = Stand(words).hear(head())
        stand.client.on_shed(wait)
        pieces[f"refused, {wait} ms"] = stand.got()
    for broken in (False, True):
        stand = Stand(words).hear(head())
        stand.client.on_failure(broken)
        pieces["the node failed" if broken else "failed"] = stand.got()
    return pieces


def ends() -> dict[str, bytes]:
    """Whether the connection goes on."""
    pieces = {}
    for name, data in {
        "close asked for": head("GET /find/cab7 HTTP/1.1", "Connection: close"),
        "HTTP/1.0": head("GET /find/cab7 HTTP/1.0"),
        "HTTP/1.0, kept": head("GET /find/cab7 HTTP/1.0", "Connection: keep-alive"),
        "an upgrade": head("GET /find/cab7 HTTP/1.1", "Connection: upgrade", "Upgrade: websocket"),
    }.items():
        stand = Stand().hear(data)
        stand.client.on_response(UpstreamResponse(200, b"done"))
        pieces[name] = stand.got()
    stand = Stand().hear(head())
    stand.taker.stopping = True
    stand.client.on_shed(100.0)
    pieces["a node that stops"] = stand.got()
    stand = Stand().hear(head())
    stand.listener.limit = 0
    stand.client.on_response(UpstreamResponse(200, b"done"))
    pieces["a crowd"] = stand.got()
    return pieces


def pages() -> dict[str, bytes]:
    pieces = {"health": Stand().hear(b"GET /_health HTTP/1.1\r\n\r\n").got()}
    for name in ("no list", "stopping"):
        stand = Stand()
        stand.taker.healthy, stand.taker.stopping = name != "no list", name == "stopping"
        pieces[f"health, {name}"] = stand.hear(b"GET /_health HTTP/1.1\r\n\r\n").got()
    pieces["a page"] = Stand().hear(b"GET /metrics HTTP/1.1\r\n\r\n").got()
    pieces["a go-ahead"] = (
        Stand().hear(head(POST, "Content-Length: 4", "Expect: 100-continue")).got()
    )
    return pieces


def long_answers() -> dict[str, bytes]:
    pieces = {}
    for version in ("1.1", "1.0"):
        for length in (None, 9):
            stand = Stand().hear(head(f"GET /find/cab7 HTTP/{version}"))
            sink = stand.client.on_response_started(ResponseHeaderSection(200, b"text/csv", length))
            sink.write_body(b"a,b\n")
            sink.write_body(b"")
            sink.write_body(b"c,d\n\n")
            sink.finish_body()
            pieces[f"HTTP/{version}, length {length}"] = stand.got()
    stand = Stand().hear(head())
    sink = stand.client.on_response_started(ResponseHeaderSection(200, b"", None))
    sink.write_body(b"a")
    sink.abort_body()
    pieces["broken off"] = stand.got()
    return pieces


GROUPS: dict[str, Callable[[], dict[str, bytes]]] = {
    "turned-away-node": lambda: turned_away(no_words, True),
    "turned-away-problem": lambda: turned_away(problem, False),
    "turned-away-graphql": lambda: turned_away(bad_request, False),
    "answers-node": lambda: answers(no_words),
    "answers-problem": lambda: answers(problem),
    "answers-graphql": lambda: answers(bad_request),
    "ends": ends,
    "pages": pages,
    "long": long_answers,
}


@pytest.mark.parametrize("group", GROUPS)
def test_clients_get_the_same_bytes(group: str) -> None:
    assert not differences(GOLDEN / f"{group}.txt", GROUPS[group]())
