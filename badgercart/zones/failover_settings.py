"""The settings of a failover controller: how plans are made, agreed on and applied."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from badgercart.zones.circuit_breaker import RecoverySettings
from badgercart.zones.consensus_state import LeaseSettings
from badgercart.zones.traffic_plan import UtilizationLimits


class PlanningMode(StrEnum):
    """Who decides on a plan; the values are those of the settings file."""

    # One plan for all nodes, agreed on by more than half of them.
    MAJORITY = "majority"
    # Each node computes a plan of its own from the reports of all nodes.
    SHARED = "shared"


@dataclass(slots=True, frozen=True)
class FailoverSettings:
    """The settings of a failover controller.

    Attributes:
        mode: who decides on a plan.
        limits: how full zones are planned to be.
        lease: the durations of the consensus.
        recovery: how zones that were down get traffic again.
        report_interval_ms: the interval between two reports; a change of reachability is reported
            immediately.
        max_report_age_ms: the age from which a report is ignored.
        fallback_budget: the share of a zone's capacity for all nodes without a plan together.
        settle_ms: the minimum time between two plans, unless a zone or link has failed.
        plans_per_minute: the maximum rate of new plans.
        electorate: the configured number of nodes, of which more than half have to agree.
        check_after_ms: the silence of a zone after which it gets a health check.
    """

    mode: PlanningMode = PlanningMode.MAJORITY
    limits: UtilizationLimits = field(default_factory=UtilizationLimits)
    lease: LeaseSettings = field(default_factory=LeaseSettings)
    recovery: RecoverySettings = field(default_factory=RecoverySettings)
    report_interval_ms: float = 500.0
    max_report_age_ms: float = 2500.0
    fallback_budget: float = 0.1
    settle_ms: float = 1000.0
    plans_per_minute: float = 20.0
    electorate: int = 1
    check_after_ms: float = 2000.0
