"""Following the endpoint list over the watch of the platform's discovery service."""

from __future__ import annotations

import asyncio
import json

import pytest

from badgercart.core.identifiers import stable_id
from badgercart.discovery import catalog
from badgercart.policy.endpoint import EndpointState
from tests.ends.test_watch import ScriptedAgent, send_parts
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


UNFRAMED_HEAD = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"


def snapshot_of(peer: ScriptedServer) -> bytes:
    """Return a snapshot with one server."""
    return json.dumps({"generation": 2, "reset": True, "instances": [peer.entry()]}).encode()


@pytest.mark.parametrize("cut", ["", "close", "reset"])
def test_a_snapshot_up_to_the_end_of_the_connection_is_applied_if_it_is_whole(cut: str) -> None:
    # Guards against a sound list that is never taken and fetched for ever.
    async def test() -> None:
        peer = await ScriptedServer().start()
        snapshot = snapshot_of(peer)
        whole = send_parts(UNFRAMED_HEAD, snapshot, then="close")
        scripts = [whole]
        if cut:
            scripts.insert(0, send_parts(UNFRAMED_HEAD, snapshot[: len(snapshot) // 2], then=cut))
        agent = await ScriptedAgent([], scripts).start()
        async with running(peer, agent=agent, known={}) as stand:
            for _ in range(1 + bool(cut)):
                assert await asyncio.wait_for(agent.calls.get(), WAIT_S) == "/catalog/members"
            watch = await asyncio.wait_for(agent.calls.get(), WAIT_S)
            assert watch == "/catalog/members?watch=1&from=2"
            assert (await (await stand.client()).ask(request()))[0] == 200

    run(test())


def test_a_watch_up_to_the_end_of_the_connection_is_resumed_after_it() -> None:
    # Guards against a watch without chunks whose changes are lost with its end.
    async def test() -> None:
        peer = await ScriptedServer().start()
        change = {"generation": 2, "reset": False, "instances": [peer.entry("s-1", "leaving")]}
        watch = send_parts(UNFRAMED_HEAD, json.dumps(change).encode(), then="close")
        agent = await ScriptedAgent([peer.entry()], [watch]).start()
        known = {"generation": 1, "reset": True, "instances": [peer.entry()]}
        async with running(peer, agent=agent, known=known) as stand:
            for version in (1, 2):
                call = await asyncio.wait_for(agent.calls.get(), WAIT_S)
                assert call == f"/catalog/members?watch=1&from={version}"
            assert stand.node.endpoint_table.version == 2

    run(test())
