"""What one node bears does not grow with the group, by counts: messages, bytes, entries looked at.

In benchmarks/scale/peers.py the same groups are played to 1,024; here from 20 to 80, acquainted at
once.
"""

from __future__ import annotations

import random

import pytest

from badgercart.cluster.broadcast_queue import MAX_MISFITS, BroadcastQueue
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

FEW, MANY = 20, 80
# times what it is in the small group, at most; a cost that grows with the group would be 4 times
FLAT = 1.3
SETTLED = 6.0  # s
A_ROUND = 80.0  # s in which each probes all others of the large group


def bears(nodes: int, tenants: int, seconds: float, settled: float = SETTLED) -> dict[str, float]:
    """Return what a node bears a second, at rest but for usage reports of so many tenants."""
    cluster = HollowCluster(nodes, tenants)
    cluster.acquaint()
    cluster.run(settled * 1000)
    mark = cluster.mark()
    cluster.run(cluster.now + seconds * 1000)
    assert cluster.agreed()
    return rates(cluster, mark)


def growth(
    *names: str, tenants: int = 0, seconds: float = A_ROUND, settled: float = SETTLED
) -> dict[str, float]:
    few, many = (bears(nodes, tenants, seconds, settled) for nodes in (FEW, MANY))
    return {name: many[name] / few[name] for name in names}


def test_an_idle_nodes_cost_does_not_grow_with_the_cluster() -> None:
    grown = growth("messages", "looked")
    assert max(grown.values()) < FLAT, grown


def test_the_cost_of_usage_reports_does_not_grow_with_the_cluster() -> None:
    grown = growth("messages", "bytes out", "bytes in", "looked", tenants=3, seconds=10.0)
    assert max(grown.values()) < FLAT, grown


def test_a_fanout_that_grows_with_the_cluster_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    def spread(dissemination: Dissemination) -> None:
        context = dissemination.context
        for state in context.peers.sample(len(context.table.members) // 4):
            dissemination.sender.send(state.record.address, Gossip())

    monkeypatch.setattr(Dissemination, "spread", spread)
    assert growth("messages", seconds=3.0, settled=1.0)["messages"] > FLAT


def test_examining_all_members_for_each_packet_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    def sample(peers: PeerSampler, count: int, excluding: str = "") -> list[MemberState]:
        others = [state for state in peers.reachable() if state.record.name != excluding]
        return peers.rng.sample(others, min(count, len(others)))

    monkeypatch.setattr(PeerSampler, "sample", sample)
    assert growth("looked", tenants=10, seconds=5.0)["looked"] > FLAT


# The parts by themselves.


def test_checking_agreement_asks_one_table_while_that_one_disagrees() -> None:
    cluster, looks = SimulatedCluster(40, 2, expected=40), 0

    def agreed() -> bool:
        nonlocal looks
        looks += 1
        return cluster.agreed()

    cluster.run(60_000, agreed)
    assert cluster.agreed() and looks > 20
    assert cluster.tables_compared <= looks + 4 * 40  # some turns round all of them


def looked_at(waiting: int, size: int) -> float:
    """Items that a packet costs a look at while so many wait."""
    queue = BroadcastQueue(20_000)
    for number in range(waiting):
        queue.enqueue(number, number, size)
    for _ in range(50):
        assert queue.take(1200, 1000)
    return queue.examined_count / 50


@pytest.mark.parametrize("size", [70, 500])
def test_a_packet_costs_by_what_fits_not_by_what_waits(size: int) -> None:
    assert looked_at(10_000, size) == looked_at(1000, size) <= 1200 // size + MAX_MISFITS


def test_items_go_the_least_passed_on_first_and_the_newest_of_those() -> None:
    """Against the plain way: everything that waits sorted for each packet."""
    rng = random.Random(5)
    queue, plain, order, most = BroadcastQueue(60), {}, 0, 60
    for _ in range(4000):
        if rng.random() < 0.5:
            key, size, order = rng.randrange(90), rng.choice([60, 80, 300]), order + 1
            plain.pop(key, None)
            if len(plain) >= most:
                del plain[max(plain, key=lambda k: (plain[k][1], -plain[k][2]))]
            plain[key] = [size, 0, order]
            queue.enqueue(key, key, size)
        else:
            room, wanted, misfits = 1200, [], 0
            for key, item in sorted(plain.items(), key=lambda pair: (pair[1][1], -pair[1][2])):
                if misfits == MAX_MISFITS:
                    break
                if item[0] > room:
                    misfits += 1
                    continue
                room -= item[0]
                wanted.append(key)
                item[1] += 1
                if item[1] >= 4:
                    del plain[key]
            assert queue.take(1200, 9) == wanted
        assert len(queue) == len(queue.transmission_order) == len(plain)


def test_reachable_and_unreachable_sets_follow_every_change_of_a_table() -> None:
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
        live = {b.record.name for b in table.with_status(MemberStatus.ALIVE, MemberStatus.SUSPECT)}
        assert sorted(table.reachable.names) == sorted(live) and all(
            table.reachable.names[at] == n for n, at in table.reachable.positions.items()
        )
        assert set(table.unreachable) == {
            b.record.name for b in table.with_status(MemberStatus.DEAD, MemberStatus.LEFT)
        }
        assert set(table.reachable_addresses) == {table.members[n].record.address for n in live}
        drawn = [b.record.name for b in table.sample(3, rng, (name,))]
        assert len(set(drawn)) == len(drawn) == min(3, len(live - {name})) and set(
            drawn
        ) <= live - {name}


def test_who_is_drawn_costs_by_how_many_are_drawn_and_all_are_drawn_alike() -> None:
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
