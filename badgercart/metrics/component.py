"""The metrics listener as a part of an installation."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

from pydantic import Field

from badgercart.app.component import ComponentDeclaration, ComponentHost, ComponentKind
from badgercart.app.model import Address, Table
from badgercart.frontends.http.error_bodies import problem_document
from badgercart.frontends.http.errors import BadRequestError
from badgercart.frontends.http.headers import RequestHeaders
from badgercart.frontends.http.requests import ClientRequest, Page
from badgercart.metrics.log_events import LISTENING

if TYPE_CHECKING:
    from badgercart.frontends.http.client_connection import ClientConnection

PATH = b"/metrics"
MAX_CONNECTIONS = 16  # of those who scrape: one more makes the longest idle one go


class MetricsSettings(Table, title="MetricsSettings"):
    """a listener that shows figures by Prometheus's text format, at /metrics"""

    listen: Address = Field(description="the host:port to listen on")


class MetricsComponent:
    """Pages only: no request is taken here. It ends with the last front, so that a drain can be
    watched."""

    def __init__(self, host: ComponentHost, settings: MetricsSettings) -> None:
        from badgercart.frontends.http.listener import Listener
        from badgercart.metrics.figures import CONTENT_TYPE, Figures

        config = host.config
        names = [name.decode() for name in config.classes]
        self.figures = Figures(names, config.settings.classes, host.metrics)
        host.pipeline.in_flight.observers += (self.figures,)
        self.pages: Mapping[bytes, Page] = {PATH: Page(self.figures.page, CONTENT_TYPE)}
        self.stopping = False
        self.is_healthy = True
        self.listener = Listener(
            host.loop, settings.listen, self, MAX_CONNECTIONS, self.read, problem_document
        )

    def read(
        self, method: bytes, url: bytes, headers: RequestHeaders, body: bytes
    ) -> ClientRequest:
        raise BadRequestError(404, f"figures are at {PATH.decode()}")

    def accept(self, client: ClientConnection, request: ClientRequest) -> None:
        raise AssertionError("no request is taken here")

    def cancel(self, request_id: int) -> None:
        """There is none."""

    async def start(self) -> None:
        self.listener.start()
        host, port = self.listener.address
        LISTENING(host=host, port=port)

    def prepare(self, settings: MetricsSettings) -> Callable[[], None] | None:
        """Nothing here changes without a restart."""
        return None

    async def drain(self, until: float) -> None:
        """The fronts are drained by now; whoever scrapes comes again elsewhere."""
        self.stopping = True

    def close(self) -> None:
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
