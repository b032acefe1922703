"""Puts administrative ejections in force at a node, and keeps them over restarts."""

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

FILE_CHECK_INTERVAL_S = 0.1  # well inside the grace time of drains


def unix_time_ms() -> float:
    """Return the Unix time in ms."""
    return time.time() * 1000


class AdministrativeEjections:
    """The ledger of one node, the file that it shares with a successor, and the endpoint table.

    Attributes:
        endpoint_table: the table whose updates are overridden.
        ledger: what is in force.
    """

    def __init__(
        self,
        endpoint_table: EndpointTable,
        folder: Path,
        timers: Timers,
        unix_offset_ms: float,
        clock: Callable[[], float] = unix_time_ms,
    ) -> None:
        """Take over what the folder's file has.

        Args:
            endpoint_table: the node's.
            folder: where the file is.
            timers: call back later.
            unix_offset_ms: from the node's clock to Unix time.
            clock: the Unix time in ms.
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
        """Begin to watch the file."""
        self._check_file()

    def close(self) -> None:
        """Watch the file no more."""
        self._is_closed = True

    def eject(self, name: str) -> None:
        """Take a server out of use. Raises EjectionError; then nothing was changed."""
        ejected = self.ledger.state.ejected
        if name not in ejected and len(ejected) >= MAX_EJECTED:
            detail = f"{MAX_EJECTED} servers are out, no more can be"
            raise EjectionError(detail)
        self._change(lambda: self.ledger.with_ejected(name, self._clock()))

    def reinstate(self, name: str) -> None:
        """Put a server back into use. Raises EjectionError; then nothing was changed."""
        self._change(lambda: self.ledger.with_reinstated(name, self._clock()))

    # The file.

    def _read(self) -> EjectionState | None:
        """Return what the file has, if it can be used."""
        try:
            return self._file.read()
        except (CorruptFileError, OSError) as error:
            FILE_UNUSABLE(path=self._file.path, error=error)
            return None

    def _check_file(self) -> None:
        """Take over what a process beside this one wrote, and keep names that discovery brought."""
        if self._is_closed:
            return
        self._timers.call_later(FILE_CHECK_INTERVAL_S, self._check_file)
        self._adopt_file_change()
        if self.ledger.has_new_names:
            # Also where it fails: the next change tries it again.
            self.ledger.has_new_names = False
            self._try_to_keep_names()

    def _try_to_keep_names(self) -> None:
        try:
            self._change(lambda: self.ledger.state)
        except EjectionError:
            return  # it is logged

    def _adopt_file_change(self) -> None:
        if not self._file.has_changed():
            return
        state = self._read()
        if state is not None:
            self._adopt(state)

    def _change(self, make_state: Callable[[], EjectionState]) -> None:
        """Change what the file has, and then put it in force.

        Raises:
            EjectionError: it can't be kept, and nothing was changed.
        """
        try:
            with self._file.lock():
                self._adopt_file_change()  # what another process was told holds, too
                state = make_state()
                self._file.write(state)
        except OSError as error:
            FILE_FAILED(path=self._file.path, error=error)
            detail = f"it can't be kept: {error}"
            raise EjectionError(detail) from error
        self._adopt(state)

    def _adopt(self, state: EjectionState) -> None:
        old = self.ledger.state.ejected
        changed = self.ledger.adopt(state)
        for name in state.ejected.keys() - old.keys():
            EJECTED(server=name)
        for name in old.keys() - state.ejected.keys():
            REINSTATED(server=name)
        if changed:
            self.endpoint_table.reapply(changed)
