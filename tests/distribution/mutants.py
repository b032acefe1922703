"""Mutants of the replica, each without one rule of Raft, and random steps to find them."""

from __future__ import annotations

import importlib
import random
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from types import ModuleType
from typing import Any

from badgercart.distribution.replica import Replica

PACKAGE = "badgercart.distribution"
# The modules of a replica, each after the modules that it imports.
MODULES = (
    "raft.log",
    "raft.state",
    "raft.lease",
    "raft.elections",
    "raft.snapshot",
    "raft.replication",
    "raft.log_receiver",
    "raft.node",
    "proposals",
    "connections",
    "state_machine",
    "replica",
)


@dataclass(frozen=True)
class Mutation:
    """A replacement of one piece of the source of a module."""

    module: str
    old: str
    new: str


MUTATIONS = {
    "changes of older terms are not committed by counting": Mutation(
        "raft.replication",
        "index <= log.commit_index or log.term_at(index) != self._state.term",
        "index <= log.commit_index",
    ),
    "one vote a term": Mutation(
        "raft.elections",
        "            and request.term == state.term\n"
        '            and state.voted_for in ("", peer.name)\n',
        "",
    ),
    "a vote is persisted": Mutation(
        "raft.elections",
        "        if (state.term, state.voted_for) != before:\n            state.persist_term()\n",
        "",
    ),
    "a vote only for a log that is up to date": Mutation(
        "raft.elections",
        "return (request.last_term, request.last_index) >= (log.last_term, log.last_index)",
        "return True",
    ),
    "a majority of votes": Mutation(
        "raft.state",
        "return 2 * count > len(self.group.voters)",
        "return 2 * count >= len(self.group.voters) - 1",
    ),
    "a majority has a change on disk": Mutation(
        "raft.replication",
        "index = sorted(matches, reverse=True)[len(matches) // 2]",
        "index = sorted(matches, reverse=True)[0]",
    ),
    "a change is persisted before it is acknowledged": Mutation(
        "raft.log_receiver",
        "            self._state.append(change.index - 1, changes[position:])\n",
        "            log.replace_tail(change.index - 1, changes[position:])\n",
    ),
    "the tail is replaced only where it differs": Mutation(
        "raft.log_receiver",
        "change.index <= log.compacted_index or log.matches(change.index, change.term)",
        "change.index <= log.compacted_index",
    ),
    "only changes verified to be the leader's are committed": Mutation(
        "raft.log_receiver",
        "min(leader_commit_index, self.verified_index)",
        "min(leader_commit_index, self._state.log.last_index)",
    ),
    "a leader of an earlier term is not followed": Mutation(
        "raft.log_receiver",
        "        if term < state.term:\n",
        "        if term < state.term - 99:\n",
    ),
    "changes behind a snapshot stay": Mutation(
        "raft.log",
        "            tail = self.changes[index - self.compacted_index :]\n",
        "            tail = []\n",
    ),
    "a new term discards what an earlier leader had sent": Mutation(
        "raft.node",
        '            self.begin_term(term, "")\n',
        "            verified_index = self.receiver.verified_index\n"
        '            self.begin_term(term, "")\n'
        "            self.receiver.verified_index = verified_index\n",
    ),
    "the age is counted from the previous response": Mutation(
        "raft.log_receiver",
        "self._age.observe(peer.leader_acked_at_ms - message.age_ms)",
        "self._age.observe(self._state.now_ms)",
    ),
    "a leader's age is counted from its lease": Mutation(
        "raft.lease",
        "return max(0.0, now_ms - self._last_complete_ms())",
        "return 0.0 if self._state.is_leader else max(0.0, now_ms - self.complete_at_ms)",
    ),
    "a new leader has no age before its first change is committed": Mutation(
        "raft.lease",
        "knows_committed = state.is_leader and state.log.commit_index >= state.term_start_index",
        "knows_committed = state.is_leader",
    ),
}


def source_of(name: str) -> str:
    """Return the source of one of MODULES."""
    file = importlib.import_module(f"{PACKAGE}.{name}").__file__
    assert file is not None
    return Path(file).read_text()


@contextmanager
def restored_modules() -> Iterator[None]:
    """Restore all of MODULES in `sys.modules` on exit."""
    names = [f"{PACKAGE}.{name}" for name in MODULES]
    originals = {name: importlib.import_module(name) for name in names}
    try:
        yield
    finally:
        sys.modules.update(originals)


def mutant(rule: str) -> type[Replica]:
    """Return the replica class without a rule."""
    mutation = MUTATIONS[rule]
    count = source_of(mutation.module).count(mutation.old)
    assert count == 1, f"{rule}: {mutation.old!r} occurs {count} times in the source"
    sources = {name: source_of(name) for name in MODULES}
    sources[mutation.module] = sources[mutation.module].replace(mutation.old, mutation.new)
    with restored_modules():
        for name in MODULES:
            module = ModuleType(f"{PACKAGE}.{name}")
            sys.modules[module.__name__] = module
            code = compile(sources[name], f"<{name} without: {rule}>", "exec")
            exec(code, module.__dict__)
        mutated_class = sys.modules[f"{PACKAGE}.replica"].Replica
    assert isinstance(mutated_class, type) and mutated_class is not Replica
    return mutated_class


def draw_steps(seed: int, length: int = 60) -> list[Any]:
    """Draw steps for `test_properties.run_step` in which faults often hit the leader."""
    rng = random.Random(seed)
    kinds = ["propose to the leader"] * 6 + ["crash the leader"] * 3 + ["isolate the leader"] * 2
    kinds += [
        "restart",
        "heal",
        "heal",
        "restart all",
        "pause the leader",
        "wake",
        "crash",
        "kill",
        "run",
    ]
    kinds += ["cut", "break"]
    steps: list[Any] = []
    for _ in range(length):
        kind = rng.choice(kinds)
        step: tuple[Any, ...] = (kind,)
        if kind == "propose to the leader":
            step = kind, rng.choice("ab"), rng.randint(1, 4)
        elif kind == "crash the leader":
            step = kind, rng.randint(0, 6)
        elif kind in ("restart", "kill"):
            step = kind, rng.randint(0, 4)
        elif kind in ("cut", "break"):
            step = kind, rng.randint(0, 4), rng.randint(0, 4)
        elif kind == "crash":
            step = kind, rng.randint(0, 4), rng.randint(0, 6)
        elif kind == "run":
            step = kind, rng.choice([400.0, 1500.0, 4000.0])
        steps.append((step, rng.choice([0.0, 5.0, 20.0, 100.0, 1200.0, 2500.0])))
    return steps
