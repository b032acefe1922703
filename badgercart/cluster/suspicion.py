"""How long a suspect has to refute: the longer the fewer accuse it. No I/O.

That is Lifeguard's dynamic suspicion timeout, section IV-B of its paper.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from badgercart.cluster.membership_table import MembershipRecord
from badgercart.cluster.timing import SwimTiming

MAX_CONFIRMATIONS = 3  # accusers beside the first, after which the time is shortest; K in the paper


def min_suspicion_ms(members: int, probe_period_ms: float, multiplier: float) -> float:
    """Return the least time to refute.

    It is `multiplier` probe periods for each power of ten of members.
    """
    return multiplier * max(1.0, math.log10(max(members, 1))) * probe_period_ms


@dataclass(slots=True)
class Suspicion:
    """One member that is suspected at one incarnation."""

    incarnation: int
    started_ms: float
    min_ms: float
    max_ms: float
    expected_confirmations: int = MAX_CONFIRMATIONS  # fewer where the cluster is too small
    accusers: set[str] = field(default_factory=set)

    def confirm(self, accuser: str) -> bool:
        """Count an accuser; return whether it is news that should be passed on."""
        if accuser in self.accusers or len(self.accusers) > self.expected_confirmations:
            return False
        self.accusers.add(accuser)
        return True

    @property
    def expires_ms(self) -> float:
        """When the suspect is declared dead, unless it refutes."""
        if self.expected_confirmations < 1:
            return self.started_ms + self.min_ms
        confirmations = max(0, len(self.accusers) - 1)
        share = math.log(confirmations + 1) / math.log(self.expected_confirmations + 1)
        reduced_ms = self.max_ms - (self.max_ms - self.min_ms) * min(1.0, share)
        return self.started_ms + max(self.min_ms, reduced_ms)


class SuspicionTracker:
    """The suspicions that run, by the suspect's name."""

    __slots__ = ("_suspicions", "_timing")

    def __init__(self, timing: SwimTiming) -> None:
        self._timing = timing
        self._suspicions: dict[str, Suspicion] = {}

    def begin(self, record: MembershipRecord, members: int, now_ms: float) -> Suspicion:
        """Suspect a member in a cluster of so many, by the record of its first accuser."""
        timing = self._timing
        min_ms = min_suspicion_ms(members, timing.probe_period_ms, timing.suspicion_multiplier)
        max_ms = min_ms * timing.max_suspicion_multiplier
        expected = min(MAX_CONFIRMATIONS, max(0, members - 2))
        suspicion = Suspicion(record.incarnation, now_ms, min_ms, max_ms, expected)
        suspicion.confirm(record.accuser)
        self._suspicions[record.name] = suspicion
        return suspicion

    def confirm(self, record: MembershipRecord) -> Suspicion | None:
        """Count a further accuser of a suspect; return the suspicion if that is news, else None."""
        suspicion = self._suspicions.get(record.name)
        if suspicion is None or record.incarnation != suspicion.incarnation:
            return None
        return suspicion if suspicion.confirm(record.accuser) else None

    def end(self, name: str) -> None:
        """Drop the suspicion of a member, if there is one."""
        self._suspicions.pop(name, None)

    def has_expired(self, name: str, now_ms: float) -> bool:
        """Return whether a member is suspected and had its time to refute."""
        suspicion = self._suspicions.get(name)
        return suspicion is not None and now_ms >= suspicion.expires_ms

    def postpone(self, gap_ms: float) -> None:
        """Give all suspects `gap_ms` more, in which this process stood still."""
        for suspicion in self._suspicions.values():
            suspicion.started_ms += gap_ms
