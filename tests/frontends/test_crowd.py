"""Who makes room in a crowd: generated ones, among whom true clients write slowly."""

from __future__ import annotations

from dataclasses import dataclass, field

from hypothesis import given
from hypothesis import strategies as st

from badgercart.frontends.http.connection import ConnectionState
from badgercart.frontends.http.connection_eviction import (
    EVICTION_ORDER,
    GREETING_S,
    STALL_S,
    connection_to_evict,
)

NOW = 100.0


@dataclass(eq=False)
class One:
    state: ConnectionState
    silent: float  # s
    spared: bool = False
    waits: dict[ConnectionState, list[One]] = field(default_factory=dict)


def asked(crowd: list[One]) -> One | None:
    waits = {state: [one for one in crowd if one.state is state] for state in ConnectionState}
    return connection_to_evict(waits, lambda one: NOW - one.silent, lambda one: one.spared, NOW)


ONE = st.builds(One, st.sampled_from(ConnectionState), st.floats(0, 20), st.booleans())


@given(st.lists(ONE, max_size=40))
def test_nobody_at_work_or_just_heard_makes_room_and_somebody_does_if_anybody_may(
    crowd: list[One],
) -> None:
    found = asked(crowd)
    least = {
        state: min(s for at, s in EVICTION_ORDER if at is state) for state, _ in EVICTION_ORDER
    }
    may = [
        one
        for one in crowd
        if one.state in least and not one.spared and one.silent >= least[one.state]
    ]
    assert (found is None) == (not may)
    if found is not None:
        assert found in may


@given(
    st.lists(st.floats(0.0, STALL_S * 0.9), min_size=1, max_size=20),
    st.lists(st.floats(STALL_S * 1.1, 3.0), min_size=1, max_size=20),
    st.lists(st.floats(GREETING_S * 1.1, 3.0), max_size=20),
)
def test_a_client_that_goes_on_writing_outlasts_all_that_only_hold_their_place(
    writing: list[float], stopped: list[float], mute: list[float]
) -> None:
    crowd = [One(ConnectionState.RECEIVING, silent) for silent in writing + stopped]
    crowd += [One(ConnectionState.NEW, silent) for silent in mute]
    for _ in range(len(stopped) + len(mute)):
        found = asked(crowd)
        assert found is not None and (found.state is ConnectionState.NEW or found.silent > STALL_S)
        if found.state is ConnectionState.RECEIVING:
            assert (
                found.silent
                >= max(one.silent for one in crowd if one.state is ConnectionState.RECEIVING) - 1e-6
            )
        crowd.remove(found)
    assert asked(crowd) is None


def test_of_those_that_are_as_long_silent_the_first_makes_room() -> None:
    crowd = [One(ConnectionState.IDLE, 1.0) for _ in range(5)]
    assert asked(crowd) is crowd[0]
