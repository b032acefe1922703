"""A small fleet in virtual time, for captures: slow, silent and failing servers, a hot key, near
capacity."""

from __future__ import annotations

import random
from collections.abc import Callable
from pathlib import Path
from typing import Any

from badgercart.capture.settings import CaptureSettings
from badgercart.capture.writer import Capture
from badgercart.core.ports import Answer, Intake, Order
from badgercart.core.request_pipeline import Join
from badgercart.policy.endpoint import ServerEntry, State
from badgercart.policy.events import ListKind, Result, ServerList
from badgercart.policy.settings import Effect, Group, RequestClass, Settings
from tests.clockwork import Clockwork

CLASSES = (
    RequestClass(580.0, 1400.0, 2.0, Effect.SAFE),
    RequestClass(750.0, 1900.0, 8.0, Effect.KEYED, Group.ALL, window=6000.0),
)
SETTINGS = Settings(classes=CLASSES, quotas=(40.0, 20.0), over_quota_worth=0.05, max_attempts=4,
                    may_cancel=True, max_retry_after=600.0, cold_from=0.32, ramp_time=8800.0)  # fmt: skip
SERVERS = 8


class Saturday:
    """One day: the join under test, and everything round it by one seed."""

    def __init__(self, seed: int, tap: Callable[[Join], Any] = lambda join: None) -> None:
        self.random = random.Random(seed)
        self.clockwork = Clockwork()
        self.join = Join(SETTINGS, seed, self.clockwork, self.clockwork.clock)
        self.answers = 0
        tap(self.join)
        self.list(ListKind.FULL, {number: State.READY for number in range(1, SERVERS + 1)})

    def list(self, kind: ListKind, states: dict[int, State]) -> None:
        entries = [
            ServerEntry(n * 0x9E3779B97F4A7C15 % 2**63, 0, n % 2, 0, s, 2.0, 0.0)
            for n, s in states.items()
        ]
        self.join.tell(ServerList(kind, int(self.clockwork.now), entries))

    def play(self, requests: int) -> None:
        for number in range(requests):
            if number == requests // 3:
                self.list(ListKind.DELTA, {3: State.DRAINING})
            if number == requests // 2:
                self.list(ListKind.DELTA, {3: State.READY, 4: State.GONE})
            cls, key = (
                self.random.randrange(2),
                7 if self.random.random() < 0.3 else self.random.getrandbits(48),
            )
            now = self.clockwork.now
            due = now + CLASSES[cls].deadline - 30.0
            request = self.join.number()
            self.join.take(
                request, Intake(cls, self.random.randrange(2), key, due, None), self, self
            )
            if self.random.random() < 0.02:
                self.join.withdraw(request)
            self.clockwork.advance(self.random.expovariate(1 / 8.0))
        self.clockwork.advance(5000.0)

    # The servers, by their number: a quarter slow, one silent at times, one that fails.

    def send(self, order: Order) -> None:
        slow = 6.0 if order.server_id % 4 == 0 else 1.0
        took, result = self.random.uniform(20.0, 160.0) * slow, Result.OK
        if order.server_id % 5 == 1 and self.random.random() < 0.5:
            took, result = 2.0, Result.ERROR
        elif order.server_id % 7 == 2 and self.random.random() < 0.3 or took >= order.limit:
            took, result = order.limit, Result.TIMEOUT
        self.clockwork.call_later(took / 1000, self.end, order, result, took)

    def end(self, order: Order, result: Result, took: float) -> None:
        answer = Answer(200) if result is Result.OK else None
        self.join.ended(order.request_id, order.number, order.server_id, result, took, answer)

    def cancel(self, request_id: int, number: int) -> None:
        self.join.ended(request_id, number, 0, Result.CANCELLED, 1.0)

    def forgo(self, request_id: int, number: int) -> None:
        """All that is sent is out at once."""

    def gone(self) -> bool:
        return False

    def answered(self, answer: Answer) -> None:
        self.answers += 1

    def refused(self, wait: float) -> None:
        self.answers += 1

    def failed(self, broken: bool) -> None:
        self.answers += 1


def captured(
    folder: Path, seed: int = 1, requests: int = 1500, **settings: Any
) -> tuple[Saturday, Capture]:
    """A day with a capture of it in a folder, whole."""
    made: list[Capture] = []

    def fail(error: OSError) -> None:
        raise AssertionError(str(error))

    def tap(join: Join) -> None:
        chosen = CaptureSettings.model_construct(folder=str(folder), **settings)
        made.append(Capture(chosen, folder, "n-1", join.policy, seed, lambda lost: None, fail))
        join.tap = made[0].tap

    day = Saturday(seed, tap)
    day.play(requests)
    made[0].close()
    return day, made[0]
