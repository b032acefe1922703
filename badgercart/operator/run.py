"""Starts what an operator's file switches on, passes signals on to it, and ends."""

from __future__ import annotations

import asyncio
import gc
import json
import logging
import random
import signal
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from badgercart.core.join import Join
from badgercart.core.roster import MemberList, Roster
from badgercart.fronts.http.front import HttpFront
from badgercart.membership.catalog import Discovery
from badgercart.membership.entries import ListReader
from badgercart.membership.freshness import State
from badgercart.operator.file import FileError, Installation, load
from cottonhall.interface import ListKind
from cottonhall.interface import State as ServerState

if TYPE_CHECKING:
    from badgercart.fronts.graphql.front import GraphqlFront
    from badgercart.fronts.processor.server import Processor
    from badgercart.membership.etcd.client import EtcdSource

LONG_LIST = 1000  # servers

log = logging.getLogger("badgercart")


class Site:
    """One installation: a join, its fronts and its source of the server list."""

    def __init__(self, what: Installation, loop: asyncio.AbstractEventLoop) -> None:
        config = what.config
        self.what = what
        self.join = Join(config.settings, config.seed, loop)
        self.reader = ListReader(config)
        self.roster = Roster(self.reader, self.join)
        share = 0.5 if what.http and what.graphql else 1.0  # of the descriptors, for each
        self.http = HttpFront(config, self.join, self.roster, loop, share) if what.http else None
        if self.http is not None:
            self.http.pages[b"/_members"] = self.members_page
        self.processor: Processor | None = None
        if what.processor is not None:
            from badgercart.fronts.processor.server import Processor  # heavy: only where it is switched on

            self.processor = Processor(config, what.processor, self.join, self.roster, loop)
        self.graphql: GraphqlFront | None = None
        if what.graphql is not None:
            from badgercart.fronts.graphql.front import GraphqlFront

            self.graphql = GraphqlFront(config, what.graphql, self.join, self.roster, loop, share)
        self.etcd: EtcdSource | None = None
        if what.etcd is not None:
            from badgercart.membership.etcd.client import EtcdSource  # heavy too

            self.etcd = EtcdSource(
                what.etcd,
                self.reader.read_member,
                self.take_members,
                self.list_state,
                self.join.clock,
                random.Random(config.seed),
            )
        self.discovery: Discovery | None = None
        if what.catalog is not None:
            self.discovery = Discovery(what.catalog, self.take_list, random.Random(config.seed))

    def take_list(self, raw: dict[str, Any]) -> int:
        return self.roster.take(raw)

    def take_members(self, told: MemberList) -> None:
        self.roster.apply(told)
        if told.kind is ListKind.FULL and len(told.members) >= LONG_LIST:
            gc.freeze()  # the collector would stop the loop for long to look at all of them again and again

    def members_page(self) -> bytes:
        """What this node believes of the list, for `members list --from-node`."""
        names = {ServerState.READY: "active", ServerState.DRAINING: "leaving"}
        lines = [
            {"instanceId": m.name, "hostPort": m.endpoint, "lifecycle": names[m.entry.state]}
            for m in self.roster.listed.values()
        ]
        state = self.etcd.state.value if self.etcd is not None else "of no known age"
        told = {"generation": self.roster.version, "state": state, "instances": lines}
        return json.dumps(told).encode()

    def list_state(self, state: State) -> None:
        """The age of etcd's list has passed a limit, or is as it should be again."""
        assert self.etcd is not None
        self.roster.suspend(state is State.STALE and self.etcd.settings.when_stale == "refuse")

    def start_list(self) -> None:
        if self.discovery is not None:
            self.discovery.start()
        elif self.etcd is not None:
            self.etcd.start()
            if (known := self.etcd.known()) is not None:
                try:
                    self.roster.take(known, ListKind.CACHED)
                except ValueError as error:
                    log.warning("the known list is malformed: %s", error)
        else:
            self.take_list({"generation": 1, "reset": True, "instances": self.what.servers})

    async def start(self) -> None:
        """Raises OSError where an address can't be had."""
        self.start_list()
        if self.http is not None:
            self.http.start()
        if self.graphql is not None:
            self.graphql.start()
        if self.processor is not None:
            await self.processor.start()

    def reload(self, path: str) -> None:
        """The catalog's address, or the servers that the file lists, and PEM files are taken anew.

        All else takes a restart; a file that is wrong changes nothing."""
        try:
            what = load(path)
        except FileError as error:
            log.error("the configuration stays as it was: %s", str(error).replace("\n", "; "))
            return
        if self.discovery is not None and what.catalog is not None:
            self.discovery.move(what.catalog)
        elif self.etcd is not None and what.etcd is not None:
            self.etcd.move(what.etcd)
        elif self.discovery is None and self.etcd is None and what.servers:
            self.take_list({"generation": 1, "reset": True, "instances": what.servers})
        else:
            log.error("where the server list comes from takes a restart; it stays as it was")
        if self.processor is not None:
            self.processor.reload()
        log.info("configuration read")

    async def drain(self) -> None:
        """Answer all that is held, on every front, then end."""
        await asyncio.gather(
            *(front.drain() for front in (self.http, self.graphql, self.processor) if front is not None)
        )
        self.close()
        log.info("stopped")

    def close(self) -> None:
        for part in (self.http, self.graphql, self.processor, self.discovery, self.etcd):
            if part is not None:
                part.close()


async def run(path: str, what: Installation, started: Callable[[Site], None] = lambda site: None) -> None:
    """Serve until SIGTERM or SIGINT. Raises OSError and TlsError from the start."""
    loop, stop = asyncio.get_running_loop(), asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    site = Site(what, loop)
    await site.start()
    gc.collect()
    gc.freeze()  # what is there now stays: the collector need not look at it again
    loop.add_signal_handler(signal.SIGHUP, site.reload, path)
    started(site)
    await stop.wait()
    await site.drain()
