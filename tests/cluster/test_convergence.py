"""Convergence of clusters in virtual time under loss, partitions, pauses and floods of joins."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest

from badgercart.cluster.codec import MTU_BYTES
from badgercart.cluster.effects import SendDatagram
from badgercart.cluster.membership_table import MemberStatus
from badgercart.cluster.messages import Ack, Gossip, Ping, PingRequest, StaleSender
from badgercart.cluster.name_conflicts import MAX_RIVALS
from badgercart.cluster.probing import MAX_RELAYED_PROBES
from badgercart.cluster.quorum import QuorumLevel
from badgercart.cluster.replay_filter import MAX_REPLAY_WINDOWS
from badgercart.cluster.timing import SwimTiming
from lab.simulated_cluster import START_UNIX_MS, NetworkConditions, SimulatedCluster

# Time in which clusters of these sizes must converge to one membership.
CONVERGENCE_LIMIT_MS = 60_000.0


def joined_cluster(count: int, seed: int = 1, **options: object) -> SimulatedCluster:
    """Return a cluster of `count` nodes that has converged to one membership."""
    cluster = SimulatedCluster(count, seed, expected=count, **options)  # type: ignore[arg-type]
    cluster.run(CONVERGENCE_LIMIT_MS, cluster.agreed)
    assert cluster.agreed()
    return cluster


def deaths(cluster: SimulatedCluster, since_ms: float = 0.0) -> set[str]:
    """Return the names that any node has declared dead since a time."""
    return {
        change.name
        for change in cluster.changes
        if change.status is MemberStatus.DEAD and change.at_ms >= since_ms
    }


@pytest.mark.parametrize("count", [2, 3, 10, 60])
def test_all_declare_a_killed_node_dead_and_no_other(count: int) -> None:
    """All nodes declare a killed node dead, and no other one, in clusters of 2 to 60 nodes."""
    cluster = joined_cluster(count)
    cluster.run(cluster.now + 30_000)
    assert not deaths(cluster)
    cluster.kill("n1")
    cluster.run(cluster.now + CONVERGENCE_LIMIT_MS, lambda: cluster.all_declared_dead("n1"))
    assert cluster.all_declared_dead("n1") and cluster.agreed() and deaths(cluster) == {"n1"}
    assert cluster.largest_datagram_bytes <= MTU_BYTES


def test_partitions_know_their_quorum_level_and_heal_to_one_membership() -> None:
    """Only the larger partition has a majority, and healing ends in one membership."""
    cluster = joined_cluster(9)
    names = list(cluster.protocols)
    cluster.split(names[:4], names[4:])
    cluster.run(cluster.now + 30_000)
    assert {cluster.quorum_level(name) for name in names[:4]} == {QuorumLevel.MINORITY}
    assert {cluster.quorum_level(name) for name in names[4:]} == {QuorumLevel.MAJORITY}
    assert {cluster.protocols[name].quorum().possibly_alive for name in names} == {9}
    cluster.heal()
    healed_ms = cluster.now
    assert cluster.run(cluster.now + CONVERGENCE_LIMIT_MS, cluster.agreed) - healed_ms < 20_000
    assert {cluster.quorum_level(name) for name in names} == {QuorumLevel.ALL}


@pytest.mark.parametrize("seed", [5, 7])
def test_a_node_that_gossip_missed_is_healed_before_the_next_periodic_push_pull(
    seed: int,
) -> None:
    """A push-pull with a returned member spreads what gossip missed while a partition healed.

    Without it, these two seeds converged only after 38 s, by the periodic push-pull every 30 s,
    in a cluster of 40 nodes that was partitioned for 30 s.
    """
    cluster = joined_cluster(40, seed)
    names = list(cluster.protocols)
    cluster.split(names[:20], names[20:])
    cluster.run(cluster.now + 30_000)
    cluster.heal()
    healed_ms = cluster.now
    assert cluster.run(healed_ms + CONVERGENCE_LIMIT_MS, cluster.agreed) - healed_ms < 10_000


def test_clusters_that_formed_separately_merge() -> None:
    """Clusters that never knew each other merge through their seeds."""
    cluster = SimulatedCluster(6, expected=6)
    names = list(cluster.protocols)
    # Each partition contains a seed.
    cluster.split(names[:1] + names[2:3], names[1:2] + names[3:])
    cluster.run(10_000)
    assert {cluster.quorum_level(name) for name in names} == {
        QuorumLevel.MINORITY,
        QuorumLevel.MAJORITY,
    }
    cluster.heal()
    cluster.run(cluster.now + CONVERGENCE_LIMIT_MS, cluster.agreed)
    assert cluster.agreed()


def test_a_link_cut_in_one_direction_causes_no_deaths() -> None:
    """Indirect probes reach a member whose direct link is cut in one direction."""
    cluster = joined_cluster(8)
    cluster.network.cut_links.add(("n1", "n2"))
    cluster.run(cluster.now + 60_000)
    assert not deaths(cluster)


def test_a_ring_of_links_cut_in_one_direction_causes_no_deaths() -> None:
    """Indirect probes suffice even if each node has lost a link to its neighbor."""
    cluster = joined_cluster(8)
    names = list(cluster.protocols)
    cluster.network.cut_links |= set(zip(names, names[1:] + names[:1], strict=True))
    cluster.run(cluster.now + 60_000)
    assert not deaths(cluster)


def test_a_paused_node_returns_with_a_new_incarnation_and_accuses_nobody() -> None:
    """A paused process does not take the others' silence during the pause as their failure."""
    cluster = joined_cluster(6)
    cluster.pause("n1")
    cluster.run(cluster.now + 20_000)
    others = [name for name in cluster.protocols if name != "n1"]
    assert all(cluster.statuses(name)["n1"] is MemberStatus.DEAD for name in others)
    resumed_ms, before = cluster.now, cluster.protocols["n1"].local_record.incarnation
    cluster.resume("n1")
    # The node is isolated until it has received another node's state.
    assert cluster.pauses and cluster.quorum_level("n1") is QuorumLevel.ISOLATED
    cluster.run(cluster.now + CONVERGENCE_LIMIT_MS, cluster.agreed)
    assert cluster.agreed() and cluster.protocols["n1"].local_record.incarnation > before
    assert deaths(cluster, resumed_ms) <= {"n1"}
    cluster.run(cluster.now + 5_000)
    assert cluster.quorum_level("n1") is QuorumLevel.ALL


def test_a_slow_node_that_accuses_others_causes_no_deaths() -> None:
    """Suspects refute the accusations of a node that is slow itself (Lifeguard)."""
    cluster = joined_cluster(10)
    # Every packet reaches the node after the timeout of its own probes.
    cluster.delays_ms["n1"] = 1500.0
    cluster.run(cluster.now + 60_000)
    accused = [
        change
        for change in cluster.changes
        if change.status is MemberStatus.SUSPECT and change.reporter == "n1"
    ]
    assert accused and cluster.protocols["n1"].context.health.score > 0
    assert not deaths(cluster) - {"n1"}


@pytest.mark.parametrize("clock_skew_ms", [0.0, 3_600_000.0, -3_600_000.0])
def test_a_node_restarted_under_its_name_is_back_whatever_its_clock(clock_skew_ms: float) -> None:
    """A restarted process replaces its predecessor even if the wall clock was set by an hour."""
    cluster = joined_cluster(6)
    cluster.run(cluster.now + 5000)
    cluster.kill("n2")
    # The restart comes before the suspicion of the killed process expires.
    cluster.run(cluster.now + 1500)
    cluster.restart("n2", START_UNIX_MS + clock_skew_ms)
    cluster.run(cluster.now + CONVERGENCE_LIMIT_MS, cluster.agreed)
    cluster.run(cluster.now + 20_000)
    assert cluster.agreed() and not cluster.conflicts
    assert {
        cluster.protocols[name].table.members["n2"].record.generation for name in cluster.protocols
    } == {cluster.protocols["n2"].local_record.generation}


def test_two_processes_of_one_name_both_report_it_and_the_older_yields() -> None:
    """Two processes with one name both detect the conflict, and the older one is isolated."""
    cluster = joined_cluster(5)
    older = cluster.protocols["n1"]
    newer = cluster.add("n1b", 5)  # a process with another address
    newer.context.local.record = newer.local_record.__class__(
        "n1", 0, MemberStatus.ALIVE, newer.local_record.address, newer.local_record.generation
    )
    newer.table.members.pop("n1b")
    newer.membership.merge(newer.local_record, "n1")
    cluster.run(cluster.now + 20_000)
    assert {name for name, _ in cluster.conflicts} == {"n1", "n1b"}
    assert older.yields_name and not newer.yields_name
    assert older.quorum().level is QuorumLevel.ISOLATED
    cluster.kill("n1b")
    cluster.run(cluster.now + CONVERGENCE_LIMIT_MS)
    assert not older.yields_name and older.quorum().level is not QuorumLevel.ISOLATED


def test_the_cluster_survives_loss_duplication_and_reordering_of_datagrams() -> None:
    """No death stays unrefuted with 30% loss, and 20% duplication and reordering of datagrams."""
    cluster = joined_cluster(
        12, links=NetworkConditions(loss_share=0.3, duplicate_share=0.2, reorder_share=0.2)
    )
    cluster.run(cluster.now + 120_000)
    not_refuted = [
        name for name in deaths(cluster) if cluster.statuses("n0")[name] is not MemberStatus.ALIVE
    ]
    assert not not_refuted and len(deaths(cluster)) <= 1
    cluster.kill("n3")
    cluster.run(cluster.now + CONVERGENCE_LIMIT_MS, lambda: cluster.all_declared_dead("n3"))
    assert cluster.all_declared_dead("n3")


def test_members_that_left_do_not_count_against_the_quorum() -> None:
    """The cluster size shrinks by members that left, but not by members that died."""
    cluster = joined_cluster(5)
    for name in ("n1", "n2"):
        cluster.run_effects(name, cluster.protocols[name].leave(cluster.now))
        cluster.kill(name)
    cluster.run(cluster.now + 5000)
    assert (
        cluster.quorum_level("n0") is QuorumLevel.ALL
        and cluster.protocols["n0"].quorum().possibly_alive == 3
    )
    for name in ("n3", "n4"):
        cluster.kill(name)
    cluster.run(cluster.now + CONVERGENCE_LIMIT_MS)
    assert (
        cluster.quorum_level("n0") is QuorumLevel.ISOLATED
        and cluster.protocols["n0"].quorum().possibly_alive == 3
    )


def test_two_hundred_joins_at_once_end_in_one_membership() -> None:
    """A flood of 200 joins within a second converges without deaths."""
    cluster = SimulatedCluster(1, expected=1)
    for number in range(1, 200):
        cluster.schedule(number * 5.0, cluster.add, f"n{number}", number)
    cluster.run(1100.0)
    cluster.run(CONVERGENCE_LIMIT_MS, cluster.agreed)
    assert cluster.agreed() and len(cluster.protocols) == 200 and not deaths(cluster)
    assert cluster.largest_datagram_bytes <= MTU_BYTES


def test_a_flapping_link_causes_no_deaths() -> None:
    """A link that flaps every 300 ms for a minute does not get a member declared dead."""
    cluster = joined_cluster(6)
    for step in range(200):
        cut = {("n1", "n2"), ("n2", "n1")} if step % 2 == 0 else set()
        cluster.schedule(
            cluster.now + step * 300.0,
            cluster.network.cut_links.symmetric_difference_update,
            cut or cluster.network.cut_links,
        )
    cluster.run(cluster.now + 60_000)
    cluster.heal()
    cluster.run(cluster.now + 10_000)
    assert not deaths(cluster) and cluster.agreed()


def test_stale_and_repeated_packets_change_nothing() -> None:
    """A repeated packet is ignored, and a packet of an older incarnation gets `StaleSender`."""
    cluster = joined_cluster(4)
    protocol, other = cluster.protocols["n0"], cluster.protocols["n1"]
    source = other.local_record.address
    ping, dead = other.sender.packet(Ping(1)), replace(other.local_record, status=MemberStatus.DEAD)
    accusation = other.sender.packet(Gossip(), (dead,))
    assert [effect.packet.body for effect in protocol.receive(cluster.now, ping, source)] == [
        Ack(1)
    ]
    assert protocol.receive(cluster.now, ping, source) == []
    other.context.local.record = replace(
        other.local_record, incarnation=other.local_record.incarnation + 1
    )
    protocol.receive(cluster.now, other.sender.packet(Gossip(), (other.local_record,)), source)
    # The accusation is of the previous incarnation.
    (reply,) = protocol.receive(cluster.now, accusation, source)
    assert isinstance(reply, SendDatagram) and isinstance(reply.packet.body, StaleSender)
    assert cluster.statuses("n0")["n1"] is MemberStatus.ALIVE


def test_unknown_senders_and_probe_requests_cannot_fill_memory() -> None:
    """Tables filled by unknown senders, indirect probes and name conflicts are bounded."""
    cluster = joined_cluster(2)
    protocol, other = cluster.protocols["n0"], cluster.protocols["n1"]
    for number in range(MAX_REPLAY_WINDOWS + 50):
        protocol.receive(
            cluster.now,
            replace(other.sender.packet(Gossip()), sender=f"x{number}"),
            ("127.9.9.9", 1),
        )
    for number in range(MAX_RELAYED_PROBES + 50):
        request = other.sender.packet(PingRequest(number, "n1", *other.local_record.address, 500.0))
        protocol.receive(cluster.now, request, other.local_record.address)
    for offset in range(1, MAX_RIVALS + 20):
        rival = replace(
            protocol.local_record,
            generation=protocol.local_record.generation + offset,
            incarnation=protocol.local_record.incarnation + 1,
        )
        protocol.receive(
            cluster.now, other.sender.packet(Gossip(), (rival,)), other.local_record.address
        )
    assert (
        len(protocol.receiver.replay_filter) <= MAX_REPLAY_WINDOWS
        and len(protocol.receiver.relay) <= MAX_RELAYED_PROBES
    )
    assert (
        len(protocol.membership.conflicts.incarnations) <= MAX_RIVALS
        and len(protocol.sender.queue) < 10
    )


def test_dead_members_are_retried_until_their_retention_ends() -> None:
    """A dead member counts against the quorum until its retention ends; then it is removed."""
    cluster = joined_cluster(3, timing=SwimTiming(dead_retention_ms=40_000.0))
    cluster.kill("n2")
    cluster.run(cluster.now + 20_000)
    assert (
        cluster.statuses("n0")["n2"] is MemberStatus.DEAD
        and cluster.quorum_level("n0") is QuorumLevel.MAJORITY
    )
    cluster.run(cluster.now + 60_000)
    assert "n2" not in cluster.statuses("n0") and cluster.quorum_level("n0") is QuorumLevel.ALL


@pytest.mark.parametrize("seed", range(10))
def test_random_kills_pauses_and_partitions_end_in_one_membership(seed: int) -> None:
    """Whatever faults occurred, the cluster converges once they have ended."""
    rng, cluster = random.Random(seed), joined_cluster(8, seed)
    names = list(cluster.protocols)
    for _ in range(12):
        name = rng.choice(names)
        fault = rng.randrange(5)
        if fault == 0 and sum(cluster.up.values()) > 3 and name not in cluster.paused:
            cluster.kill(name)
        elif fault == 1 and not cluster.up[name]:
            cluster.restart(name, START_UNIX_MS + rng.choice((0, -3_600_000, 3_600_000)))
        elif (
            fault == 2
            and cluster.up[name]
            and name not in cluster.paused
            and len(cluster.paused) < 2
        ):
            cluster.pause(name)
        elif fault == 3 and cluster.paused:
            cluster.resume(rng.choice(list(cluster.paused)))
        else:
            partition = rng.sample(names, 4)
            cluster.split(partition, [other for other in names if other not in partition])
        cluster.run(cluster.now + rng.uniform(500, 15_000))
        if rng.random() < 0.5:
            cluster.heal()
    cluster.heal()
    for name in list(cluster.paused):
        cluster.resume(name)
    cluster.run(cluster.now + 2 * CONVERGENCE_LIMIT_MS, cluster.agreed)
    assert (
        cluster.agreed() and not cluster.conflicts and cluster.largest_datagram_bytes <= MTU_BYTES
    )
