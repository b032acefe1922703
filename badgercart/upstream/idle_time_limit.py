"""How long an idle connection is trusted. No I/O: arithmetic.

A server may close an idle connection sooner than it says, unseen until the next request is reset.
Where two connections in a row were dead that had been idle for longer than SHORT_IDLE_MS, the limit
comes down; it grows back step by step.
"""

from __future__ import annotations

import math

IDLE_MARGIN_MS = 2000.0  # ahead of the server's limit: its close must not cross a request of ours
SHORT_IDLE_MS = 100.0
IDLE_GROWTH = 1.1
MAX_STALE = 1  # connections in a row that may be dead by chance


class IdleTimeLimit:
    """The limit, as learned from connections that were used again."""

    def __init__(self, server_limit_ms: float) -> None:
        """Set up the limit by the time after which servers say that they close a connection."""
        self.server_limit_ms = math.nan
        self.consecutive_stale = 0
        self.set_server_limit(server_limit_ms)

    def set_server_limit(self, server_limit_ms: float) -> None:
        """Go by another time that servers give; what was learned is void only then."""
        if server_limit_ms == self.server_limit_ms:
            return
        self.server_limit_ms = server_limit_ms
        self.consecutive_stale = 0
        self.max_ms = max(server_limit_ms - IDLE_MARGIN_MS, server_limit_ms / 2)
        self.limit_ms = self.max_ms

    def record_reuse(self, idle_ms: float, alive: bool) -> None:
        """Learn from a connection that was used again after it had been idle for this long."""
        if idle_ms <= SHORT_IDLE_MS:
            return
        self.consecutive_stale = 0 if alive else self.consecutive_stale + 1
        if self.consecutive_stale > MAX_STALE:
            self.limit_ms = min(self.limit_ms, idle_ms)

    def grow(self) -> None:
        """Let the limit come back by one step."""
        self.limit_ms = min(self.limit_ms * IDLE_GROWTH, self.max_ms)
