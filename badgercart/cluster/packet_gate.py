"""The gate that encodes, authenticates and counts all packets of a node."""

from __future__ import annotations

from collections import Counter

from badgercart.cluster.allowlist import AddressAllowlist
from badgercart.cluster.codec import PacketCodec
from badgercart.cluster.errors import PacketRejectedError, RejectionReason
from badgercart.cluster.log_events import PACKET_REJECTED
from badgercart.cluster.messages import Packet
from badgercart.config import Address


class PacketGate:
    """Encodes and decodes packets, and owns the traffic counters.

    Attributes:
        allowed: the addresses from which packets are accepted.
        rejected: rejected packets by reason.
        bytes_out: bytes sent.
        bytes_in: bytes received.
    """

    def __init__(self, codec: PacketCodec, allowed: AddressAllowlist) -> None:
        self._codec = codec
        self.allowed = allowed
        self.rejected: Counter[str] = Counter()
        self.bytes_out = self.bytes_in = 0

    def encode(self, packet: Packet) -> bytes:
        """Return a packet as bytes."""
        return self._codec.encode(packet)

    def decode(self, data: bytes, source: Address, max_bytes: int) -> Packet | None:
        """Return the packet, or None if it is rejected, which is counted and logged."""
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
