"""What the golden files of the captures hold, as literals, and how they are made.

Everything is fixed: numbers, times and seeds. Fields are given by position, since their names may
change.
"""

from __future__ import annotations

import random
import struct
import zlib
from dataclasses import fields
from typing import Any

import msgspec

from badgercart.capture.build import SegmentBuilder
from badgercart.capture.codec import (
    dump_policy,
    encode_batch,
    encode_settings,
    plain_actions,
    plain_event,
)
from badgercart.capture.format import (
    FORMAT_VERSION,
    RecordKind,
    SegmentIndex,
    encode_header,
    encode_record,
    encode_trailer,
)
from badgercart.capture.streams import record_calls, state_note
from badgercart.discovery.freshness import Freshness, FreshnessLimits
from badgercart.frontends.processor.account import OldAnswerTracker
from badgercart.frontends.processor.settings import OldAnswers
from badgercart.policy.actions import (
    Action,
    CancelAttempt,
    Fail,
    HealthCheck,
    Log,
    Send,
    SetTimer,
    Shed,
    Subscribe,
)
from badgercart.policy.endpoint import Endpoint, EndpointState
from badgercart.policy.events import (
    AttemptEnded,
    AttemptRerouted,
    AttemptResult,
    ClusterView,
    DeadlineExceeded,
    EndpointUpdate,
    Event,
    HealthCheckResult,
    PeerMessage,
    Request,
    RequestCancelled,
    RequestCompleted,
    ResponseStarted,
    RetryDecisionDue,
    SettingsChanged,
    TimerFired,
    TrafficPlan,
    UpdateKind,
)
from badgercart.policy.policy import Policy
from badgercart.policy.settings import DeduplicationScope, Idempotency, RequestClass, Settings

CLASSES = (
    RequestClass(580.0, 1400.0, 2.0, Idempotency.IDEMPOTENT),
    RequestClass(
        750.0, 1900.0, 8.0, Idempotency.KEYED, DeduplicationScope.CELL, 6000.0, 0.25, True
    ),
    RequestClass(
        300.0, 900.0, 4.0, Idempotency.NON_IDEMPOTENT, DeduplicationScope.ZONE, 0.0, 0.5, False
    ),
)
SETTINGS = Settings(
    CLASSES, 1, 3, 2, (40.0, 20.0), 0.05, True, True, 8000.0, 2.0, True, 4, 600.0, True, 250.0, 0.32, 8800.0,
    1.5, 900.0,
)  # fmt: skip
ENTRIES = [
    Endpoint(11, 0, 0, 2, EndpointState.READY, 2.0, 0.0),
    Endpoint(2**63 - 1, 1, 1, 3, EndpointState.DRAINING, 0.5, 777.25),
    Endpoint(13, -1, 0, 0, EndpointState.GONE, 1.0, 5.0),
]
EVENTS: list[Event] = [
    EndpointUpdate(UpdateKind.SNAPSHOT, 7, ENTRIES),
    EndpointUpdate(UpdateKind.DELTA, 8, ENTRIES[:1]),
    EndpointUpdate(UpdateKind.CACHED, 9, []),
    EndpointUpdate(UpdateKind.FAILED, 10, []),
    Request(1, 0, 1400.5),
    Request(2, 1, 1900.0, 2**64 - 1, 1, 0.75, True, 3, True, frozenset({11, 13, 5}), False),
    RequestCompleted(2, 2000.0),
    ResponseStarted(1, 0, 11, 12.5),
    *(AttemptEnded(1, 11, result % 2 == 0, result, result, 3.5) for result in AttemptResult),
    AttemptEnded(2, 11, False, AttemptResult.TIMEOUT, 1, 9.0, (0.5, 2.0), True, True),
    AttemptRerouted(2, 0, 11, AttemptResult.RESET, 4.25, 13),
    RetryDecisionDue(2, True),
    HealthCheckResult(11, AttemptResult.OK, 1.5, (0.25,)),
    TimerFired(1 << 60),
    PeerMessage(3, b"\x00\xffpost"),
    RequestCancelled(2),
    DeadlineExceeded(2),
    SettingsChanged(SETTINGS, frozenset({0, 2}), frozenset({1}), frozenset({0, 1})),
    ClusterView(4, 1, 5, (0.25, 0.5), ((11, 0.75), (13, 0.125))),
    TrafficPlan(
        ((0.5, 0.25), (0.0, 1.0)), (0.125, 0.0), frozenset({1}), frozenset({0, 1}), (0.5, 0.0)
    ),
]
ACTIONS: list[list[Action] | None] = [
    [
        Send(1, 11, 580.0),
        Send(2, 13, 750.0, (11, 2**63 - 1)),
        Shed(3, 0.0),
        Shed(4, 599.5),
        Fail(5),
    ],
    [
        CancelAttempt(2, 1),
        SetTimer(12.25, 1 << 60),
        HealthCheck(11),
        Subscribe(),
        Log("shedding on: x 0.50, errors 0.2"),
    ],
    [],
    None,
]


def values(item: Any) -> tuple[Any, ...]:
    """A dataclass's values in the order of its fields, without their names."""
    return tuple(getattr(item, field.name) for field in fields(item))


def decisions(number: int) -> list[Action] | None:
    return ACTIONS[number % len(ACTIONS)]


def notes() -> list[bytes]:
    """Both machines, every one of their captured methods."""
    found: list[bytes] = []
    freshness = Freshness(FreshnessLimits(2500.0, 7500.0))
    found.append(state_note("list", freshness))
    undo = record_calls("list", freshness, found.append)
    freshness.state(10.0)
    freshness.next_change(10.0)
    freshness.proof(1000.0)
    for now in (1000.0, 4000.0, 9000.0):
        freshness.state(now)
        freshness.next_change(now)
    freshness.rule = FreshnessLimits(100.0, 200.0)
    freshness.state(9000.0)
    undo()
    account = OldAnswerTracker(OldAnswers(no_fallbacks_after=2, refuse_after=3))
    account.record_old_use(account.find_or_add("edge-1"), True, 5.0)
    found.append(state_note("account", account))
    undo = record_calls("account", account, found.append)
    proxy = account.find_or_add("edge-1")
    for now in (6.0, 7.0, 8.0):
        account.record_old_use(proxy, False, now)
        account.standing(proxy, now + 0.5)
    account.standing(account.find_or_add("edge-2"), 9.0)
    undo()
    found += [state_note("account", account), state_note("list", freshness)]
    return found


def header(**changed: Any) -> dict[str, Any]:
    return {
        "node": "n-1", "seed": 7, "settings": encode_settings(SETTINGS), "module": {"rules.py": "00ff"},
        "format": FORMAT_VERSION, "segment": 3, "events_before": 5, "wall_ms": 1.75e12, "state": b"",
        "adopted": True,
    } | changed  # fmt: skip


def format_2() -> bytes:
    """Every event, action and note, in a segment as a node writes it."""
    batch = [
        (*plain_event(100.0 + at, event), plain_actions(decisions(at)))
        for at, event in enumerate(EVENTS)
    ]
    parts = [encode_header(header())]
    parts += [encode_record(RecordKind.NOTE, note) for note in notes()]
    at = sum(map(len, parts))
    parts += [
        encode_record(RecordKind.BATCH, encode_batch(batch)),
        encode_record(RecordKind.GAP, (321).to_bytes(8)),
    ]
    index = SegmentIndex(len(EVENTS), 321, 100.0, 99.0 + len(EVENTS), 1, 2, [(0, 100.0, at)])
    return b"".join((*parts, encode_trailer(index, sum(map(len, parts)))))


def format_1() -> bytes:
    """Every event as format 1 had it; nothing writes that any more."""
    fixed = msgspec.msgpack.encode(header(format=1))
    parts = [struct.pack(">4sHII", b"BCAP", 1, len(fixed), zlib.crc32(fixed)) + fixed]
    running = 0
    for at, event in enumerate(EVENTS):
        running = zlib.crc32(msgspec.msgpack.encode(plain_actions(decisions(at))), running)
        parts.append(
            encode_record(
                RecordKind.EVENT,
                running.to_bytes(4) + msgspec.msgpack.encode(plain_event(100.0 + at, event)),
            )
        )
    parts.append(encode_record(RecordKind.GAP, (321).to_bytes(8)))
    return b"".join((*parts, encode_record(RecordKind.END, b"")))


class Night:
    """A small fleet by one seed, driven with events of every kind that a node's policy may be
    told."""

    def __init__(self) -> None:
        self.random = random.Random(20260703)
        self.policy = Policy(SETTINGS, 99)
        self.now = 10_000.0
        self.number = 0
        self.out: list[tuple[int, int, int, float]] = []  # request, attempt, server, when sent
        self.tries: dict[int, int] = {}
        self.timers: list[int] = []
        self.parked: list[int] = []
        self.unready: list[int] = []  # requests whose bodies are still coming

    def entries(
        self, numbers: range, state: EndpointState = EndpointState.READY, began: float = 4000.0
    ) -> list[Endpoint]:
        return [
            Endpoint(
                n * 0x9E3779B97F4A7C15 % 2**63,
                n % 3,
                n % 2,
                n % 4,
                state,
                1.0 + n % 3,
                n % 2 * began,
            )
            for n in numbers
        ]

    def beginning(self) -> list[Event]:
        company = ClusterView(3, 1, 4, (0.5, 0.25), ((self.entries(range(5, 6))[0].id, 0.8),))
        return [EndpointUpdate(UpdateKind.SNAPSHOT, 1, self.entries(range(1, 13))), company]

    def next(self) -> Event:
        """The next event; the draws depend on what the policy decided."""
        dice = self.random
        self.now += dice.expovariate(1 / 7.0)
        if self.number in (60, 160):
            shares = ((0.5, 0.25, 0.2), (0.3, 0.3, 0.4), (0.1, 0.8, 0.1)) * 2
            self.number += 1
            return TrafficPlan(
                shares, (0.01, 0.02, 0.0), frozenset({2}), frozenset({1}), (0.25, 0.0, 0.0)
            )
        if self.number == 90:
            self.number += 1
            return EndpointUpdate(
                UpdateKind.DELTA, 2, self.entries(range(3, 5), EndpointState.DRAINING)
            )
        if self.number in (130, 190):
            self.number += 1
            return EndpointUpdate(
                UpdateKind.DELTA,
                3,
                self.entries(range(self.number, self.number + 3), began=self.now - 900.0),
            )
        if self.timers and dice.random() < 0.2:
            return TimerFired(self.timers.pop(0))
        if self.parked and dice.random() < 0.3:
            return RetryDecisionDue(self.parked.pop(0), dice.random() < 0.7)
        if self.unready and dice.random() < 0.3:
            request = self.unready.pop(0)
            return RequestCompleted(request, self.now + 1200.0)
        if len(self.out) > dice.randrange(12):
            return self.end()
        self.number += 1
        cls, key = dice.randrange(3), dice.choice((0, 7, 7, 9, dice.getrandbits(40)))
        whole = dice.random() < 0.85
        if not whole:
            self.unready.append(self.number)
        due = self.now + 1200.0 if whole else float("inf")
        return Request(
            self.number,
            cls,
            due,
            key,
            dice.randrange(2),
            0.0,
            False,
            dice.randrange(3),
            False,
            None,
            whole,
        )

    def end(self) -> Event:
        dice = self.random
        request, attempt, server, since = self.out.pop(dice.randrange(len(self.out)))
        kind, elapsed = dice.random(), self.now - since
        if kind < 0.06:  # its outcome is still to come
            self.out.append((request, attempt, server, since))
        if kind < 0.03:
            return RequestCancelled(request)
        if kind < 0.06:
            return ResponseStarted(request, attempt, server, elapsed)
        result = (
            AttemptResult.OK
            if kind < 0.8
            else dice.choice((AttemptResult.ERROR, AttemptResult.TIMEOUT, AttemptResult.RESET))
        )
        parked = kind > 0.95
        if parked:
            self.parked.append(request)
        return AttemptEnded(
            request, server, result is AttemptResult.OK, result, attempt, elapsed, (), parked
        )

    def decide(self, event: Event) -> list[Action]:
        actions = self.policy.handle(self.now, event)
        for action in actions:
            if isinstance(action, Send):
                request, server = values(action)[:2]
                attempt = self.tries[request] = self.tries.get(request, -1) + 1
                self.out.append((request, attempt, server, self.now))
            elif isinstance(action, SetTimer):
                self.timers.append(values(action)[1])
        return actions

    def play(self, count: int) -> None:
        for _ in range(count):
            self.decide(self.next())


def state_segment(module: dict[str, str]) -> bytes:
    """A segment out of the middle of a night: it begins with the policy's state there."""
    night = Night()
    for event in night.beginning():
        night.decide(event)
    night.play(460)
    state = dump_policy(night.policy)
    built = SegmentBuilder(header(module=module, seed=99, events_before=462, state=state))
    for _ in range(220):
        event = night.next()
        built.add(night.now, event, night.decide(event))
    return built.data()
