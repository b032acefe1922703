"""The errors of the cluster package."""

from __future__ import annotations

from enum import StrEnum


class ClusterError(Exception):
    """The base of this package's errors."""


class RejectionReason(StrEnum):
    """Why a packet isn't taken: the kinds of the log and of the admin page."""

    OVERSIZED = "oversized"
    STRAY = "stray"
    VERSION = "version"
    FORGED = "forged"
    MALFORMED = "malformed"
    STRANGER = "stranger"


class PacketRejectedError(ClusterError):
    """A packet that isn't taken.

    Attributes:
        reason: for figures.
        detail: for people.
    """

    def __init__(self, reason: RejectionReason, detail: str) -> None:
        super().__init__(detail)
        self.reason = reason
        self.detail = detail
