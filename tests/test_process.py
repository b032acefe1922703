"""Tests of the node as a process: its start, its configuration, and its planned end."""

from __future__ import annotations

import asyncio
import json
import os
import re
import signal
import subprocess
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest
import uvloop

from tests.net import (
    WAIT_S,
    Client,
    DiscoveryAgent,
    ScriptedServer,
    answer_after,
    field,
    request,
    stay_silent,
)
from tests.simulator.test_codec import SETTINGS

COMMAND = [sys.executable, "-B", "-m", "badgercart"]


def raw_config() -> dict[str, Any]:
    """Return the content of a configuration file."""
    find_class = {
        "Name": "find",
        "Aim": 5000.0,
        "Deadline": 9000.0,
        "Idempotency": "free",
        "Worth": 1.0,
    }
    allowed = {**SETTINGS["Allowed"], "DialTimeout": 5000.0, "ConnIdle": 15000.0}  # type: ignore[dict-item]
    return {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:1",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": {**SETTINGS, "Classes": [find_class], "Allowed": allowed, "Customers": []},
    }


@pytest.mark.parametrize(
    ("change", "expected"),
    [
        ({"listen": "127.0.0.1"}, "no host:port"),
        ({"seed": "xyz"}, "xyz"),
        ({"known": "none"}, "dictionary"),
        ({"settings": {}}, "Allowed"),
        ({"limits": None}, "NoneType"),
        (None, "ROUTER_CONFIG"),
        ("not JSON", "line 1"),
        ("[]", "list"),
    ],
)
def test_an_invalid_configuration_is_reported_in_one_line(
    tmp_path: Path, change: Any, expected: str
) -> None:
    path = tmp_path / "config.json"
    path.write_text(
        change if isinstance(change, str) else json.dumps(raw_config() | (change or {}))
    )
    environ = {k: v for k, v in os.environ.items() if not k.startswith("ROUTER_")}
    if change is not None:
        environ["ROUTER_CONFIG"] = str(path)
    done = subprocess.run(COMMAND, env=environ, capture_output=True, text=True, check=False)
    assert (done.returncode, done.stdout) == (2, "")
    assert expected in done.stderr and done.stderr.count("\n") == 1


class NodeProcess:
    """A node in a process of its own, and the lines that it logs."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self.process = process
        self.lines: list[str] = []

    async def line(self, pattern: str) -> re.Match[str]:
        """Return the next line of the log that matches."""
        assert self.process.stderr is not None
        while True:
            line = (await asyncio.wait_for(self.process.stderr.readline(), WAIT_S)).decode()
            assert line, "the node has ended"
            self.lines.append(line)
            if match := re.search(pattern, line):
                return match

    async def listening(self) -> None:
        """Wait until the node listens and has its first endpoint list."""
        self.port = int((await self.line(r"listens on 127\.0\.0\.1:(\d+)"))[1])
        await self.line("list 1")

    async def client(self) -> Client:
        """Connect to the node."""
        return Client(*await asyncio.open_connection("127.0.0.1", self.port))


@asynccontextmanager
async def running_process(
    path: Path, discovery: int, **variables: str
) -> AsyncIterator[NodeProcess]:
    """Run a node with this configuration file, discovery port and environment."""
    path.write_text(json.dumps(raw_config() | {"discovery": f"127.0.0.1:{discovery}"}))
    process = await asyncio.create_subprocess_exec(
        *COMMAND,
        env=os.environ | {"ROUTER_CONFIG": str(path)} | variables,
        stderr=asyncio.subprocess.PIPE,
    )
    node = NodeProcess(process)
    try:
        await node.listening()
        yield node
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()


def test_sighup_switches_to_the_discovery_address_in_the_file(tmp_path: Path) -> None:
    async def test() -> None:
        old, new = await ScriptedServer().start(), await ScriptedServer().start()
        first, second = (
            await DiscoveryAgent([old.entry()]).start(),
            await DiscoveryAgent([new.entry("s-2")], 7).start(),
        )
        path = tmp_path / "config.json"
        # At the start the variable overrides the file; at a reload the file's address is used.
        variable = {"ROUTER_DISCOVERY": f"127.0.0.1:{first.port}"}
        async with running_process(path, 1, **variable) as node:
            while "watch" not in await asyncio.wait_for(first.calls.get(), WAIT_S):
                pass
            for invalid in (
                "{",
                "",
                json.dumps(raw_config())[:200],
                "[" * 100_000,
                json.dumps({"discovery": 1}),
            ):
                path.write_text(invalid)
                node.process.send_signal(signal.SIGHUP)
                await node.line("ERROR the configuration stays as it was")
            client = await node.client()
            assert (await client.ask(request()))[0] == 200
            path.write_text(json.dumps(raw_config() | {"discovery": f"127.0.0.1:{second.port}"}))
            node.process.send_signal(signal.SIGHUP)
            assert await asyncio.wait_for(second.calls.get(), WAIT_S) == "/catalog/members"
            await asyncio.wait_for(first.ended.get(), WAIT_S)  # the call for the snapshot
            await asyncio.wait_for(first.ended.get(), WAIT_S)  # the watch
            assert (
                await asyncio.wait_for(second.calls.get(), WAIT_S)
                == "/catalog/members?watch=1&from=7"
            )
            assert (await client.ask(request()))[0] == 200
            assert (old.requests.qsize(), new.requests.qsize()) == (1, 1)
            node.process.send_signal(signal.SIGHUP)  # the address is the same, so the watch stays
            await node.line("configuration read")
            second.push(8, [old.entry()], reset=True)
            await node.line("list 8")
            assert second.calls.empty() and first.calls.empty()

    uvloop.run(test())


def test_sigterm_answers_open_requests_and_those_that_still_come(tmp_path: Path) -> None:
    release = asyncio.Event()

    async def test() -> None:
        peer = await ScriptedServer(answer_after(release)).start()
        agent = await DiscoveryAgent([peer.entry()]).start()
        async with running_process(tmp_path / "config.json", agent.port) as node:
            busy, idle = await node.client(), await node.client()
            assert (await idle.ask(b"GET /_health HTTP/1.1\r\n\r\n"))[0] == 200
            busy.writer.write(request())
            await asyncio.wait_for(peer.requests.get(), WAIT_S)
            node.process.send_signal(signal.SIGTERM)
            assert await idle.end() == b""  # an idle connection is closed
            node.process.send_signal(signal.SIGHUP)  # is ignored while draining
            late = await node.client()  # new connections are still accepted
            late.writer.write(request())
            await asyncio.wait_for(peer.requests.get(), WAIT_S)
            release.set()
            for waiting in (busy, late):
                status, head, _ = await waiting.answer()
                assert (status, field(head, b"Connection")) == (200, b"close")
                waiting.writer.close()
            assert await asyncio.wait_for(node.process.wait(), WAIT_S) == 0

    uvloop.run(test())


def test_with_a_hung_server_sigterm_twice_still_ends_with_a_response(tmp_path: Path) -> None:
    """The request's timeout is longer than the drain, so it is answered before its timeout."""

    async def test() -> None:
        peer = await ScriptedServer(stay_silent).start()
        agent = await DiscoveryAgent([peer.entry()]).start()
        async with running_process(tmp_path / "config.json", agent.port) as node:
            client = await node.client()
            client.writer.write(request(timeout="60000m"))
            await asyncio.wait_for(peer.requests.get(), WAIT_S)
            for _ in range(2):
                node.process.send_signal(signal.SIGTERM)
            await node.line("stopping")
            node.process.send_signal(signal.SIGTERM)
            status, head, _ = await client.answer()
            assert (status, field(head, b"Connection")) == (503, b"close")
            client.writer.close()
            assert await asyncio.wait_for(node.process.wait(), WAIT_S) == 0

    uvloop.run(test())


@pytest.mark.parametrize(("level", "logged"), [("debug", True), ("info", False)])
def test_a_client_s_request_can_be_followed_in_the_log_to_its_attempts(
    level: str, logged: bool, tmp_path: Path
) -> None:
    async def test() -> None:
        server = await ScriptedServer().start()
        agent = await DiscoveryAgent([server.entry()]).start()
        async with running_process(tmp_path / "c.json", agent.port, ROUTER_LOG=level) as node:
            client = await node.client()
            sent = request()
            assert (await client.ask(sent))[0] == 200
            name = (field(sent, b"Request-Id") or b"").decode()
            node.process.terminate()
            assert node.process.stderr is not None
            lines = (await node.process.stderr.read()).decode()
            attempt = re.search(rf"attempt 0 of request {name} .*ended: OK", lines)
            ended = re.search(rf"request {name} .*ended: served after \d+ ms and 1 attempts", lines)
            assert bool(attempt) is bool(ended) is logged

    uvloop.run(test())
