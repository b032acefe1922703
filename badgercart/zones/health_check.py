"""Health checks of zones: whether one of their endpoints responds at all.

A check is one request on a new connection; any HTTP status line counts as a response.
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
    """Return whether a response with any status arrives in time; a connection is not enough.

    Args:
        address: the address of the endpoint.
        path: the path to request.
        timeout_ms: the time for the connection and the response together.
        source_address: the local address to connect from, or None for any.
    """
    writer = None
    with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
        async with asyncio.timeout(timeout_ms / 1000):
            local = (source_address, 0) if source_address is not None else None
            reader, writer = await asyncio.open_connection(*address, local_addr=local)
            writer.write(_request(address, path))
            is_http = (await reader.readexactly(5)) == b"HTTP/"
            writer.transport.abort()
            return is_http
    if writer is not None:
        writer.transport.abort()
    return False


def _request(address: Address, path: str) -> bytes:
    host = f"{address[0]}:{address[1]}"
    return f"GET {path} HTTP/1.1\r\nHost: {host}\r\nConnection: close\r\n\r\n".encode()


class ZoneHealthChecker:
    """Checks zones by a random endpoint, selected anew for each check."""

    def __init__(
        self,
        host: ComponentHost,
        path: str,
        timeout_ms: float,
        observer: ZoneObserver,
    ) -> None:
        """Check endpoints of the host's table, and report the results to the observer.

        Args:
            host: the host of the component.
            path: the path to request from endpoints.
            timeout_ms: the time for the connection and the response together.
            observer: receives the results.
        """
        self._host, self._observer = host, observer
        self._path, self._timeout_ms = path, timeout_ms
        self._random = random.Random(f"{host.config.seed} zones")

    async def check(self, zone: int) -> None:
        """Check one endpoint of a zone; a zone without endpoints counts as unhealthy."""
        endpoints = self._host.endpoint_table.listed.values()
        candidates = [endpoint for endpoint in endpoints if is_candidate(endpoint, zone)]
        healthy, endpoint_id = False, 0
        if candidates:
            endpoint = self._random.choice(candidates)
            endpoint_id = endpoint.entry.id
            source = self._host.config.source
            healthy = await answers_http(endpoint.address, self._path, self._timeout_ms, source)
        now_ms = self._host.pipeline.clock()
        self._observer.health_checked(now_ms, zone, endpoint_id, healthy)


def is_candidate(endpoint: DiscoveredEndpoint, zone: int) -> bool:
    """Return whether an endpoint is in the zone and ready."""
    return endpoint.entry.zone == zone and endpoint.entry.state is EndpointState.READY
