"""Node processes of a trial: started, killed, suspended and resumed, with their log events kept."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

EVENT_TIMEOUT_S = 60.0
MAX_EVENTS_PER_NODE = 200_000

LogRecord = dict[str, Any]


class NodeError(Exception):
    """A node did not log an expected event; the message ends with its last log records."""


class NodeProcess:
    """`python -m badgercart serve FILE` under a name, over all its restarts."""

    command: tuple[str, ...] = ("serve",)
    listening_event = "http.listening"  # logged once the node is up

    def __init__(self, name: str, file: Path) -> None:
        self.name, self.file = name, file
        self.events: list[LogRecord] = []
        # The number of starts, and the number of the last one whose output has ended.
        self.lives = self.ended_life = 0
        self.process: asyncio.subprocess.Process | None = None
        self.reader_task: asyncio.Task[None] | None = None
        self.event_arrived = asyncio.Condition()
        self.frontend_address = ""  # host:port where it listens

    async def start(self) -> None:
        """Start the process and wait until it listens. Raises NodeError if it doesn't."""
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
        """Keep the log events of one process until its standard error ends."""
        assert process.stderr is not None
        while line := await process.stderr.readline():
            try:
                record = json.loads(line)
            except ValueError:
                record = {"event": "said", "text": line.decode(errors="replace").rstrip()}
            if len(self.events) < MAX_EVENTS_PER_NODE:
                self.events.append(record | {"node": self.name, "life": life})
            async with self.event_arrived:
                self.event_arrived.notify_all()
        self.ended_life = life
        async with self.event_arrived:
            self.event_arrived.notify_all()

    async def wait_for_event(
        self,
        event: str,
        matches: Callable[[LogRecord], bool] = lambda record: True,
        since: int | None = None,
    ) -> LogRecord:
        """Wait for the first event of this name that matches.

        The search begins at the index `since` of `events`, else at the first event of the current
        process. Raises NodeError if the event does not come in time or the process ends.
        """
        start = (
            since
            if since is not None
            else next(
                (index for index, record in enumerate(self.events) if record["life"] == self.lives),
                len(self.events),
            )
        )
        try:
            async with asyncio.timeout(EVENT_TIMEOUT_S), self.event_arrived:
                while True:
                    for record in self.events[start:]:
                        if record["event"] == event and matches(record):
                            return record
                    start = max(start, len(self.events))
                    if self.ended_life == self.lives:
                        break
                    await self.event_arrived.wait()
        except TimeoutError:
            pass
        last_records = "\n".join(json.dumps(record) for record in self.events[-20:])
        raise NodeError(f"{self.name} has logged no {event}:\n{last_records}")

    def last_event(self, event: str) -> LogRecord:
        """Return the last event of this name. Raises NodeError if there is none."""
        for record in reversed(self.events):
            if record["event"] == event:
                return record
        raise NodeError(f"{self.name} has logged no {event}")

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)

    async def kill(self) -> None:
        """Send SIGKILL and wait for the exit."""
        self.send_signal(signal.SIGKILL)
        await self.wait_for_exit()

    def freeze(self) -> None:
        """Suspend the process with SIGSTOP."""
        self.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume the process with SIGCONT."""
        self.send_signal(signal.SIGCONT)

    async def stop(self) -> int:
        """Send SIGTERM and return the exit status."""
        if self.process is not None and self.process.returncode is None:
            self.send_signal(signal.SIGCONT)
            self.send_signal(signal.SIGTERM)
        return await self.wait_for_exit()

    async def wait_for_exit(self) -> int:
        """Wait until the process and its output have ended; return the exit status."""
        if self.process is None:
            return 0
        code = await self.process.wait()
        if self.reader_task is not None:
            await self.reader_task
        return code
