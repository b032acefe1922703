"""The servers that the list names, by id and by address, and what every change of it sets off."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace
from typing import Any, Protocol

from badgercart.config import Address
from badgercart.core.log_events import LIST_TAKEN
from badgercart.core.request_pipeline import Join
from badgercart.policy.endpoint import ServerEntry, State
from badgercart.policy.events import ListKind, ServerList

# As operators read them in `list.taken`.
KINDS = {
    ListKind.DELTA: "delta",
    ListKind.FULL: "full",
    ListKind.CACHED: "cached",
    ListKind.FAILED: "failed",
}
STATES = {State.READY: "ready", State.GONE: "gone", State.DRAINING: "draining"}
MAX_LEFT = 1024  # servers remembered after they left: old answers may name them still


@dataclass(slots=True, frozen=True)
class Member:
    """A server of the list: what the policy is told of it, and what only carriers and people
    need."""

    entry: ServerEntry
    address: Address
    name: str
    endpoint: str = field(init=False)  # its address as text

    def __post_init__(self) -> None:
        object.__setattr__(self, "endpoint", f"{self.address[0]}:{self.address[1]}")


@dataclass(slots=True, frozen=True)
class MemberList:
    """A whole list or its changes."""

    kind: ListKind
    version: int
    members: list[Member]


class Reader(Protocol):
    def read(self, raw: Mapping[str, Any], kind: ListKind | None = None) -> MemberList:
        """ValueError if any line is bad: a list is taken whole or not at all."""


class Roster:
    """Takes lists, tells carriers and fronts of each changed server, and then the policy."""

    def __init__(self, reader: Reader, join: Join) -> None:
        self.reader = reader
        self.join = join
        self.on_change: list[Callable[[Member], None]] = []
        # What is told of a server in place of its line in a list of that version.
        self.amend: Callable[[Member, int], Member] | None = None
        self.told = False  # whether any list has come
        self.suspended = False  # whether the list is too old to send anything by it
        self.version = 0  # of the list
        self.listed: dict[int, Member] = {}
        self.left: dict[int, Member] = {}  # those that are gone, the longest first
        self.leaving: dict[int, float] = {}  # when it was told that one drains or is gone
        self.ids: dict[Address, int] = {}  # the last server that was listed at an address

    def take(self, raw: Mapping[str, Any], kind: ListKind | None = None) -> int:
        """Take over a list or its changes, and give its version; ValueError where the reader gives
        it.

        ValueError, too, where the policy broke over it: carriers have it then, and it is to come
        again."""
        return self.take_read(self.reader.read(raw, kind))

    def take_read(self, told: MemberList) -> int:
        """As `take`, of lines that are read."""
        self.apply(told)
        if isinstance(self.join.spoilt, ServerList) and self.join.spoilt.version == told.version:
            self.join.spoilt = None
            raise ValueError(f"the policy could not take list {told.version}")
        return told.version

    def apply(self, told: MemberList) -> None:
        """Take over a list or its changes, whole."""
        if self.amend is not None:
            lines = [self.amend(member, told.version) for member in told.members]
            told = MemberList(told.kind, told.version, lines)
        now = self.join.clock()
        if told.kind is not ListKind.DELTA:
            named = {member.entry.id for member in told.members}
            for server_id in self.listed.keys() - named:
                gone = self.listed[server_id]
                gone = replace(gone, entry=replace(gone.entry, state=State.GONE))
                self.note(gone if self.amend is None else self.amend(gone, told.version), now)
        for member in told.members:
            self.note(member, now)
        if told.members or told.kind is not ListKind.DELTA:
            changed = ", ".join(f"{m.name} {STATES[m.entry.state]}" for m in told.members[:4])
            more = f" and {len(told.members) - 4} more" if len(told.members) > 4 else ""
            LIST_TAKEN(
                version=told.version,
                kind=KINDS[told.kind],
                changed=changed + more,
                listed=len(self.listed),
            )
        self.told = True
        self.version = told.version
        if not self.suspended:
            self.join.tell(
                ServerList(told.kind, told.version, [member.entry for member in told.members])
            )
        elif told.kind is not ListKind.DELTA or told.members:
            self.tell_suspended()

    def renew(self, lines: list[Member]) -> None:
        """What is told of these servers has changed, though the list has not."""
        self.apply(MemberList(ListKind.DELTA, self.version, lines))

    def suspend(self, suspended: bool) -> None:
        """Have nothing new sent by this list, or go on with it.

        The policy is told that all drain: it keeps what it learned of them, refuses what it may
        refuse, and fails the rest. Connections and attempts that are out stay as they are."""
        if suspended == self.suspended:
            return
        self.suspended = suspended
        if suspended:
            self.tell_suspended()
        else:
            entries = [member.entry for member in self.listed.values()]
            self.join.tell(ServerList(ListKind.FULL, self.version, entries))

    def tell_suspended(self) -> None:
        entries = [
            replace(member.entry, state=State.DRAINING)
            for member in self.listed.values()
            if member.entry.state is State.READY
        ]
        self.join.tell(ServerList(ListKind.FULL, self.version, entries))

    def note(self, member: Member, now: float) -> None:
        """Take over one line."""
        server_id, state = member.entry.id, member.entry.state
        if state is State.GONE:
            if self.listed.pop(server_id, None) is not None:
                self.left[server_id] = member
                if len(self.left) > MAX_LEFT:
                    self.drop(next(iter(self.left)))
        else:
            old = self.listed.get(server_id) or self.left.get(server_id)
            if (
                old is not None
                and old.address != member.address
                and self.ids.get(old.address) == server_id
            ):
                del self.ids[old.address]
            self.left.pop(server_id, None)
            self.listed[server_id] = member
            self.ids[member.address] = server_id
        if state is State.READY:
            self.leaving.pop(server_id, None)
        elif server_id in self.listed or server_id in self.left:
            self.leaving.setdefault(server_id, now)
        for tell in self.on_change:
            tell(member)

    def drop(self, server_id: int) -> None:
        """Forget one that left long ago."""
        member = self.left.pop(server_id)
        self.leaving.pop(server_id, None)
        if self.ids.get(member.address) == server_id:
            del self.ids[member.address]

    def at(self, address: Address) -> Member | None:
        """The server that is, or was last, listed at an address."""
        server_id = self.ids.get(address)
        if server_id is None:
            return None
        return self.listed.get(server_id) or self.left.get(server_id)
