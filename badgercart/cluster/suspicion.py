"""Suspicion timeouts, which are longer the fewer members accuse a suspect. No I/O.

This is Lifeguard's dynamic suspicion timeout, section IV-B of its paper.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from badgercart.cluster.membership_table import MembershipRecord
from badgercart.cluster.timing import SwimTiming

# Accusers besides the first one at which the timeout reaches its minimum; K in the paper.
MAX_CONFIRMATIONS = 3


def min_suspicion_ms(members: int, probe_period_ms: float, multiplier: float) -> float:
    """Return the minimum suspicion timeout.

    It is `multiplier` probe periods for each power of ten of members.
    """
    return multiplier * max(1.0, math.log10(max(members, 1))) * probe_period_ms


@dataclass(slots=True)
class Suspicion:
    """The suspicion of one member at one incarnation.

    Attributes:
        incarnation: the incarnation of the suspect.
        started_ms: when the suspicion started.
        min_ms: the minimum timeout.
        max_ms: the timeout without confirmations.
        expected_confirmations: accusers besides the first one at which the timeout reaches its
            minimum; fewer than `MAX_CONFIRMATIONS` in a very small cluster.
        accusers: the names of the accusers.
    """

    incarnation: int
    started_ms: float
    min_ms: float
    max_ms: float
    expected_confirmations: int = MAX_CONFIRMATIONS
    accusers: set[str] = field(default_factory=set)

    def confirm(self, accuser: str) -> bool:
        """Count an accuser; return whether it is new and should be broadcast."""
        if accuser in self.accusers or len(self.accusers) > self.expected_confirmations:
            return False
        self.accusers.add(accuser)
        return True

    @property
    def expires_ms(self) -> float:
        """When the suspect is declared dead unless it refutes the suspicion."""
        if self.expected_confirmations < 1:
            return self.started_ms + self.min_ms
        confirmations = max(0, len(self.accusers) - 1)
        share = math.log(confirmations + 1) / math.log(self.expected_confirmations + 1)
        reduced_ms = self.max_ms - (self.max_ms - self.min_ms) * min(1.0, share)
        return self.started_ms + max(self.min_ms, reduced_ms)


class SuspicionTracker:
    """The current suspicions by the name of the suspect."""

    __slots__ = ("_suspicions", "_timing")

    def __init__(self, timing: SwimTiming) -> None:
        self._timing = timing
        self._suspicions: dict[str, Suspicion] = {}

    def begin(self, record: MembershipRecord, members: int, now_ms: float) -> Suspicion:
        """Start a suspicion with the record of the first accuser; `members` is the cluster size."""
        timing = self._timing
        min_ms = min_suspicion_ms(members, timing.probe_period_ms, timing.suspicion_multiplier)
        max_ms = min_ms * timing.max_suspicion_multiplier
        expected = min(MAX_CONFIRMATIONS, max(0, members - 2))
        suspicion = Suspicion(record.incarnation, now_ms, min_ms, max_ms, expected)
        suspicion.confirm(record.accuser)
        self._suspicions[record.name] = suspicion
        return suspicion

    def confirm(self, record: MembershipRecord) -> Suspicion | None:
        """Count a further accuser; return the suspicion if the accuser is new, else None."""
        suspicion = self._suspicions.get(record.name)
        if suspicion is None or record.incarnation != suspicion.incarnation:
            return None
        return suspicion if suspicion.confirm(record.accuser) else None

    def end(self, name: str) -> None:
        """Drop the suspicion of a member, if there is one."""
        self._suspicions.pop(name, None)

    def has_expired(self, name: str, now_ms: float) -> bool:
        """Return whether a member is suspected and its suspicion timeout has passed."""
        suspicion = self._suspicions.get(name)
        return suspicion is not None and now_ms >= suspicion.expires_ms

    def postpone(self, gap_ms: float) -> None:
        """Extend all suspicions by the time that this process was paused."""
        for suspicion in self._suspicions.values():
            suspicion.started_ms += gap_ms
