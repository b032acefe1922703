"""Lifeguard's local health multiplier (Dadgar, Phillips, Currey 2018, section IV-A). No I/O."""

from __future__ import annotations

from dataclasses import dataclass

MAX_HEALTH_SCORE = 8  # S in the paper


@dataclass(slots=True)
class LocalHealth:
    """How far this node is itself slow or cut off.

    The higher its score, the slower it accuses others.
    """

    score: int = 0  # 0: healthy

    def adjust(self, change: int) -> None:
        """Add to the score, within 0 and `MAX_HEALTH_SCORE`."""
        self.score = min(max(self.score + change, 0), MAX_HEALTH_SCORE)

    def scale(self, duration_ms: float) -> float:
        """Return a wait as long as the score asks."""
        return duration_ms * (self.score + 1)
