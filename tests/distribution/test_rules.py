"""Each rule of Raft is necessary: a scenario or random steps fail without it."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from badgercart.distribution.errors import JournalError
from badgercart.distribution.replica import Replica
from tests.distribution import scenarios
from tests.distribution.mutants import MUTATIONS, draw_steps, mutant
from tests.distribution.simulation import MemoryDisk
from tests.distribution.test_properties import SMALL_LIMITS, run_steps


@pytest.mark.parametrize(
    "scenario", scenarios.SCENARIOS, ids=lambda scenario: str(scenario.__name__)
)
def test_the_shortest_scenarios_hold(scenario: Callable[[], None]) -> None:
    scenario()


SCENARIO_BY_RULE: dict[str, Callable[[type[Replica]], None]] = {
    "changes of older terms are not committed by counting": scenarios.figure_8,
    "a vote is persisted": scenarios.restart_after_vote,
    "one vote a term": scenarios.concurrent_candidates,
    "the tail is replaced only where it differs": scenarios.shorter_append_after_commit,
    "a leader of an earlier term is not followed": scenarios.append_of_earlier_term,
    "changes behind a snapshot stay": scenarios.snapshot_before_log_tail,
}
# A seed whose random steps fail without the rule, and the number of voters.
RANDOM_STEPS = {
    "a vote only for a log that is up to date": (3, 5),
    "a majority of votes": (1, 3),
    "a majority has a change on disk": (1, 3),
    "a change is persisted before it is acknowledged": (0, 3),
    "only changes verified to be the leader's are committed": (1, 3),
    "a new term discards what an earlier leader had sent": (5, 5),
    "the age is counted from the previous response": (5, 5),
    "a leader's age is counted from its lease": (1, 3),
    "a new leader has no age before its first change is committed": (8, 3),
}


def test_each_rule_has_a_scenario_or_random_steps() -> None:
    assert sorted([*SCENARIO_BY_RULE, *RANDOM_STEPS]) == sorted(MUTATIONS)


@pytest.mark.parametrize("rule", SCENARIO_BY_RULE)
def test_a_scenario_fails_without_its_rule(rule: str) -> None:
    with pytest.raises(AssertionError):
        SCENARIO_BY_RULE[rule](mutant(rule))


@pytest.mark.parametrize("rule", RANDOM_STEPS)
def test_random_steps_fail_without_their_rule(rule: str) -> None:
    seed, voters = RANDOM_STEPS[rule]
    run_steps(voters, 0, SMALL_LIMITS, seed, draw_steps(seed))
    with pytest.raises((AssertionError, JournalError)):
        run_steps(voters, 0, SMALL_LIMITS, seed, draw_steps(seed), mutant(rule))


class LossyDisk(MemoryDisk):
    """A disk that loses its last record in a crash."""

    def recover(self) -> object:  # type: ignore[override]
        del self.persisted[-1:]
        return super().recover()


def test_a_disk_that_loses_persisted_records_is_detected() -> None:
    failed = 0
    for seed in range(6):
        try:
            run_steps(3, 0, None, seed, draw_steps(seed), disk_class=LossyDisk)
        except (AssertionError, JournalError):
            failed += 1
    assert failed
