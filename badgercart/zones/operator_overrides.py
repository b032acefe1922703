"""Operators' overrides of zones: drain one, pin it open, or release it. No I/O."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import msgspec

from badgercart.zones.errors import InvalidOverridesError
from badgercart.zones.topology import MAX_ZONES

OVERRIDES_TOPIC = "zones.orders"
# What an override may ask for, as it travels and as operators write it.
DRAIN, PIN, RELEASE = ACTIONS = ("drain", "pin", "release")


class OperatorOverride(msgspec.Struct, array_like=True, frozen=True):
    """What an operator wants of a zone. It travels as an array, in the order of the fields.

    DRAIN: nothing new goes there; PIN: it stays open, whatever is reported; RELEASE: neither.
    """

    zone: int
    action: str
    issued_ms: int  # Unix ms
    expires_ms: int  # Unix ms
    author: str

    def replaces(self, other: OperatorOverride) -> bool:
        """Return whether this override is the later one; ties go by the author's name."""
        return (self.issued_ms, self.author) > (other.issued_ms, other.author)


_Payload = tuple[int, list[OperatorOverride]]  # digest of the topology, overrides
_decode: Callable[[bytes], _Payload] = msgspec.msgpack.Decoder(_Payload).decode


def encode_overrides(topology_digest: int, overrides: Sequence[OperatorOverride]) -> bytes:
    """Return overrides as they travel."""
    return msgspec.msgpack.encode((topology_digest, overrides))


class OperatorOverrides:
    """The latest override of each zone that has not expired."""

    def __init__(self) -> None:
        """Begin without overrides."""
        self.by_zone: dict[int, OperatorOverride] = {}

    def receive(
        self, payload: bytes, topology_digest: int, zone_count: int
    ) -> list[OperatorOverride]:
        """Take over the overrides that are later than ours, and return them.

        Those for another topology, of unknown zones or actions are ignored.

        Raises:
            InvalidOverridesError: the bytes hold no overrides.
        """
        try:
            digest, overrides = _decode(payload)
        except msgspec.MsgspecError as error:
            raise InvalidOverridesError(str(error)) from error
        if digest != topology_digest:
            return []
        known = [
            override
            for override in overrides[:MAX_ZONES]
            if 0 <= override.zone < zone_count and override.action in ACTIONS
        ]
        return [override for override in known if self._record(override)]

    def _record(self, override: OperatorOverride) -> bool:
        current = self.by_zone.get(override.zone)
        if current is not None and not override.replaces(current):
            return False
        self.by_zone[override.zone] = override
        return True

    def action_for(self, zone: int) -> str:
        """Return what operators want of a zone; empty: nothing."""
        override = self.by_zone.get(zone)
        return override.action if override is not None else ""

    def drained_zones(self) -> set[int]:
        """Return the zones that operators drain."""
        return {zone for zone, override in self.by_zone.items() if override.action == DRAIN}

    def expire(self, wall_ms: float) -> None:
        """Forget the overrides whose time is over at this time (Unix ms)."""
        self.by_zone = {
            zone: override
            for zone, override in self.by_zone.items()
            if override.expires_ms > wall_ms
        }
