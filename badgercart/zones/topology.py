"""Zones, regions, routing costs between zones, and traffic that must stay in its region. No I/O.

The topology is built from the settings file. Nodes can only agree on a traffic plan if their
topologies have the same digest.
"""

from __future__ import annotations

import hashlib
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

# Routing costs between two zones for which the settings file gives none.
INTRA_REGION_COST = 1.0
INTER_REGION_COST = 10.0
MAX_ZONES = 64
# The index of a zone that is not known.
UNKNOWN_ZONE = -1


@dataclass(slots=True, frozen=True)
class Topology:
    """All zones, with the same indexes as in the endpoint list.

    Requests are grouped in rows: each class has a first row, and a second row for the tenants whose
    requests must stay in their region.

    Attributes:
        zones: the names of the zones.
        regions: the region of each zone.
        costs: the routing cost from zone to zone; 0 within a zone.
        regional_classes: the classes whose requests must stay in their region.
        regional_tenants: the tenants whose requests must stay in their region.
        class_count: the number of classes.
        digest: a hash of all other fields.
    """

    zones: tuple[str, ...]
    regions: tuple[str, ...]
    costs: tuple[tuple[float, ...], ...]
    regional_classes: frozenset[int] = frozenset()
    regional_tenants: frozenset[int] = frozenset()
    class_count: int = 1
    digest: int = field(init=False)

    def __post_init__(self) -> None:
        """Compute the digest of all other fields."""
        content = (
            self.zones,
            self.regions,
            self.costs,
            sorted(self.regional_classes),
            sorted(self.regional_tenants),
            self.class_count,
        )
        digest = hashlib.blake2b(repr(content).encode(), digest_size=6).digest()
        object.__setattr__(self, "digest", int.from_bytes(digest, "big"))

    @property
    def row_count(self) -> int:
        """The number of rows: two for each class."""
        return 2 * self.class_count

    def is_regional(self, row: int) -> bool:
        """Return whether the requests of a row must stay in their region."""
        return row >= self.class_count or row in self.regional_classes

    def may_route(self, row: int, source: int, target: int) -> bool:
        """Return whether requests of a row may be routed from one zone to another."""
        return not self.is_regional(row) or self.regions[source] == self.regions[target]

    def row_of(self, class_index: int, tenant: int) -> int:
        """Return the row of a request of this class and tenant."""
        return class_index + self.class_count * (tenant in self.regional_tenants)


def build_topology(
    zones: Sequence[str],
    regions: Mapping[str, str],
    costs: Mapping[tuple[str, str], float],
    class_count: int = 1,
    regional_classes: frozenset[int] = frozenset(),
    regional_tenants: frozenset[int] = frozenset(),
) -> Topology:
    """Return the topology of these zones, with regions and costs by name.

    A zone without a region forms a region of its own. A cost applies in both directions.
    """
    zone_regions = [regions.get(zone, zone) for zone in zones]

    def cost_between(source: int, target: int) -> float:
        if source == target:
            return 0.0
        pair = zones[source], zones[target]
        same_region = zone_regions[source] == zone_regions[target]
        default = INTRA_REGION_COST if same_region else INTER_REGION_COST
        return costs.get(pair, costs.get(pair[::-1], default))

    indexes = range(len(zones))
    matrix = tuple(tuple(cost_between(source, target) for target in indexes) for source in indexes)
    return Topology(
        tuple(zones), tuple(zone_regions), matrix, regional_classes, regional_tenants, class_count
    )
