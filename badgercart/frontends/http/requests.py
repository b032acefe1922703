"""What a client's request says, and in which words one that can't be taken is turned away. No I/O.

Source: the protocol's page, section "Clients to nodes"; RFC 9110 for fields, RFC 9457 for problems.
"""

from __future__ import annotations

import json
import re
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import lru_cache
from http import HTTPStatus

import httptools

from badgercart.config import Config
from badgercart.core.clock import now_ms
from badgercart.core.requests import Classifier, InvalidRequestError
from badgercart.core.streams import Upload
from badgercart.upstream.exchange import MAX_BODY_BYTES, MAX_HEADER_SECTION_BYTES, UpstreamRequest

MAX_REQUEST = (
    MAX_HEADER_SECTION_BYTES + 2 * MAX_BODY_BYTES
)  # bytes of a whole request, the framing of its body included
MAX_WHY = 200  # characters of a reason that go into an answer

PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}
_TIMEOUT = re.compile(rb"(\d{1,9}(?:\.\d{1,6})?)([mu])")
_DIGITS = re.compile(rb"\d{1,9}")
OWN = frozenset(  # headers that concern one connection only, or that each attempt writes anew
    (b"connection", b"keep-alive", b"proxy-connection", b"te", b"trailer", b"transfer-encoding", b"upgrade",
     b"expect", b"content-length", b"request-timeout")
)  # fmt: skip


class BadRequest(Exception):
    """A request that can't be taken: the status, why, and header lines that go with it."""

    def __init__(self, status: int, why: str, extra: bytes = b"") -> None:
        super().__init__(why)
        self.status, self.why, self.extra = status, why, extra


@dataclass(slots=True)
class ClientRequest:
    """A checked request."""

    message: UpstreamRequest
    name: bytes  # its Request-Id
    cls: int
    tenant: int
    key: int
    sent: float  # as near as the node can tell
    timeout: float  # ms from then until the client gives up
    hint: float  # the client's guess at the work in ms, 0: none
    repeat: bool  # marked as the client's retry
    old: bool = field(default=False, kw_only=True)  # of HTTP/1.0, which knows no chunks


class Health:
    """The front asks whether the node can serve."""


@dataclass(slots=True, frozen=True)
class Page:
    """What operators may ask a listener for."""

    body: Callable[[], bytes]
    content_type: bytes = b"application/json"


Item = ClientRequest | BadRequest | Health | Page


class Headers:
    """The headers of one request: what the node reads of them, and the lines that go on."""

    __slots__ = (
        "coding", "expects", "fault", "got", "hint", "key", "length", "lines", "old", "repeat", "request_id",
        "size", "tenant", "timeout", "upload", "whole",
    )  # fmt: skip

    def __init__(self) -> None:
        self.lines: list[bytes] = []
        self.size = self.length = 0
        self.got = 0  # bytes of the body
        self.expects = self.whole = False
        self.upload: Upload | None = (
            None  # what the rest of the body comes by, where it is not whole
        )
        self.old = False  # of HTTP/1.0, which knows no chunks
        self.fault = ""  # what is wrong with them, the first of it
        self.request_id: bytes | None = None
        self.tenant: bytes | None = None
        self.key: bytes | None = None
        self.coding: bytes | None = None
        self.timeout: float | None = None
        self.hint, self.repeat = 0.0, False

    def blame(self, why: str) -> None:
        self.fault = self.fault or why

    # One for each field that the node reads.

    def read_request_id(self, value: bytes) -> None:
        if self.request_id is not None:
            self.blame("Request-Id stands there twice")
        self.request_id = value

    def read_tenant(self, value: bytes) -> None:
        if self.tenant is not None:
            self.blame("Tenant stands there twice")
        self.tenant = value

    def read_key(self, value: bytes) -> None:
        if self.key is not None:
            self.blame("Idempotency-Key stands there twice")
        elif not value:
            self.blame("Idempotency-Key is empty")
        self.key = value

    def read_timeout(self, value: bytes) -> None:
        match = _TIMEOUT.fullmatch(value)
        if self.timeout is not None:
            self.blame("Request-Timeout stands there twice")
        elif match is None:
            self.blame("Request-Timeout is no number with a unit, as 480m (ms) or 1500u (µs)")
        else:
            self.timeout = float(match[1]) / (1 if match[2] == b"m" else 1000)

    def read_length(self, value: bytes) -> None:
        self.length = int(value)  # the parser has refused all but digits

    def read_coding(self, value: bytes) -> None:
        if self.coding is not None:
            self.blame("Transfer-Encoding stands there twice")
        self.coding = value

    def read_hint(self, value: bytes) -> None:
        self.hint = (
            int(value) / 1000 if _DIGITS.fullmatch(value) else 0.0
        )  # a guess may be left out

    def read_repeat(self, value: bytes) -> None:
        self.repeat = value == b"1"

    def read_expect(self, value: bytes) -> None:
        self.expects = value.lower() == b"100-continue"


READ: dict[bytes, Callable[[Headers, bytes], None]] = {
    b"request-id": Headers.read_request_id,
    b"tenant": Headers.read_tenant,
    b"idempotency-key": Headers.read_key,
    b"request-timeout": Headers.read_timeout,
    b"content-length": Headers.read_length,
    b"transfer-encoding": Headers.read_coding,
    b"work-hint": Headers.read_hint,
    b"client-retry": Headers.read_repeat,
    b"expect": Headers.read_expect,
}

# Method, target, headers and body of a request into what is taken; BadRequest where it can't be.
Read = Callable[[bytes, bytes, Headers, bytes], ClientRequest]


def platform_requests(config: Config, streams: bool = False) -> Read:
    """Reads requests of the platform's protocol; whether long answers to them go on as they
    come."""
    classifier = Classifier(config)

    def read(method: bytes, url: bytes, headers: Headers, body: bytes) -> ClientRequest:
        upload = headers.upload
        if headers.fault:
            raise BadRequest(400, headers.fault)
        if headers.timeout is None:
            raise BadRequest(400, "no Request-Timeout")
        if (body or upload is not None) and method == b"GET":
            raise BadRequest(400, "a GET has no body")
        if not url.startswith(b"/"):
            url = origin_form(url)
        try:
            found = classifier.classify(
                method, url, headers.request_id, headers.tenant, headers.key
            )
        except InvalidRequestError as error:
            allow = b"Allow: %b\r\n" % error.allowed_method if error.allowed_method else b""
            raise BadRequest(error.status, str(error), allow) from None
        if upload is not None and upload.body_length is None:
            headers.lines.append(b"Transfer-Encoding: chunked\r\n")
        elif method == b"POST":
            length = (
                len(body) if upload is None or upload.body_length is None else upload.body_length
            )
            headers.lines.append(b"Content-Length: %d\r\n" % length)
        head = b"%b %b HTTP/1.1\r\n%b" % (method, url, b"".join(headers.lines))
        return ClientRequest(
            message=UpstreamRequest(head, body if upload is None else b"", upload, streams),
            name=found.request_name,
            cls=found.class_index,
            tenant=found.tenant,
            key=found.key,
            sent=now_ms(),
            timeout=headers.timeout,
            hint=headers.hint,
            repeat=headers.repeat,
            old=headers.old,
        )

    return read


def origin_form(url: bytes) -> bytes:
    """The path and query of a target in absolute form (RFC 9112, section 3.2.2)."""
    try:
        parts = httptools.parse_url(url)
    except httptools.HttpParserInvalidURLError:
        raise BadRequest(400, "the target is neither a path nor a URL") from None
    if parts.schema is None or parts.schema.lower() not in (b"http", b"https"):
        raise BadRequest(400, "no path from the root")
    query = b"?" + parts.query if parts.query else b""
    return (parts.path or b"/") + query


# In which words: the status and the reason into a content type and a body.
Words = Callable[[int, str], tuple[bytes, bytes]]


def no_words(status: int, why: str) -> tuple[bytes, bytes]:
    """The platform's node says it by the status alone."""
    return b"", b""


@lru_cache(maxsize=256)  # the same few reasons over and over
def problem(status: int, why: str) -> tuple[bytes, bytes]:
    """A problem document (RFC 9457, section 3)."""
    title = PHRASES.get(status, b"").decode()
    told = {"type": "about:blank", "title": title, "status": status, "detail": why[:MAX_WHY]}
    return b"application/problem+json", json.dumps(told).encode()
