"""A scripted discovery service on a loop of virtual time, with faults of its watches and calls."""

from __future__ import annotations

import asyncio
import json
import math
import re
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from tests.ends.virtual import VirtualLoop

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
# The interval of the empty lines on a watch.
KEEPALIVE_S = 2.0
Fault = Callable[["WatchTransport"], None]


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


class WatchTransport(asyncio.Transport):
    """The transport of the node's connection to discovery, whose other end is the service."""

    def __init__(self, service: ScriptedDiscovery, protocol: Any) -> None:
        super().__init__()
        self.service, self.protocol = service, protocol
        self.ended = self.mute = False
        self.asked = b""
        self.path = ""
        self.how = ""  # the fault of the call; empty: none
        self.timer: asyncio.TimerHandle | None = None

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return default

    def is_closing(self) -> bool:
        return self.ended

    def write(self, data: Any) -> None:
        self.asked += bytes(data)
        if self.asked.endswith(b"\r\n\r\n") and not self.path:
            self.path = self.asked.split(b" ")[1].decode()
            self.service.loop.call_soon(self.service.answer, self)

    def close(self) -> None:
        self.gone()

    def abort(self) -> None:
        self.gone()

    def gone(self) -> None:
        if not self.ended:
            self.ended = True
            self.service.left(self)
            self.service.loop.call_soon(self.protocol.connection_lost, None)

    def pause_reading(self) -> None: ...

    def resume_reading(self) -> None: ...

    # For the service.

    def say(self, data: bytes) -> None:
        if not self.ended and not self.mute:
            self.protocol.data_received(data)

    def end(self) -> None:
        if not self.ended and not self.mute:
            self.protocol.eof_received()
            self.gone()

    def alive(self) -> None:
        self.say(chunk(b"\n"))
        if not self.ended:
            self.timer = self.service.loop.call_later(KEEPALIVE_S, self.alive)


@dataclass
class ScriptedDiscovery:
    """A service that keeps a list with numbered changes.

    `faults` has the faults of the next calls, one each; `down` that of all calls in a time.
    """

    loop: VirtualLoop
    port: int
    members: dict[str, dict[str, Any]]
    generation: int = 1
    faults: list[str] = field(default_factory=list)
    down: tuple[float, float, str] = (0.0, 0.0, "")  # from, until, and the fault meanwhile
    calls: list[tuple[float, str]] = field(default_factory=list)
    lines: set[WatchTransport] = field(default_factory=set)
    changes: list[tuple[int, dict[str, Any]]] = field(default_factory=list)
    whole_first: bool = False  # a watch sends what it missed as a snapshot

    def __post_init__(self) -> None:
        self.loop.services[self.port] = self.connect

    def fault(self) -> str:
        since, until, how = self.down
        if since <= self.loop.now < until:
            return how
        return self.faults.pop(0) if self.faults else ""

    async def connect(self, factory: Callable[[], Any]) -> tuple[WatchTransport, Any]:
        how = self.fault()
        self.calls.append((self.loop.now, how))
        if how == "refused":
            raise ConnectionRefusedError
        if how == "never up":
            await asyncio.Event().wait()
        if how == "up late, then silent":
            await asyncio.sleep(0.95)  # nearly abandoned
        protocol = factory()
        line = WatchTransport(self, protocol)
        line.how = how
        protocol.connection_made(line)
        self.lines.add(line)
        if how == "closed before its head":
            self.loop.call_soon(line.end)
        return line, protocol

    def left(self, line: WatchTransport) -> None:
        self.lines.discard(line)
        if line.timer is not None:
            line.timer.cancel()

    def text(self, whole: bool, since: int = 0) -> bytes:
        if whole:
            instances: Iterable[dict[str, Any]] = [
                e for e in self.members.values() if e["lifecycle"] != "left" and not self.omits(e)
            ]
        else:
            instances = [entry for generation, entry in self.changes if generation > since]
        told = {"generation": self.generation, "reset": whole, "instances": list(instances)}
        return json.dumps(told).encode() + b"\n"

    def omits(self, entry: dict[str, Any]) -> bool:
        """Return whether a snapshot in place of a change omits an entry, as it drains."""
        return self.whole_first and bool(entry["lifecycle"] == "leaving")

    def answer(self, line: WatchTransport) -> None:
        how = line.how
        whole = "watch" not in line.path
        since = 0 if whole else int(re.search(r"from=(\w+)", line.path)[1])  # type: ignore[index]
        text = self.text(whole or self.whole_first, since)
        body = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(text) if whole else HEAD
        framed = text if whole else chunk(text)
        if how in ("silent", "up late, then silent"):
            return
        if how in ("503", "429"):
            line.say(b"HTTP/1.1 %b No\r\nContent-Length: 0\r\n\r\n" % how.encode())
            line.end()
        elif how == "closed in its head":
            line.say(body[:20])
            line.end()
        elif how == "closed after its head":
            line.say(body)
            line.end()
        elif how == "silent after its head":
            line.say(body)
        elif how == "half a list, then nothing":
            line.say(body + framed[: len(framed) // 2])
        elif how == "a spoilt list":
            line.say(
                body + (b"x" * len(text) if whole else chunk(b'{"generation": 7, "reset": fal}\n'))
            )
        else:
            assert how in ("", "ended behind its first line"), how
            line.say(body + framed)
            if whole or how:
                line.end()
            else:
                line.timer = self.loop.call_later(KEEPALIVE_S, line.alive)

    # For tests.

    def change(self, entry: dict[str, Any]) -> None:
        """Change the list, and send the change on all watches that work."""
        self.learn(entry)
        for line in [line for line in self.lines if line.timer is not None]:
            line.say(chunk(self.text(self.whole_first, self.generation - 1)))

    def learn(self, entry: dict[str, Any]) -> None:
        self.generation += 1
        self.changes.append((self.generation, entry))
        self.members[entry["instanceId"]] = entry

    def silence_watches(self) -> None:
        """Have open watches send nothing any more."""
        for line in self.lines:
            line.mute = True

    def replace_update(self, how: str, entry: dict[str, Any]) -> None:
        """Change the list, and have this fault in place of the update."""
        self.learn(entry)
        for line in list(self.lines):
            if how == "ends instead":
                line.say(b"0\r\n\r\n")
                line.end()
            elif how == "half a list, then nothing":
                text = self.text(False, self.generation - 1)
                line.say(chunk(text[: len(text) // 2]))
                line.mute = True
            elif how == "a spoilt list":
                line.say(chunk(b'{"generation": 7, "reset": fal}\n'))
            else:
                line.say(chunk(self.text(True)))


class QueueingDiscovery(ScriptedDiscovery):
    """Handles calls one after another, including those that the node has abandoned."""

    cost = 0.0  # s of work for a call
    delay = 0.0  # s until each response, however many there are
    patience = math.inf  # s after which a queued call ends with 503

    def __post_init__(self) -> None:
        super().__post_init__()
        self.queue: deque[tuple[float, WatchTransport]] = deque()
        self.busy = False

    def answer(self, line: WatchTransport) -> None:
        self.queue.append((self.loop.now, line))
        if self.delay:
            self.loop.call_later(self.delay, self.done)
        else:
            self.next()

    def next(self) -> None:
        if self.queue and not self.busy:
            self.busy = True
            late = self.loop.now - self.queue[0][0] > self.patience
            self.loop.call_later(0.0 if late else self.cost, self.done)

    def done(self) -> None:
        since, line = self.queue.popleft()
        self.busy = False
        if self.loop.now - since > self.patience + self.cost:
            line.how = "503"
        if not line.ended:
            super().answer(line)
        if not self.delay:
            self.next()
