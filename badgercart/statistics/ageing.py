"""Decay of learned statistics towards the values that are assumed without them. No I/O.

value(t) = prior + (value - prior) * 2 ** (-t / half-life). So decay in two steps equals decay in
one, and the prior alone is left in the end. Half-lives are minutes at most: old statistics are
worth little where the policy learns new ones within seconds.
"""

from __future__ import annotations

import math
from dataclasses import replace

from badgercart.policy.endpoint import EndpointStatistics
from badgercart.policy.latency import assumed_latency_ms
from badgercart.policy.settings import Settings
from badgercart.policy.statistics import PolicyStatistics

SECOND_MS = 1000.0
MINUTE_MS = 60_000.0
HALF_LIVES_MS = {
    # The policy learns it again with some fifty responses.
    "typical_latency_ms": 10 * MINUTE_MS,
    # The same; in addition it includes the latency of endpoints that were slow.
    "kind_ratios": 10 * MINUTE_MS,
    "offered": MINUTE_MS,
    # The number of samples stands for the confidence in the best latency, since there is no prior
    # towards which that latency could decay.
    "samples": 10 * MINUTE_MS,
    "rates": MINUTE_MS,
    # The interval at which the policy halves these counts itself.
    "keys": 5 * SECOND_MS,
    "relative_latency": MINUTE_MS,
    # The same interval.
    "recent_attempts": 5 * SECOND_MS,
    "failure_rates": 30 * SECOND_MS,
    "consecutive_ejections": 2 * MINUTE_MS,
}
MAX_HALVINGS = 1000.0  # with more of them nothing is left in a float
MIN_KEY_COUNT = 0.5  # the policy drops keys with fewer recent requests
PRIOR_RATIO = 1.0  # prior of a latency over the typical one


def remaining_share(name: str, age_ms: float) -> float:
    """Return the share of a value that is left at an age; a negative age counts as 0."""
    return math.exp2(-min(max(age_ms, 0.0) / HALF_LIVES_MS[name], MAX_HALVINGS))


def decay_towards(prior: float, value: float, share: float) -> float:
    """Return a value moved towards the prior, so that this share of their distance is left."""
    return prior + (value - prior) * share


def decay_statistics(
    statistics: PolicyStatistics, age_ms: float, settings: Settings
) -> PolicyStatistics:
    """Return statistics after the decay of an age; a negative age counts as 0."""
    typical = remaining_share("typical_latency_ms", age_ms)
    kinds = remaining_share("kind_ratios", age_ms)
    rates, offered = remaining_share("rates", age_ms), remaining_share("offered", age_ms)
    keys = remaining_share("keys", age_ms)
    priors = [assumed_latency_ms(settings, index) for index in range(len(settings.classes))]
    latencies = zip(priors, statistics.typical_latency_ms, strict=False)
    return PolicyStatistics(
        typical_latency_ms=[decay_towards(prior, value, typical) for prior, value in latencies],
        offered=[count * offered for count in statistics.offered],
        kind_ratios={
            kind: decay_towards(PRIOR_RATIO, ratio, kinds)
            for kind, ratio in statistics.kind_ratios.items()
        },
        best_latency_ms=statistics.best_latency_ms,
        mean_latency_ms=statistics.mean_latency_ms,
        samples=statistics.samples * remaining_share("samples", age_ms),
        best_rate=statistics.best_rate * rates,
        best_rate_per_endpoint=statistics.best_rate_per_endpoint * rates,
        key_counts={
            key: count * keys
            for key, count in statistics.key_counts.items()
            if count * keys > MIN_KEY_COUNT
        },
        keyed_requests=statistics.keyed_requests * keys,
        endpoints=_decay_endpoints(statistics.endpoints, age_ms),
    )


def _decay_endpoints(
    endpoints: dict[int, EndpointStatistics], age_ms: float
) -> dict[int, EndpointStatistics]:
    latency = remaining_share("relative_latency", age_ms)
    attempts = remaining_share("recent_attempts", age_ms)
    failures = remaining_share("failure_rates", age_ms)
    ejections = remaining_share("consecutive_ejections", age_ms)
    return {
        endpoint_id: replace(
            known,
            relative_latency=decay_towards(PRIOR_RATIO, known.relative_latency, latency),
            recent_attempts=known.recent_attempts * attempts,
            failure_rates=tuple(rate * failures for rate in known.failure_rates),
            consecutive_ejections=tuple(count * ejections for count in known.consecutive_ejections),
        )
        for endpoint_id, known in endpoints.items()
    }
