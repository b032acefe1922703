"""The life of one attempt, and how long servers keep idle connections. No I/O: tables and
arithmetic."""

from __future__ import annotations

import math
from enum import IntEnum

from badgercart.policy.events import AttemptResult

# A server may close what stands idle sooner than it says, unseen until the next request is reset.
# Where two in a row that were idle for longer than SHORT_IDLE are, the limit comes down; it grows
# back step by step.
IDLE_MARGIN = 2000.0  # ms before the server's own limit: its close must not cross a request of ours
SHORT_IDLE, IDLE_GROWTH = 100.0, 1.1  # ms


class At(IntEnum):
    """Where an attempt is."""

    DIALLING = 0  # no byte has been sent
    SENT = 1  # given to the transport: it may have run, unless some of it is still there
    SENDING = 2  # the request comes in and goes on: it can't have run before its last byte
    STREAMING = 3  # the answer has begun to go on


# How an attempt may end from where it is. One that was not sent never ran, and one that was may
# have.
ENDS: dict[At, tuple[AttemptResult, ...]] = {
    At.DIALLING: (AttemptResult.UNREACHABLE, AttemptResult.CANCELLED, AttemptResult.NOT_SENT),
    At.SENT: (
        AttemptResult.OK,
        AttemptResult.ERROR,
        AttemptResult.FULL,
        AttemptResult.RESET,
        AttemptResult.TIMEOUT,
        AttemptResult.CANCELLED,
    ),
    At.SENDING: (
        AttemptResult.OK,
        AttemptResult.ERROR,
        AttemptResult.FULL,
        AttemptResult.UNREACHABLE,
        AttemptResult.CANCELLED,
    ),
    At.STREAMING: (
        AttemptResult.OK,
        AttemptResult.ERROR,
        AttemptResult.RESET,
        AttemptResult.TIMEOUT,
        AttemptResult.CANCELLED,
    ),
}
OVERDUE = {
    At.DIALLING: AttemptResult.UNREACHABLE,
    At.SENT: AttemptResult.TIMEOUT,
    At.SENDING: AttemptResult.UNREACHABLE,
    At.STREAMING: AttemptResult.TIMEOUT,
}
BROKEN = {
    At.SENT: AttemptResult.RESET,
    At.SENDING: AttemptResult.UNREACHABLE,
    At.STREAMING: AttemptResult.RESET,
}


def hindrance(wanted: bool, fit: bool, left: float) -> AttemptResult | None:
    """Why an attempt that has not begun may not be written now, as the end that it has; None: it
    may.

    `wanted`: its request still waits; `fit`: its server may get something new; `left`: ms of its
    time.
    """
    if not wanted:
        return AttemptResult.NOT_SENT
    return None if fit and left > 0 else AttemptResult.UNREACHABLE


def check_end(at: At, result: AttemptResult) -> None:
    """RuntimeError where an attempt can't end so from there."""
    if result not in ENDS[at]:
        raise RuntimeError(f"an attempt that is {at.name} can't end as {result.name}")


class IdleLimit:
    """For how long an idle connection is trusted, in ms, as learned from those that were dead."""

    def __init__(self, told: float) -> None:
        """`told`: the time after which servers say that they close one (ms)."""
        self.told = math.nan
        self.stale = 0  # connections in a row that were dead after standing idle
        self.retell(told)

    def retell(self, told: float) -> None:
        """Servers say another time from now on; what was learned is void only then."""
        if told != self.told:
            self.told, self.stale = told, 0
            self.most = self.ms = max(told - IDLE_MARGIN, told / 2)

    def reused(self, idled: float, alive: bool) -> None:
        """A connection that had stood idle for so many ms was used again."""
        if idled > SHORT_IDLE:
            self.stale = 0 if alive else self.stale + 1
            if self.stale > 1:
                self.ms = min(self.ms, idled)

    def grow(self) -> None:
        self.ms = min(self.ms * IDLE_GROWTH, self.most)
