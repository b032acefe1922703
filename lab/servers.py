"""Model servers: cores, a bounded queue, a cold ramp, keys that they know, and what can be wrong
with them.

Driven by the clock; nothing here knows of nodes. An answer is told by a callback, at the server's
own time.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from badgercart.policy.events import AttemptResult
from lab.chance import Stream
from lab.clock import Clock
from lab.settings import Day, ServerKind

ERROR_MS = 1.0  # an error by fault is answered at once: that is what draws traffic
MAX_KEYS = 4096  # keys that a server knows at once


@dataclass(slots=True, eq=False)
class Work:
    """One attempt at a server."""

    request: int  # the number of the client's request: its retries have the same
    tried: int  # which of the client's tries this is, from 1
    cls: int
    key: int
    work: float  # ms on a core of speed 1
    keyed: bool
    window: float  # ms for which repeats are dropped; 0: not
    answer: Callable[[AttemptResult], None]
    run: int = 0  # of the server, when it began
    came: float = 0.0
    beside: int = 0  # requests that were there when it came
    started: bool = False
    abandoned: bool = False


class Server:
    """One server of the fleet."""

    def __init__(self, clock: Clock, day: Day, number: int, kind: int, chance: Stream) -> None:
        self.clock, self.day, self.number = clock, day, number
        self.kind: ServerKind = day.kind[kind]
        self.kind_number = kind
        self.zone, self.cell = number % day.net.zones, number % day.fleet.cells
        self.chance = chance
        self.slowness, self.silent, self.failing = 1.0, 0.0, 0.0
        self.down = self.leaving = False
        self.started = 0.0  # ms; 0: long ago
        self.run = 0
        self.busy = 0
        self.waiting: deque[Work] = deque()
        self.at_work: dict[Work, None] = {}  # in the order in which they began
        self.keys: dict[int, float] = {}  # when each was met last
        self.effect: Callable[[Server, Work], None] = lambda server, work: None
        self.by_held: dict[
            int, float
        ] = {}  # time of answers lately, by the requests held as one came
        # Measured.
        self.served = self.full = 0
        self.busy_ms = 0.0

    # What befalls it.

    def crash(self) -> None:
        """All that it holds is lost; connections break."""
        self.down = True
        self.run += 1
        lost = [*self.at_work, *self.waiting]
        self.waiting.clear()
        self.at_work.clear()
        self.keys.clear()
        self.busy = 0
        for work in lost:
            work.answer(AttemptResult.RESET)

    def start(self) -> None:
        """Up again, and cold."""
        self.down = self.leaving = False
        self.started = max(self.clock.now, 1e-3)

    @property
    def warmth(self) -> float:
        """The share of its speed that its age gives."""
        ramp = self.kind.ramp_ms
        if not self.started or not ramp:
            return 1.0
        age = (self.clock.now - self.started) / ramp
        return 1.0 if age >= 1 else self.kind.cold_from + (1 - self.kind.cold_from) * max(age, 0.0)

    @property
    def expected(self) -> float:
        """The time of an answer to what came now, as its own answers lately tell it; what it tells
        a probe."""
        if not self.by_held:
            return 0.0
        return self.by_held[min(self.by_held, key=lambda held: (abs(held - self.held), held))]

    @property
    def held(self) -> int:
        return self.busy + len(self.waiting)

    # Work.

    def take(self, work: Work) -> None:
        """A request has come in."""
        if self.down:
            work.answer(AttemptResult.RESET)
        elif self.silent and self.chance() < self.silent:
            return  # it never answers: the node has to give up
        elif self.failing and self.chance() < self.failing:
            self.clock.after(ERROR_MS, work.answer, AttemptResult.ERROR)
        elif self.busy < self.kind.cores:
            work.came, work.beside = self.clock.now, self.held
            self.begin(work)
        elif len(self.waiting) < self.kind.queue:
            work.came, work.beside = self.clock.now, self.held
            self.waiting.append(work)
        else:
            self.full += 1
            work.answer(AttemptResult.FULL)

    def begin(self, work: Work) -> None:
        self.busy += 1
        work.started, work.run = True, self.run
        took = work.work * self.slowness / (self.kind.speed * self.warmth)
        if work.key and self.day.fleet.warm_gain:
            now, known = self.clock.now, self.keys.pop(work.key, -math.inf)
            if now - known < self.day.fleet.warm_ms:
                took *= 1 - self.day.fleet.warm_gain
            self.keys[work.key] = now
            if len(self.keys) > MAX_KEYS:
                del self.keys[next(iter(self.keys))]
        self.at_work[work] = None
        self.busy_ms += took
        self.clock.after(took, self.end, work)

    def end(self, work: Work) -> None:
        if work.run != self.run:
            return  # it crashed meanwhile
        self.busy -= 1
        self.at_work.pop(work, None)
        failed = self.kind.error_share and self.chance() < self.kind.error_share
        if not failed:
            self.served += 1
            took = self.clock.now - work.came
            self.by_held[work.beside] = self.by_held.get(work.beside, took) * 0.8 + 0.2 * took
            self.effect(self, work)
        work.answer(AttemptResult.ERROR if failed else AttemptResult.OK)
        while self.waiting and self.busy < self.kind.cores:
            following = self.waiting.popleft()
            if following.abandoned and self.day.fleet.drops_abandoned:
                continue
            self.begin(following)


def fleet(clock: Clock, day: Day, chance: Callable[[int], Stream]) -> list[Server]:
    """All servers; kinds by their shares, spread evenly."""
    total, made = sum(kind.share for kind in day.kind), [0] * len(day.kind)
    servers = []
    for number in range(day.fleet.servers):
        wanted = [
            kind.share / total * (number + 1) - had
            for kind, had in zip(day.kind, made, strict=True)
        ]
        kind = max(range(len(wanted)), key=lambda at: (wanted[at], -at))
        made[kind] += 1
        server = Server(clock, day, number, kind, chance(number))
        if day.fleet.all_cold:
            server.started = 1e-3
        servers.append(server)
    return servers
