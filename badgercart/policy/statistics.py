"""The statistics that a policy has learned, as plain data for the next process. No I/O, no clock.

State that would be void or wrong after a restart is left out:

- open attempts, attempts in flight, the overload signal and the shed threshold, which only hold
  for this moment
- error rates, which only cover the attempts of the last seconds
- tokens of endpoints in slow start, and tenants' buckets, which could be spent twice
"""

from __future__ import annotations

from dataclasses import dataclass, field

from badgercart.policy.endpoint import EndpointStatistics
from badgercart.policy.endpoints import TrackedEndpoint
from badgercart.policy.errors import StatisticsMismatchError
from badgercart.policy.policy import Policy
from badgercart.policy.priority import NO_TRAFFIC
from badgercart.policy.throughput import MIN_SAMPLES, Throughput


@dataclass(slots=True)
class PolicyStatistics:
    """The statistics of a policy. Rates are per ms; lists are by class, in the settings' order.

    Attributes:
        typical_latency_ms: the typical latency of each class.
        offered: the recent requests of each class, then those of each class beyond a quota.
        kind_ratios: latency over the typical one, by kind of machine.
        best_latency_ms: the lowest mean latency; 0: there is none yet.
        mean_latency_ms: the present mean latency.
        samples: the number of responses that both latencies are based on.
        best_rate: the highest rate of timely responses.
        best_rate_per_endpoint: the same per endpoint.
        key_counts: recent requests, by key.
        keyed_requests: recent requests of all keys.
        endpoints: the statistics of each endpoint, by id.
    """

    typical_latency_ms: list[float] = field(default_factory=list)
    offered: list[float] = field(default_factory=list)
    kind_ratios: dict[int, float] = field(default_factory=dict)
    best_latency_ms: float = 0.0
    mean_latency_ms: float = 0.0
    samples: float = 0.0
    best_rate: float = 0.0
    best_rate_per_endpoint: float = 0.0
    key_counts: dict[int, float] = field(default_factory=dict)
    keyed_requests: float = 0.0
    endpoints: dict[int, EndpointStatistics] = field(default_factory=dict)


def export_statistics(policy: Policy, keys: bool = True) -> PolicyStatistics:
    """Return the present statistics of a policy, of ready endpoints only.

    Args:
        policy: the policy.
        keys: whether the counts of keys are included.
    """
    throughput, fleet, key_traffic = policy.overload.throughput, policy.fleet, policy.key_traffic
    return PolicyStatistics(
        typical_latency_ms=list(fleet.latency.typical_ms),
        offered=list(policy.priority.offered),
        kind_ratios=dict(fleet.latency.kind_ratios),
        best_latency_ms=throughput.best_latency_ms,
        mean_latency_ms=throughput.mean_latency_ms,
        samples=throughput.samples,
        best_rate=throughput.best_rate,
        best_rate_per_endpoint=throughput.best_rate_per_endpoint,
        key_counts=dict(key_traffic.counts) if keys else {},
        keyed_requests=key_traffic.total,
        endpoints={
            endpoint_id: _endpoint_statistics(fleet.endpoints.by_id[endpoint_id])
            for endpoint_id in fleet.endpoints.ready
        },
    )


def _endpoint_statistics(tracked: TrackedEndpoint) -> EndpointStatistics:
    return EndpointStatistics(
        tracked.endpoint.started_ms,
        tracked.relative_latency,
        tracked.recent_attempts,
        tuple([health.failure_rate for health in tracked.health]),
        tuple([float(health.consecutive_ejections) for health in tracked.health]),
    )


def import_statistics(policy: Policy, statistics: PolicyStatistics) -> None:
    """Set the statistics of a policy that has not handled any event yet.

    Those of an endpoint are applied when an update lists it with the same start time.

    Raises:
        StatisticsMismatchError: The statistics have another number of classes.
    """
    latency, priority = policy.fleet.latency, policy.priority
    known, wanted = len(statistics.typical_latency_ms), len(latency.typical_ms)
    if known != wanted or len(statistics.offered) != len(priority.offered):
        raise StatisticsMismatchError(known, wanted)
    latency.typical_ms = list(statistics.typical_latency_ms)
    latency.kind_ratios = dict(statistics.kind_ratios)
    priority.offered = [count + NO_TRAFFIC for count in statistics.offered]
    if statistics.samples >= MIN_SAMPLES:
        _import_throughput(policy.overload.throughput, statistics)
    policy.key_traffic.counts = dict(statistics.key_counts)
    policy.key_traffic.total = statistics.keyed_requests + NO_TRAFFIC
    policy.fleet.endpoints.restorable = dict(statistics.endpoints)


def _import_throughput(throughput: Throughput, statistics: PolicyStatistics) -> None:
    throughput.best_latency_ms = statistics.best_latency_ms
    throughput.mean_latency_ms = statistics.mean_latency_ms
    throughput.samples = statistics.samples
    throughput.best_rate = statistics.best_rate
    throughput.best_rate_per_endpoint = statistics.best_rate_per_endpoint
