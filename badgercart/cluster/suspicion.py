"""How long a suspect has to refute: the longer the fewer accuse it (Lifeguard, section IV-B). No
I/O."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

CONFIRMATIONS = 3  # accusers beside the first, after which the time is the shortest; K of the paper


def shortest(members: int, period: float, factor: float) -> float:
    """The least time (ms) in a group of this size: `factor` periods for each power of ten."""
    return factor * max(1.0, math.log10(max(members, 1))) * period


@dataclass(slots=True)
class Suspicion:
    """One member that is suspected at one incarnation."""

    incarnation: int
    since: float  # ms
    least: float
    most: float
    wanted: int = CONFIRMATIONS  # fewer where the group is too small for them
    accusers: set[str] = field(default_factory=set)

    def confirm(self, accuser: str) -> bool:
        """Take an accuser's word; whether it is news that should be passed on."""
        if accuser in self.accusers or len(self.accusers) > self.wanted:
            return False
        self.accusers.add(accuser)
        return True

    @property
    def until(self) -> float:
        """When the suspect counts as dead, unless it refutes."""
        others = max(0, len(self.accusers) - 1)
        if self.wanted < 1:
            return self.since + self.least
        part = min(1.0, math.log(others + 1) / math.log(self.wanted + 1))
        return self.since + max(self.least, self.most - (self.most - self.least) * part)


MOST_UNWELL = 8  # S of the paper


@dataclass(slots=True)
class Health:
    """Lifeguard's local health multiplier: a node that is itself unwell is slow to accuse."""

    score: int = 0  # 0: well

    def change(self, by: int) -> None:
        self.score = min(max(self.score + by, 0), MOST_UNWELL)

    def scaled(self, time: float) -> float:
        return time * (self.score + 1)
