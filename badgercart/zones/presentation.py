"""The admin pages about zones, and the words for states that operators see. No I/O.

The keys and words are an interface: they are literals here, and never derived from names in the
code. `commands.py` shows the pages, `change_logger.py` uses the words.
"""

from __future__ import annotations

from typing import Any

from badgercart.zones.change_history import (
    Change,
    OverrideRecorded,
    PlanEnded,
    PlanInForce,
    ProposalFailed,
)
from badgercart.zones.circuit_breaker import BreakerState
from badgercart.zones.failover_controller import FailoverController
from badgercart.zones.failure_detector import Reachability
from badgercart.zones.traffic_plan import PlanInput

REACHABILITY_WORDS = {
    Reachability.UNKNOWN: "unknown",
    Reachability.REACHABLE: "fine",
    Reachability.UNREACHABLE: "dark",
}
# To operators, a zone is open if its circuit breaker is closed.
BREAKER_WORDS = {
    BreakerState.CLOSED: "open",
    BreakerState.OPEN: "shut",
    BreakerState.HALF_OPEN: "returning",
}
MAX_CHANGES_SHOWN = 32


def status_page(controller: FailoverController, now_ms: float) -> dict[str, Any]:
    """Return the page `/_zones` as plain data: the zones, the plan, and the latest changes."""
    topology, plan = controller.topology, controller.planner.plan
    active = controller.consensus.active
    return {
        "name": controller.member.name,
        "zone": topology.zones[controller.zone],
        "mode": controller.settings.mode.value,
        "map": topology.digest,
        "epoch": controller.consensus.epoch,
        "proposer": active.proposer if active is not None else "",
        "plan": plan.digest.hex() if plan is not None else "",
        "why": plan.reason if plan is not None else "",
        "lease_ms": round(controller.consensus.lease_left_ms(now_ms)),
        "short": controller.planner.scheduler.exhausted,
        "zones": [_zone_entry(controller, zone) for zone in range(len(topology.zones))],
        "parts": [list(map(list, rows)) for rows in plan.shares] if plan is not None else [],
        "changes": [
            change_entry(change, topology.zones)
            for change in controller.history.changes[-MAX_CHANGES_SHOWN:]
        ],
    }


def _zone_entry(controller: FailoverController, zone: int) -> dict[str, Any]:
    topology, conditions = controller.topology, controller.conditions
    observed, summary = controller.observer.reachability, conditions.summary
    breaker, traffic_plan = conditions.breakers[zone], controller.feed.last
    return {
        "zone": topology.zones[zone],
        "region": topology.regions[zone],
        "seen": REACHABILITY_WORDS[observed[zone]] if observed else "unknown",
        "gate": BREAKER_WORDS[breaker.state],
        "open": round(breaker.admitted_share, 3),
        "capacity": round(conditions.capacity[zone], 2),
        "demand": round(sum(summary.demand[zone]), 2) if summary is not None else 0.0,
        "slow": round(summary.relative_latency[zone], 2) if summary is not None else 1.0,
        "share": [row[zone] for row in traffic_plan.shares] if traffic_plan is not None else [],
        "order": controller.overrides.action_for(zone),
    }


def change_entry(change: Change, zone_names: tuple[str, ...]) -> dict[str, Any]:
    """Return a change as plain data."""
    at_ms = round(change.at_ms)
    match change:
        case PlanInForce(_, epoch, proposer, reason, digest):
            return {
                "at_ms": at_ms,
                "why": reason,
                "epoch": epoch,
                "proposer": proposer,
                "plan": digest,
            }
        case PlanEnded(_, epoch, reason):
            return {"at_ms": at_ms, "why": reason, "lapsed": epoch}
        case ProposalFailed(_, epoch):
            return {"at_ms": at_ms, "why": "", "outdone": epoch}
        case OverrideRecorded(_, override):
            order = f"{override.action} {zone_names[override.zone]}"
            return {"at_ms": at_ms, "why": "", "order": order, "by": override.author}


def loss_forecast(controller: FailoverController) -> dict[str, Any]:
    """Return the page `/_zones/if`: for each zone, the effect of losing it now.

    The effect is the utilization of the other zones, and the share of all requests that is shed.
    """
    situation = controller.conditions.plan_input
    if situation is None:
        return {}
    names = controller.topology.zones
    return {name: _forecast(controller, situation, lost) for lost, name in enumerate(names)}


def _forecast(controller: FailoverController, situation: PlanInput, lost: int) -> dict[str, Any]:
    after = PlanInput(
        tuple(0.0 if zone == lost else slots for zone, slots in enumerate(situation.capacity)),
        tuple(
            0.0 if zone == lost else slots for zone, slots in enumerate(situation.local_capacity)
        ),
        situation.demand,
        situation.partitioned,
    )
    load = controller.compute(after).load(situation.demand)
    total_demand = sum(map(sum, situation.demand))
    names = controller.topology.zones
    zones = zip(names, load.slots, after.local_capacity, strict=True)
    return {
        "full": {name: round(slots / capacity, 3) for name, slots, capacity in zones if capacity},
        "refused": round(load.shed / total_demand, 3) if total_demand else 0.0,
    }
