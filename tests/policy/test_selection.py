"""The choice of an endpoint among usable ones."""

from __future__ import annotations

from collections import Counter

from badgercart.policy.endpoint import Endpoint, EndpointState
from badgercart.policy.endpoints import TrackedEndpoint
from badgercart.policy.events import EndpointUpdate, Request, UpdateKind
from badgercart.policy.policy import Policy
from badgercart.policy.requests import PendingRequest
from badgercart.policy.settings import Idempotency, RequestClass, Settings

SETTINGS = Settings(
    (RequestClass(400.0, 1000.0, 1.0, Idempotency.IDEMPOTENT),), max_attempts=4, key_affinity=True
)
NOW = 50_000.0


def policy_of(*endpoints: Endpoint) -> Policy:
    policy = Policy(SETTINGS, 1)
    policy.handle(NOW, EndpointUpdate(UpdateKind.SNAPSHOT, 1, list(endpoints)))
    return policy


def ready(number: int, zone: int = 0, size: float = 1.0) -> Endpoint:
    return Endpoint(number, zone, 0, 0, EndpointState.READY, size, 0.0)


def pending(key: int = 0, fallbacks: int = 0) -> PendingRequest:
    request = Request(1, 0, NOW + 1000.0, key, max_fallbacks=fallbacks)
    return PendingRequest(request, SETTINGS.classes[0], NOW, 50.0)


def add_open_attempts(tracked: TrackedEndpoint, count: int) -> None:
    for number in range(count):
        tracked.open_attempts[1000 + number, 0] = pending(), NOW + 1000.0


def test_an_idle_endpoint_is_chosen_before_one_with_open_attempts() -> None:
    policy = policy_of(ready(1), ready(2))
    add_open_attempts(policy.fleet.endpoints.by_id[1], 3)
    for _ in range(50):
        chosen = policy.selector.select(pending(), NOW)
        assert chosen is not None and chosen.endpoint.id == 2


def test_no_endpoint_is_tried_twice() -> None:
    policy, item = policy_of(ready(1), ready(2)), pending()
    item.tried_endpoints.append(1)
    chosen = policy.selector.select(item, NOW)
    assert chosen is not None and chosen.endpoint.id == 2
    item.tried_endpoints.append(2)
    assert policy.selector.select(item, NOW) is None


def test_an_endpoint_is_unusable_while_ejected_on_trial_or_hanging() -> None:
    policy = policy_of(ready(1))
    tracked = policy.fleet.endpoints.by_id[1]
    health, usable = tracked.health[0], policy.selector.is_usable
    assert usable(tracked, health, NOW)
    health.ejected_until_ms = NOW + 10.0
    assert not usable(tracked, health, NOW) and usable(tracked, health, NOW + 10.0)
    add_open_attempts(tracked, 1)
    assert not usable(tracked, health, NOW + 10.0)  # on trial it gets one attempt at a time
    health.ejected_until_ms = 0.0
    assert usable(tracked, health, NOW + 999.0) and not usable(tracked, health, NOW + 1001.0)


def test_candidates_start_with_the_endpoints_of_the_key_and_end_with_all() -> None:
    policy = policy_of(*map(ready, range(1, 31)))
    key_endpoints = {policy.fleet.virtual_nodes.endpoint_of(7, number) for number in (0, 1)}
    drawn = list(policy.selector.candidates(7))
    assert set(drawn[:2]) == key_endpoints and len(drawn) == 2 + 6 + 30
    assert set(drawn[8:]) == set(range(1, 31))


def test_the_own_zone_comes_first_and_larger_endpoints_more_often() -> None:
    policy = policy_of(ready(1, size=4.0), ready(2, size=1.0), ready(3, zone=1, size=4.0))
    first = Counter(next(iter(policy.selector.candidates(0))) for _ in range(600))
    assert first[3] < 0.15 * 600 and first[1] > 1.5 * first[2]


def test_fallbacks_are_untried_endpoints_within_the_attempts_left() -> None:
    policy, item = policy_of(*map(ready, range(1, 8))), pending(fallbacks=3)
    item.tried_endpoints.append(4)
    item.attempts = 1
    found = policy.selector.fallbacks(item, NOW + 400.0, NOW)
    assert len(set(found)) == 3 and 4 not in found
    item.attempts = 3  # one more attempt is left
    assert len(policy.selector.fallbacks(item, NOW + 400.0, NOW)) == 1
    policy.overload.level = 1.0
    assert policy.selector.fallbacks(item, NOW + 400.0, NOW) == ()
