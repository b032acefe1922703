"""Streams whose clients make no progress give way to attempts that need their descriptors."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

import pytest

from badgercart.core.streams import STALL_GRACE_MS
from badgercart.frontends.http.reader_progress import ReaderProgress
from badgercart.upstream.stalled_streams import longest_stalled
from tests.net import WAIT_S, ScriptedServer, request, run, running, stay_silent

LONG = 8_000_000


@dataclass
class FakeStream:
    """A stream whose client has stalled for so long."""

    stalled_ms: float

    def client_stalled_ms(self, now_ms: float) -> float:
        return self.stalled_ms - now_ms

    def client_grace_ms(self) -> float:
        return STALL_GRACE_MS


def test_the_longest_stalled_streams_are_chosen_and_none_that_goes_on() -> None:
    streams = [FakeStream(STALL_GRACE_MS * part) for part in (0.0, 0.99, 3.0, 1.0, 2.0)]
    assert [stream.stalled_ms for stream in longest_stalled(streams, 0.0, 2)] == [3000.0, 2000.0]
    assert len(longest_stalled(streams, 0.0, 9)) == 3


def test_a_reader_makes_progress_while_what_is_undelivered_changes() -> None:
    progress = ReaderProgress()
    assert progress.observe(1000, 50.0) == 0.0
    assert progress.observe(1000, 950.0) == 900.0
    assert progress.observe(999, 960.0) == 0.0


@pytest.mark.parametrize(
    ("window_bytes", "silence_ms"),
    [(4096, 50.0), (95_232, 1980.0), (579_584, 4980.0), (1_479_904, 5510.0)],
)
def test_a_slow_reader_is_waited_for_as_long_as_its_system_holds_what_it_reads(
    window_bytes: int, silence_ms: float
) -> None:
    # Guards against an end for clients at 64 kB/s; the silences were seen at 66 kB/s on loopback.
    progress = ReaderProgress()
    progress.observe_window(window_bytes)
    progress.observe_window(0)
    assert progress.grace_ms > silence_ms


def test_an_answer_that_nobody_reads_gives_its_descriptor_to_another_request() -> None:
    async def script(peer: ScriptedServer, head: bytes, writer: asyncio.StreamWriter) -> None:
        size = LONG if b"/long" in head else 4
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size + bytes(size))

    async def test() -> None:
        peer = await ScriptedServer(script).start()
        async with running(peer) as stand:
            stand.node.pool.max_connections = 1
            unread = await stand.client()
            unread.writer.transport.pause_reading()
            unread.writer.write(request(key="long"))
            async with asyncio.timeout(WAIT_S):
                while not any(c.read_paused for c in stand.node.pool.connections):
                    await asyncio.sleep(0.01)
            assert (await (await stand.client()).ask(request()))[0] == 200

    run(test())


def test_a_body_that_nobody_sends_gives_its_descriptor_to_another_request() -> None:
    async def test() -> None:
        peer = await ScriptedServer().start()
        async with running(peer) as stand:
            stand.node.pool.max_connections = 1
            stopped = await stand.client()
            stopped.writer.write(request("book", body=bytes(500_000))[:-100_000])
            async with asyncio.timeout(WAIT_S):
                while not stand.node.pool.connections:
                    await asyncio.sleep(0.01)
            assert (await (await stand.client()).ask(request()))[0] == 200
            status, _, _ = await stopped.answer()
            assert status == 503  # it was not executed

    run(test())


def test_a_slow_reader_keeps_its_answer_while_others_wait_for_descriptors() -> None:
    async def script(peer: ScriptedServer, head: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % LONG + bytes(LONG))

    async def test() -> None:
        peer = await ScriptedServer(script).start()
        async with running(peer, dial_timeout=1500.0) as stand:
            stand.node.pool.max_connections = 1
            slow = await stand.client()
            slow.writer.write(request())
            await slow.reader.readuntil(b"\r\n\r\n")
            waiting = asyncio.ensure_future((await stand.client()).ask(request()))
            left = LONG
            while not waiting.done():
                left -= len(await slow.reader.read(30_000))
                await asyncio.sleep(0.02)
            assert (await waiting)[0] == 503
            await asyncio.wait_for(slow.reader.readexactly(left), WAIT_S)

    run(test())


def test_a_connect_that_succeeds_wakes_no_attempt_that_waits_for_a_descriptor() -> None:
    async def test() -> None:
        peer = await ScriptedServer(stay_silent).start()
        async with running(peer) as stand:
            pool = stand.node.pool
            woken = 0
            wake_next = pool.descriptor_queue.wake_next

            def count() -> None:
                nonlocal woken
                woken += 1
                wake_next()

            pool.descriptor_queue.wake_next = count  # type: ignore[method-assign]
            client = await stand.client()
            client.writer.write(request())
            await asyncio.wait_for(peer.requests.get(), WAIT_S)
            assert not woken
            client.writer.transport.abort()

    run(test())
