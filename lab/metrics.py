"""Metrics of a simulated day: worth, outcomes, latencies and their course over time. No I/O.

Latencies are kept in HdrHistogram: it needs a fixed amount of memory, keeps three digits over the
whole range, and histograms of several processes can be added up. Latencies count from the
scheduled time of a request, whatever delayed it, so that requests that wait behind a stall count
in full (this avoids coordinated omission).
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from hdrh.histogram import HdrHistogram

from lab.settings import Day

US_PER_MS = 1000  # histograms count µs
MAX_LATENCY_US = 3_600_000 * US_PER_MS
SIGNIFICANT_DIGITS = 3
SAMPLE_INTERVAL_MS = 1000.0  # of the time series
MAX_PENDING_LATENCIES = 1 << 16  # of a class, before they are added to its histogram
RECOVERED_SHARE = 0.9  # of the requests of a sample that must be served in time
CONGESTED_SHARE = 0.5  # served in time, below which a sample counts as congested
QUANTILES = (50.0, 90.0, 99.0, 99.9)
SERIES = ("offered", "served", "timely", "refused", "failed", "left", "cut", "x", "out", "troubled")
OUTCOMES = ("served", "late", "refused", "failed", "left", "lost")
# Outcomes that are counted under another name in the time series.
SERIES_BY_OUTCOME = {"late": "served", "lost": "failed"}


def latency_histogram() -> HdrHistogram:
    """Return an empty histogram of latencies (µs)."""
    return HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


@dataclass(slots=True)
class OutcomeTotals:
    """Totals of the requests of a class or a tenant."""

    offered: int = 0
    offered_worth: float = 0.0
    achieved_worth: float = 0.0  # by responses in time
    outcomes: Counter[str] = field(default_factory=Counter)

    def to_dict(self) -> dict[str, Any]:
        """Return the totals as plain data."""
        return {
            "offered": self.offered,
            "worth": self.offered_worth,
            "got": self.achieved_worth,
            "ends": dict(self.outcomes),
        }


class DayMetrics:
    """Collects how each request of a day ended."""

    def __init__(self, day: Day) -> None:
        self.day = day
        self.measured_from_ms = day.experiment.measured_from_s * 1000
        self.classes = [OutcomeTotals() for _ in day.class_]
        self.tenants = [OutcomeTotals() for _ in day.tenant or (None,)]
        self.latencies = [latency_histogram() for _ in day.class_]
        # By class, latencies (µs) that are not in the histograms yet.
        self.pending_latencies_us: list[list[int]] = [[] for _ in day.class_]
        self.attempts = self.tries = 0
        samples = int(day.duration_ms / SAMPLE_INTERVAL_MS) + 1
        self.series: dict[str, list[float]] = {name: [0.0] * samples for name in SERIES}

    def sample_index(self, time_ms: float) -> int:
        """Return the sample of the time series that a time belongs to."""
        return min(int(time_ms / SAMPLE_INTERVAL_MS), len(self.series["cut"]) - 1)

    def request_offered(self, time_ms: float) -> None:
        """Count a request that has arrived."""
        self.series["offered"][self.sample_index(time_ms)] += 1

    def request_ended(
        self,
        scheduled_ms: float,
        class_index: int,
        tenant_index: int,
        outcome: str,
        latency_ms: float,
    ) -> None:
        """Count a request that has ended, `latency_ms` after its scheduled time."""
        request_class = self.day.class_[class_index]
        worth = achieved = request_class.worth
        if outcome == "served" and latency_ms > request_class.aim_ms:
            outcome = "late"
        if outcome != "served":
            achieved = worth * request_class.late_value if outcome == "late" else 0.0
        index = self.sample_index(scheduled_ms)
        self.series[SERIES_BY_OUTCOME.get(outcome, outcome)][index] += 1
        if outcome == "served":
            self.series["timely"][index] += 1
        if scheduled_ms < self.measured_from_ms:
            return
        for totals in (self.classes[class_index], self.tenants[tenant_index]):
            totals.offered += 1
            totals.offered_worth += worth
            totals.achieved_worth += achieved
            totals.outcomes[outcome] += 1
        if outcome in ("served", "late"):
            pending = self.pending_latencies_us[class_index]
            pending.append(min(max(1, round(latency_ms * US_PER_MS)), MAX_LATENCY_US))
            if len(pending) >= MAX_PENDING_LATENCIES:
                self.record_pending(class_index)

    def record_pending(self, class_index: int) -> None:
        """Add the pending latencies of a class to its histogram.

        They are added together because one call for each request would take a tenth of the time of
        a simulation.
        """
        for latency_us, count in Counter(self.pending_latencies_us[class_index]).items():
            self.latencies[class_index].record_value(latency_us, count)
        self.pending_latencies_us[class_index].clear()

    @property
    def share(self) -> float:
        """Return the worth that was served in time, relative to the worth of all requests."""
        offered = sum(totals.offered_worth for totals in self.classes)
        return sum(totals.achieved_worth for totals in self.classes) / offered if offered else 1.0

    def quantiles(self) -> dict[str, float]:
        """Return the latency quantiles over all classes (ms)."""
        merged = latency_histogram()
        for latencies in self.latencies:
            merged.add(latencies)
        return {f"p{q:g}": merged.get_value_at_percentile(q) / US_PER_MS for q in QUANTILES}

    def recovery_s(self) -> float | None:
        """Return the time from the end of the last fault until the fleet has recovered (s).

        It has recovered when `RECOVERED_SHARE` of the requests were served in time in each of two
        samples in a row. Returns None if there was no fault, and infinity if the day ended before.
        """
        if not self.day.trouble:
            return None
        end_s = max(fault.at_s + fault.for_s for fault in self.day.trouble)
        recovered = [
            timely >= RECOVERED_SHARE * offered
            for offered, timely in zip(self.series["offered"], self.series["timely"], strict=True)
        ]
        for index in range(int(end_s), len(recovered) - 2):
            if recovered[index] and recovered[index + 1]:
                return max(0.0, index - end_s)
        return float("inf")

    def longest_congestion_s(self) -> int:
        """Return the longest time in which most requests were not served in time (s)."""
        longest = current = 0
        for offered, timely in zip(self.series["offered"], self.series["timely"], strict=True):
            current = current + 1 if offered and timely < CONGESTED_SHARE * offered else 0
            longest = max(longest, current)
        return longest

    def to_dict(self) -> dict[str, Any]:
        """Return all metrics as plain data for a result file."""
        for class_index in range(len(self.pending_latencies_us)):
            self.record_pending(class_index)
        return {
            "share": self.share,
            "quantiles": self.quantiles(),
            "classes": {
                cls.name: totals.to_dict() | {"times": latencies.encode().decode()}
                for cls, totals, latencies in zip(
                    self.day.class_, self.classes, self.latencies, strict=True
                )
            },
            "tenants": {
                tenant.name: totals.to_dict()
                for tenant, totals in zip(self.day.tenant, self.tenants, strict=False)
            },
            "tries": self.tries,
            "attempts": self.attempts,
            "jam_s": self.longest_congestion_s(),
            "recovery_s": self.recovery_s(),
            "course": self.series,
        }
