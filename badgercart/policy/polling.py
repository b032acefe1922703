"""The schedule of endpoint polls, for discovery that sends no updates by itself. No I/O."""

from __future__ import annotations

import random

from badgercart.policy.settings import Settings

# The back-off is the poll interval divided by one of these: before the first poll, after a
# successful poll, and at its maximum.
FIRST_DIVISOR = 40
SUCCESS_DIVISOR = 20
MAX_BACKOFF_DIVISOR = 4
# Minimum and spread of the random factor of a delay, without which many nodes would poll at once.
JITTER_MIN = 0.2
JITTER_SPREAD = 0.8


class EndpointPolling:
    """The back-off between polls after one has failed."""

    __slots__ = ("backoff_ms",)

    def __init__(self, settings: Settings) -> None:
        self.backoff_ms = settings.poll_interval_ms / FIRST_DIVISOR

    def next_delay_ms(self, settings: Settings, rng: random.Random) -> float:
        """Return the delay before the next poll, and double the back-off."""
        delay_ms = self.backoff_ms * (JITTER_MIN + JITTER_SPREAD * rng.random())
        self.backoff_ms = min(2 * self.backoff_ms, settings.poll_interval_ms / MAX_BACKOFF_DIVISOR)
        return delay_ms

    def reset(self, settings: Settings) -> None:
        """Reset the back-off after a successful poll."""
        self.backoff_ms = settings.poll_interval_ms / SUCCESS_DIVISOR
