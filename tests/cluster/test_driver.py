"""Sockets of the driver at the end of the process."""

from __future__ import annotations

import asyncio
import random
from typing import Any

from badgercart.cluster.allowlist import AddressAllowlist
from badgercart.cluster.codec import PacketCodec
from badgercart.cluster.driver import ClusterDriver
from badgercart.cluster.membership_table import MembershipRecord, MemberStatus
from badgercart.cluster.packet_gate import PacketGate
from badgercart.cluster.swim import SwimProtocol
from badgercart.cluster.timing import Bootstrap, SwimTiming


def test_an_open_connection_at_process_end_logs_no_error() -> None:
    """The event loop must not log the cancelled task of an open connection as an error."""
    errors: list[dict[str, Any]] = []

    async def run() -> None:
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: errors.append(context))
        protocol = SwimProtocol(
            MembershipRecord("n0", 0, MemberStatus.ALIVE, ("127.0.0.1", 1), 1),
            SwimTiming(),
            Bootstrap(),
            random.Random(1),
        )
        codec, allowed = (
            PacketCodec("g", b"a secret of the test"),
            AddressAllowlist(("127.0.0.0/8",)),
        )
        driver = ClusterDriver(
            loop,
            loop.time,
            protocol,
            PacketGate(codec, allowed),
            ("127.0.0.1", 0),
            lambda effects: None,
        )
        await driver.start()
        _, writer = await asyncio.open_connection(*driver.listen)
        while not driver.server.connections:
            await asyncio.sleep(0)
        for task in asyncio.all_tasks() - {asyncio.current_task()}:
            task.cancel()  # as asyncio.run does at its end
        while driver.server.connections:
            await asyncio.sleep(0)
        await asyncio.sleep(0)
        writer.close()
        driver.close()

    asyncio.run(run())
    assert errors == []
