"""Keepers of a few nodes in the lab's model: one plan, moves, and what the blind may send in
sum."""

from __future__ import annotations

import msgspec
import pytest

from badgercart.policy.events import TrafficPlan
from badgercart.zones.failover_controller import (
    DRAIN,
    ORDERS,
    PIN,
    RELEASE,
    FailoverController,
    OperatorOverride,
)
from lab.model import World
from lab.settings import Cell
from tests.lab.support import day

PER_S = {"per_s": 80.0}  # about half of what they can do


def world(zones: str = "majority", nodes: int = 6, seconds: float = 12.0, **more: object) -> World:
    fleet = {"nodes": nodes, "peers": True, "zones": zones, "servers": 6}
    net = {"zones": 3, "regions": 2, "far_ms": 5.0}
    made = day(seconds, more.pop("trouble", []), fleet=fleet, net=net, arrivals=PER_S, **more)  # type: ignore[call-overload]
    return World(Cell(made, "badgercart", 1))


def keepers(played: World) -> list[FailoverController]:
    assert played.companions is not None
    return [one.keeper for one in played.companions.there.values() if one.keeper is not None]


def at(played: World, ms: float, look: object) -> None:
    played.clock.at(ms, look)  # type: ignore[arg-type]


def test_all_nodes_go_by_one_plan_and_calm_traffic_stays_near() -> None:
    played = world()
    result = played.play()
    plans = {keeper.plan.digest for keeper in keepers(played) if keeper.plan is not None}
    assert len(plans) == 1 and not sum(result["breaches"].values())
    for node in played.nodes:
        policy = node.join.policy
        assert (
            policy.fleet.locality.plan is not None
            and policy.fleet.locality.plan.shares[0][node.zone] == 1.0
        )
    assert 0 < keepers(played)[0].plans <= 6  # no plan after plan while nothing happens


def test_a_day_with_plans_is_the_same_bit_by_bit() -> None:
    one, other = (world(seconds=8.0).play() for _ in range(2))
    one.pop("spent_s"), other.pop("spent_s")
    assert one == other


def test_a_lost_zone_is_left_and_its_nodes_send_where_the_plan_says() -> None:
    trouble = [{"kind": "zone_loss", "at_s": 7.0, "for_s": 4.0, "zone": 1}]
    played, seen = world(trouble=trouble), {}

    def look() -> None:
        seen["lost"] = [keeper.plan.lost for keeper in keepers(played) if keeper.plan is not None]
        seen["row"] = played.nodes[1].join.policy.fleet.locality.plan.shares[0]  # type: ignore[union-attr]

    at(played, 10_000.0, look)
    played.play()
    assert (
        seen["lost"] == [(1,)] * 6
        and seen["row"][1] == 0
        and sum(seen["row"]) == pytest.approx(1.0)
    )


@pytest.mark.parametrize("nodes", [4, 6])
def test_all_that_are_blind_together_send_a_zone_no_more_than_is_left_for_them(nodes: int) -> None:
    played = world(nodes=nodes)
    played.play()
    for keeper in keepers(played):
        keeper.council.current = None
    events = [keeper_event(keeper, nodes) for keeper in keepers(played)]
    for zone in range(3):
        slots = sum(
            e.spillover_rates[zone] * k.eyes.mean
            for e, k in zip(events, keepers(played), strict=True)
        )
        capacity = keepers(played)[0].capacity[zone]
        assert slots <= 1.05 * keepers(played)[0].ways.blind * capacity
    assert all(row.index(1.0) == keeper.zone for keeper, event in zip(keepers(played), events, strict=True)
               for row in event.shares)  # fmt: skip


def keeper_event(keeper: FailoverController, nodes: int) -> TrafficPlan:
    keeper.event = None
    event = keeper.direct(1, nodes)
    assert event is not None
    return event


def test_shared_evidence_alone_gives_each_a_plan_of_its_own() -> None:
    played = world("shared")
    result = played.play()
    assert all(
        keeper.plan is not None and keeper.council.current is None for keeper in keepers(played)
    )
    assert not sum(result["breaches"].values())


def test_of_operators_words_the_latest_counts_until_its_time_is_over() -> None:
    played = world(seconds=7.0)
    played.play()
    keeper = keepers(played)[0]
    now = int(keeper.wall())

    def word(what: str, when: int, until: int, zone: int = 2) -> None:
        told = msgspec.msgpack.encode(
            (keeper.geography.digest, [OperatorOverride(zone, what, when, until, "eva")])
        )
        keeper.on_orders(0.0, "operator c", told)

    word(DRAIN, now, now + 10_000)
    word(PIN, now - 5, now + 10_000)  # came late
    word("burn", now + 1, now + 10_000)
    word(DRAIN, now, now + 10_000, zone=9)
    keeper.on_orders(0.0, "operator c", b"junk")
    other = msgspec.msgpack.encode((1, [OperatorOverride(1, DRAIN, now, now + 10_000, "eva")]))
    keeper.on_orders(0.0, "operator b", other)  # of another map
    assert {zone: order.what for zone, order in keeper.orders.items()} == {2: DRAIN}
    event = keeper_event(keeper, 6)
    assert 2 in event.lost_zones and keeper.page(0.0)["zones"][2]["order"] == DRAIN
    word(RELEASE, now + 1, now + 10_000)
    assert keeper.orders[2].what == RELEASE and 2 not in keeper_event(keeper, 6).lost_zones
    word(DRAIN, now + 2, now - 1)
    keeper.expire()
    assert keeper.orders == {} and ORDERS in keeper.member.machine.board.urgent


def test_too_many_plans_keep_the_safer_one() -> None:
    trouble = [{"kind": "zone_flap", "at_s": 7.0, "for_s": 20.0, "zone": 1, "size": 1.0}]
    played = world(seconds=30.0, trouble=trouble)
    result = played.play()
    for keeper in keepers(played):
        assert 0 < keeper.plans <= 20 + 20 * 30 / 60
    assert not sum(result["breaches"].values())
