"""One table of crossings: what ends, where its request is just then, and what a repeat of it would
do."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import replace

import pytest

from badgercart.policy.events import EndpointUpdate
from tests.ends.test_leaving import Gate
from tests.net import CLASSES, OK, WAIT, Client, Peer, Stand, config, request, run, running

# Where: no byte is written; all are, and nothing has come; half of an answer has come.
DIALLING, WRITTEN, HALF = "dialling", "written", "half an answer"


class Scene:
    """A node, one server that holds what it gets, and a client with one request out."""

    def __init__(self, stand: Stand, peer: Peer, client: Client) -> None:
        self.stand, self.peer, self.client = stand, peer, client
        self.writers: list[asyncio.StreamWriter] = []
        self.gate: Gate | None = None

    async def client_leaves(self) -> None:
        self.client.writer.transport.abort()
        while self.stand.node.pipeline.in_flight:
            await asyncio.sleep(0)
        self.open()

    async def server_refuses(self) -> None:
        self.peer.server.close()
        self.open()

    async def server_resets(self) -> None:
        self.writers[0].transport.abort()

    async def server_drains(self) -> None:
        self.stand.agent.push(2, [self.peer.entry("s-1", "leaving")])
        await self.stand.event(EndpointUpdate)
        self.open()
        for writer in self.writers:
            writer.write(OK[self.sent :])

    async def time_passes(self) -> None:
        """An attempt has 0.4 s: nothing more happens."""

    def open(self) -> None:
        if self.gate is not None:
            self.gate.opened.set()

    sent = 0  # bytes of the answer


End = Callable[[Scene], Awaitable[None]]
# The end, where, and the answers to a safe, a keyed and an unsafe request; None: nobody is there to
# have one.
TABLE: list[tuple[End, str, tuple[int | None, int | None, int | None]]] = [
    (Scene.client_leaves, DIALLING, (None, None, None)),
    (Scene.client_leaves, WRITTEN, (None, None, None)),
    (Scene.client_leaves, HALF, (None, None, None)),
    (Scene.server_refuses, DIALLING, (503, 503, 503)),
    (Scene.server_resets, WRITTEN, (503, 503, 502)),
    (Scene.server_resets, HALF, (503, 503, 502)),
    (Scene.server_drains, DIALLING, (503, 503, 503)),
    (Scene.server_drains, WRITTEN, (200, 200, 200)),
    (Scene.server_drains, HALF, (200, 200, 200)),
    (Scene.time_passes, DIALLING, (503, 503, 503)),
    (Scene.time_passes, WRITTEN, (503, 503, 502)),
    (Scene.time_passes, HALF, (503, 503, 502)),
]


@pytest.mark.parametrize("may_cancel", [True, False], ids=["cancels", "never cancels"])
@pytest.mark.parametrize("cls", CLASSES)
@pytest.mark.parametrize(
    ("end", "where", "answers"), TABLE, ids=lambda x: getattr(x, "__name__", None)
)
def test_what_ends_is_answered_once_by_where_it_was_and_what_a_repeat_would_do(
    end: End,
    where: str,
    answers: tuple[int | None, ...],
    cls: str,
    may_cancel: bool,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        scene: Scene

        async def script(peer: Peer, head: bytes, writer: asyncio.StreamWriter) -> None:
            scene.writers.append(writer)
            if where is HALF:
                scene.sent = len(OK) - 2
                writer.write(OK[: scene.sent])

        peer = await Peer(script).start()
        aim = 400.0 if end is Scene.time_passes else 5000.0
        settings = replace(config(1, aim).settings, may_cancel=may_cancel)
        async with running(peer, settings=settings) as stand:
            scene = Scene(stand, peer, await stand.client())
            if where is DIALLING:
                scene.gate = Gate(monkeypatch)
            scene.client.writer.write(request(cls))
            if scene.gate is not None:
                await scene.gate.reached()
            else:
                await asyncio.wait_for(peer.requests.get(), WAIT)
                while where is HALF and not stand.node.pool.room.held:
                    await asyncio.sleep(0)
            await end(scene)
            expected = answers[list(CLASSES).index(cls)]
            if expected is not None:
                status, head, _ = await scene.client.answer()
                assert status == expected and (b"Retry-After" in head) == (status == 503)
            join = stand.node.pipeline
            if expected is None and not may_cancel and scene.writers:
                assert join.open_attempts  # it may not be called back: it ends when its server does
                scene.writers[0].transport.abort()
            while join.open_attempts:
                await asyncio.sleep(0)
            assert (
                not join.in_flight
                and not join.policy.lifecycle.requests
                and not stand.node.pool.attempts
            )
            assert peer.requests.empty() and len(scene.writers) == (where is not DIALLING)

    run(test())
