"""The side of the servers: how attempts end, and which connections are used again."""

from __future__ import annotations

import asyncio
import gc
import os
import socket
import time
import weakref

import pytest

from badgercart.core.identifiers import stable_id
from badgercart.policy.actions import Send
from badgercart.policy.events import AttemptResult, EndpointUpdate, Request
from badgercart.upstream import connection_pool as pool
from badgercart.upstream.connection_pool import ServerConnection
from tests.net import (
    OK,
    WAIT,
    Peer,
    Script,
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
    """An answer that ends with its connection."""

    async def script(peer: Peer, head: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(data)
        writer.close()

    return script


def answer_and_keep(writers: list[asyncio.StreamWriter]) -> Script:
    """A good answer, after which the test may write more on its connection."""

    async def script(peer: Peer, head: bytes, writer: asyncio.StreamWriter) -> None:
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
        # Heads that don't end, and lengths that no answer has: over at once, not when the time is
        # up.
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
        # Framing that can be read in two ways.
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
def test_outcomes(script: Script, result: AttemptResult) -> None:
    async def test() -> None:
        async with running(await Peer(script).start()) as stand:
            client = await stand.client()
            status, head, _ = await client.ask(request())
            assert (await stand.outcome()).result == result
            assert status == (200 if result is AttemptResult.OK else 503)
            assert (field(head, b"Retry-After") is None) == (
                status == 200
            )  # who is refused is told when
            assert not stand.node.pipeline.in_flight and not stand.node.pool.attempts

    run(test())


@pytest.mark.parametrize("status", [400, 404, 499])
def test_what_servers_say_of_a_bad_request_is_final_and_no_fault_of_theirs(status: int) -> None:
    # One bad client's request went to four servers, and each was taken for broken (bad clients, a
    # trace).
    async def test() -> None:
        script = answer(b"HTTP/1.1 %d No\r\nContent-Length: 3\r\n\r\nbad" % status)
        peers = [await Peer(script).start() for _ in range(3)]
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
        peer = await Peer().start()
        peer.server.close()
        async with running(peer) as stand:
            status, _, _ = await (await stand.client()).ask(request("pay"))
            assert (status, (await stand.outcome()).result) == (503, AttemptResult.UNREACHABLE)

    run(test())


def test_a_server_whose_address_is_none_is_unreachable() -> None:
    async def test() -> None:
        peer = await Peer().start()
        async with running(peer) as stand:
            stand.node.pool.servers[stable_id(b"s-1")].address = ("a" * 70 + ".\udc80", 9)
            status, _, _ = await (await stand.client()).ask(request())
            assert (status, (await stand.outcome()).result) == (503, AttemptResult.UNREACHABLE)

    run(test())


def test_a_silent_server_times_out_and_its_connection_is_closed() -> None:
    async def test() -> None:
        peer = await Peer(stay_silent).start()
        async with running(peer, aim=1000.0) as stand:
            status, _, _ = await (await stand.client()).ask(request())
            assert (status, (await stand.outcome()).result) == (503, AttemptResult.TIMEOUT)
            await asyncio.wait_for(peer.ended.get(), WAIT)

    run(test())


def test_an_answer_that_came_while_the_loop_stood_still_counts() -> None:
    # Timers run before sockets are read. A node that stands still past an attempt's time (little
    # CPU, say) must not take for silence what has long been in the socket.
    async def test() -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            peer = Peer()
            peer.port = listener.getsockname()[1]
            async with running(peer, aim=300.0) as stand:
                client = await stand.client()
                client.writer.write(request())
                loop, accepted = asyncio.get_running_loop(), asyncio.Event()
                loop.add_reader(listener, accepted.set)
                await asyncio.wait_for(accepted.wait(), WAIT)
                loop.remove_reader(listener)
                server, _ = listener.accept()

                def answer_and_stand_still() -> None:
                    loop.remove_reader(server)
                    server.recv(4096)
                    server.send(OK)
                    time.sleep(0.5)

                with server:
                    server.setblocking(False)
                    loop.add_reader(server, answer_and_stand_still)
                    assert (await stand.outcome()).result == AttemptResult.OK
                    assert (await client.answer())[0] == 200

    run(test())


def test_a_server_that_drains_while_a_dial_is_on_gets_nothing() -> None:
    async def test() -> None:
        peer = await Peer().start()
        async with running(peer) as stand:
            node, client = stand.node, await stand.client()
            send = node.pipeline.send

            def drained_at_once(action: Send) -> None:
                send(action)
                stand.node.apply_endpoint_list(
                    {"generation": 2, "reset": False, "instances": [peer.entry("s-1", "leaving")]}
                )

            node.pipeline.perform[Send] = drained_at_once
            status, _, _ = await client.ask(request())
            assert (status, (await stand.outcome()).result) == (503, AttemptResult.UNREACHABLE)
            await asyncio.wait_for(peer.ended.get(), WAIT)
            assert peer.requests.empty()

    run(test())


def test_a_restart_leaves_the_old_connections_unused() -> None:
    async def test() -> None:
        peer = await Peer().start()
        async with running(peer) as stand:
            client = await stand.client()
            assert (await client.ask(request()))[0] == 200
            stand.agent.push(2, [peer.entry("s-1", started=1_000)])
            while (await stand.event(EndpointUpdate)).version != 2:
                pass
            await asyncio.wait_for(peer.ended.get(), WAIT)
            assert not stand.node.pool.servers[stable_id(b"s-1")].idle

    run(test())


def test_a_connection_with_stray_bytes_is_not_used_again() -> None:
    async def test() -> None:
        peer = await Peer(answer(OK + OK)).start()
        async with running(peer) as stand:
            client = await stand.client()
            for _ in range(3):
                assert (await client.ask(request()))[2] == b"done"
            assert peer.connections == 3

    run(test())


def test_a_spoilt_answer_ends_its_connection() -> None:
    async def test() -> None:
        peer = await Peer(answer(b"HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\n")).start()
        async with running(peer) as stand:
            assert (await (await stand.client()).ask(request("pay")))[0] == 502  # it may have run
            await asyncio.wait_for(peer.ended.get(), WAIT)

    run(test())


@pytest.mark.parametrize(
    "behind", [OK.replace(b"done", b"late"), b"\x00noise", b""], ids=["copy", "noise", "close"]
)
def test_what_lies_unread_in_an_idle_connection_is_no_answer(
    behind: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The next attempt may take a connection in the turn of the loop in which something came on it.
    monkeypatch.setattr(pool, "REST", 0.0)
    writers: list[asyncio.StreamWriter] = []

    async def test() -> None:
        peer = await Peer(answer_and_keep(writers)).start()
        async with running(peer) as stand:
            first, second = await stand.client(), await stand.client()
            await second.ask(b"GET /_health HTTP/1.1\r\n\r\n")
            assert (await first.ask(request()))[0] == 200
            (connection,) = stand.node.pool.connections
            # Behind the node's back, in the middle of a turn: the loop has no chance to read it
            # first.
            sock = writers[0].get_extra_info("socket")
            if behind:
                os.write(sock.fileno(), behind)
            else:
                socket.socket(fileno=os.dup(sock.fileno())).shutdown(socket.SHUT_WR)
            assert not connection.quiet()
            stand.send(77, "s-1")
            assert connection.attempt is None and connection.transport.is_closing()
            assert (await stand.outcome()).result == AttemptResult.OK
            assert (await stand.outcome()).id == 77
            assert peer.connections == 2

    run(test())


def test_a_second_answer_that_comes_late_is_not_the_next_ones(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(
        pool, "REST", 500.0
    )  # so that a slow machine has the second one come within it
    writers: list[asyncio.StreamWriter] = []

    async def test() -> None:
        peer = await Peer(answer_and_keep(writers)).start()
        async with running(peer) as stand:
            client = await stand.client()
            assert (await client.ask(request()))[2] == b"done"
            await stand.event(Request)
            client.writer.write(request())
            await stand.event(
                Request
            )  # decided for the same server, while the first answer is fresh
            writers[0].write(OK.replace(b"done", b"late"))
            assert (await client.answer())[2] == b"done"
            assert peer.connections == 2 and len(writers) == 2

    run(test())


def test_a_connection_that_rests_is_kept_where_its_attempt_is_given_up(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(pool, "REST", 500.0)

    async def test() -> None:
        peer = await Peer().start()
        async with running(peer) as stand:
            client = await stand.client()
            assert (await client.ask(request()))[0] == 200
            client.writer.write(request())
            await stand.outcome()
            while not stand.node.pool.attempts:
                await asyncio.sleep(0)
            client.writer.close()
            assert (await stand.outcome()).result == AttemptResult.NOT_SENT
            while not stand.node.pool.servers[stable_id(b"s-1")].idle:
                await asyncio.sleep(0)
            assert peer.connections == 1 and peer.requests.qsize() == 1

    run(test())


def test_servers_that_are_gone_are_forgotten() -> None:
    async def test() -> None:
        peer = await Peer(stay_silent).start()
        async with running(peer) as stand:
            client, pool = await stand.client(), stand.node.pool
            client.writer.write(request())
            await asyncio.wait_for(peer.requests.get(), WAIT)
            for generation in range(2, 40):  # some at the address of one that has gone
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


def test_no_room_for_a_dial_closes_the_longest_idle_connection() -> None:
    async def test() -> None:
        peers = [await Peer().start() for _ in range(3)]
        async with running(*peers) as stand:
            pool = stand.node.pool
            for number in (2, 1):
                stand.send(number, f"s-{number}")
                await stand.outcome()
            pool.max_connections = 2
            stand.send(3, "s-3")
            assert (await stand.outcome()).result == AttemptResult.OK
            await asyncio.wait_for(peers[1].ended.get(), WAIT)
            assert len(pool.servers[stable_id(b"s-1")].idle) == 1

    run(test())


def test_a_server_connection_leaves_nothing_to_the_cyclic_collector() -> None:
    async def test() -> None:
        peer = await Peer(answer(OK.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"))).start()
        async with running(peer) as stand:
            pool, gone = stand.node.pool, []
            made = ServerConnection.connection_made

            def noted(self: ServerConnection, transport: asyncio.BaseTransport) -> None:
                gone.append(weakref.ref(self))
                made(self, transport)

            with pytest.MonkeyPatch.context() as patch:
                patch.setattr(ServerConnection, "connection_made", noted)
                gc.collect()
                gc.disable()
                try:
                    for _ in range(3):
                        assert (await (await stand.client()).ask(request()))[0] == 200
                    async with asyncio.timeout(WAIT):
                        while pool.connections or any(ref() is not None for ref in gone):
                            await asyncio.sleep(0.001)
                    assert len(gone) == 3
                finally:
                    gc.enable()

    run(test())


def test_a_connection_is_used_again() -> None:
    async def test() -> None:
        peer = await Peer().start()
        async with running(peer) as stand:
            client = await stand.client()
            for _ in range(3):
                assert (await client.ask(request()))[0] == 200
            assert peer.connections == 1

    run(test())


def test_a_cancelled_dial_leaves_no_connection_behind() -> None:
    async def test() -> None:
        peer = await Peer().start()
        async with running(peer) as stand:
            pool, client = stand.node.pool, await stand.client()
            send = stand.node.pipeline.send

            def cancelled_at_once(action: Send) -> None:
                send(action)
                asyncio.get_running_loop().call_soon(pool.cancel, action.id, 0)

            stand.node.pipeline.perform[Send] = cancelled_at_once
            assert (await client.ask(request()))[0] == 503
            assert (await stand.outcome()).result == AttemptResult.CANCELLED
            stand.node.pipeline.perform[Send] = send
            assert (await client.ask(request()))[0] == 200
            assert pool.dials == 0 and len(pool.connections) == 1 and not pool.attempts

    run(test())


def test_a_cancel_just_as_the_connection_is_up_closes_it(monkeypatch: pytest.MonkeyPatch) -> None:
    made = ServerConnection.connection_made

    def cancelled_then(self: ServerConnection, transport: asyncio.BaseTransport) -> None:
        made(self, transport)
        for request_id, number in list(self.pool.attempts):
            self.pool.cancel(request_id, number)

    monkeypatch.setattr(ServerConnection, "connection_made", cancelled_then)

    async def test() -> None:
        peer = await Peer().start()
        async with running(peer) as stand:
            assert (await (await stand.client()).ask(request()))[0] == 503
            assert (await stand.outcome()).result == AttemptResult.CANCELLED
            await asyncio.wait_for(peer.ended.get(), WAIT)
            assert peer.requests.empty() and not stand.node.pool.connections

    run(test())


def test_bytes_on_an_idle_connection_end_it(caplog: pytest.LogCaptureFixture) -> None:
    writers: list[asyncio.StreamWriter] = []

    async def test() -> None:
        peer = await Peer(answer_and_keep(writers)).start()
        async with running(peer) as stand:
            client = await stand.client()
            assert (await client.ask(request()))[0] == 200
            writers[0].write(OK.replace(b"done", b"late"))
            await asyncio.wait_for(peer.ended.get(), WAIT)
            assert not caplog.records  # it ended on purpose, not by an exception
            assert (await client.ask(request()))[2] == b"done"
            assert peer.connections == 2

    run(test())


def test_a_connection_that_was_idle_for_too_long_is_not_used() -> None:
    async def test() -> None:
        peer = await Peer().start()
        async with running(peer, idle_timeout=0.0) as stand:
            client = await stand.client()
            for _ in range(2):
                assert (await client.ask(request()))[0] == 200
            assert peer.connections == 2

    run(test())


def test_how_long_servers_keep_idle_connections_is_learned() -> None:
    async def test() -> None:
        async with running(await Peer().start()) as stand:
            pool = stand.node.pool
            most = pool.idle_limit.ms
            for idled, alive in (
                (50.0, False),
                (50.0, False),
                (150.0, False),
                (140.0, True),
                (150.0, False),
            ):
                pool.idle_limit.reused(idled, alive)
            assert pool.idle_limit.ms == most  # chance, or not for standing idle
            pool.idle_limit.reused(140.0, False)
            assert pool.idle_limit.ms == 140.0
            for _ in range(100):
                pool.sweep()
            assert pool.idle_limit.ms == most

    run(test())


def test_a_connection_that_dies_at_its_next_request_counts_for_the_idle_time() -> None:
    served: list[int] = []

    async def once(peer: Peer, head: bytes, writer: asyncio.StreamWriter) -> None:
        served.append(1)
        if len(served) % 2:
            writer.write(OK)
        else:
            writer.transport.abort()

    async def test() -> None:
        async with running(await Peer(once).start()) as stand:
            client, pool = await stand.client(), stand.node.pool
            for _ in range(2):
                assert (await client.ask(request()))[0] == 200
                (connection,) = pool.servers[stable_id(b"s-1")].idle
                connection.idle_since -= 1000.0
                assert (await client.ask(request()))[0] == 503
            assert 1000.0 <= pool.idle_limit.ms < 5000.0

    run(test())


def test_server_connections_stay_under_their_limit() -> None:
    async def test() -> None:
        peers = [await Peer(stay_silent).start() for _ in range(3)]
        async with running(*peers) as stand:
            stand.node.pool.max_connections = 0
            assert (await (await stand.client()).ask(request()))[0] == 503
            assert (await stand.outcome()).result == AttemptResult.UNREACHABLE
            assert not any(peer.connections for peer in peers)

    run(test())
