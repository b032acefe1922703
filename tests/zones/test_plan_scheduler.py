"""When plans are requested and admitted, and the budget per minute."""

from __future__ import annotations

from badgercart.zones.plan_scheduler import PlanScheduler, contradicts, differs
from badgercart.zones.topology import build_topology
from badgercart.zones.traffic_plan import Plan, PlanInput, UtilizationLimits, compute_plan

TOPOLOGY = build_topology("ab", {}, {}, 1)
DEMAND = ((2.0, 0.0), (2.0, 0.0))
HEALTHY = PlanInput((10.0, 10.0), (10.0, 10.0), DEMAND)
ZONE_LOST = PlanInput((0.0, 10.0), (0.0, 10.0), DEMAND)
LINK_BROKEN = PlanInput((10.0, 10.0), (10.0, 10.0), DEMAND, frozenset({(0, 0)}))


def plan_for(situation: PlanInput) -> Plan:
    """Return the plan for a situation."""
    return compute_plan(TOPOLOGY, situation, (1.0,), UtilizationLimits())


def new_scheduler(plans_per_minute: float = 6.0) -> PlanScheduler:
    """Return a scheduler with a full budget."""
    scheduler = PlanScheduler(settle_ms=1000.0, plans_per_minute=plans_per_minute)
    scheduler.refill(0.0)
    return scheduler


def test_a_plan_is_requested_at_once_without_one_or_after_a_failure() -> None:
    """A plan that uses a failed zone or link is replaced without waiting for the interval."""
    for situation, current, requested in (
        (HEALTHY, None, True),
        (HEALTHY, plan_for(HEALTHY), False),
        (ZONE_LOST, plan_for(HEALTHY), True),
        (LINK_BROKEN, plan_for(HEALTHY), True),
    ):
        scheduler = new_scheduler()
        scheduler.consider(10.0, situation, current)
        assert (scheduler.requested_input is not None) is requested
    scheduler = new_scheduler()
    # A plan is considered four times within the settling time.
    scheduler.consider(250.0, HEALTHY, plan_for(HEALTHY))
    assert scheduler.requested_input == HEALTHY


def test_a_plan_with_small_changes_or_too_early_is_not_admitted() -> None:
    """Plans must not follow random variation, but a failure is urgent."""
    before, after = plan_for(ZONE_LOST), plan_for(HEALTHY)
    scheduler = new_scheduler()
    assert not scheduler.admits(0.0, HEALTHY, after, after)
    assert differs(before, after)
    assert scheduler.admits(0.0, HEALTHY, before, after)
    scheduler.plan_adopted(0.0)
    assert not scheduler.admits(999.0, HEALTHY, before, after)
    assert scheduler.admits(1000.0, HEALTHY, before, after)
    assert contradicts(after, ZONE_LOST)
    assert scheduler.admits(1.0, ZONE_LOST, after, before)


def test_without_budget_only_a_plan_that_gives_up_a_zone_is_admitted() -> None:
    """A zone that flaps does not come back until the budget is refilled."""
    with_zone, without_zone = plan_for(HEALTHY), plan_for(ZONE_LOST)
    scheduler = new_scheduler(plans_per_minute=1.0)
    scheduler.plan_adopted(0.0)
    assert not scheduler.admits(5000.0, HEALTHY, without_zone, with_zone)
    assert scheduler.exhausted
    assert scheduler.admits(5000.0, ZONE_LOST, with_zone, without_zone)
    scheduler.refill(60_000.0)
    assert scheduler.admits(60_000.0, HEALTHY, without_zone, with_zone)
    scheduler.plan_adopted(60_000.0)
    assert not scheduler.exhausted
