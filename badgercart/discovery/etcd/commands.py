"""The command `badgercart members`: list and change the entries in etcd.

Exit status: 0 if done, and with --from-node if there is no difference; 1 if it could not be done, or
there is a difference; 2 on invalid input.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

import click

from badgercart.app.exits import CommandError, ExitStatus
from badgercart.config import parse_address
from badgercart.discovery.etcd.settings import EtcdSettings, EtcdTls

if TYPE_CHECKING:
    from badgercart.discovery.etcd.members import Members

CALL_TIMEOUT_MS = 5000.0

DRY_RUN = click.option("--dry-run", is_flag=True, help="Say what would be done, and do nothing.")
NAMES = click.argument("names", nargs=-1, required=True, metavar="INSTANCE...")


@dataclass(slots=True)
class EtcdAccess:
    """The settings for the connection to etcd."""

    settings: EtcdSettings

    def run(self, action: Callable[[Members], Awaitable[int]], dry_run: bool = False) -> None:
        """Execute one action and exit with its status."""
        # Imported here because gRPC is slow to load.
        from badgercart.discovery.etcd.members import Members

        try:
            status = asyncio.run(Members(self.settings, dry_run).run(action))
        except KeyboardInterrupt:
            status = ExitStatus.DONE
        raise click.exceptions.Exit(status)


@click.group()
@click.option("--etcd", required=True, metavar="HOST:PORT[,…]", help="Members of etcd.")
@click.option(
    "--prefix",
    default=EtcdSettings.model_fields["prefix"].default,
    show_default=True,
    help="What the entries' keys begin with.",
)
@click.option("--user", help="The user, with --password-file.")
@click.option("--password-file", metavar="FILE", help="The file that holds the user's password.")
@click.option("--ca", metavar="PEM", help="The authority of etcd's certificate, where it has TLS.")
@click.option("--cert", metavar="PEM", help="This client's certificate.")
@click.option("--key", metavar="PEM", help="And its key.")
@click.pass_context
def members(
    ctx: click.Context,
    etcd: str,
    prefix: str,
    user: str | None,
    password_file: str | None,
    ca: str | None,
    cert: str | None,
    key: str | None,
) -> None:
    """List and change the entries in etcd."""
    try:
        endpoints = tuple(parse_address(text) for text in etcd.split(","))
    except ValueError as error:
        raise CommandError(f"--etcd: {error}", ExitStatus.USAGE) from None
    ctx.obj = EtcdAccess(
        EtcdSettings(
            endpoints=endpoints,
            prefix=prefix,
            user=user,
            password_file=password_file,
            tls=EtcdTls(ca=ca, cert=cert, key=key) if ca else None,
            call_ms=CALL_TIMEOUT_MS,
        )
    )


@members.command("list")
@click.option("--json", "as_json", is_flag=True, help="One JSON object a line.")
@click.option(
    "--from-node",
    metavar="HOST:PORT",
    help="Compare with what the node behind this HTTP front believes; exit 1 where they differ.",
)
@click.pass_obj
def list_(access: EtcdAccess, as_json: bool, from_node: str | None) -> None:
    """All entries, in a table, with what is wrong with bad ones."""
    access.run(lambda etcd: etcd.list_entries(as_json, from_node))


@members.command()
@click.pass_obj
def watch(access: EtcdAccess) -> None:
    """Changes as they come, one a line, until interrupted."""
    access.run(lambda etcd: etcd.watch())


@members.command()
@click.argument("entry")
@click.option(
    "--ttl", type=click.IntRange(1), metavar="S", help="Bind it to a lease of so many seconds."
)
@DRY_RUN
@click.pass_obj
def put(access: EtcdAccess, entry: str, ttl: int | None, dry_run: bool) -> None:
    """Write ENTRY, the JSON of a list line; - reads it from standard input."""
    access.run(lambda etcd: etcd.put(entry, ttl), dry_run)


@members.command()
@NAMES
@click.option("--undo", is_flag=True, help="Make them active again.")
@DRY_RUN
@click.pass_obj
def drain(access: EtcdAccess, names: tuple[str, ...], undo: bool, dry_run: bool) -> None:
    """Have servers finish what they have and get nothing new."""
    access.run(lambda etcd: etcd.drain(names, undo), dry_run)


@members.command()
@NAMES
@DRY_RUN
@click.pass_obj
def remove(access: EtcdAccess, names: tuple[str, ...], dry_run: bool) -> None:
    """Delete entries; several at once are one revision."""
    access.run(lambda etcd: etcd.remove(names), dry_run)


@members.command()
@click.argument("how", type=click.Choice(("on", "off")))
@DRY_RUN
@click.pass_obj
def allow_shrink(access: EtcdAccess, how: str, dry_run: bool) -> None:
    """Let the list shrink below the guard's share."""
    access.run(lambda etcd: etcd.allow_shrink(how == "on"), dry_run)
