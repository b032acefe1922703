"""What the descriptors of a process are for: what each role may hold, within the limit. No I/O:
sums.

Clients and servers share what no other role keeps back. However many clients come, the list's next
call, the console and the files of a reload find theirs.
"""

from __future__ import annotations

from dataclasses import dataclass

PROGRAM_DESCRIPTORS = (
    20  # 17 of a process at rest: its streams, the loop's own; and some that it may have inherited
)
LISTENER_DESCRIPTORS = 2
DISCOVERY_DESCRIPTORS = (
    7  # calls side by side, as many to an address that is being left, and one just closing
)
REGULAR_FILE_DESCRIPTORS = (
    5  # the configuration, kept state and its lock, a sign of life, a module that is loaded late
)
ADMIN_DESCRIPTORS = 13  # its listener and its callers
COMPONENT_DESCRIPTORS = 4  # any other part of an installation
UPSTREAM_SHARE = (
    3 / 8
)  # of what is shared: a request holds one on either side, but clients also keep theirs
MIN_CLIENT_DESCRIPTORS, MIN_UPSTREAM_DESCRIPTORS = 10, 6


class DescriptorLimitError(ValueError):
    """A limit under which a process can't serve: what it keeps back, and for what."""


@dataclass(slots=True, frozen=True)
class DescriptorBudget:
    """The roles of one process."""

    limit: int
    reserved: dict[str, int]  # by role, beside clients and servers

    @classmethod
    def for_limit(
        cls, limit: int, admin: bool = False, other_components: int = 0
    ) -> DescriptorBudget:
        """`parts`: how many there are that neither listen to clients nor connect to servers.
        TooFewError."""
        roles = {
            "program": PROGRAM_DESCRIPTORS,
            "listeners": LISTENER_DESCRIPTORS,
            "discovery": DISCOVERY_DESCRIPTORS,
            "files": REGULAR_FILE_DESCRIPTORS,
        }
        roles["console"], roles["parts"] = (
            ADMIN_DESCRIPTORS * admin,
            COMPONENT_DESCRIPTORS * other_components,
        )
        budget = cls(limit, {role: number for role, number in roles.items() if number})
        minimum = MIN_CLIENT_DESCRIPTORS + MIN_UPSTREAM_DESCRIPTORS
        if budget.shared < minimum:
            reserved = ", ".join(f"{role} {number}" for role, number in budget.reserved.items())
            raise DescriptorLimitError(
                f"{limit} are too few: {reserved}, clients and servers {minimum} at least"
            )
        return budget

    @property
    def shared(self) -> int:
        """What clients and servers may hold."""
        return self.limit - sum(self.reserved.values())

    def split(self, share: float = 1.0) -> tuple[int, int]:
        """What clients and servers may hold of a part of that (0 to 1)."""
        available = int(self.shared * share)
        servers = int(available * UPSTREAM_SHARE)
        return available - servers, servers
