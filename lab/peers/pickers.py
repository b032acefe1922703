"""Who is chosen: the pickers that proxies use, each as its source describes it."""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from lab.peers.base import Host, Picker


class Plain:
    """What pickers have in common: the ready servers in the list's order."""

    zone = 0

    def __init__(self, chance: random.Random) -> None:
        self.random = chance
        self.ready: list[Host] = []

    def hosts(self, hosts: list[Host]) -> None:
        self.ready = hosts

    def left(self, without: list[int]) -> list[Host]:
        if not without:
            return self.ready
        return [host for host in self.ready if host.entry.id not in without]

    def ended(self, host: Host, now: float, took: float, result: int) -> None:
        pass

    def probes(self, now: float) -> list[int]:
        return []

    def probed(self, host: Host, now: float, report: tuple[float, ...]) -> None:
        pass


class Random(Plain):
    """Any server, all alike."""

    def pick(self, now: float, without: list[int]) -> Host | None:
        left = self.left(without)
        return left[int(self.random.random() * len(left))] if left else None


class RoundRobin(Plain):
    """One after the other, from a random first one, so that nodes are not in step."""

    def __init__(self, chance: random.Random) -> None:
        super().__init__(chance)
        self.at = int(chance.random() * (1 << 30))

    def pick(self, now: float, without: list[int]) -> Host | None:
        for _ in range(len(self.ready)):
            self.at += 1
            host = self.ready[self.at % len(self.ready)]
            if host.entry.id not in without:
                return host
        return None


class LeastOutstanding(Plain):
    """The one with the fewest requests of this node out; of equal ones any."""

    def pick(self, now: float, without: list[int]) -> Host | None:
        left = self.left(without)
        if not left:
            return None
        least = min(host.out for host in left)
        idle = [host for host in left if host.out == least]
        return idle[int(self.random.random() * len(idle))]


class PowerOfTwo(Plain):
    """The better of two at random (Mitzenmacher 2001, The Power of Two Choices in Randomized Load
    Balancing)."""

    def load(self, host: Host, now: float) -> float:
        return host.out

    def pick(self, now: float, without: list[int]) -> Host | None:
        left = self.left(without)
        if len(left) < 2:
            return left[0] if left else None
        first = int(self.random.random() * len(left))
        second = int(self.random.random() * (len(left) - 1))
        one, other = left[first], left[second + (second >= first)]
        return one if self.load(one, now) <= self.load(other, now) else other


class PeakEwma(PowerOfTwo):
    """Finagle's PeakEwma over two choices: an average of answer times that rises at once and falls
    slowly, times the requests out."""

    DECAY = 10_000.0  # ms
    PENALTY = 1e9  # a server that has not answered yet, with requests out, is the last choice

    def observe(self, host: Host, now: float, took: float) -> None:
        passed = max(now - host.stamp, 0.0)
        keep = math.exp(-passed / self.DECAY)
        host.stamp = now
        host.cost = took if took > host.cost else host.cost * keep + took * (1 - keep)

    def load(self, host: Host, now: float) -> float:
        self.observe(host, now, 0.0)
        if host.cost < 1e-9 and host.out:
            return self.PENALTY + host.out
        return host.cost * (host.out + 1)

    def ended(self, host: Host, now: float, took: float, result: int) -> None:
        self.observe(host, now, took)


class WeightedLeastRequest(PowerOfTwo):
    """Envoy's least request: two choices where all weights are equal, else an earliest deadline
    first schedule by weight over (requests out + 1) to the power of the bias, which is 1."""

    def __init__(self, chance: random.Random) -> None:
        super().__init__(chance)
        self.heap: list[tuple[float, int, Host]] = []
        self.order = itertools.count()
        self.time = 0.0

    def hosts(self, hosts: list[Host]) -> None:
        super().hosts(hosts)
        self.heap = []
        if len({host.entry.size for host in hosts}) > 1:
            for host in hosts:  # spread, so that nodes do not begin with the same one
                self.add(host, self.random.random())
        self.time = 0.0

    def add(self, host: Host, part: float = 1.0) -> None:
        weight = max(host.entry.size, 1e-6) / (host.out + 1)
        heapq.heappush(self.heap, (self.time + part / weight, next(self.order), host))

    def pick(self, now: float, without: list[int]) -> Host | None:
        if not self.heap:
            return super().pick(now, without)
        passed: list[Host] = []
        found: Host | None = None
        while self.heap and found is None:
            self.time, _, host = heapq.heappop(self.heap)
            passed.append(host)
            if host.entry.id not in without:
                found = host
        for host in passed:
            self.add(host)
        return found


@dataclass(slots=True)
class Probed:
    """An answer in Prequal's pool."""

    host: Host
    at: float
    out: float  # requests in flight there
    took: float  # ms
    uses: int


class Prequal(Plain):
    """Wydmuch and others 2024, Load is not what you should balance: Introducing Prequal (NSDI),
    section 4.

    Probes run beside requests into a pool; of the pooled servers those with more in flight than a
    quantile are hot. Cold ones: the least latency; all hot: the fewest in flight."""

    RATE, REMOVE, POOL, AGE = 3, 1, 16, 1000.0  # probes and removals a request, answers kept, ms
    HOT = 0.84  # quantile of requests in flight
    SPARE = 1.0  # delta of the reuse budget

    def __init__(self, chance: random.Random) -> None:
        super().__init__(chance)
        self.pool: list[Probed] = []
        self.seen: deque[float] = deque(maxlen=128)  # requests in flight, of recent answers
        self.worst_next = True

    def reuse(self) -> int:
        share = 1 - self.POOL / max(len(self.ready), self.POOL + 1)
        left = share * self.RATE - self.REMOVE
        uses = (1 + self.SPARE) / left if left > 0 else self.POOL
        return max(1, min(self.POOL, math.ceil(uses)))

    def hosts(self, hosts: list[Host]) -> None:
        super().hosts(hosts)
        self.pool = [answer for answer in self.pool if answer.host.ready]

    def probes(self, now: float) -> list[int]:
        count = min(self.RATE, len(self.ready))
        return [host.entry.id for host in self.random.sample(self.ready, count)]

    def probed(self, host: Host, now: float, report: tuple[float, ...]) -> None:
        out, took = report
        self.seen.append(out)
        if not host.ready:
            return
        if len(self.pool) >= self.POOL:
            self.pool.pop(0)
        self.pool.append(Probed(host, now, out, took, self.reuse()))

    def hot_from(self) -> float:
        ordered = sorted(self.seen)
        return ordered[int(self.HOT * (len(ordered) - 1))] if ordered else math.inf

    def pick(self, now: float, without: list[int]) -> Host | None:
        self.pool = [
            answer for answer in self.pool if now - answer.at <= self.AGE and answer.uses > 0
        ]
        usable = [answer for answer in self.pool if answer.host.entry.id not in without]
        if len(usable) < 2:  # too little is known: at random
            left = self.left(without)
            return left[int(self.random.random() * len(left))] if left else None
        limit = self.hot_from()
        cold = [answer for answer in usable if answer.out <= limit]
        chosen = min(cold, key=lambda a: a.took) if cold else min(usable, key=lambda a: a.out)
        chosen.uses -= 1
        chosen.out += 1  # what is sent there is in flight before a probe tells
        self.remove(limit)
        return chosen.host

    def remove(self, limit: float) -> None:
        """One answer less for each request, the worst and the oldest in turn."""
        for _ in range(self.REMOVE):
            if len(self.pool) <= 2:
                return
            if self.worst_next:
                hot = [answer for answer in self.pool if answer.out > limit]
                worst = (
                    max(hot, key=lambda a: a.out) if hot else max(self.pool, key=lambda a: a.took)
                )
                self.pool.remove(worst)
            else:
                self.pool.pop(0)
            self.worst_next = not self.worst_next


class Priority(PowerOfTwo):
    """Envoy's priority levels with its documented overprovisioning factor of 1.4: a node's own zone
    first, and of it min(100, 140 * healthy / all) in a hundred; the rest to the other zones. Who is
    healthy is known by active checks each second (three that fail take one out, two that answer
    bring it back), by each node alone."""

    OVER = 1.4
    EVERY, PATIENCE = 1000.0, 500.0  # ms
    FAILS, PASSES = 3, 2

    def __init__(self, chance: random.Random) -> None:
        super().__init__(chance)
        self.asked: dict[int, float] = {}  # when a check that is out was sent
        self.next: dict[int, float] = {}
        self.bad: dict[int, int] = {}  # checks that failed in a row
        self.good: dict[int, int] = {}
        self.out: set[int] = set()  # those taken out

    def probes(self, now: float) -> list[int]:
        for server in [s for s, at in self.asked.items() if now - at > self.PATIENCE]:
            del self.asked[server]
            self.good[server] = 0
            self.bad[server] = self.bad.get(server, 0) + 1
            if self.bad[server] >= self.FAILS:
                self.out.add(server)
        due = [h.entry.id for h in self.ready if now >= self.next.setdefault(h.entry.id, now)]
        for server in due:
            self.next[server] = now + self.EVERY * (0.9 + 0.2 * self.random.random())
            self.asked.setdefault(server, now)
        return due

    def probed(self, host: Host, now: float, report: tuple[float, ...]) -> None:
        server = host.entry.id
        if self.asked.pop(server, None) is None:
            return
        self.bad[server] = 0
        self.good[server] = self.good.get(server, 0) + 1
        if self.good[server] >= self.PASSES:
            self.out.discard(server)

    def pick(self, now: float, without: list[int]) -> Host | None:
        near = [host for host in self.ready if host.entry.zone == self.zone]
        healthy = [host for host in near if host.entry.id not in self.out]
        part = min(1.0, self.OVER * len(healthy) / len(near)) if near else 0.0
        far = [
            host
            for host in self.ready
            if host.entry.zone != self.zone and host.entry.id not in self.out
        ]
        first, second = (healthy, far) if self.random.random() < part else (far, healthy)
        for group in (first, second, self.ready):  # as in panic, where none is healthy
            left = [host for host in group if host.entry.id not in without]
            if left:
                one = left[int(self.random.random() * len(left))]
                other = left[int(self.random.random() * len(left))]
                return one if one.out <= other.out else other
        return None


PICKERS: dict[str, Callable[[random.Random], Picker]] = {
    "random": Random,
    "round_robin": RoundRobin,
    "least_outstanding": LeastOutstanding,
    "p2c": PowerOfTwo,
    "peak_ewma": PeakEwma,
    "least_request": WeightedLeastRequest,
    "prequal": Prequal,
    "priority": Priority,
}
