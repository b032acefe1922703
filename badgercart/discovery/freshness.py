"""How old a list may be, and its state by its age. No I/O.

A *proof* says that the list was whole at some time: the time at which the question was asked that a
response answered, never the time at which the response came, for responses may lie in a buffer. From
the last proof on the list ages: *fresh*, then *doubtful* (operators are told), then *stale* (nothing
new is sent, or the node goes on, as the operator's file says). One proof makes it fresh again; without
any it is stale from the start.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum


class FreshnessState(Enum):
    """What a list's age means."""

    FRESH = "fresh"
    DOUBTFUL = "doubtful"
    STALE = "stale"


@dataclass(slots=True, frozen=True)
class FreshnessRule:
    """The ages from which on a list is doubtful and stale."""

    doubtful_after_ms: float = 3000.0
    stale_after_ms: float = 10000.0


class Freshness:
    """The age of one list. Times are milliseconds on one monotonic clock."""

    def __init__(self, rule: FreshnessRule) -> None:
        """Set up the age of a list without proof."""
        self.rule = rule
        self.proved_ms: float | None = None

    def record_proof(self, asked_ms: float) -> None:
        """Take note that the list was whole at this time; an older proof changes nothing."""
        if self.proved_ms is None or asked_ms > self.proved_ms:
            self.proved_ms = asked_ms

    def age_ms(self, now: float) -> float:
        """Return the time since the last proof; infinite where there is none."""
        return math.inf if self.proved_ms is None else max(0.0, now - self.proved_ms)

    def state(self, now: float) -> FreshnessState:
        """Return what the age means."""
        age_ms = self.age_ms(now)
        if age_ms >= self.rule.stale_after_ms:
            return FreshnessState.STALE
        if age_ms >= self.rule.doubtful_after_ms:
            return FreshnessState.DOUBTFUL
        return FreshnessState.FRESH

    def next_change(self, now: float) -> float | None:
        """Return when the state changes if no proof comes; None where it can't get worse."""
        if self.proved_ms is None:
            return None
        for limit_ms in (self.rule.doubtful_after_ms, self.rule.stale_after_ms):
            if self.age_ms(now) < limit_ms:
                return self.proved_ms + limit_ms
        return None
