"""What trials of real processes share: a world that is played by a script, and commands that are
asked."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from badgercart.app.cli import main
from lab.trial.checkers import find_violations
from lab.trial.world import Shape, World

FAULTS = ("library.message", "policy.failed")  # events that no node may say


def trial(folder: Path, shape: Shape, script: Callable[[World], Awaitable[None]]) -> World:
    """Play a script on a world; afterwards no rule may be broken, and every node must end by
    SIGTERM."""

    async def run() -> World:
        world = await World(shape, folder).start()
        try:
            await script(world)
        finally:
            codes = await world.stop()
        assert set(codes.values()) <= {0}, codes
        return world

    world = asyncio.run(run())
    assert find_violations(world) == []
    faults = [e for node in world.nodes.values() for e in node.events if e["event"] in FAULTS]
    assert not faults, faults[:3]
    return world


def saying(group: str, capsys: pytest.CaptureFixture[str]) -> Callable[..., str]:
    """Calls commands of a group and gives what they say."""

    def said(*words: str) -> str:
        status = main([group, *words])
        told = capsys.readouterr()
        assert status == 0, told.err
        return told.out

    return said
