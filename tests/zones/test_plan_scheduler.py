"""A plan is made when it is due, at once where a zone has gone, and within a budget a minute."""

from __future__ import annotations

from badgercart.zones.plan_scheduler import PlanScheduler, contradicts, differs
from badgercart.zones.topology import build_topology
from badgercart.zones.traffic_plan import Plan, PlanInput, UtilizationLimits, compute_plan

TOPOLOGY = build_topology("ab", {}, {}, 1)
DEMAND = ((2.0, 0.0), (2.0, 0.0))
WELL = PlanInput((10.0, 10.0), (10.0, 10.0), DEMAND)
LOST = PlanInput((0.0, 10.0), (0.0, 10.0), DEMAND)
CUT = PlanInput((10.0, 10.0), (10.0, 10.0), DEMAND, frozenset({(0, 0)}))


def plan_for(situation: PlanInput) -> Plan:
    return compute_plan(TOPOLOGY, situation, (1.0,), UtilizationLimits())


def scheduler(plans_per_minute: float = 6.0) -> PlanScheduler:
    made = PlanScheduler(settle_ms=1000.0, plans_per_minute=plans_per_minute)
    made.refill(0.0)
    return made


def test_a_plan_is_wanted_at_once_where_there_is_none_or_a_zone_or_link_has_gone() -> None:
    for situation, current, wanted in (
        (WELL, None, True),
        (WELL, plan_for(WELL), False),
        (LOST, plan_for(WELL), True),
        (CUT, plan_for(WELL), True),
    ):
        made = scheduler()
        made.consider(10.0, situation, current)
        assert (made.requested_input is not None) is wanted
    made = scheduler()
    made.consider(250.0, WELL, plan_for(WELL))  # four times in the settling time
    assert made.requested_input == WELL


def test_a_plan_that_changes_little_or_too_soon_is_not_admitted() -> None:
    before, after = plan_for(LOST), plan_for(WELL)
    made = scheduler()
    assert not made.admits(0.0, WELL, after, after)
    assert differs(before, after)
    assert made.admits(0.0, WELL, before, after)
    made.planned(0.0)
    assert not made.admits(999.0, WELL, before, after)
    assert made.admits(1000.0, WELL, before, after)
    assert contradicts(after, LOST)
    assert made.admits(1.0, LOST, after, before)


def test_without_budget_only_a_plan_that_gives_up_a_zone_is_admitted() -> None:
    with_zone, without_zone = plan_for(WELL), plan_for(LOST)
    made = scheduler(plans_per_minute=1.0)
    made.planned(0.0)
    assert not made.admits(5000.0, WELL, without_zone, with_zone)
    assert made.exhausted
    assert made.admits(5000.0, LOST, with_zone, without_zone)
    made.refill(60_000.0)
    assert made.admits(60_000.0, WELL, without_zone, with_zone)
    made.planned(60_000.0)
    assert not made.exhausted
