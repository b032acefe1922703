"""A server that stops within a response: its client gets an end in time, and a long response is not cut."""

from __future__ import annotations

import asyncio
import contextlib
import math
import time
from collections.abc import Callable

import pytest

from badgercart.core.clock import MAX_HOLD_UP_MS
from badgercart.core.memory_budget import MemoryBudget
from badgercart.policy.events import AttemptResult
from badgercart.upstream import connection_pool
from badgercart.upstream.exchange import MAX_BODY_BYTES
from badgercart.upstream.response_progress import STOP_DECISION_DELAY_MS, ResponseProgress
from badgercart.upstream.server_connection import MAX_BUFFERING_MS
from tests.bulk.test_streams import read_body, read_head
from tests.net import CLASSES, WAIT_S, Client, ScriptedServer, request, run, running

OBJECTIVE_MS = 150.0
DEADLINE_MS = 600.0
TIMEOUT = f"{DEADLINE_MS:.0f}m"
# From the first byte on, until what is given after it is streamed.
GAP_S = 1.5 * MAX_BUFFERING_MS / 1000
# When a client's final answer is late, and an answer that its server does not finish has to have ended.
LATE_S = (DEADLINE_MS + 500.0 + 50.0) / 1000
AFTER_DEADLINE_S = (DEADLINE_MS + 2 * STOP_DECISION_DELAY_MS) / 1000
HEADS = {
    "chunked": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    "until close": b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
}


def framed(form: str, body: bytes) -> bytes:
    """Return a part of a body in a framing that does not state its length."""
    return b"%x\r\n%b\r\n" % (len(body), body) if form == "chunked" else body


def finish(form: str, writer: asyncio.StreamWriter) -> None:
    """End a body in its framing."""
    if form == "chunked":
        writer.write(b"0\r\n\r\n")
    else:
        writer.close()


class StoppingServer(ScriptedServer):
    """A server that writes a head and parts of a body, `GAP_S` apart, and stops until `go_on`."""

    def __init__(self, head: bytes, parts: list[bytes]) -> None:
        super().__init__(type(self).stop_within)
        self.head, self.parts = head, parts
        self.stopped, self.go_on = asyncio.Event(), asyncio.Event()
        self.rest: Callable[[asyncio.StreamWriter], None] = lambda _: None

    async def stop_within(self, _: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(self.head)
        for part in self.parts:
            writer.write(part)
            await asyncio.sleep(GAP_S)
        self.stopped.set()
        await self.go_on.wait()
        with contextlib.suppress(ConnectionError):
            self.rest(writer)
            await writer.drain()


@pytest.fixture(autouse=True)
def _no_scan(monkeypatch: pytest.MonkeyPatch) -> None:
    """Have nothing else end a stream whose server has stopped."""
    monkeypatch.setattr(connection_pool, "SERVER_STALL_TIMEOUT_MS", math.inf)


async def expect_cut_off(client: Client, sent: bytes) -> None:
    """Send a request; expect a head, and in time an end that shows that the body is incomplete."""
    sent_s = time.monotonic()
    client.writer.write(sent)
    head = await read_head(client.reader)
    assert head.startswith(b"HTTP/1.1 200")
    with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
        await read_body(client.reader, head)
    assert time.monotonic() - sent_s < LATE_S


@pytest.mark.parametrize("cls", CLASSES)
@pytest.mark.parametrize("parts", [0, 1], ids=["after the head", "after a part"])
@pytest.mark.parametrize("form", HEADS)
def test_an_answer_whose_server_stops_after_its_first_bytes_is_cut_off_in_time(
    form: str, parts: int, cls: str
) -> None:
    # Guards against half an answer and no end of it, for as long as the server hangs.
    async def test() -> None:
        server = StoppingServer(HEADS[form], [framed(form, b"half")] * parts)
        await server.start()
        async with running(server, aim=OBJECTIVE_MS) as stand:
            await expect_cut_off(await stand.client(), request(cls, timeout=TIMEOUT))
            assert (await stand.outcome()).result is AttemptResult.TIMEOUT
            server.go_on.set()

    run(test())


@pytest.mark.parametrize("form", HEADS)
def test_a_stream_that_stops_while_it_may_be_short_is_cut_off_in_time(form: str) -> None:
    # Guards against a client that waits for the rest of what it got, for as long as the server hangs.
    async def test() -> None:
        server = StoppingServer(HEADS[form], [framed(form, b"part")] * 3)
        await server.start()
        async with running(server, aim=OBJECTIVE_MS) as stand:
            await expect_cut_off(await stand.client(), request(timeout=TIMEOUT))
            assert (await stand.outcome()).result is AttemptResult.TIMEOUT
            server.go_on.set()

    run(test())


def test_a_short_answer_that_is_streamed_for_lack_of_memory_is_cut_off_in_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against the same wait for an answer whose length is stated, where memory is short.
    monkeypatch.setattr(MemoryBudget, "message_limit_bytes", 2048)

    async def test() -> None:
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % MAX_BODY_BYTES
        server = StoppingServer(head, [b"x" * 4096])
        await server.start()
        async with running(server, aim=OBJECTIVE_MS) as stand:
            await expect_cut_off(await stand.client(), request(timeout=TIMEOUT))
            server.go_on.set()

    run(test())


LONG_BODY = b"x" * (3 * MAX_BODY_BYTES)


@pytest.mark.parametrize("form", ["length", *HEADS])
def test_a_long_answer_that_pauses_past_its_clients_time_is_not_cut_off(form: str) -> None:
    # Guards against a time limit that ends what is allowed to be long.
    begun = LONG_BODY[: MAX_BODY_BYTES + 1]
    rest = LONG_BODY[len(begun) :]
    length_head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(LONG_BODY)

    async def test() -> None:
        part = begun if form == "length" else framed(form, begun)
        server = StoppingServer(HEADS.get(form, length_head), [part])

        def write_rest(writer: asyncio.StreamWriter) -> None:
            writer.write(rest if form == "length" else framed(form, rest))
            if form != "length":
                finish(form, writer)

        server.rest = write_rest
        await server.start()
        async with running(server, aim=OBJECTIVE_MS) as stand:
            client = await stand.client()
            client.writer.write(request(timeout=TIMEOUT))
            head = await read_head(client.reader)
            await server.stopped.wait()
            await asyncio.sleep(AFTER_DEADLINE_S)
            server.go_on.set()
            assert await read_body(client.reader, head) == LONG_BODY

    run(test())


@pytest.mark.parametrize(("part_bytes", "gap_s"), [(50, 0.05), (9_000, 0.45)])
@pytest.mark.parametrize("form", HEADS)
def test_an_answer_that_goes_on_past_its_clients_time_is_not_cut_off(
    form: str, part_bytes: int, gap_s: float
) -> None:
    # Guards against a time limit that takes a slow server for one that has stopped.
    part = b"x" * part_bytes
    count = round(1.8 / gap_s)

    async def script(_server: ScriptedServer, _: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(HEADS[form])
        for _part in range(count):
            writer.write(framed(form, part))
            await asyncio.sleep(gap_s)
        finish(form, writer)

    async def test() -> None:
        server = await ScriptedServer(script).start()
        async with running(server, aim=OBJECTIVE_MS) as stand:
            client = await stand.client()
            client.writer.write(request(timeout="300m"))
            head = await read_head(client.reader)
            assert await read_body(client.reader, head) == part * count

    run(test())


def test_an_answer_of_a_streamed_class_has_no_deadline_once_it_has_begun() -> None:
    # Guards against a time limit on the classes whose answers are streams by their settings.
    async def test() -> None:
        server = StoppingServer(HEADS["chunked"], [framed("chunked", b"first")])
        server.rest = lambda writer: finish("chunked", writer)
        await server.start()
        async with running(
            server, aim=OBJECTIVE_MS, streamed_classes=frozenset({b"find"})
        ) as stand:
            client = await stand.client()
            client.writer.write(request(timeout=TIMEOUT))
            head = await read_head(client.reader)
            assert await client.reader.readexactly(10) == b"5\r\nfirst\r\n"
            await asyncio.sleep(AFTER_DEADLINE_S)
            server.go_on.set()
            assert await read_body(client.reader, head) == b""

    run(test())


@pytest.mark.parametrize("form", HEADS)
def test_the_first_bytes_of_an_answer_are_passed_on_while_its_server_pauses(form: str) -> None:
    # Guards against a long answer whose first bytes wait here until its body goes on.
    assert MAX_BUFFERING_MS + MAX_HOLD_UP_MS <= 2000.0

    async def test() -> None:
        server = StoppingServer(HEADS[form], [framed(form, b"first")])
        await server.start()
        async with running(server) as stand:
            client = await stand.client()
            client.writer.write(request(timeout="3600000m"))
            await asyncio.wait_for(client.reader.readuntil(b"first"), WAIT_S)
            assert not server.go_on.is_set()
            server.go_on.set()

    run(test())


CLIENT_TIME_MS = 1000.0
STOPS_AT_MS = CLIENT_TIME_MS + STOP_DECISION_DELAY_MS


@pytest.mark.parametrize(
    ("growth", "stops_at_ms"),
    [
        ([(0, 100.0)], STOPS_AT_MS),
        ([(58_000, 100.0)], STOPS_AT_MS),
        ([(1, 100.0), (60_000, 999.0)], STOPS_AT_MS),
        ([(1, 100.0), (2, 1000.0)], math.inf),
        ([(1, 100.0), (2, 1340.0)], math.inf),
        ([(1, 100.0), (1, 1340.0)], STOPS_AT_MS),
    ],
    ids=["head", "in a moment", "until its time", "since its time", "close to the end", "framing"],
)
def test_a_response_stops_if_nothing_arrives_past_its_clients_time(
    growth: list[tuple[int, float]], stops_at_ms: float
) -> None:
    # Guards against a guess of how long a sound server pauses, or how fast it writes.
    progress = ResponseProgress()
    for body_bytes, at_ms in growth:
        progress.observe(body_bytes, at_ms)
    assert progress.stops_at_ms(CLIENT_TIME_MS, has_length=False) == stops_at_ms
    assert progress.stops_at_ms(CLIENT_TIME_MS, has_length=True) == STOPS_AT_MS


def test_a_response_that_was_not_read_has_the_same_time_from_when_it_is_read_on() -> None:
    # Guards against a server that counts as stopped while its client was the slow side.
    progress = ResponseProgress()
    progress.observe(100, 500.0)
    progress.reading_resumed(3000.0)
    assert progress.stops_at_ms(CLIENT_TIME_MS, False) == 3000.0 + STOP_DECISION_DELAY_MS


def test_the_decision_leaves_time_for_a_hold_up_of_the_process() -> None:
    assert STOP_DECISION_DELAY_MS + MAX_HOLD_UP_MS <= 500.0


@pytest.mark.parametrize("end", ["stopped", "reset"])
def test_an_answer_that_is_cut_off_for_an_old_client_ends_with_a_reset(end: str) -> None:
    # Guards against an answer up to the close whose cut looks like its end, as HTTP/1.0 clients get it.
    async def test() -> None:
        server = StoppingServer(HEADS["chunked"], [framed("chunked", b"part")] * 3)
        if end == "reset":
            server.rest = lambda writer: writer.transport.abort()
            server.go_on.set()
        await server.start()
        async with running(server, aim=OBJECTIVE_MS) as stand:
            client = await stand.client()
            client.writer.write(request(timeout=TIMEOUT).replace(b"HTTP/1.1", b"HTTP/1.0"))
            assert b"chunked" not in await read_head(client.reader)
            with pytest.raises(ConnectionResetError):
                await client.end()
            server.go_on.set()

    run(test())


@pytest.mark.parametrize(
    ("objective_ms", "head_ms", "body_ms"),
    [
        (OBJECTIVE_MS, 0.0, DEADLINE_MS - STOP_DECISION_DELAY_MS / 2),
        (
            DEADLINE_MS,
            DEADLINE_MS - STOP_DECISION_DELAY_MS / 2,
            DEADLINE_MS + STOP_DECISION_DELAY_MS / 4,
        ),
    ],
    ids=["before", "after"],
)
@pytest.mark.parametrize("form", HEADS)
def test_a_long_answer_whose_body_begins_near_the_deadline_arrives_whole(
    form: str, objective_ms: float, head_ms: float, body_ms: float
) -> None:
    # Guards against a time limit that takes the pause between head and body for the end.
    async def script(_server: ScriptedServer, _: bytes, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(head_ms / 1000)
        writer.write(HEADS[form])
        await asyncio.sleep((body_ms - head_ms) / 1000)
        writer.write(framed(form, LONG_BODY))
        finish(form, writer)

    async def test() -> None:
        server = await ScriptedServer(script).start()
        async with running(server, aim=objective_ms) as stand:
            client = await stand.client()
            client.writer.write(request("pay", timeout=TIMEOUT))
            head = await read_head(client.reader)
            assert head.startswith(b"HTTP/1.1 200")
            assert await read_body(client.reader, head) == LONG_BODY

    run(test())


@pytest.mark.parametrize("form", HEADS)
def test_an_answer_whose_server_stops_close_to_the_deadline_is_cut_off_in_time(form: str) -> None:
    # Guards against a time limit that starts anew with a head that comes late.
    async def script(server: ScriptedServer, _: bytes, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep((DEADLINE_MS - STOP_DECISION_DELAY_MS / 2) / 1000)
        writer.write(HEADS[form])
        await asyncio.wait_for(server.ended.get(), WAIT_S)

    async def test() -> None:
        server = await ScriptedServer(script).start()
        async with running(server, aim=DEADLINE_MS) as stand:
            await expect_cut_off(await stand.client(), request(timeout=TIMEOUT))
            server.ended.put_nowait(1)

    run(test())
