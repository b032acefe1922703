"""The endpoints that discovery names, by id and by address, and what each change of them causes."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace
from typing import Any, Protocol

from badgercart.config import Address
from badgercart.core.errors import CoreError
from badgercart.core.log_events import LIST_TAKEN
from badgercart.core.request_pipeline import RequestPipeline
from badgercart.policy.endpoint import Endpoint, EndpointState
from badgercart.policy.events import EndpointUpdate, UpdateKind

# The words of the log event `list.taken`. Operators' alerts match them.
LOGGED_KINDS = {
    UpdateKind.DELTA: "delta",
    UpdateKind.SNAPSHOT: "full",
    UpdateKind.CACHED: "cached",
    UpdateKind.FAILED: "failed",
}
LOGGED_STATES = {
    EndpointState.READY: "ready",
    EndpointState.GONE: "gone",
    EndpointState.DRAINING: "draining",
}
MAX_LOGGED_ENDPOINTS = 4
MAX_REMOVED = 1024  # endpoints remembered after they left: late responses may name them


class UpdateRejectedError(CoreError, ValueError):
    """The policy failed on an update; it is to be delivered again."""

    def __init__(self, version: int) -> None:
        """Keep the update's version."""
        super().__init__(f"the policy could not take list {version}")
        self.version = version


@dataclass(slots=True, frozen=True)
class DiscoveredEndpoint:
    """An endpoint as discovery lists it: the policy's entry, and what only the node needs."""

    entry: Endpoint
    address: Address
    name: str
    address_text: str = field(init=False)  # `host:port`

    def __post_init__(self) -> None:
        """Word the address once, not with every use."""
        object.__setattr__(self, "address_text", f"{self.address[0]}:{self.address[1]}")

    def in_state(self, state: EndpointState) -> DiscoveredEndpoint:
        """Return the same endpoint in another state."""
        return replace(self, entry=replace(self.entry, state=state))


@dataclass(slots=True, frozen=True)
class DiscoveryUpdate:
    """All endpoints, or those that changed."""

    kind: UpdateKind
    version: int
    endpoints: list[DiscoveredEndpoint]


class UpdateReader(Protocol):
    """What reads updates in the form of the platform's discovery."""

    def read(self, raw: Mapping[str, Any], kind: UpdateKind | None = None) -> DiscoveryUpdate:
        """Return an update.

        Raises:
            ValueError: any of its lines is malformed; an update is taken whole or not at all.
        """


class EndpointTable:
    """Takes updates, and tells first the transports and frontends of each change, then the policy."""

    def __init__(self, reader: UpdateReader, pipeline: RequestPipeline) -> None:
        """Set up an empty table; `reader` reads what `accept` is given."""
        self.reader = reader
        self.pipeline = pipeline
        self.on_change: list[Callable[[DiscoveredEndpoint], None]] = []
        # Returns what counts in place of an endpoint in an update of some version.
        self.override: Callable[[DiscoveredEndpoint, int], DiscoveredEndpoint] | None = None
        self.has_update = False
        self.suspended = False  # the table is too old to send anything by it
        self.version = 0
        self.listed: dict[int, DiscoveredEndpoint] = {}
        self.removed: dict[int, DiscoveredEndpoint] = {}  # the longest removed first
        self.draining_since: dict[int, float] = {}  # ms, also of those that are removed
        self.ids_by_address: dict[Address, int] = {}  # the last endpoint listed at each address

    def accept(self, raw: Mapping[str, Any], kind: UpdateKind | None = None) -> int:
        """Read an update, put it in force and return its version.

        Raises:
            ValueError: the reader rejects it.
            UpdateRejectedError: the policy failed on it. Transports have it by then.
        """
        return self.accept_update(self.reader.read(raw, kind))

    def accept_update(self, update: DiscoveryUpdate) -> int:
        """Put an update in force and return its version; raises UpdateRejectedError as `accept`."""
        self.apply(update)
        failed_event = self.pipeline.driver.failed_event
        if isinstance(failed_event, EndpointUpdate) and failed_event.version == update.version:
            self.pipeline.driver.failed_event = None
            raise UpdateRejectedError(update.version)
        return update.version

    def apply(self, update: DiscoveryUpdate) -> None:
        """Put an update in force, whole."""
        if self.override is not None:
            version = update.version
            overridden = [self.override(endpoint, version) for endpoint in update.endpoints]
            update = DiscoveryUpdate(update.kind, version, overridden)
        now = self.pipeline.clock()
        is_delta = update.kind is UpdateKind.DELTA
        if not is_delta:
            self._remove_unlisted(update, now)
        for endpoint in update.endpoints:
            self._record(endpoint, now)
        if update.endpoints or not is_delta:
            self._log(update)
        self.has_update = True
        self.version = update.version
        if not self.suspended:
            entries = [endpoint.entry for endpoint in update.endpoints]
            self.pipeline.dispatch(EndpointUpdate(update.kind, update.version, entries))
        elif update.endpoints or not is_delta:
            self._dispatch_suspended()

    def reapply(self, endpoints: list[DiscoveredEndpoint]) -> None:
        """Put these endpoints in force again, whose override has changed."""
        self.apply(DiscoveryUpdate(UpdateKind.DELTA, self.version, endpoints))

    def suspend(self, suspended: bool) -> None:
        """Have nothing new sent by this table, or go on with it.

        The policy is told that all endpoints drain: it keeps its statistics of them, sheds what it
        may shed, and fails the rest. Connections and open attempts stay as they are.
        """
        if suspended == self.suspended:
            return
        self.suspended = suspended
        if suspended:
            self._dispatch_suspended()
            return
        entries = [endpoint.entry for endpoint in self.listed.values()]
        self.pipeline.dispatch(EndpointUpdate(UpdateKind.SNAPSHOT, self.version, entries))

    def find_by_address(self, address: Address) -> DiscoveredEndpoint | None:
        """Return the endpoint that is, or was last, listed at an address; None for none."""
        endpoint_id = self.ids_by_address.get(address)
        if endpoint_id is None:
            return None
        return self.listed.get(endpoint_id) or self.removed.get(endpoint_id)

    def _dispatch_suspended(self) -> None:
        entries = [
            endpoint.in_state(EndpointState.DRAINING).entry
            for endpoint in self.listed.values()
            if endpoint.entry.state is EndpointState.READY
        ]
        self.pipeline.dispatch(EndpointUpdate(UpdateKind.SNAPSHOT, self.version, entries))

    def _log(self, update: DiscoveryUpdate) -> None:
        shown = update.endpoints[:MAX_LOGGED_ENDPOINTS]
        changed = ", ".join(f"{one.name} {LOGGED_STATES[one.entry.state]}" for one in shown)
        more = len(update.endpoints) - len(shown)
        LIST_TAKEN(
            version=update.version,
            kind=LOGGED_KINDS[update.kind],
            changed=changed + (f" and {more} more" if more else ""),
            listed=len(self.listed),
        )

    def _remove_unlisted(self, update: DiscoveryUpdate, now: float) -> None:
        """Remove every endpoint that an update of all endpoints does not name."""
        named = {endpoint.entry.id for endpoint in update.endpoints}
        for endpoint_id in self.listed.keys() - named:
            gone = self.listed[endpoint_id].in_state(EndpointState.GONE)
            if self.override is not None:
                gone = self.override(gone, update.version)
            self._record(gone, now)

    def _record(self, endpoint: DiscoveredEndpoint, now: float) -> None:
        """Take over one endpoint, and tell those that asked for changes."""
        endpoint_id, state = endpoint.entry.id, endpoint.entry.state
        if state is EndpointState.GONE:
            self._remove(endpoint)
        else:
            self._list(endpoint)
        if state is EndpointState.READY:
            self.draining_since.pop(endpoint_id, None)
        elif endpoint_id in self.listed or endpoint_id in self.removed:
            self.draining_since.setdefault(endpoint_id, now)
        for on_change in self.on_change:
            on_change(endpoint)

    def _remove(self, endpoint: DiscoveredEndpoint) -> None:
        if self.listed.pop(endpoint.entry.id, None) is None:
            return
        self.removed[endpoint.entry.id] = endpoint
        if len(self.removed) > MAX_REMOVED:
            self._forget(next(iter(self.removed)))

    def _list(self, endpoint: DiscoveredEndpoint) -> None:
        endpoint_id = endpoint.entry.id
        known = self.listed.get(endpoint_id) or self.removed.get(endpoint_id)
        if known is not None and known.address != endpoint.address:
            self._release_address(known)
        self.removed.pop(endpoint_id, None)
        self.listed[endpoint_id] = endpoint
        self.ids_by_address[endpoint.address] = endpoint_id

    def _forget(self, endpoint_id: int) -> None:
        """Keep nothing of an endpoint that was removed long ago."""
        endpoint = self.removed.pop(endpoint_id)
        self.draining_since.pop(endpoint_id, None)
        self._release_address(endpoint)

    def _release_address(self, endpoint: DiscoveredEndpoint) -> None:
        """Forget that an endpoint was the last one listed at its address, if it was."""
        if self.ids_by_address.get(endpoint.address) == endpoint.entry.id:
            del self.ids_by_address[endpoint.address]
