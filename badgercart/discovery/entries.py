"""The lines of a server list, as the platform's discovery words them.

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

STATES = {
    "active": EndpointState.READY,
    "leaving": EndpointState.DRAINING,
    "left": EndpointState.GONE,
}


class ListReader:
    """Reads lists with the names of one configuration. Unix times become times of the node's
    clock."""

    def __init__(self, config: Config) -> None:
        self.use_config(config)
        self.unix_offset = time.time() * 1000 - now_ms()
        self.zone_of_host: Callable[[str], int] | None = (
            None  # the zone of a host that the list gives none
        )

    def use_config(self, config: Config) -> None:
        """Go by the names and numbers of another configuration."""
        self.zones, self.kinds = config.zones, config.kinds

    def read(self, raw: Mapping[str, Any], kind: UpdateKind | None = None) -> DiscoveryUpdate:
        """ValueError if any line is bad: a list is taken whole or not at all."""
        try:
            version = int(raw["generation"])
            members = [self.read_member(line) for line in raw["instances"]]
            if kind is None:
                kind = UpdateKind.SNAPSHOT if raw["reset"] else UpdateKind.DELTA
        except (KeyError, TypeError, AttributeError, OverflowError) as error:
            raise ValueError(f"{type(error).__name__}: {error}") from None
        return DiscoveryUpdate(kind, version, members)

    def read_member(self, line: Mapping[str, Any]) -> DiscoveredEndpoint:
        name, started = str(line["instanceId"]), float(line.get("startedAtMs", 0))
        size = float(line.get("weight", 1.0))
        if not (math.isfinite(started) and math.isfinite(size) and size >= 0):
            raise ValueError(
                f"{name}: weight {size}, started at {started}"
            )  # JSON readers let NaN through
        address = parse_address(line["hostPort"])
        zone = self.zones.get(line.get("zone", ""), -1)
        if zone < 0 and self.zone_of_host is not None:
            zone = self.zone_of_host(address[0])
        entry = Endpoint(
            id=stable_id(name.encode()),
            zone=zone,
            kind=self.kinds.get(line.get("machineType", ""), -1),
            cell=int(line.get("cell", 0)),
            state=STATES[line["lifecycle"]],
            size=size,
            started_ms=started - self.unix_offset if started else 0.0,
        )
        return DiscoveredEndpoint(entry, address, name)
