"""Soaks of one real node: clients on open connections, signals, crowds, and a machine with faults."""

from __future__ import annotations

import pytest

from lab.trial.shims import MachineFaults
from lab.trial.soak import draw_plan, play_soak
from tests.net import run

# With and without a crowd, one that comes again too; each kind of signals and faults at least once.
SEEDS = (1, 2, 3, 5, 8, 9, 21)


@pytest.mark.parametrize("seed", SEEDS)
def test_no_rule_breaks_in_a_soak(seed: int) -> None:
    async def test() -> None:
        result = await play_soak(seed)
        assert not result.violations, result

    run(test())


def test_a_seed_draws_the_same_soak_each_time() -> None:
    assert draw_plan(7) == draw_plan(7)
    plans = [draw_plan(seed) for seed in range(50)]
    assert any(plan.crowd for plan in plans) and not all(plan.crowd for plan in plans)
    assert {plan.faults.clock_ahead_s for plan in plans} >= {0.0, 3600.0, -3600.0}


def test_faults_pass_through_the_environment() -> None:
    faults = MachineFaults(3, clock_step_s=-5.0)
    (text,) = faults.variables().values()
    assert '"clock_step_s": -5.0' in text
