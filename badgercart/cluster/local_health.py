"""Lifeguard's local health multiplier (Dadgar, Phillips, Currey 2018, section IV-A). No I/O."""

from __future__ import annotations

from dataclasses import dataclass

# S in the paper.
MAX_HEALTH_SCORE = 8


@dataclass(slots=True)
class LocalHealth:
    """How likely this node itself is slow or partitioned.

    The higher the score, the longer it waits before it suspects other members. 0 is healthy.
    """

    score: int = 0

    def adjust(self, change: int) -> None:
        """Change the score, within 0 and `MAX_HEALTH_SCORE`."""
        self.score = min(max(self.score + change, 0), MAX_HEALTH_SCORE)

    def scale(self, duration_ms: float) -> float:
        """Return a duration multiplied according to the score."""
        return duration_ms * (self.score + 1)
