"""Decisions of the whole policy, with a regression test for each fault that was found."""

from __future__ import annotations

from dataclasses import replace

import pytest

from badgercart.policy.actions import Log, Send, SetTimer, Shed, Subscribe
from badgercart.policy.endpoint import EndpointState
from badgercart.policy.error_rate import PRIOR_SUCCESSES
from badgercart.policy.events import AttemptEnded, AttemptResult, Request, UpdateKind
from badgercart.policy.overload import ERROR_RATE_FULL, ERROR_RATE_MIN
from badgercart.policy.policy import Policy
from tests.policy.support import (
    KEYED,
    SAFE,
    START_MS,
    UNSAFE,
    PolicyDriver,
    endpoint,
    make_settings,
)


def refresh_overload(policy: Policy) -> None:
    """Refresh the priority bands and the overload signal, as if no time had passed."""
    policy.priority.refresh()
    policy.overload.refresh(0.0, policy.fleet.slots, len(policy.fleet.endpoints.ready))


def refresh_limit(policy: Policy, passed_ms: float) -> None:
    policy.overload.refresh_limit(passed_ms, policy.fleet.slots, len(policy.fleet.endpoints.ready))


def set_overload(driver: PolicyDriver, level: float) -> None:
    """Set the overload signal by the error rate, and suppress the next refresh."""
    driver.policy.overload.concurrency.average = driver.policy.overload.concurrency.current = 0
    driver.policy.overload.error_rate.attempts = 1000.0
    driver.policy.overload.error_rate.failures = (
        ERROR_RATE_MIN + level * (ERROR_RATE_FULL - ERROR_RATE_MIN)
    ) * (1000.0 + PRIOR_SUCCESSES)
    refresh_overload(driver.policy)
    # No attempt ends from here on, which must not count as a burst.
    driver.policy.overload.concurrency.limit = 1e9
    driver.policy.schedule.refreshed_at_ms = driver.now_ms


def sent_endpoint_ids(driver: PolicyDriver) -> list[int]:
    return [action.endpoint_id for action in driver.actions if isinstance(action, Send)]


def test_without_overload_nothing_is_shed() -> None:
    driver = PolicyDriver(make_settings(), endpoint_count=50)
    for step in range(300):
        number = driver.add_request(step % 3)
        driver.now_ms += 10
        driver.end_attempt(number, 0, AttemptResult.OK)
    assert set(driver.answers.values()) == {"served"}


def test_shed_share_of_the_weight_is_the_cube_of_overload() -> None:
    for level in (0.5, 0.8, 1.0):
        driver = PolicyDriver(make_settings(), endpoint_count=50)
        for step in range(600):  # the bands are learned from the mix of classes
            driver.add_request(step % 3)
        set_overload(driver, level)
        lost = sum(
            driver.config.classes[step % 3].priority_weight
            for step in range(1500)
            if any(isinstance(a, Shed) for a in driver.add_request_actions(step % 3))
        )
        assert abs(lost / (500 * (10 + 1 + 1)) - level**3) < 0.07


def test_lowest_weight_is_shed_first_with_the_longest_retry_advice() -> None:
    driver = PolicyDriver(make_settings(), endpoint_count=50)
    for step in range(600):
        driver.add_request(step % 3)
    set_overload(driver, 0.5)
    shed = {class_index: 0 for class_index in range(3)}
    retry_after_ms: list[float] = []
    for step in range(900):
        for action in driver.add_request_actions(step % 3):
            if isinstance(action, Shed):
                shed[step % 3] += 1
                retry_after_ms.append(action.retry_after_ms)
    assert shed[0] == 0  # it has ten times the weight of the others
    assert shed[1] + shed[2] > 300
    assert min(retry_after_ms) > 0 and max(retry_after_ms) <= 2000.0
    low = [driver.policy.retries.retry_after_ms(1.0) for _ in range(200)]
    high = [driver.policy.retries.retry_after_ms(90.0) for _ in range(200)]
    assert min(low) > max(high)


def test_a_small_change_of_overload_does_not_shed_a_whole_class_of_high_weight() -> None:
    # Shed requests of low weight come back as retries and increase their share of the traffic.
    # With bands as wide as the count of requests, the class of high weight had a tiny band at the
    # top: none of it was shed at an overload of 0.96, and all of it at 1.
    shares = []
    for level in (0.96, 0.999):
        driver = PolicyDriver(make_settings(), endpoint_count=50)
        for step in range(600):
            driver.add_request(0 if step % 20 == 0 else 1 + step % 2)
        set_overload(driver, level)
        shares.append(
            sum(any(isinstance(a, Shed) for a in driver.add_request_actions(0)) for _ in range(300))
            / 300
        )
    assert shares[1] - shares[0] < 0.5


def play_traffic(
    driver: PolicyDriver, per_second: float, seconds: float, elapsed_ms: float = 100.0
) -> int:
    """Send requests whose latency does not depend on the load, and return how many are shed."""
    due: list[tuple[float, int]] = []
    shed, end = 0, driver.now_ms + 1000 * seconds
    while driver.now_ms < end:
        driver.now_ms += 1000 / per_second
        while due and due[0][0] <= driver.now_ms:
            driver.end_attempt(due.pop(0)[1], 0, AttemptResult.OK, elapsed_ms)
        number = driver.add_request()
        if (number, 0) in driver.open_attempts:
            due.append((driver.now_ms + elapsed_ms, number))
        shed += driver.answers.get(number) == "shed"
    for _, number in due:
        driver.end_attempt(number, 0, AttemptResult.OK, elapsed_ms)
    return shed


def test_growing_traffic_with_fast_responses_is_not_shed() -> None:
    # New requests are in flight before their responses arrive: a concurrency limit learned from
    # responses alone shed light traffic when it doubled.
    driver = PolicyDriver(make_settings(classes=(SAFE,)), endpoint_count=4)
    play_traffic(driver, 40, 10)
    for rate in (80, 160, 320):
        assert play_traffic(driver, rate, 3) == 0


def test_large_endpoints_get_more_keys_and_requests() -> None:
    # With equal shares of the ring, fast endpoints were idle while slow ones collapsed.
    for keys in (True, False):
        config = make_settings(classes=(SAFE,), key_affinity=keys)
        driver = PolicyDriver(config, endpoint_count=0)
        driver.update_endpoints(
            [replace(endpoint(i), size=4.0 if i < 10 else 1.0) for i in range(40)],
            UpdateKind.SNAPSHOT,
        )
        for step in range(2000):
            driver.now_ms += 5
            driver.end_attempt(
                driver.add_request(key=step * 7919 + 1 if keys else 0), 0, AttemptResult.OK
            )
        share = sum(s < 10 for s in sent_endpoint_ids(driver)) / 2000
        assert 0.45 < share < 0.7  # 40 of 70 units of size


def test_an_endpoint_list_without_sizes_is_served() -> None:
    driver = PolicyDriver(make_settings(classes=(SAFE,)), endpoint_count=0)
    driver.update_endpoints([replace(endpoint(i), size=0.0) for i in range(8)], UpdateKind.SNAPSHOT)
    for _ in range(50):
        driver.now_ms += 200
        driver.end_attempt(driver.add_request(), 0, AttemptResult.OK)
    assert len(set(sent_endpoint_ids(driver))) > 4


def test_a_slow_endpoint_does_not_count_as_idle_because_it_is_unused() -> None:
    # In a large fleet a node has sent hardly anything to most endpoints. With a load of 0 for no
    # attempts, a collapsed endpoint counted as idle whatever its latency.
    driver = PolicyDriver(make_settings(classes=(SAFE,)), endpoint_count=40)
    for _ in range(2000):
        driver.now_ms += 20
        number = driver.add_request()
        driver.end_attempt(
            number, 0, AttemptResult.OK, 300.0 if sent_endpoint_ids(driver)[-1] < 4 else 60.0
        )
    share = sum(s < 4 for s in sent_endpoint_ids(driver)[-1500:]) / 1500
    assert share < 0.06  # they are a tenth of the endpoints


def test_shedding_is_logged_only_when_it_starts_and_ends() -> None:
    driver = PolicyDriver(make_settings(classes=(SAFE,)), endpoint_count=20)
    lines: list[str] = []
    for step in range(2000):
        driver.now_ms += 20
        lines += [
            action.text for action in driver.add_request_actions(0) if isinstance(action, Log)
        ]
        for number, attempt in list(driver.open_attempts):
            driver.end_attempt(
                number, attempt, AttemptResult.TIMEOUT if step < 400 else AttemptResult.OK
            )
    assert 2 <= len(lines) <= 10
    assert lines[0].startswith("shedding on") and lines[-1].startswith("shedding off")


def test_traffic_beyond_a_quota_is_shed_first() -> None:
    config = make_settings(quotas_per_s=(1000.0, 10.0), over_quota_weight=0.05, classes=(SAFE,))
    driver = PolicyDriver(config, endpoint_count=50)
    for step in range(600):
        driver.now_ms += 5
        number = driver.add_request(0, tenant=step % 2)
        if (number, 0) in driver.open_attempts:
            driver.end_attempt(number, 0, AttemptResult.OK)
    set_overload(driver, 0.3)
    shed = [0, 0]
    for step in range(400):
        driver.now_ms += 0.01
        shed[step % 2] += any(
            isinstance(a, Shed) for a in driver.add_request_actions(0, tenant=step % 2)
        )
    assert shed[0] == 0
    assert shed[1] > 100


def test_selection_prefers_endpoints_with_few_own_open_attempts() -> None:
    driver = PolicyDriver(make_settings(classes=(UNSAFE,)), endpoint_count=2)
    driver.add_request()
    first = sent_endpoint_ids(driver)[0]
    for _ in range(100):
        number = driver.add_request()
        driver.end_attempt(number, 0, AttemptResult.OK)
        driver.now_ms += 1
    assert sent_endpoint_ids(driver)[1:].count(first) < 10  # a random choice would give half


def test_nodes_agree_on_the_endpoints_of_a_key() -> None:
    homes = []
    for seed in (1, 2):
        driver = PolicyDriver(
            make_settings(key_affinity=True, classes=(UNSAFE,)), seed=seed, endpoint_count=40
        )
        for key in range(1, 400):
            driver.now_ms += 100
            driver.end_attempt(driver.add_request(key=key * 7919), 0, AttemptResult.OK)
        homes.append(sent_endpoint_ids(driver))
    same = sum(a == b for a, b in zip(*homes, strict=True))
    assert same > 200  # a random choice would give about ten


def test_hot_key_is_spread_over_several_endpoints() -> None:
    driver = PolicyDriver(make_settings(key_affinity=True, classes=(UNSAFE,)), endpoint_count=40)
    for step in range(600):
        driver.now_ms += 10
        driver.end_attempt(
            driver.add_request(key=5 if step % 3 else step + 10), 0, AttemptResult.OK
        )
    homes = [
        a.endpoint_id
        for a in driver.actions
        if isinstance(a, Send) and driver.requests[a.id].key == 5
    ]
    assert len(set(homes)) > 10


def test_failing_endpoint_is_ejected_and_returns() -> None:
    driver = PolicyDriver(make_settings(classes=(UNSAFE,)), endpoint_count=4)
    bad = 0
    for _ in range(400):
        driver.now_ms += 5
        number = driver.add_request()
        sick = sent_endpoint_ids(driver)[-1] == 0
        bad += sick
        driver.end_attempt(number, 0, AttemptResult.ERROR if sick else AttemptResult.OK)
    assert bad < 40
    for _ in range(2000):
        driver.now_ms += 10
        driver.end_attempt(driver.add_request(), 0, AttemptResult.OK)
    assert sent_endpoint_ids(driver)[-200:].count(0) > 20


def test_endpoint_that_only_answers_full_is_ejected() -> None:
    # Such an endpoint drains before the endpoint list shows it, or is stuck. Its quick responses
    # must not attract traffic.
    driver = PolicyDriver(make_settings(classes=(UNSAFE,)), endpoint_count=4)
    for _ in range(400):
        driver.now_ms += 5
        number = driver.add_request()
        while (number, len(driver.attempts[number]) - 1) in driver.open_attempts:
            result = AttemptResult.FULL if sent_endpoint_ids(driver)[-1] == 0 else AttemptResult.OK
            driver.end_attempt(
                number,
                len(driver.attempts[number]) - 1,
                result,
                0.5 if result is AttemptResult.FULL else 50.0,
            )
    assert sent_endpoint_ids(driver).count(0) < 30


def test_a_few_failing_endpoints_are_no_overload() -> None:
    driver = PolicyDriver(make_settings(classes=(UNSAFE,)), endpoint_count=20)
    worst = 0.0
    for step in range(1000):
        driver.now_ms += 5
        number = driver.add_request()
        if driver.open_attempts:
            driver.end_attempt(
                number,
                0,
                AttemptResult.ERROR if sent_endpoint_ids(driver)[-1] < 3 else AttemptResult.OK,
            )
        if step > 100:  # they are ejected by then
            worst = max(worst, driver.policy.overload.error_rate.rate)
    assert driver.policy.overload.shed_threshold == 0.0
    assert worst < 0.1


def test_one_endpoint_without_responses_does_not_fill_the_in_flight_count() -> None:
    driver = PolicyDriver(
        make_settings(classes=(replace(UNSAFE, latency_objective_ms=5000.0, deadline_ms=6000.0),)),
        endpoint_count=10,
    )
    for _ in range(300):
        driver.now_ms += 20
        number = driver.add_request(deadline_in_ms=5500.0)
        if sent_endpoint_ids(driver)[-1] != 0:
            driver.end_attempt(number, 0, AttemptResult.OK)
    assert len([key for key in driver.open_attempts if driver.attempts[key[0]][0][1].id == 0]) <= 5
    assert driver.policy.overload.shed_threshold == 0.0


def test_a_stalled_endpoint_gets_no_more_attempts() -> None:
    driver = PolicyDriver(
        make_settings(classes=(replace(UNSAFE, latency_objective_ms=5000.0, deadline_ms=6000.0),)),
        endpoint_count=10,
    )
    for _ in range(300):  # the policy learns a latency of about 50 ms
        driver.now_ms += 20
        driver.end_attempt(driver.add_request(deadline_in_ms=5500.0), 0, AttemptResult.OK)
    for _ in range(6):  # of six requests at once, those on one endpoint get no response
        driver.add_request(deadline_in_ms=5500.0)
    stuck = sent_endpoint_ids(driver)[-1]
    for request, attempt in list(driver.open_attempts):
        if driver.attempts[request][attempt][1].id != stuck:
            driver.end_attempt(request, attempt, AttemptResult.OK)
    driver.now_ms += 5 * max(driver.policy.fleet.latency.typical_ms)
    for _ in range(3):
        driver.end_attempt(driver.add_request(deadline_in_ms=5500.0), 0, AttemptResult.OK)
        driver.add_request(deadline_in_ms=5500.0)
    for _ in range(100):
        assert sent_endpoint_ids(driver)[-1] != stuck
        driver.add_request(deadline_in_ms=5500.0)


def test_no_retries_under_full_overload() -> None:
    for level, attempt_count in ((0.0, 4), (1.0, 1)):
        driver = PolicyDriver(make_settings(classes=(SAFE,)), endpoint_count=30)
        number = driver.add_request()
        set_overload(driver, level)
        while (number, len(driver.attempts[number]) - 1) in driver.open_attempts:
            driver.end_attempt(number, len(driver.attempts[number]) - 1, AttemptResult.FULL)
        assert len(driver.attempts[number]) == attempt_count


def test_no_attempt_that_can_not_meet_its_latency_objective() -> None:
    driver = PolicyDriver(make_settings(classes=(SAFE,)), endpoint_count=30)
    for _ in range(300):
        driver.now_ms += 20
        driver.end_attempt(driver.add_request(), 0, AttemptResult.OK, 200.0)
    number = driver.add_request(deadline_in_ms=30.0)
    assert driver.attempts[number] == []
    assert driver.answers[number] == "shed"


def test_many_errors_start_shedding_which_ends_with_them() -> None:
    driver = PolicyDriver(make_settings(classes=(UNSAFE,)), endpoint_count=10)
    for _ in range(300):
        driver.now_ms += 5
        number = driver.add_request()
        if (number, 0) in driver.open_attempts:
            driver.end_attempt(number, 0, AttemptResult.ERROR, 400.0)
    assert driver.policy.overload.shed_threshold > 50
    for _ in range(2000):
        driver.now_ms += 5
        number = driver.add_request()
        if (number, 0) in driver.open_attempts:
            driver.end_attempt(number, 0, AttemptResult.OK)
    assert driver.policy.overload.shed_threshold == 0.0


def test_shedding_everything_does_not_sustain_itself() -> None:
    # A node shed all requests for 5 and 7 s after a congestion of 0.3 s: without new attempts the
    # weight of failures and successes decayed alike, so that the error rate stayed the same.
    driver = PolicyDriver(make_settings(classes=(UNSAFE,)), endpoint_count=10)
    results = [(AttemptResult.ERROR, 400.0)] * 300 + [(AttemptResult.OK, 20.0)] * 300
    thresholds, served = [], 0
    for result, elapsed_ms in results:
        driver.now_ms += 3
        number = driver.add_request()
        if (number, 0) in driver.open_attempts:
            driver.end_attempt(number, 0, result, elapsed_ms)
            served += result is AttemptResult.OK
        thresholds.append(driver.policy.overload.shed_threshold)
    assert max(thresholds[:300]) > 90
    assert thresholds[-1] < 1.0 and served > 200, (thresholds[::20], served)


@pytest.mark.parametrize("objective_ms", [100.0, 400.0])
def test_congestion_is_not_learned_as_growth(objective_ms: float) -> None:
    # Attempts in flight counted as growth until the first slow responses had raised the mean
    # latency: the concurrency limit rose from 9 to 45, which overloaded the endpoints until they
    # failed.
    driver = PolicyDriver(
        make_settings(
            classes=(
                replace(SAFE, latency_objective_ms=objective_ms, deadline_ms=5 * objective_ms),
            )
        ),
        endpoint_count=10,
    )
    play_traffic(driver, 300, 3, 20.0)
    assert play_traffic(driver, 600, 0.4, 80.0) > 60  # four times as slow, and twice as much


def test_starting_endpoint_gets_less_than_warm_ones() -> None:
    driver = PolicyDriver(make_settings(classes=(UNSAFE,)), endpoint_count=10)
    counts = []
    for step in range(3000):
        driver.now_ms += 4
        if step == 1000:
            driver.update_endpoints([endpoint(10, started=driver.now_ms)])
            mark = len(driver.actions)
        driver.end_attempt(driver.add_request(), 0, AttemptResult.OK)
        if step in (1500, 2999):
            sends = [a.endpoint_id for a in driver.actions[mark:] if isinstance(a, Send)]
            counts.append(sends.count(10) / (len(sends) / 11))
    assert 0 < counts[0] < 0.5
    assert counts[1] < 1.0


def test_endpoints_are_polled_with_backoff_and_only_without_push() -> None:
    driver = PolicyDriver(make_settings(polls_endpoints=True), endpoint_count=3)
    delays = []
    for _ in range(8):
        driver.advance(3000.0)
        timers = [action for action in driver.fail_update() if isinstance(action, SetTimer)]
        delays.append(timers[0].delay_ms)
    assert sum(isinstance(a, Subscribe) for a in driver.actions) >= 7
    assert delays[-1] > delays[0]
    assert max(delays) <= driver.config.poll_interval_ms / 4
    pushed = PolicyDriver(make_settings(), endpoint_count=3)
    pushed.advance(60_000.0)
    assert not any(isinstance(a, Subscribe | SetTimer) for a in pushed.actions)


def test_keyed_request_is_not_retried_after_its_deduplication_window() -> None:
    driver = PolicyDriver(
        make_settings(
            classes=(replace(KEYED, latency_objective_ms=900.0, deduplication_window_ms=100.0),)
        )
    )
    number = driver.add_request()
    driver.now_ms += 150
    driver.end_attempt(number, 0, AttemptResult.RESET, 150.0)
    assert len(driver.attempts[number]) == 1
    assert driver.answers[number] == "shed"


def test_restarted_endpoint_starts_without_history() -> None:
    driver = PolicyDriver(make_settings(classes=(UNSAFE,)), endpoint_count=4)
    for _ in range(400):
        driver.now_ms += 5
        number = driver.add_request()
        driver.end_attempt(
            number,
            0,
            AttemptResult.ERROR if sent_endpoint_ids(driver)[-1] == 0 else AttemptResult.OK,
        )
    assert driver.policy.fleet.endpoints.by_id[0].health[0].ejected_until_ms > 0
    driver.update_endpoints([replace(endpoint(0), started_ms=driver.now_ms - 60_000.0)])
    assert not driver.policy.fleet.endpoints.by_id[0].health[0].ejected_until_ms
    assert driver.policy.fleet.endpoints.by_id[0].health[0].failure_rate == 0.0


def test_same_events_same_actions_and_instances_share_nothing() -> None:
    def play(other: bool) -> list[object]:
        driver = PolicyDriver(make_settings(key_affinity=True), seed=4)
        neighbour = PolicyDriver(make_settings(key_affinity=True), seed=9) if other else None
        for step in range(400):
            driver.advance(7.0)
            driver.add_request(step % 3, key=step % 11)
            if driver.open_attempts and step % 2:
                driver.end_attempt(*min(driver.open_attempts), AttemptResult.OK)
            if neighbour:
                neighbour.add_request(step % 3, key=step % 5)
        return driver.actions

    assert play(False) == play(True)


def test_endpoints_that_are_gone_are_forgotten_with_their_last_attempt() -> None:
    driver = PolicyDriver(make_settings(classes=(UNSAFE,), max_attempts=1), endpoint_count=3)
    number = driver.add_request()
    (_, target), *_ = driver.attempts[number]
    for new in range(3, 203):  # every endpoint is replaced repeatedly
        driver.update_endpoints([endpoint(new), endpoint(new - 3, EndpointState.GONE)])
    driver.update_endpoints([endpoint(300, EndpointState.GONE)])  # an unknown endpoint
    assert set(driver.policy.fleet.endpoints.by_id) == {target.id, 200, 201, 202}
    driver.end_attempt(number, 0, AttemptResult.OK)
    assert set(driver.policy.fleet.endpoints.by_id) == {200, 201, 202}
    # The same event a second time is no error.
    driver.handle(AttemptEnded(number, target.id, True, AttemptResult.OK, 0, 5.0))


def test_unknown_class_or_tenant_is_named_in_the_error() -> None:
    policy = Policy(make_settings(), 1)
    with pytest.raises(LookupError, match="class 9"):
        policy.handle(START_MS, Request(1, 9, START_MS + 100))
    with pytest.raises(LookupError, match="tenant 2"):
        tenants = make_settings(quotas_per_s=(5.0, 5.0))
        Policy(tenants, 1).handle(START_MS, Request(1, 0, START_MS + 100, tenant=2))


def test_each_of_many_nodes_sends_to_a_small_subset() -> None:
    # 200 nodes with a connection to each of 50 endpoints exceed the endpoints' connection limits,
    # and further attempts get no connection.
    used: list[set[int]] = []
    for me in (0, 199):
        driver = PolicyDriver(
            make_settings(classes=(UNSAFE,), cluster_size=200, node_index=me), endpoint_count=50
        )
        for _ in range(200):
            driver.now_ms += 50
            driver.end_attempt(driver.add_request(), 0, AttemptResult.OK)
        used.append(set(sent_endpoint_ids(driver)))
    assert len(used[0]) <= 9
    assert not used[0] & used[1]


def test_nodes_of_a_group_place_keys_on_the_same_endpoints() -> None:
    # If nodes with overlapping subsets placed keys differently, an endpoint would get several times
    # the keys that it can cache.
    places = []
    for me in (0, 1, 23):
        driver = PolicyDriver(
            make_settings(classes=(SAFE,), cluster_size=24, node_index=me, key_affinity=True),
            endpoint_count=80,
        )
        places.append(
            [driver.policy.fleet.virtual_nodes.endpoint_of(key, 0) for key in range(1, 200)]
        )
    assert places[0] == places[1]
    assert not set(places[0]) & set(places[2])


def test_in_its_subset_a_node_considers_all_candidates_to_find_an_idle_one() -> None:
    # Two choices rarely include an endpoint without own attempts; with the attempts of other nodes
    # small endpoints then collapsed.
    driver = PolicyDriver(make_settings(classes=(UNSAFE,), cluster_size=200), endpoint_count=50)
    for _ in range(6):
        driver.add_request()
    assert len(set(sent_endpoint_ids(driver))) == 6


def test_small_node_does_not_shed_a_cluster_of_arrivals_by_chance() -> None:
    # With five requests in flight, several arrivals at once are chance and no overload.
    driver = PolicyDriver(make_settings(classes=(UNSAFE,), cluster_size=10), endpoint_count=50)
    for step in range(400):
        driver.now_ms += 20
        numbers = [driver.add_request() for _ in range(8 if step % 40 == 0 else 1)]
        driver.now_ms += 55
        for number in numbers:
            if (number, 0) in driver.open_attempts:
                driver.end_attempt(number, 0, AttemptResult.OK)
    assert list(driver.answers.values()).count("shed") < 8


def test_concurrency_of_waiting_requests_is_not_limited_to_the_listed_size() -> None:
    # An endpoint whose requests mostly wait for others serves many more than its listed size at
    # once.
    driver = PolicyDriver(make_settings(classes=(UNSAFE,)), endpoint_count=4)
    open_requests: list[int] = []
    late_shed = 0
    for step in range(3000):
        driver.now_ms += 8
        number = driver.add_request()
        if (number, 0) in driver.open_attempts:
            open_requests.append(number)
        elif step > 2000:
            late_shed += 1
        while open_requests and len(open_requests) > 12:
            driver.end_attempt(open_requests.pop(0), 0, AttemptResult.OK, 96.0)
    assert late_shed < 50


def test_slower_of_two_classes_of_equal_weight_is_not_starved() -> None:
    driver = PolicyDriver(
        make_settings(classes=(KEYED, replace(UNSAFE, priority_weight=1.0))), endpoint_count=50
    )
    for step in range(1000):
        driver.now_ms += 5
        number = driver.add_request(step % 2)
        if (number, 0) in driver.open_attempts:
            driver.end_attempt(number, 0, AttemptResult.OK, 30.0 if step % 2 else 90.0)
    set_overload(driver, 0.8)
    shed = [0, 0]
    for step in range(600):
        shed[step % 2] += any(isinstance(a, Shed) for a in driver.add_request_actions(step % 2))
    assert min(shed) > 0.6 * max(shed)


def test_share_of_starting_endpoints_is_measured_against_warm_ones() -> None:
    # When a fleet quadruples, the mean of all endpoints is far below the load of a warm one.
    driver = PolicyDriver(make_settings(classes=(UNSAFE,)), endpoint_count=5)
    mark = 0
    for step in range(4000):
        driver.now_ms += 4
        if step == 2000:
            driver.update_endpoints([endpoint(i, started=driver.now_ms) for i in range(5, 20)])
            mark = len(sent_endpoint_ids(driver))
        number = driver.add_request()
        if (number, 0) in driver.open_attempts:
            driver.end_attempt(number, 0, AttemptResult.OK)
    cold = sum(target >= 5 for target in sent_endpoint_ids(driver)[mark:])
    assert 0.35 < cold / 2000 < 0.75


def test_a_request_is_not_shed_because_no_drawn_endpoint_is_usable() -> None:
    # A request was shed when all six draws fell on the one ejected endpoint of four.
    driver = PolicyDriver(make_settings(classes=(UNSAFE,)), endpoint_count=12)
    for sick in range(11):
        driver.policy.fleet.endpoints.by_id[sick].health[0].ejected_until_ms = (
            driver.now_ms + 60_000.0
        )
    for _ in range(50):
        driver.end_attempt(driver.add_request(), 0, AttemptResult.OK)
    assert set(sent_endpoint_ids(driver)) == {11}


def test_all_endpoints_failing_is_overload_although_each_is_known_to_fail() -> None:
    # Failures of endpoints known to fail were not counted: when all failed, 600 nodes kept sending
    # to a fleet that answered one request in ten.
    driver = PolicyDriver(make_settings(classes=(SAFE,), max_attempts=1), endpoint_count=8)
    thresholds = []
    for _ in range(40):  # four requests per second, as on a small node
        driver.now_ms += 250
        number = driver.add_request()
        if (number, 0) in driver.open_attempts:
            driver.end_attempt(number, 0, AttemptResult.TIMEOUT, 240.0)
        thresholds.append(driver.policy.overload.shed_threshold)
    assert max(thresholds[:16]) > 90


def test_the_concurrency_limit_of_a_small_node_may_be_below_one() -> None:
    # With a minimum of one request per node, 600 nodes had nine requests in flight per core.
    driver = PolicyDriver(make_settings(classes=(SAFE,), cluster_size=600), endpoint_count=60)
    play_traffic(driver, 5, 30, 60.0)
    assert driver.policy.overload.concurrency.limit < 0.8
    assert play_traffic(driver, 5, 30, 60.0) == 0


def test_endpoint_is_ejected_only_for_the_class_that_fails() -> None:
    # With one failure rate per endpoint, a failing class ejected it for all classes, or the other
    # classes kept it in use.
    driver = PolicyDriver(
        make_settings(classes=(UNSAFE, replace(UNSAFE, priority_weight=2.0))), endpoint_count=6
    )
    for step in range(1200):
        driver.now_ms += 10
        number = driver.add_request(step % 2)
        if (number, 0) in driver.open_attempts:
            sick = sent_endpoint_ids(driver)[-1] < 2 and step % 2
            driver.end_attempt(number, 0, AttemptResult.ERROR if sick else AttemptResult.OK)
    last_sends = [
        (a.endpoint_id, driver.requests[a.id].class_index)
        for a in driver.actions
        if isinstance(a, Send)
    ][-600:]
    assert sum(endpoint_id < 2 and index == 1 for endpoint_id, index in last_sends) < 12
    assert sum(endpoint_id < 2 and index == 0 for endpoint_id, index in last_sends) > 60


def test_refused_connections_do_not_raise_the_shed_threshold() -> None:
    # They put no load on an endpoint.
    driver = PolicyDriver(make_settings(classes=(SAFE,), max_attempts=1), endpoint_count=10)
    for step in range(300):
        driver.now_ms += 20
        driver.end_attempt(
            driver.add_request(), 0, AttemptResult.UNREACHABLE if step % 3 else AttemptResult.OK
        )
    assert driver.policy.overload.shed_threshold == 0.0


def test_slow_start_budget_counts_responses_and_not_attempts() -> None:
    # Warm endpoints that accepted no connections got several attempts per request. With a budget by
    # attempts, a starting endpoint got 3.4 times what it could do.
    driver = PolicyDriver(make_settings(classes=(SAFE,), cluster_size=5), endpoint_count=10)
    mark = 0
    for step in range(3000):
        driver.now_ms += 20
        if step == 2000:
            driver.update_endpoints([endpoint(10, started=driver.now_ms)])
            mark = len(sent_endpoint_ids(driver))
        number = driver.add_request()
        while driver.open_attempts:
            attempt = next(iter(driver.open_attempts))
            cold = driver.attempts[number][-1][1].id == 10
            result = (
                AttemptResult.OK
                if cold or step < 1000 or step % 20 == 0
                else AttemptResult.UNREACHABLE
            )
            driver.end_attempt(*attempt, result)
        if step == 2300:
            break
    per_second = sent_endpoint_ids(driver)[mark:].count(10) / 6.0
    assert 0 < per_second < 50 / 10  # the rate of a warm endpoint before the fault


def test_instant_errors_do_not_raise_the_shed_threshold() -> None:
    # A class that failed at once on half of the endpoints caused shedding in all classes. An error
    # that takes as long as the work still counts: see the test of many errors above.
    driver = PolicyDriver(make_settings(classes=(SAFE,), max_attempts=1), endpoint_count=10)
    for step in range(300):
        driver.now_ms += 20
        number = driver.add_request()
        if (number, 0) in driver.open_attempts:
            driver.end_attempt(
                number,
                0,
                AttemptResult.ERROR if step % 2 else AttemptResult.OK,
                2.0 if step % 2 else 60.0,
            )
    assert driver.policy.overload.shed_threshold == 0.0


def test_instant_resets_neither_raise_the_shed_threshold_nor_eject() -> None:
    # 15% of the attempts met connections that the endpoints had closed before. The error rate of
    # 0.10 to 0.19 ejected healthy endpoints and raised the shed threshold.
    driver = PolicyDriver(make_settings(classes=(SAFE,)), endpoint_count=10)
    for step in range(1500):
        driver.now_ms += 10
        number = driver.add_request()
        if (number, 0) in driver.open_attempts:
            driver.end_attempt(
                number,
                0,
                *((AttemptResult.RESET, 0.5) if step % 5 == 0 else (AttemptResult.OK, 50.0)),
            )
        if (number, 1) in driver.open_attempts:
            driver.end_attempt(number, 1, AttemptResult.OK)
        assert driver.policy.overload.shed_threshold < 1.0
        assert not any(
            s.health[0].ejected_until_ms > driver.now_ms
            for s in driver.policy.fleet.endpoints.by_id.values()
        )


def test_a_request_whose_expected_work_exceeds_its_time_is_shed_at_once() -> None:
    # Otherwise endpoints execute heavy requests in vain for clients with little time left.
    driver = PolicyDriver(make_settings(classes=(SAFE,)), endpoint_count=10)
    for _ in range(200):
        driver.now_ms += 20
        driver.end_attempt(driver.add_request(deadline_in_ms=300.0), 0, AttemptResult.OK)
    light, heavy = (
        driver.add_request(deadline_in_ms=90.0, expected_work_ms=40.0),
        driver.add_request(deadline_in_ms=90.0, expected_work_ms=120.0),
    )
    assert driver.attempts[light]
    assert driver.answers[heavy] == "shed"


def test_one_full_that_is_no_proof_is_enough_to_avoid_the_endpoint() -> None:
    # Endpoints rejected one class for half a minute, and each FULL cost a non-idempotent request.
    # If FULL proves that nothing was executed, a retry on another endpoint costs little.
    for possibly_executed, max_count in ((True, 3), (False, 12)):
        config = make_settings(
            classes=(UNSAFE,), full_possibly_executed=possibly_executed, max_attempts=1
        )
        driver = PolicyDriver(config, endpoint_count=10)
        for _ in range(100):
            driver.now_ms += 20
            number = driver.add_request()
            driver.end_attempt(
                number,
                0,
                AttemptResult.FULL if sent_endpoint_ids(driver)[-1] == 0 else AttemptResult.OK,
            )
        assert sent_endpoint_ids(driver).count(0) <= max_count


def test_idle_endpoints_of_the_own_zone_come_first_but_not_alone() -> None:
    # Traffic to other zones costs money and round trips.
    driver = PolicyDriver(make_settings(classes=(SAFE,), zone=1), endpoint_count=9)
    for _ in range(600):
        driver.now_ms += 20
        driver.end_attempt(driver.add_request(), 0, AttemptResult.OK)
    near = sum(driver.endpoints[i].zone == 1 for i in sent_endpoint_ids(driver)) / 600
    assert 0.5 < near < 0.95
    for _ in range(40):  # without responses from the own zone, the other zones take over at once
        driver.now_ms += 20
        driver.add_request()
    stuck = [driver.endpoints[i].zone for i in sent_endpoint_ids(driver)[-30:]]
    assert stuck.count(1) < 16


def test_late_responses_with_value_count_in_the_concurrency_limit() -> None:
    # Endpoints that serve the newest request first answer a few very late. They are in flight, but
    # the limit left them out, and light traffic was shed.
    limits = []
    for late_value in (0.0, 0.5):
        driver = PolicyDriver(
            make_settings(classes=(replace(SAFE, late_value_share=late_value),), cluster_size=50),
            endpoint_count=8,
        )
        for step in range(300):
            driver.now_ms += 50
            number = driver.add_request(deadline_in_ms=2000.0)
            if (number, 0) in driver.open_attempts:
                driver.now_ms += 700.0 if step % 5 == 0 else 0.0
                driver.end_attempt(number, 0, AttemptResult.OK, 700.0 if step % 5 == 0 else 60.0)
        limits.append(driver.policy.overload.concurrency.limit)
    assert limits[1] > 1.5 * limits[0]


def test_the_margin_of_the_limit_decreases_with_the_error_rate() -> None:
    # The margin ended at one error rate, and the overload signal jumped from 0.1 to 1.
    driver = PolicyDriver(make_settings(classes=(SAFE,)), endpoint_count=8)
    play_traffic(driver, 50, 10)
    limits = []
    for errors in (0.04, 0.06):
        driver.policy.overload.error_rate.rate = errors
        refresh_limit(driver.policy, 0.001)
        limits.append(driver.policy.overload.concurrency.limit)
    assert limits[1] > 0.85 * limits[0]


def test_a_node_knows_its_rate_soon_after_its_start() -> None:
    driver = PolicyDriver(make_settings(classes=(SAFE,), cluster_size=20), endpoint_count=8)
    play_traffic(driver, 50, 1)
    assert 0.6 < driver.policy.overload.throughput.rate * 1000 / 50 < 1.4


def test_retries_end_where_no_connections_are_established() -> None:
    # Each retry opens another connection to endpoints that can't keep up with the handshakes.
    driver = PolicyDriver(make_settings(classes=(SAFE,)), endpoint_count=30)
    for _ in range(60):
        driver.now_ms += 20
        number = driver.add_request()
        while driver.open_attempts:
            driver.end_attempt(*next(iter(driver.open_attempts)), AttemptResult.UNREACHABLE, 5.0)
    assert driver.policy.overload.shed_threshold == 0.0
    assert len(driver.attempts[number]) == 1


def test_shedding_ends_as_soon_as_the_open_attempts_have_ended() -> None:
    # The signal used only the average of attempts in flight over a quarter of a second: after a
    # burst everything was shed while endpoints were idle, and then everything was accepted at once.
    driver = PolicyDriver(make_settings(classes=(SAFE,)), endpoint_count=4)
    for _ in range(200):  # at most 4 in flight, with a latency of 50 ms
        driver.now_ms += 12.5
        driver.add_request()
        if len(driver.open_attempts) >= 4:
            driver.end_attempt(*min(driver.open_attempts), AttemptResult.OK, 50.0)
    burst = [driver.add_request() for _ in range(40)]
    for _ in range(20):
        driver.now_ms += 12.5
        driver.add_request()
    assert driver.policy.overload.level > 0.5
    for key in sorted(driver.open_attempts):
        driver.end_attempt(*key, AttemptResult.OK, 60.0)
    number = driver.add_request()
    assert (
        driver.policy.overload.concurrency.average > 1.5 * driver.policy.overload.concurrency.limit
    )  # on average it is still full
    assert driver.policy.overload.level == 0.0 and driver.attempts[number] and burst


def test_ejected_endpoints_do_not_count_in_the_limit_until_a_success() -> None:
    # Four of eight endpoints were ejected, and a limit that counted them overloaded the others: a
    # fleet that can serve 300 requests per second served 150 and shed half of the traffic.
    driver = PolicyDriver(make_settings(), endpoint_count=8)
    policy = driver.policy
    play_traffic(driver, 50, 1.0)
    assert policy.fleet.available_capacity == 8.0
    # The first is ejected for all three classes, the others for the class that is sent.
    for sick in (0, 1, 2):
        for health in policy.fleet.endpoints.by_id[sick].health[: 1 if sick else 3]:
            health.ejected_until_ms = driver.now_ms + 500.0
        policy.fleet.outliers.ejected.add(sick)
    driver.advance(policy.settings.tick_ms * 20)
    driver.add_request()
    assert policy.fleet.available_capacity == pytest.approx(8 - 1 - 2 / 3)
    play_traffic(driver, 300, 5.0)
    assert policy.fleet.available_capacity == pytest.approx(
        8 - 2 / 3
    )  # nothing shows what the first does to other classes


def test_the_search_for_an_idle_endpoint_continues_past_crowded_ones() -> None:
    # The two endpoints of a key had ten open attempts each while others had none, since the less
    # loaded of the two was chosen.
    driver = PolicyDriver(make_settings(key_affinity=True), endpoint_count=8)
    policy = driver.policy
    places = {policy.fleet.virtual_nodes.endpoint_of(7, number) for number in (0, 1)}
    for _ in range(24):
        policy.key_traffic.total, policy.overload.concurrency.limit = (
            1e6,
            8.0,
        )  # other keys draw far more: this one has no more places
        driver.add_request(key=7)
    assert len(places) == 2 and set(sent_endpoint_ids(driver)) == set(policy.fleet.endpoints.by_id)
    assert max(len(policy.fleet.endpoints.by_id[i].open_attempts) for i in places) <= 5
