"""Who makes room in a crowd: generated ones, among whom true clients write slowly."""

from __future__ import annotations

from dataclasses import dataclass, field

from hypothesis import given
from hypothesis import strategies as st

from badgercart.frontends.http.connection import State
from badgercart.frontends.http.connection_eviction import GREETING, HASTE, ORDER, makes_room

NOW = 100.0


@dataclass(eq=False)
class One:
    state: State
    silent: float  # s
    spared: bool = False
    waits: dict[State, list[One]] = field(default_factory=dict)


def asked(crowd: list[One]) -> One | None:
    waits = {state: [one for one in crowd if one.state is state] for state in State}
    return makes_room(waits, lambda one: NOW - one.silent, lambda one: one.spared, NOW)


ONE = st.builds(One, st.sampled_from(State), st.floats(0, 20), st.booleans())


@given(st.lists(ONE, max_size=40))
def test_nobody_at_work_or_just_heard_makes_room_and_somebody_does_if_anybody_may(
    crowd: list[One],
) -> None:
    found = asked(crowd)
    least = {state: min(s for at, s in ORDER if at is state) for state, _ in ORDER}
    may = [
        one
        for one in crowd
        if one.state in least and not one.spared and one.silent >= least[one.state]
    ]
    assert (found is None) == (not may)
    if found is not None:
        assert found in may


@given(
    st.lists(st.floats(0.0, HASTE * 0.9), min_size=1, max_size=20),
    st.lists(st.floats(HASTE * 1.1, 3.0), min_size=1, max_size=20),
    st.lists(st.floats(GREETING * 1.1, 3.0), max_size=20),
)
def test_a_client_that_goes_on_writing_outlasts_all_that_only_hold_their_place(
    writing: list[float], stopped: list[float], mute: list[float]
) -> None:
    crowd = [One(State.ARRIVING, silent) for silent in writing + stopped]
    crowd += [One(State.SILENT, silent) for silent in mute]
    for _ in range(len(stopped) + len(mute)):
        found = asked(crowd)
        assert found is not None and (found.state is State.SILENT or found.silent > HASTE)
        if found.state is State.ARRIVING:
            assert (
                found.silent
                >= max(one.silent for one in crowd if one.state is State.ARRIVING) - 1e-6
            )
        crowd.remove(found)
    assert asked(crowd) is None


def test_of_those_that_are_as_long_silent_the_first_makes_room() -> None:
    crowd = [One(State.IDLE, 1.0) for _ in range(5)]
    assert asked(crowd) is crowd[0]
