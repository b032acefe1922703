"""The file in which servers taken out are kept: one version at a time, whole or not at all.

It is sealed (`core/sealed.py`), and changed under a lock of its own file, so that two processes
don't undo what the other wrote.
"""

from __future__ import annotations

import fcntl
import math
import os
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path

from badgercart.core.checksummed_file import (
    CorruptFileError,
    decode_checksummed,
    encode_checksummed,
    replace_file,
)
from badgercart.ejection.ledger import MAX_BANS, MAX_NAMES, Freed, State

FORMAT = 1
MAX_BYTES = 4 << 20
LOCK_TRIES, LOCK_PAUSE = 100, 0.001  # s: whoever holds the lock writes some kB to memory


def encode(state: State) -> bytes:
    told = {
        "format": FORMAT,
        "bans": state.bans,
        "freed": {name: [back.banned, back.freed] for name, back in state.freed.items()},
        "names": [*state.names],
    }
    return encode_checksummed(told)


def decode(data: bytes) -> State:
    """Raises Unusable; nothing is taken in part."""
    told = decode_checksummed(data, FORMAT)
    try:
        bans = {str(name): moment(since) for name, since in told["bans"].items()}
        freed = {str(name): Freed(moment(b), moment(f)) for name, (b, f) in told["freed"].items()}
        names = dict.fromkeys(str(name) for name in told["names"])
    except (KeyError, TypeError, ValueError, AttributeError, RecursionError) as error:
        raise CorruptFileError(f"{type(error).__name__}: {error}") from None
    if len(bans) > MAX_BANS or len(names) > MAX_NAMES + MAX_BANS:
        raise CorruptFileError("it names too many servers")
    return State(bans, freed, names)


def moment(value: object) -> float:
    if not isinstance(value, int | float) or not math.isfinite(value):
        raise ValueError(f"{value!r} is no time")
    return float(value)


class Store:
    """One file in a folder."""

    def __init__(self, folder: Path) -> None:
        self.path = folder / "badgercart-bans"
        self.lock = folder / "badgercart-bans.lock"
        self.seen: tuple[int, int, int] | None = None  # of the file as it was last read or written

    def changed(self) -> bool:
        """Whether there is another file than the last that was read or written."""
        return self.stamp() != self.seen

    def stamp(self) -> tuple[int, int, int] | None:
        try:
            found = os.stat(self.path)
        except OSError:
            return None
        return found.st_ino, found.st_mtime_ns, found.st_size

    def read(self) -> State | None:
        """What is kept; None where there is no file. Raises Unusable, OSError."""
        self.seen = self.stamp()
        try:
            with self.path.open("rb") as file:
                data = file.read(MAX_BYTES + 1)
        except FileNotFoundError:
            return None
        if len(data) > MAX_BYTES:
            raise CorruptFileError(f"it is over {MAX_BYTES} bytes")
        return decode(data)

    def write(self, state: State) -> None:
        """Whole, and there before this returns. Raises OSError; then the old file stays."""
        replace_file(self.path, encode(state), sync=True)
        self.seen = self.stamp()

    @contextmanager
    def held(self, pause: Callable[[float], None] = time.sleep) -> Iterator[None]:
        """The lock. Raises OSError where another process does not let it go."""
        with self.lock.open("wb") as file:
            for left in range(LOCK_TRIES, -1, -1):
                try:
                    fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
                    break
                except BlockingIOError:
                    if not left:
                        raise
                    pause(LOCK_PAUSE)
            yield
