"""Plays a trial's file with real processes and keeps what was seen."""

from __future__ import annotations

import statistics
import tempfile
from collections import Counter
from pathlib import Path
from typing import Any

from lab.stats import interval
from lab.trial import records
from lab.trial.checkers import find_violations
from lab.trial.script import TrialFile, play
from lab.trial.world import World


def summary(name: str, world: World, codes: dict[str, int]) -> dict[str, Any]:
    """What came of it, as plain data."""
    ends = Counter(asked.result.outcome for asked in world.sent_requests)
    asked = sum(a.result.arrival.kind.worth for a in world.sent_requests)
    took = sorted(a.result.took for a in world.sent_requests if a.result.outcome == "served")
    by_node = {
        node: [
            a.result.worth / a.result.arrival.kind.worth
            for a in world.sent_requests
            if a.node == node
        ]
        for node in world.nodes
    }
    shares = [statistics.fmean(worths) for worths in by_node.values() if worths]
    told = interval(shares) if len(shares) > 1 else None
    return {
        "name": name,
        "requests": len(world.sent_requests),
        "worth": sum(a.result.worth for a in world.sent_requests) / asked if asked else 0.0,
        "worth_by_node": {
            node: statistics.fmean(worths) for node, worths in by_node.items() if worths
        },
        "worth_interval": [told.low, told.high] if told is not None else None,
        "outcomes": dict(ends),
        "p50_ms": took[len(took) // 2] if took else 0.0,
        "p99_ms": took[len(took) * 99 // 100] if took else 0.0,
        "exits": codes,
        "broken": find_violations(world),
        "datagrams_lost": world.switch.dropped_datagrams,
    }


async def trial(file: TrialFile, results: Path) -> dict[str, Any]:
    """Play it, keep its records in a folder, and say what came of it."""
    with tempfile.TemporaryDirectory() as folder:
        world = await World(file.trial.shape(), Path(folder)).start()
        codes: dict[str, int] = {}
        try:
            await play(file, world)
        finally:
            codes = await world.stop()
        told = summary(file.trial.name, world, codes)
        records.write(world, results, told)
        return told
