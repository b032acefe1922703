"""Outlier detection: ejects an endpoint that fails far more than the fleet, then puts it on trial.

An endpoint on trial gets one attempt at a time until one succeeds. No I/O.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

from badgercart.policy.endpoint import EndpointStatistics
from badgercart.policy.endpoints import ClassHealth, EndpointSet, TrackedEndpoint
from badgercart.policy.error_rate import ErrorRate
from badgercart.policy.events import AttemptResult
from badgercart.policy.hash_ring import VirtualNodes
from badgercart.policy.subset import Subset

# An endpoint is ejected if its failure rate exceeds this plus twice the fleet's rate.
EJECT_FAILURE_RATE = 0.4
EJECTION_MS = 2000.0  # before the first trial; doubled with each further ejection
MAX_DOUBLINGS = 4
# Minimum and spread of the random factor of the ejection time.
EJECTION_JITTER_MIN = 0.75
EJECTION_JITTER_SPREAD = 0.5
# Largest share of the subset that is ejected; if more fail, they have a fault in common.
MAX_EJECTED_SHARE = 0.34
# When statistics are restored, the fleet is assumed to have at least this many endpoints.
MIN_FLEET_SIZE = 8
# A failure rate that other nodes report counts at most this much, which alone ejects no endpoint.
REPORTED_RATE_CAP = 0.3
SUCCESS_KEEP_SHARE = 0.7  # share of the failure rate that is left after a success

# Gain of the failure rate in the class of the attempt, and in the other classes. An error may
# concern one class only; a missing response concerns all.
ERROR_GAIN = 0.5
ERROR_GAIN_OTHER_CLASSES = 0.1
NO_RESPONSE_GAIN = 0.3
NO_RESPONSE_GAIN_OTHER_CLASSES = 0.3
# FULL is a sign of load rather than of a fault. It counts all the same: an endpoint that rejects
# everything, as before its drain is listed, would attract traffic by its quick responses.
FULL_GAIN = 0.1
FULL_GAIN_OTHER_CLASSES = 0.03


class OutlierDetector:
    """The ejected endpoints, and the rules by which failure rates change.

    Attributes:
        ejected: ids of endpoints that are ejected or on trial.
        not_executed: results which prove that a request was not executed.
    """

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
        self.ejected: set[int] = set()
        self.not_executed: frozenset[AttemptResult] = frozenset()

    def record_success(self, tracked: TrackedEndpoint, class_index: int) -> None:
        """Lower an endpoint's failure rate after a success, and end its ejection or trial."""
        health = tracked.health[class_index]
        health.failure_rate *= SUCCESS_KEEP_SHARE
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
        """Count a failure by its weight, 0 to 1, and eject the endpoint if it is an outlier."""
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
            return FULL_GAIN, FULL_GAIN_OTHER_CLASSES
        # If the request may have been executed despite FULL, it is lost as with an error.
        if result in (AttemptResult.ERROR, AttemptResult.FULL):
            return ERROR_GAIN, ERROR_GAIN_OTHER_CLASSES
        return NO_RESPONSE_GAIN, NO_RESPONSE_GAIN_OTHER_CLASSES

    def _ejected_count(self, class_index: int, now_ms: float) -> int:
        """Return how many endpoints of the subset are ejected for a class.

        The endpoints on the hash ring stand for the subset.
        """
        by_id, on_ring = self._endpoints.by_id, self._virtual_nodes.counts
        ejected = [by_id[endpoint_id] for endpoint_id in self.ejected if endpoint_id in on_ring]
        return sum(tracked.health[class_index].ejected_until_ms > now_ms for tracked in ejected)

    def _eject(self, tracked: TrackedEndpoint, health: ClassHealth, now_ms: float) -> None:
        self.ejected.add(tracked.endpoint.id)
        doublings = min(health.consecutive_ejections, MAX_DOUBLINGS)
        jitter = EJECTION_JITTER_MIN + EJECTION_JITTER_SPREAD * self._random.random()
        duration_ms = EJECTION_MS * 2**doublings * jitter
        health.ejected_until_ms = now_ms + duration_ms
        health.consecutive_ejections += 1

    @staticmethod
    def ejected_capacity(tracked: TrackedEndpoint, capacity: float) -> float:
        """Return the part of an endpoint's capacity that is ejected, by its share of classes."""
        ejected = sum(health.ejected_until_ms > 0 for health in tracked.health)
        return capacity * ejected / len(tracked.health)

    def apply_reports(self, reports: Iterable[tuple[int, float]]) -> None:
        """Apply failure reports of other nodes: endpoint ids with their failure rates, 0 to 1."""
        for endpoint_id, reported_rate in reports:
            tracked = self._endpoints.by_id.get(endpoint_id)
            if tracked is None:
                continue
            for health in tracked.health:
                health.failure_rate = max(
                    health.failure_rate, min(reported_rate, REPORTED_RATE_CAP)
                )

    def restore(
        self,
        tracked: TrackedEndpoint,
        statistics: EndpointStatistics,
        fleet_size: int,
        now_ms: float,
    ) -> None:
        """Restore an endpoint's failure rates from before a restart of this node.

        An outlier is on trial from now on.
        """
        rates = zip(
            tracked.health, statistics.failure_rates, statistics.consecutive_ejections, strict=True
        )
        for health, failure_rate, ejections in rates:
            health.failure_rate, health.consecutive_ejections = failure_rate, round(ejections)
            max_ejected = MAX_EJECTED_SHARE * max(fleet_size, MIN_FLEET_SIZE)
            if failure_rate > EJECT_FAILURE_RATE and len(self.ejected) < max_ejected:
                health.ejected_until_ms = now_ms or 1e-9  # 0 would mean: not ejected
                self.ejected.add(tracked.endpoint.id)
