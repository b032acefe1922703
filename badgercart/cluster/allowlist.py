"""The networks from which other nodes may send packets."""

from __future__ import annotations

import netaddr

# Cached lookups; the cache is emptied when it is full.
MAX_CACHED_HOSTS = 4096


class AddressAllowlist:
    """A set of networks, with a cache of the hosts that were looked up.

    Args:
        networks: in CIDR notation, such as `10.1.0.0/16`.
    """

    def __init__(self, networks: tuple[str, ...]) -> None:
        self.networks = netaddr.IPSet([netaddr.IPNetwork(network).cidr for network in networks])
        self.known: dict[str, bool] = {}

    def __contains__(self, host: str) -> bool:
        allowed = self.known.get(host)
        if allowed is None:
            if len(self.known) >= MAX_CACHED_HOSTS:
                self.known.clear()
            allowed = self.known[host] = self._look_up(host)
        return allowed

    def _look_up(self, host: str) -> bool:
        try:
            return netaddr.IPAddress(host) in self.networks
        except (netaddr.AddrFormatError, ValueError):
            return False
