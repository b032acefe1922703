"""The platform's node: HTTP clients, the server pool and the catalog on one join; start, reload, drain."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Mapping
from typing import Any

from badgercart.carriers.pool.pool import ServerPool
from badgercart.config import Config, ConfigError, reread_discovery
from badgercart.core.clock import now_ms
from badgercart.core.join import Join
from badgercart.core.ports import Intake
from badgercart.fronts.http.clients import ClientConnection, ClientRequest, Listener
from badgercart.membership.catalog import Discovery
from badgercart.membership.entries import ListReader
from cottonhall.interface import ListKind, ServerList, State

MARGIN = 30.0  # ms kept back from a client's time: the answer must be out in time from a late loop too
SPARE_SOCKETS = 32  # descriptors for the loop, the listener, discovery, files, and what is just closing
ACCEPT_FOR = 0.6  # s after SIGTERM during which new connections are accepted
DRAIN_LOOK = 0.02  # s between looks whether all clients are answered

log = logging.getLogger("badgercart")


class Node:
    def __init__(self, config: Config, loop: asyncio.AbstractEventLoop) -> None:
        self.config = config
        self.join = Join(config.settings, config.seed, loop)
        self.reader = ListReader(config)
        self.healthy = self.stopping = False
        self.listed: set[int] = set()  # servers in the list
        # A request in flight holds one on either side, but clients also keep what they have opened.
        room = max(config.sockets - SPARE_SOCKETS, 30)
        servers = room * 3 // 8
        ended = self.join.ended
        self.pool = ServerPool(loop, config.dial_timeout, config.idle_timeout, servers, ended)
        self.listener = Listener(loop, config, self, room - servers)
        self.discovery = Discovery(config.discovery, self.take_list, random.Random(config.seed))
        if config.known.get("instances"):
            try:
                self.discovery.version = self.take_list(config.known, ListKind.CACHED)
            except ValueError as error:
                log.warning("the known list is malformed: %s", error)

    # From clients.

    def take(self, client: ClientConnection, request: ClientRequest) -> None:
        client.request_id = self.join.number()
        intake = Intake(
            cls=request.cls,
            tenant=request.tenant,
            key=request.key,
            due=request.sent + request.timeout - MARGIN,
            work=request.message,
            hint=request.hint,
            repeat=request.repeat,
        )
        self.join.take(client.request_id, intake, client, self.pool)

    def withdraw(self, request_id: int) -> None:
        self.join.withdraw(request_id)

    # From discovery.

    def take_list(self, raw: dict[str, Any], kind: ListKind | None = None) -> int:
        """Take over a list or its changes; ValueError, and nothing taken, if any line of it is bad."""
        told = self.reader.read(raw, kind)
        if told.kind is not ListKind.DELTA:
            named = {member.entry.id for member in told.members}
            for server_id in self.listed - named:
                gone = self.pool.servers[server_id]
                self.pool.update(server_id, gone.address, State.GONE, gone.started)
            self.listed &= named
        for member in told.members:
            entry = member.entry
            self.pool.update(entry.id, member.address, entry.state, entry.started)
            if entry.state is State.GONE:
                self.listed.discard(entry.id)
            else:
                self.listed.add(entry.id)
        if told.members or told.kind is not ListKind.DELTA:
            changed = ", ".join(f"{m.name} {m.entry.state.name.lower()}" for m in told.members[:4])
            more = f" and {len(told.members) - 4} more" if len(told.members) > 4 else ""
            log.info("list %d, %s: %s%s", told.version, told.kind.name.lower(), changed, more)
        self.healthy = True
        self.join.tell(ServerList(told.kind, told.version, [member.entry for member in told.members]))
        return told.version

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
        log.info("stopping: %d requests held", len(self.join.held))
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
