"""A client that has disconnected: no attempt for it, first or further, starts after its close.

It disconnects at the worst time: with the close after all that the node has read, just before the
policy decides, or just before the attempt would be written.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any

import pytest

from badgercart.core.memory_budget import MAX_BUFFERED_MESSAGE_BYTES, MAX_STREAM_WINDOW_BYTES
from badgercart.frontends.http.connection import MAX_PIPELINED_REQUESTS
from badgercart.policy import overload
from badgercart.policy.events import AttemptEnded, Event, Request, TimerFired
from badgercart.policy.settings import Settings
from badgercart.upstream import connection_pool
from badgercart.upstream.connection_pool import ServerPool
from badgercart.upstream.server_connection import ServerConnection
from tests.net import (
    CLASSES,
    OK,
    WAIT_S,
    Client,
    NodeHarness,
    ScriptedServer,
    config,
    limit_send_buffers,
    request,
    run,
    running,
    small_listener,
)

BURST_SIZE = 100
LAST_REQUEST = b"GET /find/last "

Disconnect = Callable[[socket.socket], None]


def close(sock: socket.socket) -> None:
    sock.close()


def reset(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


def half_close(sock: socket.socket) -> None:
    sock.shutdown(socket.SHUT_WR)


DISCONNECTS: list[Disconnect] = [close, reset, half_close]


class Scenario:
    """A node, a server that responds when the test says so, and clients on raw sockets."""

    def __init__(
        self,
        stand: NodeHarness,
        peer: ScriptedServer,
        disconnect: Disconnect,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        self.stand, self.peer, self.monkeypatch = stand, peer, monkeypatch
        self.node, self.disconnect = stand.node, disconnect
        self.socks: list[socket.socket] = []
        self.writers: asyncio.Queue[asyncio.StreamWriter] = asyncio.Queue()
        self.staying_client: Client
        peer.script = self.hold

    async def hold(self, peer: ScriptedServer, head: bytes, writer: asyncio.StreamWriter) -> None:
        if head.startswith(LAST_REQUEST):
            writer.write(OK)
        else:
            self.writers.put_nowait(writer)

    async def received(self) -> asyncio.StreamWriter:
        """Return the connection of the next request that the server has received completely."""
        async with asyncio.timeout(WAIT_S):
            await self.peer.requests.get()
            return await self.writers.get()

    def connect(self) -> socket.socket:
        """Return a connection in the accept queue, made within one iteration of the loop."""
        sock = socket.create_connection(self.node.listener.address)
        sock.settimeout(WAIT_S)
        self.socks.append(sock)
        return sock

    def disconnect_all(self) -> None:
        """Disconnect all clients within one iteration of the loop."""
        for sock in self.socks:
            if sock.fileno() >= 0:
                self.disconnect(sock)

    def disconnect_at(self, *kinds: type[Event], go: Callable[[], None] | None = None) -> None:
        """Have them disconnect when the policy receives such an event, before it decides."""
        policy, go = self.node.pipeline.policy, go or self.disconnect_all
        handle = policy.handle

        def handle_after_disconnect(now: float, event: Event) -> Any:
            if isinstance(event, kinds):
                policy.handle = handle  # type: ignore[method-assign]
                go()
            return handle(now, event)

        policy.handle = handle_after_disconnect  # type: ignore[method-assign]

    def disconnect_when_connected(self) -> None:
        """Have them disconnect once a connection to the server is established, before it is used."""
        begin_attempt = ServerPool.begin_attempt

        def disconnect_then_begin(
            pool: ServerPool, attempt: Any, connection: ServerConnection
        ) -> None:
            self.monkeypatch.setattr(ServerPool, "begin_attempt", begin_attempt)
            self.disconnect_all()
            begin_attempt(pool, attempt, connection)

        self.monkeypatch.setattr(ServerPool, "begin_attempt", disconnect_then_begin)

    async def prepare(self) -> None:
        """Have idle connections to both names of the server, as a retry goes to the other one."""
        self.stand.send(1 << 40, "s-1")
        self.stand.send(1 << 41, "s-2")
        for writer in [await self.received() for _ in range(2)]:
            writer.write(OK)
        others = [await self.stand.client() for _ in range(2)]
        for other in others:
            other.writer.write(request())
        for writer in [await self.received() for _ in others]:
            writer.write(OK)
        for other in others:
            assert (await other.answer())[0] == 200
            other.writer.close()
        await self.all_gone()

    async def all_gone(self) -> None:
        """Wait until only the client that stays is connected, and nothing is in flight."""
        async with asyncio.timeout(WAIT_S):
            while self.node.pipeline.in_flight or len(self.node.listener.connections) > 1:
                await asyncio.sleep(0.001)

    async def send_last(self) -> None:
        """Send a request that arrives after all others, and after all clients that wait."""
        client = await self.stand.client()
        assert (await client.ask(request(key="last")))[0] == 200
        client.writer.close()
        await self.all_gone()


Case = Callable[[Scenario], Awaitable[None]]


# After each case only disconnected clients remain, and what the server received from them before
# has been taken from its queue.


async def right_after_its_request(scenario: Scenario) -> None:
    scenario.connect().sendall(request())
    scenario.disconnect_at(Request)
    await scenario.stand.event(Request)


async def before_it_is_accepted(scenario: Scenario) -> None:
    scenario.connect().sendall(request())
    scenario.disconnect_all()


async def before_its_turn_in_the_key_queue(scenario: Scenario) -> None:
    """Answer the request before it in the key queue, so that its turn has come."""
    scenario.staying_client.writer.write(request("ordered"))
    writer = await scenario.received()
    scenario.connect().sendall(request("ordered"))
    await scenario.stand.event(Request)
    await scenario.stand.event(Request)
    scenario.disconnect_at(AttemptEnded)
    writer.write(OK)
    assert (await scenario.staying_client.answer())[0] == 200


async def before_the_end_of_a_key_cooldown(scenario: Scenario) -> None:
    """Fail the request before it, which may still be executing: its key has a cooldown."""
    scenario.staying_client.writer.write(request("ordered"))
    writer = await scenario.received()
    scenario.connect().sendall(request("ordered"))
    await scenario.stand.event(Request)
    await scenario.stand.event(Request)
    scenario.disconnect_at(TimerFired)
    writer.transport.abort()
    (await scenario.received()).write(OK)  # the retry
    assert (await scenario.staying_client.answer())[0] == 200


async def during_a_connect(scenario: Scenario) -> None:
    while scenario.node.pool.close_longest_idle():
        pass
    scenario.disconnect_when_connected()
    scenario.connect().sendall(request())
    await scenario.stand.event(Request)


async def during_the_reuse_delay(scenario: Scenario) -> None:
    """Every connection has just had a response."""
    scenario.monkeypatch.setattr(connection_pool, "REUSE_DELAY_MS", 50.0)
    scenario.disconnect_when_connected()
    scenario.connect().sendall(request())
    await scenario.stand.event(Request)


async def between_two_attempts(scenario: Scenario) -> None:
    scenario.connect().sendall(request())
    writer = await scenario.received()
    scenario.disconnect_at(AttemptEnded)
    writer.transport.abort()


async def between_two_attempts_after_a_rejection(scenario: Scenario) -> None:
    scenario.connect().sendall(request("pay"))
    writer = await scenario.received()
    scenario.disconnect_at(AttemptEnded)
    writer.write(b"HTTP/1.1 503 Busy\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n")


async def in_a_burst_before_they_are_accepted(scenario: Scenario) -> None:
    for _ in range(BURST_SIZE):
        scenario.connect().sendall(request())
    scenario.disconnect_all()


async def in_a_burst_at_one_of_their_requests(scenario: Scenario) -> None:
    for _ in range(BURST_SIZE):
        scenario.connect().sendall(request())
    scenario.disconnect_at(Request)


async def in_a_burst_during_connects(scenario: Scenario) -> None:
    scenario.node.pool.max_connections = 2 * BURST_SIZE
    # The one server accepts all of them, however long the machine takes.
    scenario.monkeypatch.setattr(overload, "BURST_FULL", 1e9)
    scenario.monkeypatch.setattr(overload, "IN_FLIGHT_FULL", 1e9)
    held, gate, connect = 0, asyncio.Event(), ServerPool.connect

    async def connect_after_gate(pool: ServerPool, attempt: Any) -> None:
        nonlocal held
        held += 1
        await gate.wait()
        await connect(pool, attempt)

    scenario.monkeypatch.setattr(ServerPool, "connect", connect_after_gate)
    while scenario.node.pool.close_longest_idle():
        pass
    for _ in range(BURST_SIZE):
        scenario.connect().sendall(request())
    while held < BURST_SIZE:
        await asyncio.sleep(0)
    scenario.disconnect_when_connected()
    gate.set()


async def with_reading_paused(scenario: Scenario) -> None:
    """More is pipelined than is read; the first request fails at the server, and would be retried."""
    scenario.connect().sendall(b"".join(request() for _ in range(8 * MAX_PIPELINED_REQUESTS)))
    writer = await scenario.received()
    assert scenario.node.listener.paused_clients
    scenario.disconnect_at(AttemptEnded)
    writer.transport.abort()


async def with_reading_paused_and_its_next_read(scenario: Scenario) -> None:
    scenario.connect().sendall(b"".join(request() for _ in range(8 * MAX_PIPELINED_REQUESTS)))
    writer = await scenario.received()
    assert scenario.node.listener.paused_clients
    scenario.disconnect_at(AttemptEnded)
    writer.write(OK)


async def with_reading_paused_and_nothing_to_do(scenario: Scenario) -> None:
    """Disconnect with no event to report it: the node has to check for it."""
    scenario.connect().sendall(b"".join(request() for _ in range(8 * MAX_PIPELINED_REQUESTS)))
    writer = await scenario.received()
    assert scenario.node.listener.paused_clients
    scenario.disconnect_all()
    await scenario.all_gone()
    if not writer.transport.is_closing():  # otherwise its attempt was cancelled
        writer.write(OK)


async def after_a_pipelined_request(scenario: Scenario) -> None:
    scenario.connect().sendall(request() + request("book"))
    writer = await scenario.received()
    scenario.disconnect_at(Request)
    writer.write(OK)


async def after_the_last_bytes_of_a_slow_request(scenario: Scenario) -> None:
    whole = request("book", body=b"x" * 2000)
    sock = scenario.connect()
    sock.sendall(whole[:-1000])
    while not scenario.node.listener.receiving:
        await asyncio.sleep(0)
    scenario.disconnect_at(Request)
    sock.sendall(whole[-1000:])


async def after_a_slow_upload(scenario: Scenario, size: int = 3 * MAX_STREAM_WINDOW_BYTES) -> None:
    """Its server reads nothing of it for now, and must not get the last byte, which starts it."""
    taken, read_on = asyncio.Event(), asyncio.Event()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            taken.set()
            await read_on.wait()
            scenario.peer.requests.put_nowait(await reader.readexactly(size))
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            ended.set()
            writer.close()

    ended, pool = asyncio.Event(), scenario.node.pool
    server = await asyncio.start_server(serve, sock=small_listener(), limit=4096)
    for name in pool.servers.values():
        name.address = server.sockets[0].getsockname()
    while pool.close_longest_idle():
        pass
    limit_send_buffers(scenario.monkeypatch)
    sock = scenario.connect()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2 * MAX_STREAM_WINDOW_BYTES)
    sock.setblocking(False)
    loop = asyncio.get_running_loop()
    sending = asyncio.ensure_future(loop.sock_sendall(sock, request("book", body=b"x" * size)))
    await asyncio.wait_for(taken.wait(), WAIT_S)
    await asyncio.wait_for(sending, WAIT_S)  # all of it is in socket buffers
    if size > 2 * MAX_STREAM_WINDOW_BYTES:
        while not scenario.node.listener.paused_clients:
            await asyncio.sleep(0)
        scenario.disconnect_all()  # its end follows bytes that the node does not read now
    else:
        (in_flight,) = scenario.node.pipeline.in_flight.values()
        while not in_flight.request.complete:
            await asyncio.sleep(0)
        scenario.disconnect_all()
        await scenario.all_gone()
    read_on.set()
    await asyncio.wait_for(ended.wait(), WAIT_S)
    server.close()
    for name in pool.servers.values():
        name.address = ("127.0.0.1", scenario.peer.port)


async def after_a_complete_upload_that_was_forwarded_in_part(scenario: Scenario) -> None:
    await after_a_slow_upload(scenario, MAX_STREAM_WINDOW_BYTES + MAX_BUFFERED_MESSAGE_BYTES)


async def after_a_complete_upload(scenario: Scenario) -> None:
    """All of it has been read, and is buffered for its server."""
    await after_a_slow_upload(scenario, MAX_BUFFERED_MESSAGE_BYTES + 40_000)


CASES: list[Case] = [
    right_after_its_request,
    before_it_is_accepted,
    before_its_turn_in_the_key_queue,
    before_the_end_of_a_key_cooldown,
    during_a_connect,
    during_the_reuse_delay,
    between_two_attempts,
    between_two_attempts_after_a_rejection,
    in_a_burst_before_they_are_accepted,
    in_a_burst_at_one_of_their_requests,
    in_a_burst_during_connects,
    with_reading_paused,
    with_reading_paused_and_its_next_read,
    with_reading_paused_and_nothing_to_do,
    after_a_pipelined_request,
    after_the_last_bytes_of_a_slow_request,
    after_a_slow_upload,
    after_a_complete_upload_that_was_forwarded_in_part,
    after_a_complete_upload,
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
@pytest.mark.parametrize("disconnect", DISCONNECTS, ids=lambda disconnect: disconnect.__name__)
@pytest.mark.parametrize("case", CASES, ids=lambda case: case.__name__)
def test_no_attempt_starts_for_a_client_that_has_disconnected(
    monkeypatch: pytest.MonkeyPatch, case: Case, disconnect: Disconnect, may_cancel: bool
) -> None:
    # Otherwise each attempt on a connection that was just used would be delayed.
    monkeypatch.setattr(connection_pool, "REUSE_DELAY_MS", 0.0)

    async def test() -> None:
        peer = await ScriptedServer().start()
        names = {name.encode(): i for i, name in enumerate([*CLASSES, "ordered"])}
        async with (
            asyncio.timeout(WAIT_S),
            running(peer, peer, settings=settings(may_cancel), classes=names) as stand,
        ):
            scenario = Scenario(stand, peer, disconnect, monkeypatch)
            scenario.staying_client = await stand.client()
            await scenario.prepare()
            while stand.events.qsize():
                stand.events.get_nowait()
            await case(scenario)
            await scenario.all_gone()
            for _ in range(2):
                await scenario.send_last()
            got = [peer.requests.get_nowait() for _ in range(peer.requests.qsize())]
            assert len(got) >= 2 and not [head for head in got if not head.startswith(LAST_REQUEST)]
            join, pool = stand.node.pipeline, stand.node.pool
            async with asyncio.timeout(WAIT_S):
                while join.open_attempts or pool.attempts or join.policy.lifecycle.requests:
                    await asyncio.sleep(0.001)
            assert (
                not join.cancelled
                and not stand.node.listener.open_request_names
                and not stand.node.listener.paused_clients
            )

    run(test())


def test_a_connection_that_is_not_needed_is_kept(monkeypatch: pytest.MonkeyPatch) -> None:
    """New connections are expensive: the next requests use both."""
    monkeypatch.setattr(connection_pool, "REUSE_DELAY_MS", 0.0)

    async def test() -> None:
        peer = await ScriptedServer().start()
        async with asyncio.timeout(WAIT_S), running(peer, peer, settings=settings(False)) as stand:
            scenario = Scenario(stand, peer, close, monkeypatch)
            scenario.staying_client = await stand.client()
            await scenario.prepare()
            idle = [len(server.idle_connections) for server in stand.node.pool.servers.values()]
            for _ in range(4):
                await right_after_its_request(scenario)
                await scenario.send_last()
            assert idle == [
                len(server.idle_connections) for server in stand.node.pool.servers.values()
            ]
            assert sum(idle) == peer.connections >= 2

    run(test())
