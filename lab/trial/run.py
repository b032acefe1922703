"""Run a trial file with real processes and store its records."""

from __future__ import annotations

import statistics
import tempfile
from collections import Counter
from pathlib import Path
from typing import Any

from lab.stats import mean_interval
from lab.trial import records
from lab.trial.checkers import find_violations
from lab.trial.script import TrialFile, play
from lab.trial.world import World


def summary(name: str, world: World, exit_codes: dict[str, int]) -> dict[str, Any]:
    """Return the results of a trial as plain data."""
    outcomes = Counter(request.result.outcome for request in world.sent_requests)
    offered_worth = sum(
        request.result.arrival.request_class.worth for request in world.sent_requests
    )
    times_ms = sorted(
        request.result.response_time_ms
        for request in world.sent_requests
        if request.result.outcome == "served"
    )
    by_node = {
        node: [
            request.result.earned_worth / request.result.arrival.request_class.worth
            for request in world.sent_requests
            if request.node == node
        ]
        for node in world.nodes
    }
    node_shares = [statistics.fmean(worths) for worths in by_node.values() if worths]
    worth_interval = mean_interval(node_shares) if len(node_shares) > 1 else None
    return {
        "name": name,
        "requests": len(world.sent_requests),
        "worth": sum(request.result.earned_worth for request in world.sent_requests) / offered_worth
        if offered_worth
        else 0.0,
        "worth_by_node": {
            node: statistics.fmean(worths) for node, worths in by_node.items() if worths
        },
        "worth_interval": [worth_interval.low, worth_interval.high]
        if worth_interval is not None
        else None,
        "outcomes": dict(outcomes),
        "p50_ms": times_ms[len(times_ms) // 2] if times_ms else 0.0,
        "p99_ms": times_ms[len(times_ms) * 99 // 100] if times_ms else 0.0,
        "exits": exit_codes,
        "broken": find_violations(world),
        "datagrams_lost": world.switch.dropped_datagrams,
    }


async def run_trial(file: TrialFile, results: Path) -> dict[str, Any]:
    """Run a trial, store its records in a folder, and return its summary."""
    with tempfile.TemporaryDirectory() as folder:
        world = await World(file.trial.shape(), Path(folder)).start()
        exit_codes: dict[str, int] = {}
        try:
            await play(file, world)
        finally:
            exit_codes = await world.stop()
        trial_summary = summary(file.trial.name, world, exit_codes)
        records.write(world, results, trial_summary)
        return trial_summary
