"""Open-loop driver: sends a plan's requests at their scheduled times, from several processes.

The result of one request never delays the next: a target that stalls still gets everything that
was planned, and its stall shows in the response times of all requests that it delayed, because
times count from the schedule. A sender that falls behind its own schedule reports it.
"""

from __future__ import annotations

import asyncio
import concurrent.futures
import multiprocessing
import time
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field

from lab.arrivals import RequestPlan, plan_requests
from lab.load.request_writers import REQUEST_WRITERS, Planned
from lab.metrics import DayMetrics
from lab.settings import Day
from standins import http1

MAX_LAG_MS = 20.0  # a request that is sent later than this was not sent on schedule
START_DELAY_S = 1.0  # until the first request: the processes have to start
OUTCOME_BY_STATUS = {200: "served", 503: "refused", 429: "refused"}


@dataclass(slots=True, frozen=True)
class RequestResult:
    """The result of a request."""

    number: int
    status: int  # 0: no response before the deadline
    took_ms: float  # from the scheduled time
    lag_ms: float  # from the scheduled time until it was sent


@dataclass(slots=True)
class LoadResults:
    """The results of a plan."""

    sent: list[RequestResult] = field(default_factory=list)

    @property
    def behind(self) -> int:
        """Return how many requests were not sent on schedule."""
        return sum(result.lag_ms > MAX_LAG_MS for result in self.sent)

    @property
    def worst_lag(self) -> float:
        """Return the longest lag (ms)."""
        return max((result.lag_ms for result in self.sent), default=0.0)


class Driver:
    """Sends one process's part of a plan to one address."""

    def __init__(self, address: str, day: Day, seed: int, way: str, connections: int) -> None:
        self.address, self.day, self.seed = address, day, seed
        self.write_request = REQUEST_WRITERS[way]
        self.connections = http1.ConnectionPool()
        self.max_connections, self.open_requests = connections, 0
        self.waiting: deque[asyncio.Future[None]] = deque()
        self.results = LoadResults()

    async def play(self, rows: Sequence[Planned], start: float) -> LoadResults:
        """Send the requests and return their results.

        `start` is on the monotonic clock (s), which all processes share.
        """
        tasks: list[asyncio.Future[None]] = []
        for row in rows:
            wait = start + row.at_ms / 1000 - time.monotonic()
            if wait > 0:
                await asyncio.sleep(wait)
            elif len(tasks) % 64 == 0:
                # Behind the schedule: responses must still be read.
                await asyncio.sleep(0)
            tasks.append(asyncio.ensure_future(self.send_request(row, start + row.at_ms / 1000)))
        await asyncio.gather(*tasks)
        self.connections.close()
        return self.results

    async def send_request(self, row: Planned, scheduled_s: float) -> None:
        """Send one request and record its result by its deadline."""
        deadline = scheduled_s + self.day.class_[row.cls].deadline_ms / 1000
        try:
            async with asyncio.timeout_at(
                asyncio.get_running_loop().time() + deadline - time.monotonic()
            ):
                lag_ms = await self.acquire_connection(scheduled_s)
                try:
                    status = await self.exchange(row)
                finally:
                    self.open_requests -= 1
                    if self.waiting and not (next_request := self.waiting.popleft()).done():
                        next_request.set_result(None)
        except TimeoutError:
            status, lag_ms = 0, (time.monotonic() - scheduled_s) * 1000
        except (OSError, asyncio.IncompleteReadError, ValueError):
            status, lag_ms = 0, 0.0
        self.results.sent.append(
            RequestResult(row.number, status, (time.monotonic() - scheduled_s) * 1000, lag_ms)
        )

    async def acquire_connection(self, scheduled_s: float) -> float:
        """Wait for a free connection and return how late the request is sent (ms)."""
        while self.open_requests >= self.max_connections:
            free = asyncio.get_running_loop().create_future()
            self.waiting.append(free)
            await free
        self.open_requests += 1
        return max(0.0, (time.monotonic() - scheduled_s) * 1000)

    async def exchange(self, row: Planned) -> int:
        """Send one request and return the status of its response."""
        reader, writer = await self.connections.acquire(self.address)
        reusable = False
        try:
            writer.write(self.write_request(self.day, self.seed, row))
            response = await http1.read_message(reader)
            reusable = response.headers.get("connection") != "close"
        finally:
            if reusable:
                self.connections.release(self.address, reader, writer)
            else:
                writer.close()
        return response.status


def rows_of(requests: RequestPlan, part: int, parts: int) -> list[Planned]:
    """Return every `parts`-th request of a plan, from `part` on."""
    columns = (requests.at_ms, requests.class_index, requests.tenant_index, requests.key)
    rows = zip(range(len(requests)), *(column.tolist() for column in columns), strict=True)
    return [Planned(*row) for row in rows if row[0] % parts == part]


async def play_part(
    address: str,
    day: Day,
    seed: int,
    way: str,
    part: int,
    parts: int,
    connections: int,
    start: float,
) -> LoadResults:
    """Send one process's part of a plan, through a proxy of its own for the processor."""
    proxy = None
    if way == "processor":
        # Imported only when needed, because it is slow to import.
        from standins.proxy import Proxy

        proxy = await Proxy(address, f"lab-{part}").start()
        address = proxy.address
    driver = Driver(address, day, seed, way, connections)
    try:
        return await driver.play(rows_of(plan_requests(day, seed), part, parts), start)
    finally:
        if proxy is not None:
            await proxy.stop()


def run_part(
    address: str,
    day: Day,
    seed: int,
    way: str,
    part: int,
    parts: int,
    connections: int,
    start: float,
) -> LoadResults:
    """Run `play_part` in a process of its own."""
    return asyncio.run(play_part(address, day, seed, way, part, parts, connections, start))


def drive(
    addresses: Sequence[str],
    day: Day,
    seed: int,
    way: str = "http",
    processes: int = 2,
    connections: int = 1000,
    start: float = 0.0,
) -> LoadResults:
    """Send a plan to nodes that listen on these addresses; each process sends to one of them."""
    start = start or time.monotonic() + START_DELAY_S
    all_results = LoadResults()
    context = multiprocessing.get_context("spawn")
    with concurrent.futures.ProcessPoolExecutor(processes, context) as pool:
        running = [
            pool.submit(
                run_part, addresses[part % len(addresses)], day, seed, way, part, processes,
                max(1, connections // processes), start,
            )
            for part in range(processes)
        ]  # fmt: skip
        for future in running:
            part_results = future.result()
            all_results.sent += part_results.sent
    return all_results


def measured(day: Day, seed: int, results: LoadResults) -> DayMetrics:
    """Return the results as the same figures as the model's."""
    measure, requests = DayMetrics(day), plan_requests(day, seed)
    for result in results.sent:
        scheduled_at_ms = float(requests.at_ms[result.number])
        outcome = OUTCOME_BY_STATUS.get(result.status, "failed" if result.status else "lost")
        measure.request_offered(scheduled_at_ms)
        measure.request_ended(
            scheduled_at_ms,
            int(requests.class_index[result.number]),
            int(requests.tenant_index[result.number]),
            outcome,
            result.took_ms,
        )
    return measure
