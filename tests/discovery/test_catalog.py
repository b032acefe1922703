"""Following the endpoint list over the watch of the platform's discovery service."""

from __future__ import annotations

import asyncio

import pytest

from badgercart.core.identifiers import stable_id
from badgercart.discovery import catalog
from badgercart.policy.endpoint import EndpointState
from tests.net import (
    WAIT_S,
    ScriptedServer,
    request,
    run,
    running,
)


@pytest.mark.parametrize(
    "line",
    [
        b'{"generation": 2, "reset": true, "instances": [{}]}',
        b'{"generation": 2, "reset": true, "instances": 7}',
        b'{"generation": 1e999, "reset": true, "instances": []}',
        b'{"generation": 2, "reset": false, "instances": [{"instanceId": "s-9", "lifecycle": "active",'
        b' "hostPort": "127.0.0.1:9", "weight": NaN}]}',
        b"[" * 100_000,
        b"[]",
        b"{",
    ],
    ids=range(7),
)
def test_a_malformed_line_leaves_the_list_in_force_and_causes_a_snapshot(line: bytes) -> None:
    """Check that after a malformed line requests still succeed and a full list is fetched."""

    async def test() -> None:
        peer = await ScriptedServer().start()
        async with running(peer) as stand:
            client, calls = await stand.client(), stand.agent.calls
            assert await calls.get() == "/catalog/members?watch=1&from=1"
            stand.agent.lines.put_nowait(line + b"\n")
            assert await asyncio.wait_for(calls.get(), WAIT_S) == "/catalog/members"
            assert (await client.ask(request()))[0] == 200
            assert await asyncio.wait_for(calls.get(), WAIT_S) == "/catalog/members?watch=1&from=1"

    run(test())


def test_a_watch_that_ends_is_resumed_from_its_last_version() -> None:
    """Check that an ended watch is reopened from the last version that it delivered."""

    async def test() -> None:
        peer = await ScriptedServer().start()
        async with running(peer) as stand:
            calls = stand.agent.calls
            assert await calls.get() == "/catalog/members?watch=1&from=1"
            stand.agent.push(5, [peer.entry("s-1", "leaving")])
            stand.agent.lines.put_nowait(None)
            assert await asyncio.wait_for(calls.get(), WAIT_S) == "/catalog/members?watch=1&from=5"
            assert stand.node.pool.servers[stable_id(b"s-1")].state is EndpointState.DRAINING

    run(test())


def test_a_watch_that_falls_silent_is_opened_again(monkeypatch: pytest.MonkeyPatch) -> None:
    """Check that a watch without data for `WATCH_SILENCE_TIMEOUT_S` is reopened."""
    monkeypatch.setattr(catalog, "WATCH_SILENCE_TIMEOUT_S", 0.05)

    async def test() -> None:
        async with running(await ScriptedServer().start()) as stand:
            for _ in range(3):
                call = await asyncio.wait_for(stand.agent.calls.get(), WAIT_S)
                assert call == "/catalog/members?watch=1&from=1"
            assert (
                stand.node.frontend.healthy
                and not stand.node.pool.servers.keys() - stand.node.endpoint_table.listed.keys()
            )

    run(test())
