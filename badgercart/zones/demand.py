"""Estimates how many endpoint slots a node's own requests keep busy. No I/O."""

from __future__ import annotations

from collections.abc import Sequence

from badgercart.zones.failure_detector import BASELINE_DOUBLING_MS

# Weight of a new sample in the moving average, so that plans do not follow random variation.
SMOOTHING_FACTOR = 0.25


class DemandEstimator:
    """Counts requests by row, and converts them to slots.

    Attributes:
        slots: the estimated slots kept busy by this node's requests, by row.
    """

    def __init__(self, row_count: int, class_count: int) -> None:
        """Start without requests."""
        self._baseline_ms = 0.0  # lowest recent mean latency; 0 before the first sample
        self._counted_since_ms = 0.0
        self.reset(row_count, class_count)

    def reset(self, row_count: int, class_count: int) -> None:
        """Start again with other rows; keep the latency baseline and the counting interval."""
        self._class_count = class_count
        self._counts = [0] * row_count
        self.slots = [0.0] * row_count

    @property
    def has_baseline(self) -> bool:
        """Whether a latency has been measured."""
        return bool(self._baseline_ms)

    def count(self, row: int) -> None:
        """Count a request; rows that no longer exist are ignored."""
        if row < len(self._counts):
            self._counts[row] += 1

    def elapsed_ms(self, now_ms: float) -> float:
        """Return how long requests have been counted."""
        return now_ms - self._counted_since_ms

    def update(self, now_ms: float, mean_latency_ms: float, typical_ms: Sequence[float]) -> None:
        """Estimate the slots from the requests since the last call, and restart counting.

        The total is based on the baseline latency, since the current latency may be that of a slow
        zone. It is divided among the classes by their typical latencies.

        Args:
            now_ms: the time on the node's clock.
            mean_latency_ms: the current mean latency of responses.
            typical_ms: the typical latency by class; empty if none is known.
        """
        elapsed_ms = self.elapsed_ms(now_ms)
        growth = 1 + min(elapsed_ms, BASELINE_DOUBLING_MS) / BASELINE_DOUBLING_MS
        grown_ms = self._baseline_ms * growth
        self._baseline_ms = min(grown_ms or mean_latency_ms, mean_latency_ms)
        service_times_ms = [
            typical_ms[row % self._class_count] if typical_ms else 1.0
            for row in range(len(self._counts))
        ]
        total = sum(
            count * time_ms for count, time_ms in zip(self._counts, service_times_ms, strict=True)
        )
        scale = self._baseline_ms * sum(self._counts) / total if total else 0.0
        for row, count in enumerate(self._counts):
            busy = count / elapsed_ms * service_times_ms[row] * scale
            self.slots[row] += SMOOTHING_FACTOR * (busy - self.slots[row])
        self._counts, self._counted_since_ms = [0] * len(self._counts), now_ms
