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

RETRY_FIRST = 0.05  # s before the next try behind a watch that lived
EARLY = 2  # calls that are soon followed by another, before the service is spared
# Calls open at once: the second makes room for another, or the first if it has said nothing for
# long.
MOST = 3
PATIENCE = 10.0  # s for a first call that says nothing


@dataclass(slots=True, frozen=True)
class Pace:
    """How patient calls are, and how soon they are made again."""

    # s for a list that has begun, and from a call that says nothing to the next beside it, or a
    # quarter more.
    call: float
    rest: float  # the latter once two have said nothing
    retry: float  # s behind a call that failed, at most half as much again

    @classmethod
    def shared(cls) -> Pace:
        """One service for all nodes: it works through calls in turn, and must be spared."""
        return cls(call=1.0, rest=1.5, retry=1.0)

    @classmethod
    def agent(cls, grace: float) -> Pace:
        """An agent of the node's own, which answers at once. Whatever it has counts as told.

        When it comes back, what it has must be heard within the grace (ms) in which a server that
        drains may still be sent something: one call that hangs and one pause take four fifths of
        that."""
        return cls(call=grace / 2 / 1000, rest=grace / 2 / 1000, retry=grace / 5 / 1000)


class Tries:
    """The tries since the list was last heard of."""

    def __init__(self, rng: random.Random) -> None:
        self.random = rng
        self.retry = RETRY_FIRST
        self.silent = 0  # calls since a whole line, the one that is out among them

    def beside(self, pace: Pace) -> float:
        """A call is opened: how long it may say nothing until the next one is, beside it."""
        self.silent += 1
        return (pace.call if self.silent <= EARLY else pace.rest) * (1 + self.random.random() / 4)

    def pause(self, pace: Pace) -> float:
        """A call failed, or a watch ended: how long until the next one."""
        # Nodes that lost discovery together must not come back together.
        pause = self.retry * (0.5 + self.random.random())
        self.retry = min(2 * self.retry, pace.retry)
        return pause

    def heard(self) -> None:
        """A line came whole."""
        self.silent = 0

    def lived(self, time: float, pace: Pace) -> None:
        """A watch ended after so long: one that always ends soon is no reason to call at once."""
        if time >= pace.retry:
            self.retry = RETRY_FIRST
