"""The state machine of one client connection, without I/O.

Bytes, responses and times come in; bytes and requests go out. Requests on a connection are answered
one after the other. The machine reads no clock, opens nothing and waits for nothing: it asks its
`ConnectionDriver` for all of that. Its transitions are listed in `ALLOWED_TRANSITIONS`.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Mapping
from enum import IntEnum
from typing import Any, Protocol

import httptools

from badgercart.core.piece_buffer import PIECE_BYTES, Body, PieceBuffer, held_bytes
from badgercart.core.streams import ResponseHeaderSection, Upload
from badgercart.frontends.http.body_arrival import BodyArrival
from badgercart.frontends.http.requests import (
    HEADER_READERS,
    MAX_REQUEST_BYTES,
    REASON_PHRASES,
    UNFORWARDED_HEADERS,
    BadRequestError,
    ClientRequest,
    HealthCheck,
    OperatorPage,
    ParsedRequest,
    RequestHeaders,
)
from badgercart.upstream.exchange import (
    MAX_BODY_BYTES,
    MAX_HEADER_SECTION_BYTES,
    MAX_STREAMED_BODY_BYTES,
    OPTIONAL_WHITESPACE,
    max_framed_bytes,
)

# After this many pipelined requests a connection is not read until some of them are answered.
MAX_PIPELINED_REQUESTS = 8
MIN_BODY_RATE_BYTES_PER_S = 32_000.0  # on average; a slower body times out
HEALTH_PATH = b"/_health"
# Each costs time of its own, however short it is; trailer fields count too.
MAX_HEADER_FIELDS = 256
# The objects of one request, beside its bytes.
REQUEST_OBJECTS_BYTES = 2048


class ConnectionState(IntEnum):
    """What a connection waits for.

    It is hashed and compared for every request, which is faster with integers.
    """

    NEW = 0  # nothing received yet
    RECEIVING = 1  # a request has been received in part
    SERVING = 2  # a request is being served
    IDLE = 3  # between requests, or the client does not read its responses
    CLOSING = 4  # the last response is written
    CLOSED = 5
    UPLOADING = 6  # a request is being served whose body is still being received


ALLOWED_TRANSITIONS: dict[ConnectionState, frozenset[ConnectionState]] = {
    ConnectionState.NEW: frozenset(
        (
            ConnectionState.RECEIVING,
            ConnectionState.SERVING,
            ConnectionState.CLOSING,
            ConnectionState.CLOSED,
        )
    ),
    ConnectionState.RECEIVING: frozenset(
        (
            ConnectionState.SERVING,
            ConnectionState.IDLE,
            ConnectionState.CLOSING,
            ConnectionState.CLOSED,
        )
    ),
    ConnectionState.SERVING: frozenset(
        (
            ConnectionState.RECEIVING,
            ConnectionState.IDLE,
            ConnectionState.CLOSING,
            ConnectionState.CLOSED,
            ConnectionState.UPLOADING,
        )
    ),
    ConnectionState.UPLOADING: frozenset(
        (ConnectionState.SERVING, ConnectionState.CLOSING, ConnectionState.CLOSED)
    ),
    ConnectionState.IDLE: frozenset(
        (
            ConnectionState.RECEIVING,
            ConnectionState.SERVING,
            ConnectionState.CLOSING,
            ConnectionState.CLOSED,
        )
    ),
    ConnectionState.CLOSING: frozenset((ConnectionState.CLOSED,)),
    ConnectionState.CLOSED: frozenset(),
}


class ConnectionDriver(Protocol):
    """Does the I/O of a connection.

    Only `handle_request` may call back into the state machine before it returns.
    """

    @property
    def keeps_connections(self) -> bool:
        """Whether connections are kept open after a response."""

    @property
    def can_serve(self) -> bool:
        """Whether the node can serve requests, as /_health reports it."""

    @property
    def streams_bodies(self) -> bool:
        """Whether request bodies may be streamed; otherwise they are buffered, up to a limit."""

    def body_buffer_bytes(self) -> int:
        """Return up to which size a body is buffered at present."""

    def stream_window_bytes(self) -> int:
        """Return how many bytes of a streamed body may wait to be forwarded."""

    @property
    def waited_since_ms(self) -> float:
        """The clock time since which the input has waited for its connection to be accepted.

        Infinite where it has not.
        """

    def call_soon(self, callback: Callable[[], None]) -> None:
        """Call back after the current event has been handled."""

    def call_in_turn(self, callback: Callable[[], None]) -> None:
        """Call back once it is this connection's turn among those that have much input."""

    def now_s(self) -> float:
        """Return the time on the clock of all events."""

    def read_request(
        self, method: bytes, url: bytes, headers: RequestHeaders, body: Body
    ) -> ClientRequest | OperatorPage:
        """Check a request, whose body may still be being received. Raises BadRequestError."""

    def request_completed(self, request: ClientRequest, arrival: BodyArrival) -> None:
        """Receive the notice that the body of a request has been received completely."""

    def error_body(self, status: int, reason: str) -> tuple[bytes, bytes]:
        """Return content type and body of an error response."""

    def handle_request(self, request: ClientRequest) -> None:
        """Serve a request. Its response may come before this returns."""

    @property
    def write(self) -> Callable[[bytes], object]:
        """The function that writes to the connection."""

    def pause_reading(self) -> None:
        """Stop reading until `resume_reading`."""

    def resume_reading(self) -> None:
        """Continue to read."""

    def finish_writing(self) -> None:
        """Close the connection after what has been written."""

    def abort(self) -> None:
        """Close the connection immediately."""


# The connections that wait for their client, by state, each with the time (s) since when: the
# longest waiting first. A connection that is SERVING waits for a server and is not in it.
WaitingSince = Mapping[ConnectionState, dict[Any, float]]


def message_bytes(request: ClientRequest) -> int:
    """Return how much memory a buffered request takes, without a streamed body."""
    message = request.message
    return len(message.header_section) + held_bytes(len(message.body)) + REQUEST_OBJECTS_BYTES


class ConnectionStateMachine:
    """One client connection.

    `now_s` is given with each event, in seconds on one monotonic clock.
    """

    __slots__ = (
        "__weakref__", "advancing", "body", "body_arrival", "chunked_response", "driver", "ends_by_close", "has_received_request", "headers",
        "input_ended", "input_scheduled", "is_serving", "keep_alive", "last_received_s", "now_s", "open_request_names", "parser",
        "pending", "pending_bytes", "reading_paused", "received_bytes", "receiving", "receiving_since_s", "request", "request_bytes", "served_bytes", "state",
        "streaming_request", "unparsed", "upload", "upload_stalled", "url", "waiting_since", "write_blocked",
    )  # fmt: skip

    def __init__(
        self,
        driver: ConnectionDriver,
        now_s: float,
        open_request_names: set[bytes],
        waiting_since: WaitingSince,
    ) -> None:
        """Start a connection.

        `open_request_names` and `waiting_since` are shared by all connections of a listener.
        """
        self.driver = driver
        self.open_request_names = open_request_names
        self.waiting_since = waiting_since
        self.now_s = now_s
        self.state = ConnectionState.NEW
        waiting_since[ConnectionState.NEW][driver] = now_s
        self.parser = httptools.HttpRequestParser(self)
        # Received requests that are not served yet, each with whether the connection is kept open
        # after it.
        self.pending: deque[tuple[ParsedRequest, bool]] = deque()
        self.pending_bytes = 0  # of these requests
        self.served_bytes = 0  # of the one being served
        self.unparsed = PieceBuffer()  # waits for its turn, or for pending requests to be answered
        self.input_scheduled = False  # a call of `continue_input` is due
        self.request: ClientRequest | None = None  # the one being served
        self.is_serving = self.advancing = False
        self.keep_alive = True  # whether the connection is kept open after the current response
        self.input_ended = False  # nothing more is read
        self.reading_paused = self.write_blocked = False
        self.receiving = False  # a request has been received in part
        self.has_received_request = False  # at least one, completely
        self.last_received_s = (
            now_s  # when bytes were last received; at first, the connection's start
        )
        # When the request being received began; for the first one, when the connection did.
        self.receiving_since_s = now_s
        self.url = b""
        self.headers = RequestHeaders()
        self.body = PieceBuffer()
        self.request_bytes = 0  # received of the current request
        self.received_bytes = 0  # on this connection
        # The body of the request being received and the request itself, if the body is streamed.
        self.upload: Upload | None = None
        self.streaming_request: ClientRequest | None = None
        self.body_arrival: BodyArrival | None = None  # of the streamed body
        self.upload_stalled = False  # the streamed body waits for capacity
        self.chunked_response = False  # the current response uses chunked encoding
        self.ends_by_close = False  # only the end of the connection ends the current response

    # Events.

    def received(
        self, data: bytes | memoryview, now_s: float, received_s: float | None = None
    ) -> None:
        """Handle bytes from the client, which are copied.

        `received_s`: when the system received the last of them, if not now.
        """
        self.now_s = now_s
        self.last_received_s = now_s if received_s is None else received_s
        self.received_bytes += len(data)
        if self.input_ended:
            return
        # A body may take longer the more of it has been received.
        if self.headers.complete and self.state in self.waiting_since and not self.upload_stalled:
            since_s = self.receiving_since_s + len(data) / MIN_BODY_RATE_BYTES_PER_S
            self.wait_for_client_since(min(now_s, since_s))
        self.unparsed.append(data)
        if self.input_scheduled:
            return
        if len(data) < PIECE_BYTES:
            self.parse_next_part()
        else:
            # More may follow at once: it is parsed in turn with that of other connections.
            self.pause_reading()
        self.serve_pending()

    def continue_input(self) -> None:
        """Parse and serve the next part of what has been received."""
        self.input_scheduled = False
        if self.state is ConnectionState.CLOSED:
            return
        self.now_s = self.driver.now_s()
        self.parse_next_part()
        self.serve_pending()

    def resume_upload(self) -> None:
        """Continue to receive a streamed body, which has capacity again."""
        if (
            not self.upload_stalled
            or self.state is ConnectionState.CLOSED
            or (self.upload is not None and self.upload.is_full)
        ):
            return
        self.upload_stalled = False
        self.now_s = self.driver.now_s()
        self.wait_for_client_since(self.now_s)
        if not self.input_scheduled:
            self.parse_next_part()
            self.serve_pending()

    def request_timed_out(self, now_s: float) -> None:
        """Reject the request being received, which has taken too long."""
        self.now_s = now_s
        self.reject(408, "the request did not come in whole in time")
        self.serve_pending()

    def give_up_request(self, now_s: float) -> None:
        """Reject the request being received, as there is no memory for it."""
        self.now_s = now_s
        self.reject(503, "there is no memory for the request now")
        self.serve_pending()

    def respond(
        self, now_s: float, status: int, body: bytes, content_type: bytes, extra_headers: bytes
    ) -> None:
        """Answer the current request with its final response, if the connection is still open."""
        if self.state is ConnectionState.CLOSED:
            return
        self.now_s = now_s
        self.write_response(status, body, content_type, extra_headers)
        self.serve_pending()

    def writing_blocked(self) -> None:
        """Serve no more requests until the client reads its responses."""
        self.write_blocked = True

    def writing_unblocked(self, now_s: float) -> None:
        """Continue to serve requests: the client has read its responses."""
        self.now_s = now_s
        self.write_blocked = False
        self.serve_pending()

    def client_left(self, now_s: float) -> None:
        """Drop all requests: the client has closed its side.

        Bytes that are already written may still be sent.
        """
        self.drop_requests(now_s)
        self.is_serving = False
        if self.state not in (ConnectionState.CLOSING, ConnectionState.CLOSED):
            self.transition(ConnectionState.CLOSING)

    def connection_lost(self, now_s: float) -> None:
        """Drop all requests: the connection is closed."""
        self.drop_requests(now_s)
        # Parser and driver refer back to this object: without these deletions all of them would
        # stay until the cyclic garbage collector runs.
        del self.parser
        self.transition(ConnectionState.CLOSED)
        del self.driver

    def drop_requests(self, now_s: float) -> None:
        """Stop reading, and drop the current request and the pending ones."""
        self.now_s = now_s
        self.input_ended = True
        self.reset_request()
        self.drop_pending()
        self.release_name(self.request)
        self.request = None

    # States.

    def transition(self, state: ConnectionState, since_s: float | None = None) -> None:
        """Change the state; `since_s`: since when the client is waited for, if not since now."""
        if state is self.state:
            return
        if state not in ALLOWED_TRANSITIONS[self.state]:
            raise RuntimeError(
                f"a client's connection can't go from {self.state.name} to {state.name}"
            )
        if (waiting := self.waiting_since.get(self.state)) is not None:
            del waiting[self.driver]
        self.state = state
        if (waiting := self.waiting_since.get(state)) is not None:
            waiting[self.driver] = self.now_s if since_s is None else since_s

    def wait_for_client_since(self, since_s: float) -> None:
        """Set since when the rest of a request is waited for."""
        self.receiving_since_s = since_s
        if self.state in self.waiting_since:
            self.waiting_since[self.state][self.driver] = since_s

    def update_state(self) -> None:
        """Set the state by what the connection waits for now."""
        if self.is_serving:
            if self.upload is None or self.input_ended:
                self.transition(ConnectionState.SERVING)
            else:
                self.transition(ConnectionState.UPLOADING, self.receiving_since_s)
        elif self.input_ended and not self.pending:
            self.transition(ConnectionState.CLOSING)
        elif self.write_blocked or (self.has_received_request and not self.receiving):
            self.transition(ConnectionState.IDLE)
        elif self.receiving:
            self.transition(ConnectionState.RECEIVING, self.receiving_since_s)

    def release_name(self, request: ParsedRequest | None) -> None:
        """Allow the Request-Id of a request to be used again."""
        if isinstance(request, ClientRequest):
            self.open_request_names.discard(request.request_name)

    def drop_pending(self) -> None:
        """Drop requests that are not being served yet, and unparsed input."""
        for request, _ in self.pending:
            self.release_name(request)
        self.pending.clear()
        self.pending_bytes = 0
        self.unparsed.clear()

    def held_bytes(self) -> int:
        """Return how many bytes of requests are held."""
        received = len(self.url) + len(self.headers.forwarded_lines) + self.body.held_bytes
        held = self.unparsed.held_bytes + received + self.pending_bytes + self.served_bytes
        upload = self.upload
        if upload is None and self.request is not None:
            upload = self.request.message.upload
        return held if upload is None else held + upload.held_bytes

    # Requests in.

    @property
    def can_parse(self) -> bool:
        """Whether there is input, and room for the requests in it."""
        return (
            bool(self.unparsed)
            and not self.input_ended
            and not self.upload_stalled
            and len(self.pending) < MAX_PIPELINED_REQUESTS
            and (not self.pending or self.pending_bytes < self.driver.body_buffer_bytes())
        )

    def parse_next_part(self) -> None:
        """Parse a part of the input; the rest waits, and reading is paused."""
        if self.can_parse:
            self.parse(self.unparsed.pop_piece())
        if self.input_ended:
            self.unparsed.clear()
        if self.unparsed:
            self.pause_reading()
        else:
            self.resume_reading()

    def schedule_input(self) -> None:
        """Have the next part of the input parsed in its turn."""
        if not self.input_scheduled and self.can_parse:
            self.input_scheduled = True
            self.driver.call_in_turn(self.continue_input)

    def parse(self, data: bytes) -> None:
        """Parse a part of the input."""
        self.request_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # Upgrades are not supported: the request is served without one, as the last on its
            # connection.
            self.input_ended = True
            if self.pending:
                self.pending[-1] = (self.pending[-1][0], False)
        except httptools.HttpParserError as error:
            cause = error.__context__
            if isinstance(cause, BadRequestError):
                self.reject(cause.status, cause.reason, cause.extra_headers)
            else:
                self.reject(400, f"this is no HTTP/1.1 request: {error}")
            # The error and this frame refer to each other: without the deletion both would
            # stay until the cyclic garbage collector runs.
            del cause
        else:
            if self.request_bytes > MAX_HEADER_SECTION_BYTES:
                self.check_request_size()

    def check_request_size(self) -> None:
        """Reject the request being received if it is too large."""
        max_bytes = (
            max_framed_bytes(self.headers.body_bytes)
            if self.driver.streams_bodies
            else MAX_REQUEST_BYTES
        )
        if not self.headers.complete:
            self.reject(431, f"the head is over {MAX_HEADER_SECTION_BYTES} bytes")
        elif self.request_bytes > max_bytes:
            self.reject(413, f"the request is over {max_bytes} bytes")

    def pause_reading(self) -> None:
        """Pause reading if it is not paused."""
        if not self.reading_paused:
            self.reading_paused = True
            self.driver.pause_reading()

    def resume_reading(self) -> None:
        """Resume reading if it is paused."""
        if self.reading_paused:
            self.reading_paused = False
            self.driver.resume_reading()

    def reject(self, status: int, reason: str, extra_headers: bytes = b"") -> None:
        """Answer earlier requests, then reject the one being received, and close.

        The connection is of no more use: where the next request begins can't be trusted.
        """
        self.input_ended = True
        if self.streaming_request is not None:
            # The request is already being served, but can't become complete any more, so it is
            # never executed.
            if self.streaming_request is self.request:
                self.driver.abort()
                return
            dropped = self.pending.pop()[0]
            self.release_name(dropped)
            if isinstance(dropped, ClientRequest):
                self.pending_bytes -= message_bytes(dropped)
        self.reset_request()
        self.pending.append((BadRequestError(status, reason, extra_headers), False))

    def reset_request(self) -> None:
        """Free the memory of the request received last, since the connection may be idle long."""
        self.receiving = False
        self.request_bytes = 0
        self.url = b""
        self.headers, self.body = RequestHeaders(), PieceBuffer()
        self.upload = self.streaming_request = self.body_arrival = None

    def missing_body_bytes(self, unread_bytes: int | None) -> int | None:
        """Return how much of the streamed body has not arrived; None if that is not known.

        `unread_bytes`: how much of the connection's input has not been received here.
        """
        if self.upload is None or self.upload.body_length is None or unread_bytes is None:
            return None
        arrived_bytes = self.headers.body_bytes + len(self.unparsed) + unread_bytes
        return self.upload.body_length - arrived_bytes

    def has_unparsed_body(self, unread_bytes: int) -> bool:
        """Return whether something of the streamed body has arrived and is not parsed."""
        return bool(unread_bytes or self.unparsed)

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Handle the begin of a request."""
        self.receiving = True
        if self.has_received_request:
            self.receiving_since_s = self.now_s

    def on_url(self, url: bytes) -> None:
        """Handle a part of the request target."""
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Handle a header field or a trailer field."""
        headers = self.headers
        headers.field_count += 1
        if headers.field_count > MAX_HEADER_FIELDS:
            raise BadRequestError(431, f"there are over {MAX_HEADER_FIELDS} header fields")
        headers.header_bytes += len(name) + len(value) + 4
        if headers.header_bytes > MAX_HEADER_SECTION_BYTES:
            raise BadRequestError(431, f"the headers are over {MAX_HEADER_SECTION_BYTES} bytes")
        if headers.complete:  # a trailer field, which must not be taken for a header
            return
        lower, value = name.lower(), value.strip(OPTIONAL_WHITESPACE)
        if (read := HEADER_READERS.get(lower)) is not None:
            read(headers, value)
        if lower not in UNFORWARDED_HEADERS:
            headers.forwarded_lines += b"%b: %b\r\n" % (name, value)

    def on_headers_complete(self) -> None:
        """Check the header section, before any of the body is received."""
        headers, version = self.headers, self.parser.get_http_version()
        headers.complete, headers.waited_since_ms = True, self.driver.waited_since_ms
        if version not in ("1.0", "1.1"):
            raise BadRequestError(505, "only HTTP/1.0 and HTTP/1.1 are spoken here")
        # The parser ignores transfer encodings that it does not know; HTTP/1.0 has none.
        if headers.transfer_encoding is not None and (
            headers.transfer_encoding.lower() != b"chunked" or version == "1.0"
        ):
            raise BadRequestError(
                400, "Transfer-Encoding can only be chunked, and only in HTTP/1.1"
            )
        headers.is_http10 = version == "1.0"
        if headers.content_length and headers.content_length > self.max_body_bytes:
            raise BadRequestError(413, f"the body is over {self.max_body_bytes} bytes")
        if headers.expects_continue and not self.is_serving and not self.pending:
            self.driver.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        if (
            headers.content_length
            and self.driver.streams_bodies
            and headers.content_length > self.driver.body_buffer_bytes()
        ):
            self.start_upload()

    @property
    def max_body_bytes(self) -> int:
        """The maximum size of a request body."""
        return MAX_STREAMED_BODY_BYTES if self.driver.streams_bodies else MAX_BODY_BYTES

    def on_body(self, body: bytes) -> None:
        """Handle a part of the body."""
        headers = self.headers
        headers.body_bytes += len(body)
        if headers.body_bytes > self.max_body_bytes:
            raise BadRequestError(413, f"the body is over {self.max_body_bytes} bytes")
        if (
            self.upload is None
            and self.driver.streams_bodies
            and headers.body_bytes > self.driver.body_buffer_bytes()
        ):
            self.start_upload()
        if self.upload is None:
            if headers.body_bytes > self.driver.body_buffer_bytes():
                raise BadRequestError(503, "there is no memory for a body of this size now")
            self.body.append(body)
        elif not self.upload.feed(body) and not self.upload_stalled:
            # Reading stops until there is capacity. The client is not the slow side meanwhile, so
            # its request does not time out.
            self.upload_stalled, self.receiving_since_s = True, math.inf
            if self.state is ConnectionState.UPLOADING:
                self.waiting_since[self.state][self.driver] = math.inf

    def start_upload(self) -> None:
        """Enqueue the request before it is complete; its body is streamed."""
        headers, driver = self.headers, self.driver
        length = None if headers.transfer_encoding is not None else headers.content_length
        self.upload = Upload(length, driver.stream_window_bytes)
        self.upload.on_space = lambda: driver.call_soon(self.resume_upload)
        headers.upload = self.upload
        request = self.enqueue_request()
        if not isinstance(request, ClientRequest):
            raise BadRequestError(413, "this has no body of such a size")
        self.streaming_request = request
        begun_ms = min(request.sent_ms, headers.waited_since_ms)
        self.body_arrival = BodyArrival(begun_ms, self.received_bytes)
        self.upload.written_after_ms = begun_ms
        while self.body:
            self.upload.feed(self.body.pop_piece())

    def on_message_complete(self) -> None:
        """Handle the end of a request."""
        if self.upload is not None:
            upload, request, arrival = self.upload, self.streaming_request, self.body_arrival
            self.reset_request()
            # Before the upload ends, so that the time of its attempt starts when its bytes arrived.
            if request is not None and arrival is not None:
                self.driver.request_completed(request, arrival)
            upload.finish()
            return
        self.enqueue_request()
        self.reset_request()

    def enqueue_request(self) -> ParsedRequest:
        """Add the request to the pending ones; it is served after those before it."""
        request = self.read_request()
        if isinstance(request, ClientRequest):
            # The servers could not tell apart two open requests with the same Request-Id.
            if request.request_name in self.open_request_names:
                raise BadRequestError(409, "a request of this Request-Id is open")
            self.open_request_names.add(request.request_name)
            self.pending_bytes += message_bytes(request)
        self.pending.append((request, self.parser.should_keep_alive()))
        self.has_received_request = True
        return request

    def read_request(self) -> ParsedRequest:
        """Check the request. Raises BadRequestError."""
        method = self.parser.get_method()
        self.headers.waited_ms = max(0.0, self.now_s - self.last_received_s) * 1000
        if self.url == HEALTH_PATH:
            if method != b"GET":
                raise BadRequestError(405, "the health is asked for by GET", b"Allow: GET\r\n")
            return HealthCheck()
        return self.driver.read_request(method, self.url, self.headers, self.body.compact())

    def serve_pending(self) -> None:
        """Serve pending requests until one of them waits for its response."""
        # A response that is given immediately calls this again. The loop below continues then:
        # many such responses would exceed the recursion limit.
        if self.advancing:
            return
        self.advancing = True
        while not self.is_serving and not self.write_blocked:
            if not self.pending:
                break
            request, self.keep_alive = self.pending.popleft()
            self.served_bytes = 0
            if isinstance(request, ClientRequest):
                self.served_bytes = message_bytes(request)
                self.pending_bytes -= self.served_bytes
            self.is_serving = True
            self.serve(request)
        self.advancing = False
        if self.state is not ConnectionState.CLOSED:
            self.schedule_input()
            self.update_state()

    def serve(self, request: ParsedRequest) -> None:
        """Serve one request."""
        self.transition(ConnectionState.SERVING)
        if isinstance(request, ClientRequest):
            self.request = request
            self.driver.handle_request(request)
        elif isinstance(request, BadRequestError):
            content_type, body = self.driver.error_body(request.status, request.reason)
            self.write_response(request.status, body, content_type, request.extra_headers)
        elif isinstance(request, OperatorPage):
            self.write_response(200, request.render(), request.content_type, b"")
        elif self.driver.can_serve:
            self.write_response(200, b"ok\n", b"text/plain", b"")
        else:
            self.write_response(503, b"", b"", b"")

    # Responses out.

    def write_response(
        self, status: int, body: bytes, content_type: bytes, extra_headers: bytes
    ) -> None:
        """Write a complete response to the current request."""
        if self.request is not None:
            self.open_request_names.discard(self.request.request_name)
            self.request = None
        self.served_bytes = 0
        keep_alive = self.should_keep_alive()
        lines = b"HTTP/1.1 %d %b\r\nContent-Length: %d\r\n%b" % (
            status,
            REASON_PHRASES.get(status, b""),
            len(body),
            extra_headers,
        )
        if content_type:
            lines += b"Content-Type: %b\r\n" % content_type
        self.driver.write(
            b"%b%b\r\n%b" % (lines, b"" if keep_alive else b"Connection: close\r\n", body)
        )
        self.is_serving = False
        if not keep_alive:
            self.finish()

    def should_keep_alive(self) -> bool:
        """Return whether the connection is kept open after the current response.

        A node that is stopping still answers the requests that it has read: the connection ends
        with the last of them. If a request is answered before its body is complete, the rest of the
        body is not read, so the connection can't be kept.
        """
        keep_alive = self.keep_alive and (
            bool(self.pending or self.unparsed) or self.driver.keeps_connections
        )
        return keep_alive and self.upload is None

    # Streamed responses.

    def start_response(self, now_s: float, header_section: ResponseHeaderSection) -> None:
        """Write the header section of a streamed response."""
        if self.state is ConnectionState.CLOSED:
            return
        self.now_s = now_s
        request, self.request = self.request, None
        self.served_bytes = 0
        is_http10 = request is not None and request.is_http10
        self.release_name(request)
        self.chunked_response = header_section.body_length is None and not is_http10
        self.ends_by_close = header_section.body_length is None and is_http10
        self.keep_alive = self.should_keep_alive() and not self.ends_by_close
        framing = b"Transfer-Encoding: chunked\r\n" if self.chunked_response else b""
        if header_section.body_length is not None:
            framing = b"Content-Length: %d\r\n" % header_section.body_length
        if header_section.content_type:
            framing += b"Content-Type: %b\r\n" % header_section.content_type
        if not self.keep_alive:
            framing += b"Connection: close\r\n"
        line = b"HTTP/1.1 %d %b\r\n" % (
            header_section.status,
            REASON_PHRASES.get(header_section.status, b""),
        )
        self.driver.write(line + framing + b"\r\n")

    def write_body(self, data: bytes) -> None:
        """Write a part of a streamed body."""
        if data and self.state is not ConnectionState.CLOSED:
            self.driver.write(
                b"%x\r\n%b\r\n" % (len(data), data) if self.chunked_response else data
            )

    def finish_response(self, now_s: float) -> None:
        """End a streamed response."""
        if self.state is ConnectionState.CLOSED:
            return
        self.now_s = now_s
        if self.chunked_response:
            self.driver.write(b"0\r\n\r\n")
        self.is_serving = False
        if not self.keep_alive:
            self.finish()
        self.serve_pending()

    def finish(self) -> None:
        """Close the connection after its last response.

        Input is still read and discarded: a close with unread input would reset the connection, and
        the client could lose the response.
        """
        self.input_ended = True
        self.drop_pending()
        self.resume_reading()
        self.driver.finish_writing()
