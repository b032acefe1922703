"""The platform's node: start, reload, drain and handover.

It has an HTTP frontend, endpoint discovery and an admin listener, all on one request pipeline.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Mapping
from typing import Any

from badgercart.admin.handlers import NodeHandlers
from badgercart.admin.listener import AdminListener
from badgercart.config import Config, ConfigError, reload_config
from badgercart.core.clock import now_ms
from badgercart.core.endpoint_table import EndpointTable
from badgercart.core.log_events import CONFIG_KEPT, CONFIG_READ, LIST_KNOWN_MALFORMED, STOPPED
from badgercart.core.memory_watch import no_other_processes
from badgercart.core.request_ledger import RequestLedger
from badgercart.core.request_pipeline import RequestPipeline
from badgercart.discovery.backoff import CallTiming
from badgercart.discovery.catalog import Discovery
from badgercart.discovery.entries import ListReader
from badgercart.ejection.ejections import AdministrativeEjections
from badgercart.frontends.http.clients import DRAIN_ACCEPT_S
from badgercart.frontends.http.frontend import HttpFrontend
from badgercart.hot_restart.inherited_socket import inherited_socket
from badgercart.hot_restart.log_events import ALONE, BESIDE
from badgercart.hot_restart.process_lock import ProcessLock
from badgercart.hot_restart.shared_requests import SharedRequestTable
from badgercart.hot_restart.state_transfer import StateTransfer
from badgercart.policy.events import UpdateKind
from badgercart.reload.reconfiguration import IndexesInUse, reconfigure, settings_needing_restart

# A process that replaces another waits this long for discovery; then it serves with the endpoint
# list that it has.
DISCOVERY_WAIT_S = 2.5
# A process that starts with a cached list waits for this part of the grace of draining endpoints,
# as long as a call that hangs and the next one take (`CallTiming.for_local_agent`).
AGENT_WAIT_SHARE = 0.8
# After this time a process has learned enough for its state to be worth keeping.
STATE_TRANSFER_DELAY_S = 2.0
# SIGKILL follows SIGTERM after the longest deadline and 0.7 s at the earliest, but a deadline
# counts for this at most.
MAX_DRAIN_MS = 3000.0
# What ends a process that is told to end may come much later than it has to. Until then servers go on
# with the responses that have begun, for as long as a client that takes nothing of one is waited for.
MAX_RESPONSE_DRAIN_MS = 30_000.0
# The part of its limits that each process uses while two of them run side by side.
SIDE_BY_SIDE_SHARE = 0.5


class Node:
    """One process of the platform's node."""

    def __init__(self, config: Config, loop: asyncio.AbstractEventLoop) -> None:
        """Build the node without starting it.

        Raises:
            ConfigError: the inherited file descriptor can't be used.
            OSError: the shared folder can't be used.
        """
        self.config = config
        self.loop = loop
        self.pipeline = RequestPipeline(config.settings, config.seed, loop)
        self.list_reader = ListReader(config)
        self.endpoint_table = EndpointTable(self.list_reader, self.pipeline)
        self.inherited = None if config.inherited is None else inherited_socket(config.inherited)
        self.ejections: AdministrativeEjections | None = None
        self.admin_listener: AdminListener | None = None
        if config.console is not None and config.folder is not None:
            self.ejections = AdministrativeEjections(
                self.endpoint_table, config.folder, loop, self.list_reader.unix_offset_ms
            )
            self.admin_listener = AdminListener(
                loop, config.console, NodeHandlers(self.not_ready_reason, self.ejections)
            )
        self.shared_requests = (
            SharedRequestTable(config.folder)
            if self.inherited is not None and config.folder is not None
            else None
        )
        self.frontend = HttpFrontend(
            config,
            self.pipeline,
            self.endpoint_table,
            loop,
            ledger=RequestLedger(self.shared_requests),
        )
        self.pool, self.listener = self.frontend.pool, self.frontend.listener
        self.process_lock: ProcessLock | None = None
        self.state_transfer: StateTransfer | None = None
        if self.inherited is not None and config.folder is not None:
            self.process_lock = ProcessLock(config.folder, loop, self.on_alone_changed)
            self.state_transfer = StateTransfer(config.folder, self.list_reader.unix_offset_ms)
            self.state_transfer.restore(self.pipeline.policy, config)
            if not self.process_lock.is_alone:
                self.on_alone_changed(False)
        self.discovery = Discovery(
            config.discovery,
            self.apply_endpoint_list,
            random.Random(config.seed),
            timing=self.polling_pace(config),
        )
        self.discovery.on_received = self.listener.open
        if config.known.get("instances"):
            try:
                self.discovery.version = self.apply_endpoint_list(config.known, UpdateKind.CACHED)
            except ValueError as error:
                LIST_KNOWN_MALFORMED(error=error)

    def apply_endpoint_list(self, raw: dict[str, Any], kind: UpdateKind | None = None) -> int:
        """Apply an endpoint list or a delta, and return its version.

        Raises ValueError, without any change, if an entry of it is invalid.
        """
        return self.endpoint_table.accept(raw, kind)

    async def start(self) -> None:
        """Start all parts. Raises OSError if an address can't be used."""
        wait_s = self.discovery_wait_s()
        self.frontend.start(self.inherited, opened=wait_s == 0.0)
        if wait_s > 0.0:
            self.loop.call_later(wait_s, self.listener.open)
        self.discovery.start()
        if self.ejections is not None:
            self.ejections.start()
        if self.process_lock is not None:
            self.process_lock.start()
        if self.state_transfer is not None:
            policy, config = self.pipeline.policy, lambda: self.config
            self.loop.call_later(
                STATE_TRANSFER_DELAY_S,
                self.state_transfer.save_periodically,
                policy,
                config,
                self.loop,
            )
        if self.admin_listener is not None:
            await self.admin_listener.start()

    def discovery_wait_s(self) -> float:
        """Return how long clients wait at most for discovery's first response.

        An agent of this node may have known for long which endpoints of a cached list drain: no
        request is sent by such a list while the agent may still respond in time.
        """
        if self.process_lock is not None and not self.process_lock.is_alone:
            return DISCOVERY_WAIT_S
        if self.config.settings.polls_endpoints or not self.endpoint_table.has_update:
            return 0.0
        return AGENT_WAIT_SHARE * self.config.drain_grace / 1000

    @staticmethod
    def polling_pace(config: Config) -> CallTiming:
        """Return how often discovery is called.

        Depending on the settings, discovery is either an agent of this node, to which lists are
        pushed, or one service that all nodes poll.
        """
        return (
            CallTiming.for_shared_service()
            if config.settings.polls_endpoints
            else CallTiming.for_local_agent(config.drain_grace)
        )

    def not_ready_reason(self) -> str:
        """Return why the node can't serve requests; empty if it can."""
        if self.frontend.stopping:
            return "this process is ending"
        if not self.frontend.healthy:
            return "no server list has come yet"
        return "" if self.listener.opened else "discovery has not answered yet"

    def limit_memory(self) -> None:
        """Keep all processes of the node inside its memory limit; this one runs nothing else."""
        lock = self.process_lock
        self.frontend.limit_memory(
            no_other_processes if lock is None else lambda: lock.other_process_ids
        )

    def on_alone_changed(self, alone: bool) -> None:
        """Handle that another process of this node has started, or that the last one has ended."""
        (ALONE if alone else BESIDE)()
        self.frontend.set_resource_share(1.0 if alone else SIDE_BY_SIDE_SHARE)

    def reload(self, environ: Mapping[str, str]) -> None:
        """Read the configuration file again and apply all changes that need no restart.

        If the file is invalid, nothing changes.
        """
        try:
            new = reload_config(environ, self.config)
        except ConfigError as error:
            CONFIG_KEPT(faults=error)
            return
        old, entries = self.config, [member.entry for member in self.endpoint_table.listed.values()]
        classes, tenants = self.pipeline.policy.lifecycle.active_use()
        pending = list(self.listener.pending_requests())
        in_use = IndexesInUse(
            classes=classes | {request.class_index for request in pending},
            tenants=tenants | {request.tenant for request in pending},
            zones={entry.zone for entry in entries},
            kinds={entry.kind for entry in entries},
            read={request.class_index for request in pending},
        )
        restart = ", ".join(settings_needing_restart(old, new))
        self.config, event = reconfigure(old, new, in_use)
        self.pipeline.dispatch(event)
        self.frontend.apply_config(self.config)
        self.list_reader.use_config(self.config)
        CONFIG_READ(
            what=f": discovery at {new.discovery[0]}:{new.discovery[1]}, {len(new.classes)} classes, "
            f"{new.settings.max_attempts} attempts"
            + (f"; takes a restart: {restart}" if restart else "")
        )
        self.discovery.timing = self.polling_pace(self.config)
        renamed = (old.zones, old.kinds) != (self.config.zones, self.config.kinds)
        self.discovery.move(new.discovery, refetch=renamed)

    async def drain(self) -> None:
        """Answer all requests, including those that still come, then close the node."""
        if self.state_transfer is not None:
            # From now on the state of the next process is more recent.
            self.state_transfer.close()
        deadline_ms = (
            now_ms() + DRAIN_ACCEPT_S * 1000 + min(self.config.longest_deadline_ms, MAX_DRAIN_MS)
        )
        self.pipeline.begin_shutdown(deadline_ms)
        if self.inherited is not None:
            await self.frontend.hand_over(deadline_ms)
        else:
            await self.frontend.drain(deadline_ms)
        await self.frontend.finish_responses(now_ms() + MAX_RESPONSE_DRAIN_MS)
        # Discovery runs until here, since requests may be retried until they are answered.
        self.close()
        STOPPED()

    def close(self) -> None:
        """Close all parts."""
        self.frontend.close()
        self.discovery.close()
        if self.admin_listener is not None:
            self.admin_listener.close()
        if self.ejections is not None:
            self.ejections.close()
        if self.shared_requests is not None:
            self.shared_requests.close()
        if self.process_lock is not None:
            self.process_lock.close()
        if self.state_transfer is not None:
            self.state_transfer.close()
