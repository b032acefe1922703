"""Holds back a list that lost most of its servers at once: sooner a mistake than a fleet that left.
No I/O.

The rule: where fewer than `share` of the most servers that were listed within the last `COUNT_WINDOW_MS` ms
would be left, and they were `MIN_GUARDED_SERVERS` or more, those that are missing stay as they were. Drains and
additions count at once, and so does everything while the operator's override is there: the key
`<prefix>.shrink-allowed`, whatever its value. The hold ends when enough servers are listed again.
"""

from __future__ import annotations

from collections import deque

COUNT_WINDOW_MS = 60000.0  # ms
MIN_GUARDED_SERVERS = 3  # servers; a smaller fleet may well leave at once
SHRINK_ALLOWED_KEY = ".shrink-allowed"


class ShrinkGuard:
    def __init__(self, share: float) -> None:
        self.share = share
        self.counts: deque[tuple[float, int]] = (
            deque()
        )  # falling counts and their times: the first is the most
        self.holding = False

    def allows(self, listed: int, now: float, override: bool) -> bool:
        """Whether a list of so many servers may take effect as a whole."""
        while self.counts and self.counts[0][0] <= now - COUNT_WINDOW_MS and not self.holding:
            self.counts.popleft()
        most = self.counts[0][1] if self.counts else listed
        if override:
            self.counts.clear()
        self.holding = not override and most >= MIN_GUARDED_SERVERS and listed < self.share * most
        if not self.holding:
            while self.counts and self.counts[-1][1] <= listed:
                self.counts.pop()
            self.counts.append((now, listed))
        return not self.holding
