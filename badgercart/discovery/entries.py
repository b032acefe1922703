"""Reads endpoint lists in the JSON form of the platform's discovery service.

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
from badgercart.discovery.start_times import StartTimes
from badgercart.policy.endpoint import Endpoint, EndpointState
from badgercart.policy.events import UpdateKind

# Endpoint states by the `lifecycle` of an entry.
STATE_OF_LIFECYCLE = {
    "active": EndpointState.READY,
    "leaving": EndpointState.DRAINING,
    "left": EndpointState.GONE,
}


def unix_time_ms() -> float:
    """Return the present Unix time (ms)."""
    return time.time() * 1000


class ListReader:
    """Reads lists, with the numbers that a configuration gives zones and machine types.

    Unix times become times of the node's clock.
    """

    def __init__(self, config: Config, wall_clock: Callable[[], float] = unix_time_ms) -> None:
        """Take the configuration, and a clock that returns the Unix time (ms)."""
        self.use_config(config)
        self.start_times = StartTimes(now_ms, wall_clock)
        # Looks up the zone of a host whose entry names no known zone.
        self.zone_of_host: Callable[[str], int] | None = None

    @property
    def unix_offset_ms(self) -> float:
        """Unix time minus the node's clock."""
        return self.start_times.unix_offset_ms

    def use_config(self, config: Config) -> None:
        """Read with the zones and machine types of another configuration."""
        self.zones, self.kinds = config.zones, config.kinds

    def read(self, raw: Mapping[str, Any], kind: UpdateKind | None = None) -> DiscoveryUpdate:
        """Read a list. `kind` overrides the kind that the list itself states.

        Raises ValueError if any entry is invalid: a list is applied completely or not at all.
        """
        try:
            version = int(raw["generation"])
            members = [self.read_entry(entry) for entry in raw["instances"]]
            if kind is None:
                kind = UpdateKind.SNAPSHOT if raw["reset"] else UpdateKind.DELTA
        except (KeyError, TypeError, AttributeError, OverflowError) as error:
            raise ValueError(f"{type(error).__name__}: {error}") from None
        return DiscoveryUpdate(kind, version, members)

    def read_entry(self, entry: Mapping[str, Any]) -> DiscoveredEndpoint:
        """Read one entry. Raises KeyError, TypeError, ValueError and others if it is invalid."""
        name, started_unix_ms = str(entry["instanceId"]), float(entry.get("startedAtMs", 0))
        size = float(entry.get("weight", 1.0))
        # JSON parsers accept NaN and infinity.
        if not (math.isfinite(started_unix_ms) and math.isfinite(size) and size >= 0):
            raise ValueError(f"{name}: weight {size}, started at {started_unix_ms}")
        address = parse_address(entry["hostPort"])
        zone = self.zones.get(entry.get("zone", ""), -1)
        if zone < 0 and self.zone_of_host is not None:
            zone = self.zone_of_host(address[0])
        endpoint = Endpoint(
            id=stable_id(name.encode()),
            zone=zone,
            kind=self.kinds.get(entry.get("machineType", ""), -1),
            cell=int(entry.get("cell", 0)),
            state=STATE_OF_LIFECYCLE[entry["lifecycle"]],
            size=size,
            started_ms=self.start_times.started_ms(name, started_unix_ms),
        )
        return DiscoveredEndpoint(endpoint, address, name)
