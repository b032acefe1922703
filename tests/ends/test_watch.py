"""The ends of a watch, each forced: nothing of the list is missed, and what it misses is heard in
time."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from badgercart.core.identifiers import stable_id
from badgercart.discovery import catalog
from badgercart.discovery.backoff import INITIAL_RETRY_DELAY_S, CallTiming
from badgercart.discovery.catalog import WATCH_SILENCE_TIMEOUT_S
from badgercart.policy.endpoint import EndpointState
from tests.net import WAIT, Agent, Peer, request, run, running

Script = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


class Scripted(Agent):
    """Discovery whose next calls follow scripts, one each; from then on it is as it always is."""

    def __init__(self, instances: list[dict[str, Any]], scripts: list[Script]) -> None:
        super().__init__(instances, 2)
        self.scripts = scripts

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if not self.scripts:
            await super().serve(reader, writer)
            return
        script = self.scripts.pop(0)
        try:
            self.calls.put_nowait((await reader.readuntil(b"\r\n\r\n")).split(b" ")[1].decode())
            await script(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.ended.put_nowait(1)
            writer.close()


async def hang(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    await reader.read()  # until the node leaves


def says(*parts: bytes, then: str = "hang") -> Script:
    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        for part in parts:
            writer.write(part)
        if then == "reset":
            await writer.drain()
            writer.transport.abort()
        elif then == "hang":
            await hang(reader, writer)

    return script


def trickle(data: bytes) -> Script:
    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(HEAD)
        leaving = asyncio.ensure_future(reader.read())
        while not leaving.done():
            writer.write(chunk(data))
            await asyncio.wait([leaving], timeout=0.01)

    return script


def cut(peer: Peer) -> bytes:
    return json.dumps(
        {"generation": 2, "reset": False, "instances": [peer.entry("s-1", "leaving")]}
    ).encode()


ENDS: dict[str, tuple[Callable[[Peer], list[Script]], int]] = {
    # What befalls a watch, and how many whole lists it takes to be sure again.
    "silent before its first byte": (lambda peer: [hang], 0),
    "silent before its first byte, twice": (lambda peer: [hang, hang], 0),
    "silent after its head": (lambda peer: [says(HEAD)], 0),
    "silent after a sign of life": (lambda peer: [says(HEAD, chunk(b"\n"))], 0),
    "ended cleanly": (lambda peer: [says(HEAD, chunk(b"\n"), b"0\r\n\r\n", then="close")], 0),
    "reset before its first line": (lambda peer: [says(HEAD, then="reset")], 0),
    "reset within a chunk": (lambda peer: [says(HEAD, b"40\r\n{", then="reset")], 0),
    "silent within a line": (lambda peer: [says(HEAD, chunk(cut(peer)[:60]))], 1),
    "a line cut, then a sign of life": (
        lambda peer: [says(HEAD, chunk(cut(peer)[:60] + b"\n\n"))],
        1,
    ),
    "a line cut, then ended": (
        lambda peer: [says(HEAD, chunk(cut(peer)[:60]), b"0\r\n\r\n", then="close")],
        1,
    ),
    "bytes that make no line": (lambda peer: [trickle(b" ")], 0),
    "a line that never ends": (lambda peer: [trickle(b'{"generation":')], 1),
    "no such place": (
        lambda peer: [says(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", then="close")],
        0,
    ),
    "no HTTP": (lambda peer: [says(b"hello\r\n\r\n", then="close")], 0),
}


@pytest.mark.parametrize("end", ENDS)
def test_whatever_ends_a_watch_what_it_missed_is_heard(
    end: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(catalog, "WATCH_SILENCE_TIMEOUT_S", 0.2)
    monkeypatch.setattr(catalog, "MIN_TRANSFER_BYTES_PER_S", 64_000_000)

    async def test() -> None:
        peer, other = await Peer().start(), await Peer().start()
        scripts, wholes = ENDS[end]
        number = len(scripts(peer))
        agent = await Scripted(
            [peer.entry("s-1", "leaving"), other.entry("s-2")], scripts(peer)
        ).start()
        agent.push(3, [peer.entry("s-1", "leaving"), other.entry("s-2")])
        known = {
            "generation": 1,
            "reset": True,
            "instances": [peer.entry("s-1"), other.entry("s-2")],
        }
        async with running(peer, other, agent=agent, known=known) as stand:
            while stand.node.endpoint_table.version < 3:
                assert (
                    stand.node.discovery.task is not None and not stand.node.discovery.task.done()
                )
                await asyncio.sleep(0.001)
            assert stand.node.pool.servers[stable_id(b"s-1")].state is EndpointState.DRAINING
            calls = [agent.calls.get_nowait() for _ in range(agent.calls.qsize())]
            assert calls.count("/catalog/members") == wholes
            assert len(calls) == number + wholes + 1

    run(test())


@pytest.mark.parametrize("indent", [0, 2, "\t"])
def test_indented_lists_are_taken_without_asking_for_them_again(indent: Any) -> None:
    async def test() -> None:
        peer = await Peer().start()
        async with running(peer) as stand:
            calls = stand.agent.calls
            assert await asyncio.wait_for(calls.get(), WAIT) == "/catalog/members?watch=1&from=1"
            for generation, state in ((2, "leaving"), (3, "active"), (4, "leaving")):
                line = {
                    "generation": generation,
                    "reset": False,
                    "instances": [peer.entry("s-1", state)],
                }
                stand.agent.lines.put_nowait(json.dumps(line, indent=indent).encode() + b"\n")
            while stand.node.endpoint_table.version < 4:
                await asyncio.sleep(0)
            assert stand.node.pool.servers[stable_id(b"s-1")].state is EndpointState.DRAINING
            assert calls.empty()

    run(test())


def test_a_whole_list_that_trickles_is_given_up_and_asked_for_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(catalog, "MIN_TRANSFER_BYTES_PER_S", 64_000_000)

    async def endless(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await trickle(b" ")(reader, writer)

    async def test() -> None:
        peer = await Peer().start()
        agent = await Scripted([peer.entry()], [endless]).start()
        async with running(peer, agent=agent, known={}) as stand:
            while stand.node.endpoint_table.version < 2:
                await asyncio.sleep(0.001)
            assert [agent.calls.get_nowait() for _ in range(2)] == ["/catalog/members"] * 2

    run(test())


def test_the_times_of_an_agent_leave_room_within_the_grace() -> None:
    for grace in (250.0, 500.0, 2000.0):
        pace = CallTiming.for_local_agent(grace)
        assert (
            pace.response_timeout_s + 1.5 * pace.max_retry_delay_s < grace / 1000
        )  # a call that hangs as it comes back, and a pause
    told, grace = 6.0, 0.5
    for pace in (CallTiming.for_local_agent(500.0), CallTiming.for_shared_service()):
        assert (
            WATCH_SILENCE_TIMEOUT_S + pace.response_timeout_s + 1.5 * INITIAL_RETRY_DELAY_S
            < told + grace - pace.response_timeout_s
        )


def test_a_list_that_the_policy_breaks_over_is_asked_for_again_whole(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Else the pool would go by it and the policy not."""

    async def test() -> None:
        peer, other = await Peer().start(), await Peer().start()
        async with running(peer, other) as stand:
            assert (
                await asyncio.wait_for(stand.agent.calls.get(), WAIT)
                == "/catalog/members?watch=1&from=1"
            )
            policy, left = stand.node.pipeline.policy, 1
            settle = policy.fleet.settle

            def broken() -> None:
                nonlocal left
                left -= 1
                if left == 0:
                    raise ArithmeticError("a fault of ours")
                settle()

            policy.fleet.settle = broken  # type: ignore[method-assign]
            leaving = [peer.entry("s-1", "leaving"), other.entry("s-2")]
            stand.agent.whole = {"generation": 2, "reset": True, "instances": leaving}
            stand.agent.push(2, leaving[:1])
            assert await asyncio.wait_for(stand.agent.calls.get(), WAIT) == "/catalog/members"
            assert (
                await asyncio.wait_for(stand.agent.calls.get(), WAIT)
                == "/catalog/members?watch=1&from=2"
            )
            drained = stable_id(b"s-1")
            assert (
                drained not in policy.fleet.endpoints.ready
                and policy.fleet.endpoints.by_id[drained].endpoint.state is EndpointState.DRAINING
            )
            client = await stand.client()
            for _ in range(6):
                assert (await client.ask(request()))[0] == 200
            assert peer.requests.empty() and other.requests.qsize() == 6
            assert "the policy could not take list 2" in caplog.text

    run(test())
