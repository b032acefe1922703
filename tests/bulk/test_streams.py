"""Bodies that are too long to be held: they go on as they come, both ways, and a break shows."""

from __future__ import annotations

import asyncio
import random
import resource
from typing import Any

import pytest

from badgercart.core.memory_budget import MAX_BUFFERED_MESSAGE_BYTES, MemoryBudget
from badgercart.frontends.http import clients
from badgercart.policy.events import AttemptEnded, AttemptResult, RequestCompleted, ResponseStarted
from badgercart.policy.settings import Settings
from badgercart.upstream import connection_pool as pool_module
from tests.net import (
    WAIT_S,
    Client,
    NodeHarness,
    ScriptedServer,
    config,
    field,
    request,
    run,
    running,
)

LONG = random.Random(5).randbytes(5 * MAX_BUFFERED_MESSAGE_BYTES + 321)


def framed(body: bytes, chunk: int) -> bytes:
    parts = [body[at : at + chunk] for at in range(0, len(body), chunk)]
    return (
        b"".join(b"%x;n=v\r\n%b\r\n" % (len(part), part) for part in parts) + b"0\r\nT: u\r\n\r\n"
    )


class Raw:
    """A server that hands out its connections: what comes is read, and what goes is written, by
    hand."""

    def __init__(self) -> None:
        self.calls: asyncio.Queue[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = (
            asyncio.Queue()
        )

    async def start(self) -> Raw:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self.calls.put_nowait((reader, writer))

        self.server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.port: int = self.server.sockets[0].getsockname()[1]
        return self

    entry = ScriptedServer.entry

    async def call(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.wait_for(self.calls.get(), WAIT_S)


async def head_of(reader: asyncio.StreamReader) -> bytes:
    return await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), WAIT_S)


async def body_of(reader: asyncio.StreamReader, head: bytes) -> bytes:
    """A whole body, by its framing."""
    async with asyncio.timeout(WAIT_S):
        if (length := field(head, b"Content-Length")) is not None:
            return await reader.readexactly(int(length))
        if field(head, b"Transfer-Encoding") != b"chunked":
            return await reader.read()
        body = b""
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readuntil(b"\r\n")
        return body


ANSWERS = {
    "length": b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(LONG), LONG),
    "chunks": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + framed(LONG, 1000),
    "close": b"HTTP/1.1 200 OK\r\nContent-Type: a/b\r\n\r\n" + LONG,
    "old": b"HTTP/1.0 200 OK\r\n\r\n" + LONG,
    "interim": b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    + framed(LONG, 70_000),
}


@pytest.mark.parametrize("version", [b"HTTP/1.1", b"HTTP/1.0"])
@pytest.mark.parametrize("form", ANSWERS)
def test_a_long_answer_comes_whole_in_every_form(form: str, version: bytes) -> None:
    async def test() -> None:
        server = await Raw().start()
        async with running(server) as stand:  # type: ignore[arg-type]
            client = await stand.client()
            for _ in range(2):
                client.writer.write(request().replace(b"HTTP/1.1", version))
                reader, writer = await server.call()
                await head_of(reader)
                writer.write(ANSWERS[form])
                if form in ("close", "old"):
                    writer.close()
                head = await head_of(client.reader)
                assert head.startswith(b"HTTP/1.1 200")
                assert await body_of(client.reader, head) == LONG
                assert isinstance(await stand.event(ResponseStarted), ResponseStarted)
                assert (await stand.outcome()).result is AttemptResult.OK
                assert (
                    stand.node.front.bulk.stream_count == stand.node.front.bulk.buffered_bytes == 0
                )
                if field(head, b"Connection") == b"close":
                    client = await stand.client()
                if form in ("length", "chunks", "interim"):  # the connection is used again
                    server.calls.put_nowait((reader, writer))

    run(test())


def test_the_first_bytes_of_a_long_answer_do_not_wait_for_the_last() -> None:
    async def test() -> None:
        server = await Raw().start()
        async with running(server) as stand:  # type: ignore[arg-type]
            for framing in (b"Content-Length: 100000", b"Transfer-Encoding: chunked"):
                client = await stand.client()
                client.writer.write(request())
                reader, writer = await server.call()
                await head_of(reader)
                first = b"a" if framing.startswith(b"Con") else b"1\r\na\r\n"
                writer.write(b"HTTP/1.1 200 OK\r\n%b\r\n\r\n%b" % (framing, first))
                head = await head_of(client.reader)  # before anything more is given
                assert framing in head
                assert (await client.reader.readexactly(len(first))) == first
                client.writer.close()  # who has gone away gets nothing more
                assert await asyncio.wait_for(reader.read(), WAIT_S) == b""
                assert (await stand.outcome()).result is AttemptResult.CANCELLED

    run(test())


@pytest.mark.parametrize("form", ["length", "chunks"])
def test_a_break_in_a_long_answer_shows_and_counts_against_its_server(form: str) -> None:
    async def test() -> None:
        server = await Raw().start()
        async with running(server) as stand:  # type: ignore[arg-type]
            client = await stand.client()
            client.writer.write(request())
            reader, writer = await server.call()
            await head_of(reader)
            writer.write(ANSWERS[form][: 3 * MAX_BUFFERED_MESSAGE_BYTES])
            head = await head_of(client.reader)
            writer.transport.abort()
            with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                await body_of(client.reader, head)
            assert (await stand.outcome()).result is AttemptResult.RESET
            assert server.calls.empty()  # no other attempt

    run(test())


def test_a_short_answer_that_breaks_is_asked_for_again() -> None:
    async def test() -> None:
        server = await Raw().start()
        async with running(server, server, attempts=2) as stand:  # type: ignore[arg-type]
            client = await stand.client()
            client.writer.write(request())
            reader, writer = await server.call()
            await head_of(reader)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhal")
            await writer.drain()
            writer.transport.abort()
            reader, writer = await server.call()
            await head_of(reader)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
            assert (await client.answer())[2] == b"done"

    run(test())


def test_an_attempt_that_times_out_passes_on_nothing_of_the_answer_before_it() -> None:
    # A connection's old answer went out as the begin of the next: the bench's day bulk+slow+pieces,
    # 'lost'.
    async def test() -> None:
        server = await Raw().start()
        async with running(server, aim=200.0) as stand:  # type: ignore[arg-type]
            client = await stand.client()
            client.writer.write(request())
            reader, writer = await server.call()
            await head_of(reader)
            writer.write(
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nold\r\n0\r\n\r\n"
            )
            assert (await client.answer())[0] == 200
            client.writer.write(request(timeout="150m"))
            await head_of(reader)
            status, _, body = await client.answer()
            assert status == 503 and b"old" not in body

    run(test())


UPLOADS = {
    "length": lambda: (b"Content-Length: %d\r\n" % len(LONG), LONG),
    "chunks": lambda: (b"Transfer-Encoding: chunked\r\n", framed(LONG, 999)),
}


def upload(form: str, cls: str = "pay", **more: Any) -> tuple[bytes, bytes]:
    line, body = UPLOADS[form]()
    return request(cls, **more).replace(b"Content-Length: 0\r\n", line), body


@pytest.mark.parametrize("form", UPLOADS)
def test_a_long_request_goes_on_as_it_comes_and_its_time_counts_from_its_end(form: str) -> None:
    async def test() -> None:
        server = await Raw().start()
        async with running(server) as stand:  # type: ignore[arg-type]
            client = await stand.client()
            head, body = upload(form, timeout="5000m")
            client.writer.write(head + body[: 2 * MAX_BUFFERED_MESSAGE_BYTES])
            reader, writer = await server.call()
            got = await head_of(reader)
            assert await asyncio.wait_for(
                reader.readexactly(MAX_BUFFERED_MESSAGE_BYTES), WAIT_S
            )  # though the rest has not come
            (attempt,) = stand.node.pool.attempts.values()
            assert attempt.timer is None and not stand.node.join.policy.overload.concurrency.current
            client.writer.write(body[2 * MAX_BUFFERED_MESSAGE_BYTES :])
            assert isinstance(await stand.event(RequestCompleted), RequestCompleted)
            rest = (
                await asyncio.wait_for(
                    reader.readexactly(len(body) - MAX_BUFFERED_MESSAGE_BYTES), WAIT_S
                )
                if form == "length"
                else b""
            )
            assert rest == LONG[MAX_BUFFERED_MESSAGE_BYTES:] or form == "chunks"
            while attempt.timer is None:
                await asyncio.sleep(0)
            assert stand.node.join.policy.overload.concurrency.current == 1
            assert int(field(got, b"Request-Timeout")[:-1]) <= 5000  # type: ignore[index]
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
            assert (await client.answer())[2] == b"done"
            if form == "length":  # both connections are used again
                client.writer.write(request())
                await head_of(reader)

    run(test())


def test_a_long_request_in_chunks_arrives_as_it_was() -> None:
    async def test() -> None:
        server = await Raw().start()
        async with running(server) as stand:  # type: ignore[arg-type]
            client = await stand.client()
            head, body = upload("chunks", "book")
            asked = asyncio.ensure_future(client.ask(head + body))
            reader, writer = await server.call()
            got = await head_of(reader)
            assert await body_of(reader, got) == LONG
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
            assert (await asked)[2] == b"done"

    run(test())


def test_a_long_request_of_which_nothing_went_on_is_sent_again_else_refused() -> None:
    async def test() -> None:
        gone, server = await Raw().start(), await Raw().start()
        gone.server.close()
        for seed in range(4):  # whichever server it goes to first
            async with running(gone, server, attempts=3, seed=seed) as stand:  # type: ignore[arg-type]
                client = await stand.client()
                head, body = upload("length")
                client.writer.write(head + body[: 2 * MAX_BUFFERED_MESSAGE_BYTES])
                reader, writer = await server.call()
                await head_of(reader)
                await reader.readexactly(MAX_BUFFERED_MESSAGE_BYTES)
                writer.transport.abort()  # before the request's last byte: it never ran
                status, answer_head, _ = await client.answer()
                assert (status, field(answer_head, b"Connection")) == (503, b"close")
                outcome = await spent(stand)
                assert outcome.result is AttemptResult.UNREACHABLE

    async def spent(stand: NodeHarness) -> AttemptEnded:
        while not (outcome := await stand.outcome()).body_consumed:
            pass
        return outcome

    run(test())


def test_a_client_that_stops_in_the_middle_of_a_long_request_is_given_up(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(clients, "REQUEST_TIME", 0.2)
    monkeypatch.setattr(clients, "SWEEP", 0.01)

    async def test() -> None:
        server = await Raw().start()
        async with running(server) as stand:  # type: ignore[arg-type]
            client = await stand.client()
            head, body = upload("length")
            client.writer.write(head + body[: MAX_BUFFERED_MESSAGE_BYTES // 16])
            reader, _ = await server.call()
            assert await client.end() == b""
            await asyncio.wait_for(reader.read(), WAIT_S)  # the server's connection ends, too
            assert (await stand.outcome()).result is AttemptResult.CANCELLED
            assert not stand.node.join.in_flight and not stand.node.pool.attempts

    run(test())


@pytest.mark.parametrize("cancels", [True, False])
@pytest.mark.parametrize("way", ["spoilt", "gone"])
def test_a_long_request_that_can_not_become_whole_holds_nothing(way: str, cancels: bool) -> None:
    async def test() -> None:
        server, classes = await Raw().start(), config(1).settings.classes
        allowed = Settings(classes=classes, may_cancel=cancels)
        async with running(server, settings=allowed) as stand:  # type: ignore[arg-type]
            client = await stand.client()
            head, _ = upload("chunks")
            client.writer.write(head + framed(LONG, 999)[: 2 * MAX_BUFFERED_MESSAGE_BYTES])
            reader, _ = await server.call()
            await reader.readexactly(MAX_BUFFERED_MESSAGE_BYTES)
            if way == "spoilt":
                client.writer.write(b"\r\nno chunk\r\n" * 200)
                assert await client.end() == b""
            else:
                client.writer.transport.abort()
            await asyncio.wait_for(reader.read(), WAIT_S)  # the server's connection ends, too
            assert (await stand.outcome()).result is AttemptResult.CANCELLED
            assert not stand.node.join.in_flight and not stand.node.pool.attempts
            assert not stand.node.listener.open_ids

    run(test())


def test_a_server_that_stands_still_in_the_middle_is_given_up(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(pool_module, "SERVER_STALL_TIMEOUT_MS", 50.0)
    monkeypatch.setattr(pool_module, "SCAN_INTERVAL_S", 0.01)

    async def test() -> None:
        server = await Raw().start()
        async with running(server) as stand:  # type: ignore[arg-type]
            client = await stand.client()
            client.writer.write(request())
            reader, writer = await server.call()
            await head_of(reader)
            writer.write(ANSWERS["length"][:MAX_BUFFERED_MESSAGE_BYTES])
            with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                await body_of(client.reader, await head_of(client.reader))
            assert (await stand.outcome()).result is AttemptResult.TIMEOUT

    run(test())


def test_many_long_answers_to_slow_readers_keep_memory_flat() -> None:
    count, size = 50, 32 << 20

    async def test() -> None:
        server = await Raw().start()
        async with running(server, memory_mb=32.0) as stand:  # type: ignore[arg-type]
            readers = []
            block = bytes(1 << 20)

            async def give() -> None:
                reader, writer = await server.call()
                await head_of(reader)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
                for _ in range(size >> 20):
                    writer.write(block)
                    await writer.drain()

            gives = [asyncio.ensure_future(give()) for _ in range(count)]
            for _ in range(count):
                client = await stand.client()
                client.writer.write(request())
                head = await head_of(client.reader)
                client.writer.transport.pause_reading()
                readers.append((client, head))
            room: MemoryBudget = stand.node.front.bulk
            paused = lambda: [c for c in stand.node.pool.connections if c.read_paused]  # noqa: E731
            async with asyncio.timeout(WAIT_S):
                while len(paused()) < count:
                    await asyncio.sleep(0.01)
            waits = [c.transport.get_write_buffer_size() for c in stand.node.listener.connections]
            # Each is ahead of its reader by its window and what was read at once at most.
            assert room.stream_count == count and sum(waits) <= count * (
                room.stream_window_bytes + 2 * 65536
            )
            for task in gives:
                task.cancel()
            for client, _ in readers:
                client.writer.transport.abort()

    before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    run(test())
    assert resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before < 250_000  # kB, of 1.6 GB


def test_forms_of_a_request_that_are_rare_and_right() -> None:
    async def test() -> None:
        peer = await ScriptedServer().start()
        async with running(peer) as stand:
            client: Client = await stand.client()
            absolute = request().replace(
                b"GET /find/cab7", b"GET http://backend.local/find/cab7?x=1"
            )
            assert (await client.ask(absolute))[0] == 200
            assert (await peer.requests.get()).startswith(b"GET /find/cab7?x=1 HTTP/1.1\r\n")
            spaced = request().replace(
                b"8000m\r\n", b"8000m \t\r\n"
            )  # white space behind a value is none of it
            assert (await client.ask(spaced))[0] == 200
            assert b"m \t" not in await peer.requests.get()

    run(test())
