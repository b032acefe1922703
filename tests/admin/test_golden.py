"""The complete response to each kind of admin request is unchanged (golden file)."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from badgercart.admin.handlers import NodeHandlers
from badgercart.admin.requests import AdminExchange
from badgercart.core.endpoint_table import DiscoveredEndpoint, DiscoveryUpdate, EndpointTable
from badgercart.core.request_pipeline import RequestPipeline
from badgercart.ejection.ejections import AdministrativeEjections
from badgercart.ejection.errors import EjectionError
from badgercart.policy.endpoint import Endpoint, EndpointState
from tests.admin.test_requests import CASES
from tests.golden import differences
from tests.manual_clock import ManualClock
from tests.net import config

GOLDEN = Path(__file__).parent / "golden"


def ejections(known: bool, listed: bool, failure: str = "") -> AdministrativeEjections:
    """Return ejections of a node; `failure` makes every change fail."""
    clockwork = ManualClock()
    pipeline = RequestPipeline(config(1).settings, 1, clockwork, clockwork.clock)
    endpoint_table = EndpointTable(UnusedReader(), pipeline)
    endpoint_table.has_update = listed
    node_ejections = AdministrativeEjections(
        endpoint_table, Path("/nowhere"), clockwork, 0.0, clockwork.clock
    )
    if known:
        entry = Endpoint(7, 0, 0, 0, EndpointState.READY, 1.0, 0.0)
        node_ejections.ledger.override(DiscoveredEndpoint(entry, ("127.0.0.1", 9), "s-1"))

    def change(name: str) -> None:
        if failure:
            raise EjectionError(failure)

    node_ejections.eject = node_ejections.reinstate = change  # type: ignore[method-assign]
    return node_ejections


class UnusedReader:
    """A list reader that must not be used."""

    def read(self, raw: Any, kind: Any = None) -> DiscoveryUpdate:
        """Fail, since these tests read no list."""
        raise ValueError


def response_to(call: bytes, node_ejections: AdministrativeEjections, reason: str = "") -> bytes:
    """Return the response to one admin request; `reason` says why the node is not ready."""
    response = AdminExchange(NodeHandlers(lambda: reason, node_ejections)).receive(call)
    assert response is not None
    return response


def admin_responses() -> dict[str, bytes]:
    """Return the responses to all requests of `CASES` and to those that fail, by their names."""
    responses = {
        f"{call[:60].decode('latin-1')!r}": response_to(call, ejections(known=True, listed=True))
        for call, _, _ in CASES
    }
    disable, enable = (
        b"POST /-/servers/s-1/%b HTTP/1.1\r\nHost: n\r\n\r\n" % action
        for action in (b"disable", b"enable")
    )
    ready = b"GET /-/ready HTTP/1.1\r\nHost: n\r\n\r\n"
    responses["not ready"] = response_to(
        ready, ejections(known=True, listed=True), "no server list has come yet"
    )
    responses["disable, never listed"] = response_to(disable, ejections(known=False, listed=True))
    responses["disable before a list"] = response_to(disable, ejections(known=False, listed=False))
    responses["disable, not kept"] = response_to(
        disable, ejections(known=True, listed=True, failure="it can't be kept: full")
    )
    responses["enable, not kept"] = response_to(
        enable, ejections(known=True, listed=True, failure="it can't be kept: full")
    )
    return responses


GROUPS: dict[str, Callable[[], dict[str, bytes]]] = {"calls": admin_responses}


@pytest.mark.parametrize("group", GROUPS)
def test_operators_get_the_same_bytes(group: str) -> None:
    """Compare the responses of a group with its golden file."""
    assert not differences(GOLDEN / f"{group}.txt", GROUPS[group]())
