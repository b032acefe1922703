"""What a configuration costs a node: reading it, holding it against the one in force, and taking it
over.

Two forms: the platform's file (JSON, by SIGHUP) and an operator's (TOML). A route is a class today,
so classes grow to the target's routes. The program refuses over `MAX_TENANTS` and `MAX_CLASSES`;
the bounds are lifted here, so that the slopes show what they stand for. Where the next measurement
may take over `PATIENCE`, larger sizes are left out and the slope has to do. Times are of the
thread's processor.
"""

from __future__ import annotations

import json
import sys
import tempfile
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

from badgercart.app import file as operators
from badgercart.config import Config, read_config, reload_config
from badgercart.policy import Policy
from badgercart.policy.events import EndpointUpdate, UpdateKind
from badgercart.reload import checks
from badgercart.reload.reconfiguration import IndexesInUse, reconfigure
from badgercart.simulator.settings_reader import read_settings
from benchmarks.scale.fit import Point, doublings
from benchmarks.scale.policy import TENANTS, Found, entry, in_a_child, resident
from benchmarks.scale.report import Series

ROUTES = 43_000  # the target
PATIENCE = 10.0  # s
FLEET = 10  # servers that the policy has as it takes new settings


def raw(classes: int, tenants: int) -> dict[str, Any]:
    """The platform's file."""
    terms = [
        {"Name": f"route-{number:05d}", "Aim": 400.0, "Deadline": 1000.0, "Idempotency": "free",
         "Worth": 1.0 + number % 7, "Group": "all", "SerialByKey": False}
        for number in range(classes)
    ]  # fmt: skip
    customers = [
        {"Name": f"tenant-{number:06d}", "QuotaPerS": 5.0, "Portion": 0.1}
        for number in range(tenants)
    ]
    settings = {
        "Allowed": {"MaxAttempts": 3, "MaxRetryAfter": 2000.0, "RetryAfter": True, "DialTimeout": 200.0,
                    "ConnIdle": 15000.0, "MayCancel": True},
        "Classes": terms, "Customers": customers, "Discovery": "ask", "Tick": 1.0,
        "Obligations": {"DrainGrace": 500.0, "ColdFrom": 0.3, "RampTime": 8000.0},
        "Azs": [f"zone-{number}" for number in range(11)], "Kinds": [f"kind-{number}" for number in range(3)],
        "OverShareWorth": 0.05, "GroupSize": 10, "Me": 3, "MyZone": 1,
    }  # fmt: skip
    return {
        "name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": settings,
    }  # fmt: skip


def toml(classes: int, tenants: int) -> str:
    """An operator's file."""
    lines = [
        '[node]\nname = "n0"\n[members]\ncatalog = "127.0.0.1:1"\n[fronts.http]\nlisten = "127.0.0.1:0"'
    ]
    lines += [
        f'[[class]]\nname = "route-{number:05d}"\naim_ms = 400\ndeadline_ms = 1000\n'
        'worth = 1\neffect = "safe"'
        for number in range(classes)
    ]
    lines += [
        f'[[tenant]]\nname = "tenant-{number:06d}"\nquota_per_s = 5' for number in range(tenants)
    ]
    return "\n".join(lines) + "\n"


def config(classes: int, tenants: int) -> Config:
    with tempfile.TemporaryDirectory() as folder, unbounded():
        path = Path(folder) / "config.json"
        path.write_text(json.dumps(raw(classes, tenants)))
        return read_config({"ROUTER_CONFIG": str(path)})


@contextmanager
def unbounded() -> Iterator[None]:
    """The program's bounds lifted."""
    before = checks.MAX_CLASSES, checks.MAX_TENANTS
    checks.MAX_CLASSES = checks.MAX_TENANTS = 1 << 30
    try:
        yield
    finally:
        checks.MAX_CLASSES, checks.MAX_TENANTS = before


class Sizes:
    """Series over one size, each of which ends where it takes too long."""

    def __init__(self, over: str, **fixed: float) -> None:
        self.found = Found(over, **fixed)
        self.given_up: set[str] = set()

    def spend(self, name: str, size: int, call: Callable[[], Any], times: int = 3) -> Any:
        """The least of some runs, in us; None where it was given up."""
        if name in self.given_up:
            return None
        costs: list[float] = []
        result = None
        while not costs or (len(costs) < times and sum(costs) < PATIENCE / 4 * 1e6):
            begun = time.thread_time_ns()
            result = call()
            costs.append((time.thread_time_ns() - begun) / 1000)
        self.found.note(name, "us", "least", size, min(costs))
        if min(costs) > PATIENCE / 4 * 1e6:  # twice the size may take four times as long
            self.given_up.add(name)
            print(f"configuration: {name} is given up beyond {size}", file=sys.stderr)
        return result


def at(sizes: Sizes, size: int, classes: int, tenants: int, folder: Path) -> None:
    path = folder / "config.json"
    whole = raw(classes, tenants)
    path.write_text(json.dumps(whole))
    environ = {"ROUTER_CONFIG": str(path)}
    data, settings = path.read_bytes(), json.dumps(whole["settings"]).encode()
    sizes.found.note("platform's file", "bytes", "one", size, len(data))
    sizes.spend("JSON", size, lambda: checks.load(data))
    sizes.spend("check", size, lambda: list(checks.faults(whole, whole)))
    sizes.spend("settings", size, lambda: read_settings(settings))
    old = sizes.spend("start: read whole", size, lambda: read_config(environ))
    if old is not None:
        new = sizes.spend("reload: read and check", size, lambda: reload_config(environ, old))
        if new is not None and (
            told := sizes.spend(
                "reload: renumber", size, lambda: reconfigure(old, new, IndexesInUse())
            )
        ):
            give_policy(sizes, size, old, told[1])
    file = folder / "file.toml"
    file.write_text(toml(classes, tenants))
    sizes.found.note("operator's file", "bytes", "one", size, file.stat().st_size)
    sizes.spend(
        "operator's file: read and check",
        size,
        lambda: operators.load_installation(str(file), {}),
        1,
    )


def give_policy(sizes: Sizes, size: int, old: Config, event: Any) -> None:
    """The policy takes the new settings; it may cost the square of the classes."""
    if "reload: policy" in sizes.given_up:
        return
    policy = Policy(old.settings, 1)
    policy.handle(
        1.0, EndpointUpdate(UpdateKind.SNAPSHOT, 1, [entry(number) for number in range(FLEET)])
    )
    sizes.spend("reload: policy", size, lambda: policy.handle(2.0, event))


def grown(classes: int, tenants: int) -> int:
    """Bytes that a configuration takes in this process, the file's tables included: a node keeps
    them."""
    before = resident()
    kept = config(classes, tenants)
    assert len(kept.tenants) == tenants
    return resident() - before


def measure(most: int | None) -> list[Series]:
    series: list[Series] = []
    for over, target, least in (("tenants", TENANTS, 1000), ("classes", ROUTES, 10)):
        largest = target if most is None else min(target, most)
        fixed = {"classes": 3.0} if over == "tenants" else {"tenants": 0.0}
        bound = checks.MAX_TENANTS if over == "tenants" else checks.MAX_CLASSES
        sizes = Sizes(over, bound=bound, **fixed)
        points: list[Point] = []
        for size in doublings(min(least, largest), largest):
            counts = (3, size) if over == "tenants" else (size, 0)
            with tempfile.TemporaryDirectory() as folder, unbounded():
                at(sizes, size, *counts, Path(folder))
            if size >= 5000 or size == largest:
                call = f"from benchmarks.scale.configuration import grown; print(grown{counts})"
                points.append((size, in_a_child(call)))
            print(f"configuration: {size} {over}", file=sys.stderr, flush=True)
        series += [
            *sizes.found.series(),
            Series("memory, peak of reading", "bytes", over, "one", points, fixed),
        ]
    return series
