"""How what was learned fades towards what is assumed of the unknown. No I/O.

value(t) = prior + (value - prior) * 2 ** (-t / half-life), so that ageing in two steps is ageing in
one, and nothing but the prior is left after endless time. What is learned anew within seconds is
worth little once it is old: minutes at most.
"""

from __future__ import annotations

import math
from dataclasses import replace

from badgercart.policy.endpoint import EndpointStatistics
from badgercart.policy.latency import assumed_latency_ms
from badgercart.policy.settings import Settings
from badgercart.policy.statistics import PolicyStatistics

SECOND_MS, MINUTE_MS = 1000.0, 60_000.0
HALF_LIVES_MS = {
    "typical_latency_ms": 10 * MINUTE_MS,  # learned anew of some fifty answers
    "kind_ratios": 10 * MINUTE_MS,  # the same; and endpoints that were slow are in it
    "offered": MINUTE_MS,
    "samples": 10 * MINUTE_MS,  # the trust in the best latency; a latency can't fade to a prior
    "rates": MINUTE_MS,
    "keys": 5 * SECOND_MS,  # as the policy halves them itself
    "relative_latency": MINUTE_MS,
    "recent_attempts": 5 * SECOND_MS,  # as the policy halves them itself
    "failure_rates": 30 * SECOND_MS,
    "consecutive_ejections": 2 * MINUTE_MS,
}
MAX_HALVINGS = 1000.0  # beyond which nothing is left in a float
MIN_KEY_COUNT = 0.5  # requests: of fewer the policy keeps no key
NO_PRIOR_RATIO = 1.0  # of a latency over the typical one


def remaining_share(what: str, age_ms: float) -> float:
    """Return the share of a value that is left at an age; below 0 it counts as 0."""
    return math.exp2(-min(max(age_ms, 0.0) / HALF_LIVES_MS[what], MAX_HALVINGS))


def decay_towards(prior: float, value: float, share: float) -> float:
    """Return a value of which only this share of its distance from the prior is left."""
    return prior + (value - prior) * share


def decay_statistics(
    statistics: PolicyStatistics, age_ms: float, settings: Settings
) -> PolicyStatistics:
    """Return what is left of statistics at an age; below 0 it counts as 0."""
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
            kind: decay_towards(NO_PRIOR_RATIO, ratio, kinds)
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
        endpoints=_aged_endpoints(statistics.endpoints, age_ms),
    )


def _aged_endpoints(
    endpoints: dict[int, EndpointStatistics], age_ms: float
) -> dict[int, EndpointStatistics]:
    latency = remaining_share("relative_latency", age_ms)
    attempts = remaining_share("recent_attempts", age_ms)
    failures = remaining_share("failure_rates", age_ms)
    ejections = remaining_share("consecutive_ejections", age_ms)
    return {
        endpoint_id: replace(
            known,
            relative_latency=decay_towards(NO_PRIOR_RATIO, known.relative_latency, latency),
            recent_attempts=known.recent_attempts * attempts,
            failure_rates=tuple(rate * failures for rate in known.failure_rates),
            consecutive_ejections=tuple(count * ejections for count in known.consecutive_ejections),
        )
        for endpoint_id, known in endpoints.items()
    }
