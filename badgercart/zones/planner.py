"""Makes plans where this node is the one to do so, and knows the plan that it goes by. No I/O."""

from __future__ import annotations

from collections.abc import Sequence

from badgercart.cluster.quorum import QuorumState
from badgercart.zones.consensus_state import Effect, PlanActivated
from badgercart.zones.failover_settings import FailoverSettings, PlanningMode
from badgercart.zones.plan_consensus import PlanConsensus
from badgercart.zones.plan_scheduler import PlanScheduler
from badgercart.zones.topology import Topology
from badgercart.zones.traffic_plan import Plan, PlanInput, compute_plan


class Planner:
    """Owns the schedule of plans, and the node's own plan in mode `shared`."""

    def __init__(
        self,
        name: str,
        weights: Sequence[float],
        settings: FailoverSettings,
        consensus: PlanConsensus,
    ) -> None:
        """Begin without a plan.

        Args:
            name: the node's.
            weights: priority weight of each class.
            settings: how plans are made.
            consensus: where plans are proposed in mode `majority`.
        """
        self._name, self._weights = name, tuple(weights)
        self._settings, self._consensus = settings, consensus
        self.scheduler = PlanScheduler(settings.settle_ms, settings.plans_per_minute)
        self._shared_plan: Plan | None = None
        self._electorate = settings.electorate  # nodes of which more than half have to agree

    @property
    def _is_shared(self) -> bool:
        return self._settings.mode is PlanningMode.SHARED

    @property
    def plan(self) -> Plan | None:
        """The plan that this node goes by now."""
        if self._is_shared:
            return self._shared_plan
        return self._consensus.active.plan if self._consensus.active is not None else None

    @property
    def _own_plan(self) -> Plan | None:
        """The plan that this node made last, and that it still stands by."""
        if self._is_shared:
            return self._shared_plan
        return self._consensus.proposal.plan if self._consensus.proposal is not None else None

    def tick(self, now: float, quorum: QuorumState, situation: PlanInput | None) -> None:
        """Ask for a new plan by `scheduler.question`, where it is ours to make and due."""
        self.scheduler.refill(now)
        if self._may_plan(now, quorum):
            self.scheduler.consider(now, situation, self._own_plan)

    def _may_plan(self, now: float, quorum: QuorumState) -> bool:
        """Return whether this node is the one to make plans now."""
        if self._is_shared:
            return True
        self._electorate = max(quorum.possibly_alive, self._settings.electorate)
        if not quorum.has_majority or 2 * len(quorum.reachable) <= self._electorate:
            return False
        if self._consensus.proposal is not None:
            return True
        return self._consensus.may_propose(now, quorum.reachable.index(self._name))

    def compute(self, topology: Topology, situation: PlanInput, reason: str) -> Plan:
        """Return the plan for a situation; pure, so that another thread may do it."""
        return compute_plan(topology, situation, self._weights, self._settings.limits, reason)

    def accept(
        self, now: float, plan: Plan, situation: PlanInput | None, number: int
    ) -> list[Effect]:
        """Take over a computed plan: propose it, or go by it, if it is worth it.

        Args:
            now: ms on the node's clock.
            plan: the plan.
            situation: the present one; that of the plan may be older.
            number: of the plan in mode `shared`, where there are no epochs.

        Raises:
            PlanTooLargeError: the plan does not fit into its register updates.
        """
        if not self._admits(now, situation, plan):
            return []
        self.scheduler.planned(now)
        if self._is_shared:
            self._shared_plan = plan
            return [PlanActivated(number, plan, self._name)]
        return self._consensus.propose(now, plan, self._electorate)

    def _admits(self, now: float, situation: PlanInput | None, plan: Plan) -> bool:
        """Return whether a plan may replace our own one; the first one always may."""
        current = self._own_plan
        if current is None or situation is None:
            return True
        return self.scheduler.admits(now, situation, current, plan)

    def reset(self) -> None:
        """Forget the wanted plan and the node's own one."""
        self.scheduler.reset()
        self._shared_plan = None
