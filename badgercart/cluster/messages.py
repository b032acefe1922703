"""The messages between nodes. The codec maps them to bytes.

Each body is a MessagePack array that begins with the tag given here; the order of the fields is
part of the wire format.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from badgercart.cluster.gossip_registers import RegisterUpdate
from badgercart.cluster.hybrid_logical_clock import HybridTimestamp
from badgercart.cluster.membership_table import MembershipRecord


class Ping(msgspec.Struct, tag="p", array_like=True, frozen=True):
    """A probe, answered by `Ack` with the same sequence number."""

    sequence: int


class PingRequest(msgspec.Struct, tag="r", array_like=True, frozen=True):
    """Requests a probe of another member; answered by `Ack`, or by `Nack` after the timeout."""

    sequence: int
    name: str
    host: str
    port: int
    timeout_ms: float


class Ack(msgspec.Struct, tag="a", array_like=True, frozen=True):
    """Acknowledges a probe, or reports that an indirect probe was acknowledged."""

    sequence: int


class Nack(msgspec.Struct, tag="n", array_like=True, frozen=True):
    """Reports that an indirect probe was not acknowledged; shows that the sender is alive."""

    sequence: int


class Gossip(msgspec.Struct, tag="g", array_like=True, frozen=True):
    """Has no body of its own: only piggybacked records and updates."""


class StaleSender(msgspec.Struct, tag="b", array_like=True, frozen=True):
    """Informs a sender that a later incarnation or process is known under its name."""

    incarnation: int
    generation: int


class Sync(msgspec.Struct, tag="s", array_like=True, frozen=True):
    """One direction of a push-pull over TCP, with all records and updates of the sender."""


class Leave(msgspec.Struct, tag="l", array_like=True, frozen=True):
    """An operator's request that the recipient leave its cluster. Over TCP only."""


Body = Ping | PingRequest | Ack | Nack | Gossip | StaleSender | Sync | Leave


@dataclass(slots=True, frozen=True)
class Packet:
    """A message with its sender and the records and updates piggybacked on it.

    Attributes:
        sender: the sender's name.
        generation: identifies the sender's process.
        incarnation: the sender's incarnation.
        serial: the number of the packet in its process; each serial is accepted once.
        timestamp: the sender's hybrid timestamp.
        body: the message.
        records: membership records.
        updates: register updates.
    """

    sender: str
    generation: int
    incarnation: int
    serial: int
    timestamp: HybridTimestamp
    body: Body
    records: tuple[MembershipRecord, ...] = ()
    updates: tuple[RegisterUpdate, ...] = ()
