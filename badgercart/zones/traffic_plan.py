"""The traffic plan: the share of each zone's requests that is routed to each zone. No I/O.

A plan is a pure function of its input, identical bit by bit on every node. It fills the zones by
priority and routing cost (water-filling): the rows are placed in the order of their weight, each

1. in its home zone up to the target utilization, then in the nearest zones with free capacity below
   their target utilization;
2. in the same way up to the planned maximum;
3. in its home zone up to the full capacity, and in other zones only if its home zone is lost.

The rest stays in the home zone, where the policy sheds load based on measurements; if the home zone
is lost, the rest is shed. So excess load is shed from the lowest priority before it crosses zones.
`benchmarks/zones.py` compares the result and its cost with a linear program.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field

import msgspec

from badgercart.zones.topology import Topology

# Integer shares of a row; unlike floats, they are identical on every node.
SHARES_PER_ROW = 240
# Rounds in which the remaining slots are distributed at one routing cost.
DISTRIBUTION_ROUNDS = 4
# Slots assumed for a row without traffic, whose next requests need a zone too.
MIN_DEMAND_SLOTS = 1e-6
MAX_REASON_CHARS = 400

ZoneRows = tuple[tuple[tuple[int, ...], ...], ...]
"""Integer shares by source zone, row and target zone."""


@dataclass(slots=True, frozen=True)
class UtilizationLimits:
    """The planned utilization of zones, as shares of their capacity.

    Attributes:
        target_share: the limit as long as near zones have free capacity below theirs.
        planned_share: the limit of planned traffic; the rest is left to nodes without a plan.
        max_share: the limit for traffic that has no home zone and would be shed otherwise.
    """

    target_share: float = 0.8
    planned_share: float = 0.9
    max_share: float = 1.0


@dataclass(slots=True, frozen=True)
class PlanInput:
    """The input of a plan. Sequences are by zone.

    Attributes:
        capacity: the slots that other zones may use; 0 if the circuit breaker is open.
        local_capacity: the slots for the zone's own nodes, which may reach it if others do not.
        demand: the slots kept busy, by zone of the nodes and by row.
        partitioned: the links, as source and target zone, that do not work.
    """

    capacity: tuple[float, ...]
    local_capacity: tuple[float, ...]
    demand: tuple[tuple[float, ...], ...]
    partitioned: frozenset[tuple[int, int]] = frozenset()


@dataclass(slots=True, frozen=True)
class Plan:
    """A traffic plan.

    Attributes:
        topology_digest: the digest of the topology that the plan is for.
        shares: the shares of SHARES_PER_ROW by source zone, row and target zone. If a row's shares
            add up to less, the rest of its requests is shed.
        spare_milli_slots: the thousandths of slots below the planned maximum that the plan leaves
            free, by zone.
        lost_zones: the zones that no node may use.
        reason: why the plan was made, for operators.
        digest: a hash of all other fields.
    """

    topology_digest: int
    shares: ZoneRows
    spare_milli_slots: tuple[int, ...]
    lost_zones: tuple[int, ...]
    reason: str = ""
    digest: bytes = field(init=False, compare=False)

    def __post_init__(self) -> None:
        """Compute the digest of all other fields."""
        digest = hashlib.blake2b(self.encode_body(), digest_size=8).digest()
        object.__setattr__(self, "digest", digest)

    def encode_body(self) -> bytes:
        """Return the encoded plan before compression, without the shares that are 0."""
        rows = [
            [[zone, share] for zone, share in enumerate(row) if share]
            for rows in self.shares
            for row in rows
        ]
        content = (
            self.topology_digest,
            rows,
            self.spare_milli_slots,
            self.lost_zones,
            self.reason,
        )
        return msgspec.msgpack.encode(content)

    def shares_of(self, source: int) -> tuple[tuple[float, ...], ...]:
        """Return the shares (0 to 1) for the nodes of a zone, by row and target zone."""
        return tuple(tuple(share / SHARES_PER_ROW for share in row) for row in self.shares[source])

    def load(self, demand: Sequence[Sequence[float]]) -> PlannedLoad:
        """Return the load of each zone if the demand (by zone and row) follows the plan."""
        slots, shed = [0.0] * len(demand), 0.0
        for rows, zone_demand in zip(self.shares, demand, strict=True):
            for row, amount in zip(rows, zone_demand, strict=True):
                shed += amount * (1 - sum(row) / SHARES_PER_ROW)
                for zone, share in enumerate(row):
                    slots[zone] += amount * share / SHARES_PER_ROW
        return PlannedLoad(tuple(slots), shed)


@dataclass(slots=True, frozen=True)
class PlannedLoad:
    """The load that results from a plan and a demand.

    Attributes:
        slots: the slots kept busy, by zone.
        shed: the slots of the requests that are shed.
    """

    slots: tuple[float, ...]
    shed: float


def compute_plan(
    topology: Topology,
    situation: PlanInput,
    weights: Sequence[float],
    limits: UtilizationLimits,
    reason: str = "",
) -> Plan:
    """Return the plan for a situation.

    Args:
        topology: the zones.
        situation: the capacity and demand.
        weights: the priority weight of each class.
        limits: how full zones may be.
        reason: why the plan is made, for operators.
    """
    allocation = _Allocation(topology, situation, limits)
    by_priority = sorted(
        range(topology.row_count), key=lambda row: (-weights[row % topology.class_count], -row)
    )
    for row in by_priority:
        allocation.place(row)
    zones = zip(situation.capacity, situation.local_capacity, allocation.load, strict=True)
    spare = tuple(
        max(0, int(1000 * (limits.planned_share * min(capacity, local) - load)))
        for capacity, local, load in zones
    )
    lost = tuple(zone for zone, local in enumerate(situation.local_capacity) if local <= 0)
    return Plan(topology.digest, allocation.shares(), spare, lost, reason[:MAX_REASON_CHARS])


def integer_shares(placed: Sequence[float], demand: float) -> tuple[int, ...]:
    """Convert slots to integer shares of SHARES_PER_ROW by the largest remainder method.

    Ties go to the zone with the lower index.

    Args:
        placed: the placed slots by zone.
        demand: the slots of the complete row.
    """
    exact = [SHARES_PER_ROW * amount / demand for amount in placed]
    integers = [int(share + 1e-9) for share in exact]
    missing = min(round(sum(exact) + 1e-9), SHARES_PER_ROW) - sum(integers)
    by_remainder = sorted(
        range(len(integers)), key=lambda zone: (integers[zone] - exact[zone], zone)
    )
    for zone in [zone for zone in by_remainder if exact[zone] > 0][: max(missing, 0)]:
        integers[zone] += 1
    return tuple(integers)


class _Allocation:
    """The state of the zones while rows are placed."""

    def __init__(self, topology: Topology, situation: PlanInput, limits: UtilizationLimits) -> None:
        self.topology, self.situation, self.limits = topology, situation, limits
        self.zones = range(len(topology.zones))
        self.load = [0.0] * len(self.zones)  # occupied slots
        self.foreign_load = [0.0] * len(self.zones)  # those occupied by other zones' requests
        self.demand = [
            [max(amount, MIN_DEMAND_SLOTS) for amount in rows] for rows in situation.demand
        ]
        self.placed = [[[0.0] * len(self.zones) for _ in rows] for rows in situation.demand]
        self.costs = sorted({cost for row in topology.costs for cost in row if cost > 0})

    def shares(self) -> ZoneRows:
        """Return the placed slots as integer shares."""
        return tuple(
            tuple(
                integer_shares(self.placed[source][row], self.demand[source][row])
                for row in range(self.topology.row_count)
            )
            for source in self.zones
        )

    def place(self, row: int) -> None:
        """Place the requests of one row from all zones."""
        remaining = [rows[row] for rows in self.demand]
        for limit in (self.limits.target_share, self.limits.planned_share, self.limits.max_share):
            for source in self.zones:
                remaining[source] -= self._place_at_home(source, row, remaining[source], limit)
            for cost in self.costs:
                self._distribute(row, remaining, cost, limit)
        for source in self.zones:
            if self._has_home(source):
                self._add(source, row, source, self._kept_at_home(source, remaining[source]))

    def _has_home(self, source: int) -> bool:
        reaches_itself = (source, source) not in self.situation.partitioned
        return self.situation.local_capacity[source] > 0 and reaches_itself

    def _free_slots(self, zone: int, limit: float) -> float:
        """Return the slots of a zone that are free for other zones' requests."""
        return max(0.0, limit * self.situation.capacity[zone] - self.load[zone])

    def _place_at_home(self, source: int, row: int, amount: float, limit: float) -> float:
        """Place as many slots in the home zone as are free there; return how many."""
        if (source, source) in self.situation.partitioned:
            return 0.0
        free_slots = max(0.0, limit * self.situation.local_capacity[source] - self.load[source])
        placed = min(amount, free_slots)
        self._add(source, row, source, placed)
        return placed

    def _kept_at_home(self, source: int, amount: float) -> float:
        """Return how many of the slots that fit nowhere stay in the home zone.

        The policy sheds the excess based on measurements. The plan itself only sheds as much as
        requests of other zones, which have a higher priority, occupy in the home zone.
        """
        max_slots = self.limits.max_share * self.situation.local_capacity[source]
        excess = self.load[source] + amount - max_slots
        return amount - min(amount, max(excess, 0.0), self.foreign_load[source])

    def _add(self, source: int, row: int, zone: int, amount: float) -> None:
        self.placed[source][row][zone] += amount
        self.load[zone] += amount
        if source != zone:
            self.foreign_load[zone] += amount

    def _targets(self, row: int, cost: float, source: int) -> Iterator[int]:
        """Yield the zones at one routing cost that requests of a row may be routed to."""
        for zone in self.zones:
            if zone == source or self.topology.costs[source][zone] != cost:
                continue
            if (source, zone) in self.situation.partitioned:
                continue
            if self.topology.may_route(row, source, zone):
                yield zone

    def _distribute(self, row: int, remaining: list[float], cost: float, limit: float) -> None:
        """Distribute the remaining slots over zones at one routing cost, up to their capacity."""
        for _ in range(DISTRIBUTION_ROUNDS):
            requested = self._requested(row, remaining, cost, limit)
            if not requested:
                return
            for zone, amounts in sorted(requested.items()):
                granted = min(
                    1.0, self._free_slots(zone, limit) / sum(amount for _, amount in amounts)
                )
                for source, amount in amounts:
                    self._add(source, row, zone, amount * granted)
                    remaining[source] -= amount * granted

    def _requested(
        self, row: int, remaining: Sequence[float], cost: float, limit: float
    ) -> dict[int, list[tuple[int, float]]]:
        """Return the slots that each zone requests of each target, proportional to free slots."""
        requested: dict[int, list[tuple[int, float]]] = {}
        for source in self.zones:
            if remaining[source] <= MIN_DEMAND_SLOTS / 100:
                continue
            if limit > self.limits.planned_share and self._has_home(source):
                # Only traffic without a home zone may exceed the planned maximum.
                continue
            targets = [
                (zone, self._free_slots(zone, limit)) for zone in self._targets(row, cost, source)
            ]
            total = sum(free_slots for _, free_slots in targets)
            for zone, free_slots in targets:
                if free_slots > 0:
                    share = (source, remaining[source] * free_slots / total)
                    requested.setdefault(zone, []).append(share)
        return requested
