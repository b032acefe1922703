"""Derives how old a server list may be, and what state follows from its age.

A *proof* says that the list was complete at some time. That time is when the request was sent, not
when its response came, for responses may wait in a buffer. The list ages from its latest proof on:
it is *fresh*, then *doubtful* (operators are notified), then *stale* (no new requests are sent, or
the node goes on with it, as the operator's file says). One proof makes it fresh again; a list
without any proof is stale.

This module does no I/O.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class FreshnessState(Enum):
    """How far a list may be trusted, by its age."""

    FRESH = "fresh"
    DOUBTFUL = "doubtful"
    STALE = "stale"


@dataclass(slots=True, frozen=True)
class FreshnessLimits:
    """The ages from which a list is doubtful and stale."""

    doubtful_after_ms: float = 3000.0
    stale_after_ms: float = 10000.0


class Freshness:
    """The age of one list. Times are in ms on one monotonic clock."""

    def __init__(self, limits: FreshnessLimits) -> None:
        """Start without a proof: stale."""
        # A capture looks for replaced settings under the name `rule`.
        self.rule = limits
        self.proven_at_ms: float | None = None

    def proof(self, requested_at_ms: float) -> None:
        """Record that the list was complete at this time; a proof older than the last is ignored."""
        if self.proven_at_ms is None or requested_at_ms > self.proven_at_ms:
            self.proven_at_ms = requested_at_ms

    def age(self, now_ms: float) -> float:
        """Return the ms since the list is known to have been complete, infinite where it never was."""
        return float("inf") if self.proven_at_ms is None else max(0.0, now_ms - self.proven_at_ms)

    def state(self, now_ms: float) -> FreshnessState:
        """Return the state at this time."""
        age_ms = self.age(now_ms)
        if age_ms >= self.rule.stale_after_ms:
            return FreshnessState.STALE
        return (
            FreshnessState.DOUBTFUL
            if age_ms >= self.rule.doubtful_after_ms
            else FreshnessState.FRESH
        )

    def next_change(self, now_ms: float) -> float | None:
        """Return when the state changes without a further proof, or None where it can't get worse."""
        if self.proven_at_ms is None:
            return None
        for limit_ms in (self.rule.doubtful_after_ms, self.rule.stale_after_ms):
            if self.age(now_ms) < limit_ms:
                return self.proven_at_ms + limit_ms
        return None
