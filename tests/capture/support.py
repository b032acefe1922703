"""A small fleet in virtual time, for captures: slow, silent and failing servers, a hot key, near
capacity."""

from __future__ import annotations

import random
from collections.abc import Callable
from pathlib import Path
from typing import Any

from badgercart.capture.settings import CaptureSettings
from badgercart.capture.writer import CaptureWriter
from badgercart.core.ports import AttemptRequest, IncomingRequest, UpstreamResponse
from badgercart.core.request_pipeline import RequestPipeline
from badgercart.policy.endpoint import Endpoint, EndpointState
from badgercart.policy.events import AttemptResult, EndpointUpdate, UpdateKind
from badgercart.policy.settings import DeduplicationScope, Idempotency, RequestClass, Settings
from tests.manual_clock import ManualClock

CLASSES = (
    RequestClass(580.0, 1400.0, 2.0, Idempotency.IDEMPOTENT),
    RequestClass(
        750.0,
        1900.0,
        8.0,
        Idempotency.KEYED,
        DeduplicationScope.ALL,
        deduplication_window_ms=6000.0,
    ),
)
SETTINGS = Settings(
    classes=CLASSES,
    quotas_per_s=(40.0, 20.0),
    over_quota_weight=0.05,
    max_attempts=4,
    may_cancel=True,
    max_retry_after_ms=600.0,
    slow_start_min_capacity=0.32,
    slow_start_duration_ms=8800.0,
)
SERVERS = 8


class Saturday:
    """One day: the join under test, and everything round it by one seed."""

    def __init__(
        self, seed: int, tap: Callable[[RequestPipeline], Any] = lambda join: None
    ) -> None:
        self.random = random.Random(seed)
        self.clockwork = ManualClock()
        self.join = RequestPipeline(SETTINGS, seed, self.clockwork, self.clockwork.clock)
        self.answers = 0
        tap(self.join)
        self.list(
            UpdateKind.SNAPSHOT, {number: EndpointState.READY for number in range(1, SERVERS + 1)}
        )

    def list(self, kind: UpdateKind, states: dict[int, EndpointState]) -> None:
        entries = [
            Endpoint(n * 0x9E3779B97F4A7C15 % 2**63, 0, n % 2, 0, s, 2.0, 0.0)
            for n, s in states.items()
        ]
        self.join.dispatch(EndpointUpdate(kind, int(self.clockwork.now), entries))

    def play(self, requests: int) -> None:
        for number in range(requests):
            if number == requests // 3:
                self.list(UpdateKind.DELTA, {3: EndpointState.DRAINING})
            if number == requests // 2:
                self.list(UpdateKind.DELTA, {3: EndpointState.READY, 4: EndpointState.GONE})
            cls, key = (
                self.random.randrange(2),
                7 if self.random.random() < 0.3 else self.random.getrandbits(48),
            )
            now = self.clockwork.now
            due = now + CLASSES[cls].deadline_ms - 30.0
            request = self.join.next_request_id()
            self.join.accept(
                request, IncomingRequest(cls, self.random.randrange(2), key, due, None), self, self
            )
            if self.random.random() < 0.02:
                self.join.cancel_request(request)
            self.clockwork.advance(self.random.expovariate(1 / 8.0))
        self.clockwork.advance(5000.0)

    # The servers, by their number: a quarter slow, one silent at times, one that fails.

    def send(self, order: AttemptRequest) -> None:
        slow = 6.0 if order.endpoint_id % 4 == 0 else 1.0
        took, result = self.random.uniform(20.0, 160.0) * slow, AttemptResult.OK
        if order.endpoint_id % 5 == 1 and self.random.random() < 0.5:
            took, result = 2.0, AttemptResult.ERROR
        elif order.endpoint_id % 7 == 2 and self.random.random() < 0.3 or took >= order.timeout_ms:
            took, result = order.timeout_ms, AttemptResult.TIMEOUT
        self.clockwork.call_later(took / 1000, self.end, order, result, took)

    def end(self, order: AttemptRequest, result: AttemptResult, took: float) -> None:
        answer = UpstreamResponse(200) if result is AttemptResult.OK else None
        self.join.attempt_ended(
            order.request_id, order.attempt, order.endpoint_id, result, took, answer
        )

    def cancel(self, request_id: int, number: int) -> None:
        self.join.attempt_ended(request_id, number, 0, AttemptResult.CANCELLED, 1.0)

    def abandon_attempt(self, request_id: int, number: int) -> None:
        """All that is sent is out at once."""

    def client_is_gone(self) -> bool:
        return False

    def on_response(self, answer: UpstreamResponse) -> None:
        self.answers += 1

    def on_shed(self, wait: float) -> None:
        self.answers += 1

    def on_failure(self, broken: bool) -> None:
        self.answers += 1


def captured(
    folder: Path, seed: int = 1, requests: int = 1500, **settings: Any
) -> tuple[Saturday, CaptureWriter]:
    """A day with a capture of it in a folder, whole."""
    made: list[CaptureWriter] = []

    def fail(error: OSError) -> None:
        raise AssertionError(str(error))

    def tap(join: RequestPipeline) -> None:
        chosen = CaptureSettings.model_construct(folder=str(folder), **settings)
        made.append(
            CaptureWriter(chosen, folder, "n-1", join.policy, seed, lambda lost: None, fail)
        )
        join.decision_log = made[0].record_event

    day = Saturday(seed, tap)
    day.play(requests)
    made[0].close()
    return day, made[0]
