"""Random kills, freezes, cuts and losses among real nodes break no rule, and leave one view behind."""

from __future__ import annotations

import asyncio
import os
import random
from pathlib import Path

import pytest

from lab.trial.checkers import broken
from lab.trial.script import TrialFile, play
from lab.trial.world import World

RUNS = 10 if (wanted := os.environ.get("BADGERCART_RUNS")) is None else int(wanted)
KINDS = (
    "slow",
    "silent",
    "errors",
    "restart",
    "partition",
    "loss",
    "kill",
    "freeze",
    "split",
    "one_way",
    "list_cut",
)


def drawn(seed: int) -> TrialFile:
    """A trial of three nodes with three troubles, that are over when it is."""
    rng = random.Random(seed)
    names = ["n0", "n1", "n2"]
    troubles, down = [], False
    for kind in rng.sample(KINDS, 3):
        if kind in ("kill", "freeze"):
            kind, down = ("list_cut", down) if down else (kind, True)  # clients need two that run
        nodes = rng.sample(names, 2 if kind == "one_way" else 1)
        told = {
            "kind": kind, "at_s": round(rng.uniform(0.2, 2.0), 2), "for_s": round(rng.uniform(0.5, 2.0), 2),
            "share": 0.34, "chance": 0.4, "size": 3.0, "zone": "a", "nodes": nodes,
        }  # fmt: skip
        troubles.append(told)
    trial = {"name": f"random {seed}", "seconds": 4.5, "per_s": 50.0, "seed": seed}
    return TrialFile.model_validate({"trial": trial, "trouble": troubles})


@pytest.mark.parametrize("seed", range(RUNS))
def test_no_rule_breaks_and_the_nodes_agree_in_the_end(seed: int, tmp_path: Path) -> None:
    file = drawn(seed)

    async def run() -> World:
        world = await World(file.trial.shape(), tmp_path).start()
        try:
            await play(file, world)
            world.switch.heal()
            last = {name: node.last("peers.level") for name, node in world.nodes.items()}
            late = [name for name, told in last.items() if told["standing"] != "whole"]
            await world.level("whole", late, world.marks())
        finally:
            codes = await world.stop()
        assert set(codes.values()) <= {0}, codes
        return world

    world = asyncio.run(run())
    assert broken(world) == [], file
    wrong = ("library.message", "policy.failed")
    faults = [e for node in world.nodes.values() for e in node.events if e["event"] in wrong]
    assert not faults, faults[:2]
    assert sum(a.result.outcome == "served" for a in world.asked) > len(world.asked) / 2
