"""Scaling laws from measured series, and the share of the target at which a budget breaks.

The only I/O of this module is reading the result files in `RUNS_FOLDER`.
"""

from __future__ import annotations

import math
from bisect import bisect_left
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path

from benchmarks.capacity.target import BUDGETS, TARGET
from benchmarks.scale.fit import Slope, fit
from benchmarks.scale.report import LAST_POINTS, Run, Series, read

RUNS_FOLDER = Path(__file__).parent.parent / "scale" / "runs"

# The shares of the target that `break_share` searches, and the factor between two of them.
MIN_SHARE = 1e-6
MAX_SHARE = 100.0
SHARE_STEP_FACTOR = 1.05

# How large each variable of a series (`Series.over`) is at the target.
TARGET_SIZES: dict[str, float] = {
    "servers": TARGET.servers,
    "tenants": TARGET.tenants,
    "nodes": TARGET.nodes,
    "processes": TARGET.nodes,
    "members": TARGET.nodes,
    "zones": TARGET.zones,
    "classes": TARGET.routes,
    "connections": BUDGETS["connections"].value,
}


class MissingSeriesError(LookupError):
    """No single series matches what was asked for; the message lists those that exist."""


@dataclass(slots=True, frozen=True)
class ScalingLaw:
    """How one cost grows with size, by one series of a run.

    Within the measured sizes a value is interpolated between the points on logarithmic scales.
    Beyond them it is extrapolated with the exponent fitted to the last points. Below them the
    exponent of the first points is used, or a constant where that exponent is negative.

    `subject` is the name of the run's file. `points` are sorted by size, without those of size 0.
    `slope` is fitted to the last points and `first_slope` to the first ones.
    """

    run: Run
    series: Series
    subject: str
    points: list[tuple[float, float]] = field(init=False)
    slope: Slope = field(init=False)
    first_slope: Slope = field(init=False)

    def __post_init__(self) -> None:
        points = sorted((x, y) for x, y in self.series.points if x > 0)
        try:
            slope = fit(points, last=LAST_POINTS)
            first_slope = fit(points[:LAST_POINTS])
        except ValueError as error:
            raise ValueError(f"{self.name}: {error}") from None
        object.__setattr__(self, "points", points)
        object.__setattr__(self, "slope", slope)
        object.__setattr__(self, "first_slope", first_slope)

    @property
    def name(self) -> str:
        """The law's name on the capacity page."""
        fixed_values = "".join(
            f", {value:.4g} {key.replace('_', ' ')}" for key, value in self.series.fixed.items()
        )
        series = self.series
        return (
            f"{self.subject}: {series.name}, {series.statistic}, over {series.over}{fixed_values}"
        )

    @property
    def max_measured_size(self) -> float:
        """The largest size that was measured."""
        return self.points[-1][0]

    def __call__(self, size: float) -> float:
        """Return the cost at a size."""
        points = self.points
        if size <= points[0][0]:
            return points[0][1] * math.pow(size / points[0][0], max(0.0, self.first_slope.exponent))
        if size >= points[-1][0]:
            return points[-1][1] * math.pow(size / points[-1][0], self.slope.exponent)
        at = bisect_left(points, (size, -math.inf))
        (x0, y0), (x1, y1) = points[at - 1], points[at]
        part = math.log(size / x0) / math.log(x1 / x0)
        return math.exp(math.log(y0) * (1 - part) + math.log(y1) * part)

    @property
    def target_extrapolation(self) -> float:
        """The factor by which the target exceeds the measured sizes; 1 where it was measured."""
        size = TARGET_SIZES.get(self.series.over)
        if size is None:
            raise ValueError(
                f"{self.name}: the target has no {self.series.over!r}; add it to `TARGET_SIZES`"
            )
        return self.extrapolation_factor(size)

    def extrapolation_factor(self, size: float) -> float:
        """Return the factor by which a size exceeds the measured ones, at least 1."""
        return max(1.0, size / self.max_measured_size)


class Runs:
    """The stored runs by subject, with the laws that were read from them.

    `used_laws` keeps the order in which the laws were first asked for.
    """

    def __init__(self, runs: Mapping[str, Run]) -> None:
        self.runs = dict(runs)
        self.used_laws: dict[str, ScalingLaw] = {}

    @classmethod
    def load(cls, folder: Path = RUNS_FOLDER) -> Runs:
        """Read all runs of a folder.

        Raises:
            ValueError: A file is not a valid run.
        """
        return cls({path.stem: read(path) for path in sorted(folder.glob("*.json"))})

    def first_available(self, names: Sequence[str]) -> str:
        """Return the first of these names that has a run, or the first name where none has."""
        return next((name for name in names if name in self.runs), names[0])

    def law(
        self, subject: str, name: str, over: str, statistic: str | None = None, **fixed: float
    ) -> ScalingLaw:
        """Return the law of the one series that matches.

        Raises:
            MissingSeriesError: No series matches, or several do.
        """
        wanted = f"{name!r} over {over!r}" + (f", {statistic}" if statistic else "")
        wanted += "".join(f", {key} {value:g}" for key, value in fixed.items())
        run = self.runs.get(subject)
        if run is None:
            available = ", ".join(self.runs) or "none"
            raise MissingSeriesError(f"no run {subject!r} for {wanted}; the runs are: {available}")
        matching = [
            series
            for series in run.series
            if series.name == name
            and series.over == over
            and statistic in (None, series.statistic)
            and all(series.fixed.get(key) == value for key, value in fixed.items())
        ]
        if len(matching) != 1:
            available = "; ".join(
                sorted({f"{s.name!r} over {s.over!r}, {s.statistic}" for s in run.series})
            )
            raise MissingSeriesError(
                f"{len(matching)} series in {subject!r} match {wanted}, expected one; "
                f"it has {available}"
            )
        law = ScalingLaw(run, matching[0], subject)
        return self.used_laws.setdefault(law.name, law)


def break_share(cost: Callable[[float], float], budget: float) -> float:
    """Return the smallest share of the target at which a cost exceeds its budget.

    The result is 0 where the cost is infinite at `MIN_SHARE`, as for a mechanism that does not
    exist; `MIN_SHARE` where the cost exceeds the budget there; and infinity where it exceeds the
    budget at no share up to `MAX_SHARE`.

    Raises:
        ValueError: The budget is not positive, or a cost is not a number.
    """
    if not budget > 0:
        raise ValueError(f"a budget must be positive, not {budget}")

    def exceeds(share: float) -> bool:
        value = cost(share)
        if math.isnan(value):
            raise ValueError(f"the cost at {share:g} of the target is not a number")
        return value > budget

    low = MIN_SHARE
    if exceeds(low):
        return 0.0 if math.isinf(cost(low)) else low
    while not exceeds(high := min(low * SHARE_STEP_FACTOR, MAX_SHARE)):
        if high >= MAX_SHARE:
            return math.inf
        low = high
    while high / low > 1 + 1e-9:
        middle = math.sqrt(low * high)
        low, high = (low, middle) if exceeds(middle) else (middle, high)
    return high
