"""Atomic replacement of the snapshot file on a disk that may fail at any call.

A save writes a temporary file and syncs it, renames the current file to the previous one, renames
the temporary file to the current one, and syncs the folder. So the newest complete snapshot always
has one of two names, and a reader uses the first of them that is valid.
"""

from __future__ import annotations

import fcntl
import os
from dataclasses import dataclass
from pathlib import Path
from typing import Protocol

from badgercart.statistics.errors import (
    DiskFullError,
    FolderLockedError,
    NewerVersionError,
    SnapshotError,
)
from badgercart.statistics.snapshot import MAX_BYTES, Snapshot, decode

CURRENT_NAME, PREVIOUS_NAME = "learned", "learned.before"
TEMPORARY_NAME, LOCK_NAME = "learned.new", "learned.lock"
MAX_WRITE_BYTES = 1 << 16  # in one call


class Files(Protocol):
    """The system calls on files of a folder. All of them raise OSError."""

    def read(self, name: str) -> bytes | None:
        """Return a file's content, or None if there is no such file."""

    def create(self, name: str) -> int:
        """Create an empty file readable by its owner only, and return a handle for writing."""

    def write(self, handle: int, data: bytes) -> int:
        """Write to a file, and return the number of bytes written."""

    def sync(self, handle: int) -> None:
        """Flush a file's content to the disk."""

    def close(self, handle: int) -> None:
        """Close a file."""

    def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing any file that has the new name."""

    def exists(self, name: str) -> bool:
        """Return whether there is a file of this name."""

    def sync_folder(self) -> None:
        """Flush the folder's entries to the disk."""


class Folder:
    """A folder in the file system."""

    def __init__(self, path: Path) -> None:
        """Use the folder at this path."""
        self.path = path

    def read(self, name: str) -> bytes | None:
        """Return a file's content, or None if there is no such file."""
        try:
            with (self.path / name).open("rb") as file:
                return file.read(MAX_BYTES + 1)
        except FileNotFoundError:
            return None

    def create(self, name: str) -> int:
        """Create an empty file readable by its owner only, and return a handle for writing."""
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC | os.O_NOFOLLOW
        return os.open(self.path / name, flags, 0o600)

    def write(self, handle: int, data: bytes) -> int:
        """Write to a file, and return the number of bytes written."""
        return os.write(handle, data)

    def sync(self, handle: int) -> None:
        """Flush a file's content to the disk."""
        os.fsync(handle)

    def close(self, handle: int) -> None:
        """Close a file."""
        os.close(handle)

    def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing any file that has the new name."""
        os.replace(self.path / old, self.path / new)

    def exists(self, name: str) -> bool:
        """Return whether there is a file of this name."""
        return (self.path / name).exists()

    def sync_folder(self) -> None:
        """Flush the folder's entries to the disk."""
        handle = os.open(self.path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)


class FolderLock:
    """A lock on a folder until it is released, so that two nodes never share one."""

    def __init__(self, path: Path) -> None:
        """Lock a folder.

        Raises:
            FolderLockedError: Another process has locked it.
            OSError: The lock file can't be created or opened.
        """
        self.handle = os.open(path / LOCK_NAME, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(self.handle, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(self.handle)
            raise FolderLockedError("another node has this folder") from error

    def release(self) -> None:
        """Release the lock."""
        os.close(self.handle)


def save(files: Files, data: bytes) -> None:
    """Replace the stored snapshot.

    Raises:
        OSError: A call failed; the snapshot stored before is still there.
    """
    handle = files.create(TEMPORARY_NAME)
    try:
        _write_all(files, handle, data)
        files.sync(handle)
    finally:
        files.close(handle)
    if files.exists(CURRENT_NAME):
        files.rename(CURRENT_NAME, PREVIOUS_NAME)
    files.rename(TEMPORARY_NAME, CURRENT_NAME)
    files.sync_folder()


def _write_all(files: Files, handle: int, data: bytes) -> None:
    remaining = memoryview(data)
    while remaining:
        written = files.write(handle, bytes(remaining[:MAX_WRITE_BYTES]))
        if written <= 0:
            raise DiskFullError("the disk takes nothing more")
        remaining = remaining[written:]


@dataclass(slots=True)
class LoadedSnapshot:
    """The snapshot of a folder, and the faults of its files.

    Attributes:
        snapshot: the newest valid snapshot; None if there is none.
        faults: a line for each file that could not be used, with its name.
        has_newer_version: whether there is a file of a newer version, which must not be replaced.
    """

    snapshot: Snapshot | None
    faults: list[str]
    has_newer_version: bool = False


def load(files: Files) -> LoadedSnapshot:
    """Return the newest valid snapshot, and the faults of other files. Raises nothing."""
    loaded = LoadedSnapshot(None, [])
    for name in (CURRENT_NAME, PREVIOUS_NAME):
        try:
            data = files.read(name)
            if data is not None:
                loaded.snapshot = decode(data)
                return loaded
        except NewerVersionError as error:
            loaded.has_newer_version = True
            loaded.faults.append(f"{name}: {error}")
            return loaded
        except (SnapshotError, OSError) as error:
            loaded.faults.append(f"{name}: {error}")
    return loaded
