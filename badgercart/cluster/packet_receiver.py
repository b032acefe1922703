"""Receives packets: each one once, and only from a sender's latest process. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from badgercart.cluster.anti_entropy import AntiEntropy
from badgercart.cluster.context import ProtocolContext
from badgercart.cluster.dissemination import Dissemination
from badgercart.cluster.effects import SendDatagram
from badgercart.cluster.membership import Membership
from badgercart.cluster.membership_table import MemberStatus
from badgercart.cluster.messages import (
    Ack,
    Gossip,
    Leave,
    Nack,
    Packet,
    Ping,
    PingRequest,
    StaleSender,
    Sync,
)
from badgercart.cluster.packet_sender import PacketSender
from badgercart.cluster.probing import Prober, ProbeRelay
from badgercart.cluster.replay_filter import ReplayFilter
from badgercart.config import Address

_Handler = Callable[[Any, Address], None]


@dataclass(slots=True, eq=False)
class PacketReceiver:
    """Dispatches the content of packets to the parts of the protocol by the type of the body."""

    context: ProtocolContext
    sender: PacketSender
    membership: Membership
    dissemination: Dissemination
    prober: Prober
    relay: ProbeRelay
    anti_entropy: AntiEntropy
    replay_filter: ReplayFilter = field(default_factory=ReplayFilter)
    _handlers: dict[type, _Handler] = field(init=False)

    def __post_init__(self) -> None:
        self._handlers = {
            Ping: self._on_ping,
            PingRequest: self._on_ping_request,
            Ack: self._on_ack,
            Nack: self._on_nack,
            StaleSender: self._on_stale_sender,
            Sync: self._on_sync,
            Gossip: self._on_empty_body,
            # The driver handles an operator's request to leave.
            Leave: self._on_empty_body,
        }

    def is_new(self, packet: Packet) -> bool:
        """Return whether a packet is of another process and was not received before."""
        local = self.context.local.record
        if packet.sender == local.name and packet.generation == local.generation:
            return False
        return self.replay_filter.accept(packet.sender, packet.generation, packet.serial)

    def receive(self, packet: Packet, source: Address) -> None:
        """Process a packet that is new."""
        if not isinstance(packet.body, Sync) and not self._is_current(packet, source):
            return
        for record in packet.records:
            self.membership.merge(record, packet.sender)
        urgent = self.dissemination.receive(packet.updates)
        self._handlers[type(packet.body)](packet.body, source)
        if urgent:
            self.dissemination.spread()

    def _is_current(self, packet: Packet, source: Address) -> bool:
        """Return whether the sender is current; inform a sender that is not."""
        if packet.sender == self.context.local.name:
            self.membership.stale_sender(packet.incarnation, packet.generation)
            return False
        state = self.context.table.members.get(packet.sender)
        if state is None:
            return True
        known = state.record
        if (packet.incarnation, packet.generation) < (known.incarnation, known.generation):
            self._answer_stale_sender(StaleSender(known.incarnation, known.generation), source)
            return False
        if state.status is not MemberStatus.ALIVE and packet.incarnation == known.incarnation:
            # The sender does not know of the accusation yet, and may refute it.
            self.sender.send(source, Gossip(), known)
        return True

    def _answer_stale_sender(self, body: StaleSender, source: Address) -> None:
        """Inform a sender that it is not current, without piggybacked records."""
        self.context.effects.add(SendDatagram(source, self.sender.packet(body)))

    def _on_ping(self, body: Ping, source: Address) -> None:
        self.sender.send(source, Ack(body.sequence))

    def _on_ping_request(self, body: PingRequest, source: Address) -> None:
        self.relay.receive_request(body, source)

    def _on_ack(self, body: Ack, _: Address) -> None:
        if not self.prober.receive_ack(body.sequence):
            self.relay.receive_ack(body.sequence)

    def _on_nack(self, body: Nack, _: Address) -> None:
        self.prober.receive_nack(body.sequence)

    def _on_stale_sender(self, body: StaleSender, _: Address) -> None:
        local = self.context.local.record
        if (body.incarnation, body.generation) > (local.incarnation, local.generation):
            self.membership.stale_sender(body.incarnation, body.generation)

    def _on_sync(self, _body: Sync, _: Address) -> None:
        self.anti_entropy.sync_received()

    def _on_empty_body(self, _body: Gossip | Leave, _: Address) -> None:
        """Do nothing: the packet consists of its piggybacked records and updates."""
