"""One process takes over from another on the platform's socket: real processes, real signals."""

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
from tests.test_process import COMMAND, Process, raw_config


class Platform:
    """Holds the listening socket, and starts processes of one node on it."""

    def __init__(self, folder: Path, agent: DiscoveryAgent) -> None:
        self.sock = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.port: int = self.sock.getsockname()[1]
        self.folder = folder
        self.path = folder / "config.json"
        told = {"discovery": f"127.0.0.1:{agent.port}", "listen": f"127.0.0.1:{self.port}"}
        self.path.write_text(json.dumps(raw_config() | told))
        self.processes: list[Process] = []

    async def start(self) -> Process:
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
        node = Process(process)
        self.processes.append(node)
        node.port = int((await node.line(r"console listens on 127\.0\.0\.1:(\d+)"))[1])
        while await self.call(node, "/-/ready", "GET") != 200:
            await asyncio.sleep(0.01)
        return node

    async def call(self, node: Process, target: str, method: str = "POST") -> int:
        client = await node.client()
        status, _, _ = await client.ask(f"{method} {target} HTTP/1.1\r\n\r\n".encode())
        client.writer.close()
        return status

    async def client(self) -> Client:
        return Client(*await asyncio.open_connection("127.0.0.1", self.port))

    async def end(self, node: Process) -> int:
        node.process.send_signal(signal.SIGTERM)
        return await asyncio.wait_for(node.process.wait(), WAIT_S)


@asynccontextmanager
async def platform(folder: Path, *peers: ScriptedServer) -> AsyncIterator[Platform]:
    agent = await DiscoveryAgent([peer.entry(f"s-{i}") for i, peer in enumerate(peers, 1)]).start()
    made = Platform(folder, agent)
    try:
        yield made
    finally:
        made.sock.close()
        for node in made.processes:
            if node.process.returncode is None:
                node.process.kill()
                await node.process.wait()


async def traffic(here: Platform, stop: asyncio.Event) -> tuple[int, int]:
    """A client that keeps its connection where it may: answers that it got, requests turned
    back."""
    served = turned_back = 0
    client, fresh = await here.client(), True
    while not stop.is_set():
        try:
            status, head, _ = await client.ask(request())
        except (asyncio.IncompleteReadError, ConnectionError):
            assert not fresh, "a new connection was turned away"
            turned_back += 1
            client, fresh = await here.client(), True
            continue
        assert status == 200, head
        served, fresh = served + 1, False
        if field(head, b"Connection") == b"close":
            client.writer.close()
            client, fresh = await here.client(), True
    client.writer.close()
    return served, turned_back


def test_many_replacements_under_traffic_turn_nothing_back_and_forget_no_ban(
    tmp_path: Path,
) -> None:
    async def test() -> None:
        peers = [await ScriptedServer().start() for _ in range(6)]
        async with platform(tmp_path, *peers) as here:
            node = await here.start()
            assert await here.call(node, "/-/servers/s-1/disable") == 200
            while not peers[0].requests.empty():
                peers[0].requests.get_nowait()
            stop = asyncio.Event()
            clients = [asyncio.ensure_future(traffic(here, stop)) for _ in range(3)]
            for _ in range(int(os.environ.get("BADGERCART_RUNS", "3"))):
                successor = await here.start()
                assert await here.end(node) == 0
                node = successor
                assert len([path for path in tmp_path.iterdir() if path.suffix == ".life"]) == 1
            stop.set()
            for served, turned_back in await asyncio.gather(*clients):
                assert served and not turned_back
            assert peers[0].requests.empty()
            assert await here.call(node, "/-/servers/s-1/enable") == 200
            client = await here.client()
            while peers[0].requests.empty():
                assert (await client.ask(request()))[0] == 200

    uvloop.run(test())


def test_a_ban_told_to_either_of_two_holds_at_both(tmp_path: Path) -> None:
    async def test() -> None:
        peer = await ScriptedServer().start()
        async with platform(tmp_path, peer) as here:
            old, new = await here.start(), await here.start()
            assert await here.call(new, "/-/servers/s-1/disable") == 200
            await old.line("server s-1 is taken out")
            assert await here.call(old, "/-/servers/s-1/enable") == 200
            await new.line("server s-1 is called back")

    uvloop.run(test())


def test_held_and_half_read_requests_are_answered_by_the_one_that_leaves(tmp_path: Path) -> None:
    release = asyncio.Event()

    async def test() -> None:
        peer = await ScriptedServer(answer_after(release)).start()
        async with platform(tmp_path, peer) as here:
            old = await here.start()
            holder, half, quiet = [await here.client() for _ in range(3)]
            holder.writer.write(request())
            await asyncio.wait_for(peer.requests.get(), WAIT_S)
            whole = request()
            half.writer.write(whole[:20])
            assert (await quiet.ask(b"GET /_health HTTP/1.1\r\n\r\n"))[0] == 200
            await here.start()
            old.process.send_signal(signal.SIGTERM)
            await old.line("handing over")
            half.writer.write(whole[20:])
            quiet.writer.write(request())  # on a connection that has stood idle
            for _ in range(2):
                await asyncio.wait_for(peer.requests.get(), WAIT_S)
            release.set()
            for client in (holder, half, quiet):
                status, head, _ = await client.answer()
                assert (status, field(head, b"Connection")) == (200, b"close")
                client.writer.close()
            assert await asyncio.wait_for(old.process.wait(), WAIT_S) == 0

    uvloop.run(test())


def test_a_successor_that_dies_and_a_file_of_one_long_dead_leave_the_first_alone(
    tmp_path: Path,
) -> None:
    async def test() -> None:
        peer = await ScriptedServer().start()
        (tmp_path / "badgercart-99999999.life").write_bytes(b"")
        (tmp_path / "badgercart-bans").write_bytes(b"spoilt")
        async with platform(tmp_path, peer) as here:
            first = await here.start()
            assert any("badgercart-bans is not used" in line for line in first.lines)
            assert not any("another process" in line for line in first.lines)
            assert await here.call(first, "/-/servers/s-1/disable") == 200
            second = await here.start()
            await first.line("another process of this node lives")
            second.process.kill()
            await first.line("alone again")
            assert await here.call(first, "/-/servers/s-1/enable") == 200
            client = await here.client()
            assert (await client.ask(request()))[0] == 200

    uvloop.run(test())


def bad_descriptors() -> list[Any]:
    return [
        ("999", "descriptor 999"),
        ("x", "no descriptor"),
        ("pipe", "non-socket"),
        ("idle", "does not listen"),
    ]


@pytest.mark.parametrize(("kind", "words"), bad_descriptors())
def test_a_descriptor_that_is_no_listening_socket_is_a_plain_error(
    tmp_path: Path, kind: str, words: str
) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(raw_config()))
    idle, (read, write) = socket.socket(), os.pipe()
    told = {"idle": str(idle.fileno()), "pipe": str(read)}.get(kind, kind)
    environ = {"ROUTER_CONFIG": str(path), "ROUTER_INHERITED_FD": told, "TMPDIR": str(tmp_path)}
    done = subprocess.run(
        COMMAND, env=os.environ | environ, capture_output=True, text=True, check=False,
        pass_fds=[idle.fileno(), read],
    )  # fmt: skip
    idle.close()
    os.close(read)
    os.close(write)
    assert done.returncode == 2 and words in done.stderr and done.stderr.count("\n") == 1
