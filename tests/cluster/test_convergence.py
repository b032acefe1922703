"""Clusters in virtual time under loss, cuts, pauses and floods of joins."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest

from badgercart.cluster.codec import MTU_BYTES
from badgercart.cluster.effects import SendDatagram
from badgercart.cluster.membership_table import MemberStatus
from badgercart.cluster.messages import Ack, Gossip, Ping, PingRequest, StaleSender
from badgercart.cluster.name_conflicts import MAX_RIVALS
from badgercart.cluster.probing import MAX_RELAYED
from badgercart.cluster.quorum import QuorumLevel
from badgercart.cluster.replay_filter import MAX_REPLAY_WINDOWS
from badgercart.cluster.timing import SwimTiming
from lab.simulated_cluster import START_UNIX_MS, NetworkConditions, SimulatedCluster

BOUND = 60_000.0  # ms in which a group of these sizes must agree


def joined(count: int, seed: int = 1, **more: object) -> SimulatedCluster:
    cluster = SimulatedCluster(count, seed, expected=count, **more)  # type: ignore[arg-type]
    cluster.run(BOUND, cluster.agreed)
    assert cluster.agreed()
    return cluster


def deaths(cluster: SimulatedCluster, since: float = 0.0) -> set[str]:
    return {
        seen.name
        for seen in cluster.changes
        if seen.status is MemberStatus.DEAD and seen.at_ms >= since
    }


@pytest.mark.parametrize("count", [2, 3, 10, 60])
def test_all_declare_a_killed_node_dead_and_no_other(count: int) -> None:
    cluster = joined(count)
    cluster.run(cluster.now + 30_000)
    assert not deaths(cluster)
    cluster.kill("n1")
    cluster.run(cluster.now + BOUND, lambda: cluster.all_declared_dead("n1"))
    assert cluster.all_declared_dead("n1") and cluster.agreed() and deaths(cluster) == {"n1"}
    assert cluster.largest_datagram_bytes <= MTU_BYTES


def test_two_halves_know_their_quorum_level_and_heal_to_one_membership() -> None:
    cluster = joined(9)
    names = list(cluster.protocols)
    cluster.split(names[:4], names[4:])
    cluster.run(cluster.now + 30_000)
    assert {cluster.quorum_level(name) for name in names[:4]} == {QuorumLevel.MINORITY}
    assert {cluster.quorum_level(name) for name in names[4:]} == {QuorumLevel.MAJORITY}
    assert {cluster.protocols[name].quorum().possibly_alive for name in names} == {9}
    cluster.heal()
    healed = cluster.now
    assert cluster.run(cluster.now + BOUND, cluster.agreed) - healed < 20_000
    assert {cluster.quorum_level(name) for name in names} == {QuorumLevel.ALL}


@pytest.mark.parametrize("seed", [5, 7])
def test_a_node_that_gossip_missed_is_healed_before_the_next_periodic_push_pull(
    seed: int,
) -> None:
    # 38 s of these two seeds, by the push-pull each 30 s: 40 nodes, a split of 30 s.
    cluster = joined(40, seed)
    names = list(cluster.protocols)
    cluster.split(names[:20], names[20:])
    cluster.run(cluster.now + 30_000)
    cluster.heal()
    healed = cluster.now
    assert cluster.run(healed + BOUND, cluster.agreed) - healed < 10_000


def test_clusters_that_formed_apart_become_one() -> None:
    cluster = SimulatedCluster(6, expected=6)
    names = list(cluster.protocols)
    cluster.split(names[:1] + names[2:3], names[1:2] + names[3:])  # a seed in each
    cluster.run(10_000)
    assert {cluster.quorum_level(name) for name in names} == {
        QuorumLevel.MINORITY,
        QuorumLevel.MAJORITY,
    }
    cluster.heal()
    cluster.run(cluster.now + BOUND, cluster.agreed)
    assert cluster.agreed()


def test_a_link_cut_one_way_gets_nobody_declared_dead() -> None:
    cluster = joined(8)
    cluster.network.cut_links.add(("n1", "n2"))
    cluster.run(cluster.now + 60_000)
    assert not deaths(cluster)


def test_a_ring_of_links_cut_one_way_gets_nobody_declared_dead() -> None:
    cluster = joined(8)
    names = list(cluster.protocols)
    cluster.network.cut_links |= set(zip(names, names[1:] + names[:1], strict=True))
    cluster.run(cluster.now + 60_000)
    assert not deaths(cluster)


def test_a_paused_node_is_declared_dead_and_returns_by_a_new_incarnation_accusing_nobody() -> None:
    cluster = joined(6)
    cluster.pause("n1")
    cluster.run(cluster.now + 20_000)
    others = [name for name in cluster.protocols if name != "n1"]
    assert all(cluster.statuses(name)["n1"] is MemberStatus.DEAD for name in others)
    woken, before = cluster.now, cluster.protocols["n1"].local_record.incarnation
    cluster.resume("n1")
    assert (
        cluster.pauses and cluster.quorum_level("n1") is QuorumLevel.ISOLATED
    )  # until somebody has told it what is
    cluster.run(cluster.now + BOUND, cluster.agreed)
    assert cluster.agreed() and cluster.protocols["n1"].local_record.incarnation > before
    assert deaths(cluster, woken) <= {"n1"}
    cluster.run(cluster.now + 5_000)
    assert cluster.quorum_level("n1") is QuorumLevel.ALL


def test_a_slow_node_that_accuses_everybody_gets_nobody_declared_dead() -> None:
    cluster = joined(10)
    cluster.delays_ms["n1"] = 1500.0  # everything reaches it too late for its own probes
    cluster.run(cluster.now + 60_000)
    accused = [
        seen
        for seen in cluster.changes
        if seen.status is MemberStatus.SUSPECT and seen.reporter == "n1"
    ]
    assert accused and cluster.protocols["n1"].context.health.score > 0
    assert not deaths(cluster) - {"n1"}


@pytest.mark.parametrize("hour", [0.0, 3_600_000.0, -3_600_000.0])
def test_a_node_restarted_under_its_name_is_back_whatever_its_clock(hour: float) -> None:
    cluster = joined(6)
    cluster.run(cluster.now + 5000)
    cluster.kill("n2")
    cluster.run(cluster.now + 1500)  # within the time of its suspicion
    cluster.restart("n2", START_UNIX_MS + hour)
    cluster.run(cluster.now + BOUND, cluster.agreed)
    cluster.run(cluster.now + 20_000)
    assert cluster.agreed() and not cluster.conflicts
    assert {
        cluster.protocols[name].table.members["n2"].record.generation for name in cluster.protocols
    } == {cluster.protocols["n2"].local_record.generation}


def test_two_processes_of_one_name_both_report_it_and_the_older_yields() -> None:
    cluster = joined(5)
    old = cluster.protocols["n1"]
    impostor = cluster.add("n1b", 5)  # on an address of its own
    impostor.context.local.record = impostor.local_record.__class__(
        "n1", 0, MemberStatus.ALIVE, impostor.local_record.address, impostor.local_record.generation
    )
    impostor.table.members.pop("n1b")
    impostor.membership.merge(impostor.local_record, "n1")
    cluster.run(cluster.now + 20_000)
    assert {name for name, _ in cluster.conflicts} == {"n1", "n1b"}
    assert old.yields_name and not impostor.yields_name
    assert old.quorum().level is QuorumLevel.ISOLATED
    cluster.kill("n1b")
    cluster.run(cluster.now + BOUND)
    assert not old.yields_name and old.quorum().level is not QuorumLevel.ISOLATED


def test_the_cluster_holds_with_a_third_of_datagrams_lost_repeated_or_reordered() -> None:
    cluster = joined(
        12, links=NetworkConditions(loss_share=0.3, duplicate_share=0.2, reorder_share=0.2)
    )
    cluster.run(cluster.now + 120_000)
    refuted = [
        name for name in deaths(cluster) if cluster.statuses("n0")[name] is not MemberStatus.ALIVE
    ]
    assert not refuted and len(deaths(cluster)) <= 1
    cluster.kill("n3")
    cluster.run(cluster.now + BOUND, lambda: cluster.all_declared_dead("n3"))
    assert cluster.all_declared_dead("n3")


def test_members_that_left_do_not_count_against_the_quorum() -> None:
    cluster = joined(5)
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
    cluster.run(cluster.now + BOUND)
    assert (
        cluster.quorum_level("n0") is QuorumLevel.ISOLATED
        and cluster.protocols["n0"].quorum().possibly_alive == 3
    )


def test_two_hundred_joins_at_once_end_in_one_membership() -> None:
    cluster = SimulatedCluster(1, expected=1)
    for number in range(1, 200):
        cluster.schedule(number * 5.0, cluster.add, f"n{number}", number)
    cluster.run(1100.0)
    cluster.run(BOUND, cluster.agreed)
    assert cluster.agreed() and len(cluster.protocols) == 200 and not deaths(cluster)
    assert cluster.largest_datagram_bytes <= MTU_BYTES


def test_a_link_that_flaps_for_a_minute_gets_nobody_declared_dead() -> None:
    cluster = joined(6)
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
    cluster = joined(4)
    protocol, other = cluster.protocols["n0"], cluster.protocols["n1"]
    source = other.local_record.address
    ping, gone = other.sender.packet(Ping(1)), replace(other.local_record, status=MemberStatus.DEAD)
    accusation = other.sender.packet(Gossip(), (gone,))
    assert [effect.packet.body for effect in protocol.receive(cluster.now, ping, source)] == [
        Ack(1)
    ]
    assert protocol.receive(cluster.now, ping, source) == []
    other.context.local.record = replace(
        other.local_record, incarnation=other.local_record.incarnation + 1
    )
    protocol.receive(cluster.now, other.sender.packet(Gossip(), (other.local_record,)), source)
    (answer,) = protocol.receive(cluster.now, accusation, source)  # of the incarnation before
    assert isinstance(answer, SendDatagram) and isinstance(answer.packet.body, StaleSender)
    assert cluster.statuses("n0")["n1"] is MemberStatus.ALIVE


def test_unknown_senders_and_endless_probe_requests_fill_no_table() -> None:
    cluster = joined(2)
    protocol, other = cluster.protocols["n0"], cluster.protocols["n1"]
    for number in range(MAX_REPLAY_WINDOWS + 50):
        protocol.receive(
            cluster.now,
            replace(other.sender.packet(Gossip()), sender=f"x{number}"),
            ("127.9.9.9", 1),
        )
    for number in range(MAX_RELAYED + 50):
        asking = other.sender.packet(PingRequest(number, "n1", *other.local_record.address, 500.0))
        protocol.receive(cluster.now, asking, other.local_record.address)
    for boot in range(1, MAX_RIVALS + 20):
        rival = replace(
            protocol.local_record,
            generation=protocol.local_record.generation + boot,
            incarnation=protocol.local_record.incarnation + 1,
        )
        protocol.receive(
            cluster.now, other.sender.packet(Gossip(), (rival,)), other.local_record.address
        )
    assert (
        len(protocol.receiver.replay_filter) <= MAX_REPLAY_WINDOWS
        and len(protocol.receiver.relay) <= MAX_RELAYED
    )
    assert (
        len(protocol.membership.conflicts.incarnations) <= MAX_RIVALS
        and len(protocol.sender.queue) < 10
    )


def test_dead_members_are_retried_until_their_retention_ends() -> None:
    cluster = joined(3, timing=SwimTiming(dead_retention_ms=40_000.0))
    cluster.kill("n2")
    cluster.run(cluster.now + 20_000)
    assert (
        cluster.statuses("n0")["n2"] is MemberStatus.DEAD
        and cluster.quorum_level("n0") is QuorumLevel.MAJORITY
    )
    cluster.run(cluster.now + 60_000)
    assert "n2" not in cluster.statuses("n0") and cluster.quorum_level("n0") is QuorumLevel.ALL


@pytest.mark.parametrize("seed", range(10))
def test_random_kills_pauses_and_cuts_end_in_one_membership(seed: int) -> None:
    rng, cluster = random.Random(seed), joined(8, seed)
    names = list(cluster.protocols)
    for _ in range(12):
        name = rng.choice(names)
        act = rng.randrange(5)
        if act == 0 and sum(cluster.up.values()) > 3 and name not in cluster.paused:
            cluster.kill(name)
        elif act == 1 and not cluster.up[name]:
            cluster.restart(name, START_UNIX_MS + rng.choice((0, -3_600_000, 3_600_000)))
        elif (
            act == 2 and cluster.up[name] and name not in cluster.paused and len(cluster.paused) < 2
        ):
            cluster.pause(name)
        elif act == 3 and cluster.paused:
            cluster.resume(rng.choice(list(cluster.paused)))
        else:
            part = rng.sample(names, 4)
            cluster.split(part, [other for other in names if other not in part])
        cluster.run(cluster.now + rng.uniform(500, 15_000))
        if rng.random() < 0.5:
            cluster.heal()
    cluster.heal()
    for name in list(cluster.paused):
        cluster.resume(name)
    cluster.run(cluster.now + 2 * BOUND, cluster.agreed)
    assert (
        cluster.agreed() and not cluster.conflicts and cluster.largest_datagram_bytes <= MTU_BYTES
    )
