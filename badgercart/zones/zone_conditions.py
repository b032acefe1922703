"""The usable capacity of each zone according to the reports of all nodes. No I/O."""

from __future__ import annotations

from badgercart.zones.circuit_breaker import RecoverySettings, ZoneCircuitBreaker
from badgercart.zones.endpoint_capacity import EndpointCapacity
from badgercart.zones.operator_overrides import DRAIN, PIN, OperatorOverrides
from badgercart.zones.topology import Topology
from badgercart.zones.traffic_plan import PlanInput
from badgercart.zones.zone_reports import ZoneReportTable, ZoneSummary, health_of


class ZoneConditions:
    """Owns the reports and the circuit breakers, and derives the input of plans from them.

    Attributes:
        capacity: the slots that the policy may fill, by zone.
        reports: the latest report of each node.
        breakers: the circuit breaker of each zone.
        summary: the summary of the current reports.
        plan_input: the current input for a plan.
    """

    def __init__(
        self, topology: Topology, recovery: RecoverySettings, overrides: OperatorOverrides
    ) -> None:
        """Start without reports; `overrides` take precedence over reports."""
        self._recovery, self._overrides = recovery, overrides
        self.capacity = (0.0,) * len(topology.zones)
        self.reset(topology)

    def reset(self, topology: Topology) -> None:
        """Use another topology, and drop all state that depends on the old one."""
        self.reports = ZoneReportTable(topology)
        self.breakers = [ZoneCircuitBreaker(self._recovery) for _ in topology.zones]
        self.summary: ZoneSummary | None = None
        self.plan_input: PlanInput | None = None

    def update(self, now_ms: float, capacity: EndpointCapacity, max_report_age_ms: float) -> None:
        """Update everything for the current reports and endpoint capacity."""
        total_slots = capacity.total_slots
        summary = self.reports.summarize(now_ms, max_report_age_ms, total_slots)
        self.summary = summary
        self.capacity = _usable_slots(capacity, summary)
        self._update_breakers(now_ms, summary)
        admitted = zip(self.capacity, self.breakers, strict=True)
        self.plan_input = PlanInput(
            tuple(round(slots * breaker.admitted_share, 3) for slots, breaker in admitted),
            tuple(round(self._local_slots(zone, summary), 3) for zone in range(len(self.breakers))),
            tuple(tuple(round(slots, 3) for slots in rows) for rows in summary.demand),
            summary.partitioned,
        )

    def _update_breakers(self, now_ms: float, summary: ZoneSummary) -> None:
        for zone, breaker in enumerate(self.breakers):
            action = self._overrides.action_for(zone)
            down = action == DRAIN if action in (DRAIN, PIN) else zone in summary.down
            breaker.tick(now_ms, down, zone in summary.reachable, _health(summary, zone))

    def _local_slots(self, zone: int, summary: ZoneSummary) -> float:
        """Return the slots of a zone for its own nodes; 0 if an operator drains it.

        While only nodes of other zones do not reach it, its own nodes may use the full capacity
        that its responses indicate.
        """
        if self._overrides.action_for(zone) == DRAIN:
            return 0.0
        share = self.breakers[zone].admitted_share
        if zone in summary.locally_reachable:
            share = max(share, _health(summary, zone))
        return self.capacity[zone] * share


def _health(summary: ZoneSummary, zone: int) -> float:
    return health_of(summary.relative_latency[zone], summary.success_rate[zone])


def _usable_slots(capacity: EndpointCapacity, summary: ZoneSummary) -> tuple[float, ...]:
    """Return the slots that the policy may fill, by zone.

    The policy gives an endpoint in slow start its share of the load, so its slots count for no more
    than the load does.
    """
    total = sum(capacity.total_slots)
    load = min(sum(map(sum, summary.demand)) / max(total, 1e-9), 1.0)
    return tuple(
        warm + cold * load
        for warm, cold in zip(capacity.warm_slots, capacity.cold_slots, strict=True)
    )
