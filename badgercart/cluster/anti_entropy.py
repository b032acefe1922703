"""Push-pull anti-entropy: two nodes exchange their complete state. No I/O.

Nodes join the cluster and partitions heal by push-pulls, which also repair what gossip missed.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from functools import partial

from badgercart.cluster.context import ProtocolContext
from badgercart.cluster.gossip_registers import GossipRegisters
from badgercart.cluster.membership_table import MemberState, MemberStatus
from badgercart.cluster.messages import Packet, Ping, Sync
from badgercart.cluster.packet_sender import PacketSender
from badgercart.config import Address

# Cluster size above which push-pulls become less frequent, as in memberlist.
SYNC_SCALE_THRESHOLD_MEMBERS = 32


@dataclass(slots=True, eq=False)
class AntiEntropy:
    """Schedules push-pulls, and removes members that have been unreachable for too long.

    Attributes:
        seeds: addresses that a new node contacts to join.
        stale: whether this process was paused and has not received another node's state since.
    """

    context: ProtocolContext
    sender: PacketSender
    registers: GossipRegisters
    seeds: list[Address]
    stale: bool = False
    _heal_scheduled: bool = field(default=False)

    def start(self) -> None:
        """Set the timers, and join through a random seed."""
        timing, rng, timers = self.context.timing, self.context.rng, self.context.timers
        timers.after(timing.retry_interval_ms * (0.5 + 0.5 * rng.random()), self._retry_unreachable)
        timers.after(timing.sync_interval_ms * (0.5 + 0.5 * rng.random()), self._sync_with_random)
        if self.seeds:
            self.sync_with(rng.choice(self.seeds))

    def full_state(self) -> Packet:
        """Return a packet with all records and updates: one direction of a push-pull."""
        local = self.context.local.record
        others = (r for r in self.context.table.records() if r.name != local.name)
        return self.sender.packet(Sync(), (*others, local), tuple(self.registers.updates.values()))

    def sync_with(self, address: Address) -> None:
        """Start a push-pull with the node at an address."""
        self.sender.start_sync(address, self.full_state())

    def member_returned(self, address: Address) -> None:
        """Schedule a push-pull with a member that was declared dead and is alive again.

        The member may return from a partition with more state than gossip reliably spreads. At most
        one such push-pull is scheduled at a time.
        """
        if self._heal_scheduled:
            return
        self._heal_scheduled = True
        delay_ms = self.context.rng.random() * self.context.timing.retry_interval_ms
        self.context.timers.after(delay_ms, partial(self._sync_with_returned, address))

    def _sync_with_returned(self, address: Address) -> None:
        self._heal_scheduled = False
        self.sync_with(address)

    def process_paused(self) -> None:
        """Request the current state from another node after this process was paused."""
        self.stale = True
        members = self.context.peers.sample(1)
        if members:
            self.sync_with(members[0].record.address)
        elif self.seeds:
            self.sync_with(self.context.rng.choice(self.seeds))

    def sync_received(self) -> None:
        """Record that another node has sent its complete state."""
        self.stale = False

    def _sync_with_random(self) -> None:
        # As in memberlist: otherwise, the push-pulls of a growing cluster would become both more
        # frequent in total and larger.
        members = max(len(self.context.table.members), 1)
        scale = max(1.0, math.log2(members / SYNC_SCALE_THRESHOLD_MEMBERS) + 1)
        interval_ms = self.context.timing.sync_interval_ms * scale
        self.context.timers.after(interval_ms, self._sync_with_random)
        self._sync_with_members(self.context.peers.sample(1))

    def _sync_with_members(self, members: Iterable[MemberState]) -> None:
        for state in members:
            self.sync_with(state.record.address)

    def _retry_unreachable(self) -> None:
        """Contact an unreachable seed and a dead member, and remove expired members."""
        context = self.context
        interval_ms = context.timing.retry_interval_ms * (0.5 + context.rng.random())
        context.timers.after(interval_ms, self._retry_unreachable)
        dead = self._forget_expired()
        self._retry_seed()
        if dead:
            state = context.rng.choice(dead)
            ping = Ping(self.sender.next_sequence())
            self.sender.send(state.record.address, ping, state.record)

    def _retry_seed(self) -> None:
        """Contact a seed that is not a reachable member.

        Clusters that formed separately have no other way to discover each other.
        """
        reachable = self.context.table.reachable_addresses
        missing = [seed for seed in self.seeds if seed not in reachable]
        if missing:
            self.sync_with(self.context.rng.choice(missing))
        elif self.stale:
            self._sync_with_members(self.context.peers.sample(1))

    def _forget_expired(self) -> list[MemberState]:
        """Remove members that were unreachable beyond the retention; return the other dead ones."""
        table, now_ms = self.context.table, self.context.timers.now_ms
        retention_ms = self.context.timing.dead_retention_ms
        states = [table.members[name] for name in table.unreachable]
        expired = {s.record.name for s in states if now_ms - s.since_ms >= retention_ms}
        for name in expired - {self.context.local.name}:
            table.remove(name)
        if expired:
            self.registers.remove_authors(expired)
        return [
            state
            for state in states
            if state.status is MemberStatus.DEAD and state.record.name not in expired
        ]
