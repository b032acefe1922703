"""Looks up the zone of an endpoint by its address, for endpoint lists without zones."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence

import netaddr

from badgercart.zones.settings import NetworkZone
from badgercart.zones.topology import UNKNOWN_ZONE


def zone_lookup(
    networks: Sequence[NetworkZone], zone_indexes: Mapping[str, int]
) -> Callable[[str], int] | None:
    """Return a function from address to zone, or None if no network is configured.

    The function returns the zone of the first network with the address, or UNKNOWN_ZONE.
    """
    if not networks:
        return None
    zones_by_network = [
        (netaddr.IPNetwork(entry.network), zone_indexes[entry.zone]) for entry in networks
    ]

    def zone_of(address: str) -> int:
        try:
            ip = netaddr.IPAddress(address)
        except (netaddr.AddrFormatError, ValueError):
            return UNKNOWN_ZONE
        return next((zone for network, zone in zones_by_network if ip in network), UNKNOWN_ZONE)

    return zone_of
