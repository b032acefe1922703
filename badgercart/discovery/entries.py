"""Reads updates in the words of the platform's catalog.

Source: the protocol's page, section "Discovery".
"""

from __future__ import annotations

import math
import time
from collections.abc import Callable, Mapping
from typing import Any

from badgercart.config import Config, parse_address
from badgercart.core.clock import now_ms
from badgercart.core.endpoint_table import DiscoveredEndpoint, DiscoveryUpdate
from badgercart.core.identifiers import stable_id
from badgercart.policy.endpoint import Endpoint, EndpointState
from badgercart.policy.events import UpdateKind

# The catalog's words for the states of an endpoint.
LIFECYCLES = {
    "active": EndpointState.READY,
    "leaving": EndpointState.DRAINING,
    "left": EndpointState.GONE,
}


class CatalogUpdateReader:
    """Reads updates with the names of one configuration; Unix times become the node's clock's."""

    def __init__(self, config: Config) -> None:
        """Take over the names of zones and kinds of machines."""
        self.use_names(config)
        self.unix_offset = time.time() * 1000 - now_ms()
        # Returns the zone of a host that the catalog gives none.
        self.zone_of_host: Callable[[str], int] | None = None

    def use_names(self, config: Config) -> None:
        """Go by the names and numbers of another configuration."""
        self.zones, self.kinds = config.zones, config.kinds

    def read(self, raw: Mapping[str, Any], kind: UpdateKind | None = None) -> DiscoveryUpdate:
        """Return an update; where no kind is given, the update says it.

        Raises:
            ValueError: any of its lines is malformed; an update is taken whole or not at all.
        """
        try:
            version = int(raw["generation"])
            endpoints = [self.read_endpoint(line) for line in raw["instances"]]
            if kind is None:
                kind = UpdateKind.SNAPSHOT if raw["reset"] else UpdateKind.DELTA
        except (KeyError, TypeError, AttributeError, OverflowError) as error:
            raise ValueError(f"{type(error).__name__}: {error}") from error
        return DiscoveryUpdate(kind, version, endpoints)

    def read_endpoint(self, line: Mapping[str, Any]) -> DiscoveredEndpoint:
        """Return the endpoint of one line.

        Raises:
            ValueError: a value is malformed. A missing or mistyped one raises KeyError, TypeError,
                AttributeError or OverflowError.
        """
        name, started_ms = str(line["instanceId"]), float(line.get("startedAtMs", 0))
        weight = float(line.get("weight", 1.0))
        # JSON readers let NaN and infinity through.
        if not (math.isfinite(started_ms) and math.isfinite(weight) and weight >= 0):
            raise ValueError(f"{name}: weight {weight}, started at {started_ms}")
        address = parse_address(line["hostPort"])
        zone = self.zones.get(line.get("zone", ""), -1)
        if zone < 0 and self.zone_of_host is not None:
            zone = self.zone_of_host(address[0])
        entry = Endpoint(
            id=stable_id(name.encode()),
            zone=zone,
            kind=self.kinds.get(line.get("machineType", ""), -1),
            cell=int(line.get("cell", 0)),
            state=LIFECYCLES[line["lifecycle"]],
            size=weight,
            started_ms=started_ms - self.unix_offset if started_ms else 0.0,
        )
        return DiscoveredEndpoint(entry, address, name)
