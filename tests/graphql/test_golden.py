"""Complete responses to GraphQL clients, and requests to their servers, against golden files.

The timeout that a server gets, and the time after which a client may retry, vary: only their
positions are compared.
"""

from __future__ import annotations

import asyncio
import json
import re
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from standins import graphql as dispatch
from standins import http1
from tests.golden import differences
from tests.graphql.test_frontend import ASSIGN, LOOKUP, RESPONSE_JSON, running_frontend
from tests.net import WAIT_S, ScriptedServer, run

GOLDEN = Path(__file__).parent / "golden"
PLAIN_JSON = "application/json"
NOT_STARTED = {"errors": [{"message": "full", "extensions": {"code": "QUEUE_FULL"}}]}


async def serve(peer: ScriptedServer, head: bytes, writer: asyncio.StreamWriter) -> None:
    """Answer as a dispatch server, and reject the pickup `nowhere` as for a full queue."""
    body = peer.bodies.pop()  # type: ignore[attr-defined]
    queue_full = b"nowhere" in body
    status, answer = (
        (200, json.dumps(NOT_STARTED).encode())
        if queue_full
        else dispatch.execute_request("s-1", body)
    )
    writer.write(http1.response(status, {}, answer))


class RecordingServer(ScriptedServer):
    """Records the bytes of each request."""

    def __init__(self) -> None:
        super().__init__(serve)
        self.bodies: list[bytes] = []
        self.received: list[bytes] = []

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Record each request on a connection, its timeout masked, and respond by the script."""
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                size = re.search(rb"Content-Length: (\d+)", head)
                assert size is not None
                body = await reader.readexactly(int(size[1]))
                self.received.append(
                    re.sub(rb"Request-Timeout: \d+m", b"Request-Timeout: <ms>", head) + body
                )
                self.bodies.append(body)
                await self.script(self, head, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


def post(
    body: Any, accept: str | None = RESPONSE_JSON, media_type: str = PLAIN_JSON, **headers: str
) -> bytes:
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    lines = {
        "host": "x",
        "content-type": media_type,
        "request-id": "r1",
        "request-timeout": "8000m",
    }
    lines |= {"accept": accept} if accept is not None else {}
    lines |= {name.replace("_", "-"): value for name, value in headers.items()}
    return http1.request("POST", "/graphql", lines, data)


def get(target: str, method: str = "GET") -> bytes:
    return http1.request(method, target, {"host": "x", "accept": RESPONSE_JSON, "request-id": "r1"})


MIXED = (
    'query { kind: __typename b: cabLookup(pickup: "opera") { pickup } '
    'a: cabLookup(pickup: "nowhere") { pickup } }'
)
REQUESTS: dict[str, bytes] = {
    "lookup": post({"query": LOOKUP}),
    "lookup in the older type": post({"query": LOOKUP}, PLAIN_JSON),
    "lookup with no word on types": post({"query": LOOKUP}, None),
    "assignment": post({"query": ASSIGN}),
    "assignment under the request's key": post(
        {"query": 'mutation { rideAssign(ride: "r2") { id } }'}, idempotency_key="k9"
    ),
    "assignment without a key": post({"query": 'mutation { rideAssign(ride: "r2") { id } }'}),
    "one part refused": post({"query": MIXED}),
    "introspection": post({"query": "{ __schema { queryType { name } } }"}),
    "no such field": post({"query": "{ nothing }"}),
    "no document": post({"query": "{"}),
    "no document in the older type": post({"query": "{"}, PLAIN_JSON),
    "no JSON": post(b"{"),
    "a batch": post([{"query": LOOKUP}]),
    "no query": post({}),
    "variables that are none": post({"query": LOOKUP, "variables": []}),
    "another type": post({"query": LOOKUP}, "text/html"),
    "another body": post({"query": LOOKUP}, RESPONSE_JSON, "text/plain"),
    "another charset": post({"query": LOOKUP}, RESPONSE_JSON, f"{PLAIN_JSON}; charset=utf-16"),
    "lookup by GET": get("/graphql?query=%7B%20cabLookup(pickup%3A%20%22x%22)%20%7B%20pickup%20%7D%20%7D"),
    "assignment by GET": get("/graphql?query=mutation%20%7B%20rideAssign(ride%3A%221%22%2Ckey%3A%22k%22)%20"
                             "%7B%20id%20%7D%20%7D"),
    "DELETE": get("/graphql", "DELETE"),
    "another path": get("/other"),
}  # fmt: skip


def record_exchanges() -> tuple[dict[str, bytes], dict[str, bytes]]:
    """Send each request on a connection of its own; return responses and requests to servers."""
    answers: dict[str, bytes] = {}
    forwarded: dict[str, bytes] = {}

    async def run_installation() -> None:
        server = RecordingServer()
        await server.start()
        async with running_frontend(server) as installation:
            for name, data in REQUESTS.items():
                client = await installation.client()
                _, head, body = await client.ask(data)
                if b"retryAfter" in body:  # a random delay
                    head = re.sub(rb"Content-Length: \d+", b"Content-Length: <bytes>", head)
                    body = re.sub(rb'"retryAfter": [\d.]+', b'"retryAfter": <s>', body)
                answers[name] = head + body
                client.writer.close()
                async with asyncio.timeout(WAIT_S):
                    while installation.pipeline.open_attempts:
                        await asyncio.sleep(0)
                if server.received:
                    forwarded[name] = b"|".join(sorted(server.received))
                    server.received.clear()

    run(run_installation())
    return answers, forwarded


GROUPS: dict[str, Callable[[], dict[str, bytes]]] = {
    "answers": lambda: record_exchanges()[0],
    "forwarded": lambda: record_exchanges()[1],
}


@pytest.mark.parametrize("group", GROUPS)
def test_responses_and_forwarded_requests_match_the_golden_files(group: str) -> None:
    assert not differences(GOLDEN / f"{group}.txt", GROUPS[group]())
