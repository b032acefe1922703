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

READY_WITHIN = 60.0  # s
MAX_EVENTS = 200_000  # that are kept of one node

Told = dict[str, Any]


class NodeError(Exception):
    """A node that does not do what it was waited for: its last words."""


class NodeProcess:
    """`python -m badgercart serve FILE` under a name, over all its lives."""

    command: tuple[str, ...] = ("serve",)
    listening = "http.listening"  # what it says once it is up

    def __init__(self, name: str, file: Path) -> None:
        self.name, self.file = name, file
        self.events: list[Told] = []
        self.lives = self.ended = 0  # begun, and the last that has said its last word
        self.process: asyncio.subprocess.Process | None = None
        self.reading: asyncio.Task[None] | None = None
        self.news = asyncio.Condition()
        self.front = ""  # where it listens

    async def start(self) -> None:
        """NodeError where it does not come up."""
        self.lives += 1
        self.process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-B", "-m", "badgercart", *self.command, str(self.file)),
            stderr=asyncio.subprocess.PIPE,
        )
        self.reading = asyncio.get_running_loop().create_task(self.read(self.process, self.lives))
        listening = await self.until(self.listening)
        self.front = f"{listening['host']}:{listening['port']}"

    async def read(self, process: asyncio.subprocess.Process, life: int) -> None:
        assert process.stderr is not None
        while line := await process.stderr.readline():
            try:
                told = json.loads(line)
            except ValueError:
                told = {"event": "said", "text": line.decode(errors="replace").rstrip()}
            if len(self.events) < MAX_EVENTS:
                self.events.append(told | {"node": self.name, "life": life})
            async with self.news:
                self.news.notify_all()
        self.ended = life
        async with self.news:
            self.news.notify_all()

    async def until(
        self, event: str, fits: Callable[[Told], bool] = lambda told: True, since: int | None = None
    ) -> Told:
        """The first event of that name and kind, of this life or from a place in `events` on."""
        place = since if since is not None else next(
            (at for at, told in enumerate(self.events) if told["life"] == self.lives), len(self.events)
        )  # fmt: skip
        try:
            async with asyncio.timeout(READY_WITHIN), self.news:
                while True:
                    for told in self.events[place:]:
                        if told["event"] == event and fits(told):
                            return told
                    place = max(place, len(self.events))
                    if self.ended == self.lives:
                        break
                    await self.news.wait()
        except TimeoutError:
            pass
        words = "\n".join(json.dumps(told) for told in self.events[-20:])
        raise NodeError(f"{self.name} has said no {event}:\n{words}")

    def last(self, event: str) -> Told:
        """The last event of that name. NodeError where there is none."""
        for told in reversed(self.events):
            if told["event"] == event:
                return told
        raise NodeError(f"{self.name} has said no {event}")

    def signal(self, number: signal.Signals) -> None:
        assert self.process is not None
        self.process.send_signal(number)

    async def kill(self) -> None:
        self.signal(signal.SIGKILL)
        await self.over()

    def freeze(self) -> None:
        self.signal(signal.SIGSTOP)

    def wake(self) -> None:
        self.signal(signal.SIGCONT)

    async def stop(self) -> int:
        """SIGTERM, and its exit status."""
        if self.process is not None and self.process.returncode is None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGTERM)
        return await self.over()

    async def over(self) -> int:
        if self.process is None:
            return 0
        code = await self.process.wait()
        if self.reading is not None:
            await self.reading
        return code
