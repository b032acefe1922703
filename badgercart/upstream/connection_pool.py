"""The connection pool: connections to servers, the attempts on them, and how each attempt ended."""

from __future__ import annotations

import asyncio
import errno
import math
from collections.abc import Callable
from functools import partial
from typing import Protocol

from badgercart.core.clock import MS_PER_S, now_ms
from badgercart.core.endpoint_table import DiscoveredEndpoint
from badgercart.core.memory_budget import MemoryBudget, budget_bytes
from badgercart.core.ports import AttemptRequest, UpstreamResponse
from badgercart.core.streams import ResponseHeaderSection, ResponseSink, do_nothing
from badgercart.policy.endpoint import EndpointState
from badgercart.policy.events import AttemptResult
from badgercart.upstream.attempts import (
    TIMEOUT_RESULTS,
    AttemptPhase,
    IdleTimeout,
    check_result,
    result_if_blocked,
)
from badgercart.upstream.descriptor_queue import DescriptorQueue
from badgercart.upstream.log_events import (
    CLIENT_STALLED,
    CONNECT_FAILED,
    NO_DESCRIPTORS,
    REPEAT_TOO_LATE,
    UPLOAD_TIMED_OUT,
)
from badgercart.upstream.response_deadline import (
    FINAL_READ_DELAY_S,
    ResponseDeadlines,
    log_stopped,
    no_deadline,
)
from badgercart.upstream.server_connection import Attempt, Server, ServerConnection
from badgercart.upstream.stalled_streams import StalledStream, longest_stalled

# The interval of the scan for stalled and idle connections.
SCAN_INTERVAL_S = 1.0
# The pause of a connection between a response and the next request. A second response may follow
# the first by some ms, and would be taken for the next request's: responses do not say which
# request they belong to.
REUSE_DELAY_MS = 10.0
MIN_SLEEP_MS = 1.0  # the resolution of timers
# How often streams are looked at while attempts wait for a descriptor.
STALL_CHECK_INTERVAL_S = 0.05
# A streamed attempt is aborted when the server sends or reads nothing for this time.
SERVER_STALL_TIMEOUT_MS = 10_000.0
STREAMING_PHASES = (AttemptPhase.STREAMING_REQUEST, AttemptPhase.STREAMING_RESPONSE)
# A streamed response is aborted when its client takes nothing for this time.
CLIENT_STALL_TIMEOUT_MS = 30_000.0


# Errors of connect(2), socket(2) and bind(2) that say nothing of the server.
LOCAL_SHORTAGES = frozenset(
    {
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.EADDRNOTAVAIL,
        errno.EAGAIN,
        errno.EINTR,
    }
)
SHORTAGE_RETRY_S = 0.01


class LocalShortageError(OSError):
    """This machine lacked what a connection takes for as long as a connect may take."""


class AttemptEndedCallback(Protocol):
    """Receives the end of an attempt, with the response where one arrived completely."""

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
    ) -> None:
        """Receive the end of an attempt."""


# Receives the start of a streamed response: the request's id, the attempt's number, the endpoint's
# id, ms since the attempt was sent, and the header section. Returns the destination of the body;
# None: the request is not in flight any more.
ResponseStartedCallback = Callable[
    [int, int, int, float, ResponseHeaderSection], ResponseSink | None
]


def assume_awaited(request_id: int) -> bool:
    """Return True, where it is not known which requests are still in flight."""
    return True


def never_cut_short(request_id: int) -> bool:
    """Return False, where the end of the process is not known."""
    return False


def any_time(request_id: int, attempt_number: int) -> float:
    """Return infinity, where nothing limits when an attempt may be written."""
    return math.inf


def reject_streaming(
    request_id: int,
    attempt_number: int,
    endpoint_id: int,
    elapsed_ms: float,
    header_section: ResponseHeaderSection,
) -> ResponseSink | None:
    """Return no destination, for frontends that ask for no streamed response."""
    return None


class ServerPool:
    """All servers of the endpoint list with their connections, and all open attempts."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        connect_timeout_ms: float,
        idle_timeout_ms: float,
        max_connections: int,
        on_attempt_ended: AttemptEndedCallback,
        on_response_started: ResponseStartedCallback = reject_streaming,
        memory_budget: MemoryBudget | None = None,
        source_address: str | None = None,  # the local address of connections
        is_awaited: Callable[[int], bool] = assume_awaited,
        latest_write_ms: Callable[[int, int], float] = any_time,
        response_deadline_ms: Callable[[int], float] = no_deadline,
        is_cut_short: Callable[[int], bool] = never_cut_short,
    ) -> None:
        self.loop = loop
        self.response_deadlines = ResponseDeadlines(loop, response_deadline_ms, self.end_timed_out)
        self.is_awaited, self.is_cut_short = is_awaited, is_cut_short
        self.latest_write_ms = latest_write_ms
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
        self.descriptor_queue = DescriptorQueue(loop)
        self.stall_timer: asyncio.TimerHandle | None = None
        self.loop.call_later(SCAN_INTERVAL_S, self.scan)

    def update(self, endpoint: DiscoveredEndpoint) -> None:
        """Apply an entry of the endpoint list."""
        entry, address = endpoint.entry, endpoint.address
        server_id, state, started_ms = entry.id, entry.state, entry.started_ms
        server = self.servers.get(server_id)
        if server is None:
            if state is not EndpointState.GONE:
                self.servers[server_id] = Server(server_id, address, state, started_ms)
        elif (server.address, server.state, server.started_ms) != (address, state, started_ms):
            # Connections from before a restart are dead, and a draining server gets no new request.
            server.address, server.state, server.started_ms = address, state, started_ms
            server.version += 1
            for connection in server.idle_connections:
                connection.transport.close()
            server.idle_connections.clear()
            self.remove_if_gone(server)

    def remove_if_gone(self, server: Server) -> None:
        """Remove a server that is gone once it has no attempt: ids are never used again."""
        if (
            server.state is EndpointState.GONE
            and not server.open_attempts
            and self.servers.get(server.id) is server
        ):
            del self.servers[server.id]

    def send(self, attempt_request: AttemptRequest) -> None:
        """Start an attempt on a reusable connection, or on a new one."""
        server = self.servers[attempt_request.endpoint_id]
        now, timeout_ms = now_ms(), attempt_request.timeout_ms
        attempt = Attempt(
            attempt_request.request_id,
            attempt_request.attempt,
            server,
            server.version,
            attempt_request.payload,
            attempt_request.payload.upload,
            now,
            now + timeout_ms,
        )
        self.attempts[attempt_request.request_id, attempt_request.attempt] = attempt
        server.open_attempts += 1
        upload = attempt.upload
        if upload is not None and not upload.arrived:
            attempt.timeout_ms, attempt.deadline_ms = timeout_ms, math.inf
            upload.on_data = partial(self.on_upload_data, attempt)
            upload.on_abandoned = partial(self.abort_attempt, attempt, AttemptResult.CANCELLED)
        else:
            attempt.timer = self.loop.call_later(
                max(0.0, timeout_ms) / 1000, self.on_timeout, attempt
            )
        if (connection := self.take_reusable_connection(server, now)) is not None:
            self.begin_attempt(attempt, connection)
            return
        connecting = (
            self.send_after_reuse_delay(attempt, server.idle_connections.pop(0))
            if server.idle_connections
            else self.connect(attempt)
        )
        attempt.connect_task = self.loop.create_task(connecting)

    def take_reusable_connection(self, server: Server, now: float) -> ServerConnection | None:
        """Take the most recently used idle connection whose pause is over; close those that broke."""
        connections = server.idle_connections
        position = len(connections)
        while position and now - connections[position - 1].idle_since_ms < REUSE_DELAY_MS:
            position -= 1
        while position:
            position -= 1
            connection = connections.pop(position)
            if self.is_reusable(connection):
                return connection
            connection.transport.abort()
        return None

    async def send_after_reuse_delay(self, attempt: Attempt, connection: ServerConnection) -> None:
        """Send on a connection that has just had a response, once its pause is over."""
        try:
            # Timers may fire up to a ms early.
            while (remaining_ms := REUSE_DELAY_MS - (now_ms() - connection.idle_since_ms)) > 0:
                await asyncio.sleep(max(remaining_ms, MIN_SLEEP_MS) / MS_PER_S)
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
        """Return whether an idle connection can carry the next request."""
        return (
            now_ms() - connection.idle_since_ms < self.idle_timeout.limit_ms
            and connection.is_quiet()
        )

    def begin_attempt(self, attempt: Attempt, connection: ServerConnection) -> None:
        """Write an attempt, if it still may be. This is the only place where that starts.

        In the meantime its request may have ended, its deadline or the time for repeats passed, or
        its server started to drain.
        """
        server = attempt.server
        server_usable = (
            attempt.server_version == server.version and server.state is EndpointState.READY
        )
        server_usable = server_usable and not connection.transport.is_closing()
        is_awaited, now = self.is_awaited(attempt.request_id), now_ms()
        repeat_remaining_ms = self.latest_write_ms(attempt.request_id, attempt.number) - now
        blocked_result = result_if_blocked(
            is_awaited, server_usable, attempt.deadline_ms - now, repeat_remaining_ms
        )
        if blocked_result is None:
            connection.start_attempt(attempt)
            return
        if is_awaited and blocked_result is AttemptResult.NOT_SENT:
            REPEAT_TOO_LATE(server=server.endpoint)
        # Nothing is wrong with the connection where the attempt alone is over.
        if blocked_result is AttemptResult.NOT_SENT and server_usable:
            self.keep_idle(connection)
        else:
            connection.transport.abort()
        self.finish_attempt(attempt, blocked_result)

    def message_limit_bytes(self) -> int:
        """Return how much of a response may be buffered now."""
        return self.memory_budget.message_limit_bytes

    def on_upload_data(self, attempt: Attempt) -> None:
        """Note more of a streamed request whose connection is not established yet."""
        assert attempt.upload is not None
        if attempt.upload.arrived:
            self.start_timeout(attempt)

    def start_timeout(self, attempt: Attempt) -> None:
        """Start the timeout of an attempt, as its request has arrived."""
        assert attempt.upload is not None
        if attempt.timer is None and math.isinf(attempt.deadline_ms):
            now = now_ms()
            attempt.started_ms = min(now, attempt.upload.arrived_ms)
            attempt.deadline_ms = attempt.started_ms + attempt.timeout_ms
            attempt.timer = self.loop.call_later(
                max(0.0, attempt.deadline_ms - now) / 1000, self.on_timeout, attempt
            )

    def cancel_timers(self, attempt: Attempt) -> None:
        """Cancel the timers of an attempt."""
        for timer in (attempt.timer, attempt.streaming_timer):
            if timer is not None:
                timer.cancel()

    async def connect(self, attempt: Attempt) -> None:
        """Open a connection for an attempt; no byte has been sent where this fails."""
        server = attempt.server
        if self.is_full and not await self.wait_for_descriptor():
            NO_DESCRIPTORS(server=server.endpoint, request=attempt.request_id)
            # No fault of the server, and no other server could be reached either.
            self.finish_attempt(attempt, AttemptResult.NOT_SENT)
            return
        self.connecting += 1
        connection = ServerConnection(self, server)
        try:
            await self.establish(connection)
        except LocalShortageError as error:
            connection.give_up()
            CONNECT_FAILED(server=server.endpoint, request=attempt.request_id, error=error)
            self.finish_attempt(attempt, AttemptResult.NOT_SENT)
            return
        except (OSError, UnicodeError):  # no connection in time, or an invalid address
            connection.give_up()
            self.finish_attempt(attempt, AttemptResult.UNREACHABLE)
            return
        except asyncio.CancelledError:
            connection.give_up()
            raise
        else:
            # Counted here, not in connection_made: uvloop closes a connection whose task is
            # cancelled just as it is established without connection_lost, and it would count
            # against the limit forever.
            if not connection.transport.is_closing():
                self.connections.add(connection)
        finally:
            self.connecting -= 1
            if connection not in self.connections:
                self.descriptor_queue.wake_next()
        attempt.connect_task = None
        self.begin_attempt(attempt, connection)

    async def establish(self, connection: ServerConnection) -> None:
        """Connect to a server; a lack of this machine's own resources may pass meanwhile.

        Raises LocalShortageError where it does not, OSError and UnicodeError.
        """
        shortage: OSError | None = None
        try:
            async with asyncio.timeout(self.connect_timeout_ms / 1000):
                while True:
                    try:
                        await self.loop.create_connection(
                            lambda: connection,
                            *connection.server.address,
                            local_addr=self.local_address,
                        )
                    except OSError as error:
                        if error.errno not in LOCAL_SHORTAGES:
                            raise
                        shortage = error
                    else:
                        return
                    await asyncio.sleep(SHORTAGE_RETRY_S)
        except TimeoutError:
            if shortage is not None:
                raise LocalShortageError(shortage.errno, shortage.strerror) from None
            raise
        finally:
            shortage = None  # it refers to this frame, by its traceback

    @property
    def is_full(self) -> bool:
        """Whether no further connection may be opened now."""
        return self.open_connections >= self.max_connections

    async def wait_for_descriptor(self) -> bool:
        """Wait for the time of a connect until another may be opened; return whether it may."""
        try:
            async with asyncio.timeout(self.connect_timeout_ms / 1000):
                while self.is_full:
                    if self.close_longest_idle():
                        # It holds its descriptor until the loop's next iteration.
                        await asyncio.sleep(0)
                    else:
                        self.watch_stalls()
                        await self.descriptor_queue.wait()
        except TimeoutError:
            return False
        return True

    def watch_stalls(self) -> None:
        """End stalled streams as long as attempts wait for descriptors."""
        if self.stall_timer is None:
            self.stall_timer = self.loop.call_later(STALL_CHECK_INTERVAL_S, self.check_stalls)

    def check_stalls(self) -> None:
        """End as many stalled streams as attempts wait."""
        self.stall_timer = None
        waiting = len(self.descriptor_queue)
        if not waiting:
            return
        self.watch_stalls()
        for stream in longest_stalled(self.connections, now_ms(), waiting):
            self.end_stalled(stream)

    def relieve_memory(self, wanted_bytes: int) -> int:
        """End streams whose clients make no progress; return what they held."""
        ended_bytes = 0
        for stream in longest_stalled(self.connections, now_ms(), len(self.connections)):
            if ended_bytes >= wanted_bytes:
                break
            ended_bytes += stream.connection.held_bytes()
            self.end_stalled(stream)
        return ended_bytes

    def end_stalled(self, stream: StalledStream) -> None:
        """End a stream whose client makes no progress."""
        attempt: Attempt = stream.connection.attempt
        CLIENT_STALLED(
            request=attempt.request_id, phase=attempt.phase.name, stalled=int(stream.stalled_ms)
        )
        is_upload = attempt.phase is AttemptPhase.STREAMING_REQUEST
        self.abort_attempt(
            attempt, AttemptResult.NOT_SENT if is_upload else AttemptResult.CANCELLED
        )

    def connection_closed(self, connection: ServerConnection) -> None:
        """Forget a connection, whose descriptor is free."""
        self.connections.discard(connection)
        self.descriptor_queue.wake_next()

    @property
    def open_connections(self) -> int:
        """The number of connections that hold a descriptor."""
        return len(self.connections) + self.connecting

    def set_timeouts(self, connect_timeout_ms: float, idle_timeout_ms: float) -> None:
        """Set the timeouts of the configuration."""
        self.connect_timeout_ms = connect_timeout_ms
        self.idle_timeout.set_announced(idle_timeout_ms)

    def set_max_connections(self, max_connections: int) -> None:
        """Set the limit of connections, and close idle ones beyond it."""
        self.max_connections = max_connections
        for _ in range(self.open_connections - max_connections):
            if not self.close_longest_idle():
                return

    def close_longest_idle(self) -> bool:
        """Close the connection that has been idle for longest; return whether there was one."""
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
        """Keep a connection for the next attempt, unless its server has changed since."""
        server = connection.server
        if connection.version != server.version or server.state is not EndpointState.READY:
            connection.transport.close()
            return
        connection.idle_since_ms = now_ms()
        server.idle_connections.append(connection)

    def scan(self) -> None:
        """Abort stalled streams, and close connections that have been idle for too long."""
        self.loop.call_later(SCAN_INTERVAL_S, self.scan)
        self.idle_timeout.grow()
        now = now_ms()
        for connection in [*self.connections]:
            attempt = connection.attempt
            if attempt is not None and self.has_stalled(connection, attempt.phase, now):
                self.log_stalled(connection, attempt)
                self.end_timed_out(attempt)
        self.close_long_idle(now)

    @staticmethod
    def has_stalled(connection: ServerConnection, phase: AttemptPhase, now: float) -> bool:
        """Return whether a stream has made no progress for longer than either side is waited for."""
        if phase not in STREAMING_PHASES:
            return False
        if connection.read_paused:
            return connection.client_stalled_ms(now) > CLIENT_STALL_TIMEOUT_MS
        # A slow upload is up to its client: only a server that does not read counts as stalled.
        waits_for_server = phase is AttemptPhase.STREAMING_RESPONSE or connection.write_paused
        return waits_for_server and now - connection.last_progress_ms > SERVER_STALL_TIMEOUT_MS

    @staticmethod
    def log_stalled(connection: ServerConnection, attempt: Attempt) -> None:
        """Log that a server has stopped; that a client has is up to the client."""
        if attempt.phase is AttemptPhase.STREAMING_REQUEST:
            UPLOAD_TIMED_OUT(server=attempt.server.endpoint)
        elif not connection.read_paused:
            log_stopped(connection, attempt)

    def close_long_idle(self, now: float) -> None:
        """Close connections that have been idle for as long as they may."""
        before = now - self.idle_timeout.limit_ms
        for server in self.servers.values():
            while server.idle_connections and server.idle_connections[0].idle_since_ms < before:
                server.idle_connections.pop(0).transport.close()

    def on_timeout(self, attempt: Attempt) -> None:
        """End an attempt whose time is over, after a last read from its connection."""
        # The event loop runs timers before it reads: after a stall the response may be in the
        # socket unread, and a server that did its work would be taken for one that does not
        # respond.
        if not attempt.past_deadline:
            attempt.past_deadline = True
            attempt.timer = self.loop.call_later(FINAL_READ_DELAY_S, self.on_timeout, attempt)
            return
        connection = attempt.connection
        if attempt.phase is AttemptPhase.STREAMING_REQUEST:
            UPLOAD_TIMED_OUT(server=attempt.server.endpoint)
        elif connection is not None and connection.exchange.awaits_long_body:
            # A head alone is no use to a client whose process ends before its body may come: the
            # request is ended with the others then.
            if connection.exchange.body or not self.is_cut_short(attempt.request_id):
                connection.start_streaming()
            return
        # Where no connection was established in the whole time, nothing was sent.
        self.end_timed_out(attempt)

    def end_timed_out(self, attempt: Attempt) -> None:
        """End an attempt whose time is over."""
        self.abort_attempt(attempt, TIMEOUT_RESULTS[attempt.phase])

    def cancel(self, request_id: int, attempt_number: int) -> None:
        """Cancel an attempt, if it is still open."""
        attempt = self.attempts.get((request_id, attempt_number))
        if attempt is not None:
            self.abort_attempt(attempt, AttemptResult.CANCELLED)

    def abandon_attempt(self, request_id: int, attempt_number: int) -> None:
        """End an attempt whose request is over, unless all of it has been written.

        A server executes a request only once it has its last byte, so that one whose last byte has
        not left this process is never executed.
        """
        attempt = self.attempts.get((request_id, attempt_number))
        if attempt is None:
            return
        if attempt.phase is AttemptPhase.CONNECTING:
            self.abort_attempt(attempt, AttemptResult.NOT_SENT)
        elif attempt.connection is not None and not attempt.connection.request_sent():
            self.abort_attempt(attempt, AttemptResult.CANCELLED)

    def abort_attempt(self, attempt: Attempt, result: AttemptResult) -> None:
        """End an attempt early, and its connection, on which a response may still arrive."""
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
        """Remove an attempt and report its end."""
        if self.attempts.pop((attempt.request_id, attempt.number), None) is None:
            return
        check_result(attempt.phase, result)
        self.cancel_timers(attempt)
        attempt.connect_task = attempt.connection = None
        attempt.server.open_attempts -= 1
        self.remove_if_gone(attempt.server)
        elapsed_ms = now_ms() - attempt.started_ms
        upload, attempt.request = attempt.upload, None
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
