"""Controllers of a few nodes in the lab's model: one plan, failover, the fallback budget."""

from __future__ import annotations

import msgspec
import pytest

from badgercart.policy.events import TrafficPlan
from badgercart.zones.failover_controller import FailoverController
from badgercart.zones.operator_overrides import (
    DRAIN,
    OVERRIDES_TOPIC,
    PIN,
    RELEASE,
    OperatorOverride,
)
from badgercart.zones.presentation import status_page
from lab.model import World
from lab.settings import Cell
from tests.lab.support import day

PER_S = {"per_s": 80.0}  # about half of what they can do


def world(zones: str = "majority", nodes: int = 6, seconds: float = 12.0, **more: object) -> World:
    fleet = {"nodes": nodes, "peers": True, "zones": zones, "servers": 6}
    net = {"zones": 3, "regions": 2, "far_ms": 5.0}
    # type: ignore[call-overload]
    made = day(seconds, more.pop("trouble", []), fleet=fleet, net=net, arrivals=PER_S, **more)
    return World(Cell(made, "badgercart", 1))


def controllers(played: World) -> list[FailoverController]:
    assert played.companions is not None
    return [
        one.controller for one in played.companions.there.values() if one.controller is not None
    ]


def at(played: World, ms: float, look: object) -> None:
    played.clock.at(ms, look)  # type: ignore[arg-type]


def test_all_nodes_go_by_one_plan_and_calm_traffic_stays_at_home() -> None:
    played = world()
    result = played.play()
    plans = {
        controller.planner.plan.digest
        for controller in controllers(played)
        if controller.planner.plan is not None
    }
    assert len(plans) == 1
    assert not sum(result["breaches"].values())
    for node in played.nodes:
        policy = node.join.policy
        assert policy.fleet.locality.plan is not None
        assert policy.fleet.locality.plan.shares[0][node.zone] == 1.0
    # no plan after plan while nothing happens
    assert 0 < controllers(played)[0].history.plan_count <= 6


def test_a_day_with_plans_is_the_same_bit_by_bit() -> None:
    one, other = (world(seconds=8.0).play() for _ in range(2))
    one.pop("spent_s"), other.pop("spent_s")
    assert one == other


def test_a_lost_zone_is_left_and_its_nodes_send_where_the_plan_says() -> None:
    trouble = [{"kind": "zone_loss", "at_s": 7.0, "for_s": 4.0, "zone": 1}]
    played, seen = world(trouble=trouble), {}

    def look() -> None:
        seen["lost"] = [
            controller.planner.plan.lost_zones
            for controller in controllers(played)
            if controller.planner.plan is not None
        ]
        seen["row"] = played.nodes[1].join.policy.fleet.locality.plan.shares[0]  # type: ignore[union-attr]

    at(played, 10_000.0, look)
    played.play()
    assert seen["lost"] == [(1,)] * 6
    assert seen["row"][1] == 0
    assert sum(seen["row"]) == pytest.approx(1.0)


@pytest.mark.parametrize("nodes", [4, 6])
def test_all_nodes_without_a_plan_send_a_zone_no_more_than_the_fallback_budget(nodes: int) -> None:
    played = world(nodes=nodes)
    played.play()
    for controller in controllers(played):
        controller.consensus.voter.lease.active = None
    events = [policy_input(controller, nodes) for controller in controllers(played)]
    for zone in range(3):
        slots = sum(
            event.spillover_rates_per_ms[zone] * controller.observer.detector.mean_latency_ms
            for event, controller in zip(events, controllers(played), strict=True)
        )
        capacity = controllers(played)[0].conditions.capacity[zone]
        assert slots <= 1.05 * controllers(played)[0].settings.fallback_budget * capacity
    assert all(
        row.index(1.0) == controller.zone
        for controller, event in zip(controllers(played), events, strict=True)
        for row in event.shares
    )


def policy_input(controller: FailoverController, nodes: int) -> TrafficPlan:
    controller.feed.last = None
    event = controller.policy_update(1, nodes)
    assert event is not None
    return event


def test_shared_reports_alone_give_each_a_plan_of_its_own() -> None:
    played = world("shared")
    result = played.play()
    assert all(
        controller.planner.plan is not None and controller.consensus.active is None
        for controller in controllers(played)
    )
    assert not sum(result["breaches"].values())


def test_of_operators_overrides_the_latest_counts_until_it_expires() -> None:
    played = world(seconds=7.0)
    played.play()
    controller = controllers(played)[0]
    overrides = controller.overrides
    now = int(controller.wall_ms())

    def receive(action: str, issued_ms: int, expires_ms: int, zone: int = 2) -> None:
        override = OperatorOverride(zone, action, issued_ms, expires_ms, "eva")
        payload = msgspec.msgpack.encode((controller.topology.digest, [override]))
        controller.on_overrides(0.0, "operator c", payload)

    receive(DRAIN, now, now + 10_000)
    receive(PIN, now - 5, now + 10_000)  # came late
    receive("burn", now + 1, now + 10_000)
    receive(DRAIN, now, now + 10_000, zone=9)
    controller.on_overrides(0.0, "operator c", b"junk")
    other = msgspec.msgpack.encode((1, [OperatorOverride(1, DRAIN, now, now + 10_000, "eva")]))
    controller.on_overrides(0.0, "operator b", other)  # of another topology
    assert {zone: one.action for zone, one in overrides.by_zone.items()} == {2: DRAIN}
    event = policy_input(controller, 6)
    assert 2 in event.lost_zones
    assert status_page(controller, 0.0)["zones"][2]["order"] == DRAIN
    receive(RELEASE, now + 1, now + 10_000)
    assert overrides.by_zone[2].action == RELEASE
    assert 2 not in policy_input(controller, 6).lost_zones
    receive(DRAIN, now + 2, now - 1)
    overrides.expire(controller.wall_ms())
    assert overrides.by_zone == {}
    assert OVERRIDES_TOPIC in controller.member.protocol.registers.urgent


def test_too_many_plans_keep_the_safer_one() -> None:
    trouble = [{"kind": "zone_flap", "at_s": 7.0, "for_s": 20.0, "zone": 1, "size": 1.0}]
    played = world(seconds=30.0, trouble=trouble)
    result = played.play()
    for controller in controllers(played):
        assert 0 < controller.history.plan_count <= 20 + 20 * 30 / 60
    assert not sum(result["breaches"].values())
