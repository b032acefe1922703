"""The bytes that nodes exchange, read and written as in files of an earlier state.

Where the form of a message changes on purpose its version changes too, and a new file is added
beside these.
"""

from __future__ import annotations

import asyncio
import json
import random
from dataclasses import replace
from pathlib import Path

import msgspec
import pytest

from badgercart.app.file import load_installation
from badgercart.app.site import Application
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
from badgercart.core.endpoint_table import DiscoveredEndpoint as Line
from badgercart.policy.endpoint import Endpoint, EndpointState

GOLDEN = Path(__file__).parent / "golden"
CODEC = PacketCodec("budapest", b"a secret of sixteen or more")
BOOT = 1_790_000_000_000 << 10 | 7
RECORDS = (
    MembershipRecord("n1", 3, MemberStatus.ALIVE, ("127.0.0.1", 7946), BOOT, "a", "east", ""),
    MembershipRecord("n2", 0, MemberStatus.SUSPECT, ("127.0.0.2", 7947), BOOT + 1, "b", "", "n1"),
    MembershipRecord("n3", 9, MemberStatus.DEAD, ("127.0.0.3", 7948), BOOT + 2, "", "", "n2"),
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
    "behind": StaleSender(5, BOOT + 9),
    "sync": Sync(),
    "leave": Leave(),
}
BODY_BYTES = {  # as MessagePack, by hand
    "ping": ["p", 1],
    "ping-request": ["r", 2, "n2", "127.0.0.2", 7947, 400.0],
    "ack": ["a", 3],
    "nack": ["n", 4],
    "gossip": ["g"],
    "behind": ["b", 5, BOOT + 9],
    "sync": ["s"],
    "leave": ["l"],
}
CARRIED = [
    ["n1", 3, 0, "127.0.0.1", 7946, BOOT, "a", "east", ""],
    ["n2", 0, 1, "127.0.0.2", 7947, BOOT + 1, "b", "", "n1"],
    ["n3", 9, 2, "127.0.0.3", 7948, BOOT + 2, "", "", "n2"],
    ["zürich-4", 1, 3, "::1", 65535, 0, "c", "west", "zürich-4"],
]


@pytest.mark.parametrize("kind", BODIES)
def test_a_packet_of_each_kind_is_written_and_read_as_before(kind: str) -> None:
    whole = kind in ("gossip", "sync")
    packet = Packet(
        "n1", BOOT, 3, 77, HybridTimestamp(1_790_000_000_123, 4), BODIES[kind],
        RECORDS if whole else (), UPDATES if whole else (),
    )  # fmt: skip
    kept = (GOLDEN / f"packet-{kind}.bin").read_bytes()
    assert CODEC.encode(packet) == kept
    assert CODEC.decode(kept) == packet
    assert kept[:3] == b"bc\x01"
    assert msgspec.msgpack.decode(kept[19:]) == [
        "n1", BOOT, 3, 77, [1_790_000_000_123, 4], BODY_BYTES[kind],
        CARRIED if whole else [], [list(update) for update in UPDATES] if whole else [],
    ]  # fmt: skip


def test_a_usage_report_is_written_and_read_as_before() -> None:
    shares = QuotaSharing([10.0, 20.0], BOOT)
    for tenant in (0, 0, 1):
        shares.count_request(tenant)
    kept = (GOLDEN / "update-use.bin").read_bytes()
    assert shares.report(1234.5) == kept
    assert msgspec.msgpack.decode(kept) == [BOOT, 1234.5, [2, 1]]
    other = QuotaSharing([10.0, 20.0], BOOT + 1)
    other.receive("n1", kept, 0.0)
    other.receive("n1", msgspec.msgpack.encode([BOOT, 2234.5, [7, 1]]), 1000.0)
    assert other.rejected == 0 and [len(heard.samples) for heard in other.peer_usage.values()] == [
        2
    ]
    assert other.peer_usage["n1"].rate(0) == 0.005


def line(number: int, state: EndpointState) -> Line:
    return Line(Endpoint(number, 0, 0, 0, state, 1.0, 0.0), ("127.0.0.1", 80), f"s{number}")


def test_a_drain_update_is_written_and_read_as_before() -> None:
    gossip = DrainGossip()
    gossip.record_local(line(3, EndpointState.DRAINING), 41, 0.0)
    gossip.record_local(line(70_000, EndpointState.GONE), 42, 0.0)
    kept = (GOLDEN / "update-drains.bin").read_bytes()
    assert gossip.announcements(0.0) == [kept]
    assert msgspec.msgpack.decode(kept) == [[70_000, 42], [3, 41]]
    other = DrainGossip()
    listed = {number: line(number, EndpointState.READY) for number in range(1, 10)}
    assert [found.name for found in other.receive(kept, 40, listed)] == ["s3"]


def test_a_failure_report_is_written_and_read_as_before() -> None:
    reports = FailureReports(1000.0)
    kept = (GOLDEN / "update-failing.bin").read_bytes()
    assert reports.report({5: 0.25, 3: 0.987}) == kept
    assert msgspec.msgpack.decode(kept) == [[3, 0.99], [5, 0.25]]
    for author in ("n1", "n2"):
        reports.receive(author, kept, 0.0)
    assert reports.levels(["n1", "n2"], 0.0) == ((3, 0.99), (5, 0.25))


def test_a_node_sends_the_packets_that_it_sent_before() -> None:
    """Fifty seconds of a node that hears one other: bytes, addresses and times of all that it
    sends."""
    protocol = SwimProtocol(
        MembershipRecord("n0", 0, MemberStatus.ALIVE, ("127.0.0.1", 7946), BOOT, "a", "east"),
        SwimTiming(),
        Bootstrap((("127.0.0.1", 7946), ("127.0.0.9", 7946)), 3),
        random.Random("golden"),
        1_790_000_000_000.0,
    )
    protocol.registers.declare("use")
    protocol.registers.declare("urgent", urgent=True)
    sent: list[str] = []

    def keep(now: float, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, SendDatagram | StartSync):
                way = "datagram" if isinstance(effect, SendDatagram) else "stream"
                host, port = effect.address
                sent.append(f"{now:.3f} {way} {host}:{port} {CODEC.encode(effect.packet).hex()}")
            else:
                sent.append(f"{now:.3f} no packet")

    def until(end: float) -> None:
        while protocol.due_ms <= end:
            now = protocol.due_ms
            keep(now, protocol.tick(now))

    other: Address = ("127.0.0.2", 7946)
    clock = HybridLogicalClock(lambda: 1_790_000_000_500.0)

    def hear(
        now: float,
        serial: int,
        body: Body,
        records: tuple[MembershipRecord, ...] = (),
        *updates: RegisterUpdate,
    ) -> None:
        packet = Packet("n1", BOOT + 1, 0, serial, clock.tick(), body, records, updates)
        keep(now, protocol.receive(now, packet, other))

    n1 = MembershipRecord("n1", 0, MemberStatus.ALIVE, other, BOOT + 1, "b")
    n2 = MembershipRecord("n2", 0, MemberStatus.ALIVE, ("127.0.0.3", 7946), BOOT + 2, "c")
    keep(0.0, protocol.start(0.0))
    until(300.0)
    hear(310.0, 1, Sync(), (n1, n2))
    until(700.0)
    hear(710.0, 2, Ping(9), (), RegisterUpdate("use", "n1", 1, b"x"))
    hear(720.0, 3, PingRequest(10, "n2", "127.0.0.3", 7946, 400.0))
    hear(730.0, 4, Gossip(), (), RegisterUpdate("urgent", "n1", 1, b"y"))
    hear(
        740.0,
        5,
        Gossip(),
        (
            MembershipRecord(
                "n0", 0, MemberStatus.SUSPECT, ("127.0.0.1", 7946), BOOT, "a", "east", "n1"
            ),
        ),
    )
    until(1500.0)
    hear(1510.0, 6, StaleSender(7, BOOT))
    hear(
        1520.0,
        7,
        Gossip(),
        (MembershipRecord("n0", 20, MemberStatus.ALIVE, ("127.0.0.5", 7946), BOOT + 50),),
    )
    hear(
        1530.0,
        8,
        Gossip(),
        (MembershipRecord("n0", 21, MemberStatus.ALIVE, ("127.0.0.5", 7946), BOOT + 50),),
    )
    keep(1600.0, protocol.publish(1600.0, RegisterUpdate("use", "n0", 5, b"ours")))
    keep(1610.0, protocol.send_update(1610.0, "n1", RegisterUpdate("use", "n0", 6, b"yours")))
    until(20_000.0)
    keep(40_000.0, protocol.tick(40_000.0))  # it stood still
    until(50_000.0)
    hear(
        50_005.0,
        9,
        Gossip(),
        (MembershipRecord("n1", 30, MemberStatus.ALIVE, other, BOOT + 1, "b"),),
    )
    keep(50_010.0, protocol.leave(50_010.0))
    assert sent == (GOLDEN / "node.txt").read_text().splitlines()


def test_the_page_of_a_node_that_is_not_started_yet_is_as_before() -> None:
    async def page() -> bytes:
        path = Path(__file__).parent.parent.parent / "deploy" / "peers.toml"
        site = Application(load_installation(str(path), {}), asyncio.get_running_loop())
        protocol = site.components["peers"].protocol  # type: ignore[attr-defined]
        for record in (replace(RECORDS[2], status=MemberStatus.ALIVE, incarnation=8), *RECORDS[:3]):
            protocol.membership.merge(record, "n1")
        protocol.membership.merge(
            MembershipRecord("n1", 4, MemberStatus.LEFT, ("127.0.0.1", 7946), BOOT), "n1"
        )
        site.components["peers"].apply(protocol.context.effects.take())  # type: ignore[attr-defined]
        body = site.host.pages[b"/_peers"].render()
        site.close()
        return body

    page_fields = json.loads(asyncio.run(page()))
    for member in page_fields["members"]:
        assert isinstance(member.pop("since_s"), float)
    for change in page_fields["changes"]:
        assert [part.isdecimal() for part in change.pop("hlc").split(".")] == [True, True]
    assert json.dumps(page_fields, indent=1) + "\n" == (GOLDEN / "page.json").read_text()
