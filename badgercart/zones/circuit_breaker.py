"""The circuit breaker of a zone: the share of its capacity that plans may use. No I/O.

The share is 0 while the zone is down, grows step by step as it recovers, and returns to 1. A zone
that fails again soon after a recovery is held longer each time.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

# A recovering zone with a health below this fraction of the admitted share loses half the share.
REGRESSION_RATIO = 0.5
# A closed breaker reduces the admitted share at once if the health is below this fraction of it.
DEGRADED_RATIO = 0.8


@dataclass(slots=True, frozen=True)
class RecoverySettings:
    """How a zone that was down gets traffic again.

    Attributes:
        hold_ms: how long a zone must be reachable before it gets traffic again.
        max_hold_ms: the maximum hold of a zone that fails repeatedly.
        hold_reset_after_ms: the time after a recovery after which a failure starts with `hold_ms`
            again.
        step_per_s: the growth of the admitted share per second.
        initial_share: the share of the capacity that is admitted first.
    """

    hold_ms: float = 3000.0
    max_hold_ms: float = 60_000.0
    hold_reset_after_ms: float = 60_000.0
    step_per_s: float = 0.2
    initial_share: float = 0.1


class BreakerState(Enum):
    """The state of a breaker: `CLOSED` admits traffic, `OPEN` does not, `HALF_OPEN` recovers."""

    CLOSED = auto()
    OPEN = auto()
    HALF_OPEN = auto()


class ZoneCircuitBreaker:
    """One zone's breaker. Times are in ms on the node's clock.

    Attributes:
        settings: how the zone recovers.
        state: whether the zone gets traffic.
        admitted_share: the share of the zone's capacity that plans may use, 0 to 1.
        hold_ms: the current hold; 0 if the zone has not failed yet.
    """

    def __init__(self, settings: RecoverySettings) -> None:
        """Start closed, with all of the zone's capacity admitted."""
        self.settings = settings
        self.state = BreakerState.CLOSED
        self.admitted_share = 1.0
        self.hold_ms = 0.0
        self._well_since_ms: float | None = None
        self._recovered_at_ms = float("-inf")  # start or end of the last recovery
        self._stepped_back = False
        self._ticked_at_ms = 0.0

    @property
    def stepped_back(self) -> bool:
        """Whether this recovery lost half of its share once, and continues at half speed."""
        return self._stepped_back

    def tick(self, now_ms: float, down: bool, reachable: bool, health: float) -> None:
        """Update the state and the admitted share.

        Args:
            now_ms: the time on the node's clock.
            down: whether no node reaches the zone.
            reachable: whether any node reaches it.
            health: the share of its capacity that the zone's responses indicate, 0 to 1.
        """
        elapsed_ms, self._ticked_at_ms = max(now_ms - self._ticked_at_ms, 0.0), now_ms
        if down:
            self._trip(now_ms)
        elif self.state is BreakerState.OPEN:
            self._hold(now_ms, reachable)
        elif self.state is BreakerState.HALF_OPEN:
            self._recover(now_ms, elapsed_ms, health)
        else:
            self._follow(elapsed_ms, health)

    def _trip(self, now_ms: float) -> None:
        """Open the breaker. A failure soon after a recovery doubles the hold."""
        if self.state is not BreakerState.OPEN:
            settings = self.settings
            fails_again = now_ms - self._recovered_at_ms < settings.hold_reset_after_ms
            if fails_again and self.hold_ms:
                self.hold_ms = min(2 * self.hold_ms, settings.max_hold_ms)
            else:
                self.hold_ms = settings.hold_ms
            self.state, self.admitted_share = BreakerState.OPEN, 0.0
        self._well_since_ms = None

    def _hold(self, now_ms: float, reachable: bool) -> None:
        """Start the recovery once the zone was reachable for the complete hold."""
        if not reachable:
            self._well_since_ms = None
        elif self._well_since_ms is None:
            self._well_since_ms = now_ms
        elif now_ms - self._well_since_ms >= self.hold_ms:
            self.state = BreakerState.HALF_OPEN
            self.admitted_share = self.settings.initial_share
            self._stepped_back = False
            self._recovered_at_ms = now_ms

    def _recover(self, now_ms: float, elapsed_ms: float, health: float) -> None:
        """Raise the share step by step; halve it once if a step made responses worse."""
        settings = self.settings
        if health < REGRESSION_RATIO * self.admitted_share and not self._stepped_back:
            self.admitted_share = max(self.admitted_share / 2, settings.initial_share)
            self._stepped_back = True
            return
        speed = 0.5 if self._stepped_back else 1.0
        self.admitted_share += settings.step_per_s * speed * elapsed_ms / 1000
        if self.admitted_share >= min(health, 1.0):
            self.state = BreakerState.CLOSED
            self.admitted_share = min(health, 1.0)
            self._recovered_at_ms = now_ms

    def _follow(self, elapsed_ms: float, health: float) -> None:
        """Lower the share as soon as the health drops, and raise it step by step."""
        if health < DEGRADED_RATIO * self.admitted_share:
            self.admitted_share = health
        elif health > self.admitted_share:
            grown = self.admitted_share + self.settings.step_per_s * elapsed_ms / 1000
            self.admitted_share = min(health, grown)
