"""Whether a client still takes what was written to it. No I/O."""

from __future__ import annotations

from badgercart.core.clock import MS_PER_S
from badgercart.core.streams import STALL_GRACE_MS

# The least rate of a client that counts as sound.
MIN_READ_RATE_BYTES_PER_S = 64_000
# A receiver that has closed its window opens it again once most of its buffer is free, which holds up
# to twice its window (tcp(7), `tcp_adv_win_scale`).
BUFFER_WINDOWS = 2


class ReaderProgress:
    """What a client has not taken of its responses, as found at looks at its connection."""

    __slots__ = ("last_progress_ms", "max_window_bytes", "undelivered_bytes")

    def __init__(self) -> None:
        self.undelivered_bytes = 0
        self.last_progress_ms = 0.0
        self.max_window_bytes = 0

    def begin(self, now_ms: float) -> None:
        """Note that the client has taken something up to now."""
        self.last_progress_ms = now_ms

    def observe_window(self, window_bytes: int) -> None:
        """Note how much the client's system would take at once."""
        self.max_window_bytes = max(self.max_window_bytes, window_bytes)

    @property
    def grace_ms(self) -> float:
        """For how long a client that reads slowly may show no progress.

        Its system acknowledges nothing while the client reads what fills its buffer.
        """
        buffer_bytes = BUFFER_WINDOWS * self.max_window_bytes
        return max(STALL_GRACE_MS, buffer_bytes / MIN_READ_RATE_BYTES_PER_S * MS_PER_S)

    def observe(self, undelivered_bytes: int, now_ms: float) -> float:
        """Note what is undelivered now; return for how long that has not become less (ms).

        Between two looks, more may have been written than was taken: that counts as progress too,
        since only a client that takes nothing can be told from one that is slow.
        """
        if undelivered_bytes != self.undelivered_bytes:
            self.undelivered_bytes, self.last_progress_ms = undelivered_bytes, now_ms
        return now_ms - self.last_progress_ms
