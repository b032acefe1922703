"""The metrics page: registered metrics, and requests by class and outcome.

prometheus-client writes the text format and its escapes. Its default registry is global and its
HTTP server takes a thread for every caller, so neither is used.
"""

from __future__ import annotations

import itertools
import math
from bisect import bisect_left
from collections.abc import Iterator, Sequence

from prometheus_client import CollectorRegistry
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
    Metric,
)
from prometheus_client.exposition import CONTENT_TYPE_LATEST, generate_latest

from badgercart.core.metric_registry import MetricKind, MetricRegistry
from badgercart.core.ports import IncomingRequest, RequestOutcome
from badgercart.policy.settings import RequestClass

CONTENT_TYPE = CONTENT_TYPE_LATEST.encode()
MAX_BUCKETS = 20
# Bucket bounds as shares of each class's latency objective.
OBJECTIVE_SHARES = (0.1, 0.25, 0.5, 0.75, 1.0)
FAMILIES = {MetricKind.COUNTER: CounterMetricFamily, MetricKind.GAUGE: GaugeMetricFamily}


def bucket_bounds_s(classes: Sequence[RequestClass]) -> tuple[float, ...]:
    """Return the upper bounds of the histogram's buckets, without the infinite one.

    They are shares of each class's latency objective, and its deadline. Of more than MAX_BUCKETS,
    an evenly spaced selection is returned.
    """
    found = {request_class.deadline_ms / 1000 for request_class in classes}
    found |= {
        request_class.latency_objective_ms * share / 1000
        for request_class in classes
        for share in OBJECTIVE_SHARES
    }
    bounds = sorted({float(f"{bound:.3g}") for bound in found})
    if len(bounds) > MAX_BUCKETS:
        last = len(bounds) - 1
        positions = (round(index * last / (MAX_BUCKETS - 1)) for index in range(MAX_BUCKETS))
        bounds = [bounds[position] for position in positions]
    return tuple(bounds)


class RegisteredMetrics:
    """A collector that reads each registered metric once per scrape."""

    def __init__(self, registry: MetricRegistry) -> None:
        self._registry = registry

    def collect(self) -> Iterator[Metric]:
        """Yield the families of all registered metrics."""
        for metric in self._registry.metrics.values():
            labels = [metric.label] if metric.label else []
            family = FAMILIES[metric.kind](metric.name, metric.description, labels=labels)
            for value, reading in metric.values().items():
                family.add_metric([value] if metric.label else [], reading)
            yield family


class RequestMetrics:
    """Counts of requests by class and outcome, and a histogram of the durations of those served.

    They are kept in plain lists, since all of it happens on one thread: the library's own counters
    take a lock and 4 µs for each request.
    """

    def __init__(self, names: Sequence[str], classes: Sequence[RequestClass]) -> None:
        self._names = names
        self._bounds_s = bucket_bounds_s(classes)
        self._counts = [dict.fromkeys(RequestOutcome, 0) for _ in names]
        self._buckets = [[0] * (len(self._bounds_s) + 1) for _ in names]
        self._sums_s = [0.0] * len(names)

    def request_finished(  # noqa: PLR0913  (a port of core)
        self,
        request_id: int,
        intake: IncomingRequest,
        final: RequestOutcome,
        took: float,
        server: int,
        sends: int,
    ) -> None:
        """Count a request that has ended."""
        class_index, seconds = intake.class_index, took / 1000
        self._counts[class_index][final] += 1
        if final is RequestOutcome.SERVED:
            self._buckets[class_index][bisect_left(self._bounds_s, seconds)] += 1
            self._sums_s[class_index] += seconds

    def collect(self) -> Iterator[Metric]:
        """Yield the counter and the histogram."""
        yield self._outcome_family()
        yield self._duration_family()

    def _outcome_family(self) -> Metric:
        family = CounterMetricFamily(
            "badgercart_requests",
            "Requests that came to their end, by class and outcome.",
            labels=["class", "outcome"],
        )
        for name, counts in zip(self._names, self._counts, strict=True):
            for outcome, count in counts.items():
                family.add_metric([name, str(outcome)], count)
        return family

    def _duration_family(self) -> Metric:
        family = HistogramMetricFamily(
            "badgercart_request_seconds",
            "From when a request was taken to its answer, of those served, by class.",
            labels=["class"],
        )
        labels = [str(float(bound)) if bound < math.inf else "+Inf" for bound in self._bounds_s]
        for name, counts, sum_s in zip(self._names, self._buckets, self._sums_s, strict=True):
            cumulative = itertools.accumulate(counts)
            buckets = list(zip([*labels, "+Inf"], cumulative, strict=True))
            family.add_metric([name], buckets=buckets, sum_value=sum_s)
        return family


class MetricsPage:
    """The page that is scraped."""

    def __init__(self, metric_registry: MetricRegistry, requests: RequestMetrics) -> None:
        self._registry = CollectorRegistry(auto_describe=False)
        self._registry.register(RegisteredMetrics(metric_registry))
        self._registry.register(requests)

    def render(self) -> bytes:
        """Return the page by Prometheus's text format."""
        return generate_latest(self._registry)
