"""Tests over 10,000 generated orders of events on streams.

Each call ends once, and no request is executed more often than its class allows. The simulation
knows whether each attempt was executed; what it reports to the processor is true but incomplete.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import Any

import pytest

from badgercart.core.endpoint_table import DiscoveredEndpoint, DiscoveryUpdate, EndpointTable
from badgercart.core.request_pipeline import RequestPipeline
from badgercart.frontends.processor import machine
from badgercart.frontends.processor.description import RequestDescription
from badgercart.frontends.processor.machine import (
    Call,
    Calls,
    ImmediateReply,
    PassReply,
    ProtocolError,
    RouteReply,
    Stream,
    StreamState,
)
from badgercart.frontends.processor.outcomes import ResponsePhase
from badgercart.frontends.processor.settings import OldAnswers, ProcessorSettings
from badgercart.policy.endpoint import Endpoint, EndpointState
from badgercart.policy.events import UpdateKind
from badgercart.policy.settings import DeduplicationScope, Idempotency, RequestClass, Settings
from tests.manual_clock import ManualClock

CLASSES = (
    RequestClass(400.0, 1000.0, 1.0, Idempotency.IDEMPOTENT),
    RequestClass(400.0, 1000.0, 8.0, Idempotency.KEYED, deduplication_window_ms=6000.0),
    RequestClass(
        400.0,
        1000.0,
        1.0,
        Idempotency.KEYED,
        DeduplicationScope.ZONE,
        deduplication_window_ms=300.0,
    ),
    RequestClass(400.0, 1000.0, 1.0, Idempotency.NON_IDEMPOTENT),
)
SERVERS = 5
UF, UC, UT, UO = 1 << 5, 1 << 6, 1 << 2, 1 << 7


class PassThroughReader:
    """Replaces the reader of endpoint lists: an update is used as it is."""

    def read(self, raw: Any, kind: UpdateKind | None = None) -> DiscoveryUpdate:
        """Return the update."""
        update: DiscoveryUpdate = raw["list"]
        return update


def discovered_endpoint(number: int, state: EndpointState) -> DiscoveredEndpoint:
    """Return an endpoint in a state; its number decides its zone."""
    entry = Endpoint(number, number % 2, 0, 0, state, 1.0, 0.0)
    return DiscoveredEndpoint(entry, ("10.0.0.1", number), f"s-{number}")


@dataclass
class Attempt:
    """An attempt that the proxy made, and whether the server executed it."""

    at_ms: float
    server: int
    executed: bool


@dataclass
class Client:
    """A request with its attempts."""

    name: bytes
    class_index: int
    attempts: list[Attempt] = field(default_factory=list)
    streams: int = 0


class Simulation:
    """A processor, its proxies and servers, on a simulated clock."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.clockwork = ManualClock()
        later_attempts = self.random.random() < 0.6
        settings = ProcessorSettings(
            listen=("", 0),
            fallbacks=self.random.randrange(3),
            later_attempts=later_attempts,
            later_wait_ms=80.0,
            max_finals=64,
            old_answers=OldAnswers(refuse_after=4, refuse_for_ms=200.0),
        )
        policy = Settings(
            classes=CLASSES,
            max_attempts=4,
            may_cancel=self.random.random() < 0.5,
            max_retry_after_ms=600.0,
        )
        self.pipeline = RequestPipeline(policy, seed, self.clockwork, self.clockwork.clock)
        self.endpoint_table = EndpointTable(PassThroughReader(), self.pipeline)
        self.states = dict.fromkeys(range(1, SERVERS + 1), EndpointState.READY)
        self.apply_entries(*self.states)
        self.calls = Calls(settings, self.pipeline, self.endpoint_table)
        self.clients = [Client(b"r%d" % i, self.random.randrange(len(CLASSES))) for i in range(3)]
        # Each with what the proxy will report of its attempt.
        self.streams: list[tuple[Stream, Client, tuple[ResponsePhase, str | None]]] = []
        self.routed: set[Stream] = set()
        self.trace: list[str] = []
        self.ends: dict[int, list[str]] = {}  # by request id: the outcomes of its call

    def note(self, text: str) -> None:
        """Add a line to the trace, which is printed if the test fails."""
        self.trace.append(f"{self.clockwork.now - 50_000:7.0f} {text}")

    def apply_entries(self, *numbers: int) -> None:
        """Apply the entries of these endpoints."""
        endpoints = [discovered_endpoint(number, self.states[number]) for number in numbers]
        self.endpoint_table.accept({"list": DiscoveryUpdate(UpdateKind.DELTA, 1, endpoints)})

    # Events.

    def step(self) -> None:
        """Generate one event."""
        event = self.random.choices(
            (
                self.send_request,
                self.respond,
                self.close,
                self.wait,
                self.change_state,
                self.send_unexpected,
            ),
            (6, 6, 3, 4, 1, 1),
        )[0]
        event()

    def send_request(self) -> None:
        """Open a stream with request headers."""
        client = self.random.choice(self.clients)
        client.streams += 1
        replies: list[Any] = []
        stream = Stream(self.random.choice(("p", "q")), replies.append)
        number = self.random.choice((1, 1, client.streams, client.streams + 1))
        described = RequestDescription(
            client.name,
            client.class_index,
            0,
            7,
            self.random.choice((5.0, 300.0, 900.0)),
            number,
            0.0,
            False,
        )
        self.note(f"ask {client.name!r} class {client.class_index} attempt {number}")
        if number == 1 and client.name not in self.calls.open:
            client.attempts.clear()  # a new request with an id that was used before
        before = len(client.attempts)
        self.calls.request_headers_received(stream, described, self.clockwork.now)
        self.note(f"    {replies}")
        # The policy holds back no request here, so there is one reply immediately.
        assert len(replies) == 1
        self.check_reply(client, replies[0], before)
        if isinstance(replies[0], RouteReply):
            self.streams.append((stream, client, self.execute(client, replies[0].endpoints)))
            self.routed.add(stream)
        elif self.random.random() < 0.5:
            self.streams.append((stream, client, (ResponsePhase(503), None)))
        else:
            self.calls.stream_closed(stream, self.clockwork.now)

    def check_reply(self, client: Client, reply: Any, earlier: int) -> None:
        """Check a reply to request headers against the client's earlier attempts."""
        request_class, now_ms = CLASSES[client.class_index], self.clockwork.now
        executed = [attempt for attempt in client.attempts[:earlier] if attempt.executed]
        if isinstance(reply, RouteReply):
            servers = [int(endpoint.partition(":")[2]) for endpoint in reply.endpoints]
            assert len(set(servers)) == len(servers)
            assert all(
                self.states[server] is EndpointState.READY for server in servers
            ), "sent to a drained server"
            assert reply.max_age_ms <= 500.0
            if request_class.idempotency is Idempotency.NON_IDEMPOTENT:
                assert not executed and len(servers) == 1, "an unsafe request may be executed twice"
            if request_class.idempotency is Idempotency.KEYED:
                spread = {attempt.server for attempt in executed} | (
                    set(servers) if len(servers) > 1 else set()
                )
                if executed:
                    spread |= set(servers)
                assert (
                    request_class.deduplication_scope is DeduplicationScope.ALL
                    or len({s % 2 for s in spread}) <= 1
                ), "a retry outside of the deduplication scope"
                # The proxy may send it at any time until its timeout, as its connection comes up.
                latest_ms = now_ms + reply.timeout_ms
                assert all(
                    latest_ms - attempt.at_ms < request_class.deduplication_window_ms
                    for attempt in executed
                ), "a retry after the deduplication window"
        elif isinstance(reply, ImmediateReply) and reply.status in (429, 503):
            self.check_shed(client, executed)

    def check_shed(self, client: Client, executed: list[Attempt]) -> None:
        """Check that a status that allows a retry does no harm."""
        request_class = CLASSES[client.class_index]
        always = request_class.idempotency is Idempotency.IDEMPOTENT or (
            request_class.idempotency is Idempotency.KEYED
            and request_class.deduplication_scope is DeduplicationScope.ALL
        )
        assert always or not executed, "shed though it was executed"

    def respond(self) -> None:
        """Send response headers on a stream."""
        if not self.streams:
            return
        stream, client, (phase, served) = self.random.choice(self.streams)
        if stream.state is StreamState.ENDED:
            return
        was_routed = stream in self.routed
        replies: list[Any] = []
        stream.reply = replies.append
        status = phase.status
        self.note(f"response of {client.name!r}: {phase} served {served}")
        self.calls.response_headers_received(stream, phase, served, self.clockwork.now)
        self.note(f"    {replies}")
        assert len(replies) == 1
        reply = replies[0]
        executed = [attempt for attempt in client.attempts if attempt.executed]
        if isinstance(reply, ImmediateReply) and reply.status == 503:
            assert status != 200, "a successful response was replaced"
            self.check_shed(client, executed)
        if isinstance(reply, PassReply) and (reply.status or status) in (429, 503) and was_routed:
            self.check_shed(client, executed)

    def execute(
        self, client: Client, endpoints: tuple[str, ...]
    ) -> tuple[ResponsePhase, str | None]:
        """Make the attempt, and return what the proxy will report of it."""
        now_ms, chance = self.clockwork.now, self.random
        servers = [int(endpoint.partition(":")[2]) for endpoint in endpoints]
        first = servers[0]
        if len(servers) > 1 and chance.random() < 0.4:
            at = chance.randrange(1, len(servers))
            for server in servers[:at]:
                client.attempts.append(Attempt(now_ms, server, chance.random() < 0.5))
            client.attempts.append(Attempt(now_ms, servers[at], True))
            status = chance.choice((200, 500, 503))
            return ResponsePhase(
                status, attempts=at + 1, details="via_upstream"
            ), f"10.0.0.1:{servers[at]}"
        if chance.random() < 0.1:
            # The proxy uses an old answer, which names another server. That is generated only for
            # requests that may be executed anywhere.
            others = [number for number in self.states if number not in servers]
            if CLASSES[client.class_index].idempotency is Idempotency.IDEMPOTENT:
                other = chance.choice(others)
                client.attempts.append(Attempt(now_ms, other, True))
                return ResponsePhase(chance.choice((200, 503))), f"10.0.0.1:{other}"
        was_executed, phase = chance.choice(
            (
                (False, ResponsePhase(503, flags=UF)),
                (False, ResponsePhase(503, flags=UO)),
                (False, ResponsePhase(503, not_started=True)),
                (True, ResponsePhase(200)),
                (True, ResponsePhase(500)),
                (True, ResponsePhase(503)),
                (True, ResponsePhase(429)),
                (True, ResponsePhase(404)),
                (True, ResponsePhase(503, flags=UC)),
                (True, ResponsePhase(503, flags=1 << 45)),
                (True, ResponsePhase(504, flags=UT)),
                (True, ResponsePhase(503, flags=UF, attempts=2)),
            )
        )
        client.attempts.append(Attempt(now_ms, first, was_executed))
        return phase, f"10.0.0.1:{first}" if chance.random() < 0.7 else None

    def close(self) -> None:
        """End a stream."""
        if not self.streams:
            return
        stream, client, _ = self.streams.pop(self.random.randrange(len(self.streams)))
        self.note(f"close {client.name!r}")
        self.calls.stream_closed(stream, self.clockwork.now)

    def wait(self) -> None:
        """Advance the clock."""
        wait_ms = self.random.choice(
            (0.0, 1.0, 30.0, 79.9, 80.0, 100.0, 350.0, 400.0, 450.0, 900.0)
        )
        self.note(f"wait {wait_ms}")
        self.clockwork.advance(wait_ms)

    def change_state(self) -> None:
        """Change the state of an endpoint."""
        number = self.random.randrange(1, SERVERS + 1)
        self.states[number] = self.random.choice(
            (EndpointState.READY, EndpointState.DRAINING, EndpointState.GONE)
        )
        self.note(f"list {number} {self.states[number].name}")
        self.apply_entries(number)

    def send_unexpected(self) -> None:
        """Send a message that is not allowed in the stream's state."""
        candidates = [item for item in self.streams if item[0].state is not StreamState.NEW]
        if not candidates:
            return
        stream, client, _ = self.random.choice(candidates)
        described = RequestDescription(client.name, client.class_index, 0, 0, 100.0, 1, 0.0, False)
        with pytest.raises(ProtocolError):
            self.calls.request_headers_received(stream, described, self.clockwork.now)

    def finish(self) -> None:
        """End all streams, wait, and check that nothing is left in any table."""
        while self.streams:
            self.close()
        self.clockwork.advance(5000.0)
        assert (
            not self.calls.open and not self.pipeline.in_flight and not self.pipeline.open_attempts
        )
        assert (
            not self.pipeline.policy.lifecycle.requests
            and self.pipeline.policy.overload.concurrency.current == 0
        )
        assert not any(
            server.open_attempts for server in self.pipeline.policy.fleet.endpoints.by_id.values()
        )
        assert all(proxy.unseen == 0 for proxy in self.calls.old_answers.proxies.values())
        assert self.clockwork.set == 0, "a timer is left"


def simulate(seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """Run one simulation."""
    simulation = Simulation(seed)
    for name in ("on_response", "on_shed", "on_failure"):
        method = getattr(Call, name)

        def counted(self: Call, value: Any, method: Any = method, name: str = name) -> None:
            simulation.ends.setdefault(self.request_id, []).append(name)
            method(self, value)

        monkeypatch.setattr(Call, name, counted)
    cancel_request = simulation.pipeline.cancel_request

    def counted_cancel(request_id: int) -> None:
        simulation.ends.setdefault(request_id, []).append("cancelled")
        cancel_request(request_id)

    simulation.pipeline.cancel_request = counted_cancel  # type: ignore[method-assign]
    try:
        for _ in range(simulation.random.randrange(2, 30)):
            simulation.step()
        simulation.finish()
        assert sorted(simulation.ends) == list(
            range(1, simulation.pipeline.last_request_id + 1)
        ), "a call that never ended"
        assert all(len(ends) == 1 for ends in simulation.ends.values()), "a call that ended twice"
    except BaseException:
        print(f"seed {seed}\n" + "\n".join(simulation.trace))
        raise


@pytest.mark.parametrize("start", range(0, 12_000, 1000))
def test_each_call_ends_once_and_is_executed_only_as_often_as_its_class_allows(start: int) -> None:
    for seed in range(start, start + 1000):
        with pytest.MonkeyPatch.context() as monkeypatch:
            simulate(seed, monkeypatch)


def test_the_timeout_and_the_response_at_the_same_time() -> None:
    """The first of them ends the attempt. A response after the timeout is still passed on."""
    for response_first in (True, False):
        simulation = Simulation(2)
        replies: list[Any] = []
        stream = Stream("p", replies.append)
        simulation.calls.request_headers_received(
            stream,
            RequestDescription(b"r", 3, 0, 0, 300.0, 1, 0.0, False),
            simulation.clockwork.now,
        )
        assert isinstance(replies[0], RouteReply)
        limit = replies[0].timeout_ms + simulation.calls.settings.late_ms
        if response_first:
            simulation.clockwork.advance(limit - 0.001)
            simulation.calls.response_headers_received(
                stream, ResponsePhase(200), None, simulation.clockwork.now
            )
            simulation.clockwork.advance(1.0)
        else:
            simulation.clockwork.advance(limit)
            simulation.calls.response_headers_received(
                stream, ResponsePhase(200), None, simulation.clockwork.now
            )
        assert replies[1:] == [PassReply()]
        simulation.calls.stream_closed(stream, simulation.clockwork.now)
        assert (
            not simulation.pipeline.open_attempts
            and not simulation.pipeline.in_flight
            and machine.RESPONSE_MARGIN_MS > 0
        )
