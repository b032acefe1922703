"""The share of recent attempts that failed. No I/O."""

from __future__ import annotations

MEMORY_ATTEMPTS = 33.0  # attempts that the share looks back over
MEMORY_SHED = 100.0  # shed requests after which what was seen before them has faded
# Attempts taken as good beside those seen: a few chance failures are no overload.
PRIOR_SUCCESSES = 4.0
CONNECT_GAIN = 0.1  # weight of one attempt in the share without a connection


class ErrorRate:
    """Failures among recent attempts, fading with attempts, time and shed requests."""

    __slots__ = ("attempts", "connect_failure_rate", "failures", "rate")

    def __init__(self) -> None:
        self.attempts = 0.0  # recent ones, faded
        self.failures = 0.0
        self.rate = 0.0
        self.connect_failure_rate = 0.0  # share of recent attempts that got no connection

    def record(self, failed: bool, weight: float, connected: bool) -> None:
        """Count an attempt that has ended; a failure counts by its weight, 0 to 1."""
        self.connect_failure_rate += CONNECT_GAIN * ((not connected) - self.connect_failure_rate)
        self.attempts += 1.0 - self.attempts / MEMORY_ATTEMPTS
        self.failures += weight * failed - self.failures / MEMORY_ATTEMPTS
        self._refresh()

    def record_shed(self) -> None:
        """Let what was seen fade with a shed request.

        A shed request carries no information about endpoint health. Without this a threshold that
        sheds nearly everything would hold itself up, since good and bad attempts fade alike.
        """
        self.failures -= self.failures / MEMORY_SHED
        self.attempts -= self.attempts / MEMORY_SHED

    def fade(self, keep: float) -> None:
        """Keep only this share of what was seen."""
        self.failures, self.attempts = self.failures * keep, self.attempts * keep
        self._refresh()

    def _refresh(self) -> None:
        self.rate = self.failures / (self.attempts + PRIOR_SUCCESSES)
