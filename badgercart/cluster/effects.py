"""Effects: what the membership protocol returns for its driver to execute. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

from badgercart.cluster.membership_table import MemberState
from badgercart.cluster.messages import Packet
from badgercart.config import Address


@dataclass(slots=True, frozen=True)
class SendDatagram:
    """Send a packet as a datagram, which may be lost."""

    address: Address
    packet: Packet


@dataclass(slots=True, frozen=True)
class StartSync:
    """Open a TCP connection, send the packet, and pass the reply to the protocol."""

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
    """Another process uses this node's name.

    Attributes:
        generation: the generation of the other process.
        yields: whether this process stops taking part in shared work.
    """

    generation: int
    yields: bool


@dataclass(slots=True, frozen=True)
class ProcessPaused:
    """This process was paused, so its state is stale."""

    gap_ms: float


Effect = SendDatagram | StartSync | MemberChanged | RegisterChanged | NameConflict | ProcessPaused


class EffectBuffer:
    """Effects in order, until the caller takes them."""

    __slots__ = ("_effects",)

    def __init__(self) -> None:
        self._effects: list[Effect] = []

    def add(self, effect: Effect) -> None:
        """Append an effect."""
        self._effects.append(effect)

    def take(self) -> list[Effect]:
        """Return all effects since the last call."""
        taken, self._effects = self._effects, []
        return taken
