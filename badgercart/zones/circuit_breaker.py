"""The circuit breaker of a zone: which share of its capacity counts at the moment.

None counts while the zone is down, little as it recovers, then all. A zone that fails again soon
waits longer each time. No I/O.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

# Below this part of the share that is admitted, what answers show takes a step of recovery back.
REGRESSION_SHARE = 0.5
# Below this part of the share that is admitted, a closed breaker admits less at once.
DEGRADED_SHARE = 0.8


@dataclass(slots=True, frozen=True)
class RecoverySettings:
    """How a zone that was down gets traffic again."""

    hold_ms: float = 3000.0  # a zone has to be well for so long before anything goes there again
    max_hold_ms: float = 60_000.0  # what the hold grows to where a zone fails again and again
    # after so long without a failure the hold is `hold_ms` again
    forgive_after_ms: float = 60_000.0
    step_per_s: float = 0.2  # share of its capacity that is admitted more each second
    initial_share: float = 0.1  # share of its capacity that is admitted first


class BreakerState(Enum):
    """Whether a zone gets traffic: `CLOSED` lets it through, `OPEN` does not."""

    CLOSED = auto()
    OPEN = auto()
    HALF_OPEN = auto()


class ZoneCircuitBreaker:
    """One zone's breaker. Times are in ms on the node's clock."""

    def __init__(self, settings: RecoverySettings) -> None:
        """Begin closed, with all of the zone's capacity admitted."""
        self.settings = settings
        self.state = BreakerState.CLOSED
        self.admitted_share = 1.0  # of the zone's capacity that counts
        self.hold_ms = 0.0  # the current hold; 0: the zone has not failed yet
        self._well_since: float | None = None
        self._recovered_at = float("-inf")  # when the zone came back last
        self._stepped_back = False  # whether this recovery was halved once already
        self._ticked_at = 0.0

    @property
    def stepped_back(self) -> bool:
        """Whether this recovery lost half of its share once, and goes on at half speed."""
        return self._stepped_back

    def tick(self, now: float, down: bool, reachable: bool, health: float) -> None:
        """Take over what is known of the zone now.

        Args:
            now: ms on the node's clock.
            down: whether no node reaches the zone.
            reachable: whether any node reaches it.
            health: share of the capacity that its answers show it to have, 0 to 1.
        """
        elapsed_ms, self._ticked_at = max(now - self._ticked_at, 0.0), now
        if down:
            self._trip(now)
        elif self.state is BreakerState.OPEN:
            self._hold(now, reachable)
        elif self.state is BreakerState.HALF_OPEN:
            self._recover(now, elapsed_ms, health)
        else:
            self._follow(elapsed_ms, health)

    def _trip(self, now: float) -> None:
        """Admit nothing. A failure soon after a recovery doubles the hold."""
        if self.state is not BreakerState.OPEN:
            settings = self.settings
            fails_again = now - self._recovered_at < settings.forgive_after_ms
            if fails_again and self.hold_ms:
                self.hold_ms = min(2 * self.hold_ms, settings.max_hold_ms)
            else:
                self.hold_ms = settings.hold_ms
            self.state, self.admitted_share = BreakerState.OPEN, 0.0
        self._well_since = None

    def _hold(self, now: float, reachable: bool) -> None:
        """Begin to recover once the zone was reachable for the whole hold."""
        if not reachable:
            self._well_since = None
        elif self._well_since is None:
            self._well_since = now
        elif now - self._well_since >= self.hold_ms:
            self.state = BreakerState.HALF_OPEN
            self.admitted_share = self.settings.initial_share
            self._stepped_back = False
            self._recovered_at = now

    def _recover(self, now: float, elapsed_ms: float, health: float) -> None:
        """Admit more step by step; halve the share once if a step made answers worse."""
        settings = self.settings
        if health < REGRESSION_SHARE * self.admitted_share and not self._stepped_back:
            self.admitted_share = max(self.admitted_share / 2, settings.initial_share)
            self._stepped_back = True
            return
        speed = 0.5 if self._stepped_back else 1.0
        self.admitted_share += settings.step_per_s * speed * elapsed_ms / 1000
        if self.admitted_share >= min(health, 1.0):
            self.state = BreakerState.CLOSED
            self.admitted_share = min(health, 1.0)
            self._recovered_at = now

    def _follow(self, elapsed_ms: float, health: float) -> None:
        """Admit less as soon as answers show it, more step by step: a slow zone keeps a share."""
        if health < DEGRADED_SHARE * self.admitted_share:
            self.admitted_share = health
        elif health > self.admitted_share:
            grown = self.admitted_share + self.settings.step_per_s * elapsed_ms / 1000
            self.admitted_share = min(health, grown)
