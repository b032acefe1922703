"""The one way of bytes into and out of the protocol: encoded, checked, and counted."""

from __future__ import annotations

from collections import Counter

from badgercart.cluster.allowlist import AddressAllowlist
from badgercart.cluster.codec import PacketCodec
from badgercart.cluster.errors import PacketRejectedError, RejectionReason
from badgercart.cluster.log_events import PACKET_REJECTED
from badgercart.cluster.messages import Packet
from badgercart.config import Address


class PacketGate:
    """Decodes what may be taken and owns the counters of a node's traffic."""

    def __init__(self, codec: PacketCodec, allowed: AddressAllowlist) -> None:
        self._codec = codec
        self.allowed = allowed
        self.rejected: Counter[str] = Counter()  # by reason
        self.bytes_out = self.bytes_in = 0

    def encode(self, packet: Packet) -> bytes:
        """Return the bytes of a packet."""
        return self._codec.encode(packet)

    def decode(self, data: bytes, source: Address, max_bytes: int) -> Packet | None:
        """Return a packet; one that isn't taken is counted and logged, and None is returned."""
        try:
            return self._checked(data, source, max_bytes)
        except PacketRejectedError as error:
            self.rejected[error.reason] += 1
            host, port = source
            PACKET_REJECTED(source=f"{host}:{port}", kind=str(error.reason), words=error.detail)
            return None

    def _checked(self, data: bytes, source: Address, max_bytes: int) -> Packet:
        if source[0] not in self.allowed:
            detail = "its address is in none of the networks allowed"
            raise PacketRejectedError(RejectionReason.STRANGER, detail)
        return self._codec.decode(data, max_bytes)
