"""The node as a process: its start, its configuration, and its planned end."""

from __future__ import annotations

import asyncio
import json
import os
import re
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
import uvloop

from tests.net import WAIT, Agent, Client, Peer, Script, answer_ok, field, request
from tests.test_wire import SETTINGS

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
def test_a_bad_configuration_ends_with_one_plain_line(tmp_path: Path, change: Any, words: str) -> None:
    path = tmp_path / "config.json"
    path.write_text(change if isinstance(change, str) else json.dumps(raw_config() | (change or {})))
    environ = {k: v for k, v in os.environ.items() if not k.startswith("ROUTER_")}
    if change is not None:
        environ["ROUTER_CONFIG"] = str(path)
    done = subprocess.run(COMMAND, env=environ, capture_output=True, text=True, check=False)
    assert (done.returncode, done.stdout) == (2, "")
    assert words in done.stderr and done.stderr.count("\n") == 1


def test_sigterm_answers_what_is_held_and_what_still_comes(tmp_path: Path) -> None:
    release = asyncio.Event()

    async def held_back(peer: Peer, head: bytes, writer: asyncio.StreamWriter) -> None:
        await release.wait()
        await answer_ok(peer, head, writer)

    async def test(script: Script) -> None:
        peer = await Peer(script).start()
        agent = await Agent([peer.entry()]).start()
        path = tmp_path / "config.json"
        path.write_text(json.dumps(raw_config() | {"discovery": f"127.0.0.1:{agent.port}"}))
        node = await asyncio.create_subprocess_exec(
            *COMMAND, env=os.environ | {"ROUTER_CONFIG": str(path)}, stderr=asyncio.subprocess.PIPE
        )
        assert node.stderr is not None
        try:
            port, listed, lines = 0, False, node.stderr
            while not (port and listed):
                line = (await asyncio.wait_for(lines.readline(), WAIT)).decode()
                assert line
                if match := re.search(r"listens on 127\.0\.0\.1:(\d+)", line):
                    port = int(match[1])
                listed = listed or "list 1" in line

            async def client() -> Client:
                return Client(*await asyncio.open_connection("127.0.0.1", port))

            holder, idle = await client(), await client()
            assert (await idle.ask(b"GET /_health HTTP/1.1\r\n\r\n"))[0] == 200
            holder.writer.write(request())
            await asyncio.wait_for(peer.requests.get(), WAIT)
            node.send_signal(signal.SIGTERM)
            assert await idle.end() == b""  # an idle connection is closed
            late = await client()  # new ones are still taken
            late.writer.write(request())
            await asyncio.wait_for(peer.requests.get(), WAIT)
            release.set()
            for waiting in (holder, late):
                status, head, _ = await waiting.answer()
                assert (status, field(head, b"Connection")) == (200, b"close")
                waiting.writer.close()
            assert await asyncio.wait_for(node.wait(), WAIT) == 0
        finally:
            if node.returncode is None:
                node.kill()
                await node.wait()

    uvloop.run(test(held_back))
