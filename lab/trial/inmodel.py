"""A trial's file as a day of the model: the same shape, traffic and troubles, in virtual time. No
I/O.

What differs: the model's servers crash where a trial's only leave their list for a restart, its
nodes hear of changes within `NOTICE` ms, requests' keys follow Zipf's law, and a frozen node's own
timers go on.
"""

from __future__ import annotations

from typing import Any

from lab.settings import Day
from lab.trial.script import Befalls, TrialFile
from lab.trial.world import WORK
from standins.traffic import KINDS, TENANTS

NOTICE = 20.0  # ms, of the list to nodes on one machine
LOOPBACK = 0.1  # ms one way


def classes() -> list[dict[str, Any]]:
    told = []
    for kind in KINDS:
        low, high = WORK[kind.name]
        mean = (low + high) / 2
        spread = (high - low) / 12**0.5  # a uniform law's standard deviation
        told.append(
            {
                "name": kind.name, "share": kind.share, "work_ms": mean, "cv": spread / mean,
                "dist": "uniform", "aim_ms": kind.aim, "deadline_ms": kind.deadline, "worth": kind.worth,
                "effect": "keyed" if kind.keyed else "safe", "window_ms": 6000.0,
            }
        )  # fmt: skip
    return told


def trouble(told: Befalls, zones: tuple[str, ...]) -> dict[str, Any]:
    made = told.model_dump(include={"kind", "at_s", "for_s", "share", "size", "chance", "nodes"})
    if told.zone:
        made["zone"] = zones.index(told.zone)
    if told.to:
        made["to"] = zones.index(told.to)
    return made | {"zones": tuple(zones.index(zone) for zone in told.zones)}


def day_of(file: TrialFile) -> Day:
    """The model's day of a trial that was checked."""
    trial = file.trial
    plain: dict[str, Any] = {
        "experiment": {"name": trial.name, "seconds": max(trial.seconds, 1.0), "seeds": (trial.seed,)},
        "fleet": {
            "servers": trial.servers, "nodes": trial.nodes, "said": trial.said, "peers": trial.peers,
            "expect_s": 600.0, "zones": trial.plan or "off",
        },
        "kind": (
            {
                "cores": trial.cores, "queue": trial.queue, "cold_from": trial.cold_from,
                "ramp_ms": trial.ramp_ms,
            },
        ),
        "class": tuple(classes()),
        "arrivals": {"per_s": trial.per_s, "keys": 500},
        "net": {"zones": len(trial.zones), "same_ms": LOOPBACK, "cross_ms": LOOPBACK},
        "lists": {"notice_ms": NOTICE, "spread_ms": NOTICE / 2},
        "node": {"max_attempts": 3, "max_retry_after_ms": 600.0},
        "trouble": tuple(trouble(told, trial.zones) for told in file.trouble),
    }  # fmt: skip
    day = Day.model_validate(plain)
    quota = trial.quota / day.capacity
    plain["tenant"] = tuple({"name": n, "share": s, "quota": quota} for n, s in TENANTS.items())
    return Day.model_validate(plain)
