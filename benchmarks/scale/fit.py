"""How a cost grows: a power law fitted to measured points, with confidence intervals. No I/O.

The fit is a straight line through the logarithms of sizes and costs. Its intervals are Student's t
at `CONFIDENCE_LEVEL`, with two degrees of freedom spent on the line (Draper and Smith, Applied
Regression Analysis, sections 1.4 and 3.1). They hold for random scatter about the line; where the
points follow a curve, a range without the flat part says more than all points.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

from scipy.stats import t

CONFIDENCE_LEVEL = 0.95

# A line with a confidence interval needs at least one point more than its two parameters.
MIN_SIZES = 3

# A size and its cost.
Point = tuple[float, float]


@dataclass(slots=True, frozen=True)
class Estimate:
    """A cost at a size, with the interval in which one more measurement would lie.

    The interval holds with a confidence of `CONFIDENCE_LEVEL`.
    """

    value: float
    low: float
    high: float


@dataclass(slots=True, frozen=True)
class Slope:
    """The power law cost = factor * size ** exponent, fitted from `min_size` to `max_size`.

    Attributes:
        exponent: the fitted exponent.
        low: the lower end of the exponent's confidence interval.
        high: the upper end of the exponent's confidence interval.
        factor: the fitted factor.
        point_count: the number of fitted points.
        min_size: the smallest measured size.
        max_size: the largest measured size.
        standard_error: that of a point about the line, in natural logarithms.
        mean_log_size: the mean of the logarithms of the sizes.
        squared_deviation_sum: of the logarithms of the sizes from their mean.
    """

    exponent: float
    low: float
    high: float
    factor: float
    point_count: int
    min_size: float
    max_size: float
    standard_error: float
    mean_log_size: float
    squared_deviation_sum: float

    def at(self, size: float) -> Estimate:
        """Return the cost at a size, which may lie beyond the measured ones.

        Raises:
            ValueError: The size is not positive.
        """
        if not size > 0:
            raise ValueError(f"a size must be positive, not {size}")
        log_size = math.log(size)
        value = self.factor * size**self.exponent
        variance_factor = (
            1
            + 1 / self.point_count
            + (log_size - self.mean_log_size) ** 2 / self.squared_deviation_sum
        )
        half_width = t_quantile(self.point_count) * self.standard_error * math.sqrt(variance_factor)
        return Estimate(value, value * math.exp(-half_width), value * math.exp(half_width))

    def extrapolation_factor(self, size: float) -> float:
        """Return the factor by which a size lies outside the measured range; 1 within it."""
        return max(size / self.max_size, self.min_size / size, 1.0)

    def __str__(self) -> str:
        return f"{self.exponent:.2f} [{self.low:.2f}, {self.high:.2f}]"


def t_quantile(point_count: int) -> float:
    """Return the two-sided quantile of Student's t for a line through so many points."""
    return float(t.ppf((1 + CONFIDENCE_LEVEL) / 2, point_count - 2))


def fit(
    points: Sequence[Point],
    min_size: float = 0.0,
    max_size: float = math.inf,
    last: int | None = None,
) -> Slope:
    """Return the power law fitted to points.

    Args:
        points: the measured points; those at size 0 have no logarithm and are left out.
        min_size: the smallest size to use.
        max_size: the largest size to use.
        last: if given, only this many of the largest remaining points are used.

    Raises:
        ValueError: Fewer than `MIN_SIZES` sizes are left, or a cost is not positive and finite.
    """
    chosen = sorted((x, y) for x, y in points if min_size <= x <= max_size and x > 0)
    chosen = chosen[-last:] if last else chosen
    if len({x for x, _ in chosen}) < MIN_SIZES:
        selection = f"from {min_size:g} to {max_size:g}" + (f", the last {last}" if last else "")
        raise ValueError(
            f"a slope needs {MIN_SIZES} sizes, got {len({x for x, _ in chosen})} ({selection})"
        )
    for x, y in chosen:
        if not 0 < y < math.inf:
            raise ValueError(f"the cost at size {x:g} is {y}, but must be positive and finite")
    log_sizes, log_costs = [math.log(x) for x, _ in chosen], [math.log(y) for _, y in chosen]
    n = len(chosen)
    mean_log_size, mean_log_cost = math.fsum(log_sizes) / n, math.fsum(log_costs) / n
    squared_deviation_sum = math.fsum((x - mean_log_size) ** 2 for x in log_sizes)
    exponent = (
        math.fsum(
            (x - mean_log_size) * (y - mean_log_cost)
            for x, y in zip(log_sizes, log_costs, strict=True)
        )
        / squared_deviation_sum
    )
    intercept = mean_log_cost - exponent * mean_log_size
    residual = math.fsum(
        (y - intercept - exponent * x) ** 2 for x, y in zip(log_sizes, log_costs, strict=True)
    )
    standard_error = math.sqrt(residual / (n - 2))
    half_width = t_quantile(n) * standard_error / math.sqrt(squared_deviation_sum)
    return Slope(
        exponent,
        exponent - half_width,
        exponent + half_width,
        math.exp(intercept),
        n,
        chosen[0][0],
        chosen[-1][0],
        standard_error,
        mean_log_size,
        squared_deviation_sum,
    )


def doublings(smallest: int, largest: int, factor: int = 2) -> list[int]:
    """Return sizes that grow by a factor from `smallest` and end with `largest` itself.

    A size close to the largest one would cost as much to measure and add little: it is left out.
    """
    sizes = [smallest]
    while sizes[-1] * factor < largest:
        sizes.append(sizes[-1] * factor)
    return [size for size in sizes if 1.5 * size <= largest] + [largest]
