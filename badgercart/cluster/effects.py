"""What the membership protocol asks its driver to do, or tells it. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

from badgercart.cluster.membership_table import MemberState
from badgercart.cluster.messages import Packet
from badgercart.config import Address


@dataclass(slots=True, frozen=True)
class SendDatagram:
    """Send a packet, which may be lost."""

    address: Address
    packet: Packet


@dataclass(slots=True, frozen=True)
class StartSync:
    """Open a connection, send the packet, and have the protocol receive what comes back."""

    address: Address
    packet: Packet


@dataclass(slots=True, frozen=True)
class MemberChanged:
    """The state of a member has changed."""

    before: MemberState | None
    after: MemberState


@dataclass(slots=True, frozen=True)
class RegisterChanged:
    """Another node has updated a register."""

    topic: str
    author: str
    version: int
    value: bytes


@dataclass(slots=True, frozen=True)
class NameConflict:
    """Another process has this node's name."""

    generation: int  # of the other process
    yields: bool  # whether this one stops taking part in shared work


@dataclass(slots=True, frozen=True)
class ProcessPaused:
    """This process stood still, so that what it knew is old."""

    gap_ms: float


Effect = SendDatagram | StartSync | MemberChanged | RegisterChanged | NameConflict | ProcessPaused


class EffectBuffer:
    """Effects in their order, until the caller takes them."""

    __slots__ = ("_effects",)

    def __init__(self) -> None:
        self._effects: list[Effect] = []

    def add(self, effect: Effect) -> None:
        """Add an effect to those that are taken next."""
        self._effects.append(effect)

    def take(self) -> list[Effect]:
        """Return all effects since the last call."""
        taken, self._effects = self._effects, []
        return taken
