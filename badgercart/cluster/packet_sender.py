"""Builds packets and piggybacks queued broadcasts on them. No I/O."""

from __future__ import annotations

from badgercart.cluster.broadcast_queue import BroadcastQueue
from badgercart.cluster.codec import MTU_BYTES, record_size_bytes, update_size_bytes
from badgercart.cluster.context import ProtocolContext
from badgercart.cluster.effects import SendDatagram, StartSync
from badgercart.cluster.gossip_registers import RegisterUpdate
from badgercart.cluster.hybrid_logical_clock import HybridLogicalClock
from badgercart.cluster.membership_table import MAX_MEMBERS, MembershipRecord
from badgercart.cluster.messages import Body, Packet
from badgercart.config import Address

# Capacity of a datagram for records and updates; 200 bytes are reserved for its header and body.
PIGGYBACK_BYTES = MTU_BYTES - 200
MAX_QUEUED_BROADCASTS = 4 * MAX_MEMBERS


class PacketSender:
    """Numbers this process's packets and owns the queue of broadcasts."""

    def __init__(self, context: ProtocolContext, clock: HybridLogicalClock) -> None:
        self._context, self._clock = context, clock
        self.queue = BroadcastQueue(MAX_QUEUED_BROADCASTS)
        self._serial = 0
        self._sequence = 0

    def next_sequence(self) -> int:
        """Return a number for a probe, which identifies its acknowledgement."""
        self._sequence += 1
        return self._sequence

    def broadcast_record(self, record: MembershipRecord) -> None:
        """Queue a record, to be piggybacked until all members should have received it."""
        key = "record", record.name, record.accuser
        self.queue.enqueue(key, record, record_size_bytes(record))

    def broadcast_update(self, update: RegisterUpdate) -> None:
        """Queue a register update; it replaces a queued older one of the same register."""
        key = "update", update.topic, update.author
        self.queue.enqueue(key, update, update_size_bytes(update))

    def packet(
        self,
        body: Body,
        records: tuple[MembershipRecord, ...] = (),
        updates: tuple[RegisterUpdate, ...] = (),
    ) -> Packet:
        """Build a packet of this node with the next serial."""
        self._serial += 1
        local, timestamp = self._context.local.record, self._clock.tick()
        return Packet(
            local.name,
            local.generation,
            local.incarnation,
            self._serial,
            timestamp,
            body,
            records,
            updates,
        )

    def send(
        self,
        address: Address,
        body: Body,
        first: MembershipRecord | None = None,
        updates: tuple[RegisterUpdate, ...] = (),
    ) -> None:
        """Send a datagram, filled with queued broadcasts up to its capacity.

        Args:
            address: the destination.
            body: the message.
            first: a record that is sent before those in the queue, such as the accusation that a
                suspect must learn of (Lifeguard's buddy system).
            updates: updates that are sent before those in the queue.
        """
        capacity_bytes = PIGGYBACK_BYTES - sum(map(update_size_bytes, updates))
        records = []
        if first is not None:
            capacity_bytes -= record_size_bytes(first)
            records.append(first)
        queued = self.queue.take(capacity_bytes, len(self._context.table.members))
        records += [item for item in queued if isinstance(item, MembershipRecord)]
        updates += tuple(item for item in queued if isinstance(item, RegisterUpdate))
        packet = self.packet(body, tuple(records), updates)
        self._context.effects.add(SendDatagram(address, packet))

    def start_sync(self, address: Address, packet: Packet) -> None:
        """Start a push-pull with another node."""
        self._context.effects.add(StartSync(address, packet))
