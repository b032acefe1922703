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
UPDATE_KIND_TEXTS = {
    UpdateKind.DELTA: "delta",
    UpdateKind.SNAPSHOT: "full",
    UpdateKind.CACHED: "cached",
    UpdateKind.FAILED: "failed",
}
STATE_TEXTS = {
    EndpointState.READY: "ready",
    EndpointState.GONE: "gone",
    EndpointState.DRAINING: "draining",
}
MAX_REMOVED_ENDPOINTS = 1024  # servers remembered after they left: old answers may name them still


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

    def __init__(self, reader: UpdateReader, pipeline: RequestPipeline) -> None:
        self.reader = reader
        self.pipeline = pipeline
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

    def accept_update(self, update: DiscoveryUpdate) -> int:
        """As `take`, of lines that are read."""
        self.apply(update)
        if (
            isinstance(self.pipeline.failed_event, EndpointUpdate)
            and self.pipeline.failed_event.version == update.version
        ):
            self.pipeline.failed_event = None
            raise ValueError(f"the policy could not take list {update.version}")
        return update.version

    def apply(self, update: DiscoveryUpdate) -> None:
        """Take over a list or its changes, whole."""
        if self.override is not None:
            overridden = [self.override(endpoint, update.version) for endpoint in update.endpoints]
            update = DiscoveryUpdate(update.kind, update.version, overridden)
        now_ms = self.pipeline.clock()
        if update.kind is not UpdateKind.DELTA:
            listed_ids = {endpoint.entry.id for endpoint in update.endpoints}
            for endpoint_id in self.listed.keys() - listed_ids:
                gone = self.listed[endpoint_id]
                gone = replace(gone, entry=replace(gone.entry, state=EndpointState.GONE))
                self.record(
                    gone if self.override is None else self.override(gone, update.version), now_ms
                )
        for endpoint in update.endpoints:
            self.record(endpoint, now_ms)
        if update.endpoints or update.kind is not UpdateKind.DELTA:
            changed = ", ".join(
                f"{endpoint.name} {STATE_TEXTS[endpoint.entry.state]}"
                for endpoint in update.endpoints[:4]
            )
            more = f" and {len(update.endpoints) - 4} more" if len(update.endpoints) > 4 else ""
            LIST_TAKEN(
                version=update.version,
                kind=UPDATE_KIND_TEXTS[update.kind],
                changed=changed + more,
                listed=len(self.listed),
            )
        self.has_update = True
        self.version = update.version
        if not self.suspended:
            self.pipeline.dispatch(
                EndpointUpdate(
                    update.kind, update.version, [endpoint.entry for endpoint in update.endpoints]
                )
            )
        elif update.kind is not UpdateKind.DELTA or update.endpoints:
            self.dispatch_suspended()

    def reapply(self, endpoints: list[DiscoveredEndpoint]) -> None:
        """What is told of these servers has changed, though the list has not."""
        self.apply(DiscoveryUpdate(UpdateKind.DELTA, self.version, endpoints))

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
            entries = [endpoint.entry for endpoint in self.listed.values()]
            self.pipeline.dispatch(EndpointUpdate(UpdateKind.SNAPSHOT, self.version, entries))

    def dispatch_suspended(self) -> None:
        entries = [
            replace(endpoint.entry, state=EndpointState.DRAINING)
            for endpoint in self.listed.values()
            if endpoint.entry.state is EndpointState.READY
        ]
        self.pipeline.dispatch(EndpointUpdate(UpdateKind.SNAPSHOT, self.version, entries))

    def record(self, endpoint: DiscoveredEndpoint, now_ms: float) -> None:
        """Take over one line."""
        endpoint_id, state = endpoint.entry.id, endpoint.entry.state
        if state is EndpointState.GONE:
            if self.listed.pop(endpoint_id, None) is not None:
                self.removed[endpoint_id] = endpoint
                if len(self.removed) > MAX_REMOVED_ENDPOINTS:
                    self.forget(next(iter(self.removed)))
        else:
            previous = self.listed.get(endpoint_id) or self.removed.get(endpoint_id)
            if (
                previous is not None
                and previous.address != endpoint.address
                and self.ids_by_address.get(previous.address) == endpoint_id
            ):
                del self.ids_by_address[previous.address]
            self.removed.pop(endpoint_id, None)
            self.listed[endpoint_id] = endpoint
            self.ids_by_address[endpoint.address] = endpoint_id
        if state is EndpointState.READY:
            self.draining_since.pop(endpoint_id, None)
        elif endpoint_id in self.listed or endpoint_id in self.removed:
            self.draining_since.setdefault(endpoint_id, now_ms)
        for callback in self.on_change:
            callback(endpoint)

    def forget(self, endpoint_id: int) -> None:
        """Forget one that left long ago."""
        endpoint = self.removed.pop(endpoint_id)
        self.draining_since.pop(endpoint_id, None)
        if self.ids_by_address.get(endpoint.address) == endpoint_id:
            del self.ids_by_address[endpoint.address]

    def find_by_address(self, address: Address) -> DiscoveredEndpoint | None:
        """The server that is, or was last, listed at an address."""
        endpoint_id = self.ids_by_address.get(address)
        if endpoint_id is None:
            return None
        return self.listed.get(endpoint_id) or self.removed.get(endpoint_id)
