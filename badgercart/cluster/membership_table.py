"""The membership table: records that merge to the same table in any order. No I/O."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from enum import IntEnum

from badgercart.config import Address

# Members in a table; a cluster has some hundreds.
MAX_MEMBERS = 4096


class MemberStatus(IntEnum):
    """The status of a member; at the same incarnation, the higher number wins.

    The numbers are part of the wire format.
    """

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    # Announced by the member itself.
    LEFT = 3


# Members of these statuses are probed, gossiped to, and asked for indirect probes.
REACHABLE = (MemberStatus.ALIVE, MemberStatus.SUSPECT)


@dataclass(slots=True, frozen=True)
class MembershipRecord:
    """A statement about a member, as it is sent between nodes.

    Attributes:
        name: the member's name.
        incarnation: a counter that only the member itself raises, to refute accusations.
        status: the member's status.
        address: where other nodes reach the member.
        generation: identifies the member's process; grows with the time of its start.
        zone: the member's zone, or empty.
        region: the member's region, or empty.
        accuser: the node that suspected the member or declared it dead.
    """

    name: str
    incarnation: int
    status: MemberStatus
    address: Address
    generation: int
    zone: str = ""
    region: str = ""
    accuser: str = field(default="", compare=False)

    @property
    def precedence(self) -> tuple[int, int, int, Address, str, str]:
        """The sort key in a total order of all records of one member; the largest record wins.

        Incarnation and status are ordered as in SWIM; the other fields break ties.
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
    """The record of a member that is in force on this node.

    Attributes:
        record: the record.
        since_ms: when the member's status changed, on this node's clock.
        reporter: the node from which this node received the record.
    """

    record: MembershipRecord
    since_ms: float
    reporter: str

    @property
    def status(self) -> MemberStatus:
        """The member's status according to the record."""
        return self.record.status


class NameSet:
    """An unordered set of names that can be sampled without iterating over all of them."""

    __slots__ = ("names", "positions")

    def __init__(self) -> None:
        self.names: list[str] = []
        self.positions: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self.names)

    def __contains__(self, name: str) -> bool:
        return name in self.positions

    def add(self, name: str) -> None:
        """Add a name, unless it is in the set already."""
        if name not in self.positions:
            self.positions[name] = len(self.names)
            self.names.append(name)

    def remove(self, name: str) -> None:
        """Remove a name, and move the last name to its position.

        Raises KeyError if the name is not in the set.
        """
        position, last = self.positions.pop(name), self.names.pop()
        if last != name:
            self.names[position], self.positions[last] = last, position

    def sample(self, count: int, rng: random.Random) -> list[str]:
        """Return up to `count` different names at random."""
        return rng.sample(self.names, min(count, len(self.names)))


class MembershipTable:
    """The states of all members by name, including the node itself.

    Attributes:
        members: the states by name.
        rejected: records of new members beyond `max_members`.
        reachable: the names of the members that are alive or suspected.
        reachable_addresses: how many reachable members have each address.
        unreachable: the names of the members that are dead or have left, in insertion order.
        examined_count: member states that were examined, over all calls.
    """

    def __init__(self, max_members: int = MAX_MEMBERS) -> None:
        self.members: dict[str, MemberState] = {}
        self.max_members = max_members
        self.rejected = 0
        self.reachable = NameSet()
        self.reachable_addresses: Counter[Address] = Counter()
        self.unreachable: dict[str, None] = {}
        self.examined_count = 0

    def merge(
        self, record: MembershipRecord, now_ms: float, reporter: str
    ) -> tuple[MemberState | None, MemberState] | None:
        """Merge a record, which replaces the one in force if its precedence is higher.

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
        """Remove a member, if it is in the table."""
        self._reindex(self.members.pop(name, None), None)

    def _reindex(self, before: MemberState | None, after: MemberState | None) -> None:
        """Update the sets of reachable and unreachable names for a changed state."""
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
        """Return up to `count` reachable members at random.

        The cost depends on `count`, not on the size of the table.
        """
        drawn = self.reachable.sample(count + len(excluding), rng)
        self.examined_count += len(drawn)
        return [self.members[name] for name in drawn if name not in excluding][:count]

    def with_status(self, *statuses: MemberStatus) -> Iterator[MemberState]:
        """Return the members of these statuses; this examines all members.

        `reachable`, `unreachable` and `sample` are cheaper where they suffice.
        """
        self.examined_count += len(self.members)
        return (state for state in self.members.values() if state.status in statuses)

    def records(self) -> list[MembershipRecord]:
        """Return the record in force of each member."""
        return [state.record for state in self.members.values()]


def refute(record: MembershipRecord, incarnation: int) -> MembershipRecord:
    """Return the record with an incarnation above `incarnation`, which refutes an accusation."""
    raised = max(record.incarnation, incarnation) + 1
    return replace(record, status=MemberStatus.ALIVE, incarnation=raised)
