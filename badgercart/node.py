"""The join: turns what happens on the sockets into events, and the module's actions into what is done.

It decides nothing. Actions are carried out in the order in which the module gives them; events that
arise meanwhile wait for their turn.
"""

from __future__ import annotations

import asyncio
import logging
import math
import random
import time
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from badgercart.clients import ClientConnection, ClientRequest, Listener, stable_id
from badgercart.config import Address, Config, ConfigError, parse_address, reread_discovery
from badgercart.discovery import Discovery
from badgercart.servers import Answer, Attempt, Message, ServerPool, now_ms
from cottonhall import Policy
from cottonhall.interface import (
    Action,
    Cancel,
    Event,
    Fail,
    ListKind,
    Log,
    Outcome,
    Refuse,
    Request,
    Result,
    Send,
    ServerEntry,
    ServerList,
    State,
    Subscribe,
    Timer,
    Wake,
    Withdrawn,
)

MARGIN = 30.0  # ms kept back from a client's time: the answer must be out in time from a late loop too
SPARE_SOCKETS = 32  # descriptors for the loop, the listener, discovery, files, and what is just closing
ACCEPT_FOR = 0.6  # s after SIGTERM during which new connections are accepted
DRAIN_LOOK = 0.02  # s between looks whether all clients are answered
STATES = {"active": State.READY, "leaving": State.DRAINING, "left": State.GONE}

log = logging.getLogger("badgercart")


@dataclass(slots=True)
class Held:
    """A request that is owed its final answer."""

    client: ClientConnection
    message: Message
    due: float
    sends: int = 0


class Node:
    def __init__(self, config: Config, loop: asyncio.AbstractEventLoop) -> None:
        self.config = config
        self.loop = loop
        self.policy = Policy(config.settings, config.seed)
        self.unix_offset = time.time() * 1000 - now_ms()
        self.held: dict[int, Held] = {}
        self.last_id = 0
        self.events: deque[Event] = deque()
        self.handling = False
        self.healthy = self.stopping = False
        self.listed: set[int] = set()  # servers in the list
        # A request in flight holds one on either side, but clients also keep what they have opened.
        room = max(config.sockets - SPARE_SOCKETS, 30)
        servers = room * 3 // 8
        self.pool = ServerPool(loop, config.dial_timeout, config.idle_timeout, servers, self.attempt_ended)
        self.listener = Listener(loop, config, self, room - servers)
        self.discovery = Discovery(config.discovery, self.take_list, random.Random(config.seed))
        self.perform: dict[type[Action], Callable[[Any], None]] = {
            Send: self.send,
            Refuse: self.refuse,
            Fail: self.fail,
            Cancel: self.cancel,
            Wake: self.wake,
            Log: self.log,
            Subscribe: self.subscribe,
        }
        if config.known.get("instances"):
            try:
                self.discovery.version = self.take_list(config.known, ListKind.CACHED)
            except ValueError as error:
                log.warning("the known list is malformed: %s", error)

    # Events in, actions out.

    def tell(self, event: Event) -> None:
        """Give the policy an event, after those that wait already."""
        self.events.append(event)
        if self.handling:
            return
        self.handling = True
        try:
            while self.events:
                event = self.events.popleft()
                try:
                    for action in self.policy.handle(now_ms(), event):
                        self.perform[type(action)](action)
                except Exception:
                    # One request must not take the node down with it; it still is owed an answer.
                    log.warning("the policy failed on %s", type(event).__name__, exc_info=True)
                    if isinstance(event, Request | Outcome):
                        self.answer(event.id, 500)
                    elif isinstance(event, Timer):
                        self.answer(event.token, 500)
        finally:
            self.handling = False

    def send(self, action: Send) -> None:
        held = self.held[action.id]
        number, held.sends = held.sends, held.sends + 1
        limit = held.due - now_ms()
        if action.limit:
            limit = min(limit, action.limit)
        self.pool.send(action.id, number, action.server, limit, held.message)

    def refuse(self, action: Refuse) -> None:
        self.answer(action.id, 503, b"Retry-After: %.3f\r\n" % (action.wait / 1000) if action.wait else b"")

    def fail(self, action: Fail) -> None:
        self.answer(action.id, 502)

    def answer(self, request_id: int, status: int, extra: bytes = b"") -> None:
        held = self.held.pop(request_id, None)
        if held is not None:
            held.client.answer(status, extra=extra)

    def cancel(self, action: Cancel) -> None:
        self.pool.cancel(action.id, action.attempt)

    def wake(self, action: Wake) -> None:
        # Rounded up: a timer that rings early finds nothing due and would be set again at once.
        self.loop.call_later(math.ceil(action.delay) / 1000, self.tell, Timer(action.token))

    def log(self, action: Log) -> None:
        log.info("%s", action.text)

    def subscribe(self, action: Subscribe) -> None:
        """Nothing to do: the node watches the list from its start."""

    # From clients.

    def take(self, client: ClientConnection, request: ClientRequest) -> None:
        self.last_id += 1
        request_id = client.request_id = self.last_id
        due = request.sent + request.timeout - MARGIN
        self.held[request_id] = Held(client, request.message, due)
        cls, key, tenant = request.cls, request.key, request.tenant
        self.tell(Request(request_id, cls, due, key, tenant, request.hint, request.repeat))

    def withdraw(self, request_id: int) -> None:
        if self.held.pop(request_id, None) is not None:
            self.tell(Withdrawn(request_id))

    # From servers.

    def attempt_ended(self, attempt: Attempt, result: Result, answer: Answer | None) -> None:
        request_id = attempt.request_id
        final = result is Result.OK
        if answer is not None and 400 <= answer.status < 500 and answer.status != 429:
            # The request is at fault, wherever it goes: it must neither go round the servers nor count
            # against them, or one bad client would have them all taken for broken. 429 would be a refusal.
            final, result = True, Result.CANCELLED
        if final and answer is not None and (held := self.held.pop(request_id, None)):
            held.client.answer(answer.status, answer.body, answer.content_type)
        over, elapsed = request_id not in self.held, now_ms() - attempt.started
        self.tell(Outcome(request_id, attempt.server.id, over, result, attempt.number, elapsed))

    # From discovery.

    def take_list(self, raw: dict[str, Any], kind: ListKind | None = None) -> int:
        """Take over a list or its changes; ValueError, and nothing taken, if any line of it is bad."""
        try:
            version = int(raw["generation"])
            entries = [self.read_entry(line) for line in raw["instances"]]
            if kind is None:
                kind = ListKind.FULL if raw["reset"] else ListKind.DELTA
        except (KeyError, TypeError, AttributeError, OverflowError) as error:
            raise ValueError(f"{type(error).__name__}: {error}") from None
        if kind is not ListKind.DELTA:
            named = {entry.id for entry, _, _ in entries}
            for server_id in self.listed - named:
                gone = self.pool.servers[server_id]
                self.pool.update(server_id, gone.address, State.GONE, gone.started)
            self.listed &= named
        for entry, address, _ in entries:
            self.pool.update(entry.id, address, entry.state, entry.started)
            if entry.state is State.GONE:
                self.listed.discard(entry.id)
            else:
                self.listed.add(entry.id)
        if entries or kind is not ListKind.DELTA:
            changed = ", ".join(f"{name} {entry.state.name.lower()}" for entry, _, name in entries[:4])
            more = f" and {len(entries) - 4} more" if len(entries) > 4 else ""
            log.info("list %d, %s: %s%s", version, kind.name.lower(), changed, more)
        self.healthy = True
        self.tell(ServerList(kind, version, [entry for entry, _, _ in entries]))
        return version

    def read_entry(self, line: dict[str, Any]) -> tuple[ServerEntry, Address, str]:
        name, started = str(line["instanceId"]), float(line.get("startedAtMs", 0))
        size = float(line.get("weight", 1.0))
        if not (math.isfinite(started) and math.isfinite(size) and size >= 0):
            raise ValueError(f"{name}: weight {size}, started at {started}")  # JSON readers let NaN through
        entry = ServerEntry(
            id=stable_id(name.encode()),
            zone=self.config.zones.get(line.get("zone", ""), -1),
            kind=self.config.kinds.get(line.get("machineType", ""), -1),
            cell=int(line.get("cell", 0)),
            state=STATES[line["lifecycle"]],
            size=size,
            started=started - self.unix_offset if started else 0.0,
        )
        return entry, parse_address(line["hostPort"]), name

    # Start and stop.

    def start(self) -> None:
        self.listener.start()
        self.discovery.start()
        log.info("%s listens on %s:%d", self.config.name, *self.listener.address)

    def reload(self, environ: Mapping[str, str]) -> None:
        """Follow the discovery that the file names now. All else takes a restart: the policy lives by it."""
        try:
            address = reread_discovery(environ)
        except ConfigError as error:
            log.error("the configuration stays as it was: %s", error)
            return
        log.info("configuration read: discovery at %s:%d", *address)
        self.discovery.move(address)

    async def drain(self) -> None:
        """Take what still comes, answer all that is held, then end."""
        self.stopping = True
        log.info("stopping: %d requests held", len(self.held))
        # A client that has been told the connection closes, or sees it close, comes back elsewhere.
        self.listener.close_idle()
        await asyncio.sleep(ACCEPT_FOR)
        self.listener.stop()
        # Who has not sent its whole request by now can't keep the node from ending.
        end = now_ms() + max(c.deadline for c in self.config.settings.classes)
        while self.listener.connections and now_ms() < end:
            self.listener.close_idle()
            await asyncio.sleep(DRAIN_LOOK)
        self.close()  # the list is followed to the end: what is held may still be sent again
        log.info("stopped")

    def close(self) -> None:
        self.listener.close()
        self.discovery.close()
