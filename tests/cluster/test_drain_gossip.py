"""Gossiped drains drain endpoints, within a bound, and never make one ready."""

from __future__ import annotations

import msgspec

from badgercart.cluster.drain_gossip import MAX_DRAINS_PER_UPDATE, DrainGossip
from badgercart.config import Address
from badgercart.core.endpoint_table import DiscoveredEndpoint
from badgercart.policy.endpoint import Endpoint, EndpointState

HOST: Address = ("127.0.0.1", 80)


def endpoint(number: int, state: EndpointState = EndpointState.READY) -> DiscoveredEndpoint:
    """Return an endpoint list entry."""
    return DiscoveredEndpoint(Endpoint(number, 0, 0, 0, state, 1.0, 0.0), HOST, f"s{number}")


LISTED = {number: endpoint(number) for number in range(1, 11)}


def announced(*endpoint_ids: int, version: int = 5) -> bytes:
    """Return the register value of a node whose list drains these endpoints."""
    gossip = DrainGossip()
    for endpoint_id in endpoint_ids:
        gossip.record_local(endpoint(endpoint_id, EndpointState.DRAINING), version, 0.0)
    return gossip.announcements(0.0)[0]


def test_a_gossiped_drain_holds_until_the_local_list_has_its_version() -> None:
    """An older local list cannot end a drain; the list of the drain's version does."""
    gossip = DrainGossip()
    (entry,) = gossip.receive(announced(3), 4, LISTED)
    assert gossip.override(entry, 4).entry.state is EndpointState.DRAINING
    assert gossip.receive(announced(3), 4, LISTED) == []  # received again
    assert gossip.expire(4) == []
    # The entry of the local list is ready, but older than the drain.
    assert gossip.override(endpoint(3), 4).entry.state is EndpointState.DRAINING
    (restored,) = gossip.expire(5)
    assert (
        restored.entry.state is EndpointState.READY
        and gossip.override(restored, 5).entry.state is EndpointState.READY
    )
    assert gossip.receive(announced(3), 5, LISTED) == []  # not newer than the local list


def test_drains_of_the_local_list_are_announced_and_gossiped_ones_are_not() -> None:
    """A node announces only drains of its own list, or gossip would keep a drain alive forever."""
    gossip = DrainGossip()
    gossip.record_local(endpoint(1, EndpointState.GONE), 4, 0.0)
    gossip.receive(announced(2), 4, LISTED)
    gossip.record_local(gossip.override(endpoint(2), 4), 4, 0.0)
    assert [number for number, _ in msgspec.msgpack.decode(gossip.announcements(0.0)[0])] == [1]
    gossip.record_local(endpoint(1), 6, 0.0)  # ready again
    assert gossip.announcements(0.0) == []


def test_gossip_drains_at_most_a_third_of_the_list() -> None:
    """A node that announces every endpoint, or malformed values, cannot drain the fleet."""
    gossip = DrainGossip()
    assert len(gossip.receive(announced(*range(1, 11)), 4, LISTED)) == 3
    assert gossip.rejected == 7
    for malformed in (
        b"",
        b"\xc1",
        msgspec.msgpack.encode([["x"]]),
        msgspec.msgpack.encode([[99, 9]] * 50),
    ):
        assert gossip.receive(malformed, 4, LISTED) == []


def test_many_drains_are_split_over_registers_newest_first() -> None:
    """The newest drains are announced if not all fit into the registers."""
    gossip = DrainGossip()
    for endpoint_id in range(1000):
        gossip.record_local(endpoint(endpoint_id, EndpointState.DRAINING), 5, 0.0)
    values = gossip.announcements(1.0)
    assert [len(msgspec.msgpack.decode(value)) for value in values] == [MAX_DRAINS_PER_UPDATE] * 8
    assert msgspec.msgpack.decode(values[0])[0][0] == 999
    assert gossip.announcements(100_000.0) == []
