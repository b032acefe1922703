"""How much of what passes through may be held at a time. No I/O: counts and divisions.

Half of the room is for messages that are held whole, so that another attempt stays possible; half
is for the windows of those that go on as they come.
"""

from __future__ import annotations

MAX_BUFFERED_MESSAGE_BYTES = 65536  # bytes of a message that is held
MIN_BUFFERED_MESSAGE_BYTES = 2048
MAX_STREAM_WINDOW_BYTES = 131072  # bytes that a stream may be ahead of its reader
MIN_STREAM_WINDOW_BYTES = 4096
PROGRAM_BYTES = 24 << 20  # bytes that the program takes by itself
MIN_BUDGET_BYTES = 4 << 20


def budget_bytes(memory_mb: float) -> int:
    """Bytes that may be held by a process that may take so much memory."""
    return max(MIN_BUDGET_BYTES, (int(memory_mb * 1_000_000) - PROGRAM_BYTES) // 2)


class MemoryBudget:
    """The room of one process. Windows shrink with the number of streams, holds with what is
    held."""

    def __init__(self, total_bytes: int) -> None:
        self.total_bytes = total_bytes
        self.buffered_bytes = 0  # bytes of messages that are held
        self.stream_count = 0

    @property
    def message_limit_bytes(self) -> int:
        """Bytes that one more message may be held up to."""
        return min(
            MAX_BUFFERED_MESSAGE_BYTES,
            max(MIN_BUFFERED_MESSAGE_BYTES, (self.total_bytes // 2 - self.buffered_bytes) // 4),
        )

    @property
    def stream_window_bytes(self) -> int:
        """Bytes that each stream may be ahead of its reader now."""
        return min(
            MAX_STREAM_WINDOW_BYTES,
            max(MIN_STREAM_WINDOW_BYTES, self.total_bytes // 4 // max(self.stream_count, 1)),
        )
