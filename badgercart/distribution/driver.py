"""Runs a machine on connections: one timer, effects in their order."""

from __future__ import annotations

import asyncio
import math
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from badgercart.distribution import log_events
from badgercart.distribution.effects import Close, Effect, LogEvent, Send
from badgercart.distribution.errors import FrameError
from badgercart.distribution.link import Link
from badgercart.distribution.messages import Codec, Message


@dataclass(slots=True, frozen=True)
class Runtime:
    """What a driver runs on."""

    loop: asyncio.AbstractEventLoop
    clock: Callable[[], float]  # the time in ms
    codec: Codec  # of the group


class Machine(Protocol):
    """What a replica and a follower have in common."""

    @property
    def due_ms(self) -> float:
        """When `tick` has something to do."""

    def start(self, now_ms: float) -> list[Effect]:
        """Begin."""

    def tick(self, now_ms: float) -> list[Effect]:
        """Do what the time demands."""

    def closed(self, now_ms: float, connection: int) -> list[Effect]:
        """Forget a connection that is gone."""

    def received(self, now_ms: float, connection: int, message: Message) -> list[Effect]:
        """Take a message."""


class Driver:
    """One machine on connections.

    Effects are carried out in their order, also those of events that happen meanwhile.

    Attributes:
        links: open connections by number.
        refused: frames and connections that were refused, by kind.
        is_open: whether the machine runs.
    """

    def __init__(self, runtime: Runtime, machine: Machine) -> None:
        """Make a driver that has not begun."""
        self.loop = runtime.loop
        self.clock = runtime.clock
        self.codec = runtime.codec
        self.links: dict[int, Link] = {}
        self.refused: Counter[str] = Counter()
        self.is_open = False
        self._machine = machine
        self._queue: deque[Effect] = deque()
        self._is_performing = False
        self._last_frame: tuple[Message | None, bytes] = None, b""
        self._timer: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._handlers: dict[type[Effect], Callable[[Any], None]] = {
            Send: self._handle_send,
            Close: self._handle_close,
            LogEvent: self._handle_log_event,
        }

    # The machine.

    def perform(self, effects: list[Effect]) -> None:
        """Carry out what the machine wants, and set the timer for what it wants next."""
        self._queue.extend(effects)
        if self._is_performing:
            return
        self._is_performing = True
        try:
            while self._queue and self.is_open:
                effect = self._queue.popleft()
                self._handlers[type(effect)](effect)
        finally:
            self._is_performing = False
            self._queue.clear()
        self._cancel_timer()
        if self.is_open:
            self._after_effects()
            self._set_timer()

    def _after_effects(self) -> None:
        """Do what follows from the machine's state, once all its effects are carried out."""

    def _set_timer(self) -> None:
        due_ms = self._machine.due_ms
        if due_ms < math.inf:
            delay_s = max(0.0, due_ms - self.clock()) / 1000
            self._timer = self.loop.call_later(delay_s, self._tick)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _tick(self) -> None:
        self.perform(self._machine.tick(self.clock()))

    def _handle_send(self, effect: Send) -> None:
        link = self.links.get(effect.connection)
        if link is not None:
            self.send(link, effect.message)

    def _handle_close(self, effect: Close) -> None:
        link = self.links.pop(effect.connection, None)
        if link is not None:
            link.close()

    def _handle_log_event(self, effect: LogEvent) -> None:
        log_events.log(effect)

    def send(self, link: Link, message: Message) -> None:
        """Send a message to a connection."""
        if message is not self._last_frame[0]:  # one delta goes to many subscribers
            try:
                self._last_frame = message, self.codec.encode(message)
            except FrameError as error:
                self.refuse(link, error.kind, error.detail)
                return
        link.write(self._last_frame[1])

    def start_task(self, task: asyncio.Task[None]) -> asyncio.Task[None]:
        """Keep a task until it is done; `close` cancels it."""
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def close(self) -> None:
        """End all connections, the timer and the tasks."""
        self.is_open = False
        self._cancel_timer()
        for link in list(self.links.values()):
            link.abort()
        self.links.clear()
        for task in self._tasks:
            task.cancel()

    # Links.

    def link_opened(self, link: Link) -> None:
        """Take a connection that is up, unless this is closed."""
        if self.is_open:
            self.links[link.number] = link
        else:
            link.abort()

    def link_lost(self, link: Link) -> None:
        """Tell the machine of a connection that is gone, unless it has closed it itself."""
        if self.links.pop(link.number, None) is not None:
            self.perform(self._machine.closed(self.clock(), link.number))

    def refuse(self, link: Link, kind: str, detail: str) -> None:
        """End the connection of a stranger, of who sends spoilt frames, and of who doesn't read."""
        if link.is_closed:
            return
        self._count_refused(link, kind, detail)
        link.abort()
        self.link_lost(link)

    def _count_refused(self, link: Link, kind: str, detail: str) -> None:
        self.refused[kind] += 1
        log_events.REFUSED(source=link.remote, kind=kind, words=detail)

    def message_received(self, link: Link, message: Message) -> None:
        """Have the machine take a message."""
        self.perform(self._machine.received(self.clock(), link.number, message))

    def link_stalled(self, link: Link) -> None:
        """Note that more waits to be written to a link than `link.WRITE_HIGH_WATER_BYTES`."""

    def link_writable(self, link: Link) -> None:
        """Note that this has been written."""
