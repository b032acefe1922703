"""What the endpoint list and the policy say of each zone's endpoints now. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

from badgercart.policy.policy import Policy
from badgercart.zones.topology import Topology

ENDPOINTS_PER_SCAN = 1000  # of more endpoints, a scan is taken less often


@dataclass(slots=True, frozen=True)
class EndpointCapacity:
    """Capacity by zone, in slots, and typical latency by class."""

    warm_slots: tuple[float, ...]
    cold_slots: tuple[float, ...]  # of endpoints in slow start, by their age
    endpoint_counts: tuple[int, ...]  # endpoints that are ready
    typical_latency_ms: tuple[float, ...]

    @property
    def total_slots(self) -> list[float]:
        """Warm and cold slots by zone."""
        return [warm + cold for warm, cold in zip(self.warm_slots, self.cold_slots, strict=True)]


def no_capacity(zone_count: int) -> EndpointCapacity:
    """Return the capacity of zones before the first scan."""
    nothing = (0.0,) * zone_count
    return EndpointCapacity(nothing, nothing, (0,) * zone_count, ())


def scan_endpoints(policy: Policy, topology: Topology, slots_per_weight: float) -> EndpointCapacity:
    """Return the capacity of the endpoints that are ready.

    Args:
        policy: whose endpoints are scanned.
        topology: the zones; endpoints of others are left out.
        slots_per_weight: requests that an endpoint of weight 1 serves at once.
    """
    zone_count = len(topology.zones)
    warm, cold, counts = [0.0] * zone_count, [0.0] * zone_count, [0] * zone_count
    fleet = policy.fleet
    for endpoint_id in fleet.endpoints.ready:
        server = fleet.endpoints.by_id[endpoint_id]
        zone = server.endpoint.zone
        if zone >= zone_count:
            continue
        counts[zone] += 1
        share = fleet.slow_start.capacity_share(server.endpoint, policy.now_ms)
        slots = warm if share >= 1.0 else cold
        slots[zone] += slots_per_weight * server.endpoint.size * share
    return EndpointCapacity(
        tuple(warm), tuple(cold), tuple(counts), tuple(fleet.latency.typical_ms)
    )


def ticks_between_scans(policy: Policy) -> int:
    """Return how many ticks one scan serves, so that a long list costs no more in sum."""
    return max(1, len(policy.fleet.endpoints.ready) // ENDPOINTS_PER_SCAN)
