"""Runs a state machine on TCP connections: executes its effects in order and sets its timer."""

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
    """The environment of a driver.

    Attributes:
        loop: the event loop.
        clock: returns the time in ms.
        codec: encodes and decodes the messages of the group.
    """

    loop: asyncio.AbstractEventLoop
    clock: Callable[[], float]
    codec: Codec


class Machine(Protocol):
    """The interface that `Replica` and `Follower` share."""

    @property
    def due_ms(self) -> float:
        """When `tick` has to be called next."""

    def start(self, now_ms: float) -> list[Effect]:
        """Start, and return the first effects."""

    def tick(self, now_ms: float) -> list[Effect]:
        """Handle expired timers."""

    def closed(self, now_ms: float, connection: int) -> list[Effect]:
        """Handle the end of a connection."""

    def received(self, now_ms: float, connection: int, message: Message) -> list[Effect]:
        """Handle a received message."""


class Driver:
    """Runs one state machine on TCP connections.

    Effects are executed in order. Effects of events that occur meanwhile are queued behind them.

    Attributes:
        links: open connections by number.
        refused: counts of refused frames and connections, by kind.
        is_open: whether the driver was started and not closed.
    """

    def __init__(self, runtime: Runtime, machine: Machine) -> None:
        """Create a driver that is not started."""
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

    # The state machine.

    def perform(self, effects: list[Effect]) -> None:
        """Execute effects, and set the timer for the state machine's next tick."""
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
        """React to the state machine's new state, after all its effects were executed."""

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
        # A delta goes to many subscribers, so the last encoded frame is cached.
        if message is not self._last_frame[0]:
            try:
                self._last_frame = message, self.codec.encode(message)
            except FrameError as error:
                self.refuse(link, error.kind, error.detail)
                return
        link.write(self._last_frame[1])

    def start_task(self, task: asyncio.Task[None]) -> asyncio.Task[None]:
        """Keep a reference to a task until it is done; `close` cancels it."""
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def close(self) -> None:
        """Close all connections, and cancel the timer and the tasks."""
        self.is_open = False
        self._cancel_timer()
        for link in list(self.links.values()):
            link.abort()
        self.links.clear()
        for task in self._tasks:
            task.cancel()

    # Links.

    def link_opened(self, link: Link) -> None:
        """Add a connection that is established, or abort it if the driver is closed."""
        if self.is_open:
            self.links[link.number] = link
        else:
            link.abort()

    def link_lost(self, link: Link) -> None:
        """Notify the state machine of a lost connection, unless it closed the connection itself."""
        if self.links.pop(link.number, None) is not None:
            self.perform(self._machine.closed(self.clock(), link.number))

    def refuse(self, link: Link, kind: str, detail: str) -> None:
        """Abort a connection that fails authentication, sends invalid frames or doesn't read."""
        if link.is_closed:
            return
        self._count_refused(link, kind, detail)
        link.abort()
        self.link_lost(link)

    def _count_refused(self, link: Link, kind: str, detail: str) -> None:
        self.refused[kind] += 1
        log_events.REFUSED(source=link.remote, kind=kind, words=detail)

    def message_received(self, link: Link, message: Message) -> None:
        """Pass a message to the state machine."""
        self.perform(self._machine.received(self.clock(), link.number, message))

    def link_stalled(self, link: Link) -> None:
        """Handle that a link's write buffer is over `link.WRITE_HIGH_WATER_BYTES`."""

    def link_writable(self, link: Link) -> None:
        """Handle that a stalled link's write buffer has drained."""
