"""How quickly the lab plays days: `python -m benchmarks.lab`.

One run plays a day of 100 servers under the real policy and under a peer that decides nearly
nothing, and prints simulated requests a second of one core for both, and the share of the time that
join and policy take (the difference). `--large` also plays 10,000 servers and 10 nodes for 60 s,
and prints time and memory.
"""

from __future__ import annotations

import argparse
import resource
import sys
import time

from lab.model import simulate_day
from lab.settings import Day

CLASSES = [
    {"name": "lookup", "share": 0.56, "work_ms": 70.0, "aim_ms": 580.0, "deadline_ms": 1400.0, "worth": 2.0},
    {"name": "assign", "share": 0.44, "work_ms": 90.0, "aim_ms": 750.0, "deadline_ms": 1900.0, "worth": 8.0,
     "effect": "keyed"},
]  # fmt: skip


def day(servers: int, nodes: int, seconds: float, per_s: float) -> Day:
    return Day.model_validate(
        {
            "experiment": {"name": "speed", "seconds": seconds},
            "fleet": {"servers": servers, "nodes": nodes, "warm_gain": 0.3},
            "kind": [{"name": "k", "cores": 2, "cold_from": 0.4, "ramp_ms": 5000.0}],
            "class": CLASSES,
            "arrivals": {"per_s": per_s},
        }
    )


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m benchmarks.lab", description=__doc__)
    parser.add_argument("--seconds", type=float, default=12.0, help="of the small day (12)")
    parser.add_argument(
        "--large", action="store_true", help="also 10,000 servers and 10 nodes for 60 s"
    )
    parser.add_argument(
        "--large-rate", type=float, default=10_000.0, help="its requests a second (10,000)"
    )
    chosen = parser.parse_args()
    small = day(100, 4, chosen.seconds, 1800.0)
    speeds = {}
    for policy in ("badgercart", "random"):
        told = simulate_day(small, policy, 1)
        speeds[policy] = told["requests"] / told["spent_s"]
        print(
            f"{policy}: {speeds[policy]:.0f} requests a second of a core, worth in time {told['share']:.3f}"
        )
    print(f"the policy takes {1 - speeds['badgercart'] / speeds['random']:.2f} of a day's time")
    if chosen.large:
        begun = time.perf_counter()
        told = simulate_day(day(10_000, 10, 60.0, chosen.large_rate), "badgercart", 1)
        spent = time.perf_counter() - begun
        peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss >> 10
        print(
            f"10,000 servers, 10 nodes, 60 s, {told['requests']} requests: {spent:.0f} s, {peak} MiB, "
            f"worth in time {told['share']:.3f}, breaches {sum(told['breaches'].values())}"
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
