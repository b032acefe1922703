"""A client that has gone: no attempt for it, first or further, begins behind its close.

It goes at the worst moment there is: with the close behind all that the node has read, just before
the node decides, or just before it would write.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any

import pytest

from badgercart.core.memory_budget import HOLD, WINDOW
from badgercart.frontends.http.connection import MAX_PIPELINED_REQUESTS
from badgercart.policy import overload
from badgercart.policy.events import AttemptEnded, Event, Request, TimerFired
from badgercart.policy.settings import Settings
from badgercart.upstream import connection_pool as pools
from badgercart.upstream.connection_pool import ServerConnection, ServerPool
from tests.net import CLASSES, OK, WAIT, Client, Peer, Stand, config, request, run, running

MANY = 100
LAST = b"GET /find/last "

Leave = Callable[[socket.socket], None]


def close(sock: socket.socket) -> None:
    sock.close()


def reset(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


def half_close(sock: socket.socket) -> None:
    sock.shutdown(socket.SHUT_WR)


LEAVES: list[Leave] = [close, reset, half_close]


class Scene:
    """A node, a server that answers what it is let answer, and clients on sockets that end at
    once."""

    def __init__(
        self, stand: Stand, peer: Peer, leave: Leave, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        self.stand, self.peer, self.monkeypatch = stand, peer, monkeypatch
        self.node, self.leave = stand.node, leave
        self.socks: list[socket.socket] = []
        self.writers: asyncio.Queue[asyncio.StreamWriter] = asyncio.Queue()
        self.stay: Client
        peer.script = self.hold

    async def hold(self, peer: Peer, head: bytes, writer: asyncio.StreamWriter) -> None:
        if head.startswith(LAST):
            writer.write(OK)
        else:
            self.writers.put_nowait(writer)

    async def begun(self) -> asyncio.StreamWriter:
        """The connection of the next request that the server has whole."""
        async with asyncio.timeout(WAIT):
            await self.peer.requests.get()
            return await self.writers.get()

    def connect(self) -> socket.socket:
        """One that waits to be accepted: nothing of this gives the loop a turn."""
        sock = socket.create_connection(self.node.listener.address)
        sock.settimeout(WAIT)
        self.socks.append(sock)
        return sock

    def go(self) -> None:
        """All clients leave, behind the loop's back."""
        for sock in self.socks:
            if sock.fileno() >= 0:
                self.leave(sock)

    def go_at(self, *kinds: type[Event], go: Callable[[], None] | None = None) -> None:
        """They leave in the moment in which the policy is told such an event, before it decides."""
        policy, go = self.node.pipeline.policy, go or self.go
        handle = policy.handle

        def told(now: float, event: Event) -> Any:
            if isinstance(event, kinds):
                policy.handle = handle  # type: ignore[method-assign]
                go()
            return handle(now, event)

        policy.handle = told  # type: ignore[method-assign]

    def go_on_dialled(self) -> None:
        """They leave in the moment in which a connection to the server is up, before it is written
        on."""
        put_on = ServerPool.put_on

        def dialled(pool: ServerPool, attempt: Any, connection: ServerConnection) -> None:
            self.monkeypatch.setattr(ServerPool, "put_on", put_on)
            self.go()
            put_on(pool, attempt, connection)

        self.monkeypatch.setattr(ServerPool, "put_on", dialled)

    async def ready(self) -> None:
        """Connections stand idle, under both names of the server: what is sent again goes to the
        other."""
        self.stand.send(1 << 40, "s-1")
        self.stand.send(1 << 41, "s-2")
        for writer in [await self.begun() for _ in range(2)]:
            writer.write(OK)
        others = [await self.stand.client() for _ in range(2)]
        for other in others:
            other.writer.write(request())
        for writer in [await self.begun() for _ in others]:
            writer.write(OK)
        for other in others:
            assert (await other.answer())[0] == 200
            other.writer.close()
        await self.gone()

    async def gone(self) -> None:
        """Nobody but who stays is there any more, and nothing is owed."""
        async with asyncio.timeout(WAIT):
            while self.node.pipeline.in_flight or len(self.node.listener.connections) > 1:
                await asyncio.sleep(0.001)

    async def last(self) -> None:
        """What comes behind all that the server was to get, and behind all who wait to be
        accepted."""
        client = await self.stand.client()
        assert (await client.ask(request(key="last")))[0] == 200
        client.writer.close()
        await self.gone()


Case = Callable[[Scene], Awaitable[None]]


# Each leaves behind only clients that have gone. What the server had of them before is taken from
# its queue.


async def right_behind_its_request(scene: Scene) -> None:
    scene.connect().sendall(request())
    scene.go_at(Request)
    await scene.stand.event(Request)


async def before_it_is_accepted(scene: Scene) -> None:
    scene.connect().sendall(request())
    scene.go()


async def before_its_turn_by_key(scene: Scene) -> None:
    """The one ahead of it is answered, and its turn has come."""
    scene.stay.writer.write(request("ordered"))
    writer = await scene.begun()
    scene.connect().sendall(request("ordered"))
    await scene.stand.event(Request)
    await scene.stand.event(Request)
    scene.go_at(AttemptEnded)
    writer.write(OK)
    assert (await scene.stay.answer())[0] == 200


async def before_the_end_of_a_keys_rest(scene: Scene) -> None:
    """The one ahead of it may run on, which its key waits for."""
    scene.stay.writer.write(request("ordered"))
    writer = await scene.begun()
    scene.connect().sendall(request("ordered"))
    await scene.stand.event(Request)
    await scene.stand.event(Request)
    scene.go_at(TimerFired)
    writer.transport.abort()
    (await scene.begun()).write(OK)  # sent again
    assert (await scene.stay.answer())[0] == 200


async def while_a_connection_comes_up(scene: Scene) -> None:
    while scene.node.pool.close_an_idle_one():
        pass
    scene.go_on_dialled()
    scene.connect().sendall(request())
    await scene.stand.event(Request)


async def while_a_connection_rests(scene: Scene) -> None:
    """Every one has just had an answer."""
    scene.monkeypatch.setattr(pools, "REST", 50.0)
    scene.go_on_dialled()
    scene.connect().sendall(request())
    await scene.stand.event(Request)


async def between_two_attempts(scene: Scene) -> None:
    scene.connect().sendall(request())
    writer = await scene.begun()
    scene.go_at(AttemptEnded)
    writer.transport.abort()


async def between_two_attempts_refused(scene: Scene) -> None:
    scene.connect().sendall(request("pay"))
    writer = await scene.begun()
    scene.go_at(AttemptEnded)
    writer.write(b"HTTP/1.1 503 Busy\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n")


async def in_a_burst_before_they_are_accepted(scene: Scene) -> None:
    for _ in range(MANY):
        scene.connect().sendall(request())
    scene.go()


async def in_a_burst_at_one_of_their_requests(scene: Scene) -> None:
    for _ in range(MANY):
        scene.connect().sendall(request())
    scene.go_at(Request)


async def in_a_burst_while_connections_come_up(scene: Scene) -> None:
    scene.node.pool.max_connections = 2 * MANY
    # All of them are taken on, by one server, however long the machine takes over it.
    scene.monkeypatch.setattr(overload, "BURST_FULL", 1e9)
    scene.monkeypatch.setattr(overload, "IN_FLIGHT_FULL", 1e9)
    held, gate, connect = 0, asyncio.Event(), ServerPool.connect

    async def gated(pool: ServerPool, attempt: Any) -> None:
        nonlocal held
        held += 1
        await gate.wait()
        await connect(pool, attempt)

    scene.monkeypatch.setattr(ServerPool, "connect", gated)
    while scene.node.pool.close_an_idle_one():
        pass
    for _ in range(MANY):
        scene.connect().sendall(request())
    while held < MANY:
        await asyncio.sleep(0)
    scene.go_on_dialled()
    gate.set()


async def with_reading_paused(scene: Scene) -> None:
    """More is sent ahead than is read; the server fails the first, and it would be sent again."""
    scene.connect().sendall(b"".join(request() for _ in range(8 * MAX_PIPELINED_REQUESTS)))
    writer = await scene.begun()
    assert scene.node.listener.paused_clients
    scene.go_at(AttemptEnded)
    writer.transport.abort()


async def with_reading_paused_and_its_next_read(scene: Scene) -> None:
    scene.connect().sendall(b"".join(request() for _ in range(8 * MAX_PIPELINED_REQUESTS)))
    writer = await scene.begun()
    assert scene.node.listener.paused_clients
    scene.go_at(AttemptEnded)
    writer.write(OK)


async def with_reading_paused_and_nothing_to_do(scene: Scene) -> None:
    """It is looked for: no other event tells of it."""
    scene.connect().sendall(b"".join(request() for _ in range(8 * MAX_PIPELINED_REQUESTS)))
    writer = await scene.begun()
    assert scene.node.listener.paused_clients
    scene.go()
    await scene.gone()
    if not writer.transport.is_closing():  # else its attempt was cancelled
        writer.write(OK)


async def behind_a_request_that_was_read_ahead(scene: Scene) -> None:
    scene.connect().sendall(request() + request("book"))
    writer = await scene.begun()
    scene.go_at(Request)
    writer.write(OK)


async def behind_the_last_bytes_of_a_slow_request(scene: Scene) -> None:
    whole = request("book", body=b"x" * 2000)
    sock = scene.connect()
    sock.sendall(whole[:-1000])
    while not scene.node.listener.receiving:
        await asyncio.sleep(0)
    scene.go_at(Request)
    sock.sendall(whole[-1000:])


async def behind_a_slow_upload(scene: Scene, size: int = 3 * WINDOW) -> None:
    """Its server reads nothing of it for now. It begins with the last byte, which must not come."""
    taken, read_on = asyncio.Event(), asyncio.Event()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            taken.set()
            await read_on.wait()
            scene.peer.requests.put_nowait(await reader.readexactly(size))
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            ended.set()
            writer.close()

    ended, pool = asyncio.Event(), scene.node.pool
    server = await asyncio.start_server(serve, sock=small_listener(), limit=4096)
    for name in pool.servers.values():
        name.address = server.sockets[0].getsockname()
    while pool.close_an_idle_one():
        pass
    made = ServerConnection.connection_made

    def small(self: ServerConnection, transport: Any) -> None:
        made(self, transport)
        own = transport.get_extra_info("socket")
        own.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)

    scene.monkeypatch.setattr(ServerConnection, "connection_made", small)
    sock = scene.connect()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2 * WINDOW)
    sock.setblocking(False)
    loop = asyncio.get_running_loop()
    sending = asyncio.ensure_future(loop.sock_sendall(sock, request("book", body=b"x" * size)))
    await asyncio.wait_for(taken.wait(), WAIT)
    await asyncio.wait_for(sending, WAIT)  # the system has taken all of it
    if size > 2 * WINDOW:
        while not scene.node.listener.paused_clients:
            await asyncio.sleep(0)
        scene.go()  # its end lies behind what the node does not read now
    else:
        (held,) = scene.node.pipeline.in_flight.values()
        while not held.request.complete:
            await asyncio.sleep(0)
        scene.go()
        await scene.gone()
    read_on.set()
    await asyncio.wait_for(ended.wait(), WAIT)
    server.close()
    for name in pool.servers.values():
        name.address = ("127.0.0.1", scene.peer.port)


async def behind_an_upload_that_came_in_whole_and_in_part_went_on(scene: Scene) -> None:
    await behind_a_slow_upload(scene, WINDOW + HOLD)


async def behind_an_upload_that_came_in_whole(scene: Scene) -> None:
    """All of it was read, and waits here for its server."""
    await behind_a_slow_upload(scene, HOLD + 40_000)


def small_listener() -> socket.socket:
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
    listener.bind(("127.0.0.1", 0))
    listener.listen(8)
    return listener


CASES: list[Case] = [
    right_behind_its_request,
    before_it_is_accepted,
    before_its_turn_by_key,
    before_the_end_of_a_keys_rest,
    while_a_connection_comes_up,
    while_a_connection_rests,
    between_two_attempts,
    between_two_attempts_refused,
    in_a_burst_before_they_are_accepted,
    in_a_burst_at_one_of_their_requests,
    in_a_burst_while_connections_come_up,
    with_reading_paused,
    with_reading_paused_and_its_next_read,
    with_reading_paused_and_nothing_to_do,
    behind_a_request_that_was_read_ahead,
    behind_the_last_bytes_of_a_slow_request,
    behind_a_slow_upload,
    behind_an_upload_that_came_in_whole_and_in_part_went_on,
    behind_an_upload_that_came_in_whole,
]


def settings(may_cancel: bool) -> Settings:
    given = config(1, attempts=3).settings
    find = given.classes[list(CLASSES).index("find")]
    return replace(
        given,
        classes=(*given.classes, replace(find, serialized_by_key=True)),
        may_cancel=may_cancel,
        key_cooldown_ms=500.0,
    )


@pytest.mark.parametrize("may_cancel", [True, False], ids=["may cancel", "may not"])
@pytest.mark.parametrize("leave", LEAVES, ids=lambda leave: leave.__name__)
@pytest.mark.parametrize("case", CASES, ids=lambda case: case.__name__)
def test_no_attempt_begins_for_a_client_that_has_gone(
    monkeypatch: pytest.MonkeyPatch, case: Case, leave: Leave, may_cancel: bool
) -> None:
    monkeypatch.setattr(
        pools, "REST", 0.0
    )  # else each attempt on a connection in use waits for a turn

    async def test() -> None:
        peer = await Peer().start()
        names = {name.encode(): i for i, name in enumerate([*CLASSES, "ordered"])}
        async with (
            asyncio.timeout(WAIT),
            running(peer, peer, settings=settings(may_cancel), classes=names) as stand,
        ):
            scene = Scene(stand, peer, leave, monkeypatch)
            scene.stay = await stand.client()
            await scene.ready()
            while stand.events.qsize():
                stand.events.get_nowait()
            await case(scene)
            await scene.gone()
            for _ in range(2):
                await scene.last()
            got = [peer.requests.get_nowait() for _ in range(peer.requests.qsize())]
            assert len(got) >= 2 and not [head for head in got if not head.startswith(LAST)]
            join, pool = stand.node.pipeline, stand.node.pool
            async with asyncio.timeout(WAIT):
                while join.open_attempts or pool.attempts or join.policy.lifecycle.requests:
                    await asyncio.sleep(0.001)
            assert (
                not join.cancelled
                and not stand.node.listener.open_request_names
                and not stand.node.listener.paused_clients
            )

    run(test())


def test_the_connection_that_is_not_needed_is_kept(monkeypatch: pytest.MonkeyPatch) -> None:
    """New ones are dear: both are used by who comes next."""
    monkeypatch.setattr(pools, "REST", 0.0)

    async def test() -> None:
        peer = await Peer().start()
        async with asyncio.timeout(WAIT), running(peer, peer, settings=settings(False)) as stand:
            scene = Scene(stand, peer, close, monkeypatch)
            scene.stay = await stand.client()
            await scene.ready()
            idle = [len(server.idle) for server in stand.node.pool.servers.values()]
            for _ in range(4):
                await right_behind_its_request(scene)
                await scene.last()
            assert idle == [len(server.idle) for server in stand.node.pool.servers.values()]
            assert sum(idle) == peer.connections >= 2

    run(test())
