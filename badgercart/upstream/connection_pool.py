"""The endpoints that discovery has named, and the connections to them, within one limit."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from badgercart.config import Address
from badgercart.core.clock import now_ms
from badgercart.core.endpoint_table import DiscoveredEndpoint
from badgercart.policy.endpoint import EndpointState
from badgercart.upstream.connection import UpstreamConnection
from badgercart.upstream.idle_time_limit import IdleTimeLimit

# How long a connection is not used again after a response. A second response may come some ms behind
# the first (1.2 to 3.5 ms were seen) and would pass for the next one's: responses do not say whose
# they are.
REUSE_DELAY_MS = 10.0


@dataclass(slots=True, frozen=True)
class PoolSettings:
    """What an operator may set of the connections to endpoints."""

    connect_timeout_ms: float
    idle_timeout_ms: float  # after which an endpoint closes an idle connection
    max_connections: int
    source_address: str | None = None  # that connections set out from; None: the system's choice


@dataclass(slots=True, eq=False)
class UpstreamEndpoint:
    """An endpoint at its address, with its idle connections and how many attempts are open.

    The version counts changes after which older connections are not used.
    """

    id: int
    address: Address
    state: EndpointState
    started_ms: float
    version: int = 0
    open_attempts: int = 0
    idle: list[UpstreamConnection] = field(default_factory=list)  # the most recently used last

    @property
    def address_text(self) -> str:
        """The address as `host:port`."""
        return f"{self.address[0]}:{self.address[1]}"


class ConnectionPool:
    """Connections to endpoints: those that are idle, those that carry attempts, and new ones."""

    def __init__(self, loop: asyncio.AbstractEventLoop, settings: PoolSettings) -> None:
        """Set up a pool without endpoints."""
        self.loop = loop
        source = settings.source_address
        self.local_address = (source, 0) if source else None
        self.connect_timeout_ms = settings.connect_timeout_ms
        self.idle_time_limit = IdleTimeLimit(settings.idle_timeout_ms)
        self.max_connections = settings.max_connections
        self.endpoints: dict[int, UpstreamEndpoint] = {}
        self.connections: set[UpstreamConnection] = set()
        self.connecting = 0

    @property
    def open_connections(self) -> int:
        """Connections that hold a descriptor."""
        return len(self.connections) + self.connecting

    def reconfigure(self, connect_timeout_ms: float, idle_timeout_ms: float) -> None:
        """Go by other times from now on."""
        self.connect_timeout_ms = connect_timeout_ms
        self.idle_time_limit.set_server_limit(idle_timeout_ms)

    def set_limit(self, max_connections: int) -> None:
        """Set another limit of connections, and close idle ones beyond it."""
        self.max_connections = max_connections
        for _ in range(self.open_connections - max_connections):
            if not self.close_longest_idle():
                return

    # Endpoints.

    def apply_endpoint(self, discovered: DiscoveredEndpoint) -> None:
        """Take over a change of an endpoint from the endpoint table."""
        entry, address = discovered.entry, discovered.address
        endpoint = self.endpoints.get(entry.id)
        if endpoint is None:
            if entry.state is not EndpointState.GONE:
                made = UpstreamEndpoint(entry.id, address, entry.state, entry.started_ms)
                self.endpoints[entry.id] = made
            return
        now = (address, entry.state, entry.started_ms)
        if now == (endpoint.address, endpoint.state, endpoint.started_ms):
            return
        # Connections from before a restart are dead, and a draining endpoint gets nothing new.
        endpoint.address, endpoint.state, endpoint.started_ms = now
        endpoint.version += 1
        for connection in endpoint.idle:
            connection.transport.close()
        endpoint.idle.clear()
        self.forget_if_gone(endpoint)

    def forget_if_gone(self, endpoint: UpstreamEndpoint) -> None:
        """Keep nothing of an endpoint that is gone, once its last attempt has ended."""
        if endpoint.state is not EndpointState.GONE or endpoint.open_attempts:
            return
        if self.endpoints.get(endpoint.id) is endpoint:
            del self.endpoints[endpoint.id]

    # Idle connections.

    def take_idle(self, endpoint: UpstreamEndpoint, now: float) -> UpstreamConnection | None:
        """Return the endpoint's most recently used connection that can be used at once.

        Those that turn out to be dead are closed on the way. Returns None where there is none left.
        """
        idle = endpoint.idle
        at = len(idle)
        while at and now - idle[at - 1].idle_since_ms < REUSE_DELAY_MS:
            at -= 1
        while at:
            at -= 1
            connection = idle.pop(at)
            if self.is_reusable(connection):
                return connection
            connection.transport.abort()
        return None

    def reuse_delay_s(self, connection: UpstreamConnection) -> float:
        """Return how long an idle connection is not to be used yet."""
        return (REUSE_DELAY_MS + connection.idle_since_ms - now_ms()) / 1000

    def is_reusable(self, connection: UpstreamConnection) -> bool:
        """Return whether an idle connection can carry the next request."""
        idle_ms = now_ms() - connection.idle_since_ms
        return idle_ms < self.idle_time_limit.limit_ms and connection.is_quiet()

    def park(self, connection: UpstreamConnection) -> None:
        """Keep a connection for the next attempt, unless its endpoint has changed since."""
        endpoint = connection.endpoint
        changed = connection.version != endpoint.version
        if changed or endpoint.state is not EndpointState.READY:
            connection.transport.close()
            return
        connection.idle_since_ms = now_ms()
        endpoint.idle.append(connection)

    def close_longest_idle(self) -> bool:
        """Close the connection that has been idle for the longest; return whether there was one."""
        longest = [endpoint.idle[0] for endpoint in self.endpoints.values() if endpoint.idle]
        if not longest:
            return False
        connection = min(longest, key=lambda one: one.idle_since_ms)
        connection.endpoint.idle.remove(connection)
        connection.transport.abort()
        return True

    def sweep_idle(self, now: float) -> None:
        """Close connections that have been idle for too long, and let that time grow back."""
        before = now - self.idle_time_limit.limit_ms
        for endpoint in self.endpoints.values():
            while endpoint.idle and endpoint.idle[0].idle_since_ms < before:
                endpoint.idle.pop(0).transport.close()

    # New connections.

    async def make_room(self) -> bool:
        """Close idle connections until another may be opened; return whether it may."""
        while self.open_connections >= self.max_connections and self.close_longest_idle():
            await asyncio.sleep(0)  # the closed one holds its descriptor until then
        return self.open_connections < self.max_connections

    async def connect(self, connection: UpstreamConnection) -> None:
        """Open a connection to its endpoint.

        Raises:
            OSError: it can't be had in time.
            UnicodeError: the endpoint's address is none.
        """
        self.connecting += 1
        try:
            async with asyncio.timeout(self.connect_timeout_ms / 1000):
                await self.loop.create_connection(
                    lambda: connection,
                    *connection.endpoint.address,
                    local_addr=self.local_address,
                )
        except (OSError, UnicodeError, asyncio.CancelledError):
            connection.exchange.release_parser()
            raise
        finally:
            self.connecting -= 1
        # Counted from here, not from connection_made: one that is cancelled just as it comes up is
        # closed by uvloop without connection_lost, and would count against the limit for ever.
        if not connection.transport.is_closing():
            self.connections.add(connection)
