"""Any order of what may befall requests, attempts and connections, on the real join, policy and
pool.

Exactly one final answer, nothing written behind it or to a server that leaves, never two attempts
of an unsafe request, and nothing left over at the end.
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
from badgercart.upstream import connection_pool as module
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


class Owed:
    """One request, the front that is owed its answer, and what its servers saw."""

    def __init__(self, world: World, number: int, cls: int) -> None:
        self.world, self.number, self.cls = world, number, cls
        self.ends: list[str] = []
        self.out: set[int] = set()  # attempts that are written, by the numbers of their ways
        self.maybe: set[int] = set()  # of these and earlier ones those that may have run

    def end(self, how: str) -> None:
        self.ends.append(how)
        assert len(self.ends) == 1, self.ends

    def client_is_gone(self) -> bool:
        return False

    def on_response(self, answer: UpstreamResponse) -> None:
        assert answer.body.decode() in (f"r{self.number}", ""), "the answer of another"
        self.end("answered")

    def on_shed(self, wait: float) -> None:
        if (
            CLASSES[self.cls].idempotency is Idempotency.NON_IDEMPOTENT
            or CLASSES[self.cls].deduplication_scope is DeduplicationScope.CELL
        ):
            assert not self.maybe, "refused though it may have run"
        self.end("refused")

    def on_failure(self, broken: bool) -> None:
        assert not broken
        self.end("failed")


class World:
    """A node's join and pool, and the servers that a script plays."""

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
        self.owed: dict[int, Owed] = {}
        self.ways: dict[int, tuple[ServerTransport, int]] = {}  # with a request on them, and which
        self.idle: list[ServerTransport] = []  # that have had an answer
        self.states = [EndpointState.READY] * 4
        self.started = [0.0] * 4
        self.left = False
        self.list([0, 1, 2, 3], UpdateKind.SNAPSHOT)

    def list(self, numbers: list[int], kind: UpdateKind = UpdateKind.DELTA) -> None:
        members = [
            DiscoveredEndpoint(
                Endpoint(n + 1, 0, 0, n % 2, self.states[n], 1.0, self.started[n]),
                ("s", n),
                f"s-{n}",
            )
            for n in numbers
        ]
        self.roster.apply(DiscoveryUpdate(kind, 1, members))

    def written(self, way: ServerTransport, data: bytes) -> None:
        """A server has got the last byte of a request."""
        match = re.search(rb"Request-Id: (\d+)\r\n", data)
        assert match is not None and data.endswith(b"\r\n\r\n")
        owed = self.owed[int(match[1])]
        assert not owed.ends, f"written after its end: {owed.ends}"
        assert self.states[way.port] is EndpointState.READY, "written to a server that leaves"
        if CLASSES[owed.cls].idempotency is Idempotency.NON_IDEMPOTENT:
            assert not owed.maybe, "an unsafe request, a second time"
        assert way.number not in self.ways
        owed.out.add(way.number)
        owed.maybe.add(way.number)
        self.ways[way.number] = way, owed.number

    # What may happen.

    def ask(self, number: int) -> None:
        cls, patience = number % len(CLASSES), (60.0, 250.0, 600.0)[number // 7 % 3]
        request = self.join.next_request_id()
        owed = self.owed[request] = Owed(self, request, cls)
        message = UpstreamRequest(b"GET /x HTTP/1.1\r\nRequest-Id: %d\r\n" % request, b"")
        due = self.join.clock() + patience
        self.join.accept(
            request, IncomingRequest(cls, 0, number % 5, due, message), owed, self.pool
        )

    def leave_client(self, number: int) -> None:
        if held := sorted(self.join.in_flight):
            request = held[number % len(held)]
            self.owed[request].end("left")
            self.join.cancel_request(request)

    def dial(self, number: int) -> None:
        if waiting := [dial for dial in self.loop.dials if not dial.up.done()]:
            dial: PendingConnection = waiting[number % len(waiting)]
            if number % 5 == 4:
                dial.fail()
            else:
                dial.open(self.written)

    def dial_all(self, number: int) -> None:
        for dial in [dial for dial in self.loop.dials if not dial.up.done()]:
            dial.open(self.written)

    def answer(self, number: int) -> None:
        if not self.ways:
            return
        way, request = self.ways.pop(sorted(self.ways)[number % len(self.ways)])
        owed = self.owed[request]
        owed.out.discard(way.number)
        what = number % 8
        if what == 3:
            owed.maybe.discard(way.number)
            way.come(FULL)
        elif what == 4:
            way.come(ERROR)
        elif what == 5:
            way.cut()
        elif what == 6:  # half of an answer, then nothing
            way.come(good(f"r{request}")[:30])
            way.loop.call_soon(way.cut)
        else:
            way.come(good(f"r{request}"))
            if what == 7:  # and once more, some ms later
                self.loop.call_later(0.003, way.come, good(f"r{request}"))

    def echo(self, number: int) -> None:
        """A good answer, once more some ms later, and requests in between."""
        if self.ways:
            way, request = self.ways.pop(sorted(self.ways)[number % len(self.ways)])
            self.owed[request].out.discard(way.number)
            way.come(good(f"r{request}"))
            self.loop.call_later(0.003, way.come, good(f"r{request}"))
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
        """The process would end now: what comes later is turned away at once."""
        assert not self.join.in_flight, "still owed as the process ends"


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
    assert all(len(owed.ends) == 1 for owed in world.owed.values())
    assert not world.join.in_flight and not world.join.cancelled and not world.join.events
    assert not world.join.policy.lifecycle.requests
    for _ in range(200):  # attempts that nobody may cancel end by their own time
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
def test_whatever_the_order_each_request_ends_once_and_nothing_is_written_behind_it(
    drawn: int, count: int, may_cancel: bool
) -> None:
    chance = random.Random(drawn)
    steps = [(chance.randrange(len(STEPS) + 4), chance.randrange(10**6)) for _ in range(count)]
    with pytest.MonkeyPatch.context() as patch:
        loop = VirtualLoop()
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
