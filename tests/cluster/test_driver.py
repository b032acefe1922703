"""The driver's sockets: what ends with the process says nothing."""

from __future__ import annotations

import asyncio
import random
from typing import Any

from badgercart.cluster.codec import Codec
from badgercart.cluster.driver import Allowed, Driver
from badgercart.cluster.membership_table import MembershipRecord, Status
from badgercart.cluster.swim import SwimProtocol, Timing


def test_a_connection_that_waits_as_the_process_ends_is_no_fault() -> None:
    said: list[dict[str, Any]] = []

    async def run() -> None:
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: said.append(context))
        machine = SwimProtocol(
            MembershipRecord("n0", 0, Status.ALIVE, ("127.0.0.1", 1), 1),
            Timing(),
            [],
            random.Random(1),
        )
        codec, allowed = Codec("g", b"a secret of the test"), Allowed(("127.0.0.0/8",))
        driver = Driver(
            loop, loop.time, machine, codec, ("127.0.0.1", 0), allowed, lambda effects: None
        )
        await driver.start()
        _, writer = await asyncio.open_connection(*driver.listen)
        while not driver.serving:
            await asyncio.sleep(0)
        for task in asyncio.all_tasks() - {asyncio.current_task()}:
            task.cancel()  # as asyncio.run does in the end
        while driver.serving:
            await asyncio.sleep(0)
        await asyncio.sleep(0)
        writer.close()
        driver.close()

    asyncio.run(run())
    assert said == []
