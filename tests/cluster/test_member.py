"""One member: its reports, and the view of the cluster for the policy."""

from __future__ import annotations

import random

import msgspec
import pytest

from badgercart.cluster.drain_gossip import DrainGossip
from badgercart.cluster.effects import RegisterChanged
from badgercart.cluster.failure_reports import FailureReports
from badgercart.cluster.member import ClusterMember, cluster_view
from badgercart.cluster.membership_table import MembershipRecord, MemberStatus
from badgercart.cluster.quorum import QuorumLevel, QuorumState, quorum_level
from badgercart.cluster.quota_sharing import QuotaSharing, UsageReport
from badgercart.cluster.swim import SwimProtocol
from badgercart.cluster.timing import Bootstrap, SwimTiming
from badgercart.config import Address
from badgercart.core.endpoint_table import DiscoveredEndpoint
from badgercart.policy.endpoint import Endpoint, EndpointState

HOST: Address = ("127.0.0.1", 80)


@pytest.mark.parametrize(
    ("reachable", "size", "possibly_alive", "level"),
    [
        (3, 3, 3, QuorumLevel.ALL),
        (2, 2, 3, QuorumLevel.MAJORITY),
        (2, 4, 4, QuorumLevel.MINORITY),
        (1, 3, 3, QuorumLevel.ISOLATED),
    ],
)
def test_without_a_majority_the_cluster_size_is_all_possibly_alive(
    reachable: int, size: int, possibly_alive: int, level: QuorumLevel
) -> None:
    """A node in a minority must not use a larger part of shared limits than before."""
    names = tuple(f"n{number}" for number in range(reachable))
    quorum = QuorumState(quorum_level(reachable, possibly_alive), names, possibly_alive)
    view = cluster_view("n0", quorum, (0.5,), ())
    assert (quorum.level, view.size, view.possibly_alive, view.node_index) == (
        level,
        size,
        possibly_alive,
        0,
    )


def test_random_update_values_never_raise() -> None:
    """Malformed register values of other nodes are ignored instead of raising."""
    rng = random.Random(1)
    listed = {
        number: DiscoveredEndpoint(
            Endpoint(number, 0, 0, 0, EndpointState.READY, 1.0, 0.0), HOST, f"s{number}"
        )
        for number in range(1, 11)
    }
    sharing, gossip, reports = QuotaSharing([1.0], 1), DrainGossip(), FailureReports(1.0)
    for _ in range(2000):
        value = rng.randbytes(rng.randrange(12))
        sharing.receive("a", value, 0.0)
        gossip.receive(value, 0, listed)
        reports.receive("a", value, 0.0)
    assert len(sharing.peer_usage) <= 1 and len(gossip.gossiped) <= 3


def test_in_a_large_cluster_reports_are_less_frequent_but_not_stale() -> None:
    """The report interval grows with the cluster, and the staleness limit grows with it."""
    protocol = SwimProtocol(
        MembershipRecord("n0", 0, MemberStatus.ALIVE, HOST, 1),
        SwimTiming(),
        Bootstrap(),
        random.Random(1),
    )
    cluster_member = ClusterMember(protocol, [100.0], 500.0, ("shares",))
    min_interval_ms = cluster_member.report_interval_ms
    for number in range(1, 100):
        protocol.membership.merge(
            MembershipRecord(f"n{number}", 0, MemberStatus.ALIVE, ("127.0.0.1", 80 + number), 1),
            f"n{number}",
        )
    # The interval keeps the traffic of a link at that of a cluster of eight nodes.
    assert min_interval_ms == 500.0 and cluster_member.report_interval_ms == pytest.approx(
        500.0 * 100 * 12 / 64
    )
    for sent_ms in (0.0, cluster_member.report_interval_ms):
        change = RegisterChanged(
            "use",
            "n1",
            int(sent_ms) + 1,
            msgspec.msgpack.encode(UsageReport(1, sent_ms, [int(sent_ms)])),
        )
        cluster_member.receive(sent_ms, change)
    usage = cluster_member.quota_sharing.node_usage(
        "n1", "n0", 2.5 * cluster_member.report_interval_ms, 4 * cluster_member.report_interval_ms
    )
    assert usage.demand(0, 100.0 / 1000 / 100) == pytest.approx(1.2)
