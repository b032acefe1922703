"""The current capacity of each zone's endpoints, from the endpoint list and policy. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

from badgercart.policy.policy import Policy
from badgercart.zones.topology import Topology

# A list with more endpoints is scanned less often.
ENDPOINTS_PER_SCAN = 1000


@dataclass(slots=True, frozen=True)
class EndpointCapacity:
    """The capacity by zone, in slots, and the typical latency by class.

    Attributes:
        warm_slots: the slots of endpoints that are not in slow start, by zone.
        cold_slots: the slots of endpoints in slow start, according to their age, by zone.
        endpoint_counts: the endpoints that are ready, by zone.
        typical_latency_ms: the typical latency by class; empty if none is known.
    """

    warm_slots: tuple[float, ...]
    cold_slots: tuple[float, ...]
    endpoint_counts: tuple[int, ...]
    typical_latency_ms: tuple[float, ...]

    @property
    def total_slots(self) -> list[float]:
        """The sum of warm and cold slots by zone."""
        return [warm + cold for warm, cold in zip(self.warm_slots, self.cold_slots, strict=True)]


def no_capacity(zone_count: int) -> EndpointCapacity:
    """Return the capacity of zones before the first scan."""
    nothing = (0.0,) * zone_count
    return EndpointCapacity(nothing, nothing, (0,) * zone_count, ())


def scan_endpoints(policy: Policy, topology: Topology, slots_per_weight: float) -> EndpointCapacity:
    """Return the capacity of the endpoints that are ready.

    Args:
        policy: the policy whose endpoints are scanned.
        topology: the zones; endpoints of other zones are ignored.
        slots_per_weight: concurrent requests of an endpoint with weight 1.
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
    """Return the ticks from one scan to the next, which bounds the cost of a long list."""
    return max(1, len(policy.fleet.endpoints.ready) // ENDPOINTS_PER_SCAN)
