"""The failure rate of recent attempts. No I/O."""

from __future__ import annotations

# Number of attempts over which the weight of older attempts decays by a factor of e.
MEMORY_ATTEMPTS = 33.0
# Number of shed requests over which the weight of earlier attempts decays by a factor of e.
MEMORY_SHED = 100.0
# Successes that are added to the attempts counted, since a few failures by chance are no overload.
PRIOR_SUCCESSES = 4.0
CONNECT_GAIN = 0.1  # weight of one attempt in the connect failure rate


class ErrorRate:
    """Failures among recent attempts, whose weight decays with attempts, time and shed requests.

    Attributes:
        attempts: recent attempts, by their weight.
        failures: failures among them, by their weight.
        rate: the failure rate.
        connect_failure_rate: the share of recent attempts that got no connection.
    """

    __slots__ = ("attempts", "connect_failure_rate", "failures", "rate")

    def __init__(self) -> None:
        self.attempts = 0.0
        self.failures = 0.0
        self.rate = 0.0
        self.connect_failure_rate = 0.0

    def record(self, failed: bool, weight: float, connected: bool) -> None:
        """Count an attempt that has ended; a failure counts by its weight, 0 to 1."""
        self.connect_failure_rate += CONNECT_GAIN * ((not connected) - self.connect_failure_rate)
        self.attempts += 1.0 - self.attempts / MEMORY_ATTEMPTS
        self.failures += weight * failed - self.failures / MEMORY_ATTEMPTS
        self._refresh()

    def record_shed(self) -> None:
        """Decay the weight of earlier attempts with a shed request.

        A shed request carries no information about endpoint health. Without this decay a threshold
        that sheds nearly everything would stay up: there are hardly any new attempts, and the decay
        with attempts affects failures and successes alike.
        """
        self.failures -= self.failures / MEMORY_SHED
        self.attempts -= self.attempts / MEMORY_SHED

    def decay(self, keep: float) -> None:
        """Keep only this share of the weight of earlier attempts."""
        self.failures, self.attempts = self.failures * keep, self.attempts * keep
        self._refresh()

    def _refresh(self) -> None:
        self.rate = self.failures / (self.attempts + PRIOR_SUCCESSES)
