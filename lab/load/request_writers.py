"""Writers of planned requests: HTTP, GraphQL over HTTP, or HTTP to a proxy that calls the processor.

The proxy asks the node under test how to route each request.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass

from lab.settings import Day
from standins import http1


@dataclass(slots=True, frozen=True)
class Planned:
    """A request of the plan, with what its sender needs."""

    number: int
    at_ms: float  # from the start of the plan
    cls: int
    tenant: int
    key: int


RequestWriter = Callable[[Day, int, Planned], bytes]


def common_headers(day: Day, seed: int, row: Planned) -> dict[str, str]:
    """Return the headers that every request has."""
    request_class = day.class_[row.cls]
    headers = {
        "host": "backend.local",
        "request-id": f"{seed:x}-{row.number:x}",
        "request-timeout": f"{request_class.deadline_ms:.0f}m",
    }
    if day.tenant:
        headers["tenant"] = day.tenant[row.tenant].name
    return headers


def http(day: Day, seed: int, row: Planned) -> bytes:
    """Write a request in the platform's protocol.

    The first part of the path is the request class, the last one the key.
    """
    request_class, headers = day.class_[row.cls], common_headers(day, seed, row)
    if request_class.effect == "keyed":
        headers["idempotency-key"] = f"key-{headers['request-id']}"
    return http1.request(
        "GET" if request_class.effect == "safe" else "POST",
        f"/{request_class.name}/k{row.key}",
        headers,
    )


LOOKUP_QUERY = (
    "query Near($pickup: String!) { cabLookup(pickup: $pickup, limit: 1) { cabs { id } } }"
)
ASSIGN_MUTATION = (
    "mutation Take($ride: ID!, $key: String!) { rideAssign(ride: $ride, key: $key) { id } }"
)


def graphql(day: Day, seed: int, row: Planned) -> bytes:
    """Write a GraphQL request: safe classes look up cabs, keyed classes assign a ride.

    The schema is in `deploy/dispatch.graphql`.
    """
    headers = common_headers(day, seed, row) | {
        "content-type": "application/json",
        "accept": "application/graphql-response+json",
    }
    if day.class_[row.cls].effect == "safe":
        body = {"query": LOOKUP_QUERY, "variables": {"pickup": f"k{row.key}"}}
    else:
        body = {
            "query": ASSIGN_MUTATION,
            "variables": {"ride": f"k{row.key}", "key": f"key-{headers['request-id']}"},
        }
    return http1.request("POST", "/graphql", headers, json.dumps(body).encode())


REQUEST_WRITERS: dict[str, RequestWriter] = {"http": http, "graphql": graphql, "processor": http}
