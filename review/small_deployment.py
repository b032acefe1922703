"""Stand-ins for a small deployment on loopback: platform, discovery, servers and clients.

Each case starts one node by the `run` command of the deploy file. Everything that is sent, answered
and run is written to the case's record, with times in ms since the start.
"""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import socket
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HEARTBEAT_S = 2.0  # between the empty lines of a watch
READY_S = 30.0  # by the deployment page, a node is ready within this time
MAX_CASE_S = 110.0
NODE_ENDED = "the node ended: "
NOT_READY = "the node was not ready in time"


class CaseError(Exception):
    """The case could not run."""

    def __init__(self, why: str) -> None:
        super().__init__(why)


class Record:
    """The record of a run: one line for each thing that was sent, answered or run."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w")
        self.start_s = time.monotonic()

    def now_ms(self) -> float:
        """Return the time since the start."""
        return (time.monotonic() - self.start_s) * 1000

    def __call__(self, text: str) -> float:
        """Add a line, and return its time."""
        now = self.now_ms()
        self.file.write(f"{now:10.1f} {text}\n")
        self.file.flush()
        return now


def settings() -> dict[str, Any]:
    """Return the settings of a node of a small deployment."""
    safe = {
        "Name": "cab-lookup", "Idempotency": "free", "Group": "all", "Aim": 580.0,
        "Deadline": 1400.0, "Window": 5000.0, "Worth": 2.0, "LateValue": 0.0, "Stream": False,
    }  # fmt: skip
    keyed = {
        "Name": "ride-assign", "Idempotency": "guarded", "Group": "all", "Aim": 750.0,
        "Deadline": 1900.0, "Window": 6000.0, "Worth": 8.0, "LateValue": 0.0, "Stream": False,
    }  # fmt: skip
    return {
        "Allowed": {
            "ConnIdle": 15000.0, "CpuUsPerRequest": 0.0, "CpuUsPerS": 27899, "DialTimeout": 200.0,
            "MaxAttempts": 4, "MaxOpen": 37198, "MaxRetryAfter": 600.0, "MayCancel": True,
            "Peers": False, "Probes": True, "RetryAfter": True, "SecondCopies": True,
            "StreamsPerConn": 1,
        },
        "Azs": ["angyalfold"],
        "Classes": [safe, keyed],
        "Clients": {"MarksRetry": False},
        "Customers": [{"Name": "fovarosi", "Portion": 1.0, "QuotaPerS": 300.0}],
        "Discovery": "push",
        "Domain": {"WarmKeys": True},
        "Goal": {"Whole": 0.6, "WorstClass": 0.2, "WorstTenant": 0.1, "WorstWindow": 0.1},
        "GroupSize": 1,
        "KindOfService": "proxy",
        "Kinds": ["k2-fast", "k3-slow"],
        "Me": 0,
        "MyZone": 0,
        "Obligations": {
            "AnswerSlack": 20.0, "AskWithin": 10000.0, "ColdFrom": 0.32, "DrainGrace": 500.0,
            "OverloadFor": 1000.0, "RampTime": 8800.0, "TipMultiple": 3.0,
        },
        "OverShareWorth": 0.05,
        "Prices": {"LateFail": 0.03, "Probe": 0.01, "Waste": 0.02},
        "Report": {"Fields": [], "How": "off"},
        "Tick": 5.0,
        "Tier": 0,
        "Tiers": ["dispatch-servers"],
        "ValueBy": "request",
        "Weights": "rough",
    }  # fmt: skip


def free_port() -> int:
    """Return a port that nothing listens on."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        port: int = sock.getsockname()[1]
        return port


# Messages.


@dataclass
class Message:
    """A request or a response; header names are in lower case."""

    start_line: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.start_line.split(" ")[1])

    @property
    def request_id(self) -> str:
        """The id of a request."""
        return self.headers.get("request-id", "")


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read one message with a length, with chunks, or (a response only) up to the end."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head[:-4].split("\r\n")
    headers = {
        name.strip().lower(): value.strip()
        for name, _, value in (line.partition(":") for line in lines)
    }
    message = Message(first, headers)
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            message.body += (await reader.readexactly(size + 2))[:-2]
        while (await reader.readuntil(b"\r\n")) != b"\r\n":
            pass
    elif "content-length" in headers:
        message.body = await reader.readexactly(int(headers["content-length"]))
    elif first.startswith("HTTP/"):
        message.body = await reader.read()
    return message


def response(status: int, body: bytes = b"") -> bytes:
    """Return a response as it is sent."""
    return f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body


# Servers.

Handler = Callable[["Server", Message, asyncio.StreamWriter], Awaitable[bytes | None]]


class Server:
    """A server: `handle` returns the response to a request, or None where there is none."""

    def __init__(self, name: str, handle: Handler, record: Record) -> None:
        self.name, self.handle, self.record = name, handle, record
        self.port = 0
        self.lifecycle = "active"

    async def start(self) -> Server:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Take the requests of one connection."""
        try:
            while True:
                request = await read_message(reader)
                answer = await self.handle(self, request, writer)
                if answer is not None:
                    writer.write(answer)
                    await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def entry(self) -> dict[str, Any]:
        """Return its entry in the list of servers."""
        return {"instanceId": self.name, "hostPort": f"127.0.0.1:{self.port}", "zone": "angyalfold",
                "machineType": "k2-fast", "cell": 1, "lifecycle": self.lifecycle, "weight": 2.0,
                "startedAtMs": 0}  # fmt: skip


class Discovery:
    """Discovery: the whole list, and watches."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.entries: dict[str, dict[str, Any]] = {}
        self.generation = 1
        self.watches: set[asyncio.StreamWriter] = set()
        self.port = 0

    async def start(self, *servers: Server) -> Discovery:
        """Listen on a free port, with these servers in the list."""
        self.entries = {server.name: server.entry() for server in servers}
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.heartbeats = asyncio.create_task(self.beat())
        return self

    def line(self, entries: list[dict[str, Any]], reset: bool) -> bytes:
        """Return a line of a watch."""
        found = {"generation": self.generation, "reset": reset, "instances": entries}
        return json.dumps(found).encode() + b"\n"

    @staticmethod
    def chunk(data: bytes) -> bytes:
        """Return a chunk of the transfer coding."""
        return b"%x\r\n%b\r\n" % (len(data), data)

    async def beat(self) -> None:
        """Send the empty lines of the watches."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for writer in self.watches:
                writer.write(self.chunk(b"\n"))

    def change(self, *servers: Server) -> float:
        """Tell the entries of these servers to all watches; returns the time."""
        self.generation += 1
        entries = [server.entry() for server in servers]
        for entry in entries:
            if entry["lifecycle"] == "left":
                self.entries.pop(entry["instanceId"], None)
            else:
                self.entries[entry["instanceId"]] = entry
        for writer in self.watches:
            writer.write(self.chunk(self.line(entries, False)))
        told = ", ".join(f"{entry['instanceId']} {entry['lifecycle']}" for entry in entries)
        return self.record(f"discovery tells {told}")

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer a call."""
        try:
            request = await read_message(reader)
            if "watch=1" not in request.start_line:
                writer.write(response(200, self.line(list(self.entries.values()), True)))
                await writer.drain()
                return
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            writer.write(self.chunk(self.line(list(self.entries.values()), True)))
            self.watches.add(writer)
            await reader.read()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.watches.discard(writer)
            writer.close()


# The platform.


class Node:
    """One node, started by the `run` command of the deploy file."""

    def __init__(self, record: Record, config: dict[str, Any]) -> None:
        self.record, self.config = record, config
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        (self.folder / "tmp").mkdir()
        self.process: asyncio.subprocess.Process | None = None
        self.log = (self.folder / "node.log").open("wb")

    @property
    def port(self) -> int:
        """The port that clients connect to."""
        return int(self.config["listen"].rpartition(":")[2])

    async def start(self) -> Node:
        """Start the node and wait until it is ready."""
        (self.folder / "config.json").write_text(json.dumps(self.config))
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        environ = {
            "PATH": os.environ["PATH"],
            "ROUTER_NAME": self.config["name"],
            "ROUTER_LISTEN": self.config["listen"],
            "ROUTER_DISCOVERY": self.config["discovery"],
            "ROUTER_CONFIG": str(self.folder / "config.json"),
            "TMPDIR": str(self.folder / "tmp"),
        }
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run, cwd=ROOT, env=environ, stdin=asyncio.subprocess.DEVNULL,
            stdout=self.log, stderr=self.log,
        )  # fmt: skip
        deadline_s = time.monotonic() + READY_S
        while time.monotonic() < deadline_s:
            if self.process.returncode is not None:
                raise CaseError(NODE_ENDED + (self.folder / "node.log").read_text()[-2000:])
            try:
                client = await Client(self.record, self.port).open()
                answer = await client.get("/_health")
                client.close()
                if answer.status == 200:
                    self.record(f"{self.config['name']} is ready")
                    return self
            except (OSError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.05)
        raise CaseError(NOT_READY)

    @property
    def alive(self) -> bool:
        """Whether its process runs."""
        return self.process is not None and self.process.returncode is None

    async def stop(self) -> None:
        """Kill the node and remove its folder."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        self.log.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def node_config(discovery: Discovery, found: dict[str, Any]) -> dict[str, Any]:
    """Return the configuration of a node with these settings."""
    return {
        "name": "n1",
        "listen": f"127.0.0.1:{free_port()}",
        "discovery": f"127.0.0.1:{discovery.port}",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"generation": 0, "reset": True, "instances": []},
        "settings": found,
    }


# Clients.


class Client:
    """One connection of a client."""

    def __init__(self, record: Record, port: int) -> None:
        self.record, self.port = record, port

    async def open(self) -> Client:
        """Connect."""
        self.reader, self.writer = await asyncio.open_connection(
            "127.0.0.1", self.port, limit=1 << 26
        )
        return self

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()

    async def get(self, path: str) -> Message:
        """Return the answer to a GET without further headers."""
        self.writer.write(f"GET {path} HTTP/1.1\r\nHost: backend.local\r\n\r\n".encode())
        return await asyncio.wait_for(read_message(self.reader), 5)


@dataclass
class Request:
    """A request of a client; one with an idempotency key is a POST."""

    request_id: str
    class_name: str = "cab-lookup"
    timeout_ms: int = 1400
    key: str = ""
    body: bytes = b""

    def encode(self) -> bytes:
        """Return the request as it is sent."""
        head = (
            f"{'POST' if self.key else 'GET'} /{self.class_name}/{self.request_id} HTTP/1.1\r\n"
            f"Host: backend.local\r\nRequest-Id: {self.request_id}\r\nTenant: fovarosi\r\n"
            f"Request-Timeout: {self.timeout_ms}m\r\n"
        )
        if self.key:
            head += f"Idempotency-Key: {self.key}\r\nContent-Length: {len(self.body)}\r\n"
        return head.encode() + b"\r\n" + self.body


def run_case(path: Path, play: Callable[[Record], Awaitable[bool | None]]) -> int:
    """Play a case and return a code for run.sh: 0 held, 10 broken, 2 could not run."""
    record = Record(path)
    try:
        held = asyncio.run(asyncio.wait_for(play(record), MAX_CASE_S))
    except Exception as error:
        record(f"the case could not run: {error!r}")
        return 2
    if held is None:
        record("the case could not run: it did not come to what it tests")
        return 2
    record("the rule held" if held else "the rule was broken")
    return 0 if held else 10
