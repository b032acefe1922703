"""Clients of a soak: each sends one request after another on a connection that it keeps.

They follow the protocol's page: a connection that ends before anything of an answer has come, and
that has carried a request before, may have crossed with the request, which is then sent once more
on a new one.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Coroutine
from dataclasses import dataclass
from typing import Any, TypeVar

from standins import http1
from standins.crowd import IDEMPOTENT, KEYED, UNSAFE, read_body, request
from standins.planned_answers import AnswerPlan

DEADLINES_MS = {IDEMPOTENT: 1400, KEYED: 1900, UNSAFE: 1400}
# After its time, an answer still counts as one for this long.
LATE_S = 0.5
# Long answers are timed by their first bytes, and may take this long as a whole.
LONG_ANSWER_S = 10.0
# Iterations of the loop after a limit, in which it reads what has arrived.
FINAL_READS = 5
PAUSE_S = 0.02
# Parts of all requests.
LUMPS_SHARE = 0.02
STOPPED_SHARE = 0.02
LONG_BODY_SHARE = 0.02
RETRY_PAUSE_S = 0.05
LONG_BYTES = 65536
READ_LIMIT_BYTES = 1 << 20


Result = TypeVar("Result")


@dataclass(slots=True)
class SentRequest:
    """A request and what came of it.

    Attributes:
        sent_s: when its last byte was written.
        outcome: the status, or why there is none: `unreachable`, `unread`, `unwritten`, `lost`,
            `late`, or `ended` for an answer that its server does not finish.
    """

    request_id: str
    request_class: str
    plan: AnswerPlan
    sent_s: float  # monotonic clock
    timeout_ms: int
    body_bytes: int = 0
    outcome: str = ""
    took_s: float = 0.0
    connected_s: float = 0.0  # when its connection was opened for it; 0: it was open before


# Lumps of a long answer, as a slow server writes them; the second comes soon after the short time.
LUMP_BYTES = 58_000
LUMP_INTERVAL_MS = 800
SHORT_TIMES_MS = (700, 790)
# Where servers stop within a short answer.
STOPPED_BYTES = 60_000
STOPS_AFTER_BYTES = (0, 8, 2000, 20_000, 58_000)
LONG_BODIES_BYTES = (200_000, 6_000_000)
SLOW_READ_RATES = (0, 1_000_000, 3_000_000)


async def within(limit_s: float, reading: Coroutine[Any, Any, Result]) -> Result:
    """Return what is read until a limit. Raises TimeoutError.

    A loop that is held up runs its timers before it reads: what has arrived by then counts.
    """
    task = asyncio.ensure_future(reading)
    await asyncio.wait({task}, timeout=max(0.0, limit_s))
    for _ in range(FINAL_READS):
        if task.done():
            break
        await asyncio.sleep(0)
    if not task.done():
        task.cancel()
        raise TimeoutError
    return task.result()


def draw_framing(rng: random.Random) -> dict[str, int]:
    """Return how an answer states where it ends."""
    return rng.choice(({}, {"chunked": 1}, {"until_close": 1}))


def draw_lumps(rng: random.Random) -> AnswerPlan:
    """Return a long answer in lumps that are far apart."""
    size = rng.randint(2 * LUMP_BYTES + 10_000, 4 * LUMP_BYTES)
    return AnswerPlan(size, piece=LUMP_BYTES, interval=LUMP_INTERVAL_MS, **draw_framing(rng))


def draw_stopped(rng: random.Random) -> AnswerPlan:
    """Return a short answer that its server does not finish."""
    after = rng.choice(STOPS_AFTER_BYTES)
    return AnswerPlan(STOPPED_BYTES, hang_after=after, **draw_framing(rng))


def draw_plan(rng: random.Random) -> AnswerPlan:
    """Return an answer as servers give them: most are short, some long, late or slow."""
    kind = rng.random()
    if kind < 0.7:
        return AnswerPlan(rng.randint(10, 2000), rng.randint(0, 1), rng.randint(0, 30))
    if kind < 0.8:
        return AnswerPlan(rng.randint(100_000, 600_000), rng.randint(0, 1))
    if kind < 0.9:
        return AnswerPlan(
            rng.randint(100_000, 200_000), rng.randint(0, 1), 0, rng.randint(600, 1000), 8192, 10
        )
    return AnswerPlan(rng.randint(10, 60_000), rng.randint(0, 1), 0, rng.randint(0, 100), 4096, 2)


class SoakClient:
    """One client."""

    def __init__(self, port: int, seed: str, sent: list[SentRequest]) -> None:
        self.port, self.sent = port, sent
        self.random = random.Random(seed)
        self.streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self.number = 0
        self.seed = seed

    async def run(self, stop: asyncio.Event) -> None:
        """Send requests until told to stop."""
        while not stop.is_set():
            await self.send(self.draw())
            await asyncio.sleep(PAUSE_S * self.random.random())
        self.close()

    def draw(self) -> SentRequest:
        """Return the next request."""
        self.number += 1
        request_class = self.random.choice((IDEMPOTENT, IDEMPOTENT, KEYED, UNSAFE))
        plan, timeout_ms, body_bytes = draw_plan(self.random), DEADLINES_MS[request_class], 0
        kind = self.random.random()
        if kind < LUMPS_SHARE:
            plan, timeout_ms = draw_lumps(self.random), self.random.randint(*SHORT_TIMES_MS)
        elif kind < LUMPS_SHARE + STOPPED_SHARE:
            plan = draw_stopped(self.random)
        elif request_class != IDEMPOTENT:
            body_bytes = self.random.randint(0, 3000)
            if kind > 1 - LONG_BODY_SHARE:
                body_bytes = self.random.randint(*LONG_BODIES_BYTES)
                plan = AnswerPlan(read_rate=self.random.choice(SLOW_READ_RATES))
        name = f"{self.seed}-{self.number}"
        return SentRequest(name, request_class, plan, time.monotonic(), timeout_ms, body_bytes)

    async def send(self, item: SentRequest) -> None:
        """Send a request, and record what came of it."""
        data = request(
            item.request_class, item.plan, item.timeout_ms, bytes(item.body_bytes), item.request_id
        )
        is_reused = self.streams is not None
        item.outcome = await self.exchange(data, item)
        if item.outcome == "lost" and is_reused:
            item.sent_s = time.monotonic()
            item.outcome = await self.exchange(data, item)
            if item.outcome == "unreachable":
                item.outcome = "unread"
        item.took_s = time.monotonic() - item.sent_s
        self.sent.append(item)
        if item.outcome == "unreachable":
            await asyncio.sleep(RETRY_PAUSE_S)

    async def exchange(self, data: bytes, item: SentRequest) -> str:
        """Send a request and return the status of its answer, or why there is none."""
        try:
            item.connected_s = 0.0
            if self.streams is None:
                item.connected_s = time.monotonic()
                self.streams = await asyncio.open_connection(
                    "127.0.0.1", self.port, limit=READ_LIMIT_BYTES
                )
        except OSError:
            return "unreachable"
        reader, writer = self.streams
        wait_s = item.timeout_ms / 1000 + LATE_S
        writer.transport.set_write_buffer_limits(0)
        try:
            item.sent_s = time.monotonic()  # a connection may have taken long to come up
            writer.write(data)
            await writer.drain()
        except OSError:
            self.close()
            return "unwritten" if item.body_bytes > LONG_BYTES else "lost"
        if item.body_bytes > LONG_BYTES:
            item.sent_s = time.monotonic()
        try:
            head = await within(wait_s, http1.read_head(reader))
        except TimeoutError:
            self.close()
            return "late"
        except asyncio.IncompleteReadError as error:
            self.close()
            return "cut off" if error.partial else "lost"
        except OSError:
            self.close()
            return "lost"
        return await self.rest(reader, head, item)

    async def rest(
        self, reader: asyncio.StreamReader, head: http1.Message, item: SentRequest
    ) -> str:
        """Read an answer that has begun; return its status, or that it was cut off."""
        is_stopped = head.status == 200 and item.plan.hang_after >= 0
        ends_s = item.sent_s + item.timeout_ms / 1000 + LATE_S
        patience_s = ends_s - time.monotonic() if is_stopped else LONG_ANSWER_S
        try:
            body = await within(patience_s, read_body(head, reader))
        except TimeoutError:
            self.close()
            return "late" if is_stopped else "cut off"
        except (asyncio.IncompleteReadError, OSError):
            self.close()
            return "ended" if is_stopped else "cut off"
        if head.headers.get("connection", "").lower() == "close":
            self.close()
        if head.status == 200 and len(body) != item.plan.body_bytes:
            return "wrong body"
        return str(head.status)

    def close(self) -> None:
        """Close the connection."""
        if self.streams is not None:
            self.streams[1].transport.abort()
            self.streams = None
