"""The errors of what is kept over a restart."""

from __future__ import annotations


class StatisticsError(Exception):
    """The base of the package's errors."""


class SnapshotError(StatisticsError):
    """A file that can't be used.

    Attributes:
        reason: what is wrong with it.
    """

    def __init__(self, reason: str) -> None:
        """Say what is wrong with the file."""
        self.reason = reason
        super().__init__(reason)


class NewerVersionError(SnapshotError):
    """A file of a version that is not known here: it is left alone.

    Attributes:
        version: the file's.
        known: the last version that is known.
    """

    def __init__(self, version: int, known: int) -> None:
        """Say which version the file has."""
        self.version, self.known = version, known
        super().__init__(f"it is of version {version}; known here are 1 to {known}")


class FolderLockedError(StatisticsError, OSError):
    """Another process has the folder."""


class DiskFullError(StatisticsError, OSError):
    """The disk takes nothing more."""


class TooLargeError(StatisticsError, ValueError):
    """A snapshot that is larger than the operator allows.

    Attributes:
        size_bytes: its size.
    """

    def __init__(self, size_bytes: int) -> None:
        """Say how large the snapshot is."""
        self.size_bytes = size_bytes
        super().__init__(f"it takes {size_bytes} bytes, over most_bytes")
