"""One client's connection as a machine without I/O: bytes and responses in, bytes and requests out.

Requests on a connection are answered one after the other. The machine reads no clock, opens nothing
and waits for nothing; what it wants done it asks of its `ConnectionDriver`. Its legal transitions
stand in `TRANSITIONS`.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from enum import IntEnum
from typing import Any, Protocol

from badgercart.core.streams import ResponseHead
from badgercart.frontends.http.errors import BadRequestError, IllegalTransitionError
from badgercart.frontends.http.headers import RequestHeaders
from badgercart.frontends.http.receiver import RequestReceiver
from badgercart.frontends.http.requests import ClientRequest, Page, QueuedItem
from badgercart.frontends.http.responses import LAST_CHUNK, chunk, streamed_head, whole_response

MIN_BYTES_PER_S = 32_000.0  # that a body comes in with, on average


class ConnectionState(IntEnum):  # hashed and compared for every request: numbers cost nothing
    """What a connection waits for."""

    NEW = 0  # connected, nothing received
    RECEIVING = 1  # a request was received in part
    SERVING = 2  # a request is being served
    IDLE = 3  # between requests, or its client does not read its responses
    CLOSING = 4  # the last response is written
    CLOSED = 5
    STREAMING_REQUEST = 6  # a request is being served that was received in part


TRANSITIONS: dict[ConnectionState, frozenset[ConnectionState]] = {
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
            ConnectionState.STREAMING_REQUEST,
        )
    ),
    ConnectionState.STREAMING_REQUEST: frozenset(
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
    """What a connection asks of its surroundings.

    Of these calls only `accept_request` calls back into the connection before it returns.
    """

    @property
    def keeps_alive(self) -> bool:
        """Whether connections are kept after their responses."""

    @property
    def is_healthy(self) -> bool:
        """Whether the node can serve: what the health check says."""

    @property
    def streams_bodies(self) -> bool:
        """Whether bodies may be streamed; else they are buffered whole, and bounded."""

    def buffer_limit_bytes(self) -> int:
        """Return up to what size a body may be buffered at present."""

    def window_bytes(self) -> int:
        """Return how much of a streamed body may wait to be read."""

    def call_soon(self, call: Callable[[], None]) -> None:
        """Call, but not before this returns."""

    def now(self) -> float:
        """Return seconds on the clock of all events."""

    def parse_request(
        self, method: bytes, target: bytes, headers: RequestHeaders, body: bytes
    ) -> ClientRequest | Page:
        """Return what a request is accepted as: whole, or with the rest of its body to come.

        Raises:
            BadRequestError: it can't be accepted.
        """

    def request_completed(self, request: ClientRequest) -> None:
        """Take note that the rest of a request was received."""

    def error_body(self, status: int, reason: str) -> tuple[bytes, bytes]:
        """Return the content type and the body that say why a request is not accepted."""

    def accept_request(self, request: ClientRequest) -> None:
        """Serve a request. Its response may come before this returns."""

    @property
    def write(self) -> Callable[[bytes], object]:
        """What writes bytes to the client."""

    def pause_reading(self) -> None:
        """Read no further for now."""

    def resume_reading(self) -> None:
        """Read on."""

    def write_eof(self) -> None:
        """End the writing side: nothing more is written."""

    def abort(self) -> None:
        """End the connection at once."""


# By state: who is in it, and since when (s), the longest first. A connection that is SERVING waits
# for an endpoint, and is in none.
WaitingSince = Mapping[ConnectionState, dict[Any, float]]


class HttpConnection:
    """The machine. `now` is given with each event, in seconds on one monotonic clock."""

    __slots__ = (
        "__weakref__",
        "advancing",
        "chunked_response",
        "driver",
        "keep_alive",
        "last_heard_s",
        "now_s",
        "open_names",
        "queue",
        "receiver",
        "request",
        "serving",
        "state",
        "waiting_since",
        "writing_paused",
    )

    def __init__(
        self,
        driver: ConnectionDriver,
        now: float,
        open_names: set[bytes],
        waiting_since: WaitingSince,
    ) -> None:
        """Set up a new connection.

        Args:
            driver: what carries out what the machine asks for.
            now: when the connection was opened.
            open_names: the Request-Ids of open requests, shared by a listener's connections.
            waiting_since: who waits for what, shared likewise.
        """
        self.driver = driver
        self.open_names = open_names
        self.waiting_since = waiting_since
        self.now_s = now
        self.last_heard_s = now  # when something was last received, or the connection opened
        self.state = ConnectionState.NEW
        waiting_since[ConnectionState.NEW][driver] = now
        self.receiver = RequestReceiver(self, now)
        # What was received and waits for its turn, and whether to keep the connection after it.
        self.queue: deque[tuple[QueuedItem, bool]] = deque()
        self.request: ClientRequest | None = None  # that is being served
        self.serving = self.advancing = False
        self.keep_alive = True  # after the response under way
        self.chunked_response = False  # the response under way goes out in chunks
        self.writing_paused = False

    # Events.

    def receive_data(self, data: bytes, now: float) -> None:
        """Take bytes of the client."""
        self.now_s = self.last_heard_s = now
        receiver = self.receiver
        if receiver.input_ended:
            return
        if receiver.headers.complete and self.state in self.waiting_since:
            # A body has the more time the more of it comes.
            earned_s = len(data) / MIN_BYTES_PER_S
            receiver.request_since_s = min(now, receiver.request_since_s + earned_s)
            self.waiting_since[self.state][self.driver] = receiver.request_since_s
        if receiver.unparsed:
            receiver.unparsed += data
        else:
            receiver.parse(data)
        self.serve_next()

    def resume_body(self) -> None:
        """Go on with a streamed body that had no capacity, if it has some now."""
        receiver = self.receiver
        if not receiver.body_stalled or self.state is ConnectionState.CLOSED:
            return
        if receiver.body_stream is not None and receiver.body_stream.full:
            return
        receiver.body_stalled = False
        self.now_s = receiver.request_since_s = self.driver.now()
        if self.state in self.waiting_since:
            self.waiting_since[self.state][self.driver] = receiver.request_since_s
        receiver.resume_parsing()
        self.serve_next()

    def request_timed_out(self, now: float) -> None:
        """Reject the request that is being received: it has taken too long."""
        self.now_s = now
        self.receiver.reject(408, "the request did not come in whole in time")
        self.serve_next()

    def send_response(
        self, now: float, status: int, body: bytes, content_type: bytes, extra_headers: bytes
    ) -> None:
        """Write the final response to the request under way, if its client is still there."""
        if self.state is ConnectionState.CLOSED:
            return
        self.now_s = now
        self._write_response(status, body, content_type, extra_headers)
        self.serve_next()

    def pause_writing(self) -> None:
        """Serve nothing further: the client does not read its responses."""
        self.writing_paused = True

    def resume_writing(self, now: float) -> None:
        """Go on serving."""
        self.now_s = now
        self.writing_paused = False
        self.serve_next()

    def client_left(self, now: float) -> None:
        """Owe nothing any more: the client has ended its side. What is written may still go out."""
        self._discard_requests(now)
        self.serving = False
        if self.state not in (ConnectionState.CLOSING, ConnectionState.CLOSED):
            self.transition(ConnectionState.CLOSING)

    def connection_lost(self, now: float) -> None:
        """End: the connection is gone, and all that waited on it with it."""
        self._discard_requests(now)
        self.receiver.release()
        self.transition(ConnectionState.CLOSED)
        del self.driver  # it refers back

    def _discard_requests(self, now: float) -> None:
        """Read nothing more, and answer nothing of what was read."""
        self.now_s = now
        self.receiver.end_input()
        self._discard_queue()
        self.release(self.request)
        self.request = None

    # States.

    def transition(self, state: ConnectionState, since: float | None = None) -> None:
        """Change the state; `since` is when the wait for it began, where not now.

        Raises:
            IllegalTransitionError: the present state rules it out.
        """
        if state is self.state:
            return
        if state not in TRANSITIONS[self.state]:
            raise IllegalTransitionError(self.state.name, state.name)
        waiting = self.waiting_since.get(self.state)
        if waiting is not None:
            del waiting[self.driver]
        self.state = state
        waiting = self.waiting_since.get(state)
        if waiting is not None:
            waiting[self.driver] = self.now_s if since is None else since

    def _settle_state(self) -> None:
        """Change to the state that says what the connection waits for."""
        receiver = self.receiver
        if self.serving:
            if receiver.body_stream is None or receiver.input_ended:
                self.transition(ConnectionState.SERVING)
            else:
                self.transition(ConnectionState.STREAMING_REQUEST, receiver.request_since_s)
        elif receiver.input_ended and not self.queue:
            self.transition(ConnectionState.CLOSING)
        elif self.writing_paused or (receiver.has_received and not receiver.receiving):
            self.transition(ConnectionState.IDLE)
        elif receiver.receiving:
            self.transition(ConnectionState.RECEIVING, receiver.request_since_s)

    def release(self, item: QueuedItem | None) -> None:
        """Have the name of a request count as open no longer."""
        if isinstance(item, ClientRequest):
            self.open_names.discard(item.request_name)

    def _discard_queue(self) -> None:
        for item, _ in self.queue:
            self.release(item)
        self.queue.clear()
        self.receiver.unparsed = b""

    # Serving.

    def serve_next(self) -> None:
        """Serve what was received, one request after the other."""
        if self.advancing:  # a response given at once comes back here: many would nest too deep
            return
        self.advancing = True
        while not self.serving and not self.writing_paused:
            receiver = self.receiver
            if not self.queue and receiver.unparsed and not receiver.body_stalled:
                receiver.resume_parsing()
            if not self.queue:
                break
            item, self.keep_alive = self.queue.popleft()
            self.serving = True
            self._serve(item)
        self.advancing = False
        if self.state is not ConnectionState.CLOSED:
            self._settle_state()

    def _serve(self, item: QueuedItem) -> None:
        self.transition(ConnectionState.SERVING)
        if isinstance(item, ClientRequest):
            self.request = item
            self.driver.accept_request(item)
        elif isinstance(item, BadRequestError):
            content_type, body = self.driver.error_body(item.status, item.reason)
            self._write_response(item.status, body, content_type, item.extra_headers)
        elif isinstance(item, Page):
            self._write_response(200, item.body(), item.content_type, b"")
        elif self.driver.is_healthy:
            self._write_response(200, b"ok\n", b"text/plain", b"")
        else:
            self._write_response(503, b"", b"", b"")

    # Responses out.

    def _write_response(
        self, status: int, body: bytes, content_type: bytes, extra_headers: bytes
    ) -> None:
        if self.request is not None:
            self.open_names.discard(self.request.request_name)
            self.request = None
        keep_alive = self._keeps_alive()
        self.driver.write(whole_response(status, body, content_type, extra_headers, keep_alive))
        self.serving = False
        if not keep_alive:
            self._close()

    def _keeps_alive(self) -> bool:
        """Return whether the connection goes on after the response under way.

        A node that stops still owes responses to what it has read: the connection ends with the
        last. What is left of a request that is answered already is not read.
        """
        if not self.keep_alive or self.receiver.body_stream is not None:
            return False
        return bool(self.queue or self.receiver.unparsed) or self.driver.keeps_alive

    def begin_streaming(self, now: float, head: ResponseHead) -> None:
        """Write the head of a streamed response to the request under way."""
        if self.state is ConnectionState.CLOSED:
            return
        self.now_s = now
        request, self.request = self.request, None
        is_http_1_0 = request is not None and request.is_http_1_0
        self.release(request)
        self.chunked_response = head.length is None and not is_http_1_0
        ends_with_connection = is_http_1_0 and head.length is None
        self.keep_alive = self._keeps_alive() and not ends_with_connection
        self.driver.write(streamed_head(head, self.chunked_response, self.keep_alive))

    def write_chunk(self, data: bytes) -> bool:
        """Write a part of a streamed response; return whether there is capacity for more."""
        if data and self.state is not ConnectionState.CLOSED:
            self.driver.write(chunk(data) if self.chunked_response else data)
        return not self.writing_paused

    def finish_streaming(self, now: float) -> None:
        """End a streamed response."""
        if self.state is ConnectionState.CLOSED:
            return
        self.now_s = now
        if self.chunked_response:
            self.driver.write(LAST_CHUNK)
        self.serving = False
        if not self.keep_alive:
            self._close()
        self.serve_next()

    def _close(self) -> None:
        """End after the last response: a plain close with bytes unread would reset it."""
        self.receiver.input_ended = True
        self._discard_queue()
        self.receiver.resume_reading()
        self.driver.write_eof()
