"""A trial file as an experiment of the model: the same shape, traffic and faults in virtual time.

No I/O. The differences: on a restart, the model's servers crash where a trial's servers only leave
the endpoint list; its nodes receive list changes within `LIST_NOTICE_MS`; the keys of its requests
follow Zipf's law; and the timers of a frozen node continue.
"""

from __future__ import annotations

from typing import Any

from lab.settings import Day
from lab.trial.script import InjectedFault, TrialFile
from lab.trial.world import WORK_MS
from standins.traffic import REQUEST_CLASSES, TENANTS

LIST_NOTICE_MS = 20.0  # from the endpoint list to nodes on the same machine
LOOPBACK_DELAY_MS = 0.1  # one way


def request_classes() -> list[dict[str, Any]]:
    """Return the request classes of the trials' traffic as tables of the model."""
    tables = []
    for request_class in REQUEST_CLASSES:
        low, high = WORK_MS[request_class.name]
        mean = (low + high) / 2
        spread = (high - low) / 12**0.5  # standard deviation of a uniform distribution
        tables.append(
            {
                "name": request_class.name, "share": request_class.share, "work_ms": mean,
                "cv": spread / mean, "dist": "uniform", "aim_ms": request_class.aim_ms,
                "deadline_ms": request_class.deadline_ms, "worth": request_class.worth,
                "effect": "keyed" if request_class.keyed else "safe", "window_ms": 6000.0,
            }
        )  # fmt: skip
    return tables


def model_fault(fault: InjectedFault, zones: tuple[str, ...]) -> dict[str, Any]:
    """Return an injected fault as a table of the model."""
    table = fault.model_dump(include={"kind", "at_s", "for_s", "share", "size", "chance", "nodes"})
    if fault.zone:
        table["zone"] = zones.index(fault.zone)
    if fault.to:
        table["to"] = zones.index(fault.to)
    return table | {"zones": tuple(zones.index(zone) for zone in fault.zones)}


def day_of(file: TrialFile) -> Day:
    """Return the model's experiment for a validated trial."""
    trial = file.trial
    settings: dict[str, Any] = {
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
        "class": tuple(request_classes()),
        "arrivals": {"per_s": trial.per_s, "keys": 500},
        "net": {"zones": len(trial.zones), "same_ms": LOOPBACK_DELAY_MS, "cross_ms": LOOPBACK_DELAY_MS},
        "lists": {"notice_ms": LIST_NOTICE_MS, "spread_ms": LIST_NOTICE_MS / 2},
        "node": {"max_attempts": 3, "max_retry_after_ms": 600.0},
        "trouble": tuple(model_fault(fault, trial.zones) for fault in file.trouble),
    }  # fmt: skip
    day = Day.model_validate(settings)
    quota = trial.quota / day.capacity_per_s
    settings["tenant"] = tuple(
        {"name": name, "share": share, "quota": quota} for name, share in TENANTS.items()
    )
    return Day.model_validate(settings)
