"""Measure the benefit of zone failover in simulated days of the lab, and its cost.

`python -m benchmarks.zones` measures the time to compute a plan by its size, compares the plan with
the optimum of a linear program (highspy), and compares the time of policy decisions with and without
a plan. All results come from one run. `--worlds [--seeds N]` simulates zones that are partitioned,
lost, slow or flapping, and the loss of two zones, with each planning mode and with other policies,
and compares the value served in pairs.
"""

from __future__ import annotations

import argparse
import os
import random
import statistics
import sys
import time
from collections.abc import Mapping, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
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
from badgercart.zones.topology import Topology, build_topology
from badgercart.zones.traffic_plan import (
    SHARES_PER_ROW,
    PlanInput,
    UtilizationLimits,
    compute_plan,
)
from lab.model import simulate
from lab.settings import Cell, Day, load_day
from lab.stats import paired_difference, verdict

# Numbers of zones, regions and request classes.
SIZES = ((3, 2, 2), (6, 3, 4), (12, 4, 8), (20, 5, 8))
PLANS_PER_SIZE = 5
# Weight of the cost of moving traffic between zones in the objective of the linear program.
TRANSFER_COST_WEIGHT = 1e-4
DECISIONS = 30_000
EXPERIMENT_PATH = "lab/days/worlds/zone-cut.toml"
FAULTS: dict[str, list[dict[str, Any]]] = {
    "cut": [{"kind": "partition", "at_s": 6, "for_s": 8, "zone": 1}],
    "lost": [{"kind": "zone_loss", "at_s": 8, "for_s": 8, "zone": 1}],
    "slow": [{"kind": "zone_slow", "at_s": 8, "for_s": 10, "zone": 1, "size": 3.0}],
    "flaps": [{"kind": "zone_flap", "at_s": 8, "for_s": 14, "zone": 1, "size": 2.0}],
    "one mode": [{"kind": "zone_way", "at_s": 8, "for_s": 8, "zone": 1, "to": 0}],
    "two lost": [
        {"kind": "zone_loss", "at_s": 8, "for_s": 12, "zone": 1},
        {"kind": "zone_loss", "at_s": 12, "for_s": 8, "zone": 2},
    ],
}
# The other modes are compared with the first.
MODES = ("majority", "shared", "alone", "prequal", "priority")


def random_situation(
    zones: int, regions: int, classes: int, seed: int
) -> tuple[Topology, PlanInput]:
    """Return a random topology and input with one lost zone.

    The demand is about nine tenths of the remaining capacity.
    """
    rng = random.Random(seed)
    names = [f"z{number}" for number in range(zones)]
    topology = build_topology(
        names, {name: f"r{i % regions}" for i, name in enumerate(names)}, {}, classes
    )
    capacity = tuple(0.0 if i == 1 else rng.uniform(300, 700) for i in range(zones))
    scale = 0.9 * sum(capacity) / (zones * classes)
    demand = tuple(
        tuple(rng.uniform(0.2, 1.8) * scale if row < classes else 0.0 for row in range(2 * classes))
        for _ in range(zones)
    )
    return topology, PlanInput(capacity, capacity, demand)


def carried_value(topology: Topology, situation: PlanInput, weights: list[float]) -> float:
    """Return the value that the computed plan serves within the capacity of each zone."""
    plan = compute_plan(topology, situation, weights, UtilizationLimits())
    load_by_zone = plan.load(situation.demand).slots
    overload = {
        zone: load / capacity
        for zone, (load, capacity) in enumerate(zip(load_by_zone, situation.capacity, strict=True))
        if capacity and load > capacity
    }
    total = 0.0
    for source, rows in enumerate(plan.shares):
        for row, shares in enumerate(rows):
            for zone, share in enumerate(shares):
                carried = (
                    situation.demand[source][row] * share / SHARES_PER_ROW / overload.get(zone, 1.0)
                )
                total += weights[row % topology.class_count] * carried
    return total


def best_value(
    topology: Topology, situation: PlanInput, weights: list[float]
) -> tuple[float, float]:
    """Return the highest value that any plan serves, and the time in ms to find it."""
    import highspy

    started_at = time.perf_counter()
    model: Any = highspy.Highs()  # type: ignore[no-untyped-call]
    model.setOptionValue("output_flag", False)
    zones = range(len(topology.zones))
    routes = [
        (source, class_index, target)
        for source in zones
        for class_index in range(topology.class_count)
        for target in zones
        if situation.capacity[target] > 0
    ]
    flows = {route: model.addVariable(lb=0.0) for route in routes}
    for source in zones:
        for class_index in range(topology.class_count):
            model.addConstr(
                sum(flows[route] for route in routes if route[:2] == (source, class_index))
                <= situation.demand[source][class_index]
            )
    for target in zones:
        if situation.capacity[target] > 0:
            model.addConstr(
                sum(flows[route] for route in routes if route[2] == target)
                <= situation.capacity[target]
            )
    model.maximize(
        sum(
            (weights[class_index] - TRANSFER_COST_WEIGHT * topology.costs[source][target])
            * flows[source, class_index, target]
            for source, class_index, target in routes
        )
    )
    elapsed_ms = (time.perf_counter() - started_at) * 1000
    solution = model.getSolution().col_value
    value = sum(
        weights[class_index] * solution[flows[source, class_index, target].index]
        for source, class_index, target in routes
    )
    return value, elapsed_ms


def print_plans(with_optimum: bool) -> None:
    """Print the time to compute plans by their size, and their value relative to the optimum."""
    print(
        "| zones | regions | classes | plan ms | linear programme ms | worth carried over the best |"
    )
    print("| --- | --- | --- | --- | --- | --- |")
    for zones, regions, classes in SIZES:
        weights = [float(1 + class_index) for class_index in range(classes)]
        plan_times_ms, value_shares, program_times_ms = [], [], []
        for seed in range(PLANS_PER_SIZE):
            topology, situation = random_situation(zones, regions, classes, seed)
            started_at = time.perf_counter()
            compute_plan(topology, situation, weights, UtilizationLimits())
            plan_times_ms.append((time.perf_counter() - started_at) * 1000)
            if with_optimum:
                optimum, program_time_ms = best_value(topology, situation, weights)
                program_times_ms.append(program_time_ms)
                value_shares.append(carried_value(topology, situation, weights) / optimum)
        program_text = f"{statistics.median(program_times_ms):.1f}" if program_times_ms else "-"
        share_text = f"{min(value_shares):.3f} to {max(value_shares):.3f}" if value_shares else "-"
        print(
            f"| {zones} | {regions} | {classes} | {statistics.median(plan_times_ms):.1f} | {program_text} | {share_text} |"
        )


def decision_time(plan: TrafficPlan | None, servers: int = 60) -> float:
    """Return the time in µs that a policy takes per request, with or without a plan."""
    classes = (
        RequestClass(
            latency_objective_ms=400.0,
            deadline_ms=1000.0,
            priority_weight=1.0,
            idempotency=Idempotency.IDEMPOTENT,
        ),
    )
    policy = Policy(Settings(classes=classes, cluster_size=10, key_affinity=True), 1)
    endpoints = [
        Endpoint(index + 1, index % 3, 0, 0, EndpointState.READY, 2.0, 0.0)
        for index in range(servers)
    ]
    policy.handle(1.0, EndpointUpdate(UpdateKind.SNAPSHOT, 1, endpoints))
    if plan is not None:
        policy.handle(1.0, plan)
    now, started_at = 1.0, time.perf_counter()
    for number in range(1, DECISIONS + 1):
        now += 1.0
        for action in policy.handle(now, Request(number, 0, now + 1000, key=number % 500 + 1)):
            if isinstance(action, Send):
                policy.handle(
                    now + 0.5,
                    AttemptEnded(number, action.endpoint_id, True, AttemptResult.OK, 0, 20.0),
                )
    return (time.perf_counter() - started_at) / DECISIONS * 1e6


def print_decision_cost() -> None:
    """Print how much a plan slows down the decisions of a policy."""
    plan = TrafficPlan(((0.8, 0.2, 0.0),) * 2, (0.1, 0.1, 0.1))
    pairs = [(decision_time(None), decision_time(plan)) for _ in range(5)]
    ratio = statistics.median(with_plan / without_plan for without_plan, with_plan in pairs)
    print(
        f"a request's decisions with a plan over without: {ratio:.3f} ({pairs[0][0]:.1f} us without)"
    )


@dataclass(slots=True, frozen=True)
class Scenario:
    """A zone fault with a number of nodes and a load."""

    fault: str
    nodes: int
    load: float


@dataclass(slots=True, frozen=True)
class Job:
    """One run of a scenario with a planning mode or another policy, and a seed."""

    mode: str
    scenario: Scenario
    seed: int


@dataclass(slots=True, frozen=True)
class Outcome:
    """Result of a run.

    Attributes:
        value: Served share of the value of all requests.
        violations: Number of guarantees broken.
        lost_after: Share of requests not served in time in the 5 s after the end of the fault.
    """

    value: float
    violations: int
    lost_after: float


def make_day(scenario: Scenario, zones: str) -> Day:
    """Return the simulated day of a scenario; `zones` is the planning mode or `off`."""
    tables = load_day(EXPERIMENT_PATH).model_dump(by_alias=True)
    tables["experiment"]["seconds"] = 24 if scenario.fault == "cut" else 30
    tables["arrivals"]["load"], tables["fleet"]["nodes"] = scenario.load, scenario.nodes
    tables["trouble"] = FAULTS[scenario.fault]
    if zones != "off":
        tables["fleet"] |= {"peers": True, "zones": zones}
    return Day.model_validate(tables)


def run_job(job: Job) -> Outcome:
    """Simulate one run."""
    zones = job.mode if job.mode in ("majority", "shared") else "off"
    policy = job.mode if job.mode in ("prequal", "priority") else "badgercart"
    result = simulate(Cell(make_day(job.scenario, zones), policy, job.seed))
    faults = FAULTS[job.scenario.fault]
    end_s = int(max(fault["at_s"] + fault["for_s"] for fault in faults))
    course = result["course"]
    offered = sum(course["offered"][end_s : end_s + 5])
    lost = 1 - sum(course["timely"][end_s : end_s + 5]) / offered if offered else 0.0
    return Outcome(result["share"], sum(result["breaches"].values()), lost)


def print_scenarios(seeds: int, scenarios: list[Scenario], workers: int) -> None:
    """Print a table of all scenarios that compares each mode with the first."""
    numbers = range(1, seeds + 1)
    jobs = [
        Job(mode, scenario, seed) for scenario in scenarios for mode in MODES for seed in numbers
    ]
    with ProcessPoolExecutor(workers) as pool:
        outcomes = dict(zip(jobs, pool.map(run_job, jobs), strict=True))
    print("| zone | nodes | load | " + " | ".join(MODES) + " | lost after its end, majority |")
    print("| --- " * (len(MODES) + 4) + "|")
    for scenario in scenarios:
        by_mode = {
            mode: [outcomes[Job(mode, scenario, seed)] for seed in numbers] for mode in MODES
        }
        table_cells = [mode_cell(mode, by_mode) for mode in MODES]
        lost = statistics.fmean(outcome.lost_after for outcome in by_mode["majority"])
        row_start = f"| {scenario.fault} | {scenario.nodes} | {scenario.load} |"
        print(f"{row_start} {' | '.join(table_cells)} | {lost:.3f} |", flush=True)


def mode_cell(mode: str, by_mode: Mapping[str, Sequence[Outcome]]) -> str:
    """Return the table cell of a mode: mean value, violations, comparison with the first mode."""
    values = [outcome.value for outcome in by_mode[mode]]
    violations = sum(outcome.violations for outcome in by_mode[mode])
    text = f"{statistics.fmean(values):.4f}" + (f" !{violations}" if violations else "")
    if mode == "majority":
        return text
    compared = verdict(
        paired_difference(values, [outcome.value for outcome in by_mode["majority"]])
    )
    if compared == "better":
        return f"**{text}**"
    return text if compared == "worse" else f"{text} ="


def scenarios_of(only_partitions: bool) -> list[Scenario]:
    """Return a partitioned zone by load and number of nodes, or all faults with nine nodes."""
    if only_partitions:
        return [Scenario("cut", nodes, load) for load in (0.55, 0.7, 0.8) for nodes in (3, 9, 18)]
    return [Scenario(fault, 9, load) for fault in FAULTS for load in (0.55, 0.7)]


def main() -> int:
    """Run the benchmark that the command line asks for."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.zones", description=__doc__)
    parser.add_argument("--worlds", action="store_true", help="worth by worlds of the lab")
    parser.add_argument("--seeds", type=int, default=10, help="of each (10)")
    parser.add_argument("--cut", action="store_true", help="only zones cut off, by loads and nodes")
    parser.add_argument(
        "--workers", type=int, default=os.cpu_count() or 1, help="processes (all cores)"
    )
    arguments = parser.parse_args()
    if arguments.worlds:
        print_scenarios(arguments.seeds, scenarios_of(arguments.cut), arguments.workers)
        return 0
    try:
        import highspy  # noqa: F401
    except ModuleNotFoundError:
        print("without highspy there is no linear programme to compare with")
        print_plans(with_optimum=False)
    else:
        print_plans(with_optimum=True)
    print_decision_cost()
    return 0


if __name__ == "__main__":
    sys.exit(main())
