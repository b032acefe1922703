"""The bytes that servers receive for each form of request from a client, by golden files."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import pytest

from badgercart.upstream.exchange import Exchange
from tests.frontends.test_golden import POST, ConnectionHarness, head
from tests.golden import differences

GOLDEN = Path(__file__).parent / "golden"

FORWARDED: dict[str, bytes] = {
    "GET": head(),
    "GET with a query": head("GET /find/cab7?x=1&y=%20 HTTP/1.1"),
    "absolute form": head("GET http://host:81/find/cab7?x=1 HTTP/1.1"),
    "HTTP/1.0": head("GET /find/cab7 HTTP/1.0"),
    "headers of its own": head("GET /find/cab7 HTTP/1.1", "X-Trace:  a b \t", "x-trace: c", "Empty:"),
    "hints": head("GET /find/cab7 HTTP/1.1", "Work-Hint: 1500", "Client-Retry: 1"),
    "headers of one connection": head(
        "GET /find/cab7 HTTP/1.1", "Connection: close", "Keep-Alive: 5", "Proxy-Connection: close", "TE: x",
        "Trailer: X", "Expect: other", "Upgrade: h2c",
    ),
    "POST without a body": head(POST),
    "POST with a body": head(POST, "Content-Length: 5") + b"a\r\nbc",
    "POST in chunks": head(POST, "Transfer-Encoding: chunked")
    + b"2\r\nab\r\n1;x=y\r\nc\r\n0\r\nT: u\r\n\r\n",
    "POST with a key": head("POST /book/7 HTTP/1.1", "Idempotency-Key: k1"),
}  # fmt: skip


def forwarded() -> dict[str, bytes]:
    """Return the forwarded bytes of each form of request, and for some remaining times."""
    pieces = {}
    for name, data in FORWARDED.items():
        (request,) = ConnectionHarness().receive(data).handler.requests
        pieces[name] = Exchange().start_request(request.message, 750.9)
    for left in (-5.0, 0.2, 1.0, 999.999, 123_456.7):
        (request,) = ConnectionHarness().receive(head()).handler.requests
        pieces[f"{left} ms left"] = Exchange().start_request(request.message, left)
    return pieces


def long_bodies() -> dict[str, bytes]:
    """Return streamed bodies: in the client's framing, in pieces that the node chooses."""
    pieces = {}
    size = 70_000
    for name, line in {
        "length": f"Content-Length: {size}",
        "chunks": "Transfer-Encoding: chunked",
    }.items():
        start = bytes(size - 3)
        start = b"%x\r\n%b\r\n" % (len(start), start) if name == "chunks" else start
        end = b"3\r\nend\r\n0\r\n\r\n" if name == "chunks" else b"end"
        harness = ConnectionHarness().receive(head(POST, line) + start)
        (request,) = harness.handler.requests
        exchange = Exchange()
        sent = [exchange.start_request(request.message, 750.0), exchange.read_upload()]
        harness.receive(end)
        sent += [exchange.read_upload(), exchange.read_upload()]
        pieces[name] = b"|".join(sent).replace(bytes(size - 3), b"<zeros>")
    return pieces


GROUPS: dict[str, Callable[[], dict[str, bytes]]] = {
    "forwarded": forwarded,
    "long-bodies": long_bodies,
}


@pytest.mark.parametrize("group", GROUPS)
def test_forwarded_bytes_are_unchanged(group: str) -> None:
    assert not differences(GOLDEN / f"{group}.txt", GROUPS[group]())
