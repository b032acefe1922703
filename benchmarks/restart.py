"""What a restart costs, with and without what was learned: `python -m benchmarks.restart`.

One day near capacity with a quarter of the servers slow, on sockets, five ways at once for each
seed: a node that is never restarted; one that is restarted in the middle, without a file; with its
file; and, where other servers are slow after the restart, without a file and with one that says it
is an hour old. Prints the worth served in the seconds after the restart, and how much of the loss
the file wins back.
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
from standins.traffic import Arrival, arrivals, play, served_share

SERVERS = 8
BEFORE, AFTER = 8.0, 20.0  # s
WAYS = (
    "never restarted",
    "without",
    "with its file",
    "others slow: without",
    "others slow: an hour old",
)


async def day(way: str, seed: int, rate: float) -> float:
    """The share of worth served after the restart."""
    fleet = await Fleet(SERVERS, seed).start()
    slow, others = fleet.servers[:2], fleet.servers[4:6]
    for server in slow:
        server.slowness = 5.0
    with tempfile.TemporaryDirectory() as folder:
        file, kept = Path(folder) / "node.toml", Path(folder) / "kept"
        kept.mkdir()
        text = operators_file(fleet.catalog.address)
        if way in (WAYS[2], WAYS[4]):
            text += f'[learning]\nfolder = "{kept}"\nevery_s = 2\n'
        file.write_text(text)
        node = NodeProcess(("http",))
        await node.start(file)
        coming = list(arrivals(seed, rate, BEFORE + AFTER))
        first = [one for one in coming if one.at < BEFORE]
        rest = [
            Arrival(o.at - BEFORE, o.kind, o.tenant, o.name, o.ride)
            for o in coming
            if o.at >= BEFORE
        ]
        await play(node.fronts["http"], first)
        if way != WAYS[0]:
            await node.stop()
            if way == WAYS[4]:
                age(kept, 3600.0)
            if way in WAYS[3:]:
                for server in slow:
                    server.slowness = 1.0
                for server in others:
                    server.slowness = 5.0
            node = NodeProcess(("http",))
            await node.start(file)
        results = await play(node.fronts["http"], rest)
        await node.stop()
    await fleet.stop()
    return served_share(results)


def age(folder: Path, seconds: float) -> None:
    """Have a kept file say that it is older."""
    files = store.Folder(folder)
    kept = store.load(files).snapshot
    if kept is None:
        raise RuntimeError("the node kept nothing")
    older = msgspec.structs.replace(kept, saved_ms=kept.saved_ms - seconds * 1000)
    store.save(files, snapshot.encode(older))


async def run(seeds: int, rate: float) -> dict[str, list[float]]:
    found: dict[str, list[float]] = {way: [] for way in WAYS}
    for seed in range(1, seeds + 1):
        shares = await asyncio.gather(*(day(way, seed, rate) for way in WAYS))
        for way, share in zip(WAYS, shares, strict=True):
            found[way].append(share)
        print(
            f"seed {seed}: " + ", ".join(f"{w} {s:.3f}" for w, s in zip(WAYS, shares, strict=True))
        )
    return found


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m benchmarks.restart", description=__doc__)
    parser.add_argument("--seeds", type=int, default=3, help="days (3)")
    parser.add_argument("--rate", type=float, default=130.0, help="requests a second (130)")
    chosen = parser.parse_args()
    found = asyncio.run(run(chosen.seeds, chosen.rate))
    never, without, kept, plain, old = (statistics.fmean(found[way]) for way in WAYS)
    loss = never - without
    print(f"a restart costs {loss:.4f} of worth; the file wins back {kept - without:.4f}"
          + (f", {(kept - without) / loss:.2f} of it" if loss > 0.002 else ""))  # fmt: skip
    print(f"other servers slow: without a file {plain:.4f}, with one an hour old {old:.4f}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
