"""Records a rainy Saturday on loopback: a fleet near its capacity, a quarter of it slow, one server
silent at times, one that fails, one that leaves and comes back cold, and a few rides that everybody
asks about.

`python -m standins.saturday OUT.bcap` plays it on sockets and keeps the node's capture of it.
"""  # noqa: D205  -- the help text prints it

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
from standins.traffic import draw_arrivals, send_arrivals, served_share

SERVER_COUNT = 8
# Near the capacity of the fleet while a quarter of it is slow.
RATE_PER_S = 210.0
RIDE_COUNT = 60


async def inject_faults(fleet: Fleet, seconds: float) -> None:
    """Inject the faults of the day, at fixed shares of its length."""
    slow, silent, failing, leaving = (
        fleet.servers[:2],
        fleet.servers[2],
        fleet.servers[3],
        fleet.servers[4],
    )
    step = seconds / 6
    await asyncio.sleep(step)
    for server in slow:
        server.service_time_factor = 4.0
    silent.silent_share, failing.error_share = 0.3, 0.6
    await asyncio.sleep(2 * step)
    await fleet.drain(leaving)
    await asyncio.sleep(step)
    await fleet.leave(leaving)
    silent.silent_share = failing.error_share = 0.0
    await asyncio.sleep(step / 2)
    await fleet.come_back(leaving)


async def record(output: Path, seconds: float, seed: int) -> str:
    """Play one day against a node and return a summary of the results.

    Raises OSError and RuntimeError.
    """
    fleet = await Fleet(SERVER_COUNT, seed).start()
    with tempfile.TemporaryDirectory() as folder:
        file, capture = Path(folder) / "saturday.toml", Path(folder) / "capture"
        capture.mkdir()
        text = operators_file(fleet.catalog.address)
        capture_settings = (
            f'[capture]\nfolder = "{capture}"\nsegment_bytes = {1 << 30}\nkeep_bytes = {1 << 32}\n'
        )
        file.write_text(text + capture_settings)
        node = NodeProcess(("http",))
        await node.start(file)
        faults = asyncio.ensure_future(inject_faults(fleet, seconds))
        try:
            results = await send_arrivals(
                node.fronts["http"], list(draw_arrivals(seed, RATE_PER_S, seconds, RIDE_COUNT))
            )
            await faults
        finally:
            faults.cancel()
            await node.stop()
            await fleet.stop()
        (segment,) = capture.iterdir()
        shutil.copyfile(segment, output)
    outcomes = Counter(result.outcome for result in results)
    return f"{len(results)} requests, worth served {served_share(results):.3f}, {dict(outcomes)}"


def main() -> int:
    """Run the program and return its exit code."""
    parser = argparse.ArgumentParser(prog="python -m standins.saturday", description=__doc__)
    parser.add_argument("output", type=Path, help="where the segment goes")
    parser.add_argument("--seconds", type=float, default=12.0, help="how long the day is (12)")
    parser.add_argument("--seed", type=int, default=1, help="of arrivals and servers (1)")
    chosen = parser.parse_args()
    try:
        summary = asyncio.run(record(chosen.output, chosen.seconds, chosen.seed))
    except (OSError, RuntimeError) as error:
        print(error, file=sys.stderr)
        return 1
    print(f"{chosen.output}: {summary}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
