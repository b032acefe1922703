"""How a cost grows: a straight line through logarithms, with what it leaves open. No I/O.

The interval is Student's t at `LEVEL`, with two degrees of freedom spent on the line (Draper and
Smith, Applied Regression Analysis, sections 1.4 and 3.1). It holds for scatter about the line;
where the points bend, a range that leaves out the flat part says more than the whole.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

from scipy.stats import t

LEVEL = 0.95
FEWEST = 3  # points that a line with an interval takes

Point = tuple[float, float]  # size, cost


@dataclass(slots=True, frozen=True)
class Estimate:
    """A cost at a size, and where one more measurement there would lie with a confidence of
    `LEVEL`."""

    value: float
    low: float
    high: float


@dataclass(slots=True, frozen=True)
class Slope:
    """cost = factor * size ** exponent, as fitted from `least` to `most`."""

    exponent: float
    low: float  # the exponent's interval
    high: float
    factor: float
    points: int
    least: float  # sizes that were run
    most: float
    scatter: float  # standard error of a point about the line, in natural logarithms
    centre: float  # mean logarithm of the sizes
    width: float  # sum of the squared distances from it

    def at(self, size: float) -> Estimate:
        """The cost at a size, also beyond what was run. ValueError where the size is not over 0."""
        if not size > 0:
            raise ValueError(f"a cost is asked for at size {size}, which is not over 0")
        log = math.log(size)
        value = self.factor * size**self.exponent
        off = 1 + 1 / self.points + (log - self.centre) ** 2 / self.width
        reach = quantile(self.points) * self.scatter * math.sqrt(off)
        return Estimate(value, value * math.exp(-reach), value * math.exp(reach))

    def beyond(self, size: float) -> float:
        """By which factor a size lies beyond what was run; 1 where it lies within."""
        return max(size / self.most, self.least / size, 1.0)

    def __str__(self) -> str:
        return f"{self.exponent:.2f} [{self.low:.2f}, {self.high:.2f}]"


def quantile(points: int) -> float:
    return float(t.ppf((1 + LEVEL) / 2, points - 2))


def fit(
    points: Sequence[Point], least: float = 0.0, most: float = math.inf, last: int | None = None
) -> Slope:
    """The slope over the points from `least` to `most`; of these, where asked, only the last so
    many.

    Points at size 0 have no logarithm and are left out. ValueError where under three sizes are
    left, or a cost is not over 0."""
    chosen = sorted((x, y) for x, y in points if least <= x <= most and x > 0)
    chosen = chosen[-last:] if last else chosen
    if len({x for x, _ in chosen}) < FEWEST:
        within = f"from {least:g} to {most:g}" + (f", the last {last}" if last else "")
        raise ValueError(
            f"a slope takes {FEWEST} sizes, there are {len({x for x, _ in chosen})} ({within})"
        )
    for x, y in chosen:
        if not 0 < y < math.inf:
            raise ValueError(f"the cost at size {x:g} is {y}, a slope takes costs over 0")
    sizes, costs = [math.log(x) for x, _ in chosen], [math.log(y) for _, y in chosen]
    n = len(chosen)
    centre, level = math.fsum(sizes) / n, math.fsum(costs) / n
    width = math.fsum((x - centre) ** 2 for x in sizes)
    exponent = (
        math.fsum((x - centre) * (y - level) for x, y in zip(sizes, costs, strict=True)) / width
    )
    start = level - exponent * centre
    rest = math.fsum((y - start - exponent * x) ** 2 for x, y in zip(sizes, costs, strict=True))
    scatter = math.sqrt(rest / (n - 2))
    reach = quantile(n) * scatter / math.sqrt(width)
    return Slope(
        exponent, exponent - reach, exponent + reach, math.exp(start), n,
        chosen[0][0], chosen[-1][0], scatter, centre, width,
    )  # fmt: skip


def doublings(least: int, most: int, step: int = 2) -> list[int]:
    """Sizes from `least` in doublings, or by another factor, that end with `most` itself.

    A size that is nearly the last one would cost as much and tell no more: it is left out."""
    sizes = [least]
    while sizes[-1] * step < most:
        sizes.append(sizes[-1] * step)
    return [size for size in sizes if 1.5 * size <= most] + [most]
