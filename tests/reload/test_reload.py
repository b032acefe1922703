"""SIGHUP at a running node: the new settings apply completely, or the old ones stay."""

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
from tests.test_process import NodeProcess, raw_config, running_process


def classes(*names_and_effects: tuple[str, str]) -> list[dict[str, Any]]:
    """Return raw settings of classes with these names and idempotencies."""
    first = raw_config()["settings"]["Classes"][0]
    return [
        {**first, "Name": name, "Idempotency": effect, "Window": 9000.0}
        for name, effect in names_and_effects
    ]


async def reload_settings(node: NodeProcess, path: Path, discovery: int, **changes: Any) -> str:
    """Write changed settings, send SIGHUP, and return the outcome from the log."""
    raw = raw_config() | {"discovery": f"127.0.0.1:{discovery}"}
    raw["settings"] |= changes
    path.write_text(json.dumps(raw))
    node.process.send_signal(signal.SIGHUP)
    return (await node.line("configuration (read|stays)"))[0]


def test_classes_are_added_and_removed_and_requests_in_flight_keep_their_settings(
    tmp_path: Path,
) -> None:
    """Check that a valid reload affects only later requests, and an invalid one does nothing."""
    release = asyncio.Event()

    async def test() -> None:
        peer = await ScriptedServer(answer_after(release)).start()
        agent = await DiscoveryAgent([peer.entry()]).start()
        path = tmp_path / "config.json"
        async with running_process(path, agent.port) as node:
            waiting_client = await node.client()
            waiting_client.writer.write(request("find"))
            await asyncio.wait_for(peer.requests.get(), WAIT_S)
            other = await node.client()
            assert (await other.ask(request("pay", body=b"x")))[0] == 404
            new_classes = {"Classes": classes(("pay", "single_shot"))}
            assert (
                await reload_settings(node, path, agent.port, **new_classes) == "configuration read"
            )
            release.set()
            # The request is served although its class was removed.
            assert (await waiting_client.answer())[0] == 200
            other = await node.client()
            assert (await other.ask(request("pay", body=b"x")))[0] == 200
            assert (await other.ask(request("find")))[0] == 404
            for change in (
                {"Classes": classes(("pay", "single_shot"), ("pay", "free"))},
                {"Classes": []},
                {"Allowed": {}},
                {"Tick": "5"},
            ):
                assert (
                    await reload_settings(node, path, agent.port, **change) == "configuration stays"
                )  # type: ignore[arg-type]
            other = await node.client()
            assert (await other.ask(request("pay", body=b"x")))[0] == 200

    uvloop.run(test())


def test_a_stricter_idempotency_and_fewer_attempts_apply_to_later_requests(tmp_path: Path) -> None:
    """Check that a request of a class that a reload made non-retryable is attempted only once."""

    async def test() -> None:
        peer = await ScriptedServer(hang_up).start()
        agent = await DiscoveryAgent([peer.entry()]).start()
        path = tmp_path / "config.json"
        async with running_process(path, agent.port) as node:

            async def attempt_count(request_bytes: bytes) -> int:
                client: Client = await node.client()
                assert (await client.ask(request_bytes))[0] in (502, 503)
                count = peer.requests.qsize()
                while not peer.requests.empty():
                    peer.requests.get_nowait()
                return count

            assert await attempt_count(request("find")) >= 1
            await reload_settings(node, path, agent.port, Classes=classes(("pay", "single_shot")))
            for _ in range(5):
                # The connection was reset, so the request may have been executed: no retry.
                assert await attempt_count(request("pay", body=b"x")) == 1

    uvloop.run(test())


@pytest.mark.parametrize(
    "later_classes", [[("look", "free")], [("pay", "free")]], ids=["another", "the same, laxer"]
)
def test_a_pipelined_request_keeps_the_class_that_it_was_read_with(
    tmp_path: Path, later_classes: list[tuple[str, str]]
) -> None:
    """A pipelined request is read before the reload and handled after it."""
    release = asyncio.Event()

    async def script(peer: ScriptedServer, head: bytes, writer: asyncio.StreamWriter) -> None:
        if b"/pay/" in head:
            # After the reset the request may have been executed.
            writer.transport.abort()
        else:
            await answer_after(release)(peer, head, writer)

    async def test() -> None:
        peers = [await ScriptedServer(script).start() for _ in range(3)]
        agent = await DiscoveryAgent([peer.entry(f"s-{i}") for i, peer in enumerate(peers)]).start()
        path = tmp_path / "config.json"
        async with running_process(path, agent.port) as node:
            old_classes = classes(("find", "free"), ("pay", "single_shot"))
            assert (
                await reload_settings(node, path, agent.port, Classes=old_classes)
                == "configuration read"
            )
            client = await node.client()
            client.writer.write(request("find") + request("pay", body=b"x"))
            first = [asyncio.ensure_future(peer.requests.get()) for peer in peers]
            await asyncio.wait(first, return_when=asyncio.FIRST_COMPLETED)
            new_classes = classes(("find", "free"), *later_classes)
            assert (
                await reload_settings(node, path, agent.port, Classes=new_classes)
                == "configuration read"
            )
            release.set()
            assert (await client.answer())[0] == 200
            # The request is not retried, and not reported as safe to retry.
            assert (await client.answer())[0] == 502
            for task in first:
                task.cancel()
            received_count = sum(
                peer.requests.qsize() + task.done() for peer, task in zip(peers, first, strict=True)
            )
            assert received_count == 1 or sum(peer.connections for peer in peers) <= 2
            other = await node.client()
            response = await other.ask(
                request("find").replace(b"/find/", f"/{later_classes[0][0]}/".encode())
            )
            assert response[0] in ((200,) if later_classes[0][0] == "look" else (502, 503))

    uvloop.run(test())


def test_no_tenant_gets_the_index_of_another_with_requests_in_flight() -> None:
    """Check that a new tenant gets no index of a removed one with requests in flight."""

    def config_with_tenants(*names: bytes) -> Config:
        tenants = {name: number for number, name in enumerate(names)}
        base = config(1)
        quotas = tuple(10.0 + number for number in range(len(names)))
        return replace(base, tenants=tenants, settings=replace(base.settings, quotas_per_s=quotas))

    old, new = config_with_tenants(b"a", b"b"), config_with_tenants(b"a", b"c")
    used, event = reconfigure(old, new, IndexesInUse(tenants={1}))
    assert used.tenants == {b"a": 0, b"c": 2}
    assert event.reset_tenants == {2}
    assert event.settings.quotas_per_s == (10.0, 0.0, 11.0)
    unused, event = reconfigure(old, new, IndexesInUse())
    assert unused.tenants == {b"a": 0, b"c": 1}
    assert event.reset_tenants == {1}
    policy = Policy(old.settings, 1)
    policy.handle(0.0, Request(1, 0, 1000.0, tenant=1))
    assert policy.quotas.level(1) == 1
    assert policy.lifecycle.active_use()[1] <= {1}
    policy.handle(0.0, event)
    # The usage of the removed tenant does not count for the new one.
    assert [policy.quotas.level(i) for i in range(2)] == [
        0.0,
        0.0,
    ]
