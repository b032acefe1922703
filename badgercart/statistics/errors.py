"""The errors of the persisted statistics."""

from __future__ import annotations


class StatisticsError(Exception):
    """Base class of the package's errors."""


class SnapshotError(StatisticsError):
    """A snapshot file that can't be used.

    Attributes:
        reason: a description of the fault.
    """

    def __init__(self, reason: str) -> None:
        """Describe the fault of the file."""
        self.reason = reason
        super().__init__(reason)


class NewerVersionError(SnapshotError):
    """A file of a newer version, which this release must not replace.

    Attributes:
        version: the version of the file.
        known: the newest version that this release can read.
    """

    def __init__(self, version: int, known: int) -> None:
        """Name the version of the file and the versions that can be read."""
        self.version, self.known = version, known
        super().__init__(f"it is of version {version}; known here are 1 to {known}")


class FolderLockedError(StatisticsError, OSError):
    """Another process has locked the folder."""


class DiskFullError(StatisticsError, OSError):
    """The disk accepts no more data."""


class TooLargeError(StatisticsError, ValueError):
    """A snapshot that is larger than the operator allows.

    Attributes:
        size_bytes: the size of the snapshot.
    """

    def __init__(self, size_bytes: int) -> None:
        """Name the size of the snapshot."""
        self.size_bytes = size_bytes
        super().__init__(f"it takes {size_bytes} bytes, over most_bytes")
