"""Requests, computes and proposes plans when it is this node's task. No I/O."""

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
    """Owns the plan scheduler, and the node's own plan in mode `shared`."""

    def __init__(
        self,
        name: str,
        weights: Sequence[float],
        settings: FailoverSettings,
        consensus: PlanConsensus,
    ) -> None:
        """Start without a plan.

        Args:
            name: the name of the node.
            weights: the priority weight of each class.
            settings: how plans are made.
            consensus: receives the proposed plans in mode `majority`.
        """
        self._name, self._weights = name, tuple(weights)
        self._settings, self._consensus = settings, consensus
        self.scheduler = PlanScheduler(settings.settle_ms, settings.plans_per_minute)
        self._shared_plan: Plan | None = None
        self._electorate = settings.electorate  # more than half of these nodes must agree

    @property
    def _is_shared(self) -> bool:
        return self._settings.mode is PlanningMode.SHARED

    @property
    def plan(self) -> Plan | None:
        """The plan in force on this node."""
        if self._is_shared:
            return self._shared_plan
        return self._consensus.active.plan if self._consensus.active is not None else None

    @property
    def _own_plan(self) -> Plan | None:
        """The plan that this node made last, unless it was superseded or withdrawn."""
        if self._is_shared:
            return self._shared_plan
        return self._consensus.proposal.plan if self._consensus.proposal is not None else None

    def tick(self, now_ms: float, quorum: QuorumState, situation: PlanInput | None) -> None:
        """Request a plan in `scheduler.requested_input` if it is due and this node's task."""
        self.scheduler.refill(now_ms)
        if self._may_plan(now_ms, quorum):
            self.scheduler.consider(now_ms, situation, self._own_plan)

    def _may_plan(self, now_ms: float, quorum: QuorumState) -> bool:
        """Return whether this node may make plans now."""
        if self._is_shared:
            return True
        self._electorate = max(quorum.possibly_alive, self._settings.electorate)
        if not quorum.has_majority or 2 * len(quorum.reachable) <= self._electorate:
            return False
        if self._consensus.proposal is not None:
            return True
        return self._consensus.may_propose(now_ms, quorum.reachable.index(self._name))

    def compute(self, topology: Topology, situation: PlanInput, reason: str) -> Plan:
        """Return the plan for a situation; another thread may call this pure function."""
        return compute_plan(topology, situation, self._weights, self._settings.limits, reason)

    def accept(
        self, now_ms: float, plan: Plan, situation: PlanInput | None, number: int
    ) -> list[Effect]:
        """Propose a computed plan, or activate it in mode `shared`, if it is admitted.

        Args:
            now_ms: the time on the node's clock.
            plan: the computed plan.
            situation: the current situation; that of the plan may be older.
            number: the number of the plan in mode `shared`, which has no epochs.

        Raises:
            PlanTooLargeError: the plan does not fit into its register updates.
        """
        if not self._admits(now_ms, situation, plan):
            return []
        self.scheduler.plan_adopted(now_ms)
        if self._is_shared:
            self._shared_plan = plan
            return [PlanActivated(number, plan, self._name)]
        return self._consensus.propose(now_ms, plan, self._electorate)

    def _admits(self, now_ms: float, situation: PlanInput | None, plan: Plan) -> bool:
        """Return whether a plan may replace this node's own plan; the first one always may."""
        current = self._own_plan
        if current is None or situation is None:
            return True
        return self.scheduler.admits(now_ms, situation, current, plan)

    def reset(self) -> None:
        """Cancel the requested plan, and drop the node's own one."""
        self.scheduler.reset()
        self._shared_plan = None
