"""Checks the four rules of the system by what clients and servers saw in a simulated day. No I/O.

1. Nothing is lost: a request that a running node has accepted gets one final answer before its
   deadline.
2. No effect happens twice: a request has at most one effect within its deduplication scope and
   window. A request that was shed, which tells the client that a retry does no harm, has no
   effect, unless repeated effects of its class do no harm.
3. Drains are respected: once the grace period is over, nothing new is sent to a server that the
   node knows to be draining.
4. Cold servers are not overloaded: within `COLD_WINDOW_MS`, a cold server is sent at most
   `MAX_COLD_OVERLOAD` times the work that it can do at its age, unless warm servers are overloaded
   in proportion too.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from lab.clock import VirtualClock
from lab.servers import Job, Server
from lab.settings import Day

MAX_REPORTED = 20  # breaches that are described
COLD_WINDOW_MS = 1000.0
MAX_COLD_OVERLOAD = 3.0
# Share of a cold server's overload that the whole fleet must have for the overload to be excused.
EXCUSING_FLEET_SHARE = 0.8
# Single jobs make a window look overloaded: it needs more jobs than this, none of them larger than
# this share of what the server can do in it.
MIN_COLD_JOBS = 3
MAX_COLD_JOB_SHARE = 1 / 2


@dataclass(slots=True, frozen=True)
class RuleBreach:
    """A breach of a rule: when it happened, and how."""

    rule: int
    at_ms: float
    description: str


class RuleChecker:
    """Receives all events of a day that the rules speak of, and keeps the breaches."""

    def __init__(self, clock: VirtualClock, day: Day) -> None:
        self.clock, self.day = clock, day
        self.counts = {1: 0, 2: 0, 3: 0, 4: 0}
        self.reported: list[RuleBreach] = []
        # By request: time, scope and client try of each effect.
        self.effects: dict[int, list[tuple[float, int, int]]] = {}
        # By request whose repeated effects do harm: the last client try that was shed.
        self.shed_tries: dict[int, int] = {}
        # By cold server, and for the fleet: time and work (ms) of what was sent in the window.
        self.sent_to_cold: dict[int, deque[tuple[float, float]]] = {}
        self.sent_to_fleet: deque[tuple[float, float]] = deque()
        self.fleet_work_ms = 0.0
        # Work (ms) that the warm fleet does in a ms.
        self.fleet_speed = day.capacity_per_s * day.mean_work_ms / 1000

    def report(self, rule: int, description: str) -> None:
        """Record a breach of a rule."""
        self.counts[rule] += 1
        if len(self.reported) < MAX_REPORTED:
            self.reported.append(RuleBreach(rule, self.clock.now_ms, description))

    @property
    def total(self) -> int:
        """Return the number of breaches of all rules."""
        return sum(self.counts.values())

    # Rule 1.

    def request_lost(self, request: int) -> None:
        """Record a request without a final answer."""
        self.report(1, f"request {request} had no final answer in its time")

    def answered_twice(self, request: int) -> None:
        """Record a request with a second final answer."""
        self.report(1, f"request {request} had two final answers")

    # Rule 2.

    def effect_happened(self, server: Server, job: Job) -> None:
        """Check an effect at a server, unless its scope drops it as a repetition."""
        request_class = self.day.class_[job.class_index]
        if request_class.effect == "safe":
            return
        scope = {"all": 0, "zone": server.zone, "cell": server.cell}[request_class.group]
        now_ms, effects = self.clock.now_ms, self.effects.setdefault(job.request, [])
        if job.keyed and any(
            other_scope == scope and now_ms - at_ms < job.window_ms
            for at_ms, other_scope, _ in effects
        ):
            return
        effects.append((now_ms, scope, job.client_try))
        if len(effects) > 1:
            self.report(2, f"request {job.request} had its effect {len(effects)} times")
        if job.client_try <= self.shed_tries.get(job.request, 0):
            self.report(2, f"request {job.request} had its effect after it was refused")

    def request_shed(self, request: int, class_index: int, client_try: int) -> None:
        """Check a response that says that a client's try had no effect."""
        request_class = self.day.class_[class_index]
        if request_class.effect == "unsafe" or (
            request_class.effect == "keyed" and request_class.group != "all"
        ):
            self.shed_tries[request] = client_try
            if any(effect_try == client_try for _, _, effect_try in self.effects.get(request, ())):
                self.report(2, f"request {request} was refused after it had its effect")

    # Rules 3 and 4.

    def attempt_sent(self, server: Server, draining_since_ms: float | None, work_ms: float) -> None:
        """Check an attempt that is sent now.

        `draining_since_ms` is when the node learned that the server is draining.
        """
        now_ms = self.clock.now_ms
        if (
            draining_since_ms is not None
            and now_ms - draining_since_ms > self.day.node.drain_grace_ms
        ):
            late_ms = now_ms - draining_since_ms
            self.report(
                3, f"server {server.number} was sent to {late_ms:.0f} ms after it was told to leave"
            )
        self.sent_to_fleet.append((now_ms, work_ms))
        self.fleet_work_ms += work_ms
        while self.sent_to_fleet[0][0] < now_ms - COLD_WINDOW_MS:
            self.fleet_work_ms -= self.sent_to_fleet.popleft()[1]
        slow_start_speed = server.slow_start_speed
        if slow_start_speed >= 1.0:
            return
        window = self.sent_to_cold.setdefault(server.number, deque())
        window.append((now_ms, work_ms))
        while window[0][0] < now_ms - COLD_WINDOW_MS:
            window.popleft()
        possible_ms = server.kind.cores * server.kind.speed * slow_start_speed * COLD_WINDOW_MS
        overload = sum(sent_ms for _, sent_ms in window) / possible_ms
        largest_ms = max(sent_ms for _, sent_ms in window)
        if (
            overload > MAX_COLD_OVERLOAD
            and len(window) > MIN_COLD_JOBS
            and largest_ms < possible_ms * MAX_COLD_JOB_SHARE
        ):
            fleet_load = self.fleet_work_ms / (self.fleet_speed * COLD_WINDOW_MS)
            if fleet_load < EXCUSING_FLEET_SHARE * overload:
                self.report(
                    4,
                    f"cold server {server.number} was sent {overload:.1f} times what it can do",
                )
            # Reports the same overload at most once in each window.
            window.clear()
