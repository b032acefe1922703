"""A connection to a server, and the attempt that it carries."""

from __future__ import annotations

import asyncio
import math
import select
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, cast

from badgercart.config import Address
from badgercart.core import read_buffer
from badgercart.core.clock import MS_PER_S, now_ms
from badgercart.core.memory_budget import MIN_READ_BYTES, MemoryCharge
from badgercart.core.output_buffer import BATCH_BYTES, OutputBuffer
from badgercart.core.results import attempt_result
from badgercart.core.streams import STALL_GRACE_MS, ResponseSink, Upload, do_nothing
from badgercart.policy.endpoint import EndpointState
from badgercart.policy.events import AttemptResult
from badgercart.upstream.attempts import CONNECTION_LOST_RESULTS, AttemptPhase
from badgercart.upstream.exchange import (
    CompleteResponse,
    Exchange,
    ExchangeResult,
    MalformedResponse,
    UpstreamRequest,
)
from badgercart.upstream.log_events import MALFORMED_ANSWER
from badgercart.upstream.response_progress import ResponseProgress

if TYPE_CHECKING:
    from badgercart.upstream.connection_pool import ServerPool

# A response of unknown length is streamed once its first byte is as old as this: it may be a long one,
# which is timed by its first bytes.
MAX_BUFFERING_MS = 100.0
# After a read of this size, more may follow at once.
MIN_FULL_READ_BYTES = MIN_READ_BYTES


@dataclass(slots=True, eq=False)
class Attempt:
    """One open attempt."""

    request_id: int
    number: int
    server: Server
    server_version: int  # of the server's entry when the attempt was decided
    request: UpstreamRequest | None  # None once it has been written, so that it is freed
    upload: Upload | None  # its body, where that is streamed
    started_ms: float
    deadline_ms: float
    phase: AttemptPhase = AttemptPhase.CONNECTING
    past_deadline: bool = False
    timeout_ms: float = 0.0  # where it counts from when the request is complete
    timer: asyncio.TimerHandle | None = None
    # Starts to stream the response, at the latest.
    streaming_timer: asyncio.TimerHandle | None = None
    connect_task: asyncio.Task[None] | None = None
    connection: ServerConnection | None = None


def remaining_ms(attempt: Attempt) -> float:
    """Return how much time an attempt has left, at least; its client's time may have started."""
    if math.isfinite(attempt.deadline_ms):
        return attempt.deadline_ms - now_ms()
    assert attempt.upload is not None
    return attempt.timeout_ms - max(0.0, now_ms() - attempt.upload.written_after_ms)


@dataclass(slots=True, eq=False)
class Server:
    """A server at its address.

    The version counts changes after which older connections are not used any more.
    """

    id: int
    address: Address
    state: EndpointState
    started_ms: float
    version: int = 0
    open_attempts: int = 0
    # The most recently used connection is the last.
    idle_connections: list[ServerConnection] = field(default_factory=list)

    @property
    def endpoint(self) -> str:
        """The address as host:port."""
        return f"{self.address[0]}:{self.address[1]}"


class ServerConnection(asyncio.BufferedProtocol):
    """A connection to a server, which carries one attempt at a time."""

    transport: asyncio.Transport

    def __init__(self, pool: ServerPool, server: Server) -> None:
        self.pool = pool
        self.server = server
        self.version = server.version
        self.exchange = Exchange()
        self.attempt: Attempt | None = None
        self.idle_since_ms = 0.0
        self.idle_ms = 0.0  # how long it was idle before the attempt
        self.charge = MemoryCharge(pool.memory_budget)  # of a response, and of an unsent request
        self.sink: ResponseSink | None = None  # the destination of a streamed response
        self.output = OutputBuffer()
        self.read_paused = False
        self.progress = ResponseProgress()
        self.last_progress_ms = 0.0  # when a part of a streamed body was last forwarded

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set up the connection for its transport."""
        # Not isinstance: uvloop's transports do not derive from asyncio's. They come with
        # TCP_NODELAY set.
        self.transport = cast(asyncio.Transport, transport)
        self.output.attach(self.transport)
        self.socket_poll = select.poll()
        self.socket_poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)

    def connection_lost(self, exc: Exception | None) -> None:
        """End the attempt on the connection, if there is one."""
        self.exchange.close()
        self.exchange.release_parser()
        self.output.release()
        self.pool.connection_closed(self)
        if self in self.server.idle_connections:
            self.server.idle_connections.remove(self)
        if (attempt := self.attempt) is not None:
            # Once the request has been written to the transport, bytes in its buffer don't prove
            # that the server did not receive it: the attempt may have been executed.
            self.pool.idle_timeout.record_reuse(self.idle_ms, self.exchange.response_bytes > 0)
            self.detach_attempt(complete=False)
            self.pool.finish_attempt(attempt, CONNECTION_LOST_RESULTS[attempt.phase])
        self.charge.set(0)

    def give_up(self) -> None:
        """Free a connection that was not established; its transport may refer to it."""
        self.exchange.release_parser()
        self.transport = cast(asyncio.Transport, None)
        self.output = OutputBuffer()

    def is_quiet(self) -> bool:
        """Return whether the connection is open and nothing unread is in its socket.

        Unread bytes would be taken for the next response. What followed the last response, or a
        close, may not have been read by the event loop yet.
        """
        return not self.transport.is_closing() and not self.socket_poll.poll(0)

    def start_attempt(self, attempt: Attempt) -> None:
        """Write the request of an attempt, or start to stream it."""
        self.attempt = attempt
        self.idle_ms = attempt.started_ms - self.idle_since_ms if self.idle_since_ms else 0.0
        attempt.connection = self
        request, attempt.request = attempt.request, None
        assert request is not None
        attempt.phase = (
            AttemptPhase.SENT if request.upload is None else AttemptPhase.STREAMING_REQUEST
        )
        self.exchange.message_limit_bytes = self.pool.message_limit_bytes
        self.progress.reset()
        self.output.write(self.exchange.start_request(request, remaining_ms(attempt)))
        if request.upload is not None:
            self.last_progress_ms = now_ms()
            request.upload.on_data = self.forward_upload
            self.forward_upload()

    def request_sent(self) -> bool:
        """Return whether the whole request on the connection has left this process."""
        if self.attempt is not None and self.attempt.phase is AttemptPhase.SENT:
            return self.transport.is_closing() or self.output.is_empty
        return self.attempt is None or self.attempt.phase is not AttemptPhase.STREAMING_REQUEST

    # Streamed requests and responses.

    def forward_upload(self) -> None:
        """Write what has been received of a streamed request."""
        attempt = self.attempt
        if attempt is None or attempt.phase is not AttemptPhase.STREAMING_REQUEST:
            return
        upload = attempt.upload
        assert upload is not None
        if upload.arrived:
            # The client's time counts from there on, also while the server does not read.
            self.pool.start_timeout(attempt)
        if self.write_paused or self.transport.is_closing():
            return
        if data := self.exchange.read_upload(BATCH_BYTES):
            self.last_progress_ms = now_ms()
            self.output.write(data)
        while upload.buffer:
            self.output.write(self.exchange.read_upload(BATCH_BYTES))
        if upload.exhausted:
            attempt.phase = AttemptPhase.SENT
            upload.on_data = do_nothing

    def pause_writing(self) -> None:
        """Stop forwarding a request, as the server does not read."""
        self.output.pause()
        self.update_charge()

    def resume_writing(self) -> None:
        """Go on forwarding a request."""
        self.last_progress_ms = now_ms()
        if self.output.resume():
            self.forward_upload()
        self.update_charge()

    @property
    def write_paused(self) -> bool:
        """Whether the server has not read all that was written."""
        return self.output.paused

    def start_streaming(self) -> None:
        """Start to stream the response."""
        attempt, pool = self.attempt, self.pool
        if (
            attempt is None
            or attempt.phase is AttemptPhase.STREAMING_REQUEST
            or self.exchange.streaming
        ):
            return
        attempt.phase = AttemptPhase.STREAMING_RESPONSE
        self.last_progress_ms = now_ms()
        pool.cancel_timers(attempt)
        deadline_ms = pool.response_deadlines.deadline_ms(attempt.request_id)
        header_section, elapsed_ms = self.exchange.start_streaming(), now_ms() - attempt.started_ms
        self.sink = pool.on_response_started(
            attempt.request_id, attempt.number, self.server.id, elapsed_ms, header_section
        )
        if self.sink is None:  # the request is not in flight any more
            pool.abort_attempt(attempt, AttemptResult.CANCELLED)
            return
        pool.memory_budget.stream_count += 1
        self.sink.set_callbacks(self.on_space, self.on_abandoned)
        pool.response_deadlines.watch_stream(attempt, deadline_ms)
        self.forward_response()

    def forward_response(self) -> None:
        """Forward what has arrived of a streamed response."""
        while self.sink is not None and (data := self.exchange.take_body()):
            self.last_progress_ms = now_ms()
            if not self.sink.write_body(data) and self.sink is not None and not self.read_paused:
                self.read_paused = True
                self.transport.pause_reading()
        self.update_charge()

    def on_space(self) -> None:
        """Go on reading a response, as its client has space again."""
        if self.read_paused and not self.transport.is_closing():
            self.read_paused, self.last_progress_ms = False, now_ms()
            self.progress.reading_resumed(self.last_progress_ms)
            self.transport.resume_reading()

    def on_abandoned(self) -> None:
        """Cancel the attempt, as the client has disconnected."""
        self.sink = None
        self.pool.memory_budget.stream_count -= 1
        if self.attempt is not None:
            self.pool.abort_attempt(self.attempt, AttemptResult.CANCELLED)

    def client_stalled_ms(self, now_ms: float) -> float:
        """Return for how long the client of a stream has made no progress; 0: none is waited for."""
        if self.sink is not None:
            return self.sink.stalled_ms() if self.read_paused else 0.0
        attempt = self.attempt
        if (
            attempt is None
            or attempt.phase is not AttemptPhase.STREAMING_REQUEST
            or self.write_paused
        ):
            return 0.0
        return now_ms - self.last_progress_ms

    def client_grace_ms(self) -> float:
        """Return for how long a client that is slow, but goes on, may show no progress."""
        return STALL_GRACE_MS if self.sink is None else self.sink.stall_grace_ms()

    def detach_attempt(self, complete: bool) -> Attempt | None:
        """Detach the attempt, which is over, and end its streamed response."""
        attempt, self.attempt = self.attempt, None
        self.update_charge()
        if (sink := self.sink) is not None:
            self.sink = None
            self.pool.memory_budget.stream_count -= 1
            if complete:
                sink.finish_body()
            else:
                sink.abort_body()
        return attempt

    def update_charge(self) -> None:
        """Charge what is held of the attempt to the memory budget."""
        self.charge.set(self.exchange.body.held_bytes + self.output.held_bytes)

    def held_bytes(self) -> int:
        """Return how much memory the connection and the streamed request on it hold."""
        upload = None if self.attempt is None else self.attempt.upload
        return self.charge.charged_bytes + (0 if upload is None else upload.held_bytes)

    # Callbacks of the transport.

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read."""
        return read_buffer.get_read_buffer(self.pool.memory_budget.read_limit_bytes)

    def buffer_updated(self, nbytes: int) -> None:
        """Handle bytes from the server."""
        if nbytes >= MIN_FULL_READ_BYTES:
            self.yield_turn()
        result = self.exchange.receive(read_buffer.read_bytes(nbytes))
        if result is not None:
            self.handle_result(result)
            return
        if self.exchange.headers_complete:
            self.progress.observe(self.exchange.body_bytes, now_ms())
        if self.exchange.streaming:
            self.forward_response()
        elif self.exchange.must_stream:
            self.start_streaming()
        else:
            self.update_charge()
            self.limit_buffering()

    def limit_buffering(self) -> None:
        """Stream a response of unknown length soon, once its body has begun."""
        attempt = self.attempt
        if attempt is None or attempt.streaming_timer is not None:
            return
        if self.exchange.has_unknown_length and self.exchange.body:
            attempt.streaming_timer = self.pool.loop.call_later(
                MAX_BUFFERING_MS / MS_PER_S, self.start_streaming
            )

    def yield_turn(self) -> None:
        """Read on in the next iteration of the loop, which would else read while there is more."""
        self.transport.pause_reading()
        self.pool.loop.call_soon(self.read_on)

    def read_on(self) -> None:
        """Read on, unless the client has no space or the connection has ended."""
        if not self.read_paused and not self.transport.is_closing():
            self.transport.resume_reading()

    def eof_received(self) -> None:
        """Handle the end of the server's stream."""
        if (result := self.exchange.receive_eof()) is not None:
            self.handle_result(result)

    def handle_result(self, result: ExchangeResult) -> None:
        """End the attempt by the result of the exchange."""
        if self.sink is not None and isinstance(result, CompleteResponse):
            self.sink.write_body(result.response.body)
        if self.read_paused and not self.transport.is_closing():
            self.read_paused = False
            self.transport.resume_reading()
        attempt = self.detach_attempt(complete=isinstance(result, CompleteResponse))
        if attempt is not None and isinstance(result, CompleteResponse):
            self.pool.idle_timeout.record_reuse(self.idle_ms, True)
            if result.reusable:
                self.pool.keep_idle(self)
            else:
                self.transport.close()
            response = result.response
            self.pool.finish_attempt(
                attempt, attempt_result(response.status, result.not_started), response
            )
        elif attempt is not None and isinstance(result, MalformedResponse):
            self.transport.abort()
            MALFORMED_ANSWER(
                server=self.server.endpoint, request=attempt.request_id, why=result.reason
            )
            self.pool.finish_attempt(attempt, AttemptResult.ERROR)
        else:  # unexpected data
            self.transport.abort()
