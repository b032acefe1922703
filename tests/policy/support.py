"""A small stage for the module: settings, servers and a driver that checks the rules from
outside."""

from __future__ import annotations

import math
import random
from dataclasses import replace

from badgercart.policy.actions import Cancel, Fail, Log, Refuse, Send, Subscribe, Wake
from badgercart.policy.endpoint import ServerEntry, State
from badgercart.policy.events import (
    Began,
    ListKind,
    Outcome,
    Request,
    Result,
    Retuned,
    ServerList,
    Timer,
    Whole,
    Withdrawn,
)
from badgercart.policy.policy import Policy
from badgercart.policy.settings import Effect, Group, RequestClass, Settings

START = 50_000.0
SAFE = RequestClass(aim=400.0, deadline=1000.0, worth=10.0, effect=Effect.SAFE)
KEYED = RequestClass(aim=400.0, deadline=1000.0, worth=1.0, effect=Effect.KEYED, window=600.0)
UNSAFE = RequestClass(aim=400.0, deadline=1000.0, worth=1.0, effect=Effect.UNSAFE, window=5000.0)
NEVER_RAN = (Result.FULL, Result.UNREACHABLE, Result.NOT_SENT)


def settings(**changes: object) -> Settings:
    base = Settings(
        classes=(SAFE, KEYED, UNSAFE),
        tick=5.0,
        may_cancel=True,
        max_attempts=4,
        max_retry_after=2000.0,
        cold_from=0.2,
        ramp_time=10_000.0,
    )
    return replace(base, **changes)  # type: ignore[arg-type]


def server(number: int, state: State = State.READY, started: float = 0.0) -> ServerEntry:
    return ServerEntry(number, number % 3, 0, number % 4, state, 1.0, started)


class Stage:
    """Drives one policy and asserts, from outside, what must hold of every action."""

    def __init__(self, config: Settings, seed: int = 1, servers: int = 8) -> None:
        self.config = config
        self.now = START
        self.policy = Policy(config, seed)
        self.states: dict[int, State] = {}
        self.requests: dict[int, Request] = {}
        self.terms: dict[int, RequestClass] = {}  # of each request's class as it came
        self.owed: set[int] = set()
        self.answers: dict[int, str] = {}
        self.attempts: dict[int, list[tuple[float, ServerEntry]]] = {}
        self.open: dict[tuple[int, int], float] = {}  # attempt -> when its time-out strikes
        self.maybe_ran: dict[int, dict[int, tuple[float, ServerEntry]]] = {}
        self.timers: list[tuple[float, int]] = []
        self.log: list[object] = []
        self.entries: dict[int, ServerEntry] = {}
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
        self.list([server(i) for i in range(servers)], ListKind.CACHED)

    def give(self, event: object) -> list[object]:
        actions = self.policy.handle(self.now, event)  # type: ignore[arg-type]
        for action in actions:
            self._take(action)
        self.log.extend(actions)
        return list(actions)

    def list(self, entries: list[ServerEntry], kind: ListKind = ListKind.DELTA) -> list[object]:
        if kind in (ListKind.FULL, ListKind.CACHED):
            self.states = dict.fromkeys(self.states, State.GONE)
        for entry in entries:
            self.states[entry.id] = entry.state
            self.entries[entry.id] = entry
        return self.give(ServerList(kind, 1, entries))

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
        self.requests[number] = Request(number, cls, due, key, tenant, hint, whole=whole)
        self.owed.add(number)
        self.attempts[number] = []
        self.maybe_ran[number] = {}
        if key and self.config.classes[cls].in_order:
            self.lines.setdefault(key, []).append(number)
        self.give(self.requests[number])
        return number

    def give_new(self, cls: int, tenant: int = 0) -> list[object]:
        mark = len(self.log)
        self.request(cls, tenant=tenant)
        return self.log[mark:]

    def give_failed_list(self) -> list[object]:
        return self.give(ServerList(ListKind.FAILED, 0, []))

    def go_on(self, number: int, rng: random.Random) -> None:
        """What befalls servers and attempts at the step of this number: a line of the list, some
        outcomes."""
        if number % 20 == 9:
            started = self.now if rng.random() < 0.5 else 0.0
            self.list(
                [server(rng.randrange(8), rng.choice((State.READY, State.DRAINING)), started)]
            )
        for request, attempt in [key for key in self.open if rng.random() < 0.3]:
            result = rng.choice((Result.OK, Result.OK, Result.ERROR, Result.FULL))
            self.outcome(request, attempt, result, rng.uniform(10, 200))

    def whole(self, request: int, due_in: float) -> None:
        """The rest of a request has come: from now on its time counts, and its attempt's."""
        self.give(Whole(request, self.now + due_in))
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
        self.give(Began(request, attempt, target, 50.0))

    def outcome(
        self, request: int, attempt: int, result: Result, elapsed: float = 50.0, spent: bool = False
    ) -> list[object]:
        del self.open[(request, attempt)]
        if spent:
            self.spent.add(request)
        if result in NEVER_RAN and not (result == Result.FULL and self.config.full_may_have_run):
            del self.maybe_ran[request][attempt]
        if result in (Result.TIMEOUT, Result.RESET, Result.CANCELLED):
            rest = (request, self.now + self.config.key_rest)
            self.rests.setdefault(self.requests[request].key, []).append(rest)
        if result == Result.OK and request in self.owed:
            self.owed.discard(request)
            self.answers[request] = "served"
        over = request not in self.owed
        target = self.attempts[request][attempt][1].id
        return self.give(Outcome(request, target, over, result, attempt, elapsed, spent=spent))

    def retune(self, config: Settings, fresh: frozenset[int], live: frozenset[int]) -> None:
        self.config = config
        self.give(Retuned(config, live, fresh))

    def withdraw(self, request: int) -> None:
        self.owed.discard(request)
        self.answers[request] = "withdrawn"
        self.give(Withdrawn(request))

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
                self.give(Timer(first))
            else:
                sent = self.attempts[first][second][0]
                self.outcome(first, second, Result.TIMEOUT, self.now - sent)
        self.now = end
        for number in self.owed:
            assert (
                self.requests[number].due >= self.now
            ), f"request {number} is owed past its due time"

    def _take(self, action: object) -> None:
        if isinstance(action, Send):
            self._send(action)
        elif isinstance(action, Refuse | Fail):
            assert action.id in self.owed, "a second final answer"
            self.owed.discard(action.id)
            self.answers[action.id] = "refused" if isinstance(action, Refuse) else "failed"
            cls = self.terms[action.id]
            harmless = cls.effect is Effect.SAFE or (
                cls.effect is Effect.KEYED and cls.group is Group.ALL
            )
            if isinstance(action, Refuse) and not harmless:
                assert not self.maybe_ran[action.id], "refused though it may have run"
        elif isinstance(action, Cancel):
            assert self.config.may_cancel
            assert action.attempt < len(self.attempts[action.id]), "cancelled what was never sent"
        elif isinstance(action, Wake):
            assert action.delay >= 0
            self.timers.append((self.now + action.delay, action.token))
        elif not isinstance(action, Log):
            assert isinstance(action, Subscribe)
            assert self.config.ask_for_list

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
        assert self.states[action.server] is State.READY, "sent to a server that drains or is gone"
        assert len(self.attempts[action.id]) < self.config.max_attempts
        target = self.entries[action.server]
        outstanding = [key for key in self.open if key[0] == action.id]
        assert not outstanding, "two attempts at once"
        self._in_turn(action.id)
        earlier = self.maybe_ran[action.id].values()
        if cls.effect is Effect.UNSAFE:
            assert not earlier, "an unsafe request sent again"
        elif cls.effect is Effect.KEYED:
            for sent, other in earlier:
                assert self.now - sent <= cls.window, "a repeat after the servers forgot it"
                assert cls.group is not Group.ZONE or other.zone == target.zone
                assert cls.group is not Group.CELL or other.cell == target.cell
        number = len(self.attempts[action.id])
        self.attempts[action.id].append((self.now, target))
        self.maybe_ran[action.id][number] = (self.now, target)
        assert action.id not in self.spent, "sent again though its body is gone"
        limit = (
            min(action.limit, request.due - self.now)
            if action.limit > 0
            else request.due - self.now
        )
        if not request.whole:
            assert 0 < action.limit < math.inf
            self.limits[action.id, number], limit = action.limit, math.inf
        self.open[(action.id, number)] = self.now + max(limit, 0.0)
