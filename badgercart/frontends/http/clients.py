"""Client connections over asyncio: the listener, its connection limit, and timeouts."""

from __future__ import annotations

import asyncio
import errno
import socket
from collections import Counter
from collections.abc import Iterator
from contextlib import suppress

from badgercart.config import Address
from badgercart.core.clock import MS_PER_S, now_ms
from badgercart.core.memory_budget import (
    MemoryBudget,
)
from badgercart.core.round_robin import RoundRobin
from badgercart.frontends.http.client_connection import ClientConnection
from badgercart.frontends.http.close_reason import LOGGED_REASONS, CloseReason
from badgercart.frontends.http.connection import ConnectionState
from badgercart.frontends.http.connection_eviction import (
    FIRST_BYTE_GRACE_S,
    choose_connection_to_evict,
)
from badgercart.frontends.http.log_events import ACCEPT_FAILED, CLIENT_CLOSED
from badgercart.frontends.http.memory_relief import largest_holders
from badgercart.frontends.http.request_handler import RequestHandler
from badgercart.frontends.http.requests import (
    ClientRequest,
    ErrorBodyFormatter,
    RequestReader,
    empty_error_body,
)

# The time to receive the headers of a request, for the first one from the connection's start. A
# body has as much more as its size allows (connection.MIN_BODY_RATE_BYTES_PER_S).
REQUEST_TIMEOUT_S = 3.0
KEEP_ALIVE_TIMEOUT_S = 10.0  # for a connection that is idle between requests
# How long input is discarded after a response that ends the connection.
LINGER_S = 1.0
TIMEOUT_CHECK_INTERVAL_S = 0.2
# Connections accepted at a time, before those that are already open are read.
MAX_ACCEPTS_PER_EVENT = 64
# Errors of accept(2) that concern one connection, or none: the next may be accepted at once.
SINGLE_ACCEPT_ERRORS = frozenset(
    {
        errno.ECONNABORTED,
        errno.EHOSTDOWN,
        errno.EHOSTUNREACH,
        errno.EINTR,
        errno.ENETDOWN,
        errno.ENETUNREACH,
        errno.ENONET,
        errno.ENOPROTOOPT,
        errno.EOPNOTSUPP,
        errno.EPROTO,
        errno.ETIMEDOUT,
    }
)
ACCEPT_RETRY_S = 0.01  # after the system has lacked what a connection takes
DRAIN_ACCEPT_S = 0.6  # how long new connections are accepted after SIGTERM
# A process that is being replaced closes connections that have been idle for this time.
HANDOVER_IDLE_S = 0.6
# After this time it closes every connection between two requests, however short it has been idle.
HANDOVER_CLOSE_ALL_AFTER_S = 1.2
# How often streamed bodies, and connections that are not read, are checked for what has arrived: the
# rest of a request, or the end of a client that has left.
BODY_CHECK_INTERVAL_S = 0.1
DRAIN_CHECK_INTERVAL_S = 0.02
LISTEN_BACKLOG = 1024  # connections
# What the system takes for a client that does not read; it would else take some MB, each of which
# was served in vain.
SEND_BUFFER_BYTES = 131072


# Connections, each with the time (s, on the loop's clock) since when its client is waited for.
SinceByConnection = dict["ClientConnection", float]


class Listener:
    """A listening socket and its client connections.

    A connection that waits for its client is in one of the maps of `waiting_since`.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: Address,
        handler: RequestHandler,
        max_connections: int,
        request_reader: RequestReader,
        error_body: ErrorBodyFormatter = empty_error_body,
        memory_budget: MemoryBudget | None = None,
        # Whether bodies over the limit of a buffered message are streamed, or rejected.
        streams_bodies: bool = True,
    ) -> None:
        self.memory_budget = memory_budget
        self.streams_bodies = streams_bodies and memory_budget is not None
        self.loop = loop
        self.listen_address = address
        self.request_reader = request_reader
        self.error_body = error_body
        self.turns = RoundRobin(loop)
        self.rejected_requests: Counter[int] = Counter()  # by status
        self.closed_connections: Counter[CloseReason] = Counter()  # by the node, not by clients
        self.handler = handler
        self.max_connections = max_connections
        self.connections: set[ClientConnection] = set()  # including those that are being closed
        self.open_request_names: set[bytes] = set()  # Request-Ids that are not answered yet
        # By state, the longest waiting first.
        self.new: SinceByConnection = {}
        self.receiving: SinceByConnection = {}
        self.idle: SinceByConnection = {}
        self.closing: SinceByConnection = {}
        self.uploading: SinceByConnection = {}
        self.waiting_since: dict[ConnectionState, SinceByConnection] = {
            ConnectionState.NEW: self.new,
            ConnectionState.RECEIVING: self.receiving,
            ConnectionState.IDLE: self.idle,
            ConnectionState.CLOSING: self.closing,
            ConnectionState.UPLOADING: self.uploading,
        }
        # Connections whose reading is paused: the event loop does not notice when they end.
        self.paused_clients: set[ClientConnection] = set()
        self.body_timer: asyncio.TimerHandle | None = None
        self.socket: socket.socket | None = None
        self.opened = True  # whether connections may be accepted
        self.accepting = False  # whether the event loop watches the socket
        self.accept_failing = False  # whether the last attempt to accept failed
        # The connection evicted last, until it is closed.
        self.evicted: ClientConnection | None = None
        self.timeout_timer: asyncio.TimerHandle | None = None

    def start(self, inherited: socket.socket | None = None, opened: bool = True) -> None:
        """Listen on an inherited socket, or else on the address.

        Clients wait in the backlog until the listener is opened.
        """
        if inherited is None:
            host, port = self.listen_address
            family = socket.AF_INET6 if ":" in host else socket.AF_INET
            inherited = socket.create_server((host, port), family=family, backlog=LISTEN_BACKLOG)
        self.socket = inherited
        self.socket.setblocking(False)
        self.opened = opened
        self.resume_accepting()
        self.check_timeouts()

    def open(self) -> None:
        """Accept connections from now on."""
        if not self.opened:
            self.opened = True
            self.resume_accepting()

    def set_max_connections(self, limit: int) -> None:
        """Change the connection limit, and close idle connections above it."""
        self.max_connections = limit
        spare = [client for client in self.idle if not self.is_protected(client)]
        for client in spare[: max(0, len(self.connections) - limit)]:
            client.close()

    @property
    def address(self) -> tuple[str, int]:
        """Host and port of the listening socket."""
        assert self.socket is not None
        host, port = self.socket.getsockname()[:2]
        return host, port

    def stop_accepting(self) -> None:
        """Close the listening socket."""
        if self.socket is not None:
            self.pause_accepting()
            self.socket.close()
            self.socket = None

    async def drain(self, deadline_ms: float) -> None:
        """Accept connections for a while longer, then wait until all clients are answered.

        It ends at `deadline_ms` at the latest.
        """
        # A client that is told that its connection closes, or sees it close, connects elsewhere.
        self.close_idle()
        await asyncio.sleep(DRAIN_ACCEPT_S)
        # From now on a client that has not sent its request completely can't delay the end.
        while (self.socket is not None or self.connections) and now_ms() < deadline_ms:
            if self.accept_backlog():
                # Closing the socket would reset any connection that is left in its backlog.
                self.stop_accepting()
            self.close_idle()
            await asyncio.sleep(DRAIN_CHECK_INTERVAL_S)
        self.stop_accepting()

    def accept_backlog(self) -> bool:
        """Accept all connections in the backlog, up to the limit; return whether none is left."""
        while self.socket is not None and len(self.connections) < self.max_connections:
            count = len(self.connections)
            if self.accept_connections():
                return True
            if len(self.connections) == count:  # there are no file descriptors
                return False
        return self.socket is None

    async def hand_over(self, deadline_ms: float) -> None:
        """Leave new connections to another process, then wait until all clients are answered.

        It ends at `deadline_ms` at the latest. A client that is answered is told that the
        connection closes. An idle connection is kept for a while: closing it can cross with a
        request, which is the less likely the longer the connection has been idle.
        """
        self.stop_accepting()
        started_s = self.loop.time()
        while self.connections and now_ms() < deadline_ms:
            now_s = self.loop.time()
            idle_before_s = (
                now_s - HANDOVER_IDLE_S if now_s - started_s < HANDOVER_CLOSE_ALL_AFTER_S else now_s
            )
            for client in self.waiting_before(
                self.idle, min(idle_before_s, now_s - FIRST_BYTE_GRACE_S)
            ):
                if now_s - started_s > HANDOVER_IDLE_S and not self.has_unread_input(client):
                    client.close()
            await asyncio.sleep(DRAIN_CHECK_INTERVAL_S)

    def close(self) -> None:
        """Close the listening socket and stop the timers."""
        self.stop_accepting()
        for timer in (self.timeout_timer, self.body_timer):
            if timer is not None:
                timer.cancel()

    # asyncio's own server accepts without a limit, and stops for good when file descriptors run
    # out. So the listening socket is read here: at the limit, clients wait in its backlog.

    def pause_accepting(self) -> None:
        """Stop accepting for now."""
        if self.accepting and self.socket is not None:
            self.loop.remove_reader(self.socket)
        self.accepting = False

    def resume_accepting(self) -> None:
        """Accept connections if the listener is open."""
        if self.socket is not None and self.opened and not self.accepting:
            self.accepting = True
            self.loop.add_reader(self.socket, self.accept_connections)

    def accept_connections(self) -> bool:
        """Accept connections from the backlog; return whether none is left."""
        assert self.socket is not None
        # A connection is waiting, or the event loop would not have called. If one is evicted for
        # it, that takes effect in the next iteration of the loop, which calls again.
        if len(self.connections) >= self.max_connections and not self.evict_one():
            self.pause_accepting()
            self.loop.call_later(FIRST_BYTE_GRACE_S, self.resume_accepting)
        for _ in range(min(MAX_ACCEPTS_PER_EVENT, self.max_connections - len(self.connections))):
            try:
                sock, _ = self.socket.accept()
            except BlockingIOError:
                return True
            except OSError as error:
                if error.errno in SINGLE_ACCEPT_ERRORS:
                    continue
                self.accept_failed(error)
                return False
            self.accept_failing = False
            sock.setblocking(False)
            with suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
            client = ClientConnection(self)
            # It counts from here on, so that many accepted at once do not exceed the limit.
            self.connections.add(client)
            self.loop.create_task(self.connect_client(sock, client))
        return False

    def accept_failed(self, error: OSError) -> None:
        """Try again later: there is no file descriptor or memory now."""
        if not self.accept_failing:
            ACCEPT_FAILED(error=error)
        self.accept_failing = True
        self.pause_accepting()
        # The process's own descriptors are short until a connection ends, or the next timeout check.
        if error.errno != errno.EMFILE:
            self.loop.call_later(ACCEPT_RETRY_S, self.resume_accepting)

    async def connect_client(self, sock: socket.socket, client: ClientConnection) -> None:
        """Attach an accepted socket to its connection."""
        try:
            await self.loop.connect_accepted_socket(lambda: client, sock)
        except OSError:  # the client has left already
            sock.close()
            self.connections.discard(client)

    def evict_one(self) -> bool:
        """Close a connection that no request needs; return whether there is one.

        A client that never sent anything is evicted before one that has been served.
        """
        if self.evicted in self.connections:
            return True  # it is still being closed
        client = choose_connection_to_evict(
            self.waiting_since, self.silent_since_s, self.is_protected, self.loop.time()
        )
        if client is not None:
            # The transport closes in the loop's next iteration, and what came until then would be lost.
            client.shut_down()
            self.end_client(client, CloseReason.EVICTED)
            self.evicted = client
            return True
        return False

    def end_client(self, client: ClientConnection, reason: CloseReason) -> None:
        """Close a connection that its client would have kept, and say why."""
        self.note_end(client, reason)
        client.transport.abort()

    def note_end(self, client: ClientConnection, reason: CloseReason) -> None:
        """Count and log the end of a connection."""
        self.closed_connections[reason] += 1
        state = client.machine.state.name.lower()
        CLIENT_CLOSED(reason=reason.value, state=state, number=client.request_id)
        if (event := LOGGED_REASONS.get(reason)) is not None:
            event(state=state, held=client.held_bytes())

    def silent_since_s(self, client: ClientConnection) -> float:
        """Return when a client last sent something or, if later, was last answered (s)."""
        return max(client.machine.last_received_s, self.waiting_since[client.machine.state][client])

    def is_protected(self, client: ClientConnection) -> bool:
        """Return whether a connection must not be evicted.

        That is one that is being closed already, whose client still takes its response, or has
        sent something that is not read yet.
        """
        transport = client.transport
        return (
            transport.is_closing()
            or (client.write_paused and not client.takes_nothing)
            or self.has_unread_input(client)
        )

    def has_unread_input(self, client: ClientConnection) -> bool:
        """Return whether there is input that waits for the event loop alone.

        Closing the connection now would lose it.
        """
        return client.machine.input_scheduled or (
            client not in self.paused_clients and client.has_unread_input()
        )

    @property
    def max_idle_connections(self) -> int:
        """How many idle connections are kept: some clients send one request and stay connected."""
        return self.max_connections // 3

    def watch_paused_client(self, client: ClientConnection) -> None:
        """Check regularly what arrives on a connection while it is not read."""
        self.paused_clients.add(client)
        self.watch_bodies()

    def watch_bodies(self) -> None:
        """Check regularly what arrives of bodies that are streamed, or not read now."""
        if self.body_timer is None:
            self.body_timer = self.loop.call_later(BODY_CHECK_INTERVAL_S, self.check_bodies)

    def check_bodies(self) -> None:
        """Close paused connections whose clients have left; note requests that have arrived."""
        self.body_timer = None
        for client in [*self.paused_clients]:
            if client.has_disconnected():
                self.paused_clients.discard(client)
                client.transport.abort()
        waiting = {*self.paused_clients, *self.uploading}
        for client in waiting:
            client.note_body_arrival()
        if waiting:
            self.watch_bodies()

    def pending_requests(self) -> Iterator[ClientRequest]:
        """Yield the requests that have been read and are not served yet."""
        for client in self.connections:
            if hasattr(client, "machine"):  # else its transport does not exist yet
                yield from (
                    item for item, _ in client.machine.pending if isinstance(item, ClientRequest)
                )

    def connection_lost(self, client: ClientConnection) -> None:
        """Forget a closed connection."""
        self.connections.discard(client)
        self.paused_clients.discard(client)
        if client is self.evicted:
            self.evicted = None
        self.resume_accepting()

    def close_idle(self) -> None:
        """Close connections that wait for a request, unless one is about to be read.

        New connections are given time to send their first request.
        """
        for client in [
            *self.waiting_before(self.new, self.loop.time() - FIRST_BYTE_GRACE_S),
            *self.idle,
        ]:
            if not self.has_unread_input(client):
                client.close()

    def check_timeouts(self) -> None:
        """End connections whose clients have exceeded a timeout.

        One timer serves all connections.
        """
        self.timeout_timer = self.loop.call_later(TIMEOUT_CHECK_INTERVAL_S, self.check_timeouts)
        self.resume_accepting()
        self.watch_readers()
        now_s = self.loop.time()
        for client in self.waiting_before(self.receiving, now_s - REQUEST_TIMEOUT_S):
            if not self.has_unread_input(client):
                self.note_end(client, CloseReason.REQUEST_INCOMPLETE)
                client.machine.request_timed_out(now_s)
        for client in self.waiting_before(self.uploading, now_s - REQUEST_TIMEOUT_S):
            if not self.has_unread_input(client):
                self.end_client(client, CloseReason.REQUEST_INCOMPLETE)  # cancels its request
        for client in self.waiting_before(self.closing, now_s - LINGER_S):
            self.end_if_delivered(client)
        for client in self.waiting_before(self.new, now_s - REQUEST_TIMEOUT_S):
            if not self.has_unread_input(client):
                self.end_client(client, CloseReason.IDLE)
        for client in self.waiting_before(self.idle, now_s - KEEP_ALIVE_TIMEOUT_S):
            if client.undelivered_bytes():
                self.end_if_delivered(client)
            elif not self.has_unread_input(client):
                self.end_client(client, CloseReason.IDLE)

    def relieve_memory(self, wanted_bytes: int) -> int:
        """End clients that hold much and have not sent all, or take nothing; return what they held."""
        ended_bytes = 0
        candidates = [*self.receiving, *(c for c in self.connections if c.takes_nothing)]
        for client, held_bytes in largest_holders(candidates, wanted_bytes):
            ended_bytes += held_bytes
            if client in self.receiving:
                self.note_end(client, CloseReason.MEMORY)
                client.machine.give_up_request(self.loop.time())
            else:
                self.end_client(client, CloseReason.ANSWER_UNREAD)
        return ended_bytes

    def end_if_delivered(self, client: ClientConnection) -> None:
        """Close a connection whose client has got all, or has taken nothing for long.

        A client that still takes its response is not closed, however slow it is.
        """
        if not client.undelivered_bytes():
            client.transport.abort()
        elif client.stalled_ms() >= max(KEEP_ALIVE_TIMEOUT_S * MS_PER_S, client.stall_grace_ms()):
            self.end_client(client, CloseReason.ANSWER_UNREAD)

    def watch_readers(self) -> None:
        """Note which clients take what was written to them."""
        for client in self.connections:
            if client.write_paused:
                client.stalled_ms()

    @staticmethod
    def waiting_before(waiting: SinceByConnection, before_s: float) -> list[ClientConnection]:
        """Return the connections whose clients have been waited for since before a time."""
        return [client for client, since_s in waiting.items() if since_s < before_s]
