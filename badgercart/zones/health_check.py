"""Health checks of zones: whether an endpoint answers at all.

A check is one request, one status line and one connection.
"""

from __future__ import annotations

import asyncio
import contextlib
import random

from badgercart.app.component import ComponentHost
from badgercart.config import Address
from badgercart.core.endpoint_table import DiscoveredEndpoint
from badgercart.policy.endpoint import EndpointState
from badgercart.zones.zone_observer import ZoneObserver


async def answers_http(
    address: Address, path: str, timeout_ms: float, source_address: str | None
) -> bool:
    """Return whether an answer of any status comes in time; a connection alone is none.

    Args:
        address: of the server.
        path: to ask for.
        timeout_ms: for connection and answer together.
        source_address: from which to connect; None: any.
    """
    writer = None
    with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
        async with asyncio.timeout(timeout_ms / 1000):
            local = (source_address, 0) if source_address is not None else None
            reader, writer = await asyncio.open_connection(*address, local_addr=local)
            writer.write(_request(address, path))
            found = (await reader.readexactly(5)) == b"HTTP/"
            writer.transport.abort()
            return found
    if writer is not None:
        writer.transport.abort()
    return False


def _request(address: Address, path: str) -> bytes:
    host = f"{address[0]}:{address[1]}"
    return f"GET {path} HTTP/1.1\r\nHost: {host}\r\nConnection: close\r\n\r\n".encode()


class ZoneHealthChecker:
    """Checks a zone by one of its endpoints, drawn anew each time."""

    def __init__(
        self,
        host: ComponentHost,
        path: str,
        timeout_ms: float,
        observer: ZoneObserver,
    ) -> None:
        """Check endpoints of the host's table, and tell the observer the results.

        Args:
            host: of the component.
            path: to ask endpoints for.
            timeout_ms: for connection and answer together.
            observer: of the zones.
        """
        self._host, self._observer = host, observer
        self._path, self._timeout_ms = path, timeout_ms
        self._random = random.Random(f"{host.config.seed} zones")

    async def check(self, zone: int) -> None:
        """Check one endpoint of a zone; without any, the zone counts as not healthy."""
        endpoints = self._host.endpoint_table.listed.values()
        candidates = [endpoint for endpoint in endpoints if is_candidate(endpoint, zone)]
        healthy, endpoint_id = False, 0
        if candidates:
            endpoint = self._random.choice(candidates)
            endpoint_id = endpoint.entry.id
            source = self._host.config.source
            healthy = await answers_http(endpoint.address, self._path, self._timeout_ms, source)
        now = self._host.pipeline.clock()
        self._observer.health_checked(now, zone, endpoint_id, healthy)


def is_candidate(endpoint: DiscoveredEndpoint, zone: int) -> bool:
    """Return whether an endpoint may be checked for its zone."""
    return endpoint.entry.zone == zone and endpoint.entry.state is EndpointState.READY
