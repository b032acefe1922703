"""Applies administrative ejections at a node, and persists them across restarts."""

from __future__ import annotations

import time
from collections.abc import Callable
from pathlib import Path

from badgercart.core.checksummed_file import CorruptFileError
from badgercart.core.endpoint_table import EndpointTable
from badgercart.core.ports import Timers
from badgercart.ejection.ejection_file import EjectionFile
from badgercart.ejection.errors import EjectionError
from badgercart.ejection.ledger import MAX_EJECTED, EjectionLedger, EjectionState
from badgercart.ejection.log_events import (
    EJECTED,
    FILE_FAILED,
    FILE_UNUSABLE,
    REINSTATED,
    TAKEN_OVER,
)

# Much shorter than the grace period of a drain.
FILE_CHECK_INTERVAL_S = 0.1


def unix_time_ms() -> float:
    """Return the current Unix time in ms."""
    return time.time() * 1000


class AdministrativeEjections:
    """The ejections of a node, in a file that is shared with its other processes.

    Attributes:
        endpoint_table: the table whose updates are overridden.
        ledger: the current ejections.
    """

    def __init__(
        self,
        endpoint_table: EndpointTable,
        folder: Path,
        timers: Timers,
        unix_offset_ms: float,
        clock: Callable[[], float] = unix_time_ms,
    ) -> None:
        """Restore the state of the file in a folder.

        Args:
            endpoint_table: the node's endpoint table.
            folder: the folder of the file.
            timers: schedule the checks of the file.
            unix_offset_ms: the difference between Unix time and the node's clock.
            clock: returns the Unix time in ms.
        """
        self.endpoint_table = endpoint_table
        self.ledger = EjectionLedger(unix_offset_ms)
        self._timers = timers
        self._clock = clock
        self._file = EjectionFile(folder)
        self._is_closed = False
        state = self._read()
        if state is not None:
            self.ledger.adopt(state)
            if state.ejected:
                TAKEN_OVER(servers=", ".join(state.ejected))
        endpoint_table.override = self.ledger.override

    def start(self) -> None:
        """Start to check the file for changes periodically."""
        self._check_file()

    def close(self) -> None:
        """Stop checking the file."""
        self._is_closed = True

    def eject(self, name: str) -> None:
        """Eject a server. If it raises EjectionError, nothing was changed."""
        ejected = self.ledger.state.ejected
        if name not in ejected and len(ejected) >= MAX_EJECTED:
            detail = f"{MAX_EJECTED} servers are out, no more can be"
            raise EjectionError(detail)
        self._change(lambda: self.ledger.with_ejected(name, self._clock()))

    def reinstate(self, name: str) -> None:
        """Reinstate a server. If it raises EjectionError, nothing was changed."""
        self._change(lambda: self.ledger.with_reinstated(name, self._clock()))

    # The file.

    def _read(self) -> EjectionState | None:
        """Return the state in the file; None without a valid file."""
        try:
            return self._file.read()
        except (CorruptFileError, OSError) as error:
            FILE_UNUSABLE(path=self._file.path, error=error)
            return None

    def _check_file(self) -> None:
        """Apply changes by other processes, and persist names of newly discovered servers."""
        if self._is_closed:
            return
        self._timers.call_later(FILE_CHECK_INTERVAL_S, self._check_file)
        self._adopt_file_change()
        if self.ledger.has_new_names:
            # The flag is cleared even if the write fails: the next change writes the names again.
            self.ledger.has_new_names = False
            self._try_to_persist_names()

    def _try_to_persist_names(self) -> None:
        try:
            self._change(lambda: self.ledger.state)
        except EjectionError:
            # The error was logged already.
            return

    def _adopt_file_change(self) -> None:
        if not self._file.has_changed():
            return
        state = self._read()
        if state is not None:
            self._adopt(state)

    def _change(self, make_state: Callable[[], EjectionState]) -> None:
        """Persist a new state, then apply it.

        Raises:
            EjectionError: the state can't be persisted, and nothing was changed.
        """
        try:
            with self._file.lock():
                # Changes by another process must not be lost.
                self._adopt_file_change()
                state = make_state()
                self._file.write(state)
        except OSError as error:
            FILE_FAILED(path=self._file.path, error=error)
            detail = f"it can't be kept: {error}"
            raise EjectionError(detail) from error
        self._adopt(state)

    def _adopt(self, state: EjectionState) -> None:
        old = self.ledger.state.ejected
        changed = self.ledger.adopt(state, self.endpoint_table.pipeline.clock())
        for name in state.ejected.keys() - old.keys():
            EJECTED(server=name)
        for name in old.keys() - state.ejected.keys():
            REINSTATED(server=name)
        if changed:
            self.endpoint_table.reapply(changed)
