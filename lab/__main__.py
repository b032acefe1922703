"""`python -m lab`: play days of the model, sweep grids, load sockets, compare, and report."""

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

FILE = click.argument("file", metavar="FILE.toml")
RESULTS = click.option("--results", type=click.Path(file_okay=False), help="Where finished days are kept "
                       "[FILE.results].")  # fmt: skip
WORKERS = click.option("--workers", type=click.IntRange(1, 1024), help="Processes [all cores].")
BASE = click.option(
    "--base", default=BADGERCART, show_default=True, help="The policy to compare with."
)


def loaded(path: str) -> Day:
    try:
        return load_day(path, NAMES)
    except SettingsFileError as error:
        click.echo(str(error), err=True)
        raise click.exceptions.Exit(ExitStatus.USAGE) from None


def bar() -> Progress:
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
    """The lab: questions about routing and limits, asked of a model of the fleet.

    Exit status: 0 done, 1 a rule was broken or a day failed, 2 a wrong command line or file.
    """


@cli.command()
def peers() -> None:
    """The policies that an experiment may name."""
    click.echo("\n".join(NAMES))


@cli.command()
@FILE
@click.option("--policy", default=BADGERCART, show_default=True, help="The policy that nodes run.")
@click.option("--seed", default=1, show_default=True, help="The day's seed.")
@click.option("--json", "as_json", is_flag=True, help="All figures as one JSON object.")
def run(file: str, policy: str, seed: int, as_json: bool) -> None:
    """Play one day, and say what came of it."""
    from lab.model import play

    day = loaded(file)
    if policy not in NAMES:
        raise CommandError(f"{policy!r} is none of {', '.join(NAMES)}", ExitStatus.USAGE)
    with bar() as shown:
        task = shown.add_task(day.experiment.name, total=100)
        result = play(
            Cell(day, policy, seed), lambda done: shown.update(task, completed=int(100 * done))
        )
    if as_json:
        click.echo(json.dumps(result))
    else:
        tell(day, result)
    if sum(result["breaches"].values()):
        raise click.exceptions.Exit(ExitStatus.FAILED)


def tell(day: Day, result: dict[str, Any]) -> None:
    """One day in words."""
    speed = result["requests"] / max(result["spent_s"], 1e-9)
    click.echo(
        f"{day.experiment.name}: {result['requests']} requests, worth in time {result['share']:.3f}; "
        f"{result['spent_s']:.1f} s of a core, {speed:.0f} requests a second"
    )
    table = []
    for name, cls in result["classes"].items():
        ends = cls["ends"]
        share = cls["got"] / cls["worth"] if cls["worth"] else 1.0
        parts = (
            f"{ends.get(end, 0)}" for end in ("served", "late", "refused", "failed", "left", "lost")
        )
        table.append((name, str(cls["offered"]), f"{share:.3f}", *parts))
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
        table,
    )
    click.echo(", ".join(f"{name} {ms:.0f} ms" for name, ms in result["quantiles"].items()))
    for rule, at, words in result["shown"]:
        click.echo(f"rule {rule} at {at:.0f} ms: {words}")


def results_of(file: str, results: str | None) -> Path:
    return Path(results or f"{file}.results")


def swept(file: str, results: str | None, workers: int | None) -> list[tuple[Cell, dict[str, Any]]]:
    """All days of an experiment, those that are missing played first."""
    from lab.sweep import SweepError, sweep

    day = loaded(file)
    wanted = list(grid_cells(day))
    with bar() as shown:
        task = shown.add_task(day.experiment.name, total=len(wanted))
        try:
            return list(
                sweep(
                    wanted, results_of(file, results), workers or 0,
                    lambda told: shown.update(task, completed=told.done, description=told.name),
                )
            )  # fmt: skip
        except SweepError as error:
            raise CommandError(str(error)) from None


@cli.command()
@FILE
@RESULTS
@WORKERS
@BASE
@click.option("--markdown", "as_markdown", is_flag=True, help="A table for a page.")
def sweep(
    file: str, results: str | None, workers: int | None, base: str, as_markdown: bool
) -> None:
    """Play every day of an experiment on all cores; what is done already is kept."""
    from lab.report import COLUMNS, markdown_table, summarize, table_rows

    summaries = summarize(swept(file, results, workers))
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
@WORKERS
@BASE
def table(files: tuple[str, ...], results: str, workers: int | None, base: str) -> None:
    """Many experiments in one Markdown table: a line each, a column a policy."""
    from lab.report import comparison_table

    experiments = {Path(file).stem: swept(file, results, workers) for file in files}
    click.echo(comparison_table(experiments, base))


@cli.command()
@FILE
@RESULTS
@click.argument("one")
@click.argument("other")
def compare(file: str, results: str | None, one: str, other: str) -> None:
    """Whether policy ONE is better than OTHER, by days of the same seeds."""
    from lab.report import difference_from_base, summarize
    from lab.stats import verdict

    summaries = summarize(swept(file, results, None))
    rows = []
    for summary in summaries:
        if (
            summary.policy == one
            and (difference := difference_from_base(summary, summaries, other)) is not None
        ):
            values = " ".join(f"{key}={value}" for key, value in summary.grid_values)
            rows.append((values or "-", str(summary.share), str(difference), verdict(difference)))
    if not rows:
        raise CommandError(f"{file} does not have both {one!r} and {other!r}", ExitStatus.USAGE)
    show_table(("setting", one, f"less {other}", "verdict"), rows)


@cli.command()
@FILE
@RESULTS
@BASE
@click.option(
    "-o", "--output", required=True, type=click.Path(dir_okay=False), help="The page to write."
)
@click.option(
    "--png/--no-png", default=True, show_default=True, help="The figures as files beside it."
)
def report(file: str, results: str | None, base: str, output: str, png: bool) -> None:
    """One HTML page, and PNG, of an experiment."""
    from lab.report import write_page

    for path in write_page(swept(file, results, None), Path(output), base, png):
        click.echo(str(path))


@cli.command()
@FILE
@click.argument("addresses", nargs=-1, metavar="[HOST:PORT]...")
@click.option(
    "--way",
    type=click.Choice(("http", "graphql", "processor")),
    default="http",
    show_default=True,
    help="What listens there; `processor`: through a proxy that asks it.",
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
    "--record", is_flag=True, help="Play it on stand-ins and nodes of our own, and in the model."
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
    """Send a day's requests at their times, whatever comes of them; times count from the
    schedule."""
    day = loaded(file)
    if record:
        recorded(day, seed, processes, as_json)
        return
    if not addresses:
        raise CommandError("an address to send to, or --record", ExitStatus.USAGE)
    from badgercart.config import parse_address
    from lab.load.driver import MAX_LAG_MS, drive, measured

    for address in addresses:
        try:
            parse_address(address)
        except ValueError as error:
            raise CommandError(str(error), ExitStatus.USAGE) from None
    told = drive(addresses, day, seed, way, processes, connections)
    result = measured(day, seed, told).plain()
    result |= {"requests": len(told.sent), "behind": told.behind, "worst_lag_ms": told.worst_lag}
    if as_json:
        click.echo(json.dumps(result))
    else:
        tell(day, result | {"spent_s": day.experiment.seconds, "shown": []})
    if told.behind:
        words = f"{told.behind} of {len(told.sent)} requests set out over {MAX_LAG_MS:.0f} ms late"
        click.echo(
            f"the schedule was not kept: {words}, the worst by {told.worst_lag:.0f} ms", err=True
        )
        raise click.exceptions.Exit(ExitStatus.FAILED)


def recorded(day: Day, seed: int, processes: int, as_json: bool) -> None:
    """Both sides of one day."""
    from lab.load.calibrate import CalibrationError, calibrate

    try:
        told = calibrate(day, seed, processes)
    except (CalibrationError, RuntimeError, OSError) as error:
        raise CommandError(str(error)) from None
    if as_json:
        click.echo(json.dumps({name: getattr(told, name) for name in told.__slots__}))
    else:
        show_table(
            ("day", "requests", "worth, sockets", "model", "apart", "p99, sockets", "model", "apart", "late"),
            [(told.name, str(told.requests), f"{told.sockets:.3f}", f"{told.model:.3f}", f"{told.worth:.3f}",
              f"{told.sockets_p99:.0f}", f"{told.model_p99:.0f}", f"{told.tail:.2f}", str(told.behind))],
        )  # fmt: skip


@cli.command("trial")
@FILE
@click.option(
    "--results", type=click.Path(file_okay=False), help="Where records are kept [FILE.results]."
)
@click.option("--model", "in_model", is_flag=True, help="In the model, in place of real processes.")
def trial_(file: str, results: str | None, in_model: bool) -> None:
    """Play a trial: real nodes, servers and clients, a switch between them; exit 1 if a rule
    broke."""
    import asyncio

    from lab.trial.run import run_trial
    from lab.trial.script import load

    try:
        wanted = load(file)
    except SettingsFileError as error:
        click.echo(str(error), err=True)
        raise click.exceptions.Exit(ExitStatus.USAGE) from None
    if in_model:
        from lab.model import play
        from lab.trial.inmodel import day_of

        day = day_of(wanted)
        result = play(Cell(day, BADGERCART, wanted.trial.seed))
        tell(day, result)
        if sum(result["breaches"].values()):
            raise click.exceptions.Exit(ExitStatus.FAILED)
        return
    told = asyncio.run(run_trial(wanted, results_of(file, results)))
    click.echo(
        f"{told['name']}: {told['requests']} requests, worth in time {told['worth']:.3f}, "
        f"p50 {told['p50_ms']:.0f} ms, p99 {told['p99_ms']:.0f} ms"
    )
    rows = [(node, f"{worth:.3f}", str(told["exits"].get(node, "killed")))
            for node, worth in told["worth_by_node"].items()]  # fmt: skip
    show_table(("node", "worth in time", "exit"), rows)
    click.echo(
        ", ".join(f"{count} {outcome}" for outcome, count in sorted(told["outcomes"].items()))
    )
    for words in told["broken"]:
        click.echo(words)
    if told["broken"]:
        raise click.exceptions.Exit(ExitStatus.FAILED)


@cli.command()
@click.argument("results", type=click.Path(exists=True, file_okay=False), metavar="RESULTS")
@click.option("--node", default="", help="Only what this node said.")
@click.option("--about", default="", help="Only what is about this node or server.")
def timeline(results: str, node: str, about: str) -> None:
    """All nodes' events of a trial in one order that respects cause."""
    from lab.trial.records import EVENTS, RecordsError, read
    from lab.trial.timeline import lines

    try:
        rows = read(Path(results), EVENTS)
    except RecordsError as error:
        raise CommandError(str(error), ExitStatus.USAGE) from None
    for line in lines(rows, node, about):
        click.echo(line)


def main(arguments: list[str] | None = None) -> int:
    """Run one command and give its exit status."""
    try:
        done = cli.main(arguments, prog_name="python -m lab", standalone_mode=False)
    except click.ClickException as error:
        error.show()
        return error.exit_code
    except click.exceptions.Abort:
        return ExitStatus.FAILED
    return done if isinstance(done, int) else ExitStatus.DONE


if __name__ == "__main__":
    sys.exit(main())
