"""Merging of records and updates, bounds of the tables, and validation of packets."""

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
    received: list[MembershipRecord], rng: random.Random, split: int
) -> None:
    """The merge is commutative, associative and idempotent, as with records of other nodes."""

    def merged(*groups: list[MembershipRecord]) -> dict[str, tuple[object, ...]]:
        table = MembershipTable()
        # Each group is merged into a table of its own first, as on another node.
        for group in groups:
            other_table = MembershipTable()
            for record in group:
                other_table.merge(record, 0.0, "")
            for record in other_table.records() * 2:
                table.merge(record, 0.0, "")
        return {name: state.record.precedence for name, state in table.members.items()}

    shuffled = rng.sample(received, len(received))
    assert (
        merged(received)
        == merged(shuffled)
        == merged(received[:split], received[split:])
        == merged(received, shuffled)
    )


@given(st.lists(updates, max_size=12), st.randoms(use_true_random=False))
def test_updates_merge_in_any_order_to_the_same_registers(
    received: list[RegisterUpdate], rng: random.Random
) -> None:
    """Order and repetition of updates make no difference."""
    results = []
    for order in (received, rng.sample(received, len(received)), received * 2):
        registers = GossipRegisters()
        registers.declare("x"), registers.declare("y")
        for update in order:
            registers.merge(update)
        results.append(registers.updates)
    assert results[0] == results[1] == results[2]


def test_tables_are_bounded() -> None:
    """Records, updates, broadcasts and register values are limited in number and size."""
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


def test_broadcasts_are_sent_up_to_the_transmit_limit_newest_first() -> None:
    """Each broadcast is sent as often as the cluster size requires, and then dropped."""
    queue = BroadcastQueue(10)
    queue.enqueue("old", "old", 40)
    assert queue.take(100, 9) == ["old"]
    queue.enqueue("new", "new", 40)
    assert queue.take(50, 9) == ["new"]  # not enough capacity for both
    taken = [item for _ in range(20) for item in queue.take(100, 9)]
    assert taken.count("old") == taken.count("new") == transmit_limit(9) - 1 and not len(queue)


CODEC = PacketCodec("g", b"secret of the group")


def encoded_ping(sender: str = "a", *records: MembershipRecord) -> bytes:
    """Return the bytes of a ping with these records."""
    return CODEC.encode(Packet(sender, 1, 0, 1, HybridTimestamp(1, 0), Ping(3), records))


VALID = encoded_ping("a", MembershipRecord("a", 0, MemberStatus.ALIVE, ("h", 1), 1))


@pytest.mark.parametrize(
    ("reason", "data"),
    [
        ("forged", PacketCodec("g", b"another secret").encode(CODEC.decode(VALID))),
        ("forged", PacketCodec("h", b"secret of the group").encode(CODEC.decode(VALID))),
        ("forged", VALID[:-1] + bytes([VALID[-1] ^ 1])),
        ("version", VALID[:2] + b"\x09" + VALID[3:]),
        ("stray", b"GET / HTTP/1.1\r\n\r\n--------"),
        ("stray", b"bc"),
        ("oversized", VALID + bytes(MTU_BYTES)),
        ("malformed", b"bc\x01" + CODEC.tag(b"\x93") + b"\x93"),
        (
            "malformed",
            encoded_ping("a", MembershipRecord("x" * 99, 0, MemberStatus.DEAD, ("h", 1), 1)),
        ),
        (
            "malformed",
            encoded_ping("a", MembershipRecord("x", 1 << 60, MemberStatus.DEAD, ("h", 1), 1)),
        ),
        ("malformed", encoded_ping("")),
    ],
)  # fmt: skip
def test_invalid_packets_are_rejected_with_a_reason(reason: str, data: bytes) -> None:
    """Packets of other clusters, versions and programs, and malformed ones, are rejected."""
    with pytest.raises(PacketRejectedError) as caught:
        CODEC.decode(data)
    assert caught.value.reason == reason
    assert CODEC.decode(VALID).body == Ping(3)


@given(st.binary(max_size=64))
def test_authenticated_bytes_raise_no_other_error(data: bytes) -> None:
    """A payload with a valid hash is decoded or rejected; it cannot crash the node."""
    try:
        CODEC.decode(b"bc\x01" + CODEC.tag(data) + data)
    except PacketRejectedError as error:
        assert error.reason in ("malformed", "stray")


@given(st.lists(st.integers(0, 200), max_size=80))
def test_a_serial_is_accepted_at_most_once(serials: list[int]) -> None:
    """A replayed packet is rejected, and so is one older than the window of 64 serials."""
    window, accepted = ReplayWindow(), set()
    for serial in serials:
        too_old = accepted and serial <= max(accepted) - 64
        assert window.accept(serial) == (serial not in accepted and not too_old)
        accepted.add(serial) if not too_old else None


def test_timestamps_are_causal_and_far_clocks_are_ignored() -> None:
    """Timestamps only grow, and a wrong remote clock advances them at most by the limit."""
    wall_ms = [1000.0]
    clock = HybridLogicalClock(lambda: wall_ms[0])
    first = clock.tick()
    observed = clock.observe(HybridTimestamp(5000, 7))
    assert first < (5000, 7) < observed < clock.tick()
    wall_ms[0] = 400.0  # the wall clock is set back
    assert clock.tick() > observed
    assert clock.observe(HybridTimestamp(int(wall_ms[0]) + MAX_CLOCK_LEAD_MS + 10_000, 0)) < (
        wall_ms[0] + MAX_CLOCK_LEAD_MS,
        0,
    )


def test_addresses_are_allowed_by_network_and_cached() -> None:
    """The cache of looked-up addresses is bounded."""
    allowed = AddressAllowlist(("127.1.0.0/16", "10.0.0.5/32"))
    assert "127.1.2.3" in allowed and "10.0.0.5" in allowed
    assert "127.2.0.1" not in allowed and "no address" not in allowed
    for number in range(MAX_CACHED_HOSTS + 10):
        assert f"127.1.{number >> 8 & 255}.{number & 255}" in allowed
    assert len(allowed.known) <= MAX_CACHED_HOSTS
