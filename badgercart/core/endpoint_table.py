"""The servers that the list names, by id and by address, and what every change of it sets off."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace
from typing import Any, Protocol

from badgercart.config import Address
from badgercart.core.log_events import LIST_TAKEN
from badgercart.core.request_pipeline import RequestPipeline
from badgercart.policy.endpoint import Endpoint, EndpointState
from badgercart.policy.events import EndpointUpdate, UpdateKind

# As operators read them in `list.taken`.
KINDS = {
    UpdateKind.DELTA: "delta",
    UpdateKind.SNAPSHOT: "full",
    UpdateKind.CACHED: "cached",
    UpdateKind.FAILED: "failed",
}
STATES = {
    EndpointState.READY: "ready",
    EndpointState.GONE: "gone",
    EndpointState.DRAINING: "draining",
}
MAX_LEFT = 1024  # servers remembered after they left: old answers may name them still


@dataclass(slots=True, frozen=True)
class DiscoveredEndpoint:
    """A server of the list: what the policy is told of it, and what only carriers and people
    need."""

    entry: Endpoint
    address: Address
    name: str
    address_text: str = field(init=False)  # its address as text

    def __post_init__(self) -> None:
        object.__setattr__(self, "address_text", f"{self.address[0]}:{self.address[1]}")


@dataclass(slots=True, frozen=True)
class DiscoveryUpdate:
    """A whole list or its changes."""

    kind: UpdateKind
    version: int
    endpoints: list[DiscoveredEndpoint]


class UpdateReader(Protocol):
    def read(self, raw: Mapping[str, Any], kind: UpdateKind | None = None) -> DiscoveryUpdate:
        """ValueError if any line is bad: a list is taken whole or not at all."""


class EndpointTable:
    """Takes lists, tells carriers and fronts of each changed server, and then the policy."""

    def __init__(self, reader: UpdateReader, join: RequestPipeline) -> None:
        self.reader = reader
        self.pipeline = join
        self.on_change: list[Callable[[DiscoveredEndpoint], None]] = []
        # What is told of a server in place of its line in a list of that version.
        self.override: Callable[[DiscoveredEndpoint, int], DiscoveredEndpoint] | None = None
        self.has_update = False  # whether any list has come
        self.suspended = False  # whether the list is too old to send anything by it
        self.version = 0  # of the list
        self.listed: dict[int, DiscoveredEndpoint] = {}
        self.removed: dict[int, DiscoveredEndpoint] = {}  # those that are gone, the longest first
        self.draining_since: dict[int, float] = {}  # when it was told that one drains or is gone
        self.ids_by_address: dict[
            Address, int
        ] = {}  # the last server that was listed at an address

    def accept(self, raw: Mapping[str, Any], kind: UpdateKind | None = None) -> int:
        """Take over a list or its changes, and give its version; ValueError where the reader gives
        it.

        ValueError, too, where the policy broke over it: carriers have it then, and it is to come
        again."""
        return self.accept_update(self.reader.read(raw, kind))

    def accept_update(self, told: DiscoveryUpdate) -> int:
        """As `take`, of lines that are read."""
        self.apply(told)
        if (
            isinstance(self.pipeline.failed_event, EndpointUpdate)
            and self.pipeline.failed_event.version == told.version
        ):
            self.pipeline.failed_event = None
            raise ValueError(f"the policy could not take list {told.version}")
        return told.version

    def apply(self, told: DiscoveryUpdate) -> None:
        """Take over a list or its changes, whole."""
        if self.override is not None:
            lines = [self.override(member, told.version) for member in told.endpoints]
            told = DiscoveryUpdate(told.kind, told.version, lines)
        now = self.pipeline.clock()
        if told.kind is not UpdateKind.DELTA:
            named = {member.entry.id for member in told.endpoints}
            for server_id in self.listed.keys() - named:
                gone = self.listed[server_id]
                gone = replace(gone, entry=replace(gone.entry, state=EndpointState.GONE))
                self.record(
                    gone if self.override is None else self.override(gone, told.version), now
                )
        for member in told.endpoints:
            self.record(member, now)
        if told.endpoints or told.kind is not UpdateKind.DELTA:
            changed = ", ".join(f"{m.name} {STATES[m.entry.state]}" for m in told.endpoints[:4])
            more = f" and {len(told.endpoints) - 4} more" if len(told.endpoints) > 4 else ""
            LIST_TAKEN(
                version=told.version,
                kind=KINDS[told.kind],
                changed=changed + more,
                listed=len(self.listed),
            )
        self.has_update = True
        self.version = told.version
        if not self.suspended:
            self.pipeline.dispatch(
                EndpointUpdate(told.kind, told.version, [member.entry for member in told.endpoints])
            )
        elif told.kind is not UpdateKind.DELTA or told.endpoints:
            self.dispatch_suspended()

    def reapply(self, lines: list[DiscoveredEndpoint]) -> None:
        """What is told of these servers has changed, though the list has not."""
        self.apply(DiscoveryUpdate(UpdateKind.DELTA, self.version, lines))

    def suspend(self, suspended: bool) -> None:
        """Have nothing new sent by this list, or go on with it.

        The policy is told that all drain: it keeps what it learned of them, refuses what it may
        refuse, and fails the rest. Connections and attempts that are out stay as they are."""
        if suspended == self.suspended:
            return
        self.suspended = suspended
        if suspended:
            self.dispatch_suspended()
        else:
            entries = [member.entry for member in self.listed.values()]
            self.pipeline.dispatch(EndpointUpdate(UpdateKind.SNAPSHOT, self.version, entries))

    def dispatch_suspended(self) -> None:
        entries = [
            replace(member.entry, state=EndpointState.DRAINING)
            for member in self.listed.values()
            if member.entry.state is EndpointState.READY
        ]
        self.pipeline.dispatch(EndpointUpdate(UpdateKind.SNAPSHOT, self.version, entries))

    def record(self, member: DiscoveredEndpoint, now: float) -> None:
        """Take over one line."""
        server_id, state = member.entry.id, member.entry.state
        if state is EndpointState.GONE:
            if self.listed.pop(server_id, None) is not None:
                self.removed[server_id] = member
                if len(self.removed) > MAX_LEFT:
                    self.forget(next(iter(self.removed)))
        else:
            old = self.listed.get(server_id) or self.removed.get(server_id)
            if (
                old is not None
                and old.address != member.address
                and self.ids_by_address.get(old.address) == server_id
            ):
                del self.ids_by_address[old.address]
            self.removed.pop(server_id, None)
            self.listed[server_id] = member
            self.ids_by_address[member.address] = server_id
        if state is EndpointState.READY:
            self.draining_since.pop(server_id, None)
        elif server_id in self.listed or server_id in self.removed:
            self.draining_since.setdefault(server_id, now)
        for tell in self.on_change:
            tell(member)

    def forget(self, server_id: int) -> None:
        """Forget one that left long ago."""
        member = self.removed.pop(server_id)
        self.draining_since.pop(server_id, None)
        if self.ids_by_address.get(member.address) == server_id:
            del self.ids_by_address[member.address]

    def find_by_address(self, address: Address) -> DiscoveredEndpoint | None:
        """The server that is, or was last, listed at an address."""
        server_id = self.ids_by_address.get(address)
        if server_id is None:
            return None
        return self.listed.get(server_id) or self.removed.get(server_id)
