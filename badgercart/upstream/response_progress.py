"""How a server goes on with a response, and when one that may be short has stopped. It does no I/O.

A response counts as answered by its last byte; one of over `MAX_BODY_BYTES` by its first. Where its
length is not stated, which of the two it is shows only when it grows over that, or ends.
"""

from __future__ import annotations

import math

from badgercart.core.clock import MAX_HOLD_UP_MS, MS_PER_S

# A final response may be written this long after the client's deadline.
RESPONSE_SLACK_MS = 500.0
# A server that adds nothing to its response for this long past the deadline has stopped.
# The process may be held up for the rest of the slack.
MAX_SILENCE_MS = RESPONSE_SLACK_MS - MAX_HOLD_UP_MS
# So has one that sends its body more slowly on average: half of the rate of slow peers.
MIN_RESPONSE_RATE_BYTES_PER_S = 32_000


class ResponseProgress:
    """When the body of one response began, and when it last grew. Times are in ms on one clock."""

    __slots__ = ("body_bytes", "body_started_ms", "last_growth_ms")

    def __init__(self) -> None:
        self.reset()

    def reset(self) -> None:
        """Start before the first byte of a response."""
        self.body_bytes = 0
        self.body_started_ms = self.last_growth_ms = math.inf

    def observe(self, body_bytes: int, now_ms: float) -> None:
        """Note how many bytes of the body have arrived, once the header section is complete."""
        if body_bytes and not self.body_bytes:
            self.body_started_ms = now_ms
        if body_bytes > self.body_bytes or self.last_growth_ms == math.inf:
            self.last_growth_ms = now_ms
        self.body_bytes = body_bytes

    @property
    def stops_at_ms(self) -> float:
        """When the response counts as stopped, unless more of it arrives."""
        transfer_ms = self.body_bytes / MIN_RESPONSE_RATE_BYTES_PER_S * MS_PER_S
        return min(self.last_growth_ms, self.body_started_ms + transfer_ms) + MAX_SILENCE_MS
