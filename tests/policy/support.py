"""Settings, endpoints, and a driver that checks the policy's obligations from outside."""

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

START_MS = 50_000.0
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
NOT_EXECUTED_RESULTS = (AttemptResult.FULL, AttemptResult.UNREACHABLE, AttemptResult.NOT_SENT)


def make_settings(**changes: object) -> Settings:
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


def endpoint(
    number: int, state: EndpointState = EndpointState.READY, started: float = 0.0
) -> Endpoint:
    return Endpoint(number, number % 3, 0, number % 4, state, 1.0, started)


class PolicyDriver:
    """Sends events to one policy, and asserts for each action that it is allowed.

    Attributes:
        config: the current settings.
        states: the state of each endpoint, by id.
        requests: all requests, by id.
        request_classes: the class of each request when it arrived.
        unfinished: ids of requests without a final answer.
        answers: the final answer of each request: served, shed, failed or cancelled.
        attempts: the attempts of each request: when each was sent, and its endpoint.
        open_attempts: request id and number of each open attempt, with its time of timeout.
        possibly_executed: by request and number, the attempts that may have been executed: when
            each was sent, and its endpoint.
        timers: due time and token of each timer.
        actions: all actions of the policy.
        endpoints: the last entry of each endpoint, by id.
        key_queues: by key, the requests that are serialized, in order of arrival.
        cooldowns: by key, the requests with an attempt that may still be executing, and until when.
        upload_timeouts_ms: the timeout of each attempt of a request that was not complete.
        consumed: ids of requests whose body is gone, so that they can't be sent again.
    """

    def __init__(self, config: Settings, seed: int = 1, endpoint_count: int = 8) -> None:
        self.config = config
        self.now_ms = START_MS
        self.policy = Policy(config, seed)
        self.states: dict[int, EndpointState] = {}
        self.requests: dict[int, Request] = {}
        self.request_classes: dict[int, RequestClass] = {}
        self.unfinished: set[int] = set()
        self.answers: dict[int, str] = {}
        self.attempts: dict[int, list[tuple[float, Endpoint]]] = {}
        self.open_attempts: dict[tuple[int, int], float] = {}
        self.possibly_executed: dict[int, dict[int, tuple[float, Endpoint]]] = {}
        self.timers: list[tuple[float, int]] = []
        self.actions: list[object] = []
        self.endpoints: dict[int, Endpoint] = {}
        self.key_queues: dict[int, list[int]] = {}
        self.cooldowns: dict[int, list[tuple[int, float]]] = {}
        self.next_id = 1
        self.upload_timeouts_ms: dict[tuple[int, int], float] = {}
        self.consumed: set[int] = set()
        self.update_endpoints([endpoint(i) for i in range(endpoint_count)], UpdateKind.CACHED)

    def handle(self, event: object) -> list[object]:
        """Send an event to the policy, check its actions and return them."""
        actions = self.policy.handle(self.now_ms, event)  # type: ignore[arg-type]
        for action in actions:
            self._apply(action)
        self.actions.extend(actions)
        return list(actions)

    def update_endpoints(
        self, entries: list[Endpoint], kind: UpdateKind = UpdateKind.DELTA
    ) -> list[object]:
        if kind in (UpdateKind.SNAPSHOT, UpdateKind.CACHED):
            self.states = dict.fromkeys(self.states, EndpointState.GONE)
        for entry in entries:
            self.states[entry.id] = entry.state
            self.endpoints[entry.id] = entry
        return self.handle(EndpointUpdate(kind, 1, entries))

    def add_request(
        self,
        class_index: int = 0,
        deadline_in_ms: float = 900.0,
        key: int = 0,
        tenant: int = 0,
        expected_work_ms: float = 0.0,
        complete: bool = True,
    ) -> int:
        """Send a request to the policy, and return its id."""
        number = self.next_id
        self.next_id += 1
        self.request_classes[number] = self.config.classes[class_index]
        deadline_at_ms = self.now_ms + deadline_in_ms if complete else math.inf
        self.requests[number] = Request(
            number, class_index, deadline_at_ms, key, tenant, expected_work_ms, complete=complete
        )
        self.unfinished.add(number)
        self.attempts[number] = []
        self.possibly_executed[number] = {}
        if key and self.config.classes[class_index].serialized_by_key:
            self.key_queues.setdefault(key, []).append(number)
        self.handle(self.requests[number])
        return number

    def add_request_actions(self, class_index: int, tenant: int = 0) -> list[object]:
        """Send a request to the policy, and return the actions that follow."""
        before = len(self.actions)
        self.add_request(class_index, tenant=tenant)
        return self.actions[before:]

    def fail_update(self) -> list[object]:
        return self.handle(EndpointUpdate(UpdateKind.FAILED, 0, []))

    def random_step(self, number: int, rng: random.Random) -> None:
        """End some open attempts; at each twentieth step also change one endpoint."""
        if number % 20 == 9:
            started = self.now_ms if rng.random() < 0.5 else 0.0
            self.update_endpoints(
                [
                    endpoint(
                        rng.randrange(8),
                        rng.choice((EndpointState.READY, EndpointState.DRAINING)),
                        started,
                    )
                ]
            )
        for request, attempt in [key for key in self.open_attempts if rng.random() < 0.3]:
            result = rng.choice(
                (AttemptResult.OK, AttemptResult.OK, AttemptResult.ERROR, AttemptResult.FULL)
            )
            self.end_attempt(request, attempt, result, rng.uniform(10, 200))

    def complete_request(self, request: int, deadline_in_ms: float) -> None:
        """Complete a request, and start its deadline and the timeout of its attempt."""
        self.handle(RequestCompleted(request, self.now_ms + deadline_in_ms))
        for key, limit in self.upload_timeouts_ms.items():
            if key[0] == request and key in self.open_attempts:
                self.open_attempts[key] = self.now_ms + min(limit, deadline_in_ms)

    def start_response(self, request: int, attempt: int) -> None:
        """Start to stream a response, which is the final answer; its attempt stays open."""
        assert request in self.unfinished
        self.unfinished.discard(request)
        self.answers[request] = "served"
        target = self.attempts[request][attempt][1].id
        self.open_attempts[request, attempt] = math.inf
        self.handle(ResponseStarted(request, attempt, target, 50.0))

    def end_attempt(
        self,
        request: int,
        attempt: int,
        result: AttemptResult,
        elapsed_ms: float = 50.0,
        body_consumed: bool = False,
    ) -> list[object]:
        del self.open_attempts[(request, attempt)]
        if body_consumed:
            self.consumed.add(request)
        if result in NOT_EXECUTED_RESULTS and not (
            result == AttemptResult.FULL and self.config.full_possibly_executed
        ):
            del self.possibly_executed[request][attempt]
        if result in (AttemptResult.TIMEOUT, AttemptResult.RESET, AttemptResult.CANCELLED):
            cooldown = (request, self.now_ms + self.config.key_cooldown_ms)
            self.cooldowns.setdefault(self.requests[request].key, []).append(cooldown)
        if result == AttemptResult.OK and request in self.unfinished:
            self.unfinished.discard(request)
            self.answers[request] = "served"
        finished = request not in self.unfinished
        target = self.attempts[request][attempt][1].id
        return self.handle(
            AttemptEnded(
                request, target, finished, result, attempt, elapsed_ms, body_consumed=body_consumed
            )
        )

    def change_settings(
        self, config: Settings, reset_classes: frozenset[int], live_classes: frozenset[int]
    ) -> None:
        self.config = config
        self.handle(SettingsChanged(config, live_classes, reset_classes))

    def cancel_request(self, request: int) -> None:
        self.unfinished.discard(request)
        self.answers[request] = "cancelled"
        self.handle(RequestCancelled(request))

    def advance(self, passed_ms: float) -> None:
        """Advance the clock: fire timers, time out attempts, and check all deadlines."""
        end = self.now_ms + passed_ms
        while True:
            due = [(at, 0, token, 0) for at, token in self.timers]
            due += [
                (at, 1, request, attempt) for (request, attempt), at in self.open_attempts.items()
            ]
            due = sorted(item for item in due if item[0] <= end)
            if not due:
                break
            at, is_attempt, first, second = due[0]
            self.now_ms = max(self.now_ms, at)
            if is_attempt == 0:
                self.timers.remove((at, first))
                self.handle(TimerFired(first))
            else:
                sent = self.attempts[first][second][0]
                self.end_attempt(first, second, AttemptResult.TIMEOUT, self.now_ms - sent)
        self.now_ms = end
        for number in self.unfinished:
            assert (
                self.requests[number].deadline_at_ms >= self.now_ms
            ), f"request {number} has no final answer by its deadline"

    def _apply(self, action: object) -> None:
        if isinstance(action, Send):
            self._check_send(action)
        elif isinstance(action, Shed | Fail):
            assert action.id in self.unfinished, "request got a second final answer"
            self.unfinished.discard(action.id)
            self.answers[action.id] = "shed" if isinstance(action, Shed) else "failed"
            cls = self.request_classes[action.id]
            harmless = cls.idempotency is Idempotency.IDEMPOTENT or (
                cls.idempotency is Idempotency.KEYED
                and cls.deduplication_scope is DeduplicationScope.ALL
            )
            if isinstance(action, Shed) and not harmless:
                assert not self.possibly_executed[
                    action.id
                ], "request was shed although it may have been executed"
        elif isinstance(action, CancelAttempt):
            assert self.config.may_cancel
            assert action.attempt < len(
                self.attempts[action.id]
            ), "attempt was cancelled that was never sent"
        elif isinstance(action, SetTimer):
            assert action.delay_ms >= 0
            self.timers.append((self.now_ms + action.delay_ms, action.token))
        elif not isinstance(action, Log):
            assert isinstance(action, Subscribe)
            assert self.config.polls_endpoints

    def _check_key_order(self, number: int) -> None:
        key = self.requests[number].key
        queue = self.key_queues.get(key, [])
        if number not in queue:
            return
        earlier = set(queue[: queue.index(number)])
        assert (
            not earlier & self.unfinished
        ), "sent while an earlier request of its key is unfinished"
        assert not any(
            request in earlier for request, _ in self.open_attempts
        ), "sent while an attempt of an earlier request of its key is open"
        cooldowns = [
            until
            for request, until in self.cooldowns.get(key, [])
            if request in earlier and until > self.now_ms
        ]
        assert not cooldowns, "sent during the cooldown of its key"

    def _check_send(self, action: Send) -> None:
        request = self.requests[action.id]
        cls = self.request_classes[action.id]
        assert action.id in self.unfinished, "sent after the final answer"
        assert (
            self.states[action.endpoint_id] is EndpointState.READY
        ), "sent to an endpoint that is draining or gone"
        assert len(self.attempts[action.id]) < self.config.max_attempts
        target = self.endpoints[action.endpoint_id]
        open_attempts = [key for key in self.open_attempts if key[0] == action.id]
        assert not open_attempts, "two attempts of a request at once"
        self._check_key_order(action.id)
        earlier = self.possibly_executed[action.id].values()
        if cls.idempotency is Idempotency.NON_IDEMPOTENT:
            assert not earlier, "a non-idempotent request was sent again"
        elif cls.idempotency is Idempotency.KEYED:
            for sent, other in earlier:
                assert (
                    self.now_ms - sent <= cls.deduplication_window_ms
                ), "a keyed request was sent again after its deduplication window"
                assert (
                    cls.deduplication_scope is not DeduplicationScope.ZONE
                    or other.zone == target.zone
                )
                assert (
                    cls.deduplication_scope is not DeduplicationScope.CELL
                    or other.cell == target.cell
                )
        number = len(self.attempts[action.id])
        self.attempts[action.id].append((self.now_ms, target))
        self.possibly_executed[action.id][number] = (self.now_ms, target)
        assert action.id not in self.consumed, "sent again although its body is gone"
        timeout_ms = (
            min(action.timeout_ms, request.deadline_at_ms - self.now_ms)
            if action.timeout_ms > 0
            else request.deadline_at_ms - self.now_ms
        )
        if not request.complete:
            assert 0 < action.timeout_ms < math.inf
            self.upload_timeouts_ms[action.id, number], timeout_ms = action.timeout_ms, math.inf
        self.open_attempts[(action.id, number)] = self.now_ms + max(timeout_ms, 0.0)
