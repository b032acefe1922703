"""Gossip: records and register updates are spread in rounds (SWIM, section 4.1). No I/O."""

from __future__ import annotations

from collections.abc import Iterable

from badgercart.cluster.context import ProtocolContext
from badgercart.cluster.effects import RegisterChanged
from badgercart.cluster.gossip_registers import GossipRegisters, RegisterUpdate
from badgercart.cluster.messages import Gossip
from badgercart.cluster.packet_sender import PacketSender


class Dissemination:
    """Owns the registers, and sends queued broadcasts to a few random members each round."""

    def __init__(self, context: ProtocolContext, sender: PacketSender) -> None:
        self.context, self.sender = context, sender
        self.registers = GossipRegisters()

    def start(self) -> None:
        """Schedule the first round."""
        context = self.context
        delay_ms = context.timing.gossip_interval_ms * context.rng.random()
        context.timers.after(delay_ms, self._run_round)

    def _run_round(self) -> None:
        self.context.timers.after(self.context.timing.gossip_interval_ms, self._run_round)
        self.spread()

    def spread(self) -> None:
        """Send queued broadcasts to a few random members."""
        if not len(self.sender.queue):
            return
        for state in self.context.peers.sample(self.context.timing.gossip_fanout):
            if not len(self.sender.queue):
                break
            self.sender.send(state.record.address, Gossip())

    def receive(self, updates: Iterable[RegisterUpdate]) -> bool:
        """Merge another node's updates; return whether a new one must be spread immediately."""
        registers, urgent = self.registers, False
        for update in updates:
            if not registers.merge(update):
                continue
            self.context.effects.add(RegisterChanged(*update))
            if update.topic not in registers.direct:
                self.sender.broadcast_update(update)
                urgent = urgent or update.topic in registers.urgent
        return urgent

    def publish(self, update: RegisterUpdate) -> None:
        """Broadcast an update of one of this node's own registers to all nodes."""
        if self.registers.merge(update):
            self.sender.broadcast_update(update)
            if update.topic in self.registers.urgent:
                self.spread()
