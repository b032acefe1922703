"""`badgercart learned`: what a file of what was learned holds, and whether it can be used."""

from __future__ import annotations

import time
from pathlib import Path
from typing import TYPE_CHECKING

import click

from badgercart.app.console import show_table
from badgercart.app.exits import CommandError

if TYPE_CHECKING:
    from badgercart.statistics.snapshot import Snapshot

FILE = click.argument("file", type=click.Path(exists=True), metavar="FILE|FOLDER")


def read(path: str) -> Snapshot:
    """Return the snapshot of a file, or the newest of a folder. Raises CommandError."""
    from badgercart.statistics.errors import SnapshotError
    from badgercart.statistics.snapshot import MAX_BYTES, decode
    from badgercart.statistics.store import CURRENT_NAME

    file = Path(path) / CURRENT_NAME if Path(path).is_dir() else Path(path)
    try:
        with file.open("rb") as opened:
            return decode(opened.read(MAX_BYTES + 1))
    except (SnapshotError, OSError) as error:
        raise CommandError(f"{file}: {error}") from error


@click.group()
def learned() -> None:
    """Look into what a node learned and kept."""


@learned.command()
@FILE
@click.option(
    "--age",
    type=click.FloatRange(0, 1e9),
    help="As it would be used so many seconds after it was " "saved [now].",
)
@click.option("--json", "as_json", is_flag=True, help="One JSON object, as it was saved.")
def show(file: str, age: float | None, as_json: bool) -> None:
    """A table of servers: slowness, failures, and how much of it still counts."""
    import msgspec

    from badgercart.statistics.ageing import decay_towards, remaining_share

    kept = read(file)
    if as_json:
        click.echo(msgspec.json.encode(kept).decode())
        return
    old = age * 1000 if age is not None else max(0.0, time.time() * 1000 - kept.saved_ms)
    click.echo(
        f"node {kept.node}, saved {old / 1000:.0f} s ago, {len(kept.endpoints)} servers, "
        f"{len(kept.key_counts)} keys"
    )
    classes = [
        (
            name,
            f"{part.typical_latency_ms:.0f}",
            f"{remaining_share('typical_latency_ms', old):.2f}",
            f"{part.offered:.0f}",
        )
        for name, part in kept.classes.items()
    ]
    show_table(("class", "usual ms", "weight", "offered"), classes)
    rows = []
    for part in sorted(kept.endpoints, key=lambda part: -part.relative_latency):
        slow = decay_towards(1.0, part.relative_latency, remaining_share("relative_latency", old))
        fails = max(part.failure_rates, default=0.0)
        rows.append(
            (
                f"{part.endpoint_id:x}",
                f"{part.relative_latency:.2f}",
                f"{slow:.2f}",
                f"{fails:.2f}",
                f"{fails * remaining_share('failure_rates', old):.2f}",
                f"{remaining_share('relative_latency', old):.2f}",
            )
        )
    show_table(("server", "slowness", "now", "failures", "now", "weight"), rows)


@learned.command()
@FILE
def check(file: str) -> None:
    """Whether a file can be used; exit 1 and what is wrong if not."""
    kept = read(file)
    click.echo(f"{file}: good, of node {kept.node}, {len(kept.endpoints)} servers")


@learned.command()
@FILE
@click.option(
    "-o", "--output", required=True, type=click.Path(dir_okay=False), help="Where it goes."
)
@click.option(
    "--to",
    "form",
    type=click.Choice(("json", "file")),
    default="json",
    show_default=True,
    help="JSON to read or change, or a file of the current version.",
)
def convert(file: str, output: str, form: str) -> None:
    """A file as JSON, or JSON and files of older versions as a file."""
    import msgspec

    from badgercart.statistics.errors import SnapshotError
    from badgercart.statistics.snapshot import Snapshot, decode, encode

    data = Path(file).read_bytes() if Path(file).is_file() else b""
    try:
        told = data[:1] == b"{"
        kept = decode(encode(msgspec.json.decode(data, type=Snapshot))) if told else read(file)
    except (msgspec.MsgspecError, SnapshotError) as error:
        raise CommandError(f"{file}: {error}") from error
    text = (
        msgspec.json.format(msgspec.json.encode(kept), indent=1) if form == "json" else encode(kept)
    )
    Path(output).write_bytes(text)
    click.echo(f"{output}: written")
