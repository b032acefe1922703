"""What one node bears does not grow with the group, by counts: messages, bytes, entries looked at.

In benchmarks/scale/peers.py the same groups are played to 1,024; here from 20 to 80, acquainted at
once.
"""

from __future__ import annotations

import random

import pytest

from badgercart.cluster.broadcast_queue import MISFITS, Queue
from badgercart.cluster.codec import Gossip
from badgercart.cluster.membership_table import (
    MembershipRecord,
    MembershipTable,
    MemberState,
    Status,
)
from badgercart.cluster.swim import SwimProtocol
from benchmarks.scale.peers import Hollow, rates
from lab.group import Group

FEW, MANY = 20, 80
# times what it is in the small group, at most; a cost that grows with the group would be 4 times
FLAT = 1.3
SETTLED = 6.0  # s
A_ROUND = 80.0  # s in which each probes all others of the large group


def bears(nodes: int, tenants: int, seconds: float, settled: float = SETTLED) -> dict[str, float]:
    """What a node bears a second, at rest but for reports of use of so many tenants."""
    group = Hollow(nodes, tenants)
    group.acquaint()
    group.run(settled * 1000)
    mark = group.mark()
    group.run(group.now + seconds * 1000)
    assert group.agreed()
    return rates(group, mark)


def growth(
    *names: str, tenants: int = 0, seconds: float = A_ROUND, settled: float = SETTLED
) -> dict[str, float]:
    few, many = (bears(nodes, tenants, seconds, settled) for nodes in (FEW, MANY))
    return {name: many[name] / few[name] for name in names}


def test_a_node_at_rest_bears_the_same_in_a_larger_group() -> None:
    grown = growth("messages", "looked")
    assert max(grown.values()) < FLAT, grown


def test_reports_of_use_cost_a_node_the_same_in_a_larger_group() -> None:
    grown = growth("messages", "bytes out", "bytes in", "looked", tenants=3, seconds=10.0)
    assert max(grown.values()) < FLAT, grown


def test_a_fan_out_that_grows_with_the_group_is_seen(monkeypatch: pytest.MonkeyPatch) -> None:
    def spread(machine: SwimProtocol) -> None:
        for belief in machine.some(len(machine.view.beliefs) // 4):
            machine.send(belief.claim.address, Gossip())

    monkeypatch.setattr(SwimProtocol, "spread", spread)
    assert growth("messages", seconds=3.0, settled=1.0)["messages"] > FLAT


def test_a_look_at_all_members_for_each_packet_is_seen(monkeypatch: pytest.MonkeyPatch) -> None:
    def some(machine: SwimProtocol, count: int, without: str = "") -> list[MemberState]:
        others = [belief for belief in machine.live() if belief.claim.name != without]
        return machine.random.sample(others, min(count, len(others)))

    monkeypatch.setattr(SwimProtocol, "some", some)
    assert growth("looked", tenants=10, seconds=5.0)["looked"] > FLAT


# The parts by themselves.


def test_a_look_whether_all_agree_asks_one_view_while_that_one_does_not() -> None:
    group, looks = Group(40, 2, expected=40), 0

    def agreed() -> bool:
        nonlocal looks
        looks += 1
        return group.agreed()

    group.run(60_000, agreed)
    assert group.agreed() and looks > 20
    assert group.asked_views <= looks + 4 * 40  # some turns round all of them


def looked_at(waiting: int, size: int) -> float:
    """Items that a packet costs a look at while so many wait."""
    queue = Queue(20_000)
    for number in range(waiting):
        queue.put(number, number, size)
    for _ in range(50):
        assert queue.take(1200, 1000)
    return queue.looked / 50


@pytest.mark.parametrize("size", [70, 500])
def test_a_packet_costs_by_what_fits_not_by_what_waits(size: int) -> None:
    assert looked_at(10_000, size) == looked_at(1000, size) <= 1200 // size + MISFITS


def test_items_go_the_least_passed_on_first_and_the_newest_of_those() -> None:
    """Against the plain way: everything that waits sorted for each packet."""
    rng = random.Random(5)
    queue, plain, order, most = Queue(60), {}, 0, 60
    for _ in range(4000):
        if rng.random() < 0.5:
            key, size, order = rng.randrange(90), rng.choice([60, 80, 300]), order + 1
            plain.pop(key, None)
            if len(plain) >= most:
                del plain[max(plain, key=lambda k: (plain[k][1], -plain[k][2]))]
            plain[key] = [size, 0, order]
            queue.put(key, key, size)
        else:
            room, wanted, misfits = 1200, [], 0
            for key, item in sorted(plain.items(), key=lambda pair: (pair[1][1], -pair[1][2])):
                if misfits == MISFITS:
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
        assert len(queue) == len(queue.waiting) == len(plain)


def test_who_is_in_reach_and_who_is_gone_follow_every_change_of_a_view() -> None:
    rng, view = random.Random(3), MembershipTable(40)
    for step in range(3000):
        name = f"n{rng.randrange(50)}"
        if rng.random() < 0.1:
            view.forget(name)
        else:
            status, port = rng.choice(list(Status)), rng.randrange(1, 9)
            view.merge(
                MembershipRecord(name, step // 9, status, ("h", port), rng.randrange(3)), 0.0, ""
            )
        live = {b.claim.name for b in view.of(Status.ALIVE, Status.SUSPECT)}
        assert sorted(view.reach) == sorted(live) and all(
            view.reach[at] == n for n, at in view.places.items()
        )
        assert set(view.gone) == {b.claim.name for b in view.of(Status.DEAD, Status.LEFT)}
        assert set(view.addresses) == {view.beliefs[n].claim.address for n in live}
        drawn = [b.claim.name for b in view.draw(3, rng, (name,))]
        assert len(set(drawn)) == len(drawn) == min(3, len(live - {name})) and set(
            drawn
        ) <= live - {name}


def test_who_is_drawn_costs_by_how_many_are_drawn_and_all_are_drawn_alike() -> None:
    rng, view = random.Random(4), MembershipTable()
    for number in range(1000):
        view.merge(MembershipRecord(f"n{number}", 0, Status.ALIVE, ("h", number + 1), 1), 0.0, "")
    counts = dict.fromkeys(view.beliefs, 0)
    for _ in range(10_000):
        for belief in view.draw(3, rng, ("n7",)):
            counts[belief.claim.name] += 1
    assert view.looked == 4 * 10_000 and counts.pop("n7") == 0
    assert min(counts.values()) > 8 and max(counts.values()) < 60  # 30 on average
