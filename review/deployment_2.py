"""A small deployment on loopback for the cases 6 to 10: one node and its stand-ins.

The node is started with the command `run` of deploy/balancer.toml. Clients, servers and discovery
are small stand-ins in the process of the case. `Record` keeps what was sent, answered and run, with
seconds since the start of the case.
"""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
VERDICTS = {HELD: "the rule held", BROKEN: "the rule was broken", COULD_NOT_RUN: "could not run"}
READY_S = 30.0
HEARTBEAT_S = 2.0
# An answer up to half a second after the client's time only earns nothing, and each limit is 50 ms
# longer on sockets; a later one is lost.
ANSWER_SLACK_S = 0.5 + 0.05
LOGGED_LINES = 30


class CouldNotRunError(Exception):
    """The case could not run; the text says why."""


class Record:
    """What happened, for `record.txt`."""

    def __init__(self) -> None:
        self.began_s = time.monotonic()
        self.lines: list[str] = []

    def note(self, text: str) -> None:
        """Add a line."""
        self.lines.append(f"{time.monotonic() - self.began_s:8.3f} {text}")


def free_port() -> int:
    """Return a port that is free now."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


def request_class(
    name: str, effect: str, aim_ms: float, deadline_ms: float, worth: float
) -> dict[str, Any]:
    """Return a class of requests, as the settings have it."""
    return {
        "Name": name,
        "Idempotency": effect,
        "Aim": aim_ms,
        "Deadline": deadline_ms,
        "Worth": worth,
        "Group": "all",
        "Window": 6000.0,
        "LateValue": 0.0,
        "Stream": False,
    }


def small_settings() -> dict[str, Any]:
    """Return settings of a small deployment: one node, pushed lists, a safe and a keyed class."""
    return {
        "Allowed": {
            "ConnIdle": 15000.0,
            "CpuUsPerRequest": 0.0,
            "CpuUsPerS": 27899,
            "DialTimeout": 200.0,
            "MaxAttempts": 4,
            "MaxOpen": 37198,
            "MaxRetryAfter": 600.0,
            "MayCancel": True,
            "Peers": False,
            "Probes": True,
            "RetryAfter": True,
            "SecondCopies": True,
            "StreamsPerConn": 1,
        },
        "Azs": ["z1"],
        "Classes": [
            request_class("lookup", "free", 580.0, 1400.0, 2.0),
            request_class("assign", "guarded", 750.0, 1900.0, 8.0),
        ],
        "Clients": {"MarksRetry": False},
        "Customers": [
            {"Name": "north", "Portion": 0.6, "QuotaPerS": 200.0},
            {"Name": "south", "Portion": 0.4, "QuotaPerS": 150.0},
        ],
        "Discovery": "push",
        "Domain": {"WarmKeys": False},
        "Goal": {"Whole": 0.6, "WorstClass": 0.2, "WorstTenant": 0.1, "WorstWindow": 0.1},
        "GroupSize": 1,
        "KindOfService": "proxy",
        "Kinds": ["k2"],
        "Me": 0,
        "MyZone": 0,
        "Obligations": {
            "AnswerSlack": 20.0,
            "AskWithin": 10000.0,
            "ColdFrom": 0.32,
            "DrainGrace": 500.0,
            "OverloadFor": 1000.0,
            "RampTime": 8800.0,
            "TipMultiple": 3.0,
        },
        "OverShareWorth": 0.05,
        "Prices": {"LateFail": 0.03, "Probe": 0.01, "Waste": 0.02},
        "Report": {"Fields": [], "How": "off"},
        "Tick": 5.0,
        "Tier": 0,
        "Tiers": ["servers"],
        "ValueBy": "request",
        "Weights": "rough",
    }


@dataclass
class Message:
    """A request or a response. Header names are in lower case."""

    first_line: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.first_line.split(" ")[1])

    @property
    def target(self) -> str:
        """The target of a request."""
        return self.first_line.split(" ")[1]


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Read a message up to its body. Raises IncompleteReadError where the connection ends."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")[:-4].split("\r\n")
    message = Message(lines[0])
    for line in lines[1:]:
        name, _, value = line.partition(":")
        message.headers[name.strip().lower()] = value.strip()
    return message


async def read_body(reader: asyncio.StreamReader, message: Message) -> None:
    """Read a body by its framing. Raises IncompleteReadError where it is not whole."""
    if message.headers.get("transfer-encoding", "").lower() == "chunked":
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            message.body += (await reader.readexactly(size + 2))[:-2]
        await reader.readuntil(b"\r\n")
    elif "content-length" in message.headers:
        message.body = await reader.readexactly(int(message.headers["content-length"]))
    elif message.first_line.startswith("HTTP/"):
        message.body = await reader.read()


def request_bytes(
    method: str, target: str, headers: dict[str, str], body_bytes: int | None = None
) -> bytes:
    """Return the head of a request; a POST states the length of its body."""
    lines = [f"{method} {target} HTTP/1.1", "Host: backend.local"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body_bytes is not None:
        lines.append(f"Content-Length: {body_bytes}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def client_headers(number: int, timeout_ms: int) -> dict[str, str]:
    """Return the headers of a client's request."""
    return {
        "Request-Id": f"{number:016x}",
        "Tenant": "north",
        "Request-Timeout": f"{timeout_ms}m",
    }


async def get(port: int, target: str, headers: dict[str, str]) -> Message:
    """Send a GET on a connection of its own, and return the whole answer."""
    reader, writer = await asyncio.open_connection(HOST, port)
    try:
        writer.write(request_bytes("GET", target, headers))
        message = await read_head(reader)
        await read_body(reader, message)
    finally:
        writer.close()
    return message


def ok(body: bytes) -> bytes:
    """Return a good answer of a server."""
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


class Node:
    """One node, as the platform starts it."""

    def __init__(self, record: Record, discovery: str, sockets: int = 1024) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="badgercart-review-"))
        (self.folder / "tmp").mkdir()
        self.port = free_port()
        self.log_path = self.folder / "node.log"
        self.config_path = self.folder / "config.json"
        self.config: dict[str, Any] = {
            "name": "n1",
            "listen": f"{HOST}:{self.port}",
            "discovery": discovery,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
            "known": {},
            "settings": small_settings(),
        }
        self.write_config()
        self.process: asyncio.subprocess.Process | None = None

    def write_config(self) -> None:
        """Replace the configuration file as a whole."""
        new = self.config_path.with_suffix(".new")
        new.write_text(json.dumps(self.config))
        new.replace(self.config_path)

    async def start(self) -> None:
        """Start the program, by the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
        environment = {k: v for k, v in os.environ.items() if not k.startswith("ROUTER_")}
        environment |= {
            "ROUTER_NAME": "n1",
            "ROUTER_LISTEN": f"{HOST}:{self.port}",
            "ROUTER_DISCOVERY": self.config["discovery"],
            "ROUTER_CONFIG": str(self.config_path),
            "TMPDIR": str(self.folder / "tmp"),
        }
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *("/bin/sh", "-c", deploy["run"]),
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.record.note(f"the node is started, process {self.process.pid}")

    @property
    def status(self) -> int | None:
        """The exit status of the program; None while it runs."""
        return None if self.process is None else self.process.returncode

    async def is_ready(self) -> bool:
        """Wait until /_health answers 200, and return whether it does in time."""
        end_s = time.monotonic() + READY_S
        while time.monotonic() < end_s and self.status is None:
            with suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
                if (await asyncio.wait_for(get(self.port, "/_health", {}), 1.0)).status == 200:
                    self.record.note("the node is ready")
                    return True
            await asyncio.sleep(0.05)
        return False

    async def begin(self) -> None:
        """Start the program, and wait until it is ready."""
        await self.start()
        if not await self.is_ready():
            reason = f"the node was not ready, exit status {self.status}"
            raise CouldNotRunError(reason)

    def signal(self, number: signal.Signals) -> None:
        """Send the program a signal."""
        assert self.process is not None
        self.record.note(f"{number.name} to the node")
        self.process.send_signal(number)

    async def stop(self) -> None:
        """End the program, and keep the end of its log."""
        if self.process is not None and self.status is None:
            self.process.kill()
            await self.process.wait()
        if self.log_path.exists():
            log = self.log_path.read_text(errors="replace").splitlines()
            self.record.lines += [f"    log of the node: {line}" for line in log[-LOGGED_LINES:]]
        shutil.rmtree(self.folder, ignore_errors=True)


Handler = Callable[["Server", Message, asyncio.StreamWriter], Awaitable[None]]


class Server:
    """A server; `handler` does the work of a request and writes its answer.

    While it hangs it reads nothing from its connections, like a process that is stopped.
    """

    def __init__(self, record: Record, name: str, handler: Handler) -> None:
        self.record, self.name, self.handler = record, name, handler
        self.lifecycle = "active"
        self.running = asyncio.Event()
        self.running.set()
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self.listener = await asyncio.start_server(self.serve, HOST, 0)
        self.port = self.listener.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stop listening, and end all connections."""
        self.listener.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection until it ends."""
        self.writers.add(writer)
        transport = writer.transport
        assert isinstance(transport, asyncio.ReadTransport)
        try:
            if not self.running.is_set():
                transport.pause_reading()
                self.record.note(f"{self.name} hangs: it takes a connection and reads nothing")
                await self.running.wait()
                transport.resume_reading()
            while True:
                request = await read_head(reader)
                await read_body(reader, request)
                request_id = request.headers.get("request-id", "-")
                self.record.note(f"{self.name} runs {request.first_line[:40]}, id {request_id}")
                await self.handler(self, request, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def entry(self) -> dict[str, Any]:
        """Return the server's entry in the list."""
        return {
            "instanceId": self.name,
            "hostPort": f"{HOST}:{self.port}",
            "zone": "z1",
            "machineType": "k2",
            "cell": 0,
            "lifecycle": self.lifecycle,
            "weight": 2.0,
            "startedAtMs": 0,
        }


class Discovery:
    """The agent that has the list, and writes changes of it to each watch."""

    indent: int | None = None  # of lists

    def __init__(self, record: Record, servers: list[Server]) -> None:
        self.record = record
        self.servers = servers
        self.generation = 41
        self.watches: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self.listener = await asyncio.start_server(self.serve, HOST, 0)
        host, port = self.listener.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        self.heartbeat = asyncio.create_task(self.beat())

    def stop(self) -> None:
        """Stop listening, and end all watches."""
        self.heartbeat.cancel()
        self.listener.close()
        for writer in list(self.watches):
            writer.transport.abort()

    def list_bytes(self, servers: list[Server], whole: bool) -> bytes:
        """Return a list, whole or of changes."""
        entries = [server.entry() for server in servers]
        item = {"generation": self.generation, "reset": whole, "instances": entries}
        return json.dumps(item, indent=self.indent).encode()

    def tell(self, servers: list[Server]) -> None:
        """Write the entries of these servers to all watches, as a change."""
        self.generation += 1
        line = self.list_bytes(servers, False)
        for writer in self.watches:
            self.write(writer, line)

    @staticmethod
    def write(writer: asyncio.StreamWriter, line: bytes) -> None:
        """Write a line to a watch."""
        writer.write(b"%x\r\n%b\n\r\n" % (len(line) + 1, line))

    async def beat(self) -> None:
        """Write an empty line to all watches every 2 s."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for writer in self.watches:
                self.write(writer, b"")

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the calls of one connection."""
        try:
            while True:
                target = (await read_head(reader)).target
                self.record.note(f"discovery is called: {target}")
                if "watch=1" in target:
                    await self.watch(target, reader, writer)
                    return
                writer.write(ok(self.list_bytes(self.servers, True)))
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self.watches.discard(writer)
            writer.close()

    async def watch(
        self, target: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve a watch: what has changed, by the whole list, then each change."""
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        is_new = target.endswith(f"from={self.generation}")
        self.write(writer, b"" if is_new else self.list_bytes(self.servers, True))
        self.watches.add(writer)
        await reader.read()


@asynccontextmanager
async def deployed(
    record: Record, servers: list[Server], discovery: Discovery | None = None, sockets: int = 1024
) -> AsyncIterator[Node]:
    """Run servers, discovery and a node that is ready; end all of them."""
    discovery = discovery or Discovery(record, servers)
    for server in servers:
        await server.start()
    await discovery.start()
    node = Node(record, discovery.address, sockets)
    try:
        await node.begin()
        yield node
    finally:
        await node.stop()
        discovery.stop()
        for server in servers:
            server.stop()


def require_served(count: int) -> None:
    """Raise CouldNotRunError where no request was served."""
    if not count:
        reason = "no request was served"
        raise CouldNotRunError(reason)


Case = Callable[[Record, bool], Awaitable[bool]]


def run(case: Case, file: str, limit_s: float = 110.0) -> None:
    """Run a case, write its record beside its file, and exit with the verdict."""
    record, trouble = Record(), os.environ.get("TROUBLE", "1") != "0"
    record.note("with the disruption" if trouble else "without the disruption")
    # The loop ends the case's tasks then, and with them the processes that they started.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    try:
        held = asyncio.run(asyncio.wait_for(case(record, trouble), limit_s))
        verdict = HELD if held else BROKEN
    except Exception as error:  # whatever fails in the case itself is no verdict on the node
        record.note(f"{type(error).__name__}: {error}")
        verdict = COULD_NOT_RUN
    record.note(VERDICTS[verdict])
    Path(file).with_name("record.txt").write_text("\n".join(record.lines) + "\n")
    print("\n".join(record.lines[-2:] if verdict == COULD_NOT_RUN else record.lines[-1:]))
    sys.exit(verdict)
