"""The command `badgercart peers`: what a node knows about the members of its cluster, and why.

The docstrings of the click commands are their help texts. Exit status: 0 for success; 1 if the node
does not respond or does not know the name.
"""

from __future__ import annotations

import asyncio
import json
import time
from typing import TYPE_CHECKING, Any

import click

from badgercart.app.console import show_table
from badgercart.app.exits import CommandError, ExitStatus
from badgercart.app.node_client import REQUEST_TIMEOUT_S, fetch_page
from badgercart.cluster.codec import MAX_SYNC_BYTES, PacketCodec
from badgercart.cluster.errors import PacketRejectedError
from badgercart.cluster.hybrid_logical_clock import HybridTimestamp
from badgercart.cluster.messages import Leave, Packet
from badgercart.cluster.settings import ClusterSettings
from badgercart.cluster.sync_streams import FRAME_LENGTH

if TYPE_CHECKING:
    from badgercart.app.file import Installation

NODE_ARGUMENT = click.argument("node", metavar="HOST:PORT")


def fetch_cluster_page(node: str) -> dict[str, Any]:
    """Return the page `/_peers` of a node's HTTP frontend. Raises CommandError."""
    return fetch_page(node, "/_peers")


def print_members(page: dict[str, Any]) -> None:
    """Print the members that a page lists."""
    yields_note = ", stands back for another process of its name" if page["stands_back"] else ""
    reach = f"{page['live']} of {page['may_live']} in reach"
    click.echo(f"{page['name']}: {reach}, {page['level']}{yields_note}")
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
@NODE_ARGUMENT
@click.option("--json", "as_json", is_flag=True, help="One JSON object.")
def list_(node: str, as_json: bool) -> None:
    """Who is there, who has failed, and how much of the group the node can vouch for."""
    page = fetch_cluster_page(node)
    if as_json:
        click.echo(json.dumps(page))
    else:
        print_members(page)


@peers.command()
@NODE_ARGUMENT
@click.option(
    "--every", default=1.0, show_default=True, type=click.FloatRange(0.1, 3600), help="Seconds."
)
@click.option(
    "--times", default=0, type=click.IntRange(0), help="Looks to take [until interrupted]."
)
def watch(node: str, every: float, times: int) -> None:
    """Each change of what the node believes, as it comes."""
    last, polls = "", 0
    while not times or polls < times:
        if polls:
            time.sleep(every)
        polls += 1
        for change in fetch_cluster_page(node)["changes"]:
            if hybrid_timestamp(change) > hybrid_timestamp({"hlc": last}):
                last = change["hlc"]
                click.echo(describe_change(change))


def hybrid_timestamp(change: dict[str, Any]) -> tuple[int, ...]:
    """Return the hybrid timestamp of a change, for comparison with others."""
    return tuple(int(part) for part in change["hlc"].split(".")) if change["hlc"] else (0, 0)


def describe_change(change: dict[str, Any]) -> str:
    """Return a change as one line of text."""
    accuser = f", first accused by {change['accuser']}" if change["accuser"] else ""
    state = f"{change['peer']} {change['status']} by the word of {change['word']}"
    return f"{change['hlc']}  {state}{accuser} (incarnation {change['incarnation']})"


@peers.command()
@click.argument("file", metavar="FILE.toml")
def leave(file: str) -> None:
    """Have the node of FILE.toml leave its group and go on alone, as before its own end.

    The others take over its parts at once. It joins again with its next start.
    """
    installation = load_with_component(file, "peers")
    name, group = installation.config.name, installation.component_settings["peers"].group
    answer = exchange_packet(installation, Packet(name, 0, 0, 1, HybridTimestamp(0, 0), Leave()))
    click.echo(f"{name} has left {group}; it knew {len(answer.records) - 1} others")


def load_with_component(file: str, component: str) -> Installation:
    """Load a settings file that must configure a component. Raises CommandError."""
    from badgercart.app.faults import SettingsFileError
    from badgercart.app.file import load_installation

    try:
        installation = load_installation(file)
    except SettingsFileError as error:
        raise CommandError(str(error), ExitStatus.USAGE) from error
    if component not in installation.component_settings:
        message = f"{file}: has no [{component}]"
        raise CommandError(message, ExitStatus.USAGE)
    return installation


def exchange_packet(installation: Installation, packet: Packet) -> Packet:
    """Send a packet to an installation's node, and return the reply.

    The packet is authenticated by the cluster's secret. Raises CommandError if there is no reply.
    """
    settings: ClusterSettings = installation.component_settings["peers"]
    try:
        return asyncio.run(exchange_with_member(settings, packet))
    except (OSError, TimeoutError, asyncio.IncompleteReadError, PacketRejectedError) as error:
        message = (
            f"the node {installation.config.name} does not answer: {error or type(error).__name__}"
        )
        raise CommandError(message) from error


async def exchange_with_member(settings: ClusterSettings, packet: Packet) -> Packet:
    """Send a packet to a node over TCP, and return its reply.

    Raises OSError, TimeoutError, asyncio.IncompleteReadError and PacketRejectedError.
    """
    codec = PacketCodec(settings.group, settings.secret.encode())
    data = codec.encode(packet)
    async with asyncio.timeout(REQUEST_TIMEOUT_S):
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
@NODE_ARGUMENT
@click.argument("name")
def why(node: str, name: str) -> None:
    """Why the node believes of NAME what it does: every change it remembers, and by whose word."""
    page = fetch_cluster_page(node)
    member = next((m for m in page["members"] if m["name"] == name), None)
    if member is None:
        known = ", ".join(m["name"] for m in page["members"])
        message = f"{node} knows no {name}; known are {known}"
        raise CommandError(message)
    since = f"{member['status']} for {member['since_s']} s"
    click.echo(f"{name}: {since}, by the word of {member['word']}")
    for change in page["changes"]:
        if change["peer"] == name:
            click.echo(describe_change(change))
