"""What the core says in the log of events and lists, in the words that operators know, by golden
files."""

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


class Heard(logging.Handler):
    """Keeps each record's event, level, words and fields."""

    def __init__(self) -> None:
        super().__init__()
        self.lines: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        event: str = getattr(record, "event", "")
        self.lines.append(f"{event} {record.levelname} {record.getMessage()} {record.args!r}")


def heard(act: Callable[[RequestPipeline], object]) -> bytes:
    """What is logged while a join does this."""
    log, handler = logging.getLogger("badgercart"), Heard()
    clockwork = ManualClock()
    join = RequestPipeline(SETTINGS, 1, clockwork, clockwork.clock)
    level = log.level
    log.addHandler(handler)
    log.setLevel(logging.INFO)
    try:
        act(join)
    finally:
        log.removeHandler(handler)
        log.setLevel(level)
    return "\n".join(handler.lines).encode()


def failures() -> dict[str, bytes]:
    """`policy.failed` for each event over which a policy may break."""

    def broken(now: float, event: Event) -> Any:
        raise RuntimeError("broken on purpose")

    def play(event: Event) -> Callable[[RequestPipeline], None]:
        def act(join: RequestPipeline) -> None:
            join.policy.handle = broken  # type: ignore[method-assign]
            join.dispatch(event)

        return act

    return {str(number): heard(play(event)) for number, event in enumerate(EVENTS)}


class Unread:
    """Nothing is read of any list: lists come as they are."""

    def read(self, raw: Any, kind: Any = None) -> DiscoveryUpdate:
        raise ValueError


def line(number: int, state: EndpointState) -> DiscoveredEndpoint:
    return DiscoveredEndpoint(
        Endpoint(number, 0, 0, 0, state, 1.0, 0.0), ("127.0.0.1", number), f"s-{number}"
    )


def lists() -> dict[str, bytes]:
    """`list.taken` for each kind of list and each state of a server."""
    some = [
        line(number, state)
        for number, state in (
            (1, EndpointState.READY),
            (2, EndpointState.DRAINING),
            (3, EndpointState.GONE),
        )
    ]
    many = [line(number, EndpointState.READY) for number in range(1, 8)]

    def play(*told: DiscoveryUpdate) -> Callable[[RequestPipeline], None]:
        def act(join: RequestPipeline) -> None:
            roster = EndpointTable(Unread(), join)
            for one in told:
                roster.accept_update(one)

        return act

    kinds = {"full": UpdateKind.SNAPSHOT, "delta": UpdateKind.DELTA, "cached": UpdateKind.CACHED}
    pieces = {name: heard(play(DiscoveryUpdate(kind, 7, some))) for name, kind in kinds.items()}
    pieces["failed"] = heard(play(DiscoveryUpdate(UpdateKind.FAILED, 7, [])))
    pieces["many"] = heard(play(DiscoveryUpdate(UpdateKind.SNAPSHOT, 8, many)))
    pieces["nothing new"] = heard(play(DiscoveryUpdate(UpdateKind.DELTA, 8, [])))
    pieces["gone by a whole list"] = heard(
        play(
            DiscoveryUpdate(UpdateKind.SNAPSHOT, 1, many),
            DiscoveryUpdate(UpdateKind.SNAPSHOT, 2, []),
        )
    )
    return pieces


GROUPS: dict[str, Callable[[], dict[str, bytes]]] = {"policy-failed": failures, "list-taken": lists}


@pytest.mark.parametrize("group", GROUPS)
def test_the_log_says_it_in_the_same_words(group: str) -> None:
    assert not differences(GOLDEN / f"{group}.txt", GROUPS[group]())
