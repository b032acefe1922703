"""Records and updates merge in any order to the same; foreign packets are rejected."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from badgercart.cluster.allowlist import MAX_CACHED_HOSTS, AddressAllowlist
from badgercart.cluster.broadcast_queue import BroadcastQueue, transmit_limit
from badgercart.cluster.codec import MTU_BYTES, PacketCodec
from badgercart.cluster.errors import PacketRejectedError
from badgercart.cluster.gossip_registers import MAX_VALUE_BYTES, GossipRegisters, RegisterUpdate
from badgercart.cluster.hybrid_logical_clock import (
    MAX_CLOCK_LEAD_MS,
    HybridLogicalClock,
    HybridTimestamp,
)
from badgercart.cluster.membership_table import MembershipRecord, MembershipTable, MemberStatus
from badgercart.cluster.messages import Packet, Ping
from badgercart.cluster.replay_filter import ReplayWindow

names = st.sampled_from(["a", "b", "c"])
addresses = st.sampled_from([("h", 1), ("h", 2)])
records = st.builds(
    MembershipRecord,
    names,
    st.integers(0, 4),
    st.sampled_from(MemberStatus),
    addresses,
    st.integers(1, 3),
)
updates = st.builds(
    RegisterUpdate, st.sampled_from(["x", "y"]), names, st.integers(0, 4), st.binary(max_size=2)
)


@given(st.lists(records, max_size=12), st.randoms(use_true_random=False), st.integers(0, 12))
def test_records_merge_in_any_order_and_grouping_to_one_table(
    told: list[MembershipRecord], rng: random.Random, cut: int
) -> None:
    def merged(*groups: list[MembershipRecord]) -> dict[str, tuple[object, ...]]:
        table = MembershipTable()
        for group in groups:  # each group by itself first, as another node would have done it
            part = MembershipTable()
            for record in group:
                part.merge(record, 0.0, "")
            for record in part.records() * 2:
                table.merge(record, 0.0, "")
        return {name: state.record.precedence for name, state in table.members.items()}

    shuffled = rng.sample(told, len(told))
    assert (
        merged(told) == merged(shuffled) == merged(told[:cut], told[cut:]) == merged(told, shuffled)
    )


@given(st.lists(updates, max_size=12), st.randoms(use_true_random=False))
def test_updates_merge_in_any_order_to_the_same_registers(
    told: list[RegisterUpdate], rng: random.Random
) -> None:
    results = []
    for order in (told, rng.sample(told, len(told)), told * 2):
        registers = GossipRegisters()
        registers.declare("x"), registers.declare("y")
        for update in order:
            registers.merge(update)
        results.append(registers.updates)
    assert results[0] == results[1] == results[2]


def test_tables_have_their_bounds() -> None:
    table, registers, queue = (
        MembershipTable(max_members=2),
        GossipRegisters(max_registers=2),
        BroadcastQueue(2),
    )
    registers.declare("x")
    for name in "abc":
        table.merge(MembershipRecord(name, 0, MemberStatus.ALIVE, ("h", 1), 1), 0.0, "")
        registers.merge(RegisterUpdate("x", name, 1, b""))
        queue.enqueue(name, name, 1)
    assert len(table.members) == len(registers.updates) == len(queue) == 2
    assert table.rejected == registers.rejected == 1
    assert not registers.merge(
        RegisterUpdate("x", "a", 2, bytes(MAX_VALUE_BYTES + 1))
    ) and not registers.merge(RegisterUpdate("unknown", "a", 2, b""))


def test_broadcasts_are_sent_as_often_as_the_cluster_size_asks_the_newest_first() -> None:
    queue = BroadcastQueue(10)
    queue.enqueue("old", "old", 40)
    assert queue.take(100, 9) == ["old"]
    queue.enqueue("new", "new", 40)
    assert queue.take(50, 9) == ["new"]  # no room for both
    taken = [item for _ in range(20) for item in queue.take(100, 9)]
    assert taken.count("old") == taken.count("new") == transmit_limit(9) - 1 and not len(queue)


OURS = PacketCodec("g", b"secret of the group")


def ping(sender: str = "a", *records: MembershipRecord) -> bytes:
    return OURS.encode(Packet(sender, 1, 0, 1, HybridTimestamp(1, 0), Ping(3), records))


GOOD = ping("a", MembershipRecord("a", 0, MemberStatus.ALIVE, ("h", 1), 1))


@pytest.mark.parametrize(
    ("kind", "data"),
    [
        ("forged", PacketCodec("g", b"another secret").encode(OURS.decode(GOOD))),
        ("forged", PacketCodec("h", b"secret of the group").encode(OURS.decode(GOOD))),
        ("forged", GOOD[:-1] + bytes([GOOD[-1] ^ 1])),
        ("version", GOOD[:2] + b"\x09" + GOOD[3:]),
        ("stray", b"GET / HTTP/1.1\r\n\r\n--------"),
        ("stray", b"bc"),
        ("oversized", GOOD + bytes(MTU_BYTES)),
        ("malformed", b"bc\x01" + OURS.tag(b"\x93") + b"\x93"),
        ("malformed", ping("a", MembershipRecord("x" * 99, 0, MemberStatus.DEAD, ("h", 1), 1))),
        ("malformed", ping("a", MembershipRecord("x", 1 << 60, MemberStatus.DEAD, ("h", 1), 1))),
        ("malformed", ping("")),
    ],
)  # fmt: skip
def test_packets_of_other_clusters_are_rejected_by_their_reason(kind: str, data: bytes) -> None:
    with pytest.raises(PacketRejectedError) as caught:
        OURS.decode(data)
    assert caught.value.reason == kind
    assert OURS.decode(GOOD).body == Ping(3)


@given(st.binary(max_size=64))
def test_no_bytes_with_a_good_hash_raise_anything_else(data: bytes) -> None:
    try:
        OURS.decode(b"bc\x01" + OURS.tag(data) + data)
    except PacketRejectedError as error:
        assert error.reason in ("malformed", "stray")


@given(st.lists(st.integers(0, 200), max_size=80))
def test_a_serial_is_taken_once_at_most(serials: list[int]) -> None:
    window, taken = ReplayWindow(), set()
    for serial in serials:
        late = taken and serial <= max(taken) - 64
        assert window.accept(serial) == (serial not in taken and not late)
        taken.add(serial) if not late else None


def test_a_timestamp_is_after_all_it_may_depend_on_and_far_clocks_are_ignored() -> None:
    now = [1000.0]
    clock = HybridLogicalClock(lambda: now[0])
    first = clock.tick()
    heard = clock.observe(HybridTimestamp(5000, 7))
    assert first < (5000, 7) < heard < clock.tick()
    now[0] = 400.0  # set back
    assert clock.tick() > heard
    assert clock.observe(HybridTimestamp(int(now[0]) + MAX_CLOCK_LEAD_MS + 10_000, 0)) < (
        now[0] + MAX_CLOCK_LEAD_MS,
        0,
    )


def test_addresses_are_allowed_by_network_and_looked_up_once() -> None:
    allowed = AddressAllowlist(("127.1.0.0/16", "10.0.0.5/32"))
    assert "127.1.2.3" in allowed and "10.0.0.5" in allowed
    assert "127.2.0.1" not in allowed and "no address" not in allowed
    for number in range(MAX_CACHED_HOSTS + 10):
        assert f"127.1.{number >> 8 & 255}.{number & 255}" in allowed
    assert len(allowed.known) <= MAX_CACHED_HOSTS
