"""Idle clients use up the descriptors of clients: all other roles still find their own."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import resource
import signal
import socket
from pathlib import Path
from typing import Any

import pytest
import uvloop

from badgercart.admin.listener import MAX_CONNECTIONS
from badgercart.core.descriptors import (
    DISCOVERY_DESCRIPTORS,
    LISTENER_DESCRIPTORS,
    PROGRAM_DESCRIPTORS,
    REGULAR_FILE_DESCRIPTORS,
    DescriptorBudget,
)
from badgercart.discovery.backoff import MAX_OPEN_CALLS
from badgercart.upstream import connection_pool
from tests.net import WAIT_S, Client, DiscoveryAgent, ScriptedServer, request, run, running
from tests.test_process import COMMAND, NodeProcess, raw_config

LIMIT = 96
IDLE_CLIENTS = 400
ADMIN_CLIENTS = 60


def count_descriptors(pid: int) -> int:
    return len(os.listdir(f"/proc/{pid}/fd"))


async def idle(port: int, number: int) -> list[socket.socket]:
    """Connect clients that send nothing, some of them into the listener's accept queue."""
    loop, socks = asyncio.get_running_loop(), []
    for _ in range(number):
        socks.append(socket.socket())
        socks[-1].setblocking(False)
        await asyncio.wait_for(loop.sock_connect(socks[-1], ("127.0.0.1", port)), WAIT_S)
    return socks


def test_discovery_has_a_descriptor_for_each_of_its_calls() -> None:
    """All its calls may be open when it moves to another address."""
    assert DISCOVERY_DESCRIPTORS == 2 * MAX_OPEN_CALLS + 1


# The lower of the configured limit and the system's limit counts.
@pytest.mark.parametrize(("configured", "system"), [(1024, LIMIT), (LIMIT, 1024)])
def test_idle_clients_leave_descriptors_for_discovery_admin_reload_and_servers(
    tmp_path: Path, configured: int, system: int
) -> None:
    async def test() -> None:
        peers = [await ScriptedServer().start() for _ in range(2)]
        entries = [peer.entry(f"s-{i}") for i, peer in enumerate(peers, 1)]
        agent, moved = DiscoveryAgent(entries), DiscoveryAgent([entries[1]], 7)
        await moved.start()  # discovery is down at its first address
        path = tmp_path / "config.json"
        raw = raw_config() | {
            "discovery": f"127.0.0.1:{agent.port}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": configured},
            "known": {"generation": 1, "reset": True, "instances": entries},
        }
        path.write_text(json.dumps(raw))
        variables = {
            "ROUTER_CONFIG": str(path),
            "ROUTER_CONSOLE": "127.0.0.1:0",
            "TMPDIR": str(tmp_path),
        }
        process = await asyncio.create_subprocess_exec(
            *COMMAND,
            env=os.environ | variables,
            stderr=asyncio.subprocess.PIPE,
            preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (system, system)),
        )
        node = NodeProcess(process)
        try:
            node.port = int((await node.line(r"listens on 127\.0\.0\.1:(\d+)"))[1])
            admin_port = int((await node.line(r"console.*127\.0\.0\.1:(\d+)"))[1])
            at_rest = count_descriptors(process.pid)
            assert (
                at_rest
                <= PROGRAM_DESCRIPTORS
                + LISTENER_DESCRIPTORS
                + DISCOVERY_DESCRIPTORS
                + REGULAR_FILE_DESCRIPTORS
            )
            clients, _ = DescriptorBudget.for_limit(LIMIT, admin=True).split()
            crowd = await idle(node.port, IDLE_CLIENTS)
            async with asyncio.timeout(WAIT_S):
                while count_descriptors(process.pid) < at_rest + clients - DISCOVERY_DESCRIPTORS:
                    await asyncio.sleep(0.001)
            admin_clients = await idle(admin_port, ADMIN_CLIENTS)

            agent.whole = {
                "generation": 2,
                "reset": True,
                "instances": [peers[0].entry("s-1", "leaving")],
            }
            agent.whole["instances"].append(entries[1])  # type: ignore[attr-defined]
            await agent.start()
            await asyncio.wait_for(agent.calls.get(), WAIT_S)
            agent.push(2, agent.whole["instances"])  # type: ignore[arg-type]
            await node.line("list 2")
            assert count_descriptors(process.pid) <= LIMIT
            for _ in range(4):  # the drain was received, and the other server is reached
                client = await node.client()
                status, _, _ = await client.ask(request())
                assert status == 200
            assert peers[0].requests.empty() and peers[1].requests.qsize() == 4

            ready = Client(*await asyncio.open_connection("127.0.0.1", admin_port))
            status, _, _ = await ready.ask(b"GET /-/ready HTTP/1.1\r\nHost: n\r\n\r\n")
            assert status == 200

            path.write_text(json.dumps(raw | {"discovery": f"127.0.0.1:{moved.port}"}))
            process.send_signal(signal.SIGHUP)
            await node.line("configuration read")
            await asyncio.wait_for(moved.calls.get(), WAIT_S)
            await node.line("list 7")
            assert count_descriptors(process.pid) <= LIMIT
            for sock in (*crowd, *admin_clients):
                sock.close()
            process.send_signal(signal.SIGTERM)
            await node.line("stopped")
            assert not [
                line for line in node.lines if "Errno 24" in line or "no descriptors" in line
            ]
        finally:
            if process.returncode is None:
                process.kill()
            await process.wait()

    uvloop.run(test())


def test_connections_to_servers_stay_within_their_limit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A connection that is closed for another one holds its descriptor until the close is done."""
    monkeypatch.setattr(connection_pool, "REUSE_DELAY_MS", 0.0)
    dial = uvloop.Loop.create_connection

    async def test() -> None:
        old, new = await ScriptedServer().start(), await ScriptedServer().start()
        most = 0
        async with running(old, new) as stand:
            pool = stand.node.pool
            for name, peer in (("s-1", old), ("s-2", new)):
                for number in range(4):
                    stand.send((1 << 40) + 8 * peer.port + number, name)
                if peer is old:
                    for _ in range(4):
                        await stand.outcome()
                    pool.max_connections = 4

                    async def counted(self: Any, *args: Any, **more: Any) -> Any:
                        nonlocal most
                        most = max(most, len(pool.connections) + pool.connecting)
                        return await dial(self, *args, **more)

                    monkeypatch.setattr(uvloop.Loop, "create_connection", counted)
            for _ in range(4):
                await asyncio.wait_for(new.requests.get(), WAIT_S)
                await stand.outcome()
            assert most == 4

    run(test())


def open_sockets() -> set[str]:
    """Return the sockets of this process by their inodes, whichever numbers they have."""
    found = set()
    for number in os.listdir("/proc/self/fd"):
        with contextlib.suppress(OSError):
            found.add(os.readlink(f"/proc/self/fd/{number}"))
    return {name for name in found if name.startswith("socket:")}


def test_admin_connections_stay_within_their_limit(tmp_path: Path) -> None:
    """Many clients connect at once, and none of them sends anything."""

    async def test() -> None:
        async with running(
            await ScriptedServer().start(), console=("127.0.0.1", 0), folder=tmp_path
        ) as stand:
            admin = stand.node.admin_listener
            assert admin is not None
            await asyncio.wait_for(stand.agent.calls.get(), WAIT_S)
            socks = [socket.create_connection(admin.address) for _ in range(ADMIN_CLIENTS)]
            before, most = open_sockets(), 0
            for _ in range(10 * ADMIN_CLIENTS):
                await asyncio.sleep(0)
                most = max(most, len(open_sockets() - before))
            assert 0 < most <= MAX_CONNECTIONS
            ends = 0
            for sock in socks:
                sock.setblocking(False)
                with contextlib.suppress(BlockingIOError):
                    ends += sock.recv(1) == b""
                sock.close()
            assert ends >= ADMIN_CLIENTS - MAX_CONNECTIONS  # each was closed for a later one

    run(test())


@pytest.mark.parametrize("configured", [0, 40, 62])
def test_a_limit_that_is_too_low_is_reported_at_startup(tmp_path: Path, configured: int) -> None:
    async def test() -> None:
        path = tmp_path / "config.json"
        path.write_text(
            json.dumps(
                raw_config() | {"limits": {"cores": 1, "memory_mb": 9, "sockets": configured}}
            )
        )
        process = await asyncio.create_subprocess_exec(
            *COMMAND,
            env=os.environ | {"ROUTER_CONFIG": str(path), "ROUTER_CONSOLE": "127.0.0.1:0"},
            stderr=asyncio.subprocess.PIPE,
        )
        _, said = await asyncio.wait_for(process.communicate(), WAIT_S)
        assert (
            process.returncode == 2
            and f"limits.sockets: {configured} are too few: program".encode() in said
        )

    uvloop.run(test())
