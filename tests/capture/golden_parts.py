"""The contents of the golden captures as literals, and the functions that encode them.

All numbers, times and seeds are fixed. Fields are given by position, since their names may change.
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
from badgercart.frontends.processor.old_answers import OldAnswerTracker
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
    """Return the values of a dataclass instance in the order of its fields."""
    return tuple(getattr(item, field.name) for field in fields(item))


def decisions(number: int) -> list[Action] | None:
    """Return the actions of an event, by its position in `EVENTS`."""
    return ACTIONS[number % len(ACTIONS)]


def notes() -> list[bytes]:
    """Return notes of both state machines, with every recorded method."""
    recorded: list[bytes] = []
    freshness = Freshness(FreshnessLimits(2500.0, 7500.0))
    recorded.append(state_note("list", freshness))
    undo = record_calls("list", freshness, recorded.append)
    freshness.state(10.0)
    freshness.next_change(10.0)
    freshness.proof(1000.0)
    for now_ms in (1000.0, 4000.0, 9000.0):
        freshness.state(now_ms)
        freshness.next_change(now_ms)
    freshness.rule = FreshnessLimits(100.0, 200.0)
    freshness.state(9000.0)
    undo()
    tracker = OldAnswerTracker(OldAnswers(no_fallbacks_after=2, refuse_after=3))
    tracker.record_old_use(tracker.find_or_add("edge-1"), True, 5.0)
    recorded.append(state_note("account", tracker))
    undo = record_calls("account", tracker, recorded.append)
    proxy = tracker.find_or_add("edge-1")
    for now_ms in (6.0, 7.0, 8.0):
        tracker.record_old_use(proxy, False, now_ms)
        tracker.standing(proxy, now_ms + 0.5)
    tracker.standing(tracker.find_or_add("edge-2"), 9.0)
    undo()
    recorded += [state_note("account", tracker), state_note("list", freshness)]
    return recorded


def header(**changed: Any) -> dict[str, Any]:
    """Return the header fields of a segment, with changes."""
    return {
        "node": "n-1", "seed": 7, "settings": encode_settings(SETTINGS), "module": {"rules.py": "00ff"},
        "format": FORMAT_VERSION, "segment": 3, "events_before": 5, "wall_ms": 1.75e12, "state": b"",
        "adopted": True,
    } | changed  # fmt: skip


def format_2() -> bytes:
    """Return a segment with every event, action and note, as a node writes it."""
    batch = [
        (*plain_event(100.0 + position, event), plain_actions(decisions(position)))
        for position, event in enumerate(EVENTS)
    ]
    parts = [encode_header(header())]
    parts += [encode_record(RecordKind.NOTE, note) for note in notes()]
    batch_offset = sum(map(len, parts))
    parts += [
        encode_record(RecordKind.BATCH, encode_batch(batch)),
        encode_record(RecordKind.GAP, (321).to_bytes(8)),
    ]
    index = SegmentIndex(
        len(EVENTS), 321, 100.0, 99.0 + len(EVENTS), 1, 2, [(0, 100.0, batch_offset)]
    )
    return b"".join((*parts, encode_trailer(index, sum(map(len, parts)))))


def format_1() -> bytes:
    """Return a segment of format 1 with every event; no node writes this format any more."""
    encoded_header = msgspec.msgpack.encode(header(format=1))
    parts = [
        struct.pack(">4sHII", b"BCAP", 1, len(encoded_header), zlib.crc32(encoded_header))
        + encoded_header
    ]
    running_crc = 0
    for position, event in enumerate(EVENTS):
        running_crc = zlib.crc32(
            msgspec.msgpack.encode(plain_actions(decisions(position))), running_crc
        )
        parts.append(
            encode_record(
                RecordKind.EVENT,
                running_crc.to_bytes(4)
                + msgspec.msgpack.encode(plain_event(100.0 + position, event)),
            )
        )
    parts.append(encode_record(RecordKind.GAP, (321).to_bytes(8)))
    return b"".join((*parts, encode_record(RecordKind.END, b"")))


class RandomEventDriver:
    """Drives a policy with a small fleet and events of every draw, from one seed."""

    def __init__(self) -> None:
        self.random = random.Random(20260703)
        self.policy = Policy(SETTINGS, 99)
        self.now_ms = 10_000.0
        self.number = 0
        # Of each open attempt: request id, attempt number, endpoint id and time of sending (ms).
        self.open_attempts: list[tuple[int, int, int, float]] = []
        self.attempts: dict[int, int] = {}  # last attempt number by request id
        self.timers: list[int] = []
        self.deferred: list[int] = []  # requests whose retry decision is due
        self.incomplete: list[int] = []  # requests whose bodies are still being received

    def entries(
        self, numbers: range, state: EndpointState = EndpointState.READY, started_ms: float = 4000.0
    ) -> list[Endpoint]:
        """Return endpoint entries for these numbers."""
        return [
            Endpoint(
                number * 0x9E3779B97F4A7C15 % 2**63,
                number % 3,
                number % 2,
                number % 4,
                state,
                1.0 + number % 3,
                number % 2 * started_ms,
            )
            for number in numbers
        ]

    def beginning(self) -> list[Event]:
        """Return the first events: the endpoint list and a view of the cluster."""
        cluster_view = ClusterView(3, 1, 4, (0.5, 0.25), ((self.entries(range(5, 6))[0].id, 0.8),))
        return [EndpointUpdate(UpdateKind.SNAPSHOT, 1, self.entries(range(1, 13))), cluster_view]

    def next(self) -> Event:
        """Return the next event; the random draws depend on the policy's decisions."""
        rng = self.random
        self.now_ms += rng.expovariate(1 / 7.0)
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
                self.entries(range(self.number, self.number + 3), started_ms=self.now_ms - 900.0),
            )
        if self.timers and rng.random() < 0.2:
            return TimerFired(self.timers.pop(0))
        if self.deferred and rng.random() < 0.3:
            return RetryDecisionDue(self.deferred.pop(0), rng.random() < 0.7)
        if self.incomplete and rng.random() < 0.3:
            request_id = self.incomplete.pop(0)
            return RequestCompleted(request_id, self.now_ms + 1200.0)
        if len(self.open_attempts) > rng.randrange(12):
            return self.end()
        self.number += 1
        class_index, key = rng.randrange(3), rng.choice((0, 7, 7, 9, rng.getrandbits(40)))
        complete = rng.random() < 0.85
        if not complete:
            self.incomplete.append(self.number)
        deadline_at_ms = self.now_ms + 1200.0 if complete else float("inf")
        return Request(
            self.number,
            class_index,
            deadline_at_ms,
            key,
            rng.randrange(2),
            0.0,
            False,
            rng.randrange(3),
            False,
            None,
            complete,
        )

    def end(self) -> Event:
        """Return an event that ends or changes an open attempt."""
        rng = self.random
        request_id, attempt, endpoint_id, sent_ms = self.open_attempts.pop(
            rng.randrange(len(self.open_attempts))
        )
        draw, elapsed_ms = rng.random(), self.now_ms - sent_ms
        if draw < 0.06:  # the attempt stays open
            self.open_attempts.append((request_id, attempt, endpoint_id, sent_ms))
        if draw < 0.03:
            return RequestCancelled(request_id)
        if draw < 0.06:
            return ResponseStarted(request_id, attempt, endpoint_id, elapsed_ms)
        result = (
            AttemptResult.OK
            if draw < 0.8
            else rng.choice((AttemptResult.ERROR, AttemptResult.TIMEOUT, AttemptResult.RESET))
        )
        retry_deferred = draw > 0.95
        if retry_deferred:
            self.deferred.append(request_id)
        return AttemptEnded(
            request_id,
            endpoint_id,
            result is AttemptResult.OK,
            result,
            attempt,
            elapsed_ms,
            (),
            retry_deferred,
        )

    def decide(self, event: Event) -> list[Action]:
        """Pass an event to the policy, and track its actions."""
        actions = self.policy.handle(self.now_ms, event)
        for action in actions:
            if isinstance(action, Send):
                request_id, endpoint_id = values(action)[:2]
                attempt = self.attempts[request_id] = self.attempts.get(request_id, -1) + 1
                self.open_attempts.append((request_id, attempt, endpoint_id, self.now_ms))
            elif isinstance(action, SetTimer):
                self.timers.append(values(action)[1])
        return actions

    def play(self, count: int) -> None:
        """Process so many events."""
        for _ in range(count):
            self.decide(self.next())


def state_segment(module: dict[str, str]) -> bytes:
    """Return a segment that begins with the policy's state after 462 events."""
    driver = RandomEventDriver()
    for event in driver.beginning():
        driver.decide(event)
    driver.play(460)
    state = dump_policy(driver.policy)
    builder = SegmentBuilder(header(module=module, seed=99, events_before=462, state=state))
    for _ in range(220):
        event = driver.next()
        builder.add(driver.now_ms, event, driver.decide(event))
    return builder.data()
