"""Operators' overrides of zones: drain a zone, pin it open, or release it. No I/O."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import msgspec

from badgercart.zones.errors import InvalidOverridesError
from badgercart.zones.topology import MAX_ZONES

OVERRIDES_TOPIC = "zones.orders"
# The actions, as they are encoded and as operators write them.
DRAIN = "drain"
PIN = "pin"
RELEASE = "release"
ACTIONS = (DRAIN, PIN, RELEASE)


class OperatorOverride(msgspec.Struct, array_like=True, frozen=True):
    """An operator's override of a zone, encoded as an array in the order of the fields.

    DRAIN: the zone gets no new requests; PIN: the zone stays open whatever is reported; RELEASE:
    neither.

    Attributes:
        zone: the index of the zone.
        action: one of ACTIONS.
        issued_ms: the Unix time in ms at which the operator issued the override.
        expires_ms: the Unix time in ms at which the override expires.
        author: the name of the operator.
    """

    zone: int
    action: str
    issued_ms: int
    expires_ms: int
    author: str

    def replaces(self, other: OperatorOverride) -> bool:
        """Return whether this override is newer; ties are broken by the author's name."""
        return (self.issued_ms, self.author) > (other.issued_ms, other.author)


# The digest of the topology, and the overrides.
_Payload = tuple[int, list[OperatorOverride]]
_decode: Callable[[bytes], _Payload] = msgspec.msgpack.Decoder(_Payload).decode


def encode_overrides(topology_digest: int, overrides: Sequence[OperatorOverride]) -> bytes:
    """Return overrides as they travel."""
    return msgspec.msgpack.encode((topology_digest, overrides))


class OperatorOverrides:
    """The latest override of each zone that has not expired."""

    def __init__(self) -> None:
        """Start without overrides."""
        self.by_zone: dict[int, OperatorOverride] = {}

    def receive(
        self, payload: bytes, topology_digest: int, zone_count: int
    ) -> list[OperatorOverride]:
        """Record the overrides that are newer than the known ones, and return them.

        Overrides for another topology, an unknown zone or an unknown action are ignored.

        Raises:
            InvalidOverridesError: the bytes are not valid overrides.
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
        """Return the action in force for a zone, or an empty string."""
        override = self.by_zone.get(zone)
        return override.action if override is not None else ""

    def drained_zones(self) -> set[int]:
        """Return the zones that operators drain."""
        return {zone for zone, override in self.by_zone.items() if override.action == DRAIN}

    def expire(self, wall_ms: float) -> None:
        """Remove the overrides that have expired at this Unix time (ms)."""
        self.by_zone = {
            zone: override
            for zone, override in self.by_zone.items()
            if override.expires_ms > wall_ms
        }
