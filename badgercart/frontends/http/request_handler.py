"""What a listener requires of whoever serves its requests."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING, Protocol

from badgercart.frontends.http.requests import ClientRequest, OperatorPage

if TYPE_CHECKING:
    from badgercart.frontends.http.client_connection import ClientConnection


class RequestHandler(Protocol):
    """Serves the requests of a listener."""

    stopping: bool
    pages: Mapping[bytes, OperatorPage]

    @property
    def healthy(self) -> bool:
        """Whether requests can be served."""

    def handle_request(self, client: ClientConnection, request: ClientRequest) -> None:
        """Serve a request. Sets the connection's `request_id`, unless it responds immediately."""

    def cancel_request(self, request_id: int) -> None:
        """Handle that a request's client has left."""


class StreamingRequestHandler(RequestHandler, Protocol):
    """A handler that accepts requests before their bodies are complete."""

    def request_completed(self, client: ClientConnection, request: ClientRequest) -> None:
        """Handle that the body of a request has been received completely."""
