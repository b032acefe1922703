"""The phases of an attempt, and the timeout of idle connections. It does no I/O."""

from __future__ import annotations

import math
from enum import IntEnum

from badgercart.policy.events import AttemptResult

# Subtracted from the server's own idle timeout, so that its close does not cross a request.
IDLE_MARGIN_MS = 2000.0
# A server may close an idle connection sooner than it announces, which is noticed only when the
# next request is reset. After two such resets in a row, on connections that were idle for longer
# than SHORT_IDLE_MS, the timeout is reduced; it grows back by IDLE_GROWTH_RATIO at each step.
SHORT_IDLE_MS = 100.0
IDLE_GROWTH_RATIO = 1.1


class AttemptPhase(IntEnum):
    """How far an attempt has got."""

    # No byte has been sent.
    CONNECTING = 0
    # Written to the transport: it may have been executed, unless some of it is still buffered.
    SENT = 1
    # The request is streamed: it can't have been executed before its last byte.
    STREAMING_REQUEST = 2
    # The response is streamed.
    STREAMING_RESPONSE = 3


# The results that an attempt may have by its phase. One that was not sent was never executed; one
# that was sent may have been.
POSSIBLE_RESULTS: dict[AttemptPhase, tuple[AttemptResult, ...]] = {
    AttemptPhase.CONNECTING: (
        AttemptResult.UNREACHABLE,
        AttemptResult.CANCELLED,
        AttemptResult.NOT_SENT,
    ),
    AttemptPhase.SENT: (
        AttemptResult.OK,
        AttemptResult.ERROR,
        AttemptResult.FULL,
        AttemptResult.RESET,
        AttemptResult.TIMEOUT,
        AttemptResult.CANCELLED,
    ),
    AttemptPhase.STREAMING_REQUEST: (
        AttemptResult.OK,
        AttemptResult.ERROR,
        AttemptResult.FULL,
        AttemptResult.UNREACHABLE,
        AttemptResult.CANCELLED,
        AttemptResult.NOT_SENT,
    ),
    AttemptPhase.STREAMING_RESPONSE: (
        AttemptResult.OK,
        AttemptResult.ERROR,
        AttemptResult.RESET,
        AttemptResult.TIMEOUT,
        AttemptResult.CANCELLED,
    ),
}
# The result of an attempt whose time is over.
TIMEOUT_RESULTS = {
    AttemptPhase.CONNECTING: AttemptResult.UNREACHABLE,
    AttemptPhase.SENT: AttemptResult.TIMEOUT,
    AttemptPhase.STREAMING_REQUEST: AttemptResult.UNREACHABLE,
    AttemptPhase.STREAMING_RESPONSE: AttemptResult.TIMEOUT,
}
# The result of an attempt whose connection is lost.
CONNECTION_LOST_RESULTS = {
    AttemptPhase.SENT: AttemptResult.RESET,
    AttemptPhase.STREAMING_REQUEST: AttemptResult.UNREACHABLE,
    AttemptPhase.STREAMING_RESPONSE: AttemptResult.RESET,
}


def result_if_blocked(
    is_awaited: bool, server_usable: bool, remaining_ms: float, repeat_remaining_ms: float
) -> AttemptResult | None:
    """Return the result of an attempt that may not be written any more; None: it may be.

    `is_awaited` says whether its request is still in flight, `server_usable` whether its server
    may get new requests, `remaining_ms` how much of its time is left, and `repeat_remaining_ms` how
    much of the time in which servers recognize it as a repeat.
    """
    if not is_awaited:
        return AttemptResult.NOT_SENT
    if not server_usable or remaining_ms <= 0:
        return AttemptResult.UNREACHABLE
    return None if repeat_remaining_ms > 0 else AttemptResult.NOT_SENT


def check_result(phase: AttemptPhase, result: AttemptResult) -> None:
    """Raise RuntimeError where an attempt in this phase can't have this result."""
    if result not in POSSIBLE_RESULTS[phase]:
        raise RuntimeError(f"an attempt in phase {phase.name} can't end as {result.name}")


class IdleTimeout:
    """How long an idle connection is reused, as learned from connections that turned out dead.

    `announced_ms` is the time after which servers say that they close an idle connection.
    """

    def __init__(self, announced_ms: float) -> None:
        self.announced_ms = math.nan
        self.consecutive_stale = 0  # connections in a row that were dead after being idle
        self.set_announced(announced_ms)

    def set_announced(self, announced_ms: float) -> None:
        """Set what servers announce; only a change of it resets what was learned."""
        if announced_ms != self.announced_ms:
            self.announced_ms, self.consecutive_stale = announced_ms, 0
            self.max_ms = self.limit_ms = max(announced_ms - IDLE_MARGIN_MS, announced_ms / 2)

    def record_reuse(self, idle_ms: float, alive: bool) -> None:
        """Learn from a connection that was used again after being idle for `idle_ms`."""
        if idle_ms > SHORT_IDLE_MS:
            self.consecutive_stale = 0 if alive else self.consecutive_stale + 1
            if self.consecutive_stale > 1:
                self.limit_ms = min(self.limit_ms, idle_ms)

    def grow(self) -> None:
        """Increase the timeout by one step, up to its maximum."""
        self.limit_ms = min(self.limit_ms * IDLE_GROWTH_RATIO, self.max_ms)
