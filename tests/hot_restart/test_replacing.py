"""Hot restarts on the platform's socket, with real processes and signals."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest
import uvloop

from tests.net import WAIT_S, Client, DiscoveryAgent, ScriptedServer, answer_after, field, request
from tests.test_process import COMMAND, NodeProcess, raw_config


class Platform:
    """Owns the listening socket, and starts processes of one node that inherit it."""

    def __init__(self, folder: Path, agent: DiscoveryAgent) -> None:
        self.sock = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.port: int = self.sock.getsockname()[1]
        self.folder = folder
        self.path = folder / "config.json"
        endpoints = {"discovery": f"127.0.0.1:{agent.port}", "listen": f"127.0.0.1:{self.port}"}
        self.path.write_text(json.dumps(raw_config() | endpoints))
        self.processes: list[NodeProcess] = []

    async def start(self) -> NodeProcess:
        """Start a node on the inherited socket and wait until it is ready."""
        environ = {
            "ROUTER_CONFIG": str(self.path),
            "ROUTER_INHERITED_FD": str(self.sock.fileno()),
            "ROUTER_CONSOLE": "127.0.0.1:0",
            "TMPDIR": str(self.folder),
        }
        process = await asyncio.create_subprocess_exec(
            *COMMAND,
            env=os.environ | environ,
            stderr=subprocess.PIPE,
            pass_fds=[self.sock.fileno()],
        )
        node = NodeProcess(process)
        self.processes.append(node)
        node.port = int((await node.line(r"console listens on 127\.0\.0\.1:(\d+)"))[1])
        while await self.call(node, "/-/ready", "GET") != 200:
            await asyncio.sleep(0.01)
        return node

    async def call(self, node: NodeProcess, target: str, method: str = "POST") -> int:
        """Send a request to a node and return the status of the response."""
        client = await node.client()
        status, _, _ = await client.ask(f"{method} {target} HTTP/1.1\r\n\r\n".encode())
        client.writer.close()
        return status

    async def client(self) -> Client:
        """Connect to the inherited socket."""
        return Client(*await asyncio.open_connection("127.0.0.1", self.port))

    async def end(self, node: NodeProcess) -> int:
        """Send SIGTERM to a node and return its exit code."""
        node.process.send_signal(signal.SIGTERM)
        return await asyncio.wait_for(node.process.wait(), WAIT_S)


@asynccontextmanager
async def running_platform(folder: Path, *peers: ScriptedServer) -> AsyncIterator[Platform]:
    agent = await DiscoveryAgent([peer.entry(f"s-{i}") for i, peer in enumerate(peers, 1)]).start()
    platform = Platform(folder, agent)
    try:
        yield platform
    finally:
        platform.sock.close()
        for node in platform.processes:
            if node.process.returncode is None:
                node.process.kill()
                await node.process.wait()


async def traffic(platform: Platform, stop: asyncio.Event) -> tuple[int, int]:
    """Send requests on persistent connections; return the numbers of served and refused ones."""
    served = refused = 0
    client, is_new_connection = await platform.client(), True
    while not stop.is_set():
        try:
            status, head, _ = await client.ask(request())
        except (asyncio.IncompleteReadError, ConnectionError):
            assert not is_new_connection, "a request on a new connection was refused"
            refused += 1
            client, is_new_connection = await platform.client(), True
            continue
        assert status == 200, head
        served, is_new_connection = served + 1, False
        if field(head, b"Connection") == b"close":
            client.writer.close()
            client, is_new_connection = await platform.client(), True
    client.writer.close()
    return served, refused


def test_many_restarts_under_traffic_refuse_no_request_and_keep_ejections(
    tmp_path: Path,
) -> None:
    async def test() -> None:
        peers = [await ScriptedServer().start() for _ in range(6)]
        async with running_platform(tmp_path, *peers) as platform:
            node = await platform.start()
            assert await platform.call(node, "/-/servers/s-1/disable") == 200
            while not peers[0].requests.empty():
                peers[0].requests.get_nowait()
            stop = asyncio.Event()
            clients = [asyncio.ensure_future(traffic(platform, stop)) for _ in range(3)]
            for _ in range(int(os.environ.get("BADGERCART_RUNS", "3"))):
                successor = await platform.start()
                assert await platform.end(node) == 0
                node = successor
                assert len([path for path in tmp_path.iterdir() if path.suffix == ".life"]) == 1
            stop.set()
            for served, refused in await asyncio.gather(*clients):
                assert served and not refused
            assert peers[0].requests.empty()
            assert await platform.call(node, "/-/servers/s-1/enable") == 200
            client = await platform.client()
            while peers[0].requests.empty():
                assert (await client.ask(request()))[0] == 200

    uvloop.run(test())


def test_an_ejection_at_either_of_two_processes_applies_to_both(tmp_path: Path) -> None:
    async def test() -> None:
        peer = await ScriptedServer().start()
        async with running_platform(tmp_path, peer) as platform:
            old, new = await platform.start(), await platform.start()
            assert await platform.call(new, "/-/servers/s-1/disable") == 200
            await old.line("server s-1 is taken out")
            assert await platform.call(old, "/-/servers/s-1/enable") == 200
            await new.line("server s-1 is called back")

    uvloop.run(test())


def test_requests_in_flight_or_partly_read_are_served_by_the_old_process(tmp_path: Path) -> None:
    release = asyncio.Event()

    async def test() -> None:
        peer = await ScriptedServer(answer_after(release)).start()
        async with running_platform(tmp_path, peer) as platform:
            old = await platform.start()
            waiting, partial, idle = [await platform.client() for _ in range(3)]
            waiting.writer.write(request())
            await asyncio.wait_for(peer.requests.get(), WAIT_S)
            request_bytes = request()
            partial.writer.write(request_bytes[:20])
            assert (await idle.ask(b"GET /_health HTTP/1.1\r\n\r\n"))[0] == 200
            await platform.start()
            old.process.send_signal(signal.SIGTERM)
            await old.line("handing over")
            partial.writer.write(request_bytes[20:])
            # This connection was idle.
            idle.writer.write(request())
            for _ in range(2):
                await asyncio.wait_for(peer.requests.get(), WAIT_S)
            release.set()
            for client in (waiting, partial, idle):
                status, head, _ = await client.answer()
                assert (status, field(head, b"Connection")) == (200, b"close")
                client.writer.close()
            assert await asyncio.wait_for(old.process.wait(), WAIT_S) == 0

    uvloop.run(test())


def test_a_killed_successor_and_a_stale_lock_file_leave_the_first_process_alone(
    tmp_path: Path,
) -> None:
    async def test() -> None:
        peer = await ScriptedServer().start()
        (tmp_path / "badgercart-99999999.life").write_bytes(b"")
        (tmp_path / "badgercart-bans").write_bytes(b"spoilt")
        async with running_platform(tmp_path, peer) as platform:
            first = await platform.start()
            assert any("badgercart-bans is not used" in line for line in first.lines)
            assert not any("another process" in line for line in first.lines)
            assert await platform.call(first, "/-/servers/s-1/disable") == 200
            second = await platform.start()
            await first.line("another process of this node lives")
            second.process.kill()
            await first.line("alone again")
            assert await platform.call(first, "/-/servers/s-1/enable") == 200
            client = await platform.client()
            assert (await client.ask(request()))[0] == 200

    uvloop.run(test())


def bad_descriptors() -> list[Any]:
    return [
        ("999", "descriptor 999"),
        ("x", "no descriptor"),
        ("pipe", "non-socket"),
        ("idle", "does not listen"),
    ]


@pytest.mark.parametrize(("kind", "expected_text"), bad_descriptors())
def test_a_descriptor_that_is_no_listening_socket_is_a_one_line_error(
    tmp_path: Path, kind: str, expected_text: str
) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(raw_config()))
    idle, (read, write) = socket.socket(), os.pipe()
    descriptor = {"idle": str(idle.fileno()), "pipe": str(read)}.get(kind, kind)
    environ = {
        "ROUTER_CONFIG": str(path),
        "ROUTER_INHERITED_FD": descriptor,
        "TMPDIR": str(tmp_path),
    }
    completed = subprocess.run(
        COMMAND, env=os.environ | environ, capture_output=True, text=True, check=False,
        pass_fds=[idle.fileno(), read],
    )  # fmt: skip
    idle.close()
    os.close(read)
    os.close(write)
    assert (
        completed.returncode == 2
        and expected_text in completed.stderr
        and completed.stderr.count("\n") == 1
    )
