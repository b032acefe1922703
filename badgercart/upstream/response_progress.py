"""How a server goes on with a response, and when one that may be short has stopped. It does no I/O.

A response counts as answered by its last byte; one of over `MAX_BODY_BYTES` by its first. Where its
length is not stated, which of the two it is shows only when it grows over that, or ends.

A server that pauses and one that hangs look alike until more arrives. So a response that may be
short counts as stopped at the last moment at which its client can still be told in time, and only
if nothing has arrived since the client's time was over.
"""

from __future__ import annotations

import math

from badgercart.core.clock import MAX_HOLD_UP_MS

# A final response may be written this long after the client's time.
RESPONSE_SLACK_MS = 500.0
# From the client's time to the decision. The process may be held up for the rest of the slack.
STOP_DECISION_DELAY_MS = RESPONSE_SLACK_MS - MAX_HOLD_UP_MS


class ResponseProgress:
    """When the body of one response last grew. Times are in ms on one clock."""

    __slots__ = ("body_bytes", "last_growth_ms", "reading_since_ms")

    def __init__(self) -> None:
        self.reset()

    def reset(self) -> None:
        """Start before the first byte of a response."""
        self.body_bytes = 0
        self.last_growth_ms = math.inf
        self.reading_since_ms = -math.inf  # reading was paused until then

    def observe(self, body_bytes: int, now_ms: float) -> None:
        """Note how many bytes of the body have arrived, once the header section is complete."""
        if body_bytes > self.body_bytes or self.last_growth_ms == math.inf:
            self.last_growth_ms = now_ms
        self.body_bytes = body_bytes

    def reading_resumed(self, now_ms: float) -> None:
        """Note that the response is read on: what its server wrote meanwhile may not show yet."""
        self.reading_since_ms = now_ms

    def stops_at_ms(self, client_time_ms: float, has_length: bool) -> float:
        """Return when the response counts as stopped, unless more of it arrives; infinite: never.

        Args:
            client_time_ms: when the client's time is over.
            has_length: whether the response states its length, so that it is known to be short and
                late. Without, one that grows past the client's time is still being written.
        """
        if not has_length and self.last_growth_ms >= client_time_ms:
            return math.inf
        return max(client_time_ms, self.reading_since_ms) + STOP_DECISION_DELAY_MS
