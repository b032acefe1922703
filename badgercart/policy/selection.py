"""The choice of an endpoint: an idle-looking one of a few, else the lighter of two. No I/O."""

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

CANDIDATES = 6  # endpoints that are drawn to find an idle one
CHOICES = 2  # usable candidates among which the lighter one wins if none is idle
IDLE_LOAD = 1 + 1.15  # below this load an endpoint of typical latency counts as idle
OPEN_ATTEMPT_LOAD = 4  # what an open attempt weighs in a load
RECENT_ATTEMPT_LOAD = 0.5  # the same of a recent attempt, over the mean of all endpoints
MIN_ABILITY = 1e-6  # in place of 0, where a list gives no sizes
# An endpoint with that multiple of its part is by itself in full overload.
CROWDED_FACTOR = IN_FLIGHT_FULL


class EndpointSelector:
    """Chooses endpoints for attempts. It owns no state but the settings in force."""

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
        """Go by these settings from now on."""
        self._settings = settings

    def select(self, pending: PendingRequest, now_ms: float) -> TrackedEndpoint | None:
        """Return the endpoint of a request's next attempt; None where none can serve it."""
        plan = self._locality.plan
        if plan is None:
            return self._choose(pending, self.candidates(pending.request.key), now_ms, 1.0)
        return self._select_by_plan(plan, pending, now_ms)

    def _select_by_plan(
        self, plan: TrafficPlan, pending: PendingRequest, now_ms: float
    ) -> TrackedEndpoint | None:
        """Draw a zone by the plan, and spill over where it has no usable endpoint."""
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
        """Return the first idle candidate, else the lighter of two; None: none is usable.

        `load_factor`: what is sent to endpoints like these over their even part.
        """
        endpoints, size = self._endpoints, self._subset.size
        by_id, class_index, tried = (
            endpoints.by_id,
            pending.request.class_index,
            pending.tried_endpoints,
        )
        mean_attempts = endpoints.recent_attempts / size * load_factor
        whole, may_send = size == len(endpoints.ready), self._retries.may_send
        lightest, least, usable, most = None, 0.0, 0, CHOICES
        for endpoint_id in candidates:
            tracked = by_id[endpoint_id]
            health = tracked.health[class_index]
            if not self.is_usable(tracked, health, now_ms):
                continue
            if not may_send(pending, tracked.endpoint, now_ms):
                continue
            if (
                tracked is lightest or endpoint_id in tried
            ):  # two choices are two endpoints, in a small fleet too
                continue
            load = self._load(tracked, health, mean_attempts, now_ms)
            usable += 1
            if load < IDLE_LOAD:
                lightest = tracked
                break
            if lightest is None or (usable <= most and load < least):
                lightest, least = tracked, load
            # In a subset it is worth looking on for an idle one; in a whole fleet past crowded
            # ones.
            if whole:
                most = CANDIDATES if self._is_crowded(lightest, load_factor) else CHOICES
            if usable >= (most if whole else CANDIDATES):
                break
        if (
            lightest is not None
            and self._slow_start.capacity_share(lightest.endpoint, now_ms) < 1.0
        ):
            lightest.tokens -= 1
        return lightest

    def _load(
        self, tracked: TrackedEndpoint, health: ClassHealth, mean_attempts: float, now_ms: float
    ) -> float:
        """Return what an endpoint bears: attempts by its ability, its latency, its failures."""
        capacity, endpoint = self._capacity, tracked.endpoint
        ability = max(
            capacity.weight(endpoint) * self._slow_start.capacity_share(endpoint, now_ms),
            MIN_ABILITY,
        )
        recent = RECENT_ATTEMPT_LOAD * tracked.recent_attempts / mean_attempts
        attempts = (recent + OPEN_ATTEMPT_LOAD * len(tracked.open_attempts)) / ability
        return (
            (1 + attempts * capacity.mean_weight)
            * tracked.relative_latency
            * (1 + health.failure_rate)
        )

    def _is_crowded(self, tracked: TrackedEndpoint, load_factor: float) -> bool:
        """Return whether an endpoint holds so much that a fleet of its like would be overloaded."""
        part = self._concurrency.limit / self._fleet.available_capacity * load_factor
        part *= self._capacity.weight(tracked.endpoint)  # a list may give no sizes
        return len(tracked.open_attempts) * self._capacity.mean_weight >= CROWDED_FACTOR * part

    def is_usable(self, tracked: TrackedEndpoint, health: ClassHealth, now_ms: float) -> bool:
        """Return whether an endpoint may get an attempt: not ejected, hanging, or out of tokens."""
        open_attempts = tracked.open_attempts
        if health.ejected_until_ms and (health.ejected_until_ms > now_ms or open_attempts):
            return False  # after its ejection it gets one attempt at a time until it proves itself
        if open_attempts:
            for _, overdue_ms in open_attempts.values():
                if overdue_ms < now_ms:
                    return False  # hanging or pausing, seen before any time-out
        slow_start = self._slow_start
        return slow_start.capacity_share(tracked.endpoint, now_ms) >= 1.0 or slow_start.has_token(
            tracked, now_ms
        )

    def candidates(self, key: int) -> Iterator[int]:
        """Return endpoint ids in the order to consider them: the key's, drawn ones, then all."""
        virtual_nodes, subset, settings = self._virtual_nodes, self._subset, self._settings
        if key and settings.key_affinity and virtual_nodes.ring.blocks:
            # Virtual nodes of an endpoint that left may be there yet.
            applied = self._endpoints.applied
            for endpoint_id in self._key_endpoints(key):
                if endpoint_id in applied:
                    yield endpoint_id
        drawn = self._draw(subset.endpoint_ids, subset.size)
        by_id, zone = self._endpoints.by_id, settings.zone
        far = {i: by_id[i].endpoint.zone != zone for i in drawn}
        weak = self._draw_weak(drawn)
        yield from sorted(drawn, key=lambda i: (far[i], weak[i]))
        ready = self._endpoints.ready
        start = subset.start + int(self._random.random() * subset.size)
        yield from (ready[at] for at in range(start - len(ready), start))

    def _key_endpoints(self, key: int) -> tuple[int, int]:
        """Draw two endpoints of those that a key is spread over."""
        endpoint_of = self._virtual_nodes.endpoint_of
        places = self._key_traffic.places(key, self._subset.size)
        first = int(self._random.random() * places)
        second = (first + 1) % max(places, 2)
        return endpoint_of(key, first), endpoint_of(key, second)

    def _zone_candidates(self, zone: int, key: int) -> Iterator[int]:
        """Return endpoint ids of a zone in the order to look at them."""
        endpoint_ids = self._locality.by_zone.get(zone, [])
        ring = self._virtual_nodes.ring
        if key and self._settings.key_affinity and ring.blocks and endpoint_ids:
            own = ring.successor_among(mix_hash(key), self._locality.members[zone])
            if own is not None:
                yield own
        drawn = self._draw(endpoint_ids, len(endpoint_ids))
        weak = self._draw_weak(drawn)
        yield from sorted(drawn, key=lambda i: weak[i])
        start = int(self._random.random() * len(endpoint_ids))
        yield from (endpoint_ids[at] for at in range(start - len(endpoint_ids), start))

    def _draw(self, endpoint_ids: list[int], size: int) -> list[int]:
        if not endpoint_ids:
            return []
        rng = self._random.random
        return [endpoint_ids[int(rng() * size)] for _ in range(CANDIDATES)]

    def _draw_weak(self, drawn: list[int]) -> dict[int, bool]:
        """Draw which endpoints are put behind the others, the weaker the likelier."""
        rng, by_id, weight = self._random.random, self._endpoints.by_id, self._capacity.weight
        return {i: rng() > weight(by_id[i].endpoint) for i in drawn}

    def fallbacks(self, pending: PendingRequest, end_ms: float, now_ms: float) -> tuple[int, ...]:
        """Return where a transport may go on to by itself; never an endpoint in slow start."""
        most = min(pending.request.max_fallbacks, self._retries.attempts_left(pending))
        if not self._retries.allows_fallbacks():
            return ()
        ready = self._endpoints.ready
        found: list[int] = []
        start = int(
            self._random.random() * len(ready)
        )  # their order is that of hashes: any part will do
        for endpoint_id in (ready[at] for at in range(start - len(ready), start)):
            if len(found) >= most:
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
