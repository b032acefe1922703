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


class State(Enum):
    FRESH = "fresh"
    DOUBTFUL = "doubtful"
    STALE = "stale"


@dataclass(slots=True, frozen=True)
class Rule:
    """Ages in ms."""

    doubtful_after: float = 3000.0
    stale_after: float = 10000.0


class Freshness:
    """The age of one list. Times are ms on one clock that only goes forward."""

    def __init__(self, rule: Rule) -> None:
        self.rule = rule
        self.proved: float | None = None

    def proof(self, asked: float) -> None:
        """The list was whole at this time. An older proof than the last changes nothing."""
        if self.proved is None or asked > self.proved:
            self.proved = asked

    def age(self, now: float) -> float:
        """ms since the list was whole for sure; infinite where it never was."""
        return float("inf") if self.proved is None else max(0.0, now - self.proved)

    def state(self, now: float) -> State:
        age = self.age(now)
        if age >= self.rule.stale_after:
            return State.STALE
        return State.DOUBTFUL if age >= self.rule.doubtful_after else State.FRESH

    def next_change(self, now: float) -> float | None:
        """When the state changes if no proof comes; None where it can't get worse."""
        if self.proved is None:
            return None
        for after in (self.rule.doubtful_after, self.rule.stale_after):
            if self.age(now) < after:
                return self.proved + after
        return None
