"""The model is the same by its seed, and its hard days show what they are for."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from typing import Any

import numpy as np
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from badgercart.core.ports import UpstreamResponse
from badgercart.policy.events import AttemptResult
from lab.arrivals import plan_requests
from lab.clock import VirtualClock
from lab.model import ClientRequest, ClientTry, Simulation, simulate_day
from lab.peers import NAMES
from lab.random_streams import draw_samples, generator, uniform_stream
from lab.servers import Job, Server
from lab.settings import Cell, Day
from tests.lab.support import day


def test_ties_happen_in_the_order_in_which_they_were_asked_for() -> None:
    clock, seen = VirtualClock(), list[str]()

    def first() -> None:
        seen.append("a")
        clock.call_at(5.0, seen.append, "d")
        clock.call_at(1.0, seen.append, "e")

    clock.call_at(5.0, first)
    clock.call_at(5.0, seen.append, "b")
    clock.call_later(0.005, seen.append, "c")
    clock.call_later(0.005, seen.append, "never").cancel()
    clock.run(5.0)
    assert seen == ["a", "b", "c", "d", "e"] and clock.now_ms == 5.0


@settings(max_examples=60, deadline=None)
@given(
    st.sampled_from(("constant", "uniform", "exponential", "lognormal", "gamma", "pareto")),
    st.floats(1.0, 500.0),
    st.floats(0.2, 0.55),
)
def test_laws_have_the_mean_and_the_spread_that_are_asked_for(
    law: Any, mean: float, cv: float
) -> None:
    cv = {"constant": 0.0, "exponential": 1.0, "pareto": 1.2}.get(law, cv)
    values = draw_samples(generator(7, law), law, mean, cv, 200_000)
    assert values.mean() == pytest.approx(mean, rel=0.03) and values.min() >= 0
    if law != "pareto":  # whose spread is told by a few of the largest
        assert values.std() / mean == pytest.approx(cv, rel=0.05, abs=1e-9)


CODE = """
import json
from lab.model import simulate_day
from tests.lab.support import day
told = simulate_day(day(4.0, [{"kind": "slow", "at_s": 1.0, "for_s": 2.0}]), "badgercart", 3)
told.pop("spent_s")
print(json.dumps(told))
"""


def test_a_day_is_the_same_bit_by_bit_on_any_hash_seed() -> None:
    outputs = {
        subprocess.run(
            [sys.executable, "-c", CODE], env=os.environ | {"PYTHONHASHSEED": seed}, text=True,
            capture_output=True, check=True,
        ).stdout
        for seed in ("0", "1", "4711")
    }  # fmt: skip
    assert len(outputs) == 1 and json.loads(outputs.pop())["requests"] > 200


def test_every_policy_meets_the_same_requests_and_another_seed_others() -> None:
    small = day(5.0)
    one, other = plan_requests(small, 1), plan_requests(small, 2)
    assert np.array_equal(plan_requests(small, 1).work_ms, one.work_ms) and not np.array_equal(
        one.at_ms[:9], other.at_ms[:9]
    )
    told = {name: simulate_day(small, name, 1) for name in ("badgercart", "p2c", "prequal")}
    assert len({result["requests"] for result in told.values()}) == 1
    assert all(result["share"] > 0.9 for result in told.values())


def test_the_rate_follows_pattern_swing_and_surge() -> None:
    for pattern, early, late in (("daily", 0.0, 5.0), ("bursts", 0.0, 5.0)):
        at = plan_requests(
            day(10.0, arrivals={"pattern": pattern, "per_s": 400.0, "swing": 0.8}), 1
        ).at_ms
        first = ((at >= early * 1000) & (at < early * 1000 + 1000)).sum()
        then = ((at >= late * 1000) & (at < late * 1000 + 1000)).sum()
        assert (first < then) == (pattern == "daily"), (pattern, first, then)
    surge = plan_requests(day(9.0, [{"kind": "surge", "at_s": 3.0, "for_s": 3.0, "size": 5.0}],
                     arrivals={"per_s": 200.0, "pattern": "even"}), 1).at_ms  # fmt: skip
    thirds = [int(((surge >= a) & (surge < a + 3000)).sum()) for a in (0, 3000, 6000)]
    assert 4.5 < thirds[1] / thirds[0] < 5.5 and thirds[0] == pytest.approx(600, abs=90)


def server(**kind: Any) -> tuple[VirtualClock, Server]:
    clock = VirtualClock()
    made = day(kind=[{"name": "k", "cores": 1, "queue": 1, "cold_from": 0.5, "ramp_ms": 1000.0, **kind}],
               fleet={"warm_gain": 0.5, "warm_ms": 100.0})  # fmt: skip
    return clock, Server(clock, made, 0, 0, uniform_stream(generator(1, "test")))


def test_a_server_queues_turns_away_warms_up_and_loses_what_it_holds() -> None:
    clock, one = server()
    ends: list[tuple[str, AttemptResult, float]] = []

    def ask(name: str, key: int = 0) -> None:
        one.take(
            Job(
                1,
                1,
                0,
                key,
                10.0,
                False,
                0.0,
                lambda result: ends.append((name, result, clock.now_ms)),
            )
        )

    for name in ("a", "b", "c"):
        ask(name)
    clock.run(30.0)
    assert ends == [
        ("c", AttemptResult.FULL, 0.0),
        ("a", AttemptResult.OK, 10.0),
        ("b", AttemptResult.OK, 20.0),
    ]
    ends.clear()
    ask("key", 9)
    clock.run(50.0)
    ask("known", 9)
    clock.run(60.0)
    ask("other", 8)
    clock.run(61.0)
    assert [(name, at) for name, _, at in ends] == [("key", 40.0), ("known", 55.0)]
    ask("waits")
    one.crash()
    ask("down")
    assert [(name, result) for name, result, _ in ends[2:]] == [
        ("other", AttemptResult.RESET), ("waits", AttemptResult.RESET), ("down", AttemptResult.RESET),
    ]  # fmt: skip
    ends.clear()
    one.start()
    ask("cold")
    clock.run(200.0)
    assert ends == [("cold", AttemptResult.OK, 61.0 + 20.0)] and one.warmth == pytest.approx(
        0.5 + 0.5 * 0.139
    )


TROUBLES: list[tuple[str, dict[str, Any]]] = [
    ("zone cut off", {"kind": "partition", "zone": 1}),
    ("half restart cold", {"kind": "restart", "share": 0.5}),
    ("black hole", {"kind": "errors", "share": 0.13, "chance": 1.0}),
    ("1 in 50 silent", {"kind": "silent", "share": 0.5, "chance": 0.02}),
    ("list loses 40%", {"kind": "list_loss", "share": 0.4}),
    ("flapping list", {"kind": "flap", "share": 0.3}),
    ("lossy network", {"kind": "loss", "chance": 0.05}),
    ("crashes", {"kind": "crash", "share": 0.25}),
    ("a node restarts", {"kind": "node_restart", "share": 0.0}),
    ("drains", {"kind": "drain", "share": 0.3}),
]


@pytest.mark.parametrize("policy", ["badgercart", "peak_ewma"])
@pytest.mark.parametrize(("name", "trouble"), TROUBLES, ids=[name for name, _ in TROUBLES])
def test_no_rule_is_broken_in_a_trouble_and_the_day_recovers(
    name: str, trouble: dict[str, Any], policy: str
) -> None:
    hard = day(9.0, [trouble | {"at_s": 2.0, "for_s": 3.0}], net={"zones": 2}, arrivals={"load": 0.5},
               clients={"retries": 1, "impatient": 0.02})  # fmt: skip
    told = simulate_day(hard, policy, 1)
    assert not sum(told["breaches"].values()), told["shown"]
    assert told["policy_raised"] == 0 and told["share"] > 0.6
    if policy == "badgercart":  # the black hole draws traffic: this is where peers lose
        assert told["share"] > 0.85 and told["recovery_s"] <= 3.0, told["recovery_s"]


def storm(policy: str, retries: int) -> dict[str, Any]:
    """A surge of 3 s beside clients that retry at once: does the jam outlive its cause?"""
    return simulate_day(
        day(24.0, [{"kind": "surge", "at_s": 4.0, "for_s": 3.0, "size": 3.0}],
            kind=[{"name": "k", "cores": 2, "queue": 60}], arrivals={"load": 0.85},
            clients={"retries": retries, "backoff_ms": 20.0, "honour": 0.0},
            node={"max_retry_after_ms": 0.0, "retry_budget": 1.0, "cancel": False}),
        policy, 1,
    )  # fmt: skip


def test_a_retry_storm_holds_a_naive_policy_down_and_not_ours() -> None:
    naive, ours = storm("random", 8), storm("badgercart", 8)
    assert naive["share"] < 0.5 and naive["jam_s"] >= 10 and naive["recovery_s"] > 10
    assert ours["share"] > naive["share"] + 0.3 and ours["recovery_s"] <= 4.0
    calm = storm("random", 0)
    assert calm["share"] > naive["share"]  # the retries are what holds it down


def test_the_checker_finds_each_rule_broken() -> None:
    world = Simulation(Cell(day(2.0, kind=[{"name": "k", "cores": 1, "cold_from": 0.1, "ramp_ms": 9000.0}]),
                       "badgercart", 1))  # fmt: skip
    watch, clock, first = world.watch, world.clock, world.servers[0]
    node = world.nodes[0]
    node.start()
    ask = ClientRequest(7, 1, 0, 0, 10.0, True, 100.0, 0.0)
    tried = ClientTry(world, node, ask)
    node.held[tried.id] = tried
    world.give_up(tried)
    assert watch.counts[1] == 1
    tried.on_response(UpstreamResponse(200))
    tried.on_response(UpstreamResponse(200))
    assert watch.counts[1] == 2
    work = Job(7, 1, 1, 0, 1.0, True, 100.0, lambda result: None)
    watch.effect(first, work)
    watch.effect(first, work)  # dropped by its key
    assert watch.counts[2] == 0
    clock.run(150.0)
    watch.effect(first, work)
    assert watch.counts[2] == 1
    watch.send(first, 0.0, 1.0)
    assert watch.counts[3] == 0
    clock.run(600.0)
    watch.send(first, 0.0, 1.0)
    assert watch.counts[3] == 1
    first.started = 599.0
    for _ in range(12):
        watch.send(first, None, 30.0)
    assert watch.counts[4] == 1 and watch.broken == 5
    assert {breach.rule for breach in watch.shown} == {1, 2, 3, 4}


def unsafe_day() -> Day:
    classes = [
        {
            "name": "book",
            "work_ms": 40.0,
            "aim_ms": 500.0,
            "deadline_ms": 1200.0,
            "effect": "unsafe",
        }
    ]
    return day(6.0, [{"kind": "crash", "at_s": 1.0, "for_s": 2.0, "share": 0.4},
                     {"kind": "loss", "at_s": 1.0, "for_s": 4.0, "chance": 0.1}],
               clients={"retries": 3, "backoff_ms": 10.0}, **{"class": classes})  # fmt: skip


@pytest.mark.parametrize("policy", [name for name in NAMES if "+" not in name])
def test_nothing_unsafe_runs_twice_under_any_policy(policy: str) -> None:
    told = simulate_day(unsafe_day(), policy, 2)
    assert not sum(told["breaches"].values()), told["shown"]
    assert (
        told["classes"]["book"]["ends"].get("failed", 0) > 0
    )  # where it may have run, that is said


def test_a_node_that_restarts_in_the_model_has_what_it_learned_only_where_that_is_asked_for() -> (
    None
):
    trouble = [{"kind": "slow", "at_s": 0.0, "for_s": 6.0, "share": 0.25, "size": 5.0},
               {"kind": "node_restart", "at_s": 3.0, "for_s": 0.02, "share": 0.0}]  # fmt: skip
    found = {}
    for age in (-1.0, 0.0, 1e9):
        world = Simulation(
            Cell(
                day(6.0, trouble, fleet={"nodes": 1}, node={"learned_age_s": age}), "badgercart", 1
            )
        )
        node, usual = world.nodes[0], list[float]()
        plain = node.start

        def start(plain: Any = plain, node: Any = node, usual: list[float] = usual) -> None:
            plain()
            usual.append(node.pipeline.policy.fleet.latency.typical_ms[0])

        node.start = start  # type: ignore[method-assign]
        world.run()
        found[age] = usual
    assert found[-1.0][0] == found[-1.0][1] == found[0.0][0] == pytest.approx(580.0 / 4)
    assert found[0.0][1] < 110.0  # learned in 3 s
    assert found[1e9][1] == pytest.approx(580.0 / 4)  # nothing is left
