"""One client at full speed: the others get their answers in time."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

import pytest

from standins.flood import FLOODS
from tests.net import run
from tests.pressure.support import deployed, probe

FLOOD_S = 3.0
# The shortest aim of the settings.
MAX_WAIT_S = 0.58
MEMORY_LIMIT_BYTES = 96_000_000


@pytest.mark.parametrize("kind", FLOODS)
def test_one_client_at_full_speed_does_not_delay_the_others(kind: str, tmp_path: Path) -> None:
    async def test() -> None:
        async with deployed(tmp_path) as deployment:
            node = deployment.node
            flood = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "standins.flood", str(node.port), kind)
            )
            try:
                found = await probe(node.port, FLOOD_S)
            finally:
                flood.kill()
                await flood.wait()
            assert not found.failed and max(found.served_s) < MAX_WAIT_S, (found, node.lines)
            assert node.memory_bytes() < MEMORY_LIMIT_BYTES

    run(test())
