"""Shared parts of the tests with real processes: running a script on a world, and commands."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from badgercart.app.cli import main
from lab.trial.checkers import find_violations
from lab.trial.world import Shape, World

FORBIDDEN_EVENTS = ("library.message", "policy.failed")


def run_trial(folder: Path, shape: Shape, script: Callable[[World], Awaitable[None]]) -> World:
    """Run a script on a world.

    Afterwards no rule may be broken, and every node must have exited with 0 on SIGTERM.
    """

    async def run() -> World:
        world = await World(shape, folder).start()
        try:
            await script(world)
        finally:
            exit_codes = await world.stop()
        assert set(exit_codes.values()) <= {0}, exit_codes
        return world

    world = asyncio.run(run())
    assert find_violations(world) == []
    forbidden = [
        event
        for node in world.nodes.values()
        for event in node.events
        if event["event"] in FORBIDDEN_EVENTS
    ]
    assert not forbidden, forbidden[:3]
    return world


def command_runner(group: str, capsys: pytest.CaptureFixture[str]) -> Callable[..., str]:
    """Return a function that runs a command of a group and returns its output."""

    def run_command(*words: str) -> str:
        status = main([group, *words])
        captured = capsys.readouterr()
        assert status == 0, captured.err
        return captured.out

    return run_command
