"""The node over loopback sockets: what goes on, what comes back, and what the module is told of it."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Coroutine
from contextlib import suppress
from typing import Any

import pytest
import uvloop
from hypothesis import given, settings
from hypothesis import strategies as st

from badgercart import clients, discovery
from badgercart.clients import stable_id
from badgercart.node import MARGIN
from badgercart.servers import ServerConnection
from cottonhall.interface import Outcome, Request, Result, Send, ServerList, State, Withdrawn
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
    running,
    stay_silent,
)


def run(test: Coroutine[Any, Any, None]) -> None:
    uvloop.run(test)


def test_a_request_goes_on_unchanged_and_its_answer_comes_back() -> None:
    async def test() -> None:
        typed = OK.replace(b"\r\n\r\n", b"\r\nContent-Type: x/y\r\n\r\n")
        peer = await Peer(answer(typed)).start()
        async with running(peer) as stand:
            client = await stand.client()
            data = request("book", body=b"\x00ride", Tenant="acme").replace(b"/cab7", b"/cab7?a=1&b=%20")
            status, head, body = await client.ask(data)
            assert (status, body, field(head, b"Content-Type")) == (200, b"done", b"x/y")
            got = await peer.requests.get()
            assert got.startswith(b"POST /book/cab7?a=1&b=%20 HTTP/1.1\r\n") and got.endswith(
                b"\r\n\r\n\x00ride"
            )
            for name in (b"Request-Id", b"Idempotency-Key", b"Tenant", b"Host"):
                assert field(got, name) == field(data, name)
            left = field(got, b"Request-Timeout")
            assert left is not None and left.endswith(b"m") and 0 < int(left[:-1]) <= 5000

    run(test())


def test_ids_are_the_same_at_every_node_and_start() -> None:
    assert stable_id(b"s-5be2a07c") == 0x850D21AD14919D0C


@pytest.mark.parametrize(
    ("script", "result"),
    [
        (answer_ok, Result.OK),
        (answer(b"HTTP/1.1 100 Continue\r\n\r\n" + OK), Result.OK),
        (answer(b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"), Result.ERROR),
        (answer(b"HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n"), Result.ERROR),
        (answer(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"), Result.ERROR),
        (answer(b"HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"), Result.FULL),
        (answer(b"HTTP/1.1 504 No\r\nnot-started: 1\r\nContent-Length: 0\r\n\r\n"), Result.FULL),
        (answer(b"HTTP/1.1 500 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"), Result.ERROR),
        (answer(b"no HTTP at all\r\n\r\n"), Result.ERROR),
        (answer(b"HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n" + bytes(70000)), Result.ERROR),
        (hang_up, Result.RESET),
    ],
)
def test_outcomes(script: Script, result: Result) -> None:
    async def test() -> None:
        async with running(await Peer(script).start()) as stand:
            client = await stand.client()
            status, head, _ = await client.ask(request())
            assert (await stand.outcome()).result == result
            assert status == (200 if result is Result.OK else 503)
            assert (field(head, b"Retry-After") is None) == (status == 200)  # who is refused is told when
            assert not stand.node.held and not stand.node.pool.attempts

    run(test())


def test_a_server_that_refuses_connections_is_unreachable() -> None:
    async def test() -> None:
        peer = await Peer().start()
        peer.server.close()
        async with running(peer) as stand:
            status, _, _ = await (await stand.client()).ask(request("pay"))
            assert (status, (await stand.outcome()).result) == (503, Result.UNREACHABLE)

    run(test())


def test_a_server_whose_address_is_none_is_unreachable() -> None:
    async def test() -> None:
        peer = await Peer().start()
        async with running(peer) as stand:
            stand.node.pool.servers[stable_id(b"s-1")].address = ("a" * 70 + ".\udc80", 9)
            status, _, _ = await (await stand.client()).ask(request())
            assert (status, (await stand.outcome()).result) == (503, Result.UNREACHABLE)

    run(test())


def test_a_silent_server_times_out_and_its_connection_is_closed() -> None:
    async def test() -> None:
        peer = await Peer(stay_silent).start()
        async with running(peer, aim=1000.0) as stand:
            status, _, _ = await (await stand.client()).ask(request())
            assert (status, (await stand.outcome()).result) == (503, Result.TIMEOUT)
            await asyncio.wait_for(peer.ended.get(), WAIT)

    run(test())


def test_an_answer_that_came_while_the_loop_stood_still_counts() -> None:
    # Timers run before sockets are read. A node that stands still past an attempt's time (little CPU, say)
    # must not take for silence what has long been in the socket.
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
                with server:
                    server.setblocking(False)
                    assert (await asyncio.wait_for(loop.sock_recv(server, 4096), WAIT)).startswith(b"GET ")
                    server.send(OK)
                    time.sleep(0.5)  # the loop stands still
                    assert (await stand.outcome()).result == Result.OK
                    assert (await client.answer())[0] == 200

    run(test())


def test_an_unsafe_request_that_may_have_run_is_neither_resent_nor_refused() -> None:
    async def test() -> None:
        peers = [await Peer(hang_up).start(), await Peer(hang_up).start()]
        async with running(*peers, attempts=4) as stand:
            status, _, _ = await (await stand.client()).ask(request("pay"))
            assert status == 502
            assert sum(peer.requests.qsize() for peer in peers) == 1

    run(test())


def test_a_server_that_drains_while_a_dial_is_on_gets_nothing() -> None:
    async def test() -> None:
        peer = await Peer().start()
        async with running(peer) as stand:
            node, client = stand.node, await stand.client()
            send = node.send

            def drained_at_once(action: Send) -> None:
                send(action)
                stand.node.take_list(
                    {"generation": 2, "reset": False, "instances": [peer.entry("s-1", "leaving")]}
                )

            node.perform[Send] = drained_at_once
            status, _, _ = await client.ask(request())
            assert (status, (await stand.outcome()).result) == (503, Result.UNREACHABLE)
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
            while (await stand.event(ServerList)).version != 2:
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


def test_a_connection_is_used_again() -> None:
    async def test() -> None:
        peer = await Peer().start()
        async with running(peer) as stand:
            client = await stand.client()
            for _ in range(3):
                assert (await client.ask(request()))[0] == 200
            assert peer.connections == 1

    run(test())


def test_a_client_that_goes_away_frees_everything() -> None:
    async def test() -> None:
        peer = await Peer(stay_silent).start()
        async with running(peer) as stand:
            client = await stand.client()
            client.writer.write(request())
            await asyncio.wait_for(peer.requests.get(), WAIT)
            client.writer.close()
            await stand.event(Withdrawn)
            assert (await stand.outcome()).result == Result.CANCELLED
            await asyncio.wait_for(peer.ended.get(), WAIT)
            node = stand.node
            assert not node.held and not node.pool.attempts and not node.listener.connections

    run(test())


def test_a_cancelled_dial_leaves_no_connection_behind() -> None:
    async def test() -> None:
        peer = await Peer().start()
        async with running(peer) as stand:
            pool, client = stand.node.pool, await stand.client()
            send = stand.node.send

            def cancelled_at_once(action: Send) -> None:
                send(action)
                asyncio.get_running_loop().call_soon(pool.cancel, action.id, 0)

            stand.node.perform[Send] = cancelled_at_once
            assert (await client.ask(request()))[0] == 503
            assert (await stand.outcome()).result == Result.CANCELLED
            stand.node.perform[Send] = send
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
            assert (await stand.outcome()).result == Result.CANCELLED
            await asyncio.wait_for(peer.ended.get(), WAIT)
            assert peer.requests.empty() and not stand.node.pool.connections

    run(test())


def test_bytes_on_an_idle_connection_end_it(caplog: pytest.LogCaptureFixture) -> None:
    writers: list[asyncio.StreamWriter] = []

    async def keep(peer: Peer, head: bytes, writer: asyncio.StreamWriter) -> None:
        writers.append(writer)
        writer.write(OK)

    async def test() -> None:
        peer = await Peer(keep).start()
        async with running(peer) as stand:
            client = await stand.client()
            assert (await client.ask(request()))[0] == 200
            writers[0].write(OK.replace(b"done", b"late"))
            await asyncio.wait_for(peer.ended.get(), WAIT)
            assert not caplog.records  # it ended on purpose, not by an exception
            assert (await client.ask(request()))[2] == b"done"
            assert peer.connections == 2

    run(test())


def test_a_request_for_an_upgrade_is_served_as_any_other_and_the_last() -> None:
    async def test() -> None:
        async with running(await Peer().start()) as stand:
            client = await stand.client()
            data = request() + request(Connection="upgrade", Upgrade="websocket")
            assert (await client.ask(data))[0] == 200
            assert (await client.answer())[0] == 200
            assert await client.end() == b""

    run(test())


def test_the_module_is_told_what_the_client_says_of_a_request() -> None:
    async def test() -> None:
        async with running(await Peer().start(), tenants={b"acme": 0, b"ajax": 1}) as stand:
            client = await stand.client()
            assert (await client.ask(request(Tenant="nobody")))[0] == 400
            data = request("book", key="ride/42", Tenant="ajax", Work_Hint="2500", Client_Retry="1")
            assert (await client.ask(data))[0] == 200
            told = await stand.event(Request)
            assert (told.cls, told.tenant, told.key) == (1, 1, stable_id(b"42"))
            assert (told.hint, told.repeat) == (2.5, True)
            assert (await client.ask(request(Tenant="acme", Work_Hint="much")))[0] == 200
            told = await stand.event(Request)
            assert (told.cls, told.tenant, told.hint, told.repeat) == (0, 0, 0.0, False)

    run(test())


def test_time_is_kept_back_for_the_way_to_the_client() -> None:
    async def test() -> None:
        peer = await Peer().start()
        async with running(peer) as stand:
            assert (await (await stand.client()).ask(request(timeout="3000m")))[0] == 200
            left = field(await peer.requests.get(), b"Request-Timeout")
            assert left is not None and int(left[:-1]) <= 3000 - MARGIN

    run(test())


def test_pipelined_requests_are_answered_in_order() -> None:
    async def echo(peer: Peer, head: bytes, writer: asyncio.StreamWriter) -> None:
        name = head.split(b" ")[1].rpartition(b"/")[2]
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(name), name))

    async def test() -> None:
        async with running(await Peer(echo).start()) as stand:
            client = await stand.client()
            client.writer.write(b"".join(request(key=f"k{i}") for i in range(40)))
            for i in range(40):
                assert (await client.answer())[2] == b"k%d" % i

    run(test())


def test_pipelined_requests_are_all_answered_when_the_node_stops() -> None:
    release = asyncio.Event()

    async def held_back(peer: Peer, head: bytes, writer: asyncio.StreamWriter) -> None:
        await release.wait()
        writer.write(OK)

    async def test() -> None:
        peer = await Peer(held_back).start()
        async with running(peer) as stand:
            client = await stand.client()
            client.writer.write(request() * 3)
            await asyncio.wait_for(peer.requests.get(), WAIT)
            stand.node.stopping = True
            release.set()
            for connection in (None, None, b"close"):
                status, head, _ = await client.answer()
                assert (status, field(head, b"Connection")) == (200, connection)
            assert await client.end() == b""

    run(test())


def test_many_answers_at_once_do_not_nest() -> None:
    async def test() -> None:
        async with running(await Peer().start()) as stand:
            client = await stand.client()
            client.writer.write(b"GET /_health HTTP/1.1\r\n\r\n" * 3000)
            for _ in range(3000):
                assert (await client.answer())[0] == 200

    run(test())


BAD = [
    (b"nonsense\r\n\r\n", 400, True),
    (request().replace(b"Request-Id", b"X-Id"), 400, False),
    (request().replace(b"Request-Timeout", b"X-Timeout"), 400, False),
    (request(timeout="soon"), 400, False),
    (request(timeout="-5m"), 400, False),
    (request(Request_ID="twice"), 400, False),
    (request("book").replace(b"Idempotency-Key", b"X-Key"), 400, False),
    (request("pay", Idempotency_Key="5c0f"), 400, False),
    (request(Content_Length="1") + b"x", 400, False),
    (request("unknown"), 404, False),
    (request().replace(b"GET", b"PUT"), 405, False),
    (request("pay").replace(b"POST", b"GET"), 405, False),
    (request("pay", Content_Length="70000") + bytes(70000), 413, True),
    (request("pay", Content_Length="70000", Expect="100-continue"), 413, True),
    (
        request("pay", Transfer_Encoding="chunked").replace(b"Content-Length: 0\r\n", b"")
        + b"11000\r\n"
        + bytes(0x11000),
        413,
        True,
    ),
    (request(X="y" * 20000), 431, True),
    (b"GET /" + b"a" * 20000, 431, True),
    (b"GET /find/1 HTTP/1.1\r\nX: " + b"a" * 20000, 431, True),
]


@pytest.mark.parametrize(("data", "status", "ends"), BAD, ids=range(len(BAD)))
def test_bad_input_is_told_and_goes_to_no_server(data: bytes, status: int, ends: bool) -> None:
    async def test() -> None:
        peer = await Peer().start()
        async with running(peer) as stand:
            client = await stand.client()
            assert (await client.ask(data))[0] == status
            assert peer.requests.empty()
            if ends:
                assert await client.end() == b""
                client = await stand.client()
            assert (await client.ask(request()))[0] == 200

    run(test())


def test_an_exception_in_the_policy_costs_its_request_alone(caplog: pytest.LogCaptureFixture) -> None:
    async def test() -> None:
        async with running(await Peer().start()) as stand:
            client = await stand.client()
            handle = stand.node.policy.handle

            def broken(now: float, event: object) -> Any:
                raise RuntimeError("broken on purpose")

            stand.node.policy.handle = broken  # type: ignore[method-assign]
            assert (await client.ask(request()))[0] == 500
            stand.node.policy.handle = handle  # type: ignore[method-assign]
            assert (await client.ask(request()))[0] == 200
            assert not stand.node.held

    run(test())
    assert "broken on purpose" in caplog.text


@pytest.mark.parametrize(
    "line",
    [
        b'{"generation": 2, "reset": true, "instances": [{}]}',
        b'{"generation": 2, "reset": true, "instances": 7}',
        b'{"generation": 1e999, "reset": true, "instances": []}',
        b'{"generation": 2, "reset": false, "instances": [{"instanceId": "s-9", "lifecycle": "active",'
        b' "hostPort": "127.0.0.1:9", "weight": NaN}]}',
        b"[" * 100_000,
        b"[]",
        b"{",
    ],
    ids=range(7),
)
def test_a_malformed_line_leaves_the_list_and_brings_a_whole_one(line: bytes) -> None:
    async def test() -> None:
        peer = await Peer().start()
        async with running(peer) as stand:
            client, calls = await stand.client(), stand.agent.calls
            assert await calls.get() == "/catalog/members?watch=1&from=1"
            stand.agent.lines.put_nowait(line + b"\n")
            assert await asyncio.wait_for(calls.get(), WAIT) == "/catalog/members"
            assert (await client.ask(request()))[0] == 200
            assert await asyncio.wait_for(calls.get(), WAIT) == "/catalog/members?watch=1&from=1"

    run(test())


def test_a_watch_that_ends_is_opened_again_where_it_was() -> None:
    async def test() -> None:
        peer = await Peer().start()
        async with running(peer) as stand:
            calls = stand.agent.calls
            assert await calls.get() == "/catalog/members?watch=1&from=1"
            stand.agent.push(5, [peer.entry("s-1", "leaving")])
            stand.agent.lines.put_nowait(None)
            assert await asyncio.wait_for(calls.get(), WAIT) == "/catalog/members?watch=1&from=5"
            assert stand.node.pool.servers[stable_id(b"s-1")].state is State.DRAINING

    run(test())


def test_a_watch_that_falls_silent_is_opened_again(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery, "SILENCE", 0.05)

    async def test() -> None:
        async with running(await Peer().start()) as stand:
            for _ in range(3):
                call = await asyncio.wait_for(stand.agent.calls.get(), WAIT)
                assert call == "/catalog/members?watch=1&from=1"
            assert stand.node.healthy and not stand.node.pool.servers.keys() - stand.node.listed

    run(test())


def test_a_client_that_waits_for_a_go_ahead_gets_it() -> None:
    async def test() -> None:
        async with running(await Peer().start()) as stand:
            client = await stand.client()
            head, body = request("book", body=b"ride", Expect="100-continue")[:-4], b"ride"
            assert (await client.ask(head))[0] == 100
            assert (await client.ask(body))[0] == 200

    run(test())


def test_health_waits_for_a_list() -> None:
    async def test() -> None:
        peer = await Peer().start()
        async with running(peer, known={}) as stand:
            client = await stand.client()
            await stand.event(ServerList)
            assert (await client.ask(b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"))[0] == 200
            stand.node.healthy = False
            assert (await client.ask(b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"))[0] == 503

    run(test())


def test_a_late_answer_reaches_the_policy_and_not_the_client() -> None:
    async def test() -> None:
        peer = await Peer(stay_silent).start()
        async with running(peer) as stand:
            client = await stand.client()
            client.writer.write(request())
            await asyncio.wait_for(peer.requests.get(), WAIT)
            stand.node.answer(stand.node.last_id, 502)
            stand.node.pool.cancel(stand.node.last_id, 0)
            assert (await client.answer())[0] == 502
            outcome: Outcome = await stand.outcome()
            assert outcome.over and outcome.result == Result.CANCELLED

    run(test())


def test_a_client_with_too_little_time_is_refused_at_once() -> None:
    async def test() -> None:
        peer = await Peer().start()
        async with running(peer) as stand:
            assert (await (await stand.client()).ask(request(timeout="20m")))[0] == 503
            assert peer.requests.empty()

    run(test())


def test_a_keyed_request_that_may_have_run_is_sent_again_with_its_key() -> None:
    async def test() -> None:
        peers = [await Peer(hang_up).start(), await Peer(hang_up).start()]
        async with running(*peers, attempts=4) as stand:
            stand.node.policy.random.random = lambda: 0.99  # type: ignore[method-assign]  # no draw ends it
            data = request("book")
            assert (await (await stand.client()).ask(data))[0] == 503
            for peer in peers:
                got = await asyncio.wait_for(peer.requests.get(), WAIT)
                assert field(got, b"Idempotency-Key") == b"5c0f"
                assert field(got, b"Request-Id") == field(data, b"Request-Id")

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


def test_near_the_descriptor_limit_the_longest_idle_client_makes_room() -> None:
    async def test() -> None:
        async with running(await Peer().start(), sockets=96) as stand:
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


def test_server_connections_stay_under_their_limit() -> None:
    async def test() -> None:
        peers = [await Peer(stay_silent).start() for _ in range(3)]
        async with running(*peers) as stand:
            stand.node.pool.max_connections = 0
            assert (await (await stand.client()).ask(request()))[0] == 503
            assert (await stand.outcome()).result == Result.UNREACHABLE
            assert not any(peer.connections for peer in peers)

    run(test())


def test_a_request_that_never_ends_is_given_up(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(clients, "REQUEST_TIME", 0.05)

    async def test() -> None:
        async with running(await Peer().start()) as stand:
            client = await stand.client()
            assert (await client.ask(b"GET /find/1 HTTP/1.1\r\nHost:"))[0] == 408
            assert await client.end() == b""

    run(test())


def test_small_writes_are_not_held_back() -> None:
    async def test() -> None:
        async with running(await Peer().start()) as stand:
            assert (await (await stand.client()).ask(request()))[0] == 200
            (client,) = stand.node.listener.connections
            (server,) = stand.node.pool.servers[stable_id(b"s-1")].idle
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
        peer = await Peer().start()
        async with running(peer) as stand:
            rude = await stand.client()
            rude.writer.write(data)
            rude.writer.write_eof()
            with suppress(ConnectionError):  # a reset is as good an end
                await rude.end()
            assert peer.requests.empty()
            assert (await (await stand.client()).ask(request()))[0] == 200
            assert not stand.node.held

    run(test())


@settings(max_examples=20, derandomize=True, database=None, deadline=None)
@given(cuts=st.lists(st.integers(min_value=1, max_value=200), max_size=8))
def test_a_request_may_come_in_pieces(cuts: list[int]) -> None:
    async def test() -> None:
        peer = await Peer().start()
        async with running(peer) as stand:
            client, data = await stand.client(), request("book", body=b"x" * 40)
            places = [0, *sorted(cuts), len(data)]
            for start, end in zip(places, places[1:], strict=False):
                client.writer.write(data[start:end])
                await asyncio.sleep(0)
            assert (await client.answer())[0] == 200
            assert (await peer.requests.get()).endswith(b"x" * 40)

    run(test())
