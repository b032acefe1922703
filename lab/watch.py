"""Checks the four rules from what clients and servers saw in a day. No I/O.

1 nothing lost: a request that a running node has taken gets one final answer before the client's
time is up. 2 no effect twice: a request has at most one effect in its group and window; one that
was refused, which says that asking again does no harm, has none unless its class says that repeats
do none. 3 drains kept: nothing new is sent to a server that the node was told leaves, once the
grace is over. 4 no cold server pushed over: in no window of `PUSH_MS` is a cold server sent more
than `PUSH_OVER` times the work that its age lets it do, unless the warm servers were sent as much
over theirs.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from lab.clock import Clock
from lab.servers import Server, Work
from lab.settings import Day

SHOWN = 20  # breaches that are named
PUSH_MS, PUSH_OVER = 1000.0, 3.0
EXCUSED = 0.8  # of the fleet's work as full as the cold server is pushed: then all are


@dataclass(slots=True, frozen=True)
class Breach:
    """One rule that was broken, when, and how."""

    rule: int
    at: float  # ms
    words: str


class Watch:
    """Told of everything that the rules speak of."""

    def __init__(self, clock: Clock, day: Day) -> None:
        self.clock, self.day = clock, day
        self.counts = {1: 0, 2: 0, 3: 0, 4: 0}
        self.shown: list[Breach] = []
        self.effects: dict[
            int, list[tuple[float, int, int]]
        ] = {}  # when, in which group, of which try
        self.refused: dict[
            int, int
        ] = {}  # where repeats do harm: the last try that was told it did not run
        self.sent: dict[int, deque[tuple[float, float]]] = {}  # to cold servers: when, work
        self.fleet_sent: deque[tuple[float, float]] = deque()
        self.fleet_work = 0.0
        self.power = (
            day.capacity_per_s * day.mean_work_ms / 1000
        )  # ms of work that the warm fleet does in a ms

    def breach(self, rule: int, words: str) -> None:
        self.counts[rule] += 1
        if len(self.shown) < SHOWN:
            self.shown.append(Breach(rule, self.clock.now, words))

    @property
    def broken(self) -> int:
        return sum(self.counts.values())

    # Rule 1.

    def lost(self, request: int) -> None:
        self.breach(1, f"request {request} had no final answer in its time")

    def answered_twice(self, request: int) -> None:
        self.breach(1, f"request {request} had two final answers")

    # Rule 2.

    def effect(self, server: Server, work: Work) -> None:
        cls = self.day.class_[work.cls]
        if cls.effect == "safe":
            return
        group = {"all": 0, "zone": server.zone, "cell": server.cell}[cls.group]
        now, had = self.clock.now, self.effects.setdefault(work.request, [])
        if work.keyed and any(where == group and now - at < work.window for at, where, _ in had):
            return  # the group drops the repeat
        had.append((now, group, work.tried))
        if len(had) > 1:
            self.breach(2, f"request {work.request} had its effect {len(had)} times")
        if work.tried <= self.refused.get(work.request, 0):
            self.breach(2, f"request {work.request} had its effect after it was refused")

    def refuse(self, request: int, cls: int, tried: int) -> None:
        """A client's try is told that it did not run."""
        wanted = self.day.class_[cls]
        if wanted.effect == "unsafe" or (wanted.effect == "keyed" and wanted.group != "all"):
            self.refused[request] = tried
            if any(of == tried for _, _, of in self.effects.get(request, ())):
                self.breach(2, f"request {request} was refused after it had its effect")

    # Rules 3 and 4.

    def send(self, server: Server, told_leaving: float | None, work: float) -> None:
        """An attempt sets out; `told_leaving`: when its node was told that the server leaves."""
        now = self.clock.now
        if told_leaving is not None and now - told_leaving > self.day.node.drain_grace_ms:
            late = now - told_leaving
            self.breach(
                3, f"server {server.number} was sent to {late:.0f} ms after it was told to leave"
            )
        self.fleet_sent.append((now, work))
        self.fleet_work += work
        while self.fleet_sent[0][0] < now - PUSH_MS:
            self.fleet_work -= self.fleet_sent.popleft()[1]
        warmth = server.warmth
        if warmth >= 1.0:
            return
        window = self.sent.setdefault(server.number, deque())
        window.append((now, work))
        while window[0][0] < now - PUSH_MS:
            window.popleft()
        able = server.kind.cores * server.kind.speed * warmth * PUSH_MS
        pushed = sum(sent for _, sent in window) / able
        largest = max(sent for _, sent in window)
        if pushed > PUSH_OVER and len(window) > 3 and largest < able / 2:
            if self.fleet_work / (self.power * PUSH_MS) < EXCUSED * pushed:
                self.breach(
                    4, f"cold server {server.number} was sent {pushed:.1f} times what it can do"
                )
            window.clear()  # told once a second
