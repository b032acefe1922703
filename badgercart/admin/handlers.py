"""What operators' requests do to this node."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus

from badgercart.admin.requests import AdminResponse
from badgercart.ejection.ejections import AdministrativeEjections
from badgercart.ejection.errors import EjectionError


class NodeHandlers:
    """Carries out operators' requests at this node."""

    def __init__(
        self, why_not_ready: Callable[[], str], ejections: AdministrativeEjections
    ) -> None:
        """Serve a node.

        Args:
            why_not_ready: says why the node can't serve yet; empty where it can.
            ejections: the node's.
        """
        self._why_not_ready = why_not_ready
        self._ejections = ejections

    def ready(self) -> AdminResponse:
        """Tell whether the node can serve."""
        reason = self._why_not_ready()
        if reason:
            return AdminResponse(HTTPStatus.SERVICE_UNAVAILABLE, reason)
        return AdminResponse(HTTPStatus.OK, "ready")

    def disable(self, name: str) -> AdminResponse:
        """Take a server out of use."""
        return self._change(name, "is out: nothing new goes to it", self._ejections.eject)

    def enable(self, name: str) -> AdminResponse:
        """Put a server back into use."""
        return self._change(name, "is in use", self._ejections.reinstate)

    def _change(self, name: str, done: str, change: Callable[[str], None]) -> AdminResponse:
        if not self._ejections.ledger.is_known(name):
            return self._unknown(name)
        try:
            change(name)
        except EjectionError as error:
            line = f"nothing was changed: {error.detail}"
            return AdminResponse(HTTPStatus.INTERNAL_SERVER_ERROR, line)
        return AdminResponse(HTTPStatus.OK, f"{name} {done}")

    def _unknown(self, name: str) -> AdminResponse:
        if not self._ejections.endpoint_table.has_update:
            return AdminResponse(HTTPStatus.SERVICE_UNAVAILABLE, "no server list has come yet")
        return AdminResponse(HTTPStatus.NOT_FOUND, f"no server {name} was ever listed")
