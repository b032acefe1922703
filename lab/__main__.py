"""The command line `python -m lab`: simulation, sweeps, load on sockets, reports and trials."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any

import click
from rich.console import Console
from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeRemainingColumn

from badgercart.app.console import show_table
from badgercart.app.exits import CommandError, ExitStatus
from badgercart.app.faults import SettingsFileError
from lab.peers import BADGERCART, NAMES
from lab.settings import Cell, Day, grid_cells, load_day

FILE_ARGUMENT = click.argument("file", metavar="FILE.toml")
RESULTS_OPTION = click.option(
    "--results",
    type=click.Path(file_okay=False),
    help="Where finished days are kept [FILE.results].",
)
WORKERS_OPTION = click.option(
    "--workers", type=click.IntRange(1, 1024), help="Processes [all cores]."
)
BASE_OPTION = click.option(
    "--base", default=BADGERCART, show_default=True, help="The policy to compare with."
)


def load_file(path: str) -> Day:
    """Return the day of an experiment file; an invalid file ends the command."""
    try:
        return load_day(path, NAMES)
    except SettingsFileError as error:
        click.echo(str(error), err=True)
        raise click.exceptions.Exit(ExitStatus.USAGE) from None


def progress_bar() -> Progress:
    """Return a progress bar on stderr, which is hidden if that is no terminal."""
    console = Console(stderr=True)
    columns = (
        TextColumn("{task.description}"),
        BarColumn(),
        MofNCompleteColumn(),
        TimeRemainingColumn(),
    )
    return Progress(*columns, console=console, disable=not console.is_terminal, transient=True)


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def cli() -> None:
    """Run experiments on routing and limits with a simulated fleet.

    Exit status: 0 done, 1 a rule was broken or a day failed, 2 a wrong command line or file.
    """


@cli.command()
def peers() -> None:
    """List the policies that an experiment may name."""
    click.echo("\n".join(NAMES))


@cli.command()
@FILE_ARGUMENT
@click.option("--policy", default=BADGERCART, show_default=True, help="The policy that nodes run.")
@click.option("--seed", default=1, show_default=True, help="The day's seed.")
@click.option("--json", "as_json", is_flag=True, help="All figures as one JSON object.")
def run(file: str, policy: str, seed: int, as_json: bool) -> None:
    """Play one day and print its result."""
    from lab.model import simulate

    day = load_file(file)
    if policy not in NAMES:
        raise CommandError(f"{policy!r} is none of {', '.join(NAMES)}", ExitStatus.USAGE)
    with progress_bar() as progress:
        task = progress.add_task(day.experiment.name, total=100)
        result = simulate(
            Cell(day, policy, seed), lambda done: progress.update(task, completed=int(100 * done))
        )
    if as_json:
        click.echo(json.dumps(result))
    else:
        print_result(day, result)
    if sum(result["breaches"].values()):
        raise click.exceptions.Exit(ExitStatus.FAILED)


def print_result(day: Day, result: dict[str, Any]) -> None:
    """Print the result of one day as text."""
    speed = result["requests"] / max(result["spent_s"], 1e-9)
    click.echo(
        f"{day.experiment.name}: {result['requests']} requests, worth in time {result['share']:.3f}; "
        f"{result['spent_s']:.1f} s of a core, {speed:.0f} requests a second"
    )
    rows = []
    for name, cls in result["classes"].items():
        ends = cls["ends"]
        share = cls["got"] / cls["worth"] if cls["worth"] else 1.0
        counts = (
            f"{ends.get(end, 0)}" for end in ("served", "late", "refused", "failed", "left", "lost")
        )
        rows.append((name, str(cls["offered"]), f"{share:.3f}", *counts))
    show_table(
        (
            "class",
            "offered",
            "worth in time",
            "served",
            "late",
            "refused",
            "failed",
            "left",
            "lost",
        ),
        rows,
    )
    click.echo(", ".join(f"{name} {ms:.0f} ms" for name, ms in result["quantiles"].items()))
    for rule, at, message in result["shown"]:
        click.echo(f"rule {rule} at {at:.0f} ms: {message}")


def results_folder(file: str, results: str | None) -> Path:
    """Return the folder of the results of a file."""
    return Path(results or f"{file}.results")


def sweep_file(
    file: str, results: str | None, workers: int | None
) -> list[tuple[Cell, dict[str, Any]]]:
    """Return all days of an experiment; those without a result are played first."""
    from lab.sweep import SweepError, sweep

    day = load_file(file)
    cells = list(grid_cells(day))
    with progress_bar() as progress:
        task = progress.add_task(day.experiment.name, total=len(cells))
        try:
            return list(
                sweep(
                    cells, results_folder(file, results), workers or 0,
                    lambda state: progress.update(task, completed=state.done, description=state.name),
                )
            )  # fmt: skip
        except SweepError as error:
            raise CommandError(str(error)) from None


@cli.command()
@FILE_ARGUMENT
@RESULTS_OPTION
@WORKERS_OPTION
@BASE_OPTION
@click.option("--markdown", "as_markdown", is_flag=True, help="A table for a page.")
def sweep(
    file: str, results: str | None, workers: int | None, base: str, as_markdown: bool
) -> None:
    """Play every day of an experiment on all cores; finished days are not played again."""
    from lab.report import COLUMNS, markdown_table, summarize, table_rows

    summaries = summarize(sweep_file(file, results, workers))
    if as_markdown:
        click.echo(markdown_table(summaries, base))
    else:
        show_table(COLUMNS, table_rows(summaries, base))
    if any(summary.breaches for summary in summaries):
        raise click.exceptions.Exit(ExitStatus.FAILED)


@cli.command()
@click.argument("files", nargs=-1, required=True, metavar="FILE.toml...")
@click.option(
    "--results",
    type=click.Path(file_okay=False),
    default="lab.results",
    show_default=True,
    help="Where finished days are kept.",
)
@WORKERS_OPTION
@BASE_OPTION
def table(files: tuple[str, ...], results: str, workers: int | None, base: str) -> None:
    """Print a Markdown table of several experiments: a line for each, a column for each policy."""
    from lab.report import comparison_table

    experiments = {Path(file).stem: sweep_file(file, results, workers) for file in files}
    click.echo(comparison_table(experiments, base))


@cli.command()
@FILE_ARGUMENT
@RESULTS_OPTION
@click.argument("one")
@click.argument("other")
def compare(file: str, results: str | None, one: str, other: str) -> None:
    """Compare policy ONE with OTHER, by days of the same seeds."""
    from lab.report import difference_from_base, summarize
    from lab.stats import verdict

    summaries = summarize(sweep_file(file, results, None))
    rows = []
    for summary in summaries:
        if (
            summary.policy == one
            and (difference := difference_from_base(summary, summaries, other)) is not None
        ):
            values = " ".join(f"{key}={value}" for key, value in summary.grid_values)
            rows.append((values or "-", str(summary.share), str(difference), verdict(difference)))
    if not rows:
        raise CommandError(
            f"{file} does not have days of both {one!r} and {other!r}", ExitStatus.USAGE
        )
    show_table(("setting", one, f"less {other}", "verdict"), rows)


@cli.command()
@FILE_ARGUMENT
@RESULTS_OPTION
@BASE_OPTION
@click.option(
    "-o", "--output", required=True, type=click.Path(dir_okay=False), help="The page to write."
)
@click.option(
    "--png/--no-png", default=True, show_default=True, help="The figures as files beside it."
)
def report(file: str, results: str | None, base: str, output: str, png: bool) -> None:
    """Write an HTML page and PNG files about an experiment."""
    from lab.report import write_page

    for path in write_page(sweep_file(file, results, None), Path(output), base, png):
        click.echo(str(path))


@cli.command()
@FILE_ARGUMENT
@click.argument("addresses", nargs=-1, metavar="[HOST:PORT]...")
@click.option(
    "--way",
    type=click.Choice(("http", "graphql", "processor")),
    default="http",
    show_default=True,
    help="What listens there; `processor`: a proxy that asks the node.",
)
@click.option("--seed", default=1, show_default=True, help="The day's seed.")
@click.option(
    "--processes", default=2, show_default=True, type=click.IntRange(1, 64), help="Senders."
)
@click.option(
    "--connections",
    default=1000,
    show_default=True,
    type=click.IntRange(1, 60_000),
    help="Connections of all senders.",
)
@click.option(
    "--record",
    is_flag=True,
    help="Play the day on stand-in servers and own node processes, and in the model.",
)
@click.option("--json", "as_json", is_flag=True, help="One JSON object.")
def load(
    file: str,
    addresses: tuple[str, ...],
    way: str,
    seed: int,
    processes: int,
    connections: int,
    record: bool,
    as_json: bool,
) -> None:
    """Send the requests of a day to sockets, open loop: response times count from the schedule."""
    day = load_file(file)
    if record:
        compare_with_sockets(day, seed, processes, as_json)
        return
    if not addresses:
        raise CommandError("requires an address to send requests to, or --record", ExitStatus.USAGE)
    from badgercart.config import parse_address
    from lab.load.driver import MAX_LAG_MS, drive, measured

    for address in addresses:
        try:
            parse_address(address)
        except ValueError as error:
            raise CommandError(str(error), ExitStatus.USAGE) from None
    load_results = drive(addresses, day, seed, way, processes, connections)
    result = measured(day, seed, load_results).to_dict()
    result |= {
        "requests": len(load_results.sent),
        "behind": load_results.behind,
        "worst_lag_ms": load_results.worst_lag,
    }
    if as_json:
        click.echo(json.dumps(result))
    else:
        print_result(day, result | {"spent_s": day.experiment.seconds, "shown": []})
    if load_results.behind:
        late = f"{load_results.behind} of {len(load_results.sent)} requests were sent over {MAX_LAG_MS:.0f} ms late"
        click.echo(
            f"the schedule was not kept: {late}, the worst by {load_results.worst_lag:.0f} ms",
            err=True,
        )
        raise click.exceptions.Exit(ExitStatus.FAILED)


def compare_with_sockets(day: Day, seed: int, processes: int, as_json: bool) -> None:
    """Play a day on sockets and in the model, and print how far the results differ."""
    from lab.load.calibrate import CalibrationError, calibrate

    try:
        result = calibrate(day, seed, processes)
    except (CalibrationError, RuntimeError, OSError) as error:
        raise CommandError(str(error)) from None
    if as_json:
        click.echo(json.dumps({name: getattr(result, name) for name in result.__slots__}))
    else:
        show_table(
            ("day", "requests", "worth, sockets", "model", "apart", "p99, sockets", "model", "apart", "late"),
            [(result.name, str(result.requests), f"{result.sockets:.3f}", f"{result.model:.3f}", f"{result.worth:.3f}",
              f"{result.sockets_p99:.0f}", f"{result.model_p99:.0f}", f"{result.tail:.2f}", str(result.behind))],
        )  # fmt: skip


@cli.command("trial")
@FILE_ARGUMENT
@click.option(
    "--results", type=click.Path(file_okay=False), help="Where records are kept [FILE.results]."
)
@click.option("--model", "in_model", is_flag=True, help="In the model, in place of real processes.")
def trial_command(file: str, results: str | None, in_model: bool) -> None:
    """Play a trial with real nodes, servers and clients; exit 1 if a rule was broken."""
    import asyncio

    from lab.trial.run import run_trial
    from lab.trial.script import load

    try:
        trial_file = load(file)
    except SettingsFileError as error:
        click.echo(str(error), err=True)
        raise click.exceptions.Exit(ExitStatus.USAGE) from None
    if in_model:
        from lab.model import simulate
        from lab.trial.inmodel import day_of

        day = day_of(trial_file)
        result = simulate(Cell(day, BADGERCART, trial_file.trial.seed))
        print_result(day, result)
        if sum(result["breaches"].values()):
            raise click.exceptions.Exit(ExitStatus.FAILED)
        return
    summary = asyncio.run(run_trial(trial_file, results_folder(file, results)))
    click.echo(
        f"{summary['name']}: {summary['requests']} requests, worth in time {summary['worth']:.3f}, "
        f"p50 {summary['p50_ms']:.0f} ms, p99 {summary['p99_ms']:.0f} ms"
    )
    rows = [(node, f"{worth:.3f}", str(summary["exits"].get(node, "killed")))
            for node, worth in summary["worth_by_node"].items()]  # fmt: skip
    show_table(("node", "worth in time", "exit"), rows)
    click.echo(
        ", ".join(f"{count} {outcome}" for outcome, count in sorted(summary["outcomes"].items()))
    )
    for message in summary["broken"]:
        click.echo(message)
    if summary["broken"]:
        raise click.exceptions.Exit(ExitStatus.FAILED)


@cli.command("soak")
@click.argument("first", type=int)
@click.argument("last", type=int)
def soak_command(first: int, last: int) -> None:
    """Play the soaks of the seeds FIRST to LAST with a real node; exit 1 if a rule was broken."""
    import uvloop

    from lab.trial.soak import play_soak

    broken = 0
    for seed in range(first, last + 1):
        result = uvloop.run(play_soak(seed))
        outcomes = ", ".join(f"{count} {name}" for name, count in sorted(result.outcomes.items()))
        click.echo(f"seed {seed}: {outcomes}; peak {result.peak_mb:.0f} MB")
        for violation in result.violations:
            click.echo(f"    {violation}")
        broken += bool(result.violations)
    if broken:
        raise click.exceptions.Exit(ExitStatus.FAILED)


@cli.command()
@click.argument("results", type=click.Path(exists=True, file_okay=False), metavar="RESULTS")
@click.option("--node", default="", help="Only events that this node logged.")
@click.option("--about", default="", help="Only events about this node or server.")
def timeline(results: str, node: str, about: str) -> None:
    """Print the events of all nodes of a trial in one causal order."""
    from lab.trial.records import EVENTS, RecordsError, read
    from lab.trial.timeline import lines

    try:
        rows = read(Path(results), EVENTS)
    except RecordsError as error:
        raise CommandError(str(error), ExitStatus.USAGE) from None
    for line in lines(rows, node, about):
        click.echo(line)


def main(arguments: list[str] | None = None) -> int:
    """Run one command and return its exit status."""
    try:
        status = cli.main(arguments, prog_name="python -m lab", standalone_mode=False)
    except click.ClickException as error:
        error.show()
        return error.exit_code
    except click.exceptions.Abort:
        return ExitStatus.FAILED
    return status if isinstance(status, int) else ExitStatus.DONE


if __name__ == "__main__":
    sys.exit(main())
