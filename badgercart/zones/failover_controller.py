"""One node's failover among zones: from observations and reports to the plan it goes by. No I/O.

The controller carries events from one owner of state to the next. `observer` has what this node
observes, `conditions` what all nodes report, `overrides` what operators want, `consensus` the plan
that a majority agreed on, `planner` when another one is due, `feed` what the policy knows,
`history` what happened, and `outbox` the messages to other nodes.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from badgercart.cluster.member import ClusterMember
from badgercart.policy.events import TrafficPlan
from badgercart.zones.change_history import (
    ChangeHistory,
    OverrideRecorded,
    PlanEnded,
    PlanInForce,
    ProposalFailed,
)
from badgercart.zones.consensus_messages import (
    CHUNK_TOPICS,
    COMMIT_TOPICS,
    REQUEST_TOPIC,
    ROUND_TOPIC,
    VOTE_TOPIC,
)
from badgercart.zones.consensus_state import (
    Effect,
    ExpiryReason,
    PlanActivated,
    PlanExpired,
    ProposalSuperseded,
    SendMessage,
)
from badgercart.zones.endpoint_capacity import EndpointCapacity
from badgercart.zones.errors import InvalidOverridesError
from badgercart.zones.failover_settings import FailoverSettings
from badgercart.zones.operator_overrides import OVERRIDES_TOPIC, OperatorOverrides
from badgercart.zones.outbox import Outbox
from badgercart.zones.plan_codec import decode_plan
from badgercart.zones.plan_consensus import PlanConsensus
from badgercart.zones.planner import Planner
from badgercart.zones.policy_feed import PolicyFeed
from badgercart.zones.topology import Topology
from badgercart.zones.traffic_plan import Plan, PlanInput
from badgercart.zones.zone_conditions import ZoneConditions
from badgercart.zones.zone_observer import ZoneObserver

REPORT_TOPIC = "zones.eyes"
TICK_INTERVAL_MS = 100.0

_Receiver = Callable[[float, str, bytes], None]  # now, author, payload


class FailoverController:
    """Ticked every TICK_INTERVAL_MS; attempts and requests go to `observer`.

    Times are in ms on the node's clock.
    """

    def __init__(
        self,
        member: ClusterMember,
        topology: Topology,
        zone: int,
        weights: Sequence[float],
        settings: FailoverSettings,
    ) -> None:
        """Begin without a plan.

        Args:
            member: the node in its cluster; the controller listens to its topics from now on.
            topology: all zones.
            zone: the node's own.
            weights: priority weight of each class.
            settings: how plans are made, kept and acted upon.
        """
        self.member, self.settings = member, settings
        self.topology, self.zone = topology, zone
        self.outbox, self.history = Outbox(member), ChangeHistory()
        self.overrides = OperatorOverrides()
        self.observer = ZoneObserver(topology, settings.report_interval_ms, settings.check_after_ms)
        self.conditions = ZoneConditions(topology, settings.recovery, self.overrides)
        self.consensus = PlanConsensus(
            member.name,
            member.protocol.local_record.generation,
            settings.lease,
            lambda data: decode_plan(data, self.topology),
            self.wall_ms,
        )
        self.planner = Planner(member.name, weights, settings, self.consensus)
        self.feed = PolicyFeed(
            self.observer, self.conditions, self.overrides, settings.fallback_budget
        )
        self._listen()

    def _listen(self) -> None:
        member = self.member
        member.subscribe(REPORT_TOPIC, self._on_report)
        member.subscribe(OVERRIDES_TOPIC, self.on_overrides, urgent=True)
        for topic in (*CHUNK_TOPICS, *COMMIT_TOPICS, ROUND_TOPIC):
            member.subscribe(topic, self._receiver_of(topic), urgent=True)
        for topic in (VOTE_TOPIC, REQUEST_TOPIC):
            member.subscribe(topic, self._receiver_of(topic), direct=True)

    def wall_ms(self) -> float:
        """Return the time in Unix ms."""
        return self.member.protocol.hybrid_clock.wall_clock_ms()

    def relocate(self, now: float, topology: Topology, zone: int) -> None:
        """Go by another topology from now on: what rests on the old one is void."""
        if topology == self.topology and zone == self.zone:
            return
        self.topology, self.zone = topology, zone
        self.observer.reset(topology)
        self.conditions.reset(topology)
        self.planner.reset()
        self._apply(now, self.consensus.forget(ExpiryReason.TOPOLOGY))

    # Messages of other nodes.

    def _receiver_of(self, topic: str) -> _Receiver:
        def receive(now: float, author: str, payload: bytes) -> None:
            self._apply(now, self.consensus.receive(now, author, topic, payload))

        return receive

    def _on_report(self, now: float, author: str, payload: bytes) -> None:
        """Take over a report, where the cluster knows its author's zone."""
        belief = self.member.protocol.table.members.get(author)
        if author == self.member.name or belief is None:
            return
        if belief.record.zone in self.topology.zones:
            zone = self.topology.zones.index(belief.record.zone)
            self.conditions.reports.record(author, zone, payload, now)

    def on_overrides(self, _now: float, _author: str, payload: bytes) -> None:
        """Take over operators' overrides; what can't be one is counted."""
        digest, zone_count = self.topology.digest, len(self.topology.zones)
        try:
            recorded = self.overrides.receive(payload, digest, zone_count)
        except InvalidOverridesError:
            self.conditions.reports.rejected_count += 1
            return
        for override in recorded:
            self.history.record(OverrideRecorded(self.member.protocol.now_ms, override))

    def _apply(self, now: float, effects: list[Effect]) -> None:
        """Carry out effects of the consensus."""
        for effect in effects:
            match effect:
                case SendMessage(topic, payload, recipient):
                    self.outbox.add(now, topic, payload, recipient)
                case PlanActivated(epoch, plan, proposer):
                    digest = plan.digest.hex()
                    self.history.record(PlanInForce(now, epoch, proposer, plan.reason, digest))
                case PlanExpired(epoch, reason):
                    self.history.record(PlanEnded(now, epoch, reason))
                case ProposalSuperseded(epoch):
                    self.history.record(ProposalFailed(now, epoch))
        if self.outbox:
            self.outbox.on_ready()

    # Time.

    def tick(self, now: float, capacity: EndpointCapacity) -> TrafficPlan | None:
        """Do what time brings, and return the policy's new input, if it changed."""
        self.overrides.expire(self.wall_ms())
        self._apply(now, self.consensus.tick(now))
        self._report(now, capacity)
        quorum = self.member.protocol.quorum()
        self.conditions.reports.retain(quorum.reachable)
        max_age_ms = self.settings.max_report_age_ms * self._interval_factor
        self.conditions.update(now, capacity, max_age_ms)
        self.planner.tick(now, quorum, self.conditions.plan_input)
        return self.policy_update(len(quorum.reachable), quorum.possibly_alive)

    @property
    def _interval_factor(self) -> float:
        """How many times less often a member of a large cluster reports."""
        return self.member.report_interval_ms / self.member.base_report_interval_ms

    def _report(self, now: float, capacity: EndpointCapacity) -> None:
        """Report what this node observes, where that is due."""
        report = self.observer.report(now, capacity, self._interval_factor)
        if report is not None:
            self.conditions.reports.record(self.member.name, self.zone, report, now)
            self.outbox.add(now, REPORT_TOPIC, report)

    def policy_update(self, live_nodes: int, possible_nodes: int) -> TrafficPlan | None:
        """Return the policy's new input; None where it has not changed."""
        return self.feed.update(
            self.topology, self.zone, self.planner.plan, live_nodes, possible_nodes
        )

    # Planning.

    def compute(self, question: PlanInput) -> Plan:
        """Return the plan for a situation; pure, so that another thread may do it."""
        summary = self.conditions.summary
        reason = summary.reason if summary is not None else ""
        return self.planner.compute(self.topology, question, reason)

    def on_plan_computed(self, now: float, plan: Plan) -> None:
        """Take over the plan that the planner's question asked for.

        Raises:
            PlanTooLargeError: the plan does not fit into its register updates.
        """
        self.planner.scheduler.answered()
        if plan.topology_digest == self.topology.digest:
            number = self.history.plan_count + 1
            situation = self.conditions.plan_input
            self._apply(now, self.planner.accept(now, plan, situation, number))
