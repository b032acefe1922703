"""The errors of the cluster package."""

from __future__ import annotations

from enum import StrEnum


class ClusterError(Exception):
    """The base of this package's errors."""


class RejectionReason(StrEnum):
    """Why a packet is rejected; the log and the admin page show the values."""

    OVERSIZED = "oversized"
    STRAY = "stray"
    VERSION = "version"
    FORGED = "forged"
    MALFORMED = "malformed"
    STRANGER = "stranger"


class PacketRejectedError(ClusterError):
    """A packet that is rejected.

    Attributes:
        reason: the kind of rejection, for counters.
        detail: what is wrong with the packet, for operators.
    """

    def __init__(self, reason: RejectionReason, detail: str) -> None:
        super().__init__(detail)
        self.reason = reason
        self.detail = detail
