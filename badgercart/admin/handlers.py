"""Executes admin requests at this node."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus

from badgercart.admin.requests import AdminResponse
from badgercart.ejection.ejections import AdministrativeEjections
from badgercart.ejection.errors import EjectionError


class NodeHandlers:
    """Implements the admin requests for one node."""

    def __init__(
        self, why_not_ready: Callable[[], str], ejections: AdministrativeEjections
    ) -> None:
        """Create the handlers of a node.

        Args:
            why_not_ready: returns why the node can't serve yet; empty if it can.
            ejections: the node's administrative ejections.
        """
        self._why_not_ready = why_not_ready
        self._ejections = ejections

    def ready(self) -> AdminResponse:
        """Respond whether the node can serve."""
        reason = self._why_not_ready()
        if reason:
            return AdminResponse(HTTPStatus.SERVICE_UNAVAILABLE, reason)
        return AdminResponse(HTTPStatus.OK, "ready")

    def disable(self, name: str) -> AdminResponse:
        """Eject a server."""
        return self._change(name, "is out: nothing new goes to it", self._ejections.eject)

    def enable(self, name: str) -> AdminResponse:
        """Reinstate a server."""
        return self._change(name, "is in use", self._ejections.reinstate)

    def _change(self, name: str, result: str, change: Callable[[str], None]) -> AdminResponse:
        if not self._ejections.ledger.is_known(name):
            return self._unknown(name)
        try:
            change(name)
        except EjectionError as error:
            line = f"nothing was changed: {error.detail}"
            return AdminResponse(HTTPStatus.INTERNAL_SERVER_ERROR, line)
        return AdminResponse(HTTPStatus.OK, f"{name} {result}")

    def _unknown(self, name: str) -> AdminResponse:
        if not self._ejections.endpoint_table.has_update:
            return AdminResponse(HTTPStatus.SERVICE_UNAVAILABLE, "no server list has come yet")
        return AdminResponse(HTTPStatus.NOT_FOUND, f"no server {name} was ever listed")
