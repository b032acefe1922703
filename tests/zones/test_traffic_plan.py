"""The plan is a pure function that overfills no zone and keeps regional traffic at home."""

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
slots = st.floats(0.0, 60.0).map(lambda x: round(x, 3))


def topology_of(zones: int, regions: int = 2, regional: frozenset[int] = frozenset()) -> Topology:
    names = [f"z{number}" for number in range(zones)]
    return build_topology(
        names, {n: f"r{i % regions}" for i, n in enumerate(names)}, {}, 2, regional
    )


@st.composite
def situations(draw: st.DrawFn, zones: int = 4) -> PlanInput:
    home = tuple(draw(st.sampled_from((0.0, 10.0, 25.0, 40.0))) for _ in range(zones))
    open_ = tuple(c * draw(st.sampled_from((0.0, 0.3, 1.0))) for c in home)
    demand = tuple(tuple(draw(slots) / 4 for _ in range(4)) for _ in range(zones))
    pairs = st.tuples(st.integers(0, zones - 1), st.integers(0, zones - 1))
    return PlanInput(open_, home, demand, frozenset(draw(st.lists(pairs, max_size=3))))


@settings(max_examples=200, deadline=None)
@given(situations(), st.booleans())
def test_every_plan_keeps_its_bounds(now: PlanInput, first_is_regional: bool) -> None:
    topology = topology_of(4, 2, frozenset({0}) if first_is_regional else frozenset())
    plan = compute_plan(topology, now, WEIGHTS, LIMITS)
    # bit by bit
    assert encode_plan(plan) == encode_plan(compute_plan(topology, now, WEIGHTS, LIMITS))
    assert decode_plan(encode_plan(plan), topology) == plan
    foreign = [0.0] * 4
    for source, rows in enumerate(plan.shares):
        for row, shares in enumerate(rows):
            assert sum(shares) <= SHARES_PER_ROW
            for zone, share in enumerate(shares):
                if share:
                    assert (source, zone) not in now.partitioned
                    assert topology.may_route(row, source, zone)
                    assert (
                        now.local_capacity[zone] > 0 if zone == source else now.capacity[zone] > 0
                    )
                if zone != source:
                    foreign[zone] += now.demand[source][row] * share / SHARES_PER_ROW
    rounding = sum(map(sum, now.demand)) / SHARES_PER_ROW + 0.01
    # no zone gets more of others' traffic than it can carry
    for zone, amount in enumerate(foreign):
        assert amount <= LIMITS.max_share * now.capacity[zone] + rounding


@settings(max_examples=100, deadline=None)
@given(situations(3))
def test_traffic_stays_at_home_while_there_is_room(now: PlanInput) -> None:
    plenty = tuple(100.0 for _ in now.local_capacity)
    calm = PlanInput(plenty, plenty, now.demand, frozenset())
    plan = compute_plan(topology_of(3), calm, WEIGHTS, LIMITS)
    for source, rows in enumerate(plan.shares):
        if sum(now.demand[source]) <= 80.0:
            assert all(shares[source] == SHARES_PER_ROW for shares in rows)


def test_a_lost_zone_goes_to_the_nearest_and_across_regions_only_what_does_not_fit() -> None:
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
    small = PlanInput((0.0, 20.0, 10.0, 20.0), (0.0, 20.0, 10.0, 20.0), demand)
    far = compute_plan(topology, small, WEIGHTS, LIMITS).shares[0]
    assert far[1][2] > 0
    assert far[0][1] + far[0][3] > 0


def test_short_everywhere_the_lowest_priority_is_shed_before_it_crosses_zones() -> None:
    demand = ((6.0, 6.0, 0.0, 0.0),) * 3
    now = PlanInput((0.0, 10.0, 10.0), (0.0, 10.0, 10.0), demand)
    plan = compute_plan(topology_of(3, 1), now, WEIGHTS, LIMITS)
    load = plan.load(demand)
    assert sum(plan.shares[0][1]) > 0.9 * SHARES_PER_ROW
    assert sum(plan.shares[0][0]) == 0
    assert load.shed > 6.0
    assert max(load.slots) <= 1.2 * 10.0


def test_a_regional_class_with_no_room_in_its_region_is_shed_and_never_leaves() -> None:
    topology = topology_of(2, 2, frozenset({1}))
    now = PlanInput((0.0, 100.0), (0.0, 100.0), ((1.0, 1.0, 0.0, 0.0),) * 2)
    rows = compute_plan(topology, now, WEIGHTS, LIMITS).shares[0]
    assert rows[1] == (0, 0)
    assert rows[0] == (0, SHARES_PER_ROW)


def test_a_zone_that_was_cut_off_keeps_its_own_traffic_while_it_is_closed_to_others() -> None:
    now = PlanInput((0.0, 10.0), (10.0, 10.0), ((4.0, 4.0, 0.0, 0.0), (6.0, 6.0, 0.0, 0.0)))
    plan = compute_plan(topology_of(2, 1), now, WEIGHTS, LIMITS)
    assert plan.shares[0][0][0] == SHARES_PER_ROW
    assert all(rows[0] == 0 for rows in plan.shares[1])
    assert plan.lost_zones == ()


GOOD = compute_plan(
    topology_of(2), PlanInput((9.0, 9.0), (9.0, 9.0), ((1.0,) * 4,) * 2), WEIGHTS, LIMITS
)


def forged(**changes: object) -> bytes:
    """Return a plan's bytes with some fields changed."""
    fields = {
        "map": GOOD.topology_digest,
        "rows": [[[0, SHARES_PER_ROW]]] * 8,
        "room": [1, 1],
        "lost": [],
        "why": "",
    } | changes
    return zlib.compress(msgspec.msgpack.encode(tuple(fields.values())))


@pytest.mark.parametrize(
    ("data", "words"),
    [
        (b"junk", "header"),
        (encode_plan(GOOD)[:-3], "cut off"),
        (forged(map=1), "another geography"),
        (forged(rows=[]), "0 rows"),
        (forged(room=[1]), "rows"),
        (forged(lost=[7]), "names a zone"),
        (forged(rows=[[[0, SHARES_PER_ROW], [1, 1]]] * 8), "gives 241"),
        (forged(rows=[[[5, 1]]] * 8), "no such part"),
        (forged(rows=[[[0, -1]]] * 8), "no such part"),
        (forged(rows=[[[0, SHARES_PER_ROW]]] * 7 + [[[0, 9]]]), "region"),
        (forged(why="x" * 70_000), "over 65536"),
    ],
)
def test_bytes_that_are_no_plan_are_rejected_by_their_fault(data: bytes, words: str) -> None:
    with pytest.raises(InvalidPlanError, match=words):
        decode_plan(data, topology_of(2))


@given(st.binary(max_size=200))
def test_no_bytes_raise_anything_else(data: bytes) -> None:
    with contextlib.suppress(InvalidPlanError):
        assert isinstance(decode_plan(data, topology_of(2)), Plan)
