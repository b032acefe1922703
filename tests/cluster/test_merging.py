"""Whatever comes in whatever order, views and boards end the same; packets that are not ours are
refused."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from badgercart.cluster.broadcast_queue import Queue, most_times
from badgercart.cluster.codec import MTU, Codec, Packet, Ping, Refused, Window
from badgercart.cluster.driver import MAX_SOURCES, Allowed
from badgercart.cluster.gossip_registers import MAX_POST, GossipRegisters
from badgercart.cluster.hybrid_logical_clock import MAX_AHEAD, HybridClock
from badgercart.cluster.membership_table import MembershipRecord, MembershipTable, Status

names = st.sampled_from(["a", "b", "c"])
addresses = st.sampled_from([("h", 1), ("h", 2)])
claims = st.builds(
    MembershipRecord,
    names,
    st.integers(0, 4),
    st.sampled_from(Status),
    addresses,
    st.integers(1, 3),
)
posts = st.tuples(st.sampled_from(["x", "y"]), names, st.integers(0, 4), st.binary(max_size=2))


@given(st.lists(claims, max_size=12), st.randoms(use_true_random=False), st.integers(0, 12))
def test_claims_merge_in_any_order_and_any_grouping_to_one_view(
    told: list[MembershipRecord], rng: random.Random, cut: int
) -> None:
    def merged(*groups: list[MembershipRecord]) -> dict[str, tuple[object, ...]]:
        view = MembershipTable()
        for group in groups:  # each group by itself first, as another node would have done it
            part = MembershipTable()
            for claim in group:
                part.merge(claim, 0.0, "")
            for claim in part.claims() * 2:
                view.merge(claim, 0.0, "")
        return {name: belief.claim.rank for name, belief in view.beliefs.items()}

    shuffled = rng.sample(told, len(told))
    assert (
        merged(told) == merged(shuffled) == merged(told[:cut], told[cut:]) == merged(told, shuffled)
    )


@given(st.lists(posts, max_size=12), st.randoms(use_true_random=False))
def test_posts_merge_in_any_order_to_one_board(
    told: list[tuple[str, str, int, bytes]], rng: random.Random
) -> None:
    boards = []
    for order in (told, rng.sample(told, len(told)), told * 2):
        board = GossipRegisters()
        board.follow("x"), board.follow("y")
        for post in order:
            board.merge(post)
        boards.append(board.posts)
    assert boards[0] == boards[1] == boards[2]


def test_tables_have_their_bounds() -> None:
    view, board, queue = MembershipTable(most=2), GossipRegisters(most=2), Queue(2)
    board.follow("x")
    for name in "abc":
        view.merge(MembershipRecord(name, 0, Status.ALIVE, ("h", 1), 1), 0.0, "")
        board.merge(("x", name, 1, b""))
        queue.put(name, name, 1)
    assert len(view.beliefs) == len(board.posts) == len(queue) == 2
    assert view.turned_away == board.turned_away == 1
    assert not board.merge(("x", "a", 2, bytes(MAX_POST + 1))) and not board.merge(
        ("unknown", "a", 2, b"")
    )


def test_news_is_passed_on_so_often_as_the_group_asks_and_the_freshest_first() -> None:
    queue = Queue(10)
    queue.put("old", "old", 40)
    assert queue.take(100, 9) == ["old"]
    queue.put("new", "new", 40)
    assert queue.take(50, 9) == ["new"]  # no room for both
    taken = [item for _ in range(20) for item in queue.take(100, 9)]
    assert taken.count("old") == taken.count("new") == most_times(9) - 1 and not len(queue)


OURS = Codec("g", b"secret of the group")


def ping(sender: str = "a", *claims: MembershipRecord) -> bytes:
    return OURS.encode(Packet(sender, 1, 0, 1, (1, 0), Ping(3), claims))


GOOD = ping("a", MembershipRecord("a", 0, Status.ALIVE, ("h", 1), 1))


@pytest.mark.parametrize(
    ("kind", "data"),
    [
        ("forged", Codec("g", b"another secret").encode(OURS.decode(GOOD))),
        ("forged", Codec("h", b"secret of the group").encode(OURS.decode(GOOD))),
        ("forged", GOOD[:-1] + bytes([GOOD[-1] ^ 1])),
        ("version", GOOD[:2] + b"\x09" + GOOD[3:]),
        ("stray", b"GET / HTTP/1.1\r\n\r\n--------"),
        ("stray", b"bc"),
        ("oversized", GOOD + bytes(MTU)),
        ("malformed", b"bc\x01" + OURS.tag(b"\x93") + b"\x93"),
        ("malformed", ping("a", MembershipRecord("x" * 99, 0, Status.DEAD, ("h", 1), 1))),
        ("malformed", ping("a", MembershipRecord("x", 1 << 60, Status.DEAD, ("h", 1), 1))),
        ("malformed", ping("")),
    ],
)  # fmt: skip
def test_what_is_not_this_groups_is_refused_by_its_kind(kind: str, data: bytes) -> None:
    with pytest.raises(Refused) as caught:
        OURS.decode(data)
    assert caught.value.kind == kind
    assert OURS.decode(GOOD).body == Ping(3)


@given(st.binary(max_size=64))
def test_no_bytes_with_a_good_hash_raise_anything_else(data: bytes) -> None:
    try:
        OURS.decode(b"bc\x01" + OURS.tag(data) + data)
    except Refused as error:
        assert error.kind in ("malformed", "stray")


@given(st.lists(st.integers(0, 200), max_size=80))
def test_a_serial_is_taken_once_at_most(serials: list[int]) -> None:
    window, taken = Window(), set()
    for serial in serials:
        late = taken and serial <= max(taken) - 64
        assert window.take(serial) == (serial not in taken and not late)
        taken.add(serial) if not late else None


def test_a_stamp_is_behind_all_that_it_may_know_of_and_far_clocks_do_not_pull_it_along() -> None:
    now = [1000.0]
    clock = HybridClock(lambda: now[0])
    first = clock.tick()
    heard = clock.hear((5000, 7))
    assert first < (5000, 7) < heard < clock.tick()
    now[0] = 400.0  # set back
    assert clock.tick() > heard
    assert clock.hear((int(now[0]) + MAX_AHEAD + 10_000, 0)) < (now[0] + MAX_AHEAD, 0)


def test_addresses_are_allowed_by_network_and_looked_up_once() -> None:
    allowed = Allowed(("127.1.0.0/16", "10.0.0.5/32"))
    assert "127.1.2.3" in allowed and "10.0.0.5" in allowed
    assert "127.2.0.1" not in allowed and "no address" not in allowed
    for number in range(MAX_SOURCES + 10):
        assert f"127.1.{number >> 8 & 255}.{number & 255}" in allowed
    assert len(allowed.known) <= MAX_SOURCES
