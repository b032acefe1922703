"""Merges the records of other nodes, and issues this node's own accusations. No I/O.

The rules are those of SWIM, section 4.2.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial

from badgercart.cluster.context import ProtocolContext
from badgercart.cluster.effects import MemberChanged
from badgercart.cluster.membership_table import (
    REACHABLE,
    MembershipRecord,
    MemberState,
    MemberStatus,
)
from badgercart.cluster.messages import Gossip
from badgercart.cluster.name_conflicts import NameConflicts
from badgercart.cluster.packet_sender import PacketSender
from badgercart.cluster.suspicion import SuspicionTracker
from badgercart.config import Address

# Factor of the gossip fanout that gives how many members this node notifies when it leaves.
LEAVE_FANOUT_MULTIPLIER = 2


@dataclass(slots=True, eq=False)
class Membership:
    """The only writer of the membership table, the local record and the suspicions.

    Attributes:
        on_join: called with the name of each new member.
        on_return: called with the address of each member that was declared dead and is alive again.
    """

    context: ProtocolContext
    sender: PacketSender
    suspicions: SuspicionTracker
    on_join: Callable[[str], None]
    on_return: Callable[[Address], None]
    conflicts: NameConflicts = field(default_factory=NameConflicts)

    def merge(self, record: MembershipRecord, reporter: str) -> None:
        """Merge a record, and broadcast it if it changes this node's table."""
        context = self.context
        local, table = context.local.record, context.table
        if record.name == local.name and record.precedence != local.precedence:
            self._merge_local_name(record)
            return
        if record.name not in table.members and record.status not in REACHABLE:
            # Otherwise, every push-pull would bring back members that were removed.
            return
        if record.status is MemberStatus.SUSPECT:
            self._confirm_suspicion(record)
        change = table.merge(record, context.timers.now_ms, reporter)
        if change is not None:
            self._state_changed(*change)

    def _state_changed(self, before: MemberState | None, after: MemberState) -> None:
        record = after.record
        self.suspicions.end(record.name)
        if record.status is MemberStatus.SUSPECT:
            self._begin_suspicion(record)
        elif record.status is MemberStatus.ALIVE and before is None:
            self._member_joined(record.name)
        self.sender.broadcast_record(record)
        self.context.effects.add(MemberChanged(before, after))
        was_dead = before is not None and before.status is MemberStatus.DEAD
        if was_dead and record.status is MemberStatus.ALIVE:
            self.on_return(record.address)

    def _member_joined(self, name: str) -> None:
        if name != self.context.local.name:
            self.on_join(name)

    # Records of this node by others.

    def _merge_local_name(self, record: MembershipRecord) -> None:
        """Refute a record of this node's name, unless this node yields to another process."""
        local = self.context.local
        if record.precedence <= local.record.precedence:
            # A record of an earlier process of this node, or one that this node issued itself.
            return
        if record.generation != local.record.generation:
            self._merge_rival(record)
            if self.conflicts.yields:
                return
        if local.leaving:
            return
        if record.generation == local.record.generation and record.status is not MemberStatus.ALIVE:
            # Lifeguard: a node that is accused may itself be slow.
            self.context.health.adjust(1)
        local.refute(record.incarnation)
        self._announce_local()

    def stale_sender(self, incarnation: int, generation: int) -> None:
        """Process a report that a process of this node's name has this incarnation."""
        local = self.context.local.record
        self._merge_local_name(replace(local, incarnation=incarnation, generation=generation))

    def _merge_rival(self, record: MembershipRecord) -> None:
        local = self.context.local
        conflict = self.conflicts.observe(record, local.record.generation)
        if conflict is None:
            return
        self.context.effects.add(conflict)
        # Supersede the other record once more, so that the other process detects the conflict too.
        if conflict.yields:
            local.refute(record.incarnation)
            self.sender.broadcast_record(local.record)

    def _announce_local(self) -> None:
        local = self.context.local
        self.context.table.merge(local.record, self.context.timers.now_ms, local.name)
        self.sender.broadcast_record(local.record)

    def leave(self) -> None:
        """Notify a few members that this node leaves; they forward it by gossip."""
        self.context.local.leave()
        self._announce_local()
        fanout = LEAVE_FANOUT_MULTIPLIER * self.context.timing.gossip_fanout
        for state in self.context.peers.sample(fanout):
            self.sender.send(state.record.address, Gossip())

    # Suspicion.

    def suspect(self, name: str) -> None:
        """Suspect a member that did not acknowledge a probe."""
        state = self.context.table.members.get(name)
        if state is not None and state.status in REACHABLE:
            self._accuse(state.record, MemberStatus.SUSPECT)

    def _accuse(self, record: MembershipRecord, status: MemberStatus) -> None:
        local_name = self.context.local.name
        self.merge(replace(record, status=status, accuser=local_name), local_name)

    def _begin_suspicion(self, record: MembershipRecord) -> None:
        context = self.context
        reachable = context.table.reachable
        members = len(reachable) + (context.local.name not in reachable)
        suspicion = self.suspicions.begin(record, members, context.timers.now_ms)
        delay_ms = suspicion.expires_ms - context.timers.now_ms
        context.timers.after(delay_ms, partial(self._declare_dead_if_expired, record.name))

    def _confirm_suspicion(self, record: MembershipRecord) -> None:
        """Count a further accuser of a suspect, which shortens the suspicion."""
        suspicion = self.suspicions.confirm(record)
        if suspicion is None:
            return
        timers = self.context.timers
        delay_ms = max(0.0, suspicion.expires_ms - timers.now_ms)
        timers.after(delay_ms, partial(self._declare_dead_if_expired, record.name))
        self.sender.broadcast_record(record)

    def _declare_dead_if_expired(self, name: str) -> None:
        state = self.context.table.members.get(name)
        if state is not None and self.suspicions.has_expired(name, self.context.timers.now_ms):
            self._accuse(state.record, MemberStatus.DEAD)
