"""The membership protocol of one node. No I/O: each call takes the time and returns effects.

It is SWIM (Das, Gupta, Motivala 2002) with Lifeguard's extensions (Dadgar, Phillips, Currey 2018),
push-pulls for joining and for healing partitions, and a check that distinguishes a restart from two
processes with the same name. Times are in ms on the node's own monotonic clock; the driver calls
`tick` at `due_ms`.
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

# A timer that is late by more than this many probe periods shows that the process was paused.
PAUSE_THRESHOLD_PERIODS = 2


class SwimProtocol:
    """One member of a cluster. It connects the parts of the protocol and owns none of their state.

    Args:
        local_record: this node's record at its start.
        timing: intervals and counts.
        bootstrap: the configured seeds and cluster size.
        rng: the source of all random choices.
        wall_offset_ms: the Unix time (ms) at time 0 of the node's clock.
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

    # State.

    @property
    def local_record(self) -> MembershipRecord:
        """This node's own membership record."""
        return self.context.local.record

    @property
    def table(self) -> MembershipTable:
        """The states of all members."""
        return self.context.table

    @property
    def registers(self) -> GossipRegisters:
        """The registers that are replicated between nodes."""
        return self.dissemination.registers

    @property
    def now_ms(self) -> float:
        """The time (ms) of the latest call."""
        return self.context.timers.now_ms

    @property
    def due_ms(self) -> float:
        """When the next `tick` is due (ms)."""
        return self.context.timers.due_ms

    @property
    def yields_name(self) -> bool:
        """Whether this node yields to another process with its name."""
        return self.membership.conflicts.yields

    def quorum(self) -> QuorumState:
        """Return the node's current quorum."""
        context, timing = self.context, self.context.timing
        # The configured size only counts until the node has had time to see all members.
        starting = self.now_ms - self._started_ms < timing.expected_size_ms
        rule = QuorumRule(timing.dead_retention_ms, self._expected_size if starting else 1)
        state = assess_quorum(context.table, context.local.name, self.now_ms, rule)
        if self.yields_name or self.anti_entropy.stale or context.local.leaving:
            return isolated(context.local.name, state)
        return state

    def timestamp(self) -> HybridTimestamp:
        """Return a hybrid timestamp for a local event."""
        return self.hybrid_clock.tick()

    # Calls of the driver.

    def start(self, now_ms: float) -> list[Effect]:
        """Start to probe and gossip, and join through a seed."""
        self.context.timers.now_ms = self._started_ms = now_ms
        self.prober.start()
        self.dissemination.start()
        self.anti_entropy.start()
        return self.context.effects.take()

    def tick(self, now_ms: float) -> list[Effect]:
        """Run the timers that are due. A very late tick shows that this process was paused."""
        self._advance(now_ms)
        self.context.timers.run_due()
        return self.context.effects.take()

    def receive(self, now_ms: float, packet: Packet, source: Address) -> list[Effect]:
        """Process a packet, unless it was received before."""
        self._advance(now_ms)
        self.hybrid_clock.observe(packet.timestamp)
        if not self.receiver.is_new(packet):
            return []
        self.receiver.receive(packet, source)
        return self.context.effects.take()

    def answer_sync(
        self, now_ms: float, packet: Packet, source: Address
    ) -> tuple[Packet, list[Effect]]:
        """Process a push-pull request; return the reply and the effects."""
        effects = self.receive(now_ms, packet, source)
        return self.anti_entropy.full_state(), effects

    def leave(self, now_ms: float) -> list[Effect]:
        """Leave the cluster, and notify a few members."""
        self.context.timers.advance(now_ms)
        self.membership.leave()
        return self.context.effects.take()

    def publish(self, now_ms: float, update: RegisterUpdate) -> list[Effect]:
        """Broadcast an update of one of this node's own registers."""
        self.context.timers.advance(now_ms)
        self.dissemination.publish(update)
        return self.context.effects.take()

    def send_update(self, now_ms: float, recipient: str, update: RegisterUpdate) -> list[Effect]:
        """Send an update to one member immediately; it may be lost."""
        self.context.timers.advance(now_ms)
        state = self.table.members.get(recipient)
        if state is not None:
            self.sender.send(state.record.address, Gossip(), updates=(update,))
        return self.context.effects.take()

    def _advance(self, now_ms: float) -> None:
        """Set the clock, and detect a pause of this process."""
        gap_ms = now_ms - self.due_ms
        if gap_ms > PAUSE_THRESHOLD_PERIODS * self.context.timing.probe_period_ms:
            self._process_paused(now_ms, gap_ms)
        self.context.timers.advance(now_ms)

    def _process_paused(self, now_ms: float, gap_ms: float) -> None:
        """Extend all timers and suspicions by the time that this process was paused.

        Silence of other members during the pause is no evidence that they failed.
        """
        context = self.context
        context.timers.postpone(gap_ms)
        self.membership.suspicions.postpone(gap_ms)
        context.timers.advance(now_ms)
        self.prober.abandon()
        context.health.adjust(1)
        context.effects.add(ProcessPaused(gap_ms))
        self.anti_entropy.process_paused()
