"""When to ask for the endpoints, where they come only when they are asked for. No I/O."""

from __future__ import annotations

import random

from badgercart.policy.settings import Settings

FIRST_DIVISOR, SUCCESS_DIVISOR, MAX_DIVISOR = 40, 20, 4  # of the poll interval, for the back-off
JITTER = 0.2, 0.8  # least factor and spread: calls of many nodes would meet


class EndpointPolling:
    """The back-off between calls for the endpoints that failed."""

    __slots__ = ("backoff_ms",)

    def __init__(self, settings: Settings) -> None:
        self.backoff_ms = settings.poll_interval_ms / FIRST_DIVISOR

    def next_delay_ms(self, settings: Settings, rng: random.Random) -> float:
        """Return how long to wait before the next call, and back off."""
        least, spread = JITTER
        delay_ms = self.backoff_ms * (least + spread * rng.random())
        self.backoff_ms = min(2 * self.backoff_ms, settings.poll_interval_ms / MAX_DIVISOR)
        return delay_ms

    def reset(self, settings: Settings) -> None:
        """Begin anew: the endpoints came."""
        self.backoff_ms = settings.poll_interval_ms / SUCCESS_DIVISOR
