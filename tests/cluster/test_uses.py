"""Shares add up, rumours only drain, and a liar costs little."""

from __future__ import annotations

import random

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from badgercart.cluster.member import Member as Group
from badgercart.cluster.membership_table import MembershipRecord, Status
from badgercart.cluster.quorum import Level, QuorumState, level_of
from badgercart.cluster.swim import Posted, SwimProtocol, Timing
from badgercart.cluster.uses import A_POST, Hearsay, Rumours, Shares, Use, company, levelled
from badgercart.config import Address
from badgercart.core.endpoint_table import DiscoveredEndpoint
from badgercart.policy.endpoint import Endpoint, EndpointState

HOST: Address = ("127.0.0.1", 80)
STALE_MS = 2000.0


@given(st.floats(0.01, 1e6), st.lists(st.floats(0, 1e6), min_size=1, max_size=12))
def test_parts_add_up_and_nobody_lacks_while_another_has_more_than_it_wants(
    total: float, wants: list[float]
) -> None:
    parts = levelled(total, wants)
    assert sum(parts) == pytest.approx(total) and min(parts) >= 0
    short = [part for part, want in zip(parts, wants, strict=True) if part < want * (1 - 1e-9)]
    if short:
        assert max(parts) <= min(short) * (1 + 1e-9) + 1e-9


def settled(rates: list[float], quota: float = 100.0) -> list[Shares]:
    """Nodes that have all heard each other's use, requests a second of one tenant, over two
    reports."""
    nodes = [Shares([quota], boot) for boot in range(len(rates))]
    for at in (1000.0, 2000.0):
        for node, rate in zip(nodes, rates, strict=True):
            for _ in range(round(rate)):
                node.count(0)
        said = [node.report(at) for node in nodes]
        for node in nodes:
            for number, told in enumerate(said):
                if nodes[number] is not node:
                    node.take(f"n{number}", told, at)
    return nodes


def standing(reach: list[int], largest: int) -> QuorumState:
    return QuorumState(level_of(len(reach), largest), tuple(f"n{i}" for i in reach), largest)


@given(st.lists(st.integers(0, 200), min_size=2, max_size=8), st.integers(1, 2**8 - 1))
def test_parts_of_all_nodes_are_the_quota_and_in_any_split_less_than_half_too_much(
    rates: list[int], bits: int
) -> None:
    nodes = settled([float(rate) for rate in rates])
    everybody = list(range(len(nodes)))

    def used(group: list[int]) -> float:
        there = standing(group, len(nodes))
        return sum(nodes[i].parts(f"n{i}", there, 2000.0, STALE_MS)[0] for i in group)

    assert used(everybody) == pytest.approx(1.0, abs=1e-4)
    halves = [[i for i in everybody if bits >> i & 1], [i for i in everybody if not bits >> i & 1]]
    assert sum(used(half) for half in halves if half) < 1.5


def test_what_an_idle_node_does_not_use_is_lent_and_a_dead_ones_part_taken_over() -> None:
    nodes = settled([90.0, 0.0, 0.0, 0.0])
    whole = nodes[0].parts("n0", standing([0, 1, 2, 3], 4), 2000.0, STALE_MS)
    assert whole[0] > 0.9
    busy = settled([100.0, 100.0, 100.0, 100.0])
    assert busy[0].parts("n0", standing([0, 1, 2, 3], 4), 2000.0, STALE_MS)[0] == pytest.approx(
        0.25
    )
    assert busy[0].parts("n0", standing([0, 1, 2], 4), 2000.0, STALE_MS)[0] == pytest.approx(1 / 3)
    assert busy[3].parts("n3", standing([3], 4), 2000.0, STALE_MS) == (
        0.25,
    )  # cut off: no more than its own


def test_one_not_heard_lately_counts_as_wanting_its_even_part() -> None:
    nodes = settled([90.0, 0.0])
    assert nodes[0].parts("n0", standing([0, 1], 2), 2000.0, STALE_MS)[0] > 0.9
    assert nodes[0].parts("n0", standing([0, 1], 2), 9000.0, STALE_MS)[0] == pytest.approx(0.5)


def test_a_claim_of_endless_use_takes_no_more_than_an_even_part_and_counts_never_go_back() -> None:
    nodes = settled([60.0, 60.0])
    there = standing([0, 1], 2)
    nodes[0].take("n1", msgspec.msgpack.encode(Use(1, 3000.0, [10**18])), 3000.0)
    assert nodes[0].parts("n0", there, 3000.0, STALE_MS)[0] == pytest.approx(0.5)
    before = list(nodes[0].heard["n1"].posts)
    for bad in (
        Use(1, 4000.0, [5]),
        Use(1, 4000.0, [1, 2]),
        Use(1, 4000.0, [-1]),
        Use(1, 2.0, [10**18 + 1]),
    ):
        nodes[0].take("n1", msgspec.msgpack.encode(bad), 4000.0)
    nodes[0].take("n1", b"junk", 4000.0)
    assert list(nodes[0].heard["n1"].posts) == before and nodes[0].turned_away == 3


def member(number: int, state: EndpointState = EndpointState.READY) -> DiscoveredEndpoint:
    return DiscoveredEndpoint(Endpoint(number, 0, 0, 0, state, 1.0, 0.0), HOST, f"s{number}")


LISTED = {number: member(number) for number in range(1, 11)}


def told(*servers: int, version: int = 5) -> bytes:
    rumours = Rumours()
    for server in servers:
        rumours.note(member(server, EndpointState.DRAINING), version, 0.0)
    return rumours.posts(0.0)[0]


def test_a_rumour_drains_until_our_own_list_is_as_late_and_never_brings_one_back() -> None:
    rumours = Rumours()
    (line,) = rumours.take(told(3), 4, LISTED)
    assert rumours.amend(line, 4).entry.state is EndpointState.DRAINING
    assert rumours.take(told(3), 4, LISTED) == []  # heard again
    assert rumours.over(4) == []
    assert (
        rumours.amend(member(3), 4).entry.state is EndpointState.DRAINING
    )  # our list says ready, and is older
    (back,) = rumours.over(5)
    assert (
        back.entry.state is EndpointState.READY
        and rumours.amend(back, 5).entry.state is EndpointState.READY
    )
    assert rumours.take(told(3), 5, LISTED) == []  # older than what our list says


def test_a_word_of_our_own_list_is_told_and_one_that_came_as_a_rumour_is_not() -> None:
    rumours = Rumours()
    rumours.note(member(1, EndpointState.GONE), 4, 0.0)
    rumours.take(told(2), 4, LISTED)
    rumours.note(rumours.amend(member(2), 4), 4, 0.0)
    assert [server for server, _ in msgspec.msgpack.decode(rumours.posts(0.0)[0])] == [1]
    rumours.note(member(1), 6, 0.0)  # it is back
    assert rumours.posts(0.0) == []


def test_that_all_servers_are_gone_takes_out_no_more_than_a_third() -> None:
    rumours = Rumours()
    assert len(rumours.take(told(*range(1, 11)), 4, LISTED)) == 3
    assert rumours.turned_away == 7
    for junk in (
        b"",
        b"\xc1",
        msgspec.msgpack.encode([["x"]]),
        msgspec.msgpack.encode([[99, 9]] * 50),
    ):
        assert rumours.take(junk, 4, LISTED) == []


def test_many_drains_are_told_in_posts_of_a_few_the_newest_first() -> None:
    rumours = Rumours()
    for server in range(1000):
        rumours.note(member(server, EndpointState.DRAINING), 5, 0.0)
    posts = rumours.posts(1.0)
    assert [len(msgspec.msgpack.decode(post)) for post in posts] == [A_POST] * 8
    assert msgspec.msgpack.decode(posts[0])[0][0] == 999
    assert rumours.posts(100_000.0) == []


def test_hearsay_takes_two_and_fades() -> None:
    hearsay = Hearsay(1000.0)
    liar = {number: 1.0 for number in range(50)}
    hearsay.take("liar", hearsay.report(liar), 0.0)
    assert hearsay.levels(["liar", "b"], 0.0) == ()
    hearsay.take("b", hearsay.report({3: 0.6}), 0.0)
    assert hearsay.levels(["liar", "b"], 0.0) == ((3, 0.6),)
    assert hearsay.levels(["liar", "b"], 500.0) == ((3, 0.3),)
    assert hearsay.levels(["liar", "b"], 1000.0) == () and hearsay.levels(["b"], 0.0) == ()
    hearsay.take("b", b"junk", 0.0)
    assert hearsay.turned_away == 1


@pytest.mark.parametrize(
    ("reach", "size", "may_live", "level"),
    [(3, 3, 3, Level.WHOLE), (2, 2, 3, Level.MOST), (2, 4, 4, Level.SOME), (1, 3, 3, Level.ALONE)],
)
def test_without_a_majority_a_node_takes_itself_for_one_of_all(
    reach: int, size: int, may_live: int, level: Level
) -> None:
    there = standing(list(range(reach)), may_live)
    event = company("n0", there, (0.5,), ())
    assert (there.level, event.size, event.possibly_alive, event.node_index) == (
        level,
        size,
        may_live,
        0,
    )


def test_random_posts_never_raise() -> None:
    rng = random.Random(1)
    shares, rumours, hearsay = Shares([1.0], 1), Rumours(), Hearsay(1.0)
    for _ in range(2000):
        said = rng.randbytes(rng.randrange(12))
        shares.take("a", said, 0.0)
        rumours.take(said, 0, LISTED)
        hearsay.take("a", said, 0.0)
    assert len(shares.heard) <= 1 and len(rumours.known) <= 3


def test_in_a_large_group_reports_come_less_often_and_none_of_them_is_old_for_that() -> None:
    machine = SwimProtocol(
        MembershipRecord("n0", 0, Status.ALIVE, HOST, 1), Timing(), [], random.Random(1)
    )
    member_ = Group(machine, [100.0], 500.0, ("shares",))
    least = member_.every
    for number in range(1, 100):
        machine.merge(
            MembershipRecord(f"n{number}", 0, Status.ALIVE, ("127.0.0.1", 80 + number), 1),
            f"n{number}",
        )
    # So many are passed on by each node that a link bears no more than in a group of eight.
    assert least == 500.0 and member_.every == pytest.approx(500.0 * 100 * 12 / 64)
    for at in (0.0, member_.every):
        post = Posted("use", "n1", int(at) + 1, msgspec.msgpack.encode(Use(1, at, [int(at)])))
        member_.heard(at, post)
    assert member_.shares.wants(
        "n1", False, 0, 100, 2.5 * member_.every, 4 * member_.every
    ) == pytest.approx(1.2)
