"""Three nodes that know each other, a cut and its healing: what each can vouch for, painted as it
changes.

`./demo --peers`, or `python -m lab.trial.demo [--json]`; it takes some 15 s and ends by itself.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
import tempfile
from collections import Counter
from pathlib import Path

from lab.trial.checkers import find_violations
from lab.trial.world import Shape, World

STEP = 0.5  # s between pictures
RATE, SECONDS = 90.0, 12.0
CUT_AT, HEAL_AT = 2.0, 7.0  # s
FEW, MANY = ["n0"], ["n1", "n2"]


def row(world: World, name: str) -> str:
    """One node: what it can vouch for, and what it makes of the others."""
    node = world.nodes[name]
    told = node.last_event("peers.level")
    views: dict[str, str] = {}
    for event in node.events:
        if event["event"] == "peers.changed":
            views[event["peer"]] = event["status"]
    served = Counter(asked.result.outcome for asked in world.sent_requests if asked.node == name)
    others = ", ".join(f"{peer} {status}" for peer, status in sorted(views.items()))
    ends = ", ".join(f"{count} {outcome}" for outcome, count in sorted(served.items()))
    return (
        f"  {name}  {told['standing']:6} {told['live']} of {told['may_live']}   {others:28} {ends}"
    )


async def paint(world: World, what: list[str]) -> None:
    """One picture after the other: in place on a terminal, else a new one where something
    changed."""
    live, last = sys.stdout.isatty(), ""
    while True:
        rows = [f"now: {what[0]}", *(row(world, name) for name in world.nodes)]
        shape = "".join(line[:50] for line in rows)
        if live:
            print("\x1b[2J\x1b[H" + "\n".join(rows), flush=True)
        elif shape != last:
            print("\n".join(rows), flush=True)
        last = shape
        await asyncio.sleep(STEP)


async def show(as_json: bool) -> int:
    """Play it; 1 where a rule was broken."""
    with tempfile.TemporaryDirectory() as folder:
        world = await World(Shape(nodes=3), Path(folder)).start()
        what, levels = ["all three know each other"], []
        try:
            await world.wait_for_members(3)
            painting = None if as_json else asyncio.ensure_future(paint(world, what))
            traffic = asyncio.ensure_future(world.send_traffic(RATE, SECONDS))
            await asyncio.sleep(CUT_AT)
            what[0], mark = (
                f"{FEW[0]} is cut off from {' and '.join(MANY)}; servers and clients reach all",
                world.event_counts(),
            )
            world.split_groups(FEW, MANY)
            await asyncio.gather(
                world.wait_for_level("alone", FEW, mark), world.wait_for_level("most", MANY, mark)
            )
            levels.append(
                {
                    name: node.last_event("peers.level")["standing"]
                    for name, node in world.nodes.items()
                }
            )
            await asyncio.sleep(HEAL_AT - CUT_AT)
            what[0], mark = "the cut is healed", world.event_counts()
            world.switch.heal()
            await world.wait_for_level("whole", FEW + MANY, mark)
            levels.append(
                {
                    name: node.last_event("peers.level")["standing"]
                    for name, node in world.nodes.items()
                }
            )
            await traffic
            await asyncio.sleep(STEP)
            if painting is not None:
                painting.cancel()
        finally:
            await world.stop()
    found = find_violations(world)
    outcomes = Counter(asked.result.outcome for asked in world.sent_requests)
    if as_json:
        print(json.dumps({"levels": levels, "outcomes": outcomes, "broken": found}))
    else:
        print(f"{dict(outcomes)}; " + ("no rule broken" if not found else "; ".join(found)))
    return 1 if found else 0


def main() -> int:
    parser = argparse.ArgumentParser(
        description="Three nodes that know each other, a cut and its healing."
    )
    parser.add_argument("--json", action="store_true", help="one line, once it is over")
    return asyncio.run(show(parser.parse_args().json))


if __name__ == "__main__":
    sys.exit(main())
