"""When a new plan is worth making and proposing. No I/O."""

from __future__ import annotations

from badgercart.zones.traffic_plan import SHARES_PER_ROW, Plan, PlanInput

MIN_CHANGE = 0.1  # of a row: a plan that moves less is not worth an epoch
CONSIDERATIONS_PER_SETTLE = 4  # how often a plan is considered in the time between two plans


class PlanScheduler:
    """Limits how often plans are made: by a settling time and by a budget for each minute."""

    def __init__(self, settle_ms: float, plans_per_minute: float) -> None:
        """Begin with the budget of a whole minute."""
        self._settle_ms, self._plans_per_minute = settle_ms, plans_per_minute
        self._budget = plans_per_minute
        self._refilled_at = 0.0
        self._considered_at = 0.0
        self._planned_at = float("-inf")
        self.requested_input: PlanInput | None = None  # of which a plan is wanted
        self.computing = False  # whether somebody computes that plan
        self.exhausted = False  # whether the last plan had to wait for the budget

    def refill(self, now: float) -> None:
        """Add what time brings to the budget."""
        earned = (now - self._refilled_at) * self._plans_per_minute / 60_000
        self._budget = min(self._budget + earned, self._plans_per_minute)
        self._refilled_at = now

    def consider(self, now: float, situation: PlanInput | None, current: Plan | None) -> None:
        """Want a plan of a situation: at once where the current one counts on what has gone."""
        if self.requested_input is not None:
            return
        urgent = current is not None and situation is not None and contradicts(current, situation)
        due = now - self._considered_at >= self._settle_ms / CONSIDERATIONS_PER_SETTLE
        if urgent or current is None or due:
            self._considered_at, self.requested_input = now, situation

    def answered(self) -> None:
        """Take over that the plan is computed."""
        self.requested_input, self.computing = None, False

    def admits(self, now: float, situation: PlanInput, current: Plan, plan: Plan) -> bool:
        """Return whether a plan may replace the current one now.

        Without budget the current plan stays, since it gives less to zones that come and go; a plan
        without a zone that has gone is made nevertheless.
        """
        urgent = contradicts(current, situation)
        settled = now - self._planned_at >= self._settle_ms
        if not urgent and not settled:
            return False
        if not urgent and not differs(current, plan):
            return False
        if self._budget < 1 and not set(plan.lost_zones) > set(current.lost_zones):
            self.exhausted = True
            return False
        return True

    def planned(self, now: float) -> None:
        """Take over that a plan was proposed or put in force."""
        self.exhausted = False
        self._budget, self._planned_at = max(self._budget - 1, 0.0), now

    def reset(self) -> None:
        """Want no plan any more."""
        self.requested_input = None


def contradicts(plan: Plan, situation: PlanInput) -> bool:
    """Return whether a plan still counts on a zone or a link that has gone."""
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
    """Return whether a plan differs enough from another to be worth an epoch."""
    if before.lost_zones != after.lost_zones:
        return True
    return any(
        abs(new - old) > MIN_CHANGE * SHARES_PER_ROW
        for rows_before, rows_after in zip(before.shares, after.shares, strict=True)
        for row_before, row_after in zip(rows_before, rows_after, strict=True)
        for old, new in zip(row_before, row_after, strict=True)
    )
