"""`badgercart zones`: what a node knows of each zone, the plan, and an operator's word about one.

Exit status: 0 done; 1 the node can't be asked, or did not take the word; 2 a wrong file.
"""

from __future__ import annotations

import getpass
import json
import time
from typing import TYPE_CHECKING, Any

import click

from badgercart.app.asking import page_of
from badgercart.app.console import show_table
from badgercart.app.exits import CommandError, Exit
from badgercart.cluster.commands import exchange, loaded

if TYPE_CHECKING:
    from badgercart.app.file import Installation

NODE = click.argument("node", metavar="HOST:PORT")
FILE = click.argument("file", metavar="FILE.toml")


def ask(node: str) -> dict[str, Any]:
    """What a node's HTTP front says of its zones. Raises CommandError."""
    return page_of(node, "/_zones")


@click.group()
def zones() -> None:
    """Look into the plan by which zones fail over; HOST:PORT is that of a node's HTTP front."""


@zones.command()
@NODE
@click.option("--json", "as_json", is_flag=True, help="One JSON object.")
def show(node: str, as_json: bool) -> None:
    """Each zone as the node knows it, and what it goes by."""
    told = ask(node)
    if as_json:
        click.echo(json.dumps(told))
        return
    click.echo(heading(told))
    columns = ("zone", "region", "seen", "gate", "open", "capacity", "demand", "slow", "order")
    show_table(columns, [tuple(str(zone[name]) for name in columns) for zone in told["zones"]])


def heading(told: dict[str, Any]) -> str:
    by = f"{told['name']} in {told['zone']}"
    if not told["plan"]:
        return f"{by}: no plan, near only, by its own eyes"
    lease = f", for {told['lease_ms'] / 1000:.1f} s more" if told["epoch"] else ""
    which = (
        f"plan {told['epoch']} of {told['proposer']}{lease}" if told["epoch"] else "its own plan"
    )
    return f"{by}: {which}{': ' + told['why'] if told['why'] else ''}"


@zones.command()
@NODE
def plan(node: str) -> None:
    """Where each zone's requests go, by class; the second half of the rows is for bound tenants."""
    told = ask(node)
    click.echo(heading(told))
    names = [zone["zone"] for zone in told["zones"]]
    rows = []
    for source, table in zip(names, told["parts"], strict=False):
        for number, parts in enumerate(table):
            shares = [f"{part / 240:.2f}" for part in parts]
            rows.append((source, str(number), *shares, f"{1 - sum(parts) / 240:.2f}"))
    show_table(("from", "row", *names, "refused"), rows)


@zones.command()
@NODE
def why(node: str) -> None:
    """What was in force at the node lately, and why."""
    for change in ask(node)["changes"]:
        click.echo(worded(change))


def worded(change: dict[str, Any]) -> str:
    at = f"{change['at_ms'] / 1000:10.3f} s"
    if "order" in change:
        return f"{at}  {change['order']}, by {change['by']}"
    if "epoch" in change:
        return f"{at}  plan {change['epoch']} of {change['proposer']}: {change['why'] or 'all is well'}"
    if "lapsed" in change:
        return f"{at}  no plan: {change['why']} (plan {change['lapsed']})"
    return f"{at}  our proposal {change['outdone']} came to nothing"


@zones.command("if")
@NODE
@click.argument("zone")
def if_(node: str, zone: str) -> None:
    """What would happen if ZONE went now, by what the node knows at this moment."""
    told = page_of(node, "/_zones/if")
    if zone not in told:
        raise CommandError(f"{node} knows no zone {zone}; known are {', '.join(told)}")
    what = told[zone]
    show_table(("zone", "full"), [(name, f"{full:.0%}") for name, full in what["full"].items()])
    click.echo(f"refused: {what['refused']:.1%}")


def order(what: str, file: str, zone: str, for_s: float, by: str) -> None:
    """Have the group know an operator's word; the file's node has it when this returns."""
    site = loaded(file, "zones")
    if zone not in site.config.zones:
        raise CommandError(f"{zone!r} is none of {', '.join(site.config.zones)}", Exit.USAGE)
    if not told(site, what, zone, for_s, by or getpass.getuser()):
        raise CommandError(f"{file}: the node did not take it: its posts are full")
    click.echo(f"{what} {zone}" + (f" for {for_s:g} s" if what != "release" else ""))


def told(site: Installation, what: str, zone: str, for_s: float, by: str) -> bool:
    """As one that has the group's secret: a post that the node passes on; whether it has it now."""
    import msgspec

    from badgercart.cluster.codec import Packet, Sync
    from badgercart.zones.failover_controller import ORDERS, OperatorOverride

    config = site.config
    geography = site.parts["zones"].geography(config.zones, config.classes, config.tenants)
    now = int(time.time() * 1000)
    word = OperatorOverride(config.zones[zone], what, now, now + int(for_s * 1000), by[:64])
    post = (
        ORDERS,
        f"operator {zone}"[:64],
        now,
        msgspec.msgpack.encode((geography.digest, [word])),
    )
    answer = exchange(site, Packet("operator", now, 0, 1, (now, 0), Sync(), (), (post,)))
    return post in answer.posts


def word(what: str, about: str) -> None:
    @zones.command(what, help=about)
    @FILE
    @click.argument("zone")
    @click.option(
        "--for",
        "for_s",
        default=600.0,
        show_default=True,
        type=click.FloatRange(1, 86_400),
        help="Seconds.",
    )
    @click.option("--by", default="", help="Who says so [the user's name].")
    def command(file: str, zone: str, for_s: float, by: str) -> None:
        order(what, file, zone, for_s, by)


word("drain", "Have nothing new sent to ZONE, by any node of the group of FILE.toml, for a time.")
word("pin", "Keep ZONE open, whatever is seen of it, for a time.")
word("release", "Take back what was said about ZONE.")
