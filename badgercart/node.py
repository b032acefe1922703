"""The platform's node: HTTP front, catalog and console on one join; start, reload, drain, hand
over."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Mapping
from typing import Any

from badgercart.admin.handlers import NodeHandlers
from badgercart.admin.listener import AdminListener
from badgercart.config import Config, ConfigError, reread
from badgercart.core.clock import now_ms
from badgercart.core.endpoint_table import EndpointTable
from badgercart.core.log_events import CONFIG_KEPT, CONFIG_READ, LIST_KNOWN_MALFORMED, STOPPED
from badgercart.core.request_pipeline import RequestPipeline
from badgercart.discovery.backoff import Pace
from badgercart.discovery.catalog import Discovery
from badgercart.discovery.entries import ListReader
from badgercart.ejection.ejections import AdministrativeEjections
from badgercart.frontends.http.clients import ACCEPT_FOR
from badgercart.frontends.http.frontend import HttpFront
from badgercart.hot_restart.inherited_socket import inherited_socket
from badgercart.hot_restart.log_events import ALONE, BESIDE
from badgercart.hot_restart.process_lock import ProcessLock
from badgercart.hot_restart.state_transfer import StateTransfer
from badgercart.policy.events import UpdateKind
from badgercart.reload.reconfiguration import IndexesInUse, reconfigure, settings_needing_restart

LIST_PATIENCE = (
    2.5  # s that a successor waits for discovery, after which it serves by the list that it has
)
HANDOVER_FROM = 2.0  # s from its start until a process has learned what is worth keeping
# ms: SIGKILL comes no sooner than the longest deadline and 0.7 s, but no deadline counts for more
# than this.
KILLED_AFTER = 3000.0
SHARE = 0.5  # of the limits, for each of two processes that live together


class Node:
    def __init__(self, config: Config, loop: asyncio.AbstractEventLoop) -> None:
        """ConfigError where the inherited descriptor is none, OSError where the folder can't be
        used."""
        self.config = config
        self.loop = loop
        self.join = RequestPipeline(config.settings, config.seed, loop)
        self.reader = ListReader(config)
        self.roster = EndpointTable(self.reader, self.join)
        self.inherited = None if config.inherited is None else inherited_socket(config.inherited)
        self.ejections: AdministrativeEjections | None = None
        self.admin_listener: AdminListener | None = None
        if config.console is not None and config.folder is not None:
            self.ejections = AdministrativeEjections(
                self.roster, config.folder, loop, self.reader.unix_offset
            )
            self.admin_listener = AdminListener(
                loop, config.console, NodeHandlers(self.unready, self.ejections)
            )
        self.front = HttpFront(config, self.join, self.roster, loop)
        self.pool, self.listener = self.front.pool, self.front.listener
        self.lives: ProcessLock | None = None
        self.handover: StateTransfer | None = None
        if self.inherited is not None and config.folder is not None:
            self.lives = ProcessLock(config.folder, loop, self.on_company)
            self.handover = StateTransfer(config.folder, self.reader.unix_offset)
            self.handover.restore(self.join.policy, config)
            if not self.lives.is_alone:
                self.on_company(False)
        self.discovery = Discovery(
            config.discovery, self.take_list, random.Random(config.seed), pace=self.pace(config)
        )
        if config.known.get("instances"):
            try:
                self.discovery.version = self.take_list(config.known, UpdateKind.CACHED)
            except ValueError as error:
                LIST_KNOWN_MALFORMED(error=error)

    def take_list(self, raw: dict[str, Any], kind: UpdateKind | None = None) -> int:
        """Take over a list or its changes; ValueError, and nothing taken, if any line of it is
        bad."""
        version = self.roster.accept(raw, kind)
        if kind is None:
            self.listener.open()
        return version

    async def start(self) -> None:
        """OSError where an address can't be had."""
        successor = self.lives is not None and not self.lives.is_alone
        self.front.start(self.inherited, opened=not successor)
        if successor:
            self.loop.call_later(LIST_PATIENCE, self.listener.open)
        self.discovery.start()
        if self.ejections is not None:
            self.ejections.start()
        if self.lives is not None:
            self.lives.start()
        if self.handover is not None:
            policy, config = self.join.policy, lambda: self.config
            self.loop.call_later(
                HANDOVER_FROM, self.handover.save_periodically, policy, config, self.loop
            )
        if self.admin_listener is not None:
            await self.admin_listener.start()

    @staticmethod
    def pace(config: Config) -> Pace:
        """The settings say whether lists are pushed to an agent of our own, or asked for at one
        service."""
        return Pace.shared() if config.settings.polls_endpoints else Pace.agent(config.drain_grace)

    def unready(self) -> str:
        """Why the node can't serve; empty where it can."""
        if self.front.stopping:
            return "this process is ending"
        if not self.front.healthy:
            return "no server list has come yet"
        return "" if self.listener.opened else "discovery has not answered yet"

    def on_company(self, alone: bool) -> None:
        """Another process of this node has come, or the last one has gone."""
        (ALONE if alone else BESIDE)()
        self.front.keep_to(1.0 if alone else SHARE)

    def reload(self, environ: Mapping[str, str]) -> None:
        """Put in force what the file has now, all of it that takes no restart, or nothing."""
        try:
            new = reread(environ, self.config)
        except ConfigError as error:
            CONFIG_KEPT(faults=error)
            return
        old, lines = self.config, [member.entry for member in self.roster.listed.values()]
        classes, tenants = self.join.policy.lifecycle.active_use()
        read = list(self.listener.read_ahead())
        busy = IndexesInUse(
            classes=classes | {request.cls for request in read},
            tenants=tenants | {request.tenant for request in read},
            zones={entry.zone for entry in lines},
            kinds={entry.kind for entry in lines},
            read={request.cls for request in read},
        )
        restart = ", ".join(settings_needing_restart(old, new))
        self.config, event = reconfigure(old, new, busy)
        self.join.dispatch(event)
        self.front.retune(self.config)
        self.reader.rename(self.config)
        CONFIG_READ(
            what=f": discovery at {new.discovery[0]}:{new.discovery[1]}, {len(new.classes)} classes, "
            f"{new.settings.max_attempts} attempts"
            + (f"; takes a restart: {restart}" if restart else "")
        )
        self.discovery.pace = self.pace(self.config)
        renamed = (old.zones, old.kinds) != (self.config.zones, self.config.kinds)
        self.discovery.move(new.discovery, anew=renamed)

    async def drain(self) -> None:
        """Answer all that is held, and what still comes, then end."""
        if self.handover is not None:
            self.handover.close()  # from now on the next process knows better
        until = now_ms() + ACCEPT_FOR * 1000 + min(self.config.longest, KILLED_AFTER)
        self.join.begin_shutdown(until)
        if self.inherited is not None:
            await self.front.hand_over(until)
        else:
            await self.front.drain(until)
        self.close()  # the list is followed to the end: what is held may still be sent again
        STOPPED()

    def close(self) -> None:
        self.front.close()
        self.discovery.close()
        if self.admin_listener is not None:
            self.admin_listener.close()
        if self.ejections is not None:
            self.ejections.close()
        if self.lives is not None:
            self.lives.close()
        if self.handover is not None:
            self.handover.close()
