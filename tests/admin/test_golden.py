"""A call of each kind with the whole bytes of its answer, against a golden file."""

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


def ejections(known: bool, listed: bool, why: str = "") -> AdministrativeEjections:
    """What the calls change; `why` says why nothing can be."""
    clockwork = ManualClock()
    join = RequestPipeline(config(1).settings, 1, clockwork, clockwork.clock)
    roster = EndpointTable(Unread(), join)
    roster.has_update = listed
    made = AdministrativeEjections(roster, Path("/nowhere"), clockwork, 0.0, clockwork.clock)
    if known:
        line = Endpoint(7, 0, 0, 0, EndpointState.READY, 1.0, 0.0)
        made.ledger.override(DiscoveredEndpoint(line, ("127.0.0.1", 9), "s-1"))

    def change(name: str) -> None:
        if why:
            raise EjectionError(why)

    made.eject = made.reinstate = change  # type: ignore[method-assign]
    return made


class Unread:
    """Nothing is read of any list."""

    def read(self, raw: Any, kind: Any = None) -> DiscoveryUpdate:
        raise ValueError


def answer(call: bytes, made: AdministrativeEjections, unready: str = "") -> bytes:
    whole = AdminExchange(NodeHandlers(lambda: unready, made)).receive(call)
    assert whole is not None
    return whole


def calls() -> dict[str, bytes]:
    pieces = {
        f"{call[:60].decode('latin-1')!r}": answer(call, ejections(known=True, listed=True))
        for call, _, _ in CASES
    }
    disable, enable = (
        b"POST /-/servers/s-1/%b HTTP/1.1\r\nHost: n\r\n\r\n" % way
        for way in (b"disable", b"enable")
    )
    ready = b"GET /-/ready HTTP/1.1\r\nHost: n\r\n\r\n"
    pieces["not ready"] = answer(
        ready, ejections(known=True, listed=True), "no server list has come yet"
    )
    pieces["disable, never listed"] = answer(disable, ejections(known=False, listed=True))
    pieces["disable before a list"] = answer(disable, ejections(known=False, listed=False))
    pieces["disable, not kept"] = answer(
        disable, ejections(known=True, listed=True, why="it can't be kept: full")
    )
    pieces["enable, not kept"] = answer(
        enable, ejections(known=True, listed=True, why="it can't be kept: full")
    )
    return pieces


GROUPS: dict[str, Callable[[], dict[str, bytes]]] = {"calls": calls}


@pytest.mark.parametrize("group", GROUPS)
def test_operators_get_the_same_bytes(group: str) -> None:
    assert not differences(GOLDEN / f"{group}.txt", GROUPS[group]())
