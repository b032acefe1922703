"""Messages between nodes, as the protocol knows them. The codec maps them to bytes.

The bodies are MessagePack arrays that begin with the tag given here; the order of their fields is
the wire format.
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
    """Asks for a probe of another member; answered by `Ack`, or by `Nack` after the timeout."""

    sequence: int
    name: str
    host: str
    port: int
    timeout_ms: float


class Ack(msgspec.Struct, tag="a", array_like=True, frozen=True):
    """Answers a probe, or tells that an indirect one was answered."""

    sequence: int


class Nack(msgspec.Struct, tag="n", array_like=True, frozen=True):
    """Tells that the sender is alive, and that the member it was asked to probe did not answer."""

    sequence: int


class Gossip(msgspec.Struct, tag="g", array_like=True, frozen=True):
    """Has no body of its own: only piggybacked records and updates."""


class StaleSender(msgspec.Struct, tag="b", array_like=True, frozen=True):
    """Tells a sender that its incarnation or process isn't the latest known under its name."""

    incarnation: int
    generation: int


class Sync(msgspec.Struct, tag="s", array_like=True, frozen=True):
    """One side of a push-pull over TCP, with all records and updates that the sender has."""


class Leave(msgspec.Struct, tag="l", array_like=True, frozen=True):
    """An operator's request that the recipient leave its cluster. Over TCP only."""


Body = Ping | PingRequest | Ack | Nack | Gossip | StaleSender | Sync | Leave


@dataclass(slots=True, frozen=True)
class Packet:
    """A message with its sender and what is piggybacked on it."""

    sender: str
    generation: int  # of the sender's process
    incarnation: int
    serial: int  # of this process's packets: each is taken once
    timestamp: HybridTimestamp
    body: Body
    records: tuple[MembershipRecord, ...] = ()
    updates: tuple[RegisterUpdate, ...] = ()
