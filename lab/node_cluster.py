"""The cluster of a simulated day's nodes: the protocols of `badgercart.cluster` in virtual time.

It carries the nodes' messages over the simulated network, and runs their zone failover.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from badgercart.cluster.effects import Effect, RegisterChanged, SendDatagram, StartSync
from badgercart.cluster.member import ClusterMember
from badgercart.cluster.membership_table import MembershipRecord, MemberStatus
from badgercart.cluster.messages import Packet
from badgercart.cluster.swim import SwimProtocol
from badgercart.cluster.timing import Bootstrap, SwimTiming
from badgercart.config import Address
from badgercart.core.ports import IncomingRequest, RequestOutcome
from badgercart.core.request_pipeline import RequestPipeline
from badgercart.policy.events import AttemptResult
from badgercart.zones.endpoint_capacity import scan_endpoints, ticks_between_scans
from badgercart.zones.failover_controller import TICK_INTERVAL_MS, FailoverController
from badgercart.zones.failover_settings import FailoverSettings, PlanningMode
from badgercart.zones.topology import build_topology
from lab.clock import VirtualClock
from lab.network import Network
from lab.random_streams import RandomStream
from lab.servers import Server

HEALTH_CHECK_TIMEOUT_MS = 200.0
REPORT_INTERVAL_MS = 500.0  # the default of a real node
SEED_NODES = 3
# Drains are not announced between nodes, because endpoint lists have no common version here.
FEATURES = ("shares", "hearsay")


@dataclass(slots=True, eq=False)
class ClusterNode:
    """One process of a node; a restarted node has a new one."""

    number: int
    zone: int
    pipeline: RequestPipeline
    member: ClusterMember
    controller: FailoverController | None = None
    server_zones: dict[int, int] = field(default_factory=dict)  # by server ID
    ticks: int = 0
    up: bool = True
    frozen_until_ms: float = 0.0

    # Notifications from the pipeline.

    def request_finished(
        self,
        request_id: int,
        request: IncomingRequest,
        outcome: RequestOutcome,
        elapsed_ms: float,
        endpoint_id: int,
        attempts: int,
    ) -> None:
        """Count a finished request for quota sharing and zone failover."""
        self.member.quota_sharing.count_request(request.tenant)
        if self.controller is not None:
            self.controller.observer.request_completed(request.class_index, request.tenant)

    def attempt_sent(self, endpoint_id: int) -> None:
        """Record an attempt for zone failover."""
        if self.controller is not None:
            self.controller.observer.attempt_sent(
                self.pipeline.clock(), self.server_zones[endpoint_id], endpoint_id
            )

    def attempt_ended(self, endpoint_id: int, result: AttemptResult, elapsed_ms: float) -> None:
        """Record the result of an attempt for zone failover."""
        if self.controller is not None:
            self.controller.observer.attempt_ended(
                self.pipeline.clock(), self.server_zones[endpoint_id], result, elapsed_ms
            )


def address(number: int) -> Address:
    """Return the address of a node."""
    return f"127.0.{number >> 8}.{number & 255}", 7946


class NodeCluster:
    """The cluster of all nodes of a day."""

    def __init__(
        self, clock: VirtualClock, network: Network, seed: int, expected_size: int, timing: SwimTiming,
        random_stream: RandomStream, servers: dict[int, Server],
    ) -> None:  # fmt: skip
        self.clock, self.network, self.seed = clock, network, seed
        self.random_stream = random_stream
        self.expected_size, self.timing = expected_size, timing
        self.servers = servers
        self.nodes: dict[int, ClusterNode] = {}  # by number: its latest process
        self.started_processes = 0

    def start(self, number: int, zone: int, pipeline: RequestPipeline) -> None:
        """Start a node's process, which knows no other members."""
        self.started_processes += 1
        record = MembershipRecord(
            f"n{number}", 0, MemberStatus.ALIVE, address(number), self.started_processes, f"z{zone}"
        )
        rng = random.Random(f"{self.seed} companion {number} {self.started_processes}")
        bootstrap = Bootstrap(
            tuple(address(seed) for seed in range(SEED_NODES)), self.expected_size
        )
        protocol = SwimProtocol(record, self.timing, bootstrap, rng)
        member = ClusterMember(
            protocol, pipeline.policy.settings.quotas_per_s, REPORT_INTERVAL_MS, FEATURES
        )
        node = self.nodes[number] = ClusterNode(number, zone, pipeline, member)
        pipeline.observers += (node,)
        if self.network.day.fleet.zones != "off":
            node.controller = self.build_controller(member, zone, pipeline)
            node.server_zones = {
                server_id: server.zone for server_id, server in self.servers.items()
            }
            pipeline.attempt_observers += (node,)
            self.clock.call_after(TICK_INTERVAL_MS * rng.random(), self.tick_controller, node)
        self.run_effects(node, protocol.start(self.clock.now_ms))
        self.clock.call_after(REPORT_INTERVAL_MS * rng.random(), self.report, node)

    def build_controller(
        self, member: ClusterMember, zone: int, pipeline: RequestPipeline
    ) -> FailoverController:
        """Return a failover controller for a node."""
        day = self.network.day
        names = [f"z{number}" for number in range(day.net.zones)]
        regions = {name: f"r{day.region(number)}" for number, name in enumerate(names)}
        topology = build_topology(names, regions, {}, len(day.class_))
        settings = FailoverSettings(
            PlanningMode(day.fleet.zones), electorate=day.fleet.said or day.fleet.nodes
        )
        weights = [cls.worth for cls in day.class_]
        return FailoverController(member, topology, zone, weights, settings)

    def tick_controller(self, node: ClusterNode) -> None:
        """Tick the failover controller; a plan that it requests is computed at once."""
        controller, now_ms = node.controller, self.clock.now_ms
        if (
            controller is None
            or not self.is_running(node)
            or self.postponed(node, self.tick_controller, node)
        ):
            return
        policy = node.pipeline.policy
        scan_due = node.ticks % ticks_between_scans(policy) == 0
        node.ticks += 1
        capacity = controller.observer.capacity
        if scan_due:
            capacity = scan_endpoints(policy, controller.topology, self.concurrency_per_weight)
        if (event := controller.tick(now_ms, capacity)) is not None:
            node.pipeline.dispatch(event)
        if (plan_input := controller.planner.scheduler.requested_input) is not None:
            controller.on_plan_computed(now_ms, controller.compute(plan_input))
        for zone in controller.observer.zones_to_check(now_ms):
            self.check_zone(node, controller, zone)
        self.run_effects(node, [])
        self.clock.call_after(TICK_INTERVAL_MS, self.tick_controller, node)

    @property
    def concurrency_per_weight(self) -> float:
        """Return the concurrent requests per listed weight, which is cores times speed here."""
        kinds = self.network.day.kind
        weights = sum(
            kind.share * (kind.listed_weight or kind.cores * kind.speed) for kind in kinds
        )
        return sum(kind.share * kind.cores for kind in kinds) / weights

    def check_zone(self, node: ClusterNode, controller: FailoverController, zone: int) -> None:
        """Send a health check to one of a zone's servers."""
        endpoint_ids = [
            endpoint_id
            for endpoint_id in node.pipeline.policy.fleet.endpoints.ready
            if node.server_zones[endpoint_id] == zone
        ]
        server_id = endpoint_ids[int(self.random_stream() * len(endpoint_ids))]
        server = self.servers[server_id]
        blocked = self.network.blocked(node.zone, zone) or self.network.blocked(zone, node.zone)
        reachable = not (
            blocked
            or server.down
            or (server.silent_share and self.random_stream() < server.silent_share)
        )
        elapsed_ms = (
            2 * self.network.delay_ms(node.zone, zone) if reachable else HEALTH_CHECK_TIMEOUT_MS
        )
        self.clock.call_after(
            elapsed_ms, self.zone_checked, node, controller, zone, server_id, reachable
        )

    def zone_checked(
        self,
        node: ClusterNode,
        controller: FailoverController,
        zone: int,
        server_id: int,
        reachable: bool,
    ) -> None:
        """Report the result of a health check to the controller."""
        if self.is_running(node):
            controller.observer.health_checked(self.clock.now_ms, zone, server_id, reachable)

    def stop(self, number: int) -> None:
        """Stop a node's process at once."""
        if (node := self.nodes.get(number)) is not None:
            node.up = False

    def is_running(self, node: ClusterNode) -> bool:
        """Return whether a process is running and is the latest one of its node."""
        return node.up and self.nodes[node.number] is node

    def report(self, node: ClusterNode) -> None:
        """Send a member's periodic report to the others."""
        if self.is_running(node) and not self.postponed(node, self.report, node):
            self.run_effects(node, node.member.report(self.clock.now_ms, node.pipeline.policy))
            self.clock.call_after(node.member.report_interval_ms, self.report, node)

    def run_effects(self, node: ClusterNode, effects: list[Effect]) -> None:
        """Carry out the effects of a node's protocol, and schedule its next timer."""
        for effect in effects:
            if isinstance(effect, SendDatagram):
                self.send(node, effect.address, self.deliver, effect.packet, self.network.loss)
            elif isinstance(effect, StartSync):
                self.send(node, effect.address, self.answer_sync, effect.packet, 0.0)
            elif isinstance(effect, RegisterChanged):
                node.member.receive(self.clock.now_ms, effect)
        if (event := node.member.view_change(self.clock.now_ms)) is not None:
            node.pipeline.dispatch(event)
        if node.controller is not None and node.controller.outbox:
            self.run_effects(node, node.controller.outbox.take())
        protocol = node.member.protocol
        self.clock.call_at(protocol.due_ms, self.run_timer, node, protocol.due_ms)

    def postponed(
        self, node: ClusterNode, callback: Callable[..., None], *arguments: object
    ) -> bool:
        """Return whether a node is frozen; if so, the callback runs when it continues."""
        if self.clock.now_ms >= node.frozen_until_ms:
            return False
        self.clock.call_at(node.frozen_until_ms, callback, *arguments)
        return True

    def run_timer(self, node: ClusterNode, due_ms: float) -> None:
        """Tick a node's protocol, unless its timer was changed meanwhile."""
        protocol = node.member.protocol
        if self.postponed(node, self.run_timer, node, due_ms):
            return
        if self.is_running(node) and protocol.due_ms == due_ms <= self.clock.now_ms:
            self.run_effects(node, protocol.tick(self.clock.now_ms))

    def send(
        self,
        sender: ClusterNode,
        target: Address,
        on_arrival: Callable[..., object],
        packet: Packet,
        loss: float,
    ) -> None:
        """Send a packet over the simulated network."""
        receiver = next(
            (
                node
                for node in self.nodes.values()
                if node.member.protocol.local_record.address == target
            ),
            None,
        )
        if receiver is None or (sender.number, receiver.number) in self.network.cut_node_links:
            return
        if not self.network.blocked(sender.zone, receiver.zone) and not (
            loss and self.random_stream() < loss
        ):
            delay_ms = self.network.delay_ms(sender.zone, receiver.zone)
            self.clock.call_after(delay_ms, on_arrival, sender, receiver, packet)

    def deliver(self, sender: ClusterNode, receiver: ClusterNode, packet: Packet) -> None:
        """Have a node receive a datagram."""
        if self.is_running(receiver) and not self.postponed(
            receiver, self.deliver, sender, receiver, packet
        ):
            source = sender.member.protocol.local_record.address
            self.run_effects(
                receiver, receiver.member.protocol.receive(self.clock.now_ms, packet, source)
            )

    def answer_sync(self, sender: ClusterNode, receiver: ClusterNode, packet: Packet) -> None:
        """Have a node answer one side of a push-pull."""
        if self.is_running(receiver) and not self.postponed(
            receiver, self.answer_sync, sender, receiver, packet
        ):
            source = sender.member.protocol.local_record.address
            answer, effects = receiver.member.protocol.answer_sync(
                self.clock.now_ms, packet, source
            )
            self.run_effects(receiver, effects)
            self.send(receiver, source, self.deliver, answer, 0.0)
