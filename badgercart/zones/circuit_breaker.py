"""Which part of a zone's capacity counts now: none while it is down, little as it comes back, then
all.

A zone that fails again soon waits longer each time. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum


@dataclass(slots=True, frozen=True)
class Pace:
    """Times in ms."""

    hold: float = 3000.0  # a zone has to be well for so long before anything goes there again
    longest: float = 60_000.0  # what the hold grows to where it fails again and again
    forgive: float = 60_000.0  # after so long without a failure the hold is the first one again
    step: float = 0.2  # of its capacity more each second, as it comes back
    first: float = 0.1  # of it at first


class State(StrEnum):
    OPEN = "open"
    SHUT = "shut"
    RETURNING = "returning"


@dataclass(slots=True)
class ZoneCircuitBreaker:
    """One zone's."""

    pace: Pace
    state: State = State.OPEN
    factor: float = 1.0  # of its capacity that counts
    hold: float = 0.0
    well_since: float | None = None
    opened: float = float("-inf")  # when it came back last
    taken_back: bool = False  # whether its way back was halved
    at: float = field(default=0.0)

    def tick(self, now: float, down: bool, well: bool, strength: float) -> None:
        """One look. `strength`: what its answers say that it can do, of its capacity, 0 to 1."""
        passed, self.at = max(now - self.at, 0.0), now
        if down:
            self.shut(now)
        elif self.state is State.SHUT:
            self.wait(now, well)
        elif self.state is State.RETURNING:
            self.come_back(now, passed, strength)
        else:
            self.follow(passed, strength)

    def shut(self, now: float) -> None:
        if self.state is not State.SHUT:
            again = now - self.opened < self.pace.forgive
            self.hold = (
                min(2 * self.hold, self.pace.longest) if again and self.hold else self.pace.hold
            )
            self.state, self.factor = State.SHUT, 0.0
        self.well_since = None

    def wait(self, now: float, well: bool) -> None:
        if not well:
            self.well_since = None
        elif self.well_since is None:
            self.well_since = now
        elif now - self.well_since >= self.hold:
            self.state, self.factor, self.taken_back = State.RETURNING, self.pace.first, False
            self.opened = now

    def come_back(self, now: float, passed: float, strength: float) -> None:
        """A step that hurts is taken back, once; from then on it goes on half as fast."""
        if strength < 0.5 * self.factor and not self.taken_back:
            self.factor, self.taken_back = max(self.factor / 2, self.pace.first), True
            return
        self.factor += self.pace.step * (0.5 if self.taken_back else 1.0) * passed / 1000
        if self.factor >= min(strength, 1.0):
            self.state, self.factor, self.opened = State.OPEN, min(strength, 1.0), now

    def follow(self, passed: float, strength: float) -> None:
        """Less as soon as answers say so, more step by step: a zone that is slow keeps a part."""
        if strength < 0.8 * self.factor:
            self.factor = strength
        elif strength > self.factor:
            self.factor = min(strength, self.factor + self.pace.step * passed / 1000)
