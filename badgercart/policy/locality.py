"""The traffic plan: the shares of requests by zone, and the spill-over between zones. No I/O."""

from __future__ import annotations

import random

from badgercart.policy.endpoints import EndpointChanges, EndpointSet
from badgercart.policy.events import Request, TrafficPlan
from badgercart.policy.subset import Subset

BULK_CHANGES = 64  # if more endpoints change at once, all are grouped by zone again
# A spill-over bucket holds the attempts of this time at the planned rate, at least one.
SPILLOVER_BURST_MS = 300


class Locality:
    """The current plan, the subset's endpoints by zone, and the spill-over buckets.

    Attributes:
        plan: the current plan; None: the own zone first, then any other.
        by_zone: the endpoints of the subset by zone; empty without a plan.
        members: the same as sets, for fast lookups.
        stale: whether the endpoints have to be grouped by zone again.
        load_factors: what is sent to a zone over an even share, by zone.
        spillover_tokens: attempts that may spill over into a zone, and the clock time in ms at
            which they were computed, by zone.
    """

    __slots__ = (
        "_endpoints",
        "_random",
        "_subset",
        "by_zone",
        "load_factors",
        "members",
        "plan",
        "spillover_tokens",
        "stale",
    )

    def __init__(self, endpoints: EndpointSet, subset: Subset, rng: random.Random) -> None:
        self._endpoints, self._subset, self._random = endpoints, subset, rng
        self.plan: TrafficPlan | None = None
        self.by_zone: dict[int, list[int]] = {}
        self.members: dict[int, set[int]] = {}
        self.stale = True
        self.load_factors: dict[int, float] = {}
        self.spillover_tokens: dict[int, tuple[float, float]] = {}

    def set_plan(self, event: TrafficPlan) -> bool:
        """Apply a plan, and return whether anything changed."""
        before, self.plan = self.plan, event if event.shares else None
        if before is self.plan:
            return False
        self.stale = self.stale or before is None
        return True

    def apply_changes(self, changes: EndpointChanges) -> None:
        """Update the zones by changes of the ready endpoints; few changes need no scan of all."""
        if self.plan is None or self.stale or self._subset.groups > 1:
            self.stale = True
            return
        removed, added = changes.removed(), changes.added()
        if len(removed) + len(added) > BULK_CHANGES or _any_changed_zone(changes):
            self.stale = True
            return
        for endpoint_id in removed:
            self._remove(endpoint_id)
        for endpoint_id in added:
            self._add(endpoint_id)

    def _remove(self, endpoint_id: int) -> None:
        for zone in [zone for zone, members in self.members.items() if endpoint_id in members]:
            self.by_zone[zone].remove(endpoint_id)
            self.members[zone].discard(endpoint_id)

    def _add(self, endpoint_id: int) -> None:
        zone = self._endpoints.by_id[endpoint_id].endpoint.zone
        if zone >= 0:
            self.by_zone.setdefault(zone, []).append(endpoint_id)
            self.members.setdefault(zone, set()).add(endpoint_id)

    def refresh(self, class_count: int) -> None:
        """Update the zones and their load factors after an update."""
        if self.plan is None:
            return
        if self.stale or self._subset.groups > 1:
            self.group_by_zone()
        self._measure_load(self.plan, class_count)

    def group_by_zone(self) -> None:
        """Group the subset by zone; for a zone that is not in it, take all ready endpoints."""
        self.by_zone, self.stale = {}, False
        for endpoint_ids in (self._subset.endpoint_ids, self._endpoints.ready):
            known = set(self.by_zone)
            for endpoint_id in endpoint_ids:
                zone = self._endpoints.by_id[endpoint_id].endpoint.zone
                # An endpoint may be listed without a zone.
                if zone >= 0 and zone not in known:
                    self.by_zone.setdefault(zone, []).append(endpoint_id)
        self.members = {zone: set(endpoint_ids) for zone, endpoint_ids in self.by_zone.items()}

    def _measure_load(self, plan: TrafficPlan, class_count: int) -> None:
        rows, total = plan.shares[:class_count], sum(map(len, self.by_zone.values()))
        for zone, endpoint_ids in self.by_zone.items():
            count = max(1, len(endpoint_ids))
            share = sum(row[zone] for row in rows if zone < len(row)) / len(rows)
            self.load_factors[zone] = share * total / count

    @property
    def lost_zones(self) -> frozenset[int]:
        """Return the zones that get no requests by the plan."""
        return self.plan.lost_zones if self.plan is not None else frozenset()

    def lost_endpoints(self) -> int:
        """Return how many endpoints of the subset are in lost zones."""
        return sum(len(self.by_zone.get(zone, ())) for zone in self.lost_zones)

    def gets_no_traffic(self, zone: int) -> bool:
        """Return whether there is a plan by which a zone gets no requests."""
        return self.plan is not None and self.load_factors.get(zone, 0.0) <= 0

    def shares_of(self, plan: TrafficPlan, request: Request, class_count: int) -> tuple[float, ...]:
        """Return the shares of requests like this one, by zone."""
        planned = class_count * (request.tenant in plan.planned_tenants)
        return plan.shares[min(request.class_index + planned, len(plan.shares) - 1)]

    def draw_zone(self, shares: tuple[float, ...]) -> int | None:
        """Draw a zone by the shares; None, with the probability that they leave of 1: it is shed."""
        drawn = self._random.random()
        for zone, share in enumerate(shares):
            drawn -= share
            if drawn < 0:
                return zone
        return None

    def is_avoided(self, plan: TrafficPlan, zone: int, attempts: int) -> bool:
        """Return whether other zones are tried before this one; the offload share decides by a draw."""
        offload_share = plan.offload_shares[zone] if plan.offload_shares else 0.0
        if zone in plan.lost_zones or attempts > 0:
            # A retry tries other zones first, since this zone may have just been lost.
            return True
        return offload_share > 0 and self._random.random() < offload_share

    def spillover_zones(self, zone: int, shares: tuple[float, ...]) -> list[int]:
        """Return the other zones, those with larger shares first."""
        ordered = sorted(
            self.by_zone, key=lambda other: -shares[other] if other < len(shares) else 0.0
        )
        return [other for other in ordered if other != zone]

    def may_spill(self, plan: TrafficPlan, zone: int, now_ms: float) -> bool:
        """Fill a zone's spill-over bucket, and return whether an attempt may spill over to it."""
        rate = plan.spillover_rates_per_ms[zone] if zone < len(plan.spillover_rates_per_ms) else 0.0
        tokens, as_of_ms = self.spillover_tokens.get(zone, (1.0, now_ms))
        tokens = min(tokens + rate * (now_ms - as_of_ms), max(rate * SPILLOVER_BURST_MS, 1.0))
        self.spillover_tokens[zone] = tokens, now_ms
        return rate > 0 and tokens >= 1

    def count_spillover(self, zone: int) -> None:
        """Count an attempt that spilled over into a zone."""
        tokens, as_of_ms = self.spillover_tokens[zone]
        self.spillover_tokens[zone] = tokens - 1, as_of_ms


def _any_changed_zone(changes: EndpointChanges) -> bool:
    return any(
        before is not None and after is not None and before.zone != after.zone
        for _, before, after in changes
    )
