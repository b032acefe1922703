"""The map: zones, their regions, the cost from one to another, and what must stay in its region. No
I/O."""

from __future__ import annotations

import hashlib
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

WITHIN, ACROSS = (
    1.0,
    10.0,
)  # costs between two zones of one region, and of two, where the file says nothing
MAX_ZONES = 64


@dataclass(slots=True, frozen=True)
class Geography:
    """Zones have the numbers that they have in the server list."""

    zones: tuple[str, ...]
    regions: tuple[str, ...]  # of each zone
    cost: tuple[tuple[float, ...], ...]  # from zone to zone; 0 at home
    bound_classes: frozenset[int] = frozenset()  # whose requests must not leave their region
    bound_tenants: frozenset[int] = frozenset()
    classes: int = 1
    digest: int = field(init=False)  # nodes that have another map do not agree on plans with us

    def __post_init__(self) -> None:
        told = (
            self.zones, self.regions, self.cost, sorted(self.bound_classes), sorted(self.bound_tenants),
            self.classes,
        )  # fmt: skip
        digest = hashlib.blake2b(repr(told).encode(), digest_size=6).digest()
        object.__setattr__(self, "digest", int.from_bytes(digest, "big"))

    @property
    def rows(self) -> int:
        """Each class, and once more each for the tenants that are bound."""
        return 2 * self.classes

    def bound(self, row: int) -> bool:
        """Whether the requests of a row must not leave their region."""
        return row >= self.classes or row in self.bound_classes

    def may(self, row: int, source: int, to: int) -> bool:
        return not self.bound(row) or self.regions[source] == self.regions[to]

    def row_of(self, cls: int, tenant: int) -> int:
        return cls + self.classes * (tenant in self.bound_tenants)


def geography(
    zones: Sequence[str],
    regions: Mapping[str, str],
    distances: Mapping[tuple[str, str], float],
    classes: int = 1,
    bound_classes: frozenset[int] = frozenset(),
    bound_tenants: frozenset[int] = frozenset(),
) -> Geography:
    """A map from names. A zone of no region is in a region of its own; a distance holds both
    ways."""
    home = [regions.get(zone, zone) for zone in zones]

    def between(one: int, other: int) -> float:
        if one == other:
            return 0.0
        pair = zones[one], zones[other]
        usual = WITHIN if home[one] == home[other] else ACROSS
        return distances.get(pair, distances.get(pair[::-1], usual))

    cost = tuple(tuple(between(i, j) for j in range(len(zones))) for i in range(len(zones)))
    return Geography(tuple(zones), tuple(home), cost, bound_classes, bound_tenants, classes)
