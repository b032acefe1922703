"""A connection that is closed for another one shows its end at once."""

from __future__ import annotations

import asyncio
import socket
import time

from badgercart.frontends.http.connection_eviction import FIRST_BYTE_GRACE_S
from tests.net import ScriptedServer, run, running


def test_an_evicted_client_sees_the_end_before_the_node_does_anything_else() -> None:
    async def test() -> None:
        async with running(await ScriptedServer().start()) as stand:
            listener = stand.node.listener
            with socket.create_connection(listener.address) as sock:
                sock.settimeout(1.0)
                while not listener.new:
                    await asyncio.sleep(0)
                await asyncio.sleep(2 * FIRST_BYTE_GRACE_S)
                assert listener.evict_one()
                begun_s = time.monotonic()
                # The event loop does not run meanwhile: what is sent now could not be answered.
                assert sock.recv(1) == b"" and time.monotonic() - begun_s < 1.0

    run(test())
