"""A small stage for the module: settings, servers and a driver that checks the rules from
outside."""

from __future__ import annotations

import math
import random
from dataclasses import replace

from badgercart.policy.actions import CancelAttempt, Fail, Log, Send, SetTimer, Shed, Subscribe
from badgercart.policy.endpoint import Endpoint, EndpointState
from badgercart.policy.events import (
    AttemptEnded,
    AttemptResult,
    EndpointUpdate,
    Request,
    RequestCancelled,
    RequestCompleted,
    ResponseStarted,
    SettingsChanged,
    TimerFired,
    UpdateKind,
)
from badgercart.policy.policy import Policy
from badgercart.policy.settings import DeduplicationScope, Idempotency, RequestClass, Settings

START = 50_000.0
SAFE = RequestClass(
    latency_objective_ms=400.0,
    deadline_ms=1000.0,
    priority_weight=10.0,
    idempotency=Idempotency.IDEMPOTENT,
)
KEYED = RequestClass(
    latency_objective_ms=400.0,
    deadline_ms=1000.0,
    priority_weight=1.0,
    idempotency=Idempotency.KEYED,
    deduplication_window_ms=600.0,
)
UNSAFE = RequestClass(
    latency_objective_ms=400.0,
    deadline_ms=1000.0,
    priority_weight=1.0,
    idempotency=Idempotency.NON_IDEMPOTENT,
    deduplication_window_ms=5000.0,
)
NEVER_RAN = (AttemptResult.FULL, AttemptResult.UNREACHABLE, AttemptResult.NOT_SENT)


def settings(**changes: object) -> Settings:
    base = Settings(
        classes=(SAFE, KEYED, UNSAFE),
        tick_ms=5.0,
        may_cancel=True,
        max_attempts=4,
        max_retry_after_ms=2000.0,
        slow_start_min_capacity=0.2,
        slow_start_duration_ms=10_000.0,
    )
    return replace(base, **changes)  # type: ignore[arg-type]


def server(
    number: int, state: EndpointState = EndpointState.READY, started: float = 0.0
) -> Endpoint:
    return Endpoint(number, number % 3, 0, number % 4, state, 1.0, started)


class Stage:
    """Drives one policy and asserts, from outside, what must hold of every action."""

    def __init__(self, config: Settings, seed: int = 1, servers: int = 8) -> None:
        self.config = config
        self.now = START
        self.policy = Policy(config, seed)
        self.states: dict[int, EndpointState] = {}
        self.requests: dict[int, Request] = {}
        self.terms: dict[int, RequestClass] = {}  # of each request's class as it came
        self.owed: set[int] = set()
        self.answers: dict[int, str] = {}
        self.attempts: dict[int, list[tuple[float, Endpoint]]] = {}
        self.open: dict[tuple[int, int], float] = {}  # attempt -> when its time-out strikes
        self.maybe_ran: dict[int, dict[int, tuple[float, Endpoint]]] = {}
        self.timers: list[tuple[float, int]] = []
        self.log: list[object] = []
        self.entries: dict[int, Endpoint] = {}
        self.lines: dict[
            int, list[int]
        ] = {}  # key -> requests that take turns, in order of arrival
        self.rests: dict[
            int, list[tuple[int, float]]
        ] = {}  # key -> whose attempt may run on, until when
        self.next_id = 1
        self.limits: dict[
            tuple[int, int], float
        ] = {}  # of attempts on requests that were not whole
        self.spent: set[int] = set()  # requests that can't be sent again
        self.list([server(i) for i in range(servers)], UpdateKind.CACHED)

    def give(self, event: object) -> list[object]:
        actions = self.policy.handle(self.now, event)  # type: ignore[arg-type]
        for action in actions:
            self._take(action)
        self.log.extend(actions)
        return list(actions)

    def list(self, entries: list[Endpoint], kind: UpdateKind = UpdateKind.DELTA) -> list[object]:
        if kind in (UpdateKind.SNAPSHOT, UpdateKind.CACHED):
            self.states = dict.fromkeys(self.states, EndpointState.GONE)
        for entry in entries:
            self.states[entry.id] = entry.state
            self.entries[entry.id] = entry
        return self.give(EndpointUpdate(kind, 1, entries))

    def request(
        self,
        cls: int = 0,
        due_in: float = 900.0,
        key: int = 0,
        tenant: int = 0,
        hint: float = 0.0,
        whole: bool = True,
    ) -> int:
        number = self.next_id
        self.next_id += 1
        self.terms[number] = self.config.classes[cls]
        due = self.now + due_in if whole else math.inf
        self.requests[number] = Request(number, cls, due, key, tenant, hint, complete=whole)
        self.owed.add(number)
        self.attempts[number] = []
        self.maybe_ran[number] = {}
        if key and self.config.classes[cls].serialized_by_key:
            self.lines.setdefault(key, []).append(number)
        self.give(self.requests[number])
        return number

    def give_new(self, cls: int, tenant: int = 0) -> list[object]:
        mark = len(self.log)
        self.request(cls, tenant=tenant)
        return self.log[mark:]

    def give_failed_list(self) -> list[object]:
        return self.give(EndpointUpdate(UpdateKind.FAILED, 0, []))

    def go_on(self, number: int, rng: random.Random) -> None:
        """What befalls servers and attempts at the step of this number: a line of the list, some
        outcomes."""
        if number % 20 == 9:
            started = self.now if rng.random() < 0.5 else 0.0
            self.list(
                [
                    server(
                        rng.randrange(8),
                        rng.choice((EndpointState.READY, EndpointState.DRAINING)),
                        started,
                    )
                ]
            )
        for request, attempt in [key for key in self.open if rng.random() < 0.3]:
            result = rng.choice(
                (AttemptResult.OK, AttemptResult.OK, AttemptResult.ERROR, AttemptResult.FULL)
            )
            self.outcome(request, attempt, result, rng.uniform(10, 200))

    def whole(self, request: int, due_in: float) -> None:
        """The rest of a request has come: from now on its time counts, and its attempt's."""
        self.give(RequestCompleted(request, self.now + due_in))
        for key, limit in self.limits.items():
            if key[0] == request and key in self.open:
                self.open[key] = self.now + min(limit, due_in)

    def began(self, request: int, attempt: int) -> None:
        """An answer goes on as it comes: the final one; its attempt may only end."""
        assert request in self.owed
        self.owed.discard(request)
        self.answers[request] = "served"
        target = self.attempts[request][attempt][1].id
        self.open[request, attempt] = math.inf
        self.give(ResponseStarted(request, attempt, target, 50.0))

    def outcome(
        self,
        request: int,
        attempt: int,
        result: AttemptResult,
        elapsed: float = 50.0,
        spent: bool = False,
    ) -> list[object]:
        del self.open[(request, attempt)]
        if spent:
            self.spent.add(request)
        if result in NEVER_RAN and not (
            result == AttemptResult.FULL and self.config.full_possibly_executed
        ):
            del self.maybe_ran[request][attempt]
        if result in (AttemptResult.TIMEOUT, AttemptResult.RESET, AttemptResult.CANCELLED):
            rest = (request, self.now + self.config.key_cooldown_ms)
            self.rests.setdefault(self.requests[request].key, []).append(rest)
        if result == AttemptResult.OK and request in self.owed:
            self.owed.discard(request)
            self.answers[request] = "served"
        over = request not in self.owed
        target = self.attempts[request][attempt][1].id
        return self.give(
            AttemptEnded(request, target, over, result, attempt, elapsed, body_consumed=spent)
        )

    def retune(self, config: Settings, fresh: frozenset[int], live: frozenset[int]) -> None:
        self.config = config
        self.give(SettingsChanged(config, live, fresh))

    def withdraw(self, request: int) -> None:
        self.owed.discard(request)
        self.answers[request] = "withdrawn"
        self.give(RequestCancelled(request))

    def advance(self, by: float) -> None:
        """Let time pass: timers ring, attempts time out, and no request may be owed past its due
        time."""
        end = self.now + by
        while True:
            due = [(at, 0, t, 0) for at, t in self.timers]
            due += [(at, 1, r, a) for (r, a), at in self.open.items()]
            due = sorted(d for d in due if d[0] <= end)
            if not due:
                break
            at, what, first, second = due[0]
            self.now = max(self.now, at)
            if what == 0:
                self.timers.remove((at, first))
                self.give(TimerFired(first))
            else:
                sent = self.attempts[first][second][0]
                self.outcome(first, second, AttemptResult.TIMEOUT, self.now - sent)
        self.now = end
        for number in self.owed:
            assert (
                self.requests[number].deadline_at_ms >= self.now
            ), f"request {number} is owed past its due time"

    def _take(self, action: object) -> None:
        if isinstance(action, Send):
            self._send(action)
        elif isinstance(action, Shed | Fail):
            assert action.id in self.owed, "a second final answer"
            self.owed.discard(action.id)
            self.answers[action.id] = "refused" if isinstance(action, Shed) else "failed"
            cls = self.terms[action.id]
            harmless = cls.idempotency is Idempotency.IDEMPOTENT or (
                cls.idempotency is Idempotency.KEYED
                and cls.deduplication_scope is DeduplicationScope.ALL
            )
            if isinstance(action, Shed) and not harmless:
                assert not self.maybe_ran[action.id], "refused though it may have run"
        elif isinstance(action, CancelAttempt):
            assert self.config.may_cancel
            assert action.attempt < len(self.attempts[action.id]), "cancelled what was never sent"
        elif isinstance(action, SetTimer):
            assert action.delay_ms >= 0
            self.timers.append((self.now + action.delay_ms, action.token))
        elif not isinstance(action, Log):
            assert isinstance(action, Subscribe)
            assert self.config.polls_endpoints

    def _in_turn(self, number: int) -> None:
        key = self.requests[number].key
        line = self.lines.get(key, [])
        if number not in line:
            return
        earlier = set(line[: line.index(number)])
        assert not earlier & self.owed, "sent while an earlier request with its key is unfinished"
        assert not any(r in earlier for r, _ in self.open), "sent while an earlier attempt is out"
        resting = [
            until for r, until in self.rests.get(key, []) if r in earlier and until > self.now
        ]
        assert not resting, "sent while its key rests"

    def _send(self, action: Send) -> None:
        request = self.requests[action.id]
        cls = self.terms[action.id]
        assert action.id in self.owed, "sent after the final answer"
        assert (
            self.states[action.endpoint_id] is EndpointState.READY
        ), "sent to a server that drains or is gone"
        assert len(self.attempts[action.id]) < self.config.max_attempts
        target = self.entries[action.endpoint_id]
        outstanding = [key for key in self.open if key[0] == action.id]
        assert not outstanding, "two attempts at once"
        self._in_turn(action.id)
        earlier = self.maybe_ran[action.id].values()
        if cls.idempotency is Idempotency.NON_IDEMPOTENT:
            assert not earlier, "an unsafe request sent again"
        elif cls.idempotency is Idempotency.KEYED:
            for sent, other in earlier:
                assert (
                    self.now - sent <= cls.deduplication_window_ms
                ), "a repeat after the servers forgot it"
                assert (
                    cls.deduplication_scope is not DeduplicationScope.ZONE
                    or other.zone == target.zone
                )
                assert (
                    cls.deduplication_scope is not DeduplicationScope.CELL
                    or other.cell == target.cell
                )
        number = len(self.attempts[action.id])
        self.attempts[action.id].append((self.now, target))
        self.maybe_ran[action.id][number] = (self.now, target)
        assert action.id not in self.spent, "sent again though its body is gone"
        limit = (
            min(action.timeout_ms, request.deadline_at_ms - self.now)
            if action.timeout_ms > 0
            else request.deadline_at_ms - self.now
        )
        if not request.complete:
            assert 0 < action.timeout_ms < math.inf
            self.limits[action.id, number], limit = action.timeout_ms, math.inf
        self.open[(action.id, number)] = self.now + max(limit, 0.0)
