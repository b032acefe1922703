"""The admin listener on sockets, beside many clients and idle connections."""

from __future__ import annotations

import asyncio
from pathlib import Path

from badgercart.admin.listener import MAX_CONNECTIONS
from badgercart.policy.endpoint import EndpointState
from tests.net import Client, NodeHarness, ScriptedServer, request, run, running


async def call(stand: NodeHarness, target: str, method: str = "POST") -> int:
    assert stand.node.admin_listener is not None
    client = Client(*await asyncio.open_connection(*stand.node.admin_listener.address))
    status, _, _ = await client.ask(f"{method} {target} HTTP/1.1\r\nHost: n\r\n\r\n".encode())
    assert await client.end() == b""
    client.writer.close()
    return status


def console(tmp_path: Path) -> dict[str, object]:
    return {"console": ("127.0.0.1", 0), "folder": tmp_path}


def test_an_ejected_server_gets_no_requests_until_it_is_reinstated(
    tmp_path: Path,
) -> None:
    async def test() -> None:
        first, second = await ScriptedServer().start(), await ScriptedServer().start()
        async with running(first, second, **console(tmp_path)) as stand:
            client = await stand.client()
            assert await call(stand, "/-/ready", "GET") == 200
            assert await call(stand, "/-/servers/s-9/disable") == 404
            assert await call(stand, "/-/servers/s-1/disable") == 200
            assert await call(stand, "/-/servers/s-1/disable") == 200
            version = 1
            for lines in (
                [first.entry(started=5)],
                [first.entry(state="left")],
                [first.entry(started=9)],
                [second.entry("s-2"), first.entry()],
            ):
                version += 1
                stand.agent.push(version, lines, reset=len(lines) > 1)
                while stand.node.roster.version != version:
                    await asyncio.sleep(0)
                for _ in range(10):
                    assert (await client.ask(request()))[0] == 200
                assert first.requests.empty()
            assert await call(stand, "/-/servers/s-1/enable") == 200
            server = stand.node.join.policy.fleet.endpoints.by_id[
                next(iter(stand.node.roster.listed))
            ]
            while first.requests.empty():  # it is cold, and used again
                assert (await client.ask(request()))[0] == 200
            assert server.endpoint.state is EndpointState.READY
            assert stand.node.roster.find_by_address(("127.0.0.1", first.port)).entry.started_ms > 0  # type: ignore[union-attr]

    run(test())


def test_idle_connections_and_many_clients_keep_no_operator_out(
    tmp_path: Path,
) -> None:
    async def test() -> None:
        peer = await ScriptedServer().start()
        async with running(peer, sockets=64, **console(tmp_path)) as stand:
            door = stand.node.admin_listener
            assert door is not None
            clients = [await stand.client() for _ in range(40)]
            idlers = [
                await asyncio.open_connection(*door.address) for _ in range(3 * MAX_CONNECTIONS)
            ]
            for _, writer in idlers:
                writer.write(b"GET /-/re")
            for _ in range(3):
                assert await call(stand, "/-/ready", "GET") == 200
            assert len(door.connections) <= MAX_CONNECTIONS
            for _, writer in idlers:
                writer.close()
            for client in clients:
                client.writer.close()

    run(test())
