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

ACCEPT_FOR = 600.0  # ms after SIGTERM during which clients may still come
# ms beyond the deadline of a drain, after which a component that hangs is closed as it stands.
GRACE = 300.0
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

    def __init__(self, what: Installation, loop: asyncio.AbstractEventLoop) -> None:
        """Build all components.

        Raises:
            PartError: one of them can't be built; those before it are closed again.
        """
        config = what.config
        self.installation = what
        self.pipeline = RequestPipeline(config.settings, config.seed, loop)
        reader = ListReader(config)
        self.endpoint_table = EndpointTable(reader, self.pipeline)
        declared = what.enabled_components()
        holders = sum(component.sockets for component in declared)
        self.host = ComponentHost(
            config,
            self.pipeline,
            self.endpoint_table,
            reader,
            loop,
            what.folder,
            1 / max(1, holders),
            len(declared) - holders,
        )
        self.host.pages[b"/_members"] = OperatorPage(self.members_page)
        self.register(self.host.metrics)
        self.steps = start_order(declared)
        self.components: dict[str, Component] = {}
        for component in (component for step in self.steps for component in step):
            try:
                self.components[component.name] = component.build(
                    self.host, what.component_settings[component.name]
                )
            except Exception as error:
                self.close()
                raise ComponentStartError(component.name, error) from error

    def register(self, meters: MetricRegistry) -> None:
        """Register the metrics of every installation."""
        join, policy, listed = self.pipeline, self.pipeline.policy, self.endpoint_table.listed
        meters.gauge(
            "badgercart_cut",
            "The score below which requests are refused, 0 to 100.",
            lambda: policy.overload.shed_threshold,
        )
        meters.gauge(
            "badgercart_overload",
            "The overload x that the cut rises with, 0 to 1.",
            lambda: policy.overload.level,
        )
        meters.gauge(
            "badgercart_held", "Requests that are owed an answer.", lambda: len(join.in_flight)
        )
        meters.gauge(
            "badgercart_attempts_out", "Attempts that are out.", lambda: len(join.open_attempts)
        )
        meters.gauge(
            "badgercart_need",
            "Attempts that a busy fleet needs out to be kept busy.",
            lambda: policy.overload.concurrency.limit,
        )
        meters.gauge(
            "badgercart_servers",
            "Servers of the list, by state.",
            lambda: Counter(STATE_LABELS[member.entry.state] for member in listed.values()),
            "state",
        )
        meters.gauge(
            "badgercart_list_version",
            "The version of the list.",
            lambda: self.endpoint_table.version,
        )
        meters.gauge(
            "badgercart_list_suspended",
            "1 while the list is too old to send anything by it.",
            lambda: float(self.endpoint_table.suspended),
        )

    def members_page(self) -> bytes:
        """Return the endpoint list of this node, for `members list --from-node`."""
        names = {EndpointState.READY: "active", EndpointState.DRAINING: "leaving"}
        lines = [
            {"instanceId": m.name, "hostPort": m.address_text, "lifecycle": names[m.entry.state]}
            for m in self.endpoint_table.listed.values()
        ]
        page = {
            "generation": self.endpoint_table.version,
            "state": self.host.list_state(),
            "instances": lines,
        }
        return json.dumps(page).encode()

    async def start(self) -> None:
        """Start the components in order; if one fails or the call is cancelled, close all of them.

        Raises:
            PartError: one of them does not start.
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
        """Put new settings in force: of all components, or of none if one can't take its own.

        Half a file is never in force, since nobody wrote it. Settings that need a restart are
        logged and left out.

        Returns:
            What is wrong; empty: the settings are in force.
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
            for name in Base.model_fields.keys() - {"log"}:  # those of no component
                yield from differing(
                    getattr(old.base, name), getattr(fresh.base, name), (name.rstrip("_"),)
                )
        for component in self.installation.known_components:
            was, now = (
                old.component_settings.get(component.name),
                fresh.component_settings.get(component.name),
            )
            if (was is None) != (now is None):
                yield dotted(component.key)
            elif component.reloads != ("*",):
                reloaded = {dotted((*component.key, key)) for key in component.reloads}
                found = differing(was, now, component.key)
                yield from (name for name in found if name not in reloaded)

    def remember(self, fresh: Installation) -> None:
        """Keep the settings that are in force now; those that need a restart stay the old ones."""
        for component in self.installation.enabled_components():
            if component.reloads and component.name in fresh.component_settings:
                self.installation.component_settings[component.name] = fresh.component_settings[
                    component.name
                ]

    async def drain(self) -> None:
        """Answer all requests in flight, then close. One deadline holds for all components."""
        until = now_ms() + ACCEPT_FOR + self.installation.config.longest_deadline_ms
        self.pipeline.begin_shutdown(until)
        for step in reversed(self.steps):
            await self.drain_step(step, until)
        self.close()
        STOPPED()

    async def drain_step(self, step: list[ComponentDeclaration], until: float) -> None:
        """Drain components together; those that hang beyond the deadline are cancelled."""
        tasks = {
            asyncio.ensure_future(self.components[component.name].drain(until)): component.name
            for component in step
        }
        patience = max(0.0, until + GRACE - now_ms()) / 1000
        done, hanging = await asyncio.wait(tasks, timeout=patience)
        for task in done:
            if (error := task.exception()) is not None:
                events.COMPONENT_FAILED(error, part=tasks[task], act="drained")
        for task in hanging:
            events.COMPONENT_HANGS(part=tasks[task])
            task.cancel()
        if hanging:
            await asyncio.wait(hanging, timeout=GRACE / 1000)

    def close(self) -> None:
        """Close all components, the last started first; a failure keeps no other one open."""
        for name, component in reversed(self.components.items()):
            try:
                component.close()
            except Exception:
                events.COMPONENT_FAILED(True, part=name, act="closed")


def differing(old: Any, new: Any, path: Path) -> Iterator[str]:
    """Yield the settings that two models differ in, as people write them."""
    if old == new:
        return
    fields = getattr(type(old), "model_fields", None)
    if fields is None or type(old) is not type(new):
        yield dotted(path)
        return
    for name, info in fields.items():
        yield from differing(getattr(old, name), getattr(new, name), (*path, info.alias or name))
