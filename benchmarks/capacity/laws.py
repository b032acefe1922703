"""Measured slopes, and at which share of the target a budget breaks. No I/O but for reading the
runs."""

from __future__ import annotations

import math
from bisect import bisect_left
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path

from benchmarks.capacity.target import BUDGETS, TARGET
from benchmarks.scale.fit import Slope, fit
from benchmarks.scale.report import LAST, Run, Series, read

RUNS = Path(__file__).parent.parent / "scale" / "runs"
LEAST, MOST, STEP = 1e-6, 100.0, 1.05  # shares that are looked at, and how densely

# What grows along a series' sizes, and how large it is at the target.
SIZES: dict[str, float] = {
    "servers": TARGET.servers,
    "tenants": TARGET.tenants,
    "nodes": TARGET.nodes,
    "processes": TARGET.nodes,
    "members": TARGET.nodes,
    "zones": TARGET.zones,
    "classes": TARGET.routes,
    "connections": BUDGETS["connections"].value,
}


class MissingSeries(LookupError):
    """A figure is wanted that no run has: which, and what there is."""


@dataclass(slots=True, frozen=True)
class Law:
    """How one cost grows, by one series of a run.

    Within the sizes that were run it goes by the points (straight lines between logarithms), beyond
    them by the exponent fitted to the last points, below them by that of the first, or flat where
    that falls."""

    run: Run
    series: Series
    subject: str  # the name of the run's file
    points: list[tuple[float, float]] = field(init=False)  # by size, those of size 0 left out
    slope: Slope = field(init=False)
    first: Slope = field(init=False)  # of the first points

    def __post_init__(self) -> None:
        points = sorted((x, y) for x, y in self.series.points if x > 0)
        try:
            slope = fit(points, last=LAST)
            first = fit(points[:LAST])
        except ValueError as error:
            raise ValueError(f"{self.name}: {error}") from None
        object.__setattr__(self, "points", points)
        object.__setattr__(self, "slope", slope)
        object.__setattr__(self, "first", first)

    @property
    def name(self) -> str:
        beside = "".join(
            f", {value:.4g} {key.replace('_', ' ')}" for key, value in self.series.fixed.items()
        )
        series = self.series
        return f"{self.subject}: {series.name}, {series.statistic}, over {series.over}{beside}"

    @property
    def most(self) -> float:
        return self.points[-1][0]

    def __call__(self, size: float) -> float:
        points = self.points
        if size <= points[0][0]:
            return points[0][1] * math.pow(size / points[0][0], max(0.0, self.first.exponent))
        if size >= points[-1][0]:
            return points[-1][1] * math.pow(size / points[-1][0], self.slope.exponent)
        at = bisect_left(points, (size, -math.inf))
        (x0, y0), (x1, y1) = points[at - 1], points[at]
        part = math.log(size / x0) / math.log(x1 / x0)
        return math.exp(math.log(y0) * (1 - part) + math.log(y1) * part)

    @property
    def left(self) -> float:
        """By which factor the target lies beyond what was run; 1 where it was reached."""
        size = SIZES.get(self.series.over)
        if size is None:
            raise ValueError(
                f"{self.name}: the target has no {self.series.over!r}; add it to `SIZES`"
            )
        return self.beyond(size)

    def beyond(self, size: float) -> float:
        """By which factor a size lies beyond the largest that was run; 1 where it does not."""
        return max(1.0, size / self.most)


class Runs:
    """All runs that are kept, by subject."""

    def __init__(self, runs: Mapping[str, Run]) -> None:
        self.runs = dict(runs)
        self.used: dict[str, Law] = {}  # laws that were asked for, in that order

    @classmethod
    def kept(cls, folder: Path = RUNS) -> Runs:
        """ValueError where a file is no run."""
        return cls({path.stem: read(path) for path in sorted(folder.glob("*.json"))})

    def first(self, names: Sequence[str]) -> str:
        """The first of these that is kept; the first of all where none is."""
        return next((name for name in names if name in self.runs), names[0])

    def law(
        self, subject: str, name: str, over: str, statistic: str | None = None, **fixed: float
    ) -> Law:
        """The one series that fits; MissingSeries where none does, or several."""
        wanted = f"{name!r} over {over!r}" + (f", {statistic}" if statistic else "")
        wanted += "".join(f", {key} {value:g}" for key, value in fixed.items())
        run = self.runs.get(subject)
        if run is None:
            have = ", ".join(self.runs) or "none"
            raise MissingSeries(f"no run {subject!r} for {wanted}; there are: {have}")
        found = [
            series for series in run.series
            if series.name == name and series.over == over and statistic in (None, series.statistic)
            and all(series.fixed.get(key) == value for key, value in fixed.items())
        ]  # fmt: skip
        if len(found) != 1:
            have = "; ".join(
                sorted({f"{s.name!r} over {s.over!r}, {s.statistic}" for s in run.series})
            )
            raise MissingSeries(
                f"{len(found)} series in {subject!r} are {wanted}, one is wanted; it has {have}"
            )
        law = Law(run, found[0], subject)
        return self.used.setdefault(law.name, law)


def break_share(cost: Callable[[float], float], budget: float) -> float:
    """The smallest share of the target at which a cost is over its budget.

    0 where it is infinite at every share (nothing exists that could carry any), `LEAST` where it is
    over at that, infinite where it is at none to `MOST`. ValueError where the budget is not over 0
    or a cost is no number."""
    if not budget > 0:
        raise ValueError(f"a budget of {budget} can't be kept")

    def over(share: float) -> bool:
        value = cost(share)
        if math.isnan(value):
            raise ValueError(f"the cost at {share:g} of the target is no number")
        return value > budget

    low = LEAST
    if over(low):
        return 0.0 if math.isinf(cost(low)) else low
    while not over(high := min(low * STEP, MOST)):
        if high >= MOST:
            return math.inf
        low = high
    while high / low > 1 + 1e-9:
        middle = math.sqrt(low * high)
        low, high = (low, middle) if over(middle) else (middle, high)
    return high
