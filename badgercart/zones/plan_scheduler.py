"""Decides when a new plan is computed, and whether it replaces the current one. No I/O."""

from __future__ import annotations

from badgercart.zones.traffic_plan import SHARES_PER_ROW, Plan, PlanInput

# A plan in which no share changes by more than this part of a row does not replace the current one.
MIN_CHANGE_SHARE = 0.1
# How often a new plan is computed within the settling time.
CHECKS_PER_SETTLE_TIME = 4


class PlanScheduler:
    """Limits the rate of new plans by a settling time and by a budget per minute.

    Attributes:
        requested_input: the input of the plan that should be computed, if any.
        computing: whether that plan is being computed.
        exhausted: whether the latest plan was rejected for lack of budget.
    """

    def __init__(self, settle_ms: float, plans_per_minute: float) -> None:
        """Start with the budget of a full minute."""
        self._settle_ms, self._plans_per_minute = settle_ms, plans_per_minute
        self._budget = plans_per_minute
        self._refilled_at_ms = 0.0
        self._considered_at_ms = 0.0
        self._adopted_at_ms = float("-inf")
        self.requested_input: PlanInput | None = None
        self.computing = False
        self.exhausted = False

    def refill(self, now_ms: float) -> None:
        """Add the budget earned since the last call."""
        earned = (now_ms - self._refilled_at_ms) * self._plans_per_minute / 60_000
        self._budget = min(self._budget + earned, self._plans_per_minute)
        self._refilled_at_ms = now_ms

    def consider(self, now_ms: float, situation: PlanInput | None, current: Plan | None) -> None:
        """Request a plan if one is due, or if the current one uses a failed zone or link."""
        if self.requested_input is not None:
            return
        urgent = current is not None and situation is not None and contradicts(current, situation)
        due = now_ms - self._considered_at_ms >= self._settle_ms / CHECKS_PER_SETTLE_TIME
        if urgent or current is None or due:
            self._considered_at_ms, self.requested_input = now_ms, situation

    def plan_computed(self) -> None:
        """Record that the requested plan was computed."""
        self.requested_input, self.computing = None, False

    def admits(self, now_ms: float, situation: PlanInput, current: Plan, plan: Plan) -> bool:
        """Return whether a plan may replace the current one now.

        Without budget the current plan stays, since it sends less to zones that flap; a plan that
        only gives up further zones is admitted nevertheless.
        """
        urgent = contradicts(current, situation)
        settled = now_ms - self._adopted_at_ms >= self._settle_ms
        if not urgent and not settled:
            return False
        if not urgent and not differs(current, plan):
            return False
        if self._budget < 1 and not set(plan.lost_zones) > set(current.lost_zones):
            self.exhausted = True
            return False
        return True

    def plan_adopted(self, now_ms: float) -> None:
        """Record that a plan was proposed or came into force."""
        self.exhausted = False
        self._budget, self._adopted_at_ms = max(self._budget - 1, 0.0), now_ms

    def reset(self) -> None:
        """Cancel the requested plan."""
        self.requested_input = None


def contradicts(plan: Plan, situation: PlanInput) -> bool:
    """Return whether a plan still uses a zone or a link that has failed."""
    for zone, local_slots in enumerate(situation.local_capacity):
        if not local_slots and zone not in plan.lost_zones:
            return True
    for zone, slots in enumerate(situation.capacity):
        if not slots and _receives_from_others(plan, zone):
            return True
    return any(
        row[target] for source, target in situation.partitioned for row in plan.shares[source]
    )


def _receives_from_others(plan: Plan, zone: int) -> bool:
    return any(
        row[zone] for source, rows in enumerate(plan.shares) if source != zone for row in rows
    )


def differs(before: Plan, after: Plan) -> bool:
    """Return whether two plans differ enough to justify a new epoch."""
    if before.lost_zones != after.lost_zones:
        return True
    return any(
        abs(new - old) > MIN_CHANGE_SHARE * SHARES_PER_ROW
        for rows_before, rows_after in zip(before.shares, after.shares, strict=True)
        for row_before, row_after in zip(rows_before, rows_after, strict=True)
        for old, new in zip(row_before, row_after, strict=True)
    )
