"""What can be wrong in this package."""

from __future__ import annotations


class DiscoveryError(Exception):
    """The base of the package's errors."""


class CallFailedError(DiscoveryError):
    """A call gave no list, or a watch ended."""

    def __init__(self, reason: str) -> None:
        """Keep what came instead, in words."""
        super().__init__(reason)
        self.reason = reason


class MalformedListError(DiscoveryError, ValueError):
    """What came is no list, or a part of one: a change may have been missed with it."""

    def __init__(self, reason: str) -> None:
        """Keep the reason in words."""
        super().__init__(reason)
        self.reason = reason
