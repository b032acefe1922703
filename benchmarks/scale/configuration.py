"""Costs of a configuration: reading it, comparing it with the one in force, and applying it.

There are two formats: the platform's file (JSON, reloaded by SIGHUP) and an operator's file (TOML).
A route is a request class today, so classes grow to the target's routes. The program rejects more
than `MAX_TENANTS` and `MAX_CLASSES`; these limits are lifted here, so that the slopes show what
they prevent. Where the next measurement might take longer than `MAX_MEASUREMENT_S`, larger sizes
are left out and the slope is extrapolated. Times are processor times of the thread.
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

from badgercart.app import file as operator_file
from badgercart.config import Config, read_config, reload_config
from badgercart.policy import Policy
from badgercart.policy.events import EndpointUpdate, UpdateKind
from badgercart.reload import checks
from badgercart.reload.reconfiguration import IndexesInUse, reconfigure
from badgercart.simulator.settings_reader import read_settings
from benchmarks.scale.fit import Point, doublings
from benchmarks.scale.policy import (
    TARGET_TENANTS,
    SeriesBuilder,
    make_endpoint,
    resident_bytes,
    run_in_child,
)
from benchmarks.scale.report import Series

TARGET_ROUTES = 43_000
MAX_MEASUREMENT_S = 10.0

# Servers of the policy that receives new settings.
FLEET_SERVERS = 10


def platform_document(classes: int, tenants: int) -> dict[str, Any]:
    """Return the content of the platform's file."""
    class_settings = [
        {
            "Name": f"route-{number:05d}",
            "Aim": 400.0,
            "Deadline": 1000.0,
            "Idempotency": "free",
            "Worth": 1.0 + number % 7,
            "Group": "all",
            "SerialByKey": False,
        }
        for number in range(classes)
    ]
    tenant_settings = [
        {"Name": f"tenant-{number:06d}", "QuotaPerS": 5.0, "Portion": 0.1}
        for number in range(tenants)
    ]
    settings = {
        "Allowed": {
            "MaxAttempts": 3,
            "MaxRetryAfter": 2000.0,
            "RetryAfter": True,
            "DialTimeout": 200.0,
            "ConnIdle": 15000.0,
            "MayCancel": True,
        },
        "Classes": class_settings,
        "Customers": tenant_settings,
        "Discovery": "ask",
        "Tick": 1.0,
        "Obligations": {"DrainGrace": 500.0, "ColdFrom": 0.3, "RampTime": 8000.0},
        "Azs": [f"zone-{number}" for number in range(11)],
        "Kinds": [f"kind-{number}" for number in range(3)],
        "OverShareWorth": 0.05,
        "GroupSize": 10,
        "Me": 3,
        "MyZone": 1,
    }
    return {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:1",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": settings,
    }


def operator_toml(classes: int, tenants: int) -> str:
    """Return the text of an operator's file."""
    lines = [
        '[node]\nname = "n0"\n[members]\ncatalog = "127.0.0.1:1"\n'
        '[fronts.http]\nlisten = "127.0.0.1:0"'
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


def make_config(classes: int, tenants: int) -> Config:
    """Return the configuration of a platform file, read without the limits."""
    with tempfile.TemporaryDirectory() as folder, limits_lifted():
        path = Path(folder) / "config.json"
        path.write_text(json.dumps(platform_document(classes, tenants)))
        return read_config({"ROUTER_CONFIG": str(path)})


@contextmanager
def limits_lifted() -> Iterator[None]:
    """Lift the program's limits on classes and tenants."""
    before = checks.MAX_CLASSES, checks.MAX_TENANTS
    checks.MAX_CLASSES = checks.MAX_TENANTS = 1 << 30
    try:
        yield
    finally:
        checks.MAX_CLASSES, checks.MAX_TENANTS = before


class BoundedSeries:
    """Series over one variable, each of which ends where measurements take too long.

    Attributes:
        builder: the series.
        stopped: the names of the series that have ended.
    """

    def __init__(self, over: str, **fixed: float) -> None:
        self.builder = SeriesBuilder(over, **fixed)
        self.stopped: set[str] = set()

    def measure(self, name: str, size: int, call: Callable[[], Any], repetitions: int = 3) -> Any:
        """Add the shortest processor time of some calls to a series.

        Returns:
            The result of the last call; None if the series has ended.
        """
        if name in self.stopped:
            return None
        costs_us: list[float] = []
        result = None
        while not costs_us or (
            len(costs_us) < repetitions and sum(costs_us) < MAX_MEASUREMENT_S / 4 * 1e6
        ):
            begun = time.thread_time_ns()
            result = call()
            costs_us.append((time.thread_time_ns() - begun) / 1000)
        self.builder.add(name, "us", "least", size, min(costs_us))
        # A doubled size may take four times as long.
        if min(costs_us) > MAX_MEASUREMENT_S / 4 * 1e6:
            self.stopped.add(name)
            print(f"configuration: {name} is not measured beyond {size}", file=sys.stderr)
        return result


def measure_size(sizes: BoundedSeries, size: int, classes: int, tenants: int, folder: Path) -> None:
    """Measure both files with so many classes and tenants."""
    path = folder / "config.json"
    document = platform_document(classes, tenants)
    path.write_text(json.dumps(document))
    environ = {"ROUTER_CONFIG": str(path)}
    data, settings = path.read_bytes(), json.dumps(document["settings"]).encode()
    sizes.builder.add("platform's file", "bytes", "one", size, len(data))
    sizes.measure("JSON", size, lambda: checks.load(data))
    sizes.measure("check", size, lambda: list(checks.faults(document, document)))
    sizes.measure("settings", size, lambda: read_settings(settings))
    old = sizes.measure("start: read whole", size, lambda: read_config(environ))
    if old is not None:
        new = sizes.measure("reload: read and check", size, lambda: reload_config(environ, old))
        if new is not None and (
            changes := sizes.measure(
                "reload: renumber", size, lambda: reconfigure(old, new, IndexesInUse())
            )
        ):
            measure_policy(sizes, size, old, changes[1])
    file = folder / "file.toml"
    file.write_text(operator_toml(classes, tenants))
    sizes.builder.add("operator's file", "bytes", "one", size, file.stat().st_size)
    sizes.measure(
        "operator's file: read and check",
        size,
        lambda: operator_file.load_installation(str(file), {}),
        1,
    )


def measure_policy(sizes: BoundedSeries, size: int, old: Config, event: Any) -> None:
    """Measure how the policy applies the new settings.

    This may cost the square of the number of classes, so the policy is not even built once the
    series has ended.
    """
    if "reload: policy" in sizes.stopped:
        return
    policy = Policy(old.settings, 1)
    policy.handle(
        1.0,
        EndpointUpdate(
            UpdateKind.SNAPSHOT, 1, [make_endpoint(number) for number in range(FLEET_SERVERS)]
        ),
    )
    sizes.measure("reload: policy", size, lambda: policy.handle(2.0, event))


def memory_growth(classes: int, tenants: int) -> int:
    """Return the bytes by which a configuration grows this process.

    They include the tables of the file, which a node keeps.
    """
    before = resident_bytes()
    config = make_config(classes, tenants)
    assert len(config.tenants) == tenants
    return resident_bytes() - before


def measure(max_size: int | None) -> list[Series]:
    """Return all series; `max_size` caps tenants and classes."""
    series: list[Series] = []
    for over, target, smallest in (
        ("tenants", TARGET_TENANTS, 1000),
        ("classes", TARGET_ROUTES, 10),
    ):
        largest = target if max_size is None else min(target, max_size)
        fixed = {"classes": 3.0} if over == "tenants" else {"tenants": 0.0}
        limit = checks.MAX_TENANTS if over == "tenants" else checks.MAX_CLASSES
        sizes = BoundedSeries(over, bound=limit, **fixed)
        points: list[Point] = []
        for size in doublings(min(smallest, largest), largest):
            counts = (3, size) if over == "tenants" else (size, 0)
            with tempfile.TemporaryDirectory() as folder, limits_lifted():
                measure_size(sizes, size, *counts, Path(folder))
            if size >= 5000 or size == largest:
                code = (
                    "from benchmarks.scale.configuration import memory_growth; "
                    f"print(memory_growth{counts})"
                )
                points.append((size, run_in_child(code)))
            print(f"configuration: {size} {over}", file=sys.stderr, flush=True)
        series += [
            *sizes.builder.build(),
            Series("memory, peak of reading", "bytes", over, "one", points, fixed),
        ]
    return series
