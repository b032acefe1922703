"""Records a rainy Saturday on loopback: a fleet near its capacity, a quarter of it slow, one server
silent at times, one that fails, one that leaves and comes back cold, and a few rides that everybody
asks about.

`python -m standins.saturday OUT.bcap` plays it on sockets and keeps the node's capture of it."""

from __future__ import annotations

import argparse
import asyncio
import shutil
import sys
import tempfile
from collections import Counter
from pathlib import Path

from standins.demo import NodeProcess
from standins.fleet import Fleet, operators_file
from standins.traffic import arrivals, play, served_share

SERVERS = 8
RATE = 210.0  # requests a second, near what the fleet can do while a quarter of it is slow
RIDES = 60


async def trouble(fleet: Fleet, seconds: float) -> None:
    """What befalls the fleet, in shares of the time."""
    slow, silent, failing, leaving = (
        fleet.servers[:2],
        fleet.servers[2],
        fleet.servers[3],
        fleet.servers[4],
    )
    step = seconds / 6
    await asyncio.sleep(step)
    for server in slow:
        server.slowness = 4.0
    silent.silent, failing.failing = 0.3, 0.6
    await asyncio.sleep(2 * step)
    await fleet.drain(leaving)
    await asyncio.sleep(step)
    await fleet.leave(leaving)
    silent.silent = failing.failing = 0.0
    await asyncio.sleep(step / 2)
    await fleet.come_back(leaving)


async def record(output: Path, seconds: float, seed: int) -> str:
    """Play one day against a node; what came of it, in words. Raises OSError and RuntimeError."""
    fleet = await Fleet(SERVERS, seed).start()
    with tempfile.TemporaryDirectory() as folder:
        file, kept = Path(folder) / "saturday.toml", Path(folder) / "capture"
        kept.mkdir()
        text = operators_file(fleet.catalog.address)
        more = f'[capture]\nfolder = "{kept}"\nsegment_bytes = {1 << 30}\nkeep_bytes = {1 << 32}\n'
        file.write_text(text + more)
        node = NodeProcess(("http",))
        await node.start(file)
        troubles = asyncio.ensure_future(trouble(fleet, seconds))
        try:
            results = await play(node.fronts["http"], list(arrivals(seed, RATE, seconds, RIDES)))
            await troubles
        finally:
            troubles.cancel()
            await node.stop()
            await fleet.stop()
        (segment,) = kept.iterdir()
        shutil.copyfile(segment, output)
    ends = Counter(result.outcome for result in results)
    return f"{len(results)} requests, worth served {served_share(results):.3f}, {dict(ends)}"


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m standins.saturday", description=__doc__)
    parser.add_argument("output", type=Path, help="where the segment goes")
    parser.add_argument("--seconds", type=float, default=12.0, help="how long the day is (12)")
    parser.add_argument("--seed", type=int, default=1, help="of arrivals and servers (1)")
    chosen = parser.parse_args()
    try:
        told = asyncio.run(record(chosen.output, chosen.seconds, chosen.seed))
    except (OSError, RuntimeError) as error:
        print(error, file=sys.stderr)
        return 1
    print(f"{chosen.output}: {told}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
