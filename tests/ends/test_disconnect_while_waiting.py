"""A client that disconnects while its request waits: nothing of that request is written any more."""

from __future__ import annotations

import asyncio
import itertools
import socket
from dataclasses import replace
from typing import Any

import pytest

from badgercart.policy.events import AttemptResult, RequestCancelled
from badgercart.upstream.attempts import result_if_blocked
from badgercart.upstream.connection_pool import ServerPool
from badgercart.upstream.server_connection import Attempt
from tests.net import CLASSES, WAIT_S, ScriptedServer, answer_after, config, request, run, running


class ConnectGate:
    """Delays every connect until `opened` is set; `held` has the attempts that wait."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.opened, self.held = asyncio.Event(), asyncio.Queue[Attempt]()
        connect = ServerPool.connect

        async def wait_and_connect(pool: ServerPool, attempt: Attempt) -> None:
            self.held.put_nowait(attempt)
            await self.opened.wait()
            await connect(pool, attempt)

        monkeypatch.setattr(ServerPool, "connect", wait_and_connect)

    def close(self) -> None:
        """Delay connects again, and forget the attempts that waited."""
        self.opened.clear()
        while self.held.qsize():
            self.held.get_nowait()

    async def reached(self) -> Attempt:
        """Return the next attempt that waits."""
        return await asyncio.wait_for(self.held.get(), WAIT_S)


def settings(may_cancel: bool) -> dict[str, Any]:
    return {"settings": replace(config(1).settings, may_cancel=may_cancel)}


@pytest.mark.parametrize("may_cancel", [True, False])
@pytest.mark.parametrize("cls", sorted(CLASSES))
@pytest.mark.parametrize("reset", [True, False])
def test_a_request_whose_client_disconnects_during_a_connect_is_not_sent(
    monkeypatch: pytest.MonkeyPatch, may_cancel: bool, cls: str, reset: bool
) -> None:
    """Twenty requests for each setting, class and kind of disconnect: 240 cases."""

    async def test() -> None:
        peer = await ScriptedServer().start()
        async with running(peer, **settings(may_cancel)) as stand:
            gate, stays, written = ConnectGate(monkeypatch), await stand.client(), 0
            for _ in range(20):
                client = await stand.client()
                client.writer.write(request(cls))
                await gate.reached()
                if reset:
                    client.writer.transport.abort()
                else:
                    client.writer.close()
                await stand.event(RequestCancelled)
                gate.opened.set()
                # Sent after anything that would have been written.
                assert (await stays.ask(request(cls)))[0] == 200
                written += peer.requests.qsize() - 1
                while peer.requests.qsize():
                    peer.requests.get_nowait()
                for server in stand.node.pool.servers.values():
                    for connection in server.idle_connections:
                        connection.transport.abort()
                await asyncio.wait_for(peer.ended.get(), WAIT_S)
                gate.close()
            assert written == 0
            assert (
                not stand.node.pool.attempts
                and not stand.node.pipeline.open_attempts
                and not stand.node.pipeline.cancelled
            )

    run(test())


def test_a_connection_that_is_established_late_carries_nothing_for_a_disconnected_client() -> None:
    """The server's accept queue is full: the connection is established after the disconnect."""

    async def test() -> None:
        peer = await ScriptedServer().start()
        late = socket.socket()
        late.bind(("127.0.0.1", 0))
        late.listen(0)
        late.setblocking(False)
        loop = asyncio.get_running_loop()
        fills = []
        while True:  # until the queue is full
            fills.append(socket.socket())
            fills[-1].setblocking(False)
            try:
                await asyncio.wait_for(loop.sock_connect(fills[-1], late.getsockname()), 0.2)
            except TimeoutError:
                break
        peer.port = late.getsockname()[1]
        async with running(peer, **settings(False)) as stand:
            client = await stand.client()
            client.writer.write(request())
            while not stand.node.pool.connecting:
                await asyncio.sleep(0)
            client.writer.close()
            assert (await stand.outcome()).result == AttemptResult.NOT_SENT
            await stand.event(RequestCancelled)
            for sock in fills:
                sock.close()
            for _ in fills[1:]:
                sock, _ = await asyncio.wait_for(loop.sock_accept(late), WAIT_S)
                assert await asyncio.wait_for(loop.sock_recv(sock, 100), WAIT_S) == b""
                sock.close()
            assert not stand.node.pool.connecting
        late.close()

    run(test())


def test_no_pipelined_request_is_forwarded_after_its_client_has_disconnected() -> None:
    """There are more requests than the node reads ahead.

    It stops reading the connection, and notices the end of it all the same.
    """

    async def test() -> None:
        release = asyncio.Event()
        peer = await ScriptedServer(answer_after(release)).start()
        async with running(peer, **settings(False)) as stand:
            client = await stand.client()
            client.writer.write(b"".join(request() for _ in range(60)))
            await asyncio.wait_for(peer.requests.get(), WAIT_S)
            async for connection in stand.connections(1):
                assert connection.machine.reading_paused
            client.writer.close()
            await stand.event(RequestCancelled)
            release.set()
            other = await stand.client()
            assert (await other.ask(request()))[0] == 200
            assert peer.requests.qsize() == 1
            assert not stand.node.listener.open_request_names

    run(test())


def test_a_half_closed_client_counts_as_disconnected_despite_unwritten_responses() -> None:
    """The end of its stream counts at once, not when the transport's write buffer is empty."""

    async def test() -> None:
        big = b"HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n" + b"x" * 60000
        gate = asyncio.Event()
        answered = 0

        async def script(peer: ScriptedServer, head: bytes, writer: asyncio.StreamWriter) -> None:
            nonlocal answered
            answered += 1
            if answered > 1:
                await gate.wait()
            writer.write(big)

        peer = await ScriptedServer(script).start()
        async with running(peer, **settings(False)) as stand:
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
            sock.setblocking(False)
            loop = asyncio.get_running_loop()
            await loop.sock_connect(sock, stand.node.listener.address)
            async for connection in stand.connections(1):
                while not hasattr(connection, "transport"):
                    await asyncio.sleep(0)
                transport_socket = connection.transport.get_extra_info("socket")
                transport_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2048)
            await loop.sock_sendall(sock, request() + request())
            for _ in range(2):
                await asyncio.wait_for(peer.requests.get(), WAIT_S)
            assert connection.transport.get_write_buffer_size()
            sock.shutdown(socket.SHUT_WR)
            await stand.event(RequestCancelled)
            assert not stand.node.pipeline.in_flight
            gate.set()
            sock.close()

    run(test())


def test_result_if_blocked_names_why_an_attempt_may_not_be_written() -> None:
    times_ms = (-1.0, 0.0, 1.0)
    for is_awaited, server_usable, remaining_ms, repeat_ms in itertools.product(
        (True, False), (True, False), times_ms, times_ms
    ):
        result = result_if_blocked(is_awaited, server_usable, remaining_ms, repeat_ms)
        in_time = remaining_ms > 0
        assert (result is None) == (is_awaited and server_usable and in_time and repeat_ms > 0)
        if result is not None:
            another_server = is_awaited and not (server_usable and in_time)
            assert result is (
                AttemptResult.UNREACHABLE if another_server else AttemptResult.NOT_SENT
            )
