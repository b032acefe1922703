"""Models of servers: cores, a bounded queue, slow start, cached keys, and faults.

Servers are driven by the virtual clock and know nothing of nodes. They respond through a callback,
at the time at which the response leaves the server.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from badgercart.policy.events import AttemptResult
from lab.clock import VirtualClock
from lab.random_streams import RandomStream
from lab.settings import Day, ServerKind

# A server with the fault "errors" responds this fast, which is what makes it attract traffic.
FAULTY_ERROR_DELAY_MS = 1.0
MAX_CACHED_KEYS = 4096  # of a server
LATENCY_SMOOTHING = 0.2  # weight of the latest response in the average latency
# Start time of a server that starts with the day; 0 stands for one that started long ago.
DAY_START_MS = 1e-3


@dataclass(slots=True, eq=False)
class Job:
    """One attempt at a server."""

    request: int  # number of the client's request, which its retries share
    client_try: int  # of the request, from 1
    class_index: int
    key: int
    work_ms: float  # on a core of speed 1
    keyed: bool
    window_ms: float  # in which repetitions are dropped; 0: they are not
    respond: Callable[[AttemptResult], None]
    incarnation: int = 0  # of the server, when the job started
    arrived_ms: float = 0.0
    jobs_on_arrival: int = 0  # that the server had when this one arrived
    started: bool = False
    abandoned: bool = False


class Server:
    """One server of the fleet."""

    def __init__(
        self,
        clock: VirtualClock,
        day: Day,
        number: int,
        kind_index: int,
        random_stream: RandomStream,
    ) -> None:
        self.clock, self.day, self.number = clock, day, number
        self.kind: ServerKind = day.kind[kind_index]
        self.kind_index = kind_index
        self.zone, self.cell = number % day.net.zones, number % day.fleet.cells
        self.random_stream = random_stream
        # Faults: factor of the processing time, and shares of requests without response or failed.
        self.slowdown, self.silent_share, self.error_share = 1.0, 0.0, 0.0
        self.down = self.draining = False
        self.started_ms = 0.0  # 0: long ago
        self.incarnation = 0
        self.busy_cores = 0
        self.queue: deque[Job] = deque()
        # In the order in which they started.
        self.running: dict[Job, None] = {}
        self.keys_used_ms: dict[int, float] = {}  # by cached key: when it was last used
        self.on_effect: Callable[[Server, Job], None] = lambda server, job: None
        # Average latency of recent responses, by the jobs that the server had on arrival.
        self.latency_ms_by_jobs: dict[int, float] = {}
        # Metrics.
        self.served = self.rejected = 0
        self.busy_ms = 0.0

    # Faults.

    def crash(self) -> None:
        """Stop at once: all jobs are lost and their connections are reset."""
        self.down = True
        self.incarnation += 1
        lost = [*self.running, *self.queue]
        self.queue.clear()
        self.running.clear()
        self.keys_used_ms.clear()
        self.busy_cores = 0
        for job in lost:
            job.respond(AttemptResult.RESET)

    def start(self) -> None:
        """Start again, cold."""
        self.down = self.draining = False
        self.started_ms = max(self.clock.now_ms, DAY_START_MS)

    @property
    def slow_start_speed(self) -> float:
        """Return the share of its full speed that the server has at its age."""
        ramp_ms = self.kind.ramp_ms
        if not self.started_ms or not ramp_ms:
            return 1.0
        age = (self.clock.now_ms - self.started_ms) / ramp_ms
        return 1.0 if age >= 1 else self.kind.cold_from + (1 - self.kind.cold_from) * max(age, 0.0)

    @property
    def expected_latency_ms(self) -> float:
        """Return the latency of a request that arrives now, by recent responses.

        This is what the server reports to health checks.
        """
        if not self.latency_ms_by_jobs:
            return 0.0
        return self.latency_ms_by_jobs[
            min(self.latency_ms_by_jobs, key=lambda jobs: (abs(jobs - self.job_count), jobs))
        ]

    @property
    def job_count(self) -> int:
        """Return how many jobs are running or queued."""
        return self.busy_cores + len(self.queue)

    # Jobs.

    def receive(self, job: Job) -> None:
        """Start, queue or reject a job that has arrived."""
        if self.down:
            job.respond(AttemptResult.RESET)
        elif self.silent_share and self.random_stream() < self.silent_share:
            # There is no response; the node's attempt times out.
            return
        elif self.error_share and self.random_stream() < self.error_share:
            self.clock.call_after(FAULTY_ERROR_DELAY_MS, job.respond, AttemptResult.ERROR)
        elif self.busy_cores < self.kind.cores:
            job.arrived_ms, job.jobs_on_arrival = self.clock.now_ms, self.job_count
            self.start_job(job)
        elif len(self.queue) < self.kind.queue:
            job.arrived_ms, job.jobs_on_arrival = self.clock.now_ms, self.job_count
            self.queue.append(job)
        else:
            self.rejected += 1
            job.respond(AttemptResult.FULL)

    def start_job(self, job: Job) -> None:
        """Run a job on a free core."""
        self.busy_cores += 1
        job.started, job.incarnation = True, self.incarnation
        duration_ms = job.work_ms * self.slowdown / (self.kind.speed * self.slow_start_speed)
        if job.key and self.day.fleet.warm_gain:
            now_ms, used_ms = self.clock.now_ms, self.keys_used_ms.pop(job.key, -math.inf)
            if now_ms - used_ms < self.day.fleet.warm_ms:
                duration_ms *= 1 - self.day.fleet.warm_gain
            self.keys_used_ms[job.key] = now_ms
            if len(self.keys_used_ms) > MAX_CACHED_KEYS:
                del self.keys_used_ms[next(iter(self.keys_used_ms))]
        self.running[job] = None
        self.busy_ms += duration_ms
        self.clock.call_after(duration_ms, self.finish_job, job)

    def finish_job(self, job: Job) -> None:
        """Respond to a job and start queued ones, unless the server crashed meanwhile."""
        if job.incarnation != self.incarnation:
            return
        self.busy_cores -= 1
        self.running.pop(job, None)
        failed = self.kind.error_share and self.random_stream() < self.kind.error_share
        if not failed:
            self.served += 1
            latency_ms = self.clock.now_ms - job.arrived_ms
            average_ms = self.latency_ms_by_jobs.get(job.jobs_on_arrival, latency_ms)
            self.latency_ms_by_jobs[job.jobs_on_arrival] = (
                average_ms * (1 - LATENCY_SMOOTHING) + LATENCY_SMOOTHING * latency_ms
            )
            self.on_effect(self, job)
        job.respond(AttemptResult.ERROR if failed else AttemptResult.OK)
        while self.queue and self.busy_cores < self.kind.cores:
            next_job = self.queue.popleft()
            if next_job.abandoned and self.day.fleet.drops_abandoned:
                continue
            self.start_job(next_job)


def build_fleet(
    clock: VirtualClock, day: Day, random_stream: Callable[[int], RandomStream]
) -> list[Server]:
    """Return all servers of a day, with their kinds spread evenly according to their shares."""
    total_share, built_count = sum(kind.share for kind in day.kind), [0] * len(day.kind)
    servers = []
    for number in range(day.fleet.servers):
        missing = [
            kind.share / total_share * (number + 1) - built
            for kind, built in zip(day.kind, built_count, strict=True)
        ]
        kind_index = max(range(len(missing)), key=lambda index: (missing[index], -index))
        built_count[kind_index] += 1
        server = Server(clock, day, number, kind_index, random_stream(number))
        if day.fleet.all_cold:
            server.started_ms = DAY_START_MS
        servers.append(server)
    return servers
