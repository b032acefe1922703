"""What several seeds say: means and paired differences with intervals. No I/O.

Why scipy: its bootstrap is BCa (Efron 1987), which keeps its level for skewed samples of ten seeds;
ours would be the plain percentile one.
"""

from __future__ import annotations

import statistics
import warnings
from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np
from scipy.stats import bootstrap

LEVEL = 0.95
RESAMPLES = 2000


@dataclass(slots=True, frozen=True)
class Interval:
    """A mean, and where the true one lies with a confidence of `LEVEL`."""

    mean: float
    low: float
    high: float

    def __str__(self) -> str:
        return f"{self.mean:.3f} [{self.low:.3f}, {self.high:.3f}]"


def interval(values: Sequence[float]) -> Interval:
    """Of the mean of some seeds' figures. One seed, or all alike: no wider than its mean."""
    mean = statistics.fmean(values)
    if len(values) < 3 or max(values) - min(values) < 1e-12:
        return Interval(mean, min(values), max(values))
    with warnings.catch_warnings():
        warnings.simplefilter("ignore")  # it warns where resamples are alike, and then gives NaN
        found = bootstrap(
            (np.array(values),), np.mean, confidence_level=LEVEL, n_resamples=RESAMPLES,
            rng=np.random.default_rng(1), method="BCa",
        ).confidence_interval  # fmt: skip
    low, high = float(found.low), float(found.high)
    if np.isnan(low) or np.isnan(high):
        return Interval(mean, min(values), max(values))
    return Interval(mean, low, high)


def paired(one: Sequence[float], other: Sequence[float]) -> Interval:
    """Of the mean of `one - other`, seed by seed: what both share by their seed falls out."""
    if len(one) != len(other):
        raise ValueError("a paired difference takes the same seeds on both sides")
    return interval([a - b for a, b in zip(one, other, strict=True)])


def verdict(difference: Interval) -> str:
    """In a word: better, worse, or that the seeds do not tell."""
    return "better" if difference.low > 0 else "worse" if difference.high < 0 else "not told apart"
