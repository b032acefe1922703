"""What a node knows of the others: records that merge in any order to the same table. No I/O."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from enum import IntEnum

from badgercart.config import Address

MAX_MEMBERS = 4096  # names in a table; a cluster has some hundreds


class MemberStatus(IntEnum):
    """The state of a member, in the order in which states win at one incarnation.

    The numbers are part of the wire format.
    """

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3  # announced by the member itself


REACHABLE = (MemberStatus.ALIVE, MemberStatus.SUSPECT)  # probed, gossiped to, and asked


@dataclass(slots=True, frozen=True)
class MembershipRecord:
    """A statement about a member, as it travels between nodes."""

    name: str
    incarnation: int  # raised by the member alone, to refute what is said of it
    status: MemberStatus
    address: Address
    generation: int  # of the process; grows with the time of its start
    zone: str = ""
    region: str = ""
    accuser: str = field(default="", compare=False)  # who suspected it or declared it dead

    @property
    def precedence(self) -> tuple[int, int, int, Address, str, str]:
        """The place of the record in a total order of all records of one member.

        The largest wins, whatever came first. Incarnation and status are ordered as in SWIM; the
        other fields only make records comparable that are equal in these.
        """
        return (
            self.incarnation,
            int(self.status),
            self.generation,
            self.address,
            self.zone,
            self.region,
        )


@dataclass(slots=True, frozen=True)
class MemberState:
    """A record that is in force at this node."""

    record: MembershipRecord
    since_ms: float  # of its status, on the node's clock
    reporter: str  # the node that told this one

    @property
    def status(self) -> MemberStatus:
        """The status that the record gives."""
        return self.record.status


class NameSet:
    """Names in no order, of which some can be drawn by chance without a look at the others."""

    __slots__ = ("names", "positions")

    def __init__(self) -> None:
        self.names: list[str] = []
        self.positions: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self.names)

    def __contains__(self, name: str) -> bool:
        return name in self.positions

    def add(self, name: str) -> None:
        """Add a name; one that is there already stays where it is."""
        if name not in self.positions:
            self.positions[name] = len(self.names)
            self.names.append(name)

    def remove(self, name: str) -> None:
        """Remove a name, with the last one moved to its place.

        Raises KeyError if it isn't there.
        """
        position, last = self.positions.pop(name), self.names.pop()
        if last != name:
            self.names[position], self.positions[last] = last, position

    def sample(self, count: int, rng: random.Random) -> list[str]:
        """Return `count` different names by chance, or all there are."""
        return rng.sample(self.names, min(count, len(self.names)))


class MembershipTable:
    """The states of all members by name, the node's own among them."""

    def __init__(self, max_members: int = MAX_MEMBERS) -> None:
        self.members: dict[str, MemberState] = {}
        self.max_members = max_members
        self.rejected = 0  # records of new names beyond the bound
        self.reachable = NameSet()
        self.reachable_addresses: Counter[Address] = Counter()
        self.unreachable: dict[str, None] = {}  # names of the dead and those that left
        self.examined_count = 0  # states looked at, over all calls

    def merge(
        self, record: MembershipRecord, now_ms: float, reporter: str
    ) -> tuple[MemberState | None, MemberState] | None:
        """Take over a record that wins over the one in force.

        Returns the states before and after, or None if nothing changed.
        """
        before = self.members.get(record.name)
        if before is not None and record.precedence <= before.record.precedence:
            return None
        if before is None and len(self.members) >= self.max_members:
            self.rejected += 1
            return None
        same_status = before is not None and before.status is record.status
        since_ms = before.since_ms if before is not None and same_status else now_ms
        after = MemberState(record, since_ms, reporter)
        self.members[record.name] = after
        self._reindex(before, after)
        return before, after

    def remove(self, name: str) -> None:
        """Forget a member, if it is known."""
        self._reindex(self.members.pop(name, None), None)

    def _reindex(self, before: MemberState | None, after: MemberState | None) -> None:
        """Keep the sets of reachable and unreachable names in step with a changed state."""
        was_reachable = before is not None and before.status in REACHABLE
        is_reachable = after is not None and after.status in REACHABLE
        if before is not None and was_reachable:
            self._release_address(before.record.address)
            if not is_reachable:
                self.reachable.remove(before.record.name)
        elif before is not None:
            self.unreachable.pop(before.record.name, None)
        if after is not None and is_reachable:
            self.reachable_addresses[after.record.address] += 1
            self.reachable.add(after.record.name)
        elif after is not None:
            self.unreachable[after.record.name] = None

    def _release_address(self, address: Address) -> None:
        self.reachable_addresses[address] -= 1
        if not self.reachable_addresses[address]:
            del self.reachable_addresses[address]

    def sample(
        self, count: int, rng: random.Random, excluding: tuple[str, ...] = ()
    ) -> list[MemberState]:
        """Return `count` reachable members by chance, or all there are.

        The cost goes by how many are drawn, not by how many are known.
        """
        drawn = self.reachable.sample(count + len(excluding), rng)
        self.examined_count += len(drawn)
        return [self.members[name] for name in drawn if name not in excluding][:count]

    def with_status(self, *statuses: MemberStatus) -> Iterator[MemberState]:
        """Return the members of these statuses, by a look at all members.

        Where a few suffice, `reachable`, `unreachable` and `sample` cost less.
        """
        self.examined_count += len(self.members)
        return (state for state in self.members.values() if state.status in statuses)

    def records(self) -> list[MembershipRecord]:
        """Return the record in force of each member."""
        return [state.record for state in self.members.values()]


def refute(record: MembershipRecord, incarnation: int) -> MembershipRecord:
    """Return a live member's record that wins over whatever is said of it at `incarnation`."""
    raised = max(record.incarnation, incarnation) + 1
    return replace(record, status=MemberStatus.ALIVE, incarnation=raised)
