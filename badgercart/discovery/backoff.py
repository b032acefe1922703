"""When the catalog is called again, and when beside a call that says nothing. No I/O; times in s.

What a watch misses counts as delivered 6 s after it fell silent, and any change 6 s after the catalog
had it and could be reached, however many calls fail meanwhile. So the time is shared over calls, from
start to start: a call that says nothing is not waited for, the next is opened beside it, and
whichever speaks first stays. A slow service may still answer the first one. The worst sums stand in
`docs/design/ends.md`.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

FIRST_RETRY_S = 0.05  # behind a watch that lived
EAGER_CALLS = 2  # that are soon followed by another, before the service is spared
# Calls that are open at once: the second makes room for another, or the first if it has said nothing
# for long.
MAX_CALLS = 3
FIRST_CALL_PATIENCE_S = 10.0  # for a first call that says nothing
PARALLEL_JITTER = 4  # the delay of a parallel call is up to this part of it longer


@dataclass(slots=True, frozen=True)
class CallPacing:
    """How patient calls are, and how soon they are made again."""

    # For a list that has begun, and from a call that says nothing to the next beside it.
    parallel_after_s: float
    late_parallel_after_s: float  # the latter once EAGER_CALLS have said nothing
    max_retry_s: float  # behind a call that failed; with jitter half as much again

    @classmethod
    def for_shared_service(cls) -> CallPacing:
        """Return the pacing towards one service of all nodes, which works through calls in turn."""
        return cls(parallel_after_s=1.0, late_parallel_after_s=1.5, max_retry_s=1.0)

    @classmethod
    def for_local_agent(cls, drain_grace_ms: float) -> CallPacing:
        """Return the pacing towards an agent of the node's own, which answers at once.

        Whatever the agent has counts as delivered. When it comes back, what it has must be heard
        within the grace in which a draining endpoint may still be sent something: one call that
        hangs and one pause take four fifths of that.
        """
        return cls(
            parallel_after_s=drain_grace_ms / 2 / 1000,
            late_parallel_after_s=drain_grace_ms / 2 / 1000,
            max_retry_s=drain_grace_ms / 5 / 1000,
        )


class Backoff:
    """The calls since the last update."""

    def __init__(self, rng: random.Random) -> None:
        """Set up a state in which nothing has failed."""
        self.random = rng
        self.retry_s = FIRST_RETRY_S
        self.silent_calls = 0  # since the last update, the present one among them

    def parallel_delay(self, pacing: CallPacing) -> float:
        """Count a call that is opened; return how long it may say nothing until the next one is."""
        self.silent_calls += 1
        is_eager = self.silent_calls <= EAGER_CALLS
        delay_s = pacing.parallel_after_s if is_eager else pacing.late_parallel_after_s
        return delay_s * (1 + self.random.random() / PARALLEL_JITTER)

    def retry_delay(self, pacing: CallPacing) -> float:
        """Count a call that failed, or a watch that ended; return how long until the next one."""
        # Jitter: nodes that lost the catalog together must not come back together.
        delay_s = self.retry_s * (0.5 + self.random.random())
        self.retry_s = min(2 * self.retry_s, pacing.max_retry_s)
        return delay_s

    def update_received(self) -> None:
        """Count no call as silent any more."""
        self.silent_calls = 0

    def watch_ended(self, lifetime_s: float, pacing: CallPacing) -> None:
        """Begin anew, unless the watch ended so soon that it is no reason to call at once."""
        if lifetime_s >= pacing.max_retry_s:
            self.retry_s = FIRST_RETRY_S
