"""What waits in an outbox is sent once the present event is over, all of it at once."""

from __future__ import annotations

import asyncio
from typing import Any, cast

from badgercart.zones.outbox import Outbox
from badgercart.zones.outbox_driver import OutboxDriver
from tests.net import run


class Speaker:
    """A cluster member whose every message is one effect."""

    def send_value(self, now: float, topic: str, payload: bytes, recipient: str) -> list[Any]:
        return [(now, topic, payload, recipient)]


def test_messages_of_one_event_are_sent_together_and_none_after_close() -> None:
    async def test() -> None:
        outbox = Outbox(cast(Any, Speaker()))
        sent: list[list[Any]] = []
        driver = OutboxDriver(outbox, asyncio.get_running_loop(), sent.append)
        outbox.add(1.0, "a", b"x")
        outbox.on_ready()
        outbox.add(1.0, "b", b"y", "n1")
        outbox.on_ready()
        assert sent == []
        await asyncio.sleep(0)
        assert sent == [[(1.0, "a", b"x", ""), (1.0, "b", b"y", "n1")]]
        outbox.add(2.0, "a", b"z")
        driver.flush()  # at once, and nothing is left to send
        await asyncio.sleep(0)
        assert len(sent) == 2
        outbox.add(3.0, "a", b"z")
        driver.schedule()
        driver.close()
        await asyncio.sleep(0)
        assert len(sent) == 2

    run(test())
