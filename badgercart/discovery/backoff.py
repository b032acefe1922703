"""When discovery is called again, and when beside a call that says nothing. No I/O; times in s.

What a watch misses counts as told 6 s after it fell silent, and any change 6 s after discovery had
it and could be reached, however many calls fail meanwhile. So the time is shared over tries, from
start to start: a call that says nothing is not waited for, the next is opened beside it, and
whichever speaks first stays. A slow service may answer the first one still. The worst sums stand in
`docs/design/ends.md`.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

INITIAL_RETRY_DELAY_S = 0.05  # s before the next try behind a watch that lived
EARLY_CALLS = 2  # calls that are soon followed by another, before the service is spared
# Calls open at once: the second makes room for another, or the first if it has said nothing for
# long.
MAX_OPEN_CALLS = 3
OLDEST_CALL_TIMEOUT_S = 10.0  # s for a first call that says nothing


@dataclass(slots=True, frozen=True)
class CallTiming:
    """How patient calls are, and how soon they are made again."""

    # s for a list that has begun, and from a call that says nothing to the next beside it, or a
    # quarter more.
    response_timeout_s: float
    later_response_timeout_s: float  # the latter once two have said nothing
    max_retry_delay_s: float  # s behind a call that failed, at most half as much again

    @classmethod
    def for_shared_service(cls) -> CallTiming:
        """One service for all nodes: it works through calls in turn, and must be spared."""
        return cls(response_timeout_s=1.0, later_response_timeout_s=1.5, max_retry_delay_s=1.0)

    @classmethod
    def for_local_agent(cls, grace: float) -> CallTiming:
        """An agent of the node's own, which answers at once. Whatever it has counts as told.

        When it comes back, what it has must be heard within the grace (ms) in which a server that
        drains may still be sent something: one call that hangs and one pause take four fifths of
        that."""
        return cls(
            response_timeout_s=grace / 2 / 1000,
            later_response_timeout_s=grace / 2 / 1000,
            max_retry_delay_s=grace / 5 / 1000,
        )


class RetryState:
    """The tries since the list was last heard of."""

    def __init__(self, rng: random.Random) -> None:
        self.random = rng
        self.retry_delay_s = INITIAL_RETRY_DELAY_S
        self.unanswered_calls = 0  # calls since a whole line, the one that is out among them

    def call_opened(self, timing: CallTiming) -> float:
        """A call is opened: how long it may say nothing until the next one is, beside it."""
        self.unanswered_calls += 1
        return (
            timing.response_timeout_s
            if self.unanswered_calls <= EARLY_CALLS
            else timing.later_response_timeout_s
        ) * (1 + self.random.random() / 4)

    def next_retry_delay_s(self, timing: CallTiming) -> float:
        """A call failed, or a watch ended: how long until the next one."""
        # Nodes that lost discovery together must not come back together.
        pause = self.retry_delay_s * (0.5 + self.random.random())
        self.retry_delay_s = min(2 * self.retry_delay_s, timing.max_retry_delay_s)
        return pause

    def list_received(self) -> None:
        """A line came whole."""
        self.unanswered_calls = 0

    def watch_ended(self, time: float, timing: CallTiming) -> None:
        """A watch ended after so long: one that always ends soon is no reason to call at once."""
        if time >= timing.max_retry_delay_s:
            self.retry_delay_s = INITIAL_RETRY_DELAY_S
