"""Over 10,000 generated orders of events on streams: each call ends once, and nothing runs beyond
its class.

The world knows the truth of each attempt, whether it ran; what it tells the processor is true but
not whole.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import Any

import pytest

from badgercart.core.endpoint_table import DiscoveredEndpoint, DiscoveryUpdate, EndpointTable
from badgercart.core.request_pipeline import RequestPipeline
from badgercart.frontends.processor import machine
from badgercart.frontends.processor.description import Described
from badgercart.frontends.processor.machine import (
    At,
    Call,
    Calls,
    Illegal,
    Immediate,
    Pass,
    Route,
    Stream,
)
from badgercart.frontends.processor.outcomes import Phase
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


class Lists:
    """Stands in for a reader: lists come as they are."""

    def read(self, raw: Any, kind: UpdateKind | None = None) -> DiscoveryUpdate:
        listed: DiscoveryUpdate = raw["list"]
        return listed


def member(number: int, state: EndpointState) -> DiscoveredEndpoint:
    entry = Endpoint(number, number % 2, 0, 0, state, 1.0, 0.0)
    return DiscoveredEndpoint(entry, ("10.0.0.1", number), f"s-{number}")


@dataclass
class Attempt:
    """One that the proxy carried out: when, where, and whether it ran there."""

    at: float
    server: int
    ran: bool


@dataclass
class Client:
    """One request with all that happened for it."""

    name: bytes
    cls: int
    attempts: list[Attempt] = field(default_factory=list)
    asked: int = 0


class World:
    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.clockwork = ManualClock()
        later = self.random.random() < 0.6
        settings = ProcessorSettings(
            listen=("", 0),
            fallbacks=self.random.randrange(3),
            later_attempts=later,
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
        self.join = RequestPipeline(policy, seed, self.clockwork, self.clockwork.clock)
        self.roster = EndpointTable(Lists(), self.join)
        self.states = dict.fromkeys(range(1, SERVERS + 1), EndpointState.READY)
        self.list(*self.states)
        self.calls = Calls(settings, self.join, self.roster)
        self.clients = [Client(b"r%d" % i, self.random.randrange(len(CLASSES))) for i in range(3)]
        # With what the proxy will tell of the attempt.
        self.streams: list[tuple[Stream, Client, tuple[Phase, str | None]]] = []
        self.routed: set[Stream] = set()  # that were told where to go
        self.trace: list[str] = []
        self.ends: dict[int, list[str]] = {}  # by the join's number: what its call was told

    def note(self, text: str) -> None:
        self.trace.append(f"{self.clockwork.now - 50_000:7.0f} {text}")

    def list(self, *numbers: int) -> None:
        members = [member(number, self.states[number]) for number in numbers]
        self.roster.accept({"list": DiscoveryUpdate(UpdateKind.DELTA, 1, members)})

    # What may happen next.

    def step(self) -> None:
        kind = self.random.choices(
            (self.ask, self.respond, self.close, self.wait, self.change, self.wrong),
            (6, 6, 3, 4, 1, 1),
        )[0]
        kind()

    def ask(self) -> None:
        client = self.random.choice(self.clients)
        client.asked += 1
        replies: list[Any] = []
        stream = Stream(self.random.choice(("p", "q")), replies.append)
        number = self.random.choice((1, 1, client.asked, client.asked + 1))
        described = Described(
            client.name,
            client.cls,
            0,
            7,
            self.random.choice((5.0, 300.0, 900.0)),
            number,
            0.0,
            False,
        )
        self.note(f"ask {client.name!r} class {client.cls} attempt {number}")
        if number == 1 and client.name not in self.calls.open:
            client.attempts.clear()  # a new request under an old id
        before = len(client.attempts)
        self.calls.request(stream, described, self.clockwork.now)
        self.note(f"    {replies}")
        # Nothing here holds requests back for their turn, so the answer is there at once, and one.
        assert len(replies) == 1
        self.check_reply(client, replies[0], before)
        if isinstance(replies[0], Route):
            self.streams.append((stream, client, self.carry_out(client, replies[0].endpoints)))
            self.routed.add(stream)
        elif self.random.random() < 0.5:
            self.streams.append((stream, client, (Phase(503), None)))
        else:
            self.calls.closed(stream, self.clockwork.now)

    def check_reply(self, client: Client, reply: Any, known: int) -> None:
        cls, now = CLASSES[client.cls], self.clockwork.now
        ran = [attempt for attempt in client.attempts[:known] if attempt.ran]
        if isinstance(reply, Route):
            servers = [int(endpoint.partition(":")[2]) for endpoint in reply.endpoints]
            assert len(set(servers)) == len(servers)
            assert all(
                self.states[server] is EndpointState.READY for server in servers
            ), "sent to a drained server"
            assert reply.age <= 500.0
            if cls.idempotency is Idempotency.NON_IDEMPOTENT:
                assert not ran and len(servers) == 1, "an unsafe request may run twice"
            if cls.idempotency is Idempotency.KEYED:
                spread = {attempt.server for attempt in ran} | (
                    set(servers) if len(servers) > 1 else set()
                )
                if ran:
                    spread |= set(servers)
                assert (
                    cls.deduplication_scope is DeduplicationScope.ALL
                    or len({s % 2 for s in spread}) <= 1
                ), "left its group"
                assert all(
                    now - attempt.at < cls.deduplication_window_ms for attempt in ran
                ), "left its window"
        elif isinstance(reply, Immediate) and reply.status in (429, 503):
            self.check_refusal(client, ran)

    def check_refusal(self, client: Client, ran: list[Attempt]) -> None:
        cls = CLASSES[client.cls]
        always = cls.idempotency is Idempotency.IDEMPOTENT or (
            cls.idempotency is Idempotency.KEYED
            and cls.deduplication_scope is DeduplicationScope.ALL
        )
        assert always or not ran, "refused though it may have run"

    def respond(self) -> None:
        if not self.streams:
            return
        stream, client, (phase, served) = self.random.choice(self.streams)
        if stream.at is At.ENDED:
            return
        told_where = stream in self.routed
        replies: list[Any] = []
        stream.reply = replies.append
        status = phase.status
        self.note(f"response of {client.name!r}: {phase} served {served}")
        self.calls.response(stream, phase, served, self.clockwork.now)
        self.note(f"    {replies}")
        assert len(replies) == 1
        reply = replies[0]
        ran = [attempt for attempt in client.attempts if attempt.ran]
        if isinstance(reply, Immediate) and reply.status == 503:
            assert status != 200, "an answer was thrown away"
            self.check_refusal(client, ran)
        if isinstance(reply, Pass) and (reply.status or status) in (429, 503) and told_where:
            self.check_refusal(client, ran)

    def carry_out(self, client: Client, endpoints: tuple[str, ...]) -> tuple[Phase, str | None]:
        """What comes of the attempt, and what the proxy will say of it, if it says anything."""
        now, chance = self.clockwork.now, self.random
        servers = [int(endpoint.partition(":")[2]) for endpoint in endpoints]
        first = servers[0]
        if len(servers) > 1 and chance.random() < 0.4:
            at = chance.randrange(1, len(servers))
            for server in servers[:at]:
                client.attempts.append(Attempt(now, server, chance.random() < 0.5))
            client.attempts.append(Attempt(now, servers[at], True))
            status = chance.choice((200, 500, 503))
            return Phase(status, attempts=at + 1, details="via_upstream"), f"10.0.0.1:{servers[at]}"
        if chance.random() < 0.1:
            # An old answer: to a server that this one did not name. Only what may be repeated
            # anywhere.
            others = [number for number in self.states if number not in servers]
            if CLASSES[client.cls].idempotency is Idempotency.IDEMPOTENT:
                other = chance.choice(others)
                client.attempts.append(Attempt(now, other, True))
                return Phase(chance.choice((200, 503))), f"10.0.0.1:{other}"
        ran, phase = chance.choice(
            (
                (False, Phase(503, flags=UF)),
                (False, Phase(503, flags=UO)),
                (False, Phase(503, not_started=True)),
                (True, Phase(200)),
                (True, Phase(500)),
                (True, Phase(503)),
                (True, Phase(429)),
                (True, Phase(404)),
                (True, Phase(503, flags=UC)),
                (True, Phase(503, flags=1 << 45)),
                (True, Phase(504, flags=UT)),
                (True, Phase(503, flags=UF, attempts=2)),
            )
        )
        client.attempts.append(Attempt(now, first, ran))
        return phase, f"10.0.0.1:{first}" if chance.random() < 0.7 else None

    def close(self) -> None:
        if not self.streams:
            return
        stream, client, _ = self.streams.pop(self.random.randrange(len(self.streams)))
        self.note(f"close {client.name!r}")
        self.calls.closed(stream, self.clockwork.now)

    def wait(self) -> None:
        ms = self.random.choice((0.0, 1.0, 30.0, 79.9, 80.0, 100.0, 350.0, 400.0, 450.0, 900.0))
        self.note(f"wait {ms}")
        self.clockwork.advance(ms)

    def change(self) -> None:
        number = self.random.randrange(1, SERVERS + 1)
        self.states[number] = self.random.choice(
            (EndpointState.READY, EndpointState.DRAINING, EndpointState.GONE)
        )
        self.note(f"list {number} {self.states[number].name}")
        self.list(number)

    def wrong(self) -> None:
        """A message that is not allowed where the stream stands ends it."""
        told = [item for item in self.streams if item[0].at is not At.FRESH]
        if not told:
            return
        stream, client, _ = self.random.choice(told)
        described = Described(client.name, client.cls, 0, 0, 100.0, 1, 0.0, False)
        with pytest.raises(Illegal):
            self.calls.request(stream, described, self.clockwork.now)

    def finish(self) -> None:
        """All streams end, time passes: nothing stays behind in any table."""
        while self.streams:
            self.close()
        self.clockwork.advance(5000.0)
        assert not self.calls.open and not self.join.in_flight and not self.join.open_attempts
        assert (
            not self.join.policy.lifecycle.requests
            and self.join.policy.overload.concurrency.current == 0
        )
        assert not any(
            server.open_attempts for server in self.join.policy.fleet.endpoints.by_id.values()
        )
        assert all(proxy.unseen == 0 for proxy in self.calls.account.proxies.values())
        assert self.clockwork.set == 0, "a timer was left"


def follow(seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
    world = World(seed)
    for name in ("on_response", "on_shed", "on_failure"):
        told = getattr(Call, name)

        def counted(self: Call, value: Any, told: Any = told, name: str = name) -> None:
            world.ends.setdefault(self.number, []).append(name)
            told(self, value)

        monkeypatch.setattr(Call, name, counted)
    withdraw = world.join.cancel_request

    def withdrawn(number: int) -> None:
        world.ends.setdefault(number, []).append("withdrawn")
        withdraw(number)

    world.join.cancel_request = withdrawn  # type: ignore[method-assign]
    try:
        for _ in range(world.random.randrange(2, 30)):
            world.step()
        world.finish()
        assert sorted(world.ends) == list(
            range(1, world.join.last_request_id + 1)
        ), "a call that never ended"
        assert all(len(ends) == 1 for ends in world.ends.values()), "a call that ended twice"
    except BaseException:
        print(f"seed {seed}\n" + "\n".join(world.trace))
        raise


@pytest.mark.parametrize("start", range(0, 12_000, 1000))
def test_each_call_ends_once_and_nothing_runs_beyond_its_class(start: int) -> None:
    for seed in range(start, start + 1000):
        with pytest.MonkeyPatch.context() as monkeypatch:
            follow(seed, monkeypatch)


def test_the_deadline_and_the_response_at_the_same_instant() -> None:
    """Whichever comes first is the end; the other one is let through or changes nothing."""
    for response_first in (True, False):
        world = World(2)
        replies: list[Any] = []
        stream = Stream("p", replies.append)
        world.calls.request(
            stream, Described(b"r", 3, 0, 0, 300.0, 1, 0.0, False), world.clockwork.now
        )
        assert isinstance(replies[0], Route)
        limit = replies[0].limit + world.calls.settings.late_ms
        if response_first:
            world.clockwork.advance(limit - 0.001)
            world.calls.response(stream, Phase(200), None, world.clockwork.now)
            world.clockwork.advance(1.0)
        else:
            world.clockwork.advance(limit)
            world.calls.response(stream, Phase(200), None, world.clockwork.now)
        assert replies[1:] == [Pass()]
        world.calls.closed(stream, world.clockwork.now)
        assert (
            not world.join.open_attempts
            and not world.join.in_flight
            and machine.RESPONSE_MARGIN_MS > 0
        )
