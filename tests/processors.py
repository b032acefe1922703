"""A site with a processor for tests, and what its policy is told."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace
from typing import Any

from badgercart.app.file import Installation
from badgercart.app.site import Application
from badgercart.core.request_pipeline import RequestPipeline
from badgercart.frontends.processor.settings import ProcessorSettings
from badgercart.policy.events import Event
from badgercart.policy.settings import Idempotency, RequestClass
from standins.scripted_proxy import ScriptedProxy
from tests.net import CLASSES, WAIT_S, config, operator_entry

_ids = itertools.count(1)
SERVERS = ("127.0.0.1:7001", "127.0.0.1:7002", "127.0.0.1:7003")


def entry(number: int, state: str = "active") -> dict[str, Any]:
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


def described(
    cls: str = "find", name: str = "", timeout: str = "8000m", **more: str
) -> dict[str, str]:
    """The request headers of a class; further ones by name, with `_` for `-`."""
    effect = CLASSES[cls]
    headers = {
        ":method": "GET" if effect is Idempotency.IDEMPOTENT else "POST",
        ":path": f"/{cls}/cab7",
        ":authority": "backend.local",
        "request-id": name or f"r-{next(_ids)}",
        "request-timeout": timeout,
    }
    if effect is Idempotency.KEYED:
        headers["idempotency-key"] = "5c0f"
    return headers | {key.replace("_", "-"): value for key, value in more.items()}


class Recorder:
    """Every event that the policy of a join is told."""

    def __init__(self, join: RequestPipeline) -> None:
        self.join = join
        self.told: list[Event] = []
        self.changed = asyncio.Event()
        handle = self.join.policy.handle

        def spy(now: float, event: Any) -> Any:
            actions = handle(now, event)
            self.told.append(event)
            self.changed.set()
            return actions

        self.join.policy.handle = spy  # type: ignore[method-assign]

    def of(self, kind: type) -> list[Any]:
        return [event for event in self.told if isinstance(event, kind)]

    async def event(self, kind: type, count: int = 1) -> Any:
        """The last of so many events of a kind, once they have come."""
        async with asyncio.timeout(WAIT_S):
            while len(found := self.of(kind)) < count:
                self.changed.clear()
                await self.changed.wait()
        return found[count - 1]


class Bench(Recorder):
    """A running site with a processor."""

    def __init__(self, site: Application) -> None:
        super().__init__(site.pipeline)
        self.site, self.processor = site, site.components["processor"].front
        self.calls = self.processor.calls
        self.address = "{}:{}".format(*self.processor.address)

    async def settled(self) -> None:
        """Nothing is held, out or open any more."""
        async with asyncio.timeout(WAIT_S):
            while (
                self.join.in_flight
                or self.join.open_attempts
                or self.calls.open
                or self.processor.connections
            ):
                await asyncio.sleep(0.001)
        assert (
            not self.join.policy.overload.concurrency.current
            and not self.join.policy.lifecycle.requests
        )
        assert all(proxy.unseen == 0 for proxy in self.calls.account.proxies.values())

    def lists(self, *entries: dict[str, Any], reset: bool = False) -> None:
        self.site.endpoint_table.accept(
            {"generation": 2, "reset": reset, "instances": list(entries)}
        )

    def proxy(self, name: str = "p-1", **changes: Any) -> ScriptedProxy:
        return ScriptedProxy(self.address, name, **changes)


@asynccontextmanager
async def site_with_processor(
    servers: int = 1,
    attempts: int = 4,
    classes: tuple[RequestClass, ...] = (),
    grace: float = 500.0,
    **changes: Any,
) -> AsyncIterator[Bench]:
    base = config(1, attempts=attempts)
    settings = replace(base.settings, classes=classes or base.settings.classes)
    parts = {
        "processor": ProcessorSettings.model_construct(listen=("127.0.0.1", 0), **changes),
        "server": tuple(operator_entry(entry(number)) for number in range(1, servers + 1)),
    }
    what = Installation(replace(base, settings=settings, drain_grace=grace), parts)
    site = Application(what, asyncio.get_running_loop())
    await site.start()
    try:
        yield Bench(site)
    finally:
        await site.components["processor"].front.server.stop(0)
        site.close()
