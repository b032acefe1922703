"""Measure the cost of a restart with and without a statistics file: `python -m benchmarks.restart`.

Runs a day near capacity on sockets, with a quarter of the servers slow, in five variants at once for
each seed: a node that never restarts; a node that restarts in the middle, without a file; the same
with its file; and, with other servers slow after the restart, without a file and with one that claims
to be an hour old. Prints the value served in the seconds after the restart, and how much of the loss
the file recovers.
"""

from __future__ import annotations

import argparse
import asyncio
import statistics
import sys
import tempfile
from pathlib import Path

import msgspec

from badgercart.statistics import snapshot, store
from standins.demo import NodeProcess
from standins.fleet import Fleet, operators_file
from standins.traffic import Arrival, draw_arrivals, send_arrivals, served_share

SERVERS = 8
BEFORE_RESTART_S = 8.0
AFTER_RESTART_S = 20.0
SLOW_FACTOR = 5.0
FILE_AGE_S = 3600.0
VARIANTS = (
    "never restarted",
    "without",
    "with its file",
    "others slow: without",
    "others slow: an hour old",
)


async def run_day(variant: str, seed: int, rate: float) -> float:
    """Return the share of the value that is served after the restart."""
    fleet = await Fleet(SERVERS, seed).start()
    slow, others = fleet.servers[:2], fleet.servers[4:6]
    for server in slow:
        server.service_time_factor = SLOW_FACTOR
    with tempfile.TemporaryDirectory() as folder:
        config_path, statistics_folder = (
            Path(folder) / "node.toml",
            Path(folder) / "kept",
        )
        statistics_folder.mkdir()
        text = operators_file(fleet.catalog.address)
        if variant in (VARIANTS[2], VARIANTS[4]):
            text += f'[learning]\nfolder = "{statistics_folder}"\nevery_s = 2\n'
        config_path.write_text(text)
        node = NodeProcess(("http",))
        await node.start(config_path)
        traffic = list(draw_arrivals(seed, rate, BEFORE_RESTART_S + AFTER_RESTART_S))
        traffic_before = [arrival for arrival in traffic if arrival.send_at_s < BEFORE_RESTART_S]
        traffic_after = [
            Arrival(
                arrival.send_at_s - BEFORE_RESTART_S,
                arrival.request_class,
                arrival.tenant,
                arrival.request_id,
                arrival.ride,
            )
            for arrival in traffic
            if arrival.send_at_s >= BEFORE_RESTART_S
        ]
        await send_arrivals(node.fronts["http"], traffic_before)
        if variant != VARIANTS[0]:
            await node.stop()
            if variant == VARIANTS[4]:
                backdate(statistics_folder, FILE_AGE_S)
            if variant in VARIANTS[3:]:
                for server in slow:
                    server.service_time_factor = 1.0
                for server in others:
                    server.service_time_factor = SLOW_FACTOR
            node = NodeProcess(("http",))
            await node.start(config_path)
        results = await send_arrivals(node.fronts["http"], traffic_after)
        await node.stop()
    await fleet.stop()
    return served_share(results)


def backdate(folder: Path, seconds: float) -> None:
    """Make the stored statistics claim to be older."""
    files = store.Folder(folder)
    stored = store.load(files).snapshot
    if stored is None:
        raise RuntimeError("the node stored no statistics")
    older = msgspec.structs.replace(stored, saved_ms=stored.saved_ms - seconds * 1000)
    store.save(files, snapshot.encode(older))


async def run_days(seeds: int, rate: float) -> dict[str, list[float]]:
    """Run all variants for each seed and return their shares of the value."""
    shares_by_variant: dict[str, list[float]] = {variant: [] for variant in VARIANTS}
    for seed in range(1, seeds + 1):
        shares = await asyncio.gather(*(run_day(variant, seed, rate) for variant in VARIANTS))
        for variant, share in zip(VARIANTS, shares, strict=True):
            shares_by_variant[variant].append(share)
        print(
            f"seed {seed}: "
            + ", ".join(
                f"{variant} {share:.3f}" for variant, share in zip(VARIANTS, shares, strict=True)
            )
        )
    return shares_by_variant


def main() -> int:
    """Run the benchmark that the command line asks for."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.restart", description=__doc__)
    parser.add_argument("--seeds", type=int, default=3, help="days (3)")
    parser.add_argument("--rate", type=float, default=130.0, help="requests a second (130)")
    arguments = parser.parse_args()
    shares_by_variant = asyncio.run(run_days(arguments.seeds, arguments.rate))
    never_restarted, without_file, with_file, others_without_file, others_with_old_file = (
        statistics.fmean(shares_by_variant[variant]) for variant in VARIANTS
    )
    loss = never_restarted - without_file
    print(f"a restart costs {loss:.4f} of worth; the file wins back {with_file - without_file:.4f}"
          + (f", {(with_file - without_file) / loss:.2f} of it" if loss > 0.002 else ""))  # fmt: skip
    print(
        f"other servers slow: without a file {others_without_file:.4f}, with one an hour old {others_with_old_file:.4f}"
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
