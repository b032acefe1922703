"""What came of an experiment, for people: tables, one HTML page, and PNG beside it."""

from __future__ import annotations

import html
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram

from badgercart.app import pages
from lab.measure import ENDS, US, histogram
from lab.peers import BADGERCART
from lab.settings import Cell, Day
from lab.stats import Interval, interval, paired, verdict

Days = list[tuple[Cell, dict[str, Any]]]
Group = tuple[tuple[tuple[str, Any], ...], str]  # the grid's values, the policy


@dataclass(slots=True)
class Summary:
    """All seeds of one setting and one policy."""

    values: tuple[tuple[str, Any], ...]
    policy: str
    shares: list[float] = field(default_factory=list)
    seeds: list[int] = field(default_factory=list)
    days: list[dict[str, Any]] = field(default_factory=list)

    @property
    def label(self) -> str:
        return " ".join([self.policy, *(f"{key}={value}" for key, value in self.values)])

    @property
    def share(self) -> Interval:
        return interval(self.shares)

    @property
    def breaches(self) -> int:
        return sum(sum(day["breaches"].values()) for day in self.days)

    def mean(self, name: str) -> float:
        found = [float(day[name]) for day in self.days if day[name] is not None]
        return sum(found) / len(found) if found else float("nan")

    def end(self, name: str) -> float:
        """The share of requests that ended so."""
        offered = sum(cls["offered"] for day in self.days for cls in day["classes"].values())
        ended = sum(
            cls["ends"].get(name, 0) for day in self.days for cls in day["classes"].values()
        )
        return ended / offered if offered else 0.0

    def times(self) -> HdrHistogram:
        whole = histogram()
        for day in self.days:
            for cls in day["classes"].values():
                whole.add(HdrHistogram.decode(cls["times"]))
        return whole


def summaries(days: Days) -> list[Summary]:
    """In the order in which they were played."""
    found: dict[Group, Summary] = {}
    for cell, result in days:
        told = found.setdefault(
            (cell.grid_values, cell.policy), Summary(cell.grid_values, cell.policy)
        )
        told.shares.append(result["share"])
        told.seeds.append(cell.seed)
        told.days.append(result)
    return list(found.values())


def against(told: Summary, all_of: Sequence[Summary], base: str) -> Interval | None:
    """The paired difference to the base policy in the same setting; None for the base itself."""
    if told.policy == base:
        return None
    for other in all_of:
        if other.policy == base and other.values == told.values and other.seeds == told.seeds:
            return paired(told.shares, other.shares)
    return None


COLUMNS = ("setting", "worth in time", "less base", "served", "late", "refused", "failed", "p50 ms", "p99 ms",
           "jam s", "recovery s", "imbalance", "breaches")  # fmt: skip


def rows(found: list[Summary], base: str = BADGERCART) -> list[tuple[str, ...]]:
    """A row a summary, as text."""
    made = []
    for told in found:
        difference, times = against(told, found, base), told.times()
        words = f"{difference} {verdict(difference)}" if difference else ""
        made.append(
            (
                told.label, str(told.share), words,
                *(f"{told.end(name):.3f}" for name in ENDS[:4]),
                f"{times.get_value_at_percentile(50) / US:.0f}",
                f"{times.get_value_at_percentile(99) / US:.0f}",
                f"{told.mean('jam_s'):.1f}", f"{told.mean('recovery_s'):.1f}",
                f"{told.mean('imbalance'):.2f}", str(told.breaches),
            )
        )  # fmt: skip
    return made


def markdown(found: list[Summary], base: str = BADGERCART) -> str:
    """The table for a page."""
    lines = ["| " + " | ".join(COLUMNS) + " |", "|" + " --- |" * len(COLUMNS)]
    return "\n".join([*lines, *("| " + " | ".join(row) + " |" for row in rows(found, base))])


def table(days: dict[str, Days], base: str = BADGERCART) -> str:
    """Worth in time of many experiments, a line each and a column a policy; bold where it beats the
    base, with
    `!` where rules were broken."""
    names = list(dict.fromkeys(cell.policy for told in days.values() for cell, _ in told))
    lines = ["| world | " + " | ".join(names) + " |", "|" + " --- |" * (len(names) + 1)]
    for world, told in days.items():
        found = summaries(told)
        cells = {}
        for one in found:
            share, difference = one.share, against(one, found, base)
            text = f"{share.mean:.3f} ±{(share.high - share.low) / 2:.3f}"
            if difference is not None and verdict(difference) == "better":
                text = f"**{text}**"
            cells[one.policy] = text + (f" !{one.breaches}" if one.breaches else "")
        lines.append(f"| {world} | " + " | ".join(cells.get(name, "") for name in names) + " |")
    return "\n".join(lines)


# Figures.


def course(told: Summary, day: Day) -> Any:
    """The course of the first seed's day: what came and how it ended, the cut, servers in
    trouble."""
    pyplot = pages.pyplot()
    first: dict[str, list[float]] = told.days[0]["course"]
    times = list(range(len(first["cut"])))
    figure, axes = pyplot.subplots(3, 1, figsize=(11, 8), sharex=True, layout="constrained")
    for name in ("offered", "served", "timely", "refused", "failed"):
        axes[0].plot(times, first[name], label=name, linewidth=1.2)
    axes[0].set_ylabel("requests a second")
    axes[1].plot(times, [x / 100 for x in first["cut"]], label="cut / 100", linewidth=1.2)
    axes[1].plot(times, first["x"], label="overload x", linewidth=1.2)
    axes[1].set_ylabel("0 to 1")
    axes[2].plot(times, first["out"], label="attempts out", linewidth=1.2)
    axes[2].plot(times, first["troubled"], label="servers in trouble", linewidth=1.2)
    axes[2].set_ylabel("count")
    axes[2].set_xlabel("seconds")
    for axis in axes:
        axis.grid(alpha=0.3)
        for trouble in day.trouble:
            axis.axvspan(trouble.at_s, trouble.at_s + trouble.for_s, color="orange", alpha=0.12)
        axis.legend(loc="upper right", fontsize=8)
    figure.suptitle(f"{told.label}, seed {told.seeds[0]}", fontsize=11)
    return figure


def latencies(found: list[Summary]) -> Any:
    """Answer times by quantile, on the scale that shows the tail."""
    pyplot = pages.pyplot()
    figure, axis = pyplot.subplots(figsize=(11, 5), layout="constrained")
    points = [0, 25, 50, 75, 90, 95, 99, 99.5, 99.9, 99.99]
    for told in found:
        times = told.times()
        if times.get_total_count():
            values = [times.get_value_at_percentile(q) / US for q in points]
            axis.plot([1 / (1 - q / 100) for q in points], values, label=told.label, linewidth=1.2)
    axis.set_xscale("log")
    axis.set_xticks([1 / (1 - q / 100) for q in points], [f"{q:g}" for q in points])
    axis.set_xlabel("percentile")
    axis.set_ylabel("ms")
    axis.grid(alpha=0.3)
    axis.legend(loc="upper left", fontsize=8)
    return figure


def heat(found: list[Summary]) -> Any | None:
    """Worth in time over the grid, a row a policy and other setting; None where there is no
    grid."""
    keys = [key for key, _ in found[0].values]
    if not keys:
        return None
    pyplot = pages.pyplot()
    columns = list(dict.fromkeys(told.values[0][1] for told in found))
    lines = list(dict.fromkeys((told.policy, told.values[1:]) for told in found))
    grid = [[float("nan")] * len(columns) for _ in lines]
    for told in found:
        grid[lines.index((told.policy, told.values[1:]))][columns.index(told.values[0][1])] = (
            told.share.mean
        )
    figure, axis = pyplot.subplots(figsize=(11, 1.2 + 0.45 * len(lines)), layout="constrained")
    shown = axis.imshow(grid, aspect="auto", cmap="viridis", vmin=0, vmax=1)
    axis.set_xticks(range(len(columns)), [str(c) for c in columns])
    names = [" ".join([policy, *(f"{k}={v}" for k, v in rest)]) for policy, rest in lines]
    axis.set_yticks(range(len(lines)), names)
    axis.set_xlabel(keys[0])
    for y, line in enumerate(grid):
        for x, value in enumerate(line):
            axis.text(x, y, f"{value:.2f}", ha="center", va="center", fontsize=8,
                      color="white" if value < 0.6 else "black")  # fmt: skip
    figure.colorbar(shown, label="worth in time")
    return figure


def figures(days: Days, found: list[Summary]) -> dict[str, Any]:
    """All figures by their name."""
    made: dict[str, Any] = {"latencies": latencies(found)}
    if (map_ := heat(found)) is not None:
        made["heat"] = map_
    for number, told in enumerate(found[:12]):
        day = next(
            cell.day
            for cell, _ in days
            if (cell.grid_values, cell.policy) == (told.values, told.policy)
        )
        made[f"course-{number + 1}"] = course(told, day)
    return made


def write(days: Days, output: Path, base: str = BADGERCART, png: bool = True) -> list[Path]:
    """Write the page, and beside it the figures as PNG; gives the files."""
    found = summaries(days)
    made = figures(days, found)
    lines = rows(found, base)
    broken = [
        f"<li>{html.escape(cell.name)}: rule {rule} at {at:.0f} ms: {html.escape(words)}</li>"
        for cell, result in days
        for rule, at, words in result["shown"][:3]
    ]
    rules = (
        pages.heading("Broken rules") + f"<ul>{''.join(broken)}</ul>"
        if broken
        else "<p>No rule was broken.</p>"
    )
    text = pages.page(
        days[0][0].day.experiment.name,
        (
            f"<p>{len(days)} days; intervals of 95%; differences are paired by seed, "
            f"to {html.escape(base)}.</p>",
            pages.table(
                COLUMNS, lines, frozenset(at for at, row in enumerate(lines) if row[-1] != "0")
            ),
            rules,
            *(pages.heading(name) + pages.svg(figure) for name, figure in made.items()),
        ),
    )
    output.write_text(text)
    files = [output]
    pyplot = pages.pyplot()
    for name, figure in made.items():
        if png:
            files.append(output.with_name(f"{output.stem}-{name}.png"))
            figure.savefig(files[-1], dpi=100)
        pyplot.close(figure)
    return files
