"""When the time of a request with a long body begins and ends, whichever side is slow."""

from __future__ import annotations

import asyncio
import contextlib
import math
import socket
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import pytest

from badgercart.core.clock import now_ms
from badgercart.core.memory_budget import MAX_BUFFERED_MESSAGE_BYTES, MAX_STREAM_WINDOW_BYTES
from badgercart.frontends.http import client_connection, clients
from badgercart.frontends.http.client_connection import ClientConnection
from badgercart.policy.events import AttemptEnded, AttemptResult, RequestCompleted
from badgercart.upstream import connection_pool
from badgercart.upstream.attempts import AttemptPhase
from tests.bulk.test_streams import read_body
from tests.net import (
    OK,
    SMALL_BUFFER_BYTES,
    WAIT_S,
    Client,
    NodeHarness,
    ScriptedServer,
    limit_send_buffers,
    request,
    run,
    running,
    small_listener,
)

# What a connection to a server takes while the server reads nothing, and a bit more.
BLOCKING_BYTES = MAX_STREAM_WINDOW_BYTES + 2 * SMALL_BUFFER_BYTES + 10_000
# All of it fits into the node while its server reads nothing.
BODY = bytes(BLOCKING_BYTES + MAX_BUFFERED_MESSAGE_BYTES)


class HangingServer:
    """A server that reads a request's header section, sends `interim` and then hangs."""

    def __init__(self, interim: bytes = b"") -> None:
        self.interim = interim
        self.hanging = asyncio.Event()
        self.read_on = asyncio.Event()
        self.received: asyncio.Future[bytes] = asyncio.Future()  # the body

    async def start(self) -> HangingServer:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self.serve, sock=small_listener(), limit=4096)
        self.port: int = self.server.sockets[0].getsockname()[1]
        return self

    entry = ScriptedServer.entry

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        writer.write(self.interim)
        self.hanging.set()
        await self.read_on.wait()
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            self.received.set_result(await read_body(reader, head))
            writer.write(OK)
            await reader.read()  # until the node closes the connection
        writer.close()


def long_request(form: str, timeout: str, body: bytes = BODY) -> bytes:
    """Return a request of a class that is unsafe to repeat, with a long body."""
    if form == "length":
        return request("pay", timeout=timeout, body=body)
    head = request("pay", timeout=timeout)
    head = head.replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
    return head + b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)


@asynccontextmanager
async def hanging(
    monkeypatch: pytest.MonkeyPatch, interim: bytes = b"", **changes: Any
) -> AsyncIterator[tuple[NodeHarness, HangingServer, Client]]:
    """Run a node whose one server hangs, with a client. No other limit ends a request."""
    monkeypatch.setattr(connection_pool, "SERVER_STALL_TIMEOUT_MS", math.inf)
    limit_send_buffers(monkeypatch)
    server = await HangingServer(interim).start()
    async with running(server, **changes) as stand:  # type: ignore[arg-type]
        yield stand, server, await stand.client()
        server.read_on.set()


async def send_until_blocked(stand: NodeHarness, client: Client, data: bytes) -> bytes:
    """Send the begin of a long request until its server takes no more; return the rest."""
    client.writer.write(data[:BLOCKING_BYTES])
    async with asyncio.timeout(WAIT_S):
        while not any(connection.write_paused for connection in stand.node.pool.connections):
            await asyncio.sleep(0)
    return data[BLOCKING_BYTES:]


async def body_consuming_attempt(stand: NodeHarness) -> AttemptEnded:
    """Return the end of the attempt that forwarded some of the body."""
    while not (outcome := await stand.outcome()).body_consumed:
        pass
    return outcome


@pytest.mark.parametrize("interim", [b"", b"HTTP/1.1 200 OK\r\n\r\nbegun"], ids=["silent", "begun"])
@pytest.mark.parametrize("form", ["length", "chunks"])
def test_the_time_of_a_complete_request_passes_while_its_server_reads_nothing(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture, form: str, interim: bytes
) -> None:
    # Guards against a request that is answered only once its server, hanging within the body, goes
    # on: its time started when all of the body had been written.
    async def test() -> None:
        async with hanging(monkeypatch, interim) as (stand, server, client):
            rest = await send_until_blocked(stand, client, long_request(form, "300m"))
            client.writer.write(rest)
            await stand.event(RequestCompleted)
            (attempt,) = stand.node.pool.attempts.values()
            assert attempt.phase is AttemptPhase.STREAMING_REQUEST
            assert attempt.timer is not None and attempt.deadline_ms <= attempt.started_ms + 300
            assert (await client.answer())[0] == 503
            # Its last byte was not sent, so that a retry of this class does no harm.
            outcome = await body_consuming_attempt(stand)
            assert outcome.result is AttemptResult.UNREACHABLE
            assert not server.received.done()

    run(test())
    assert "did not read a request's body in its time" in caplog.text


@pytest.mark.parametrize("form", ["length", "chunks"])
def test_a_server_that_reads_nothing_is_given_up_while_its_client_still_sends(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture, form: str
) -> None:
    # Guards against a look for stalled streams that fails, and ends none of them.
    monkeypatch.setattr(connection_pool, "SCAN_INTERVAL_S", 0.01)

    async def test() -> None:
        async with hanging(monkeypatch) as (stand, server, client):
            await send_until_blocked(stand, client, long_request(form, "5000m"))
            monkeypatch.setattr(connection_pool, "SERVER_STALL_TIMEOUT_MS", 50.0)
            assert (await client.answer())[0] == 503
            assert not server.received.done()

    run(test())
    assert "did not read a request's body in its time" in caplog.text


@pytest.mark.parametrize("form", ["length", "chunks"])
def test_a_client_whose_body_waits_for_its_server_does_not_time_out(
    monkeypatch: pytest.MonkeyPatch, form: str
) -> None:
    # Guards against a client whose connection ends unanswered, as the node took the time in which
    # its server read nothing for time in which the client sent nothing.
    monkeypatch.setattr(clients, "REQUEST_TIMEOUT_S", 0.05)
    monkeypatch.setattr(clients, "TIMEOUT_CHECK_INTERVAL_S", 0.01)
    body = bytes(2 * len(BODY) + SMALL_BUFFER_BYTES)

    async def test() -> None:
        async with hanging(monkeypatch) as (stand, server, client):
            rest = await send_until_blocked(stand, client, long_request(form, "5000m", body))
            client.writer.write(rest)
            (connection,) = stand.node.listener.connections
            async with asyncio.timeout(WAIT_S):
                while connection not in stand.node.listener.paused_clients:
                    await asyncio.sleep(0)
            checks = Counter[str]()
            check_timeouts = stand.node.listener.check_timeouts

            def counted() -> None:
                checks["done"] += 1
                check_timeouts()

            stand.node.listener.check_timeouts = counted  # type: ignore[method-assign]
            started_s = connection.now_s()
            async with asyncio.timeout(WAIT_S):
                while checks["done"] < 3 or connection.now_s() - started_s < 0.2:
                    await asyncio.sleep(0.01)
            server.read_on.set()
            assert (await client.answer())[0] == 200

    run(test())


def test_a_body_that_is_complete_before_its_turn_leaves_the_request_before_it_its_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against a request whose deadline is replaced by that of the next one on its connection.
    async def test() -> None:
        async with hanging(monkeypatch) as (stand, server, client):
            client.writer.write(request("find", timeout="9000m"))
            await asyncio.wait_for(server.hanging.wait(), WAIT_S)
            (in_flight,) = stand.node.pipeline.in_flight.values()
            deadline_ms = in_flight.request.deadline_ms
            client.writer.write(long_request("length", "300m", bytes(MAX_STREAM_WINDOW_BYTES)))
            (connection,) = stand.node.listener.connections
            async with asyncio.timeout(WAIT_S):
                while not (connection.machine.pending and connection.machine.upload is None):
                    await asyncio.sleep(0)
            assert in_flight.request.deadline_ms == deadline_ms

    run(test())


@pytest.mark.parametrize("form", ["length", "chunks"])
def test_the_time_of_a_request_whose_end_is_unread_passes_while_its_server_reads_nothing(
    monkeypatch: pytest.MonkeyPatch, form: str
) -> None:
    # Guards against a request that is answered seconds late: its last byte had arrived on the
    # node's machine, but its time started only once the node had read it.
    monkeypatch.setattr(clients, "BODY_CHECK_INTERVAL_S", 0.01)

    async def test() -> None:
        async with hanging(monkeypatch) as (stand, server, client):
            # More than the node reads while its server reads nothing.
            body = bytes(2 * MAX_STREAM_WINDOW_BYTES + BLOCKING_BYTES)
            client.writer.write(
                await send_until_blocked(stand, client, long_request(form, "300m", body))
            )
            (connection,) = stand.node.listener.connections
            assert (await client.answer())[0] == 503
            assert connection.machine.headers.body_bytes < len(body)
            outcome = await body_consuming_attempt(stand)
            assert outcome.result is AttemptResult.UNREACHABLE
            assert not server.received.done()

    run(test())


def test_the_time_of_a_request_whose_end_waits_at_its_client_passes_while_its_server_reads_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against a request that is answered seconds late: its last byte was written, but could
    # not arrive, as the node's own receive buffer was full.
    monkeypatch.setattr(clients, "BODY_CHECK_INTERVAL_S", 0.01)

    async def test() -> None:
        async with hanging(monkeypatch) as (stand, server, _):
            listening = stand.node.listener.socket
            assert listening is not None
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, MAX_STREAM_WINDOW_BYTES)
            client = await stand.client()
            body = bytes(8 * MAX_STREAM_WINDOW_BYTES + BLOCKING_BYTES)
            client.writer.write(
                await send_until_blocked(stand, client, long_request("length", "300m", body))
            )
            assert (await client.answer())[0] == 503
            outcome = await body_consuming_attempt(stand)
            assert outcome.result is AttemptResult.UNREACHABLE
            assert not server.received.done()

    run(test())


def test_a_request_that_has_not_arrived_keeps_its_time_while_its_server_reads_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    checks = 0
    note_body_arrival = ClientConnection.note_body_arrival

    def counted(self: ClientConnection) -> None:
        nonlocal checks
        checks += 1
        note_body_arrival(self)

    monkeypatch.setattr(clients, "BODY_CHECK_INTERVAL_S", 0.01)
    monkeypatch.setattr(ClientConnection, "note_body_arrival", counted)
    body = bytes(2 * MAX_STREAM_WINDOW_BYTES + BLOCKING_BYTES)

    async def test() -> None:
        async with hanging(monkeypatch) as (stand, server, _):
            # All but the last byte fits into the node's machine, in whatever segments it comes.
            listening = stand.node.listener.socket
            assert listening is not None
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, len(body))
            client = await stand.client()
            rest = await send_until_blocked(stand, client, long_request("length", "5000m", body))
            client.writer.write(rest[:-1])
            async with asyncio.timeout(WAIT_S):
                while checks < 10:
                    await asyncio.sleep(0.001)
            (attempt,) = stand.node.pool.attempts.values()
            assert attempt.timer is None
            client.writer.write(rest[-1:])
            await stand.event(RequestCompleted)
            assert attempt.timer is not None
            deadline_ms = attempt.deadline_ms
            server.read_on.set()
            assert (await client.answer())[0] == 200
            assert attempt.deadline_ms == deadline_ms and server.received.result() == body

    run(test())


def test_the_time_of_an_attempt_starts_when_its_body_arrived_though_it_is_read_later(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against an attempt whose time starts when the end of its body is read.
    waited_s = 0.2
    monkeypatch.setattr(client_connection, "unread_age_s", lambda _: waited_s)

    async def test() -> None:
        async with hanging(monkeypatch) as (stand, _, client):
            rest = await send_until_blocked(stand, client, long_request("length", "5000m"))
            client.writer.write(rest)
            await stand.event(RequestCompleted)
            (attempt,) = stand.node.pool.attempts.values()
            assert attempt.started_ms <= now_ms() - waited_s * 1000

    run(test())
