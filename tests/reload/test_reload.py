"""SIGHUP at a node that serves: new settings are in force whole, or the old ones stay whole."""

from __future__ import annotations

import asyncio
import json
import signal
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
import uvloop

from badgercart.config import Config
from badgercart.policy import Policy
from badgercart.policy.events import Request
from badgercart.reload.reconfiguration import IndexesInUse, reconfigure
from tests.net import (
    WAIT_S,
    Client,
    DiscoveryAgent,
    ScriptedServer,
    answer_after,
    config,
    hang_up,
    request,
)
from tests.test_process import Process, raw_config, started


def classes(*named: tuple[str, str]) -> list[dict[str, Any]]:
    first = raw_config()["settings"]["Classes"][0]
    return [
        {**first, "Name": name, "Idempotency": effect, "Window": 9000.0} for name, effect in named
    ]


async def hup(node: Process, path: Path, discovery: int, **changes: Any) -> str:
    raw = raw_config() | {"discovery": f"127.0.0.1:{discovery}"}
    raw["settings"] |= changes
    path.write_text(json.dumps(raw))
    node.process.send_signal(signal.SIGHUP)
    return (await node.line("configuration (read|stays)"))[0]


def test_classes_come_and_go_and_requests_in_flight_keep_their_settings(tmp_path: Path) -> None:
    release = asyncio.Event()

    async def test() -> None:
        peer = await ScriptedServer(answer_after(release)).start()
        agent = await DiscoveryAgent([peer.entry()]).start()
        path = tmp_path / "config.json"
        async with started(path, agent.port) as node:
            held = await node.client()
            held.writer.write(request("find"))
            await asyncio.wait_for(peer.requests.get(), WAIT_S)
            other = await node.client()
            assert (await other.ask(request("pay", body=b"x")))[0] == 404
            told = {"Classes": classes(("pay", "single_shot"))}
            assert await hup(node, path, agent.port, **told) == "configuration read"
            release.set()
            assert (await held.answer())[0] == 200  # its class is gone, its answer comes
            other = await node.client()
            assert (await other.ask(request("pay", body=b"x")))[0] == 200
            assert (await other.ask(request("find")))[0] == 404
            for change in (
                {"Classes": classes(("pay", "single_shot"), ("pay", "free"))},
                {"Classes": []},
                {"Allowed": {}},
                {"Tick": "5"},
            ):
                assert await hup(node, path, agent.port, **change) == "configuration stays"  # type: ignore[arg-type]
            other = await node.client()
            assert (await other.ask(request("pay", body=b"x")))[0] == 200

    uvloop.run(test())


def test_a_stricter_idempotency_and_fewer_attempts_apply_to_later_requests(tmp_path: Path) -> None:
    async def test() -> None:
        peer = await ScriptedServer(hang_up).start()
        agent = await DiscoveryAgent([peer.entry()]).start()
        path = tmp_path / "config.json"
        async with started(path, agent.port) as node:

            async def sends(asked: bytes) -> int:
                client: Client = await node.client()
                assert (await client.ask(asked))[0] in (502, 503)
                count = peer.requests.qsize()
                while not peer.requests.empty():
                    peer.requests.get_nowait()
                return count

            assert await sends(request("find")) >= 1
            await hup(node, path, agent.port, Classes=classes(("pay", "single_shot")))
            for _ in range(5):
                assert await sends(request("pay", body=b"x")) == 1  # reset: it may have run

    uvloop.run(test())


@pytest.mark.parametrize(
    "then", [[("look", "free")], [("pay", "free")]], ids=["another", "the same, laxer"]
)
def test_a_request_that_waits_keeps_the_class_that_it_was_read_by(
    tmp_path: Path, then: list[tuple[str, str]]
) -> None:
    """Behind another on its connection, it is read before the new settings and taken after them."""
    release = asyncio.Event()

    async def script(peer: ScriptedServer, head: bytes, writer: asyncio.StreamWriter) -> None:
        if b"/pay/" in head:
            writer.transport.abort()  # it may have run
        else:
            await answer_after(release)(peer, head, writer)

    async def test() -> None:
        peers = [await ScriptedServer(script).start() for _ in range(3)]
        agent = await DiscoveryAgent([peer.entry(f"s-{i}") for i, peer in enumerate(peers)]).start()
        path = tmp_path / "config.json"
        async with started(path, agent.port) as node:
            both = classes(("find", "free"), ("pay", "single_shot"))
            assert await hup(node, path, agent.port, Classes=both) == "configuration read"
            client = await node.client()
            client.writer.write(request("find") + request("pay", body=b"x"))
            first = [asyncio.ensure_future(peer.requests.get()) for peer in peers]
            await asyncio.wait(first, return_when=asyncio.FIRST_COMPLETED)
            told = classes(("find", "free"), *then)
            assert await hup(node, path, agent.port, Classes=told) == "configuration read"
            release.set()
            assert (await client.answer())[0] == 200
            assert (await client.answer())[0] == 502  # never a second time, nor called harmless
            for task in first:
                task.cancel()
            came = sum(
                peer.requests.qsize() + task.done() for peer, task in zip(peers, first, strict=True)
            )
            assert came == 1 or sum(peer.connections for peer in peers) <= 2
            other = await node.client()
            answered = await other.ask(
                request("find").replace(b"/find/", f"/{then[0][0]}/".encode())
            )
            assert answered[0] in ((200,) if then[0][0] == "look" else (502, 503))

    uvloop.run(test())


def test_no_tenant_gets_the_index_of_another_with_requests_in_flight() -> None:
    def told(*names: bytes) -> Config:
        tenants = {name: number for number, name in enumerate(names)}
        base = config(1)
        quotas = tuple(10.0 + number for number in range(len(names)))
        return replace(base, tenants=tenants, settings=replace(base.settings, quotas_per_s=quotas))

    old, new = told(b"a", b"b"), told(b"a", b"c")
    held, event = reconfigure(old, new, IndexesInUse(tenants={1}))
    assert held.tenants == {b"a": 0, b"c": 2}
    assert event.reset_tenants == {2}
    assert event.settings.quotas_per_s == (10.0, 0.0, 11.0)
    free, event = reconfigure(old, new, IndexesInUse())
    assert free.tenants == {b"a": 0, b"c": 1}
    assert event.reset_tenants == {1}
    policy = Policy(old.settings, 1)
    policy.handle(0.0, Request(1, 0, 1000.0, tenant=1))
    assert policy.quotas.level(1) == 1
    assert policy.lifecycle.active_use()[1] <= {1}
    policy.handle(0.0, event)
    assert [policy.quotas.level(i) for i in range(2)] == [
        0.0,
        0.0,
    ]  # what the other used is not this one's
