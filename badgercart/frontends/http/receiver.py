"""The receiving half of a client's connection: bytes in, requests into the connection's queue. No I/O."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import httptools

from badgercart.core.streams import StreamedBody
from badgercart.frontends.http.errors import BadRequestError
from badgercart.frontends.http.headers import (
    HEADER_READERS,
    HOP_BY_HOP_HEADERS,
    RequestHeaders,
)
from badgercart.frontends.http.requests import (
    MAX_REQUEST_BYTES,
    ClientRequest,
    HealthCheck,
    QueuedItem,
)
from badgercart.frontends.http.responses import CONTINUE
from badgercart.upstream.exchange import (
    MAX_BODY_BYTES,
    MAX_HEAD_BYTES,
    MAX_STREAMED_BODY_BYTES,
    OPTIONAL_WHITESPACE,
    max_message_bytes,
)

if TYPE_CHECKING:
    from badgercart.frontends.http.connection import HttpConnection

MAX_QUEUED = 8  # requests sent ahead on one connection, after which it is read no further
PARSE_BYTES = 4096  # at a time: what is read at once may hold hundreds of requests
HEALTH_PATH = b"/_health"


class RequestReceiver:
    """The parser of one connection and the request that it is receiving.

    Parser and receiver, receiver and connection refer to each other; `release` parts them.
    """

    __slots__ = (
        "body",
        "body_stalled",
        "body_stream",
        "connection",
        "has_received",
        "headers",
        "input_ended",
        "parser",
        "reading_paused",
        "received_bytes",
        "receiving",
        "request_since_s",
        "streamed_request",
        "target",
        "unparsed",
    )

    def __init__(self, connection: HttpConnection, now_s: float) -> None:
        """Set up the receiver of a connection that was opened at `now_s`."""
        self.connection = connection
        self.parser = httptools.HttpRequestParser(self)
        self.unparsed = b""  # read and kept back, while enough requests wait
        self.input_ended = False  # nothing further is read
        self.reading_paused = False
        self.has_received = False  # a request has come in whole
        # The request that is being received.
        self.receiving = False
        self.request_since_s = now_s  # its start; that of the connection for the first request
        self.received_bytes = 0
        self.target = b""
        self.headers = RequestHeaders()
        self.body = bytearray()
        self.body_stream: StreamedBody | None = None
        self.streamed_request: ClientRequest | None = None  # queued though it is not whole
        self.body_stalled = False  # the stream has no capacity

    def parse(self, data: bytes) -> None:
        """Parse until enough requests wait; keep the rest, and read no further meanwhile."""
        at = 0
        while at < len(data) and not self.input_ended:
            if self.body_stalled or len(self.connection.queue) >= MAX_QUEUED:
                break
            part = data[at : at + PARSE_BYTES] if len(data) > PARSE_BYTES else data
            at += len(part)
            self._feed(part)
        self.unparsed = b"" if self.input_ended else data[at:]
        if not self.unparsed:
            self.resume_reading()
        elif not self.reading_paused:
            self.reading_paused = True
            self.connection.driver.pause_reading()

    def _feed(self, part: bytes) -> None:
        self.received_bytes += len(part)
        try:
            self.parser.feed_data(part)
        except httptools.HttpParserUpgrade:
            self._end_with_upgrade()
        except httptools.HttpParserError as error:
            cause = error.__context__
            if isinstance(cause, BadRequestError):
                self.reject(cause.status, cause.reason, cause.extra_headers)
            else:
                self.reject(400, f"this is no HTTP/1.1 request: {error}")
            # It refers to this frame, and this frame to it: both would wait for the collector.
            del cause
        else:
            if self.received_bytes > MAX_HEAD_BYTES:
                self._check_size()

    def _end_with_upgrade(self) -> None:
        """Serve a request for an upgrade as any other, and as the last: no upgrade is offered."""
        self.input_ended = True
        queue = self.connection.queue
        if queue:
            queue[-1] = (queue[-1][0], False)

    def _check_size(self) -> None:
        limit = MAX_REQUEST_BYTES
        if self.connection.driver.streams_bodies:
            limit = max_message_bytes(self.headers.body_bytes)
        if not self.headers.complete:
            self.reject(431, f"the head is over {MAX_HEAD_BYTES} bytes")
        elif self.received_bytes > limit:
            self.reject(413, f"the request is over {limit} bytes")

    def resume_reading(self) -> None:
        """Read on, where reading was paused."""
        if self.reading_paused:
            self.reading_paused = False
            self.connection.driver.resume_reading()

    def resume_parsing(self) -> None:
        """Parse what was kept back."""
        data, self.unparsed = self.unparsed, b""
        self.parse(data)

    def reject(self, status: int, reason: str, extra_headers: bytes = b"") -> None:
        """Have what came before answered, then this, and the connection closed.

        Where the next request begins can't be trusted.
        """
        self.input_ended = True
        connection = self.connection
        if self.streamed_request is not None:
            if self.streamed_request is connection.request:
                # It can't become whole, so that no endpoint has executed it.
                connection.driver.abort()
                return
            connection.release(connection.queue.pop()[0])
        self.reset()
        connection.queue.append((BadRequestError(status, reason, extra_headers), False))

    def reset(self) -> None:
        """Keep nothing of a request that was received: the connection may be idle for long."""
        self.receiving = False
        self.received_bytes = 0
        self.target = b""
        self.headers, self.body = RequestHeaders(), bytearray()
        self.body_stream = self.streamed_request = None

    def end_input(self) -> None:
        """Receive nothing more, and give up the request that is being received."""
        self.input_ended = True
        self.body_stream = self.streamed_request = None

    def release(self) -> None:
        """Part from the parser and the connection, which would wait for the cyclic collector."""
        del self.parser
        del self.connection

    # Called by the parser. A BadRequestError reaches `_feed` as the context of a parser error.

    def on_message_begin(self) -> None:
        """Begin a request."""
        self.receiving = True
        if self.has_received:
            self.request_since_s = self.connection.now_s

    def on_url(self, url: bytes) -> None:
        """Take a part of the target."""
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header, but not a trailer, which must not pass for one."""
        headers = self.headers
        headers.size_bytes += len(name) + len(value) + 4
        if headers.size_bytes > MAX_HEAD_BYTES:
            raise BadRequestError(431, f"the headers are over {MAX_HEAD_BYTES} bytes")
        if headers.complete:
            return
        lower, value = name.lower(), value.strip(OPTIONAL_WHITESPACE)
        read = HEADER_READERS.get(lower)
        if read is not None:
            read(headers, value)
        if lower not in HOP_BY_HOP_HEADERS:
            headers.forwarded_lines.append(b"%b: %b\r\n" % (name, value))

    def on_headers_complete(self) -> None:
        """End the head: check its framing, and stream a body that is too long to be buffered."""
        headers, driver = self.headers, self.connection.driver
        headers.complete = True
        self._check_framing()
        connection = self.connection
        if headers.expects_continue and not connection.serving and not connection.queue:
            driver.write(CONTINUE)
        if not headers.content_length or not driver.streams_bodies:
            return
        if headers.content_length > driver.buffer_limit_bytes():
            self._begin_body_stream()

    def _check_framing(self) -> None:
        headers, version = self.headers, self.parser.get_http_version()
        if version not in ("1.0", "1.1"):
            raise BadRequestError(505, "only HTTP/1.0 and HTTP/1.1 are spoken here")
        headers.is_http_1_0 = version == "1.0"
        coding = headers.transfer_coding
        # The parser passes over codings that it does not know, and HTTP/1.0 has none.
        if coding is not None and (coding.lower() != b"chunked" or headers.is_http_1_0):
            reason = "Transfer-Encoding can only be chunked, and only in HTTP/1.1"
            raise BadRequestError(400, reason)
        # Found out before the body has come.
        if headers.content_length and headers.content_length > self._max_body_bytes:
            raise BadRequestError(413, f"the body is over {self._max_body_bytes} bytes")

    @property
    def _max_body_bytes(self) -> int:
        streams_bodies = self.connection.driver.streams_bodies
        return MAX_STREAMED_BODY_BYTES if streams_bodies else MAX_BODY_BYTES

    def on_body(self, body: bytes) -> None:
        """Take a part of the body, and stream one that grows too long to be buffered."""
        headers, driver = self.headers, self.connection.driver
        headers.body_bytes += len(body)
        if headers.body_bytes > self._max_body_bytes:
            raise BadRequestError(413, f"the body is over {self._max_body_bytes} bytes")
        is_streamable = self.body_stream is None and driver.streams_bodies
        if is_streamable and headers.body_bytes > driver.buffer_limit_bytes():
            self._begin_body_stream()
        if self.body_stream is None:
            self.body += body
        elif not self.body_stream.feed(body) and not self.body_stalled:
            # Nothing is read until there is capacity: meanwhile it is not the client that is slow.
            self.body_stalled, self.request_since_s = True, math.inf

    def _begin_body_stream(self) -> None:
        """Queue the request though it is not whole: its body is streamed."""
        headers, connection = self.headers, self.connection
        length = None if headers.transfer_coding is not None else headers.content_length
        driver = connection.driver
        self.body_stream = StreamedBody(length, driver.window_bytes)
        self.body_stream.on_capacity = lambda: driver.call_soon(connection.resume_body)
        headers.body_stream = self.body_stream
        item = self._queue_request()
        if not isinstance(item, ClientRequest):
            raise BadRequestError(413, "this has no body of such a size")
        self.streamed_request = item
        if self.body:
            self.body_stream.feed(bytes(self.body))
            self.body.clear()

    def on_message_complete(self) -> None:
        """End a request."""
        if self.body_stream is None:
            self._queue_request()
            self.reset()
            return
        stream, request = self.body_stream, self.streamed_request
        self.reset()
        stream.finish()
        if request is not None:
            self.connection.driver.request_completed(request)

    def _queue_request(self) -> QueuedItem:
        """Queue the request: its turn comes when those before it are answered."""
        item = self._parse_request()
        connection = self.connection
        if isinstance(item, ClientRequest):
            # Endpoints could not tell two apart that are open under one name.
            if item.request_name in connection.open_names:
                raise BadRequestError(409, "a request of this Request-Id is open")
            connection.open_names.add(item.request_name)
        connection.queue.append((item, self.parser.should_keep_alive()))
        self.has_received = True
        return item

    def _parse_request(self) -> QueuedItem:
        method = self.parser.get_method()
        if self.target == HEALTH_PATH:
            if method != b"GET":
                raise BadRequestError(405, "the health is asked for by GET", b"Allow: GET\r\n")
            return HealthCheck()
        driver = self.connection.driver
        return driver.parse_request(method, self.target, self.headers, bytes(self.body))
