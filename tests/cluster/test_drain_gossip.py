"""Gossiped drains take endpoints out, within a bound, and never bring one back."""

from __future__ import annotations

import msgspec

from badgercart.cluster.drain_gossip import MAX_ENTRIES_PER_UPDATE, DrainGossip
from badgercart.config import Address
from badgercart.core.endpoint_table import DiscoveredEndpoint
from badgercart.policy.endpoint import Endpoint, EndpointState

HOST: Address = ("127.0.0.1", 80)


def endpoint(number: int, state: EndpointState = EndpointState.READY) -> DiscoveredEndpoint:
    return DiscoveredEndpoint(Endpoint(number, 0, 0, 0, state, 1.0, 0.0), HOST, f"s{number}")


LISTED = {number: endpoint(number) for number in range(1, 11)}


def announced(*servers: int, version: int = 5) -> bytes:
    gossip = DrainGossip()
    for server in servers:
        gossip.record_local(endpoint(server, EndpointState.DRAINING), version, 0.0)
    return gossip.announcements(0.0)[0]


def test_a_gossiped_drain_holds_until_the_local_list_is_as_late() -> None:
    gossip = DrainGossip()
    (entry,) = gossip.receive(announced(3), 4, LISTED)
    assert gossip.override(entry, 4).entry.state is EndpointState.DRAINING
    assert gossip.receive(announced(3), 4, LISTED) == []  # heard again
    assert gossip.expire(4) == []
    assert (
        gossip.override(endpoint(3), 4).entry.state is EndpointState.DRAINING
    )  # the local list says ready, and is older
    (back,) = gossip.expire(5)
    assert (
        back.entry.state is EndpointState.READY
        and gossip.override(back, 5).entry.state is EndpointState.READY
    )
    assert gossip.receive(announced(3), 5, LISTED) == []  # older than what the local list says


def test_drains_of_the_local_list_are_announced_and_gossiped_ones_are_not() -> None:
    gossip = DrainGossip()
    gossip.record_local(endpoint(1, EndpointState.GONE), 4, 0.0)
    gossip.receive(announced(2), 4, LISTED)
    gossip.record_local(gossip.override(endpoint(2), 4), 4, 0.0)
    assert [server for server, _ in msgspec.msgpack.decode(gossip.announcements(0.0)[0])] == [1]
    gossip.record_local(endpoint(1), 6, 0.0)  # it is back
    assert gossip.announcements(0.0) == []


def test_gossip_takes_out_no_more_than_a_third_of_the_list() -> None:
    gossip = DrainGossip()
    assert len(gossip.receive(announced(*range(1, 11)), 4, LISTED)) == 3
    assert gossip.rejected == 7
    for junk in (
        b"",
        b"\xc1",
        msgspec.msgpack.encode([["x"]]),
        msgspec.msgpack.encode([[99, 9]] * 50),
    ):
        assert gossip.receive(junk, 4, LISTED) == []


def test_many_drains_are_announced_in_registers_of_a_few_the_newest_first() -> None:
    gossip = DrainGossip()
    for server in range(1000):
        gossip.record_local(endpoint(server, EndpointState.DRAINING), 5, 0.0)
    values = gossip.announcements(1.0)
    assert [len(msgspec.msgpack.decode(value)) for value in values] == [MAX_ENTRIES_PER_UPDATE] * 8
    assert msgspec.msgpack.decode(values[0])[0][0] == 999
    assert gossip.announcements(100_000.0) == []
