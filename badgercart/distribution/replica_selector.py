"""Which replica a follower turns to, and when."""

from __future__ import annotations

import random
from dataclasses import dataclass

MAX_WINDOW_DOUBLINGS = 32  # of the window; more would be past any bound


@dataclass(slots=True, frozen=True)
class FollowerTiming:
    """Timeouts and intervals of a follower."""

    silence_timeout_ms: float = 1500.0  # a replica that says nothing for that long is left
    connect_timeout_ms: float = 1000.0
    answer_timeout_ms: float = 5000.0  # for the next message on what was subscribed to
    reconnect_window_ms: float = 2000.0  # a lost replica is replaced at a time drawn from all of it
    max_reconnect_window_ms: float = 30_000.0  # after failures, each of which doubles the window
    max_lag_ms: float = (
        3000.0  # a replica without a leader for that long is left, within the window
    )


class ReplicaSelector:
    """Goes around all replicas in an order drawn for this follower alone.

    Each follower draws its times from the whole window, so that thousands that lose a replica at
    once don't come to the next one together.
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
        self.failures = 0  # connections in a row that proved nothing

    @property
    def current(self) -> int:
        """The replica to be followed."""
        return self.order[self._position]

    @property
    def has_alternative(self) -> bool:
        """Whether there is another replica."""
        return len(self.order) > 1

    def draw_reconnect_time_ms(self, now_ms: float) -> float:
        """Return a time drawn from the window that begins now."""
        timing = self._timing
        window_ms = timing.reconnect_window_ms * 2.0 ** min(self.failures, MAX_WINDOW_DOUBLINGS)
        return now_ms + self._random.uniform(0.0, min(window_ms, timing.max_reconnect_window_ms))

    def record_failure(self) -> None:
        """Turn to the next replica, after this one was lost or left."""
        self.failures += 1
        self._position = (self._position + 1) % len(self.order)

    def record_success(self) -> None:
        """Begin anew with the shortest window."""
        self.failures = 0
