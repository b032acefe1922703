"""What the core says in the log of events and lists, in the words that operators know, by golden
files."""

from __future__ import annotations

import logging
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from badgercart.core.endpoint_table import Member, MemberList, Roster
from badgercart.core.request_pipeline import Join
from badgercart.policy.endpoint import ServerEntry, State
from badgercart.policy.events import (
    Began,
    Company,
    Diverted,
    Event,
    ListKind,
    Outcome,
    Overdue,
    PeerMessage,
    Planned,
    ProbeResult,
    Request,
    Result,
    Resume,
    Retuned,
    ServerList,
    Timer,
    Whole,
    Withdrawn,
)
from tests.clockwork import Clockwork
from tests.golden import differences
from tests.net import config

GOLDEN = Path(__file__).parent / "golden"
SETTINGS = config(1).settings
EVENTS: tuple[Event, ...] = (
    ServerList(ListKind.FULL, 7, []),
    Request(1, 0, 60_000.0),
    Whole(1, 60_000.0),
    Began(1, 0, 7, 2.0),
    Outcome(1, 7, True, Result.OK, 0, 2.0),
    Diverted(1, 0, 7, Result.UNREACHABLE, 2.0, 8),
    Resume(1, True),
    ProbeResult(7, Result.OK, 2.0),
    Timer(1),
    PeerMessage(1, b""),
    Withdrawn(1),
    Retuned(SETTINGS, frozenset()),
    Company(1, 0, 1),
    Planned(),
    Overdue(1),
)


class Heard(logging.Handler):
    """Keeps each record's event, level, words and fields."""

    def __init__(self) -> None:
        super().__init__()
        self.lines: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        event: str = getattr(record, "event", "")
        self.lines.append(f"{event} {record.levelname} {record.getMessage()} {record.args!r}")


def heard(act: Callable[[Join], object]) -> bytes:
    """What is logged while a join does this."""
    log, handler = logging.getLogger("badgercart"), Heard()
    clockwork = Clockwork()
    join = Join(SETTINGS, 1, clockwork, clockwork.clock)
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

    def play(event: Event) -> Callable[[Join], None]:
        def act(join: Join) -> None:
            join.policy.handle = broken  # type: ignore[method-assign]
            join.tell(event)

        return act

    return {str(number): heard(play(event)) for number, event in enumerate(EVENTS)}


class Unread:
    """Nothing is read of any list: lists come as they are."""

    def read(self, raw: Any, kind: Any = None) -> MemberList:
        raise ValueError


def line(number: int, state: State) -> Member:
    return Member(
        ServerEntry(number, 0, 0, 0, state, 1.0, 0.0), ("127.0.0.1", number), f"s-{number}"
    )


def lists() -> dict[str, bytes]:
    """`list.taken` for each kind of list and each state of a server."""
    some = [
        line(number, state)
        for number, state in ((1, State.READY), (2, State.DRAINING), (3, State.GONE))
    ]
    many = [line(number, State.READY) for number in range(1, 8)]

    def play(*told: MemberList) -> Callable[[Join], None]:
        def act(join: Join) -> None:
            roster = Roster(Unread(), join)
            for one in told:
                roster.take_read(one)

        return act

    kinds = {"full": ListKind.FULL, "delta": ListKind.DELTA, "cached": ListKind.CACHED}
    pieces = {name: heard(play(MemberList(kind, 7, some))) for name, kind in kinds.items()}
    pieces["failed"] = heard(play(MemberList(ListKind.FAILED, 7, [])))
    pieces["many"] = heard(play(MemberList(ListKind.FULL, 8, many)))
    pieces["nothing new"] = heard(play(MemberList(ListKind.DELTA, 8, [])))
    pieces["gone by a whole list"] = heard(
        play(MemberList(ListKind.FULL, 1, many), MemberList(ListKind.FULL, 2, []))
    )
    return pieces


GROUPS: dict[str, Callable[[], dict[str, bytes]]] = {"policy-failed": failures, "list-taken": lists}


@pytest.mark.parametrize("group", GROUPS)
def test_the_log_says_it_in_the_same_words(group: str) -> None:
    assert not differences(GOLDEN / f"{group}.txt", GROUPS[group]())
