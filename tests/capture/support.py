"""A request pipeline with a small fleet in virtual time, for captures.

The fleet is near its capacity; some endpoints are slow, time out or fail, and one key is hot.
"""

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
ENDPOINT_COUNT = 8


class SimulatedTraffic:
    """The pipeline under test; its clients, upstream transport and endpoints follow one seed."""

    def __init__(
        self, seed: int, attach: Callable[[RequestPipeline], Any] = lambda pipeline: None
    ) -> None:
        self.random = random.Random(seed)
        self.clockwork = ManualClock()
        self.join = RequestPipeline(SETTINGS, seed, self.clockwork, self.clockwork.clock)
        self.answers = 0
        attach(self.join)
        self.update_endpoints(
            UpdateKind.SNAPSHOT,
            {number: EndpointState.READY for number in range(1, ENDPOINT_COUNT + 1)},
        )

    def update_endpoints(self, kind: UpdateKind, states: dict[int, EndpointState]) -> None:
        """Send an endpoint list with these states by endpoint number."""
        entries = [
            Endpoint(number * 0x9E3779B97F4A7C15 % 2**63, 0, number % 2, 0, state, 2.0, 0.0)
            for number, state in states.items()
        ]
        self.join.dispatch(EndpointUpdate(kind, int(self.clockwork.now), entries))

    def play(self, requests: int) -> None:
        """Send requests and process them to their end."""
        for number in range(requests):
            if number == requests // 3:
                self.update_endpoints(UpdateKind.DELTA, {3: EndpointState.DRAINING})
            if number == requests // 2:
                self.update_endpoints(
                    UpdateKind.DELTA, {3: EndpointState.READY, 4: EndpointState.GONE}
                )
            class_index, key = (
                self.random.randrange(2),
                7 if self.random.random() < 0.3 else self.random.getrandbits(48),
            )
            now_ms = self.clockwork.now
            deadline_at_ms = now_ms + CLASSES[class_index].deadline_ms - 30.0
            request_id = self.join.next_request_id()
            self.join.accept(
                request_id,
                IncomingRequest(class_index, self.random.randrange(2), key, deadline_at_ms, None),
                self,
                self,
            )
            if self.random.random() < 0.02:
                self.join.cancel_request(request_id)
            self.clockwork.advance(self.random.expovariate(1 / 8.0))
        self.clockwork.advance(5000.0)

    def send(self, attempt: AttemptRequest) -> None:
        """Execute an attempt; the endpoint id decides whether it may be slow, time out or fail."""
        slowdown = 6.0 if attempt.endpoint_id % 4 == 0 else 1.0
        elapsed_ms, result = self.random.uniform(20.0, 160.0) * slowdown, AttemptResult.OK
        if attempt.endpoint_id % 5 == 1 and self.random.random() < 0.5:
            elapsed_ms, result = 2.0, AttemptResult.ERROR
        elif (
            attempt.endpoint_id % 7 == 2 and self.random.random() < 0.3
        ) or elapsed_ms >= attempt.timeout_ms:
            elapsed_ms, result = attempt.timeout_ms, AttemptResult.TIMEOUT
        self.clockwork.call_later(elapsed_ms / 1000, self.end, attempt, result, elapsed_ms)

    def end(self, attempt: AttemptRequest, result: AttemptResult, elapsed_ms: float) -> None:
        """End an attempt."""
        response = UpstreamResponse(200) if result is AttemptResult.OK else None
        self.join.attempt_ended(
            attempt.request_id, attempt.attempt, attempt.endpoint_id, result, elapsed_ms, response
        )

    def cancel(self, request_id: int, attempt_number: int) -> None:
        """Cancel an attempt at once."""
        self.join.attempt_ended(request_id, attempt_number, 0, AttemptResult.CANCELLED, 1.0)

    def abandon_attempt(self, request_id: int, attempt_number: int) -> None:
        """Do nothing: an attempt is complete as soon as it is sent."""

    def client_is_gone(self) -> bool:
        """Return False: clients wait for their responses."""
        return False

    def on_response(self, response: UpstreamResponse) -> None:
        """Count a response."""
        self.answers += 1

    def on_shed(self, retry_after_ms: float) -> None:
        """Count a shed request."""
        self.answers += 1

    def on_failure(self, internal_error: bool) -> None:
        """Count a failed request."""
        self.answers += 1


def captured(
    folder: Path, seed: int = 1, requests: int = 1500, **settings: Any
) -> tuple[SimulatedTraffic, CaptureWriter]:
    """Play requests and capture them in a folder; returns the traffic and the closed writer."""
    writers: list[CaptureWriter] = []

    def fail(error: OSError) -> None:
        raise AssertionError(str(error))

    def attach(pipeline: RequestPipeline) -> None:
        capture_settings = CaptureSettings.model_construct(folder=str(folder), **settings)
        writers.append(
            CaptureWriter(
                capture_settings,
                folder,
                "n-1",
                pipeline.policy,
                seed,
                lambda lost_events: None,
                fail,
            )
        )
        pipeline.decision_log = writers[0].record_event

    traffic = SimulatedTraffic(seed, attach)
    traffic.play(requests)
    writers[0].close()
    return traffic, writers[0]
