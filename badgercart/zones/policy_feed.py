"""The policy's input about zones: the plan in force, or how to do without one. No I/O.

By a plan a node sends what the plan says, and requests that find no endpoint there may spill over
into the room that the plan left, by the node's share of it. Without a plan the node sends to its
own zone, and spills over no more than its share of the fallback budget, which every plan leaves
free. A zone that it does not reach itself it leaves at once, by the same spillover.
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

SPILLOVER_TOLERANCE = 0.2  # by which a rate may change before the policy gets it
STRAIN_STEPS = 5  # of a zone's strain, so that the policy hears of changes only

Shares = tuple[tuple[float, ...], ...]  # by row and zone


class PolicyFeed:
    """Makes the policy's input, and remembers what the policy got last."""

    def __init__(
        self,
        observer: ZoneObserver,
        conditions: ZoneConditions,
        overrides: OperatorOverrides,
        fallback_budget: float,
    ) -> None:
        """Begin with a policy that knows nothing.

        Args:
            observer: what this node observes.
            conditions: what all nodes report.
            overrides: zones that operators drain.
            fallback_budget: share of a zone's capacity for all nodes together without a plan.
        """
        self._observer, self._conditions, self._overrides = observer, conditions, overrides
        self._fallback_budget = fallback_budget
        self.last: TrafficPlan | None = None

    def update(
        self, topology: Topology, zone: int, plan: Plan | None, live_nodes: int, possible_nodes: int
    ) -> TrafficPlan | None:
        """Return the policy's new input; None where it has not changed.

        Args:
            topology: the zones.
            zone: the node's own.
            plan: the plan in force.
            live_nodes: nodes in reach, which share what the plan left.
            possible_nodes: nodes that may be alive, which share the fallback budget.
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
        """Return how long an attempt keeps a slot."""
        if not self._observer.demand.has_baseline:
            return DEFAULT_LATENCY_MS
        return max(self._observer.detector.mean_latency_ms, 1.0)

    def _planned_rates(self, plan: Plan, live_nodes: int) -> list[float]:
        """Return this node's spillover by zone, in requests a ms."""
        slot_ms = self._slot_ms()
        return [milli / 1000 / max(live_nodes, 1) / slot_ms for milli in plan.spare_milli_slots]

    def _fallback_rates(self, possible_nodes: int) -> list[float]:
        """Return this node's spillover by zone without a plan, in requests a ms."""
        per_slot = self._fallback_budget / max(possible_nodes, 1) / self._slot_ms()
        return [per_slot * slots for slots in self._conditions.capacity]

    def _strain(self) -> tuple[float, ...]:
        """Return by zone which part of its share it is spared; empty where none is.

        That is so where a zone is slow to this node and the plan may not know yet.
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
    """Return whether two inputs differ at most by a little in their spillover rates."""
    if (one.shares, one.lost_zones) != (other.shares, other.lost_zones):
        return False
    if (one.planned_tenants, one.offload_shares) != (other.planned_tenants, other.offload_shares):
        return False
    return all(
        abs(a - b) <= SPILLOVER_TOLERANCE * max(a, b)
        for a, b in zip(one.spillover_rates_per_ms, other.spillover_rates_per_ms, strict=True)
    )
