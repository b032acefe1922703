"""Parsed requests of HTTP clients, and the bodies of error responses. No I/O.

Sources: the protocol documentation, section "Clients to nodes"; RFC 9110 for header fields;
RFC 9457 for problem documents.
"""

from __future__ import annotations

import json
import math
import re
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import lru_cache
from http import HTTPStatus

import httptools

from badgercart.config import Config
from badgercart.core.clock import now_ms
from badgercart.core.piece_buffer import Body
from badgercart.core.requests import Classifier, InvalidRequestError
from badgercart.core.streams import Upload
from badgercart.upstream.exchange import MAX_BODY_BYTES, MAX_HEADER_SECTION_BYTES, UpstreamRequest

# The size of a request that is buffered completely, including the framing of its body.
MAX_REQUEST_BYTES = MAX_HEADER_SECTION_BYTES + 2 * MAX_BODY_BYTES
MAX_REASON_CHARS = 200  # of the reason that an error response states

REASON_PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}
_TIMEOUT_PATTERN = re.compile(rb"(\d{1,9}(?:\.\d{1,6})?)([mu])")
_DIGITS_PATTERN = re.compile(rb"\d{1,9}")
# Headers that concern one connection only, or that are written anew for each attempt.
UNFORWARDED_HEADERS = frozenset(
    (b"connection", b"keep-alive", b"proxy-connection", b"te", b"trailer", b"transfer-encoding", b"upgrade",
     b"expect", b"content-length", b"request-timeout")
)  # fmt: skip


class BadRequestError(Exception):
    """A request that is rejected.

    Args:
        status: the HTTP status of the response.
        reason: why the request is rejected.
        extra_headers: complete header lines to add to the response.
    """

    def __init__(self, status: int, reason: str, extra_headers: bytes = b"") -> None:
        super().__init__(reason)
        self.status, self.reason, self.extra_headers = status, reason, extra_headers


@dataclass(slots=True)
class ClientRequest:
    """A valid request of a client."""

    message: UpstreamRequest
    request_name: bytes  # the Request-Id header
    class_index: int
    tenant: int
    key: int
    sent_ms: float  # when the client sent the request, as near as the node can tell
    timeout_ms: float  # after `sent_ms` the client gives up
    expected_work_ms: float  # the client's estimate; 0 if it gives none
    is_client_retry: bool  # marked by the client as its own retry
    is_http10: bool = field(default=False, kw_only=True)  # HTTP/1.0 has no chunked encoding


class HealthCheck:
    """A request that asks whether the node can serve."""


@dataclass(slots=True, frozen=True)
class OperatorPage:
    """A page for operators on a listener for clients."""

    render: Callable[[], bytes]
    content_type: bytes = b"application/json"


ParsedRequest = ClientRequest | BadRequestError | HealthCheck | OperatorPage


class RequestHeaders:
    """The headers of one request: the fields that the node reads, and the lines to forward."""

    __slots__ = (
        "body_bytes", "complete", "content_length", "expected_work_ms", "expects_continue",
        "fault", "field_count", "forwarded_lines", "header_bytes", "idempotency_key", "is_client_retry", "is_http10",
        "request_id", "tenant", "timeout_ms", "transfer_encoding", "upload", "waited_ms", "waited_since_ms",
    )  # fmt: skip

    def __init__(self) -> None:
        self.forwarded_lines = bytearray()  # one buffer, as there may be thousands of lines
        self.header_bytes = self.content_length = self.field_count = 0
        self.body_bytes = 0  # received so far
        self.expects_continue = self.complete = False
        # The clock time since which it has waited for its connection to be accepted; infinite: it has not.
        self.waited_since_ms = math.inf
        self.waited_ms = 0.0  # since its last byte was received, behind other requests
        # The body, where it is streamed; None where it is buffered.
        self.upload: Upload | None = None
        self.is_http10 = False  # HTTP/1.0 has no chunked encoding
        self.fault = ""  # the first error in the headers; empty if there is none
        self.request_id: bytes | None = None
        self.tenant: bytes | None = None
        self.idempotency_key: bytes | None = None
        self.transfer_encoding: bytes | None = None
        self.timeout_ms: float | None = None
        self.expected_work_ms, self.is_client_retry = 0.0, False

    def record_fault(self, reason: str) -> None:
        """Record an error in the headers; only the first one is kept."""
        self.fault = self.fault or reason

    # One method for each field that the node reads.

    def read_request_id(self, value: bytes) -> None:
        """Read `Request-Id`."""
        if self.request_id is not None:
            self.record_fault("Request-Id stands there twice")
        self.request_id = value

    def read_tenant(self, value: bytes) -> None:
        """Read `Tenant`."""
        if self.tenant is not None:
            self.record_fault("Tenant stands there twice")
        self.tenant = value

    def read_idempotency_key(self, value: bytes) -> None:
        """Read `Idempotency-Key`, which must not be empty."""
        if self.idempotency_key is not None:
            self.record_fault("Idempotency-Key stands there twice")
        elif not value:
            self.record_fault("Idempotency-Key is empty")
        self.idempotency_key = value

    def read_timeout(self, value: bytes) -> None:
        """Read `Request-Timeout`: a number with the unit m (milliseconds) or u (microseconds)."""
        match = _TIMEOUT_PATTERN.fullmatch(value)
        if self.timeout_ms is not None:
            self.record_fault("Request-Timeout stands there twice")
        elif match is None:
            self.record_fault(
                "Request-Timeout is no number with a unit, as 480m (ms) or 1500u (µs)"
            )
        else:
            self.timeout_ms = float(match[1]) / (1 if match[2] == b"m" else 1000)

    def read_content_length(self, value: bytes) -> None:
        """Read `Content-Length`; the parser has rejected anything but digits."""
        self.content_length = int(value)

    def read_transfer_encoding(self, value: bytes) -> None:
        """Read `Transfer-Encoding`."""
        if self.transfer_encoding is not None:
            self.record_fault("Transfer-Encoding stands there twice")
        self.transfer_encoding = value

    def read_work_hint(self, value: bytes) -> None:
        """Read `Work-Hint` in microseconds; it is optional, so an invalid one is ignored."""
        self.expected_work_ms = int(value) / 1000 if _DIGITS_PATTERN.fullmatch(value) else 0.0

    def read_client_retry(self, value: bytes) -> None:
        """Read `Client-Retry`."""
        self.is_client_retry = value == b"1"

    def read_expect(self, value: bytes) -> None:
        """Read `Expect`."""
        self.expects_continue = value.lower() == b"100-continue"


HEADER_READERS: dict[bytes, Callable[[RequestHeaders, bytes], None]] = {
    b"request-id": RequestHeaders.read_request_id,
    b"tenant": RequestHeaders.read_tenant,
    b"idempotency-key": RequestHeaders.read_idempotency_key,
    b"request-timeout": RequestHeaders.read_timeout,
    b"content-length": RequestHeaders.read_content_length,
    b"transfer-encoding": RequestHeaders.read_transfer_encoding,
    b"work-hint": RequestHeaders.read_work_hint,
    b"client-retry": RequestHeaders.read_client_retry,
    b"expect": RequestHeaders.read_expect,
}

# Checks a request given by method, target, headers and body. Raises BadRequestError.
RequestReader = Callable[[bytes, bytes, RequestHeaders, Body], ClientRequest]


def platform_request_reader(config: Config, stream_responses: bool = False) -> RequestReader:
    """Return a reader for requests of the platform's protocol.

    `stream_responses`: whether long responses to them may be streamed.
    """
    classifier = Classifier(config)

    def read(method: bytes, url: bytes, headers: RequestHeaders, body: Body) -> ClientRequest:
        upload = headers.upload
        if headers.fault:
            raise BadRequestError(400, headers.fault)
        if headers.timeout_ms is None:
            raise BadRequestError(400, "no Request-Timeout")
        if (body or upload is not None) and method == b"GET":
            raise BadRequestError(400, "a GET has no body")
        if not url.startswith(b"/"):
            url = origin_form(url)
        try:
            found = classifier.classify(
                method, url, headers.request_id, headers.tenant, headers.idempotency_key
            )
        except InvalidRequestError as error:
            allow = b"Allow: %b\r\n" % error.allowed_method if error.allowed_method else b""
            raise BadRequestError(error.status, str(error), allow) from None
        if upload is not None and upload.body_length is None:
            headers.forwarded_lines += b"Transfer-Encoding: chunked\r\n"
        elif method == b"POST":
            length = (
                len(body) if upload is None or upload.body_length is None else upload.body_length
            )
            headers.forwarded_lines += b"Content-Length: %d\r\n" % length
        head = b"%b %b HTTP/1.1\r\n%b" % (method, url, headers.forwarded_lines)
        headers.forwarded_lines.clear()
        return ClientRequest(
            message=UpstreamRequest(
                head, body if upload is None else b"", upload, stream_responses
            ),
            request_name=found.request_name,
            class_index=found.class_index,
            tenant=found.tenant,
            key=found.key,
            sent_ms=now_ms() - headers.waited_ms,
            timeout_ms=headers.timeout_ms,
            expected_work_ms=headers.expected_work_ms,
            is_client_retry=headers.is_client_retry,
            is_http10=headers.is_http10,
        )

    return read


def origin_form(url: bytes) -> bytes:
    """Return path and query of a target in absolute form (RFC 9112, section 3.2.2)."""
    try:
        parts = httptools.parse_url(url)
    except httptools.HttpParserInvalidURLError:
        raise BadRequestError(400, "the target is neither a path nor a URL") from None
    if parts.schema is None or parts.schema.lower() not in (b"http", b"https"):
        raise BadRequestError(400, "no path from the root")
    query = b"?" + parts.query if parts.query else b""
    return (parts.path or b"/") + query


# Returns content type and body of an error response with this status and reason.
ErrorBodyFormatter = Callable[[int, str], tuple[bytes, bytes]]


def empty_error_body(status: int, reason: str) -> tuple[bytes, bytes]:
    """Return no body: the platform's protocol reports an error by the status alone."""
    return b"", b""


@lru_cache(maxsize=256)  # the same few reasons occur again and again
def problem_document(status: int, reason: str) -> tuple[bytes, bytes]:
    """Return a problem document (RFC 9457, section 3)."""
    title = REASON_PHRASES.get(status, b"").decode()
    problem = {
        "type": "about:blank",
        "title": title,
        "status": status,
        "detail": reason[:MAX_REASON_CHARS],
    }
    return b"application/problem+json", json.dumps(problem).encode()
