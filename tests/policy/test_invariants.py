"""The obligations of the policy under random legal events, asserted by the driver."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given, seed
from hypothesis import settings as profile
from hypothesis import strategies as st

from badgercart.policy.actions import Subscribe
from badgercart.policy.endpoint import EndpointState
from badgercart.policy.events import AttemptResult, EndpointUpdate, RequestCancelled, UpdateKind
from badgercart.policy.settings import DeduplicationScope, Idempotency, RequestClass
from badgercart.reload.index_assignment import assign_indexes
from tests.policy.support import KEYED, SAFE, UNSAFE, PolicyDriver, endpoint, make_settings

ZONED = replace(KEYED, deduplication_scope=DeduplicationScope.ZONE, deduplication_window_ms=300.0)
CELLED = replace(KEYED, deduplication_scope=DeduplicationScope.CELL, deduplication_window_ms=300.0)
LATE_VALUE = RequestClass(
    latency_objective_ms=200.0,
    deadline_ms=1000.0,
    priority_weight=3.0,
    idempotency=Idempotency.IDEMPOTENT,
    late_value_share=0.5,
)
SERIALIZED = replace(UNSAFE, serialized_by_key=True)
SERIALIZED_SAFE = replace(SAFE, serialized_by_key=True)
CLASSES = (SAFE, KEYED, UNSAFE, ZONED, CELLED, LATE_VALUE, SERIALIZED, SERIALIZED_SAFE)

STEP = st.tuples(st.integers(0, 13), st.integers(0, 10**6))


def change_random_settings(
    driver: PolicyDriver, live_classes: dict[int, RequestClass], number: int
) -> dict[int, RequestClass]:
    """Change settings: classes are removed and added, also under an index used before."""
    indexes = {request_class: index for index, request_class in live_classes.items()}
    new_classes = [
        request_class for index, request_class in enumerate(CLASSES) if number >> index & 1
    ] or [UNSAFE]
    new_indexes, reset_classes = assign_indexes(
        [str(request_class) for request_class in new_classes],
        {str(request_class): index for request_class, index in indexes.items()},
        driver.policy.lifecycle.active_use()[0],
    )
    by_index = {new_indexes[str(request_class)]: request_class for request_class in new_classes}
    classes = [*driver.config.classes, *[UNSAFE] * len(CLASSES)][
        : max(len(driver.config.classes), 1 + max(by_index))
    ]
    for index, request_class in by_index.items():
        classes[index] = request_class
    changes = {
        "classes": tuple(classes),
        "max_attempts": 1 + number % 4,
        "over_quota_weight": number % 3 / 2,
    }
    config = replace(driver.config, **changes)  # type: ignore[arg-type]
    driver.change_settings(config, frozenset(reset_classes), frozenset(by_index))
    return by_index


@seed(7)
@profile(max_examples=150, deadline=None, derandomize=True, database=None)
@given(
    steps=st.lists(STEP, max_size=120),
    may_cancel=st.booleans(),
    polls_endpoints=st.booleans(),
    key_affinity=st.booleans(),
    has_quotas=st.booleans(),
    full_possibly_executed=st.booleans(),
    key_cooldown_ms=st.sampled_from([0.0, 40.0, 2000.0]),
    endpoint_count=st.integers(0, 9),
)
def test_obligations_hold_for_any_legal_events(
    steps: list[tuple[int, int]],
    may_cancel: bool,
    polls_endpoints: bool,
    key_affinity: bool,
    has_quotas: bool,
    full_possibly_executed: bool,
    key_cooldown_ms: float,
    endpoint_count: int,
) -> None:
    config = make_settings(
        classes=CLASSES,
        may_cancel=may_cancel,
        polls_endpoints=polls_endpoints,
        key_affinity=key_affinity,
        quotas_per_s=(5.0, 50.0) if has_quotas else (),
        over_quota_weight=0.1,
        full_possibly_executed=full_possibly_executed,
        key_cooldown_ms=key_cooldown_ms,
    )
    driver = PolicyDriver(config, seed=len(steps), endpoint_count=endpoint_count)
    results = [
        AttemptResult.OK,
        AttemptResult.ERROR,
        AttemptResult.FULL,
        AttemptResult.UNREACHABLE,
        AttemptResult.RESET,
        AttemptResult.NOT_SENT,
    ]
    live_classes = dict(enumerate(CLASSES))
    for step_kind, number in steps:
        if step_kind <= 3:
            deadline_in_ms = (2.0, 90.0, 900.0)[number % 3]
            driver.add_request(
                [*live_classes][number % len(live_classes)],
                deadline_in_ms,
                key=number % 5,
                tenant=number % 2 if has_quotas else 0,
            )
        elif step_kind <= 6 and driver.open_attempts:
            attempt = sorted(driver.open_attempts)[number % len(driver.open_attempts)]
            may_consume = (
                attempt[0] in driver.unfinished and not driver.requests[attempt[0]].complete
            )
            driver.end_attempt(
                *attempt,
                results[number % len(results)],
                body_consumed=may_consume and number % 2 == 0,
            )
        elif step_kind == 7:
            driver.advance(float(number % 400))
        elif step_kind == 8 and driver.unfinished:
            driver.cancel_request(sorted(driver.unfinished)[number % len(driver.unfinished)])
        elif step_kind == 11:
            driver.add_request(
                [*live_classes][number % len(live_classes)], key=number % 5, complete=False
            )
        elif step_kind == 12 and (
            incomplete := [n for n in sorted(driver.unfinished) if not driver.requests[n].complete]
        ):
            driver.complete_request(
                incomplete[number % len(incomplete)], (2.0, 90.0, 900.0)[number % 3]
            )
        elif step_kind == 13:
            if startable := [
                key for key in sorted(driver.open_attempts) if key[0] in driver.unfinished
            ]:
                driver.start_response(*startable[number % len(startable)])
        elif step_kind == 10:
            live_classes = change_random_settings(driver, live_classes, number)
        else:
            entry = endpoint(
                number % 12,
                list(EndpointState)[number % 3],
                driver.now_ms if number % 7 == 0 else 0.0,
            )
            kind = (UpdateKind.DELTA, UpdateKind.SNAPSHOT, UpdateKind.FAILED)[number % 3]
            if kind is UpdateKind.SNAPSHOT:
                entry = replace(entry, state=EndpointState.READY)
            if kind is UpdateKind.FAILED and polls_endpoints:
                driver.handle(EndpointUpdate(UpdateKind.FAILED, 0, []))
            elif kind is not UpdateKind.FAILED:
                driver.update_endpoints([entry], kind)
    for number in sorted(driver.unfinished):
        if not driver.requests[number].complete:
            driver.complete_request(number, 900.0)
    driver.advance(1000.0)
    assert not driver.unfinished
    assert set(driver.answers) == set(driver.requests)
    # Streamed responses, and open attempts of finished requests.
    for key in sorted(driver.open_attempts):
        driver.end_attempt(*key, AttemptResult.OK)
    assert (
        driver.policy.overload.concurrency.current == 0
        and not driver.policy.lifecycle.streaming
        and not driver.policy.lifecycle.requests
    )
    assert not any(
        s.open_attempts or s.uploads for s in driver.policy.fleet.endpoints.by_id.values()
    )


@pytest.mark.parametrize("class_index", range(len(CLASSES)))
def test_a_request_is_shed_when_no_endpoint_is_ready(class_index: int) -> None:
    driver = PolicyDriver(make_settings(classes=CLASSES), endpoint_count=0)
    number = driver.add_request(class_index)
    driver.advance(1000.0)
    assert driver.answers[number] == "shed"


def test_a_request_is_shed_when_all_attempts_are_used() -> None:
    driver = PolicyDriver(make_settings(max_attempts=2))
    number = driver.add_request(2)
    while driver.open_attempts:
        driver.end_attempt(*next(iter(driver.open_attempts)), AttemptResult.FULL)
    assert len(driver.attempts[number]) <= 2
    assert driver.answers[number] == "shed"


def test_non_idempotent_request_fails_after_an_attempt_that_may_have_been_executed() -> None:
    for result in (AttemptResult.ERROR, AttemptResult.RESET, AttemptResult.TIMEOUT):
        driver = PolicyDriver(make_settings())
        number = driver.add_request(2)
        driver.end_attempt(number, 0, result)
        assert driver.answers[number] == "failed"
        assert len(driver.attempts[number]) == 1


def test_draining_endpoint_gets_nothing_from_its_update_on() -> None:
    driver = PolicyDriver(make_settings(), endpoint_count=2)
    driver.update_endpoints([endpoint(0, EndpointState.DRAINING)])
    for _ in range(30):
        driver.add_request(0)
    assert {entry.id for sends in driver.attempts.values() for _, entry in sends} == {1}


def test_snapshot_removes_endpoints_that_it_omits() -> None:
    driver = PolicyDriver(make_settings(), endpoint_count=2)
    driver.update_endpoints([endpoint(1)], UpdateKind.SNAPSHOT)
    for _ in range(30):
        driver.add_request(0)
    assert {entry.id for sends in driver.attempts.values() for _, entry in sends} == {1}


def test_full_is_no_proof_if_the_settings_say_so() -> None:
    # FULL was always taken as proof that nothing was executed, and purchases were executed twice.
    for full_possibly_executed, attempts, answer in ((False, 4, "shed"), (True, 1, "failed")):
        driver = PolicyDriver(
            make_settings(classes=(UNSAFE,), full_possibly_executed=full_possibly_executed)
        )
        number = driver.add_request()
        while driver.open_attempts:
            driver.end_attempt(*next(iter(driver.open_attempts)), AttemptResult.FULL)
        assert (len(driver.attempts[number]), driver.answers[number]) == (attempts, answer)


def test_keyed_request_after_a_full_without_proof_stays_in_its_zone() -> None:
    driver = PolicyDriver(
        make_settings(
            classes=(replace(ZONED, deduplication_window_ms=5000.0),), full_possibly_executed=True
        ),
        endpoint_count=9,
    )
    for _ in range(40):
        number = driver.add_request()
        while (number, len(driver.attempts[number]) - 1) in driver.open_attempts:
            driver.end_attempt(number, len(driver.attempts[number]) - 1, AttemptResult.FULL)
        assert driver.answers[number] == ("failed" if driver.attempts[number] else "shed")
    assert any(driver.attempts.values())


def serialized_driver(**changes: object) -> PolicyDriver:
    classes = (SERIALIZED, SERIALIZED_SAFE, UNSAFE)
    return PolicyDriver(make_settings(classes=classes, **changes))


def test_requests_of_a_key_are_executed_one_at_a_time_in_order() -> None:
    # The policy did not serialize by key at all, and requests were executed out of order.
    driver = serialized_driver()
    queue = [driver.add_request(step % 2, key=7) for step in range(3)]
    other, unserialized = driver.add_request(0, key=8), driver.add_request(2, key=7)
    assert [len(driver.attempts[n]) for n in [*queue, other, unserialized]] == [1, 0, 0, 1, 1]
    driver.end_attempt(queue[0], 0, AttemptResult.OK)
    assert [len(driver.attempts[n]) for n in queue] == [1, 1, 0]
    driver.cancel_request(queue[2])  # in the middle of the queue
    last = driver.add_request(0, key=7)
    driver.end_attempt(queue[1], 0, AttemptResult.OK)
    assert len(driver.attempts[last]) == 1


def test_requests_without_a_key_do_not_wait() -> None:
    driver = serialized_driver()
    assert all(driver.attempts[driver.add_request(0, key=0)] for _ in range(4))


def test_next_request_of_a_key_waits_for_open_attempts_of_a_finished_one() -> None:
    driver = serialized_driver(may_cancel=False)
    first, second = driver.add_request(0, key=7), driver.add_request(0, key=7)
    driver.cancel_request(first)
    assert not driver.attempts[second]
    driver.end_attempt(first, 0, AttemptResult.ERROR)
    assert len(driver.attempts[second]) == 1


@pytest.mark.parametrize(
    "result", [AttemptResult.RESET, AttemptResult.TIMEOUT, AttemptResult.CANCELLED]
)
def test_key_has_a_cooldown_after_an_attempt_that_may_still_be_executing(
    result: AttemptResult,
) -> None:
    driver = serialized_driver(key_cooldown_ms=120.0)
    first, second = driver.add_request(0, key=7), driver.add_request(0, key=7)
    driver.end_attempt(first, 0, result)
    driver.advance(119.0)
    assert not driver.attempts[second]
    driver.advance(2.0)  # the timer alone sends it
    assert len(driver.attempts[second]) == 1


def test_retries_of_a_request_do_not_wait_for_its_own_cooldown() -> None:
    driver = serialized_driver(key_cooldown_ms=120.0)
    number = driver.add_request(1, key=7)
    driver.end_attempt(number, 0, AttemptResult.RESET)
    assert len(driver.attempts[number]) == 2


def test_waiting_requests_are_ended_by_a_timer_alone() -> None:
    driver = serialized_driver(may_cancel=False)
    first = driver.add_request(0, key=7)
    waiting = driver.add_request(0, key=7)
    driver.cancel_request(first)
    del driver.open_attempts[(first, 0)]  # its end is never reported
    driver.advance(1000.0)
    assert driver.answers[waiting] == "shed"


def test_requests_too_far_back_in_a_queue_are_shed_early() -> None:
    driver = serialized_driver()
    for _ in range(200):  # the latency is 100 ms
        driver.now_ms += 200
        driver.end_attempt(driver.add_request(2), 0, AttemptResult.OK, 100.0)
        driver.end_attempt(driver.add_request(0, key=9), 0, AttemptResult.OK, 100.0)
    numbers = [driver.add_request(0, key=7) for _ in range(30)]
    shed = [number for number in numbers if driver.answers.get(number) == "shed"]
    assert 20 < len(shed) < 29
    assert shed == numbers[-len(shed) :]


def test_key_queues_are_pruned() -> None:
    driver = serialized_driver()
    for key in range(1, 300):
        driver.end_attempt(driver.add_request(0, key=key), 0, AttemptResult.OK)
        driver.now_ms += 100
    assert len(driver.policy.key_queues.by_key) < 150


def test_endpoint_that_restarts_under_its_id_is_in_slow_start_again() -> None:
    driver = PolicyDriver(make_settings(classes=(SAFE,), cluster_size=5), endpoint_count=6)
    counts = []
    for step in range(900):
        driver.now_ms += 10
        if step == 600:
            driver.update_endpoints([endpoint(0, started=driver.now_ms)])
        driver.end_attempt(driver.add_request(), 0, AttemptResult.OK)
        if step in (299, 599, 899):
            counts.append(
                sum(entry.id == 0 for sends in driver.attempts.values() for _, entry in sends)
            )
    assert counts[2] - counts[1] < 0.6 * (counts[1] - counts[0])


def test_new_node_sends_its_share_only_to_a_fleet_in_slow_start() -> None:
    # It has learned nothing yet: all such nodes together must not overload starting endpoints.
    nodes, sent = 60, [0] * 8
    for me in range(nodes):
        driver = PolicyDriver(
            make_settings(classes=(SAFE,), cluster_size=nodes, node_index=me),
            seed=me,
            endpoint_count=0,
        )
        driver.update_endpoints(
            [endpoint(i, started=driver.now_ms) for i in range(8)], UpdateKind.SNAPSHOT
        )
        for _ in range(10):
            driver.now_ms += 100
            driver.add_request()
        for sends in driver.attempts.values():
            for _, entry in sends:
                sent[entry.id] += 1
    # An endpoint of size 1 with a latency of 100 ms serves 10 requests per second when warm. It
    # starts with a fifth of that, and collapses at 2.5 times its capacity.
    assert sum(sent) > 0
    assert max(sent) <= 10 * 0.2 * 2.5 + 5


def test_new_policy_knows_nothing_of_the_requests_of_another() -> None:
    driver = serialized_driver()
    driver.add_request(0, key=7)
    again = serialized_driver()
    number = again.add_request(0, key=7)
    assert len(again.attempts[number]) == 1
    assert again.policy.handle(again.now_ms, RequestCancelled(99)) == []


def test_broken_subscription_is_renewed_within_the_poll_interval() -> None:
    driver = PolicyDriver(
        make_settings(polls_endpoints=True, poll_interval_ms=5000.0), endpoint_count=3
    )
    driver.advance(300.0)
    driver.update_endpoints([endpoint(i) for i in range(3)], UpdateKind.SNAPSHOT)
    asked = sum(isinstance(action, Subscribe) for action in driver.actions)
    driver.handle(EndpointUpdate(UpdateKind.FAILED, 0, []))
    driver.advance(1300.0)
    assert sum(isinstance(action, Subscribe) for action in driver.actions) > asked
