"""State that the parts of the membership protocol share on one node. No I/O."""

from __future__ import annotations

import random
from dataclasses import dataclass, replace

from badgercart.cluster.effects import EffectBuffer
from badgercart.cluster.local_health import LocalHealth
from badgercart.cluster.membership_table import (
    REACHABLE,
    MembershipRecord,
    MembershipTable,
    MemberState,
    MemberStatus,
    refute,
)
from badgercart.cluster.timers import TimerQueue
from badgercart.cluster.timing import SwimTiming


class LocalNode:
    """This node's own membership record, and whether the node is leaving the cluster."""

    __slots__ = ("leaving", "record")

    def __init__(self, record: MembershipRecord) -> None:
        self.record = record
        self.leaving = False

    @property
    def name(self) -> str:
        """The node's name."""
        return self.record.name

    def refute(self, incarnation: int) -> None:
        """Raise this node's incarnation above `incarnation` to refute records of it."""
        self.record = refute(self.record, incarnation)

    def leave(self) -> None:
        """Mark this node as having left; it refutes nothing from now on."""
        self.leaving = True
        self.record = replace(self.record, status=MemberStatus.LEFT)


class PeerSampler:
    """Selects other members, all or at random."""

    __slots__ = ("_local", "_table", "rng")

    def __init__(self, local: LocalNode, table: MembershipTable, rng: random.Random) -> None:
        self._local, self._table, self.rng = local, table, rng

    def reachable(self) -> list[MemberState]:
        """Return all other members that are alive or suspected."""
        states = self._table.with_status(*REACHABLE)
        return [state for state in states if state.record.name != self._local.name]

    def sample(self, count: int, excluding: str = "") -> list[MemberState]:
        """Return up to `count` reachable other members at random, without the excluded one."""
        names = (self._local.name, excluding) if excluding else (self._local.name,)
        return self._table.sample(count, self.rng, names)


@dataclass(slots=True, frozen=True, eq=False)
class ProtocolContext:
    """The shared state; each object has a single writer or maintains its own invariants."""

    local: LocalNode
    timing: SwimTiming
    rng: random.Random
    timers: TimerQueue
    table: MembershipTable
    peers: PeerSampler
    health: LocalHealth
    effects: EffectBuffer
