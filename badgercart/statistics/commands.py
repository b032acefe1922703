"""`badgercart learned`: commands that show, check and convert a snapshot file."""

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
    """Return the snapshot of a file, or the current one of a folder. Raises CommandError."""
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
    """A table of servers: slowness, failures, and how much of it still counts."""  # noqa: D401
    import msgspec

    from badgercart.statistics.ageing import decay_towards, remaining_share

    snapshot = read(file)
    if as_json:
        click.echo(msgspec.json.encode(snapshot).decode())
        return
    age_ms = age * 1000 if age is not None else max(0.0, time.time() * 1000 - snapshot.saved_ms)
    click.echo(
        f"node {snapshot.node}, saved {age_ms / 1000:.0f} s ago, {len(snapshot.endpoints)} servers, "
        f"{len(snapshot.key_counts)} keys"
    )
    classes = [
        (
            name,
            f"{stored.typical_latency_ms:.0f}",
            f"{remaining_share('typical_latency_ms', age_ms):.2f}",
            f"{stored.offered:.0f}",
        )
        for name, stored in snapshot.classes.items()
    ]
    show_table(("class", "usual ms", "weight", "offered"), classes)
    rows = []
    for endpoint in sorted(snapshot.endpoints, key=lambda endpoint: -endpoint.relative_latency):
        weight = remaining_share("relative_latency", age_ms)
        slowness = decay_towards(1.0, endpoint.relative_latency, weight)
        failure_rate = max(endpoint.failure_rates, default=0.0)
        rows.append(
            (
                f"{endpoint.endpoint_id:x}",
                f"{endpoint.relative_latency:.2f}",
                f"{slowness:.2f}",
                f"{failure_rate:.2f}",
                f"{failure_rate * remaining_share('failure_rates', age_ms):.2f}",
                f"{weight:.2f}",
            )
        )
    show_table(("server", "slowness", "now", "failures", "now", "weight"), rows)


@learned.command()
@FILE
def check(file: str) -> None:
    """Whether a file can be used; exit 1 and what is wrong if not."""
    snapshot = read(file)
    click.echo(f"{file}: good, of node {snapshot.node}, {len(snapshot.endpoints)} servers")


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
    """A file as JSON, or JSON and files of older versions as a file."""  # noqa: D401
    import msgspec

    from badgercart.statistics.errors import SnapshotError
    from badgercart.statistics.snapshot import Snapshot, decode, encode

    data = Path(file).read_bytes() if Path(file).is_file() else b""
    try:
        is_json = data[:1] == b"{"
        snapshot = (
            decode(encode(msgspec.json.decode(data, type=Snapshot))) if is_json else read(file)
        )
    except (msgspec.MsgspecError, SnapshotError) as error:
        raise CommandError(f"{file}: {error}") from error
    content = (
        msgspec.json.format(msgspec.json.encode(snapshot), indent=1)
        if form == "json"
        else encode(snapshot)
    )
    Path(output).write_bytes(content)
    click.echo(f"{output}: written")
