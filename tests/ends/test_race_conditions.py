"""Race conditions that were suspected at first and did not occur: each is forced here."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import socket
import time
from dataclasses import replace
from pathlib import Path

import pytest
import uvloop

from badgercart import node as platform
from badgercart.core.identifiers import stable_id
from badgercart.discovery.catalog import CallTiming, Discovery
from badgercart.frontends.http import clients
from badgercart.policy.endpoint import EndpointState
from badgercart.policy.events import EndpointUpdate
from tests.ends.test_disconnect_while_waiting import ConnectGate
from tests.ends.test_watch import HEAD, ScriptedAgent, hang, send_parts
from tests.ends.virtual import VirtualLoop
from tests.net import OK, WAIT_S, ScriptedServer, config, request, run, running
from tests.test_process import COMMAND


def test_sigterm_during_startup_ends_the_process(tmp_path: Path) -> None:
    """The process reads its configuration from a pipe that nothing is written to."""

    async def test() -> None:
        path = tmp_path / "config.json"
        os.mkfifo(path)
        process = await asyncio.create_subprocess_exec(
            *COMMAND,
            env=os.environ | {"ROUTER_CONFIG": str(path)},
            stderr=asyncio.subprocess.DEVNULL,
        )
        async with asyncio.timeout(WAIT_S):
            while True:
                try:
                    pipe = os.open(path, os.O_WRONLY | os.O_NONBLOCK)
                    break
                except OSError:  # the process has not opened it yet
                    await asyncio.sleep(0.001)
            process.send_signal(signal.SIGTERM)
            assert await process.wait() == -signal.SIGTERM
        os.close(pipe)

    uvloop.run(test())


def test_a_slow_reader_gets_the_last_byte_before_the_process_ends(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The listener closes at once, so that only the slow reader delays the end of the process."""
    monkeypatch.setattr(clients, "DRAIN_ACCEPT_S", 0.0)
    monkeypatch.setattr(platform, "DRAIN_ACCEPT_S", 0.0)

    async def test() -> None:
        big = b"HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n" + b"x" * 60000

        async def script(peer: ScriptedServer, head: bytes, writer: asyncio.StreamWriter) -> None:
            writer.write(big)

        async with running(await ScriptedServer(script).start()) as stand:
            loop, sock = asyncio.get_running_loop(), socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
            sock.setblocking(False)
            await loop.sock_connect(sock, stand.node.listener.address)
            async for connection in stand.connections(1):
                while not hasattr(connection, "transport"):
                    await asyncio.sleep(0)
                own = connection.transport.get_extra_info("socket")
                own.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2048)
            await loop.sock_sendall(sock, request())
            await stand.outcome()
            assert connection.transport.get_write_buffer_size()

            async def ends() -> int:
                await stand.node.drain()
                return int(connection.transport.get_write_buffer_size())

            ending, got = asyncio.ensure_future(ends()), b""
            while part := await asyncio.wait_for(loop.sock_recv(sock, 1000), WAIT_S):
                got += part
                await asyncio.sleep(0.002)
            assert got.endswith(b"x" * 60000)
            sock.close()
            assert await asyncio.wait_for(ending, WAIT_S) == 0

    run(test())


def test_a_connection_that_was_just_accepted_is_served_although_the_listener_closes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Its transport is made in the next iteration of the loop; until then only the listener has it."""
    monkeypatch.setattr(clients, "DRAIN_ACCEPT_S", 0.0)
    monkeypatch.setattr(platform, "DRAIN_ACCEPT_S", 0.0)

    async def test() -> None:
        async with running(await ScriptedServer().start()) as stand:
            listener = stand.node.listener
            # Established within this iteration of the loop.
            sock = socket.create_connection(listener.address)
            sock.sendall(request())
            listener.accept_connections()
            (client,) = listener.connections
            assert not hasattr(client, "machine")
            listener.stop_accepting()
            await stand.node.drain()
            sock.settimeout(WAIT_S)
            assert b"200 OK" in sock.recv(1000) and sock.recv(1000) == b""
            sock.close()

    run(test())


@pytest.mark.parametrize("grace", [250.0, 500.0, 2000.0])
@pytest.mark.parametrize("seed", range(5))
def test_an_agent_that_recovers_at_any_time_is_called_within_the_grace_period(
    grace: float, seed: int
) -> None:
    """While it is down no call connects; two calls are never further apart than the grace period."""
    loop = VirtualLoop()

    async def test() -> None:
        discovery = Discovery(
            ("127.0.0.1", 1),
            lambda raw: 0,
            random.Random(seed),
            timing=CallTiming.for_local_agent(grace),
        )
        discovery.start()
        times = [loop.time()]
        while len(times) < 40:
            await asyncio.sleep(0.001)
            if len(loop.pending_connections) >= len(times):
                times.append(loop.time())
        gaps = [later - before for before, later in zip(times[1:], times[2:], strict=False)]
        assert max(gaps) < grace / 1000 and len(gaps) > 30
        discovery.close()
        await asyncio.sleep(0)

    try:
        loop.run_until_complete(test())
    finally:
        loop.close()


def test_a_start_with_an_old_list_sends_nothing_to_a_server_that_the_agent_reports_as_draining() -> (
    None
):
    """The first call to the agent hangs; the second one has to deliver the drain in time."""

    async def test() -> None:
        old, new = await ScriptedServer().start(), await ScriptedServer().start()
        agent = await ScriptedAgent([old.entry("s-1", "leaving"), new.entry("s-2")], [hang]).start()
        agent.push(2, [old.entry("s-1", "leaving"), new.entry("s-2")])
        async with running(old, new, agent=agent) as stand:
            while stand.node.endpoint_table.version < 2:
                await asyncio.sleep(0.001)
            client = await stand.client()
            for _ in range(8):
                assert (await client.ask(request()))[0] == 200
            assert (old.requests.qsize(), new.requests.qsize()) == (0, 8)

    run(test())


def test_after_a_move_to_a_silent_address_drains_still_hold_and_moving_back_works() -> None:
    async def test() -> None:
        old, new = await ScriptedServer().start(), await ScriptedServer().start()
        nowhere = await ScriptedAgent([], [hang, send_parts(HEAD), *[hang] * 20]).start()
        async with running(old, new) as stand:
            stand.agent.push(2, [old.entry("s-1", "leaving")])
            while stand.node.endpoint_table.version < 2:
                await asyncio.sleep(0)
            stand.node.discovery.move(("127.0.0.1", nowhere.port))
            for _ in range(3):
                await asyncio.wait_for(nowhere.calls.get(), WAIT_S)
            client = await stand.client()
            for _ in range(6):
                assert (await client.ask(request()))[0] == 200
            assert (old.requests.qsize(), new.requests.qsize()) == (0, 6)
            stand.agent.whole = {"generation": 3, "reset": True, "instances": [old.entry("s-1")]}
            stand.node.discovery.move(("127.0.0.1", stand.agent.port))
            while stand.node.endpoint_table.version < 3:
                await asyncio.sleep(0)
            assert (await client.ask(request()))[0] == 200
            assert old.requests.qsize() == 1

    run(test())


def test_a_retry_does_not_use_a_server_that_started_to_drain() -> None:
    async def test() -> None:
        peers = [await ScriptedServer().start() for _ in range(2)]
        drained = asyncio.Event()

        async def script(peer: ScriptedServer, head: bytes, writer: asyncio.StreamWriter) -> None:
            await drained.wait()
            writer.transport.abort()

        for peer in peers:
            peer.script = script
        async with running(*peers, attempts=3) as stand:
            client = await stand.client()
            client.writer.write(request())
            gets = [asyncio.ensure_future(peer.requests.get()) for peer in peers]
            await asyncio.wait(gets, return_when=asyncio.FIRST_COMPLETED)
            other = next(i for i, task in enumerate(gets) if not task.done())
            name = f"s-{other + 1}"
            stand.agent.push(2, [peers[other].entry(name, "leaving")])
            while stand.node.pool.servers[stable_id(name.encode())].state is EndpointState.READY:
                await asyncio.sleep(0)
            drained.set()
            assert (await client.answer())[0] == 503
            assert not gets[other].done() and peers[other].connections == 0
            gets[other].cancel()

    run(test())


def test_a_streamed_request_is_not_sent_to_a_server_that_drains_during_the_connect(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        peer = await ScriptedServer().start()
        async with running(peer) as stand:
            gate, client = ConnectGate(monkeypatch), await stand.client()
            data = request("book", body=b"x" * 100_000)
            client.writer.write(data[:-1])
            await gate.reached()
            stand.agent.push(2, [peer.entry("s-1", "leaving")])
            while (await stand.event(EndpointUpdate)).version != 2:
                pass
            gate.opened.set()
            client.writer.write(data[-1:])
            assert (await client.answer())[0] == 503
            assert peer.requests.empty()

    run(test())


@pytest.mark.parametrize(("cls", "status"), [("find", 503), ("book", 503), ("pay", 502)])
@pytest.mark.parametrize("answers", [True, False], ids=["response arrived", "no response"])
def test_a_loop_that_was_blocked_over_the_end_of_an_attempt_still_responds(
    cls: str, status: int, answers: bool
) -> None:
    """The timeout and the response are found in the same iteration; a late timer still fires."""

    async def test() -> None:
        writers: list[asyncio.StreamWriter] = []

        async def script(peer: ScriptedServer, head: bytes, writer: asyncio.StreamWriter) -> None:
            writers.append(writer)

        peer = await ScriptedServer(script).start()
        settings = replace(config(1, aim=400.0).settings, may_cancel=False)
        async with running(peer, settings=settings) as stand:
            client = await stand.client()
            client.writer.write(request(cls))
            await asyncio.wait_for(peer.requests.get(), WAIT_S)
            (attempt,) = stand.node.pool.attempts.values()
            if answers:
                raw = writers[0].get_extra_info("socket")
                socket.socket(fileno=os.dup(raw.fileno())).sendall(OK)
            left = attempt.deadline_ms / 1000 - time.monotonic()
            time.sleep(left + 0.3)
            assert (await client.answer())[0] == (200 if answers else status)
            assert not stand.node.pipeline.in_flight

    run(test())
