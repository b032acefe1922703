"""Finds other processes that have this node's name. No I/O."""

from __future__ import annotations

from badgercart.cluster.effects import NameConflict
from badgercart.cluster.membership_table import MembershipRecord, MemberStatus

MAX_RIVALS = 8  # other processes of this node's name that are remembered


class NameConflicts:
    """The other processes that were heard under this node's name.

    One that raises its incarnation answers what this node says of itself, so it is alive. The
    process that began first yields: it stops taking part in shared work until the other is dead or
    has left.
    """

    __slots__ = ("incarnations", "yields")

    def __init__(self) -> None:
        self.incarnations: dict[int, int] = {}  # at which each process was first heard
        self.yields = False

    def observe(self, record: MembershipRecord, local_generation: int) -> NameConflict | None:
        """Take a record of another process under this name; return the conflict if it shows one."""
        if record.status in (MemberStatus.DEAD, MemberStatus.LEFT):
            if self.incarnations.pop(record.generation, None) is not None:
                self.yields = False
            return None
        first_incarnation = self.incarnations.get(record.generation)
        if first_incarnation is None:
            if len(self.incarnations) < MAX_RIVALS:
                self.incarnations[record.generation] = record.incarnation
            return None
        if record.incarnation <= first_incarnation or self.yields:
            return None
        self.yields = record.generation > local_generation
        return NameConflict(record.generation, self.yields)
