"""Parses and routes one admin request without I/O: bytes in, the complete response out.

Each connection has a single HTTP/1.1 request (RFC 9112). `ROUTES` has all requests.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Protocol
from urllib.parse import unquote_to_bytes

import httptools

MAX_REQUEST_BYTES = 8192
MAX_SERVER_ID_BYTES = 256


@dataclass(slots=True, frozen=True)
class AdminResponse:
    """A response with one line of text.

    Attributes:
        status: the HTTP status.
        line: the body.
        allow: the allowed method, for the Allow header; empty without one.
    """

    status: HTTPStatus
    line: str
    allow: str = ""

    def encode(self) -> bytes:
        """Return the response in HTTP/1.1."""
        body = f"{self.line}\n".encode()
        allow = f"Allow: {self.allow}\r\n" if self.allow else ""
        header_section = (
            f"HTTP/1.1 {self.status.value} {self.status.phrase}\r\n"
            f"Content-Type: text/plain; charset=utf-8\r\nContent-Length: {len(body)}\r\n"
            f"{allow}Connection: close\r\n\r\n"
        )
        return header_section.encode() + body


class AdminHandlers(Protocol):
    """The interface of the handlers that execute admin requests."""

    def ready(self) -> AdminResponse:
        """Respond whether the node can serve."""

    def disable(self, name: str) -> AdminResponse:
        """Eject a server."""

    def enable(self, name: str) -> AdminResponse:
        """Reinstate a server."""


@dataclass(slots=True, frozen=True)
class Route:
    """The method and handler for a path pattern, whose group is the id of a server."""

    path: re.Pattern[bytes]
    method: str
    handle: Callable[[AdminHandlers, str], AdminResponse]


ROUTES = (
    Route(re.compile(rb"/-/ready()"), "GET", lambda handlers, _: handlers.ready()),
    Route(
        re.compile(rb"/-/servers/([^/]+)/disable"),
        "POST",
        lambda handlers, name: handlers.disable(name),
    ),
    Route(
        re.compile(rb"/-/servers/([^/]+)/enable"),
        "POST",
        lambda handlers, name: handlers.enable(name),
    ),
)


def respond(handlers: AdminHandlers, method: bytes, target: bytes) -> AdminResponse:
    """Execute a request and return its response."""
    try:
        path = httptools.parse_url(target).path or b"/"
    except httptools.HttpParserInvalidURLError:
        return AdminResponse(HTTPStatus.BAD_REQUEST, "the target is no path")
    for route in ROUTES:
        match = route.path.fullmatch(path)
        if match is not None:
            return _call(handlers, route, method, match[1])
    return AdminResponse(
        HTTPStatus.NOT_FOUND,
        "there is /-/ready, /-/servers/ID/disable and /-/servers/ID/enable",
    )


def _call(handlers: AdminHandlers, route: Route, method: bytes, encoded_id: bytes) -> AdminResponse:
    if method != route.method.encode():
        line = f"this is asked for by {route.method}"
        return AdminResponse(HTTPStatus.METHOD_NOT_ALLOWED, line, route.method)
    raw_id = unquote_to_bytes(encoded_id)
    try:
        server_id = raw_id.decode()
    except UnicodeDecodeError:
        return AdminResponse(HTTPStatus.BAD_REQUEST, "the server's id is no UTF-8")
    if len(raw_id) > MAX_SERVER_ID_BYTES or not server_id.isprintable():
        line = f"a server's id has up to {MAX_SERVER_ID_BYTES} printable bytes"
        return AdminResponse(HTTPStatus.BAD_REQUEST, line)
    return route.handle(handlers, server_id)


class AdminExchange:
    """Parses one request and returns one response; later bytes are ignored."""

    def __init__(self, handlers: AdminHandlers) -> None:
        self._handlers = handlers
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self._target = b""
        self._size_bytes = 0
        self._is_complete = False

    def receive(self, data: bytes) -> bytes | None:
        """Return the response once the request is complete or invalid, otherwise None."""
        if self._parser is None:
            return None
        self._size_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self._is_complete:
                line = f"this is no HTTP/1.1 call: {error}"
                return self._finish(AdminResponse(HTTPStatus.BAD_REQUEST, line))
        if self._is_complete:
            method = self._parser.get_method()
            return self._finish(respond(self._handlers, method, self._target))
        if self._size_bytes > MAX_REQUEST_BYTES:
            line = f"a call has up to {MAX_REQUEST_BYTES} bytes"
            return self._finish(AdminResponse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, line))
        return None

    def _finish(self, response: AdminResponse) -> bytes:
        self.close()
        return response.encode()

    def close(self) -> None:
        """Drop the parser, because the reference cycle would wait for garbage collection."""
        self._parser = None

    # Callbacks of the parser, which defines their names.

    def on_url(self, url: bytes) -> None:
        """Append a piece of the request target."""
        if not self._is_complete:
            self._target += url

    def on_message_complete(self) -> None:
        """Record that the request is complete."""
        self._is_complete = True
