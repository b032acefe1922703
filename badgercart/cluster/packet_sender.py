"""Builds packets, with as much of what waits to be passed on as they have capacity for. No I/O."""

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

PIGGYBACK_BYTES = MTU_BYTES - 200  # what a datagram has beside its header and body
MAX_QUEUED = 4 * MAX_MEMBERS  # broadcasts that wait


class PacketSender:
    """Numbers this process's packets and owns the queue of broadcasts."""

    def __init__(self, context: ProtocolContext, clock: HybridLogicalClock) -> None:
        self._context, self._clock = context, clock
        self.queue = BroadcastQueue(MAX_QUEUED)
        self._serial = 0
        self._sequence = 0

    def next_sequence(self) -> int:
        """Return a number for a probe, by which its answer is known."""
        self._sequence += 1
        return self._sequence

    def broadcast_record(self, record: MembershipRecord) -> None:
        """Have a record piggybacked on packets until all members should have heard of it."""
        key = "record", record.name, record.accuser
        self.queue.enqueue(key, record, record_size_bytes(record))

    def broadcast_update(self, update: RegisterUpdate) -> None:
        """Have a register's update piggybacked on packets, in place of an older one."""
        key = "update", update.topic, update.author
        self.queue.enqueue(key, update, update_size_bytes(update))

    def packet(
        self,
        body: Body,
        records: tuple[MembershipRecord, ...] = (),
        updates: tuple[RegisterUpdate, ...] = (),
    ) -> Packet:
        """Return a packet of this node with the next serial."""
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
        """Send a datagram with what it has capacity for of the queue.

        Args:
            address: where to.
            body: the message.
            first: a record that goes before those in the queue, as a suspect's own does
                (Lifeguard's buddy system).
            updates: updates that go before those in the queue.
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
        """Begin a push-pull with another node."""
        self._context.effects.add(StartSync(address, packet))
