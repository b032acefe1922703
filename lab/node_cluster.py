"""Nodes of a day that know each other: the machines of `badgercart.cluster` on the model's
clock."""

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

PROBE_MS = 200.0  # after which a probe is not answered
SHARE_MS = 500.0  # as a node's own default
USES = (
    "shares",
    "hearsay",
)  # the model's lists have no common version, so that drains are no rumours there


@dataclass(slots=True, eq=False)
class ClusterNode:
    """One life of a node."""

    number: int
    zone: int
    pipeline: RequestPipeline
    member: ClusterMember
    controller: FailoverController | None = None
    zones: dict[int, int] = field(default_factory=dict)  # by server
    looks: int = 0
    up: bool = True
    frozen: float = 0.0  # until when it stands still

    def request_finished(
        self,
        request_id: int,
        intake: IncomingRequest,
        final: RequestOutcome,
        took: float,
        server: int,
        sends: int,
    ) -> None:
        self.member.quota_sharing.count_request(intake.tenant)
        if self.controller is not None:
            self.controller.observer.request_completed(intake.class_index, intake.tenant)

    # What the join tells of attempts.

    def attempt_sent(self, server_id: int) -> None:
        if self.controller is not None:
            self.controller.observer.attempt_sent(
                self.pipeline.clock(), self.zones[server_id], server_id
            )

    def attempt_ended(self, server_id: int, result: AttemptResult, elapsed: float) -> None:
        if self.controller is not None:
            self.controller.observer.attempt_ended(
                self.pipeline.clock(), self.zones[server_id], result, elapsed
            )


def address(number: int) -> Address:
    return f"127.0.{number >> 8}.{number & 255}", 7946


class NodeCluster:
    """The group of all nodes of a day."""

    def __init__(
        self, clock: VirtualClock, net: Network, seed: int, expected: int, timing: SwimTiming, chance: RandomStream,
        servers: dict[int, Server],
    ) -> None:  # fmt: skip
        self.clock, self.net, self.seed, self.chance = clock, net, seed, chance
        self.expected, self.timing = expected, timing
        self.servers = servers
        self.nodes: dict[int, ClusterNode] = {}  # by node: its life now
        self.boots = 0

    def start(self, number: int, zone: int, join: RequestPipeline) -> None:
        """A node comes up, with nothing that it knew."""
        self.boots += 1
        me = MembershipRecord(
            f"n{number}", 0, MemberStatus.ALIVE, address(number), self.boots, f"z{zone}"
        )
        rng = random.Random(f"{self.seed} companion {number} {self.boots}")
        bootstrap = Bootstrap(tuple(address(seed) for seed in range(3)), self.expected)
        machine = SwimProtocol(me, self.timing, bootstrap, rng)
        member = ClusterMember(machine, join.policy.settings.quotas_per_s, SHARE_MS, USES)
        one = self.nodes[number] = ClusterNode(number, zone, join, member)
        join.observers += (one,)
        if self.net.day.fleet.zones != "off":
            one.controller = self.controller(member, zone, join)
            one.zones = {server_id: server.zone for server_id, server in self.servers.items()}
            join.attempt_observers += (one,)
            self.clock.call_after(TICK_INTERVAL_MS * rng.random(), self.look, one)
        self.run(one, machine.start(self.clock.now_ms))
        self.clock.call_after(SHARE_MS * rng.random(), self.round, one)

    def controller(
        self, member: ClusterMember, zone: int, join: RequestPipeline
    ) -> FailoverController:
        day = self.net.day
        names = [f"z{number}" for number in range(day.net.zones)]
        regions = {name: f"r{day.region(number)}" for number, name in enumerate(names)}
        topology = build_topology(names, regions, {}, len(day.class_))
        settings = FailoverSettings(
            PlanningMode(day.fleet.zones), electorate=day.fleet.said or day.fleet.nodes
        )
        weights = [cls.worth for cls in day.class_]
        return FailoverController(member, topology, zone, weights, settings)

    def look(self, one: ClusterNode) -> None:
        """Tick the failover controller; plans are computed here and now."""
        controller, now = one.controller, self.clock.now_ms
        if controller is None or not self.lives(one) or self.held(one, self.look, one):
            return
        policy = one.pipeline.policy
        fresh = one.looks % ticks_between_scans(policy) == 0
        one.looks += 1
        capacity = controller.observer.capacity
        if fresh:
            capacity = scan_endpoints(policy, controller.topology, self.serves)
        if (event := controller.tick(now, capacity)) is not None:
            one.pipeline.dispatch(event)
        if (question := controller.planner.scheduler.requested_input) is not None:
            controller.on_plan_computed(now, controller.compute(question))
        for zone in controller.observer.zones_to_check(now):
            self.probe(one, controller, zone)
        self.run(one, [])
        self.clock.call_after(TICK_INTERVAL_MS, self.look, one)

    @property
    def serves(self) -> float:
        """Requests at once by listed weight: the model lists cores times speed."""
        kinds = self.net.day.kind
        weights = sum(
            kind.share * (kind.listed_weight or kind.cores * kind.speed) for kind in kinds
        )
        return sum(kind.share * kind.cores for kind in kinds) / weights

    def probe(self, one: ClusterNode, controller: FailoverController, zone: int) -> None:
        """Ask one of a zone's servers whether it is there."""
        there = [i for i in one.pipeline.policy.fleet.endpoints.ready if one.zones[i] == zone]
        server_id = there[int(self.chance() * len(there))]
        server = self.servers[server_id]
        parted = self.net.parted(one.zone, zone) or self.net.parted(zone, one.zone)
        answers = not (parted or server.down or (server.silent and self.chance() < server.silent))
        took = 2 * self.net.way(one.zone, zone) if answers else PROBE_MS
        self.clock.call_after(took, self.probed, one, controller, zone, server_id, answers)

    def probed(
        self,
        one: ClusterNode,
        controller: FailoverController,
        zone: int,
        server_id: int,
        answers: bool,
    ) -> None:
        if self.lives(one):
            controller.observer.health_checked(self.clock.now_ms, zone, server_id, answers)

    def stop(self, number: int) -> None:
        """It dies."""
        if (one := self.nodes.get(number)) is not None:
            one.up = False

    def lives(self, one: ClusterNode) -> bool:
        return one.up and self.nodes[one.number] is one

    def round(self, one: ClusterNode) -> None:
        if self.lives(one) and not self.held(one, self.round, one):
            self.run(one, one.member.report(self.clock.now_ms, one.pipeline.policy))
            self.clock.call_after(one.member.report_interval_ms, self.round, one)

    def run(self, one: ClusterNode, effects: list[Effect]) -> None:
        """Carry out what a machine wants."""
        for effect in effects:
            if isinstance(effect, SendDatagram):
                self.carry(one, effect.address, self.deliver, effect.packet, self.net.loss)
            elif isinstance(effect, StartSync):
                self.carry(one, effect.address, self.asked, effect.packet, 0.0)
            elif isinstance(effect, RegisterChanged):
                one.member.receive(self.clock.now_ms, effect)
        if (event := one.member.view_change(self.clock.now_ms)) is not None:
            one.pipeline.dispatch(event)
        if one.controller is not None and one.controller.outbox:
            self.run(one, one.controller.outbox.take())
        machine = one.member.protocol
        self.clock.call_at(machine.due_ms, self.ring, one, machine.due_ms)

    def held(self, one: ClusterNode, what: Callable[..., None], *arguments: object) -> bool:
        """Whether it stands still now; then this is done as it wakes."""
        if self.clock.now_ms >= one.frozen:
            return False
        self.clock.call_at(one.frozen, what, *arguments)
        return True

    def ring(self, one: ClusterNode, due: float) -> None:
        machine = one.member.protocol
        if self.held(one, self.ring, one, due):
            return
        if self.lives(one) and machine.due_ms == due <= self.clock.now_ms:
            self.run(one, machine.tick(self.clock.now_ms))

    def carry(
        self,
        one: ClusterNode,
        to: Address,
        arrive: Callable[..., object],
        packet: Packet,
        loss: float,
    ) -> None:
        other = next(
            (o for o in self.nodes.values() if o.member.protocol.local_record.address == to), None
        )
        if other is None or (one.number, other.number) in self.net.between:
            return
        if not self.net.parted(one.zone, other.zone) and not (loss and self.chance() < loss):
            self.clock.call_after(self.net.way(one.zone, other.zone), arrive, one, other, packet)

    def deliver(self, one: ClusterNode, other: ClusterNode, packet: Packet) -> None:
        if self.lives(other) and not self.held(other, self.deliver, one, other, packet):
            source = one.member.protocol.local_record.address
            self.run(other, other.member.protocol.receive(self.clock.now_ms, packet, source))

    def asked(self, one: ClusterNode, other: ClusterNode, packet: Packet) -> None:
        if self.lives(other) and not self.held(other, self.asked, one, other, packet):
            source = one.member.protocol.local_record.address
            answer, effects = other.member.protocol.answer_sync(self.clock.now_ms, packet, source)
            self.run(other, effects)
            self.carry(other, source, self.deliver, answer, 0.0)
