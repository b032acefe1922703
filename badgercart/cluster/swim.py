"""The membership protocol of one node: calls with their time in, effects out. No I/O.

SWIM (Das, Gupta, Motivala 2002) with Lifeguard's extensions (Dadgar, Phillips, Currey 2018), push-
pulls for joining and healing, and a check that tells a restart from two processes of one name.
Times are ms on a clock of the node's own; the driver calls `tick` when `due_ms` says so.
"""

from __future__ import annotations

import random

from badgercart.cluster.anti_entropy import AntiEntropy
from badgercart.cluster.context import LocalNode, PeerSampler, ProtocolContext
from badgercart.cluster.dissemination import Dissemination
from badgercart.cluster.effects import Effect, EffectBuffer, ProcessPaused
from badgercart.cluster.gossip_registers import GossipRegisters, RegisterUpdate
from badgercart.cluster.hybrid_logical_clock import HybridLogicalClock, HybridTimestamp
from badgercart.cluster.local_health import LocalHealth
from badgercart.cluster.membership import Membership
from badgercart.cluster.membership_table import MembershipRecord, MembershipTable
from badgercart.cluster.messages import Gossip, Packet
from badgercart.cluster.packet_receiver import PacketReceiver
from badgercart.cluster.packet_sender import PacketSender
from badgercart.cluster.probing import Prober, ProbeRelay
from badgercart.cluster.quorum import QuorumRule, QuorumState, assess_quorum, isolated
from badgercart.cluster.suspicion import SuspicionTracker
from badgercart.cluster.timers import TimerQueue
from badgercart.cluster.timing import Bootstrap, SwimTiming
from badgercart.config import Address

PAUSE_PERIODS = 2  # probe periods by which a timer is late only if the process stood still


class SwimProtocol:
    """One member of a cluster. It wires the parts together and owns none of their state.

    Args:
        me: this node's record as it starts.
        timing: intervals and counts.
        bootstrap: what it is told of the cluster.
        rng: all of the protocol's chance.
        wall_offset_ms: Unix time at the time 0 of the node's clock.
    """

    def __init__(
        self,
        local_record: MembershipRecord,
        timing: SwimTiming,
        bootstrap: Bootstrap,
        rng: random.Random,
        wall_offset_ms: float = 0.0,
    ) -> None:
        local, table, timers = LocalNode(local_record), MembershipTable(), TimerQueue()
        self.context = ProtocolContext(
            local,
            timing,
            rng,
            timers,
            table,
            PeerSampler(local, table, rng),
            LocalHealth(),
            EffectBuffer(),
        )
        self.wall_offset_ms = wall_offset_ms
        self.hybrid_clock = HybridLogicalClock(lambda: timers.now_ms + wall_offset_ms)
        self.sender = PacketSender(self.context, self.hybrid_clock)
        self.dissemination = Dissemination(self.context, self.sender)
        others = [seed for seed in bootstrap.seeds if seed != local_record.address]
        self.anti_entropy = AntiEntropy(
            self.context, self.sender, self.dissemination.registers, others
        )
        self.prober = Prober(self.context, self.sender, lambda name: self.membership.suspect(name))
        self.membership = Membership(
            self.context,
            self.sender,
            SuspicionTracker(timing),
            self.prober.add_member,
            self.anti_entropy.member_returned,
        )
        self.receiver = PacketReceiver(
            self.context,
            self.sender,
            self.membership,
            self.dissemination,
            self.prober,
            ProbeRelay(self.context, self.sender),
            self.anti_entropy,
        )
        self._expected_size, self._started_ms = bootstrap.expected_size, 0.0
        self.membership.merge(local_record, local_record.name)
        self.context.effects.take()

    # What the node knows.

    @property
    def local_record(self) -> MembershipRecord:
        """What this node says of itself."""
        return self.context.local.record

    @property
    def table(self) -> MembershipTable:
        """The states of all members."""
        return self.context.table

    @property
    def registers(self) -> GossipRegisters:
        """The registers carried between nodes."""
        return self.dissemination.registers

    @property
    def now_ms(self) -> float:
        """The time (ms) at which the protocol was last called."""
        return self.context.timers.now_ms

    @property
    def due_ms(self) -> float:
        """When the next `tick` is wanted."""
        return self.context.timers.due_ms

    @property
    def yields_name(self) -> bool:
        """Whether this node stands back for another process of its name."""
        return self.membership.conflicts.yields

    def quorum(self) -> QuorumState:
        """Return what the node can count on now."""
        context, timing = self.context, self.context.timing
        # The configured size counts only until the node has seen who is there.
        starting = self.now_ms - self._started_ms < timing.expected_size_ms
        rule = QuorumRule(timing.dead_retention_ms, self._expected_size if starting else 1)
        state = assess_quorum(context.table, context.local.name, self.now_ms, rule)
        if self.yields_name or self.anti_entropy.stale or context.local.leaving:
            return isolated(context.local.name, state)
        return state

    def timestamp(self) -> HybridTimestamp:
        """Return a hybrid timestamp for an event of this node's own."""
        return self.hybrid_clock.tick()

    # What the driver calls.

    def start(self, now_ms: float) -> list[Effect]:
        """Begin to probe and gossip, and join by a seed."""
        self.context.timers.now_ms = self._started_ms = now_ms
        self.prober.start()
        self.dissemination.start()
        self.anti_entropy.start()
        return self.context.effects.take()

    def tick(self, now_ms: float) -> list[Effect]:
        """Do what is due. A tick that comes far too late means that this process stood still."""
        self._advance(now_ms)
        self.context.timers.run_due()
        return self.context.effects.take()

    def receive(self, now_ms: float, packet: Packet, source: Address) -> list[Effect]:
        """Take a packet, unless it was received before."""
        self._advance(now_ms)
        self.hybrid_clock.observe(packet.timestamp)
        if not self.receiver.is_new(packet):
            return []
        self.receiver.receive(packet, source)
        return self.context.effects.take()

    def answer_sync(
        self, now_ms: float, packet: Packet, source: Address
    ) -> tuple[Packet, list[Effect]]:
        """Take one side of a push-pull; return the other, and what follows."""
        effects = self.receive(now_ms, packet, source)
        return self.anti_entropy.full_state(), effects

    def leave(self, now_ms: float) -> list[Effect]:
        """Leave the cluster, and tell a few members."""
        self.context.timers.advance(now_ms)
        self.membership.leave()
        return self.context.effects.take()

    def publish(self, now_ms: float, update: RegisterUpdate) -> list[Effect]:
        """Have every node told of an update of this node's own registers."""
        self.context.timers.advance(now_ms)
        self.dissemination.publish(update)
        return self.context.effects.take()

    def send_update(self, now_ms: float, recipient: str, update: RegisterUpdate) -> list[Effect]:
        """Send one member an update at once; it may be lost."""
        self.context.timers.advance(now_ms)
        state = self.table.members.get(recipient)
        if state is not None:
            self.sender.send(state.record.address, Gossip(), updates=(update,))
        return self.context.effects.take()

    def _advance(self, now_ms: float) -> None:
        """Set the clock, and notice a gap in which this process stood still."""
        gap_ms = now_ms - self.due_ms
        if gap_ms > PAUSE_PERIODS * self.context.timing.probe_period_ms:
            self._process_paused(now_ms, gap_ms)
        self.context.timers.advance(now_ms)

    def _process_paused(self, now_ms: float, gap_ms: float) -> None:
        """Have every wait begin again where it stopped.

        That nobody was heard meanwhile proves nothing against them.
        """
        context = self.context
        context.timers.postpone(gap_ms)
        self.membership.suspicions.postpone(gap_ms)
        context.timers.advance(now_ms)
        self.prober.abandon()
        context.health.adjust(1)
        context.effects.add(ProcessPaused(gap_ms))
        self.anti_entropy.process_paused()
