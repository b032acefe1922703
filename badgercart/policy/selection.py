"""The choice of an endpoint: one of a few that appears idle, else the less loaded of two. No I/O."""

from __future__ import annotations

import random
from collections.abc import Iterator

from badgercart.policy.endpoints import ClassHealth, TrackedEndpoint
from badgercart.policy.events import TrafficPlan
from badgercart.policy.fleet import Fleet
from badgercart.policy.hash_ring import KeyTraffic
from badgercart.policy.hashing import mix_hash
from badgercart.policy.overload import IN_FLIGHT_FULL, Concurrency
from badgercart.policy.requests import PendingRequest
from badgercart.policy.retries import RetryPolicy
from badgercart.policy.settings import Settings

CANDIDATE_COUNT = 6  # endpoints that are drawn to find an idle one
CHOICE_COUNT = 2  # usable candidates of which the least loaded one is chosen if none is idle
# Below this load an endpoint counts as idle. The load of one without attempts and failures, and of
# typical latency, is 1.
IDLE_LOAD = 1 + 1.15
OPEN_ATTEMPT_LOAD = 4  # part of the load that one open attempt adds
RECENT_ATTEMPT_LOAD = 0.5  # part that recent attempts add if they are as many as on average
MIN_RELATIVE_CAPACITY = 1e-6  # divisor in place of 0, if the endpoint list gives no sizes
# An endpoint with this multiple of its share of the concurrency limit is in full overload by itself.
CROWDED_FACTOR = IN_FLIGHT_FULL


class EndpointSelector:
    """Chooses endpoints for attempts. It owns no state apart from the current settings."""

    __slots__ = (
        "_capacity",
        "_concurrency",
        "_endpoints",
        "_fleet",
        "_key_traffic",
        "_locality",
        "_random",
        "_retries",
        "_settings",
        "_slow_start",
        "_subset",
        "_virtual_nodes",
    )

    def __init__(
        self,
        fleet: Fleet,
        concurrency: Concurrency,
        key_traffic: KeyTraffic,
        retries: RetryPolicy,
        settings: Settings,
        rng: random.Random,
    ) -> None:
        self._fleet, self._concurrency, self._key_traffic = fleet, concurrency, key_traffic
        self._retries, self._settings, self._random = retries, settings, rng
        self._endpoints, self._subset, self._virtual_nodes = (
            fleet.endpoints,
            fleet.subset,
            fleet.virtual_nodes,
        )
        self._capacity, self._slow_start, self._locality = (
            fleet.capacity,
            fleet.slow_start,
            fleet.locality,
        )

    def apply_settings(self, settings: Settings) -> None:
        """Apply settings."""
        self._settings = settings

    def select(self, pending: PendingRequest, now_ms: float) -> TrackedEndpoint | None:
        """Return the endpoint of a request's next attempt; None if there is no usable one."""
        plan = self._locality.plan
        if plan is None:
            return self._choose(pending, self.candidates(pending.request.key), now_ms, 1.0)
        return self._select_by_plan(plan, pending, now_ms)

    def _select_by_plan(
        self, plan: TrafficPlan, pending: PendingRequest, now_ms: float
    ) -> TrackedEndpoint | None:
        """Draw a zone by the plan, and spill over to others if it has no usable endpoint."""
        locality = self._locality
        shares = locality.shares_of(plan, pending.request, len(self._settings.classes))
        zone = locality.draw_zone(shares)
        if zone is None:
            return None
        avoided = locality.is_avoided(plan, zone, pending.attempts)
        tracked = None if avoided else self._choose_in_zone(zone, pending, now_ms)
        if tracked is not None:
            return tracked
        for other in locality.spillover_zones(zone, shares):
            if not locality.may_spill(plan, other, now_ms):
                continue
            tracked = self._choose_in_zone(other, pending, now_ms)
            if tracked is not None:
                locality.count_spillover(other)
                return tracked
        if avoided and zone not in plan.lost_zones:
            return self._choose_in_zone(zone, pending, now_ms)
        return None

    def _choose_in_zone(
        self, zone: int, pending: PendingRequest, now_ms: float
    ) -> TrackedEndpoint | None:
        load_factor = max(self._locality.load_factors.get(zone, 0.0), 1.0)
        return self._choose(
            pending, self._zone_candidates(zone, pending.request.key), now_ms, load_factor
        )

    def _choose(
        self, pending: PendingRequest, candidates: Iterator[int], now_ms: float, load_factor: float
    ) -> TrackedEndpoint | None:
        """Return the first idle candidate, else the less loaded of two; None: none is usable.

        Args:
            pending: the request.
            candidates: endpoint ids in the order to consider them.
            now_ms: clock time.
            load_factor: what is sent to these endpoints over an even share.
        """
        endpoints, size = self._endpoints, self._subset.size
        by_id, class_index, tried = (
            endpoints.by_id,
            pending.request.class_index,
            pending.tried_endpoints,
        )
        mean_attempts = endpoints.recent_attempts / size * load_factor
        is_whole_fleet, may_send = size == len(endpoints.ready), self._retries.may_send
        least_loaded, lowest_load, usable, max_usable = None, 0.0, 0, CHOICE_COUNT
        for endpoint_id in candidates:
            tracked = by_id[endpoint_id]
            health = tracked.health[class_index]
            if not self.is_usable(tracked, health, now_ms):
                continue
            if not may_send(pending, tracked.endpoint, now_ms):
                continue
            # In a small fleet the same endpoint may be drawn twice: it counts as one choice.
            if tracked is least_loaded or endpoint_id in tried:
                continue
            load = self._load(tracked, health, mean_attempts, now_ms)
            usable += 1
            if load < IDLE_LOAD:
                least_loaded = tracked
                break
            if least_loaded is None or (usable <= max_usable and load < lowest_load):
                least_loaded, lowest_load = tracked, load
            # All candidates are considered in a subset, to find an idle one; in a whole fleet only
            # while the least loaded one is crowded.
            if is_whole_fleet:
                is_crowded = self._is_crowded(least_loaded, load_factor)
                max_usable = CANDIDATE_COUNT if is_crowded else CHOICE_COUNT
            if usable >= (max_usable if is_whole_fleet else CANDIDATE_COUNT):
                break
        if (
            least_loaded is not None
            and self._slow_start.capacity_share(least_loaded.endpoint, now_ms) < 1.0
        ):
            least_loaded.tokens -= 1
        return least_loaded

    def _load(
        self, tracked: TrackedEndpoint, health: ClassHealth, mean_attempts: float, now_ms: float
    ) -> float:
        """Return an endpoint's load: attempts by its capacity, times latency and failure rate."""
        capacity, endpoint = self._capacity, tracked.endpoint
        relative_capacity = max(
            capacity.weight(endpoint) * self._slow_start.capacity_share(endpoint, now_ms),
            MIN_RELATIVE_CAPACITY,
        )
        recent = RECENT_ATTEMPT_LOAD * tracked.recent_attempts / mean_attempts
        attempts = (recent + OPEN_ATTEMPT_LOAD * len(tracked.open_attempts)) / relative_capacity
        return (
            (1 + attempts * capacity.mean_weight)
            * tracked.relative_latency
            * (1 + health.failure_rate)
        )

    def _is_crowded(self, tracked: TrackedEndpoint, load_factor: float) -> bool:
        """Return whether a fleet in which all endpoints were as loaded would be in full overload."""
        share = self._concurrency.limit / self._fleet.available_capacity * load_factor
        # The weight is 0 if the endpoint list gives no sizes, so it can't be a divisor.
        share *= self._capacity.weight(tracked.endpoint)
        return len(tracked.open_attempts) * self._capacity.mean_weight >= CROWDED_FACTOR * share

    def is_usable(self, tracked: TrackedEndpoint, health: ClassHealth, now_ms: float) -> bool:
        """Return whether an endpoint may get an attempt: not ejected, hanging, or out of tokens."""
        open_attempts = tracked.open_attempts
        # An endpoint on trial after its ejection gets one attempt at a time until one succeeds.
        if health.ejected_until_ms and (health.ejected_until_ms > now_ms or open_attempts):
            return False
        if open_attempts:
            for _, overdue_ms in open_attempts.values():
                # It hangs or pauses, which an overdue attempt shows before any timeout.
                if overdue_ms < now_ms:
                    return False
        slow_start = self._slow_start
        return slow_start.capacity_share(tracked.endpoint, now_ms) >= 1.0 or slow_start.has_token(
            tracked, now_ms
        )

    def candidates(self, key: int) -> Iterator[int]:
        """Yield endpoint ids in the order to consider them: the key's, drawn ones, then all."""
        virtual_nodes, subset, settings = self._virtual_nodes, self._subset, self._settings
        if key and settings.key_affinity and virtual_nodes.ring.blocks:
            # The ring may still have virtual nodes of an endpoint that is no longer ready.
            applied = self._endpoints.applied
            for endpoint_id in self._key_endpoints(key):
                if endpoint_id in applied:
                    yield endpoint_id
        drawn = self._draw(subset.endpoint_ids, subset.size)
        by_id, zone = self._endpoints.by_id, settings.zone
        in_other_zone = {i: by_id[i].endpoint.zone != zone for i in drawn}
        deferred = self._draw_deferred(drawn)
        yield from sorted(drawn, key=lambda i: (in_other_zone[i], deferred[i]))
        ready = self._endpoints.ready
        start = subset.start + int(self._random.random() * subset.size)
        yield from (ready[at] for at in range(start - len(ready), start))

    def _key_endpoints(self, key: int) -> tuple[int, int]:
        """Draw two of the endpoints that a key is spread over."""
        endpoint_of = self._virtual_nodes.endpoint_of
        places = self._key_traffic.places(key, self._subset.size)
        first = int(self._random.random() * places)
        second = (first + 1) % max(places, 2)
        return endpoint_of(key, first), endpoint_of(key, second)

    def _zone_candidates(self, zone: int, key: int) -> Iterator[int]:
        """Yield endpoint ids of a zone in the order to consider them."""
        endpoint_ids = self._locality.by_zone.get(zone, [])
        ring = self._virtual_nodes.ring
        if key and self._settings.key_affinity and ring.blocks and endpoint_ids:
            key_endpoint = ring.successor_among(mix_hash(key), self._locality.members[zone])
            if key_endpoint is not None:
                yield key_endpoint
        drawn = self._draw(endpoint_ids, len(endpoint_ids))
        deferred = self._draw_deferred(drawn)
        yield from sorted(drawn, key=lambda i: deferred[i])
        start = int(self._random.random() * len(endpoint_ids))
        yield from (endpoint_ids[at] for at in range(start - len(endpoint_ids), start))

    def _draw(self, endpoint_ids: list[int], size: int) -> list[int]:
        if not endpoint_ids:
            return []
        draw = self._random.random
        return [endpoint_ids[int(draw() * size)] for _ in range(CANDIDATE_COUNT)]

    def _draw_deferred(self, drawn: list[int]) -> dict[int, bool]:
        """Draw which endpoints are considered after the others, by their lack of capacity."""
        draw, by_id, weight = self._random.random, self._endpoints.by_id, self._capacity.weight
        return {i: draw() > weight(by_id[i].endpoint) for i in drawn}

    def fallbacks(self, pending: PendingRequest, end_ms: float, now_ms: float) -> tuple[int, ...]:
        """Return the fallback endpoints of an attempt; never one in slow start."""
        max_count = min(pending.request.max_fallbacks, self._retries.attempts_left(pending))
        if not self._retries.allows_fallbacks():
            return ()
        ready = self._endpoints.ready
        found: list[int] = []
        # The ready endpoints are in the order of their hashes, so any part is a random sample.
        start = int(self._random.random() * len(ready))
        for endpoint_id in (ready[at] for at in range(start - len(ready), start)):
            if len(found) >= max_count:
                break
            if self._is_fallback(pending, self._endpoints.by_id[endpoint_id], end_ms, now_ms):
                found.append(endpoint_id)
        return tuple(found)

    def _is_fallback(
        self, pending: PendingRequest, tracked: TrackedEndpoint, end_ms: float, now_ms: float
    ) -> bool:
        endpoint, health = tracked.endpoint, tracked.health[pending.request.class_index]
        if health.ejected_until_ms or endpoint.id in pending.tried_endpoints:
            return False
        if self._slow_start.capacity_share(
            endpoint, now_ms
        ) < 1.0 or self._locality.gets_no_traffic(endpoint.zone):
            return False
        if not self.is_usable(tracked, health, now_ms):
            return False
        return self._retries.may_send(pending, endpoint, now_ms, end_ms)
