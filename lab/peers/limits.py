"""Concurrency limits and the retry budget of a node.

Limits bound the attempts in flight, the budget bounds the retries.
"""

from __future__ import annotations

from collections.abc import Callable

from lab.peers.base import Limit

MIN_LIMIT = 20.0  # attempts in flight
MAX_LIMIT = 1000.0
INITIAL_LIMIT = 20.0


class Aimd:
    """The AIMDLimit of Netflix's concurrency-limits.

    The limit falls by a tenth at each drop and rises by one while at least half of it is in use.
    """

    BACKOFF_FACTOR = 0.9
    DROP_LATENCY_MS = 5000.0  # an answer that takes longer counts as a drop

    def __init__(self) -> None:
        self.limit = INITIAL_LIMIT

    def allows(self, in_flight: int) -> bool:
        """Return whether another attempt may be sent."""
        return in_flight < self.limit

    def ended(self, now_ms: float, elapsed_ms: float, dropped: bool, in_flight: int) -> None:
        """Adapt the limit to the result of an attempt."""
        if dropped or elapsed_ms > self.DROP_LATENCY_MS:
            self.limit *= self.BACKOFF_FACTOR
        elif in_flight * 2 >= self.limit:
            self.limit += 1
        self.limit = min(max(self.limit, MIN_LIMIT), MAX_LIMIT)


class Gradient:
    """The Gradient2Limit of Netflix's concurrency-limits.

    The limit follows the ratio of the long-term latency to the latency of the last answer.
    """

    WINDOW_ANSWERS = 600  # span of the long-term average
    WARM_UP_ANSWERS = 10  # answers over which the average starts as a plain mean
    TOLERANCE = 1.5
    SMOOTHING = 0.2
    QUEUE_SIZE = 4.0  # attempts allowed above the estimate

    def __init__(self) -> None:
        self.limit, self.long_latency_ms = INITIAL_LIMIT, 0.0
        self.warm_up_count, self.warm_up_sum_ms = 0, 0.0

    def allows(self, in_flight: int) -> bool:
        """Return whether another attempt may be sent."""
        return in_flight < self.limit

    def ended(self, now_ms: float, elapsed_ms: float, dropped: bool, in_flight: int) -> None:
        """Adapt the limit to the latency of an attempt."""
        short_latency_ms = max(elapsed_ms, 1e-3)
        if self.warm_up_count < self.WARM_UP_ANSWERS:
            self.warm_up_count += 1
            self.warm_up_sum_ms += short_latency_ms
            self.long_latency_ms = self.warm_up_sum_ms / self.warm_up_count
        else:
            self.long_latency_ms += (
                2 / (self.WINDOW_ANSWERS + 1) * (short_latency_ms - self.long_latency_ms)
            )
        # Congestion has raised the long-term average too far: bring it back sooner.
        if self.long_latency_ms / short_latency_ms > 2:
            self.long_latency_ms *= 0.95
        if in_flight < self.limit / 2:
            return
        gradient = max(0.5, min(1.0, self.TOLERANCE * self.long_latency_ms / short_latency_ms))
        estimate = self.limit * gradient + self.QUEUE_SIZE
        self.limit = min(
            max(self.limit * (1 - self.SMOOTHING) + estimate * self.SMOOTHING, MIN_LIMIT), MAX_LIMIT
        )


class RetryBudget:
    """Finagle's RetryBudget.

    Retries may be a share of the requests of the last 10 s, and 10 a second on top.
    """

    WINDOW_S = 10
    FREE_RETRIES_PER_S = 10.0

    def __init__(self, retry_share: float) -> None:
        self.retry_share = retry_share
        # One slot for each second: what requests deposited minus what retries withdrew.
        self.balances = [0.0] * self.WINDOW_S
        self.second = 0

    def advance_to(self, now_ms: float) -> int:
        """Clear the slots of the seconds passed since; return the current slot's index."""
        second = int(now_ms / 1000)
        for passed in range(self.second + 1, min(second, self.second + self.WINDOW_S) + 1):
            self.balances[passed % self.WINDOW_S] = 0.0
        self.second = max(self.second, second)
        return self.second % self.WINDOW_S

    def request(self, now_ms: float) -> None:
        """Deposit the share of a request."""
        self.balances[self.advance_to(now_ms)] += self.retry_share

    def take(self, now_ms: float) -> bool:
        """Withdraw one retry; return False if the budget is exhausted."""
        slot = self.advance_to(now_ms)
        if sum(self.balances) + self.FREE_RETRIES_PER_S * self.WINDOW_S < 1.0:
            return False
        self.balances[slot] -= 1.0
        return True


LIMITS: dict[str, Callable[[], Limit]] = {"aimd": Aimd, "gradient": Gradient}
