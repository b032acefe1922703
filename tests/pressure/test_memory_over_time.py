"""Clients that come again for as long as the crowd lasts: the peak stays inside the limit."""

from __future__ import annotations

import asyncio
import signal
import socket
from pathlib import Path

import pytest

from lab.trial.platform_node import MEGABYTE, PlatformNode
from standins.returning_crowd import KINDS, ReturningCrowd
from tests.net import run
from tests.pressure.support import DESCRIPTOR_LIMIT, deployed

CLIENTS = 700
CROWD_S = 5.0
FORMS = {name: [name] for name in KINDS} | {"all": [*KINDS]}
# Memory that the process holds and no account knows.
BALLAST_BYTES = 18_000_000
BALLAST = (
    "import sys\n"
    f"ballast = bytearray(b'x') * {BALLAST_BYTES}\n"
    "from badgercart.__main__ import main\n"
    "sys.exit(main())\n"
)


def limits(memory_mb: int) -> dict[str, float]:
    """Return the limits of a node's configuration."""
    return {"cores": 1.0, "memory_mb": memory_mb, "sockets": DESCRIPTOR_LIMIT}


@pytest.mark.parametrize(("form", "limit_mb"), [(form, 64) for form in FORMS] + [("all", 80)])
def test_a_returning_crowd_does_not_take_the_process_over_its_limit(
    form: str, limit_mb: int, tmp_path: Path
) -> None:
    async def test() -> None:
        async with deployed(tmp_path, limits=limits(limit_mb)) as deployment:
            node = deployment.node
            crowd = await ReturningCrowd.start(node.port, CLIENTS, 1, *FORMS[form])
            try:
                await asyncio.sleep(CROWD_S)
            finally:
                await crowd.stop()
            assert node.memory_bytes("VmHWM") < limit_mb * MEGABYTE

    run(test())


@pytest.mark.parametrize("form", ["half-bodies", "requests-ahead", "slow-readers"])
def test_memory_that_no_account_knows_leaves_the_process_inside_its_limit(
    form: str, tmp_path: Path
) -> None:
    async def test() -> None:
        command = ("-c", BALLAST)
        async with deployed(tmp_path, command, limits=limits(64)) as deployment:
            node = deployment.node
            crowd = await ReturningCrowd.start(node.port, CLIENTS, 1, form)
            try:
                await asyncio.sleep(CROWD_S)
            finally:
                await crowd.stop()
            assert node.memory_bytes("VmHWM") < 64 * MEGABYTE

    run(test())


def resident_bytes(nodes: list[PlatformNode]) -> int:
    """Return what the running processes have resident together."""
    return sum(node.memory_bytes("VmRSS") for node in nodes if node.running)


def test_both_processes_of_an_upgrade_stay_inside_one_limit(tmp_path: Path) -> None:
    async def test() -> None:
        async with deployed(tmp_path / "list") as deployment:
            listening = socket.create_server(("127.0.0.1", 0), backlog=DESCRIPTOR_LIMIT)
            config = dict(deployment.node.config) | {"limits": limits(80)}
            old = await PlatformNode(tmp_path, config, listening=listening).start()
            crowd = await ReturningCrowd.start(
                listening.getsockname()[1], CLIENTS, 1, "half-bodies"
            )
            nodes = [old]
            try:
                await asyncio.sleep(CROWD_S)
                nodes.append(await PlatformNode(tmp_path, config, listening=listening).start())
                old.signal(signal.SIGTERM)
                peak_bytes = 0
                while old.running:
                    peak_bytes = max(peak_bytes, resident_bytes(nodes))
                    await asyncio.sleep(0.01)
            finally:
                await crowd.stop()
                for node in nodes:
                    await node.kill()
                listening.close()
            assert peak_bytes < 80 * MEGABYTE

    run(test())
