"""Measure the simulation speed of the lab: `python -m benchmarks.lab`.

Simulates a day with 100 servers under the real policy and under random selection, which decides
almost nothing. Prints the simulated requests per second of one core for both, and the share of the
time that the request pipeline and the policy take, which is the difference. `--large` also simulates
10,000 servers and 10 nodes for 60 s, and prints time and memory.
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


def make_day(servers: int, nodes: int, duration_s: float, rate_per_s: float) -> Day:
    """Return a day of the lab with servers that start cold and two request classes."""
    return Day.model_validate(
        {
            "experiment": {"name": "speed", "seconds": duration_s},
            "fleet": {"servers": servers, "nodes": nodes, "warm_gain": 0.3},
            "kind": [{"name": "k", "cores": 2, "cold_from": 0.4, "ramp_ms": 5000.0}],
            "class": CLASSES,
            "arrivals": {"per_s": rate_per_s},
        }
    )


def main() -> int:
    """Run the benchmark that the command line asks for."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.lab", description=__doc__)
    parser.add_argument("--seconds", type=float, default=12.0, help="of the small day (12)")
    parser.add_argument(
        "--large", action="store_true", help="also 10,000 servers and 10 nodes for 60 s"
    )
    parser.add_argument(
        "--large-rate", type=float, default=10_000.0, help="its requests a second (10,000)"
    )
    arguments = parser.parse_args()
    small_day = make_day(100, 4, arguments.seconds, 1800.0)
    requests_per_s = {}
    for policy in ("badgercart", "random"):
        result = simulate_day(small_day, policy, 1)
        requests_per_s[policy] = result["requests"] / result["spent_s"]
        print(
            f"{policy}: {requests_per_s[policy]:.0f} requests a second of a core, worth in time {result['share']:.3f}"
        )
    print(
        f"the policy takes {1 - requests_per_s['badgercart'] / requests_per_s['random']:.2f} of a day's time"
    )
    if arguments.large:
        started_at = time.perf_counter()
        result = simulate_day(make_day(10_000, 10, 60.0, arguments.large_rate), "badgercart", 1)
        elapsed_s = time.perf_counter() - started_at
        peak_mib = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss >> 10
        print(
            f"10,000 servers, 10 nodes, 60 s, {result['requests']} requests: {elapsed_s:.0f} s, {peak_mib} MiB, "
            f"worth in time {result['share']:.3f}, breaches {sum(result['breaches'].values())}"
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
