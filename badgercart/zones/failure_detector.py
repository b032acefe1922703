"""Failure detection of zones by one node's own attempts and health checks. No I/O.

A zone is unreachable when its silence is too unlikely to be random. With exponentially distributed
latencies of mean m, the probability that attempts which have been outstanding for a_1, a_2, … ms
are all still unanswered is exp(-sum(a) / m). So sum(a) / m is the suspicion, independent of the
request rate (as the phi of Hayashibara et al. 2004, over many attempts). A single endpoint that
hangs is left to the policy: any response from the zone resets the suspicion.
"""

from __future__ import annotations

from enum import IntEnum

from badgercart.policy.events import AttemptResult

# Suspicion from which a zone is unreachable: a probability of 6 in a million.
UNREACHABLE_SUSPICION = 12.0
# Suspicion of an attempt or a health check whose connection was not accepted.
NO_CONNECTION_SUSPICION = 2.5
# The minimum suspicion that an attempt adds, by its result.
MIN_SUSPICION = {
    AttemptResult.UNREACHABLE: NO_CONNECTION_SUSPICION,
    AttemptResult.RESET: NO_CONNECTION_SUSPICION / 2,
}
# Results that show that the zone responds.
ANSWERED_RESULTS = frozenset({AttemptResult.OK, AttemptResult.ERROR, AttemptResult.FULL})

# Attempts needed before a zone is unreachable, to two different endpoints if it has two.
MIN_EVIDENCE_ATTEMPTS = 3
# Distinct endpoints of a zone that are counted.
MAX_TRACKED_ENDPOINTS = 16
# Consecutive successful health checks before an unreachable zone is reachable again.
REQUIRED_HEALTHY_CHECKS = 3
# Assumed until the first response.
DEFAULT_LATENCY_MS = 100.0

# How long a zone counts as reachable after a response.
REACHABLE_FOR_MS = 10_000.0
# How long the relative latency is valid after an attempt with a known duration.
LATENCY_VALID_MS = 3000.0
# Silence after which a zone with an unanswered attempt gets a health check.
CHECK_AFTER_MS = 100.0
# Time in which the baseline latency doubles unless it is measured again.
BASELINE_DOUBLING_MS = 100_000.0

# Sample counts of the moving averages. For the success rate and mean latency of a zone:
MEAN_SAMPLES = 30.0
# For the latency with timeouts; with fewer samples, random variation reaches a third.
LATENCY_SAMPLES = 40.0
# For the mean latency over all zones, whose minimum must not be random variation.
OVERALL_SAMPLES = 200.0


class Reachability(IntEnum):
    """What a node observes of a zone. The numbers are part of the wire format of reports."""

    UNKNOWN = 0
    REACHABLE = 1
    UNREACHABLE = 2


class LatencyTracker:
    """A zone's current latency, compared with the lowest recent one.

    A zone is compared with itself, since a node that only sends to its own zone has no other zone
    to compare with.
    """

    __slots__ = ("_baseline_ms", "_current_ms", "_sample_count", "_sampled_at_ms", "mean_ms")

    def __init__(self) -> None:
        """Start without any sample."""
        self.mean_ms = 0.0  # of successful responses; 0 before the first one
        # Includes attempts that timed out; otherwise, only the fast ones would count.
        self._current_ms = 0.0
        self._baseline_ms = 0.0  # the lowest recent latency; 0 before the first one
        self._sample_count = 0.0  # at most LATENCY_SAMPLES
        self._sampled_at_ms = -REACHABLE_FOR_MS

    @property
    def relative(self) -> float:
        """The current latency divided by the baseline; 1 while there is no baseline."""
        return self._current_ms / self._baseline_ms if self._baseline_ms else 1.0

    def is_current(self, now_ms: float) -> bool:
        """Return whether the relative latency is based on recent attempts, not health checks."""
        return self._baseline_ms > 0 and now_ms - self._sampled_at_ms < LATENCY_VALID_MS

    def record(self, now_ms: float, latency_ms: float, silent_ms: float) -> None:
        """Record the duration of an attempt that got a response or timed out.

        Args:
            now_ms: the time on the node's clock.
            latency_ms: how long the attempt took.
            silent_ms: the time since the zone's last response, in which the baseline grows.
        """
        self._sample_count = min(self._sample_count + 1, LATENCY_SAMPLES)
        self._sampled_at_ms = now_ms
        self._current_ms += (latency_ms - self._current_ms) / self._sample_count
        if self._sample_count >= LATENCY_SAMPLES:
            growth = 1 + min(silent_ms, BASELINE_DOUBLING_MS) / BASELINE_DOUBLING_MS
            grown_ms = self._baseline_ms * growth
            self._baseline_ms = min(grown_ms or self._current_ms, self._current_ms)

    def record_mean(self, latency_ms: float) -> None:
        """Include a successful response in the mean latency."""
        if self.mean_ms:
            self.mean_ms += (latency_ms - self.mean_ms) / MEAN_SAMPLES
        else:
            self.mean_ms += latency_ms


class ZoneObservation:
    """One zone as this node observes it. Each response of the zone resets the counts."""

    __slots__ = (
        "_attempts",
        "_ended_suspicion",
        "_endpoints",
        "_healthy_checks",
        "_outstanding",
        "_sent_sum_ms",
        "answered_at_ms",
        "latency",
        "success_rate",
        "unreachable",
    )

    def __init__(self) -> None:
        """Start without any attempt."""
        self.answered_at_ms = -REACHABLE_FOR_MS
        self.success_rate = 1.0  # share of responses that were not errors
        self.unreachable = False
        self.latency = LatencyTracker()
        self._outstanding = 0  # attempts in flight
        self._sent_sum_ms = 0.0  # sum of the times at which those were sent
        self._ended_suspicion = 0.0  # of attempts that ended without a response
        self._attempts = 0  # attempts and health checks without a response
        self._endpoints: set[int] = set()  # their endpoints
        self._healthy_checks = 0  # consecutive ones since the zone is unreachable

    @property
    def endpoint_count(self) -> int:
        """How many endpoints the suspicion is based on, up to MAX_TRACKED_ENDPOINTS."""
        return len(self._endpoints)

    @property
    def has_failed_attempts(self) -> bool:
        """Whether an attempt or check has failed since the last response."""
        return self._ended_suspicion > 0

    def sent(self, now_ms: float, endpoint_id: int) -> None:
        """Record that an attempt was sent."""
        self._outstanding += 1
        self._sent_sum_ms += now_ms
        self._attempts += 1
        if len(self._endpoints) < MAX_TRACKED_ENDPOINTS:
            self._endpoints.add(endpoint_id)

    def answered(self, now_ms: float) -> None:
        """Record that the zone responded, which resets the suspicion."""
        self.answered_at_ms = now_ms
        self._outstanding, self._sent_sum_ms = 0, 0.0
        self._ended_suspicion, self._attempts = 0.0, 0
        self._endpoints.clear()
        self.unreachable, self._healthy_checks = False, 0

    def unanswered(self, sent_at_ms: float, suspicion: float) -> None:
        """Record that an attempt ended without a response."""
        self._outstanding = max(self._outstanding - 1, 0)
        remaining_ms = max(self._sent_sum_ms - sent_at_ms, 0.0)
        self._sent_sum_ms = remaining_ms if self._outstanding else 0.0
        self._ended_suspicion += suspicion

    def checked(self, now_ms: float, endpoint_id: int, healthy: bool) -> None:
        """Record the result of a health check."""
        if not healthy:
            self._healthy_checks = 0
            self._ended_suspicion += NO_CONNECTION_SUSPICION
            self._attempts += 1
            if len(self._endpoints) < MAX_TRACKED_ENDPOINTS:
                self._endpoints.add(endpoint_id)
        elif self.unreachable and self._healthy_checks + 1 < REQUIRED_HEALTHY_CHECKS:
            self._healthy_checks += 1
        else:
            self.answered(now_ms)

    def suspicion(self, now_ms: float, mean_latency_ms: float) -> float:
        """Return how unlikely the zone's silence is, given the mean latency of responses."""
        outstanding_ms = self._outstanding * now_ms - self._sent_sum_ms
        return self._ended_suspicion + outstanding_ms / mean_latency_ms

    def has_evidence(self, endpoint_count: int) -> bool:
        """Return whether the suspicion is based on enough attempts and endpoints."""
        return self._attempts >= MIN_EVIDENCE_ATTEMPTS and len(self._endpoints) >= min(
            2, endpoint_count
        )


class ZoneFailureDetector:
    """The failure detector for all zones. Times are in ms on the node's clock."""

    def __init__(self, zone_count: int) -> None:
        """Start with every zone unknown."""
        self.zones = [ZoneObservation() for _ in range(zone_count)]
        self.mean_latency_ms = 0.0  # of all successful responses; 0 before the first one
        self._sample_count = 0.0  # at most OVERALL_SAMPLES

    def attempt_sent(self, now_ms: float, zone: int, endpoint_id: int) -> None:
        """Record that an attempt was sent to an endpoint of a zone."""
        self.zones[zone].sent(now_ms, endpoint_id)

    def attempt_ended(
        self, now_ms: float, zone: int, result: AttemptResult, elapsed_ms: float
    ) -> None:
        """Record that an attempt ended, `elapsed_ms` after it was sent."""
        if result in ANSWERED_RESULTS:
            self._answered(now_ms, self.zones[zone], result, elapsed_ms)
        else:
            self._unanswered(now_ms, self.zones[zone], result, elapsed_ms)

    def _answered(
        self, now_ms: float, zone: ZoneObservation, result: AttemptResult, elapsed_ms: float
    ) -> None:
        zone.success_rate += ((result != AttemptResult.ERROR) - zone.success_rate) / MEAN_SAMPLES
        if result == AttemptResult.OK:
            zone.latency.record_mean(elapsed_ms)
            self._sample_count = min(self._sample_count + 1, OVERALL_SAMPLES)
            self.mean_latency_ms += (elapsed_ms - self.mean_latency_ms) / self._sample_count
            zone.latency.record(now_ms, elapsed_ms, now_ms - zone.answered_at_ms)
        zone.answered(now_ms)

    def _unanswered(
        self, now_ms: float, zone: ZoneObservation, result: AttemptResult, elapsed_ms: float
    ) -> None:
        if result == AttemptResult.TIMEOUT:
            zone.latency.record(now_ms, elapsed_ms, now_ms - zone.answered_at_ms)
        sent_at_ms = now_ms - elapsed_ms
        sent_before_last_answer = sent_at_ms < zone.answered_at_ms
        if sent_before_last_answer or result == AttemptResult.NOT_SENT:
            return
        min_suspicion = MIN_SUSPICION.get(result, 0.0)
        zone.unanswered(
            sent_at_ms, max(min_suspicion, elapsed_ms / self._expected_latency_ms(zone))
        )

    def health_checked(self, now_ms: float, zone: int, endpoint_id: int, healthy: bool) -> None:
        """Record whether an endpoint of a zone responded to a health check."""
        self.zones[zone].checked(now_ms, endpoint_id, healthy)

    def suspicion(self, now_ms: float, zone: int) -> float:
        """Return how unlikely a zone's silence is: the negative logarithm of its probability."""
        observation = self.zones[zone]
        return observation.suspicion(now_ms, self._expected_latency_ms(observation))

    def reachability(self, now_ms: float, zone: int, endpoint_count: int = 2) -> Reachability:
        """Return the reachability of a zone with this number of endpoints.

        An unreachable zone stays so until it responds to an attempt or to several consecutive
        health checks.
        """
        observation = self.zones[zone]
        if not observation.unreachable and observation.has_evidence(endpoint_count):
            observation.unreachable = self.suspicion(now_ms, zone) >= UNREACHABLE_SUSPICION
        if observation.unreachable:
            return Reachability.UNREACHABLE
        if now_ms - observation.answered_at_ms < REACHABLE_FOR_MS:
            return Reachability.REACHABLE
        return Reachability.UNKNOWN

    def wants_check(self, now_ms: float, zone: int, max_silence_ms: float) -> bool:
        """Return whether a zone needs a health check, since traffic does not show its state.

        That is the case if it is unreachable, was silent for `max_silence_ms`, or did not respond
        to an attempt.
        """
        observation = self.zones[zone]
        silent_ms = now_ms - observation.answered_at_ms
        if observation.unreachable or silent_ms > max_silence_ms:
            return True
        return observation.has_failed_attempts and silent_ms > CHECK_AFTER_MS

    def _expected_latency_ms(self, zone: ZoneObservation) -> float:
        """Return the mean latency with which silence is compared."""
        if not zone.latency.mean_ms and not self.mean_latency_ms:
            return DEFAULT_LATENCY_MS
        return max(zone.latency.mean_ms, self.mean_latency_ms, 1.0)
