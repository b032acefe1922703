"""Keeps a file whole on a disk that may fail at any call: the old or the new, never anything
between.

A save writes a temporary file and syncs it, moves the file before it aside, renames, and syncs the
folder. So at every moment the newest whole file stands under one of two names, and a reader takes
the first that is whole.
"""

from __future__ import annotations

import fcntl
import os
from dataclasses import dataclass
from pathlib import Path
from typing import Protocol

from badgercart.statistics.snapshot import MAX_BYTES, Newer, Snapshot, SnapshotError, decode

CURRENT, BEFORE, FRESH, LOCK = "learned", "learned.before", "learned.new", "learned.lock"
PIECE = 1 << 16  # bytes of one write


class Files(Protocol):
    """A folder, call by call. All raise OSError."""

    def read(self, name: str) -> bytes | None:
        """None where there is no such file."""

    def create(self, name: str) -> int:
        """An empty file that only its owner may read, for writing."""

    def write(self, handle: int, data: bytes) -> int:
        """How many bytes were taken."""

    def sync(self, handle: int) -> None: ...

    def close(self, handle: int) -> None: ...

    def rename(self, old: str, new: str) -> None: ...

    def exists(self, name: str) -> bool: ...

    def sync_folder(self) -> None: ...


class Folder:
    """A folder of the system's."""

    def __init__(self, path: Path) -> None:
        self.path = path

    def read(self, name: str) -> bytes | None:
        try:
            with (self.path / name).open("rb") as file:
                return file.read(MAX_BYTES + 1)
        except FileNotFoundError:
            return None

    def create(self, name: str) -> int:
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC | os.O_NOFOLLOW
        return os.open(self.path / name, flags, 0o600)

    def write(self, handle: int, data: bytes) -> int:
        return os.write(handle, data)

    def sync(self, handle: int) -> None:
        os.fsync(handle)

    def close(self, handle: int) -> None:
        os.close(handle)

    def rename(self, old: str, new: str) -> None:
        os.replace(self.path / old, self.path / new)

    def exists(self, name: str) -> bool:
        return (self.path / name).exists()

    def sync_folder(self) -> None:
        handle = os.open(self.path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)


class Busy(OSError):
    """Another process has the folder."""


class Lock:
    """Held as long as this lives: two nodes never share a file."""

    def __init__(self, path: Path) -> None:
        """Raises Busy and OSError."""
        self.handle = os.open(path / LOCK, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(self.handle, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self.handle)
            raise Busy("another node has this folder") from None

    def release(self) -> None:
        os.close(self.handle)


def save(files: Files, data: bytes) -> None:
    """Replace what is kept. Raises OSError; what was kept before is there then."""
    handle = files.create(FRESH)
    try:
        rest = memoryview(data)
        while rest:
            taken = files.write(handle, bytes(rest[:PIECE]))
            if taken <= 0:
                raise OSError("the disk takes nothing more")
            rest = rest[taken:]
        files.sync(handle)
    finally:
        files.close(handle)
    if files.exists(CURRENT):
        files.rename(CURRENT, BEFORE)
    files.rename(FRESH, CURRENT)
    files.sync_folder()


@dataclass(slots=True)
class Loaded:
    """What a folder holds."""

    snapshot: Snapshot | None
    faults: list[str]  # of files that could not be used, by name
    newer: bool = False  # there is one of a later version, which must not be replaced


def load(files: Files) -> Loaded:
    """The newest file that is whole. Never raises."""
    loaded = Loaded(None, [])
    for name in (CURRENT, BEFORE):
        try:
            data = files.read(name)
            if data is None:
                continue
            loaded.snapshot = decode(data)
            return loaded
        except Newer as error:
            loaded.newer = True
            loaded.faults.append(f"{name}: {error}")
            return loaded
        except (SnapshotError, OSError) as error:
            loaded.faults.append(f"{name}: {error}")
    return loaded
