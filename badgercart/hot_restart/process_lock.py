"""Detects the running processes of this node, each of which locks a file in the shared folder.

The kernel releases the lock when the process ends for any reason, so a file that can be locked
belongs to a process that has ended.
"""

from __future__ import annotations

import fcntl
import os
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import BinaryIO

from badgercart.core.ports import Timers
from badgercart.hot_restart.log_events import LOCK_FAILED

LOCK_FILE_PREFIX = "badgercart-"
LOCK_FILE_SUFFIX = ".life"
SCAN_INTERVAL_S = 0.1


def process_id(name: str) -> int:
    """Return the id of the process whose lock file has this name."""
    return int(name.removeprefix(LOCK_FILE_PREFIX).removesuffix(LOCK_FILE_SUFFIX))


class ProcessLock:
    """The lock of this process, and a periodic scan for other processes.

    Attributes:
        path: the lock file of this process.
        is_alone: whether no other process of the node was running at the last scan.
        is_closed: whether the lock was released.
    """

    def __init__(self, folder: Path, timers: Timers, on_change: Callable[[bool], None]) -> None:
        """Lock a file of this process and scan for others.

        Args:
            folder: the folder that all processes of the node share.
            timers: call the next scan.
            on_change: called with `is_alone` whenever that changes.

        Where the folder fails, the process counts as not alone until a scan finds that it is.
        """
        self._folder = folder
        self._timers = timers
        self._on_change = on_change
        self.is_closed = False
        self.path = folder / f"{LOCK_FILE_PREFIX}{os.getpid()}{LOCK_FILE_SUFFIX}"
        self._lock_file: BinaryIO | None = None
        self.other_process_ids: list[int] = []
        self.is_alone = self._scan()

    def start(self) -> None:
        """Start the periodic scan."""
        self.check_others()

    def check_others(self) -> None:
        """Scan for other processes, report a change, and schedule the next scan."""
        if self.is_closed:
            return
        self._timers.call_later(SCAN_INTERVAL_S, self.check_others)
        if (is_alone := self._scan()) is not self.is_alone:
            self.is_alone = is_alone
            self._on_change(is_alone)

    def _scan(self) -> bool:
        """Lock the file if it is not locked yet; return whether no other process is running.

        A folder may fail for a while; without it, nothing is known of others.
        """
        try:
            if self._lock_file is None:
                self._lock_file = self._lock()
            self.other_process_ids = [process_id(name) for name in self.find_other_processes()]
        except OSError as error:
            LOCK_FAILED(path=self.path, error=error)
            return False
        return not self.other_process_ids

    def _lock(self) -> BinaryIO:
        """Lock the file of this process. Raises OSError."""
        # The file is locked before it gets its final name. Otherwise another process could find it
        # unlocked, and delete it like the file of a process that has ended.
        unpublished_path = self.path.with_suffix(".born")
        lock_file = unpublished_path.open("wb")
        try:
            fcntl.flock(lock_file, fcntl.LOCK_EX | fcntl.LOCK_NB)
            os.replace(unpublished_path, self.path)
        except OSError:
            lock_file.close()
            raise
        return lock_file

    def find_other_processes(self) -> list[str]:
        """Return the lock files of other running processes, and delete those of ended ones."""
        found = []
        for name in os.listdir(self._folder):
            if (
                not (name.startswith(LOCK_FILE_PREFIX) and name.endswith(LOCK_FILE_SUFFIX))
                or name == self.path.name
            ):
                continue
            try:
                with (self._folder / name).open("rb") as file:
                    fcntl.flock(file, fcntl.LOCK_SH | fcntl.LOCK_NB)
                    (self._folder / name).unlink(missing_ok=True)
            except BlockingIOError:
                found.append(name)
            except OSError:
                # The file was deleted meanwhile.
                continue
        return found

    def close(self) -> None:
        """Stop the scan and release the lock."""
        self.is_closed = True
        with suppress(OSError):
            self.path.unlink(missing_ok=True)
        if self._lock_file is not None:
            self._lock_file.close()
