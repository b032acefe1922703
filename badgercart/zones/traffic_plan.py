"""The traffic plan: which share of each zone's requests goes to which zone. No I/O.

A plan is a pure function of its input, the same bit by bit on every node. It fills zones like
vessels with water, by priority and by routing cost: rows in the order of their weight, each

1. at home up to the target utilization, then in the nearest zones that have room below theirs;
2. the same up to the planned maximum;
3. at home up to all that the zone can do, and elsewhere only what has no home zone any more.

What is left stays at home, where the policy's load shedding decides by measurement; where the home
zone is gone it is shed. So what can't be carried is shed by the lowest priority before it crosses
zones. `benchmarks/zones.py` compares the result and its cost with a linear programme.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field

import msgspec

from badgercart.zones.topology import Topology

# Whole shares that a row is dealt out in: integers are the same wherever a plan is read.
SHARES_PER_ROW = 240
DEALING_ROUNDS = 4  # of what is left over at one routing cost
MIN_DEMAND = 1e-6  # slots assumed for a row without traffic: its requests have to go somewhere
MAX_REASON_LENGTH = 400  # characters

# whole shares by source zone, row and target zone
ZoneRows = tuple[tuple[tuple[int, ...], ...], ...]


@dataclass(slots=True, frozen=True)
class UtilizationLimits:
    """How full zones are planned to be, as shares of their capacity."""

    target_share: float = 0.8  # while nearer zones have room
    planned_share: float = 0.9  # in all; the rest is left to nodes without a plan
    max_share: float = 1.0  # for what would be shed otherwise, since it has no home zone


@dataclass(slots=True, frozen=True)
class PlanInput:
    """What a plan rests on. Sequences are by zone."""

    capacity: tuple[float, ...]  # slots that others may use; 0 where the circuit breaker is open
    local_capacity: tuple[float, ...]  # slots for the zone's own nodes, which may still reach it
    demand: tuple[tuple[float, ...], ...]  # slots kept busy, by zone of the nodes and by row
    partitioned: frozenset[tuple[int, int]] = frozenset()  # links that carry nothing


@dataclass(slots=True, frozen=True)
class Plan:
    """Shares of SHARES_PER_ROW by source zone, row and target zone; what a row lacks is shed."""

    topology_digest: int
    shares: ZoneRows
    spare_milli_slots: tuple[int, ...]  # by zone: what the plan leaves of the planned maximum
    lost_zones: tuple[int, ...]  # that no node may count on
    reason: str = ""
    digest: bytes = field(init=False, compare=False)

    def __post_init__(self) -> None:
        """Compute the digest, which covers all else."""
        digest = hashlib.blake2b(self.encode_body(), digest_size=8).digest()
        object.__setattr__(self, "digest", digest)

    def encode_body(self) -> bytes:
        """Return the plan as it travels, before compression; of each row only what is not 0."""
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
        """Return what the nodes of a zone do: shares of 1 by row and target zone."""
        return tuple(tuple(share / SHARES_PER_ROW for share in row) for row in self.shares[source])

    def load(self, demand: Sequence[Sequence[float]]) -> PlannedLoad:
        """Return the slots that the plan fills by such a demand, by zone and row."""
        slots, shed = [0.0] * len(demand), 0.0
        for rows, wanted in zip(self.shares, demand, strict=True):
            for row, amount in zip(rows, wanted, strict=True):
                shed += amount * (1 - sum(row) / SHARES_PER_ROW)
                for zone, share in enumerate(row):
                    slots[zone] += amount * share / SHARES_PER_ROW
        return PlannedLoad(tuple(slots), shed)


@dataclass(slots=True, frozen=True)
class PlannedLoad:
    """What a plan makes of a demand."""

    slots: tuple[float, ...]  # filled, by zone
    shed: float  # slots of the requests that are shed


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
        situation: capacity and demand.
        weights: priority weight of each class.
        limits: how full zones may be.
        reason: why the plan is made, for people.
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
    return Plan(topology.digest, allocation.shares(), spare, lost, reason[:MAX_REASON_LENGTH])


def whole_shares(placed: Sequence[float], demand: float) -> tuple[int, ...]:
    """Return slots as whole shares of SHARES_PER_ROW, by largest remainder.

    Ties go to the zone with the lower index.

    Args:
        placed: slots by zone.
        demand: slots of the whole row.
    """
    exact = [SHARES_PER_ROW * amount / demand for amount in placed]
    whole = [int(share + 1e-9) for share in exact]
    missing = min(round(sum(exact) + 1e-9), SHARES_PER_ROW) - sum(whole)
    by_remainder = sorted(range(len(whole)), key=lambda zone: (whole[zone] - exact[zone], zone))
    for zone in [zone for zone in by_remainder if exact[zone] > 0][: max(missing, 0)]:
        whole[zone] += 1
    return tuple(whole)


class _Allocation:
    """Zones as they fill up."""

    def __init__(self, topology: Topology, situation: PlanInput, limits: UtilizationLimits) -> None:
        self.topology, self.situation, self.limits = topology, situation, limits
        self.zones = range(len(topology.zones))
        self.load = [0.0] * len(self.zones)  # slots filled
        self.foreign_load = [0.0] * len(self.zones)  # of these, by other zones' requests
        self.demand = [[max(amount, MIN_DEMAND) for amount in rows] for rows in situation.demand]
        self.placed = [[[0.0] * len(self.zones) for _ in rows] for rows in situation.demand]
        self.costs = sorted({cost for row in topology.costs for cost in row if cost > 0})

    def shares(self) -> ZoneRows:
        """Return what was placed as whole shares."""
        return tuple(
            tuple(
                whole_shares(self.placed[source][row], self.demand[source][row])
                for row in range(self.topology.row_count)
            )
            for source in self.zones
        )

    def place(self, row: int) -> None:
        """Place all zones' requests of one row."""
        remaining = [rows[row] for rows in self.demand]
        for limit in (self.limits.target_share, self.limits.planned_share, self.limits.max_share):
            for source in self.zones:
                remaining[source] -= self._place_at_home(source, row, remaining[source], limit)
            for cost in self.costs:
                self._deal(row, remaining, cost, limit)
        for source in self.zones:
            if self._has_home(source):
                self._add(source, row, source, self._kept_at_home(source, remaining[source]))

    def _has_home(self, source: int) -> bool:
        reaches_itself = (source, source) not in self.situation.partitioned
        return self.situation.local_capacity[source] > 0 and reaches_itself

    def _room(self, zone: int, limit: float) -> float:
        """Return the slots that a zone has left for other zones' requests."""
        return max(0.0, limit * self.situation.capacity[zone] - self.load[zone])

    def _place_at_home(self, source: int, row: int, amount: float, limit: float) -> float:
        """Place as many slots at home as there is room for, and return how many."""
        if (source, source) in self.situation.partitioned:
            return 0.0
        room = max(0.0, limit * self.situation.local_capacity[source] - self.load[source])
        placed = min(amount, room)
        self._add(source, row, source, placed)
        return placed

    def _kept_at_home(self, source: int, amount: float) -> float:
        """Return how much stays at home of what fits nowhere.

        The policy sheds what is too much, by measurement. Only where requests of other zones, which
        weigh more, take the place, as much as they take is shed by the plan.
        """
        full = self.limits.max_share * self.situation.local_capacity[source]
        excess = self.load[source] + amount - full
        return amount - min(amount, max(excess, 0.0), self.foreign_load[source])

    def _add(self, source: int, row: int, zone: int, amount: float) -> None:
        self.placed[source][row][zone] += amount
        self.load[zone] += amount
        if source != zone:
            self.foreign_load[zone] += amount

    def _targets(self, row: int, cost: float, source: int) -> Iterator[int]:
        """Yield the zones at one routing cost that requests of a row may go to."""
        for zone in self.zones:
            if zone == source or self.topology.costs[source][zone] != cost:
                continue
            if (source, zone) in self.situation.partitioned:
                continue
            if self.topology.may_route(row, source, zone):
                yield zone

    def _deal(self, row: int, remaining: list[float], cost: float, limit: float) -> None:
        """Deal out what remains to zones at one routing cost, to none more than it has room."""
        for _ in range(DEALING_ROUNDS):
            requested = self._requested(row, remaining, cost, limit)
            if not requested:
                return
            for zone, amounts in sorted(requested.items()):
                granted = min(1.0, self._room(zone, limit) / sum(amount for _, amount in amounts))
                for source, amount in amounts:
                    self._add(source, row, zone, amount * granted)
                    remaining[source] -= amount * granted

    def _requested(
        self, row: int, remaining: Sequence[float], cost: float, limit: float
    ) -> dict[int, list[tuple[int, float]]]:
        """Return by target zone which zones want how many slots there, by the room of targets."""
        requested: dict[int, list[tuple[int, float]]] = {}
        for source in self.zones:
            if remaining[source] <= MIN_DEMAND / 100:
                continue
            if limit > self.limits.planned_share and self._has_home(source):
                continue  # above the planned maximum goes only what has no home zone
            rooms = [(zone, self._room(zone, limit)) for zone in self._targets(row, cost, source)]
            total = sum(room for _, room in rooms)
            for zone, room in rooms:
                if room > 0:
                    share = (source, remaining[source] * room / total)
                    requested.setdefault(zone, []).append(share)
        return requested
