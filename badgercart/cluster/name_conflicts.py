"""Detects other processes that use this node's name. No I/O."""

from __future__ import annotations

from badgercart.cluster.effects import NameConflict
from badgercart.cluster.membership_table import MembershipRecord, MemberStatus

# Other processes of this node's name that are tracked.
MAX_RIVALS = 8


class NameConflicts:
    """The other processes that were observed under this node's name.

    A process that raises its incarnation is reacting to this node's own records, so it is alive.
    The process that started first yields: it stops taking part in shared work until the other one
    is dead or has left.

    Attributes:
        incarnations: the incarnation at which each other process was first observed, by generation.
        yields: whether this process yields to another one.
    """

    __slots__ = ("incarnations", "yields")

    def __init__(self) -> None:
        self.incarnations: dict[int, int] = {}
        self.yields = False

    def observe(self, record: MembershipRecord, local_generation: int) -> NameConflict | None:
        """Process a record of another process of this name; return a conflict if it proves one."""
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
