"""Which processes of this node live: each holds a lock in the shared folder until it ends.

The kernel lets a lock go with its process, however that ended: a file that can be locked is of a
dead one.
"""

from __future__ import annotations

import fcntl
import os
from collections.abc import Callable
from pathlib import Path

from badgercart.core.ports import Timers

PREFIX, SUFFIX = "badgercart-", ".life"
LOOK = 0.1  # s between looks for others


class Lives:
    """This process's own lock, and what others there are."""

    def __init__(self, folder: Path, timers: Timers, on_change: Callable[[bool], None]) -> None:
        """`on_change` is told whether the process is alone, whenever that changes. OSError where
        the folder can't be used."""
        self.folder = folder
        self.timers = timers
        self.on_change = on_change
        self.closed = False
        self.path = folder / f"{PREFIX}{os.getpid()}{SUFFIX}"
        # Locked under another name first: no one else may see it unlocked, and take it for a dead
        # one's.
        part = self.path.with_suffix(".born")
        self.file = part.open("wb")
        fcntl.flock(self.file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        os.replace(part, self.path)
        self.alone = not self.others()

    def start(self) -> None:
        self.look()

    def look(self) -> None:
        if self.closed:
            return
        self.timers.call_later(LOOK, self.look)
        if (alone := not self.others()) is not self.alone:
            self.alone = alone
            self.on_change(alone)

    def others(self) -> list[str]:
        """The other processes that live; what dead ones left behind is cleared away."""
        found = []
        for name in os.listdir(self.folder):
            if not (name.startswith(PREFIX) and name.endswith(SUFFIX)) or name == self.path.name:
                continue
            try:
                with (self.folder / name).open("rb") as file:
                    fcntl.flock(file, fcntl.LOCK_SH | fcntl.LOCK_NB)
                    (self.folder / name).unlink(missing_ok=True)
            except BlockingIOError:
                found.append(name)
            except OSError:  # gone meanwhile
                continue
        return found

    def close(self) -> None:
        self.closed = True
        self.path.unlink(missing_ok=True)
        self.file.close()
