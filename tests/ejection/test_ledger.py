"""The ejection ledger under any order of requests, updates and states of another process."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from badgercart.core.endpoint_table import DiscoveredEndpoint
from badgercart.ejection import ledger as module
from badgercart.ejection.ledger import EjectionLedger, Reinstatement
from badgercart.policy.endpoint import Endpoint, EndpointState

OFFSET = 1_000_000.0  # ms from the node's clock to Unix time


def line(
    name: str, state: EndpointState = EndpointState.READY, started: float = 0.0
) -> DiscoveredEndpoint:
    return DiscoveredEndpoint(
        Endpoint(hash(name) & 0xFFFF, 0, 0, 0, state, 1.0, started), ("127.0.0.1", 1), name
    )


STEP = st.tuples(
    st.sampled_from(["disable", "enable", "line", "other"]),
    st.sampled_from("ab"),
    st.sampled_from(EndpointState),
    st.sampled_from([0.0, 50.0, 1e9]),
)


@given(st.lists(STEP, max_size=30))
def test_an_ejected_server_is_never_ready_and_a_reinstated_one_starts_slowly(
    steps: list[tuple[str, str, EndpointState, float]],
) -> None:
    ledger, other, now, out = (
        EjectionLedger(OFFSET),
        EjectionLedger(OFFSET),
        OFFSET,
        dict[str, float](),
    )
    back: dict[str, float] = {}
    for act, name, state, started in steps:
        now += 100.0
        if act == "disable":
            out.setdefault(name, now)
            back.pop(name, None)
            ledger.adopt(ledger.with_ejected(name, now))
        elif act == "enable":
            if out.pop(name, None) is not None:
                back[name] = now
            ledger.adopt(ledger.with_reinstated(name, now))
        elif act == "other":  # a successor takes all of it over, and goes on in its place
            other.adopt(ledger.state)
            for known in ledger.listed.values():
                other.override(known)
            ledger, other = other, ledger
        else:
            told = ledger.override(line(name, state, started)).entry
            assert ledger.is_known(name)
            assert told.state is (
                EndpointState.DRAINING if name in out and state is EndpointState.READY else state
            )
            if name in back and state is EndpointState.READY and started < 1e9:
                assert told.started_ms + OFFSET == back[name]
            elif state is EndpointState.READY and name not in out:
                assert told.started_ms == started
    assert ledger.state.ejected == out


def test_a_start_during_the_ejection_wins_over_the_reinstatement() -> None:
    ledger = EjectionLedger(OFFSET)
    ledger.adopt(ledger.with_ejected("a", OFFSET + 1000))
    assert [m.name for m in ledger.adopt(ledger.with_reinstated("a", OFFSET + 3000))] == []
    assert ledger.state.reinstated == {"a": Reinstatement(OFFSET + 1000, OFFSET + 3000)}
    assert ledger.override(line("a", started=500.0)).entry.started_ms == 3000.0
    assert ledger.override(line("a", started=2000.0)).entry.started_ms == 2000.0


def test_known_names_are_bounded_except_ejected_or_listed_ones(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(module, "MAX_NAMES", 3)
    ledger = EjectionLedger(OFFSET)
    for name in "abcde":
        ledger.override(line(name))
        ledger.adopt(ledger.with_ejected("a", OFFSET))
        if name != "e":
            ledger.override(
                replace(line(name), entry=replace(line(name).entry, state=EndpointState.GONE))
            )
    assert [*ledger.state.known_names] == ["a", "d", "e"]
