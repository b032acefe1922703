"""`badgercart peers`: what a node believes of the others, and why.

Exit status: 0 done; 1 the node can't be asked, or knows no such name.
"""

from __future__ import annotations

import asyncio
import json
import time
from typing import TYPE_CHECKING, Any

import click

from badgercart.app.asking import PATIENCE, page_of
from badgercart.app.console import show_table
from badgercart.app.exits import CommandError, Exit
from badgercart.cluster.codec import MAX_SYNC, Codec, Leave, Packet, Refused
from badgercart.cluster.driver import LENGTH
from badgercart.cluster.settings import PeersSettings

if TYPE_CHECKING:
    from badgercart.app.file import Installation

NODE = click.argument("node", metavar="HOST:PORT")


def ask(node: str) -> dict[str, Any]:
    """What a node's HTTP front says of its peers. Raises CommandError."""
    return page_of(node, "/_peers")


def show(told: dict[str, Any]) -> None:
    back = ", stands back for another process of its name" if told["stands_back"] else ""
    click.echo(
        f"{told['name']}: {told['live']} of {told['may_live']} in reach, {told['level']}{back}"
    )
    columns = (
        "name",
        "status",
        "zone",
        "region",
        "address",
        "incarnation",
        "since_s",
        "word",
        "accuser",
    )
    show_table(
        columns, [tuple(str(member[name]) for name in columns) for member in told["members"]]
    )


@click.group()
def peers() -> None:
    """Look into what a node knows of the others; HOST:PORT is that of its HTTP front."""


@peers.command("list")
@NODE
@click.option("--json", "as_json", is_flag=True, help="One JSON object.")
def list_(node: str, as_json: bool) -> None:
    """Who is there, who has failed, and how much of the group the node can vouch for."""
    told = ask(node)
    if as_json:
        click.echo(json.dumps(told))
    else:
        show(told)


@peers.command()
@NODE
@click.option(
    "--every", default=1.0, show_default=True, type=click.FloatRange(0.1, 3600), help="Seconds."
)
@click.option(
    "--times", default=0, type=click.IntRange(0), help="Looks to take [until interrupted]."
)
def watch(node: str, every: float, times: int) -> None:
    """Each change of what the node believes, as it comes."""
    last, looks = "", 0
    while not times or looks < times:
        if looks:
            time.sleep(every)
        looks += 1
        for change in ask(node)["changes"]:
            if hlc(change) > hlc({"hlc": last}):
                last = change["hlc"]
                click.echo(worded(change))


def hlc(change: dict[str, Any]) -> tuple[int, ...]:
    return tuple(int(part) for part in change["hlc"].split(".")) if change["hlc"] else (0, 0)


def worded(change: dict[str, Any]) -> str:
    blamed = f", first accused by {change['accuser']}" if change["accuser"] else ""
    return (
        f"{change['hlc']}  {change['peer']} {change['status']} by the word of {change['word']}{blamed} "
        f"(incarnation {change['incarnation']})"
    )


@peers.command()
@click.argument("file", metavar="FILE.toml")
def leave(file: str) -> None:
    """Have the node of FILE.toml leave its group and go on alone, as before its own end.

    The others take over its parts at once. It joins again with its next start."""
    site = loaded(file, "peers")
    name, group = site.config.name, site.parts["peers"].group
    told = exchange(site, Packet(name, 0, 0, 1, (0, 0), Leave()))
    click.echo(f"{name} has left {group}; it knew {len(told.claims) - 1} others")


def loaded(file: str, part: str) -> Installation:
    """What a file says that has such a part. Raises CommandError."""
    from badgercart.app.faults import FileError
    from badgercart.app.file import load

    try:
        what = load(file)
    except FileError as error:
        raise CommandError(str(error), Exit.USAGE) from None
    if part not in what.parts:
        raise CommandError(f"{file}: has no [{part}]", Exit.USAGE)
    return what


def exchange(site: Installation, packet: Packet) -> Packet:
    """Tell a file's node something, as one that has the group's secret, and give what it answers.

    Raises CommandError where it does not."""
    settings: PeersSettings = site.parts["peers"]
    try:
        return asyncio.run(ask_member(settings, packet))
    except (OSError, TimeoutError, asyncio.IncompleteReadError, Refused) as error:
        words = f"the node {site.config.name} does not answer: {error or type(error).__name__}"
        raise CommandError(words) from None


async def ask_member(settings: PeersSettings, packet: Packet) -> Packet:
    """Raises OSError, TimeoutError and Refused."""
    codec = Codec(settings.group, settings.secret.encode())
    data = codec.encode(packet)
    async with asyncio.timeout(PATIENCE):
        reader, writer = await asyncio.open_connection(
            *settings.listen, local_addr=(settings.listen[0], 0)
        )
        try:
            writer.write(LENGTH.pack(len(data)) + data)
            (length,) = LENGTH.unpack(await reader.readexactly(LENGTH.size))
            return codec.decode(await reader.readexactly(min(length, MAX_SYNC)), MAX_SYNC)
        finally:
            writer.close()


@peers.command()
@NODE
@click.argument("name")
def why(node: str, name: str) -> None:
    """Why the node believes of NAME what it does: every change it remembers, and by whose word."""
    told = ask(node)
    member = next((m for m in told["members"] if m["name"] == name), None)
    if member is None:
        raise CommandError(
            f"{node} knows no {name}; known are {', '.join(m['name'] for m in told['members'])}"
        )
    click.echo(
        f"{name}: {member['status']} for {member['since_s']} s, by the word of {member['word']}"
    )
    for change in told["changes"]:
        if change["peer"] == name:
            click.echo(worded(change))
