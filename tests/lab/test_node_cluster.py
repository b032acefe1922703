"""Simulated nodes that form a cluster, with the protocols of real nodes."""

from __future__ import annotations

import subprocess
import sys

from lab.model import Simulation, simulate
from lab.settings import Cell
from tests.lab.support import day


def cluster_cell(
    seconds: float = 8.0, nodes: int = 3, configured_nodes: int = 0, **more: object
) -> Cell:
    """Return a day whose nodes form a cluster; 0 configured nodes stand for the real number."""
    fleet = {
        "nodes": nodes,
        "said": configured_nodes,
        "peers": True,
        "expect_s": 3.0,
        "servers": 6,
    }
    scenario = day(seconds, more.pop("trouble", []), fleet=fleet, **more)  # type: ignore[arg-type]
    return Cell(scenario, "badgercart", 1)


def test_a_day_with_a_cluster_is_deterministic() -> None:
    first, second = (simulate(cluster_cell()) for _ in range(2))
    first.pop("spent_s"), second.pop("spent_s")
    assert first == second and not sum(first["breaches"].values())


def test_a_configured_size_that_is_too_large_counts_only_at_the_start() -> None:
    simulation = Simulation(cluster_cell(configured_nodes=9))
    sizes: list[int] = []

    def record_size() -> None:
        sizes.append(simulation.nodes[0].pipeline.policy.fleet.cluster.view.size)

    simulation.clock.call_at(2500.0, record_size)
    simulation.run()
    views = [node.pipeline.policy.fleet.cluster.view for node in simulation.nodes]
    assert sizes == [9] and [view.size for view in views] == [3, 3, 3]
    assert [view.node_index for view in views] == [0, 1, 2]


def test_a_stopped_node_counts_as_possibly_alive_and_rejoins_after_its_restart() -> None:
    restart = [{"kind": "node_restart", "at_s": 3.0, "for_s": 15.0}]
    simulation = Simulation(cluster_cell(22.0, trouble=restart))
    sizes: list[tuple[int, int]] = []

    def record_sizes() -> None:
        view = simulation.nodes[1].pipeline.policy.fleet.cluster.view
        sizes.append((view.size, view.possibly_alive))

    for time_ms in (2500.0, 17_500.0, 21_900.0):
        simulation.clock.call_at(time_ms, record_sizes)
    simulation.run()
    assert sizes == [(3, 3), (2, 3), (3, 3)]


def test_a_node_without_a_cluster_imports_none_of_its_modules() -> None:
    code = (
        "import sys, badgercart.__main__, badgercart.node; "
        "print([m for m in sys.modules if m.split('.')[0] in ('msgspec', 'netaddr') "
        "or 'peers' in m or 'distribution' in m])"
    )
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert done.stdout.strip() == "[]"
