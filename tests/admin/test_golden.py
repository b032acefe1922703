"""A call of each kind with the whole bytes of its answer, against a golden file."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from badgercart.admin.handlers import NodeDesk
from badgercart.admin.requests import Call
from badgercart.core.endpoint_table import DiscoveredEndpoint, DiscoveryUpdate, EndpointTable
from badgercart.core.request_pipeline import RequestPipeline
from badgercart.ejection.ejections import Bans
from badgercart.policy.endpoint import Endpoint, EndpointState
from tests.admin.test_calls import CASES
from tests.clockwork import Clockwork
from tests.golden import differences
from tests.net import config

GOLDEN = Path(__file__).parent / "golden"


def bans(known: bool, listed: bool, why: str = "") -> Bans:
    """What the calls change; `why` says why nothing can be."""
    clockwork = Clockwork()
    join = RequestPipeline(config(1).settings, 1, clockwork, clockwork.clock)
    roster = EndpointTable(Unread(), join)
    roster.has_update = listed
    made = Bans(roster, Path("/nowhere"), clockwork, 0.0, clockwork.clock)
    if known:
        line = Endpoint(7, 0, 0, 0, EndpointState.READY, 1.0, 0.0)
        made.ledger.amend(DiscoveredEndpoint(line, ("127.0.0.1", 9), "s-1"))
    made.disable = made.enable = lambda name: why  # type: ignore[method-assign]
    return made


class Unread:
    """Nothing is read of any list."""

    def read(self, raw: Any, kind: Any = None) -> DiscoveryUpdate:
        raise ValueError


def answer(call: bytes, made: Bans, unready: str = "") -> bytes:
    whole = Call(NodeDesk(lambda: unready, made)).received(call)
    assert whole is not None
    return whole


def calls() -> dict[str, bytes]:
    pieces = {
        f"{call[:60].decode('latin-1')!r}": answer(call, bans(known=True, listed=True))
        for call, _, _ in CASES
    }
    disable, enable = (
        b"POST /-/servers/s-1/%b HTTP/1.1\r\nHost: n\r\n\r\n" % way
        for way in (b"disable", b"enable")
    )
    ready = b"GET /-/ready HTTP/1.1\r\nHost: n\r\n\r\n"
    pieces["not ready"] = answer(
        ready, bans(known=True, listed=True), "no server list has come yet"
    )
    pieces["disable, never listed"] = answer(disable, bans(known=False, listed=True))
    pieces["disable before a list"] = answer(disable, bans(known=False, listed=False))
    pieces["disable, not kept"] = answer(
        disable, bans(known=True, listed=True, why="it can't be kept: full")
    )
    pieces["enable, not kept"] = answer(
        enable, bans(known=True, listed=True, why="it can't be kept: full")
    )
    return pieces


GROUPS: dict[str, Callable[[], dict[str, bytes]]] = {"calls": calls}


@pytest.mark.parametrize("group", GROUPS)
def test_operators_get_the_same_bytes(group: str) -> None:
    assert not differences(GOLDEN / f"{group}.txt", GROUPS[group]())
