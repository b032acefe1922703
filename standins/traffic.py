"""Clients: requests of the brief's classes and tenants at seeded times, and what came of each."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable, Coroutine, Iterator
from dataclasses import dataclass
from typing import Any

from standins import http1

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
class Kind:
    """A class of requests, in ms."""

    name: str
    share: float
    aim: float
    deadline: float
    worth: float
    keyed: bool


LOOKUP = Kind("cab-lookup", 0.56, 580.0, 1400.0, 2.0, False)
ASSIGN = Kind("ride-assign", 0.44, 750.0, 1900.0, 8.0, True)
KINDS = (LOOKUP, ASSIGN)


def class_tables() -> list[str]:
    """These classes as lines of an operator's file."""
    lines: list[str] = []
    for kind in KINDS:
        lines += [
            f'[[class]]\nname = "{kind.name}"\naim_ms = {kind.aim}\ndeadline_ms = {kind.deadline}',
            f'worth = {kind.worth}\neffect = "{"keyed" if kind.keyed else "safe"}"',
            "window_ms = 6000" if kind.keyed else "",
        ]
    return lines


@dataclass(slots=True, frozen=True)
class Arrival:
    """A request to come: all of it is drawn ahead."""

    at: float  # s from the start
    kind: Kind
    tenant: str
    name: str  # its id
    ride: str  # what it is about


@dataclass(slots=True, frozen=True)
class Result:
    arrival: Arrival
    status: int  # 0: no answer within its time
    took: float  # ms
    retry_after: str

    @property
    def outcome(self) -> str:
        if self.status == 200:
            return "served"
        return "refused" if self.status in (429, 503) else "failed" if self.status else "lost"

    @property
    def worth(self) -> float:
        """What the answer is worth: all within the aim, nothing after it."""
        return (
            self.arrival.kind.worth
            if self.status == 200 and self.took <= self.arrival.kind.aim
            else 0.0
        )


def arrivals(seed: int, rate: float, seconds: float, rides: int = 500) -> Iterator[Arrival]:
    """Poisson arrivals at `rate` a second; of the rides a few are far more popular than the
    rest."""
    rng, at, number = random.Random(seed), 0.0, 0
    while (at := at + rng.expovariate(rate)) < seconds:
        number += 1
        kind = LOOKUP if rng.random() < LOOKUP.share else ASSIGN
        tenant = rng.choices(list(TENANTS), list(TENANTS.values()))[0]
        ride = int(rides * rng.random() ** 3)
        yield Arrival(at, kind, tenant, f"{seed:x}-{number:x}", f"ride{ride}")


async def exchange(
    address: str, data: bytes, deadline: float, connections: http1.Connections
) -> http1.Message | None:
    """One request on a connection that is kept; None where no answer came within `deadline` ms."""
    try:
        async with asyncio.timeout(deadline / 1000):
            reader, writer = await connections.open(address)
            try:
                writer.write(data)
                answer = await http1.read_message(reader)
            except BaseException:
                writer.close()
                raise
    except (TimeoutError, OSError, asyncio.IncompleteReadError, ValueError):
        return None
    if answer.headers.get("connection") == "close":
        writer.close()
    else:
        connections.keep(address, reader, writer)
    return answer


def result_of(arrival: Arrival, began: float, answer: http1.Message | None) -> Result:
    """What came of an arrival that was sent at `began`."""
    took = (time.monotonic() - began) * 1000
    if answer is None:
        return Result(arrival, 0, took, "")
    return Result(arrival, answer.status, took, answer.headers.get("retry-after", ""))


async def ask(
    address: str, arrival: Arrival, connections: http1.Connections, patience: float = 0.0
) -> Result:
    """Send one request; its time counts from here. An answer is waited for `patience` ms beyond
    it."""
    kind, began = arrival.kind, time.monotonic()
    headers = {
        "host": "backend.local",
        "request-id": arrival.name,
        "tenant": arrival.tenant,
        "request-timeout": f"{kind.deadline:.0f}m",
    }
    if kind.keyed:
        headers["idempotency-key"] = f"key-{arrival.name}"
    target = f"/{kind.name}/{arrival.ride}"
    data = http1.request("POST" if kind.keyed else "GET", target, headers)
    return result_of(
        arrival, began, await exchange(address, data, kind.deadline + patience, connections)
    )


Ask = Callable[[str, Arrival, http1.Connections], Coroutine[Any, Any, Result]]


async def play(address: str, coming: list[Arrival], ask: Ask = ask) -> list[Result]:
    """Send all arrivals at their times, whatever came of those before."""
    connections, start = http1.Connections(), time.monotonic()
    asking: list[asyncio.Task[Result]] = []
    for arrival in coming:
        await asyncio.sleep(max(0.0, start + arrival.at - time.monotonic()))
        asking.append(asyncio.ensure_future(ask(address, arrival, connections)))
    results = list(await asyncio.gather(*asking))
    connections.close()
    return results


def served_share(results: list[Result]) -> float:
    """Worth answered within the aim over the worth asked for."""
    return sum(r.worth for r in results) / sum(r.arrival.kind.worth for r in results)
