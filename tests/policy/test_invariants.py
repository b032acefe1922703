"""The six rules under random legal events, asserted from outside by the stage."""

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
from badgercart.reload.numbers import assign_indexes
from tests.policy.support import KEYED, SAFE, UNSAFE, Stage, server, settings

ZONED = replace(KEYED, deduplication_scope=DeduplicationScope.ZONE, deduplication_window_ms=300.0)
CELLED = replace(KEYED, deduplication_scope=DeduplicationScope.CELL, deduplication_window_ms=300.0)
LATE = RequestClass(
    latency_objective_ms=200.0,
    deadline_ms=1000.0,
    priority_weight=3.0,
    idempotency=Idempotency.IDEMPOTENT,
    late_value_share=0.5,
)
ORDERED = replace(UNSAFE, serialized_by_key=True)
ORDERED_TOO = replace(SAFE, serialized_by_key=True)
CLASSES = (SAFE, KEYED, UNSAFE, ZONED, CELLED, LATE, ORDERED, ORDERED_TOO)

STEP = st.tuples(st.integers(0, 13), st.integers(0, 10**6))


def retune(stage: Stage, live: dict[int, RequestClass], number: int) -> dict[int, RequestClass]:
    """Other classes, attempts and shares: some classes go, some come, also under an old number."""
    names = {cls: at for at, cls in live.items()}
    wanted = [cls for at, cls in enumerate(CLASSES) if number >> at & 1] or [UNSAFE]
    numbers, fresh = assign_indexes([str(c) for c in wanted], {str(c): at for c, at in names.items()},
                                stage.policy.lifecycle.active_use()[0])  # fmt: skip
    now = {numbers[str(cls)]: cls for cls in wanted}
    terms = [*stage.config.classes, *[UNSAFE] * len(CLASSES)][
        : max(len(stage.config.classes), 1 + max(now))
    ]
    for at, cls in now.items():
        terms[at] = cls
    changes = {
        "classes": tuple(terms),
        "max_attempts": 1 + number % 4,
        "over_quota_weight": number % 3 / 2,
    }
    stage.retune(replace(stage.config, **changes), frozenset(fresh), frozenset(now))  # type: ignore[arg-type]
    return now


@seed(7)
@profile(max_examples=150, deadline=None, derandomize=True, database=None)
@given(
    steps=st.lists(STEP, max_size=120),
    cancel=st.booleans(),
    ask=st.booleans(),
    warm=st.booleans(),
    quotas=st.booleans(),
    no_proof=st.booleans(),
    rest=st.sampled_from([0.0, 40.0, 2000.0]),
    count=st.integers(0, 9),
)
def test_rules_hold_for_any_legal_events(
    steps: list[tuple[int, int]],
    cancel: bool,
    ask: bool,
    warm: bool,
    quotas: bool,
    no_proof: bool,
    rest: float,
    count: int,
) -> None:
    config = settings(
        classes=CLASSES,
        may_cancel=cancel,
        polls_endpoints=ask,
        key_affinity=warm,
        quotas_per_s=(5.0, 50.0) if quotas else (),
        over_quota_weight=0.1,
        full_possibly_executed=no_proof,
        key_cooldown_ms=rest,
    )
    stage = Stage(config, seed=len(steps), servers=count)
    results = [
        AttemptResult.OK,
        AttemptResult.ERROR,
        AttemptResult.FULL,
        AttemptResult.UNREACHABLE,
        AttemptResult.RESET,
        AttemptResult.NOT_SENT,
    ]
    live = dict(enumerate(CLASSES))
    for what, number in steps:
        if what <= 3:
            due = (2.0, 90.0, 900.0)[number % 3]
            stage.request(
                [*live][number % len(live)], due, key=number % 5, tenant=number % 2 if quotas else 0
            )
        elif what <= 6 and stage.open:
            attempt = sorted(stage.open)[number % len(stage.open)]
            may_spend = attempt[0] in stage.owed and not stage.requests[attempt[0]].complete
            stage.outcome(
                *attempt, results[number % len(results)], spent=may_spend and number % 2 == 0
            )
        elif what == 7:
            stage.advance(float(number % 400))
        elif what == 8 and stage.owed:
            stage.withdraw(sorted(stage.owed)[number % len(stage.owed)])
        elif what == 11:
            stage.request([*live][number % len(live)], key=number % 5, whole=False)
        elif what == 12 and (
            partial := [n for n in sorted(stage.owed) if not stage.requests[n].complete]
        ):
            stage.whole(partial[number % len(partial)], (2.0, 90.0, 900.0)[number % 3])
        elif what == 13:
            if begin := [key for key in sorted(stage.open) if key[0] in stage.owed]:
                stage.began(*begin[number % len(begin)])
        elif what == 10:
            live = retune(stage, live, number)
        else:
            entry = server(
                number % 12, list(EndpointState)[number % 3], stage.now if number % 7 == 0 else 0.0
            )
            kind = (UpdateKind.DELTA, UpdateKind.SNAPSHOT, UpdateKind.FAILED)[number % 3]
            if kind is UpdateKind.SNAPSHOT:
                entry = replace(entry, state=EndpointState.READY)
            if kind is UpdateKind.FAILED and ask:
                stage.give(EndpointUpdate(UpdateKind.FAILED, 0, []))
            elif kind is not UpdateKind.FAILED:
                stage.list([entry], kind)
    for number in sorted(stage.owed):
        if not stage.requests[number].complete:
            stage.whole(number, 900.0)
    stage.advance(1000.0)
    assert not stage.owed
    assert set(stage.answers) == set(stage.requests)
    for key in sorted(
        stage.open
    ):  # answers that still go on, and attempts nobody waits for any more
        stage.outcome(*key, AttemptResult.OK)
    assert (
        stage.policy.overload.concurrency.current == 0
        and not stage.policy.lifecycle.streaming
        and not stage.policy.lifecycle.requests
    )
    assert not any(
        s.open_attempts or s.uploads for s in stage.policy.fleet.endpoints.by_id.values()
    )


@pytest.mark.parametrize("cls", range(len(CLASSES)))
def test_answers_when_no_server_is_ready(cls: int) -> None:
    stage = Stage(settings(classes=CLASSES), servers=0)
    number = stage.request(cls)
    stage.advance(1000.0)
    assert stage.answers[number] == "refused"


def test_answers_when_all_attempts_are_used() -> None:
    stage = Stage(settings(max_attempts=2))
    number = stage.request(2)
    while stage.open:
        stage.outcome(*next(iter(stage.open)), AttemptResult.FULL)
    assert len(stage.attempts[number]) <= 2
    assert stage.answers[number] == "refused"


def test_unsafe_request_that_may_have_run_fails_and_is_never_sent_again() -> None:
    for result in (AttemptResult.ERROR, AttemptResult.RESET, AttemptResult.TIMEOUT):
        stage = Stage(settings())
        number = stage.request(2)
        stage.outcome(number, 0, result)
        assert stage.answers[number] == "failed"
        assert len(stage.attempts[number]) == 1


def test_drained_server_gets_nothing_from_the_moment_the_list_says_so() -> None:
    stage = Stage(settings(), servers=2)
    stage.list([server(0, EndpointState.DRAINING)])
    for _ in range(30):
        stage.request(0)
    assert {entry.id for sends in stage.attempts.values() for _, entry in sends} == {1}


def test_whole_list_that_omits_a_server_drops_it() -> None:
    stage = Stage(settings(), servers=2)
    stage.list([server(1)], UpdateKind.SNAPSHOT)
    for _ in range(30):
        stage.request(0)
    assert {entry.id for sends in stage.attempts.values() for _, entry in sends} == {1}


def test_full_is_no_proof_where_the_settings_say_so() -> None:
    # 'full' was always taken as proof: buys went out twice (busan-tickets, simulated: 'duplicate'
    # on 6 days).
    for no_proof, attempts, answer in ((False, 4, "refused"), (True, 1, "failed")):
        stage = Stage(settings(classes=(UNSAFE,), full_possibly_executed=no_proof))
        number = stage.request()
        while stage.open:
            stage.outcome(*next(iter(stage.open)), AttemptResult.FULL)
        assert (len(stage.attempts[number]), stage.answers[number]) == (attempts, answer)


def test_keyed_request_turned_away_without_proof_stays_in_its_zone() -> None:
    stage = Stage(
        settings(
            classes=(replace(ZONED, deduplication_window_ms=5000.0),), full_possibly_executed=True
        ),
        servers=9,
    )
    for _ in range(40):
        number = stage.request()
        while (number, len(stage.attempts[number]) - 1) in stage.open:
            stage.outcome(number, len(stage.attempts[number]) - 1, AttemptResult.FULL)
        assert stage.answers[number] == ("failed" if stage.attempts[number] else "refused")
    assert any(stage.attempts.values())


def ordered(**changes: object) -> Stage:
    return Stage(settings(classes=(ORDERED, ORDERED_TOO, UNSAFE), **changes))


def test_requests_of_a_key_run_one_at_a_time_in_order() -> None:
    # Keyed order was not known at all (central-rehearsal, simulated: 'order' broken on every day).
    stage = ordered()
    line = [stage.request(step % 2, key=7) for step in range(3)]
    other, free = stage.request(0, key=8), stage.request(2, key=7)
    assert [len(stage.attempts[n]) for n in [*line, other, free]] == [1, 0, 0, 1, 1]
    stage.outcome(line[0], 0, AttemptResult.OK)
    assert [len(stage.attempts[n]) for n in line] == [1, 1, 0]
    stage.withdraw(line[2])  # from the middle of the line
    last = stage.request(0, key=7)
    stage.outcome(line[1], 0, AttemptResult.OK)
    assert len(stage.attempts[last]) == 1


def test_requests_without_a_key_do_not_wait() -> None:
    stage = ordered()
    assert all(stage.attempts[stage.request(0, key=0)] for _ in range(4))


def test_next_of_a_key_waits_for_open_attempts_of_a_finished_request() -> None:
    stage = ordered(may_cancel=False)
    first, second = stage.request(0, key=7), stage.request(0, key=7)
    stage.withdraw(first)
    assert not stage.attempts[second]
    stage.outcome(first, 0, AttemptResult.ERROR)
    assert len(stage.attempts[second]) == 1


@pytest.mark.parametrize(
    "result", [AttemptResult.RESET, AttemptResult.TIMEOUT, AttemptResult.CANCELLED]
)
def test_key_rests_after_an_attempt_that_may_run_on(result: AttemptResult) -> None:
    stage = ordered(key_cooldown_ms=120.0)
    first, second = stage.request(0, key=7), stage.request(0, key=7)
    stage.outcome(first, 0, result)
    stage.advance(119.0)
    assert not stage.attempts[second]
    stage.advance(2.0)  # by timer: no other event comes
    assert len(stage.attempts[second]) == 1


def test_own_further_attempts_do_not_wait_for_the_rest() -> None:
    stage = ordered(key_cooldown_ms=120.0)
    number = stage.request(1, key=7)
    stage.outcome(number, 0, AttemptResult.RESET)
    assert len(stage.attempts[number]) == 2


def test_held_requests_are_answered_by_timer_alone() -> None:
    stage = ordered(may_cancel=False)
    first = stage.request(0, key=7)
    held = stage.request(0, key=7)
    stage.withdraw(first)
    del stage.open[(first, 0)]  # its outcome never comes
    stage.advance(1000.0)
    assert stage.answers[held] == "refused"


def test_line_that_outgrows_its_time_is_refused_early() -> None:
    stage = ordered()
    for _ in range(200):  # answers take 100 ms
        stage.now += 200
        stage.outcome(stage.request(2), 0, AttemptResult.OK, 100.0)
        stage.outcome(stage.request(0, key=9), 0, AttemptResult.OK, 100.0)
    numbers = [stage.request(0, key=7) for _ in range(30)]
    refused = [n for n in numbers if stage.answers.get(n) == "refused"]
    assert 20 < len(refused) < 29
    assert refused == numbers[-len(refused) :]


def test_order_is_forgotten_with_the_node_and_its_keys_are_not_kept_for_ever() -> None:
    stage = ordered()
    for key in range(1, 300):
        stage.outcome(stage.request(0, key=key), 0, AttemptResult.OK)
        stage.now += 100
    assert len(stage.policy.key_queues.by_key) < 150


def test_server_that_restarts_under_its_own_id_is_cold_again() -> None:
    stage = Stage(settings(classes=(SAFE,), cluster_size=5), servers=6)
    counts = []
    for step in range(900):
        stage.now += 10
        if step == 600:
            stage.list([server(0, started=stage.now)])
        stage.outcome(stage.request(), 0, AttemptResult.OK)
        if step in (299, 599, 899):
            counts.append(
                sum(entry.id == 0 for sends in stage.attempts.values() for _, entry in sends)
            )
    assert counts[2] - counts[1] < 0.6 * (counts[1] - counts[0])


def test_new_node_before_a_wholly_cold_fleet_takes_its_small_part() -> None:
    # It knows no traffic yet: all nodes of its kind together must stay under what cold servers can
    # do.
    nodes, sent = 60, [0] * 8
    for me in range(nodes):
        stage = Stage(
            settings(classes=(SAFE,), cluster_size=nodes, node_index=me), seed=me, servers=0
        )
        stage.list([server(i, started=stage.now) for i in range(8)], UpdateKind.SNAPSHOT)
        for _ in range(10):
            stage.now += 100
            stage.request()
        for sends in stage.attempts.values():
            for _, entry in sends:
                sent[entry.id] += 1
    # One at a time with answers of 100 ms is 10 a second when warm; a fifth of it, times the
    # multiple.
    assert sum(sent) > 0
    assert max(sent) <= 10 * 0.2 * 2.5 + 5


def test_reborn_node_knows_nothing_of_the_requests_before() -> None:
    stage = ordered()
    stage.request(0, key=7)
    again = ordered()
    number = again.request(0, key=7)
    assert len(again.attempts[number]) == 1
    assert again.policy.handle(again.now, RequestCancelled(99)) == []


def test_broken_subscription_is_renewed_in_time() -> None:
    stage = Stage(settings(polls_endpoints=True, poll_interval_ms=5000.0), servers=3)
    stage.advance(300.0)
    stage.list([server(i) for i in range(3)], UpdateKind.SNAPSHOT)
    asked = sum(isinstance(action, Subscribe) for action in stage.log)
    stage.give(EndpointUpdate(UpdateKind.FAILED, 0, []))
    stage.advance(1300.0)
    assert sum(isinstance(action, Subscribe) for action in stage.log) > asked
