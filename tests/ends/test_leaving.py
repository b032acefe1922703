"""A client that leaves while its request waits: nothing of that request is written any more."""

from __future__ import annotations

import asyncio
import socket
from dataclasses import replace
from typing import Any

import pytest

from badgercart.policy.events import AttemptResult, RequestCancelled
from badgercart.upstream.attempts import hindrance
from badgercart.upstream.connection_pool import Attempt, ServerPool
from tests.net import CLASSES, WAIT, Peer, config, held_back, request, run, running


class Gate:
    """Holds every dial back until it is opened; `held` has those that wait."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.opened, self.held = asyncio.Event(), asyncio.Queue[Attempt]()
        connect = ServerPool.connect

        async def gated(pool: ServerPool, attempt: Attempt) -> None:
            self.held.put_nowait(attempt)
            await self.opened.wait()
            await connect(pool, attempt)

        monkeypatch.setattr(ServerPool, "connect", gated)

    def close(self) -> None:
        self.opened.clear()
        while self.held.qsize():
            self.held.get_nowait()

    async def reached(self) -> Attempt:
        return await asyncio.wait_for(self.held.get(), WAIT)


def settings(may_cancel: bool) -> dict[str, Any]:
    return {"settings": replace(config(1).settings, may_cancel=may_cancel)}


@pytest.mark.parametrize("may_cancel", [True, False])
@pytest.mark.parametrize("cls", sorted(CLASSES))
@pytest.mark.parametrize("reset", [True, False])
def test_whoever_leaves_while_a_connection_comes_up_is_not_sent_on(
    monkeypatch: pytest.MonkeyPatch, may_cancel: bool, cls: str, reset: bool
) -> None:
    """Twenty for each way of cancelling, effect and way of leaving: 240 cases."""

    async def test() -> None:
        peer = await Peer().start()
        async with running(peer, **settings(may_cancel)) as stand:
            gate, stays, written = Gate(monkeypatch), await stand.client(), 0
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
                assert (await stays.ask(request(cls)))[
                    0
                ] == 200  # behind what would have been written
                written += peer.requests.qsize() - 1
                while peer.requests.qsize():
                    peer.requests.get_nowait()
                for server in stand.node.pool.servers.values():
                    for connection in server.idle:
                        connection.transport.abort()
                await asyncio.wait_for(peer.ended.get(), WAIT)
                gate.close()
            assert written == 0
            assert (
                not stand.node.pool.attempts
                and not stand.node.pipeline.open_attempts
                and not stand.node.pipeline.cancelled
            )

    run(test())


def test_a_connection_that_the_kernel_brings_up_late_carries_nothing_for_who_has_left() -> None:
    """A real one: the server's queue is full, and what waits in it comes up when the client is
    gone."""

    async def test() -> None:
        peer = await Peer().start()
        late = socket.socket()
        late.bind(("127.0.0.1", 0))
        late.listen(0)
        late.setblocking(False)
        loop = asyncio.get_running_loop()
        fills = []
        while True:  # until one more is not let in
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
            while not stand.node.pool.dials:
                await asyncio.sleep(0)
            client.writer.close()
            assert (await stand.outcome()).result == AttemptResult.NOT_SENT
            await stand.event(RequestCancelled)
            for sock in fills:
                sock.close()
            for _ in fills[1:]:
                sock, _ = await asyncio.wait_for(loop.sock_accept(late), WAIT)
                assert await asyncio.wait_for(loop.sock_recv(sock, 100), WAIT) == b""
                sock.close()
            assert not stand.node.pool.dials
        late.close()

    run(test())


def test_of_requests_sent_ahead_none_goes_on_once_their_client_has_left() -> None:
    """More than are read ahead: the connection is read no further, and its end is noticed all the
    same."""

    async def test() -> None:
        release = asyncio.Event()
        peer = await Peer(held_back(release)).start()
        async with running(peer, **settings(False)) as stand:
            client = await stand.client()
            client.writer.write(b"".join(request() for _ in range(60)))
            await asyncio.wait_for(peer.requests.get(), WAIT)
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


def test_a_client_that_ends_its_side_has_left_though_an_answer_waits_for_it() -> None:
    """Its end is taken at once, not when the transport has got rid of what it has to write."""

    async def test() -> None:
        big = b"HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n" + b"x" * 60000
        gate = asyncio.Event()
        answered = 0

        async def script(peer: Peer, head: bytes, writer: asyncio.StreamWriter) -> None:
            nonlocal answered
            answered += 1
            if answered > 1:
                await gate.wait()
            writer.write(big)

        peer = await Peer(script).start()
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
                await asyncio.wait_for(peer.requests.get(), WAIT)
            assert connection.transport.get_write_buffer_size()
            sock.shutdown(socket.SHUT_WR)
            await stand.event(RequestCancelled)
            assert not stand.node.pipeline.in_flight
            gate.set()
            sock.close()

    run(test())


def test_why_an_attempt_may_not_be_written() -> None:
    for wanted in (True, False):
        for fit in (True, False):
            for left in (-1.0, 0.0, 1.0):
                why = hindrance(wanted, fit, left)
                assert (why is None) == (wanted and fit and left > 0)
                assert why in (
                    None,
                    AttemptResult.NOT_SENT if not wanted else AttemptResult.UNREACHABLE,
                )
