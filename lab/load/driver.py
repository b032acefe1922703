"""Sends a plan's requests at their times, open loop, over several processes; times count from the
schedule.

What comes of one request never moves the next: a target that stalls gets all that was planned, and
its stall is in the histogram of all that it kept waiting. A sender that falls behind its own
schedule says so.
"""

from __future__ import annotations

import asyncio
import concurrent.futures
import multiprocessing
import time
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field

from lab.arrivals import Plan, plan
from lab.load.ways import WAYS, Planned
from lab.measure import Measure
from lab.settings import Day
from standins import http1

BEHIND = 20.0  # ms: a request that sets out later than that was not sent by its schedule
LEAD = 1.0  # s until the first request: processes have to come up
END_BY_STATUS = {200: "served", 503: "refused", 429: "refused"}


@dataclass(slots=True, frozen=True)
class Sent:
    """What came of a request."""

    number: int
    status: int  # 0: no answer in its time
    took: float  # ms from the time that the schedule had for it
    lag: float  # ms after that time at which it set out


@dataclass(slots=True)
class Told:
    """What came of a plan."""

    sent: list[Sent] = field(default_factory=list)

    @property
    def behind(self) -> int:
        return sum(one.lag > BEHIND for one in self.sent)

    @property
    def worst_lag(self) -> float:
        return max((one.lag for one in self.sent), default=0.0)


class Driver:
    """One process's part of a plan."""

    def __init__(self, address: str, day: Day, seed: int, way: str, connections: int) -> None:
        self.address, self.day, self.seed = address, day, seed
        self.write = WAYS[way]
        self.idle = http1.Connections()
        self.most, self.out = connections, 0
        self.waiting: deque[asyncio.Future[None]] = deque()
        self.told = Told()

    async def play(self, rows: Sequence[Planned], start: float) -> Told:
        """`start`: s on the monotonic clock, which all processes share."""
        asking: list[asyncio.Future[None]] = []
        for row in rows:
            wait = start + row.at / 1000 - time.monotonic()
            if wait > 0:
                await asyncio.sleep(wait)
            elif len(asking) % 64 == 0:
                await asyncio.sleep(0)  # behind: answers must be read all the same
            asking.append(asyncio.ensure_future(self.ask(row, start + row.at / 1000)))
        await asyncio.gather(*asking)
        self.idle.close()
        return self.told

    async def ask(self, row: Planned, planned: float) -> None:
        deadline = planned + self.day.class_[row.cls].deadline_ms / 1000
        try:
            async with asyncio.timeout_at(
                asyncio.get_running_loop().time() + deadline - time.monotonic()
            ):
                lag = await self.turn(planned)
                try:
                    status = await self.exchange(row)
                finally:
                    self.out -= 1
                    if self.waiting and not (following := self.waiting.popleft()).done():
                        following.set_result(None)
        except TimeoutError:
            status, lag = 0, (time.monotonic() - planned) * 1000
        except (OSError, asyncio.IncompleteReadError, ValueError):
            status, lag = 0, 0.0
        self.told.sent.append(Sent(row.number, status, (time.monotonic() - planned) * 1000, lag))

    async def turn(self, planned: float) -> float:
        """Wait for one of the connections; gives how late the request sets out (ms)."""
        while self.out >= self.most:
            free = asyncio.get_running_loop().create_future()
            self.waiting.append(free)
            await free
        self.out += 1
        return max(0.0, (time.monotonic() - planned) * 1000)

    async def exchange(self, row: Planned) -> int:
        reader, writer = await self.idle.open(self.address)
        kept = False
        try:
            writer.write(self.write(self.day, self.seed, row))
            answer = await http1.read_message(reader)
            kept = answer.headers.get("connection") != "close"
        finally:
            if kept:
                self.idle.keep(self.address, reader, writer)
            else:
                writer.close()
        return answer.status


def rows_of(asked: Plan, part: int, parts: int) -> list[Planned]:
    """Every `parts`-th row, from `part` on."""
    columns = (asked.at, asked.cls, asked.tenant, asked.key)
    rows = zip(range(len(asked)), *(column.tolist() for column in columns), strict=True)
    return [Planned(*row) for row in rows if row[0] % parts == part]


async def _play(address: str, day: Day, seed: int, way: str, part: int, parts: int, connections: int,
                start: float) -> Told:  # fmt: skip
    proxy = None
    if way == "processor":
        from standins.proxy import Proxy  # heavy: only where it is asked for

        proxy = await Proxy(address, f"lab-{part}").start()
        address = proxy.address
    driver = Driver(address, day, seed, way, connections)
    try:
        return await driver.play(rows_of(plan(day, seed), part, parts), start)
    finally:
        if proxy is not None:
            await proxy.stop()


def _worker(address: str, day: Day, seed: int, way: str, part: int, parts: int, connections: int,
            start: float) -> Told:  # fmt: skip
    return asyncio.run(_play(address, day, seed, way, part, parts, connections, start))


def drive(
    addresses: Sequence[str], day: Day, seed: int, way: str = "http", processes: int = 2,
    connections: int = 1000, start: float = 0.0,
) -> Told:  # fmt: skip
    """Play a plan against nodes that listen on these addresses; each process sends to one of
    them."""
    start = start or time.monotonic() + LEAD
    whole = Told()
    context = multiprocessing.get_context("spawn")
    with concurrent.futures.ProcessPoolExecutor(processes, context) as pool:
        running = [
            pool.submit(
                _worker, addresses[part % len(addresses)], day, seed, way, part, processes,
                max(1, connections // processes), start,
            )
            for part in range(processes)
        ]  # fmt: skip
        for future in running:
            told = future.result()
            whole.sent += told.sent
    return whole


def measured(day: Day, seed: int, told: Told) -> Measure:
    """The same figures as the model's."""
    measure, asked = Measure(day), plan(day, seed)
    for one in told.sent:
        born = float(asked.at[one.number])
        end = END_BY_STATUS.get(one.status, "failed" if one.status else "lost")
        measure.offered(born)
        measure.over(born, int(asked.cls[one.number]), int(asked.tenant[one.number]), end, one.took)
    return measure
