"""The log events `policy.failed` and `list.taken` in the words that operators know, by golden files."""

from __future__ import annotations

import logging
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from badgercart.core.endpoint_table import DiscoveredEndpoint, DiscoveryUpdate, EndpointTable
from badgercart.core.request_pipeline import RequestPipeline
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
from tests.golden import differences
from tests.manual_clock import ManualClock
from tests.net import config

GOLDEN = Path(__file__).parent / "golden"
SETTINGS = config(1).settings
EVENTS: tuple[Event, ...] = (
    EndpointUpdate(UpdateKind.SNAPSHOT, 7, []),
    Request(1, 0, 60_000.0),
    RequestCompleted(1, 60_000.0),
    ResponseStarted(1, 0, 7, 2.0),
    AttemptEnded(1, 7, True, AttemptResult.OK, 0, 2.0),
    AttemptRerouted(1, 0, 7, AttemptResult.UNREACHABLE, 2.0, 8),
    RetryDecisionDue(1, True),
    HealthCheckResult(7, AttemptResult.OK, 2.0),
    TimerFired(1),
    PeerMessage(1, b""),
    RequestCancelled(1),
    SettingsChanged(SETTINGS, frozenset()),
    ClusterView(1, 0, 1),
    TrafficPlan(),
    DeadlineExceeded(1),
)


class RecordingHandler(logging.Handler):
    """Keeps the event, level, message and fields of each record."""

    def __init__(self) -> None:
        super().__init__()
        self.lines: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        event: str = getattr(record, "event", "")
        self.lines.append(f"{event} {record.levelname} {record.getMessage()} {record.args!r}")


def logged_by(act: Callable[[RequestPipeline], object]) -> bytes:
    """Return what is logged while `act` uses a pipeline."""
    log, handler = logging.getLogger("badgercart"), RecordingHandler()
    manual_clock = ManualClock()
    pipeline = RequestPipeline(SETTINGS, 1, manual_clock, manual_clock.clock)
    level = log.level
    log.addHandler(handler)
    log.setLevel(logging.INFO)
    try:
        act(pipeline)
    finally:
        log.removeHandler(handler)
        log.setLevel(level)
    return "\n".join(handler.lines).encode()


def failures() -> dict[str, bytes]:
    """Return `policy.failed` for each event on which a policy may raise an exception."""

    def broken(now: float, event: Event) -> Any:
        raise RuntimeError("broken on purpose")

    def play(event: Event) -> Callable[[RequestPipeline], None]:
        def act(pipeline: RequestPipeline) -> None:
            pipeline.policy.handle = broken  # type: ignore[method-assign]
            pipeline.dispatch(event)

        return act

    return {str(number): logged_by(play(event)) for number, event in enumerate(EVENTS)}


class FailingReader:
    """Rejects what is to be parsed: the test passes parsed updates."""

    def read(self, raw: Any, kind: Any = None) -> DiscoveryUpdate:
        raise ValueError


def endpoint(number: int, state: EndpointState) -> DiscoveredEndpoint:
    return DiscoveredEndpoint(
        Endpoint(number, 0, 0, 0, state, 1.0, 0.0), ("127.0.0.1", number), f"s-{number}"
    )


def lists() -> dict[str, bytes]:
    """Return `list.taken` for each kind of update and each state of an endpoint."""
    some = [
        endpoint(number, state)
        for number, state in (
            (1, EndpointState.READY),
            (2, EndpointState.DRAINING),
            (3, EndpointState.GONE),
        )
    ]
    many = [endpoint(number, EndpointState.READY) for number in range(1, 8)]

    def play(*updates: DiscoveryUpdate) -> Callable[[RequestPipeline], None]:
        def act(pipeline: RequestPipeline) -> None:
            table = EndpointTable(FailingReader(), pipeline)
            for update in updates:
                table.accept_update(update)

        return act

    kinds = {"full": UpdateKind.SNAPSHOT, "delta": UpdateKind.DELTA, "cached": UpdateKind.CACHED}
    pieces = {name: logged_by(play(DiscoveryUpdate(kind, 7, some))) for name, kind in kinds.items()}
    pieces["failed"] = logged_by(play(DiscoveryUpdate(UpdateKind.FAILED, 7, [])))
    pieces["many"] = logged_by(play(DiscoveryUpdate(UpdateKind.SNAPSHOT, 8, many)))
    pieces["nothing new"] = logged_by(play(DiscoveryUpdate(UpdateKind.DELTA, 8, [])))
    pieces["gone by a whole list"] = logged_by(
        play(
            DiscoveryUpdate(UpdateKind.SNAPSHOT, 1, many),
            DiscoveryUpdate(UpdateKind.SNAPSHOT, 2, []),
        )
    )
    return pieces


GROUPS: dict[str, Callable[[], dict[str, bytes]]] = {"policy-failed": failures, "list-taken": lists}


@pytest.mark.parametrize("group", GROUPS)
def test_log_messages_are_unchanged(group: str) -> None:
    assert not differences(GOLDEN / f"{group}.txt", GROUPS[group]())
