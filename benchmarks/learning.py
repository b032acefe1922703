"""Measure the cost of storing policy statistics: `python -m benchmarks.learning`.

For fleets of 100 to 10,000 servers and up to 100,000 keys, prints the time of a save and of a load,
the number of bytes, and the longest stall of the event loop while a save runs beside it. A timer of
1 ms detects stalls; its own noise without a save is in the column `idle`.
"""

from __future__ import annotations

import argparse
import asyncio
import gc
import sys
import tempfile
import time
from pathlib import Path

from badgercart.config import Config
from badgercart.policy.endpoint import Endpoint, EndpointState
from badgercart.policy.events import EndpointUpdate, UpdateKind
from badgercart.policy.policy import Policy
from badgercart.policy.settings import Idempotency, RequestClass, Settings
from badgercart.policy.statistics import PolicyStatistics, export_statistics, import_statistics
from badgercart.statistics import snapshot, store
from badgercart.statistics.ageing import decay_statistics
from badgercart.statistics.component import yield_interpreter

CLASSES = tuple(RequestClass(500.0 + n, 1500.0, 1.0, Idempotency.IDEMPOTENT) for n in range(2))
# The time of a save is the mean of this many.
SAVES = 5
SETTINGS = Settings(classes=CLASSES, key_affinity=True)
CONFIG = Config(
    "n", ("127.0.0.1", 0), ("127.0.0.1", 0), 1, 1024, {}, SETTINGS, {b"a": 0, b"b": 1}, {}, {"k": 0},
    {"z": 0}, 200.0, 15000.0,
)  # fmt: skip


def make_policy(servers: int, keys: int) -> Policy:
    """Return a policy that holds statistics of all servers and keys."""
    policy = Policy(SETTINGS, 1)
    entries = [Endpoint(n, 0, 0, 0, EndpointState.READY, 2.0, 0.0) for n in range(1, servers + 1)]
    policy.handle(1.0, EndpointUpdate(UpdateKind.SNAPSHOT, 1, entries))
    for index, server in enumerate(policy.fleet.endpoints.by_id.values()):
        server.relative_latency, server.health[0].failure_rate = (
            1.0 + index % 7,
            (index % 10) / 10,
        )
    policy.key_traffic.counts = {n * 0x9E3779B97F4A7C15 % 2**63 + 1: 1.5 for n in range(keys)}
    return policy


class StallTimer:
    """A timer of 1 ms that records the longest interval between two of its calls."""

    def __init__(self) -> None:
        self.longest_s, self.last_at = 0.0, time.perf_counter()
        self.loop = asyncio.get_running_loop()
        self.on_timer()

    def on_timer(self) -> None:
        """Record the interval since the last call and start the timer again."""
        now = time.perf_counter()
        self.longest_s, self.last_at = max(self.longest_s, now - self.last_at), now
        self.handle = self.loop.call_later(0.001, self.on_timer)

    def reset(self) -> float:
        """Return the longest interval in ms and start over."""
        longest_s, self.longest_s = self.longest_s, 0.0
        return longest_s * 1000


async def measure(servers: int, keys: int, folder: Path) -> str:
    """Measure one size and return its table row."""
    policy, files = make_policy(servers, keys), store.Folder(folder)
    # A node freezes its objects in the same way after its start.
    gc.collect()
    gc.freeze()
    size = 0

    def write(statistics: PolicyStatistics) -> None:
        nonlocal size

        data = snapshot.encode(
            snapshot.make_snapshot(statistics, CONFIG, time.time() * 1000, 0.0, yield_interpreter)
        )
        size = len(data)
        store.save(files, data)

    timer = StallTimer()
    await asyncio.sleep(0.3)
    idle_ms = timer.reset()
    started_at = time.perf_counter()
    for _ in range(SAVES):
        await asyncio.to_thread(write, export_statistics(policy))
    save_ms = (time.perf_counter() - started_at) / SAVES * 1000
    stall_ms = timer.reset()
    timer.handle.cancel()
    started_at = time.perf_counter()
    stored = store.load(files).snapshot
    assert stored is not None
    import_statistics(
        Policy(SETTINGS, 2),
        decay_statistics(snapshot.extract_statistics(stored, CONFIG, 0.0), 1000.0, SETTINGS),
    )
    load_ms = (time.perf_counter() - started_at) * 1000
    return f"{servers:>7}{keys:>9}{save_ms:>10.1f}{load_ms:>10.1f}{size:>10}{stall_ms:>10.1f}{idle_ms:>8.1f}"


async def print_table(sizes: list[tuple[int, int]]) -> None:
    """Measure all sizes, as numbers of servers and keys, and print their table."""
    print(
        f"{'servers':>7}{'keys':>9}{'save ms':>10}{'load ms':>10}{'bytes':>10}{'stall ms':>10}{'idle':>8}"
    )
    for servers, keys in sizes:
        with tempfile.TemporaryDirectory() as folder:
            print(await measure(servers, keys, Path(folder)))


def main() -> int:
    """Run the benchmark that the command line asks for."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.learning", description=__doc__)
    parser.add_argument("--keys", type=int, default=100_000, help="of the largest runs (100,000)")
    arguments = parser.parse_args()
    asyncio.run(
        print_table(
            [(100, 0), (1000, 0), (1000, arguments.keys), (10_000, 0), (10_000, arguments.keys)]
        )
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
