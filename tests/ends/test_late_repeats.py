"""A repeat of a keyed request is written only where and while servers recognize it as one.

The policy decides that before there is a connection, which may come up late.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace
from typing import Any

import pytest

from badgercart.core.clock import MAX_HOLD_UP_MS, now_ms
from badgercart.policy.events import AttemptResult
from badgercart.policy.settings import DeduplicationScope, Settings
from badgercart.upstream import connection_pool, server_connection
from badgercart.upstream.connection_pool import ServerPool
from badgercart.upstream.server_connection import Attempt
from tests.net import (
    CLASSES,
    OK,
    WAIT_S,
    NodeHarness,
    ScriptedServer,
    config,
    request,
    run,
    running,
)

WINDOW_MS = 3000.0
FAILED = b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"


def settings(scope: DeduplicationScope) -> Settings:
    """Return the settings of the tests, with another scope and window of the keyed class."""
    given = config(1, attempts=2).settings
    classes = list(given.classes)
    book = list(CLASSES).index("book")
    classes[book] = replace(
        classes[book], deduplication_scope=scope, deduplication_window_ms=WINDOW_MS
    )
    return replace(given, classes=tuple(classes))


class Servers:
    """Servers of which the first one that gets a request fails, and the others serve."""

    def __init__(self) -> None:
        self.requests = 0
        self.peers: list[ScriptedServer] = []

    async def start(self, count: int) -> None:
        """Start the servers."""
        self.peers = [await ScriptedServer(self.script).start() for _ in range(count)]

    def entry(self, port: int) -> dict[str, Any]:
        """Return the entry of the server at a port, as `running` lists it."""
        for number, peer in enumerate(self.peers, 1):
            if peer.port == port:
                return peer.entry(f"s-{number}")
        raise LookupError(port)

    async def script(self, peer: ScriptedServer, head: bytes, writer: asyncio.StreamWriter) -> None:
        self.requests += 1
        writer.write(FAILED if self.requests == 1 else OK)


@asynccontextmanager
async def running_with_late_connections(
    monkeypatch: pytest.MonkeyPatch, late_ms: float, scope: DeduplicationScope
) -> AsyncIterator[tuple[NodeHarness, Servers]]:
    """Run a node whose connections for second attempts come up late, by the pool's clock."""
    servers, late, connect = Servers(), 0.0, ServerPool.connect

    async def connect_late(pool: ServerPool, attempt: Attempt) -> None:
        nonlocal late
        late = late_ms if attempt.number else 0.0
        await connect(pool, attempt)

    monkeypatch.setattr(ServerPool, "connect", connect_late)
    for module in (connection_pool, server_connection):
        monkeypatch.setattr(module, "now_ms", lambda: now_ms() + late)
    await servers.start(2)
    async with running(
        *servers.peers, settings=settings(scope), zones={"a": 0, "b": 1}, attempts=2
    ) as stand:
        yield stand, servers


# Guards against a keyed request that is executed twice, since its repeat was written after the
# window: that was checked only as the repeat was decided, before its connection.
@pytest.mark.parametrize("late_ms", [WINDOW_MS, WINDOW_MS - MAX_HOLD_UP_MS])
def test_a_repeat_whose_connection_comes_up_after_the_window_is_not_sent(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture, late_ms: float
) -> None:
    async def test() -> None:
        async with running_with_late_connections(monkeypatch, late_ms, DeduplicationScope.ALL) as (
            stand,
            servers,
        ):
            client = await stand.client()
            # By its class the client may repeat it itself, which 503 says.
            assert (await client.ask(request("book")))[0] == 503
            results = [(await stand.outcome()).result for _ in range(2)]
            assert results == [AttemptResult.ERROR, AttemptResult.NOT_SENT]
            assert servers.requests == 1
            # Nothing is wrong with the connection: the next request uses it.
            idle = [len(s.idle_connections) for s in stand.node.pool.servers.values()]
            assert idle == [1, 1]

    run(test())
    assert "its connection came up too late" in caplog.text


def test_a_repeat_whose_connection_comes_up_within_the_window_is_sent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        async with running_with_late_connections(
            monkeypatch, WINDOW_MS / 2, DeduplicationScope.ALL
        ) as (stand, servers):
            client = await stand.client()
            assert (await client.ask(request("book")))[0] == 200
            assert servers.requests == 2

    run(test())


# Guards against a repeat at a server that left the scope of the class while its connection came up.
def test_a_repeat_whose_server_leaves_the_scope_meanwhile_is_not_sent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        async with running_with_late_connections(monkeypatch, 0.0, DeduplicationScope.ZONE) as (
            stand,
            servers,
        ):
            connect = ServerPool.connect

            async def move_then_connect(pool: ServerPool, attempt: Attempt) -> None:
                if attempt.number:
                    entry = servers.entry(attempt.server.address[1]) | {"zone": "b"}
                    stand.node.apply_endpoint_list(
                        {"generation": 2, "reset": False, "instances": [entry]}
                    )
                await connect(pool, attempt)

            monkeypatch.setattr(ServerPool, "connect", move_then_connect)
            client = await stand.client()
            assert (await client.ask(request("book")))[0] == 502
            results = [(await stand.outcome()).result for _ in range(2)]
            assert results == [AttemptResult.ERROR, AttemptResult.NOT_SENT]
            assert servers.requests == 1

    run(asyncio.wait_for(test(), WAIT_S))
