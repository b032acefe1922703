"""The side of the clients: what is taken, what is turned away, and when a connection ends."""

from __future__ import annotations

import asyncio
import errno
import gc
import socket
import weakref
from contextlib import suppress
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from badgercart.core.identifiers import stable_id
from badgercart.frontends.http import clients
from badgercart.frontends.http import connection as machine
from badgercart.frontends.http import connection_eviction as crowd
from badgercart.policy.events import EndpointUpdate, Request, RequestCancelled
from badgercart.upstream import connection_pool as pool
from tests.net import (
    WAIT_S,
    ScriptedServer,
    answer,
    answer_after,
    field,
    request,
    run,
    running,
    stay_silent,
)


def test_a_request_for_an_upgrade_is_served_as_any_other_and_the_last() -> None:
    async def test() -> None:
        async with running(await ScriptedServer().start()) as stand:
            client = await stand.client()
            data = request() + request(Connection="upgrade", Upgrade="websocket")
            assert (await client.ask(data))[0] == 200
            assert (await client.answer())[0] == 200
            assert await client.end() == b""

    run(test())


def test_pipelined_requests_are_answered_in_order() -> None:
    async def echo(peer: ScriptedServer, head: bytes, writer: asyncio.StreamWriter) -> None:
        name = head.split(b" ")[1].rpartition(b"/")[2]
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(name), name))

    async def test() -> None:
        async with running(await ScriptedServer(echo).start()) as stand:
            client = await stand.client()
            client.writer.write(b"".join(request(key=f"k{i}") for i in range(40)))
            for i in range(40):
                assert (await client.answer())[2] == b"k%d" % i

    run(test())


def test_pipelined_requests_are_all_answered_when_the_node_stops() -> None:
    release = asyncio.Event()

    async def test() -> None:
        peer = await ScriptedServer(answer_after(release)).start()
        async with running(peer) as stand:
            client = await stand.client()
            client.writer.write(request() + request() + request())
            await asyncio.wait_for(peer.requests.get(), WAIT_S)
            stand.node.front.stopping = True
            release.set()
            for connection in (None, None, b"close"):
                status, head, _ = await client.answer()
                assert (status, field(head, b"Connection")) == (200, connection)
            assert await client.end() == b""

    run(test())


def test_many_answers_at_once_do_not_nest() -> None:
    async def test() -> None:
        async with running(await ScriptedServer().start()) as stand:
            client = await stand.client()
            client.writer.write(b"GET /_health HTTP/1.1\r\n\r\n" * 3000)
            for _ in range(3000):
                assert (await client.answer())[0] == 200

    run(test())


BAD = [
    (b"nonsense\r\n\r\n", 400),
    (request().replace(b"Request-Id", b"X-Id"), 400),
    (request().replace(b"Request-Timeout", b"X-Timeout"), 400),
    (request(timeout="soon"), 400),
    (request(timeout="-5m"), 400),
    (request(Request_ID="twice"), 400),
    (request("book").replace(b"Idempotency-Key", b"X-Key"), 400),
    (request("pay", Idempotency_Key="5c0f"), 400),
    (request(Content_Length="1") + b"x", 400),
    (request("unknown"), 404),
    (request().replace(b"GET", b"PUT"), 405),
    (request("pay").replace(b"POST", b"GET"), 405),
    (request("pay", Content_Length="70000000") + bytes(70000), 413),
    (request("pay", Content_Length="70000000", Expect="100-continue"), 413),
    (
        request("pay", Transfer_Encoding="chunked").replace(b"Content-Length: 0\r\n", b"")
        + b"1;"
        + b"x" * 200_000,
        413,
    ),
    (request(X="y" * 20000), 431),
    (b"GET /" + b"a" * 40000, 431),
    (b"GET /find/1 HTTP/1.1\r\nX: " + b"a" * 40000, 431),
]


LENGTH, CHUNKED, LAST = b"Content-Length: 5\r\n", b"Transfer-Encoding: chunked\r\n", b"0\r\n\r\n"


def framed(*lines: bytes, body: bytes = LAST) -> bytes:
    """A request whose framing is these lines."""
    return request("pay").replace(b"Content-Length: 0\r\n", b"".join(lines)) + body


# What two readers could cut at different places would hide a request in another's body.
BAD += [
    (framed(LENGTH, CHUNKED), 400),
    (framed(CHUNKED, LENGTH), 400),
    (framed(LENGTH, LENGTH, body=b"12345"), 400),
    (framed(LENGTH, b"Content-Length: 6\r\n", body=b"123456"), 400),
    (framed(b"Content-Length: 5, 5\r\n", body=b"12345"), 400),
    (framed(b"Content-Length: -5\r\n"), 400),
    (framed(b"Content-Length: +5\r\n", body=b"12345"), 400),
    (framed(b"Content-Length: 0x5\r\n", body=b"12345"), 400),
    (framed(b"Content-Length: 5 5\r\n", body=b"12345"), 400),
    (framed(b"Content-Length:\r\n"), 400),
    (framed(b"Content-Length: 3221225472\r\n"), 413),
    (framed(b"Content-Length: 18446744073709551621\r\n"), 400),
    (framed(b"Content-Length : 5\r\n", body=b"12345"), 400),
    (framed(b"Content-Length\r\n : 5\r\n", body=b"12345"), 400),
    (framed(CHUNKED, CHUNKED), 400),
    (framed(b"Transfer-Encoding: chunked, identity\r\n"), 400),
    (framed(b"Transfer-Encoding: xchunked\r\n"), 400),
    (framed(b"Transfer-Encoding: gzip, chunked\r\n"), 400),
    (framed(b"Transfer-Encoding: identity\r\n"), 400),
    (framed(b"Transfer-Encoding : chunked\r\n"), 400),
    (framed(b"Transfer-Encoding:\r\n chunked\r\n"), 400),
    (framed(CHUNKED, body=b"-1\r\n\r\n" + LAST), 400),
    (framed(CHUNKED, body=b"+5\r\n12345\r\n" + LAST), 400),
    (framed(CHUNKED, body=b"0x5\r\n12345\r\n" + LAST), 400),
    (framed(CHUNKED, body=b"5\r\n123456\r\n" + LAST), 400),
    (framed(CHUNKED, body=b"5\n12345\n0\n\n"), 400),
    (framed(CHUNKED, body=b"1" * 40 + b"\r\n"), 400),
    (
        framed(LENGTH, body=b"12345")
        .replace(b"HTTP/1.1", b"HTTP/1.0")
        .replace(LENGTH, LENGTH + CHUNKED),
        400,
    ),
    (framed(CHUNKED).replace(b"HTTP/1.1", b"HTTP/1.0"), 400),
    (request(X="a\r\n b"), 400),
    (request(X="a\rb"), 400),
    (request(X="a\nContent-Length: 5"), 400),
    (request(X="a\x00b"), 400),
    (request().replace(b"\r\n", b"\n"), 400),
    (request().replace(b"\r\n", b"\r"), 400),
    (request().replace(b"Host", b" Host"), 400),
    (request().replace(b"HTTP/1.1", b"HTTP/2.0"), 505),
    (request().replace(b"HTTP/1.1", b"HTTP/11"), 400),
    (request().replace(b"GET /find", b"GET ftp://x/find"), 400),
]


@pytest.mark.parametrize(("data", "status"), BAD, ids=range(len(BAD)))
def test_bad_input_is_told_and_goes_to_no_server(data: bytes, status: int) -> None:
    async def test() -> None:
        peer = await ScriptedServer().start()
        async with running(peer) as stand:
            client = await stand.client()
            # What comes behind it on the connection is not read: it may be a part of the bad one.
            got, head, _ = await client.ask(data + request())
            assert (got, field(head, b"Connection")) == (status, b"close")
            assert await client.end() == b""
            assert (await (await stand.client()).ask(request()))[0] == 200
            assert peer.requests.qsize() == 1 and not stand.node.listener.open_ids

    run(test())


def test_a_client_that_waits_for_a_go_ahead_gets_it() -> None:
    async def test() -> None:
        async with running(await ScriptedServer().start()) as stand:
            client = await stand.client()
            head, body = request("book", body=b"ride", Expect="100-continue")[:-4], b"ride"
            assert (await client.ask(head))[0] == 100
            assert (await client.ask(body))[0] == 200

    run(test())


def test_health_waits_for_a_list() -> None:
    async def test() -> None:
        peer = await ScriptedServer().start()
        async with running(peer, known={}) as stand:
            client = await stand.client()
            await stand.event(EndpointUpdate)
            assert (await client.ask(b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"))[0] == 200
            stand.node.roster.has_update = False
            assert (await client.ask(b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"))[0] == 503

    run(test())


def test_at_the_limit_the_longest_idle_client_makes_room(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(
        pool, "REUSE_DELAY_MS", 0.0
    )  # so many requests, one after the other, on one connection

    async def test() -> None:
        async with running(await ScriptedServer().start(), sockets=96) as stand:
            limit = stand.node.listener.limit
            crowd = [await stand.client() for _ in range(limit)]
            for client in crowd:
                assert (await client.ask(request()))[0] == 200
            newest = await stand.client()
            assert (await newest.ask(request()))[0] == 200
            assert await crowd[0].end() == b""
            assert (await crowd[1].ask(request()))[0] == 200
            assert len(stand.node.listener.connections) == limit

    run(test())


def at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Nobody has to have been silent for any time before it makes room."""
    monkeypatch.setattr(crowd, "ORDER", tuple((state, 0.0) for state, _ in crowd.ORDER))


def test_those_that_never_spoke_make_room_first(monkeypatch: pytest.MonkeyPatch) -> None:
    at_once(monkeypatch)

    async def test() -> None:
        async with running(await ScriptedServer().start(), sockets=96) as stand:
            usual = await stand.client()
            assert (await usual.ask(request()))[0] == 200
            limit = stand.node.listener.limit
            silent = [await stand.client() for _ in range(limit - 1)]
            while len(stand.node.listener.silent) < limit - 1:
                await asyncio.sleep(0)
            newest = await stand.client()
            assert (await newest.ask(request()))[0] == 200
            assert await silent[0].end() == b""
            assert (await usual.ask(request()))[0] == 200
            assert len(stand.node.listener.connections) == limit

    run(test())


def test_those_that_never_finish_their_request_make_room(monkeypatch: pytest.MonkeyPatch) -> None:
    # 50 requests of usual clients were not taken up on a day on which 200 others had sent half a
    # head each.
    at_once(monkeypatch)

    async def test() -> None:
        async with running(await ScriptedServer().start(), sockets=96) as stand:
            limit = stand.node.listener.limit
            slow = [await stand.client() for _ in range(limit)]
            for client in slow:
                client.writer.write(b"GET /find/1 HTTP/1.1\r\n")
            while len(stand.node.listener.arriving) < limit:
                await asyncio.sleep(0)
            assert (await (await stand.client()).ask(request()))[0] == 200
            assert len(stand.node.listener.connections) <= limit

    run(test())


def test_where_many_stand_idle_further_connections_end_with_their_answer() -> None:
    # Clients that asked once and kept their connection left others none to ask on: 6 in 10 requests
    # of a day were never taken up, with 128 connections idle (incident r2136ee, a count of the
    # connections).
    async def test() -> None:
        async with running(await ScriptedServer().start()) as stand:
            stand.node.listener.limit = 6
            crowd = [await stand.client() for _ in range(4)]
            ends = [field((await client.ask(request()))[1], b"Connection") for client in crowd]
            assert ends == [None, None, b"close", b"close"]
            assert await crowd[3].end() == b""
            assert (await crowd[0].ask(request()))[0] == 200

    run(test())


def test_the_limit_holds_when_none_is_idle_and_the_next_is_served_in_its_turn() -> None:
    release = asyncio.Event()

    async def test() -> None:
        peers = [await ScriptedServer(answer_after(release)).start() for _ in range(3)]
        async with running(*peers, sockets=96) as stand:
            listener = stand.node.listener
            listener.limit = 3
            crowd = [await stand.client() for _ in range(5)]
            for client in crowd:
                client.writer.write(request())
            for _ in range(3):
                await stand.event(Request)
            assert len(listener.connections) == 3 and not listener.accepting
            release.set()
            for client in crowd[:3]:
                assert (await client.answer())[0] == 200
                client.writer.close()
            for client in crowd[3:]:
                assert (await client.answer())[0] == 200

    run(test())


def test_a_lack_of_descriptors_neither_ends_nor_spins_the_listener(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        async with running(await ScriptedServer().start()) as stand:
            listener = stand.node.listener
            real, calls = listener.socket, asyncio.Queue[int]()

            class Full:
                def accept(self) -> None:
                    calls.put_nowait(1)
                    raise OSError(errno.EMFILE, "too many open files")

                def __getattr__(self, name: str) -> Any:
                    return getattr(real, name)

            monkeypatch.setattr(listener, "socket", Full())
            client = await stand.client()
            client.writer.write(request())
            await asyncio.wait_for(calls.get(), WAIT_S)
            assert not listener.accepting and calls.empty()
            monkeypatch.setattr(listener, "socket", real)
            listener.sweep()
            assert (await client.answer())[0] == 200

    run(test())


def test_silent_and_slow_clients_are_given_up(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        async with running(await ScriptedServer().start()) as stand:
            silent, blank, half = [await stand.client() for _ in range(3)]
            blank.writer.write(b"\r\n\r\n")
            half.writer.write(request()[:-2])
            listener = stand.node.listener
            while len(listener.silent) != 2 or len(listener.arriving) != 1:
                await asyncio.sleep(0)
            monkeypatch.setattr(clients, "REQUEST_TIME", 0.0)
            listener.sweep()
            assert await silent.end() == b"" and await blank.end() == b""
            assert (await half.answer())[0] == 408
            assert await half.end() == b""
            assert not listener.silent and not listener.arriving

    run(test())


def test_a_connection_that_stands_idle_for_long_is_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        async with running(await ScriptedServer().start()) as stand:
            client = await stand.client()
            assert (await client.ask(request()))[0] == 200
            stand.node.listener.sweep()
            assert (await client.ask(request()))[0] == 200
            monkeypatch.setattr(clients, "KEEP_ALIVE", 0.0)
            stand.node.listener.sweep()
            assert await client.end() == b""

    run(test())


def test_an_id_that_is_open_is_turned_away_and_free_again_after_the_answer() -> None:
    release = asyncio.Event()

    async def test() -> None:
        peer = await ScriptedServer(answer_after(release)).start()
        async with running(peer) as stand:
            first, second, third = [await stand.client() for _ in range(3)]
            data = request()
            first.writer.write(data)
            await asyncio.wait_for(peer.requests.get(), WAIT_S)
            assert (await second.ask(data))[0] == 409
            assert await second.end() == b""
            assert peer.requests.empty()
            release.set()
            assert (await first.answer())[0] == 200
            assert (await third.ask(data))[0] == 200
            assert not stand.node.listener.open_ids

    run(test())


def test_ids_of_requests_that_wait_are_free_when_their_client_goes_away() -> None:
    async def test() -> None:
        peer = await ScriptedServer(stay_silent).start()
        async with running(peer) as stand:
            client = await stand.client()
            client.writer.write(request() + request() + request())
            await asyncio.wait_for(peer.requests.get(), WAIT_S)
            assert len(stand.node.listener.open_ids) == 3
            client.writer.close()
            await stand.event(RequestCancelled)
            assert not stand.node.listener.open_ids

    run(test())


def test_of_hundreds_of_requests_read_at_once_few_are_taken_up_at_a_time() -> None:
    release = asyncio.Event()

    async def test() -> None:
        peer = await ScriptedServer(answer_after(release)).start()
        async with running(peer) as stand:
            client = await stand.client()
            client.writer.write(b"".join(request() for _ in range(400)))
            await asyncio.wait_for(peer.requests.get(), WAIT_S)
            (connection,) = stand.node.listener.connections
            assert len(stand.node.listener.open_ids) <= machine.MAX_WAITING + machine.SLICE // 100
            release.set()
            for _ in range(400):
                assert (await client.answer())[0] == 200
            assert not connection.machine.waiting and not connection.machine.backlog

    run(test())


def test_the_answer_arrives_though_the_client_goes_on_sending() -> None:
    async def test() -> None:
        async with running(await ScriptedServer().start()) as stand:
            client = await stand.client()
            client.writer.write(request("pay", Content_Length="80000000"))
            client.writer.write(bytes(8_000_000))
            assert (await client.answer())[0] == 413
            assert await client.end() == b""

    run(test())


def test_a_client_that_reads_its_last_answer_late_still_gets_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(clients, "LINGER", 0.0)
    big = b"x" * 60_000
    script = answer(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(big), big))

    async def test() -> None:
        async with running(await ScriptedServer(script).start()) as stand:
            client = await stand.client()
            client.writer.transport.pause_reading()
            client.writer.write(b"".join(request() for _ in range(300)) + b"nonsense\r\n\r\n")
            (connection,) = [c async for c in stand.connections(1)]
            while not connection.machine.full:
                await asyncio.sleep(0)
            stand.node.listener.sweep()
            client.writer.transport.resume_reading()
            for _ in range(300):
                assert (await client.answer())[2] == big
            assert (await client.answer())[0] == 400
            stand.node.listener.sweep()
            assert await client.end() == b""

    run(test())


def test_trailers_do_not_pass_for_headers() -> None:
    async def test() -> None:
        peer = await ScriptedServer().start()
        async with running(peer) as stand:
            data = framed(
                CHUNKED, body=b"4\r\nride\r\n0\r\nRequest-Id: other\r\nTenant: acme\r\n\r\n"
            )
            assert (await (await stand.client()).ask(data))[0] == 200
            got = await peer.requests.get()
            assert b"other" not in got and b"acme" not in got and got.endswith(b"\r\n\r\nride")
            client = await stand.client()
            client.writer.write(framed(CHUNKED, body=b"0\r\n" + b"X: " + b"y" * 400_000))
            assert (await client.answer())[0] in (413, 431)

    run(test())


def test_a_client_that_does_not_read_gets_no_further_answers() -> None:
    big = b"x" * 60_000

    async def test() -> None:
        peer = await ScriptedServer(
            answer(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(big), big))
        ).start()
        async with running(peer) as stand:
            client = await stand.client()
            client.writer.transport.pause_reading()
            client.writer.write(b"".join(request() for _ in range(300)))
            (connection,) = [c async for c in stand.connections(1)]
            while not connection.machine.full:
                await asyncio.sleep(0)
            assert connection in stand.node.listener.idle  # until it reads, or for KEEP_ALIVE
            taken = stand.node.join.last_request_id
            for _ in range(50):
                await asyncio.sleep(0)
            assert stand.node.join.last_request_id == taken < 300
            client.writer.transport.resume_reading()
            for _ in range(300):
                assert (await client.answer())[2] == big

    run(test())


def test_a_closed_connection_leaves_nothing_to_the_cyclic_collector() -> None:
    async def test() -> None:
        peer = await ScriptedServer().start()
        async with running(peer) as stand:
            gc.collect()
            gc.disable()
            try:
                for data in (request(), b"nonsense\r\n\r\n", request("unknown"), request()[:40]):
                    client = await stand.client()
                    client.writer.write(data)
                    (connection,) = [c async for c in stand.connections(1)]
                    gone = weakref.ref(connection)
                    del connection
                    if data.endswith(b"\r\n\r\n"):
                        await client.answer()
                    client.writer.close()
                    async with asyncio.timeout(WAIT_S):
                        while stand.node.listener.connections or gone() is not None:
                            await asyncio.sleep(0.001)
            finally:
                gc.enable()

    run(test())


def test_a_request_that_never_ends_is_given_up(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(clients, "REQUEST_TIME", 0.05)

    async def test() -> None:
        monkeypatch.setattr(clients, "SWEEP", 0.05)
        async with running(await ScriptedServer().start()) as stand:
            client = await stand.client()
            assert (await client.ask(b"GET /find/1 HTTP/1.1\r\nHost:"))[0] == 408
            assert await client.end() == b""

    run(test())


def test_small_writes_are_not_held_back() -> None:
    async def test() -> None:
        async with running(await ScriptedServer().start()) as stand:
            assert (await (await stand.client()).ask(request()))[0] == 200
            (client,) = stand.node.listener.connections
            (server,) = stand.node.pool.servers[stable_id(b"s-1")].idle_connections
            for connection in (client, server):
                sock = connection.transport.get_extra_info("socket")
                assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)

    run(test())


@settings(max_examples=40, derandomize=True, database=None, deadline=None)
@given(data=st.lists(st.sampled_from([b"GET ", b"/find/a", b" HTTP/1.1", b"\r\n", b"\r\n\r\n", b"Host: x",
                                      b"Content-Length: 3", b"Request-Id: 1", b"\x00", b"a", b"Upgrade: x",
                                      b"Connection: upgrade", b"Transfer-Encoding: chunked"])
                     | st.binary(max_size=20), max_size=30).map(b"".join))  # fmt: skip
def test_no_bytes_of_a_client_bring_the_node_down(data: bytes) -> None:
    async def test() -> None:
        peer = await ScriptedServer().start()
        async with running(peer) as stand:
            rude = await stand.client()
            rude.writer.write(data)
            rude.writer.write_eof()
            with suppress(ConnectionError):  # a reset is as good an end
                await rude.end()
            assert peer.requests.empty()
            assert (await (await stand.client()).ask(request()))[0] == 200
            assert not stand.node.join.in_flight

    run(test())


@settings(max_examples=20, derandomize=True, database=None, deadline=None)
@given(cuts=st.lists(st.integers(min_value=1, max_value=200), max_size=8))
def test_a_request_may_come_in_pieces(cuts: list[int]) -> None:
    async def test() -> None:
        peer = await ScriptedServer().start()
        async with running(peer) as stand:
            client, data = await stand.client(), request("book", body=b"x" * 40)
            places = [0, *sorted(cuts), len(data)]
            for start, end in zip(places, places[1:], strict=False):
                client.writer.write(data[start:end])
                await asyncio.sleep(0)
            assert (await client.answer())[0] == 200
            assert (await peer.requests.get()).endswith(b"x" * 40)

    run(test())
