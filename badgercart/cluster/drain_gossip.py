"""Drains of endpoints that another node's newer endpoint list contains. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace

import msgspec

from badgercart.core.endpoint_table import DiscoveredEndpoint
from badgercart.policy.endpoint import EndpointState

# Maximum drains received by gossip, and maximum drains announced to other nodes.
MAX_DRAINS = 1024
MAX_DRAINS_PER_UPDATE = 16
DRAIN_TOPICS = tuple(f"drains.{number}" for number in range(8))
# How long a drain is announced. An endpoint list that takes longer to arrive was lost.
ANNOUNCEMENT_LIFETIME_MS = 60_000.0
# Maximum share of the listed endpoints that gossip alone may drain.
MAX_GOSSIPED_SHARE = 0.34


@dataclass(slots=True, frozen=True)
class Drain:
    """An endpoint that is draining or gone in the endpoint list of this version."""

    endpoint_id: int
    list_version: int


@dataclass(slots=True, frozen=True)
class Announcement:
    """A drain of the local list that is announced to other nodes."""

    since_ms: float
    drain: Drain


_decode: Callable[[bytes], list[tuple[int, int]]] = msgspec.msgpack.Decoder(
    list[tuple[int, int]]
).decode


def _encode(drains: list[Drain]) -> bytes:
    return msgspec.msgpack.encode([(drain.endpoint_id, drain.list_version) for drain in drains])


class DrainGossip:
    """Drains endpoints that other nodes' lists drain; it never makes an endpoint ready.

    A gossiped drain ends when the local list reaches the version that the drain is from: that
    version contains the drain or a later state.

    Attributes:
        gossiped: the drains in force that only gossip has reported, by endpoint.
        overridden: the local list's entries of these endpoints.
        announced: the drains that are announced to other nodes, by endpoint.
        rejected: malformed updates, and drains beyond the maximum share.
    """

    def __init__(self) -> None:
        self.gossiped: dict[int, Drain] = {}
        self.overridden: dict[int, DiscoveredEndpoint] = {}
        self.announced: dict[int, Announcement] = {}
        self.rejected = 0

    # Drains of the local list, announced to other nodes.

    def record_local(self, endpoint: DiscoveredEndpoint, list_version: int, now_ms: float) -> None:
        """Record a changed entry of the local list, and announce it if the endpoint drains."""
        endpoint_id = endpoint.entry.id
        if endpoint_id in self.overridden:
            return  # the entry changed because of a gossiped drain
        self.announced.pop(endpoint_id, None)
        if endpoint.entry.state is EndpointState.READY:
            return
        if len(self.announced) >= MAX_DRAINS:
            del self.announced[next(iter(self.announced))]
        self.announced[endpoint_id] = Announcement(now_ms, Drain(endpoint_id, list_version))

    def announcements(self, now_ms: float) -> list[bytes]:
        """Return the register values: the drains, newest first, split by the maximum size."""
        self.announced = {
            endpoint_id: announcement
            for endpoint_id, announcement in self.announced.items()
            if now_ms - announcement.since_ms < ANNOUNCEMENT_LIFETIME_MS
        }
        newest = [announcement.drain for announcement in reversed(self.announced.values())]
        starts = range(0, len(newest), MAX_DRAINS_PER_UPDATE)
        values = [_encode(newest[start : start + MAX_DRAINS_PER_UPDATE]) for start in starts]
        return values[: len(DRAIN_TOPICS)]

    # Drains that other nodes announce, applied to the local list.

    def receive(
        self, value: bytes, list_version: int, listed: dict[int, DiscoveredEndpoint]
    ) -> list[DiscoveredEndpoint]:
        """Merge another node's drains; return the entries to apply again.

        Args:
            value: the value of the other node's register.
            list_version: the version of the local list.
            listed: the local list by endpoint.
        """
        try:
            drains = [Drain(*entry) for entry in _decode(value)]
        except msgspec.MsgspecError:
            self.rejected += 1
            return []
        changed = []
        for drain in drains[:MAX_DRAINS_PER_UPDATE]:
            endpoint = listed.get(drain.endpoint_id)
            if endpoint is None or not self._is_new(drain, endpoint, list_version):
                continue
            if len(self.gossiped) >= self._capacity(len(listed)):
                self.rejected += 1
                continue
            self.gossiped[drain.endpoint_id] = drain
            changed.append(endpoint)
        return changed

    def _is_new(self, drain: Drain, endpoint: DiscoveredEndpoint, list_version: int) -> bool:
        before = self.gossiped.get(drain.endpoint_id)
        if before is not None and before.list_version >= drain.list_version:
            return False
        return drain.list_version > list_version and endpoint.entry.state is EndpointState.READY

    @staticmethod
    def _capacity(listed: int) -> int:
        """Return how many endpoints of a list gossip may drain."""
        return min(MAX_DRAINS, max(1, int(MAX_GOSSIPED_SHARE * listed)))

    def override(self, endpoint: DiscoveredEndpoint, list_version: int) -> DiscoveredEndpoint:
        """Return the entry in force for an entry of a list of this version."""
        endpoint_id, entry = endpoint.entry.id, endpoint.entry
        drain = self.gossiped.get(endpoint_id)
        if drain is not None and list_version >= drain.list_version:
            del self.gossiped[endpoint_id]
            drain = None
        if drain is None or entry.state is not EndpointState.READY:
            self.overridden.pop(endpoint_id, None)
            return endpoint
        self.overridden[endpoint_id] = endpoint
        return replace(endpoint, entry=replace(entry, state=EndpointState.DRAINING))

    def expire(self, list_version: int) -> list[DiscoveredEndpoint]:
        """End the drains that the local list has caught up with; return its entries to restore."""
        expired = [
            endpoint_id
            for endpoint_id, drain in self.gossiped.items()
            if drain.list_version <= list_version
        ]
        for endpoint_id in expired:
            del self.gossiped[endpoint_id]
        restored = [
            endpoint_id for endpoint_id in self.overridden if endpoint_id not in self.gossiped
        ]
        return [self.overridden.pop(endpoint_id) for endpoint_id in restored]
