"""Parses requests of the platform's protocol. No I/O.

Source: the protocol's page, section "Clients to nodes"; RFC 9110 for fields.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import httptools

from badgercart.config import Config
from badgercart.core.clock import now_ms
from badgercart.core.requests import InvalidRequestError, RequestClassifier
from badgercart.frontends.http.errors import BadRequestError
from badgercart.frontends.http.headers import RequestHeaders
from badgercart.upstream.exchange import MAX_BODY_BYTES, MAX_HEAD_BYTES, UpstreamRequest

MAX_REQUEST_BYTES = MAX_HEAD_BYTES + 2 * MAX_BODY_BYTES  # with the framing of its body


@dataclass(slots=True)
class ClientRequest:
    """A valid request."""

    upstream_request: UpstreamRequest
    request_name: bytes  # its Request-Id
    class_index: int
    tenant: int
    key: int
    sent_ms: float  # as near as the node can tell
    timeout_ms: float  # from then until the client gives up
    expected_work_ms: float  # the client's estimate, 0: none
    is_client_retry: bool
    is_http_1_0: bool = field(default=False, kw_only=True)  # which knows no chunks


class HealthCheck:
    """A request that asks whether the node can serve."""


@dataclass(slots=True, frozen=True)
class Page:
    """What operators may ask a listener for."""

    body: Callable[[], bytes]
    content_type: bytes = b"application/json"


# What a connection serves, in its order.
QueuedItem = ClientRequest | BadRequestError | HealthCheck | Page

# Method, target, headers and body of a request into what is accepted; raises BadRequestError.
RequestParser = Callable[[bytes, bytes, RequestHeaders, bytes], ClientRequest]


def platform_request_parser(config: Config, accepts_streaming: bool = False) -> RequestParser:
    """Return the parser of one node's requests; whether long responses to them may be streamed."""
    classifier = RequestClassifier(config)

    def parse(method: bytes, target: bytes, headers: RequestHeaders, body: bytes) -> ClientRequest:
        stream = headers.body_stream
        if headers.fault:
            raise BadRequestError(400, headers.fault)
        if headers.timeout_ms is None:
            raise BadRequestError(400, "no Request-Timeout")
        if (body or stream is not None) and method == b"GET":
            raise BadRequestError(400, "a GET has no body")
        if not target.startswith(b"/"):
            target = origin_form(target)
        try:
            classified = classifier.classify(
                method, target, headers.request_id, headers.tenant, headers.idempotency_key
            )
        except InvalidRequestError as error:
            allowed = error.allowed_method
            allow = b"Allow: %b\r\n" % allowed if allowed else b""
            raise BadRequestError(error.status, error.reason, allow) from error
        head = forwarded_head(method, target, headers, body)
        return ClientRequest(
            upstream_request=UpstreamRequest(
                head, body if stream is None else b"", stream, accepts_streaming
            ),
            request_name=classified.request_name,
            class_index=classified.class_index,
            tenant=classified.tenant,
            key=classified.key,
            sent_ms=now_ms(),
            timeout_ms=headers.timeout_ms,
            expected_work_ms=headers.expected_work_ms,
            is_client_retry=headers.is_client_retry,
            is_http_1_0=headers.is_http_1_0,
        )

    return parse


def forwarded_head(method: bytes, target: bytes, headers: RequestHeaders, body: bytes) -> bytes:
    """Return the request line and header lines as they are forwarded."""
    lines, stream = headers.forwarded_lines, headers.body_stream
    if stream is not None and stream.length is None:
        lines.append(b"Transfer-Encoding: chunked\r\n")
    elif method == b"POST":
        length = len(body) if stream is None or stream.length is None else stream.length
        lines.append(b"Content-Length: %d\r\n" % length)
    return b"%b %b HTTP/1.1\r\n%b" % (method, target, b"".join(lines))


def origin_form(target: bytes) -> bytes:
    """Return the path and query of a target in absolute form (RFC 9112, section 3.2.2).

    Raises:
        BadRequestError: the target is neither a path nor an HTTP URL.
    """
    try:
        url = httptools.parse_url(target)
    except httptools.HttpParserInvalidURLError as error:
        raise BadRequestError(400, "the target is neither a path nor a URL") from error
    if url.schema is None or url.schema.lower() not in (b"http", b"https"):
        raise BadRequestError(400, "no path from the root")
    query = b"?" + url.query if url.query else b""
    return (url.path or b"/") + query
