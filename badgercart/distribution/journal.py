"""The persistent state of a replica: a snapshot of all topics, and a journal of later changes.

Each `Persist` is one record (see `record_file`), written and synced before `persist` returns.

A new snapshot is written to a separate file, synced and renamed. Its journal has the snapshot's
generation in its name, and is created before the rename. So there is a complete snapshot with its
journal at any time.
"""

from __future__ import annotations

import fcntl
import os
from pathlib import Path
from typing import Protocol

from badgercart.distribution.effects import Persist, PersistSnapshot, RecoveredState
from badgercart.distribution.errors import JournalError
from badgercart.distribution.journal_format import (
    decode_journal,
    decode_snapshot,
    encode_header,
    encode_persist,
    encode_snapshot,
    replay,
)
from badgercart.distribution.record_file import encode_record, read_records

SNAPSHOT_NAME = "snapshot"
NEW_SNAPSHOT_NAME = "snapshot.new"
# The generation follows.
JOURNAL_PREFIX = "journal."
LOCK_NAME = "lock"
# Smaller journals are not compacted.
MIN_COMPACTION_BYTES = 1 << 20


class Disk(Protocol):
    """The interface of `Journal`, which executes `Persist` and `PersistSnapshot` effects."""

    def recover(self) -> RecoveredState:
        """Return the persisted state."""

    def persist(self, effect: Persist | PersistSnapshot) -> None:
        """Write an effect to disk before returning."""

    @property
    def needs_compaction(self) -> bool:
        """Whether `compact` should be called."""

    def compact(self, state: RecoveredState) -> None:
        """Replace everything that was persisted by this state."""

    def close(self) -> None:
        """Close all files and release the lock."""


class Journal:
    """The files of a replica's folder, which is locked against other processes.

    After an OSError of the disk it is unknown what was written. From then on all calls raise
    JournalError, and a new process has to recover the state.

    Attributes:
        folder: the replica's folder.
        journal_bytes: the length of the current journal.
    """

    def __init__(self, folder: Path, min_compaction_bytes: int = MIN_COMPACTION_BYTES) -> None:
        """Lock the folder, which is created if it doesn't exist.

        Raises:
            JournalError: another process uses the folder.
            OSError: the folder can't be used.
        """
        self.folder = folder
        self._min_compaction_bytes = min_compaction_bytes
        folder.mkdir(mode=0o700, parents=True, exist_ok=True)
        self._lock_fd = _lock(folder)
        self._journal_fd = -1
        self._generation = 0
        self.journal_bytes = 0
        self._snapshot_bytes = 0
        # The reason why nothing can be persisted any more; empty: none.
        self._failure = ""

    def close(self) -> None:
        """Close all files and release the lock."""
        if self._journal_fd >= 0:
            os.close(self._journal_fd)
        os.close(self._lock_fd)
        self._journal_fd, self._failure = -1, "it is closed"

    # Reading.

    def recover(self) -> RecoveredState:
        """Return the state that an earlier process persisted in this folder.

        Raises:
            JournalError: the files are corrupt or inconsistent.
            OSError: the files can't be read.
        """
        start = self._load_snapshot()
        name = self._journal_name
        data = self._read(name)
        if data is None and self._generation:
            raise JournalError(name, "it is gone, the snapshot says that it is there")
        records = read_records(data or b"", name)
        if records.bodies:
            persisted = decode_journal(records.bodies, self._generation, name)
            recovered = replay(start, persisted, name)
            self._open_journal(records.length_bytes)
        elif self._generation:
            raise JournalError(name, "its first record is spoilt")
        else:
            # This is the first start, or the first start crashed before it wrote its header.
            self._create_journal()
            recovered = start
        self._remove_stale_files()
        return recovered

    @property
    def _journal_name(self) -> str:
        return f"{JOURNAL_PREFIX}{self._generation}"

    def _load_snapshot(self) -> RecoveredState:
        self._generation = 0
        data = self._read(SNAPSHOT_NAME)
        if data is None:
            return RecoveredState()
        self._generation, state = decode_snapshot(data, SNAPSHOT_NAME)
        self._snapshot_bytes = len(data)
        return state

    def _read(self, name: str) -> bytes | None:
        try:
            return (self.folder / name).read_bytes()
        except FileNotFoundError:
            return None

    def _open_journal(self, length_bytes: int) -> None:
        """Open the journal for appending, and truncate an incomplete record after a crash."""
        path = self.folder / self._journal_name
        self._journal_fd = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CLOEXEC)
        if length_bytes < os.fstat(self._journal_fd).st_size:
            os.ftruncate(self._journal_fd, length_bytes)
            os.fsync(self._journal_fd)
        self.journal_bytes = length_bytes

    def _remove_stale_files(self) -> None:
        """Remove files of a compaction that was interrupted by a crash."""
        for path in self.folder.iterdir():
            is_old = path.name.startswith(JOURNAL_PREFIX) and path.name != self._journal_name
            if is_old or path.name == NEW_SNAPSHOT_NAME:
                path.unlink()

    # Writing.

    def persist(self, effect: Persist | PersistSnapshot) -> None:
        """Write an effect to disk before returning.

        Raises:
            OSError: the disk has failed.
            JournalError: the disk failed before, or the journal is closed or not recovered.
        """
        if isinstance(effect, PersistSnapshot):
            self.compact(effect.state)
            return
        self._check_usable()
        try:
            self.journal_bytes += _write_record(self._journal_fd, encode_persist(effect))
            os.fsync(self._journal_fd)
        except OSError as error:
            self._failure = str(error)
            raise

    @property
    def needs_compaction(self) -> bool:
        """Whether the journal is longer than twice the snapshot and the minimum for compaction."""
        return self.journal_bytes > max(self._min_compaction_bytes, 2 * self._snapshot_bytes)

    def compact(self, state: RecoveredState) -> None:
        """Replace everything that was persisted by this state. Raises the same as `persist`."""
        self._check_usable()
        body = encode_snapshot(state, self._generation + 1)
        old_fd, old_name = self._journal_fd, self._journal_name
        try:
            snapshot_bytes = self._write_new_snapshot(body)
            self._generation += 1
            self._create_journal()
            os.replace(self.folder / NEW_SNAPSHOT_NAME, self.folder / SNAPSHOT_NAME)
            self._sync_folder()
        except OSError as error:
            self._failure = str(error)
            raise
        self._snapshot_bytes = snapshot_bytes
        os.close(old_fd)
        (self.folder / old_name).unlink()

    def _check_usable(self) -> None:
        if self._failure or self._journal_fd < 0:
            reason = self._failure or "not recovered"
            raise JournalError(str(self.folder), f"nothing is kept any more: {reason}")

    def _write_new_snapshot(self, body: bytes) -> int:
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC
        fd = os.open(self.folder / NEW_SNAPSHOT_NAME, flags, 0o600)
        try:
            length_bytes = _write_record(fd, body)
            os.fsync(fd)
        finally:
            os.close(fd)
        return length_bytes

    def _create_journal(self) -> None:
        """Create the journal of the current generation, with its header record."""
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND | os.O_CLOEXEC
        self._journal_fd = os.open(self.folder / self._journal_name, flags, 0o600)
        self.journal_bytes = _write_record(self._journal_fd, encode_header(self._generation))
        os.fsync(self._journal_fd)
        self._sync_folder()

    def _sync_folder(self) -> None:
        fd = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)


def _lock(folder: Path) -> int:
    fd = os.open(folder / LOCK_NAME, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
    try:
        fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError as error:
        os.close(fd)
        raise JournalError(str(folder), "another process has it") from error
    return fd


def _write_record(fd: int, body: bytes) -> int:
    """Write a record and return its length in bytes."""
    data = memoryview(encode_record(body))
    rest = data
    while rest:
        rest = rest[os.write(fd, rest) :]
    return len(data)
