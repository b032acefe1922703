"""Groups in virtual time: who is taken for dead and by whom, under loss, cuts, pauses, floods of
joins."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest

from badgercart.cluster.codec import MTU, Ack, Behind, Gossip, Ping, PingReq
from badgercart.cluster.membership_table import Status
from badgercart.cluster.quorum import Level
from badgercart.cluster.swim import MAX_RELAYED, MAX_RIVALS, MAX_WINDOWS, SendTo, Timing
from lab.group import WALL, Group, Links

BOUND = 60_000.0  # ms in which a group of these sizes must agree


def joined(count: int, seed: int = 1, **more: object) -> Group:
    group = Group(count, seed, expected=count, **more)  # type: ignore[arg-type]
    group.run(BOUND, group.agreed)
    assert group.agreed()
    return group


def deaths(group: Group, since: float = 0.0) -> set[str]:
    return {seen.name for seen in group.seen if seen.status is Status.DEAD and seen.at >= since}


@pytest.mark.parametrize("count", [2, 3, 10, 60])
def test_one_that_dies_is_buried_by_all_and_nobody_else(count: int) -> None:
    group = joined(count)
    group.run(group.now + 30_000)
    assert not deaths(group)
    group.kill("n1")
    group.run(group.now + BOUND, lambda: group.buried("n1"))
    assert group.buried("n1") and group.agreed() and deaths(group) == {"n1"}
    assert group.largest <= MTU


def test_two_halves_know_that_they_are_no_majority_and_heal_to_one_view() -> None:
    group = joined(9)
    names = list(group.machines)
    group.split(names[:4], names[4:])
    group.run(group.now + 30_000)
    assert {group.level(name) for name in names[:4]} == {Level.SOME}
    assert {group.level(name) for name in names[4:]} == {Level.MOST}
    assert {group.machines[name].standing().may_live for name in names} == {9}
    group.heal()
    healed = group.now
    assert group.run(group.now + BOUND, group.agreed) - healed < 20_000
    assert {group.level(name) for name in names} == {Level.WHOLE}


@pytest.mark.parametrize("seed", [5, 7])
def test_one_whom_gossip_missed_by_chance_does_not_wait_for_the_next_round_of_push_pulls(
    seed: int,
) -> None:
    # 38 s of these two seeds, by the push-pull each 30 s: 40 nodes, a split of 30 s.
    group = joined(40, seed)
    names = list(group.machines)
    group.split(names[:20], names[20:])
    group.run(group.now + 30_000)
    group.heal()
    healed = group.now
    assert group.run(healed + BOUND, group.agreed) - healed < 10_000


def test_groups_that_formed_apart_become_one() -> None:
    group = Group(6, expected=6)
    names = list(group.machines)
    group.split(names[:1] + names[2:3], names[1:2] + names[3:])  # a seed in each
    group.run(10_000)
    assert {group.level(name) for name in names} == {Level.SOME, Level.MOST}
    group.heal()
    group.run(group.now + BOUND, group.agreed)
    assert group.agreed()


def test_a_link_that_is_cut_one_way_buries_nobody() -> None:
    group = joined(8)
    group.links.cut.add(("n1", "n2"))
    group.run(group.now + 60_000)
    assert not deaths(group)


def test_a_ring_of_links_cut_one_way_buries_nobody() -> None:
    group = joined(8)
    names = list(group.machines)
    group.links.cut |= set(zip(names, names[1:] + names[:1], strict=True))
    group.run(group.now + 60_000)
    assert not deaths(group)


def test_one_that_stood_still_is_buried_and_comes_back_by_a_new_incarnation_burying_nobody() -> (
    None
):
    group = joined(6)
    group.pause("n1")
    group.run(group.now + 20_000)
    others = [name for name in group.machines if name != "n1"]
    assert all(group.statuses(name)["n1"] is Status.DEAD for name in others)
    woken, before = group.now, group.machines["n1"].me.incarnation
    group.wake("n1")
    assert group.pauses and group.level("n1") is Level.ALONE  # until somebody has told it what is
    group.run(group.now + BOUND, group.agreed)
    assert group.agreed() and group.machines["n1"].me.incarnation > before
    assert deaths(group, woken) <= {"n1"}
    group.run(group.now + 5_000)
    assert group.level("n1") is Level.WHOLE


def test_a_slow_node_that_accuses_everybody_gets_nobody_buried() -> None:
    group = joined(10)
    group.slow["n1"] = 1500.0  # everything reaches it too late for its own probes
    group.run(group.now + 60_000)
    accused = [seen for seen in group.seen if seen.status is Status.SUSPECT and seen.word == "n1"]
    assert accused and group.machines["n1"].health.score > 0
    assert not deaths(group) - {"n1"}


@pytest.mark.parametrize("hour", [0.0, 3_600_000.0, -3_600_000.0])
def test_one_killed_and_restarted_by_its_name_is_back_whatever_its_clock(hour: float) -> None:
    group = joined(6)
    group.run(group.now + 5000)
    group.kill("n2")
    group.run(group.now + 1500)  # within the time of its suspicion
    group.restart("n2", WALL + hour)
    group.run(group.now + BOUND, group.agreed)
    group.run(group.now + 20_000)
    assert group.agreed() and not group.conflicts
    assert {group.machines[name].view.beliefs["n2"].claim.boot for name in group.machines} == {
        group.machines["n2"].me.boot
    }


def test_of_two_processes_of_one_name_both_say_so_and_the_older_stands_back() -> None:
    group = joined(5)
    old = group.machines["n1"]
    impostor = group.add("n1b", 5)  # on an address of its own
    impostor.me = impostor.me.__class__(
        "n1", 0, Status.ALIVE, impostor.me.address, impostor.me.boot
    )
    impostor.view.beliefs.pop("n1b")
    impostor.merge(impostor.me, "n1")
    group.run(group.now + 20_000)
    assert {name for name, _ in group.conflicts} == {"n1", "n1b"}
    assert old.stands_back and not impostor.stands_back
    assert old.standing().level is Level.ALONE
    group.kill("n1b")
    group.run(group.now + BOUND)
    assert not old.stands_back and old.standing().level is not Level.ALONE


def test_with_a_third_of_all_datagrams_lost_twice_or_overtaken_the_group_holds() -> None:
    group = joined(12, links=Links(loss=0.3, twice=0.2, reorder=0.2))
    group.run(group.now + 120_000)
    refuted = [name for name in deaths(group) if group.statuses("n0")[name] is not Status.ALIVE]
    assert not refuted and len(deaths(group)) <= 1
    group.kill("n3")
    group.run(group.now + BOUND, lambda: group.buried("n3"))
    assert group.buried("n3")


def test_every_node_killed_but_one_and_those_that_left_are_no_loss() -> None:
    group = joined(5)
    for name in ("n1", "n2"):
        group.run_effects(name, group.machines[name].leave(group.now))
        group.kill(name)
    group.run(group.now + 5000)
    assert group.level("n0") is Level.WHOLE and group.machines["n0"].standing().may_live == 3
    for name in ("n3", "n4"):
        group.kill(name)
    group.run(group.now + BOUND)
    assert group.level("n0") is Level.ALONE and group.machines["n0"].standing().may_live == 3


def test_two_hundred_joins_at_once_end_in_one_view() -> None:
    group = Group(1, expected=1)
    for number in range(1, 200):
        group.at(number * 5.0, group.add, f"n{number}", number)
    group.run(1100.0)
    group.run(BOUND, group.agreed)
    assert group.agreed() and len(group.machines) == 200 and not deaths(group)
    assert group.largest <= MTU


def test_a_link_that_flaps_for_a_minute_buries_nobody() -> None:
    group = joined(6)
    for step in range(200):
        cut = {("n1", "n2"), ("n2", "n1")} if step % 2 == 0 else set()
        group.at(
            group.now + step * 300.0,
            group.links.cut.symmetric_difference_update,
            cut or group.links.cut,
        )
    group.run(group.now + 60_000)
    group.heal()
    group.run(group.now + 10_000)
    assert not deaths(group) and group.agreed()


def test_old_and_repeated_packets_change_nothing() -> None:
    group = joined(4)
    machine, other = group.machines["n0"], group.machines["n1"]
    source = other.me.address
    ping, gone = other.packet(Ping(1)), replace(other.me, status=Status.DEAD)
    accusation = other.packet(Gossip(), (gone,))
    assert [effect.packet.body for effect in machine.receive(group.now, ping, source)] == [Ack(1)]
    assert machine.receive(group.now, ping, source) == []
    other.me = replace(other.me, incarnation=other.me.incarnation + 1)
    machine.receive(group.now, other.packet(Gossip(), (other.me,)), source)
    (told,) = machine.receive(group.now, accusation, source)  # of the incarnation before
    assert isinstance(told, SendTo) and isinstance(told.packet.body, Behind)
    assert group.statuses("n0")["n1"] is Status.ALIVE


def test_strangers_by_the_thousand_and_endless_requests_fill_no_table() -> None:
    group = joined(2)
    machine, other = group.machines["n0"], group.machines["n1"]
    for number in range(MAX_WINDOWS + 50):
        machine.receive(
            group.now, replace(other.packet(Gossip()), sender=f"x{number}"), ("127.9.9.9", 1)
        )
    for number in range(MAX_RELAYED + 50):
        asking = other.packet(PingReq(number, "n1", *other.me.address, 500.0))
        machine.receive(group.now, asking, other.me.address)
    for boot in range(1, MAX_RIVALS + 20):
        rival = replace(
            machine.me, boot=machine.me.boot + boot, incarnation=machine.me.incarnation + 1
        )
        machine.receive(group.now, other.packet(Gossip(), (rival,)), other.me.address)
    assert len(machine.windows) <= MAX_WINDOWS and len(machine.relayed) <= MAX_RELAYED
    assert len(machine.rivals) <= MAX_RIVALS and len(machine.queue) < 10


def test_the_dead_are_forgotten_in_time_and_tried_until_then() -> None:
    group = joined(3, timing=Timing(remember=40_000.0))
    group.kill("n2")
    group.run(group.now + 20_000)
    assert group.statuses("n0")["n2"] is Status.DEAD and group.level("n0") is Level.MOST
    group.run(group.now + 60_000)
    assert "n2" not in group.statuses("n0") and group.level("n0") is Level.WHOLE


@pytest.mark.parametrize("seed", range(10))
def test_random_kills_freezes_and_cuts_end_in_one_view(seed: int) -> None:
    rng, group = random.Random(seed), joined(8, seed)
    names = list(group.machines)
    for _ in range(12):
        name = rng.choice(names)
        act = rng.randrange(5)
        if act == 0 and sum(group.up.values()) > 3 and name not in group.paused:
            group.kill(name)
        elif act == 1 and not group.up[name]:
            group.restart(name, WALL + rng.choice((0, -3_600_000, 3_600_000)))
        elif act == 2 and group.up[name] and name not in group.paused and len(group.paused) < 2:
            group.pause(name)
        elif act == 3 and group.paused:
            group.wake(rng.choice(list(group.paused)))
        else:
            part = rng.sample(names, 4)
            group.split(part, [other for other in names if other not in part])
        group.run(group.now + rng.uniform(500, 15_000))
        if rng.random() < 0.5:
            group.heal()
    group.heal()
    for name in list(group.paused):
        group.wake(name)
    group.run(group.now + 2 * BOUND, group.agreed)
    assert group.agreed() and not group.conflicts and group.largest <= MTU
