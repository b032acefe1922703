"""The HTTP frontend, as a component of an installation."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING

from pydantic import Field

from badgercart.app.component import ComponentDeclaration, ComponentHost, ComponentKind
from badgercart.app.model import Address, Table
from badgercart.core.metric_registry import MetricRegistry

if TYPE_CHECKING:
    from badgercart.core.memory_watch import MemoryWatch
    from badgercart.frontends.http.clients import Listener
    from badgercart.frontends.http.frontend import HttpFrontend


class HttpSettings(Table, title="HttpSettings"):
    """a listener for HTTP/1.1 clients"""  # noqa: D400

    listen: Address = Field(description="the host:port to listen on")


def register_listener_metrics(registry: MetricRegistry, name: str, listener: Listener) -> None:
    """Register the metrics of a listener for clients; `name` is a part of their names."""
    registry.gauge(
        f"badgercart_{name}_connections",
        "Connections of clients.",
        lambda: len(listener.connections),
    )
    registry.counter(
        f"badgercart_{name}_turned_away",
        "Requests that could not be taken, by status.",
        lambda: {str(status): count for status, count in listener.rejected_requests.items()},
        "status",
    )
    registry.counter(
        f"badgercart_{name}_closed",
        "Connections that the node closed and their clients would have kept, by reason.",
        lambda: {str(reason): count for reason, count in listener.closed_connections.items()},
        "reason",
    )


def register_memory_metrics(registry: MetricRegistry, watch: MemoryWatch) -> None:
    """Register what the process uses of its memory, and what messages hold of it."""
    registry.gauge(
        "badgercart_memory_resident_bytes",
        "Memory of the process, as of the last second.",
        lambda: watch.resident_bytes,
    )
    registry.gauge(
        "badgercart_memory_buffered_bytes",
        "Bytes of messages that are buffered.",
        lambda: watch.budget.buffered_bytes,
    )
    registry.gauge(
        "badgercart_memory_streams",
        "Messages that are being streamed.",
        lambda: watch.budget.stream_count,
    )


class HttpComponent:
    """A listener for clients of the platform's protocol; it also serves operators' pages."""

    def __init__(self, host: ComponentHost, settings: HttpSettings) -> None:
        from badgercart.frontends.http.frontend import HttpFrontend
        from badgercart.frontends.http.requests import problem_document

        config = replace(host.config, listen=settings.listen)
        self.frontend: HttpFrontend = HttpFrontend(
            config,
            host.pipeline,
            host.endpoint_table,
            host.loop,
            host.descriptor_share,
            host.components_without_sockets,
            host.pages,
            problem_document,
        )
        register_listener_metrics(host.metrics, "http", self.frontend.listener)
        register_memory_metrics(host.metrics, self.frontend.memory_watch)

    async def start(self) -> None:
        """Listen. Raises OSError if the address can't be used."""
        self.frontend.start()

    def prepare(self, settings: HttpSettings) -> Callable[[], None] | None:
        """Return None: nothing here changes without a restart."""
        return None

    async def drain(self, deadline_ms: float) -> None:
        """Answer all requests; ends at `deadline_ms` at the latest."""
        await self.frontend.drain(deadline_ms)

    def close(self) -> None:
        """Close the listener."""
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
