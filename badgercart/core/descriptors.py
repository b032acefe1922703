"""How the file descriptors of a process are divided among its roles. It does no I/O.

Clients and servers share what no other role reserves. However many clients connect, the next call
of discovery, the admin listener and the files of a reload find descriptors of their own.
"""

from __future__ import annotations

from dataclasses import dataclass

# An idle process holds 17, its standard streams and the event loop's own; some may be inherited.
PROGRAM_DESCRIPTORS = 20
LISTENER_DESCRIPTORS = 2
# Concurrent calls, as many to an address that is being replaced, and one that is just closing.
DISCOVERY_DESCRIPTORS = 7
# The configuration, stored state and its lock, the process lock, a module that is imported late.
REGULAR_FILE_DESCRIPTORS = 5
# The admin listener and its callers.
ADMIN_DESCRIPTORS = 13
# Each other component of an installation.
COMPONENT_DESCRIPTORS = 4
# Of what clients and servers share. Less than half: a request uses one descriptor on either side,
# but idle clients also keep theirs.
UPSTREAM_SHARE = 3 / 8
MIN_CLIENT_DESCRIPTORS = 10
MIN_UPSTREAM_DESCRIPTORS = 6


class DescriptorLimitError(ValueError):
    """The limit is too low for a process to serve; the message names what each role reserves."""


@dataclass(slots=True, frozen=True)
class DescriptorBudget:
    """The descriptors of one process by role, within its limit."""

    limit: int
    reserved: dict[str, int]  # by role, without clients and servers

    @classmethod
    def for_limit(
        cls, limit: int, admin: bool = False, other_components: int = 0
    ) -> DescriptorBudget:
        """Return the budget of a process that may hold `limit` descriptors.

        `other_components` is the number of components that neither listen to clients nor connect
        to servers. Raises DescriptorLimitError.
        """
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
        """How many descriptors clients and servers may hold together."""
        return self.limit - sum(self.reserved.values())

    def split(self, share: float = 1.0) -> tuple[int, int]:
        """Return how many clients and servers may hold, out of a share (0 to 1) of `shared`."""
        available = int(self.shared * share)
        servers = int(available * UPSTREAM_SHARE)
        return available - servers, servers
