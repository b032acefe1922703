"""The node as a process: its start, its configuration, and its planned end."""

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
    find = {"Name": "find", "Aim": 5000.0, "Deadline": 9000.0, "Idempotency": "free", "Worth": 1.0}
    allowed = {**SETTINGS["Allowed"], "DialTimeout": 5000.0, "ConnIdle": 15000.0}  # type: ignore[dict-item]
    return {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:1",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": {**SETTINGS, "Classes": [find], "Allowed": allowed, "Customers": []},
    }


@pytest.mark.parametrize(
    ("change", "words"),
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
def test_a_bad_configuration_ends_with_one_plain_line(
    tmp_path: Path, change: Any, words: str
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
    assert words in done.stderr and done.stderr.count("\n") == 1


class Process:
    """The node as a program of its own, with what it logs."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self.process = process
        self.lines: list[str] = []

    async def line(self, pattern: str) -> re.Match[str]:
        """The next line of the log that matches."""
        assert self.process.stderr is not None
        while True:
            line = (await asyncio.wait_for(self.process.stderr.readline(), WAIT_S)).decode()
            assert line, "the node has ended"
            self.lines.append(line)
            if match := re.search(pattern, line):
                return match

    async def listening(self) -> None:
        self.port = int((await self.line(r"listens on 127\.0\.0\.1:(\d+)"))[1])
        await self.line("list 1")

    async def client(self) -> Client:
        return Client(*await asyncio.open_connection("127.0.0.1", self.port))


@asynccontextmanager
async def started(path: Path, discovery: int, **variables: str) -> AsyncIterator[Process]:
    path.write_text(json.dumps(raw_config() | {"discovery": f"127.0.0.1:{discovery}"}))
    process = await asyncio.create_subprocess_exec(
        *COMMAND,
        env=os.environ | {"ROUTER_CONFIG": str(path)} | variables,
        stderr=asyncio.subprocess.PIPE,
    )
    node = Process(process)
    try:
        await node.listening()
        yield node
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()


def test_sighup_moves_to_the_discovery_that_the_file_names(tmp_path: Path) -> None:
    async def test() -> None:
        old, new = await ScriptedServer().start(), await ScriptedServer().start()
        first, second = (
            await DiscoveryAgent([old.entry()]).start(),
            await DiscoveryAgent([new.entry("s-2")], 7).start(),
        )
        path = tmp_path / "config.json"
        # The variable wins at the start; from the signal on the file does.
        variable = {"ROUTER_DISCOVERY": f"127.0.0.1:{first.port}"}
        async with started(path, 1, **variable) as node:
            while "watch" not in await asyncio.wait_for(first.calls.get(), WAIT_S):
                pass
            for half in (
                "{",
                "",
                json.dumps(raw_config())[:200],
                "[" * 100_000,
                json.dumps({"discovery": 1}),
            ):
                path.write_text(half)
                node.process.send_signal(signal.SIGHUP)
                await node.line("ERROR the configuration stays as it was")
            client = await node.client()
            assert (await client.ask(request()))[0] == 200
            path.write_text(json.dumps(raw_config() | {"discovery": f"127.0.0.1:{second.port}"}))
            node.process.send_signal(signal.SIGHUP)
            assert await asyncio.wait_for(second.calls.get(), WAIT_S) == "/catalog/members"
            await asyncio.wait_for(first.ended.get(), WAIT_S)  # of the first whole list
            await asyncio.wait_for(first.ended.get(), WAIT_S)  # of the watch
            assert (
                await asyncio.wait_for(second.calls.get(), WAIT_S)
                == "/catalog/members?watch=1&from=7"
            )
            assert (await client.ask(request()))[0] == 200
            assert (old.requests.qsize(), new.requests.qsize()) == (1, 1)
            node.process.send_signal(signal.SIGHUP)  # nothing new: the watch stays
            await node.line("configuration read")
            second.push(8, [old.entry()], reset=True)
            await node.line("list 8")
            assert second.calls.empty() and first.calls.empty()

    uvloop.run(test())


def test_sigterm_answers_what_is_held_and_what_still_comes(tmp_path: Path) -> None:
    release = asyncio.Event()

    async def test() -> None:
        peer = await ScriptedServer(answer_after(release)).start()
        agent = await DiscoveryAgent([peer.entry()]).start()
        async with started(tmp_path / "config.json", agent.port) as node:
            holder, idle = await node.client(), await node.client()
            assert (await idle.ask(b"GET /_health HTTP/1.1\r\n\r\n"))[0] == 200
            holder.writer.write(request())
            await asyncio.wait_for(peer.requests.get(), WAIT_S)
            node.process.send_signal(signal.SIGTERM)
            assert await idle.end() == b""  # an idle connection is closed
            node.process.send_signal(signal.SIGHUP)  # harmless by now
            late = await node.client()  # new ones are still taken
            late.writer.write(request())
            await asyncio.wait_for(peer.requests.get(), WAIT_S)
            release.set()
            for waiting in (holder, late):
                status, head, _ = await waiting.answer()
                assert (status, field(head, b"Connection")) == (200, b"close")
                waiting.writer.close()
            assert await asyncio.wait_for(node.process.wait(), WAIT_S) == 0

    uvloop.run(test())


def test_sigterm_twice_and_a_hung_server_still_end_with_an_answer(tmp_path: Path) -> None:
    """Its request has longer than the process: it is answered by then all the same."""

    async def test() -> None:
        peer = await ScriptedServer(stay_silent).start()
        agent = await DiscoveryAgent([peer.entry()]).start()
        async with started(tmp_path / "config.json", agent.port) as node:
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
