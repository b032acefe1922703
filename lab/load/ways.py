"""How a planned request becomes one on a socket: HTTP, GraphQL over HTTP, or through a proxy that
asks us."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass

from lab.settings import Day
from standins import http1


@dataclass(slots=True, frozen=True)
class Planned:
    """A row of the plan, as its sender needs it."""

    number: int
    at: float  # ms from the start
    cls: int
    tenant: int
    key: int


Writer = Callable[[Day, int, Planned], bytes]


def _headers(day: Day, seed: int, row: Planned) -> dict[str, str]:
    cls = day.class_[row.cls]
    headers = {
        "host": "backend.local",
        "request-id": f"{seed:x}-{row.number:x}",
        "request-timeout": f"{cls.deadline_ms:.0f}m",
    }
    if day.tenant:
        headers["tenant"] = day.tenant[row.tenant].name
    return headers


def http(day: Day, seed: int, row: Planned) -> bytes:
    """As the platform's protocol has it: the class is the first part of the path, what it is about
    the last."""
    cls, headers = day.class_[row.cls], _headers(day, seed, row)
    if cls.effect == "keyed":
        headers["idempotency-key"] = f"key-{headers['request-id']}"
    return http1.request(
        "GET" if cls.effect == "safe" else "POST", f"/{cls.name}/k{row.key}", headers
    )


LOOKUP = "query Near($pickup: String!) { cabLookup(pickup: $pickup, limit: 1) { cabs { id } } }"
ASSIGN = "mutation Take($ride: ID!, $key: String!) { rideAssign(ride: $ride, key: $key) { id } }"


def graphql(day: Day, seed: int, row: Planned) -> bytes:
    """A document a class: safe ones ask for cabs, keyed ones assign a ride
    (`deploy/dispatch.graphql`)."""
    headers = _headers(day, seed, row) | {
        "content-type": "application/json",
        "accept": "application/graphql-response+json",
    }
    if day.class_[row.cls].effect == "safe":
        told = {"query": LOOKUP, "variables": {"pickup": f"k{row.key}"}}
    else:
        told = {
            "query": ASSIGN,
            "variables": {"ride": f"k{row.key}", "key": f"key-{headers['request-id']}"},
        }
    return http1.request("POST", "/graphql", headers, json.dumps(told).encode())


WAYS: dict[str, Writer] = {"http": http, "graphql": graphql, "processor": http}
