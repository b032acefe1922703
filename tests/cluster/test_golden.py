"""Compatibility of the wire format and the admin page with golden files of an earlier version.

If the format of a message changes on purpose, its version must change too, and a new golden file is
added to these.
"""

from __future__ import annotations

import asyncio
import json
import random
from dataclasses import replace
from pathlib import Path

import msgspec
import pytest

from badgercart.app.application import Application
from badgercart.app.file import load_installation
from badgercart.cluster.codec import PacketCodec
from badgercart.cluster.drain_gossip import DrainGossip
from badgercart.cluster.effects import Effect, SendDatagram, StartSync
from badgercart.cluster.failure_reports import FailureReports
from badgercart.cluster.gossip_registers import RegisterUpdate
from badgercart.cluster.hybrid_logical_clock import HybridLogicalClock, HybridTimestamp
from badgercart.cluster.membership_table import MembershipRecord, MemberStatus
from badgercart.cluster.messages import (
    Ack,
    Body,
    Gossip,
    Leave,
    Nack,
    Packet,
    Ping,
    PingRequest,
    StaleSender,
    Sync,
)
from badgercart.cluster.quota_sharing import QuotaSharing
from badgercart.cluster.swim import SwimProtocol
from badgercart.cluster.timing import Bootstrap, SwimTiming
from badgercart.config import Address
from badgercart.core.endpoint_table import DiscoveredEndpoint
from badgercart.policy.endpoint import Endpoint, EndpointState

GOLDEN = Path(__file__).parent / "golden"
CODEC = PacketCodec("budapest", b"a secret of sixteen or more")
GENERATION = 1_790_000_000_000 << 10 | 7
RECORDS = (
    MembershipRecord("n1", 3, MemberStatus.ALIVE, ("127.0.0.1", 7946), GENERATION, "a", "east", ""),
    MembershipRecord(
        "n2", 0, MemberStatus.SUSPECT, ("127.0.0.2", 7947), GENERATION + 1, "b", "", "n1"
    ),
    MembershipRecord("n3", 9, MemberStatus.DEAD, ("127.0.0.3", 7948), GENERATION + 2, "", "", "n2"),
    MembershipRecord("zürich-4", 1, MemberStatus.LEFT, ("::1", 65535), 0, "c", "west", "zürich-4"),
)
UPDATES = (
    RegisterUpdate("use", "n1", 1, b"\x93\x01\x02\x90"),
    RegisterUpdate("zones.plan", "n2", (1 << 63) - 1, b""),
)
BODIES: dict[str, Body] = {
    "ping": Ping(1),
    "ping-request": PingRequest(2, "n2", "127.0.0.2", 7947, 400.0),
    "ack": Ack(3),
    "nack": Nack(4),
    "gossip": Gossip(),
    "behind": StaleSender(5, GENERATION + 9),
    "sync": Sync(),
    "leave": Leave(),
}
# The decoded MessagePack arrays of the bodies.
BODY_ARRAYS = {
    "ping": ["p", 1],
    "ping-request": ["r", 2, "n2", "127.0.0.2", 7947, 400.0],
    "ack": ["a", 3],
    "nack": ["n", 4],
    "gossip": ["g"],
    "behind": ["b", 5, GENERATION + 9],
    "sync": ["s"],
    "leave": ["l"],
}
RECORD_ARRAYS = [
    ["n1", 3, 0, "127.0.0.1", 7946, GENERATION, "a", "east", ""],
    ["n2", 0, 1, "127.0.0.2", 7947, GENERATION + 1, "b", "", "n1"],
    ["n3", 9, 2, "127.0.0.3", 7948, GENERATION + 2, "", "", "n2"],
    ["zürich-4", 1, 3, "::1", 65535, 0, "c", "west", "zürich-4"],
]


@pytest.mark.parametrize("kind", BODIES)
def test_each_kind_of_packet_matches_its_golden_file(kind: str) -> None:
    """A node of the previous version must understand the packets, and this one its packets."""
    has_piggyback = kind in ("gossip", "sync")
    packet = Packet(
        "n1", GENERATION, 3, 77, HybridTimestamp(1_790_000_000_123, 4), BODIES[kind],
        RECORDS if has_piggyback else (), UPDATES if has_piggyback else (),
    )  # fmt: skip
    golden = (GOLDEN / f"packet-{kind}.bin").read_bytes()
    assert CODEC.encode(packet) == golden
    assert CODEC.decode(golden) == packet
    assert golden[:3] == b"bc\x01"
    assert msgspec.msgpack.decode(golden[19:]) == [
        "n1", GENERATION, 3, 77, [1_790_000_000_123, 4], BODY_ARRAYS[kind],
        RECORD_ARRAYS if has_piggyback else [],
        [list(update) for update in UPDATES] if has_piggyback else [],
    ]  # fmt: skip


def test_a_usage_report_matches_its_golden_file() -> None:
    """Usage reports must be compatible with the previous version."""
    sharing = QuotaSharing([10.0, 20.0], GENERATION)
    for tenant in (0, 0, 1):
        sharing.count_request(tenant)
    golden = (GOLDEN / "update-use.bin").read_bytes()
    assert sharing.report(1234.5) == golden
    assert msgspec.msgpack.decode(golden) == [GENERATION, 1234.5, [2, 1]]
    other = QuotaSharing([10.0, 20.0], GENERATION + 1)
    other.receive("n1", golden, 0.0)
    other.receive("n1", msgspec.msgpack.encode([GENERATION, 2234.5, [7, 1]]), 1000.0)
    assert other.rejected == 0 and [len(usage.samples) for usage in other.peer_usage.values()] == [
        2
    ]
    assert other.peer_usage["n1"].rate(0) == 0.005


def endpoint(number: int, state: EndpointState) -> DiscoveredEndpoint:
    """Return an endpoint list entry."""
    return DiscoveredEndpoint(
        Endpoint(number, 0, 0, 0, state, 1.0, 0.0), ("127.0.0.1", 80), f"s{number}"
    )


def test_a_drain_update_matches_its_golden_file() -> None:
    """Announced drains must be compatible with the previous version."""
    gossip = DrainGossip()
    gossip.record_local(endpoint(3, EndpointState.DRAINING), 41, 0.0)
    gossip.record_local(endpoint(70_000, EndpointState.GONE), 42, 0.0)
    golden = (GOLDEN / "update-drains.bin").read_bytes()
    assert gossip.announcements(0.0) == [golden]
    assert msgspec.msgpack.decode(golden) == [[70_000, 42], [3, 41]]
    other = DrainGossip()
    listed = {number: endpoint(number, EndpointState.READY) for number in range(1, 10)}
    assert [found.name for found in other.receive(golden, 40, listed)] == ["s3"]


def test_a_failure_report_matches_its_golden_file() -> None:
    """Failure reports must be compatible with the previous version."""
    reports = FailureReports(1000.0)
    golden = (GOLDEN / "update-failing.bin").read_bytes()
    assert reports.report({5: 0.25, 3: 0.987}) == golden
    assert msgspec.msgpack.decode(golden) == [[3, 0.99], [5, 0.25]]
    for author in ("n1", "n2"):
        reports.receive(author, golden, 0.0)
    assert reports.levels(["n1", "n2"], 0.0) == ((3, 0.99), (5, 0.25))


def test_a_node_sends_the_same_packets_at_the_same_times() -> None:
    """Fifty seconds of a node with one peer: bytes, addresses and times of all packets sent."""
    protocol = SwimProtocol(
        MembershipRecord("n0", 0, MemberStatus.ALIVE, ("127.0.0.1", 7946), GENERATION, "a", "east"),
        SwimTiming(),
        Bootstrap((("127.0.0.1", 7946), ("127.0.0.9", 7946)), 3),
        random.Random("golden"),
        1_790_000_000_000.0,
    )
    protocol.registers.declare("use")
    protocol.registers.declare("urgent", urgent=True)
    sent: list[str] = []

    def record_effects(now_ms: float, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, SendDatagram | StartSync):
                transport = "datagram" if isinstance(effect, SendDatagram) else "stream"
                host, port = effect.address
                sent.append(
                    f"{now_ms:.3f} {transport} {host}:{port} "
                    f"{CODEC.encode(effect.packet).hex()}"
                )
            else:
                sent.append(f"{now_ms:.3f} no packet")

    def tick_until(end_ms: float) -> None:
        while protocol.due_ms <= end_ms:
            now_ms = protocol.due_ms
            record_effects(now_ms, protocol.tick(now_ms))

    other: Address = ("127.0.0.2", 7946)
    clock = HybridLogicalClock(lambda: 1_790_000_000_500.0)

    def receive(
        now_ms: float,
        serial: int,
        body: Body,
        records: tuple[MembershipRecord, ...] = (),
        *updates: RegisterUpdate,
    ) -> None:
        packet = Packet("n1", GENERATION + 1, 0, serial, clock.tick(), body, records, updates)
        record_effects(now_ms, protocol.receive(now_ms, packet, other))

    n1 = MembershipRecord("n1", 0, MemberStatus.ALIVE, other, GENERATION + 1, "b")
    n2 = MembershipRecord("n2", 0, MemberStatus.ALIVE, ("127.0.0.3", 7946), GENERATION + 2, "c")
    record_effects(0.0, protocol.start(0.0))
    tick_until(300.0)
    receive(310.0, 1, Sync(), (n1, n2))
    tick_until(700.0)
    receive(710.0, 2, Ping(9), (), RegisterUpdate("use", "n1", 1, b"x"))
    receive(720.0, 3, PingRequest(10, "n2", "127.0.0.3", 7946, 400.0))
    receive(730.0, 4, Gossip(), (), RegisterUpdate("urgent", "n1", 1, b"y"))
    receive(
        740.0,
        5,
        Gossip(),
        (
            MembershipRecord(
                "n0", 0, MemberStatus.SUSPECT, ("127.0.0.1", 7946), GENERATION, "a", "east", "n1"
            ),
        ),
    )
    tick_until(1500.0)
    receive(1510.0, 6, StaleSender(7, GENERATION))
    receive(
        1520.0,
        7,
        Gossip(),
        (MembershipRecord("n0", 20, MemberStatus.ALIVE, ("127.0.0.5", 7946), GENERATION + 50),),
    )
    receive(
        1530.0,
        8,
        Gossip(),
        (MembershipRecord("n0", 21, MemberStatus.ALIVE, ("127.0.0.5", 7946), GENERATION + 50),),
    )
    record_effects(1600.0, protocol.publish(1600.0, RegisterUpdate("use", "n0", 5, b"ours")))
    record_effects(
        1610.0, protocol.send_update(1610.0, "n1", RegisterUpdate("use", "n0", 6, b"yours"))
    )
    tick_until(20_000.0)
    record_effects(40_000.0, protocol.tick(40_000.0))  # after a pause of the process
    tick_until(50_000.0)
    receive(
        50_005.0,
        9,
        Gossip(),
        (MembershipRecord("n1", 30, MemberStatus.ALIVE, other, GENERATION + 1, "b"),),
    )
    record_effects(50_010.0, protocol.leave(50_010.0))
    assert sent == (GOLDEN / "node.txt").read_text().splitlines()


def test_the_admin_page_matches_its_golden_file() -> None:
    """Operators' tools read the page's keys; the node has not started yet."""

    async def page() -> bytes:
        path = Path(__file__).parent.parent.parent / "deploy" / "peers.toml"
        application = Application(load_installation(str(path), {}), asyncio.get_running_loop())
        protocol = application.components["peers"].protocol  # type: ignore[attr-defined]
        for record in (replace(RECORDS[2], status=MemberStatus.ALIVE, incarnation=8), *RECORDS[:3]):
            protocol.membership.merge(record, "n1")
        protocol.membership.merge(
            MembershipRecord("n1", 4, MemberStatus.LEFT, ("127.0.0.1", 7946), GENERATION), "n1"
        )
        application.components["peers"].apply(protocol.context.effects.take())  # type: ignore[attr-defined]
        body = application.host.pages[b"/_peers"].render()
        application.close()
        return body

    page_fields = json.loads(asyncio.run(page()))
    for member in page_fields["members"]:
        assert isinstance(member.pop("since_s"), float)
    for change in page_fields["changes"]:
        assert [part.isdecimal() for part in change.pop("hlc").split(".")] == [True, True]
    assert json.dumps(page_fields, indent=1) + "\n" == (GOLDEN / "page.json").read_text()
