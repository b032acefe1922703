"""Idle clients fill the descriptors that they may have: all else that needs some finds its own."""

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
from badgercart.core.descriptors import DISCOVERY, FILES, LISTENERS, PROGRAM, Descriptors
from badgercart.discovery.backoff import MAX_OPEN_CALLS
from badgercart.upstream import connection_pool as pools
from tests.net import WAIT, Agent, Client, Peer, request, run, running
from tests.test_process import COMMAND, NodeProcess, raw_config

LIMIT, IDLE, CALLERS = 96, 400, 60


def held(pid: int) -> int:
    return len(os.listdir(f"/proc/{pid}/fd"))


async def idle(port: int, number: int) -> list[socket.socket]:
    """Clients that say nothing, some of them in the listener's queue."""
    loop, socks = asyncio.get_running_loop(), []
    for _ in range(number):
        socks.append(socket.socket())
        socks[-1].setblocking(False)
        await asyncio.wait_for(loop.sock_connect(socks[-1], ("127.0.0.1", port)), WAIT)
    return socks


def test_discovery_has_as_many_as_it_may_open() -> None:
    """All its calls are out when it moves to another address."""
    assert DISCOVERY == 2 * MAX_OPEN_CALLS + 1


# Told more than the system lets it hold, or told less: it goes by what is less.
@pytest.mark.parametrize(("told", "system"), [(1024, LIMIT), (LIMIT, 1024)])
def test_idle_clients_leave_the_list_the_console_a_reload_and_the_servers_their_descriptors(
    tmp_path: Path, told: int, system: int
) -> None:
    async def test() -> None:
        peers = [await Peer().start() for _ in range(2)]
        entries = [peer.entry(f"s-{i}") for i, peer in enumerate(peers, 1)]
        agent, moved = Agent(entries), Agent([entries[1]], 7)
        await agent.start()
        await moved.start()
        agent.server.close()  # discovery is down
        path = tmp_path / "config.json"
        raw = raw_config() | {
            "discovery": f"127.0.0.1:{agent.port}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": told},
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
            door = int((await node.line(r"console.*127\.0\.0\.1:(\d+)"))[1])
            at_rest = held(process.pid)
            assert at_rest <= PROGRAM + LISTENERS + DISCOVERY + FILES
            clients, _ = Descriptors.of(LIMIT, console=True).split()
            crowd = await idle(node.port, IDLE)
            async with asyncio.timeout(WAIT):
                while held(process.pid) < at_rest + clients - DISCOVERY:
                    await asyncio.sleep(0.001)
            callers = await idle(door, CALLERS)

            agent.whole = {
                "generation": 2,
                "reset": True,
                "instances": [peers[0].entry("s-1", "leaving")],
            }
            agent.whole["instances"].append(entries[1])  # type: ignore[attr-defined]
            agent.server = await asyncio.start_server(agent.serve, "127.0.0.1", agent.port)
            await asyncio.wait_for(agent.calls.get(), WAIT)
            agent.push(2, agent.whole["instances"])  # type: ignore[arg-type]
            await node.line("list 2")
            assert held(process.pid) <= LIMIT
            for _ in range(4):  # the drain was heard, and the server that is left is reached
                client = await node.client()
                status, _, _ = await client.ask(request())
                assert status == 200
            assert peers[0].requests.empty() and peers[1].requests.qsize() == 4

            ready = Client(*await asyncio.open_connection("127.0.0.1", door))
            status, _, _ = await ready.ask(b"GET /-/ready HTTP/1.1\r\nHost: n\r\n\r\n")
            assert status == 200

            path.write_text(json.dumps(raw | {"discovery": f"127.0.0.1:{moved.port}"}))
            process.send_signal(signal.SIGHUP)
            await node.line("configuration read")
            await asyncio.wait_for(moved.calls.get(), WAIT)
            await node.line("list 7")
            assert held(process.pid) <= LIMIT
            for sock in (*crowd, *callers):
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


def test_connections_to_servers_never_hold_more_than_theirs(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """One that makes room for another holds its descriptor until it is closed."""
    monkeypatch.setattr(pools, "REST", 0.0)
    dial = uvloop.Loop.create_connection

    async def test() -> None:
        old, new = await Peer().start(), await Peer().start()
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
                        most = max(most, len(pool.connections) + pool.dials)
                        return await dial(self, *args, **more)

                    monkeypatch.setattr(uvloop.Loop, "create_connection", counted)
            for _ in range(4):
                await asyncio.wait_for(new.requests.get(), WAIT)
                await stand.outcome()
            assert most == 4

    run(test())


def test_callers_of_the_console_never_hold_more_than_theirs(tmp_path: Path) -> None:
    """Many wait at once, and none of them says anything."""

    async def test() -> None:
        async with running(
            await Peer().start(), console=("127.0.0.1", 0), folder=tmp_path
        ) as stand:
            door = stand.node.admin_listener
            assert door is not None
            await asyncio.wait_for(stand.agent.calls.get(), WAIT)
            socks = [socket.create_connection(door.address) for _ in range(CALLERS)]
            before, most = held(os.getpid()), 0
            for _ in range(10 * CALLERS):
                await asyncio.sleep(0)
                most = max(most, held(os.getpid()))
            assert before < most <= before + MAX_CONNECTIONS
            ends = 0
            for sock in socks:
                sock.setblocking(False)
                with contextlib.suppress(BlockingIOError):
                    ends += sock.recv(1) == b""
                sock.close()
            assert ends >= CALLERS - MAX_CONNECTIONS  # each made room for one that came later

    run(test())


@pytest.mark.parametrize("told", [0, 40, 62])
def test_a_limit_that_does_not_do_is_said_at_the_start(tmp_path: Path, told: int) -> None:
    async def test() -> None:
        path = tmp_path / "config.json"
        path.write_text(
            json.dumps(raw_config() | {"limits": {"cores": 1, "memory_mb": 9, "sockets": told}})
        )
        process = await asyncio.create_subprocess_exec(
            *COMMAND,
            env=os.environ | {"ROUTER_CONFIG": str(path), "ROUTER_CONSOLE": "127.0.0.1:0"},
            stderr=asyncio.subprocess.PIPE,
        )
        _, said = await asyncio.wait_for(process.communicate(), WAIT)
        assert (
            process.returncode == 2
            and f"limits.sockets: {told} are too few: program".encode() in said
        )

    uvloop.run(test())
