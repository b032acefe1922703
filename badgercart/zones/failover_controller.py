"""The failover controller of one node: from observations and reports to the plan in force. No I/O.

The controller passes events between the owners of state: `observer` has what this node observes,
`conditions` what all nodes report, `overrides` the operators' overrides, `consensus` the plan that
a majority agreed on, `planner` when a new plan is due, `feed` the policy's input, `history` the
past changes, and `outbox` the messages to other nodes.
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

# Called with the time (ms), the author and the payload of a message.
_Receiver = Callable[[float, str, bytes], None]


class FailoverController:
    """The failover controller, which must be ticked every TICK_INTERVAL_MS.

    Attempts and requests are reported to `observer`. Times are in ms on the node's clock.
    """

    def __init__(
        self,
        member: ClusterMember,
        topology: Topology,
        zone: int,
        weights: Sequence[float],
        settings: FailoverSettings,
    ) -> None:
        """Start without a plan.

        Args:
            member: the node's cluster member; the controller subscribes to topics.
            topology: all zones.
            zone: the node's own zone.
            weights: the priority weight of each class.
            settings: how plans are made, agreed on and applied.
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
        self._subscribe()

    def _subscribe(self) -> None:
        member = self.member
        member.subscribe(REPORT_TOPIC, self._on_report)
        member.subscribe(OVERRIDES_TOPIC, self.on_overrides, urgent=True)
        for topic in (*CHUNK_TOPICS, *COMMIT_TOPICS, ROUND_TOPIC):
            member.subscribe(topic, self._receiver_of(topic), urgent=True)
        for topic in (VOTE_TOPIC, REQUEST_TOPIC):
            member.subscribe(topic, self._receiver_of(topic), direct=True)

    def wall_ms(self) -> float:
        """Return the Unix time in ms."""
        return self.member.protocol.hybrid_clock.wall_clock_ms()

    def change_topology(self, now_ms: float, topology: Topology, zone: int) -> None:
        """Use another topology or zone, and drop all state that depends on the old one."""
        if topology == self.topology and zone == self.zone:
            return
        self.topology, self.zone = topology, zone
        self.observer.reset(topology)
        self.conditions.reset(topology)
        self.planner.reset()
        self._apply(now_ms, self.consensus.forget(ExpiryReason.TOPOLOGY))

    # Messages of other nodes.

    def _receiver_of(self, topic: str) -> _Receiver:
        def receive(now_ms: float, author: str, payload: bytes) -> None:
            self._apply(now_ms, self.consensus.receive(now_ms, author, topic, payload))

        return receive

    def _on_report(self, now_ms: float, author: str, payload: bytes) -> None:
        """Record a report if the zone of its author is known."""
        state = self.member.protocol.table.members.get(author)
        if author == self.member.name or state is None:
            return
        if state.record.zone in self.topology.zones:
            zone = self.topology.zones.index(state.record.zone)
            self.conditions.reports.record(author, zone, payload, now_ms)

    def on_overrides(self, _now_ms: float, _author: str, payload: bytes) -> None:
        """Record operators' overrides; malformed ones are counted."""
        digest, zone_count = self.topology.digest, len(self.topology.zones)
        try:
            recorded = self.overrides.receive(payload, digest, zone_count)
        except InvalidOverridesError:
            self.conditions.reports.rejected_count += 1
            return
        for override in recorded:
            self.history.record(OverrideRecorded(self.member.protocol.now_ms, override))

    def _apply(self, now_ms: float, effects: list[Effect]) -> None:
        """Execute the effects of the consensus."""
        for effect in effects:
            match effect:
                case SendMessage(topic, payload, recipient):
                    self.outbox.add(now_ms, topic, payload, recipient)
                case PlanActivated(epoch, plan, proposer):
                    digest = plan.digest.hex()
                    self.history.record(PlanInForce(now_ms, epoch, proposer, plan.reason, digest))
                case PlanExpired(epoch, reason):
                    self.history.record(PlanEnded(now_ms, epoch, reason))
                case ProposalSuperseded(epoch):
                    self.history.record(ProposalFailed(now_ms, epoch))
        if self.outbox:
            self.outbox.on_ready()

    # Ticks.

    def tick(self, now_ms: float, capacity: EndpointCapacity) -> TrafficPlan | None:
        """Update all state for the current time; return the policy's input if it changed."""
        self.overrides.expire(self.wall_ms())
        self._apply(now_ms, self.consensus.tick(now_ms))
        self._report(now_ms, capacity)
        quorum = self.member.protocol.quorum()
        self.conditions.reports.retain(quorum.reachable)
        max_age_ms = self.settings.max_report_age_ms * self._interval_factor
        self.conditions.update(now_ms, capacity, max_age_ms)
        self.planner.tick(now_ms, quorum, self.conditions.plan_input)
        return self.policy_update(len(quorum.reachable), quorum.possibly_alive)

    @property
    def _interval_factor(self) -> float:
        """The factor by which the report interval grows in a large cluster."""
        return self.member.report_interval_ms / self.member.base_report_interval_ms

    def _report(self, now_ms: float, capacity: EndpointCapacity) -> None:
        """Report what this node observes, if a report is due."""
        report = self.observer.report(now_ms, capacity, self._interval_factor)
        if report is not None:
            self.conditions.reports.record(self.member.name, self.zone, report, now_ms)
            self.outbox.add(now_ms, REPORT_TOPIC, report)

    def policy_update(self, live_nodes: int, possible_nodes: int) -> TrafficPlan | None:
        """Return the policy's input, or None if it has not changed."""
        return self.feed.update(
            self.topology, self.zone, self.planner.plan, live_nodes, possible_nodes
        )

    # Planning.

    def compute(self, situation: PlanInput) -> Plan:
        """Return the plan for a situation; another thread may call this."""
        summary = self.conditions.summary
        reason = summary.reason if summary is not None else ""
        return self.planner.compute(self.topology, situation, reason)

    def on_plan_computed(self, now_ms: float, plan: Plan) -> None:
        """Process the plan that was computed for the planner's requested input.

        Raises:
            PlanTooLargeError: the plan does not fit into its register updates.
        """
        self.planner.scheduler.plan_computed()
        if plan.topology_digest == self.topology.digest:
            number = self.history.plan_count + 1
            situation = self.conditions.plan_input
            self._apply(now_ms, self.planner.accept(now_ms, plan, situation, number))
