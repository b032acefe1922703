"""Traffic plans: limits, locality, priorities, regional traffic, and validation of their bytes."""

from __future__ import annotations

import contextlib
import zlib

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from badgercart.zones.errors import InvalidPlanError
from badgercart.zones.plan_codec import decode_plan, encode_plan
from badgercart.zones.topology import Topology, build_topology
from badgercart.zones.traffic_plan import (
    SHARES_PER_ROW,
    Plan,
    PlanInput,
    UtilizationLimits,
    compute_plan,
)

LIMITS = UtilizationLimits()
WEIGHTS = (2.0, 8.0)
slots = st.floats(0.0, 60.0).map(lambda amount: round(amount, 3))


def topology_of(zones: int, regions: int = 2, regional: frozenset[int] = frozenset()) -> Topology:
    """Return a topology with two classes and zones spread over regions."""
    names = [f"z{number}" for number in range(zones)]
    return build_topology(
        names,
        {name: f"r{number % regions}" for number, name in enumerate(names)},
        {},
        2,
        regional,
    )


@st.composite
def situations(draw: st.DrawFn, zones: int = 4) -> PlanInput:
    """Generate situations with lost, limited and partitioned zones."""
    local_capacity = tuple(draw(st.sampled_from((0.0, 10.0, 25.0, 40.0))) for _ in range(zones))
    capacity = tuple(amount * draw(st.sampled_from((0.0, 0.3, 1.0))) for amount in local_capacity)
    demand = tuple(tuple(draw(slots) / 4 for _ in range(4)) for _ in range(zones))
    pairs = st.tuples(st.integers(0, zones - 1), st.integers(0, zones - 1))
    return PlanInput(capacity, local_capacity, demand, frozenset(draw(st.lists(pairs, max_size=3))))


@settings(max_examples=200, deadline=None)
@given(situations(), st.booleans())
def test_every_plan_respects_its_limits(situation: PlanInput, first_is_regional: bool) -> None:
    """No plan overfills a zone, uses a broken link or routes regional traffic to another region."""
    topology = topology_of(4, 2, frozenset({0}) if first_is_regional else frozenset())
    plan = compute_plan(topology, situation, WEIGHTS, LIMITS)
    # The plan is deterministic bit by bit.
    assert encode_plan(plan) == encode_plan(compute_plan(topology, situation, WEIGHTS, LIMITS))
    assert decode_plan(encode_plan(plan), topology) == plan
    foreign = [0.0] * 4
    for source, rows in enumerate(plan.shares):
        for row, shares in enumerate(rows):
            assert sum(shares) <= SHARES_PER_ROW
            for zone, share in enumerate(shares):
                if share:
                    assert (source, zone) not in situation.partitioned
                    assert topology.may_route(row, source, zone)
                    assert (
                        situation.local_capacity[zone] > 0
                        if zone == source
                        else situation.capacity[zone] > 0
                    )
                if zone != source:
                    foreign[zone] += situation.demand[source][row] * share / SHARES_PER_ROW
    rounding = sum(map(sum, situation.demand)) / SHARES_PER_ROW + 0.01
    # No zone gets more traffic of other zones than its capacity.
    for zone, amount in enumerate(foreign):
        assert amount <= LIMITS.max_share * situation.capacity[zone] + rounding


@settings(max_examples=100, deadline=None)
@given(situations(3))
def test_traffic_stays_in_its_zone_while_capacity_is_free(situation: PlanInput) -> None:
    """A healthy zone sends nothing to other zones up to the target utilization."""
    ample = tuple(100.0 for _ in situation.local_capacity)
    healthy = PlanInput(ample, ample, situation.demand, frozenset())
    plan = compute_plan(topology_of(3), healthy, WEIGHTS, LIMITS)
    for source, rows in enumerate(plan.shares):
        if sum(situation.demand[source]) <= 80.0:
            assert all(shares[source] == SHARES_PER_ROW for shares in rows)


def test_a_lost_zone_is_served_by_the_nearest_zones() -> None:
    """Only traffic that does not fit into the region crosses regions, lowest priority first."""
    topology = topology_of(4)  # z0 and z2 are in one region, z1 and z3 in the other
    demand = ((3.0, 3.0, 0.0, 0.0),) * 4
    plan = compute_plan(
        topology,
        PlanInput((0.0, 20.0, 20.0, 20.0), (0.0, 20.0, 20.0, 20.0), demand),
        WEIGHTS,
        LIMITS,
    )
    assert plan.shares[0][1] == (0, 0, SHARES_PER_ROW, 0)
    assert plan.lost_zones == (0,)
    smaller = PlanInput((0.0, 20.0, 10.0, 20.0), (0.0, 20.0, 10.0, 20.0), demand)
    rows = compute_plan(topology, smaller, WEIGHTS, LIMITS).shares[0]
    assert rows[1][2] > 0
    assert rows[0][1] + rows[0][3] > 0


def test_the_lowest_priority_is_shed_before_it_crosses_zones() -> None:
    """Without enough capacity anywhere, the higher priority gets the capacity of other zones."""
    demand = ((6.0, 6.0, 0.0, 0.0),) * 3
    situation = PlanInput((0.0, 10.0, 10.0), (0.0, 10.0, 10.0), demand)
    plan = compute_plan(topology_of(3, 1), situation, WEIGHTS, LIMITS)
    load = plan.load(demand)
    assert sum(plan.shares[0][1]) > 0.9 * SHARES_PER_ROW
    assert sum(plan.shares[0][0]) == 0
    assert load.shed > 6.0
    assert max(load.slots) <= 1.2 * 10.0


def test_a_regional_class_without_capacity_in_its_region_is_shed() -> None:
    """Regional traffic must not leave its region even if another region has free capacity."""
    topology = topology_of(2, 2, frozenset({1}))
    situation = PlanInput((0.0, 100.0), (0.0, 100.0), ((1.0, 1.0, 0.0, 0.0),) * 2)
    rows = compute_plan(topology, situation, WEIGHTS, LIMITS).shares[0]
    assert rows[1] == (0, 0)
    assert rows[0] == (0, SHARES_PER_ROW)


def test_a_partitioned_zone_keeps_its_own_traffic() -> None:
    """A zone that only other zones cannot reach still serves its own nodes."""
    situation = PlanInput((0.0, 10.0), (10.0, 10.0), ((4.0, 4.0, 0.0, 0.0), (6.0, 6.0, 0.0, 0.0)))
    plan = compute_plan(topology_of(2, 1), situation, WEIGHTS, LIMITS)
    assert plan.shares[0][0][0] == SHARES_PER_ROW
    assert all(rows[0] == 0 for rows in plan.shares[1])
    assert plan.lost_zones == ()


VALID = compute_plan(
    topology_of(2), PlanInput((9.0, 9.0), (9.0, 9.0), ((1.0,) * 4,) * 2), WEIGHTS, LIMITS
)


def forged(**changes: object) -> bytes:
    """Return the bytes of a plan with some fields replaced."""
    fields = {
        "topology_digest": VALID.topology_digest,
        "rows": [[[0, SHARES_PER_ROW]]] * 8,
        "spare": [1, 1],
        "lost": [],
        "reason": "",
    } | changes
    return zlib.compress(msgspec.msgpack.encode(tuple(fields.values())))


@pytest.mark.parametrize(
    ("data", "message"),
    [
        (b"junk", "header"),
        (encode_plan(VALID)[:-3], "is truncated"),
        (forged(topology_digest=1), "another topology"),
        (forged(rows=[]), "0 rows"),
        (forged(spare=[1]), "rows"),
        (forged(lost=[7]), "unknown zone"),
        (forged(rows=[[[0, SHARES_PER_ROW], [1, 1]]] * 8), "gives 241"),
        (forged(rows=[[[5, 1]]] * 8), "invalid share"),
        (forged(rows=[[[0, -1]]] * 8), "invalid share"),
        (forged(rows=[[[0, SHARES_PER_ROW]]] * 7 + [[[0, 9]]]), "region"),
        (forged(reason="x" * 70_000), "exceeds 65536"),
    ],
)
def test_invalid_plans_are_rejected_with_a_message(data: bytes, message: str) -> None:
    """A malformed plan of another node must not be used; the message names the fault."""
    with pytest.raises(InvalidPlanError, match=message):
        decode_plan(data, topology_of(2))


@given(st.binary(max_size=200))
def test_random_bytes_raise_no_other_error(data: bytes) -> None:
    """A malformed message of another node must not crash this one."""
    with contextlib.suppress(InvalidPlanError):
        assert isinstance(decode_plan(data, topology_of(2)), Plan)
