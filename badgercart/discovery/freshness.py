"""How old a server list may be, and what follows from it. No I/O.

A *proof* says that the list was whole at some time: the time at which the question was asked that
an answer answered, never the time at which the answer came, for answers may lie in a buffer. From
the last proof on the list ages: *fresh*, then *doubtful* (operators are told), then *stale*
(nothing new is sent, or the node goes on, as the operator's file says). One proof makes it fresh
again; without any it is stale from the start.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class FreshnessState(Enum):
    FRESH = "fresh"
    DOUBTFUL = "doubtful"
    STALE = "stale"


@dataclass(slots=True, frozen=True)
class FreshnessLimits:
    """Ages in ms."""

    doubtful_after_ms: float = 3000.0
    stale_after_ms: float = 10000.0


class Freshness:
    """The age of one list. Times are ms on one clock that only goes forward."""

    def __init__(self, rule: FreshnessLimits) -> None:
        self.rule = rule
        self.proven_at_ms: float | None = None

    def proof(self, asked: float) -> None:
        """The list was whole at this time. An older proof than the last changes nothing."""
        if self.proven_at_ms is None or asked > self.proven_at_ms:
            self.proven_at_ms = asked

    def age(self, now: float) -> float:
        """ms since the list was whole for sure; infinite where it never was."""
        return float("inf") if self.proven_at_ms is None else max(0.0, now - self.proven_at_ms)

    def state(self, now: float) -> FreshnessState:
        age = self.age(now)
        if age >= self.rule.stale_after_ms:
            return FreshnessState.STALE
        return (
            FreshnessState.DOUBTFUL if age >= self.rule.doubtful_after_ms else FreshnessState.FRESH
        )

    def next_change(self, now: float) -> float | None:
        """When the state changes if no proof comes; None where it can't get worse."""
        if self.proven_at_ms is None:
            return None
        for after in (self.rule.doubtful_after_ms, self.rule.stale_after_ms):
            if self.age(now) < after:
                return self.proven_at_ms + after
        return None
