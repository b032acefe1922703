"""The command `badgercart processor`: the status of a running external processor."""

from __future__ import annotations

import json

import click

from badgercart.app.console import show_table
from badgercart.app.exits import CommandError

COLUMNS = (
    "standing",
    "answered",
    "unseen",
    "first",
    "fallback",
    "lost",
    "old",
    "drained",
    "refused",
)


@click.group()
def processor() -> None:
    """Ask a running external processor."""


@processor.command()
@click.argument("address", metavar="HOST:PORT")
@click.option("--json", "as_json", is_flag=True, help="As JSON, not as a table.")
@click.option("--ca", metavar="PEM", help="The authority of its certificate, where it has TLS.")
@click.option("--cert", metavar="PEM", help="This client's certificate.")
@click.option("--key", metavar="PEM", help="And its key.")
def proxies(address: str, as_json: bool, ca: str | None, cert: str | None, key: str | None) -> None:
    """The account of each calling proxy."""  # noqa: D401
    # Imported here, since it loads grpcio.
    from badgercart.frontends.processor.ask import StatusError, fetch_status

    try:
        status = fetch_status(address, ca, cert, key)
    except StatusError as error:
        raise CommandError(f"{address}: {error}") from None
    if as_json:
        click.echo(json.dumps(status))
        return
    rows = [
        (name, *(str(row[column]) for column in COLUMNS)) for name, row in status["proxies"].items()
    ]
    show_table(("proxy", *COLUMNS), rows)
    click.echo(f"{status['open']} calls open")
