"""Outlier detection: an endpoint that fails far more than the fleet is ejected, then tried."""

from __future__ import annotations

import random
from collections.abc import Iterable

from badgercart.policy.endpoint import EndpointStatistics
from badgercart.policy.endpoints import ClassHealth, EndpointSet, TrackedEndpoint
from badgercart.policy.error_rate import ErrorRate
from badgercart.policy.events import AttemptResult
from badgercart.policy.hash_ring import VirtualNodes
from badgercart.policy.subset import Subset

EJECT_FAILURE_RATE = 0.4  # over twice the fleet's rate, above which an endpoint is ejected
EJECTION_MS = 2000.0  # before the first trial; doubled with each further ejection
MAX_DOUBLINGS = 4
EJECTION_JITTER = 0.75, 0.5  # least factor and spread of the ejection time
MAX_EJECTED_SHARE = 0.34  # of the subset: where more fail the trouble is shared
MIN_FLEET_SIZE = 8  # endpoints that a fleet counts for at least, when statistics are restored
REPORTED_RATE_CAP = 0.3  # what other nodes report counts for no more: alone it ejects nothing
SUCCESS_KEEP = 0.7  # of the failure rate, with a success

# Gain of the failure rate in the class of the attempt, and in the others. An error may concern one
# class only; silence concerns all.
ERROR_GAINS = 0.5, 0.1
SILENCE_GAINS = 0.3, 0.3
# A full endpoint is loaded; but one that says nothing else, as before its drain is listed, would
# draw traffic by being quick to say it.
FULL_GAINS = 0.1, 0.03


class OutlierDetector:
    """Which endpoints are ejected, and their failure rates."""

    __slots__ = (
        "_endpoints",
        "_error_rate",
        "_random",
        "_subset",
        "_virtual_nodes",
        "ejected",
        "not_executed",
    )

    def __init__(
        self,
        endpoints: EndpointSet,
        subset: Subset,
        virtual_nodes: VirtualNodes,
        error_rate: ErrorRate,
        rng: random.Random,
    ) -> None:
        self._endpoints, self._subset, self._virtual_nodes = endpoints, subset, virtual_nodes
        self._error_rate, self._random = error_rate, rng
        self.ejected: set[int] = (
            set()
        )  # endpoints that are or were ejected, until they prove themselves
        self.not_executed: frozenset[AttemptResult] = frozenset()  # results that prove it

    def record_success(self, tracked: TrackedEndpoint, class_index: int) -> None:
        """Take an endpoint back: it answered."""
        health = tracked.health[class_index]
        health.failure_rate *= SUCCESS_KEEP
        health.ejected_until_ms, health.consecutive_ejections = (
            0.0,
            health.consecutive_ejections // 2,
        )
        ejected = self.ejected
        if tracked.endpoint.id in ejected and not any(
            other.ejected_until_ms for other in tracked.health
        ):
            ejected.discard(tracked.endpoint.id)

    def record_failure(
        self, tracked: TrackedEndpoint, class_index: int, result: int, weight: float, now_ms: float
    ) -> None:
        """Count a failure by its weight, 0 to 1, and eject the endpoint where it stands out."""
        gain, others_gain = self._gains(result)
        gain, others_gain = gain * weight, others_gain * weight
        limit = EJECT_FAILURE_RATE + 2 * self._error_rate.rate
        for index, health in enumerate(tracked.health):
            class_gain = gain if index == class_index else others_gain
            health.failure_rate += class_gain * (1.0 - health.failure_rate)
            if health.failure_rate <= limit or health.ejected_until_ms > now_ms:
                continue
            if self._ejected_count(index, now_ms) < MAX_EJECTED_SHARE * self._subset.size:
                self._eject(tracked, health, now_ms)

    def _gains(self, result: int) -> tuple[float, float]:
        if result == AttemptResult.FULL and AttemptResult.FULL in self.not_executed:
            return FULL_GAINS
        # Where FULL proves nothing, it costs the request, as an error does.
        return ERROR_GAINS if result in (AttemptResult.ERROR, AttemptResult.FULL) else SILENCE_GAINS

    def _ejected_count(self, class_index: int, now_ms: float) -> int:
        """Return how many endpoints of the subset, by the ring, are ejected for a class."""
        by_id, on_ring = self._endpoints.by_id, self._virtual_nodes.counts
        ejected = [by_id[endpoint_id] for endpoint_id in self.ejected if endpoint_id in on_ring]
        return sum(tracked.health[class_index].ejected_until_ms > now_ms for tracked in ejected)

    def _eject(self, tracked: TrackedEndpoint, health: ClassHealth, now_ms: float) -> None:
        self.ejected.add(tracked.endpoint.id)
        least, spread = EJECTION_JITTER
        doublings = min(health.consecutive_ejections, MAX_DOUBLINGS)
        duration_ms = EJECTION_MS * 2**doublings * (least + spread * self._random.random())
        health.ejected_until_ms = now_ms + duration_ms
        health.consecutive_ejections += 1

    @staticmethod
    def ejected_capacity(tracked: TrackedEndpoint, capacity: float) -> float:
        """Return how much of an endpoint's capacity is ejected, over the classes."""
        ejected = sum(health.ejected_until_ms > 0 for health in tracked.health)
        return capacity * ejected / len(tracked.health)

    def apply_reports(self, reports: Iterable[tuple[int, float]]) -> None:
        """Take over which endpoints other nodes found failing, and how much, 0 to 1."""
        for endpoint_id, level in reports:
            tracked = self._endpoints.by_id.get(endpoint_id)
            if tracked is None:
                continue
            for health in tracked.health:
                health.failure_rate = max(health.failure_rate, min(level, REPORTED_RATE_CAP))

    def restore(
        self,
        tracked: TrackedEndpoint,
        statistics: EndpointStatistics,
        fleet_size: int,
        now_ms: float,
    ) -> None:
        """Take over a predecessor's failure rates; an outlier is on trial from now on."""
        rates = zip(
            tracked.health, statistics.failure_rates, statistics.consecutive_ejections, strict=True
        )
        for health, failure_rate, ejections in rates:
            health.failure_rate, health.consecutive_ejections = failure_rate, round(ejections)
            most = MAX_EJECTED_SHARE * max(fleet_size, MIN_FLEET_SIZE)
            if failure_rate > EJECT_FAILURE_RATE and len(self.ejected) < most:
                health.ejected_until_ms = now_ms or 1e-9
                self.ejected.add(tracked.endpoint.id)
