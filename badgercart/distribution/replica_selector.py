"""Selects the replica that a follower connects to, and the time of the connection."""

from __future__ import annotations

import random
from dataclasses import dataclass

# More doublings would exceed any maximum of the window.
MAX_WINDOW_DOUBLINGS = 32


@dataclass(slots=True, frozen=True)
class FollowerTiming:
    """Timeouts and intervals of a follower.

    Attributes:
        silence_timeout_ms: a replica that sends no message for this long is abandoned.
        connect_timeout_ms: the timeout of a dial.
        answer_timeout_ms: the timeout for the next message about awaited topics.
        reconnect_window_ms: a lost replica is replaced at a time drawn uniformly from this window.
        max_reconnect_window_ms: the limit of the window, which each failure doubles.
        max_lag_ms: a replica without a leader for this long is abandoned within the window.
    """

    silence_timeout_ms: float = 1500.0
    connect_timeout_ms: float = 1000.0
    answer_timeout_ms: float = 5000.0
    reconnect_window_ms: float = 2000.0
    max_reconnect_window_ms: float = 30_000.0
    max_lag_ms: float = 3000.0


class ReplicaSelector:
    """Selects replicas in round-robin order, shuffled for each follower.

    Each follower draws its reconnect times from the complete window, so that thousands of followers
    that lose a replica at the same time don't connect to the next one together.

    Attributes:
        failures: the number of failed connections in a row, which did not prove the topics fresh.
        order: the positions of the replicas in the order of selection.
    """

    __slots__ = ("_position", "_random", "_timing", "failures", "order")

    def __init__(self, count: int, timing: FollowerTiming, rng: random.Random) -> None:
        if count < 1:
            detail = "there is no store to follow"
            raise ValueError(detail)
        self._timing = timing
        self._random = rng
        self.order = list(range(count))
        rng.shuffle(self.order)
        self._position = 0
        self.failures = 0

    @property
    def current(self) -> int:
        """The position of the selected replica."""
        return self.order[self._position]

    @property
    def has_alternative(self) -> bool:
        """Whether there is another replica."""
        return len(self.order) > 1

    def draw_reconnect_time_ms(self, now_ms: float) -> float:
        """Return a time drawn uniformly from the reconnect window that begins now."""
        timing = self._timing
        window_ms = timing.reconnect_window_ms * 2.0 ** min(self.failures, MAX_WINDOW_DOUBLINGS)
        return now_ms + self._random.uniform(0.0, min(window_ms, timing.max_reconnect_window_ms))

    def record_failure(self) -> None:
        """Select the next replica, after the current one was lost or abandoned."""
        self.failures += 1
        self._position = (self._position + 1) % len(self.order)

    def record_success(self) -> None:
        """Reset the reconnect window, after a connection has proven the topics fresh."""
        self.failures = 0
