"""The listening socket of an HTTP frontend: when it accepts, how many, and how it ends."""

from __future__ import annotations

import asyncio
import errno
import socket
from collections import Counter
from collections.abc import Mapping
from typing import Protocol

from badgercart.config import Address
from badgercart.core.clock import now_ms
from badgercart.core.memory_budget import MemoryBudget
from badgercart.frontends.http.client_connection import ClientConnection
from badgercart.frontends.http.connection_eviction import GREETING_S
from badgercart.frontends.http.connection_table import ConnectionTable
from badgercart.frontends.http.error_bodies import ErrorBody, no_error_body
from badgercart.frontends.http.log_events import ACCEPT_FAILED
from badgercart.frontends.http.requests import ClientRequest, Page, RequestParser

SWEEP_INTERVAL_S = 0.2  # between looks for connections whose time is up
MAX_ACCEPTS = 64  # connections accepted in one go, before those that are there are read
BACKLOG = 1024
ACCEPT_AFTER_SIGTERM_S = 0.6  # during which new connections are accepted
HANDOVER_IDLE_S = 0.6  # of idling, after which a process that is replaced closes a connection
HANDOVER_LATE_S = 1.2  # after which it closes those that are used, too, between two requests
DRAIN_INTERVAL_S = 0.02  # between looks whether all clients are answered


class RequestHandler(Protocol):
    """What takes the requests of a listener."""

    stopping: bool
    pages: Mapping[bytes, Page]

    @property
    def is_healthy(self) -> bool:
        """Whether the node can serve."""

    def accept(self, client: ClientConnection, request: ClientRequest) -> None:
        """Take on a request, and give its connection the request's id."""

    def cancel(self, request_id: int) -> None:
        """Take note that a request's client has gone."""


class StreamingRequestHandler(RequestHandler, Protocol):
    """A handler that takes requests that are not whole."""

    def request_completed(self, client: ClientConnection, request: ClientRequest) -> None:
        """Take note that a request that was taken on before has been received whole."""


class Listener:
    """The listening socket and the connections that came by it."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: Address,
        handler: RequestHandler,
        limit: int,
        parse_request: RequestParser,
        error_body: ErrorBody = no_error_body,
        memory_budget: MemoryBudget | None = None,
    ) -> None:
        """Set up a listener that does not listen yet.

        Args:
            loop: what runs it.
            address: where to listen.
            handler: what takes the requests.
            limit: of connections.
            parse_request: what makes requests of their bytes.
            error_body: words the responses to requests that can't be accepted.
            memory_budget: of streamed bodies; None: no body is streamed.
        """
        self.loop = loop
        self.bind_address = address
        self.handler = handler
        self.limit = limit
        self.parse_request = parse_request
        self.error_body = error_body
        self.memory_budget = memory_budget
        self.rejected: Counter[int] = Counter()  # requests that were not accepted, by status
        self.table = ConnectionTable(loop)
        self.socket: socket.socket | None = None
        self.is_open = True  # whether it may accept
        self.accepting = False
        self.sweep_timer: asyncio.TimerHandle | None = None

    def start(self, inherited: socket.socket | None = None, is_open: bool = True) -> None:
        """Serve on a socket that listens already, or on the address. Until open, clients wait.

        Raises:
            OSError: the address can't be had.
        """
        if inherited is None:
            host, port = self.bind_address
            family = socket.AF_INET6 if ":" in host else socket.AF_INET
            inherited = socket.create_server((host, port), family=family, backlog=BACKLOG)
        self.socket = inherited
        self.socket.setblocking(False)
        self.is_open = is_open
        self.resume_accepting()
        self.sweep()

    def open(self) -> None:
        """Accept connections from now on."""
        self.is_open = True
        self.resume_accepting()

    def set_limit(self, limit: int) -> None:
        """Set another limit of connections, and close those beyond it that nobody needs."""
        self.limit = limit
        self.table.close_spare_idle(max(0, len(self.table.connections) - limit))

    @property
    def address(self) -> tuple[str, int]:
        """Where it listens."""
        assert self.socket is not None
        host, port = self.socket.getsockname()[:2]
        return host, port

    @property
    def has_many_idle(self) -> bool:
        """Whether a third of the limit is idle, so that no more connections are kept.

        Some clients ask once and keep their connection, which others lack then.
        """
        return len(self.table.idle) >= self.limit // 3

    def remove(self, client: ClientConnection) -> None:
        """Take out a connection that is gone, and accept another in its place."""
        self.table.remove(client)
        self.resume_accepting()

    def sweep(self) -> None:
        """End what has waited for its client for too long; one timer serves all connections."""
        self.sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self.sweep)
        self.resume_accepting()
        self.table.close_overdue()

    # The end.

    def stop_listening(self) -> None:
        """Accept no connections any more."""
        if self.socket is not None:
            self.pause_accepting()
            self.socket.close()
            self.socket = None

    def close(self) -> None:
        """Stop listening, and end what is timed."""
        self.stop_listening()
        if self.sweep_timer is not None:
            self.sweep_timer.cancel()
        self.table.cancel_timer()

    async def drain(self, until: float) -> None:
        """Accept what still comes for a while, then see clients answered, until then (ms) at most.

        A client that is told that its connection closes, or sees it close, comes back elsewhere. One
        that has not sent its whole request by the end can't keep the node from ending.
        """
        self.table.close_idle()
        await asyncio.sleep(ACCEPT_AFTER_SIGTERM_S)
        while (self.socket is not None or self.table.connections) and now_ms() < until:
            if self._drain_backlog():
                self.stop_listening()  # what waited in the backlog would be reset with it
            self.table.close_idle()
            await asyncio.sleep(DRAIN_INTERVAL_S)
        self.stop_listening()

    def _drain_backlog(self) -> bool:
        """Accept all that waits, as far as the limit goes; return whether nothing is left."""
        while self.socket is not None and len(self.table.connections) < self.limit:
            had = len(self.table.connections)
            if self.accept():
                return True
            if len(self.table.connections) == had:  # no descriptors
                return False
        return self.socket is None

    async def hand_over(self, until: float) -> None:
        """Leave new connections to another process, and see clients answered, until then (ms).

        A client that is answered is told that its connection closes. One that asks nothing keeps it
        for a while: each close can cross a request, and the longer the connection was idle the less
        likely that is.
        """
        self.stop_listening()
        begun = self.loop.time()
        while self.table.connections and now_ms() < until:
            now = self.loop.time()
            if now - begun > HANDOVER_IDLE_S:
                self._close_handed_over(begun, now)
            await asyncio.sleep(DRAIN_INTERVAL_S)

    def _close_handed_over(self, begun: float, now: float) -> None:
        """Close connections that have been idle for long enough since the handover began."""
        idle_before = now - HANDOVER_IDLE_S if now - begun < HANDOVER_LATE_S else now
        idle_before = min(idle_before, now - GREETING_S)
        for client in self.table.waiting_longer(self.table.idle, idle_before):
            if not self.table.has_unread_request(client):
                client.transport.close()

    # Accepting. The loop's own server accepts without a limit and ends for good where descriptors
    # have run out, so the listening socket is read here: at the limit, clients wait in its backlog.

    def pause_accepting(self) -> None:
        """Have clients wait in the backlog."""
        if self.accepting and self.socket is not None:
            self.loop.remove_reader(self.socket)
        self.accepting = False

    def resume_accepting(self) -> None:
        """Accept clients, if the listener is open."""
        if self.socket is not None and self.is_open and not self.accepting:
            self.accepting = True
            self.loop.add_reader(self.socket, self.accept)

    def accept(self) -> bool:
        """Accept connections that wait, up to the limit; return whether none is left."""
        assert self.socket is not None
        # One waits, or the loop would not have called. A close takes effect in the loop's next turn,
        # which comes back here.
        if len(self.table.connections) >= self.limit and not self.table.evict_one():
            self.pause_accepting()
            self.loop.call_later(GREETING_S, self.resume_accepting)
        for _ in range(min(MAX_ACCEPTS, self.limit - len(self.table.connections))):
            try:
                sock, _ = self.socket.accept()
            except (BlockingIOError, InterruptedError):
                return True
            except OSError as error:
                if error.errno == errno.ECONNABORTED:  # the client was quicker
                    continue
                ACCEPT_FAILED(error=error)
                self.pause_accepting()  # no descriptor or memory now; the next sweep tries again
                return False
            sock.setblocking(False)
            client = ClientConnection(self)
            # Counted from here on, so that many at once do not pass the limit.
            self.table.connections.add(client)
            self.loop.create_task(self._adopt(sock, client))
        return False

    async def _adopt(self, sock: socket.socket, client: ClientConnection) -> None:
        try:
            await self.loop.connect_accepted_socket(lambda: client, sock)
        except OSError:  # gone already
            sock.close()
            self.table.connections.discard(client)
