"""The results of a scale run: stored as JSON, printed as a table, drawn as a chart.

The chart needs matplotlib.
"""

from __future__ import annotations

import json
import os
import platform
import subprocess
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from benchmarks.scale.fit import Point, fit

ROOT = Path(__file__).parent.parent.parent

# The number of the largest points from which the slope at the far end is fitted.
LAST_POINTS = 5


@dataclass(slots=True, frozen=True)
class Series:
    """One cost as one variable grows and all others are fixed.

    Attributes:
        name: the cost.
        unit: its unit.
        over: the variable that grows.
        statistic: how several measurements at a size were combined.
        points: sizes and costs.
        fixed: the other variables and their values.
    """

    name: str
    unit: str
    over: str
    statistic: str
    points: list[Point]
    fixed: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class Run:
    """All series of a subject, with the command, commit and machine that produced them."""

    subject: str
    command: str
    revision: str
    machine: dict[str, Any]
    series: list[Series]


def revision() -> str:
    """Return the measured commit, with `-dirty` if tracked files differ from it."""
    completed = subprocess.run(
        ["git", "describe", "--always", "--abbrev=40", "--dirty", "--exclude=*"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    )
    return completed.stdout.strip() or "unknown"


def new_run(subject: str, command: str, series: list[Series]) -> Run:
    """Return a run of these series on this machine at the current commit."""
    machine = {"cores": os.cpu_count(), "python": ".".join(platform.python_version_tuple()[:2])}
    return Run(subject, command, revision(), machine, series)


def write(run: Run, folder: Path, name: str | None = None) -> Path:
    """Store a run as `<subject>.json`, or under another name, and return the path."""
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / f"{name or run.subject}.json"
    path.write_text(to_json(run))
    return path


def to_json(run: Run) -> str:
    """Return a run as JSON with one series on a line, so that runs can be compared by line."""
    lines = ",\n".join("  " + json.dumps(series_to_dict(series)) for series in run.series)
    head = json.dumps(
        {
            "subject": run.subject,
            "command": run.command,
            "revision": run.revision,
            "machine": run.machine,
        },
        indent=1,
    )[:-2]
    return f'{head},\n "series": [\n{lines}\n ]\n}}\n'


def series_to_dict(series: Series) -> dict[str, Any]:
    """Return a series in its stored form, with four significant digits: more would be noise."""
    return {
        "name": series.name,
        "unit": series.unit,
        "over": series.over,
        "statistic": series.statistic,
        "points": [[x, float(f"{y:.4g}")] for x, y in series.points],
        "fixed": series.fixed,
    }


def series_from_dict(raw: dict[str, Any]) -> Series:
    """Return a series from its stored form.

    Raises:
        KeyError, TypeError, IndexError, ValueError: The form is invalid.
    """
    check_keys(raw, "name", "unit", "over", "statistic", "points", "fixed")
    points = [(point[0], point[1]) for point in raw["points"]]
    return Series(
        raw["name"], raw["unit"], raw["over"], raw["statistic"], points, raw.get("fixed", {})
    )


def check_keys(raw: dict[str, Any], *known: str) -> None:
    """Raise ValueError if there are other keys than the known ones."""
    if unknown := raw.keys() - set(known):
        raise ValueError(f"unknown keys: {', '.join(sorted(unknown))}")


def read(path: Path) -> Run:
    """Read a stored run.

    Raises:
        ValueError: The file is not a valid run.
    """
    try:
        raw = json.loads(path.read_text())
        check_keys(raw, "subject", "command", "revision", "machine", "series")
        series = [series_from_dict(one) for one in raw["series"]]
        return Run(raw["subject"], raw["command"], raw["revision"], raw["machine"], series)
    except (AttributeError, TypeError, KeyError, IndexError, ValueError) as error:
        raise ValueError(f"{path.name} is not a valid run: {error}") from None


def slope_text(points: Sequence[Point], last: int | None = None) -> str:
    """Return the slope of points as text, or a dash where they have none."""
    try:
        return str(fit(points, last=last))
    except ValueError:
        return "-"


def table(run: Run) -> str:
    """Return a Markdown table of the series of a run.

    Each has its smallest and largest point, and the exponent over all points and over the last
    ones.
    """
    header = (
        "cost",
        "over",
        "statistic",
        "least",
        "most",
        "exponent",
        f"of the last {LAST_POINTS}",
    )
    lines = ["| " + " | ".join(header) + " |", "| --- " * len(header) + "|"]
    for series in run.series:
        fixed_values = "".join(f", {value:g} {key}" for key, value in series.fixed.items())
        ends = [f"{y:.4g} {series.unit} at {x:g}" for x, y in (series.points[0], series.points[-1])]
        slopes = slope_text(series.points), slope_text(series.points, LAST_POINTS)
        row = (series.name, series.over + fixed_values, series.statistic, *ends, *slopes)
        lines.append("| " + " | ".join(row) + " |")
    return "\n".join(lines)


def draw_chart(run: Run, path: Path) -> bool:
    """Draw a run on logarithmic scales, with a panel for each unit and variable.

    Returns:
        False if matplotlib is not installed.
    """
    try:
        from matplotlib.figure import Figure
    except ImportError:
        return False
    panels: dict[tuple[str, str], list[Series]] = {}
    for series in run.series:
        panels.setdefault((series.unit, series.over), []).append(series)
    columns = min(3, len(panels))
    rows = -(-len(panels) // columns)
    figure = Figure(figsize=(5 * columns, 4 * rows), dpi=50, layout="constrained")
    for position, ((unit, over), panel) in enumerate(panels.items(), 1):
        axes = figure.add_subplot(rows, columns, position)
        for series in panel:
            points = [(x, y) for x, y in series.points if x > 0 and y > 0]
            label = " ".join(
                (series.name, series.statistic, *(f"{k}={v:g}" for k, v in series.fixed.items()))
            )
            axes.loglog([x for x, _ in points], [y for _, y in points], marker=".", label=label)
        axes.set_xlabel(over)
        axes.set_ylabel(unit)
        axes.grid(alpha=0.3)
        axes.legend(fontsize=6)
    figure.savefig(path)
    return True
