"""How many slots a node's own requests keep busy. No I/O."""

from __future__ import annotations

from collections.abc import Sequence

from badgercart.zones.failure_detector import BASELINE_DOUBLING_MS

SMOOTHING = 0.25  # share of a new rate that counts at each report: a plan must not follow chance


class DemandEstimator:
    """Counts requests by row, and turns them into slots."""

    def __init__(self, row_count: int, class_count: int) -> None:
        """Begin without requests."""
        self._baseline_ms = 0.0  # lowest mean latency of late; 0: none yet
        self._counted_since = 0.0
        self.reset(row_count, class_count)

    def reset(self, row_count: int, class_count: int) -> None:
        """Begin anew with other rows; the latency baseline and the interval go on."""
        self._class_count = class_count
        self._counts = [0] * row_count
        self.slots = [0.0] * row_count  # kept busy by our requests, by row

    @property
    def has_baseline(self) -> bool:
        """Whether any latency is known."""
        return bool(self._baseline_ms)

    def count(self, row: int) -> None:
        """Count a request; rows that there are no more are left out."""
        if row < len(self._counts):
            self._counts[row] += 1

    def elapsed_ms(self, now: float) -> float:
        """Return how long requests were counted."""
        return now - self._counted_since

    def update(self, now: float, mean_latency_ms: float, typical_ms: Sequence[float]) -> None:
        """Estimate the slots by the requests since the last call, and begin to count anew.

        In all, slots are by the baseline latency, since what is typical now may be that of a slow
        zone; the classes stand beside each other by their typical latency.

        Args:
            now: ms on the node's clock.
            mean_latency_ms: of answers, at present.
            typical_ms: typical latency by class; empty where none is known.
        """
        elapsed_ms = self.elapsed_ms(now)
        growth = 1 + min(elapsed_ms, BASELINE_DOUBLING_MS) / BASELINE_DOUBLING_MS
        grown_ms = self._baseline_ms * growth
        self._baseline_ms = min(grown_ms or mean_latency_ms, mean_latency_ms)
        works_ms = [
            typical_ms[row % self._class_count] if typical_ms else 1.0
            for row in range(len(self._counts))
        ]
        total = sum(count * work for count, work in zip(self._counts, works_ms, strict=True))
        scale = self._baseline_ms * sum(self._counts) / total if total else 0.0
        for row, count in enumerate(self._counts):
            busy = count / elapsed_ms * works_ms[row] * scale
            self.slots[row] += SMOOTHING * (busy - self.slots[row])
        self._counts, self._counted_since = [0] * len(self._counts), now
