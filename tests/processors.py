"""Runs an installation with a processor for tests, and records the events of its policy."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace
from typing import Any

from badgercart.app.application import Application
from badgercart.app.file import Installation
from badgercart.core.request_pipeline import RequestPipeline
from badgercart.frontends.processor.settings import ProcessorSettings
from badgercart.policy.events import Event
from badgercart.policy.settings import Idempotency, RequestClass
from standins.scripted_proxy import ScriptedProxy
from tests.net import CLASSES, WAIT_S, config, operator_entry

_ids = itertools.count(1)
SERVERS = ("127.0.0.1:7001", "127.0.0.1:7002", "127.0.0.1:7003")


def entry(number: int, state: str = "active") -> dict[str, Any]:
    """Return an endpoint entry as discovery has it."""
    return {
        "instanceId": f"s-{number}",
        "hostPort": SERVERS[number - 1],
        "zone": "a",
        "machineType": "m",
        "cell": 0,
        "lifecycle": state,
        "weight": 1.0,
        "startedAtMs": 0,
    }


def request_headers(
    class_name: str = "find", name: str = "", timeout: str = "8000m", **more: str
) -> dict[str, str]:
    """Return the headers of a request; `more`: further ones by name, with `_` for `-`."""
    effect = CLASSES[class_name]
    headers = {
        ":method": "GET" if effect is Idempotency.IDEMPOTENT else "POST",
        ":path": f"/{class_name}/cab7",
        ":authority": "backend.local",
        "request-id": name or f"r-{next(_ids)}",
        "request-timeout": timeout,
    }
    if effect is Idempotency.KEYED:
        headers["idempotency-key"] = "5c0f"
    return headers | {key.replace("_", "-"): value for key, value in more.items()}


class EventRecorder:
    """Records every event of a pipeline's policy."""

    def __init__(self, pipeline: RequestPipeline) -> None:
        self.pipeline = pipeline
        self.events: list[Event] = []
        self.changed = asyncio.Event()
        handle = self.pipeline.policy.handle

        def record(now_ms: float, event: Any) -> Any:
            actions = handle(now_ms, event)
            self.events.append(event)
            self.changed.set()
            return actions

        self.pipeline.policy.handle = record  # type: ignore[method-assign]

    def of(self, kind: type) -> list[Any]:
        """Return the recorded events of a kind."""
        return [event for event in self.events if isinstance(event, kind)]

    async def event(self, kind: type, count: int = 1) -> Any:
        """Wait for `count` events of a kind and return the last of them."""
        async with asyncio.timeout(WAIT_S):
            while len(found := self.of(kind)) < count:
                self.changed.clear()
                await self.changed.wait()
        return found[count - 1]


class ProcessorHarness(EventRecorder):
    """A running installation with a processor."""

    def __init__(self, application: Application) -> None:
        super().__init__(application.pipeline)
        self.application, self.processor = application, application.components["processor"].frontend
        self.calls = self.processor.calls
        self.address = "{}:{}".format(*self.processor.address)

    async def settled(self) -> None:
        """Wait until no request, attempt, call or stream is open."""
        async with asyncio.timeout(WAIT_S):
            while (
                self.pipeline.in_flight
                or self.pipeline.open_attempts
                or self.calls.open
                or self.processor.connections
            ):
                await asyncio.sleep(0.001)
        assert (
            not self.pipeline.policy.overload.concurrency.current
            and not self.pipeline.policy.lifecycle.requests
        )
        assert all(proxy.unseen == 0 for proxy in self.calls.old_answers.proxies.values())

    def apply_entries(self, *entries: dict[str, Any], reset: bool = False) -> None:
        """Apply endpoint entries, as a delta or as a snapshot."""
        self.application.endpoint_table.accept(
            {"generation": 2, "reset": reset, "instances": list(entries)}
        )

    def proxy(self, name: str = "p-1", **changes: Any) -> ScriptedProxy:
        """Return a proxy that calls the processor."""
        return ScriptedProxy(self.address, name, **changes)


@asynccontextmanager
async def site_with_processor(
    servers: int = 1,
    attempts: int = 4,
    classes: tuple[RequestClass, ...] = (),
    drain_grace_ms: float = 500.0,
    **changes: Any,
) -> AsyncIterator[ProcessorHarness]:
    """Run an installation with a processor; `changes`: of the processor's settings."""
    base = config(1, attempts=attempts)
    settings = replace(base.settings, classes=classes or base.settings.classes)
    components = {
        "processor": ProcessorSettings.model_construct(listen=("127.0.0.1", 0), **changes),
        "server": tuple(operator_entry(entry(number)) for number in range(1, servers + 1)),
    }
    installation = Installation(
        replace(base, settings=settings, drain_grace=drain_grace_ms), components
    )
    application = Application(installation, asyncio.get_running_loop())
    await application.start()
    try:
        yield ProcessorHarness(application)
    finally:
        await application.components["processor"].frontend.server.stop(0)
        application.close()
