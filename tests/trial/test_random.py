"""Random faults among real nodes break no rule and leave all nodes with the same view."""

from __future__ import annotations

import os
import random
from pathlib import Path

import pytest

from lab.trial.processes import NodeProcess
from lab.trial.script import TrialFile, play
from lab.trial.world import World
from tests.trial.support import run_trial

RUNS = 10 if (run_count := os.environ.get("BADGERCART_RUNS")) is None else int(run_count)
FAULT_KINDS = (
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


ZONE_FAULT_KINDS = ("zone_loss", "zone_slow", "zone_flap", "zone_way", "region_cut", "partition")


def random_trial(seed: int, plan: str = "") -> TrialFile:
    """Return a trial of three nodes with three random faults that end within it."""
    rng = random.Random(seed)
    names = ["n0", "n1", "n2"]
    faults, down = [], False
    kinds = (
        [*rng.sample(ZONE_FAULT_KINDS, 2), rng.choice(FAULT_KINDS)]
        if plan
        else rng.sample(FAULT_KINDS, 3)
    )
    for kind in kinds:
        if kind in ("kill", "freeze"):
            # Clients need two running nodes, so only one may be down.
            kind, down = ("list_cut", down) if down else (kind, True)
        nodes = rng.sample(names, 2 if kind == "one_way" else 1)
        fault = {
            "kind": kind, "at_s": round(rng.uniform(0.2, 2.0), 2), "for_s": round(rng.uniform(0.5, 2.0), 2),
            "share": 0.34, "chance": 0.4, "size": 0.4 if kind == "zone_flap" else 3.0, "nodes": nodes,
            "zone": "a", "to": "b", "zones": ["b", "c"],
        }  # fmt: skip
        faults.append(fault)
    trial = {"name": f"random {seed}", "seconds": 4.5, "per_s": 50.0, "seed": seed, "plan": plan}
    return TrialFile.model_validate({"trial": trial, "trouble": faults})


@pytest.mark.parametrize("seed", range(RUNS))
def test_no_rule_breaks_and_the_nodes_agree_in_the_end(seed: int, tmp_path: Path) -> None:
    play_and_check(random_trial(seed), tmp_path)


@pytest.mark.parametrize("seed", range(RUNS))
def test_zone_faults_break_no_rule_and_leave_a_plan_on_each_node(seed: int, tmp_path: Path) -> None:
    world = play_and_check(random_trial(seed, "majority"), tmp_path)
    for node in world.nodes.values():
        assert node.last_event("zones.plan")["life"] == node.lives


def play_and_check(file: TrialFile, tmp_path: Path) -> World:
    """Run a trial, heal it, and check that all nodes recover their level and plan."""

    async def script(world: World) -> None:
        await play(file, world)
        world.switch.heal()
        counts = world.event_counts()
        await world.wait_for_common_levels(dict.fromkeys(world.nodes, "whole"))
        if file.trial.plan:  # nodes without a plan must get one again
            without_plan = [n for n, node in world.nodes.items() if not has_plan(node)]
            await world.wait_for_plan(without_plan, counts)

    world = run_trial(tmp_path, file.trial.shape(), script)
    assert (
        sum(request.result.outcome == "served" for request in world.sent_requests)
        > len(world.sent_requests) / 2
    )
    return world


def has_plan(node: NodeProcess) -> bool:
    """Return whether a node has a plan, according to its last event about plans."""
    plan_events = [
        event
        for event in node.events
        if event["event"] in ("zones.plan", "zones.lapsed") and event["life"] == node.lives
    ]
    return bool(plan_events) and plan_events[-1]["event"] == "zones.plan"
