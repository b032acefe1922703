"""Requests, attempts and connections with events in any order, on the real pipeline, policy and pool.

Each request has exactly one final response; nothing is written after it or to a server that drains
or is gone; a non-idempotent request never has two attempts; nothing is left over at the end.
"""

from __future__ import annotations

import asyncio
import random
import re
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from badgercart.core.endpoint_table import DiscoveredEndpoint, DiscoveryUpdate, EndpointTable
from badgercart.core.ports import IncomingRequest, UpstreamResponse
from badgercart.core.request_pipeline import RequestPipeline
from badgercart.policy.endpoint import Endpoint, EndpointState
from badgercart.policy.events import SettingsChanged, UpdateKind
from badgercart.policy.settings import DeduplicationScope, Idempotency, RequestClass, Settings
from badgercart.upstream import connection_pool, server_connection
from badgercart.upstream.connection_pool import ServerPool
from badgercart.upstream.exchange import UpstreamRequest
from tests.ends.virtual import PendingConnection, ServerTransport, VirtualLoop

CLASSES = (
    RequestClass(
        latency_objective_ms=300.0,
        deadline_ms=600.0,
        priority_weight=1.0,
        idempotency=Idempotency.IDEMPOTENT,
    ),
    RequestClass(
        latency_objective_ms=300.0,
        deadline_ms=600.0,
        priority_weight=3.0,
        idempotency=Idempotency.KEYED,
        deduplication_window_ms=400.0,
    ),
    RequestClass(
        latency_objective_ms=300.0,
        deadline_ms=600.0,
        priority_weight=3.0,
        idempotency=Idempotency.KEYED,
        deduplication_scope=DeduplicationScope.CELL,
        deduplication_window_ms=400.0,
    ),
    RequestClass(
        latency_objective_ms=300.0,
        deadline_ms=600.0,
        priority_weight=9.0,
        idempotency=Idempotency.NON_IDEMPOTENT,
    ),
)
FULL = b"HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"
ERROR = b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"


def good(name: str) -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(name), name.encode())


class RequestRecord:
    """One request, its frontend's side, and what servers received of it."""

    def __init__(self, world: World, number: int, cls: int) -> None:
        self.world, self.number, self.cls = world, number, cls
        self.ends: list[str] = []
        self.out: set[int] = set()  # written attempts, by the numbers of their transports
        self.possibly_executed: set[int] = set()  # of these and earlier ones

    def end(self, how: str) -> None:
        self.ends.append(how)
        assert len(self.ends) == 1, self.ends

    def client_is_gone(self) -> bool:
        return False

    def on_response(self, response: UpstreamResponse) -> None:
        assert response.body.decode() in (f"r{self.number}", ""), "another request's response"
        self.end("answered")

    def on_shed(self, retry_after_ms: float) -> None:
        if (
            CLASSES[self.cls].idempotency is Idempotency.NON_IDEMPOTENT
            or CLASSES[self.cls].deduplication_scope is DeduplicationScope.CELL
        ):
            assert not self.possibly_executed, "shed although it may have been executed"
        self.end("refused")

    def on_failure(self, internal_error: bool) -> None:
        assert not internal_error
        self.end("failed")


class World:
    """The pipeline and the pool of a node, and scripted servers."""

    def __init__(self, loop: VirtualLoop, may_cancel: bool) -> None:
        self.loop = loop
        self.settings = Settings(
            CLASSES, may_cancel=may_cancel, max_attempts=3, max_retry_after_ms=100.0
        )
        self.join = RequestPipeline(self.settings, 7, loop, lambda: loop.now * 1000)
        self.pool = ServerPool(
            loop,
            200.0,
            5000.0,
            64,
            self.join.attempt_ended,
            self.join.response_started,
            is_awaited=self.join.in_flight.__contains__,
        )
        self.roster = EndpointTable(None, self.join)  # type: ignore[arg-type]
        self.roster.on_change.append(self.pool.update)
        self.records: dict[int, RequestRecord] = {}
        # Transports with a request on them, and its id.
        self.open_transports: dict[int, tuple[ServerTransport, int]] = {}
        self.idle: list[ServerTransport] = []  # those that have had a response
        self.states = [EndpointState.READY] * 4
        self.started = [0.0] * 4
        self.left = False
        self.list([0, 1, 2, 3], UpdateKind.SNAPSHOT)

    def list(self, numbers: list[int], kind: UpdateKind = UpdateKind.DELTA) -> None:
        endpoints = [
            DiscoveredEndpoint(
                Endpoint(n + 1, 0, 0, n % 2, self.states[n], 1.0, self.started[n]),
                ("s", n),
                f"s-{n}",
            )
            for n in numbers
        ]
        self.roster.apply(DiscoveryUpdate(kind, 1, endpoints))

    def written(self, transport: ServerTransport, data: bytes) -> None:
        """Record that a server has received the last byte of a request."""
        match = re.search(rb"Request-Id: (\d+)\r\n", data)
        assert match is not None and data.endswith(b"\r\n\r\n")
        record = self.records[int(match[1])]
        assert not record.ends, f"written after its end: {record.ends}"
        assert (
            self.states[transport.port] is EndpointState.READY
        ), "written to a server that drains or is gone"
        if CLASSES[record.cls].idempotency is Idempotency.NON_IDEMPOTENT:
            assert not record.possibly_executed, "a non-idempotent request, a second time"
        assert transport.number not in self.open_transports
        record.out.add(transport.number)
        record.possibly_executed.add(transport.number)
        self.open_transports[transport.number] = transport, record.number

    # The steps of a run.

    def ask(self, number: int) -> None:
        cls, patience = number % len(CLASSES), (60.0, 250.0, 600.0)[number // 7 % 3]
        request = self.join.next_request_id()
        record = self.records[request] = RequestRecord(self, request, cls)
        message = UpstreamRequest(b"GET /x HTTP/1.1\r\nRequest-Id: %d\r\n" % request, b"")
        due = self.join.clock() + patience
        self.join.accept(
            request, IncomingRequest(cls, 0, number % 5, due, message), record, self.pool
        )

    def leave_client(self, number: int) -> None:
        if ids := sorted(self.join.in_flight):
            request = ids[number % len(ids)]
            self.records[request].end("left")
            self.join.cancel_request(request)

    def dial(self, number: int) -> None:
        if waiting := [
            dial for dial in self.loop.pending_connections if not dial.established.done()
        ]:
            dial: PendingConnection = waiting[number % len(waiting)]
            if number % 5 == 4:
                dial.fail()
            else:
                dial.open(self.written)

    def dial_all(self, number: int) -> None:
        for dial in [dial for dial in self.loop.pending_connections if not dial.established.done()]:
            dial.open(self.written)

    def answer(self, number: int) -> None:
        if not self.open_transports:
            return
        transport, request = self.open_transports.pop(
            sorted(self.open_transports)[number % len(self.open_transports)]
        )
        record = self.records[request]
        record.out.discard(transport.number)
        what = number % 8
        if what == 3:
            record.possibly_executed.discard(transport.number)
            transport.receive(FULL)
        elif what == 4:
            transport.receive(ERROR)
        elif what == 5:
            transport.lose()
        elif what == 6:  # half a response, then the end
            transport.receive(good(f"r{request}")[:30])
            transport.loop.call_soon(transport.lose)
        else:
            transport.receive(good(f"r{request}"))
            if what == 7:  # and once more, some ms later
                self.loop.call_later(0.003, transport.receive, good(f"r{request}"))

    def echo(self, number: int) -> None:
        """Send a good response, the same again some ms later, and requests in between."""
        if self.open_transports:
            transport, request = self.open_transports.pop(
                sorted(self.open_transports)[number % len(self.open_transports)]
            )
            self.records[request].out.discard(transport.number)
            transport.receive(good(f"r{request}"))
            self.loop.call_later(0.003, transport.receive, good(f"r{request}"))
            for more in range(3):
                self.ask(4 * more)

    def change(self, number: int) -> None:
        at = number % 4
        self.states[at] = (EndpointState.READY, EndpointState.DRAINING, EndpointState.GONE)[
            number // 4 % 3
        ]
        self.started[at] = self.join.clock() if number % 3 == 0 else 0.0
        self.list([at])

    def retune(self, number: int) -> None:
        changed = replace(self.settings, max_attempts=1 + number % 4)
        self.join.dispatch(SettingsChanged(changed, frozenset(range(len(CLASSES)))))

    def end(self, number: int) -> None:
        if not self.left and number % 3 == 0:
            self.left = True
            self.join.begin_shutdown(self.join.clock() + 200.0)
            self.loop.call_later(0.2, self.gone)

    def gone(self) -> None:
        """Check that nothing is in flight when the process would end."""
        assert not self.join.in_flight, "still in flight as the process ends"


STEPS: tuple[Callable[[World, int], None], ...] = (
    World.ask, World.ask, World.ask, World.ask, World.dial, World.dial_all, World.dial_all, World.answer,
    World.answer, World.answer, World.echo, World.leave_client, World.change, World.retune, World.end,
)  # fmt: skip


async def play(loop: VirtualLoop, steps: list[tuple[int, int]], may_cancel: bool) -> World:
    world = World(loop, may_cancel)
    for what, number in steps:
        if what >= len(STEPS):  # time passes
            await asyncio.sleep((0.001, 0.004, 0.012, 0.1, 0.3)[number % 5])
        else:
            STEPS[what](world, number)
            for _ in range(number // 10 % 4):
                await asyncio.sleep(0)
    await asyncio.sleep(2.0)  # longer than any request has
    assert all(len(record.ends) == 1 for record in world.records.values())
    assert not world.join.in_flight and not world.join.cancelled and not world.join.events
    assert not world.join.policy.lifecycle.requests
    for _ in range(200):  # attempts that may not be cancelled end by their timeout
        if not world.pool.attempts:
            break
        await asyncio.sleep(0.1)
    assert not world.pool.attempts and not world.join.open_attempts and not world.pool.connecting
    servers = world.join.policy.fleet.endpoints.by_id.values()
    assert world.join.policy.overload.concurrency.current == 0 and not any(
        s.open_attempts or s.uploads for s in servers
    )
    assert all(not server.open_attempts for server in world.pool.servers.values())
    return world


@settings(max_examples=max(settings().max_examples, 250))
@given(st.integers(0, 2**32), st.integers(30, 150), st.booleans())
def test_each_request_ends_once_and_nothing_is_written_after_it_in_any_order(
    drawn: int, count: int, may_cancel: bool
) -> None:
    chance = random.Random(drawn)
    steps = [(chance.randrange(len(STEPS) + 4), chance.randrange(10**6)) for _ in range(count)]
    with pytest.MonkeyPatch.context() as patch:
        loop = VirtualLoop()
        for module in (connection_pool, server_connection):
            patch.setattr(module, "now_ms", lambda: loop.now * 1000)
        faults: list[dict[str, Any]] = []
        loop.set_exception_handler(lambda _, context: faults.append(context))
        try:
            loop.run_until_complete(play(loop, steps, may_cancel))
        finally:
            for task in asyncio.all_tasks(loop):
                task.cancel()
            loop.close()
        assert not faults, faults
