"""What one node observes of each zone by its own attempts and health checks. No I/O.

A zone is unreachable when its silence can't be chance any more. With exponentially distributed
latencies of mean m, the chance that attempts which have been outstanding for a_1, a_2, … ms are all
still unanswered is exp(-sum(a) / m). So sum(a) / m is the suspicion, whatever the rate of traffic
is (as the phi of Hayashibara et al. 2004, over many attempts). One endpoint that hangs is the
policy's concern: any answer from the zone takes the suspicion away.
"""

from __future__ import annotations

from enum import IntEnum

from badgercart.policy.events import AttemptResult

UNREACHABLE_SUSPICION = 12.0  # a chance of 6 in a million
NO_CONNECTION_SUSPICION = 2.5  # of an attempt or a health check that nobody accepted
# The least suspicion that an attempt adds by the way it ended.
MIN_SUSPICION = {
    AttemptResult.UNREACHABLE: NO_CONNECTION_SUSPICION,
    AttemptResult.RESET: NO_CONNECTION_SUSPICION / 2,
}
# Results that show that the zone answers.
ANSWERS = frozenset({AttemptResult.OK, AttemptResult.ERROR, AttemptResult.FULL})

MIN_ATTEMPTS = 3  # that a verdict rests on, at two endpoints where there are two
MAX_ENDPOINTS = 16  # endpoints of a zone that are told apart
HEALTHY_CHECKS = 3  # answered in a row before an unreachable zone is reachable again
DEFAULT_LATENCY_MS = 100.0  # assumed until an answer has come

REACHABLE_FOR_MS = 10_000.0  # after an answer
LATENCY_VALID_MS = 3000.0  # after an attempt that took a known time
CHECK_AFTER_MS = 100.0  # silence after which a zone with an unanswered attempt is checked
BASELINE_DOUBLING_MS = 100_000.0  # in which the baseline latency doubles unless it is met again

# How many samples the averages reach back over.
MEAN_SAMPLES = 30.0  # success rate and mean latency of a zone
LATENCY_SAMPLES = 40.0  # latency with timeouts: of fewer, a third more is chance
OVERALL_SAMPLES = 200.0  # mean latency over all zones: its minimum must not be chance


class Reachability(IntEnum):
    """What a node says of a zone. The numbers travel in reports."""

    UNKNOWN = 0
    REACHABLE = 1
    UNREACHABLE = 2


class LatencyTracker:
    """A zone's latencies: the current one beside the lowest of late.

    A zone is compared with itself, since a node that stays in its own zone sees no other.
    """

    __slots__ = ("_baseline_ms", "_current_ms", "_sample_count", "_sampled_at", "mean_ms")

    def __init__(self) -> None:
        """Begin without any sample."""
        self.mean_ms = 0.0  # of successful answers; 0: none yet
        self._current_ms = 0.0  # with attempts that timed out, or only the quick ones would count
        self._baseline_ms = 0.0  # the lowest that the current one was; 0: none yet
        self._sample_count = 0.0  # that the current one rests on, up to LATENCY_SAMPLES
        self._sampled_at = -REACHABLE_FOR_MS

    @property
    def relative(self) -> float:
        """The current latency over the baseline; 1 while there is no baseline."""
        return self._current_ms / self._baseline_ms if self._baseline_ms else 1.0

    def is_current(self, now: float) -> bool:
        """Return whether the relative latency rests on attempts of late; checks do not count."""
        return self._baseline_ms > 0 and now - self._sampled_at < LATENCY_VALID_MS

    def record(self, now: float, latency_ms: float, silent_ms: float) -> None:
        """Take over an attempt that was answered, or not, in this time.

        Args:
            now: ms on the node's clock.
            latency_ms: how long the attempt took.
            silent_ms: time since the zone's last answer, by which the baseline grows.
        """
        self._sample_count = min(self._sample_count + 1, LATENCY_SAMPLES)
        self._sampled_at = now
        self._current_ms += (latency_ms - self._current_ms) / self._sample_count
        if self._sample_count >= LATENCY_SAMPLES:
            growth = 1 + min(silent_ms, BASELINE_DOUBLING_MS) / BASELINE_DOUBLING_MS
            grown_ms = self._baseline_ms * growth
            self._baseline_ms = min(grown_ms or self._current_ms, self._current_ms)

    def record_mean(self, latency_ms: float) -> None:
        """Take over a successful answer into the mean."""
        if self.mean_ms:
            self.mean_ms += (latency_ms - self.mean_ms) / MEAN_SAMPLES
        else:
            self.mean_ms += latency_ms


class ZoneObservation:
    """One zone as this node observes it. Counts begin anew with each answer of the zone."""

    __slots__ = (
        "_attempts",
        "_ended_suspicion",
        "_endpoints",
        "_healthy_checks",
        "_outstanding",
        "_sent_sum_ms",
        "answered_at",
        "latency",
        "success_rate",
        "unreachable",
    )

    def __init__(self) -> None:
        """Begin without any attempt."""
        self.answered_at = -REACHABLE_FOR_MS
        self.success_rate = 1.0  # share of answers that were no errors
        self.unreachable = False
        self.latency = LatencyTracker()
        self._outstanding = 0  # attempts without an answer
        self._sent_sum_ms = 0.0  # sum of the times at which those were sent
        self._ended_suspicion = 0.0  # of attempts that ended without an answer
        self._attempts = 0  # attempts and checks that the suspicion rests on
        self._endpoints: set[int] = set()  # that they went to
        self._healthy_checks = 0  # answered in a row since the zone is unreachable

    @property
    def endpoint_count(self) -> int:
        """How many endpoints the suspicion rests on, up to MAX_ENDPOINTS."""
        return len(self._endpoints)

    @property
    def has_failed_attempts(self) -> bool:
        """Whether an attempt or check ended without an answer since the last answer."""
        return self._ended_suspicion > 0

    def sent(self, now: float, endpoint_id: int) -> None:
        """Take over that an attempt was sent."""
        self._outstanding += 1
        self._sent_sum_ms += now
        self._attempts += 1
        if len(self._endpoints) < MAX_ENDPOINTS:
            self._endpoints.add(endpoint_id)

    def answered(self, now: float) -> None:
        """Take over that the zone answered: what counted against it is void."""
        self.answered_at = now
        self._outstanding, self._sent_sum_ms = 0, 0.0
        self._ended_suspicion, self._attempts = 0.0, 0
        self._endpoints.clear()
        self.unreachable, self._healthy_checks = False, 0

    def unanswered(self, sent_at: float, suspicion: float) -> None:
        """Take over that an attempt ended without an answer."""
        self._outstanding = max(self._outstanding - 1, 0)
        remaining_ms = max(self._sent_sum_ms - sent_at, 0.0)
        self._sent_sum_ms = remaining_ms if self._outstanding else 0.0
        self._ended_suspicion += suspicion

    def checked(self, now: float, endpoint_id: int, healthy: bool) -> None:
        """Take over the result of a health check."""
        if not healthy:
            self._healthy_checks = 0
            self._ended_suspicion += NO_CONNECTION_SUSPICION
            self._attempts += 1
            if len(self._endpoints) < MAX_ENDPOINTS:
                self._endpoints.add(endpoint_id)
        elif self.unreachable and self._healthy_checks + 1 < HEALTHY_CHECKS:
            self._healthy_checks += 1
        else:
            self.answered(now)

    def suspicion(self, now: float, mean_latency_ms: float) -> float:
        """Return how unlikely the zone's silence is, by answers of this mean latency."""
        outstanding_ms = self._outstanding * now - self._sent_sum_ms
        return self._ended_suspicion + outstanding_ms / mean_latency_ms

    def has_evidence(self, endpoint_count: int) -> bool:
        """Return whether the suspicion rests on enough attempts and endpoints."""
        return self._attempts >= MIN_ATTEMPTS and len(self._endpoints) >= min(2, endpoint_count)


class ZoneFailureDetector:
    """Observes all zones. Times are in ms on the node's clock."""

    def __init__(self, zone_count: int) -> None:
        """Begin with every zone unknown."""
        self.zones = [ZoneObservation() for _ in range(zone_count)]
        self.mean_latency_ms = 0.0  # of all zones' successful answers; 0: none yet
        self._sample_count = 0.0  # that it rests on, up to OVERALL_SAMPLES

    def attempt_sent(self, now: float, zone: int, endpoint_id: int) -> None:
        """Take over that an attempt was sent to an endpoint of a zone."""
        self.zones[zone].sent(now, endpoint_id)

    def attempt_ended(
        self, now: float, zone: int, result: AttemptResult, elapsed_ms: float
    ) -> None:
        """Take over that an attempt ended, `elapsed_ms` after it was sent."""
        if result in ANSWERS:
            self._answered(now, self.zones[zone], result, elapsed_ms)
        else:
            self._unanswered(now, self.zones[zone], result, elapsed_ms)

    def _answered(
        self, now: float, zone: ZoneObservation, result: AttemptResult, elapsed_ms: float
    ) -> None:
        zone.success_rate += ((result != AttemptResult.ERROR) - zone.success_rate) / MEAN_SAMPLES
        if result == AttemptResult.OK:
            zone.latency.record_mean(elapsed_ms)
            self._sample_count = min(self._sample_count + 1, OVERALL_SAMPLES)
            self.mean_latency_ms += (elapsed_ms - self.mean_latency_ms) / self._sample_count
            zone.latency.record(now, elapsed_ms, now - zone.answered_at)
        zone.answered(now)

    def _unanswered(
        self, now: float, zone: ZoneObservation, result: AttemptResult, elapsed_ms: float
    ) -> None:
        if result == AttemptResult.TIMEOUT:
            zone.latency.record(now, elapsed_ms, now - zone.answered_at)
        sent_at = now - elapsed_ms
        sent_before_last_answer = sent_at < zone.answered_at
        if sent_before_last_answer or result == AttemptResult.NOT_SENT:
            return
        least = MIN_SUSPICION.get(result, 0.0)
        zone.unanswered(sent_at, max(least, elapsed_ms / self._expected_latency_ms(zone)))

    def health_checked(self, now: float, zone: int, endpoint_id: int, healthy: bool) -> None:
        """Take over whether an endpoint of a zone answered a health check."""
        self.zones[zone].checked(now, endpoint_id, healthy)

    def suspicion(self, now: float, zone: int) -> float:
        """Return how unlikely a zone's silence is: minus the logarithm of its chance."""
        observation = self.zones[zone]
        return observation.suspicion(now, self._expected_latency_ms(observation))

    def reachability(self, now: float, zone: int, endpoint_count: int = 2) -> Reachability:
        """Return what this node says of a zone that has so many endpoints.

        An unreachable zone stays so until it answers an attempt or several checks in a row.
        """
        observation = self.zones[zone]
        if not observation.unreachable and observation.has_evidence(endpoint_count):
            observation.unreachable = self.suspicion(now, zone) >= UNREACHABLE_SUSPICION
        if observation.unreachable:
            return Reachability.UNREACHABLE
        if now - observation.answered_at < REACHABLE_FOR_MS:
            return Reachability.REACHABLE
        return Reachability.UNKNOWN

    def wants_check(self, now: float, zone: int, max_silence_ms: float) -> bool:
        """Return whether a health check has to tell how a zone is, since traffic does not.

        That is so where it is unreachable, was silent for `max_silence_ms`, or left an attempt
        without an answer.
        """
        observation = self.zones[zone]
        silent_ms = now - observation.answered_at
        if observation.unreachable or silent_ms > max_silence_ms:
            return True
        return observation.has_failed_attempts and silent_ms > CHECK_AFTER_MS

    def _expected_latency_ms(self, zone: ZoneObservation) -> float:
        """Return the mean latency by which silence is judged."""
        if not zone.latency.mean_ms and not self.mean_latency_ms:
            return DEFAULT_LATENCY_MS
        return max(zone.latency.mean_ms, self.mean_latency_ms, 1.0)
