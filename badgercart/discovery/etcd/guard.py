"""Holds back a list that lost most of its servers at once.

That is more likely a mistake than a fleet that left. The rule: take the highest number of servers
that was listed within the last `COUNT_WINDOW_MS`. If it is `MIN_GUARDED_SERVERS` or more and fewer
than `share` of it would be left, the missing servers are kept as they were. Drains and additions
take effect at once, and so does every change while the operator's override exists: the key
`<prefix>.shrink-allowed`, whatever its value. The hold ends when enough servers are listed again.

This module does no I/O.
"""

from __future__ import annotations

from collections import deque

COUNT_WINDOW_MS = 60000.0
# All servers of a smaller fleet may leave at once.
MIN_GUARDED_SERVERS = 3
SHRINK_ALLOWED_KEY = ".shrink-allowed"


class ShrinkGuard:
    """Decides whether a shorter list may take effect."""

    def __init__(self, share: float) -> None:
        """Take the share of the servers that must be left."""
        self.share = share
        # Times (ms) and numbers of servers within the window. The numbers fall, so that the first
        # is the highest.
        self.counts: deque[tuple[float, int]] = deque()
        self.holding = False

    def allows(self, listed: int, now_ms: float, override: bool) -> bool:
        """Return whether a list of so many servers may take effect completely."""
        while self.counts and self.counts[0][0] <= now_ms - COUNT_WINDOW_MS and not self.holding:
            self.counts.popleft()
        highest = self.counts[0][1] if self.counts else listed
        if override:
            self.counts.clear()
        self.holding = (
            not override and highest >= MIN_GUARDED_SERVERS and listed < self.share * highest
        )
        if not self.holding:
            while self.counts and self.counts[-1][1] <= listed:
                self.counts.pop()
            self.counts.append((now_ms, listed))
        return not self.holding
