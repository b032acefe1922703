"""One running installation: a join and the parts on it, started, reloaded, drained and closed in
order."""

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
from badgercart.app.faults import Path, dotted
from badgercart.app.file import Installation
from badgercart.core.clock import now_ms
from badgercart.core.endpoint_table import EndpointTable
from badgercart.core.log_events import STOPPED
from badgercart.core.metric_registry import MetricRegistry
from badgercart.core.request_pipeline import RequestPipeline
from badgercart.discovery.entries import CatalogUpdateReader
from badgercart.frontends.http.requests import Page
from badgercart.policy.endpoint import EndpointState

ACCEPT_FOR = 600.0  # ms after SIGTERM during which clients may still come
GRACE = (
    300.0  # ms beyond the deadline of a drain, after which a part that hangs is closed as it stands
)
STATE_LABELS = {
    EndpointState.READY: "ready",
    EndpointState.GONE: "gone",
    EndpointState.DRAINING: "draining",
}  # a label

# A server's state as a label of `badgercart_servers`.
STATE_LABELS = {
    EndpointState.READY: "ready",
    EndpointState.GONE: "gone",
    EndpointState.DRAINING: "draining",
}


class PartError(Exception):
    """A part that does not start: its name, and why."""

    def __init__(self, name: str, cause: BaseException) -> None:
        super().__init__(f"{name} does not start: {cause or type(cause).__name__}")
        self.name = name


class Site:
    """All parts of one installation. It knows none of them by name."""

    def __init__(self, what: Installation, loop: asyncio.AbstractEventLoop) -> None:
        """Raises PartError."""
        config = what.config
        self.what = what
        self.join = RequestPipeline(config.settings, config.seed, loop)
        reader = CatalogUpdateReader(config)
        self.roster = EndpointTable(reader, self.join)
        declared = what.declared()
        holders = sum(part.sockets for part in declared)
        self.host = ComponentHost(
            config,
            self.join,
            self.roster,
            reader,
            loop,
            what.folder,
            1 / max(1, holders),
            len(declared) - holders,
        )
        self.host.pages[b"/_members"] = Page(self.members_page)
        self.register(self.host.metrics)
        self.steps = start_order(declared)
        self.parts: dict[str, Component] = {}
        for part in (part for step in self.steps for part in step):
            try:
                self.parts[part.name] = part.build(self.host, what.parts[part.name])
            except Exception as error:
                self.close()
                raise PartError(part.name, error) from error

    def register(self, meters: MetricRegistry) -> None:
        """What every installation can be asked for."""
        join, policy, listed = self.join, self.join.policy, self.roster.listed
        meters.gauge(
            "badgercart_cut",
            "The score below which requests are refused, 0 to 100.",
            lambda: policy.cut,
        )
        meters.gauge(
            "badgercart_overload",
            "The overload x that the cut rises with, 0 to 1.",
            lambda: policy.x,
        )
        meters.gauge(
            "badgercart_held",
            "Requests that are owed an answer.",
            lambda: len(join.in_flight.requests),
        )
        meters.gauge(
            "badgercart_attempts_out",
            "Attempts that are out.",
            lambda: len(join.in_flight.attempts),
        )
        meters.gauge(
            "badgercart_need",
            "Attempts that a busy fleet needs out to be kept busy.",
            lambda: policy.need,
        )
        meters.gauge(
            "badgercart_servers",
            "Servers of the list, by state.",
            lambda: Counter(STATE_LABELS[member.entry.state] for member in listed.values()),
            "state",
        )
        meters.gauge(
            "badgercart_list_version", "The version of the list.", lambda: self.roster.version
        )
        meters.gauge(
            "badgercart_list_suspended",
            "1 while the list is too old to send anything by it.",
            lambda: float(self.roster.suspended),
        )

    def members_page(self) -> bytes:
        """What this node believes of the list, for `members list --from-node`."""
        names = {EndpointState.READY: "active", EndpointState.DRAINING: "leaving"}
        lines = [
            {"instanceId": m.name, "hostPort": m.address_text, "lifecycle": names[m.entry.state]}
            for m in self.roster.listed.values()
        ]
        told = {
            "generation": self.roster.version,
            "state": self.host.list_state(),
            "instances": lines,
        }
        return json.dumps(told).encode()

    async def start(self) -> None:
        """Start the parts in order. Raises PartError; what was started is closed again, also if
        cancelled."""
        try:
            for part in (part for step in self.steps for part in step):
                try:
                    await self.parts[part.name].start()
                except Exception as error:
                    raise PartError(part.name, error) from error
        except BaseException:
            self.close()
            raise

    def reload(self, fresh: Installation) -> list[str]:
        """Put new settings in force, of all parts or, if one of them can't take its own, of none.

        None, because a file that is half in force is one that nobody wrote. Gives what is wrong;
        empty: done. What takes a restart is logged and passed over."""
        commits: list[Callable[[], None]] = []
        faults = []
        for name, part in self.parts.items():
            if name in fresh.parts:
                try:
                    commit = part.prepare(fresh.parts[name])
                except ReloadError as error:
                    faults.append(f"{name}: {error}")
                else:
                    if commit is not None:
                        commits.append(commit)
        if not faults:
            for commit in commits:
                commit()
            if restart := list(self.needs_restart(fresh)):
                events.RESTART_NEEDED(settings=", ".join(restart))
            self.remember(fresh)
        return faults

    def needs_restart(self, fresh: Installation) -> Iterator[str]:
        """Settings that differ from those in force and that SIGHUP does not change."""
        old = self.what
        if old.base is not None and fresh.base is not None:
            for name in Base.model_fields.keys() - {"log"}:  # those that are no part's
                yield from differing(
                    getattr(old.base, name), getattr(fresh.base, name), (name.rstrip("_"),)
                )
        for part in self.what.known:
            was, now = old.parts.get(part.name), fresh.parts.get(part.name)
            if (was is None) != (now is None):
                yield dotted(part.key)
            elif part.reloads != ("*",):
                for name in differing(was, now, part.key):
                    if not any(name == dotted((*part.key, key)) for key in part.reloads):
                        yield name

    def remember(self, fresh: Installation) -> None:
        """What is in force now: of what takes a restart, the old."""
        for part in self.what.declared():
            if part.reloads and part.name in fresh.parts:
                self.what.parts[part.name] = fresh.parts[part.name]

    async def drain(self) -> None:
        """Answer all that is held, on every part, then end. One deadline holds for all of them."""
        until = now_ms() + ACCEPT_FOR + self.what.config.longest
        self.join.begin_shutdown(until)
        for step in reversed(self.steps):
            await self.drain_step(step, until)
        self.close()
        STOPPED()

    async def drain_step(self, step: list[ComponentDeclaration], until: float) -> None:
        tasks = {
            asyncio.ensure_future(self.parts[part.name].drain(until)): part.name for part in step
        }
        patience = max(0.0, until + GRACE - now_ms()) / 1000
        done, hanging = await asyncio.wait(tasks, timeout=patience)
        for task in done:
            if (error := task.exception()) is not None:
                events.PART_FAILED(error, part=tasks[task], act="drained")
        for task in hanging:
            events.PART_HANGS(part=tasks[task])
            task.cancel()
        if hanging:
            await asyncio.wait(hanging, timeout=GRACE / 1000)

    def close(self) -> None:
        """Let go of all parts, the last started first; one that fails does not keep the others
        open."""
        for name, part in reversed(self.parts.items()):
            try:
                part.close()
            except Exception:
                events.PART_FAILED(True, part=name, act="closed")


def differing(old: Any, new: Any, path: Path) -> Iterator[str]:
    """The settings that two models differ in, as people write them."""
    if old == new:
        return
    fields = getattr(type(old), "model_fields", None)
    if fields is None or type(old) is not type(new):
        yield dotted(path)
        return
    for name, info in fields.items():
        yield from differing(getattr(old, name), getattr(new, name), (*path, info.alias or name))
