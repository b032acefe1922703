"""How much of what passes through may be held at a time. No I/O: counts and divisions.

Half of the room is for messages that are held whole, so that another attempt stays possible; half
is for the windows of those that go on as they come.
"""

from __future__ import annotations

HOLD = 65536  # bytes of a message that is held
LEAST_HOLD = 2048
WINDOW = 131072  # bytes that a stream may be ahead of its reader
LEAST_WINDOW = 4096
PROGRAM = 24 << 20  # bytes that the program takes by itself
LEAST_ROOM = 4 << 20


def budget_bytes(memory_mb: float) -> int:
    """Bytes that may be held by a process that may take so much memory."""
    return max(LEAST_ROOM, (int(memory_mb * 1_000_000) - PROGRAM) // 2)


class MemoryBudget:
    """The room of one process. Windows shrink with the number of streams, holds with what is
    held."""

    def __init__(self, total: int) -> None:
        self.total = total
        self.held = 0  # bytes of messages that are held
        self.streams = 0

    @property
    def hold(self) -> int:
        """Bytes that one more message may be held up to."""
        return min(HOLD, max(LEAST_HOLD, (self.total // 2 - self.held) // 4))

    @property
    def window(self) -> int:
        """Bytes that each stream may be ahead of its reader now."""
        return min(WINDOW, max(LEAST_WINDOW, self.total // 4 // max(self.streams, 1)))
