"""The wire format of messages between nodes: versioned, authenticated, within one MTU. No I/O.

A packet consists of `bc`, the protocol version, a keyed hash of the payload, and the payload as a
MessagePack array. A packet of another cluster, another version or excessive size is rejected before
its payload is decoded. No class or field name is part of the format: the arrays hold values by
position, and each body has a one-letter tag.
"""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Callable

import msgspec

from badgercart.cluster.errors import PacketRejectedError, RejectionReason
from badgercart.cluster.gossip_registers import RegisterUpdate
from badgercart.cluster.hybrid_logical_clock import HybridTimestamp
from badgercart.cluster.membership_table import MembershipRecord, MemberStatus
from badgercart.cluster.messages import Body, Packet

PROTOCOL_VERSION = 1
MAGIC = b"bc"
# Size of the keyed hash.
TAG_BYTES = 16
HEADER_BYTES = len(MAGIC) + 1 + TAG_BYTES
KEY_BYTES = 32
# Separates this use of the cluster's secret from other uses.
KEY_CONTEXT = b"badgercart-peers"
# Maximum datagram size; with the IP and UDP headers it stays below the 1,500 bytes of Ethernet.
MTU_BYTES = 1400
# Maximum size of one direction of a push-pull, for 4,096 members and all registers.
MAX_SYNC_BYTES = 1 << 20
MAX_RECORDS = 4096
MAX_NAME_CHARS = 64
MAX_PORT = 65_535
MAX_INCARNATION = (1 << 53) - 1
MAX_GENERATION = (1 << 63) - 1

_WireRecord = tuple[str, int, int, str, int, int, str, str, str]


class _WirePacket(msgspec.Struct, array_like=True, frozen=True):
    sender: str
    generation: int
    incarnation: int
    serial: int
    timestamp: HybridTimestamp
    body: Body
    records: list[_WireRecord] = []
    updates: list[RegisterUpdate] = []


_encode = msgspec.msgpack.Encoder().encode
_decode: Callable[[bytes], _WirePacket] = msgspec.msgpack.Decoder(_WirePacket).decode


def _to_wire(record: MembershipRecord) -> _WireRecord:
    return (
        record.name,
        record.incarnation,
        int(record.status),
        *record.address,
        record.generation,
        record.zone,
        record.region,
        record.accuser,
    )


def _from_wire(values: _WireRecord) -> MembershipRecord:
    """Return the record if all its values are within bounds.

    Raises PacketRejectedError.
    """
    name, incarnation, status, host, port, generation, zone, region, accuser = values
    for text in (name, host, zone, region, accuser):
        if len(text) > MAX_NAME_CHARS or not text.isprintable():
            detail = "a claim's text is too long or not printable"
            raise _malformed(detail)
    if not (
        name
        and 0 < port <= MAX_PORT
        and 0 <= incarnation <= MAX_INCARNATION
        and 0 <= generation <= MAX_GENERATION
    ):
        detail = f"a claim of {name!r} has a number out of bounds"
        raise _malformed(detail)
    try:
        member_status = MemberStatus(status)
    except ValueError as error:
        detail = f"a claim of {name!r} has the status {status}"
        raise _malformed(detail) from error
    return MembershipRecord(
        name, incarnation, member_status, (host, port), generation, zone, region, accuser
    )


def _malformed(detail: str) -> PacketRejectedError:
    return PacketRejectedError(RejectionReason.MALFORMED, detail)


class PacketCodec:
    """Encodes and decodes the packets of one cluster.

    Args:
        group: the cluster's name.
        secret: shared by its members only.
    """

    __slots__ = ("_group", "_key")

    def __init__(self, group: str, secret: bytes) -> None:
        self._key = hashlib.blake2b(secret, digest_size=KEY_BYTES, person=KEY_CONTEXT).digest()
        self._group = group.encode()

    def tag(self, payload: bytes) -> bytes:
        """Return the keyed hash of a payload."""
        message = self._group + b"\0" + payload
        return hashlib.blake2b(message, digest_size=TAG_BYTES, key=self._key).digest()

    def encode(self, packet: Packet) -> bytes:
        """Return a packet as bytes."""
        payload = _encode(
            _WirePacket(
                packet.sender,
                packet.generation,
                packet.incarnation,
                packet.serial,
                packet.timestamp,
                packet.body,
                [_to_wire(record) for record in packet.records],
                list(packet.updates),
            )
        )
        return MAGIC + bytes((PROTOCOL_VERSION,)) + self.tag(payload) + payload

    def decode(self, data: bytes, max_bytes: int = MTU_BYTES) -> Packet:
        """Decode a packet completely or not at all. Raises PacketRejectedError."""
        wire = self._parse(self._authenticated_payload(data, max_bytes))
        return Packet(
            wire.sender,
            wire.generation,
            wire.incarnation,
            wire.serial,
            wire.timestamp,
            wire.body,
            tuple(map(_from_wire, wire.records)),
            tuple(wire.updates),
        )

    def _authenticated_payload(self, data: bytes, max_bytes: int) -> bytes:
        """Check the header for size, version and cluster; return the payload after it."""
        if len(data) > max_bytes:
            detail = f"{len(data)} bytes are more than {max_bytes}"
            raise PacketRejectedError(RejectionReason.OVERSIZED, detail)
        if len(data) <= HEADER_BYTES or not data.startswith(MAGIC):
            detail = "it is none of this protocol's packets"
            raise PacketRejectedError(RejectionReason.STRAY, detail)
        version = data[len(MAGIC)]
        if version != PROTOCOL_VERSION:
            detail = f"it is of version {version}, this node speaks {PROTOCOL_VERSION}"
            raise PacketRejectedError(RejectionReason.VERSION, detail)
        tag, payload = data[len(MAGIC) + 1 : HEADER_BYTES], data[HEADER_BYTES:]
        if not hmac.compare_digest(tag, self.tag(payload)):
            raise PacketRejectedError(RejectionReason.FORGED, "its hash is not this group's")
        return payload

    def _parse(self, payload: bytes) -> _WirePacket:
        try:
            wire = _decode(payload)
        except msgspec.MsgspecError as error:
            raise _malformed(str(error)) from error
        if len(wire.records) > MAX_RECORDS or not 0 < len(wire.sender) <= MAX_NAME_CHARS:
            detail = "it carries too many claims, or names no sender"
            raise _malformed(detail)
        return wire


def record_size_bytes(record: MembershipRecord) -> int:
    """Return the encoded size of a record."""
    return len(_encode(_to_wire(record)))


def update_size_bytes(update: RegisterUpdate) -> int:
    """Return the encoded size of an update."""
    return len(_encode(update))
