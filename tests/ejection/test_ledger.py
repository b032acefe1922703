"""The set of bans under any order of calls, lists and states of another process."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from badgercart.core.endpoint_table import DiscoveredEndpoint
from badgercart.ejection import ledger as module
from badgercart.ejection.ledger import Freed, Ledger
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
def test_a_server_that_is_out_is_never_told_as_ready_and_one_that_is_back_is_cold(
    steps: list[tuple[str, str, EndpointState, float]],
) -> None:
    ledger, other, now, out = Ledger(OFFSET), Ledger(OFFSET), OFFSET, dict[str, float]()
    back: dict[str, float] = {}
    for act, name, state, started in steps:
        now += 100.0
        if act == "disable":
            out.setdefault(name, now)
            back.pop(name, None)
            ledger.adopt(ledger.disabled(name, now))
        elif act == "enable":
            if out.pop(name, None) is not None:
                back[name] = now
            ledger.adopt(ledger.enabled(name, now))
        elif act == "other":  # a successor takes all of it over, and goes on in its place
            other.adopt(ledger.state)
            for known in ledger.lines.values():
                other.amend(known)
            ledger, other = other, ledger
        else:
            told = ledger.amend(line(name, state, started)).entry
            assert ledger.known(name)
            assert told.state is (
                EndpointState.DRAINING if name in out and state is EndpointState.READY else state
            )
            if name in back and state is EndpointState.READY and started < 1e9:
                assert told.started_ms + OFFSET == back[name]
            elif state is EndpointState.READY and name not in out:
                assert told.started_ms == started
    assert ledger.state.bans == out


def test_a_start_that_the_list_tells_of_the_time_out_wins_over_the_call_back() -> None:
    ledger = Ledger(OFFSET)
    ledger.adopt(ledger.disabled("a", OFFSET + 1000))
    assert [m.name for m in ledger.adopt(ledger.enabled("a", OFFSET + 3000))] == []
    assert ledger.state.freed == {"a": Freed(OFFSET + 1000, OFFSET + 3000)}
    assert ledger.amend(line("a", started=500.0)).entry.started_ms == 3000.0
    assert ledger.amend(line("a", started=2000.0)).entry.started_ms == 2000.0


def test_names_have_a_bound_that_spares_what_is_out_or_listed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(module, "MAX_NAMES", 3)
    ledger = Ledger(OFFSET)
    for name in "abcde":
        ledger.amend(line(name))
        ledger.adopt(ledger.disabled("a", OFFSET))
        if name != "e":
            ledger.amend(
                replace(line(name), entry=replace(line(name).entry, state=EndpointState.GONE))
            )
    assert [*ledger.state.names] == ["a", "d", "e"]
