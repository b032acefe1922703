"""Zones that fail over: what it brings by worlds of the lab, and what it costs. Ratios and
differences of one run.

`python -m benchmarks.zones`: the time of a plan by its size, water-filling beside a linear
programme (highspy), a decision with a plan over one without. `--worlds [--seeds N]`: zones cut,
lost, slow, flapping and two lost, by each way of deciding (each alone, shared evidence, one plan by
a majority) and by peers, worth served and paired differences from one plan.
"""

from __future__ import annotations

import argparse
import os
import random
import statistics
import sys
import time
from concurrent.futures import ProcessPoolExecutor
from typing import Any

from badgercart.policy import Policy
from badgercart.policy.actions import Send
from badgercart.policy.endpoint import Endpoint, EndpointState
from badgercart.policy.events import (
    AttemptEnded,
    AttemptResult,
    EndpointUpdate,
    Request,
    TrafficPlan,
    UpdateKind,
)
from badgercart.policy.settings import Idempotency, RequestClass, Settings
from badgercart.zones.failover_controller import loads_of
from badgercart.zones.topology import Geography, geography
from badgercart.zones.traffic_plan import PARTS, Limits, Situation, compute_plan
from lab.model import play
from lab.settings import Cell, Day, load
from lab.stats import paired, verdict

SIZES = ((3, 2, 2), (6, 3, 4), (12, 4, 8), (20, 5, 8))  # zones, regions, classes
WORLD = "lab/days/worlds/zone-cut.toml"
TROUBLES: dict[str, list[dict[str, Any]]] = {
    "cut": [{"kind": "partition", "at_s": 6, "for_s": 8, "zone": 1}],
    "lost": [{"kind": "zone_loss", "at_s": 8, "for_s": 8, "zone": 1}],
    "slow": [{"kind": "zone_slow", "at_s": 8, "for_s": 10, "zone": 1, "size": 3.0}],
    "flaps": [{"kind": "zone_flap", "at_s": 8, "for_s": 14, "zone": 1, "size": 2.0}],
    "one way": [{"kind": "zone_way", "at_s": 8, "for_s": 8, "zone": 1, "to": 0}],
    "two lost": [
        {"kind": "zone_loss", "at_s": 8, "for_s": 12, "zone": 1},
        {"kind": "zone_loss", "at_s": 12, "for_s": 8, "zone": 2},
    ],
}
WAYS = ("majority", "shared", "alone", "prequal", "priority")  # the first is compared with


# Plans.


def drawn(zones: int, regions: int, classes: int, seed: int) -> tuple[Geography, Situation]:
    """A random situation in which one zone is lost and about nine tenths of the rest is wanted."""
    rng = random.Random(seed)
    names = [f"z{number}" for number in range(zones)]
    map_ = geography(names, {n: f"r{i % regions}" for i, n in enumerate(names)}, {}, classes)
    capacity = tuple(0.0 if i == 1 else rng.uniform(300, 700) for i in range(zones))
    scale = 0.9 * sum(capacity) / (zones * classes)
    demand = tuple(
        tuple(rng.uniform(0.2, 1.8) * scale if row < classes else 0.0 for row in range(2 * classes))
        for _ in range(zones)
    )
    return map_, Situation(capacity, capacity, demand)


def value(map_: Geography, now: Situation, worths: list[float]) -> float:
    """Worth that the water-filled plan carries within what each zone can do."""
    plan = compute_plan(map_, now, worths, Limits())
    loads, _ = loads_of(plan, now.demand)
    over = {
        z: load / c
        for z, (load, c) in enumerate(zip(loads, now.capacity, strict=True))
        if c and load > c
    }
    total = 0.0
    for source, rows in enumerate(plan.parts):
        for row, parts in enumerate(rows):
            for zone, part in enumerate(parts):
                carried = now.demand[source][row] * part / PARTS / over.get(zone, 1.0)
                total += worths[row % map_.classes] * carried
    return total


def programme(map_: Geography, now: Situation, worths: list[float]) -> tuple[float, float]:
    """The most worth that any plan carries, and the time (ms) that it takes to find it."""
    import highspy

    begun = time.perf_counter()
    model: Any = highspy.Highs()  # type: ignore[no-untyped-call]
    model.setOptionValue("output_flag", False)
    zones = range(len(map_.zones))
    cells = [
        (i, r, j) for i in zones for r in range(map_.classes) for j in zones if now.capacity[j] > 0
    ]
    moved = {cell: model.addVariable(lb=0.0) for cell in cells}
    for i in zones:
        for r in range(map_.classes):
            model.addConstr(sum(moved[c] for c in cells if c[:2] == (i, r)) <= now.demand[i][r])
    for j in zones:
        if now.capacity[j] > 0:
            model.addConstr(sum(moved[c] for c in cells if c[2] == j) <= now.capacity[j])
    model.maximize(sum((worths[r] - 1e-4 * map_.cost[i][j]) * moved[i, r, j] for i, r, j in cells))
    took = (time.perf_counter() - begun) * 1000
    solution = model.getSolution().col_value
    found = sum(worths[r] * solution[moved[i, r, j].index] for i, r, j in cells)
    return found, took


def plans(with_programme: bool) -> None:
    print(
        "| zones | regions | classes | plan ms | linear programme ms | worth carried over the best |"
    )
    print("| --- | --- | --- | --- | --- | --- |")
    for zones, regions, classes in SIZES:
        worths = [float(1 + number) for number in range(classes)]
        times, shares, others = [], [], []
        for seed in range(5):
            map_, now = drawn(zones, regions, classes, seed)
            begun = time.perf_counter()
            compute_plan(map_, now, worths, Limits())
            times.append((time.perf_counter() - begun) * 1000)
            if with_programme:
                best, took = programme(map_, now, worths)
                others.append(took)
                shares.append(value(map_, now, worths) / best)
        lp = f"{statistics.median(others):.1f}" if others else "-"
        share = f"{min(shares):.3f} to {max(shares):.3f}" if shares else "-"
        print(
            f"| {zones} | {regions} | {classes} | {statistics.median(times):.1f} | {lp} | {share} |"
        )


# Decisions.


def decisions(plan: TrafficPlan | None, servers: int = 60) -> float:
    """us a request of a policy that has a plan, or none."""
    classes = (
        RequestClass(
            latency_objective_ms=400.0,
            deadline_ms=1000.0,
            priority_weight=1.0,
            idempotency=Idempotency.IDEMPOTENT,
        ),
    )
    policy = Policy(Settings(classes=classes, cluster_size=10, key_affinity=True), 1)
    entries = [Endpoint(i + 1, i % 3, 0, 0, EndpointState.READY, 2.0, 0.0) for i in range(servers)]
    policy.handle(1.0, EndpointUpdate(UpdateKind.SNAPSHOT, 1, entries))
    if plan is not None:
        policy.handle(1.0, plan)
    now, begun = 1.0, time.perf_counter()
    for number in range(1, 30_001):
        now += 1.0
        for action in policy.handle(now, Request(number, 0, now + 1000, key=number % 500 + 1)):
            if isinstance(action, Send):
                policy.handle(
                    now + 0.5,
                    AttemptEnded(number, action.endpoint_id, True, AttemptResult.OK, 0, 20.0),
                )
    return (time.perf_counter() - begun) / 30_000 * 1e6


def cost() -> None:
    plan = TrafficPlan(((0.8, 0.2, 0.0),) * 2, (0.1, 0.1, 0.1))
    pairs = [(decisions(None), decisions(plan)) for _ in range(5)]
    ratio = statistics.median(with_ / without for without, with_ in pairs)
    print(
        f"a request's decisions with a plan over without: {ratio:.3f} ({pairs[0][0]:.1f} us without)"
    )


# Worlds.


def day(trouble: str, nodes: int, load_: float, zones: str) -> Day:
    told = load(WORLD).model_dump(by_alias=True)
    told["experiment"]["seconds"] = 24 if trouble == "cut" else 30
    told["arrivals"]["load"], told["fleet"]["nodes"] = load_, nodes
    told["trouble"] = TROUBLES[trouble]
    if zones != "off":
        told["fleet"] |= {"peers": True, "zones": zones}
    return Day.model_validate(told)


def played(job: tuple[str, str, int, float, int]) -> tuple[float, int, float]:
    """Worth served, rules broken, and requests refused in the 5 s after the trouble's end, of all
    then."""
    way, trouble, nodes, load_, seed = job
    zones = way if way in ("majority", "shared") else "off"
    policy = way if way in ("prequal", "priority") else "badgercart"
    result = play(Cell(day(trouble, nodes, load_, zones), policy, seed))
    end = int(max(t["at_s"] + t["for_s"] for t in TROUBLES[trouble]))
    course = result["course"]
    offered = sum(course["offered"][end : end + 5])
    dip = 1 - sum(course["timely"][end : end + 5]) / offered if offered else 0.0
    return result["share"], sum(result["breaches"].values()), dip


def worlds(seeds: int, cells: list[tuple[str, int, float]], workers: int) -> None:
    jobs = [(way, *cell, seed) for cell in cells for way in WAYS for seed in range(1, seeds + 1)]
    with ProcessPoolExecutor(workers) as pool:
        found = dict(zip(jobs, pool.map(played, jobs), strict=True))
    print("| zone | nodes | load | " + " | ".join(WAYS) + " | lost after its end, majority |")
    print("| --- " * (len(WAYS) + 4) + "|")
    for cell in cells:
        row, ours = [], [found["majority", *cell, seed][0] for seed in range(1, seeds + 1)]
        for way in WAYS:
            shares = [found[way, *cell, seed][0] for seed in range(1, seeds + 1)]
            broken = sum(found[way, *cell, seed][1] for seed in range(1, seeds + 1))
            words = f"{statistics.fmean(shares):.4f}" + (f" !{broken}" if broken else "")
            if way != "majority":
                told = verdict(paired(shares, ours))
                words = (
                    f"**{words}**"
                    if told == "better"
                    else f"{words} ="
                    if told != "worse"
                    else words
                )
            row.append(words)
        dips = statistics.fmean(found["majority", *cell, seed][2] for seed in range(1, seeds + 1))
        print(f"| {cell[0]} | {cell[1]} | {cell[2]} | {' | '.join(row)} | {dips:.3f} |", flush=True)


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m benchmarks.zones", description=__doc__)
    parser.add_argument("--worlds", action="store_true", help="worth by worlds of the lab")
    parser.add_argument("--seeds", type=int, default=10, help="of each (10)")
    parser.add_argument("--cut", action="store_true", help="only zones cut off, by loads and nodes")
    parser.add_argument(
        "--workers", type=int, default=os.cpu_count() or 1, help="processes (all cores)"
    )
    chosen = parser.parse_args()
    if chosen.worlds:
        cells = [("cut", nodes, load_) for load_ in (0.55, 0.7, 0.8) for nodes in (3, 9, 18)]
        if not chosen.cut:
            cells = [(trouble, 9, load_) for trouble in TROUBLES for load_ in (0.55, 0.7)]
        worlds(chosen.seeds, cells, chosen.workers)
        return 0
    try:
        import highspy  # noqa: F401
    except ModuleNotFoundError:
        print("without highspy there is no linear programme to compare with")
        plans(False)
    else:
        plans(True)
    cost()
    return 0


if __name__ == "__main__":
    sys.exit(main())
