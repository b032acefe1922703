"""Means and paired differences over seeds, with confidence intervals. No I/O.

The bootstrap of scipy was chosen since it is BCa (Efron 1987), which keeps its confidence level for
skewed samples of ten seeds; a plain percentile bootstrap does not.
"""

from __future__ import annotations

import statistics
import warnings
from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np
from scipy.stats import bootstrap

CONFIDENCE_LEVEL = 0.95
RESAMPLE_COUNT = 2000
# Samples with a smaller difference count as equal.
EQUALITY_TOLERANCE = 1e-12


@dataclass(slots=True, frozen=True)
class Interval:
    """A mean and its confidence interval."""

    mean: float
    low: float
    high: float

    def __str__(self) -> str:
        """Return the mean and the bounds, as tables show them."""
        return f"{self.mean:.3f} [{self.low:.3f}, {self.high:.3f}]"


def mean_interval(values: Sequence[float]) -> Interval:
    """Return the mean of samples with its confidence interval.

    Fewer than three samples, or equal ones, give their range.
    """
    mean = statistics.fmean(values)
    if len(values) < 3 or max(values) - min(values) < EQUALITY_TOLERANCE:
        return Interval(mean, min(values), max(values))
    with warnings.catch_warnings():
        # The bootstrap warns if the resamples are equal, and returns NaN.
        warnings.simplefilter("ignore")
        bounds = bootstrap(
            (np.array(values),), np.mean, confidence_level=CONFIDENCE_LEVEL, n_resamples=RESAMPLE_COUNT,
            rng=np.random.default_rng(1), method="BCa",
        ).confidence_interval  # fmt: skip
    low, high = float(bounds.low), float(bounds.high)
    if np.isnan(low) or np.isnan(high):
        return Interval(mean, min(values), max(values))
    return Interval(mean, low, high)


def paired_difference(one: Sequence[float], other: Sequence[float]) -> Interval:
    """Return the mean of `one - other`, by seed, with its confidence interval.

    Pairing removes the variance that both have in common by their seed.
    """
    if len(one) != len(other):
        raise ValueError("a paired difference requires the same seeds on both sides")
    return mean_interval([a - b for a, b in zip(one, other, strict=True)])


def verdict(difference: Interval) -> str:
    """Return whether a difference is positive or negative, or its interval includes 0."""
    return "better" if difference.low > 0 else "worse" if difference.high < 0 else "not told apart"
