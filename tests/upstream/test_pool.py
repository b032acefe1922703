"""The connection pool: how attempts end, and which connections are reused."""

from __future__ import annotations

import asyncio
import gc
import os
import socket
import time
import weakref

import pytest

from badgercart.core.clock import now_ms
from badgercart.core.identifiers import stable_id
from badgercart.policy.actions import Send
from badgercart.policy.events import AttemptResult, EndpointUpdate, Request
from badgercart.upstream import connection_pool
from badgercart.upstream.connection_pool import ServerPool
from badgercart.upstream.server_connection import Attempt, ServerConnection
from tests.net import (
    OK,
    WAIT_S,
    Script,
    ScriptedServer,
    answer,
    answer_ok,
    field,
    hang_up,
    request,
    run,
    running,
    stay_silent,
)


def close_after(data: bytes) -> Script:
    """Send these bytes, then close the connection."""

    async def script(peer: ScriptedServer, head: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(data)
        writer.close()

    return script


def answer_and_keep(writers: list[asyncio.StreamWriter]) -> Script:
    """Send a good response, and hand the connection to the test for further bytes."""

    async def script(peer: ScriptedServer, head: bytes, writer: asyncio.StreamWriter) -> None:
        writers.append(writer)
        writer.write(OK)

    return script


CHUNKS = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


@pytest.mark.parametrize(
    ("script", "result"),
    [
        (answer_ok, AttemptResult.OK),
        (answer(b"HTTP/1.1 100 Continue\r\n\r\n" + OK), AttemptResult.OK),
        (answer(b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"), AttemptResult.ERROR),
        (answer(b"HTTP/1.1 429 No\r\nContent-Length: 0\r\n\r\n"), AttemptResult.ERROR),
        (answer(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"), AttemptResult.ERROR),
        (
            answer(b"HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"),
            AttemptResult.FULL,
        ),
        (
            answer(b"HTTP/1.1 504 No\r\nnot-started: 1\r\nContent-Length: 0\r\n\r\n"),
            AttemptResult.FULL,
        ),
        (
            answer(b"HTTP/1.1 500 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"),
            AttemptResult.ERROR,
        ),
        (answer(b"no HTTP at all\r\n\r\n"), AttemptResult.ERROR),
        (
            answer(b"HTTP/1.1 500 No\r\nContent-Length: 70000\r\n\r\n" + bytes(70000)),
            AttemptResult.ERROR,
        ),
        (close_after(b"HTTP/1.1 200 OK\r\n\r\ndone"), AttemptResult.OK),
        (close_after(b"HTTP/1.0 200 OK\r\nContent-Length: 4 \r\n\r\ndone"), AttemptResult.OK),
        (close_after(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\ndone"), AttemptResult.RESET),
        (close_after(CHUNKS + b"4;x=y\r\ndone\r\n"), AttemptResult.RESET),
        (
            answer(CHUNKS.replace(b"chunked", b"Chunked ") + b"4;x=y\r\ndone\r\n0\r\nT: u\r\n\r\n"),
            AttemptResult.OK,
        ),
        (
            answer(
                OK.replace(b"Content-Length: 4", b"Content-Length: 4\r\nServer-Load: \xff\xfe =,")
            ),
            AttemptResult.OK,
        ),
        (answer(b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" * 8 + OK), AttemptResult.OK),
        (answer(b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" * 9 + OK), AttemptResult.ERROR),
        (
            answer(b"HTTP/1.1 101 Go\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n"),
            AttemptResult.ERROR,
        ),
        # Header sections that don't end, and lengths that no response has: these fail at once, not
        # at the timeout.
        (answer(b"HTTP/1.1 200 OK\r\nX: " + b"y" * 20_000), AttemptResult.ERROR),
        (answer(b"HTTP/1.1 200 OK\r\n" + b"X: y\r\n" * 4000), AttemptResult.ERROR),
        (answer(b"HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\n"), AttemptResult.ERROR),
        (
            answer(CHUNKS.replace(b"chunked", b"chunked\t") + b"4\r\ndone\r\n0\r\n\r\n"),
            AttemptResult.ERROR,
        ),
        (answer(CHUNKS + b"1;" + b"x" * 200_000), AttemptResult.ERROR),
        (
            answer(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n" + CHUNKS),
            AttemptResult.ERROR,
        ),
        (answer(CHUNKS + b"4\r\ndone\r\n0\r\nX: " + b"y" * 200_000), AttemptResult.ERROR),
        # Ambiguous framing.
        (
            answer(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\ndone"),
            AttemptResult.ERROR,
        ),
        (answer(b"HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\ndone"), AttemptResult.ERROR),
        (answer(b"HTTP/1.1 200 OK\r\nContent-Length: 4 4\r\n\r\ndone"), AttemptResult.ERROR),
        (
            answer(CHUNKS.replace(b"\r\n\r\n", b"\r\nContent-Length: 4\r\n\r\n") + b"done"),
            AttemptResult.ERROR,
        ),
        (answer(CHUNKS + b"4\r\ndonedone\r\n0\r\n\r\n"), AttemptResult.ERROR),
        (answer(b"HTTP/1.1 20 OK\r\nContent-Length: 4\r\n\r\ndone"), AttemptResult.ERROR),
        (answer(b"HTTP/1.1 200 OK\r\nContent Length: 4\r\n\r\ndone"), AttemptResult.ERROR),
        (hang_up, AttemptResult.RESET),
    ],
)
def test_each_response_has_its_result(script: Script, result: AttemptResult) -> None:
    async def test() -> None:
        async with running(await ScriptedServer(script).start()) as stand:
            client = await stand.client()
            status, head, _ = await client.ask(request())
            assert (await stand.outcome()).result == result
            assert status == (200 if result is AttemptResult.OK else 503)
            # A shed request is told when to retry.
            assert (field(head, b"Retry-After") is None) == (status == 200)
            assert not stand.node.pipeline.in_flight and not stand.node.pool.attempts

    run(test())


@pytest.mark.parametrize("status", [400, 404, 499])
def test_a_4xx_response_is_final_and_does_not_count_against_its_server(status: int) -> None:
    # The requests of one bad client were retried at four servers, each of which then counted as
    # broken.
    async def test() -> None:
        script = answer(b"HTTP/1.1 %d No\r\nContent-Length: 3\r\n\r\nbad" % status)
        peers = [await ScriptedServer(script).start() for _ in range(3)]
        async with running(*peers, attempts=4) as stand:
            got, _, body = await (await stand.client()).ask(request())
            assert (got, body) == (status, b"bad")
            assert sum(peer.requests.qsize() for peer in peers) == 1
            assert (await stand.outcome()).result == AttemptResult.CANCELLED
            servers = stand.node.pipeline.policy.fleet.endpoints.by_id.values()
            assert not any(health.failure_rate for server in servers for health in server.health)

    run(test())


def test_a_server_that_refuses_connections_is_unreachable() -> None:
    async def test() -> None:
        peer = await ScriptedServer().start()
        peer.server.close()
        async with running(peer) as stand:
            status, _, _ = await (await stand.client()).ask(request("pay"))
            assert (status, (await stand.outcome()).result) == (503, AttemptResult.UNREACHABLE)

    run(test())


def test_a_server_with_an_invalid_address_is_unreachable() -> None:
    async def test() -> None:
        peer = await ScriptedServer().start()
        async with running(peer) as stand:
            stand.node.pool.servers[stable_id(b"s-1")].address = ("a" * 70 + ".\udc80", 9)
            status, _, _ = await (await stand.client()).ask(request())
            assert (status, (await stand.outcome()).result) == (503, AttemptResult.UNREACHABLE)

    run(test())


def test_a_silent_server_times_out_and_its_connection_is_closed() -> None:
    async def test() -> None:
        peer = await ScriptedServer(stay_silent).start()
        async with running(peer, aim=1000.0) as stand:
            status, _, _ = await (await stand.client()).ask(request())
            assert (status, (await stand.outcome()).result) == (503, AttemptResult.TIMEOUT)
            await asyncio.wait_for(peer.ended.get(), WAIT_S)

    run(test())


def test_a_response_that_arrived_while_the_loop_was_blocked_counts() -> None:
    # Timers run before sockets are read. A node that is blocked until after an attempt's deadline,
    # for example by a lack of CPU time, must not time out a response that is already in the socket.
    async def test() -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            peer = ScriptedServer()
            peer.port = listener.getsockname()[1]
            async with running(peer, aim=300.0) as stand:
                client = await stand.client()
                client.writer.write(request())
                loop, accepted = asyncio.get_running_loop(), asyncio.Event()
                loop.add_reader(listener, accepted.set)
                await asyncio.wait_for(accepted.wait(), WAIT_S)
                loop.remove_reader(listener)
                server, _ = listener.accept()

                def answer_and_block() -> None:
                    loop.remove_reader(server)
                    server.recv(4096)
                    server.send(OK)
                    time.sleep(0.5)

                with server:
                    server.setblocking(False)
                    loop.add_reader(server, answer_and_block)
                    assert (await stand.outcome()).result == AttemptResult.OK
                    assert (await client.answer())[0] == 200

    run(test())


def test_a_server_that_drains_during_a_connect_gets_no_request() -> None:
    async def test() -> None:
        peer = await ScriptedServer().start()
        async with running(peer) as stand:
            node, client = stand.node, await stand.client()
            send = node.pipeline.send

            def send_then_drain(action: Send) -> None:
                send(action)
                stand.node.apply_endpoint_list(
                    {"generation": 2, "reset": False, "instances": [peer.entry("s-1", "leaving")]}
                )

            node.pipeline.action_handlers[Send] = send_then_drain
            status, _, _ = await client.ask(request())
            assert (status, (await stand.outcome()).result) == (503, AttemptResult.UNREACHABLE)
            await asyncio.wait_for(peer.ended.get(), WAIT_S)
            assert peer.requests.empty()

    run(test())


def test_connections_from_before_a_restart_are_not_reused() -> None:
    async def test() -> None:
        peer = await ScriptedServer().start()
        async with running(peer) as stand:
            client = await stand.client()
            assert (await client.ask(request()))[0] == 200
            stand.agent.push(2, [peer.entry("s-1", started=1_000)])
            while (await stand.event(EndpointUpdate)).version != 2:
                pass
            await asyncio.wait_for(peer.ended.get(), WAIT_S)
            assert not stand.node.pool.servers[stable_id(b"s-1")].idle_connections

    run(test())


def test_a_connection_with_trailing_bytes_is_not_reused() -> None:
    async def test() -> None:
        peer = await ScriptedServer(answer(OK + OK)).start()
        async with running(peer) as stand:
            client = await stand.client()
            for _ in range(3):
                assert (await client.ask(request()))[2] == b"done"
            assert peer.connections == 3

    run(test())


def test_a_malformed_response_closes_its_connection() -> None:
    async def test() -> None:
        peer = await ScriptedServer(
            answer(b"HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\n")
        ).start()
        async with running(peer) as stand:
            assert (await (await stand.client()).ask(request("pay")))[
                0
            ] == 502  # it may have been executed
            await asyncio.wait_for(peer.ended.get(), WAIT_S)

    run(test())


@pytest.mark.parametrize(
    "behind", [OK.replace(b"done", b"late"), b"\x00noise", b""], ids=["copy", "noise", "close"]
)
def test_unread_data_in_an_idle_connection_is_not_taken_for_a_response(
    behind: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The next attempt may use a connection in the same iteration of the loop in which something
    # arrives on it.
    monkeypatch.setattr(connection_pool, "REUSE_DELAY_MS", 0.0)
    writers: list[asyncio.StreamWriter] = []

    async def test() -> None:
        peer = await ScriptedServer(answer_and_keep(writers)).start()
        async with running(peer) as stand:
            first, second = await stand.client(), await stand.client()
            await second.ask(b"GET /_health HTTP/1.1\r\n\r\n")
            assert (await first.ask(request()))[0] == 200
            (connection,) = stand.node.pool.connections
            # Written within one iteration of the loop, which has no chance to read it first.
            sock = writers[0].get_extra_info("socket")
            if behind:
                os.write(sock.fileno(), behind)
            else:
                socket.socket(fileno=os.dup(sock.fileno())).shutdown(socket.SHUT_WR)
            assert not connection.is_quiet()
            stand.send(77, "s-1")
            assert connection.attempt is None and connection.transport.is_closing()
            assert (await stand.outcome()).result == AttemptResult.OK
            assert (await stand.outcome()).id == 77
            assert peer.connections == 2

    run(test())


def test_a_late_second_response_is_not_taken_for_the_next_requests(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Long enough for the second response to arrive within it on a slow machine.
    monkeypatch.setattr(connection_pool, "REUSE_DELAY_MS", 500.0)
    writers: list[asyncio.StreamWriter] = []

    async def test() -> None:
        peer = await ScriptedServer(answer_and_keep(writers)).start()
        async with running(peer) as stand:
            client = await stand.client()
            assert (await client.ask(request()))[2] == b"done"
            await stand.event(Request)
            client.writer.write(request())
            # Decided for the same server, shortly after the first response.
            await stand.event(Request)
            writers[0].write(OK.replace(b"done", b"late"))
            assert (await client.answer())[2] == b"done"
            assert peer.connections == 2 and len(writers) == 2

    run(test())


def test_a_connection_is_not_reused_before_its_pause_is_over_where_timers_fire_early(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against a second response within the pause that another request's client gets.
    monkeypatch.setattr(connection_pool, "REUSE_DELAY_MS", 200.0)
    sleep, begin_attempt = asyncio.sleep, ServerPool.begin_attempt
    pauses_ms: list[float] = []

    async def sleep_early(delay_s: float) -> None:
        await sleep(delay_s * 0.9 if delay_s > 0.01 else delay_s)

    def begin(pool: ServerPool, attempt: Attempt, connection: ServerConnection) -> None:
        if connection.idle_since_ms:
            pauses_ms.append(now_ms() - connection.idle_since_ms)
        begin_attempt(pool, attempt, connection)

    monkeypatch.setattr(asyncio, "sleep", sleep_early)
    monkeypatch.setattr(ServerPool, "begin_attempt", begin)

    async def test() -> None:
        peer = await ScriptedServer().start()
        async with running(peer) as stand:
            client = await stand.client()
            for _ in range(2):
                assert (await client.ask(request()))[0] == 200
            assert peer.connections == len(pauses_ms) == 1
            assert pauses_ms[0] >= connection_pool.REUSE_DELAY_MS

    run(test())


def test_a_connection_is_kept_where_its_attempt_ends_during_the_reuse_delay(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(connection_pool, "REUSE_DELAY_MS", 500.0)

    async def test() -> None:
        peer = await ScriptedServer().start()
        async with running(peer) as stand:
            client = await stand.client()
            assert (await client.ask(request()))[0] == 200
            client.writer.write(request())
            await stand.outcome()
            while not stand.node.pool.attempts:
                await asyncio.sleep(0)
            client.writer.close()
            assert (await stand.outcome()).result == AttemptResult.NOT_SENT
            while not stand.node.pool.servers[stable_id(b"s-1")].idle_connections:
                await asyncio.sleep(0)
            assert peer.connections == 1 and peer.requests.qsize() == 1

    run(test())


def test_servers_that_are_gone_are_removed() -> None:
    async def test() -> None:
        peer = await ScriptedServer(stay_silent).start()
        async with running(peer) as stand:
            client, pool = await stand.client(), stand.node.pool
            client.writer.write(request())
            await asyncio.wait_for(peer.requests.get(), WAIT_S)
            for generation in range(2, 40):  # at the address of one that is gone
                new = peer.entry(f"s-{generation}")
                stand.node.apply_endpoint_list(
                    {
                        "generation": generation,
                        "reset": False,
                        "instances": [new, peer.entry(f"s-{generation - 1}", "left")],
                    }
                )
            assert set(pool.servers) == {stable_id(b"s-1"), stable_id(b"s-39")}
            client.writer.close()
            assert (await stand.outcome()).result == AttemptResult.CANCELLED
            assert (
                set(pool.servers)
                == set(stand.node.pipeline.policy.fleet.endpoints.by_id)
                == {stable_id(b"s-39")}
            )
            assert stand.node.endpoint_table.listed.keys() == {stable_id(b"s-39")}

    run(test())


def test_at_the_connection_limit_the_longest_idle_one_is_closed() -> None:
    async def test() -> None:
        peers = [await ScriptedServer().start() for _ in range(3)]
        async with running(*peers) as stand:
            pool = stand.node.pool
            for number in (2, 1):
                stand.send(number, f"s-{number}")
                await stand.outcome()
            pool.max_connections = 2
            stand.send(3, "s-3")
            assert (await stand.outcome()).result == AttemptResult.OK
            await asyncio.wait_for(peers[1].ended.get(), WAIT_S)
            assert len(pool.servers[stable_id(b"s-1")].idle_connections) == 1

    run(test())


def test_a_server_connection_is_freed_without_the_cyclic_collector() -> None:
    async def test() -> None:
        peer = await ScriptedServer(
            answer(OK.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"))
        ).start()
        async with running(peer) as stand:
            pool, gone = stand.node.pool, []
            made = ServerConnection.connection_made

            def record_and_make(self: ServerConnection, transport: asyncio.BaseTransport) -> None:
                gone.append(weakref.ref(self))
                made(self, transport)

            with pytest.MonkeyPatch.context() as patch:
                patch.setattr(ServerConnection, "connection_made", record_and_make)
                gc.collect()
                gc.disable()
                try:
                    for _ in range(3):
                        assert (await (await stand.client()).ask(request()))[0] == 200
                    async with asyncio.timeout(WAIT_S):
                        while pool.connections or any(ref() is not None for ref in gone):
                            await asyncio.sleep(0.001)
                    assert len(gone) == 3
                finally:
                    gc.enable()

    run(test())


def test_a_connection_is_reused() -> None:
    async def test() -> None:
        peer = await ScriptedServer().start()
        async with running(peer) as stand:
            client = await stand.client()
            for _ in range(3):
                assert (await client.ask(request()))[0] == 200
            assert peer.connections == 1

    run(test())


def test_a_cancelled_connect_leaves_no_connection_behind() -> None:
    async def test() -> None:
        peer = await ScriptedServer().start()
        async with running(peer) as stand:
            pool, client = stand.node.pool, await stand.client()
            send = stand.node.pipeline.send

            def send_then_cancel(action: Send) -> None:
                send(action)
                asyncio.get_running_loop().call_soon(pool.cancel, action.id, 0)

            stand.node.pipeline.action_handlers[Send] = send_then_cancel
            assert (await client.ask(request()))[0] == 503
            assert (await stand.outcome()).result == AttemptResult.CANCELLED
            stand.node.pipeline.action_handlers[Send] = send
            assert (await client.ask(request()))[0] == 200
            assert pool.connecting == 0 and len(pool.connections) == 1 and not pool.attempts

    run(test())


def test_a_cancel_just_as_a_connection_is_established_closes_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    made = ServerConnection.connection_made

    def cancel_when_established(self: ServerConnection, transport: asyncio.BaseTransport) -> None:
        made(self, transport)
        for request_id, number in list(self.pool.attempts):
            self.pool.cancel(request_id, number)

    monkeypatch.setattr(ServerConnection, "connection_made", cancel_when_established)

    async def test() -> None:
        peer = await ScriptedServer().start()
        async with running(peer) as stand:
            assert (await (await stand.client()).ask(request()))[0] == 503
            assert (await stand.outcome()).result == AttemptResult.CANCELLED
            await asyncio.wait_for(peer.ended.get(), WAIT_S)
            assert peer.requests.empty() and not stand.node.pool.connections

    run(test())


def test_data_on_an_idle_connection_closes_it(caplog: pytest.LogCaptureFixture) -> None:
    writers: list[asyncio.StreamWriter] = []

    async def test() -> None:
        peer = await ScriptedServer(answer_and_keep(writers)).start()
        async with running(peer) as stand:
            client = await stand.client()
            assert (await client.ask(request()))[0] == 200
            writers[0].write(OK.replace(b"done", b"late"))
            await asyncio.wait_for(peer.ended.get(), WAIT_S)
            # It was closed on purpose, not by an exception. The memory is that of the whole test run.
            assert {record.event for record in caplog.records} <= {"memory.high"}  # type: ignore[attr-defined]
            assert (await client.ask(request()))[2] == b"done"
            assert peer.connections == 2

    run(test())


def test_a_connection_beyond_the_idle_timeout_is_not_reused() -> None:
    async def test() -> None:
        peer = await ScriptedServer().start()
        async with running(peer, idle_timeout=0.0) as stand:
            client = await stand.client()
            for _ in range(2):
                assert (await client.ask(request()))[0] == 200
            assert peer.connections == 2

    run(test())


def test_the_idle_timeout_is_learned_from_dead_connections() -> None:
    async def test() -> None:
        async with running(await ScriptedServer().start()) as stand:
            pool = stand.node.pool
            initial_ms = pool.idle_timeout.limit_ms
            for idle_ms, alive in (
                (50.0, False),
                (50.0, False),
                (150.0, False),
                (140.0, True),
                (150.0, False),
            ):
                pool.idle_timeout.record_reuse(idle_ms, alive)
            assert (
                pool.idle_timeout.limit_ms == initial_ms
            )  # single cases, or not due to being idle
            pool.idle_timeout.record_reuse(140.0, False)
            assert pool.idle_timeout.limit_ms == 140.0
            for _ in range(100):
                pool.scan()
            assert pool.idle_timeout.limit_ms == initial_ms

    run(test())


def test_a_reset_on_reuse_reduces_the_idle_timeout() -> None:
    served: list[int] = []

    async def once(peer: ScriptedServer, head: bytes, writer: asyncio.StreamWriter) -> None:
        served.append(1)
        if len(served) % 2:
            writer.write(OK)
        else:
            writer.transport.abort()

    async def test() -> None:
        async with running(await ScriptedServer(once).start()) as stand:
            client, pool = await stand.client(), stand.node.pool
            for _ in range(2):
                assert (await client.ask(request()))[0] == 200
                (connection,) = pool.servers[stable_id(b"s-1")].idle_connections
                connection.idle_since_ms -= 1000.0
                assert (await client.ask(request()))[0] == 503
            assert 1000.0 <= pool.idle_timeout.limit_ms < 5000.0

    run(test())


def test_server_connections_stay_under_their_limit() -> None:
    async def test() -> None:
        peers = [await ScriptedServer(stay_silent).start() for _ in range(3)]
        async with running(*peers) as stand:
            stand.node.pool.max_connections = 0
            stand.node.pool.connect_timeout_ms = 50.0
            assert (await (await stand.client()).ask(request()))[0] == 503
            # The node's own lack does not count against the server.
            assert (await stand.outcome()).result == AttemptResult.NOT_SENT
            assert not any(peer.connections for peer in peers)

    run(test())
