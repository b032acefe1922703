"""The bytes of control messages are those of the real codecs, up to the codecs' limits."""

from __future__ import annotations

import pytest

from badgercart.zones.consensus_messages import COMMIT_TOPICS, VOTERS_PER_COMMIT
from benchmarks.scale import control


def test_votes_grow_with_the_nodes_and_a_commit_names_a_majority() -> None:
    topology = control.make_topology(control.TARGET_ZONES)
    rounds = {nodes: control.measure_round(nodes, topology) for nodes in (64, 512)}
    assert rounds[512][1] / rounds[64][1] == pytest.approx(511 / 63, rel=0.05)
    for nodes, (_, _, commit) in rounds.items():
        # Each voter takes four bytes.
        assert commit > 4 * nodes / 2


def test_a_commit_names_no_more_voters_than_its_messages_hold() -> None:
    """Of 8,600 nodes a majority is 4,301: a consensus of so many would never have a plan."""
    topology = control.make_topology(control.TARGET_ZONES)
    max_voters = VOTERS_PER_COMMIT * len(COMMIT_TOPICS)
    max_commit_bytes = control.measure_round(2 * max_voters, topology)[2]
    assert control.measure_round(4 * max_voters, topology)[2] == pytest.approx(
        max_commit_bytes, rel=0.01
    )


def test_the_table_stores_a_report_of_each_node() -> None:
    topology = control.make_topology(control.TARGET_ZONES)
    stored_bytes = {nodes: control.measure_reports(nodes, topology)[1] for nodes in (100, 1000)}
    assert stored_bytes[1000] / stored_bytes[100] == pytest.approx(10, rel=0.3)


def test_sizes_do_not_exceed_the_cap() -> None:
    assert control.sizes(16, 8600, 100) == [16, 32, 64]
    assert control.sizes(16, 64, None) == [16, 32, 64]


def test_saved_statistics_take_the_same_bytes_per_server() -> None:
    few, many = control.measure_save(100)[1], control.measure_save(1000)[1]
    assert many / few == pytest.approx(10, rel=0.1)
