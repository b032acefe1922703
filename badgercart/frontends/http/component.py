"""The HTTP front as a part of an installation."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING

from pydantic import Field

from badgercart.app.component import ComponentDeclaration, ComponentHost, ComponentKind
from badgercart.app.model import Address, Table
from badgercart.core.metric_registry import MetricRegistry

if TYPE_CHECKING:
    from badgercart.frontends.http.clients import Listener
    from badgercart.frontends.http.frontend import HttpFront


class HttpSettings(Table, title="HttpSettings"):
    """a listener for HTTP/1.1 clients"""

    listen: Address = Field(description="the host:port to listen on")


def register(meters: MetricRegistry, name: str, listener: Listener) -> None:
    """The figures of a listener for clients."""
    meters.gauge(
        f"badgercart_{name}_connections",
        "Connections of clients.",
        lambda: len(listener.connections),
    )
    meters.counter(
        f"badgercart_{name}_turned_away",
        "Requests that could not be taken, by status.",
        lambda: {str(status): count for status, count in listener.turned_away.items()},
        "status",
    )


class HttpComponent:
    """Clients by the platform's protocol, and operators' pages on the same listener."""

    def __init__(self, host: ComponentHost, settings: HttpSettings) -> None:
        from badgercart.frontends.http.frontend import HttpFront
        from badgercart.frontends.http.requests import problem

        config = replace(host.config, listen=settings.listen)
        self.front: HttpFront = HttpFront(
            config,
            host.pipeline,
            host.endpoint_table,
            host.loop,
            host.share,
            host.others,
            host.pages,
            problem,
        )
        register(host.metrics, "http", self.front.listener)

    async def start(self) -> None:
        self.front.start()

    def prepare(self, settings: HttpSettings) -> Callable[[], None] | None:
        """Nothing here changes without a restart."""
        return None

    async def drain(self, until: float) -> None:
        await self.front.drain(until)

    def close(self) -> None:
        self.front.close()


COMPONENTS = (
    ComponentDeclaration(
        name="http",
        key=("fronts", "http"),
        kind=ComponentKind.FRONTEND,
        settings=HttpSettings,
        about="a listener for HTTP/1.1 clients",
        build=HttpComponent,
        needs=("members",),
        sockets=True,
    ),
)
