"""What the metrics listener shows: registered figures, and the ends of requests by class and
outcome.

Why prometheus-client: the text format and its escapes are its business. Its default registry
and its own HTTP server are not used: the one is global, the other takes a thread for every caller.
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
SHARES = (0.1, 0.25, 0.5, 0.75, 1.0)  # of each class's aim
FAMILIES = {MetricKind.COUNTER: CounterMetricFamily, MetricKind.GAUGE: GaugeMetricFamily}


def buckets(classes: Sequence[RequestClass]) -> tuple[float, ...]:
    """Upper bounds in s: shares of each class's aim, and its deadline; at most MAX_BUCKETS, spread
    evenly."""
    found = {cls.deadline_ms / 1000 for cls in classes}
    found |= {cls.latency_objective_ms * share / 1000 for cls in classes for share in SHARES}
    bounds = sorted({float(f"{bound:.3g}") for bound in found})
    if len(bounds) > MAX_BUCKETS:
        last = len(bounds) - 1
        bounds = [bounds[round(at * last / (MAX_BUCKETS - 1))] for at in range(MAX_BUCKETS)]
    return tuple(bounds)


class Registered:
    """Asks each registered figure once a scrape."""

    def __init__(self, meters: MetricRegistry) -> None:
        self.meters = meters

    def collect(self) -> Iterator[Metric]:
        for meter in self.meters.metrics.values():
            labels = [meter.label] if meter.label else []
            family = FAMILIES[meter.kind](meter.name, meter.description, labels=labels)
            for value, reading in meter.values().items():
                family.add_metric([value] if meter.label else [], reading)
            yield family


class Ends:
    """Requests by class and outcome, and the times of those served. Counted in plain lists: the
    library's own counters take a lock and 4 µs for each request, and all of this happens on one
    thread."""

    def __init__(self, names: Sequence[str], classes: Sequence[RequestClass]) -> None:
        self.names = names
        self.bounds = buckets(classes)
        self.counts = [dict.fromkeys(RequestOutcome, 0) for _ in names]
        self.cells = [[0] * (len(self.bounds) + 1) for _ in names]
        self.sums = [0.0] * len(names)

    def collect(self) -> Iterator[Metric]:
        ends = CounterMetricFamily(
            "badgercart_requests",
            "Requests that came to their end, by class and outcome.",
            labels=["class", "outcome"],
        )
        times = HistogramMetricFamily(
            "badgercart_request_seconds",
            "From when a request was taken to its answer, of those served, by class.",
            labels=["class"],
        )
        bounds = [
            str(float(bound)) if bound < math.inf else "+Inf" for bound in (*self.bounds, math.inf)
        ]
        for number, name in enumerate(self.names):
            for final, count in self.counts[number].items():
                ends.add_metric([name, str(final)], count)
            rising = list(zip(bounds, itertools.accumulate(self.cells[number]), strict=True))
            times.add_metric([name], buckets=rising, sum_value=self.sums[number])
        yield ends
        yield times


class Figures:
    """An observer of the join, and the page of all figures."""

    def __init__(
        self, names: Sequence[str], classes: Sequence[RequestClass], meters: MetricRegistry
    ) -> None:
        self.registry = CollectorRegistry(auto_describe=False)
        self.ends = Ends(names, classes)
        self.registry.register(Registered(meters))
        self.registry.register(self.ends)

    def request_finished(
        self,
        request_id: int,
        intake: IncomingRequest,
        final: RequestOutcome,
        took: float,
        server: int,
        sends: int,
    ) -> None:
        ends, cls, seconds = self.ends, intake.class_index, took / 1000
        ends.counts[cls][final] += 1
        if final is RequestOutcome.SERVED:
            ends.cells[cls][bisect_left(ends.bounds, seconds)] += 1
            ends.sums[cls] += seconds

    def page(self) -> bytes:
        return generate_latest(self.registry)
