"""The metrics listener, as a component of an installation."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

from pydantic import Field

from badgercart.app.component import ComponentDeclaration, ComponentHost, ComponentKind
from badgercart.app.model import Address, Table
from badgercart.core.piece_buffer import Body
from badgercart.frontends.http.requests import (
    BadRequestError,
    ClientRequest,
    OperatorPage,
    RequestHeaders,
    problem_document,
)
from badgercart.metrics.log_events import LISTENING

if TYPE_CHECKING:
    from badgercart.frontends.http.client_connection import ClientConnection

PATH = b"/metrics"
# Connections of scrapers; one more evicts the one that is idle for longest.
MAX_CONNECTIONS = 16


class MetricsSettings(Table, title="MetricsSettings"):
    """a listener that shows figures by Prometheus's text format, at /metrics"""  # noqa: D400

    listen: Address = Field(description="the host:port to listen on")


class MetricsComponent:
    """A listener for the metrics page alone.

    It closes with the last frontend, so that a drain can be watched.
    """

    def __init__(self, host: ComponentHost, settings: MetricsSettings) -> None:
        from badgercart.frontends.http.clients import Listener
        from badgercart.metrics.exposition import CONTENT_TYPE, MetricsPage, RequestMetrics

        config = host.config
        names = [name.decode() for name in config.classes]
        requests = RequestMetrics(names, config.settings.classes)
        self.page = MetricsPage(host.metrics, requests)
        host.pipeline.observers += (requests,)
        self.pages: Mapping[bytes, OperatorPage] = {
            PATH: OperatorPage(self.page.render, CONTENT_TYPE)
        }
        self.stopping = False
        self.healthy = True
        self.listener = Listener(
            host.loop, settings.listen, self, MAX_CONNECTIONS, self.read, problem_document
        )

    def read(self, method: bytes, url: bytes, headers: RequestHeaders, body: Body) -> ClientRequest:
        """Raise BadRequestError, since there is only the metrics page."""
        raise BadRequestError(404, f"figures are at {PATH.decode()}")

    def handle_request(self, client: ClientConnection, request: ClientRequest) -> None:
        """Raise AssertionError, since no request is read."""
        raise AssertionError

    def cancel_request(self, request_id: int) -> None:
        """Do nothing, since there is no request."""

    async def start(self) -> None:
        """Listen. Raises OSError if the address can't be bound."""
        self.listener.start()
        host, port = self.listener.address
        LISTENING(host=host, port=port)

    def prepare(self, settings: MetricsSettings) -> Callable[[], None] | None:
        """Return None: nothing here changes without a restart."""
        return None

    async def drain(self, deadline_ms: float) -> None:
        """Close connections after their next answer; the frontends are drained by now."""
        self.stopping = True

    def close(self) -> None:
        """Close the listener and its connections."""
        self.listener.close()


COMPONENTS = (
    ComponentDeclaration(
        name="metrics",
        key=("metrics",),
        kind=ComponentKind.SERVICE,
        settings=MetricsSettings,
        about="a listener that shows figures by Prometheus's text format, at /metrics",
        build=MetricsComponent,
        extra="operator",
        libraries=("prometheus_client",),
    ),
)
