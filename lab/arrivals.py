"""The request plan: all requests of a simulated day, drawn in advance from its seed. No I/O.

All policies get the same plan, in the model as well as on sockets, so that two runs of a seed
differ only in how the same requests were handled.
"""

from __future__ import annotations

from dataclasses import dataclass

import numpy as np
from numpy.typing import NDArray

from lab.random_streams import FloatArray, draw_samples, generator
from lab.settings import Day

BURST_SHARE = 0.2  # of each period of the pattern "bursts"
PEAK_SEARCH_POINTS = 4096  # of a day at which its rate is evaluated to find the highest
HOT_KEY_OFFSET = 7  # beyond the last regular key, so that the hot key is none of them
# Gaps drawn beyond the expected number, so that they always reach the end of the day.
SPARE_GAPS_DEVIATIONS = 6
SPARE_GAPS = 16

IntArray = NDArray[np.int64]


@dataclass(slots=True, frozen=True)
class RequestPlan:
    """Columns of equal length, with one row per request, ordered by time."""

    at_ms: FloatArray  # from the start of the day
    class_index: IntArray
    tenant_index: IntArray
    key: IntArray  # 0: none
    work_ms: FloatArray  # on a core of speed 1
    node: IntArray  # that gets the first try

    def __len__(self) -> int:
        return len(self.at_ms)


def relative_rate(day: Day, at_ms: FloatArray) -> FloatArray:
    """Return the request rate relative to the day's mean, without faults."""
    arrivals = day.arrivals
    phase = 2 * np.pi * at_ms / (arrivals.period_s * 1000)
    if arrivals.pattern == "daily":
        # Starts at the lowest rate.
        return 1 - arrivals.swing * np.cos(phase)
    if arrivals.pattern == "bursts":
        burst = (at_ms / (arrivals.period_s * 1000)) % 1.0 < BURST_SHARE
        return np.where(burst, 1 + 4 * arrivals.swing, 1 - arrivals.swing)
    return np.ones_like(at_ms)


def surge_factor(day: Day, at_ms: FloatArray) -> FloatArray:
    """Return the factor by which surges raise the request rate."""
    factor = np.ones_like(at_ms)
    for fault in day.trouble:
        if fault.kind == "surge":
            active = (at_ms >= fault.at_s * 1000) & (at_ms < (fault.at_s + fault.for_s) * 1000)
            factor = np.where(active, factor * fault.size, factor)
    return factor


def arrival_times_ms(day: Day, rng: np.random.Generator) -> FloatArray:
    """Draw the arrival times by thinning (Lewis and Shedler 1979).

    A Poisson process of the highest rate is drawn, of which a share is kept that follows the rate.
    """
    grid = np.linspace(0.0, day.duration_ms, PEAK_SEARCH_POINTS)
    peak = float((relative_rate(day, grid) * surge_factor(day, grid)).max())
    mean_gap_ms = 1000.0 / (day.rate_per_s * peak)
    if day.arrivals.pattern == "even":
        at_ms = np.arange(mean_gap_ms, day.duration_ms, mean_gap_ms)
    else:
        expected = int(day.duration_ms / mean_gap_ms)
        drawn = int(expected + SPARE_GAPS_DEVIATIONS * np.sqrt(expected) + SPARE_GAPS)
        at_ms = np.cumsum(rng.exponential(mean_gap_ms, drawn))
        at_ms = at_ms[at_ms < day.duration_ms]
    kept = rng.random(len(at_ms)) * peak < relative_rate(day, at_ms) * surge_factor(day, at_ms)
    return at_ms[kept]


def plan_requests(day: Day, seed: int) -> RequestPlan:
    """Return all requests of a day."""
    at_ms = arrival_times_ms(day, generator(seed, "arrivals"))
    count, rng = len(at_ms), generator(seed, "requests")
    class_shares = np.array([cls.share for cls in day.class_])
    class_index = rng.choice(len(class_shares), count, p=class_shares / class_shares.sum())
    tenant_index = np.zeros(count, dtype=np.int64)
    if day.tenant:
        tenant_shares = np.array([tenant.share for tenant in day.tenant])
        tenant_index = rng.choice(len(tenant_shares), count, p=tenant_shares / tenant_shares.sum())
    key = np.zeros(count, dtype=np.int64)
    if day.arrivals.keys:
        weights = 1 / np.arange(1, day.arrivals.keys + 1) ** day.arrivals.key_skew
        key = rng.choice(len(weights), count, p=weights / weights.sum()) + 1
    for fault in day.trouble:
        if fault.kind == "hot_key":
            active = (at_ms >= fault.at_s * 1000) & (at_ms < (fault.at_s + fault.for_s) * 1000)
            hot_key = day.arrivals.keys + HOT_KEY_OFFSET
            key = np.where(active & (rng.random(count) < fault.share), hot_key, key)
    work_ms = np.empty(count)
    for number, request_class in enumerate(day.class_):
        of_class = class_index == number
        work_ms[of_class] = draw_samples(
            generator(seed, "work", number),
            request_class.dist,
            request_class.work_ms,
            request_class.cv,
            int(of_class.sum()),
        )
    node = rng.integers(0, day.fleet.nodes, count)
    return RequestPlan(at_ms, class_index, tenant_index, key, work_ms, node)
