"""Load generator: requests of all classes and tenants at seeded times, with the result of each."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable, Coroutine, Iterator
from dataclasses import dataclass
from typing import Any

from standins import http1

# The share of the requests that each tenant sends.
TENANTS = {
    "fovarosi": 0.26,
    "pesti": 0.16,
    "budai": 0.13,
    "debreceni": 0.11,
    "szegedi": 0.10,
    "gyori": 0.08,
    "pecsi": 0.06,
    "miskolci": 0.05,
    "kecskemeti": 0.05,
}


@dataclass(slots=True, frozen=True)
class RequestClass:
    """A request class.

    A response within `aim_ms` earns `worth`; after `deadline_ms` the client no longer waits.
    """

    name: str
    share: float
    aim_ms: float
    deadline_ms: float
    worth: float
    keyed: bool


LOOKUP = RequestClass("cab-lookup", 0.56, 580.0, 1400.0, 2.0, False)
ASSIGN = RequestClass("ride-assign", 0.44, 750.0, 1900.0, 8.0, True)
REQUEST_CLASSES = (LOOKUP, ASSIGN)


def class_tables() -> list[str]:
    """Return the settings of these classes for an operator's file."""
    lines: list[str] = []
    for request_class in REQUEST_CLASSES:
        lines += [
            f'[[class]]\nname = "{request_class.name}"\naim_ms = {request_class.aim_ms}\ndeadline_ms = {request_class.deadline_ms}',
            f'worth = {request_class.worth}\neffect = "{"keyed" if request_class.keyed else "safe"}"',
            "window_ms = 6000" if request_class.keyed else "",
        ]
    return lines


@dataclass(slots=True, frozen=True)
class Arrival:
    """A request that will be sent; all of it is drawn ahead."""

    # From the start of the traffic.
    send_at_s: float
    request_class: RequestClass
    tenant: str
    request_id: str
    # The ride that it asks about.
    ride: str


@dataclass(slots=True, frozen=True)
class Result:
    """The result of one request."""

    arrival: Arrival
    # The HTTP status, 0 where no response came in time.
    status: int
    response_time_ms: float
    retry_after: str

    @property
    def outcome(self) -> str:
        """One of served, refused (429 or 503), failed (another status) and lost (no response)."""
        if self.status == 200:
            return "served"
        return "refused" if self.status in (429, 503) else "failed" if self.status else "lost"

    @property
    def earned_worth(self) -> float:
        """What the response is worth: all of it within the aim, nothing after it."""
        return (
            self.arrival.request_class.worth
            if self.status == 200 and self.response_time_ms <= self.arrival.request_class.aim_ms
            else 0.0
        )


def draw_arrivals(seed: int, rate: float, seconds: float, rides: int = 500) -> Iterator[Arrival]:
    """Draw Poisson arrivals at `rate` per second.

    A few of the rides are far more popular than the rest.
    """
    rng, send_at_s, number = random.Random(seed), 0.0, 0
    while (send_at_s := send_at_s + rng.expovariate(rate)) < seconds:
        number += 1
        request_class = LOOKUP if rng.random() < LOOKUP.share else ASSIGN
        tenant = rng.choices(list(TENANTS), list(TENANTS.values()))[0]
        ride = int(rides * rng.random() ** 3)
        yield Arrival(send_at_s, request_class, tenant, f"{seed:x}-{number:x}", f"ride{ride}")


async def exchange(
    address: str, data: bytes, timeout_ms: float, connections: http1.ConnectionPool
) -> http1.Message | None:
    """Send one request on a pooled connection and return the response.

    Returns None where no response came within `timeout_ms`.
    """
    try:
        async with asyncio.timeout(timeout_ms / 1000):
            reader, writer = await connections.acquire(address)
            try:
                writer.write(data)
                response = await http1.read_message(reader)
            except BaseException:
                writer.close()
                raise
    except (TimeoutError, OSError, asyncio.IncompleteReadError, ValueError):
        return None
    if response.headers.get("connection") == "close":
        writer.close()
    else:
        connections.release(address, reader, writer)
    return response


def result_of(arrival: Arrival, sent_at_s: float, response: http1.Message | None) -> Result:
    """Return the result of an arrival that was sent at `sent_at_s` on the monotonic clock."""
    response_time_ms = (time.monotonic() - sent_at_s) * 1000
    if response is None:
        return Result(arrival, 0, response_time_ms, "")
    return Result(
        arrival, response.status, response_time_ms, response.headers.get("retry-after", "")
    )


async def send_request(
    address: str, arrival: Arrival, connections: http1.ConnectionPool, grace_ms: float = 0.0
) -> Result:
    """Send one request; its response time counts from here.

    The client waits for the response until `grace_ms` after the request's deadline.
    """
    request_class, sent_at_s = arrival.request_class, time.monotonic()
    headers = {
        "host": "backend.local",
        "request-id": arrival.request_id,
        "tenant": arrival.tenant,
        "request-timeout": f"{request_class.deadline_ms:.0f}m",
    }
    if request_class.keyed:
        headers["idempotency-key"] = f"key-{arrival.request_id}"
    target = f"/{request_class.name}/{arrival.ride}"
    data = http1.request("POST" if request_class.keyed else "GET", target, headers)
    return result_of(
        arrival,
        sent_at_s,
        await exchange(address, data, request_class.deadline_ms + grace_ms, connections),
    )


RequestSender = Callable[[str, Arrival, http1.ConnectionPool], Coroutine[Any, Any, Result]]


async def send_arrivals(
    address: str, arrivals: list[Arrival], send: RequestSender = send_request
) -> list[Result]:
    """Send each arrival at its time, independent of the results of earlier ones."""
    connections, start = http1.ConnectionPool(), time.monotonic()
    in_flight: list[asyncio.Task[Result]] = []
    for arrival in arrivals:
        await asyncio.sleep(max(0.0, start + arrival.send_at_s - time.monotonic()))
        in_flight.append(asyncio.ensure_future(send(address, arrival, connections)))
    results = list(await asyncio.gather(*in_flight))
    connections.close()
    return results


def served_share(results: list[Result]) -> float:
    """Return the worth of the responses within the aim over the worth of all requests."""
    return sum(result.earned_worth for result in results) / sum(
        result.arrival.request_class.worth for result in results
    )
