"""Each rule of Raft: what it is there for holds, and fails without the rule."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from badgercart.distribution.errors import JournalError
from badgercart.distribution.replica import Replica
from tests.distribution import scenarios
from tests.distribution.mutants import MUTATIONS, draw, mutant
from tests.distribution.simulation import MemoryDisk
from tests.distribution.test_properties import SMALL, play


@pytest.mark.parametrize("order", scenarios.SCENARIOS, ids=lambda order: str(order.__name__))
def test_the_shortest_scenarios_hold(order: Callable[[], None]) -> None:
    order()


SHORTEST: dict[str, Callable[[type[Replica]], None]] = {
    "changes of older terms are not committed by counting": scenarios.figure_8,
    "a vote is persisted": scenarios.vote_forgotten,
    "one vote a term": scenarios.two_ask_at_once,
    "the tail is replaced only where it differs": scenarios.tail_shortened,
    "a leader of an earlier term is not followed": scenarios.earlier_term,
    "changes behind a snapshot stay": scenarios.tail_behind_state,
}
DRAWN = {  # seeds of plays that find it, with as many voters
    "a vote only for a log that holds ours": (3, 5),
    "a majority of votes": (1, 3),
    "a majority has a change on disk": (1, 3),
    "a change is persisted before it is acknowledged": (0, 3),
    "only changes verified to be the leader's are committed": (1, 3),
    "a new term forgets what an earlier leader had sent": (5, 5),
    "the age dates from the response before": (5, 5),
    "a leader's age dates from its lease": (1, 3),
    "a new leader knows no age before its first change is committed": (8, 3),
}


def test_each_rule_has_a_scenario_or_a_play() -> None:
    assert sorted([*SHORTEST, *DRAWN]) == sorted(MUTATIONS)


@pytest.mark.parametrize("rule", SHORTEST)
def test_a_scenario_fails_without_its_rule(rule: str) -> None:
    with pytest.raises(AssertionError):
        SHORTEST[rule](mutant(rule))


@pytest.mark.parametrize("rule", DRAWN)
def test_a_drawn_play_fails_without_its_rule(rule: str) -> None:
    seed, voters = DRAWN[rule]
    play(voters, 0, SMALL, seed, draw(seed))
    with pytest.raises((AssertionError, JournalError)):
        play(voters, 0, SMALL, seed, draw(seed), mutant(rule))


class Forgetful(MemoryDisk):
    """Claims to have persisted what a crash takes from it."""

    def recover(self) -> object:  # type: ignore[override]
        del self.persisted[-1:]
        return super().recover()


def test_a_disk_that_loses_what_was_persisted_is_noticed() -> None:
    failed = 0
    for seed in range(6):
        try:
            play(3, 0, None, seed, draw(seed), disk_class=Forgetful)
        except (AssertionError, JournalError):
            failed += 1
    assert failed
