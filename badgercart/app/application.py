"""One running installation: the request pipeline and the components on it.

Components are built, started, reloaded, drained and closed in the order of their needs.
"""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from collections.abc import Callable, Iterator
from typing import Any

from badgercart.app import log_events as events
from badgercart.app.base import Base
from badgercart.app.component import (
    Component,
    ComponentDeclaration,
    ComponentHost,
    ReloadError,
    start_order,
)
from badgercart.app.errors import AppError
from badgercart.app.faults import Path, dotted
from badgercart.app.file import Installation
from badgercart.core.clock import now_ms
from badgercart.core.endpoint_table import EndpointTable
from badgercart.core.log_events import STOPPED
from badgercart.core.metric_registry import MetricRegistry
from badgercart.core.request_pipeline import RequestPipeline
from badgercart.discovery.entries import ListReader
from badgercart.frontends.http.requests import OperatorPage
from badgercart.policy.endpoint import EndpointState

# After SIGTERM, new requests are still accepted for so long.
ACCEPT_DURATION_MS = 600.0
# After the deadline of a drain, a component that hangs is closed when this time is over.
DRAIN_OVERRUN_MS = 300.0
# A server's state as a label of `badgercart_servers`.
STATE_LABELS = {
    EndpointState.READY: "ready",
    EndpointState.GONE: "gone",
    EndpointState.DRAINING: "draining",
}


class ComponentStartError(AppError):
    """A component that does not start."""

    def __init__(self, name: str, cause: BaseException) -> None:
        """Keep its name; the message says why."""
        super().__init__(f"{name} does not start: {cause or type(cause).__name__}")
        self.name = name


class Application:
    """All components of one installation; it knows none of them by name."""

    def __init__(self, installation: Installation, loop: asyncio.AbstractEventLoop) -> None:
        """Build all components.

        Raises:
            ComponentStartError: one of them can't be built; those before it are closed again.
        """
        config = installation.config
        self.installation = installation
        self.pipeline = RequestPipeline(config.settings, config.seed, loop)
        reader = ListReader(config)
        self.endpoint_table = EndpointTable(reader, self.pipeline)
        declared = installation.enabled_components()
        with_sockets = sum(component.sockets for component in declared)
        self.host = ComponentHost(
            config,
            self.pipeline,
            self.endpoint_table,
            reader,
            loop,
            installation.folder,
            1 / max(1, with_sockets),
            len(declared) - with_sockets,
        )
        self.host.pages[b"/_members"] = OperatorPage(self.members_page)
        self.register(self.host.metrics)
        self.steps = start_order(declared)
        self.components: dict[str, Component] = {}
        for component in (component for step in self.steps for component in step):
            try:
                self.components[component.name] = component.build(
                    self.host, installation.component_settings[component.name]
                )
            except Exception as error:
                self.close()
                raise ComponentStartError(component.name, error) from error

    def register(self, metrics: MetricRegistry) -> None:
        """Register the metrics of every installation."""
        pipeline, policy, listed = (
            self.pipeline,
            self.pipeline.policy,
            self.endpoint_table.listed,
        )
        metrics.gauge(
            "badgercart_cut",
            "The score below which requests are refused, 0 to 100.",
            lambda: policy.overload.shed_threshold,
        )
        metrics.gauge(
            "badgercart_overload",
            "The overload x that the cut rises with, 0 to 1.",
            lambda: policy.overload.level,
        )
        metrics.gauge(
            "badgercart_held", "Requests that are owed an answer.", lambda: len(pipeline.in_flight)
        )
        metrics.gauge(
            "badgercart_attempts_out", "Attempts that are out.", lambda: len(pipeline.open_attempts)
        )
        metrics.gauge(
            "badgercart_need",
            "Attempts that a busy fleet needs out to be kept busy.",
            lambda: policy.overload.concurrency.limit,
        )
        metrics.gauge(
            "badgercart_servers",
            "Servers of the list, by state.",
            lambda: Counter(STATE_LABELS[member.entry.state] for member in listed.values()),
            "state",
        )
        metrics.gauge(
            "badgercart_list_version",
            "The version of the list.",
            lambda: self.endpoint_table.version,
        )
        metrics.gauge(
            "badgercart_list_suspended",
            "1 while the list is too old to send anything by it.",
            lambda: float(self.endpoint_table.suspended),
        )

    def members_page(self) -> bytes:
        """Return the endpoint list of this node, for `members list --from-node`."""
        lifecycles = {EndpointState.READY: "active", EndpointState.DRAINING: "leaving"}
        entries = [
            {
                "instanceId": member.name,
                "hostPort": member.address_text,
                "lifecycle": lifecycles[member.entry.state],
            }
            for member in self.endpoint_table.listed.values()
        ]
        page = {
            "generation": self.endpoint_table.version,
            "state": self.host.list_state(),
            "instances": entries,
        }
        return json.dumps(page).encode()

    async def start(self) -> None:
        """Start the components in order; if one fails or the call is cancelled, close all of them.

        Raises:
            ComponentStartError: one of them does not start.
        """
        try:
            for component in (component for step in self.steps for component in step):
                await self._start_component(component.name)
        except BaseException:
            self.close()
            raise

    async def _start_component(self, name: str) -> None:
        try:
            await self.components[name].start()
        except Exception as error:
            raise ComponentStartError(name, error) from error

    def reload(self, fresh: Installation) -> list[str]:
        """Apply new settings: of all components, or of none if one can't apply its own.

        A file is never applied in part, since nobody wrote that state. Settings that need a
        restart are logged and not applied.

        Returns:
            What is wrong; empty if the settings were applied.
        """
        commits: list[Callable[[], None]] = []
        faults = []
        for name, component in self.components.items():
            if name not in fresh.component_settings:
                continue
            try:
                commit = component.prepare(fresh.component_settings[name])
            except ReloadError as error:
                faults.append(f"{name}: {error}")
                continue
            if commit is not None:
                commits.append(commit)
        if faults:
            return faults
        for commit in commits:
            commit()
        if restart := list(self.needs_restart(fresh)):
            events.RESTART_NEEDED(settings=", ".join(restart))
        self.remember(fresh)
        return []

    def needs_restart(self, fresh: Installation) -> Iterator[str]:
        """Yield the settings that differ from those in force and that SIGHUP does not change."""
        old = self.installation
        if old.base is not None and fresh.base is not None:
            # The tables that belong to no component.
            for name in Base.model_fields.keys() - {"log"}:
                yield from differing(
                    getattr(old.base, name), getattr(fresh.base, name), (name.rstrip("_"),)
                )
        for component in self.installation.known_components:
            old_settings, new_settings = (
                old.component_settings.get(component.name),
                fresh.component_settings.get(component.name),
            )
            if (old_settings is None) != (new_settings is None):
                yield dotted(component.key)
            elif component.reloads != ("*",):
                reloaded = {dotted((*component.key, key)) for key in component.reloads}
                found = differing(old_settings, new_settings, component.key)
                yield from (name for name in found if name not in reloaded)

    def remember(self, fresh: Installation) -> None:
        """Record the settings that are in force now; those that need a restart stay the old ones."""
        for component in self.installation.enabled_components():
            if component.reloads and component.name in fresh.component_settings:
                self.installation.component_settings[component.name] = fresh.component_settings[
                    component.name
                ]

    async def drain(self) -> None:
        """Answer all requests in flight, then close. One deadline holds for all components."""
        deadline_ms = now_ms() + ACCEPT_DURATION_MS + self.installation.config.longest_deadline_ms
        self.pipeline.begin_shutdown(deadline_ms)
        for step in reversed(self.steps):
            await self.drain_step(step, deadline_ms)
        self.close()
        STOPPED()

    async def drain_step(self, step: list[ComponentDeclaration], deadline_ms: float) -> None:
        """Drain components together; those that hang beyond the deadline are cancelled."""
        tasks = {
            asyncio.ensure_future(
                self.components[component.name].drain(deadline_ms)
            ): component.name
            for component in step
        }
        timeout_s = max(0.0, deadline_ms + DRAIN_OVERRUN_MS - now_ms()) / 1000
        done, hanging = await asyncio.wait(tasks, timeout=timeout_s)
        for task in done:
            if (error := task.exception()) is not None:
                events.COMPONENT_FAILED(error, part=tasks[task], act="drained")
        for task in hanging:
            events.COMPONENT_HANGS(part=tasks[task])
            task.cancel()
        if hanging:
            await asyncio.wait(hanging, timeout=DRAIN_OVERRUN_MS / 1000)

    def close(self) -> None:
        """Close all components, the last started first; a failure of one does not stop the others."""
        for name, component in reversed(self.components.items()):
            try:
                component.close()
            except Exception:
                events.COMPONENT_FAILED(True, part=name, act="closed")


def differing(old: Any, new: Any, path: Path) -> Iterator[str]:
    """Yield the paths of the settings that two models differ in."""
    if old == new:
        return
    fields = getattr(type(old), "model_fields", None)
    if fields is None or type(old) is not type(new):
        yield dotted(path)
        return
    for name, info in fields.items():
        yield from differing(getattr(old, name), getattr(new, name), (*path, info.alias or name))
