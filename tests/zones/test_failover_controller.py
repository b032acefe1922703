"""Controllers of a few nodes in the lab's model: one plan, failover, and the fallback budget."""

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
from lab.model import Simulation
from lab.settings import Cell
from tests.lab.support import day

# About half of the capacity of the servers.
ARRIVALS = {"per_s": 80.0}


def world(
    mode: str = "majority", nodes: int = 6, duration_s: float = 12.0, **options: object
) -> Simulation:
    """Return a model of a fleet with three zones in two regions."""
    fleet = {"nodes": nodes, "peers": True, "zones": mode, "servers": 6}
    net = {"zones": 3, "regions": 2, "far_ms": 5.0}
    scenario = day(
        duration_s, options.pop("trouble", []), fleet=fleet, net=net, arrivals=ARRIVALS, **options
    )
    return Simulation(Cell(scenario, "badgercart", 1))


def controllers(played: Simulation) -> list[FailoverController]:
    """Return the controllers of the nodes that are running."""
    assert played.cluster is not None
    return [
        node.controller for node in played.cluster.nodes.values() if node.controller is not None
    ]


def call_at(played: Simulation, time_ms: float, callback: object) -> None:
    """Call a function at a time of the model."""
    played.clock.call_at(time_ms, callback)  # type: ignore[arg-type]


def test_all_nodes_use_one_plan_and_traffic_stays_in_its_zone() -> None:
    """With enough capacity, a plan routes no request to another zone."""
    played = world()
    result = played.run()
    plans = {
        controller.planner.plan.digest
        for controller in controllers(played)
        if controller.planner.plan is not None
    }
    assert len(plans) == 1
    assert not sum(result["breaches"].values())
    for node in played.nodes:
        policy = node.pipeline.policy
        assert policy.fleet.locality.plan is not None
        assert policy.fleet.locality.plan.shares[0][node.zone] == 1.0
    # Without faults, few plans are made.
    assert 0 < controllers(played)[0].history.plan_count <= 6


def test_a_run_with_plans_is_deterministic() -> None:
    """The same seed gives the same result bit by bit."""
    one, other = (world(duration_s=8.0).run() for _ in range(2))
    one.pop("spent_s"), other.pop("spent_s")
    assert one == other


def test_nodes_of_a_lost_zone_send_to_the_zones_of_the_plan() -> None:
    """All nodes learn of the loss, and none sends to the lost zone."""
    trouble = [{"kind": "zone_loss", "at_s": 7.0, "for_s": 4.0, "zone": 1}]
    played, observed = world(trouble=trouble), {}

    def observe() -> None:
        observed["lost"] = [
            controller.planner.plan.lost_zones
            for controller in controllers(played)
            if controller.planner.plan is not None
        ]
        observed["row"] = played.nodes[1].pipeline.policy.fleet.locality.plan.shares[0]  # type: ignore[union-attr]

    call_at(played, 10_000.0, observe)
    played.run()
    assert observed["lost"] == [(1,)] * 6
    assert observed["row"][1] == 0
    assert sum(observed["row"]) == pytest.approx(1.0)


@pytest.mark.parametrize("nodes", [4, 6])
def test_nodes_without_a_plan_stay_within_the_fallback_budget(nodes: int) -> None:
    """The spillover of all nodes together must fit into the capacity that plans leave free."""
    played = world(nodes=nodes)
    played.run()
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
    """Return the policy's input, whether it has changed or not."""
    controller.feed.last = None
    event = controller.policy_update(1, nodes)
    assert event is not None
    return event


def test_in_shared_mode_each_node_makes_its_own_plan() -> None:
    """Mode `shared` needs no consensus."""
    played = world("shared")
    result = played.run()
    assert all(
        controller.planner.plan is not None and controller.consensus.active is None
        for controller in controllers(played)
    )
    assert not sum(result["breaches"].values())


def test_the_latest_operator_override_counts_until_it_expires() -> None:
    """Old, unknown and malformed overrides, and those of other topologies, have no effect."""
    played = world(duration_s=7.0)
    played.run()
    controller = controllers(played)[0]
    overrides = controller.overrides
    wall_ms = int(controller.wall_ms())

    def receive(action: str, issued_ms: int, expires_ms: int, zone: int = 2) -> None:
        override = OperatorOverride(zone, action, issued_ms, expires_ms, "eva")
        payload = msgspec.msgpack.encode((controller.topology.digest, [override]))
        controller.on_overrides(0.0, "operator c", payload)

    receive(DRAIN, wall_ms, wall_ms + 10_000)
    receive(PIN, wall_ms - 5, wall_ms + 10_000)  # older than the known override
    receive("burn", wall_ms + 1, wall_ms + 10_000)
    receive(DRAIN, wall_ms, wall_ms + 10_000, zone=9)
    controller.on_overrides(0.0, "operator c", b"junk")
    other = msgspec.msgpack.encode(
        (1, [OperatorOverride(1, DRAIN, wall_ms, wall_ms + 10_000, "eva")])
    )
    controller.on_overrides(0.0, "operator b", other)  # of another topology
    assert {zone: override.action for zone, override in overrides.by_zone.items()} == {2: DRAIN}
    event = policy_input(controller, 6)
    assert 2 in event.lost_zones
    assert status_page(controller, 0.0)["zones"][2]["order"] == DRAIN
    receive(RELEASE, wall_ms + 1, wall_ms + 10_000)
    assert overrides.by_zone[2].action == RELEASE
    assert 2 not in policy_input(controller, 6).lost_zones
    receive(DRAIN, wall_ms + 2, wall_ms - 1)
    overrides.expire(controller.wall_ms())
    assert overrides.by_zone == {}
    assert OVERRIDES_TOPIC in controller.member.protocol.registers.urgent


def test_a_flapping_zone_makes_a_bounded_number_of_plans() -> None:
    """The plan budget limits how often traffic moves."""
    trouble = [{"kind": "zone_flap", "at_s": 7.0, "for_s": 20.0, "zone": 1, "size": 1.0}]
    played = world(duration_s=30.0, trouble=trouble)
    result = played.run()
    for controller in controllers(played):
        assert 0 < controller.history.plan_count <= 20 + 20 * 30 / 60
    assert not sum(result["breaches"].values())
