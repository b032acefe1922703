"""The plan is a pure function that fills nobody over its limits and keeps at home what is bound."""

from __future__ import annotations

import contextlib

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from badgercart.zones.failover_controller import loads_of
from badgercart.zones.topology import Geography, geography
from badgercart.zones.traffic_plan import (
    PARTS,
    Limits,
    Plan,
    PlanError,
    Situation,
    compute_plan,
    packed,
    unpacked,
)

LIMITS = Limits()
WORTHS = (2.0, 8.0)
slots = st.floats(0.0, 60.0).map(lambda x: round(x, 3))


def map_of(zones: int, regions: int = 2, bound: frozenset[int] = frozenset()) -> Geography:
    names = [f"z{number}" for number in range(zones)]
    return geography(names, {n: f"r{i % regions}" for i, n in enumerate(names)}, {}, 2, bound)


@st.composite
def situations(draw: st.DrawFn, zones: int = 4) -> Situation:
    home = tuple(draw(st.sampled_from((0.0, 10.0, 25.0, 40.0))) for _ in range(zones))
    open_ = tuple(c * draw(st.sampled_from((0.0, 0.3, 1.0))) for c in home)
    demand = tuple(tuple(draw(slots) / 4 for _ in range(4)) for _ in range(zones))
    pairs = st.tuples(st.integers(0, zones - 1), st.integers(0, zones - 1))
    return Situation(open_, home, demand, frozenset(draw(st.lists(pairs, max_size=3))))


@settings(max_examples=200, deadline=None)
@given(situations(), st.booleans())
def test_every_plan_keeps_its_bounds(now: Situation, first_is_bound: bool) -> None:
    map_ = map_of(4, 2, frozenset({0}) if first_is_bound else frozenset())
    plan = compute_plan(map_, now, WORTHS, LIMITS)
    assert packed(plan) == packed(compute_plan(map_, now, WORTHS, LIMITS))  # bit by bit
    assert unpacked(packed(plan), map_) == plan
    visits = [0.0] * 4
    for source, rows in enumerate(plan.parts):
        for row, parts in enumerate(rows):
            assert sum(parts) <= PARTS
            for zone, part in enumerate(parts):
                if part:
                    assert (source, zone) not in now.parted
                    assert map_.may(row, source, zone)
                    assert now.home[zone] > 0 if zone == source else now.capacity[zone] > 0
                if zone != source:
                    visits[zone] += now.demand[source][row] * part / PARTS
    rounding = sum(map(sum, now.demand)) / PARTS + 0.01
    for zone, amount in enumerate(visits):  # no zone is given more of others' than it can carry
        assert amount <= LIMITS.most * now.capacity[zone] + rounding


@settings(max_examples=100, deadline=None)
@given(situations(3))
def test_what_is_near_stays_while_there_is_room(now: Situation) -> None:
    calm = Situation(
        tuple(100.0 for _ in now.home), tuple(100.0 for _ in now.home), now.demand, frozenset()
    )  # fmt: skip
    plan = compute_plan(map_of(3), calm, WORTHS, LIMITS)
    for source, rows in enumerate(plan.parts):
        if sum(now.demand[source]) <= 80.0:
            assert all(parts[source] == PARTS for parts in rows)


def test_a_lost_zone_goes_to_the_nearest_and_across_regions_only_what_does_not_fit() -> None:
    map_ = map_of(4)  # z0 and z2 are in one region, z1 and z3 in the other
    demand = ((3.0, 3.0, 0.0, 0.0),) * 4
    plan = compute_plan(
        map_, Situation((0.0, 20.0, 20.0, 20.0), (0.0, 20.0, 20.0, 20.0), demand), WORTHS, LIMITS
    )
    assert plan.parts[0][1] == (0, 0, PARTS, 0) and plan.lost == (0,)
    small = Situation((0.0, 20.0, 10.0, 20.0), (0.0, 20.0, 10.0, 20.0), demand)
    far = compute_plan(map_, small, WORTHS, LIMITS).parts[0]
    assert far[1][2] > 0 and far[0][1] + far[0][3] > 0  # the worthier near, the rest further


def test_short_everywhere_the_lowest_worth_is_refused_before_it_crosses() -> None:
    demand = ((6.0, 6.0, 0.0, 0.0),) * 3
    now = Situation((0.0, 10.0, 10.0), (0.0, 10.0, 10.0), demand)
    plan = compute_plan(map_of(3, 1), now, WORTHS, LIMITS)
    loads, refused = loads_of(plan, demand)
    assert sum(plan.parts[0][1]) > 0.9 * PARTS and sum(plan.parts[0][0]) == 0
    assert refused > 6.0 and max(loads) <= 1.2 * 10.0


def test_a_bound_class_with_no_room_in_its_region_is_refused_and_never_leaves() -> None:
    map_ = map_of(2, 2, frozenset({1}))
    now = Situation((0.0, 100.0), (0.0, 100.0), ((1.0, 1.0, 0.0, 0.0),) * 2)
    rows = compute_plan(map_, now, WORTHS, LIMITS).parts[0]
    assert rows[1] == (0, 0) and rows[0] == (0, PARTS)


def test_a_zone_that_was_cut_off_keeps_its_own_while_it_is_shut_to_others() -> None:
    now = Situation((0.0, 10.0), (10.0, 10.0), ((4.0, 4.0, 0.0, 0.0), (6.0, 6.0, 0.0, 0.0)))
    plan = compute_plan(map_of(2, 1), now, WORTHS, LIMITS)
    assert (
        plan.parts[0][0][0] == PARTS
        and all(rows[0] == 0 for rows in plan.parts[1])
        and plan.lost == ()
    )


GOOD = compute_plan(map_of(2), Situation((9.0, 9.0), (9.0, 9.0), ((1.0,) * 4,) * 2), WORTHS, LIMITS)


def forged(**changes: object) -> bytes:
    import zlib

    told = {
        "map": GOOD.map,
        "rows": [[[0, PARTS]]] * 8,
        "room": [1, 1],
        "lost": [],
        "why": "",
    } | changes
    return zlib.compress(msgspec.msgpack.encode(tuple(told.values())))


@pytest.mark.parametrize(
    ("data", "words"),
    [
        (b"junk", "header"), (packed(GOOD)[:-3], "cut off"), (forged(map=1), "another geography"),
        (forged(rows=[]), "0 rows"), (forged(room=[1]), "rows"), (forged(lost=[7]), "names a zone"),
        (forged(rows=[[[0, PARTS], [1, 1]]] * 8), "gives 241"), (forged(rows=[[[5, 1]]] * 8), "no such part"),
        (forged(rows=[[[0, -1]]] * 8), "no such part"),
        (forged(rows=[[[0, PARTS]]] * 7 + [[[0, 9]]]), "region"),
        (forged(why="x" * 70_000), "over 65536"),
    ],
)  # fmt: skip
def test_bytes_that_are_no_plan_are_refused_by_their_fault(data: bytes, words: str) -> None:
    with pytest.raises(PlanError, match=words):
        unpacked(data, map_of(2))


@given(st.binary(max_size=200))
def test_no_bytes_raise_anything_else(data: bytes) -> None:
    with contextlib.suppress(PlanError):
        assert isinstance(unpacked(data, map_of(2)), Plan)
