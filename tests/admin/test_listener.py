"""The admin listener on sockets, with many clients and idle connections."""

from __future__ import annotations

import asyncio
from pathlib import Path

from badgercart.admin.listener import MAX_CONNECTIONS
from badgercart.policy.endpoint import EndpointState
from tests.net import Client, NodeHarness, ScriptedServer, request, run, running


async def request_status(stand: NodeHarness, target: str, method: str = "POST") -> int:
    """Send one admin request on a new connection and return the status of its response."""
    assert stand.node.admin_listener is not None
    client = Client(*await asyncio.open_connection(*stand.node.admin_listener.address))
    status, _, _ = await client.ask(f"{method} {target} HTTP/1.1\r\nHost: n\r\n\r\n".encode())
    assert await client.end() == b""
    client.writer.close()
    return status


def admin_settings(tmp_path: Path) -> dict[str, object]:
    """Return the settings of a node that has an admin listener."""
    return {"console": ("127.0.0.1", 0), "folder": tmp_path}


def test_an_ejected_server_gets_no_requests_until_it_is_reinstated(
    tmp_path: Path,
) -> None:
    """Check that an ejection outlives list updates and ends when the server is reinstated."""

    async def test() -> None:
        first, second = await ScriptedServer().start(), await ScriptedServer().start()
        async with running(first, second, **admin_settings(tmp_path)) as stand:
            client = await stand.client()
            assert await request_status(stand, "/-/ready", "GET") == 200
            assert await request_status(stand, "/-/servers/s-9/disable") == 404
            assert await request_status(stand, "/-/servers/s-1/disable") == 200
            assert await request_status(stand, "/-/servers/s-1/disable") == 200
            version = 1
            for entries in (
                [first.entry(started=5)],
                [first.entry(state="left")],
                [first.entry(started=9)],
                [second.entry("s-2"), first.entry()],
            ):
                version += 1
                stand.agent.push(version, entries, reset=len(entries) > 1)
                while stand.node.endpoint_table.version != version:
                    await asyncio.sleep(0)
                for _ in range(10):
                    assert (await client.ask(request()))[0] == 200
                assert first.requests.empty()
            assert await request_status(stand, "/-/servers/s-1/enable") == 200
            server = stand.node.pipeline.policy.fleet.endpoints.by_id[
                next(iter(stand.node.endpoint_table.listed))
            ]
            # The server is used again, with a slow start.
            while first.requests.empty():
                assert (await client.ask(request()))[0] == 200
            assert server.endpoint.state is EndpointState.READY
            assert (
                stand.node.endpoint_table.find_by_address(
                    ("127.0.0.1", first.port)
                ).entry.started_ms
                > 0
            )  # type: ignore[union-attr]

    run(test())


def test_idle_connections_and_many_clients_do_not_block_operators(
    tmp_path: Path,
) -> None:
    """Check that admin requests are answered beside half-sent requests on idle connections."""

    async def test() -> None:
        peer = await ScriptedServer().start()
        async with running(peer, sockets=64, **admin_settings(tmp_path)) as stand:
            listener = stand.node.admin_listener
            assert listener is not None
            clients = [await stand.client() for _ in range(40)]
            idle_connections = [
                await asyncio.open_connection(*listener.address) for _ in range(3 * MAX_CONNECTIONS)
            ]
            for _, writer in idle_connections:
                writer.write(b"GET /-/re")
            for _ in range(3):
                assert await request_status(stand, "/-/ready", "GET") == 200
            assert len(listener.connections) <= MAX_CONNECTIONS
            for _, writer in idle_connections:
                writer.close()
            for client in clients:
                client.writer.close()

    run(test())
