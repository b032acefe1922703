"""A node that starts with a cached list sends nothing by it while its agent may still respond."""

from __future__ import annotations

import asyncio
import json
from dataclasses import replace
from typing import Any

from badgercart.node import Node
from tests.net import (
    WAIT_S,
    Client,
    DiscoveryAgent,
    ScriptedServer,
    config,
    request,
    run,
    running,
)

# Longer than any test waits.
LONG_DRAIN_GRACE_MS = 100_000.0
SHORT_DRAIN_GRACE_MS = 20.0
# How long a request that must not be sent is watched for.
WATCHED_S = 0.2


class LateAgent(DiscoveryAgent):
    """An agent that responds to nothing until `answering` is set.

    The first line of its watch has the changes since the cached list, or is a heartbeat if there
    are none.
    """

    def __init__(
        self, instances: list[dict[str, Any]], changes: list[dict[str, Any]], generation: int = 2
    ) -> None:
        super().__init__(instances)
        self.answering = asyncio.Event()
        change = {"generation": generation, "reset": False, "instances": changes}
        self.first_line = json.dumps(change).encode() + b"\n" if changes else b"\n"

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        self.calls.put_nowait(head.split(b" ")[1].decode())
        await self.answering.wait()
        line = self.first_line
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        writer.write(b"%x\r\n%b\r\n" % (len(line), line))
        await reader.read()  # until the node closes the connection
        writer.close()


async def ask(node: Node) -> int:
    """Send a request on a new connection, and return the status of the response."""
    client = Client(*await asyncio.open_connection(*node.listener.address))
    status, _, _ = await client.ask(request())
    client.writer.close()
    return status


# Guards against a request to a server that drained while the node was down, sent by the cached
# list as the list of the agent arrives later than the listener opens.
def test_no_request_is_sent_by_a_cached_list_before_the_agent_responds() -> None:
    async def test() -> None:
        draining, active = await ScriptedServer().start(), await ScriptedServer().start()
        agent = LateAgent([], [draining.entry("s-1", "leaving"), active.entry("s-2")])
        await agent.start()
        async with running(
            draining, agent=agent, drain_grace=LONG_DRAIN_GRACE_MS, until_open=False
        ) as stand:
            asked = asyncio.ensure_future(ask(stand.node))
            await asyncio.wait_for(agent.calls.get(), WAIT_S)
            done, _ = await asyncio.wait({asked}, timeout=WATCHED_S)
            assert not done and draining.requests.empty()
            assert stand.node.not_ready_reason() == "discovery has not answered yet"
            agent.answering.set()
            assert await asyncio.wait_for(asked, WAIT_S) == 200
            assert draining.requests.empty() and active.requests.qsize() == 1
            assert not stand.node.not_ready_reason()

    run(test())


def test_a_heartbeat_confirms_a_cached_list() -> None:
    async def test() -> None:
        server = await ScriptedServer().start()
        agent = LateAgent([], [])
        await agent.start()
        async with running(
            server, agent=agent, drain_grace=LONG_DRAIN_GRACE_MS, until_open=False
        ) as stand:
            asked = asyncio.ensure_future(ask(stand.node))
            await asyncio.wait_for(agent.calls.get(), WAIT_S)
            agent.answering.set()
            assert await asyncio.wait_for(asked, WAIT_S) == 200

    run(test())


# A malformed answer tells nothing: the node asks again, and clients wait on.
def test_a_malformed_response_does_not_confirm_a_cached_list() -> None:
    async def test() -> None:
        server = await ScriptedServer().start()
        agent = LateAgent([], [])
        agent.first_line = b"{]\n"
        agent.answering.set()
        await agent.start()
        async with running(
            server, agent=agent, drain_grace=LONG_DRAIN_GRACE_MS, until_open=False
        ) as stand:
            for _ in range(2):
                await asyncio.wait_for(agent.calls.get(), WAIT_S)
            assert not stand.node.listener.opened

    run(test())


def test_a_cached_list_is_used_after_a_while_if_the_agent_stays_silent() -> None:
    async def test() -> None:
        server = await ScriptedServer().start()
        agent = LateAgent([], [])
        await agent.start()
        async with running(
            server, agent=agent, drain_grace=SHORT_DRAIN_GRACE_MS, until_open=False
        ) as stand:
            assert await asyncio.wait_for(ask(stand.node), WAIT_S) == 200
            assert not agent.answering.is_set()

    run(test())


# A service that nodes poll responds late to many, and tells them less.
def test_a_node_that_polls_a_shared_service_accepts_clients_at_once() -> None:
    async def test() -> None:
        server = await ScriptedServer().start()
        agent = LateAgent([], [])
        await agent.start()
        settings = replace(config(agent.port).settings, polls_endpoints=True)
        changes = {"settings": settings, "drain_grace": LONG_DRAIN_GRACE_MS, "until_open": False}
        async with running(server, agent=agent, **changes) as stand:
            assert await asyncio.wait_for(ask(stand.node), WAIT_S) == 200

    run(test())


# Without a list nothing can be sent, so there is nothing to wait for.
def test_a_node_without_a_cached_list_refuses_requests_at_once() -> None:
    async def test() -> None:
        agent = LateAgent([], [])
        await agent.start()
        node = Node(config(agent.port, drain_grace=LONG_DRAIN_GRACE_MS), asyncio.get_running_loop())
        await node.start()
        assert await asyncio.wait_for(ask(node), WAIT_S) == 503
        node.close()

    run(test())
