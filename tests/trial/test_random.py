"""Random kills, freezes, cuts and losses among real nodes break no rule, and leave one view
behind."""

from __future__ import annotations

import os
import random
from pathlib import Path

import pytest

from lab.trial.processes import NodeProcess
from lab.trial.script import TrialFile, play
from lab.trial.world import World
from tests.trial.support import trial

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


ZONES = ("zone_loss", "zone_slow", "zone_flap", "zone_way", "region_cut", "partition")


def drawn(seed: int, plan: str = "") -> TrialFile:
    """A trial of three nodes with three troubles, that are over when it is."""
    rng = random.Random(seed)
    names = ["n0", "n1", "n2"]
    troubles, down = [], False
    kinds = [*rng.sample(ZONES, 2), rng.choice(KINDS)] if plan else rng.sample(KINDS, 3)
    for kind in kinds:
        if kind in ("kill", "freeze"):
            kind, down = ("list_cut", down) if down else (kind, True)  # clients need two that run
        nodes = rng.sample(names, 2 if kind == "one_way" else 1)
        told = {
            "kind": kind, "at_s": round(rng.uniform(0.2, 2.0), 2), "for_s": round(rng.uniform(0.5, 2.0), 2),
            "share": 0.34, "chance": 0.4, "size": 0.4 if kind == "zone_flap" else 3.0, "nodes": nodes,
            "zone": "a", "to": "b", "zones": ["b", "c"],
        }  # fmt: skip
        troubles.append(told)
    trial = {"name": f"random {seed}", "seconds": 4.5, "per_s": 50.0, "seed": seed, "plan": plan}
    return TrialFile.model_validate({"trial": trial, "trouble": troubles})


@pytest.mark.parametrize("seed", range(RUNS))
def test_no_rule_breaks_and_the_nodes_agree_in_the_end(seed: int, tmp_path: Path) -> None:
    play_and_check(drawn(seed), tmp_path)


@pytest.mark.parametrize("seed", range(RUNS))
def test_no_two_plans_and_no_rule_broken_while_zones_fail(seed: int, tmp_path: Path) -> None:
    world = play_and_check(drawn(seed, "majority"), tmp_path)
    for node in world.nodes.values():
        assert node.last_event("zones.plan")["life"] == node.lives


def play_and_check(file: TrialFile, tmp_path: Path) -> World:
    async def script(world: World) -> None:
        await play(file, world)
        world.switch.heal()
        last = {name: node.last_event("peers.level") for name, node in world.nodes.items()}
        late = [name for name, told in last.items() if told["standing"] != "whole"]
        mark = world.event_counts()
        await world.wait_for_level("whole", late, mark)
        if file.trial.plan:  # those that have none have one again
            bare = [n for n, node in world.nodes.items() if not goes_by_one(node)]
            await world.wait_for_plan(bare, mark)

    world = trial(tmp_path, file.trial.shape(), script)
    assert (
        sum(a.result.outcome == "served" for a in world.sent_requests)
        > len(world.sent_requests) / 2
    )
    return world


def goes_by_one(node: NodeProcess) -> bool:
    """Whether a node has a plan, by the last that it said."""
    said = [
        e
        for e in node.events
        if e["event"] in ("zones.plan", "zones.lapsed") and e["life"] == node.lives
    ]
    return bool(said) and said[-1]["event"] == "zones.plan"
