"""Stores that break one rule each, made from the machine's own source, and plays drawn for them."""

from __future__ import annotations

import random
from pathlib import Path
from types import ModuleType
from typing import Any

from badgercart.distribution import store as whole
from badgercart.distribution.store import Store

# The rule that is broken: what stands in the source, what stands there instead.
RULES = {
    "entries of older terms are counted": (
        "index <= self.committed or self.term_at(index) != self.term",
        "index <= self.committed",
    ),
    "one vote a term": ('asked.term == self.term and self.voted in ("", source.name)', "True"),
    "a vote is kept": (
        "        if (self.term, self.voted) != before:\n            self.keep()\n",
        "",
    ),
    "a vote only for a log that holds ours": (
        "whole = (asked.last_term, asked.last_index) >= (self.term_at(self.last), self.last)",
        "whole = True",
    ),
    "more than half": (
        "return 2 * count > len(self.voters)",
        "return 2 * count >= len(self.voters) - 1",
    ),
    "more than half keep a change": (
        "index = sorted(places, reverse=True)[len(places) // 2]",
        "index = sorted(places, reverse=True)[0]",
    ),
    "a change is kept before it is said to be": (
        "            self.keep(change.index - 1, changes[at:])\n            break",
        "            self.log[change.index - 1 - self.base :] = changes[at:]\n            break",
    ),
    "the tail is replaced only where it differs": (
        "            if change.index <= self.last and self.term_at(change.index) == change.term:\n"
        "                continue\n",
        "",
    ),
    "only what the leader has told is in force": (
        "self.commit(min(committed, self.verified))",
        "self.commit(min(committed, self.last))",
    ),
    "a leader of an earlier term is not followed": (
        "        if term < self.term:\n",
        "        if term < self.term - 99:\n",
    ),
    "what stands behind a place told whole stays": (
        "            tail = self.log[told.index - self.base :]\n",
        "            tail = []\n",
    ),
    "a new term forgets what an earlier leader had told": (
        "            self.verified = self.committed\n            self.stage = None\n",
        "            self.stage = None\n",
    ),
    "the age goes by what was answered before": (
        "self.known = max(self.known, source.answered - told.age)",
        "self.known = self.now",
    ),
    "a leader's age goes by its lease": (
        "return max(0.0, now - (max(self.known, self.confirmed()) if sure else self.known))",
        "return 0.0 if self.leading else max(0.0, now - self.known)",
    ),
    "a new leader knows nothing before its first change is in force": (
        "sure = self.leading and self.committed >= self.first",
        "sure = self.leading",
    ),
}


def broken(rule: str) -> type[Store]:
    """The store without this rule."""
    assert whole.__file__ is not None
    source = Path(whole.__file__).read_text()
    old, new = RULES[rule]
    assert source.count(old) == 1, f"{rule}: {old!r} stands {source.count(old)} times in the source"
    module = ModuleType(whole.__name__)
    module.__dict__["__name__"] = whole.__name__
    exec(compile(source.replace(old, new), f"<without: {rule}>", "exec"), module.__dict__)
    made = module.__dict__["Store"]
    assert isinstance(made, type)
    return made


def draw(seed: int, length: int = 60) -> list[Any]:
    """Steps of `test_properties.step`, with the leader in trouble more often than by chance."""
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
    told: list[Any] = []
    for _ in range(length):
        kind = rng.choice(kinds)
        what: tuple[Any, ...] = (kind,)
        if kind == "propose to the leader":
            what = kind, rng.choice("ab"), rng.randint(1, 4)
        elif kind == "crash the leader":
            what = kind, rng.randint(0, 6)
        elif kind in ("restart", "kill"):
            what = kind, rng.randint(0, 4)
        elif kind in ("cut", "break"):
            what = kind, rng.randint(0, 4), rng.randint(0, 4)
        elif kind == "crash":
            what = kind, rng.randint(0, 4), rng.randint(0, 6)
        elif kind == "run":
            what = kind, rng.choice([400.0, 1500.0, 4000.0])
        told.append((what, rng.choice([0.0, 5.0, 20.0, 100.0, 1200.0, 2500.0])))
    return told
