"""Many policies in one process before model servers that start cold: what of their budget is sent,
who falls.

A cold server falls once it has got more than N + 2 * sqrt(N) + 2 requests in the time that the
settings name; N is what they allow it then: `tip_multiple` times what its age surely lets it do,
for `overload_for`. It counts where over two thirds came from nodes that had been told of the start.
The servers' own records decide. Nothing here knows of sockets; time is the clock's, chance comes
from the seed.
"""

from __future__ import annotations

import math
import random
from bisect import bisect_right
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from itertools import accumulate

from badgercart.policy.actions import Action, Send, SetTimer
from badgercart.policy.endpoint import Endpoint, EndpointState
from badgercart.policy.events import (
    AttemptEnded,
    AttemptResult,
    EndpointUpdate,
    Event,
    Request,
    TimerFired,
    UpdateKind,
)
from badgercart.policy.policy import Policy
from badgercart.policy.settings import Idempotency, RequestClass, Settings
from lab.clock import VirtualClock

WAY = 0.5  # ms from a node to a server, and back


@dataclass(frozen=True)
class Ramp:
    """One play: a fleet that is warm for `before_ms`, then has cold servers."""

    nodes: int = 24
    servers: int = 40
    cold: int = 16  # of these; beside them where they join
    how: str = "back"  # "join", "back" under their own ids, or "all": the whole fleet at once
    load: float = 0.7  # of what the whole fleet can do once it is warm
    burst: float = 1.5  # the traffic's multiple since `burst_ms` after the start of the cold ones
    burst_ms: float = 0.0
    uneven: float = 4.0  # so many times an even part comes to each of the busy nodes, one of eight
    cores: int = 3
    queue: int = 3  # requests that wait at a server; beyond that it turns them away
    work_ms: float = 80.0  # mean, on one core
    warm_gain: float = (
        0.0  # a warm server knows keys and needs so much less work; what starts knows none
    )
    cold_from: float = 0.32
    ramp_ms: float = 8800.0
    multiple: float = 3.0
    window_ms: float = 1000.0
    before_ms: float = 6000.0
    spread_ms: float = 500.0  # within which nodes hear of a start
    seed: int = 1

    @property
    def warm(self) -> float:
        """Requests of mean work that a warm server that knows no keys does in a ms."""
        return self.cores / self.work_ms

    def share(self, age: float) -> float:
        return min(1.0, self.cold_from + (1.0 - self.cold_from) * age / self.ramp_ms)

    def allowed(self, age: float) -> float:
        """N: what the settings allow within the window that ends at this age."""
        return (
            self.multiple
            * self.warm
            * self.window_ms
            * self.share(max(age - self.window_ms / 2, 0.0))
        )

    @property
    def settings(self) -> Settings:
        safe = RequestClass(
            latency_objective_ms=600.0,
            deadline_ms=1400.0,
            priority_weight=2.0,
            idempotency=Idempotency.IDEMPOTENT,
        )
        return Settings(
            classes=(safe,),
            tick_ms=5.0,
            max_attempts=4,
            cluster_size=self.nodes,
            slow_start_min_capacity=self.cold_from,
            slow_start_duration_ms=self.ramp_ms,
            collapse_load_factor=self.multiple,
            collapse_window_ms=self.window_ms,
        )


@dataclass
class ModelServer:
    """Cores, a short queue, a ramp; and the times of all that reached it."""

    entry: Endpoint
    free: list[float] = field(default_factory=list)  # when each core is, as a heap
    got: list[float] = field(default_factory=list)
    told: list[bool] = field(default_factory=list)  # of each, whether its node knew of the start
    served: int = 0

    def take(self, ramp: Ramp, now: float, work: float, told: bool) -> float | None:
        """When it is done with this; None: turned away."""
        self.got.append(now)
        self.told.append(told)
        waits = (
            sum(at > now for at in self.free) - ramp.cores
        )  # a core's next work is behind its last
        if waits >= ramp.queue:
            return None
        self.free = [at for at in self.free if at > now]
        cold = bool(self.entry.started_ms)
        speed = ramp.share(now - self.entry.started_ms) if cold else 1.0 / (1.0 - ramp.warm_gain)
        busy = sorted(self.free)
        begin = now if len(busy) < ramp.cores else busy[len(busy) - ramp.cores]
        self.free.append(begin + work / speed)
        self.served += 1
        return begin + work / speed


@dataclass(frozen=True)
class Told:
    """What came of a play."""

    # of the budget that the settings allow the cold ones, over all of them and their ramp
    sent: float
    done: float  # what they were sent, of what their age surely lets them do
    fallen: int  # cold servers that fell
    closest: float  # the largest count over its bound, N + 2 * sqrt(N) + 2
    served: float  # of the requests since the start of the cold ones


class Play:
    def __init__(self, ramp: Ramp, make: Callable[[Settings, int], Policy] = Policy) -> None:
        self.ramp, self.clock, self.random = ramp, VirtualClock(), random.Random(ramp.seed)
        self.clock.now_ms = 10_000.0
        self.nodes = [
            make(replace(ramp.settings, node_index=me), ramp.seed * 1000 + me)
            for me in range(ramp.nodes)
        ]
        listed = ramp.servers - (ramp.cold if ramp.how == "join" else 0)
        self.servers = {
            number: ModelServer(self.entry(number, 0.0)) for number in range(1, listed + 1)
        }
        self.began = self.clock.now_ms + ramp.before_ms
        self.heard: set[int] = set()  # nodes that know of the start
        self.tries: dict[int, int] = {}
        self.offered = self.answered = self.count = 0
        weights = [ramp.uneven if me % 8 == 3 else 1.0 for me in range(ramp.nodes)]
        self.weights = [*accumulate(weights)]

    def entry(self, number: int, started: float) -> Endpoint:
        return Endpoint(number, 0, 0, 0, EndpointState.READY, float(self.ramp.cores), started)

    def give(self, node: int, event: Event) -> None:
        for action in self.nodes[node].handle(self.clock.now_ms, event):
            self.carry_out(node, action)

    def carry_out(self, node: int, action: Action) -> None:
        if isinstance(action, Send):
            self.clock.call_after(WAY, self.reach, node, action, self.clock.now_ms)
        elif isinstance(action, SetTimer):
            self.clock.call_after(action.delay_ms, self.give, node, TimerFired(action.token))

    def reach(self, node: int, send: Send, since: float) -> None:
        work = self.random.expovariate(1.0 / self.ramp.work_ms)
        told = node in self.heard
        done = self.servers[send.endpoint_id].take(self.ramp, self.clock.now_ms, work, told)
        number = self.tries[send.id] = self.tries.get(send.id, -1) + 1
        end = min(self.clock.now_ms if done is None else done, since + send.timeout_ms)
        result = (
            AttemptResult.FULL
            if done is None
            else AttemptResult.OK
            if done <= since + send.timeout_ms
            else AttemptResult.TIMEOUT
        )
        self.clock.call_at(end + WAY, self.tell, node, send, result, number, since)

    def tell(self, node: int, send: Send, result: AttemptResult, number: int, since: float) -> None:
        if result is AttemptResult.OK and since > self.began:
            self.answered += 1
        over = result is AttemptResult.OK
        elapsed = self.clock.now_ms - since
        self.give(node, AttemptEnded(send.id, send.endpoint_id, over, result, number, elapsed))

    def arrive(self) -> None:
        node = bisect_right(self.weights, self.random.random() * self.weights[-1])
        self.count += 1
        self.offered += self.clock.now_ms > self.began
        self.give(node, Request(self.count, 0, self.clock.now_ms + 1400.0))
        self.next_arrival()

    def next_arrival(self) -> None:
        ramp = self.ramp
        rate = ramp.load * ramp.warm * ramp.servers
        if self.clock.now_ms < self.began:
            rate *= 1.0 if ramp.how != "join" else 1.0 - ramp.cold / ramp.servers
        else:
            rate *= ramp.burst if self.clock.now_ms >= self.began + ramp.burst_ms else 1.0
        self.clock.call_after(self.random.expovariate(rate), self.arrive)

    def start_cold(self) -> None:
        """The cold ones are up; each node hears of it at its own time."""
        ramp = self.ramp
        first = ramp.servers - ramp.cold + 1 if ramp.how != "all" else 1
        numbers = range(first, ramp.servers + 1)
        for number in numbers:
            had = self.servers.get(number)
            self.servers[number] = ModelServer(self.entry(number, self.clock.now_ms))
            if had is not None:
                self.servers[number].free = []
        self.cold = [self.servers[number] for number in numbers]
        entries = [server.entry for server in self.cold]
        for node in range(ramp.nodes):
            at = self.random.random() * ramp.spread_ms
            self.clock.call_after(at, self.hear, node, EndpointUpdate(UpdateKind.DELTA, 2, entries))

    def hear(self, node: int, event: EndpointUpdate) -> None:
        self.heard.add(node)
        self.give(node, event)

    def play(self) -> Told:
        ramp = self.ramp
        listed = [server.entry for server in self.servers.values()]
        for node in range(ramp.nodes):
            self.give(node, EndpointUpdate(UpdateKind.SNAPSHOT, 1, listed))
        self.next_arrival()
        self.clock.call_at(self.began, self.start_cold)
        self.clock.run(self.began + ramp.ramp_ms)
        return self.told()

    def told(self) -> Told:
        ramp = self.ramp
        sent = sum(len(server.got) for server in self.cold)
        can = ramp.warm * ramp.ramp_ms * (1.0 + ramp.cold_from) / 2 * len(self.cold)
        closest = [self.closest(server) for server in self.cold]
        return Told(
            sent=sent / (can * ramp.multiple),
            done=sent / can,
            fallen=sum(over > 1.0 for over in closest),
            closest=max(closest),
            served=self.answered / max(self.offered, 1),
        )

    def closest(self, server: ModelServer) -> float:
        return closest(server.got, server.told, server.entry.started_ms, self.ramp)


def closest(times: list[float], told: list[bool], started: float, ramp: Ramp) -> float:
    """The largest count of a window over N + 2 * sqrt(N) + 2, by a server's record of what it got
    (ms)."""
    most, first = 0.0, 0
    for last, at in enumerate(times):
        while times[first] <= at - ramp.window_ms:
            first += 1
        count = last - first + 1
        if at - started < ramp.ramp_ms and 3 * sum(told[first : last + 1]) > 2 * count:
            allowed = ramp.allowed(at - started)
            most = max(most, count / (allowed + 2 * math.sqrt(allowed) + 2))
    return most


def play(ramp: Ramp, make: Callable[[Settings, int], Policy] = Policy) -> Told:
    return Play(ramp, make).play()
