"""The load of one node must not grow with the cluster: messages, bytes and examined entries.

benchmarks/scale/peers.py simulates the same clusters with up to 1,024 nodes; here they have 20 and
80 nodes, which know each other from the start.
"""

from __future__ import annotations

import random

import pytest

from badgercart.cluster.broadcast_queue import MAX_SKIPPED_BROADCASTS, BroadcastQueue
from badgercart.cluster.context import PeerSampler
from badgercart.cluster.dissemination import Dissemination
from badgercart.cluster.membership_table import (
    MembershipRecord,
    MembershipTable,
    MemberState,
    MemberStatus,
)
from badgercart.cluster.messages import Gossip
from benchmarks.scale.peers import HollowCluster, rates
from lab.simulated_cluster import SimulatedCluster

SMALL_CLUSTER_NODES = 20
LARGE_CLUSTER_NODES = 80
# Maximum load in the large cluster as a multiple of that in the small one. A load that grows with
# the cluster would be 4 times as high.
MAX_GROWTH_FACTOR = 1.3
SETTLE_S = 6.0
# Time in which each node probes all other nodes of the large cluster.
PROBE_ROUND_S = 80.0


def load_per_s(
    nodes: int, tenants: int, duration_s: float, settle_s: float = SETTLE_S
) -> dict[str, float]:
    """Return the load of a node per second; it is idle but for usage reports of the tenants."""
    cluster = HollowCluster(nodes, tenants)
    cluster.acquaint()
    cluster.run(settle_s * 1000)
    before = cluster.usage()
    cluster.run(cluster.now + duration_s * 1000)
    assert cluster.agreed()
    return rates(cluster, before)


def growth(
    *names: str,
    tenants: int = 0,
    duration_s: float = PROBE_ROUND_S,
    settle_s: float = SETTLE_S,
) -> dict[str, float]:
    """Return the load in the large cluster as a multiple of that in the small one, by name."""
    small, large = (
        load_per_s(nodes, tenants, duration_s, settle_s)
        for nodes in (SMALL_CLUSTER_NODES, LARGE_CLUSTER_NODES)
    )
    return {name: large[name] / small[name] for name in names}


def test_the_load_of_an_idle_node_does_not_grow_with_the_cluster() -> None:
    """Probing and gossip cost the same in a cluster four times as large."""
    factors = growth("messages", "looked")
    assert max(factors.values()) < MAX_GROWTH_FACTOR, factors


def test_the_load_of_usage_reports_does_not_grow_with_the_cluster() -> None:
    """Usage reports cost the same in a cluster four times as large."""
    factors = growth("messages", "bytes out", "bytes in", "looked", tenants=3, duration_s=10.0)
    assert max(factors.values()) < MAX_GROWTH_FACTOR, factors


def test_a_fanout_that_grows_with_the_cluster_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    """The measurement of this module detects a gossip fanout that grows with the cluster."""

    def spread(dissemination: Dissemination) -> None:
        context = dissemination.context
        for state in context.peers.sample(len(context.table.members) // 4):
            dissemination.sender.send(state.record.address, Gossip())

    monkeypatch.setattr(Dissemination, "spread", spread)
    assert growth("messages", duration_s=3.0, settle_s=1.0)["messages"] > MAX_GROWTH_FACTOR


def test_examining_all_members_for_each_packet_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    """The measurement of this module detects sampling that examines all members."""

    def sample(peers: PeerSampler, count: int, excluding: str = "") -> list[MemberState]:
        others = [state for state in peers.reachable() if state.record.name != excluding]
        return peers.rng.sample(others, min(count, len(others)))

    monkeypatch.setattr(PeerSampler, "sample", sample)
    assert growth("looked", tenants=10, duration_s=5.0)["looked"] > MAX_GROWTH_FACTOR


# Single data structures.


def test_checking_agreement_compares_one_table_while_it_disagrees() -> None:
    """The simulation's check for convergence must not compare all tables each time."""
    cluster, checks = SimulatedCluster(40, 2, expected=40), 0

    def agreed() -> bool:
        nonlocal checks
        checks += 1
        return cluster.agreed()

    cluster.run(60_000, agreed)
    assert cluster.agreed() and checks > 20
    # One table per check, and all 40 tables a few times.
    assert cluster.tables_compared <= checks + 4 * 40


def examined_per_packet(queued: int, size_bytes: int) -> float:
    """Return how many broadcasts are examined for one packet with so many queued."""
    queue = BroadcastQueue(20_000)
    for number in range(queued):
        queue.enqueue(number, number, size_bytes)
    for _ in range(50):
        assert queue.take(1200, 1000)
    return queue.examined_count / 50


@pytest.mark.parametrize("size_bytes", [70, 500])
def test_the_cost_of_a_packet_does_not_depend_on_the_queue_length(size_bytes: int) -> None:
    """Filling a packet examines what fits and a bounded number of larger broadcasts."""
    assert (
        examined_per_packet(10_000, size_bytes)
        == examined_per_packet(1000, size_bytes)
        <= 1200 // size_bytes + MAX_SKIPPED_BROADCASTS
    )


def test_broadcasts_are_sent_least_transmitted_first_then_newest() -> None:
    """The queue behaves like a reference that sorts all broadcasts for each packet."""
    rng = random.Random(5)
    # The reference is a dictionary from key to size, transmissions and sequence.
    queue, reference, sequence, max_items = BroadcastQueue(60), {}, 0, 60
    for _ in range(4000):
        if rng.random() < 0.5:
            key, size_bytes, sequence = rng.randrange(90), rng.choice([60, 80, 300]), sequence + 1
            reference.pop(key, None)
            if len(reference) >= max_items:
                del reference[max(reference, key=lambda k: (reference[k][1], -reference[k][2]))]
            reference[key] = [size_bytes, 0, sequence]
            queue.enqueue(key, key, size_bytes)
        else:
            capacity_bytes, expected, skipped = 1200, [], 0
            for key, item in sorted(reference.items(), key=lambda pair: (pair[1][1], -pair[1][2])):
                if skipped == MAX_SKIPPED_BROADCASTS:
                    break
                if item[0] > capacity_bytes:
                    skipped += 1
                    continue
                capacity_bytes -= item[0]
                expected.append(key)
                item[1] += 1
                if item[1] >= 4:
                    del reference[key]
            assert queue.take(1200, 9) == expected
        assert len(queue) == len(queue.transmission_order) == len(reference)


def test_reachable_and_unreachable_sets_follow_every_change_of_a_table() -> None:
    """The indexes by reachability, name and address always match the table's members."""
    rng, table = random.Random(3), MembershipTable(40)
    for step in range(3000):
        name = f"n{rng.randrange(50)}"
        if rng.random() < 0.1:
            table.remove(name)
        else:
            status, port = rng.choice(list(MemberStatus)), rng.randrange(1, 9)
            table.merge(
                MembershipRecord(name, step // 9, status, ("h", port), rng.randrange(3)), 0.0, ""
            )
        reachable = {
            state.record.name
            for state in table.with_status(MemberStatus.ALIVE, MemberStatus.SUSPECT)
        }
        assert sorted(table.reachable.names) == sorted(reachable) and all(
            table.reachable.names[position] == member
            for member, position in table.reachable.positions.items()
        )
        assert set(table.unreachable) == {
            state.record.name for state in table.with_status(MemberStatus.DEAD, MemberStatus.LEFT)
        }
        assert set(table.reachable_addresses) == {
            table.members[member].record.address for member in reachable
        }
        sampled = [state.record.name for state in table.sample(3, rng, (name,))]
        assert len(set(sampled)) == len(sampled) == min(3, len(reachable - {name})) and set(
            sampled
        ) <= reachable - {name}


def test_the_cost_of_sampling_depends_on_the_count_and_is_uniform() -> None:
    """Sampling 3 of 1,000 members examines 4 states, and selects all members equally often."""
    rng, table = random.Random(4), MembershipTable()
    for number in range(1000):
        table.merge(
            MembershipRecord(f"n{number}", 0, MemberStatus.ALIVE, ("h", number + 1), 1), 0.0, ""
        )
    counts = dict.fromkeys(table.members, 0)
    for _ in range(10_000):
        for state in table.sample(3, rng, ("n7",)):
            counts[state.record.name] += 1
    assert table.examined_count == 4 * 10_000 and counts.pop("n7") == 0
    assert min(counts.values()) > 8 and max(counts.values()) < 60  # 30 on average
