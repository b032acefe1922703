"""The memory that messages in transit may use at a time. It does no I/O.

Half of the budget is for messages that are buffered completely, so that another attempt stays
possible; half is for the windows of streamed bodies.
"""

from __future__ import annotations

MAX_BUFFERED_MESSAGE_BYTES = 65536
MIN_BUFFERED_MESSAGE_BYTES = 2048
# A window is how far a stream may be ahead of its reader.
MAX_STREAM_WINDOW_BYTES = 131072
MIN_STREAM_WINDOW_BYTES = 4096
# What the program uses by itself, without any messages.
PROGRAM_BYTES = 24 << 20
MIN_BUDGET_BYTES = 4 << 20


def budget_bytes(memory_mb: float) -> int:
    """Return how much a process that may use `memory_mb` may spend on messages in transit."""
    return max(MIN_BUDGET_BYTES, (int(memory_mb * 1_000_000) - PROGRAM_BYTES) // 2)


class MemoryBudget:
    """The budget of one process.

    The window shrinks with the number of streams, the limit of a buffered message with the bytes
    that are buffered already.
    """

    def __init__(self, total_bytes: int) -> None:
        self.total_bytes = total_bytes
        self.buffered_bytes = 0
        self.stream_count = 0

    @property
    def message_limit_bytes(self) -> int:
        """How much of one more message may be buffered."""
        return min(
            MAX_BUFFERED_MESSAGE_BYTES,
            max(MIN_BUFFERED_MESSAGE_BYTES, (self.total_bytes // 2 - self.buffered_bytes) // 4),
        )

    @property
    def stream_window_bytes(self) -> int:
        """How far each stream may be ahead of its reader now."""
        return min(
            MAX_STREAM_WINDOW_BYTES,
            max(MIN_STREAM_WINDOW_BYTES, self.total_bytes // 4 // max(self.stream_count, 1)),
        )
