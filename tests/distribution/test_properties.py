"""Whatever happens to a group of replicas, its invariants hold and it recovers.

`BADGERCART_RUNS=3000 pytest tests/distribution/test_properties.py` is the long form; CI draws the
same plays each time.
"""

from __future__ import annotations

import os
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from badgercart.distribution.messages import Entry
from badgercart.distribution.replica import Replica
from badgercart.distribution.replica_config import ReplicaLimits
from tests.distribution.mutants import draw
from tests.distribution.simulation import Group, Hollow, MemoryDisk

RUNS = int(os.environ.get("BADGERCART_RUNS", "0"))
TOPICS = ("a", "b")
SMALL = ReplicaLimits(
    max_log_changes=3, max_topic_history=2, max_history=3, max_concurrent_snapshots=1
)  # so that snapshots are sent again and again

names = st.integers(0, 4)
steps = st.one_of(
    st.tuples(
        st.just("propose"),
        names,
        st.sampled_from(TOPICS),
        st.sampled_from("xyz"),
        st.integers(0, 3),
    ),
    st.tuples(st.just("propose to the leader"), st.sampled_from(TOPICS), st.integers(1, 6)),
    st.tuples(st.just("run"), st.sampled_from([0.0, 5.0, 50.0, 400.0, 1500.0, 4000.0])),
    st.tuples(st.just("kill"), names),
    st.tuples(st.just("crash"), names, st.integers(0, 6)),
    st.tuples(st.just("crash the leader"), st.integers(0, 6)),
    st.tuples(st.just("restart"), names),
    st.tuples(st.just("restart all")),
    st.tuples(st.just("pause"), names),
    st.tuples(st.just("pause the leader")),
    st.tuples(st.just("wake")),
    st.tuples(st.just("cut"), names, names),
    st.tuples(st.just("isolate the leader")),
    st.tuples(st.just("heal")),
    st.tuples(st.just("break"), names, names),
)
plays = st.tuples(
    st.integers(0, 1 << 16), st.lists(st.tuples(steps, st.floats(0.0, 300.0)), max_size=40)
)


def step(group: Group, what: tuple[Any, ...], serial: int) -> None:
    kind, *drawn = what
    name = [group.names[t % len(group.names)] if type(t) is int else "" for t in drawn]
    leader = group.leader()
    if kind == "propose":
        _, topic, key, value = drawn
        group.operator.propose(name[0], topic, [Entry(key, b"%d" % value if value else None)])
    elif kind == "propose to the leader" and leader:
        topic, count = drawn
        for number in range(count):
            group.operator.propose(
                leader, topic, [Entry("xyz"[number % 3], b"%d %d" % (serial, number))]
            )
    elif kind == "run":
        group.run(drawn[0])
    elif kind == "kill":
        group.kill(name[0])
    elif kind == "crash":
        group.process(name[0]).crash_in = drawn[1]
    elif kind == "crash the leader" and leader:
        group.process(leader).crash_in = drawn[0]
    elif kind == "restart":
        group.restart(name[0])
    elif kind == "restart all":
        for each in group.names:
            group.kill(each)
            group.restart(each)
    elif kind == "pause":
        group.pause(name[0])
    elif kind == "pause the leader" and leader:
        group.pause(leader)
    elif kind == "wake":
        for each in group.names:
            group.wake(each)
    elif kind == "cut" and name[0] != name[1]:
        group.cut(name[0], name[1])
    elif kind == "isolate the leader" and leader:
        group.isolate(leader)
    elif kind == "heal":
        group.heal()
    elif kind == "break" and name[0] != name[1]:
        group.break_between(name[0], name[1])


def play(
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
        group.processes[f"at {name}"] = Hollow(group, f"at {name}", name, TOPICS)
    group.run(5000.0, lambda: bool(group.leader()))
    for serial, (what, ms) in enumerate(drawn):
        step(group, what, serial)
        group.run(ms)
    for name in group.names:
        group.process(name).crash_in = -1
    group.settle()
    return group


@settings(max_examples=RUNS or 150)
@given(plays)
def test_three_voters_and_a_learner_keep_all_invariants(drawn: tuple[int, list[Any]]) -> None:
    play(3, 1, None, *drawn)


@settings(max_examples=RUNS or 150)
@given(plays)
def test_three_voters_with_small_limits_keep_all_invariants(drawn: tuple[int, list[Any]]) -> None:
    play(3, 1, SMALL, *drawn)


@settings(max_examples=RUNS or 100)
@given(plays)
def test_five_voters_keep_all_invariants(drawn: tuple[int, list[Any]]) -> None:
    play(5, 0, SMALL, *drawn)


@settings(max_examples=RUNS or 60)
@given(st.integers(0, 1 << 32), st.sampled_from([(3, None), (3, SMALL), (5, SMALL)]))
def test_long_plays_with_leader_failures_keep_all_invariants(
    seed: int, shape: tuple[int, ReplicaLimits | None]
) -> None:
    voters, limits = shape
    play(voters, 0, limits, seed, draw(seed))
