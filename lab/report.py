"""Reports of an experiment: Markdown tables, one HTML page, and the page's figures as PNG files."""

from __future__ import annotations

import html
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram

from badgercart.app import pages
from lab.metrics import OUTCOMES, US_PER_MS, latency_histogram
from lab.peers import BADGERCART
from lab.settings import Cell, Day, GridValues
from lab.stats import Interval, mean_interval, paired_difference, verdict

# Played days, each with its result.
Results = list[tuple[Cell, dict[str, Any]]]
# What the days of a summary have in common: the grid's values, and the policy.
SummaryKey = tuple[GridValues, str]

# Summaries that have a figure of the course of a day.
MAX_COURSE_FIGURES = 12
# Breaches of each day that the page lists.
MAX_LISTED_BREACHES = 3


@dataclass(slots=True)
class Summary:
    """The days of all seeds that have the same grid values and the same policy."""

    grid_values: GridValues
    policy: str
    shares: list[float] = field(default_factory=list)
    seeds: list[int] = field(default_factory=list)
    days: list[dict[str, Any]] = field(default_factory=list)

    @property
    def label(self) -> str:
        """The policy and the grid's values, for tables and legends."""
        return " ".join([self.policy, *(f"{key}={value}" for key, value in self.grid_values)])

    @property
    def share(self) -> Interval:
        """The mean share of the worth that was served in time."""
        return mean_interval(self.shares)

    @property
    def breaches(self) -> int:
        """The number of breaches of rules on all days."""
        return sum(sum(day["breaches"].values()) for day in self.days)

    def mean(self, name: str) -> float:
        """Return the mean of a figure over the days that have it, or NaN."""
        found = [float(day[name]) for day in self.days if day[name] is not None]
        return sum(found) / len(found) if found else float("nan")

    def outcome_share(self, name: str) -> float:
        """Return the share of requests with this outcome."""
        offered = sum(cls["offered"] for day in self.days for cls in day["classes"].values())
        ended = sum(
            cls["ends"].get(name, 0) for day in self.days for cls in day["classes"].values()
        )
        return ended / offered if offered else 0.0

    def response_times(self) -> HdrHistogram:
        """Return one histogram of all classes and days."""
        whole = latency_histogram()
        for day in self.days:
            for cls in day["classes"].values():
                whole.add(HdrHistogram.decode(cls["times"]))
        return whole


def summarize(results: Results) -> list[Summary]:
    """Return a summary for each combination of grid values and policy, in the order of the days."""
    found: dict[SummaryKey, Summary] = {}
    for cell, result in results:
        summary = found.setdefault(
            (cell.grid_values, cell.policy), Summary(cell.grid_values, cell.policy)
        )
        summary.shares.append(result["share"])
        summary.seeds.append(cell.seed)
        summary.days.append(result)
    return list(found.values())


def difference_from_base(
    summary: Summary, summaries: Sequence[Summary], base: str
) -> Interval | None:
    """Return the paired difference from the base policy at the same grid values.

    It is None for the base itself, and where the base was not played with the same seeds.
    """
    if summary.policy == base:
        return None
    for other in summaries:
        if (
            other.policy == base
            and other.grid_values == summary.grid_values
            and other.seeds == summary.seeds
        ):
            return paired_difference(summary.shares, other.shares)
    return None


# Columns of the table of an experiment; those of outcomes are the first four of `ENDS`.
COLUMNS = ("setting", "worth in time", "less base", "served", "late", "refused", "failed", "p50 ms", "p99 ms",
           "jam s", "recovery s", "imbalance", "breaches")  # fmt: skip


def table_rows(summaries: list[Summary], base: str = BADGERCART) -> list[tuple[str, ...]]:
    """Return a row of text for each summary, by `COLUMNS`."""
    rows = []
    for summary in summaries:
        difference, times = difference_from_base(summary, summaries, base), summary.response_times()
        compared = f"{difference} {verdict(difference)}" if difference else ""
        rows.append(
            (
                summary.label, str(summary.share), compared,
                *(f"{summary.outcome_share(name):.3f}" for name in OUTCOMES[:4]),
                f"{times.get_value_at_percentile(50) / US_PER_MS:.0f}",
                f"{times.get_value_at_percentile(99) / US_PER_MS:.0f}",
                f"{summary.mean('jam_s'):.1f}", f"{summary.mean('recovery_s'):.1f}",
                f"{summary.mean('imbalance'):.2f}", str(summary.breaches),
            )
        )  # fmt: skip
    return rows


def markdown_table(summaries: list[Summary], base: str = BADGERCART) -> str:
    """Return the summaries of an experiment as a Markdown table."""
    lines = ["| " + " | ".join(COLUMNS) + " |", "|" + " --- |" * len(COLUMNS)]
    return "\n".join(
        [*lines, *("| " + " | ".join(row) + " |" for row in table_rows(summaries, base))]
    )


def comparison_table(experiments: dict[str, Results], base: str = BADGERCART) -> str:
    """Return a Markdown table of the worth served in time, by experiment and policy.

    A value is bold where it is better than the base policy's; `!` and a number count breaches.
    """
    policies = list(
        dict.fromkeys(cell.policy for results in experiments.values() for cell, _ in results)
    )
    lines = ["| world | " + " | ".join(policies) + " |", "|" + " --- |" * (len(policies) + 1)]
    for name, results in experiments.items():
        summaries = summarize(results)
        cells = {}
        for summary in summaries:
            share, difference = summary.share, difference_from_base(summary, summaries, base)
            text = f"{share.mean:.3f} ±{(share.high - share.low) / 2:.3f}"
            if difference is not None and verdict(difference) == "better":
                text = f"**{text}**"
            cells[summary.policy] = text + (f" !{summary.breaches}" if summary.breaches else "")
        lines.append(
            f"| {name} | " + " | ".join(cells.get(policy, "") for policy in policies) + " |"
        )
    return "\n".join(lines)


# Figures.


def course_figure(summary: Summary, day: Day) -> Any:
    """Return a figure of the day of the first seed, by seconds.

    It shows requests and their outcomes, the shedding threshold and the overload, attempts in
    flight, and servers with a fault. The times of faults are shaded.
    """
    pyplot = pages.pyplot()
    course: dict[str, list[float]] = summary.days[0]["course"]
    seconds = list(range(len(course["cut"])))
    figure, axes = pyplot.subplots(3, 1, figsize=(11, 8), sharex=True, layout="constrained")
    for name in ("offered", "served", "timely", "refused", "failed"):
        axes[0].plot(seconds, course[name], label=name, linewidth=1.2)
    axes[0].set_ylabel("requests a second")
    axes[1].plot(seconds, [x / 100 for x in course["cut"]], label="cut / 100", linewidth=1.2)
    axes[1].plot(seconds, course["x"], label="overload x", linewidth=1.2)
    axes[1].set_ylabel("0 to 1")
    axes[2].plot(seconds, course["out"], label="attempts out", linewidth=1.2)
    axes[2].plot(seconds, course["troubled"], label="servers in trouble", linewidth=1.2)
    axes[2].set_ylabel("count")
    axes[2].set_xlabel("seconds")
    for axis in axes:
        axis.grid(alpha=0.3)
        for trouble in day.trouble:
            axis.axvspan(trouble.at_s, trouble.at_s + trouble.for_s, color="orange", alpha=0.12)
        axis.legend(loc="upper right", fontsize=8)
    figure.suptitle(f"{summary.label}, seed {summary.seeds[0]}", fontsize=11)
    return figure


def latency_figure(summaries: list[Summary]) -> Any:
    """Return a figure of response times by percentile, on a scale that spreads the tail."""
    pyplot = pages.pyplot()
    figure, axis = pyplot.subplots(figsize=(11, 5), layout="constrained")
    percentiles = [0, 25, 50, 75, 90, 95, 99, 99.5, 99.9, 99.99]
    for summary in summaries:
        times = summary.response_times()
        if times.get_total_count():
            values = [times.get_value_at_percentile(q) / US_PER_MS for q in percentiles]
            axis.plot(
                [1 / (1 - q / 100) for q in percentiles],
                values,
                label=summary.label,
                linewidth=1.2,
            )
    axis.set_xscale("log")
    axis.set_xticks([1 / (1 - q / 100) for q in percentiles], [f"{q:g}" for q in percentiles])
    axis.set_xlabel("percentile")
    axis.set_ylabel("ms")
    axis.grid(alpha=0.3)
    axis.legend(loc="upper left", fontsize=8)
    return figure


def heat_map(summaries: list[Summary]) -> Any | None:
    """Return a heat map of the worth served in time over the grid, or None without a grid.

    Columns are the values of the grid's first setting; rows are the policies with the values of
    the others.
    """
    keys = [key for key, _ in summaries[0].grid_values]
    if not keys:
        return None
    pyplot = pages.pyplot()
    columns = list(dict.fromkeys(summary.grid_values[0][1] for summary in summaries))
    rows = list(dict.fromkeys((summary.policy, summary.grid_values[1:]) for summary in summaries))
    shares = [[float("nan")] * len(columns) for _ in rows]
    for summary in summaries:
        shares[rows.index((summary.policy, summary.grid_values[1:]))][
            columns.index(summary.grid_values[0][1])
        ] = summary.share.mean
    figure, axis = pyplot.subplots(figsize=(11, 1.2 + 0.45 * len(rows)), layout="constrained")
    image = axis.imshow(shares, aspect="auto", cmap="viridis", vmin=0, vmax=1)
    axis.set_xticks(range(len(columns)), [str(c) for c in columns])
    names = [" ".join([policy, *(f"{k}={v}" for k, v in rest)]) for policy, rest in rows]
    axis.set_yticks(range(len(rows)), names)
    axis.set_xlabel(keys[0])
    for y, row_shares in enumerate(shares):
        for x, value in enumerate(row_shares):
            axis.text(x, y, f"{value:.2f}", ha="center", va="center", fontsize=8,
                      color="white" if value < 0.6 else "black")  # fmt: skip
    figure.colorbar(image, label="worth in time")
    return figure


def all_figures(results: Results, summaries: list[Summary]) -> dict[str, Any]:
    """Return the figures of an experiment by their names."""
    made: dict[str, Any] = {"latencies": latency_figure(summaries)}
    if (map_ := heat_map(summaries)) is not None:
        made["heat"] = map_
    for number, summary in enumerate(summaries[:MAX_COURSE_FIGURES]):
        day = next(
            cell.day
            for cell, _ in results
            if (cell.grid_values, cell.policy) == (summary.grid_values, summary.policy)
        )
        made[f"course-{number + 1}"] = course_figure(summary, day)
    return made


def write_page(
    results: Results, output: Path, base: str = BADGERCART, png: bool = True
) -> list[Path]:
    """Write the HTML page, and the figures as PNG files beside it.

    Args:
        results: the days of one experiment.
        output: path of the page.
        base: name of the policy that others are compared with.
        png: whether to write PNG files.

    Returns:
        The paths of all files.
    """
    summaries = summarize(results)
    made = all_figures(results, summaries)
    lines = table_rows(summaries, base)
    breaches = [
        f"<li>{html.escape(cell.name)}: rule {rule} at {at:.0f} ms: {html.escape(message)}</li>"
        for cell, result in results
        for rule, at, message in result["shown"][:MAX_LISTED_BREACHES]
    ]
    rules = (
        pages.heading("Broken rules") + f"<ul>{''.join(breaches)}</ul>"
        if breaches
        else "<p>No rule was broken.</p>"
    )
    text = pages.page(
        results[0][0].day.experiment.name,
        (
            f"<p>{len(results)} days; intervals of 95%; differences are paired by seed, "
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
