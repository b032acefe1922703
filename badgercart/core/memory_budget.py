"""How many bytes of bodies a process may hold. No I/O: counts and divisions.

Half of the budget is for messages that are buffered whole, so that another attempt stays possible;
half is for the windows of those that are streamed.
"""

from __future__ import annotations

MAX_BUFFERED_BYTES = 65536  # of one message
MIN_BUFFERED_BYTES = 2048
MAX_WINDOW_BYTES = 131072  # that a stream may be ahead of its reader
MIN_WINDOW_BYTES = 4096
PROGRAM_BYTES = 24 << 20  # of a process that holds no body
MIN_BUDGET_BYTES = 4 << 20


def budget_bytes(memory_mb: float) -> int:
    """Return how many bytes of bodies a process of so much memory may hold."""
    return max(MIN_BUDGET_BYTES, (int(memory_mb * 1_000_000) - PROGRAM_BYTES) // 2)


class MemoryBudget:
    """The budget of one process: windows shrink with the streams, buffers with what is buffered."""

    def __init__(self, total_bytes: int) -> None:
        """Set up a budget of which nothing is used."""
        self.total_bytes = total_bytes
        self.buffered_bytes = 0
        self.streams = 0

    @property
    def buffer_limit_bytes(self) -> int:
        """Bytes up to which one more message may be buffered."""
        free_bytes = self.total_bytes // 2 - self.buffered_bytes
        return min(MAX_BUFFERED_BYTES, max(MIN_BUFFERED_BYTES, free_bytes // 4))

    @property
    def window_bytes(self) -> int:
        """Bytes that each stream may be ahead of its reader at present."""
        share_bytes = self.total_bytes // 4 // max(self.streams, 1)
        return min(MAX_WINDOW_BYTES, max(MIN_WINDOW_BYTES, share_bytes))
