"""The end of a process or of a connection with requests in flight: each gets one response in time."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

import pytest

from badgercart import node as platform
from badgercart.frontends.http import clients, connection_eviction
from badgercart.frontends.http.clients import Listener
from badgercart.frontends.http.connection import ConnectionState
from badgercart.policy.events import Request
from tests.ends.test_disconnect_while_waiting import ConnectGate
from tests.net import (
    WAIT_S,
    Client,
    NodeHarness,
    ScriptedServer,
    answer,
    answer_after,
    request,
    run,
    running,
    stay_silent,
)


@pytest.fixture
def short_shutdown(monkeypatch: pytest.MonkeyPatch) -> None:
    """Have a process end 0.4 s after its shutdown starts, whatever its clients' timeouts."""
    monkeypatch.setattr(platform, "DRAIN_ACCEPT_S", 0.1)
    monkeypatch.setattr(clients, "DRAIN_ACCEPT_S", 0.1)
    monkeypatch.setattr(platform, "MAX_DRAIN_MS", 300.0)


# By class: the status for a request that was not written, and for one that may have been executed.
ANSWERS = {"find": (503, 503), "book": (503, 503), "pay": (503, 502)}


@pytest.mark.usefixtures("short_shutdown")
@pytest.mark.parametrize("written", [False, True], ids=["connecting", "written"])
@pytest.mark.parametrize("cls", ANSWERS)
def test_requests_in_flight_at_shutdown_are_answered_before_the_process_is_killed(
    cls: str, written: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        peer = await ScriptedServer(stay_silent).start()
        async with running(peer) as stand:
            gate = None if written else ConnectGate(monkeypatch)
            client = await stand.client()
            client.writer.write(request(cls))  # its timeout is 8 s
            await (peer.requests.get() if gate is None else gate.reached())
            await stand.node.drain()
            # The process would end now.
            assert (
                not stand.node.pipeline.in_flight
                and not stand.node.pipeline.policy.lifecycle.requests
            )
            status, head, _ = await client.answer()
            assert status == ANSWERS[cls][written]
            assert (b"Retry-After" in head) == (status == 503)
            assert await client.end() == b""

    run(test())


@pytest.mark.usefixtures("short_shutdown")
def test_a_request_that_completes_during_shutdown_has_the_shutdown_deadline() -> None:
    """Its header section starts before the signal and ends after it."""

    async def test() -> None:
        peer = await ScriptedServer(stay_silent).start()
        async with running(peer) as stand:
            client, data = await stand.client(), request()
            client.writer.write(data[:40])
            while not stand.node.listener.receiving:
                await asyncio.sleep(0)
            ending = asyncio.ensure_future(stand.node.drain())
            await asyncio.sleep(0)
            client.writer.write(data[40:])
            event = await stand.event(Request)
            assert event.deadline_at_ms == stand.node.pipeline.shutdown_deadline_ms
            assert (await client.answer())[0] == 503
            await asyncio.wait_for(ending, WAIT_S)

    run(test())


@pytest.mark.usefixtures("short_shutdown")
def test_clients_in_the_accept_queue_are_served_before_the_listener_closes() -> None:
    async def test() -> None:
        release = asyncio.Event()
        peer = await ScriptedServer(answer_after(release)).start()
        async with running(peer, sockets=96) as stand:
            listener = stand.node.listener
            listener.max_connections = 1
            busy = [await stand.client()]
            for client in busy:
                client.writer.write(request())
                await asyncio.wait_for(peer.requests.get(), WAIT_S)
            waiting = [await stand.client() for _ in range(3)]  # in the accept queue
            for client in waiting:
                client.writer.write(request())
            ending = asyncio.ensure_future(stand.node.drain())
            await asyncio.sleep(0.15)  # longer than clients are accepted
            assert len(listener.connections) == 1 and listener.socket is not None
            release.set()
            for client in busy + waiting:
                assert (await client.answer())[0] in (200, 503)  # depending on the remaining time
                client.writer.close()
            await asyncio.wait_for(ending, WAIT_S)

    run(test())


def evict(listener: Listener) -> None:
    assert listener.evict_one()


def sweep(listener: Listener) -> None:
    listener.check_timeouts()


def close_idle(listener: Listener) -> None:
    listener.close_idle()


def shrink(listener: Listener) -> None:
    listener.set_max_connections(0)


CROSSINGS: list[tuple[ConnectionState, Callable[[Listener], None]]] = [
    (ConnectionState.NEW, evict),
    (ConnectionState.NEW, sweep),
    (ConnectionState.NEW, close_idle),
    (ConnectionState.RECEIVING, evict),
    (ConnectionState.RECEIVING, sweep),
    (ConnectionState.IDLE, evict),
    (ConnectionState.IDLE, sweep),
    (ConnectionState.IDLE, close_idle),
    (ConnectionState.IDLE, shrink),
]


async def client_in(state: ConnectionState, stand: NodeHarness) -> tuple[Client, bytes]:
    """Return a client whose connection is in a state, and what it still has to send."""
    before, data = len(stand.node.listener.waiting_since[state]), request()
    client = await stand.client()
    if state is ConnectionState.IDLE:
        assert (await client.ask(b"GET /_health HTTP/1.1\r\n\r\n"))[0] == 200
    if state is ConnectionState.RECEIVING:
        client.writer.write(data[:40])
        data = data[40:]
    while len(stand.node.listener.waiting_since[state]) == before:
        await asyncio.sleep(0)
    return client, data


@pytest.mark.parametrize(
    ("state", "end"), CROSSINGS, ids=lambda x: getattr(x, "name", "") or x.__name__
)
def test_an_unread_request_is_not_lost_when_its_connection_would_be_closed(
    state: ConnectionState, end: Callable[[Listener], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its last byte arrives in the iteration of the loop that would have closed the connection."""

    async def test() -> None:
        async with running(await ScriptedServer().start()) as stand:
            client, rest = await client_in(state, stand)
            other, _ = await client_in(state, stand)  # a silent one is closed, as it should be
            monkeypatch.setattr(
                connection_eviction,
                "EVICTION_ORDER",
                tuple((kind, -1.0) for kind, _ in connection_eviction.EVICTION_ORDER),
            )
            for name in ("REQUEST_TIMEOUT_S", "KEEP_ALIVE_TIMEOUT_S", "FIRST_BYTE_GRACE_S"):
                monkeypatch.setattr(clients, name, -1.0)
            sock: socket.socket = client.writer.get_extra_info("socket")
            sent = socket.fromfd(sock.fileno(), sock.family, sock.type)
            assert sent.send(rest) == len(rest)
            sent.close()
            end(stand.node.listener)
            monkeypatch.undo()
            assert (await client.answer())[0] == 200
            assert b"200" not in await other.end()

    run(test())


def test_the_shutdown_deadline_holds_for_requests_of_all_frontends() -> None:
    async def test() -> None:
        async with running(await ScriptedServer(stay_silent).start()) as stand:
            join = stand.node.pipeline
            join.begin_shutdown(join.clock() - 1.0)
            client = await stand.client()
            assert (await client.ask(request()))[0] == 503  # at once: no time remains
            assert not join.in_flight

    run(test())


HEADS = {
    "length": b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n",
    "chunked": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
}


@pytest.mark.usefixtures("short_shutdown")
@pytest.mark.parametrize("form", HEADS)
def test_an_answer_whose_body_comes_too_late_for_the_end_of_the_process_is_not_begun(
    form: str,
) -> None:
    async def test() -> None:
        peer = await ScriptedServer(answer(HEADS[form])).start()
        async with running(peer, aim=100.0) as stand:
            draining = asyncio.ensure_future(stand.node.drain())
            await asyncio.sleep(0)
            client = await stand.client()
            status, _, _ = await client.ask(request("pay"))  # its timeout is 8 s
            assert status == 502
            await draining

    run(test())
