"""Takes over what others say of members, and says what this node finds. No I/O.

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

GOODBYE_FANOUT = 2  # times that of gossip: members that are told that this node leaves


@dataclass(slots=True, eq=False)
class Membership:
    """The one writer of the membership table, of the local record, and of suspicions.

    Attributes:
        on_join: called with the name of each new member.
        on_return: called with the address of each member that was dead and is alive.
    """

    context: ProtocolContext
    sender: PacketSender
    suspicions: SuspicionTracker
    on_join: Callable[[str], None]
    on_return: Callable[[Address], None]
    conflicts: NameConflicts = field(default_factory=NameConflicts)

    def merge(self, record: MembershipRecord, reporter: str) -> None:
        """Take over a record if it wins, and pass on what is news."""
        context = self.context
        local, table = context.local.record, context.table
        if record.name == local.name and record.precedence != local.precedence:
            self._merge_local_name(record)
            return
        if record.name not in table.members and record.status not in REACHABLE:
            return  # members that were forgotten would come back with every push-pull
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

    # What is said of this node.

    def _merge_local_name(self, record: MembershipRecord) -> None:
        """Refute what others say of this node, unless it yields its name to another process."""
        local = self.context.local
        if record.precedence <= local.record.precedence:
            return  # what this node was before a restart, or said itself
        if record.generation != local.record.generation:
            self._merge_rival(record)
            if self.conflicts.yields:
                return
        if local.leaving:
            return
        if record.generation == local.record.generation and record.status is not MemberStatus.ALIVE:
            self.context.health.adjust(1)  # Lifeguard: a node that is accused may be slow itself
        local.refute(record.incarnation)
        self._announce_local()

    def stale_sender(self, incarnation: int, generation: int) -> None:
        """Take it that a process of this node's name was heard at that incarnation."""
        local = self.context.local.record
        self._merge_local_name(replace(local, incarnation=incarnation, generation=generation))

    def _merge_rival(self, record: MembershipRecord) -> None:
        local = self.context.local
        conflict = self.conflicts.observe(record, local.record.generation)
        if conflict is None:
            return
        self.context.effects.add(conflict)
        if conflict.yields:  # outdo the other once more, so that it hears of this one too
            local.refute(record.incarnation)
            self.sender.broadcast_record(local.record)

    def _announce_local(self) -> None:
        local = self.context.local
        self.context.table.merge(local.record, self.context.timers.now_ms, local.name)
        self.sender.broadcast_record(local.record)

    def leave(self) -> None:
        """Tell a few members that this node leaves; they pass it on."""
        self.context.local.leave()
        self._announce_local()
        fanout = GOODBYE_FANOUT * self.context.timing.gossip_fanout
        for state in self.context.peers.sample(fanout):
            self.sender.send(state.record.address, Gossip())

    # Suspicion.

    def suspect(self, name: str) -> None:
        """Accuse a member that did not answer a probe."""
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
        """Shorten a suspicion that one more member shares."""
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
