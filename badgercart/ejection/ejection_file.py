"""The file in which ejections are kept: one version at a time, whole or not at all.

It has a checksum (`core/checksummed_file.py`), and is changed under a lock in a file of its own, so that two
processes don't undo what the other wrote. Its keys (`bans`, `freed`, `names`) are those of its
format and follow no name of the code.
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
MAX_BYTES = 4 << 20
FILE_NAME, LOCK_NAME = "badgercart-bans", "badgercart-bans.lock"
LOCK_TRIES = 100
LOCK_PAUSE_S = 0.001  # whoever holds the lock writes some kB


def encode(state: EjectionState) -> bytes:
    """Return the file of a state."""
    fields = {
        "format": FORMAT_VERSION,
        "bans": state.ejected,
        "freed": {
            name: [each.ejected_ms, each.reinstated_ms] for name, each in state.reinstated.items()
        },
        "names": [*state.known_names],
    }
    return encode_checksummed(fields)


def decode(data: bytes) -> EjectionState:
    """Return the state in a file. Raises CorruptFileError where any of it can't be used."""
    fields = decode_checksummed(data, FORMAT_VERSION)
    try:
        ejected = {str(name): _time_ms(at) for name, at in fields["bans"].items()}
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
    """What tells one version of the file from another."""

    inode: int
    modified_ns: int
    size_bytes: int


class EjectionFile:
    """The file in a folder.

    Attributes:
        path: where it is.
    """

    def __init__(self, folder: Path) -> None:
        self.path = folder / FILE_NAME
        self._lock_path = folder / LOCK_NAME
        self._seen: FileVersion | None = None  # as it was last read or written

    def has_changed(self) -> bool:
        """Tell whether the file is another than the one that was last read or written."""
        return self._version() != self._seen

    def _version(self) -> FileVersion | None:
        try:
            found = os.stat(self.path)
        except OSError:
            return None
        return FileVersion(found.st_ino, found.st_mtime_ns, found.st_size)

    def read(self) -> EjectionState | None:
        """Return what is kept; None where there is no file.

        Raises:
            CorruptFileError: nothing of the file can be used.
            OSError: it can't be read.
        """
        self._seen = self._version()
        try:
            with self.path.open("rb") as file:
                data = file.read(MAX_BYTES + 1)
        except FileNotFoundError:
            return None
        if len(data) > MAX_BYTES:
            detail = f"it is over {MAX_BYTES} bytes"
            raise CorruptFileError(detail)
        return decode(data)

    def write(self, state: EjectionState) -> None:
        """Replace the file, which is on disk on return. Raises OSError; then the old one stays."""
        replace_file(self.path, encode(state), sync=True)
        self._seen = self._version()

    @contextmanager
    def lock(self, pause: Callable[[float], None] = time.sleep) -> Iterator[None]:
        """Hold the lock. Raises OSError where another process doesn't release it."""
        with self._lock_path.open("wb") as file:
            for tries_left in range(LOCK_TRIES, -1, -1):
                try:
                    fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
                    break
                except BlockingIOError:
                    if not tries_left:
                        raise
                    pause(LOCK_PAUSE_S)
            yield
