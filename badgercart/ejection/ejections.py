"""Keeps the servers taken out in force: over calls, lists, the file, and a process beside this
one."""

from __future__ import annotations

import time
from collections.abc import Callable
from pathlib import Path

from badgercart.core.checksummed_file import CorruptFileError
from badgercart.core.endpoint_table import EndpointTable
from badgercart.core.ports import Timers
from badgercart.ejection.ledger import MAX_BANS, Ledger, State
from badgercart.ejection.log_events import BANNED, FILE_FAILED, FILE_SPOILT, FREED, TAKEN_OVER
from badgercart.ejection.store import Store

LOOK = 0.1  # s between looks at the file: well inside the grace for drains


def unix_ms() -> float:
    return time.time() * 1000


class Bans:
    """The ledger of one node, the file that it shares, and the roster that it amends."""

    def __init__(
        self,
        roster: EndpointTable,
        folder: Path,
        timers: Timers,
        unix_offset: float,
        clock: Callable[[], float] = unix_ms,
    ) -> None:
        self.roster = roster
        self.timers = timers
        self.clock = clock
        self.ledger = Ledger(unix_offset)
        self.store = Store(folder)
        self.closed = False
        if (state := self.read()) is not None:
            self.ledger.adopt(state)
            if state.bans:
                TAKEN_OVER(servers=", ".join(state.bans))
        roster.override = self.ledger.amend

    def start(self) -> None:
        self.look()

    def close(self) -> None:
        self.closed = True

    def read(self) -> State | None:
        """What the file has, if it can be used."""
        try:
            return self.store.read()
        except (CorruptFileError, OSError) as error:
            FILE_SPOILT(path=self.store.path, error=error)
            return None

    def look(self) -> None:
        """Take over what a process beside this one wrote, and keep names that came with a list."""
        if self.closed:
            return
        self.timers.call_later(LOOK, self.look)
        if self.store.changed() and (state := self.read()) is not None:
            self.adopt(state)
        if self.ledger.new_names:
            self.ledger.new_names = (
                False  # also where it fails: with the next change it is tried again
            )
            self.change(lambda: self.ledger.state)

    def disable(self, name: str) -> str:
        """Take a server out. What is wrong, empty if nothing."""
        if name not in self.ledger.state.bans and len(self.ledger.state.bans) >= MAX_BANS:
            return f"{MAX_BANS} servers are out, no more can be"
        return self.change(lambda: self.ledger.disabled(name, self.clock()))

    def enable(self, name: str) -> str:
        return self.change(lambda: self.ledger.enabled(name, self.clock()))

    def change(self, make: Callable[[], State]) -> str:
        """Change what the file has, then put it in force. What is wrong, empty if nothing."""
        try:
            with self.store.held():
                if self.store.changed() and (state := self.read()) is not None:
                    self.adopt(state)  # what another process was told holds, too
                made = make()
                self.store.write(made)
        except OSError as error:
            FILE_FAILED(path=self.store.path, error=error)
            return f"it can't be kept: {error}"
        self.adopt(made)
        return ""

    def adopt(self, state: State) -> None:
        old = self.ledger.state.bans
        lines = self.ledger.adopt(state)
        for name in state.bans.keys() - old.keys():
            BANNED(server=name)
        for name in old.keys() - state.bans.keys():
            FREED(server=name)
        if lines:
            self.roster.reapply(lines)
