"""What the descriptors of a process are for: what each role may hold, within the limit. No I/O:
sums.

Clients and servers share what no other role keeps back. However many clients come, the list's next
call, the console and the files of a reload find theirs.
"""

from __future__ import annotations

from dataclasses import dataclass

PROGRAM = (
    20  # 17 of a process at rest: its streams, the loop's own; and some that it may have inherited
)
LISTENERS = 2
DISCOVERY = 7  # calls side by side, as many to an address that is being left, and one just closing
FILES = (
    5  # the configuration, kept state and its lock, a sign of life, a module that is loaded late
)
CONSOLE = 13  # its listener and its callers
PART = 4  # any other part of an installation
SERVERS = (
    3 / 8
)  # of what is shared: a request holds one on either side, but clients also keep theirs
LEAST_CLIENTS, LEAST_SERVERS = 10, 6


class TooFewError(ValueError):
    """A limit under which a process can't serve: what it keeps back, and for what."""


@dataclass(slots=True, frozen=True)
class Descriptors:
    """The roles of one process."""

    limit: int
    kept: dict[str, int]  # by role, beside clients and servers

    @classmethod
    def of(cls, limit: int, console: bool = False, parts: int = 0) -> Descriptors:
        """`parts`: how many there are that neither listen to clients nor connect to servers.
        TooFewError."""
        roles = {"program": PROGRAM, "listeners": LISTENERS, "discovery": DISCOVERY, "files": FILES}
        roles["console"], roles["parts"] = CONSOLE * console, PART * parts
        ledger = cls(limit, {role: number for role, number in roles.items() if number})
        least = LEAST_CLIENTS + LEAST_SERVERS
        if ledger.shared < least:
            kept = ", ".join(f"{role} {number}" for role, number in ledger.kept.items())
            raise TooFewError(f"{limit} are too few: {kept}, clients and servers {least} at least")
        return ledger

    @property
    def shared(self) -> int:
        """What clients and servers may hold."""
        return self.limit - sum(self.kept.values())

    def split(self, share: float = 1.0) -> tuple[int, int]:
        """What clients and servers may hold of a part of that (0 to 1)."""
        room = int(self.shared * share)
        servers = int(room * SERVERS)
        return room - servers, servers
