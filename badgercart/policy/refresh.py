"""The schedule for updating averages and for halving counts. No I/O."""

from __future__ import annotations

from badgercart.policy.overload import REFRESH_INTERVAL_MS

MAX_PASSED_MS = 1000.0  # longest time that one refresh accounts for
HALF_LIFE_MS = 5000.0  # interval of halving the counts of offered requests, keys and attempts


class RefreshSchedule:
    """The clock times of the last refresh and of the last halving; 0: there was none."""

    __slots__ = ("halved_at_ms", "refreshed_at_ms")

    def __init__(self) -> None:
        self.refreshed_at_ms = 0.0
        self.halved_at_ms = 0.0

    def is_due(self, now_ms: float, time_scale: float) -> bool:
        """Return whether a refresh is due."""
        return now_ms - self.refreshed_at_ms >= REFRESH_INTERVAL_MS * time_scale

    def begin(self, now_ms: float, time_scale: float) -> float:
        """Start a refresh, and return the time in ms that it accounts for."""
        passed_ms = REFRESH_INTERVAL_MS * time_scale
        if self.refreshed_at_ms:
            passed_ms = min(now_ms - self.refreshed_at_ms, MAX_PASSED_MS)
        self.refreshed_at_ms = now_ms
        return passed_ms

    def begin_halving(self, now_ms: float) -> bool:
        """Return whether this refresh has to halve the counts, and note its time if so."""
        if now_ms - self.halved_at_ms < HALF_LIFE_MS:
            return False
        self.halved_at_ms = now_ms
        return True
