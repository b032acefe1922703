"""Messages between nodes: versioned, within one MTU, keyed by the group's secret. No I/O.

A packet is `bc`, the protocol's version, a keyed hash of all that follows, and MessagePack.
Whatever is not of this group, this version and this size is refused before any of it is read.
"""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from badgercart.cluster.hybrid_logical_clock import Stamp
from badgercart.cluster.membership_table import MembershipRecord, Status

VERSION = 1
MAGIC = b"bc"
TAG = 16  # bytes of the keyed hash
HEAD = len(MAGIC) + 1 + TAG
MTU = 1400  # bytes of a datagram: with its headers below the 1,500 of Ethernet
MAX_SYNC = (
    1 << 20
)  # bytes of one side of a push-pull: 4,096 members of 100 bytes, and what is on the board
MAX_CLAIMS = 4096
NAME = 64  # characters of a name


class Refused(Exception):
    """A packet that is not taken: why, in one word for figures and a few for people."""

    def __init__(self, kind: str, words: str) -> None:
        super().__init__(words)
        self.kind = kind


class Ping(msgspec.Struct, tag="p", array_like=True, frozen=True):
    """Are you there? Answered by `Ack` with the same number."""

    number: int


class PingReq(msgspec.Struct, tag="r", array_like=True, frozen=True):
    """Ask that member for me; `Nack` if it does not answer in `patience` ms."""

    number: int
    name: str
    host: str
    port: int
    patience: float


class Ack(msgspec.Struct, tag="a", array_like=True, frozen=True):
    """I am, or the one asked for is."""

    number: int


class Nack(msgspec.Struct, tag="n", array_like=True, frozen=True):
    """I am here, and the one asked for did not answer me."""

    number: int


class Gossip(msgspec.Struct, tag="g", array_like=True, frozen=True):
    """Nothing but what is carried."""


class Behind(msgspec.Struct, tag="b", array_like=True, frozen=True):
    """Your incarnation or your process is not the last that I know of your name."""

    incarnation: int
    boot: int


class Sync(msgspec.Struct, tag="s", array_like=True, frozen=True):
    """One side of a push-pull, over TCP: everything is carried."""


class Leave(msgspec.Struct, tag="l", array_like=True, frozen=True):
    """An operator has this node leave the group. Over TCP only."""


Body = Ping | PingReq | Ack | Nack | Gossip | Behind | Sync | Leave
Plain = tuple[str, int, int, str, int, int, str, str, str]
Posted = tuple[str, str, int, bytes]  # topic, its author, number, what it says


class _Packet(msgspec.Struct, array_like=True, frozen=True):
    sender: str
    boot: int
    incarnation: int
    serial: int  # of this process's packets: each is taken once
    stamp: tuple[int, int]
    body: Body
    claims: list[Plain] = []
    posts: list[Posted] = []


@dataclass(slots=True, frozen=True)
class Packet:
    """A message as the machine knows it."""

    sender: str
    boot: int
    incarnation: int
    serial: int
    stamp: Stamp
    body: Body
    claims: tuple[MembershipRecord, ...] = ()
    posts: tuple[Posted, ...] = field(default=())


_encode = msgspec.msgpack.Encoder().encode
_decode: Callable[[bytes], _Packet] = msgspec.msgpack.Decoder(_Packet).decode


def plain(claim: MembershipRecord) -> Plain:
    return (
        claim.name, claim.incarnation, int(claim.status), *claim.address, claim.boot, claim.zone,
        claim.region, claim.by,
    )  # fmt: skip


def claim_of(told: Plain) -> MembershipRecord:
    """Refused where no member can be so."""
    name, incarnation, status, host, port, boot, zone, region, by = told
    for text in (name, host, zone, region, by):
        if len(text) > NAME or not text.isprintable():
            raise Refused("malformed", "a claim's text is too long or not printable")
    if (
        not name
        or not 0 < port < 65536
        or not 0 <= incarnation < 1 << 53
        or not 0 <= boot < 1 << 63
    ):
        raise Refused("malformed", f"a claim of {name!r} has a number out of bounds")
    try:
        return MembershipRecord(
            name, incarnation, Status(status), (host, port), boot, zone, region, by
        )
    except ValueError:
        raise Refused("malformed", f"a claim of {name!r} has the status {status}") from None


class Codec:
    """Packets of one group, to bytes and back."""

    def __init__(self, group: str, secret: bytes) -> None:
        self.key = hashlib.blake2b(secret, digest_size=32, person=b"badgercart-peers").digest()
        self.group = group.encode()

    def tag(self, data: bytes) -> bytes:
        return hashlib.blake2b(self.group + b"\0" + data, digest_size=TAG, key=self.key).digest()

    def encode(self, packet: Packet) -> bytes:
        claims = [plain(claim) for claim in packet.claims]
        data = _encode(
            _Packet(
                packet.sender, packet.boot, packet.incarnation, packet.serial, packet.stamp, packet.body,
                claims, list(packet.posts),
            )
        )  # fmt: skip
        return MAGIC + bytes((VERSION,)) + self.tag(data) + data

    def decode(self, data: bytes, most: int = MTU) -> Packet:
        """Raises Refused, with nothing taken."""
        if len(data) > most:
            raise Refused("oversized", f"{len(data)} bytes are more than {most}")
        if len(data) <= HEAD or data[:2] != MAGIC:
            raise Refused("stray", "it is none of this protocol's packets")
        if data[2] != VERSION:
            raise Refused("version", f"it is of version {data[2]}, this node speaks {VERSION}")
        tag, told = data[3:HEAD], data[HEAD:]
        if not hmac.compare_digest(tag, self.tag(told)):
            raise Refused("forged", "its hash is not this group's")
        try:
            raw = _decode(told)
        except msgspec.MsgspecError as error:
            raise Refused("malformed", str(error)) from None
        if len(raw.claims) > MAX_CLAIMS or not raw.sender or len(raw.sender) > NAME:
            raise Refused("malformed", "it carries too many claims, or names no sender")
        return Packet(
            raw.sender, raw.boot, raw.incarnation, raw.serial, raw.stamp, raw.body,
            tuple(map(claim_of, raw.claims)), tuple(raw.posts),
        )  # fmt: skip


def size_of(claim: MembershipRecord) -> int:
    """Bytes of a claim in a packet."""
    return len(_encode(plain(claim)))


def size_of_post(post: Posted) -> int:
    return len(_encode(post))


class Window:
    """Which serials of one process were taken: once each, in any order within 64 (RFC 4303,
    3.4.3)."""

    __slots__ = ("highest", "seen")

    def __init__(self) -> None:
        self.highest, self.seen = -1, 0

    def take(self, serial: int) -> bool:
        """Whether it is new; too old counts as taken."""
        if serial > self.highest:
            self.seen = (self.seen << min(serial - self.highest, 64) | 1) & (1 << 64) - 1
            self.highest = serial
            return True
        bit = 1 << (self.highest - serial) if self.highest - serial < 64 else 0
        if not bit or self.seen & bit:
            return False
        self.seen |= bit
        return True
