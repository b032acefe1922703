"""Carries out attempts: connections for them, their time, and how each ended."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Protocol

from badgercart.core.clock import now_ms
from badgercart.core.memory_budget import MemoryBudget, budget_bytes
from badgercart.core.ports import AttemptRequest, Response
from badgercart.core.streams import ResponseHead, ResponseSink, ignore
from badgercart.policy.endpoint import EndpointState
from badgercart.policy.events import AttemptResult
from badgercart.upstream.attempts import (
    TIMEOUT_RESULTS,
    Attempt,
    AttemptPhase,
    blocked_result,
    check_result,
)
from badgercart.upstream.connection import UpstreamConnection
from badgercart.upstream.connection_pool import ConnectionPool, PoolSettings, UpstreamEndpoint
from badgercart.upstream.log_events import NO_DESCRIPTORS

LAST_READ_DELAY_S = 0.001  # one turn of the loop, between an attempt's time and its end
SWEEP_INTERVAL_S = 1.0
STREAM_SILENCE_MS = 10_000.0  # without progress, after which an endpoint's stream is given up
CLIENT_STALL_MS = 30_000.0  # without capacity at the client, after which its response is given up


class AttemptEndedCallback(Protocol):
    """What is told of the end of an attempt, with the response where one came whole."""

    def __call__(
        self,
        request_id: int,
        attempt: int,
        endpoint_id: int,
        result: AttemptResult,
        elapsed_ms: float,
        response: Response | None = None,
        *,
        body_consumed: bool = False,
    ) -> None:
        """Take note of the end; see `RequestPipeline.attempt_ended`."""


# Called with request, attempt, endpoint, ms since the attempt was sent, and the response's head.
# Returns where the body goes, None where nobody waits for it.
ResponseStartedCallback = Callable[[int, int, int, float, ResponseHead], ResponseSink | None]


def never_streamed(
    request_id: int, attempt: int, endpoint_id: int, elapsed_ms: float, head: ResponseHead
) -> ResponseSink | None:
    """Take no response as it comes: for frontends whose requests do not ask for that."""
    return None


def always_awaited(request_id: int) -> bool:
    """Have each request count as awaited: for who does not say which are."""
    return True


@dataclass(slots=True, frozen=True)
class AttemptCallbacks:
    """What a transport tells and asks the request pipeline."""

    on_attempt_ended: AttemptEndedCallback
    on_response_started: ResponseStartedCallback = never_streamed
    is_awaited: Callable[[int], bool] = always_awaited


class HttpTransport:
    """All open attempts of one frontend, on the connections of its pool."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        settings: PoolSettings,
        callbacks: AttemptCallbacks,
        memory_budget: MemoryBudget | None = None,
    ) -> None:
        """Set up a transport without attempts; without a budget it holds as little as may be."""
        self.loop = loop
        self.callbacks = callbacks
        self.memory_budget = memory_budget or MemoryBudget(budget_bytes(0))
        self.pool = ConnectionPool(loop, settings)
        self.attempts: dict[tuple[int, int], Attempt] = {}
        self.loop.call_later(SWEEP_INTERVAL_S, self.sweep)

    # Called by the request pipeline.

    def send(self, order: AttemptRequest) -> None:
        """Begin an attempt, on an idle connection or else on a new one."""
        endpoint = self.pool.endpoints[order.endpoint_id]
        now = now_ms()
        attempt = self._open_attempt(order, endpoint, now)
        connection = self.pool.take_idle(endpoint, now)
        if connection is not None:
            self.write_attempt(attempt, connection)
            return
        if endpoint.idle:
            way = self._reuse_after_delay(attempt, endpoint.idle.pop(0))
        else:
            way = self.connect(attempt)
        attempt.connecting = self.loop.create_task(way)

    def cancel(self, request_id: int, attempt: int) -> None:
        """Stop waiting for an attempt."""
        found = self.attempts.get((request_id, attempt))
        if found is not None:
            self.give_up(found, AttemptResult.CANCELLED)

    def abandon_attempt(self, request_id: int, attempt: int) -> None:
        """End an attempt of a completed request unless its last byte has left this process.

        An endpoint executes a request once it has its last byte, so that one whose last byte is
        still here never is executed.
        """
        found = self.attempts.get((request_id, attempt))
        if found is None:
            return
        if found.phase is AttemptPhase.CONNECTING:
            self.give_up(found, AttemptResult.NOT_SENT)
        elif found.connection is not None and not found.connection.all_sent():
            self.give_up(found, AttemptResult.CANCELLED)

    # Towards the endpoint.

    def _open_attempt(
        self, order: AttemptRequest, endpoint: UpstreamEndpoint, now: float
    ) -> Attempt:
        """Enter an attempt, with a timer unless its request is not complete yet."""
        timeout_ms = order.timeout_ms
        attempt = Attempt(
            order.request_id,
            order.attempt,
            endpoint,
            endpoint.version,
            order.payload,
            now,
            now + timeout_ms,
        )
        self.attempts[order.request_id, order.attempt] = attempt
        endpoint.open_attempts += 1
        stream = attempt.request.body_stream
        if stream is not None and not stream.complete:
            attempt.timeout_ms, attempt.deadline_ms = timeout_ms, math.inf
            stream.on_data = partial(self._body_progressed, attempt)
            stream.on_abort = partial(self.give_up, attempt, AttemptResult.CANCELLED)
        else:
            self._set_timer(attempt, timeout_ms)
        return attempt

    async def _reuse_after_delay(self, attempt: Attempt, connection: UpstreamConnection) -> None:
        """Write an attempt on a connection that has just had a response, after a delay."""
        try:
            await asyncio.sleep(self.pool.reuse_delay_s(connection))
        except asyncio.CancelledError:
            self.pool.park(connection)
            raise
        if self.pool.is_reusable(connection):
            attempt.connecting = None
            self.write_attempt(attempt, connection)
        else:
            connection.transport.abort()
            await self.connect(attempt)

    async def connect(self, attempt: Attempt) -> None:
        """Write an attempt on a new connection; where there is none, no byte has been sent."""
        endpoint = attempt.endpoint
        if not await self.pool.make_room():
            NO_DESCRIPTORS(server=endpoint.address_text, request=attempt.request_id)
            self.end(attempt, AttemptResult.UNREACHABLE)
            return
        connection = UpstreamConnection(self, endpoint)
        try:
            await self.pool.connect(connection)
        except (OSError, UnicodeError):
            self.end(attempt, AttemptResult.UNREACHABLE)
            return
        attempt.connecting = None
        self.write_attempt(attempt, connection)

    def write_attempt(self, attempt: Attempt, connection: UpstreamConnection) -> None:
        """Begin to write an attempt, if it still may be; no other place does.

        Meanwhile its request may have ended, its time passed, or its endpoint begun to drain.
        """
        endpoint = attempt.endpoint
        is_usable = (
            attempt.version == endpoint.version
            and endpoint.state is EndpointState.READY
            and not connection.transport.is_closing()
        )
        left_ms = attempt.deadline_ms - now_ms()
        is_awaited = self.callbacks.is_awaited(attempt.request_id)
        result = blocked_result(is_awaited, is_usable, left_ms)
        if result is None:
            connection.begin_attempt(attempt)
            return
        if result is AttemptResult.NOT_SENT and is_usable:
            self.pool.park(connection)
        else:
            connection.transport.abort()
        self.end(attempt, result)

    def buffer_limit_bytes(self) -> int:
        """Return how much of a response may be buffered at present."""
        return self.memory_budget.buffer_limit_bytes

    # Time.

    def _set_timer(self, attempt: Attempt, timeout_ms: float) -> None:
        delay_s = max(0.0, timeout_ms) / 1000
        attempt.timer = self.loop.call_later(delay_s, self.time_out, attempt)

    def _body_progressed(self, attempt: Attempt) -> None:
        """Take note of more of a request whose connection is not up yet."""
        assert attempt.request.body_stream is not None
        if attempt.request.body_stream.complete:
            self.start_timeout(attempt)

    def start_timeout(self, attempt: Attempt) -> None:
        """Have the time of an attempt count from now on: its request is complete."""
        if attempt.timer is None and math.isinf(attempt.deadline_ms):
            attempt.started_ms = now_ms()
            attempt.deadline_ms = attempt.started_ms + attempt.timeout_ms
            self._set_timer(attempt, attempt.timeout_ms)

    def cancel_timers(self, attempt: Attempt) -> None:
        """Have the time of an attempt count no longer."""
        for timer in (attempt.timer, attempt.stream_timer):
            if timer is not None:
                timer.cancel()

    def time_out(self, attempt: Attempt) -> None:
        """End an attempt whose time is up, after one last look at its connection."""
        # The loop runs timers before it reads: after a stall the response may lie in the socket
        # unread, and an endpoint that did its work would pass for a silent one.
        if not attempt.timed_out:
            attempt.timed_out = True
            attempt.timer = self.loop.call_later(LAST_READ_DELAY_S, self.time_out, attempt)
            return
        if attempt.connection is not None and attempt.connection.exchange.can_stream:
            # It may be a long response, whose first bytes are in time.
            attempt.connection.begin_streaming()
            return
        self.give_up(attempt, TIMEOUT_RESULTS[attempt.phase])

    def sweep(self) -> None:
        """Give up streams that stand still, and close connections that are idle for too long."""
        self.loop.call_later(SWEEP_INTERVAL_S, self.sweep)
        self.pool.idle_time_limit.grow()
        now = now_ms()
        for connection in [*self.pool.connections]:
            attempt = connection.attempt
            if attempt is not None and stands_still(connection, attempt, now):
                self.give_up(attempt, TIMEOUT_RESULTS[attempt.phase])
        self.pool.sweep_idle(now)

    # Ends.

    def give_up(self, attempt: Attempt, result: AttemptResult) -> None:
        """Stop waiting for an attempt, and close its connection: a response may still come on it."""
        if attempt.connecting is not None:
            attempt.connecting.cancel()
        if attempt.connection is not None:
            attempt.connection.release_attempt(whole=False)
            attempt.connection.exchange.close()
            attempt.connection.transport.abort()
        self.end(attempt, result)

    def end(
        self, attempt: Attempt, result: AttemptResult, response: Response | None = None
    ) -> None:
        """Report the end of an attempt, once."""
        if self.attempts.pop((attempt.request_id, attempt.attempt), None) is None:
            return
        check_result(attempt.phase, result)
        self.cancel_timers(attempt)
        attempt.connecting = attempt.connection = None
        endpoint = attempt.endpoint
        endpoint.open_attempts -= 1
        self.pool.forget_if_gone(endpoint)
        elapsed_ms = now_ms() - attempt.started_ms
        stream = attempt.request.body_stream
        body_consumed = stream is not None and stream.consumed
        if stream is not None:
            stream.on_data = stream.on_abort = ignore
        self.callbacks.on_attempt_ended(
            attempt.request_id,
            attempt.attempt,
            endpoint.id,
            result,
            elapsed_ms,
            response,
            body_consumed=body_consumed,
        )


def stands_still(connection: UpstreamConnection, attempt: Attempt, now: float) -> bool:
    """Return whether a stream on a connection has made no progress for too long.

    A request may come in slowly, which is its client's affair: only an endpoint that does not read
    is given up.
    """
    if attempt.phase is AttemptPhase.UPLOADING:
        if not connection.write_paused:
            return False
    elif attempt.phase is not AttemptPhase.STREAMING:
        return False
    limit_ms = CLIENT_STALL_MS if connection.read_paused else STREAM_SILENCE_MS
    return now - connection.last_progress_ms > limit_ms
