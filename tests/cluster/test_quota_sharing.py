"""Quota shares add up to the quota, and wrong reports have a bounded effect."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from badgercart.cluster.quorum import QuorumState, quorum_level
from badgercart.cluster.quota_sharing import QuotaSharing, UsageReport, max_min_fair

STALE_MS = 2000.0


@given(st.floats(0.01, 1e6), st.lists(st.floats(0, 1e6), min_size=1, max_size=12))
def test_max_min_fair_shares_add_up_and_none_starves(total: float, demands: list[float]) -> None:
    """No share is larger than that of a node whose demand is not met."""
    shares = max_min_fair(total, demands)
    assert sum(shares) == pytest.approx(total) and min(shares) >= 0
    unmet = [
        share for share, demand in zip(shares, demands, strict=True) if share < demand * (1 - 1e-9)
    ]
    if unmet:
        assert max(shares) <= min(unmet) * (1 + 1e-9) + 1e-9


def nodes_with_rates(rates: list[float], quota: float = 100.0) -> list[QuotaSharing]:
    """Return nodes that have exchanged two usage reports each, for one tenant."""
    nodes = [QuotaSharing([quota], generation) for generation in range(len(rates))]
    for now_ms in (1000.0, 2000.0):
        for node, rate in zip(nodes, rates, strict=True):
            for _ in range(round(rate)):
                node.count_request(0)
        reports = [node.report(now_ms) for node in nodes]
        for node in nodes:
            for number, report in enumerate(reports):
                if nodes[number] is not node:
                    node.receive(f"n{number}", report, now_ms)
    return nodes


def quorum(reachable: list[int], size: int) -> QuorumState:
    """Return the quorum of a node that reaches these nodes in a cluster of `size`."""
    return QuorumState(quorum_level(len(reachable), size), tuple(f"n{i}" for i in reachable), size)


@given(st.lists(st.integers(0, 200), min_size=2, max_size=8), st.integers(1, 2**8 - 1))
def test_shares_add_up_and_any_partition_exceeds_the_quota_by_less_than_half(
    rates: list[int], bits: int
) -> None:
    """Whatever the rates and partitions, all nodes together stay below 1.5 quotas."""
    nodes = nodes_with_rates([float(rate) for rate in rates])
    everybody = list(range(len(nodes)))

    def total_share(group: list[int]) -> float:
        state = quorum(group, len(nodes))
        return sum(nodes[i].quota_shares(f"n{i}", state, 2000.0, STALE_MS)[0] for i in group)

    assert total_share(everybody) == pytest.approx(1.0, abs=1e-4)
    partitions = [
        [i for i in everybody if bits >> i & 1],
        [i for i in everybody if not bits >> i & 1],
    ]
    assert sum(total_share(partition) for partition in partitions if partition) < 1.5


def test_an_idle_nodes_share_is_lent_and_a_dead_ones_taken_over() -> None:
    """Only a majority lends idle shares and takes over those of dead members."""
    nodes = nodes_with_rates([90.0, 0.0, 0.0, 0.0])
    shares = nodes[0].quota_shares("n0", quorum([0, 1, 2, 3], 4), 2000.0, STALE_MS)
    assert shares[0] > 0.9
    busy = nodes_with_rates([100.0, 100.0, 100.0, 100.0])
    assert busy[0].quota_shares("n0", quorum([0, 1, 2, 3], 4), 2000.0, STALE_MS)[
        0
    ] == pytest.approx(0.25)
    assert busy[0].quota_shares("n0", quorum([0, 1, 2], 4), 2000.0, STALE_MS)[0] == pytest.approx(
        1 / 3
    )
    # A partitioned node uses no more than its even share.
    assert busy[3].quota_shares("n3", quorum([3], 4), 2000.0, STALE_MS) == (0.25,)


def test_a_node_with_stale_reports_keeps_at_least_its_even_share() -> None:
    """Nodes must not use the share of a node that may be busy again."""
    nodes = nodes_with_rates([90.0, 0.0])
    assert nodes[0].quota_shares("n0", quorum([0, 1], 2), 2000.0, STALE_MS)[0] > 0.9
    assert nodes[0].quota_shares("n0", quorum([0, 1], 2), 9000.0, STALE_MS)[0] == pytest.approx(0.5)


def test_excessive_and_invalid_reports_have_a_bounded_effect() -> None:
    """A report of excessive usage gains an even share; decreasing counts are ignored."""
    nodes = nodes_with_rates([60.0, 60.0])
    state = quorum([0, 1], 2)
    nodes[0].receive("n1", msgspec.msgpack.encode(UsageReport(1, 3000.0, [10**18])), 3000.0)
    assert nodes[0].quota_shares("n0", state, 3000.0, STALE_MS)[0] == pytest.approx(0.5)
    before = list(nodes[0].peer_usage["n1"].samples)
    for invalid in (
        UsageReport(1, 4000.0, [5]),
        UsageReport(1, 4000.0, [1, 2]),
        UsageReport(1, 4000.0, [-1]),
        UsageReport(1, 2.0, [10**18 + 1]),
    ):
        nodes[0].receive("n1", msgspec.msgpack.encode(invalid), 4000.0)
    nodes[0].receive("n1", b"junk", 4000.0)
    assert list(nodes[0].peer_usage["n1"].samples) == before and nodes[0].rejected == 3
