"""The memory that messages in transit may use at a time. It does no I/O.

All that is held for peers is charged to one account: heads and bodies that are being received,
requests that wait, responses, and what a socket has not taken yet. Each limit is a part of what is
left, so that any number of peers together stay within the budget, but for a minimum each.
"""

from __future__ import annotations

import sys

MAX_BUFFERED_MESSAGE_BYTES = 65536
MIN_BUFFERED_MESSAGE_BYTES = 2048
# A window is how far a stream may be ahead of its reader.
MAX_STREAM_WINDOW_BYTES = 131072
MIN_STREAM_WINDOW_BYTES = 4096
MAX_READ_BYTES = 65536
MIN_READ_BYTES = 4096
# Parts of what is left that one more message, stream or read may take.
MESSAGE_SHARE = 1 / 4
WINDOW_SHARE = 1 / 8
READ_SHARE = 1 / 16
# Parts of the budget: messages may fill the first, streams and reads both.
MESSAGES_PART = 1 / 2
STREAMS_PART = 3 / 4
# What the program uses by itself, without any messages.
PROGRAM_BYTES = 29_000_000
# What one connection takes without any messages.
CONNECTION_BYTES = 8192
MIN_CONNECTIONS = 32
MIN_BUDGET_BYTES = 4 << 20


def budget_bytes(memory_mb: float) -> int:
    """Return how much a process that may use `memory_mb` may spend on messages in transit."""
    return max(MIN_BUDGET_BYTES, (int(memory_mb * 1_000_000) - PROGRAM_BYTES) // 2)


def connection_limit(memory_mb: float) -> int:
    """Return how many clients a process that may use `memory_mb` can have at once."""
    left_bytes = int(memory_mb * 1_000_000) - PROGRAM_BYTES
    return max(MIN_CONNECTIONS, left_bytes // 2 // CONNECTION_BYTES)


class MemoryBudget:
    """The budget of one process.

    Attributes:
        total_bytes: the budget.
        buffered_bytes: what is held now, as charged.
        stream_count: how many responses are being streamed.
        connection_count: how many clients are connected.
        ceiling_bytes: what may be held in all, as the measured memory of the process allows.
    """

    def __init__(self, total_bytes: int) -> None:
        self.total_bytes = total_bytes
        self.buffered_bytes = 0
        self.stream_count = 0
        self.connection_count = 0
        self.ceiling_bytes = sys.maxsize

    def set_headroom(self, headroom_bytes: int) -> None:
        """Allow this much more than what is held now."""
        self.ceiling_bytes = self.held_bytes + headroom_bytes

    @property
    def held_bytes(self) -> int:
        """What messages and connections hold."""
        return self.buffered_bytes + CONNECTION_BYTES * self.connection_count

    @property
    def minimum_bytes(self) -> int:
        """What connections may take whatever the limits are."""
        return MIN_READ_BYTES * self.connection_count

    def _limit(self, part: float, share: float, least: int, most: int) -> int:
        """Return a share of what is left of a part of the budget, between two bounds."""
        left = min(
            part * self.total_bytes - self.buffered_bytes,
            self.ceiling_bytes - self.held_bytes - self.minimum_bytes,
        )
        limit = share * left
        return most if limit >= most else max(least, int(limit))

    @property
    def message_limit_bytes(self) -> int:
        """How much of one more message may be buffered."""
        return self._limit(
            MESSAGES_PART, MESSAGE_SHARE, MIN_BUFFERED_MESSAGE_BYTES, MAX_BUFFERED_MESSAGE_BYTES
        )

    @property
    def stream_window_bytes(self) -> int:
        """How far a stream may be ahead of its reader now."""
        return self._limit(
            STREAMS_PART, WINDOW_SHARE, MIN_STREAM_WINDOW_BYTES, MAX_STREAM_WINDOW_BYTES
        )

    @property
    def read_limit_bytes(self) -> int:
        """How much may be read from one connection at once now."""
        return self._limit(STREAMS_PART, READ_SHARE, MIN_READ_BYTES, MAX_READ_BYTES)


class MemoryCharge:
    """What one holder has charged to a budget; a missing budget charges nothing."""

    __slots__ = ("budget", "charged_bytes")

    def __init__(self, budget: MemoryBudget | None) -> None:
        self.budget = budget
        self.charged_bytes = 0

    def set(self, held_bytes: int) -> None:
        """Charge what is held now, in place of what was held before."""
        if held_bytes != self.charged_bytes and self.budget is not None:
            self.budget.buffered_bytes += held_bytes - self.charged_bytes
            self.charged_bytes = held_bytes
