"""The headers of one request: what the node reads of them, and the lines that are forwarded."""

from __future__ import annotations

import re
from collections.abc import Callable

from badgercart.core.streams import StreamedBody

_TIMEOUT = re.compile(rb"(\d{1,9}(?:\.\d{1,6})?)([mu])")
_DIGITS = re.compile(rb"\d{1,9}")
# Headers that concern one connection only, or that each attempt writes anew.
HOP_BY_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"content-length",
        b"request-timeout",
    )
)


class RequestHeaders:
    """What has been read of a request's headers, while it is received."""

    __slots__ = (
        "body_bytes",
        "body_stream",
        "complete",
        "content_length",
        "expected_work_ms",
        "expects_continue",
        "fault",
        "forwarded_lines",
        "idempotency_key",
        "is_client_retry",
        "is_http_1_0",
        "request_id",
        "size_bytes",
        "tenant",
        "timeout_ms",
        "transfer_coding",
    )

    def __init__(self) -> None:
        """Set up the headers of a request of which nothing was read."""
        self.forwarded_lines: list[bytes] = []
        self.size_bytes = 0
        self.content_length = 0
        self.body_bytes = 0  # received so far
        self.expects_continue = False
        self.complete = False
        self.body_stream: StreamedBody | None = None
        self.is_http_1_0 = False  # which knows no chunks
        self.fault = ""  # the first thing that is wrong with them
        self.request_id: bytes | None = None
        self.tenant: bytes | None = None
        self.idempotency_key: bytes | None = None
        self.transfer_coding: bytes | None = None
        self.timeout_ms: float | None = None
        self.expected_work_ms = 0.0  # 0: not given
        self.is_client_retry = False

    def reject(self, reason: str) -> None:
        """Note that the headers can't be accepted, unless something else is wrong already."""
        self.fault = self.fault or reason

    def read_request_id(self, value: bytes) -> None:
        """Read Request-Id."""
        if self.request_id is not None:
            self.reject("Request-Id stands there twice")
        self.request_id = value

    def read_tenant(self, value: bytes) -> None:
        """Read Tenant."""
        if self.tenant is not None:
            self.reject("Tenant stands there twice")
        self.tenant = value

    def read_idempotency_key(self, value: bytes) -> None:
        """Read Idempotency-Key."""
        if self.idempotency_key is not None:
            self.reject("Idempotency-Key stands there twice")
        elif not value:
            self.reject("Idempotency-Key is empty")
        self.idempotency_key = value

    def read_timeout(self, value: bytes) -> None:
        """Read Request-Timeout, in milliseconds (m) or microseconds (u)."""
        match = _TIMEOUT.fullmatch(value)
        if self.timeout_ms is not None:
            self.reject("Request-Timeout stands there twice")
        elif match is None:
            self.reject("Request-Timeout is no number with a unit, as 480m (ms) or 1500u (µs)")
        else:
            self.timeout_ms = float(match[1]) / (1 if match[2] == b"m" else 1000)

    def read_content_length(self, value: bytes) -> None:
        """Read Content-Length; the parser has rejected all but digits."""
        self.content_length = int(value)

    def read_transfer_coding(self, value: bytes) -> None:
        """Read Transfer-Encoding."""
        if self.transfer_coding is not None:
            self.reject("Transfer-Encoding stands there twice")
        self.transfer_coding = value

    def read_expected_work(self, value: bytes) -> None:
        """Read Work-Hint (µs); an estimate may be left out, and so a malformed one is."""
        self.expected_work_ms = int(value) / 1000 if _DIGITS.fullmatch(value) else 0.0

    def read_client_retry(self, value: bytes) -> None:
        """Read Client-Retry."""
        self.is_client_retry = value == b"1"

    def read_expect(self, value: bytes) -> None:
        """Read Expect."""
        self.expects_continue = value.lower() == b"100-continue"


HEADER_READERS: dict[bytes, Callable[[RequestHeaders, bytes], None]] = {
    b"request-id": RequestHeaders.read_request_id,
    b"tenant": RequestHeaders.read_tenant,
    b"idempotency-key": RequestHeaders.read_idempotency_key,
    b"request-timeout": RequestHeaders.read_timeout,
    b"content-length": RequestHeaders.read_content_length,
    b"transfer-encoding": RequestHeaders.read_transfer_coding,
    b"work-hint": RequestHeaders.read_expected_work,
    b"client-retry": RequestHeaders.read_client_retry,
    b"expect": RequestHeaders.read_expect,
}
