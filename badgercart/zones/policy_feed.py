"""The policy's input about zones: the plan in force, or the fallback without one. No I/O.

With a plan, a node sends the shares of the plan, and requests that find no endpoint there may spill
over into its part of the capacity that the plan leaves free. Without a plan, the node sends to its
own zone and spills over at most its part of the fallback budget, which every plan leaves free. A
zone that the node itself does not reach is avoided at once, by the same spillover.
"""

from __future__ import annotations

from badgercart.policy.events import TrafficPlan
from badgercart.zones.failure_detector import DEFAULT_LATENCY_MS, Reachability
from badgercart.zones.operator_overrides import OperatorOverrides
from badgercart.zones.topology import Topology
from badgercart.zones.traffic_plan import Plan
from badgercart.zones.zone_conditions import ZoneConditions
from badgercart.zones.zone_observer import ZoneObserver
from badgercart.zones.zone_reports import health_of

# Relative change of a spillover rate below which the policy's input is not updated.
SPILLOVER_TOLERANCE_RATIO = 0.2
# A zone's strain is rounded to 1/STRAIN_STEPS, so that small changes do not update the input.
STRAIN_STEPS = 5

Shares = tuple[tuple[float, ...], ...]
"""Shares of requests by row and zone."""


class PolicyFeed:
    """Makes the policy's input, and remembers the latest one.

    Attributes:
        last: the input that the policy got last.
    """

    def __init__(
        self,
        observer: ZoneObserver,
        conditions: ZoneConditions,
        overrides: OperatorOverrides,
        fallback_budget: float,
    ) -> None:
        """Start without an input.

        Args:
            observer: what this node observes.
            conditions: what all nodes report.
            overrides: the zones that operators drain.
            fallback_budget: the share of a zone's capacity for all nodes without a plan together.
        """
        self._observer, self._conditions, self._overrides = observer, conditions, overrides
        self._fallback_budget = fallback_budget
        self.last: TrafficPlan | None = None

    def update(
        self, topology: Topology, zone: int, plan: Plan | None, live_nodes: int, possible_nodes: int
    ) -> TrafficPlan | None:
        """Return the policy's input, or None if it has not changed.

        Args:
            topology: the zones.
            zone: the node's own zone.
            plan: the plan in force.
            live_nodes: the reachable nodes, which share the capacity that the plan leaves free.
            possible_nodes: the nodes that may be alive, which share the fallback budget.
        """
        lost = self._unreachable_zones() | self._overrides.drained_zones()
        if plan is not None:
            lost |= set(plan.lost_zones)
            shares, rates = plan.shares_of(zone), self._planned_rates(plan, live_nodes)
        else:
            shares, rates = _home_shares(topology, zone), self._fallback_rates(possible_nodes)
        traffic_plan = TrafficPlan(
            shares,
            tuple(0.0 if zone in lost else round(rate, 6) for zone, rate in enumerate(rates)),
            frozenset(lost),
            topology.regional_tenants,
            self._strain(),
        )
        if self.last is not None and is_similar(self.last, traffic_plan):
            return None
        self.last = traffic_plan
        return traffic_plan

    def _unreachable_zones(self) -> set[int]:
        return {
            zone
            for zone, reachability in enumerate(self._observer.reachability)
            if reachability is Reachability.UNREACHABLE
        }

    def _slot_ms(self) -> float:
        """Return the mean time for which an attempt occupies a slot."""
        if not self._observer.demand.has_baseline:
            return DEFAULT_LATENCY_MS
        return max(self._observer.detector.mean_latency_ms, 1.0)

    def _planned_rates(self, plan: Plan, live_nodes: int) -> list[float]:
        """Return this node's spillover rate by zone, in requests per ms."""
        slot_ms = self._slot_ms()
        return [milli / 1000 / max(live_nodes, 1) / slot_ms for milli in plan.spare_milli_slots]

    def _fallback_rates(self, possible_nodes: int) -> list[float]:
        """Return this node's spillover rate by zone without a plan, in requests per ms."""
        per_slot = self._fallback_budget / max(possible_nodes, 1) / self._slot_ms()
        return [per_slot * slots for slots in self._conditions.capacity]

    def _strain(self) -> tuple[float, ...]:
        """Return by which part the share of each zone is reduced; empty if none is.

        A zone's share is reduced while it is slow to this node and the plan may not consider that.
        """
        observed = zip(self._observer.detector.zones, self._conditions.breakers, strict=True)
        strain = [
            _rounded_strain(
                health_of(zone.latency.relative, zone.success_rate), breaker.admitted_share
            )
            for zone, breaker in observed
        ]
        return tuple(strain) if any(strain) else ()


def _rounded_strain(health: float, admitted_share: float) -> float:
    relief = 1 - min(1.0, health / max(admitted_share, 1e-9))
    return round(STRAIN_STEPS * relief) / STRAIN_STEPS


def _home_shares(topology: Topology, zone: int) -> Shares:
    row = tuple(1.0 if other == zone else 0.0 for other in range(len(topology.zones)))
    return (row,) * topology.row_count


def is_similar(one: TrafficPlan, other: TrafficPlan) -> bool:
    """Return whether two inputs only differ by small changes of the spillover rates."""
    if (one.shares, one.lost_zones) != (other.shares, other.lost_zones):
        return False
    if (one.planned_tenants, one.offload_shares) != (other.planned_tenants, other.offload_shares):
        return False
    return all(
        abs(a - b) <= SPILLOVER_TOLERANCE_RATIO * max(a, b)
        for a, b in zip(one.spillover_rates_per_ms, other.spillover_rates_per_ms, strict=True)
    )
