"""Tests the bytes that the processor writes to proxies and operators against golden files.

A route contains a map, whose entries Protocol Buffers serialize in any order, so its message is
compared in the library's deterministic form. Other replies are compared as bytes.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from pathlib import Path

import pytest
from envoy.service.ext_proc.v3 import external_processor_pb2 as ext_proc

from badgercart.frontends.processor.machine import ImmediateReply, PassReply, RouteReply, SkipReply
from badgercart.frontends.processor.messages import serialize_reply
from badgercart.frontends.processor.old_answers import OldAnswerTracker, Standing
from badgercart.frontends.processor.settings import OldAnswers
from tests.golden import differences

GOLDEN = Path(__file__).parent / "golden"


def routes() -> dict[str, bytes]:
    """Return routes with one endpoint and with several."""
    pieces = {}
    for endpoints in (("10.0.0.1:80",), ("10.0.0.1:80", "10.0.0.2:80", "[::1]:9")):
        for max_age_ms, timeout_ms in ((500.0, 1200.9), (0.0, 70_000.0)):
            data = serialize_reply(RouteReply(endpoints, max_age_ms, timeout_ms), False)
            message = ext_proc.ProcessingResponse.FromString(data)
            pieces[f"{len(endpoints)}, {max_age_ms}, {timeout_ms}"] = message.SerializeToString(
                deterministic=True
            )
    return pieces


def replies() -> dict[str, bytes]:
    """Return all other kinds of replies."""
    pieces = {}
    for whole in (False, True):
        for wait in (0.0, 0.4, 250.4, 1000.0, 1000.1):
            pieces[f"refused, {wait}, {whole}"] = serialize_reply(
                ImmediateReply(503, wait, "refused: not run"), whole
            )
    pieces["405"] = serialize_reply(ImmediateReply(405, 0.0, "the class wants GET", b"GET"), False)
    pieces["no words"] = serialize_reply(ImmediateReply(500), False)
    pieces["let through"] = serialize_reply(PassReply(), False)
    pieces["let through as another"] = serialize_reply(PassReply(502), False)
    for kind in ("request_body", "response_body", "request_trailers", "response_trailers"):
        pieces[f"skip {kind}"] = serialize_reply(SkipReply(kind), False)
    return pieces


def rows() -> dict[str, bytes]:
    """Return rows of the operators' page, with a different value for each count."""
    tracker = OldAnswerTracker(
        OldAnswers(window_ms=1000.0, no_fallbacks_after=3, refuse_after=5, refuse_for_ms=200.0)
    )
    proxy = tracker.find_or_add("north")
    proxy.answered, proxy.unseen, proxy.first, proxy.fallback, proxy.lost = 1, 2, 3, 4, 5
    proxy.old, proxy.drained, proxy.refused = 6, 7, 8
    standings = {"good": Standing.GOOD, "none": Standing.NO_FALLBACKS, "refused": Standing.REFUSED}
    return {name: json.dumps(proxy.row(standing)).encode() for name, standing in standings.items()}


GROUPS: dict[str, Callable[[], dict[str, bytes]]] = {
    "routes": routes,
    "replies": replies,
    "rows": rows,
}


@pytest.mark.parametrize("group", GROUPS)
def test_proxies_and_operators_get_the_same_bytes(group: str) -> None:
    assert not differences(GOLDEN / f"{group}.txt", GROUPS[group]())
