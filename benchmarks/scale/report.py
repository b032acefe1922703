"""What a scale run found: kept as JSON, printed as a table, drawn as a chart where matplotlib is
there."""

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
LAST = 5  # points of the slope at the far end


@dataclass(slots=True, frozen=True)
class Series:
    """One cost as one thing grows and all else stands still."""

    name: str  # what costs
    unit: str
    over: str  # what grows
    statistic: str  # of several measurements at a size
    points: list[Point]
    fixed: dict[str, float] = field(default_factory=dict)  # what stands still, and where


@dataclass(slots=True, frozen=True)
class Run:
    """All series of a subject, and where they come from."""

    subject: str
    command: str
    revision: str
    machine: dict[str, Any]
    series: list[Series]


def revision() -> str:
    """The commit that is measured, with `-dirty` where files of the program differ from it."""
    told = subprocess.run(["git", "describe", "--always", "--abbrev=40", "--dirty", "--exclude=*"],
                          cwd=ROOT, capture_output=True, text=True, check=False)  # fmt: skip
    return told.stdout.strip() or "unknown"


def run_of(subject: str, command: str, series: list[Series]) -> Run:
    machine = {"cores": os.cpu_count(), "python": ".".join(platform.python_version_tuple()[:2])}
    return Run(subject, command, revision(), machine, series)


def write(run: Run, folder: Path, name: str | None = None) -> Path:
    """Keep a run as `<subject>.json`, or under another name."""
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / f"{name or run.subject}.json"
    path.write_text(text(run))
    return path


def text(run: Run) -> str:
    """As JSON with a series a line, so that runs can be held against each other."""
    lines = ",\n".join("  " + json.dumps(kept(series)) for series in run.series)
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


def kept(series: Series) -> dict[str, Any]:
    """A series as it is kept, with four digits: more would be noise."""
    return {
        "name": series.name,
        "unit": series.unit,
        "over": series.over,
        "statistic": series.statistic,
        "points": [[x, float(f"{y:.4g}")] for x, y in series.points],
        "fixed": series.fixed,
    }


def series_of(raw: dict[str, Any]) -> Series:
    """A series as it was kept. KeyError, TypeError, IndexError or ValueError where it is none."""
    only(raw, "name", "unit", "over", "statistic", "points", "fixed")
    points = [(point[0], point[1]) for point in raw["points"]]
    return Series(
        raw["name"], raw["unit"], raw["over"], raw["statistic"], points, raw.get("fixed", {})
    )


def only(raw: dict[str, Any], *known: str) -> None:
    """ValueError where something else stands there, too."""
    if unknown := raw.keys() - set(known):
        raise ValueError(f"unknown: {', '.join(sorted(unknown))}")


def read(path: Path) -> Run:
    """ValueError where a file is no run."""
    try:
        raw = json.loads(path.read_text())
        only(raw, "subject", "command", "revision", "machine", "series")
        series = [series_of(one) for one in raw["series"]]
        return Run(raw["subject"], raw["command"], raw["revision"], raw["machine"], series)
    except (AttributeError, TypeError, KeyError, IndexError, ValueError) as error:
        raise ValueError(f"{path.name} is no run: {error}") from None


def slope_of(points: Sequence[Point], last: int | None = None) -> str:
    try:
        return str(fit(points, last=last))
    except ValueError:
        return "-"


def table(run: Run) -> str:
    """Each series at its least and most, with the exponent over all of it and at its far end."""
    names = ("cost", "over", "statistic", "least", "most", "exponent", f"of the last {LAST}")
    lines = ["| " + " | ".join(names) + " |", "| --- " * len(names) + "|"]
    for series in run.series:
        beside = "".join(f", {value:g} {key}" for key, value in series.fixed.items())
        ends = [f"{y:.4g} {series.unit} at {x:g}" for x, y in (series.points[0], series.points[-1])]
        slopes = slope_of(series.points), slope_of(series.points, LAST)
        row = (series.name, series.over + beside, series.statistic, *ends, *slopes)
        lines.append("| " + " | ".join(row) + " |")
    return "\n".join(lines)


def chart(run: Run, path: Path) -> bool:
    """Draw a run on logarithmic scales, a panel for each unit and what grows; False without
    matplotlib."""
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
    for place, ((unit, over), found) in enumerate(panels.items(), 1):
        axes = figure.add_subplot(rows, columns, place)
        for series in found:
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
