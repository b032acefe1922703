"""Endpoint choice: the algorithms that proxies use, each as its source describes it."""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from lab.peers.base import Host, Picker


class BasePicker:
    """The common part of the pickers: the ready hosts, in the order of the endpoint list."""

    zone = 0

    def __init__(self, rng: random.Random) -> None:
        self.random = rng
        self.ready: list[Host] = []

    def hosts(self, hosts: list[Host]) -> None:
        """Replace the ready hosts."""
        self.ready = hosts

    def candidates(self, excluded_ids: list[int]) -> list[Host]:
        """Return the ready hosts that are not excluded."""
        if not excluded_ids:
            return self.ready
        return [host for host in self.ready if host.entry.id not in excluded_ids]

    def attempt_ended(self, host: Host, now_ms: float, elapsed_ms: float, result: int) -> None:
        """Ignore the end of an attempt."""

    def probe_targets(self, now_ms: float) -> list[int]:
        """Return no endpoints: most pickers do not probe."""
        return []

    def probe_answered(self, host: Host, now_ms: float, report: tuple[float, ...]) -> None:
        """Ignore a probe's report."""


class Random(BasePicker):
    """Chooses uniformly at random."""

    def pick(self, now_ms: float, excluded_ids: list[int]) -> Host | None:
        """Return any host that is not excluded."""
        hosts = self.candidates(excluded_ids)
        return hosts[int(self.random.random() * len(hosts))] if hosts else None


class RoundRobin(BasePicker):
    """Takes the hosts in order, from a random start so that nodes are not in step."""

    def __init__(self, rng: random.Random) -> None:
        super().__init__(rng)
        self.position = int(rng.random() * (1 << 30))

    def pick(self, now_ms: float, excluded_ids: list[int]) -> Host | None:
        """Return the next host that is not excluded."""
        for _ in range(len(self.ready)):
            self.position += 1
            host = self.ready[self.position % len(self.ready)]
            if host.entry.id not in excluded_ids:
                return host
        return None


class LeastOutstanding(BasePicker):
    """Chooses the host with the fewest requests in flight from this node; breaks ties at random."""

    def pick(self, now_ms: float, excluded_ids: list[int]) -> Host | None:
        """Return a host with the fewest requests in flight."""
        hosts = self.candidates(excluded_ids)
        if not hosts:
            return None
        min_in_flight = min(host.in_flight for host in hosts)
        least_loaded = [host for host in hosts if host.in_flight == min_in_flight]
        return least_loaded[int(self.random.random() * len(least_loaded))]


class PowerOfTwo(BasePicker):
    """Chooses the less loaded of two random hosts.

    Source: Mitzenmacher 2001, The Power of Two Choices in Randomized Load Balancing.
    """

    def load(self, host: Host, now_ms: float) -> float:
        """Return the load by which hosts are compared."""
        return host.in_flight

    def pick(self, now_ms: float, excluded_ids: list[int]) -> Host | None:
        """Return the less loaded of two random hosts."""
        hosts = self.candidates(excluded_ids)
        if len(hosts) < 2:
            return hosts[0] if hosts else None
        first = int(self.random.random() * len(hosts))
        second = int(self.random.random() * (len(hosts) - 1))
        one, other = hosts[first], hosts[second + (second >= first)]
        return one if self.load(one, now_ms) <= self.load(other, now_ms) else other


class PeakEwma(PowerOfTwo):
    """Finagle's PeakEwma over two choices.

    The load is an average latency that rises at once and falls slowly, times the requests in
    flight.
    """

    DECAY_MS = 10_000.0
    # Makes a host the last choice while it has requests in flight but no answer yet.
    UNKNOWN_LATENCY_PENALTY = 1e9

    def observe(self, host: Host, now_ms: float, latency_ms: float) -> None:
        """Add a latency to the host's average."""
        passed_ms = max(now_ms - host.ewma_updated_ms, 0.0)
        weight = math.exp(-passed_ms / self.DECAY_MS)
        host.ewma_updated_ms = now_ms
        host.latency_ewma_ms = (
            latency_ms
            if latency_ms > host.latency_ewma_ms
            else host.latency_ewma_ms * weight + latency_ms * (1 - weight)
        )

    def load(self, host: Host, now_ms: float) -> float:
        """Return the decayed average latency times the requests in flight, plus one."""
        self.observe(host, now_ms, 0.0)
        if host.latency_ewma_ms < 1e-9 and host.in_flight:
            return self.UNKNOWN_LATENCY_PENALTY + host.in_flight
        return host.latency_ewma_ms * (host.in_flight + 1)

    def attempt_ended(self, host: Host, now_ms: float, elapsed_ms: float, result: int) -> None:
        """Add the attempt's latency to the host's average."""
        self.observe(host, now_ms, elapsed_ms)


class WeightedLeastRequest(PowerOfTwo):
    """Envoy's least request.

    With equal weights it chooses between two random hosts. Otherwise it is an earliest deadline
    first schedule by weight over (requests in flight + 1) to the power of the bias, which is 1.
    """

    def __init__(self, rng: random.Random) -> None:
        super().__init__(rng)
        self.heap: list[tuple[float, int, Host]] = []
        self.order = itertools.count()
        self.virtual_time = 0.0

    def hosts(self, hosts: list[Host]) -> None:
        """Replace the ready hosts and start a new schedule."""
        super().hosts(hosts)
        self.heap = []
        if len({host.entry.size for host in hosts}) > 1:
            # The random offsets keep nodes from starting with the same host.
            for host in hosts:
                self.schedule(host, self.random.random())
        self.virtual_time = 0.0

    def schedule(self, host: Host, interval_share: float = 1.0) -> None:
        """Put a host into the schedule, after this share of its interval."""
        weight = max(host.entry.size, 1e-6) / (host.in_flight + 1)
        heapq.heappush(
            self.heap, (self.virtual_time + interval_share / weight, next(self.order), host)
        )

    def pick(self, now_ms: float, excluded_ids: list[int]) -> Host | None:
        """Return the host with the earliest deadline that is not excluded."""
        if not self.heap:
            return super().pick(now_ms, excluded_ids)
        popped: list[Host] = []
        found: Host | None = None
        while self.heap and found is None:
            self.virtual_time, _, host = heapq.heappop(self.heap)
            popped.append(host)
            if host.entry.id not in excluded_ids:
                found = host
        for host in popped:
            self.schedule(host)
        return found


@dataclass(slots=True)
class ProbeAnswer:
    """An answer in Prequal's pool."""

    host: Host
    received_ms: float
    in_flight: float  # requests at the server
    latency_ms: float
    remaining_uses: int


class Prequal(BasePicker):
    """Prequal: balances by the requests in flight and the latency that servers report.

    Source: Wydmuch and others 2024, Load is not what you should balance: Introducing Prequal
    (NSDI), section 4. Probes run in parallel with requests and fill a pool of answers. A pooled
    server with more requests in flight than a quantile is hot. If there are cold servers, the one
    with the lowest latency is chosen; if all are hot, the one with the fewest requests in flight.
    """

    PROBES_PER_REQUEST = 3
    REMOVALS_PER_REQUEST = 1
    MAX_POOL_ANSWERS = 16
    MAX_ANSWER_AGE_MS = 1000.0
    HOT_QUANTILE = 0.84  # of the requests in flight
    REUSE_DELTA = 1.0  # delta of the reuse budget
    RECENT_ANSWERS = 128  # over which the quantile is taken

    def __init__(self, rng: random.Random) -> None:
        super().__init__(rng)
        self.pool: list[ProbeAnswer] = []
        # Requests in flight as recent answers reported them.
        self.recent_in_flight: deque[float] = deque(maxlen=self.RECENT_ANSWERS)
        self.remove_worst_next = True

    def max_uses(self) -> int:
        """Return how often an answer may be used before it is dropped."""
        share = 1 - self.MAX_POOL_ANSWERS / max(len(self.ready), self.MAX_POOL_ANSWERS + 1)
        surplus = share * self.PROBES_PER_REQUEST - self.REMOVALS_PER_REQUEST
        uses = (1 + self.REUSE_DELTA) / surplus if surplus > 0 else self.MAX_POOL_ANSWERS
        return max(1, min(self.MAX_POOL_ANSWERS, math.ceil(uses)))

    def hosts(self, hosts: list[Host]) -> None:
        """Replace the ready hosts and drop the answers of others."""
        super().hosts(hosts)
        self.pool = [answer for answer in self.pool if answer.host.ready]

    def probe_targets(self, now_ms: float) -> list[int]:
        """Return random endpoints to probe."""
        count = min(self.PROBES_PER_REQUEST, len(self.ready))
        return [host.entry.id for host in self.random.sample(self.ready, count)]

    def probe_answered(self, host: Host, now_ms: float, report: tuple[float, ...]) -> None:
        """Add an answer to the pool, in place of the oldest one if it is full."""
        in_flight, latency_ms = report
        self.recent_in_flight.append(in_flight)
        if not host.ready:
            return
        if len(self.pool) >= self.MAX_POOL_ANSWERS:
            self.pool.pop(0)
        self.pool.append(ProbeAnswer(host, now_ms, in_flight, latency_ms, self.max_uses()))

    def hot_threshold(self) -> float:
        """Return the requests in flight above which a server is hot."""
        ordered = sorted(self.recent_in_flight)
        return ordered[int(self.HOT_QUANTILE * (len(ordered) - 1))] if ordered else math.inf

    def pick(self, now_ms: float, excluded_ids: list[int]) -> Host | None:
        """Return the best host of the pool, or a random one if the pool has too few answers."""
        self.pool = [
            answer
            for answer in self.pool
            if now_ms - answer.received_ms <= self.MAX_ANSWER_AGE_MS and answer.remaining_uses > 0
        ]
        usable = [answer for answer in self.pool if answer.host.entry.id not in excluded_ids]
        if len(usable) < 2:
            hosts = self.candidates(excluded_ids)
            return hosts[int(self.random.random() * len(hosts))] if hosts else None
        threshold = self.hot_threshold()
        cold = [answer for answer in usable if answer.in_flight <= threshold]
        chosen = (
            min(cold, key=lambda answer: answer.latency_ms)
            if cold
            else min(usable, key=lambda answer: answer.in_flight)
        )
        chosen.remaining_uses -= 1
        # The request sent now is in flight there before the next probe reports it.
        chosen.in_flight += 1
        self.remove_answers(threshold)
        return chosen.host

    def remove_answers(self, threshold: float) -> None:
        """Remove one answer for each request, alternating between the worst and the oldest."""
        for _ in range(self.REMOVALS_PER_REQUEST):
            if len(self.pool) <= 2:
                return
            if self.remove_worst_next:
                hot = [answer for answer in self.pool if answer.in_flight > threshold]
                worst = (
                    max(hot, key=lambda answer: answer.in_flight)
                    if hot
                    else max(self.pool, key=lambda answer: answer.latency_ms)
                )
                self.pool.remove(worst)
            else:
                self.pool.pop(0)
            self.remove_worst_next = not self.remove_worst_next


class Priority(PowerOfTwo):
    """Envoy's priority levels with its documented overprovisioning factor of 1.4.

    A node's own zone has the first priority. It gets min(100, 140 * healthy / all) percent of the
    requests, the other zones get the rest. Each node finds out by itself who is healthy, by active
    checks each second: three that fail in a row make an endpoint unhealthy, two that are answered
    make it healthy again.
    """

    OVERPROVISIONING_FACTOR = 1.4
    CHECK_INTERVAL_MS = 1000.0
    CHECK_TIMEOUT_MS = 500.0
    UNHEALTHY_THRESHOLD = 3  # checks in a row that failed
    HEALTHY_THRESHOLD = 2  # checks in a row that were answered

    def __init__(self, rng: random.Random) -> None:
        super().__init__(rng)
        # All by endpoint id.
        self.check_sent_ms: dict[int, float] = {}  # of checks that are not answered yet
        self.next_check_ms: dict[int, float] = {}
        self.failures_in_row: dict[int, int] = {}
        self.answers_in_row: dict[int, int] = {}
        self.unhealthy: set[int] = set()

    def probe_targets(self, now_ms: float) -> list[int]:
        """Count checks that timed out; return the endpoints whose next check is due."""
        for endpoint_id in [
            checked_id
            for checked_id, sent_ms in self.check_sent_ms.items()
            if now_ms - sent_ms > self.CHECK_TIMEOUT_MS
        ]:
            del self.check_sent_ms[endpoint_id]
            self.answers_in_row[endpoint_id] = 0
            self.failures_in_row[endpoint_id] = self.failures_in_row.get(endpoint_id, 0) + 1
            if self.failures_in_row[endpoint_id] >= self.UNHEALTHY_THRESHOLD:
                self.unhealthy.add(endpoint_id)
        due = [
            host.entry.id
            for host in self.ready
            if now_ms >= self.next_check_ms.setdefault(host.entry.id, now_ms)
        ]
        for endpoint_id in due:
            self.next_check_ms[endpoint_id] = now_ms + self.CHECK_INTERVAL_MS * (
                0.9 + 0.2 * self.random.random()
            )
            self.check_sent_ms.setdefault(endpoint_id, now_ms)
        return due

    def probe_answered(self, host: Host, now_ms: float, report: tuple[float, ...]) -> None:
        """Count an answered check, unless it has timed out."""
        endpoint_id = host.entry.id
        if self.check_sent_ms.pop(endpoint_id, None) is None:
            return
        self.failures_in_row[endpoint_id] = 0
        self.answers_in_row[endpoint_id] = self.answers_in_row.get(endpoint_id, 0) + 1
        if self.answers_in_row[endpoint_id] >= self.HEALTHY_THRESHOLD:
            self.unhealthy.discard(endpoint_id)

    def pick(self, now_ms: float, excluded_ids: list[int]) -> Host | None:
        """Return the less loaded of two random hosts of the zone group drawn by priority."""
        local = [host for host in self.ready if host.entry.zone == self.zone]
        healthy = [host for host in local if host.entry.id not in self.unhealthy]
        local_share = (
            min(1.0, self.OVERPROVISIONING_FACTOR * len(healthy) / len(local)) if local else 0.0
        )
        remote = [
            host
            for host in self.ready
            if host.entry.zone != self.zone and host.entry.id not in self.unhealthy
        ]
        first, second = (
            (healthy, remote) if self.random.random() < local_share else (remote, healthy)
        )
        # All ready hosts come last, as in Envoy's panic mode, where none is healthy.
        for group in (first, second, self.ready):
            hosts = [host for host in group if host.entry.id not in excluded_ids]
            if hosts:
                one = hosts[int(self.random.random() * len(hosts))]
                other = hosts[int(self.random.random() * len(hosts))]
                return one if one.in_flight <= other.in_flight else other
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
