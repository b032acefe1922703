"""What the metrics listener shows: registered figures, and the ends of requests by class and outcome.

Why prometheus-client: the text format, its escapes and its histograms are its business. Its default registry
and its own HTTP server are not used: the one is global, the other takes a thread for every caller.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence

from prometheus_client import CollectorRegistry, Counter, Histogram
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.exposition import CONTENT_TYPE_LATEST, generate_latest

from badgercart.core.meters import Kind, Meters
from badgercart.core.ports import Final, Intake
from cottonhall.interface import RequestClass

CONTENT_TYPE = CONTENT_TYPE_LATEST.encode()
MAX_BUCKETS = 20
SHARES = (0.1, 0.25, 0.5, 0.75, 1.0)  # of each class's aim
FAMILIES = {Kind.COUNTER: CounterMetricFamily, Kind.GAUGE: GaugeMetricFamily}


def buckets(classes: Sequence[RequestClass]) -> tuple[float, ...]:
    """Upper bounds in s: shares of each class's aim, and its deadline; at most MAX_BUCKETS, spread evenly."""
    found = {cls.deadline / 1000 for cls in classes}
    found |= {cls.aim * share / 1000 for cls in classes for share in SHARES}
    bounds = sorted({float(f"{bound:.3g}") for bound in found})
    if len(bounds) > MAX_BUCKETS:
        last = len(bounds) - 1
        bounds = [bounds[round(at * last / (MAX_BUCKETS - 1))] for at in range(MAX_BUCKETS)]
    return tuple(bounds)


class Registered:
    """Asks each registered figure once a scrape."""

    def __init__(self, meters: Meters) -> None:
        self.meters = meters

    def collect(self) -> Iterator[Metric]:
        for meter in self.meters.meters.values():
            labels = [meter.label] if meter.label else []
            family = FAMILIES[meter.kind](meter.name, meter.about, labels=labels)
            for value, reading in meter.values().items():
                family.add_metric([value] if meter.label else [], reading)
            yield family


class Figures:
    """An observer of the join, and the page of all figures."""

    def __init__(self, names: Sequence[str], classes: Sequence[RequestClass], meters: Meters) -> None:
        self.registry = CollectorRegistry(auto_describe=False)
        self.registry.register(Registered(meters))
        ends = Counter(
            "badgercart_requests",
            "Requests that came to their end, by class and outcome.",
            ["class", "outcome"],
            registry=self.registry,
        )
        times = Histogram(
            "badgercart_request_seconds",
            "From when a request was taken to its answer, of those served, by class.",
            ["class"],
            buckets=buckets(classes),
            registry=self.registry,
        )
        # Each child is looked up once: names come from the file, never from a request.
        self.ends = [{final: ends.labels(name, final.value) for final in Final} for name in names]
        self.times = [times.labels(name) for name in names]

    def over(
        self, request_id: int, intake: Intake, final: Final, took: float, server: int, sends: int
    ) -> None:
        self.ends[intake.cls][final].inc()
        if final is Final.SERVED:
            self.times[intake.cls].observe(took / 1000)

    def page(self) -> bytes:
        return generate_latest(self.registry)
