"""The driver of the outbox sends messages in batches."""

from __future__ import annotations

import asyncio
from typing import Any, cast

from badgercart.zones.outbox import Outbox
from badgercart.zones.outbox_driver import OutboxDriver
from tests.net import run


class FakeMember:
    """A cluster member that returns one effect for each message."""

    def send_value(self, now_ms: float, topic: str, payload: bytes, recipient: str) -> list[Any]:
        """Return the arguments as the only effect."""
        return [(now_ms, topic, payload, recipient)]


def test_messages_of_one_event_are_sent_together_and_none_after_close() -> None:
    """Messages of one event are sent in one batch, and a closed driver sends nothing."""

    async def test() -> None:
        outbox = Outbox(cast(Any, FakeMember()))
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
        driver.flush()  # sends immediately, and leaves nothing for later
        await asyncio.sleep(0)
        assert len(sent) == 2
        outbox.add(3.0, "a", b"z")
        driver.schedule()
        driver.close()
        await asyncio.sleep(0)
        assert len(sent) == 2

    run(test())
