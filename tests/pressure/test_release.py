"""What peers have made is freed as its owner ends, without the cyclic garbage collector."""

from __future__ import annotations

import asyncio
import gc
import weakref
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

import pytest

from badgercart.core.streams import Upload
from badgercart.frontends.http import clients
from badgercart.frontends.http.client_connection import ClientConnection
from badgercart.frontends.http.connection import ConnectionStateMachine
from badgercart.upstream.exchange import Exchange
from badgercart.upstream.server_connection import ServerConnection
from tests.net import (
    OK,
    WAIT_S,
    Script,
    ScriptedServer,
    answer,
    answer_ok,
    hang_up,
    request,
    run,
    running,
    stay_silent,
)

OWNERS: tuple[type, ...] = (
    ClientConnection, ConnectionStateMachine, Upload, ServerConnection, Exchange,
)  # fmt: skip
LONG = 8_000_000
CHUNKED = {"Transfer_Encoding": "chunked", "Content_Length": "1"}


def begun(length: int, sent: int) -> bytes:
    """Return a request whose body ends early."""
    return request("book", Content_Length=str(length)) + bytes(sent)


def chunked(data: bytes) -> bytes:
    """Return a request with a chunked body that has no end."""
    head = request("book").replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
    return head + b"%x\r\n%b\r\n" % (len(data), data)


async def long_answer(peer: ScriptedServer, head: bytes, writer: asyncio.StreamWriter) -> None:
    """Send the first part of a long answer."""
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % LONG + bytes(300_000))


VISITS: dict[str, tuple[bytes, Script]] = {
    "half a head": (request()[:60], answer_ok),
    "half a buffered body": (begun(50_000, 20_000), answer_ok),
    "half a streamed body": (begun(LONG, 200_000), stay_silent),
    "half a streamed body, answered": (begun(LONG, 200_000), answer_ok),
    "half a streamed body, reset": (begun(LONG, 200_000), hang_up),
    "half a streamed body behind a request": (request() + begun(LONG, 200_000), stay_silent),
    "a chunked body": (chunked(bytes(150_000)), stay_silent),
    "a chunked body with a broken chunk": (chunked(bytes(150_000)) + b"zz\r\n", stay_silent),
    "a body of a class without one": (
        request("find", Content_Length=str(LONG)) + bytes(200_000), answer_ok,
    ),
    "requests ahead": (
        b"".join(request("book", body=bytes(30_000)) for _ in range(12)), stay_silent,
    ),
    "a long answer": (request(), long_answer),
    "answers": (request("book", body=bytes(30_000)) + request(), answer_ok),
    "a server that closes": (
        request(), answer(OK.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")),
    ),
}  # fmt: skip


@contextmanager
def tracked(monkeypatch: pytest.MonkeyPatch) -> Iterator[list[weakref.ref[Any]]]:
    """Yield references to all owners made in the block, in which the collector does not run."""
    made: list[weakref.ref[Any]] = []

    def recording(initialize: Callable[..., None]) -> Callable[..., None]:
        def record(self: Any, *args: Any, **options: Any) -> None:
            made.append(weakref.ref(self))
            initialize(self, *args, **options)

        return record

    for owner in OWNERS:
        monkeypatch.setattr(owner, "__init__", recording(owner.__init__))  # type: ignore[misc]
    gc.collect()
    gc.disable()
    try:
        yield made
    finally:
        gc.enable()


async def until_freed(made: list[weakref.ref[Any]]) -> None:
    """Wait until no owner is left."""
    async with asyncio.timeout(WAIT_S):
        while any(reference() is not None for reference in made):
            await asyncio.sleep(0.001)


@pytest.mark.parametrize("visit", VISITS)
def test_a_client_that_leaves_is_freed_without_the_cyclic_collector(
    visit: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    data, script = VISITS[visit]

    async def test() -> None:
        async with running(await ScriptedServer(script).start()) as stand:
            with tracked(monkeypatch) as made:
                client = await stand.client()
                client.writer.write(data)
                await asyncio.sleep(0.05)
                client.writer.transport.abort()
                while stand.node.listener.connections:
                    await asyncio.sleep(0.001)
                stand.node.pool.set_max_connections(0)  # closes those that are idle
                await until_freed(made)
            assert made
            assert stand.node.frontend.memory_budget.buffered_bytes == 0

    run(test())


def test_a_body_that_stops_is_freed_as_its_time_ends(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(clients, "REQUEST_TIMEOUT_S", 0.05)

    async def test() -> None:
        async with running(await ScriptedServer(stay_silent).start()) as stand:
            with tracked(monkeypatch) as made:
                client = await stand.client()
                client.writer.write(begun(LONG, 200_000))
                await client.end()
                client.writer.close()
                await until_freed(made)

    run(test())


def test_an_idle_connection_to_a_server_keeps_nothing_of_its_last_request() -> None:
    body = b"x" * 50_000
    served = answer(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))

    async def test() -> None:
        async with running(await ScriptedServer(served).start()) as stand:
            client = await stand.client()
            assert (await client.ask(request("book", body=body)))[2] == body
            (server,) = stand.node.pool.servers.values()
            (connection,) = server.idle_connections
            kept = gc.get_referents(connection.exchange)
            assert not any(isinstance(item, Upload) for item in kept)
            assert sum(len(item) for item in kept if isinstance(item, bytes | bytearray)) < 1000

    run(test())


def test_an_attempt_keeps_no_body_that_has_been_written() -> None:
    async def test() -> None:
        async with running(await ScriptedServer(stay_silent).start()) as stand:
            client = await stand.client()
            client.writer.write(request("book", body=bytes(50_000)))
            async with asyncio.timeout(WAIT_S):
                while not any(attempt.connection for attempt in stand.node.pool.attempts.values()):
                    await asyncio.sleep(0.001)
            (attempt,) = stand.node.pool.attempts.values()
            assert attempt.request is None

    run(test())


def test_a_connection_given_up_while_it_is_made_is_freed(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        async with running(await ScriptedServer(stay_silent).start()) as stand:
            with tracked(monkeypatch) as made:
                for number in range(60):
                    client = await stand.client()
                    client.writer.write(request())
                    while not stand.node.pool.attempts:
                        await asyncio.sleep(0)
                    for _ in range(number % 6):
                        await asyncio.sleep(0)
                    client.writer.transport.abort()
                    while stand.node.listener.connections:
                        await asyncio.sleep(0)
                stand.node.pool.set_max_connections(0)  # closes those that are idle
                await until_freed(made)

    run(test())
