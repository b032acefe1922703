"""Drives one connection to an endpoint over asyncio: an `Exchange`, and the streams through it."""

from __future__ import annotations

import asyncio
import math
import select
from typing import TYPE_CHECKING, cast

from badgercart.core import read_buffer
from badgercart.core.clock import now_ms
from badgercart.core.results import classify_response
from badgercart.core.streams import ResponseSink, ignore
from badgercart.policy.events import AttemptResult
from badgercart.upstream.attempts import DISCONNECT_RESULTS, Attempt, AttemptPhase
from badgercart.upstream.exchange import (
    Exchange,
    ExchangeEvent,
    MalformedResponse,
    ResponseReceived,
)
from badgercart.upstream.log_events import MALFORMED_ANSWER

if TYPE_CHECKING:
    from badgercart.upstream.connection_pool import UpstreamEndpoint
    from badgercart.upstream.transport import HttpTransport

BUFFER_TIME_S = 0.1  # from its first byte, for which a response of unknown length is buffered


class UpstreamConnection(asyncio.BufferedProtocol):
    """One connection; it carries one attempt at a time."""

    transport: asyncio.Transport

    def __init__(self, owner: HttpTransport, endpoint: UpstreamEndpoint) -> None:
        """Set up a connection that is being opened; `owner` is told of each attempt's end."""
        self.owner = owner
        self.endpoint = endpoint
        self.version = endpoint.version
        self.exchange = Exchange()
        self.attempt: Attempt | None = None
        self.idle_since_ms = 0.0
        self.idle_ms = 0.0  # for how long it was idle before the attempt
        self.buffered_bytes = 0  # of a response, as counted in the memory budget
        self.sink: ResponseSink | None = None  # where a streamed response goes
        self.write_paused = False
        self.read_paused = False
        self.last_progress_ms = 0.0  # when a part of what is streamed last went on

    # Called by the asyncio transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take over the transport of the opened connection."""
        # Not isinstance: uvloop's transports do not derive from asyncio's. They come with
        # TCP_NODELAY set.
        self.transport = cast(asyncio.Transport, transport)
        self.poll = select.poll()
        self.poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)

    def connection_lost(self, exc: Exception | None) -> None:
        """End the attempt that the connection carried, if any."""
        self.exchange.close()
        self.exchange.release_parser()
        pool = self.owner.pool
        pool.connections.discard(self)
        if self in self.endpoint.idle:
            self.endpoint.idle.remove(self)
        attempt = self.attempt
        if attempt is not None:
            # Where the request was given to the transport, what its buffer held is no proof that
            # the endpoint did not get it: the attempt may have been executed.
            pool.idle_time_limit.record_reuse(self.idle_ms, self.exchange.received_bytes > 0)
            self.release_attempt(whole=False)
            self.owner.end(attempt, DISCONNECT_RESULTS[attempt.phase])

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer to read into."""
        return read_buffer.shared_buffer()

    def buffer_updated(self, nbytes: int) -> None:
        """Take what was read, and stream or buffer the response."""
        event = self.exchange.receive_data(read_buffer.copy_received(nbytes))
        if event is not None:
            self._handle(event)
        elif self.exchange.streaming:
            self._forward_body()
        elif self.exchange.must_stream:
            self.begin_streaming()
        else:
            self._buffer_body()

    def eof_received(self) -> None:
        """Take the end of a response that nothing else marks."""
        event = self.exchange.receive_eof()
        if event is not None:
            self._handle(event)

    def pause_writing(self) -> None:
        """Stop streaming the request's body: the endpoint does not read it."""
        self.write_paused = True

    def resume_writing(self) -> None:
        """Go on streaming the request's body."""
        self.write_paused = False
        self.last_progress_ms = now_ms()
        self._write_body()

    # Called by the owner.

    def is_quiet(self) -> bool:
        """Return whether it is open and nothing lies unread in it, which would pass for a response.

        What came right behind the last response, or a close, may not have reached the loop yet.
        """
        return not self.transport.is_closing() and not self.poll.poll(0)

    def begin_attempt(self, attempt: Attempt) -> None:
        """Write the request of an attempt."""
        self.attempt = attempt
        self.idle_ms = attempt.started_ms - self.idle_since_ms if self.idle_since_ms else 0.0
        attempt.connection = self
        request = attempt.request
        is_streamed = request.body_stream is not None
        attempt.phase = AttemptPhase.UPLOADING if is_streamed else AttemptPhase.SENT
        self.exchange.buffer_limit_bytes = self.owner.buffer_limit_bytes
        left_ms = attempt.deadline_ms - now_ms()
        if not math.isfinite(left_ms):
            left_ms = attempt.timeout_ms
        self.transport.write(self.exchange.begin_request(request, left_ms))
        if request.body_stream is not None:
            self.last_progress_ms = now_ms()
            self.transport.set_write_buffer_limits(high=self.owner.memory_budget.window_bytes)
            request.body_stream.on_data = self._write_body
            self._write_body()

    def all_sent(self) -> bool:
        """Return whether the request that it carries has left this process."""
        if self.attempt is None:
            return True
        if self.attempt.phase is AttemptPhase.SENT:
            return self.transport.is_closing() or not self.transport.get_write_buffer_size()
        return self.attempt.phase is not AttemptPhase.UPLOADING

    def begin_streaming(self) -> None:
        """Have the response streamed from here."""
        attempt = self.attempt
        if attempt is None or attempt.phase is AttemptPhase.UPLOADING or self.exchange.streaming:
            return
        attempt.phase = AttemptPhase.STREAMING
        self.owner.cancel_timers(attempt)
        head = self.exchange.begin_streaming()
        elapsed_ms = now_ms() - attempt.started_ms
        self.sink = self.owner.callbacks.on_response_started(
            attempt.request_id, attempt.attempt, self.endpoint.id, elapsed_ms, head
        )
        if self.sink is None:
            self.owner.give_up(attempt, AttemptResult.CANCELLED)
            return
        self.owner.memory_budget.streams += 1
        self.sink.subscribe(self._on_sink_capacity, self._on_sink_abort)
        self._forward_body()

    def release_attempt(self, whole: bool) -> Attempt | None:
        """Part from the attempt, which is over, and return it.

        `whole` says whether a streamed response came to its end.
        """
        attempt, self.attempt = self.attempt, None
        if self.buffered_bytes:
            self._set_buffered(0)
        sink, self.sink = self.sink, None
        if sink is not None:
            self.owner.memory_budget.streams -= 1
            if whole:
                sink.finish()
            else:
                sink.abort()
        return attempt

    # The request's body.

    def _write_body(self) -> None:
        """Write what has come of a streamed body."""
        attempt = self.attempt
        if attempt is None or attempt.phase is not AttemptPhase.UPLOADING:
            return
        if self.write_paused or self.transport.is_closing():
            return
        stream = attempt.request.body_stream
        assert stream is not None
        data = self.exchange.next_body_bytes()
        if data:
            self.last_progress_ms = now_ms()
            self.transport.write(data)
        if stream.exhausted:
            attempt.phase = AttemptPhase.SENT
            stream.on_data = ignore
            self.owner.start_timeout(attempt)

    # The response's body.

    def _buffer_body(self) -> None:
        """Count what is buffered, and see that a response of unknown length is not held for long."""
        self._set_buffered(len(self.exchange.body))
        attempt = self.attempt
        if attempt is not None and attempt.stream_timer is None and self.exchange.can_stream:
            loop = self.owner.loop
            attempt.stream_timer = loop.call_later(BUFFER_TIME_S, self.begin_streaming)

    def _set_buffered(self, size: int) -> None:
        self.owner.memory_budget.buffered_bytes += size - self.buffered_bytes
        self.buffered_bytes = size

    def _forward_body(self) -> None:
        """Pass on what has come of a streamed response, and read no further without capacity."""
        assert self.sink is not None
        data = self.exchange.take_body()
        if not data:
            return
        self.last_progress_ms = now_ms()
        has_capacity = self.sink.write(data)
        if not has_capacity and self.sink is not None and not self.read_paused:
            self.read_paused = True
            self.transport.pause_reading()

    def _on_sink_capacity(self) -> None:
        if self.read_paused and not self.transport.is_closing():
            self.read_paused = False
            self.last_progress_ms = now_ms()
            self.transport.resume_reading()

    def _on_sink_abort(self) -> None:
        """Give the attempt up: its client has gone."""
        self.sink = None
        self.owner.memory_budget.streams -= 1
        if self.attempt is not None:
            self.owner.give_up(self.attempt, AttemptResult.CANCELLED)

    # The response's end.

    def _handle(self, event: ExchangeEvent) -> None:
        """Take what came of the exchange: the response, or the connection's uselessness."""
        is_whole = isinstance(event, ResponseReceived)
        if self.sink is not None and isinstance(event, ResponseReceived):
            self.sink.write(event.response.body)
        if self.read_paused and not self.transport.is_closing():
            self.read_paused = False
            self.transport.resume_reading()
        attempt = self.release_attempt(whole=is_whole)
        if attempt is not None and isinstance(event, ResponseReceived):
            self._end_with_response(attempt, event)
            return
        self.transport.abort()
        if attempt is not None and isinstance(event, MalformedResponse):
            MALFORMED_ANSWER(
                server=self.endpoint.address_text,
                request=attempt.request_id,
                why=event.reason,
            )
            self.owner.end(attempt, AttemptResult.ERROR)

    def _end_with_response(self, attempt: Attempt, event: ResponseReceived) -> None:
        pool = self.owner.pool
        pool.idle_time_limit.record_reuse(self.idle_ms, True)
        if event.reusable:
            pool.park(self)
        else:
            self.transport.close()
        response = event.response
        result = classify_response(response.status, event.not_started)
        self.owner.end(attempt, result, response)
