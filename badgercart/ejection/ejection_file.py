"""The file that persists ejections; it is replaced atomically.

It has a checksum (`core/checksummed_file.py`). Changes are made under a lock, in a separate lock
file, so that two processes don't overwrite each other's changes. Its keys (`bans`, `freed`,
`names`) are part of the format and differ from the names in the code.
"""

from __future__ import annotations

import fcntl
import math
import os
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

from badgercart.core.checksummed_file import (
    CorruptFileError,
    decode_checksummed,
    encode_checksummed,
    replace_file,
)
from badgercart.ejection.ledger import MAX_EJECTED, MAX_NAMES, EjectionState, Reinstatement

FORMAT_VERSION = 1
MAX_FILE_BYTES = 4 << 20
FILE_NAME = "badgercart-bans"
LOCK_FILE_NAME = "badgercart-bans.lock"
MAX_LOCK_RETRIES = 100
# The process that holds the lock only writes a few kB, so the lock is released soon.
LOCK_RETRY_INTERVAL_S = 0.001


def encode(state: EjectionState) -> bytes:
    """Return the content of the file for a state."""
    fields = {
        "format": FORMAT_VERSION,
        "bans": state.ejected,
        "freed": {
            name: [reinstatement.ejected_ms, reinstatement.reinstated_ms]
            for name, reinstatement in state.reinstated.items()
        },
        "names": [*state.known_names],
    }
    return encode_checksummed(fields)


def decode(data: bytes) -> EjectionState:
    """Return the state in the content of a file. Raises CorruptFileError if it is invalid."""
    fields = decode_checksummed(data, FORMAT_VERSION)
    try:
        ejected = {str(name): _time_ms(value) for name, value in fields["bans"].items()}
        reinstated = {
            str(name): Reinstatement(_time_ms(ejected_ms), _time_ms(reinstated_ms))
            for name, (ejected_ms, reinstated_ms) in fields["freed"].items()
        }
        known_names = dict.fromkeys(str(name) for name in fields["names"])
    except (KeyError, TypeError, ValueError, AttributeError, RecursionError) as error:
        detail = f"{type(error).__name__}: {error}"
        raise CorruptFileError(detail) from error
    if len(ejected) > MAX_EJECTED or len(known_names) > MAX_NAMES + MAX_EJECTED:
        detail = "it names too many servers"
        raise CorruptFileError(detail)
    return EjectionState(ejected, reinstated, known_names)


def _time_ms(value: object) -> float:
    if not isinstance(value, int | float) or not math.isfinite(value):
        detail = f"{value!r} is no time"
        raise ValueError(detail)
    return float(value)


@dataclass(slots=True, frozen=True)
class FileVersion:
    """Identifies one version of the file."""

    inode: int
    modified_ns: int
    size_bytes: int


class EjectionFile:
    """The ejection file of a folder, and its lock.

    Attributes:
        path: the path of the file.
    """

    def __init__(self, folder: Path) -> None:
        self.path = folder / FILE_NAME
        self._lock_path = folder / LOCK_FILE_NAME
        # The version that was last read or written.
        self._known_version: FileVersion | None = None

    def has_changed(self) -> bool:
        """Return whether the file has changed since it was last read or written."""
        return self._current_version() != self._known_version

    def _current_version(self) -> FileVersion | None:
        try:
            status = os.stat(self.path)
        except OSError:
            return None
        return FileVersion(status.st_ino, status.st_mtime_ns, status.st_size)

    def read(self) -> EjectionState | None:
        """Return the persisted state; None if there is no file.

        Raises:
            CorruptFileError: the file is corrupt.
            OSError: the file can't be read.
        """
        self._known_version = self._current_version()
        try:
            with self.path.open("rb") as file:
                data = file.read(MAX_FILE_BYTES + 1)
        except FileNotFoundError:
            return None
        if len(data) > MAX_FILE_BYTES:
            detail = f"it is over {MAX_FILE_BYTES} bytes"
            raise CorruptFileError(detail)
        return decode(data)

    def write(self, state: EjectionState) -> None:
        """Replace the file and sync it to disk. If it raises OSError, the old file is kept."""
        replace_file(self.path, encode(state), sync=True)
        self._known_version = self._current_version()

    @contextmanager
    def lock(self, pause: Callable[[float], None] = time.sleep) -> Iterator[None]:
        """Hold the lock. Raises OSError if another process doesn't release it in time."""
        with self._lock_path.open("wb") as file:
            for retries_left in range(MAX_LOCK_RETRIES, -1, -1):
                try:
                    fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
                    break
                except BlockingIOError:
                    if not retries_left:
                        raise
                    pause(LOCK_RETRY_INTERVAL_S)
            yield
