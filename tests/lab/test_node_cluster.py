"""Nodes that know each other in the model: the same machines, and what they change."""

from __future__ import annotations

import subprocess
import sys

from lab.model import Simulation, simulate
from lab.settings import Cell
from tests.lab.support import day


def cell(seconds: float = 8.0, nodes: int = 3, said: int = 0, **more: object) -> Cell:
    fleet = {"nodes": nodes, "said": said, "peers": True, "expect_s": 3.0, "servers": 6}
    return Cell(day(seconds, more.pop("trouble", []), fleet=fleet, **more), "badgercart", 1)  # type: ignore[call-overload]


def test_a_day_with_companions_is_the_same_bit_by_bit() -> None:
    one, other = (simulate(cell()) for _ in range(2))
    one.pop("spent_s"), other.pop("spent_s")
    assert one == other and not sum(one["breaches"].values())


def test_a_file_that_says_too_much_counts_for_a_while_only() -> None:
    world = Simulation(cell(said=9))
    sizes: list[int] = []
    world.clock.call_at(
        2500.0, lambda: sizes.append(world.nodes[0].pipeline.policy.fleet.cluster.view.size)
    )
    world.run()
    assert sizes == [9] and [
        node.pipeline.policy.fleet.cluster.view.size for node in world.nodes
    ] == [
        3,
        3,
        3,
    ]
    assert [node.pipeline.policy.fleet.cluster.view.node_index for node in world.nodes] == [0, 1, 2]


def test_one_that_died_counts_as_one_that_may_live_and_is_back_when_it_is() -> None:
    world = Simulation(cell(22.0, trouble=[{"kind": "node_restart", "at_s": 3.0, "for_s": 15.0}]))
    seen: list[tuple[int, int]] = []

    def look() -> None:
        group = world.nodes[1].pipeline.policy.fleet.cluster.view
        seen.append((group.size, group.possibly_alive))

    for at in (2500.0, 17_500.0, 21_900.0):
        world.clock.call_at(at, look)
    world.run()
    assert seen == [(3, 3), (2, 3), (3, 3)]


def test_the_platforms_node_imports_nothing_of_it() -> None:
    code = (
        "import sys, badgercart.__main__, badgercart.node; "
        "print([m for m in sys.modules if m.split('.')[0] in ('msgspec', 'netaddr') "
        "or 'peers' in m or 'distribution' in m])"
    )
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert done.stdout.strip() == "[]"
