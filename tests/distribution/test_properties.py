"""The invariants of a group of replicas hold under random faults, and the group recovers.

`BADGERCART_RUNS=3000 pytest tests/distribution/test_properties.py` runs more examples; CI draws the
same examples each time.
"""

from __future__ import annotations

import os
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from badgercart.distribution.messages import Entry
from badgercart.distribution.replica import Replica
from badgercart.distribution.replica_config import ReplicaLimits
from tests.distribution.mutants import draw_steps
from tests.distribution.simulation import Group, MemoryDisk, SimulatedFollower

RUNS = int(os.environ.get("BADGERCART_RUNS", "0"))
TOPICS = ("a", "b")
# So small that replicas and subscribers often need snapshots.
SMALL_LIMITS = ReplicaLimits(
    max_log_changes=3, max_topic_history=2, max_history=3, max_concurrent_snapshots=1
)

replica_numbers = st.integers(0, 4)
steps = st.one_of(
    st.tuples(
        st.just("propose"),
        replica_numbers,
        st.sampled_from(TOPICS),
        st.sampled_from("xyz"),
        st.integers(0, 3),
    ),
    st.tuples(st.just("propose to the leader"), st.sampled_from(TOPICS), st.integers(1, 6)),
    st.tuples(st.just("run"), st.sampled_from([0.0, 5.0, 50.0, 400.0, 1500.0, 4000.0])),
    st.tuples(st.just("kill"), replica_numbers),
    st.tuples(st.just("crash"), replica_numbers, st.integers(0, 6)),
    st.tuples(st.just("crash the leader"), st.integers(0, 6)),
    st.tuples(st.just("restart"), replica_numbers),
    st.tuples(st.just("restart all")),
    st.tuples(st.just("pause"), replica_numbers),
    st.tuples(st.just("pause the leader")),
    st.tuples(st.just("wake")),
    st.tuples(st.just("cut"), replica_numbers, replica_numbers),
    st.tuples(st.just("isolate the leader")),
    st.tuples(st.just("heal")),
    st.tuples(st.just("break"), replica_numbers, replica_numbers),
)
seeds_and_steps = st.tuples(
    st.integers(0, 1 << 16), st.lists(st.tuples(steps, st.floats(0.0, 300.0)), max_size=40)
)


def run_step(group: Group, step: tuple[Any, ...], step_number: int) -> None:
    kind, *drawn = step
    name = [group.names[value % len(group.names)] if type(value) is int else "" for value in drawn]
    leader = group.leader()
    if kind == "propose":
        _, topic, key, value = drawn
        group.operator.propose(name[0], topic, [Entry(key, b"%d" % value if value else None)])
    elif kind == "propose to the leader" and leader:
        topic, count = drawn
        for number in range(count):
            group.operator.propose(
                leader, topic, [Entry("xyz"[number % 3], b"%d %d" % (step_number, number))]
            )
    elif kind == "run":
        group.run(drawn[0])
    elif kind == "kill":
        group.kill(name[0])
    elif kind == "crash":
        group.process(name[0]).effects_until_crash = drawn[1]
    elif kind == "crash the leader" and leader:
        group.process(leader).effects_until_crash = drawn[0]
    elif kind == "restart":
        group.restart(name[0])
    elif kind == "restart all":
        for replica in group.names:
            group.kill(replica)
            group.restart(replica)
    elif kind == "pause":
        group.pause(name[0])
    elif kind == "pause the leader" and leader:
        group.pause(leader)
    elif kind == "wake":
        for replica in group.names:
            group.wake(replica)
    elif kind == "cut" and name[0] != name[1]:
        group.cut(name[0], name[1])
    elif kind == "isolate the leader" and leader:
        group.isolate(leader)
    elif kind == "heal":
        group.heal()
    elif kind == "break" and name[0] != name[1]:
        group.break_connections(name[0], name[1])


def run_steps(
    voters: int,
    learners: int,
    limits: ReplicaLimits | None,
    seed: int,
    drawn: list[Any],
    replica_class: type[Replica] = Replica,
    disk_class: type[MemoryDisk] = MemoryDisk,
) -> Group:
    group = Group(voters, learners, seed, replica_class, disk_class, limits)
    for name in group.names:
        group.processes[f"at {name}"] = SimulatedFollower(group, f"at {name}", name, TOPICS)
    group.run(5000.0, lambda: bool(group.leader()))
    for step_number, (step, duration_ms) in enumerate(drawn):
        run_step(group, step, step_number)
        group.run(duration_ms)
    for name in group.names:
        group.process(name).effects_until_crash = -1
    group.restore_and_converge()
    return group


@settings(max_examples=RUNS or 150)
@given(seeds_and_steps)
def test_three_voters_and_a_learner_keep_all_invariants(drawn: tuple[int, list[Any]]) -> None:
    run_steps(3, 1, None, *drawn)


@settings(max_examples=RUNS or 150)
@given(seeds_and_steps)
def test_three_voters_with_small_limits_keep_all_invariants(drawn: tuple[int, list[Any]]) -> None:
    run_steps(3, 1, SMALL_LIMITS, *drawn)


@settings(max_examples=RUNS or 100)
@given(seeds_and_steps)
def test_five_voters_keep_all_invariants(drawn: tuple[int, list[Any]]) -> None:
    run_steps(5, 0, SMALL_LIMITS, *drawn)


@settings(max_examples=RUNS or 60)
@given(st.integers(0, 1 << 32), st.sampled_from([(3, None), (3, SMALL_LIMITS), (5, SMALL_LIMITS)]))
def test_many_steps_with_leader_failures_keep_all_invariants(
    seed: int, configuration: tuple[int, ReplicaLimits | None]
) -> None:
    voters, limits = configuration
    run_steps(voters, 0, limits, seed, draw_steps(seed))
