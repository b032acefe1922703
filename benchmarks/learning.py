"""What keeping what was learned costs: `python -m benchmarks.learning`.

For fleets of 100 to 10,000 servers and 100,000 keys: the time of a save and of a load, the bytes,
and the longest time that an event loop stood still while a save ran beside it (a timer of 1 ms, its
own noise given as `idle`).
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
SETTINGS = Settings(classes=CLASSES, key_affinity=True)
CONFIG = Config(
    "n", ("127.0.0.1", 0), ("127.0.0.1", 0), 1, 1024, {}, SETTINGS, {b"a": 0, b"b": 1}, {}, {"k": 0},
    {"z": 0}, 200.0, 15000.0,
)  # fmt: skip


def policy_of(servers: int, keys: int) -> Policy:
    policy = Policy(SETTINGS, 1)
    entries = [Endpoint(n, 0, 0, 0, EndpointState.READY, 2.0, 0.0) for n in range(1, servers + 1)]
    policy.handle(1.0, EndpointUpdate(UpdateKind.SNAPSHOT, 1, entries))
    for number, server in enumerate(policy.fleet.endpoints.by_id.values()):
        server.relative_latency, server.health[0].failure_rate = (
            1.0 + number % 7,
            (number % 10) / 10,
        )
    policy.key_traffic.counts = {n * 0x9E3779B97F4A7C15 % 2**63 + 1: 1.5 for n in range(keys)}
    return policy


class Pulse:
    """Rings every ms, and keeps the longest time between two rings."""

    def __init__(self) -> None:
        self.worst, self.last = 0.0, time.perf_counter()
        self.loop = asyncio.get_running_loop()
        self.ring()

    def ring(self) -> None:
        now = time.perf_counter()
        self.worst, self.last = max(self.worst, now - self.last), now
        self.timer = self.loop.call_later(0.001, self.ring)

    def take(self) -> float:
        worst, self.worst = self.worst, 0.0
        return worst * 1000


async def measure(servers: int, keys: int, folder: Path) -> str:
    policy, files = policy_of(servers, keys), store.Folder(folder)
    gc.collect()
    gc.freeze()  # as a node does after its start
    size = 0

    def write(memory: PolicyStatistics) -> None:
        nonlocal size

        data = snapshot.encode(
            snapshot.make_snapshot(memory, CONFIG, time.time() * 1000, 0.0, yield_interpreter)
        )
        size = len(data)
        store.save(files, data)

    pulse = Pulse()
    await asyncio.sleep(0.3)
    idle = pulse.take()
    begun = time.perf_counter()
    for _ in range(5):
        await asyncio.to_thread(write, export_statistics(policy))
    saved = (time.perf_counter() - begun) / 5 * 1000
    stall = pulse.take()
    pulse.timer.cancel()
    begun = time.perf_counter()
    kept = store.load(files).snapshot
    assert kept is not None
    import_statistics(
        Policy(SETTINGS, 2),
        decay_statistics(snapshot.extract_statistics(kept, CONFIG, 0.0), 1000.0, SETTINGS),
    )
    loaded = (time.perf_counter() - begun) * 1000
    return f"{servers:>7}{keys:>9}{saved:>10.1f}{loaded:>10.1f}{size:>10}{stall:>10.1f}{idle:>8.1f}"


async def all_of(sizes: list[tuple[int, int]]) -> None:
    print(
        f"{'servers':>7}{'keys':>9}{'save ms':>10}{'load ms':>10}{'bytes':>10}{'stall ms':>10}{'idle':>8}"
    )
    for servers, keys in sizes:
        with tempfile.TemporaryDirectory() as folder:
            print(await measure(servers, keys, Path(folder)))


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m benchmarks.learning", description=__doc__)
    parser.add_argument("--keys", type=int, default=100_000, help="of the largest runs (100,000)")
    chosen = parser.parse_args()
    asyncio.run(
        all_of([(100, 0), (1000, 0), (1000, chosen.keys), (10_000, 0), (10_000, chosen.keys)])
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
