"""`badgercart peers`: what a node knows of the others of its cluster, and why.

Exit status: 0 done; 1 the node can't be asked, or knows no such name.
"""

from __future__ import annotations

import asyncio
import json
import time
from typing import TYPE_CHECKING, Any

import click

from badgercart.app.asking import PATIENCE, fetch_page
from badgercart.app.console import show_table
from badgercart.app.exits import CommandError, ExitStatus
from badgercart.cluster.codec import MAX_SYNC_BYTES, PacketCodec
from badgercart.cluster.errors import PacketRejectedError
from badgercart.cluster.hybrid_logical_clock import HybridTimestamp
from badgercart.cluster.messages import Leave, Packet
from badgercart.cluster.settings import ClusterSettings
from badgercart.cluster.sync_streams import FRAME_LENGTH

if TYPE_CHECKING:
    from badgercart.app.file import Installation

NODE = click.argument("node", metavar="HOST:PORT")


def fetch_cluster_page(node: str) -> dict[str, Any]:
    """Return the page of a node's HTTP listener about its cluster. Raises CommandError."""
    return fetch_page(node, "/_peers")


def show(page: dict[str, Any]) -> None:
    """Print the members of a page."""
    yields = ", stands back for another process of its name" if page["stands_back"] else ""
    reach = f"{page['live']} of {page['may_live']} in reach"
    click.echo(f"{page['name']}: {reach}, {page['level']}{yields}")
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
        columns, [tuple(str(member[name]) for name in columns) for member in page["members"]]
    )


@click.group()
def peers() -> None:
    """Look into what a node knows of the others; HOST:PORT is that of its HTTP front."""


@peers.command("list")
@NODE
@click.option("--json", "as_json", is_flag=True, help="One JSON object.")
def list_(node: str, as_json: bool) -> None:
    """Who is there, who has failed, and how much of the group the node can vouch for."""
    page = fetch_cluster_page(node)
    if as_json:
        click.echo(json.dumps(page))
    else:
        show(page)


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
        for change in fetch_cluster_page(node)["changes"]:
            if hlc(change) > hlc({"hlc": last}):
                last = change["hlc"]
                click.echo(describe(change))


def hlc(change: dict[str, Any]) -> tuple[int, ...]:
    """Return the hybrid timestamp of a change, to compare it with others."""
    return tuple(int(part) for part in change["hlc"].split(".")) if change["hlc"] else (0, 0)


def describe(change: dict[str, Any]) -> str:
    """Return a change as a line for people."""
    accuser = f", first accused by {change['accuser']}" if change["accuser"] else ""
    state = f"{change['peer']} {change['status']} by the word of {change['word']}"
    return f"{change['hlc']}  {state}{accuser} (incarnation {change['incarnation']})"


@peers.command()
@click.argument("file", metavar="FILE.toml")
def leave(file: str) -> None:
    """Have the node of FILE.toml leave its group and go on alone, as before its own end.

    The others take over its parts at once. It joins again with its next start.
    """
    site = loaded(file, "peers")
    name, group = site.config.name, site.component_settings["peers"].group
    answer = exchange(site, Packet(name, 0, 0, 1, HybridTimestamp(0, 0), Leave()))
    click.echo(f"{name} has left {group}; it knew {len(answer.records) - 1} others")


def loaded(file: str, part: str) -> Installation:
    """Return what a file says that has a component's table. Raises CommandError."""
    from badgercart.app.faults import SettingsFileError
    from badgercart.app.file import load_installation

    try:
        what = load_installation(file)
    except SettingsFileError as error:
        raise CommandError(str(error), ExitStatus.USAGE) from error
    if part not in what.component_settings:
        words = f"{file}: has no [{part}]"
        raise CommandError(words, ExitStatus.USAGE)
    return what


def exchange(site: Installation, packet: Packet) -> Packet:
    """Send a packet to a file's node by the cluster's secret, and return its answer.

    Raises CommandError where there is none.
    """
    settings: ClusterSettings = site.component_settings["peers"]
    try:
        return asyncio.run(ask_member(settings, packet))
    except (OSError, TimeoutError, asyncio.IncompleteReadError, PacketRejectedError) as error:
        words = f"the node {site.config.name} does not answer: {error or type(error).__name__}"
        raise CommandError(words) from error


async def ask_member(settings: ClusterSettings, packet: Packet) -> Packet:
    """Send a packet to a node and return its answer.

    Raises OSError, TimeoutError, asyncio.IncompleteReadError and PacketRejectedError.
    """
    codec = PacketCodec(settings.group, settings.secret.encode())
    data = codec.encode(packet)
    async with asyncio.timeout(PATIENCE):
        reader, writer = await asyncio.open_connection(
            *settings.listen, local_addr=(settings.listen[0], 0)
        )
        try:
            writer.write(FRAME_LENGTH.pack(len(data)) + data)
            (length,) = FRAME_LENGTH.unpack(await reader.readexactly(FRAME_LENGTH.size))
            return codec.decode(
                await reader.readexactly(min(length, MAX_SYNC_BYTES)), MAX_SYNC_BYTES
            )
        finally:
            writer.close()


@peers.command()
@NODE
@click.argument("name")
def why(node: str, name: str) -> None:
    """Why the node believes of NAME what it does: every change it remembers, and by whose word."""
    page = fetch_cluster_page(node)
    member = next((m for m in page["members"] if m["name"] == name), None)
    if member is None:
        known = ", ".join(m["name"] for m in page["members"])
        words = f"{node} knows no {name}; known are {known}"
        raise CommandError(words)
    since = f"{member['status']} for {member['since_s']} s"
    click.echo(f"{name}: {since}, by the word of {member['word']}")
    for change in page["changes"]:
        if change["peer"] == name:
            click.echo(describe(change))
