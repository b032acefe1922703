"""Keeps a file whole on a disk that may fail at any call: the old or the new, never anything
between.

A save writes a temporary file and syncs it, moves the file before it aside, renames, and syncs the
folder. So the newest whole file always stands under one of two names, and a reader takes the first
that is whole.
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
WRITE_BYTES = 1 << 16  # in one write


class Files(Protocol):
    """A folder, call by call. All raise OSError."""

    def read(self, name: str) -> bytes | None:
        """Return a file's content; None where there is no such file."""

    def create(self, name: str) -> int:
        """Create an empty file that only its owner may read, and return its handle for writing."""

    def write(self, handle: int, data: bytes) -> int:
        """Write to a file, and return how many bytes were taken."""

    def sync(self, handle: int) -> None:
        """Have a file's content reach the disk."""

    def close(self, handle: int) -> None:
        """Close a file."""

    def rename(self, old: str, new: str) -> None:
        """Rename a file, in the place of one that is there."""

    def exists(self, name: str) -> bool:
        """Return whether there is such a file."""

    def sync_folder(self) -> None:
        """Have the folder's names reach the disk."""


class Folder:
    """A folder of the system's."""

    def __init__(self, path: Path) -> None:
        """Take a folder by its path."""
        self.path = path

    def read(self, name: str) -> bytes | None:
        """Return a file's content; None where there is no such file."""
        try:
            with (self.path / name).open("rb") as file:
                return file.read(MAX_BYTES + 1)
        except FileNotFoundError:
            return None

    def create(self, name: str) -> int:
        """Create an empty file that only its owner may read, and return its handle for writing."""
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC | os.O_NOFOLLOW
        return os.open(self.path / name, flags, 0o600)

    def write(self, handle: int, data: bytes) -> int:
        """Write to a file, and return how many bytes were taken."""
        return os.write(handle, data)

    def sync(self, handle: int) -> None:
        """Have a file's content reach the disk."""
        os.fsync(handle)

    def close(self, handle: int) -> None:
        """Close a file."""
        os.close(handle)

    def rename(self, old: str, new: str) -> None:
        """Rename a file, in the place of one that is there."""
        os.replace(self.path / old, self.path / new)

    def exists(self, name: str) -> bool:
        """Return whether there is such a file."""
        return (self.path / name).exists()

    def sync_folder(self) -> None:
        """Have the folder's names reach the disk."""
        handle = os.open(self.path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)


class FolderLock:
    """Held as long as it lives, so that two nodes never share a folder."""

    def __init__(self, path: Path) -> None:
        """Lock a folder.

        Raises:
            FolderLockedError: Another process has it.
            OSError: It can't be used.
        """
        self.handle = os.open(path / LOCK_NAME, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(self.handle, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(self.handle)
            raise FolderLockedError("another node has this folder") from error

    def release(self) -> None:
        """Let another process have the folder."""
        os.close(self.handle)


def save(files: Files, data: bytes) -> None:
    """Replace what is kept.

    Raises:
        OSError: A call failed; what was kept before is there still.
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
    rest = memoryview(data)
    while rest:
        taken = files.write(handle, bytes(rest[:WRITE_BYTES]))
        if taken <= 0:
            raise DiskFullError("the disk takes nothing more")
        rest = rest[taken:]


@dataclass(slots=True)
class LoadedSnapshot:
    """What a folder holds."""

    snapshot: Snapshot | None
    faults: list[str]  # of files that could not be used, by name
    # There is a file of a later version, which is not to be replaced.
    has_newer_version: bool = False


def load(files: Files) -> LoadedSnapshot:
    """Return the newest snapshot that is whole, and what was wrong with others. Raises nothing."""
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
