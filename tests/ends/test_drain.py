"""The end of a process, and of a connection, with something still owed: it is answered, once, and
in time."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

import pytest

from badgercart import node as platform
from badgercart.frontends.http import clients
from badgercart.frontends.http import connection_eviction as crowd
from badgercart.frontends.http.clients import Listener
from badgercart.frontends.http.connection import ConnectionState
from badgercart.policy.events import Request
from tests.ends.test_leaving import Gate
from tests.net import WAIT, Client, Peer, Stand, held_back, request, run, running, stay_silent


@pytest.fixture
def soon(monkeypatch: pytest.MonkeyPatch) -> None:
    """A process is killed 0.4 s after it was told to end, whatever its clients' time."""
    monkeypatch.setattr(platform, "DRAIN_ACCEPT_S", 0.1)
    monkeypatch.setattr(clients, "DRAIN_ACCEPT_S", 0.1)
    monkeypatch.setattr(platform, "MAX_DRAIN_MS", 300.0)


# By effect: the answer to a request that was not written, and to one that may have run.
ANSWERS = {"find": (503, 503), "book": (503, 503), "pay": (503, 502)}


@pytest.mark.usefixtures("soon")
@pytest.mark.parametrize("written", [False, True], ids=["dialling", "written"])
@pytest.mark.parametrize("cls", ANSWERS)
def test_what_is_held_to_the_end_is_answered_before_the_process_is_killed(
    cls: str, written: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        peer = await Peer(stay_silent).start()
        async with running(peer) as stand:
            gate = None if written else Gate(monkeypatch)
            client = await stand.client()
            client.writer.write(request(cls))  # with 8 s to go
            await (peer.requests.get() if gate is None else gate.reached())
            await stand.node.drain()
            assert (
                not stand.node.pipeline.in_flight
                and not stand.node.pipeline.policy.lifecycle.requests
            )  # now the process would end
            status, head, _ = await client.answer()
            assert status == ANSWERS[cls][written]
            assert (b"Retry-After" in head) == (status == 503)
            assert await client.end() == b""

    run(test())


@pytest.mark.usefixtures("soon")
def test_what_comes_late_on_a_connection_has_no_more_time_than_the_process() -> None:
    """Its head was begun before the signal, and ends behind it."""

    async def test() -> None:
        peer = await Peer(stay_silent).start()
        async with running(peer) as stand:
            client, data = await stand.client(), request()
            client.writer.write(data[:40])
            while not stand.node.listener.receiving:
                await asyncio.sleep(0)
            ending = asyncio.ensure_future(stand.node.drain())
            await asyncio.sleep(0)
            client.writer.write(data[40:])
            event = await stand.event(Request)
            assert event.deadline_at_ms == stand.node.pipeline.shutdown_deadline
            assert (await client.answer())[0] == 503
            await asyncio.wait_for(ending, WAIT)

    run(test())


@pytest.mark.usefixtures("soon")
def test_clients_that_wait_in_the_backlog_are_heard_before_the_listener_closes() -> None:
    async def test() -> None:
        release = asyncio.Event()
        peer = await Peer(held_back(release)).start()
        async with running(peer, sockets=96) as stand:
            listener = stand.node.listener
            listener.max_connections = 1
            busy = [await stand.client()]
            for client in busy:
                client.writer.write(request())
                await asyncio.wait_for(peer.requests.get(), WAIT)
            waiting = [await stand.client() for _ in range(3)]  # by the kernel's word
            for client in waiting:
                client.writer.write(request())
            ending = asyncio.ensure_future(stand.node.drain())
            await asyncio.sleep(0.15)  # longer than clients are accepted
            assert len(listener.connections) == 1 and listener.socket is not None
            release.set()
            for client in busy + waiting:
                assert (await client.answer())[0] in (200, 503)  # by the time that is left
                client.writer.close()
            await asyncio.wait_for(ending, WAIT)

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


async def client_in(state: ConnectionState, stand: Stand) -> tuple[Client, bytes]:
    """A client whose connection is in that state, and what it still has to send."""
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
def test_a_request_that_lies_unread_is_not_lost_by_the_end_of_its_connection(
    state: ConnectionState, end: Callable[[Listener], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its last byte comes within the turn of the loop that would have ended its connection."""

    async def test() -> None:
        async with running(await Peer().start()) as stand:
            client, rest = await client_in(state, stand)
            other, _ = await client_in(state, stand)  # one that says nothing ends, as it should
            monkeypatch.setattr(
                crowd, "EVICTION_ORDER", tuple((kind, -1.0) for kind, _ in crowd.EVICTION_ORDER)
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


def test_a_process_leaves_by_one_time_for_all_its_fronts() -> None:
    async def test() -> None:
        async with running(await Peer(stay_silent).start()) as stand:
            join = stand.node.pipeline
            join.begin_shutdown(join.clock() - 1.0)
            client = await stand.client()
            assert (await client.ask(request()))[0] == 503  # at once: there is no time left
            assert not join.in_flight

    run(test())
