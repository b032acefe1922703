"""All connections of a listener: who waits for what, whose time is up, and who makes room."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator

from badgercart.frontends.http.client_connection import ClientConnection
from badgercart.frontends.http.connection import ConnectionState
from badgercart.frontends.http.connection_eviction import GREETING_S, connection_to_evict
from badgercart.frontends.http.requests import ClientRequest

# For a request's head, the first from the connection's start; a body has what it needs.
REQUEST_TIMEOUT_S = 3.0
KEEP_ALIVE_S = 10.0  # that a connection may be idle between requests
LINGER_S = 1.0  # to discard what still comes after a response that ends the connection
LIVENESS_INTERVAL_S = 0.1  # between looks whether a client has left whose connection is not read

Waiting = dict[ClientConnection, float]  # and since when (s), the longest first


class ConnectionTable:
    """The connections, also those that are about to close, and what each waits for."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Set up an empty table."""
        self.loop = loop
        self.connections: set[ClientConnection] = set()
        self.open_names: set[bytes] = set()  # Request-Ids of requests that are not answered
        self.new: Waiting = {}
        self.receiving: Waiting = {}
        self.idle: Waiting = {}
        self.closing: Waiting = {}
        self.streaming_requests: Waiting = {}
        self.waiting_since: dict[ConnectionState, Waiting] = {
            ConnectionState.NEW: self.new,
            ConnectionState.RECEIVING: self.receiving,
            ConnectionState.IDLE: self.idle,
            ConnectionState.CLOSING: self.closing,
            ConnectionState.STREAMING_REQUEST: self.streaming_requests,
        }
        # Connections that are not read now, whose ends the loop does not see.
        self.paused: set[ClientConnection] = set()
        self.liveness_timer: asyncio.TimerHandle | None = None
        self.evicted: ClientConnection | None = None  # the last one, until it is gone

    def remove(self, client: ClientConnection) -> None:
        """Take out a connection that is gone."""
        self.connections.discard(client)
        self.paused.discard(client)
        if client is self.evicted:
            self.evicted = None

    def queued_requests(self) -> Iterator[ClientRequest]:
        """Yield requests that were read and whose turn has not come."""
        for client in self.connections:
            if hasattr(client, "http"):  # else nothing has been read
                for item, _ in client.http.queue:
                    if isinstance(item, ClientRequest):
                        yield item

    # Clients that have left while their connection was not read.

    def watch_paused(self, client: ClientConnection) -> None:
        """Look for the end of a connection that is not read now."""
        self.paused.add(client)
        if self.liveness_timer is None:
            self.liveness_timer = self.loop.call_later(LIVENESS_INTERVAL_S, self.check_paused)

    def check_paused(self) -> None:
        """End the connections that are not read and whose clients have left."""
        for client in [client for client in self.paused if client.has_left()]:
            self.paused.discard(client)
            client.transport.abort()
        if self.paused:
            self.liveness_timer = self.loop.call_later(LIVENESS_INTERVAL_S, self.check_paused)
        else:
            self.liveness_timer = None

    def cancel_timer(self) -> None:
        """Look for nothing more."""
        if self.liveness_timer is not None:
            self.liveness_timer.cancel()

    # Room for new clients.

    def evict_one(self) -> bool:
        """Close a connection that no request needs; return whether one is on its way out."""
        if self.evicted in self.connections:
            return True
        client = connection_to_evict(
            self.waiting_since, self.last_active_s, self.is_spared, self.loop.time()
        )
        if client is None:
            return False
        client.transport.abort()
        self.evicted = client
        return True

    def close_spare_idle(self, number: int) -> None:
        """Close up to so many idle connections that nobody needs, the longest idle first."""
        spare = [client for client in self.idle if not self.is_spared(client)]
        for client in spare[:number]:
            client.transport.close()

    def last_active_s(self, client: ClientConnection) -> float:
        """Return when a client was last heard, or had its response."""
        return max(client.http.last_heard_s, self.waiting_since[client.http.state][client])

    def is_spared(self, client: ClientConnection) -> bool:
        """Return whether a client can't be evicted.

        It is closing anyway, has yet to read a response, or has sent what is not read yet.
        """
        transport = client.transport
        return (
            transport.is_closing()
            or transport.get_write_buffer_size() > 0
            or self.has_unread_request(client)
        )

    def has_unread_request(self, client: ClientConnection) -> bool:
        """Return whether something has come that the loop reads in its next turn.

        It would be lost with the connection.
        """
        return client not in self.paused and client.has_unread_data()

    # Time.

    def close_idle(self) -> None:
        """Close idle connections, but hear what a new client is about to send or has sent."""
        new = self.waiting_longer(self.new, self.loop.time() - GREETING_S)
        for client in [*new, *self.idle]:
            if not self.has_unread_request(client):
                client.transport.close()

    def close_overdue(self) -> None:
        """End what has waited for its client for too long."""
        now = self.loop.time()
        for client in self.waiting_longer(self.receiving, now - REQUEST_TIMEOUT_S):
            if not self.has_unread_request(client):
                client.http.request_timed_out(now)
        self._abort_silent(self.waiting_longer(self.streaming_requests, now - REQUEST_TIMEOUT_S))
        # A client that does not read its response has longer than one that has it, but not for ever.
        lingering = self.waiting_longer(self.closing, now - LINGER_S)
        answered = [one for one in lingering if not one.transport.get_write_buffer_size()]
        for client in (*answered, *self.waiting_longer(self.closing, now - KEEP_ALIVE_S)):
            client.transport.abort()
        self._abort_silent(
            (
                *self.waiting_longer(self.new, now - REQUEST_TIMEOUT_S),
                *self.waiting_longer(self.idle, now - KEEP_ALIVE_S),
            )
        )

    def _abort_silent(self, clients: tuple[ClientConnection, ...] | list[ClientConnection]) -> None:
        for client in clients:
            if not self.has_unread_request(client):
                client.transport.abort()

    @staticmethod
    def waiting_longer(waiting: Waiting, before: float) -> list[ClientConnection]:
        """Return those that have waited since before this time (s)."""
        return [client for client, since in waiting.items() if since < before]
