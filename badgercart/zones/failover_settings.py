"""How traffic plans are made, kept and acted upon."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from badgercart.zones.circuit_breaker import RecoverySettings
from badgercart.zones.consensus_state import LeaseSettings
from badgercart.zones.traffic_plan import UtilizationLimits


class PlanningMode(StrEnum):
    """Who decides on a plan, in the words of the settings file."""

    MAJORITY = "majority"  # one plan for all, by more than half of the nodes
    SHARED = "shared"  # each node its own, by the reports of all


@dataclass(slots=True, frozen=True)
class FailoverSettings:
    """Settings of a failover controller."""

    mode: PlanningMode = PlanningMode.MAJORITY
    limits: UtilizationLimits = field(default_factory=UtilizationLimits)
    lease: LeaseSettings = field(default_factory=LeaseSettings)
    recovery: RecoverySettings = field(default_factory=RecoverySettings)
    report_interval_ms: float = 500.0  # a change of reachability is reported at once
    max_report_age_ms: float = 2500.0
    # Share of a zone's capacity for all nodes together that have no plan.
    fallback_budget: float = 0.1
    settle_ms: float = 1000.0  # between two plans, unless a zone or link has gone
    plans_per_minute: float = 20.0
    electorate: int = 1  # nodes that there should be: more than half of them have to agree
    check_after_ms: float = 2000.0  # silence of a zone after which it gets a health check
