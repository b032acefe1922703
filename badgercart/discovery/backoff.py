"""Decides when discovery is called again, and when a second call is opened beside a silent one.

A change that a lost watch missed must be known 6 s after the watch fell silent, and any other
change 6 s after discovery had it and could be reached, however many calls fail in between.
Therefore the time is shared between calls, counted from start to start: a call that returns nothing
is not waited for. The next one is opened beside it, and the first that returns a list is kept. A
slow service may still respond to the earlier one. `docs/design/ends.md` adds up the worst cases.

This module does no I/O. Times are in seconds.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

# Delay before the first retry after a watch that worked for a while.
INITIAL_RETRY_DELAY_S = 0.05
# The first calls that return nothing are followed by another after the shorter wait; later ones
# after the longer wait, to reduce the load on the service.
EARLY_CALLS = 2
# Calls that are open at once. To open another, the second is dropped, or the first if it has
# returned nothing for OLDEST_CALL_TIMEOUT_S.
MAX_OPEN_CALLS = 3
OLDEST_CALL_TIMEOUT_S = 10.0


@dataclass(slots=True, frozen=True)
class CallTiming:
    """How long calls to discovery are waited for, and how soon they are retried."""

    # The time for the rest of a list that has begun to arrive, and the time from the start of a
    # call that returns nothing to the start of the next beside it (up to a quarter longer).
    response_timeout_s: float
    # The latter once two calls have returned nothing.
    later_response_timeout_s: float
    # The longest delay after a call that failed, before jitter (up to half longer).
    max_retry_delay_s: float

    @classmethod
    def for_shared_service(cls) -> CallTiming:
        """Return the timing for one service that all nodes call.

        It works through the calls in turn, so that its load must be kept low.
        """
        return cls(response_timeout_s=1.0, later_response_timeout_s=1.5, max_retry_delay_s=1.0)

    @classmethod
    def for_local_agent(cls, drain_grace_ms: float) -> CallTiming:
        """Return the timing for an agent of this node alone, which responds at once.

        A change counts as known to the node as soon as the agent has it. When the agent comes back,
        its list must therefore be received within the grace in which a draining server may still
        get requests: one call that hangs and one retry delay take four fifths of that.
        """
        return cls(
            response_timeout_s=drain_grace_ms / 2 / 1000,
            later_response_timeout_s=drain_grace_ms / 2 / 1000,
            max_retry_delay_s=drain_grace_ms / 5 / 1000,
        )


class RetryState:
    """Counts the calls since a list was last received, and derives the waiting times."""

    def __init__(self, rng: random.Random) -> None:
        """Start without a failure; `rng` gives the jitter."""
        self.random = rng
        self.retry_delay_s = INITIAL_RETRY_DELAY_S
        # Calls since a complete list or heartbeat, the open ones included.
        self.unanswered_calls = 0

    def call_opened(self, timing: CallTiming) -> float:
        """Count a call that is opened, and return how long to wait until the next beside it."""
        self.unanswered_calls += 1
        return (
            timing.response_timeout_s
            if self.unanswered_calls <= EARLY_CALLS
            else timing.later_response_timeout_s
        ) * (1 + self.random.random() / 4)

    def next_retry_delay_s(self, timing: CallTiming) -> float:
        """Return the delay after a call that failed or a watch that ended; it doubles each time."""
        # Jitter, so that nodes that lost discovery together do not come back together.
        delay_s = self.retry_delay_s * (0.5 + self.random.random())
        self.retry_delay_s = min(2 * self.retry_delay_s, timing.max_retry_delay_s)
        return delay_s

    def list_received(self) -> None:
        """Record that a complete list or a heartbeat was received."""
        self.unanswered_calls = 0

    def watch_ended(self, duration_s: float, timing: CallTiming) -> None:
        """Record that a watch ended; only one that lasted resets the retry delay.

        A watch that always ends soon is no reason to call again at once.
        """
        if duration_s >= timing.max_retry_delay_s:
            self.retry_delay_s = INITIAL_RETRY_DELAY_S
