"""The file descriptors of a process: what each role may hold, within the limit. No I/O: sums.

Clients and servers share what no other role reserves. However many clients come, discovery's next
call, the admin listener and the files of a reload find their descriptors.
"""

from __future__ import annotations

from dataclasses import dataclass

from badgercart.core.errors import CoreError

# Descriptors that each role reserves.
PROGRAM = 20  # 17 of an idle process, its streams and the loop's own, and some that are inherited
LISTENERS = 2
DISCOVERY = 7  # calls side by side, as many to an address that is being left, one just closing
FILES = 5  # configuration, kept state and its lock, the process lock, a module that is loaded late
ADMIN = 13  # the listener and its callers
COMPONENT = 4  # any other component

SERVERS_SHARE = 3 / 8  # of what is shared: clients also hold descriptors between requests
MIN_CLIENTS, MIN_SERVERS = 10, 6


class TooFewDescriptorsError(CoreError, ValueError):
    """A limit under which a process can't serve."""

    def __init__(self, limit: int, reserved: dict[str, int]) -> None:
        """Keep the limit, and what is reserved of it by role."""
        roles = ", ".join(f"{role} {number}" for role, number in reserved.items())
        shared = MIN_CLIENTS + MIN_SERVERS
        super().__init__(f"{limit} are too few: {roles}, clients and servers {shared} at least")
        self.limit = limit
        self.reserved = reserved


@dataclass(slots=True, frozen=True)
class DescriptorBudget:
    """The descriptors of one process."""

    limit: int
    reserved: dict[str, int]  # by role, beside clients and servers

    @classmethod
    def for_roles(cls, limit: int, admin: bool = False, components: int = 0) -> DescriptorBudget:
        """Return the budget of a process.

        Args:
            limit: the descriptors that it may hold.
            admin: whether it has an admin listener.
            components: how many it has that neither listen to clients nor connect to servers.

        Raises:
            TooFewDescriptorsError: too little is left for clients and servers.
        """
        roles = {
            "program": PROGRAM,
            "listeners": LISTENERS,
            "discovery": DISCOVERY,
            "files": FILES,
            "console": ADMIN * admin,
            "parts": COMPONENT * components,
        }
        budget = cls(limit, {role: number for role, number in roles.items() if number})
        if budget.shared < MIN_CLIENTS + MIN_SERVERS:
            raise TooFewDescriptorsError(limit, budget.reserved)
        return budget

    @property
    def shared(self) -> int:
        """What clients and servers may hold together."""
        return self.limit - sum(self.reserved.values())

    def split(self, share: float = 1.0) -> tuple[int, int]:
        """Return what clients and what servers may hold of a share (0 to 1) of that."""
        total = int(self.shared * share)
        servers = int(total * SERVERS_SHARE)
        return total - servers, servers
