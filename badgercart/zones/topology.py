"""Zones, their regions, the routing costs between zones, and traffic that must stay in its region.

A topology comes from the settings file and has no I/O. Nodes agree on a traffic plan only where
their topologies have the same digest.
"""

from __future__ import annotations

import hashlib
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

# Costs between two zones of one region and of two, where the settings file gives none.
INTRA_REGION_COST, INTER_REGION_COST = 1.0, 10.0
MAX_ZONES = 64
UNKNOWN_ZONE = -1  # index of a zone that is not known


@dataclass(slots=True, frozen=True)
class Topology:
    """All zones. Zones have the indexes that they have in the endpoint list.

    A row stands for the requests of one class; each class has a second row for the tenants whose
    requests must stay in their region.
    """

    zones: tuple[str, ...]
    regions: tuple[str, ...]  # of each zone
    costs: tuple[tuple[float, ...], ...]  # from zone to zone; 0 at home
    regional_classes: frozenset[int] = frozenset()  # whose requests must not leave their region
    regional_tenants: frozenset[int] = frozenset()
    class_count: int = 1
    digest: int = field(init=False)

    def __post_init__(self) -> None:
        """Compute the digest, which covers all else."""
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
        """Number of rows: two for each class."""
        return 2 * self.class_count

    def is_regional(self, row: int) -> bool:
        """Return whether the requests of a row must not leave their region."""
        return row >= self.class_count or row in self.regional_classes

    def may_route(self, row: int, source: int, target: int) -> bool:
        """Return whether requests of a row may go from one zone to another."""
        return not self.is_regional(row) or self.regions[source] == self.regions[target]

    def row_of(self, class_index: int, tenant: int) -> int:
        """Return the row that a request of this class and tenant belongs to."""
        return class_index + self.class_count * (tenant in self.regional_tenants)


def build_topology(
    zones: Sequence[str],
    regions: Mapping[str, str],
    costs: Mapping[tuple[str, str], float],
    class_count: int = 1,
    regional_classes: frozenset[int] = frozenset(),
    regional_tenants: frozenset[int] = frozenset(),
) -> Topology:
    """Return the topology of these zones, by name.

    A zone without a region forms a region of its own. A cost holds in both directions.
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
