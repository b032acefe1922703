"""Quota shares add up, and a liar costs little."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from badgercart.cluster.quorum import QuorumState, quorum_level
from badgercart.cluster.quota_sharing import QuotaSharing, UsageReport, max_min_fair

STALE_MS = 2000.0


@given(st.floats(0.01, 1e6), st.lists(st.floats(0, 1e6), min_size=1, max_size=12))
def test_fair_shares_add_up_and_nobody_lacks_while_another_exceeds_its_demand(
    total: float, demands: list[float]
) -> None:
    shares = max_min_fair(total, demands)
    assert sum(shares) == pytest.approx(total) and min(shares) >= 0
    short = [
        share for share, demand in zip(shares, demands, strict=True) if share < demand * (1 - 1e-9)
    ]
    if short:
        assert max(shares) <= min(short) * (1 + 1e-9) + 1e-9


def settled(rates: list[float], quota: float = 100.0) -> list[QuotaSharing]:
    """Return nodes that have all heard each other's use of one tenant, over two reports."""
    nodes = [QuotaSharing([quota], generation) for generation in range(len(rates))]
    for at in (1000.0, 2000.0):
        for node, rate in zip(nodes, rates, strict=True):
            for _ in range(round(rate)):
                node.count_request(0)
        reports = [node.report(at) for node in nodes]
        for node in nodes:
            for number, report in enumerate(reports):
                if nodes[number] is not node:
                    node.receive(f"n{number}", report, at)
    return nodes


def quorum(reachable: list[int], size: int) -> QuorumState:
    return QuorumState(quorum_level(len(reachable), size), tuple(f"n{i}" for i in reachable), size)


@given(st.lists(st.integers(0, 200), min_size=2, max_size=8), st.integers(1, 2**8 - 1))
def test_shares_of_all_nodes_are_the_quota_and_in_any_split_less_than_half_too_much(
    rates: list[int], bits: int
) -> None:
    nodes = settled([float(rate) for rate in rates])
    everybody = list(range(len(nodes)))

    def used(group: list[int]) -> float:
        there = quorum(group, len(nodes))
        return sum(nodes[i].quota_shares(f"n{i}", there, 2000.0, STALE_MS)[0] for i in group)

    assert used(everybody) == pytest.approx(1.0, abs=1e-4)
    halves = [[i for i in everybody if bits >> i & 1], [i for i in everybody if not bits >> i & 1]]
    assert sum(used(half) for half in halves if half) < 1.5


def test_an_idle_nodes_share_is_lent_and_a_dead_ones_taken_over() -> None:
    nodes = settled([90.0, 0.0, 0.0, 0.0])
    whole = nodes[0].quota_shares("n0", quorum([0, 1, 2, 3], 4), 2000.0, STALE_MS)
    assert whole[0] > 0.9
    busy = settled([100.0, 100.0, 100.0, 100.0])
    assert busy[0].quota_shares("n0", quorum([0, 1, 2, 3], 4), 2000.0, STALE_MS)[
        0
    ] == pytest.approx(0.25)
    assert busy[0].quota_shares("n0", quorum([0, 1, 2], 4), 2000.0, STALE_MS)[0] == pytest.approx(
        1 / 3
    )
    assert busy[3].quota_shares("n3", quorum([3], 4), 2000.0, STALE_MS) == (
        0.25,
    )  # cut off: no more than its own


def test_a_node_not_heard_lately_demands_at_least_its_even_share() -> None:
    nodes = settled([90.0, 0.0])
    assert nodes[0].quota_shares("n0", quorum([0, 1], 2), 2000.0, STALE_MS)[0] > 0.9
    assert nodes[0].quota_shares("n0", quorum([0, 1], 2), 9000.0, STALE_MS)[0] == pytest.approx(0.5)


def test_a_report_of_endless_use_takes_no_more_than_an_even_share_and_counts_never_decrease() -> (
    None
):
    nodes = settled([60.0, 60.0])
    there = quorum([0, 1], 2)
    nodes[0].receive("n1", msgspec.msgpack.encode(UsageReport(1, 3000.0, [10**18])), 3000.0)
    assert nodes[0].quota_shares("n0", there, 3000.0, STALE_MS)[0] == pytest.approx(0.5)
    before = list(nodes[0].peer_usage["n1"].samples)
    for bad in (
        UsageReport(1, 4000.0, [5]),
        UsageReport(1, 4000.0, [1, 2]),
        UsageReport(1, 4000.0, [-1]),
        UsageReport(1, 2.0, [10**18 + 1]),
    ):
        nodes[0].receive("n1", msgspec.msgpack.encode(bad), 4000.0)
    nodes[0].receive("n1", b"junk", 4000.0)
    assert list(nodes[0].peer_usage["n1"].samples) == before and nodes[0].rejected == 3
