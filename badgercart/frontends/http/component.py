"""The HTTP frontend as a component of an installation."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING

from pydantic import Field

from badgercart.app.component import ComponentDeclaration, ComponentHost, ComponentKind
from badgercart.app.model import Address, Table
from badgercart.core.metric_registry import MetricRegistry

if TYPE_CHECKING:
    from badgercart.frontends.http.frontend import HttpFrontend
    from badgercart.frontends.http.listener import Listener


class HttpSettings(Table):
    """a listener for HTTP/1.1 clients"""  # noqa: D403, D415

    listen: Address = Field(description="the host:port to listen on")


def register_metrics(registry: MetricRegistry, name: str, listener: Listener) -> None:
    """Offer the metrics of a listener."""
    registry.gauge(
        f"badgercart_{name}_connections",
        "Connections of clients.",
        lambda: len(listener.table.connections),
    )
    registry.counter(
        f"badgercart_{name}_turned_away",
        "Requests that could not be taken, by status.",
        lambda: {str(status): count for status, count in listener.rejected.items()},
        "status",
    )


class HttpComponent:
    """Clients by the platform's protocol, and operators' pages on the same listener."""

    def __init__(self, host: ComponentHost, settings: HttpSettings) -> None:
        """Set up a frontend that listens at the settings' address."""
        # Loaded only where the component is used.
        from badgercart.frontends.http.error_bodies import problem_document
        from badgercart.frontends.http.frontend import HttpFrontend

        self.frontend: HttpFrontend = HttpFrontend(
            replace(host.config, listen=settings.listen),
            host.pipeline,
            host.endpoint_table,
            host.loop,
            host.share,
            host.others,
            host.pages,
            problem_document,
        )
        register_metrics(host.metrics, "http", self.frontend.listener)

    async def start(self) -> None:
        """Listen."""
        self.frontend.start()

    def prepare(self, settings: HttpSettings) -> Callable[[], None] | None:
        """Return nothing to do: no setting here changes without a restart."""
        return None

    async def drain(self, until: float) -> None:
        """Accept what still comes and answer all requests, until then (ms) at most."""
        await self.frontend.drain(until)

    def close(self) -> None:
        """Stop listening."""
        self.frontend.close()


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
