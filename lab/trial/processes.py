"""Node processes of a trial: started, killed, frozen and woken by name; what they log is kept as it
comes."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

EVENT_TIMEOUT_S = 60.0  # s
MAX_EVENTS_PER_NODE = 200_000  # that are kept of one node

LogRecord = dict[str, Any]


class NodeError(Exception):
    """A node that does not do what it was waited for: its last words."""


class NodeProcess:
    """`python -m badgercart serve FILE` under a name, over all its lives."""

    command: tuple[str, ...] = ("serve",)
    listening_event = "http.listening"  # what it says once it is up

    def __init__(self, name: str, file: Path) -> None:
        self.name, self.file = name, file
        self.events: list[LogRecord] = []
        self.lives = self.ended_life = 0  # begun, and the last that has said its last word
        self.process: asyncio.subprocess.Process | None = None
        self.reader_task: asyncio.Task[None] | None = None
        self.event_arrived = asyncio.Condition()
        self.frontend_address = ""  # where it listens

    async def start(self) -> None:
        """NodeError where it does not come up."""
        self.lives += 1
        self.process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-B", "-m", "badgercart", *self.command, str(self.file)),
            stderr=asyncio.subprocess.PIPE,
        )
        self.reader_task = asyncio.get_running_loop().create_task(
            self.read_events(self.process, self.lives)
        )
        listening = await self.wait_for_event(self.listening_event)
        self.frontend_address = f"{listening['host']}:{listening['port']}"

    async def read_events(self, process: asyncio.subprocess.Process, life: int) -> None:
        assert process.stderr is not None
        while line := await process.stderr.readline():
            try:
                told = json.loads(line)
            except ValueError:
                told = {"event": "said", "text": line.decode(errors="replace").rstrip()}
            if len(self.events) < MAX_EVENTS_PER_NODE:
                self.events.append(told | {"node": self.name, "life": life})
            async with self.event_arrived:
                self.event_arrived.notify_all()
        self.ended_life = life
        async with self.event_arrived:
            self.event_arrived.notify_all()

    async def wait_for_event(
        self,
        event: str,
        matches: Callable[[LogRecord], bool] = lambda told: True,
        since: int | None = None,
    ) -> LogRecord:
        """The first event of that name and kind, of this life or from a place in `events` on."""
        place = since if since is not None else next(
            (at for at, told in enumerate(self.events) if told["life"] == self.lives), len(self.events)
        )  # fmt: skip
        try:
            async with asyncio.timeout(EVENT_TIMEOUT_S), self.event_arrived:
                while True:
                    for told in self.events[place:]:
                        if told["event"] == event and matches(told):
                            return told
                    place = max(place, len(self.events))
                    if self.ended_life == self.lives:
                        break
                    await self.event_arrived.wait()
        except TimeoutError:
            pass
        words = "\n".join(json.dumps(told) for told in self.events[-20:])
        raise NodeError(f"{self.name} has said no {event}:\n{words}")

    def last_event(self, event: str) -> LogRecord:
        """The last event of that name. NodeError where there is none."""
        for told in reversed(self.events):
            if told["event"] == event:
                return told
        raise NodeError(f"{self.name} has said no {event}")

    def send_signal(self, number: signal.Signals) -> None:
        assert self.process is not None
        self.process.send_signal(number)

    async def kill(self) -> None:
        self.send_signal(signal.SIGKILL)
        await self.wait_for_exit()

    def freeze(self) -> None:
        self.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        self.send_signal(signal.SIGCONT)

    async def stop(self) -> int:
        """SIGTERM, and its exit status."""
        if self.process is not None and self.process.returncode is None:
            self.send_signal(signal.SIGCONT)
            self.send_signal(signal.SIGTERM)
        return await self.wait_for_exit()

    async def wait_for_exit(self) -> int:
        if self.process is None:
            return 0
        code = await self.process.wait()
        if self.reader_task is not None:
            await self.reader_task
        return code
