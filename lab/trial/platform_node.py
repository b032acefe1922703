"""The platform's node as a process: its configuration, its limits, its memory and its log."""

from __future__ import annotations

import asyncio
import json
import os
import re
import signal
import socket
import sys
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

START_TIMEOUT_S = 30.0
KILOBYTE = 1024
MEGABYTE = 1_000_000

CLASSES = (
    {"Name": "cab-lookup", "Idempotency": "free", "Aim": 580.0, "Deadline": 1400.0, "Window": 5000.0,
     "Worth": 2.0},
    {"Name": "ride-assign", "Idempotency": "guarded", "Aim": 750.0, "Deadline": 1900.0,
     "Window": 6000.0, "Worth": 8.0},
    {"Name": "fare-charge", "Idempotency": "single_shot", "Aim": 580.0, "Deadline": 1400.0,
     "Window": 5000.0, "Worth": 4.0},
)  # fmt: skip


def settings(**obligations: float) -> dict[str, Any]:
    """Return the settings of a small deployment; `obligations` replace some of its figures."""
    shared = {"Group": "all", "LateValue": 0.0, "Stream": False}
    return {
        "Allowed": {
            "ConnIdle": 15000.0, "CpuUsPerRequest": 0.0, "CpuUsPerS": 27899, "DialTimeout": 200.0,
            "MaxAttempts": 4, "MaxOpen": 37198, "MaxRetryAfter": 600.0, "MayCancel": True,
            "Peers": False, "Probes": True, "RetryAfter": True, "SecondCopies": True,
            "StreamsPerConn": 1,
        },
        "Azs": ["angyalfold"],
        "Classes": [{**shared, **request_class} for request_class in CLASSES],
        "Clients": {"MarksRetry": False},
        "Customers": [],
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
            "OverloadFor": 1000.0, "RampTime": 8800.0, "TipMultiple": 3.0, **obligations,
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


def configuration(
    discovery: str, instances: Sequence[Mapping[str, Any]], memory_mb: int = 96, sockets: int = 1024
) -> dict[str, Any]:
    """Return the configuration of one node, with a list that it already knows."""
    return {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": discovery,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
        "known": {"generation": 1, "reset": True, "instances": list(instances)},
        "settings": settings(),
    }


class PlatformNode:
    """`python -m badgercart`, with a folder of its own.

    Args:
        folder: for the configuration; `tmp` in it is the node's `$TMPDIR`.
        config: the configuration.
        command: the arguments of the interpreter.
        listening: the clients' listening socket, where the platform holds it.
    """

    def __init__(
        self,
        folder: Path,
        config: Mapping[str, Any],
        command: Sequence[str] = ("-m", "badgercart"),
        listening: socket.socket | None = None,
        environment: Mapping[str, str] | None = None,
    ) -> None:
        self.folder, self.config, self.command = folder, config, command
        self.listening, self.environment = listening, dict(environment or {})
        self.lines: list[str] = []
        self.line_arrived = asyncio.Condition()
        self.port = 0

    async def start(self) -> PlatformNode:
        """Start the process and wait until it listens."""
        (self.folder / "tmp").mkdir(parents=True, exist_ok=True)
        path = self.folder / "config.json"
        path.write_text(json.dumps(self.config))
        variables = {"ROUTER_CONFIG": str(path), "TMPDIR": str(self.folder / "tmp")}
        inherited: tuple[int, ...] = ()
        if self.listening is not None:
            inherited = (self.listening.fileno(),)
            variables["ROUTER_INHERITED_FD"] = str(inherited[0])
        self.process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-B", *self.command),
            env=os.environ | variables | self.environment,
            stderr=asyncio.subprocess.PIPE,
            pass_fds=inherited,
        )
        self.log_task = asyncio.get_running_loop().create_task(self.read_log())
        self.port = int((await self.line(r"listens on 127\.0\.0\.1:(\d+)"))[1])
        return self

    async def read_log(self) -> None:
        """Keep the lines of the log until the process ends."""
        assert self.process.stderr is not None
        while line := await self.process.stderr.readline():
            self.lines.append(line.decode(errors="replace").rstrip())
            async with self.line_arrived:
                self.line_arrived.notify_all()

    async def line(self, pattern: str) -> re.Match[str]:
        """Return the first line of the log that matches, once it has come."""
        seen = 0
        async with asyncio.timeout(START_TIMEOUT_S), self.line_arrived:
            while True:
                for line in self.lines[seen:]:
                    if match := re.search(pattern, line):
                        return match
                seen = len(self.lines)
                await self.line_arrived.wait()

    @property
    def running(self) -> bool:
        """Whether the process runs."""
        return self.process.returncode is None

    def memory_bytes(self, field: str = "VmHWM") -> int:
        """Return the process's peak memory, or another field of its status."""
        for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            name, _, value = line.partition(":")
            if name == field:
                return int(value.split()[0]) * KILOBYTE
        raise ValueError(f"the system does not tell {field}")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it still runs."""
        if self.running:
            self.process.send_signal(number)

    async def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.signal(signal.SIGKILL)
        await self.process.wait()
        await self.log_task
