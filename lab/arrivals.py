"""Who asks what and when: the whole of a day's requests, drawn ahead from its seed. No I/O.

The plan is the same for every policy, and for the model as for sockets: what differs between two
runs of a seed is what was done with the same requests.
"""

from __future__ import annotations

from dataclasses import dataclass

import numpy as np
from numpy.typing import NDArray

from lab.chance import Floats, draw, generator
from lab.settings import Day

Ints = NDArray[np.int64]


@dataclass(slots=True, frozen=True)
class Plan:
    """Columns of one length, a row a request, in order of time."""

    at: Floats  # ms from the day's start
    cls: Ints
    tenant: Ints
    key: Ints  # 0: none
    work: Floats  # ms on a core of speed 1
    node: Ints  # which it asks first

    def __len__(self) -> int:
        return len(self.at)


def rate_at(day: Day, at: Floats) -> Floats:
    """Requests a second over the day's mean, before troubles."""
    asked = day.arrivals
    phase = 2 * np.pi * at / (asked.period_s * 1000)
    if asked.pattern == "daily":  # from its low over its high and back
        return 1 - asked.swing * np.cos(phase)
    if asked.pattern == "bursts":  # a fifth of each period is a burst
        burst = (at / (asked.period_s * 1000)) % 1.0 < 0.2
        return np.where(burst, 1 + 4 * asked.swing, 1 - asked.swing)
    return np.ones_like(at)


def surge_at(day: Day, at: Floats) -> Floats:
    factor = np.ones_like(at)
    for trouble in day.trouble:
        if trouble.kind == "surge":
            on = (at >= trouble.at_s * 1000) & (at < (trouble.at_s + trouble.for_s) * 1000)
            factor = np.where(on, factor * trouble.size, factor)
    return factor


def times(day: Day, rng: np.random.Generator) -> Floats:
    """Arrivals by thinning (Lewis and Shedler 1979): a Poisson process at the highest rate, parts
    of it kept."""
    grid = np.linspace(0.0, day.duration_ms, 4096)
    peak = float((rate_at(day, grid) * surge_at(day, grid)).max())
    mean_gap = 1000.0 / (day.rate_per_s * peak)
    if day.arrivals.pattern == "even":
        at = np.arange(mean_gap, day.duration_ms, mean_gap)
    else:
        count = int(day.duration_ms / mean_gap)
        at = np.cumsum(rng.exponential(mean_gap, int(count + 6 * np.sqrt(count) + 16)))
        at = at[at < day.duration_ms]
    kept = rng.random(len(at)) * peak < rate_at(day, at) * surge_at(day, at)
    return at[kept]


def plan(day: Day, seed: int) -> Plan:
    """All requests of a day."""
    at = times(day, generator(seed, "arrivals"))
    count, rng = len(at), generator(seed, "requests")
    shares = np.array([cls.share for cls in day.class_])
    cls = rng.choice(len(shares), count, p=shares / shares.sum())
    tenant = np.zeros(count, dtype=np.int64)
    if day.tenant:
        asked = np.array([tenant.share for tenant in day.tenant])
        tenant = rng.choice(len(asked), count, p=asked / asked.sum())
    key = np.zeros(count, dtype=np.int64)
    if day.arrivals.keys:
        weights = 1 / np.arange(1, day.arrivals.keys + 1) ** day.arrivals.key_skew
        key = rng.choice(len(weights), count, p=weights / weights.sum()) + 1
    for trouble in day.trouble:
        if trouble.kind == "hot_key":
            on = (at >= trouble.at_s * 1000) & (at < (trouble.at_s + trouble.for_s) * 1000)
            key = np.where(on & (rng.random(count) < trouble.share), day.arrivals.keys + 7, key)
    work = np.empty(count)
    for number, asked_for in enumerate(day.class_):
        mine = cls == number
        rng_work = generator(seed, "work", number)
        work[mine] = draw(
            rng_work, asked_for.dist, asked_for.work_ms, asked_for.cv, int(mine.sum())
        )
    return Plan(at, cls, tenant, key, work, rng.integers(0, day.fleet.nodes, count))
