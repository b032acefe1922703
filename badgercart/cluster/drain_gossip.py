"""Drains that another node's endpoint list had first. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace

import msgspec

from badgercart.core.endpoint_table import DiscoveredEndpoint
from badgercart.policy.endpoint import EndpointState

MAX_DRAINS = 1024  # that are known by gossip, or announced to others
MAX_ENTRIES_PER_UPDATE = 16
DRAIN_TOPICS = tuple(f"drains.{number}" for number in range(8))  # registers of one node
ANNOUNCED_FOR_MS = 60_000.0  # lists are later than that only if they are lost
MAX_GOSSIPED_SHARE = 0.34  # of the listed endpoints that gossip alone may take out


@dataclass(slots=True, frozen=True)
class Drain:
    """An endpoint that drains or is gone, by an endpoint list of that version."""

    endpoint_id: int
    list_version: int


@dataclass(slots=True, frozen=True)
class Announcement:
    """A drain of the local list that others are told of."""

    since_ms: float
    drain: Drain


_decode: Callable[[bytes], list[tuple[int, int]]] = msgspec.msgpack.Decoder(
    list[tuple[int, int]]
).decode


def _encode(drains: list[Drain]) -> bytes:
    return msgspec.msgpack.encode([(drain.endpoint_id, drain.list_version) for drain in drains])


class DrainGossip:
    """Takes endpoints out that other nodes' lists drain; it never brings one back.

    A gossiped drain ends when the local list is as late as the one that it is from, which has the
    drain or a later state.
    """

    def __init__(self) -> None:
        self.gossiped: dict[int, Drain] = {}
        self.overridden: dict[int, DiscoveredEndpoint] = {}  # what the local list says of these
        self.announced: dict[int, Announcement] = {}
        self.rejected = 0

    # What the local list says, for others.

    def record_local(self, endpoint: DiscoveredEndpoint, list_version: int, now_ms: float) -> None:
        """Take a changed entry of the local list, to announce it if the endpoint drains."""
        endpoint_id = endpoint.entry.id
        if endpoint_id in self.overridden:
            return  # the change is that of a gossiped drain
        self.announced.pop(endpoint_id, None)
        if endpoint.entry.state is EndpointState.READY:
            return
        if len(self.announced) >= MAX_DRAINS:
            del self.announced[next(iter(self.announced))]
        self.announced[endpoint_id] = Announcement(now_ms, Drain(endpoint_id, list_version))

    def announcements(self, now_ms: float) -> list[bytes]:
        """Return the values of the registers: the newest drains, some to each."""
        self.announced = {
            endpoint_id: announcement
            for endpoint_id, announcement in self.announced.items()
            if now_ms - announcement.since_ms < ANNOUNCED_FOR_MS
        }
        newest = [announcement.drain for announcement in reversed(self.announced.values())]
        starts = range(0, len(newest), MAX_ENTRIES_PER_UPDATE)
        values = [_encode(newest[at : at + MAX_ENTRIES_PER_UPDATE]) for at in starts]
        return values[: len(DRAIN_TOPICS)]

    # What other nodes say, for the local list.

    def receive(
        self, value: bytes, list_version: int, listed: dict[int, DiscoveredEndpoint]
    ) -> list[DiscoveredEndpoint]:
        """Take over another node's drains; return the entries to apply again.

        Args:
            value: of its register.
            list_version: of the local list.
            listed: the local list by endpoint.
        """
        try:
            drains = [Drain(*entry) for entry in _decode(value)]
        except msgspec.MsgspecError:
            self.rejected += 1
            return []
        changed = []
        for drain in drains[:MAX_ENTRIES_PER_UPDATE]:
            endpoint = listed.get(drain.endpoint_id)
            if endpoint is None or not self._is_news(drain, endpoint, list_version):
                continue
            if len(self.gossiped) >= self._capacity(len(listed)):
                self.rejected += 1
                continue
            self.gossiped[drain.endpoint_id] = drain
            changed.append(endpoint)
        return changed

    def _is_news(self, drain: Drain, endpoint: DiscoveredEndpoint, list_version: int) -> bool:
        before = self.gossiped.get(drain.endpoint_id)
        if before is not None and before.list_version >= drain.list_version:
            return False
        return drain.list_version > list_version and endpoint.entry.state is EndpointState.READY

    @staticmethod
    def _capacity(listed: int) -> int:
        """Return how many endpoints gossip may take out of a list of so many."""
        return min(MAX_DRAINS, max(1, int(MAX_GOSSIPED_SHARE * listed)))

    def override(self, endpoint: DiscoveredEndpoint, list_version: int) -> DiscoveredEndpoint:
        """Return what is in force in place of an entry of a list of that version."""
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
        """End the drains that the local list has caught up with; return its entries for them."""
        expired = [
            endpoint_id
            for endpoint_id, drain in self.gossiped.items()
            if drain.list_version <= list_version
        ]
        for endpoint_id in expired:
            del self.gossiped[endpoint_id]
        restored = [i for i in self.overridden if i not in self.gossiped]
        return [self.overridden.pop(endpoint_id) for endpoint_id in restored]
