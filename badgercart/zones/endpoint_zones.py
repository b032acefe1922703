"""The zone of an endpoint by its address, where the endpoint list does not tell it."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence

import netaddr

from badgercart.zones.settings import NetworkZone
from badgercart.zones.topology import UNKNOWN_ZONE


def zone_lookup(
    networks: Sequence[NetworkZone], zone_indexes: Mapping[str, int]
) -> Callable[[str], int] | None:
    """Return what gives the zone of an address, or UNKNOWN_ZONE; None where no network is set.

    The first network that holds the address counts.
    """
    if not networks:
        return None
    known = [(netaddr.IPNetwork(entry.network), zone_indexes[entry.zone]) for entry in networks]

    def zone_of(address: str) -> int:
        try:
            ip = netaddr.IPAddress(address)
        except (netaddr.AddrFormatError, ValueError):
            return UNKNOWN_ZONE
        return next((zone for network, zone in known if ip in network), UNKNOWN_ZONE)

    return zone_of
