"""Responses as bytes. No I/O.

Source: RFC 9112, sections 4 and 6.
"""

from __future__ import annotations

from badgercart.core.streams import ResponseHead
from badgercart.frontends.http.error_bodies import REASON_PHRASES

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"
CLOSE_LINE = b"Connection: close\r\n"


def whole_response(
    status: int, body: bytes, content_type: bytes, extra_headers: bytes, keep_alive: bool
) -> bytes:
    """Return a response whose body is known; `extra_headers` are whole header lines."""
    lines = b"HTTP/1.1 %d %b\r\nContent-Length: %d\r\n%b" % (
        status,
        REASON_PHRASES.get(status, b""),
        len(body),
        extra_headers,
    )
    if content_type:
        lines += b"Content-Type: %b\r\n" % content_type
    return b"%b%b\r\n%b" % (lines, b"" if keep_alive else CLOSE_LINE, body)


def streamed_head(head: ResponseHead, chunked: bool, keep_alive: bool) -> bytes:
    """Return the head of a response whose body is streamed, in chunks where its length is open."""
    lines = b"Transfer-Encoding: chunked\r\n" if chunked else b""
    if head.length is not None:
        lines = b"Content-Length: %d\r\n" % head.length
    if head.content_type:
        lines += b"Content-Type: %b\r\n" % head.content_type
    if not keep_alive:
        lines += CLOSE_LINE
    status_line = b"HTTP/1.1 %d %b\r\n" % (head.status, REASON_PHRASES.get(head.status, b""))
    return status_line + lines + b"\r\n"


def chunk(data: bytes) -> bytes:
    """Return a part of a body as a chunk."""
    return b"%x\r\n%b\r\n" % (len(data), data)
