"""The table of listed endpoints, by id and by address.

Each update of the endpoint list changes it, and is then given to transports and the policy.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace
from typing import Any, Protocol

from badgercart.config import Address
from badgercart.core.address_holders import is_superseded, supersedes
from badgercart.core.log_events import ADDRESS_TAKEN_OVER, LIST_TAKEN
from badgercart.core.request_pipeline import RequestPipeline
from badgercart.policy.endpoint import Endpoint, EndpointState
from badgercart.policy.events import EndpointUpdate, UpdateKind

# The texts of update kinds and endpoint states in the log event `list.taken`.
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
# Endpoints that are remembered after their removal, as old responses may still name them.
MAX_REMOVED_ENDPOINTS = 1024


@dataclass(slots=True, frozen=True)
class DiscoveredEndpoint:
    """An endpoint of the list: the policy's entry, and what only transports and people need."""

    entry: Endpoint
    address: Address
    name: str
    address_text: str = field(init=False)  # the address as host:port

    def __post_init__(self) -> None:
        object.__setattr__(self, "address_text", f"{self.address[0]}:{self.address[1]}")


def as_gone(endpoint: DiscoveredEndpoint) -> DiscoveredEndpoint:
    """Return the endpoint as one that is gone."""
    return replace(endpoint, entry=replace(endpoint.entry, state=EndpointState.GONE))


@dataclass(slots=True, frozen=True)
class DiscoveryUpdate:
    """A snapshot of the endpoint list, or a delta."""

    kind: UpdateKind
    version: int
    endpoints: list[DiscoveredEndpoint]


class UpdateReader(Protocol):
    """Parses updates as a discovery source delivers them."""

    def read(self, raw: Mapping[str, Any], kind: UpdateKind | None = None) -> DiscoveryUpdate:
        """Return the parsed update.

        Raises ValueError if any entry is malformed: an update applies completely or not at all.
        """


class EndpointTable:
    """Applies updates to the table.

    Transports and frontends are notified of each changed endpoint, and then the policy of all.
    """

    def __init__(self, reader: UpdateReader, pipeline: RequestPipeline) -> None:
        self.reader = reader
        self.pipeline = pipeline
        self.on_change: list[Callable[[DiscoveredEndpoint], None]] = []
        # Replaces the entry of an endpoint in an update of that version.
        self.override: Callable[[DiscoveredEndpoint, int], DiscoveredEndpoint] | None = None
        self.has_update = False  # whether any update has been applied
        self.suspended = False  # whether the list is too old to send requests by it
        self.version = 0  # of the list
        self.listed: dict[int, DiscoveredEndpoint] = {}
        self.removed: dict[int, DiscoveredEndpoint] = {}  # the oldest removal first
        # When the update arrived by which an endpoint drains or is gone (ms).
        self.draining_since: dict[int, float] = {}
        # The endpoint that was listed last at an address.
        self.ids_by_address: dict[Address, int] = {}

    def accept(self, raw: Mapping[str, Any], kind: UpdateKind | None = None) -> int:
        """Parse and apply an update, and return its version.

        Raises ValueError where the update is malformed, and also where the policy failed on it:
        transports have applied it then, and the source has to deliver it again.
        """
        return self.accept_update(self.reader.read(raw, kind))

    def accept_update(self, update: DiscoveryUpdate) -> int:
        """Apply a parsed update; otherwise as `accept`."""
        self.apply(update)
        if (
            isinstance(self.pipeline.failed_event, EndpointUpdate)
            and self.pipeline.failed_event.version == update.version
        ):
            self.pipeline.failed_event = None
            raise ValueError(f"the policy could not take list {update.version}")
        return update.version

    def apply(self, update: DiscoveryUpdate) -> None:
        """Apply a snapshot or a delta, log it, and give it to the policy."""
        if self.override is not None:
            overridden = [self.override(endpoint, update.version) for endpoint in update.endpoints]
            update = DiscoveryUpdate(update.kind, update.version, overridden)
        update = self.resolve_addresses(update)
        now_ms = self.pipeline.clock()
        if update.kind is not UpdateKind.DELTA:
            listed_ids = {endpoint.entry.id for endpoint in update.endpoints}
            for endpoint_id in self.listed.keys() - listed_ids:
                gone = as_gone(self.listed[endpoint_id])
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

    def resolve_addresses(self, update: DiscoveryUpdate) -> DiscoveryUpdate:
        """Return the update with one endpoint for each address: that of the latest process.

        Those of earlier processes are gone, whether or not the list says so yet.
        """
        resolved = {endpoint.entry.id: endpoint for endpoint in update.endpoints}
        holders: dict[Address, DiscoveredEndpoint] = {}
        for endpoint in update.endpoints:
            entry = endpoint.entry
            if entry.state is EndpointState.GONE:
                continue
            holder = holders.get(endpoint.address) or self.holder_of(endpoint, resolved)
            if holder is None or supersedes(entry, holder.entry):
                if holder is not None:
                    ADDRESS_TAKEN_OVER(
                        address=endpoint.address_text, old=holder.name, new=endpoint.name
                    )
                    resolved[holder.entry.id] = as_gone(holder)
                holders[endpoint.address] = endpoint
            elif is_superseded(entry, holder.entry):
                resolved[entry.id] = as_gone(endpoint)
        return DiscoveryUpdate(update.kind, update.version, list(resolved.values()))

    def holder_of(
        self, endpoint: DiscoveredEndpoint, update: Mapping[int, DiscoveredEndpoint]
    ) -> DiscoveredEndpoint | None:
        """Return the other endpoint that is listed at the address and not changed by the update."""
        holder_id = self.ids_by_address.get(endpoint.address)
        if holder_id is None or holder_id == endpoint.entry.id or holder_id in update:
            return None
        return self.listed.get(holder_id)

    def reapply(self, endpoints: list[DiscoveredEndpoint]) -> None:
        """Apply entries that have changed although the list has not."""
        self.apply(DiscoveryUpdate(UpdateKind.DELTA, self.version, endpoints))

    def suspend(self, suspended: bool) -> None:
        """Stop sending new requests by this list, or resume.

        While suspended, the policy sees all endpoints as draining: it keeps what it learned about
        them, sheds the requests that it may shed, and fails the rest. Connections and open
        attempts stay as they are.
        """
        if suspended == self.suspended:
            return
        self.suspended = suspended
        if suspended:
            self.dispatch_suspended()
        else:
            entries = [endpoint.entry for endpoint in self.listed.values()]
            self.pipeline.dispatch(EndpointUpdate(UpdateKind.SNAPSHOT, self.version, entries))

    def dispatch_suspended(self) -> None:
        """Give the policy a snapshot in which all endpoints drain."""
        entries = [
            replace(endpoint.entry, state=EndpointState.DRAINING)
            for endpoint in self.listed.values()
            if endpoint.entry.state is EndpointState.READY
        ]
        self.pipeline.dispatch(EndpointUpdate(UpdateKind.SNAPSHOT, self.version, entries))

    def record(self, endpoint: DiscoveredEndpoint, now_ms: float) -> None:
        """Apply the entry of one endpoint, and notify the observers."""
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
        """Forget an endpoint that was removed."""
        endpoint = self.removed.pop(endpoint_id)
        self.draining_since.pop(endpoint_id, None)
        if self.ids_by_address.get(endpoint.address) == endpoint_id:
            del self.ids_by_address[endpoint.address]

    def find_by_address(self, address: Address) -> DiscoveredEndpoint | None:
        """Return the endpoint that is listed at an address, or was last."""
        endpoint_id = self.ids_by_address.get(address)
        if endpoint_id is None:
            return None
        return self.listed.get(endpoint_id) or self.removed.get(endpoint_id)
