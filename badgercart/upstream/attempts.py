"""The life of one attempt, and how long servers keep idle connections. No I/O: tables and
arithmetic."""

from __future__ import annotations

import math
from enum import IntEnum

from badgercart.policy.events import AttemptResult

# A server may close what stands idle sooner than it says, unseen until the next request is reset.
# Where two in a row that were idle for longer than SHORT_IDLE are, the limit comes down; it grows
# back step by step.
IDLE_MARGIN_MS = (
    2000.0  # ms before the server's own limit: its close must not cross a request of ours
)
SHORT_IDLE_MS, IDLE_GROWTH_RATIO = 100.0, 1.1  # ms


class AttemptPhase(IntEnum):
    """Where an attempt is."""

    CONNECTING = 0  # no byte has been sent
    SENT = 1  # given to the transport: it may have run, unless some of it is still there
    STREAMING_REQUEST = (
        2  # the request comes in and goes on: it can't have run before its last byte
    )
    STREAMING_RESPONSE = 3  # the answer has begun to go on


# How an attempt may end from where it is. One that was not sent never ran, and one that was may
# have.
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
    ),
    AttemptPhase.STREAMING_RESPONSE: (
        AttemptResult.OK,
        AttemptResult.ERROR,
        AttemptResult.RESET,
        AttemptResult.TIMEOUT,
        AttemptResult.CANCELLED,
    ),
}
TIMEOUT_RESULTS = {
    AttemptPhase.CONNECTING: AttemptResult.UNREACHABLE,
    AttemptPhase.SENT: AttemptResult.TIMEOUT,
    AttemptPhase.STREAMING_REQUEST: AttemptResult.UNREACHABLE,
    AttemptPhase.STREAMING_RESPONSE: AttemptResult.TIMEOUT,
}
CONNECTION_LOST_RESULTS = {
    AttemptPhase.SENT: AttemptResult.RESET,
    AttemptPhase.STREAMING_REQUEST: AttemptResult.UNREACHABLE,
    AttemptPhase.STREAMING_RESPONSE: AttemptResult.RESET,
}


def result_if_blocked(
    is_awaited: bool, server_usable: bool, remaining_ms: float
) -> AttemptResult | None:
    """Why an attempt that has not begun may not be written now, as the end that it has; None: it
    may.

    `wanted`: its request still waits; `fit`: its server may get something new; `left`: ms of its
    time.
    """
    if not is_awaited:
        return AttemptResult.NOT_SENT
    return None if server_usable and remaining_ms > 0 else AttemptResult.UNREACHABLE


def check_result(phase: AttemptPhase, result: AttemptResult) -> None:
    """RuntimeError where an attempt can't end so from there."""
    if result not in POSSIBLE_RESULTS[phase]:
        raise RuntimeError(f"an attempt that is {phase.name} can't end as {result.name}")


class IdleTimeout:
    """For how long an idle connection is trusted, in ms, as learned from those that were dead."""

    def __init__(self, announced_ms: float) -> None:
        """`told`: the time after which servers say that they close one (ms)."""
        self.announced_ms = math.nan
        self.consecutive_stale = 0  # connections in a row that were dead after standing idle
        self.set_announced(announced_ms)

    def set_announced(self, announced_ms: float) -> None:
        """Servers say another time from now on; what was learned is void only then."""
        if announced_ms != self.announced_ms:
            self.announced_ms, self.consecutive_stale = announced_ms, 0
            self.max_ms = self.limit_ms = max(announced_ms - IDLE_MARGIN_MS, announced_ms / 2)

    def record_reuse(self, idle_ms: float, alive: bool) -> None:
        """A connection that had stood idle for so many ms was used again."""
        if idle_ms > SHORT_IDLE_MS:
            self.consecutive_stale = 0 if alive else self.consecutive_stale + 1
            if self.consecutive_stale > 1:
                self.limit_ms = min(self.limit_ms, idle_ms)

    def grow(self) -> None:
        self.limit_ms = min(self.limit_ms * IDLE_GROWTH_RATIO, self.max_ms)
