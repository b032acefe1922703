"""What the list and the policy say of each zone's servers now, for the keeper. No I/O."""

from __future__ import annotations

from badgercart.policy.policy import Policy
from badgercart.zones.failover_controller import Fleet
from badgercart.zones.topology import Geography

A_LOOK = 1000  # servers that are looked at for one look's time: of more it is taken less often


def fleet_of(policy: Policy, geography: Geography, serves: float) -> Fleet:
    """`serves`: how many requests at once a server of weight 1 can serve."""
    zones = len(geography.zones)
    capacity, cold, servers = [0.0] * zones, [0.0] * zones, [0] * zones
    for server_id in policy.fleet.endpoints.ready:
        server = policy.fleet.endpoints.by_id[server_id]
        zone = server.endpoint.zone
        if zone < zones:
            servers[zone] += 1
            share = policy.fleet.slow_start.capacity_share(server.endpoint, policy.now_ms)
            (capacity if share >= 1.0 else cold)[zone] += serves * server.endpoint.size * share
    return Fleet(
        tuple(capacity), tuple(cold), tuple(servers), tuple(policy.fleet.latency.typical_ms)
    )


def looks_apart(policy: Policy) -> int:
    """Looks between two of these, so that a large list costs no more."""
    return max(1, len(policy.fleet.endpoints.ready) // A_LOOK)
