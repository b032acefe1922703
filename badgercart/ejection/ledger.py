"""The servers that operators have ejected, and the resulting overrides of endpoints. No I/O.

Times in the state are Unix times in ms, because the state outlives the process.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from badgercart.core.endpoint_table import DiscoveredEndpoint
from badgercart.policy.endpoint import EndpointState

# The limit of remembered server names; the oldest ones are dropped first.
MAX_NAMES = 4096
# The limit of servers that are ejected at the same time.
MAX_EJECTED = 1024


@dataclass(slots=True, frozen=True)
class Reinstatement:
    """The times when a server was ejected and reinstated."""

    ejected_ms: float
    reinstated_ms: float


@dataclass(slots=True)
class EjectionState:
    """The state that is persisted.

    Attributes:
        ejected: the ejected servers with the time of ejection.
        reinstated: the servers that were reinstated.
        known_names: the servers that were listed at any time, the oldest first.
    """

    ejected: dict[str, float] = field(default_factory=dict)
    reinstated: dict[str, Reinstatement] = field(default_factory=dict)
    known_names: dict[str, None] = field(default_factory=dict)


class EjectionLedger:
    """The ejections, and the endpoints as last discovered.

    Attributes:
        state: the current state.
        listed: the discovered endpoints by name, without overrides.
        has_new_names: whether there are names that are not persisted yet.
    """

    def __init__(self, unix_offset_ms: float) -> None:
        """Create an empty ledger; the offset converts the node's clock to Unix time."""
        self._unix_offset_ms = unix_offset_ms
        # When reinstatements of this process's time were learned, on the node's clock.
        self._reinstated_at_ms: dict[str, float] = {}
        self.state = EjectionState()
        self.listed: dict[str, DiscoveredEndpoint] = {}
        self.has_new_names = False

    def is_known(self, name: str) -> bool:
        """Return whether a server was listed at any time."""
        return name in self.state.known_names or name in self.listed

    def override(self, endpoint: DiscoveredEndpoint, version: int = 0) -> DiscoveredEndpoint:  # noqa: ARG002
        """Return the endpoint that replaces a discovered one."""
        name = endpoint.name
        if endpoint.entry.state is EndpointState.GONE:
            self.listed.pop(name, None)
        else:
            self.listed[name] = endpoint
        self._add_name(name)
        if name in self.state.ejected:
            return _as_draining(endpoint)
        reinstatement = self.state.reinstated.get(name)
        if reinstatement is not None:
            return self._with_slow_start(endpoint, reinstatement)
        return endpoint

    def _with_slow_start(
        self, endpoint: DiscoveredEndpoint, reinstatement: Reinstatement
    ) -> DiscoveredEndpoint:
        """Return a reinstated endpoint, which ramps up like one that has just started."""
        started_ms = endpoint.entry.started_ms
        if started_ms and started_ms + self._unix_offset_ms >= reinstatement.ejected_ms:
            # The server has been restarted since its ejection.
            return endpoint
        started_ms = self._reinstated_at_ms.get(
            endpoint.name, reinstatement.reinstated_ms - self._unix_offset_ms
        )
        return replace(endpoint, entry=replace(endpoint.entry, started_ms=started_ms))

    def _add_name(self, name: str) -> None:
        if name not in self.state.known_names:
            self.state.known_names[name] = None
            self.has_new_names = True
            self._drop_old_names()

    def _drop_old_names(self) -> None:
        """Drop the oldest names over the limit, except ejected or listed ones."""
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
        """Return the state with a server ejected; it keeps the time of an earlier ejection."""
        ejected = {name: now_ms} | self.state.ejected
        reinstated = {
            other: times for other, times in self.state.reinstated.items() if other != name
        }
        return EjectionState(ejected, reinstated, self.state.known_names)

    def with_reinstated(self, name: str, now_ms: float) -> EjectionState:
        """Return the state with a server reinstated, however often it was ejected."""
        ejected = dict(self.state.ejected)
        ejected_ms = ejected.pop(name, None)
        reinstated = self.state.reinstated
        if ejected_ms is not None:
            reinstated = reinstated | {name: Reinstatement(ejected_ms, now_ms)}
        return EjectionState(ejected, reinstated, self.state.known_names)

    def adopt(
        self, state: EjectionState, learned_ms: float | None = None
    ) -> list[DiscoveredEndpoint]:
        """Replace the state, and return the endpoints whose override changes.

        `learned_ms` is the time on the node's clock; None for what an earlier process has left.
        Unlike the Unix times of the state, it is right after the wall clock was set.
        """
        old = self.state
        for name, times in state.reinstated.items():
            if learned_ms is not None and old.reinstated.get(name) != times:
                self._reinstated_at_ms[name] = learned_ms
        for name in self._reinstated_at_ms.keys() - state.reinstated.keys():
            del self._reinstated_at_ms[name]
        self.state = EjectionState(
            dict(state.ejected), dict(state.reinstated), dict(state.known_names)
        )
        for name in old.known_names:
            self.state.known_names.setdefault(name, None)
        self.has_new_names = len(self.state.known_names) > len(state.known_names)
        self._drop_old_names()
        return [
            endpoint
            for name, endpoint in self.listed.items()
            if (name in old.ejected) is not (name in state.ejected)
            or old.reinstated.get(name) != state.reinstated.get(name)
        ]


def _as_draining(endpoint: DiscoveredEndpoint) -> DiscoveredEndpoint:
    """Return the endpoint as draining if it is ready; others stay as they are."""
    if endpoint.entry.state is not EndpointState.READY:
        return endpoint
    return replace(endpoint, entry=replace(endpoint.entry, state=EndpointState.DRAINING))
