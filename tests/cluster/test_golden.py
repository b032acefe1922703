"""The bytes that nodes exchange, against files of an earlier state: read to the same values,
written alike.

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

from badgercart.app.file import load
from badgercart.app.site import Site
from badgercart.cluster.codec import (
    Ack,
    Behind,
    Body,
    Codec,
    Gossip,
    Leave,
    Nack,
    Packet,
    Ping,
    PingReq,
    Sync,
)
from badgercart.cluster.hybrid_logical_clock import HybridClock
from badgercart.cluster.membership_table import MembershipRecord, Status
from badgercart.cluster.swim import Effect, SendTo, SwimProtocol, SyncWith, Timing
from badgercart.cluster.uses import Hearsay, Rumours, Shares
from badgercart.config import Address
from badgercart.core.endpoint_table import DiscoveredEndpoint as Line
from badgercart.policy.endpoint import Endpoint, EndpointState

GOLDEN = Path(__file__).parent / "golden"
CODEC = Codec("budapest", b"a secret of sixteen or more")
BOOT = 1_790_000_000_000 << 10 | 7
CLAIMS = (
    MembershipRecord("n1", 3, Status.ALIVE, ("127.0.0.1", 7946), BOOT, "a", "east", ""),
    MembershipRecord("n2", 0, Status.SUSPECT, ("127.0.0.2", 7947), BOOT + 1, "b", "", "n1"),
    MembershipRecord("n3", 9, Status.DEAD, ("127.0.0.3", 7948), BOOT + 2, "", "", "n2"),
    MembershipRecord("zürich-4", 1, Status.LEFT, ("::1", 65535), 0, "c", "west", "zürich-4"),
)
POSTS = (("use", "n1", 1, b"\x93\x01\x02\x90"), ("zones.plan", "n2", (1 << 63) - 1, b""))
BODIES: dict[str, Body] = {
    "ping": Ping(1),
    "ping-request": PingReq(2, "n2", "127.0.0.2", 7947, 400.0),
    "ack": Ack(3),
    "nack": Nack(4),
    "gossip": Gossip(),
    "behind": Behind(5, BOOT + 9),
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
        "n1", BOOT, 3, 77, (1_790_000_000_123, 4), BODIES[kind],
        CLAIMS if whole else (), POSTS if whole else (),
    )  # fmt: skip
    kept = (GOLDEN / f"packet-{kind}.bin").read_bytes()
    assert CODEC.encode(packet) == kept
    assert CODEC.decode(kept) == packet
    assert kept[:3] == b"bc\x01"
    assert msgspec.msgpack.decode(kept[19:]) == [
        "n1", BOOT, 3, 77, [1_790_000_000_123, 4], BODY_BYTES[kind],
        CARRIED if whole else [], [list(post) for post in POSTS] if whole else [],
    ]  # fmt: skip


def test_a_report_of_use_is_written_and_read_as_before() -> None:
    shares = Shares([10.0, 20.0], BOOT)
    for tenant in (0, 0, 1):
        shares.count(tenant)
    kept = (GOLDEN / "post-use.bin").read_bytes()
    assert shares.report(1234.5) == kept
    assert msgspec.msgpack.decode(kept) == [BOOT, 1234.5, [2, 1]]
    other = Shares([10.0, 20.0], BOOT + 1)
    other.take("n1", kept, 0.0)
    other.take("n1", msgspec.msgpack.encode([BOOT, 2234.5, [7, 1]]), 1000.0)
    assert other.turned_away == 0 and [len(heard.posts) for heard in other.heard.values()] == [2]
    assert other.heard["n1"].rate(0) == 0.005


def line(number: int, state: EndpointState) -> Line:
    return Line(Endpoint(number, 0, 0, 0, state, 1.0, 0.0), ("127.0.0.1", 80), f"s{number}")


def test_a_post_of_drains_is_written_and_read_as_before() -> None:
    rumours = Rumours()
    rumours.note(line(3, EndpointState.DRAINING), 41, 0.0)
    rumours.note(line(70_000, EndpointState.GONE), 42, 0.0)
    kept = (GOLDEN / "post-drains.bin").read_bytes()
    assert rumours.posts(0.0) == [kept]
    assert msgspec.msgpack.decode(kept) == [[70_000, 42], [3, 41]]
    other = Rumours()
    listed = {number: line(number, EndpointState.READY) for number in range(1, 10)}
    assert [found.name for found in other.take(kept, 40, listed)] == ["s3"]


def test_a_post_of_failing_servers_is_written_and_read_as_before() -> None:
    hearsay = Hearsay(1000.0)
    kept = (GOLDEN / "post-failing.bin").read_bytes()
    assert hearsay.report({5: 0.25, 3: 0.987}) == kept
    assert msgspec.msgpack.decode(kept) == [[3, 0.99], [5, 0.25]]
    for author in ("n1", "n2"):
        hearsay.take(author, kept, 0.0)
    assert hearsay.levels(["n1", "n2"], 0.0) == ((3, 0.99), (5, 0.25))


def test_a_node_sends_the_packets_that_it_sent_before() -> None:
    """Fifty seconds of a node that hears one other: bytes, addresses and times of all that it
    sends."""
    machine = SwimProtocol(
        MembershipRecord("n0", 0, Status.ALIVE, ("127.0.0.1", 7946), BOOT, "a", "east"),
        Timing(),
        [("127.0.0.1", 7946), ("127.0.0.9", 7946)],
        random.Random("golden"),
        1_790_000_000_000.0,
        3,
    )
    machine.board.follow("use")
    machine.board.follow("urgent", urgent=True)
    sent: list[str] = []

    def keep(now: float, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, SendTo | SyncWith):
                way = "datagram" if isinstance(effect, SendTo) else "stream"
                host, port = effect.address
                sent.append(f"{now:.3f} {way} {host}:{port} {CODEC.encode(effect.packet).hex()}")
            else:
                sent.append(f"{now:.3f} no packet")

    def until(end: float) -> None:
        while machine.due <= end:
            now = machine.due
            keep(now, machine.tick(now))

    other: Address = ("127.0.0.2", 7946)
    clock = HybridClock(lambda: 1_790_000_000_500.0)

    def hear(
        now: float,
        serial: int,
        body: Body,
        claims: tuple[MembershipRecord, ...] = (),
        *posts: object,
    ) -> None:
        packet = Packet("n1", BOOT + 1, 0, serial, clock.tick(), body, claims, posts)  # type: ignore[arg-type]
        keep(now, machine.receive(now, packet, other))

    n1 = MembershipRecord("n1", 0, Status.ALIVE, other, BOOT + 1, "b")
    n2 = MembershipRecord("n2", 0, Status.ALIVE, ("127.0.0.3", 7946), BOOT + 2, "c")
    keep(0.0, machine.start(0.0))
    until(300.0)
    hear(310.0, 1, Sync(), (n1, n2))
    until(700.0)
    hear(710.0, 2, Ping(9), (), ("use", "n1", 1, b"x"))
    hear(720.0, 3, PingReq(10, "n2", "127.0.0.3", 7946, 400.0))
    hear(730.0, 4, Gossip(), (), ("urgent", "n1", 1, b"y"))
    hear(
        740.0,
        5,
        Gossip(),
        (MembershipRecord("n0", 0, Status.SUSPECT, ("127.0.0.1", 7946), BOOT, "a", "east", "n1"),),
    )
    until(1500.0)
    hear(1510.0, 6, Behind(7, BOOT))
    hear(
        1520.0,
        7,
        Gossip(),
        (MembershipRecord("n0", 20, Status.ALIVE, ("127.0.0.5", 7946), BOOT + 50),),
    )
    hear(
        1530.0,
        8,
        Gossip(),
        (MembershipRecord("n0", 21, Status.ALIVE, ("127.0.0.5", 7946), BOOT + 50),),
    )
    keep(1600.0, machine.post(1600.0, "use", 5, b"ours"))
    keep(1610.0, machine.tell(1610.0, "n1", "use", 6, b"yours"))
    until(20_000.0)
    keep(40_000.0, machine.tick(40_000.0))  # it stood still
    until(50_000.0)
    hear(50_005.0, 9, Gossip(), (MembershipRecord("n1", 30, Status.ALIVE, other, BOOT + 1, "b"),))
    keep(50_010.0, machine.leave(50_010.0))
    assert sent == (GOLDEN / "node.txt").read_text().splitlines()


def test_the_page_of_a_node_that_is_not_started_yet_is_as_before() -> None:
    async def page() -> bytes:
        path = Path(__file__).parent.parent.parent / "deploy" / "peers.toml"
        site = Site(load(str(path), {}), asyncio.get_running_loop())
        machine = site.parts["peers"].machine  # type: ignore[attr-defined]
        for claim in (replace(CLAIMS[2], status=Status.ALIVE, incarnation=8), *CLAIMS[:3]):
            machine.merge(claim, "n1")
        machine.merge(MembershipRecord("n1", 4, Status.LEFT, ("127.0.0.1", 7946), BOOT), "n1")
        site.parts["peers"].act(machine.done())  # type: ignore[attr-defined]
        told = site.host.pages[b"/_peers"].body()
        site.close()
        return told

    told = json.loads(asyncio.run(page()))
    for member in told["members"]:
        assert isinstance(member.pop("since_s"), float)
    for change in told["changes"]:
        assert [part.isdecimal() for part in change.pop("hlc").split(".")] == [True, True]
    assert json.dumps(told, indent=1) + "\n" == (GOLDEN / "page.json").read_text()
