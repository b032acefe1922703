"""Demo of a network partition among three peer nodes, and of its healing.

The view that each node has of the others is printed as it changes. Run it by `./demo --peers` or
`python -m lab.trial.demo [--json]`; it takes some 15 s and ends by itself.
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

REFRESH_INTERVAL_S = 0.5
REQUESTS_PER_S = 90.0
TRAFFIC_S = 12.0
CUT_AT_S = 2.0
HEAL_AT_S = 7.0
MINORITY = ["n0"]
MAJORITY = ["n1", "n2"]


def row(world: World, name: str) -> str:
    """Return the line of one node: its level, its view of the others, and the request outcomes."""
    node = world.nodes[name]
    level = node.last_event("peers.level")
    views: dict[str, str] = {}
    for event in node.events:
        if event["event"] == "peers.changed":
            views[event["peer"]] = event["status"]
    served = Counter(
        request.result.outcome for request in world.sent_requests if request.node == name
    )
    others = ", ".join(f"{peer} {status}" for peer, status in sorted(views.items()))
    outcomes = ", ".join(f"{count} {outcome}" for outcome, count in sorted(served.items()))
    return f"  {name}  {level['standing']:6} {level['live']} of {level['may_live']}   {others:28} {outcomes}"


async def print_states(world: World, state: list[str]) -> None:
    """Print the state of all nodes repeatedly.

    On a terminal it is redrawn in place, else it is printed again when it has changed.
    """
    is_terminal, last = sys.stdout.isatty(), ""
    while True:
        rows = [f"now: {state[0]}", *(row(world, name) for name in world.nodes)]
        summary = "".join(line[:50] for line in rows)
        if is_terminal:
            print("\x1b[2J\x1b[H" + "\n".join(rows), flush=True)
        elif summary != last:
            print("\n".join(rows), flush=True)
        last = summary
        await asyncio.sleep(REFRESH_INTERVAL_S)


async def show(as_json: bool) -> int:
    """Run the demo; return 1 if a rule was broken."""
    with tempfile.TemporaryDirectory() as folder:
        world = await World(Shape(nodes=3), Path(folder)).start()
        state, levels = ["all three know each other"], []
        try:
            await world.wait_for_members(3)
            printer = None if as_json else asyncio.ensure_future(print_states(world, state))
            traffic = asyncio.ensure_future(world.send_traffic(REQUESTS_PER_S, TRAFFIC_S))
            await asyncio.sleep(CUT_AT_S)
            state[0] = (
                f"{MINORITY[0]} is cut off from {' and '.join(MAJORITY)}; servers and clients reach all"
            )
            world.split_groups(MINORITY, MAJORITY)
            await world.wait_for_common_levels(
                dict.fromkeys(MINORITY, "alone") | dict.fromkeys(MAJORITY, "most")
            )
            levels.append({name: world.last_level(name) for name in world.nodes})
            await asyncio.sleep(HEAL_AT_S - CUT_AT_S)
            state[0] = "the cut is healed"
            world.switch.heal()
            await world.wait_for_common_levels(dict.fromkeys(world.nodes, "whole"))
            levels.append({name: world.last_level(name) for name in world.nodes})
            await traffic
            await asyncio.sleep(REFRESH_INTERVAL_S)
            if printer is not None:
                printer.cancel()
        finally:
            await world.stop()
    violations = find_violations(world)
    outcomes = Counter(request.result.outcome for request in world.sent_requests)
    if as_json:
        print(json.dumps({"levels": levels, "outcomes": outcomes, "broken": violations}))
    else:
        print(
            f"{dict(outcomes)}; " + ("no rule broken" if not violations else "; ".join(violations))
        )
    return 1 if violations else 0


def main() -> int:
    """Run the demo with the command line's options."""
    parser = argparse.ArgumentParser(
        description="Three nodes that know each other, a cut and its healing."
    )
    parser.add_argument("--json", action="store_true", help="one line, once it is over")
    return asyncio.run(show(parser.parse_args().json))


if __name__ == "__main__":
    sys.exit(main())
