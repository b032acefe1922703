"""Which servers operators have ejected, and how that changes an update of the endpoints. No I/O.

Times of the state are Unix times in ms, since the state outlives the process.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from badgercart.core.endpoint_table import DiscoveredEndpoint
from badgercart.policy.endpoint import EndpointState

MAX_NAMES = 4096  # servers that were ever listed, the longest known of which are forgotten first
MAX_EJECTED = 1024  # servers at a time


@dataclass(slots=True, frozen=True)
class Reinstatement:
    """When a server was ejected, and when it was put back into use."""

    ejected_ms: float
    reinstated_ms: float


@dataclass(slots=True)
class EjectionState:
    """Everything that has to be kept.

    Attributes:
        ejected: when each ejected server was ejected.
        reinstated: servers that were put back into use.
        known_names: servers that were ever listed, the longest known first.
    """

    ejected: dict[str, float] = field(default_factory=dict)
    reinstated: dict[str, Reinstatement] = field(default_factory=dict)
    known_names: dict[str, None] = field(default_factory=dict)


class EjectionLedger:
    """The ejected servers, and the endpoints as discovery last had them.

    Attributes:
        state: what is in force.
        listed: the endpoints by name, without the changes that ejection makes.
        has_new_names: whether names came that are not on disk yet.
    """

    def __init__(self, unix_offset_ms: float) -> None:
        """Begin with nothing ejected; the offset leads from the node's clock to Unix time."""
        self._unix_offset_ms = unix_offset_ms
        self.state = EjectionState()
        self.listed: dict[str, DiscoveredEndpoint] = {}
        self.has_new_names = False

    def is_known(self, name: str) -> bool:
        """Tell whether a server was ever listed."""
        return name in self.state.known_names or name in self.listed

    def override(self, endpoint: DiscoveredEndpoint, version: int = 0) -> DiscoveredEndpoint:  # noqa: ARG002
        """Return what the node is told of an endpoint in place of what discovery says."""
        name = endpoint.name
        if endpoint.entry.state is EndpointState.GONE:
            self.listed.pop(name, None)
        else:
            self.listed[name] = endpoint
        self._note_name(name)
        if name in self.state.ejected:
            return _drained(endpoint)
        reinstatement = self.state.reinstated.get(name)
        if reinstatement is not None:
            return self._restarted(endpoint, reinstatement)
        return endpoint

    def _restarted(
        self, endpoint: DiscoveredEndpoint, reinstatement: Reinstatement
    ) -> DiscoveredEndpoint:
        """Have a server that was put back start slowly, as one that has just started."""
        started_ms = endpoint.entry.started_ms
        if started_ms and started_ms + self._unix_offset_ms >= reinstatement.ejected_ms:
            return endpoint  # discovery knows of a start since the ejection
        started_ms = reinstatement.reinstated_ms - self._unix_offset_ms
        return replace(endpoint, entry=replace(endpoint.entry, started_ms=started_ms))

    def _note_name(self, name: str) -> None:
        if name not in self.state.known_names:
            self.state.known_names[name] = None
            self.has_new_names = True
            self._forget_old_names()

    def _forget_old_names(self) -> None:
        """Drop names over the bound, but none that is ejected or listed."""
        names = self.state.known_names
        while len(names) > MAX_NAMES:
            oldest = next((name for name in names if not self._is_in_use(name)), None)
            if oldest is None:
                return
            del names[oldest]
            self.state.reinstated.pop(oldest, None)

    def _is_in_use(self, name: str) -> bool:
        return name in self.state.ejected or name in self.listed

    def with_ejected(self, name: str, now_ms: float) -> EjectionState:
        """Return the state with a server ejected. Repeated, it changes nothing."""
        ejected = {name: now_ms} | self.state.ejected
        reinstated = {each: at for each, at in self.state.reinstated.items() if each != name}
        return EjectionState(ejected, reinstated, self.state.known_names)

    def with_reinstated(self, name: str, now_ms: float) -> EjectionState:
        """Return the state with a server put back into use, however often it was ejected."""
        ejected = dict(self.state.ejected)
        ejected_ms = ejected.pop(name, None)
        reinstated = self.state.reinstated
        if ejected_ms is not None:
            reinstated = reinstated | {name: Reinstatement(ejected_ms, now_ms)}
        return EjectionState(ejected, reinstated, self.state.known_names)

    def adopt(self, state: EjectionState) -> list[DiscoveredEndpoint]:
        """Put another state in force and return the endpoints for which something changes."""
        old = self.state
        self.state = EjectionState(
            dict(state.ejected), dict(state.reinstated), dict(state.known_names)
        )
        for name in old.known_names:
            self.state.known_names.setdefault(name, None)
        self.has_new_names = len(self.state.known_names) > len(state.known_names)
        self._forget_old_names()
        return [
            endpoint
            for name, endpoint in self.listed.items()
            if (name in old.ejected) is not (name in state.ejected)
            or old.reinstated.get(name) != state.reinstated.get(name)
        ]


def _drained(endpoint: DiscoveredEndpoint) -> DiscoveredEndpoint:
    """Return an endpoint that takes no new requests; one that is draining or gone stays so."""
    if endpoint.entry.state is not EndpointState.READY:
        return endpoint
    return replace(endpoint, entry=replace(endpoint.entry, state=EndpointState.DRAINING))
