"""The platform's node: the HTTP front and the catalog on one join; start, reload, drain."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Mapping
from typing import Any

from badgercart.config import Config, ConfigError, reread_discovery
from badgercart.core.clock import now_ms
from badgercart.core.events import CONFIG_KEPT, CONFIG_READ, LIST_KNOWN_MALFORMED, STOPPED
from badgercart.core.join import Join
from badgercart.core.roster import Roster
from badgercart.fronts.http.clients import ACCEPT_FOR
from badgercart.fronts.http.front import HttpFront
from badgercart.membership.catalog import Discovery
from badgercart.membership.entries import ListReader
from cottonhall.interface import ListKind


class Node:
    def __init__(self, config: Config, loop: asyncio.AbstractEventLoop) -> None:
        self.config = config
        self.join = Join(config.settings, config.seed, loop)
        self.roster = Roster(ListReader(config), self.join)
        self.front = HttpFront(config, self.join, self.roster, loop)
        self.pool, self.listener = self.front.pool, self.front.listener
        self.discovery = Discovery(config.discovery, self.take_list, random.Random(config.seed))
        if config.known.get("instances"):
            try:
                self.discovery.version = self.take_list(config.known, ListKind.CACHED)
            except ValueError as error:
                LIST_KNOWN_MALFORMED(error=error)

    def take_list(self, raw: dict[str, Any], kind: ListKind | None = None) -> int:
        """Take over a list or its changes; ValueError, and nothing taken, if any line of it is bad."""
        return self.roster.take(raw, kind)

    def start(self) -> None:
        self.front.start()
        self.discovery.start()

    def reload(self, environ: Mapping[str, str]) -> None:
        """Follow the discovery that the file names now. All else takes a restart: the policy lives by it."""
        try:
            address = reread_discovery(environ)
        except ConfigError as error:
            CONFIG_KEPT(faults=error)
            return
        CONFIG_READ(what=": discovery at {}:{}".format(*address))
        self.discovery.move(address)

    async def drain(self) -> None:
        """Take what still comes, answer all that is held, then end."""
        await self.front.drain(now_ms() + ACCEPT_FOR * 1000 + self.config.longest)
        self.close()  # the list is followed to the end: what is held may still be sent again
        STOPPED()

    def close(self) -> None:
        self.front.close()
        self.discovery.close()
