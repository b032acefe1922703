"""Drives the way to the servers: pooled connections, attempts on them, and how each attempt
ended."""

from __future__ import annotations

import asyncio
import math
import select
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Protocol, cast

from badgercart.config import Address
from badgercart.core import read_buffer as reading
from badgercart.core.clock import now_ms
from badgercart.core.endpoint_table import DiscoveredEndpoint
from badgercart.core.memory_budget import MemoryBudget, budget_bytes
from badgercart.core.ports import AttemptRequest, UpstreamResponse
from badgercart.core.results import attempt_result
from badgercart.core.streams import ResponseHeaderSection, ResponseSink, do_nothing
from badgercart.policy.endpoint import EndpointState
from badgercart.policy.events import AttemptResult
from badgercart.upstream.attempts import (
    CONNECTION_LOST_RESULTS,
    TIMEOUT_RESULTS,
    AttemptPhase,
    IdleTimeout,
    check_result,
    result_if_blocked,
)
from badgercart.upstream.exchange import (
    CompleteResponse,
    Exchange,
    ExchangeResult,
    MalformedResponse,
    UpstreamRequest,
)
from badgercart.upstream.log_events import MALFORMED_ANSWER, NO_DESCRIPTORS

FINAL_READ_DELAY_S = 0.001  # s, one turn of the loop, between an attempt's time and its end
SCAN_INTERVAL_S = 1.0  # s between looks for connections that have been idle for too long
# ms that a connection rests between an answer and the next request. A second answer may come some
# ms behind the first, and would pass for the next one's: answers do not say whose they are. Seen:
# 1.2 to 3.5 ms.
REUSE_DELAY_MS = 10.0
MAX_BUFFERING_S = 0.1  # s after its first byte that an answer of unknown length is held
SERVER_STALL_TIMEOUT_MS = (
    10_000.0  # ms without a byte after which a server's answer, or its reading, is given up
)
CLIENT_STALL_TIMEOUT_MS = (
    30_000.0  # ms without room at the client after which its answer is given up
)


@dataclass(slots=True, eq=False)
class Attempt:
    request_id: int
    number: int
    server: Server
    server_version: int  # of the server's entry when the attempt was decided
    request: UpstreamRequest
    started_ms: float
    deadline_ms: float
    phase: AttemptPhase = AttemptPhase.CONNECTING
    past_deadline: bool = False
    timeout_ms: float = 0.0  # ms, where it counts from when the request is whole
    timer: asyncio.TimerHandle | None = None
    streaming_timer: asyncio.TimerHandle | None = (
        None  # when its answer begins to go on at the latest
    )
    connect_task: asyncio.Task[None] | None = None
    connection: ServerConnection | None = None


@dataclass(slots=True, eq=False)
class Server:
    """A server at its address. The version counts changes after which old connections are not
    used."""

    id: int
    address: Address
    state: EndpointState
    started_ms: float
    version: int = 0
    open_attempts: int = 0  # attempts
    idle_connections: list[ServerConnection] = field(
        default_factory=list
    )  # the most recently used last

    @property
    def endpoint(self) -> str:
        return f"{self.address[0]}:{self.address[1]}"


class ServerConnection(asyncio.BufferedProtocol):
    """One connection; it carries one attempt at a time."""

    transport: asyncio.Transport

    def __init__(self, pool: ServerPool, server: Server) -> None:
        self.pool = pool
        self.server = server
        self.version = server.version
        self.exchange = Exchange()
        self.attempt: Attempt | None = None
        self.idle_since_ms = 0.0
        self.idle_ms = 0.0  # ms before the attempt
        self.buffered_bytes = 0  # bytes of an answer that count as held
        self.sink: ResponseSink | None = None  # where the answer goes on to
        self.write_paused = self.read_paused = False  # writing; reading
        self.last_progress_ms = 0.0  # ms, when something last went on, of what goes on as it comes

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # Not isinstance: uvloop's transports do not derive from asyncio's. They come with
        # TCP_NODELAY set.
        self.transport = cast(asyncio.Transport, transport)
        self.socket_poll = select.poll()
        self.socket_poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)

    def connection_lost(self, exc: Exception | None) -> None:
        self.exchange.close()
        self.exchange.release_parser()
        self.pool.connections.discard(self)
        if self in self.server.idle_connections:
            self.server.idle_connections.remove(self)
        if (attempt := self.attempt) is not None:
            # Where the request has been given to the transport, what its buffer held is no proof
            # that the server did not get it: the attempt may have run.
            self.pool.idle_timeout.record_reuse(self.idle_ms, self.exchange.response_bytes > 0)
            self.detach_attempt(complete=False)
            self.pool.finish_attempt(attempt, CONNECTION_LOST_RESULTS[attempt.phase])

    def is_quiet(self) -> bool:
        """Whether it is open and nothing lies unread in it, which would pass for the next answer.

        What came right behind the last answer, or a close, may not have reached the loop yet."""
        return not self.transport.is_closing() and not self.socket_poll.poll(0)

    def start_attempt(self, attempt: Attempt) -> None:
        self.attempt = attempt
        self.idle_ms = attempt.started_ms - self.idle_since_ms if self.idle_since_ms else 0.0
        attempt.connection = self
        request = attempt.request
        attempt.phase = (
            AttemptPhase.SENT if request.upload is None else AttemptPhase.STREAMING_REQUEST
        )
        self.exchange.message_limit_bytes = self.pool.message_limit_bytes
        remaining_ms = attempt.deadline_ms - now_ms()
        self.transport.write(
            self.exchange.start_request(
                request, remaining_ms if math.isfinite(remaining_ms) else attempt.timeout_ms
            )
        )
        if request.upload is not None:
            self.last_progress_ms = now_ms()
            self.transport.set_write_buffer_limits(high=self.pool.memory_budget.stream_window_bytes)
            request.upload.on_data = self.forward_upload
            self.forward_upload()

    def request_sent(self) -> bool:
        """Whether the request that it carries has left this process."""
        if self.attempt is not None and self.attempt.phase is AttemptPhase.SENT:
            return self.transport.is_closing() or not self.transport.get_write_buffer_size()
        return self.attempt is None or self.attempt.phase is not AttemptPhase.STREAMING_REQUEST

    # A request that comes in, and an answer that goes on, as they come.

    def forward_upload(self) -> None:
        attempt = self.attempt
        if (
            attempt is None
            or attempt.phase is not AttemptPhase.STREAMING_REQUEST
            or self.write_paused
            or self.transport.is_closing()
        ):
            return
        upload = attempt.request.upload
        assert upload is not None
        if data := self.exchange.read_upload():
            self.last_progress_ms = now_ms()
            self.transport.write(data)
        if upload.exhausted:
            attempt.phase = AttemptPhase.SENT
            upload.on_data = do_nothing
            self.pool.start_timeout(attempt)

    def pause_writing(self) -> None:
        self.write_paused = True

    def resume_writing(self) -> None:
        self.write_paused, self.last_progress_ms = False, now_ms()
        self.forward_upload()

    def start_streaming(self) -> None:
        """Let the answer go on as it comes."""
        attempt, pool = self.attempt, self.pool
        if (
            attempt is None
            or attempt.phase is AttemptPhase.STREAMING_REQUEST
            or self.exchange.streaming
        ):
            return
        attempt.phase = AttemptPhase.STREAMING_RESPONSE
        pool.cancel_timers(attempt)
        header_section, elapsed_ms = self.exchange.start_streaming(), now_ms() - attempt.started_ms
        self.sink = pool.on_response_started(
            attempt.request_id, attempt.number, self.server.id, elapsed_ms, header_section
        )
        if self.sink is None:  # nobody waits for it any more
            pool.abort_attempt(attempt, AttemptResult.CANCELLED)
            return
        pool.memory_budget.stream_count += 1
        self.sink.set_callbacks(self.on_space, self.on_abandoned)
        self.forward_response()

    def forward_response(self) -> None:
        assert self.sink is not None
        data = self.exchange.take_body()
        if not data:
            return
        self.last_progress_ms = now_ms()
        if not self.sink.write_body(data) and self.sink is not None and not self.read_paused:
            self.read_paused = True
            self.transport.pause_reading()

    def on_space(self) -> None:
        if self.read_paused and not self.transport.is_closing():
            self.read_paused, self.last_progress_ms = False, now_ms()
            self.transport.resume_reading()

    def on_abandoned(self) -> None:
        """The client has gone away."""
        self.sink = None
        self.pool.memory_budget.stream_count -= 1
        if self.attempt is not None:
            self.pool.abort_attempt(self.attempt, AttemptResult.CANCELLED)

    def detach_attempt(self, complete: bool) -> Attempt | None:
        """Part from the attempt, which is over: nothing more goes on."""
        attempt, self.attempt = self.attempt, None
        if self.buffered_bytes:
            self.set_buffered_bytes(0)
        if (sink := self.sink) is not None:
            self.sink = None
            self.pool.memory_budget.stream_count -= 1
            if complete:
                sink.finish_body()
            else:
                sink.abort_body()
        return attempt

    def set_buffered_bytes(self, buffered_bytes: int) -> None:
        self.pool.memory_budget.buffered_bytes += buffered_bytes - self.buffered_bytes
        self.buffered_bytes = buffered_bytes

    # From the transport.

    def get_buffer(self, sizehint: int) -> memoryview:
        return reading.get_read_buffer()

    def buffer_updated(self, nbytes: int) -> None:
        result = self.exchange.receive(reading.copy_read_bytes(nbytes))
        if result is not None:
            self.handle_result(result)
        elif self.exchange.streaming:
            self.forward_response()
        elif self.exchange.must_stream:
            self.start_streaming()
        else:
            self.set_buffered_bytes(len(self.exchange.body))
            attempt = self.attempt
            if attempt is not None and attempt.streaming_timer is None and self.exchange.can_stream:
                attempt.streaming_timer = self.pool.loop.call_later(
                    MAX_BUFFERING_S, self.start_streaming
                )

    def eof_received(self) -> None:
        if (result := self.exchange.receive_eof()) is not None:
            self.handle_result(result)

    def handle_result(self, result: ExchangeResult) -> None:
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
        else:  # nothing was asked
            self.transport.abort()


class AttemptEndedCallback(Protocol):
    """Who is told of the end of an attempt, with the answer where one came whole."""

    def __call__(
        self,
        request_id: int,
        attempt_number: int,
        endpoint_id: int,
        result: AttemptResult,
        elapsed_ms: float,
        response: UpstreamResponse | None = None,
        *,
        body_consumed: bool = False,
    ) -> None: ...  # fmt: skip


# Request, number of the attempt, server, ms until now, the answer's head; where it goes, None:
# nowhere.
ResponseStartedCallback = Callable[
    [int, int, int, float, ResponseHeaderSection], ResponseSink | None
]


def assume_awaited(request_id: int) -> bool:
    """For who does not tell which requests still wait."""
    return True


def reject_streaming(
    request_id: int,
    attempt_number: int,
    endpoint_id: int,
    elapsed_ms: float,
    header_section: ResponseHeaderSection,
) -> ResponseSink | None:
    """For fronts whose messages ask for no answer as it comes."""
    return None


class ServerPool:
    """All servers that a list has named, and all attempts that are out."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        connect_timeout_ms: float,
        idle_timeout_ms: float,
        max_connections: int,
        on_attempt_ended: AttemptEndedCallback,
        on_response_started: ResponseStartedCallback = reject_streaming,
        memory_budget: MemoryBudget | None = None,
        source_address: str | None = None,  # the address that connections set out from
        is_awaited: Callable[[int], bool] = assume_awaited,
    ) -> None:
        self.loop = loop
        self.is_awaited = is_awaited
        self.local_address = (source_address, 0) if source_address else None
        self.connect_timeout_ms = connect_timeout_ms
        self.idle_timeout = IdleTimeout(idle_timeout_ms)
        self.max_connections = max_connections
        self.on_attempt_ended = on_attempt_ended
        self.on_response_started = on_response_started
        self.memory_budget = memory_budget or MemoryBudget(budget_bytes(0))
        self.servers: dict[int, Server] = {}
        self.attempts: dict[tuple[int, int], Attempt] = {}
        self.connections: set[ServerConnection] = set()
        self.connecting = 0
        self.loop.call_later(SCAN_INTERVAL_S, self.scan)

    def update(self, endpoint: DiscoveredEndpoint) -> None:
        """Take over a line of the server list."""
        entry, address = endpoint.entry, endpoint.address
        server_id, state, started_ms = entry.id, entry.state, entry.started_ms
        server = self.servers.get(server_id)
        if server is None:
            if state is not EndpointState.GONE:
                self.servers[server_id] = Server(server_id, address, state, started_ms)
        elif (server.address, server.state, server.started_ms) != (address, state, started_ms):
            # Connections from before a restart are dead, and a server that drains gets nothing new.
            server.address, server.state, server.started_ms = address, state, started_ms
            server.version += 1
            for connection in server.idle_connections:
                connection.transport.close()
            server.idle_connections.clear()
            self.remove_if_gone(server)

    def remove_if_gone(self, server: Server) -> None:
        """Ids are ever new: a server that is gone leaves with its last attempt."""
        if (
            server.state is EndpointState.GONE
            and not server.open_attempts
            and self.servers.get(server.id) is server
        ):
            del self.servers[server.id]

    def send(self, attempt_request: AttemptRequest) -> None:
        server = self.servers[attempt_request.endpoint_id]
        now, timeout_ms = now_ms(), attempt_request.timeout_ms
        attempt = Attempt(
            attempt_request.request_id,
            attempt_request.attempt,
            server,
            server.version,
            attempt_request.payload,
            now,
            now + timeout_ms,
        )
        self.attempts[attempt_request.request_id, attempt_request.attempt] = attempt
        server.open_attempts += 1
        upload = attempt_request.payload.upload
        if upload is not None and not upload.complete:
            attempt.timeout_ms, attempt.deadline_ms = timeout_ms, math.inf
            upload.on_data = partial(self.on_upload_data, attempt)
            upload.on_abandoned = partial(self.abort_attempt, attempt, AttemptResult.CANCELLED)
        else:
            attempt.timer = self.loop.call_later(
                max(0.0, timeout_ms) / 1000, self.on_timeout, attempt
            )
        position = len(server.idle_connections)
        while (
            position and now - server.idle_connections[position - 1].idle_since_ms < REUSE_DELAY_MS
        ):
            position -= 1
        while position:
            position -= 1
            connection = server.idle_connections.pop(position)
            if self.is_reusable(connection):
                self.begin_attempt(attempt, connection)
                return
            connection.transport.abort()
        connecting = (
            self.send_after_reuse_delay(attempt, server.idle_connections.pop(0))
            if server.idle_connections
            else self.connect(attempt)
        )
        attempt.connect_task = self.loop.create_task(connecting)

    async def send_after_reuse_delay(self, attempt: Attempt, connection: ServerConnection) -> None:
        """Go out on a connection that has just had an answer, once it has rested."""
        try:
            await asyncio.sleep((REUSE_DELAY_MS + connection.idle_since_ms - now_ms()) / 1000)
        except asyncio.CancelledError:
            self.keep_idle(connection)
            raise
        if self.is_reusable(connection):
            attempt.connect_task = None
            self.begin_attempt(attempt, connection)
        else:
            connection.transport.abort()
            await self.connect(attempt)

    def is_reusable(self, connection: ServerConnection) -> bool:
        """Whether an idle connection can carry the next request."""
        return (
            now_ms() - connection.idle_since_ms < self.idle_timeout.limit_ms
            and connection.is_quiet()
        )

    def begin_attempt(self, attempt: Attempt, connection: ServerConnection) -> None:
        """The one place where an attempt begins to be written, if it still may be.

        Meanwhile its request may have ended, its time passed, or its server begun to drain."""
        server = attempt.server
        server_usable = (
            attempt.server_version == server.version and server.state is EndpointState.READY
        )
        server_usable = server_usable and not connection.transport.is_closing()
        remaining_ms = attempt.deadline_ms - now_ms()
        blocked_result = result_if_blocked(
            self.is_awaited(attempt.request_id), server_usable, remaining_ms
        )
        if blocked_result is None:
            connection.start_attempt(attempt)
            return
        if blocked_result is AttemptResult.NOT_SENT and server_usable:  # nothing is wrong with it
            self.keep_idle(connection)
        else:
            connection.transport.abort()
        self.finish_attempt(attempt, blocked_result)

    def message_limit_bytes(self) -> int:
        return self.memory_budget.message_limit_bytes

    def on_upload_data(self, attempt: Attempt) -> None:
        """More of a request whose connection is not up yet."""
        assert attempt.request.upload is not None
        if attempt.request.upload.complete:
            self.start_timeout(attempt)

    def start_timeout(self, attempt: Attempt) -> None:
        """Its request is whole: its time counts from now on."""
        if attempt.timer is None and math.isinf(attempt.deadline_ms):
            attempt.started_ms = now_ms()
            attempt.deadline_ms = attempt.started_ms + attempt.timeout_ms
            attempt.timer = self.loop.call_later(
                max(0.0, attempt.timeout_ms) / 1000, self.on_timeout, attempt
            )

    def cancel_timers(self, attempt: Attempt) -> None:
        for timer in (attempt.timer, attempt.streaming_timer):
            if timer is not None:
                timer.cancel()

    async def connect(self, attempt: Attempt) -> None:
        """Open a connection for an attempt; no byte has been sent where this fails."""
        server = attempt.server
        while self.open_connections >= self.max_connections and self.close_longest_idle():
            await asyncio.sleep(0)  # it holds its descriptor until then
        if self.open_connections >= self.max_connections:
            NO_DESCRIPTORS(server=server.endpoint, request=attempt.request_id)
            self.finish_attempt(attempt, AttemptResult.UNREACHABLE)
            return
        self.connecting += 1
        connection = ServerConnection(self, server)
        try:
            async with asyncio.timeout(self.connect_timeout_ms / 1000):
                await self.loop.create_connection(
                    lambda: connection, *server.address, local_addr=self.local_address
                )
        except (OSError, UnicodeError):  # no connection in time, or an address that is none
            connection.exchange.release_parser()
            self.finish_attempt(attempt, AttemptResult.UNREACHABLE)
            return
        except asyncio.CancelledError:
            connection.exchange.release_parser()
            raise
        finally:
            self.connecting -= 1
        attempt.connect_task = None
        # Counted from here, not from connection_made: a dial that is cancelled just as it comes up
        # is closed by uvloop without connection_lost, and would count against the limit for ever.
        if not connection.transport.is_closing():
            self.connections.add(connection)
        self.begin_attempt(attempt, connection)

    @property
    def open_connections(self) -> int:
        """Connections that hold a descriptor."""
        return len(self.connections) + self.connecting

    def set_timeouts(self, connect_timeout_ms: float, idle_timeout_ms: float) -> None:
        self.connect_timeout_ms = connect_timeout_ms
        self.idle_timeout.set_announced(idle_timeout_ms)

    def set_max_connections(self, max_connections: int) -> None:
        """Have another limit of connections; idle ones over it are closed."""
        self.max_connections = max_connections
        for _ in range(self.open_connections - max_connections):
            if not self.close_longest_idle():
                return

    def close_longest_idle(self) -> bool:
        candidates = [
            server.idle_connections[0]
            for server in self.servers.values()
            if server.idle_connections
        ]
        if not candidates:
            return False
        connection = min(candidates, key=lambda c: c.idle_since_ms)
        connection.server.idle_connections.remove(connection)
        connection.transport.abort()
        return True

    def keep_idle(self, connection: ServerConnection) -> None:
        """Keep a connection for the next attempt, if its server still is the one it was opened
        to."""
        server = connection.server
        if connection.version != server.version or server.state is not EndpointState.READY:
            connection.transport.close()
            return
        connection.idle_since_ms = now_ms()
        server.idle_connections.append(connection)

    def scan(self) -> None:
        self.loop.call_later(SCAN_INTERVAL_S, self.scan)
        self.idle_timeout.grow()
        now = now_ms()
        for connection in [*self.connections]:
            attempt = connection.attempt
            if attempt is None or attempt.phase not in (
                AttemptPhase.STREAMING_REQUEST,
                AttemptPhase.STREAMING_RESPONSE,
            ):
                continue
            # A request may come in slowly: that is its client's affair, and only a server that does
            # not read is given up.
            is_stalled = (
                connection.write_paused if attempt.phase is AttemptPhase.STREAMING_REQUEST else True
            )
            if is_stalled and now - connection.last_progress_ms > (
                CLIENT_STALL_TIMEOUT_MS if connection.read_paused else SERVER_STALL_TIMEOUT_MS
            ):
                self.abort_attempt(attempt, TIMEOUT_RESULTS[attempt.phase])
        before = now - self.idle_timeout.limit_ms
        for server in self.servers.values():
            while server.idle_connections and server.idle_connections[0].idle_since_ms < before:
                server.idle_connections.pop(0).transport.close()

    def on_timeout(self, attempt: Attempt) -> None:
        # The loop runs timers before it reads: after a stall the answer may lie in the socket
        # unread, and a server that did its work would pass for a silent one. So it reads once more
        # first.
        if not attempt.past_deadline:
            attempt.past_deadline = True
            attempt.timer = self.loop.call_later(FINAL_READ_DELAY_S, self.on_timeout, attempt)
            return
        if attempt.connection is not None and attempt.connection.exchange.can_stream:
            attempt.connection.start_streaming()  # it may be a long one, whose first bytes are in time
            return
        # Where no connection came up in the whole time, nothing was sent.
        self.abort_attempt(attempt, TIMEOUT_RESULTS[attempt.phase])

    def cancel(self, request_id: int, attempt_number: int) -> None:
        attempt = self.attempts.get((request_id, attempt_number))
        if attempt is not None:
            self.abort_attempt(attempt, AttemptResult.CANCELLED)

    def abandon_attempt(self, request_id: int, attempt_number: int) -> None:
        """Nobody waits for it: what has not been written of it never is. A server begins a request
        with its last byte, so one whose last byte is still here never runs."""
        attempt = self.attempts.get((request_id, attempt_number))
        if attempt is None:
            return
        if attempt.phase is AttemptPhase.CONNECTING:
            self.abort_attempt(attempt, AttemptResult.NOT_SENT)
        elif attempt.connection is not None and not attempt.connection.request_sent():
            self.abort_attempt(attempt, AttemptResult.CANCELLED)

    def abort_attempt(self, attempt: Attempt, result: AttemptResult) -> None:
        """Stop waiting: the connection is of no more use, an answer may still come on it."""
        if attempt.connect_task is not None:
            attempt.connect_task.cancel()
        if attempt.connection is not None:
            attempt.connection.detach_attempt(complete=False)
            attempt.connection.exchange.close()
            attempt.connection.transport.abort()
        self.finish_attempt(attempt, result)

    def finish_attempt(
        self, attempt: Attempt, result: AttemptResult, response: UpstreamResponse | None = None
    ) -> None:
        if self.attempts.pop((attempt.request_id, attempt.number), None) is None:
            return
        check_result(attempt.phase, result)
        self.cancel_timers(attempt)
        attempt.connect_task = attempt.connection = None
        attempt.server.open_attempts -= 1
        self.remove_if_gone(attempt.server)
        elapsed_ms = now_ms() - attempt.started_ms
        upload = attempt.request.upload
        body_consumed = upload is not None and upload.consumed
        if upload is not None:
            upload.on_data = upload.on_abandoned = do_nothing
        endpoint_id = attempt.server.id
        self.on_attempt_ended(
            attempt.request_id,
            attempt.number,
            endpoint_id,
            result,
            elapsed_ms,
            response,
            body_consumed=body_consumed,
        )
