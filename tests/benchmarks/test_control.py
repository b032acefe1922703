"""What control sends is counted by the real codecs, up to the bounds that these have."""

from __future__ import annotations

import pytest

from badgercart.zones.plan_consensus import COMMITS, VOTERS
from benchmarks.scale import control


def test_votes_grow_with_the_nodes_and_a_commit_names_more_than_half() -> None:
    map_ = control.world(control.ZONES)
    rounds = {nodes: control.round_of(nodes, map_) for nodes in (64, 512)}
    assert rounds[512][1] / rounds[64][1] == pytest.approx(511 / 63, rel=0.05)
    for nodes, (_, _, commit) in rounds.items():
        assert commit > 4 * nodes / 2  # four bytes a voter


def test_a_commit_names_no_more_voters_than_its_posts_hold() -> None:
    """Of 8,600 nodes it takes 4,301: no council of so many would ever have a plan."""
    map_ = control.world(control.ZONES)
    most = control.round_of(2 * VOTERS * len(COMMITS), map_)[2]
    assert control.round_of(4 * VOTERS * len(COMMITS), map_)[2] == pytest.approx(most, rel=0.01)


def test_the_evidence_keeps_a_claim_of_each_node() -> None:
    map_ = control.world(control.ZONES)
    kept = {nodes: control.evidence(nodes, map_)[1] for nodes in (100, 1000)}
    assert kept[1000] / kept[100] == pytest.approx(10, rel=0.3)


def test_sizes_keep_under_the_cap() -> None:
    assert control.sizes(16, 8600, 100) == [16, 32, 64]
    assert control.sizes(16, 64, None) == [16, 32, 64]


def test_what_was_learned_takes_the_same_room_a_server() -> None:
    few, many = control.learned(100)[1], control.learned(1000)[1]
    assert many / few == pytest.approx(10, rel=0.1)
