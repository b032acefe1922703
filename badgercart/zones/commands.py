"""The command `badgercart zones`: the state of each zone, the plan, and operators' overrides.

Exit status: 0 for success; 1 if the node does not respond or rejects the override; 2 for a wrong
file.
"""

from __future__ import annotations

import getpass
import json
import time
from typing import TYPE_CHECKING, Any

import click

from badgercart.app.console import show_table
from badgercart.app.exits import CommandError, ExitStatus
from badgercart.app.node_client import fetch_page
from badgercart.cluster.commands import exchange_packet, load_with_component
from badgercart.zones.traffic_plan import SHARES_PER_ROW

if TYPE_CHECKING:
    from badgercart.app.file import Installation

MAX_AUTHOR_CHARS = 64

NODE_ARGUMENT = click.argument("node", metavar="HOST:PORT")
FILE_ARGUMENT = click.argument("file", metavar="FILE.toml")


def fetch_zones_page(node: str) -> dict[str, Any]:
    """Return the page `/_zones` of a node's HTTP frontend. Raises CommandError."""
    return fetch_page(node, "/_zones")


@click.group(
    help="Look into the plan by which zones fail over; HOST:PORT is that of a node's HTTP front."
)
def zones() -> None:
    """Group the commands about zones."""


@zones.command(help="Each zone as the node knows it, and what it goes by.")
@NODE_ARGUMENT
@click.option("--json", "as_json", is_flag=True, help="One JSON object.")
def show(node: str, as_json: bool) -> None:
    """Show each zone as the node knows it, and the plan in force."""
    page = fetch_zones_page(node)
    if as_json:
        click.echo(json.dumps(page))
        return
    click.echo(heading(page))
    columns = (
        "zone",
        "region",
        "seen",
        "gate",
        "open",
        "capacity",
        "demand",
        "slow",
        "order",
    )
    show_table(columns, [tuple(str(zone[name]) for name in columns) for zone in page["zones"]])


def heading(page: dict[str, Any]) -> str:
    """Return the line about the plan that a node uses."""
    node = f"{page['name']} in {page['zone']}"
    if not page["plan"]:
        return f"{node}: no plan, near only, by its own eyes"
    plan_note = "its own plan"
    if page["epoch"]:
        lease = f"for {page['lease_ms'] / 1000:.1f} s more"
        plan_note = f"plan {page['epoch']} of {page['proposer']}, {lease}"
    reason = f": {page['why']}" if page["why"] else ""
    return f"{node}: {plan_note}{reason}"


@zones.command(
    help="Where each zone's requests go, by class; "
    "the second half of the rows is for bound tenants."
)
@NODE_ARGUMENT
def plan(node: str) -> None:
    """Show the plan in force, by zone and row."""
    page = fetch_zones_page(node)
    click.echo(heading(page))
    names = [zone["zone"] for zone in page["zones"]]
    rows = []
    for source, table in zip(names, page["parts"], strict=False):
        for number, shares in enumerate(table):
            cells = [f"{share / SHARES_PER_ROW:.2f}" for share in shares]
            shed = f"{1 - sum(shares) / SHARES_PER_ROW:.2f}"
            rows.append((source, str(number), *cells, shed))
    show_table(("from", "row", *names, "refused"), rows)


@zones.command(help="What was in force at the node lately, and why.")
@NODE_ARGUMENT
def why(node: str) -> None:
    """Show the latest changes of plans and overrides on the node."""
    for change in fetch_zones_page(node)["changes"]:
        click.echo(describe_change(change))


def describe_change(change: dict[str, Any]) -> str:
    """Return one change of a node's page as a line of text."""
    at = f"{change['at_ms'] / 1000:10.3f} s"
    if "order" in change:
        return f"{at}  {change['order']}, by {change['by']}"
    if "epoch" in change:
        reason = change["why"] or "all is well"
        return f"{at}  plan {change['epoch']} of {change['proposer']}: {reason}"
    if "lapsed" in change:
        return f"{at}  no plan: {change['why']} (plan {change['lapsed']})"
    return f"{at}  our proposal {change['outdone']} came to nothing"


@zones.command(
    "if", help="What would happen if ZONE went now, by what the node knows at this moment."
)
@NODE_ARGUMENT
@click.argument("zone")
def forecast(node: str, zone: str) -> None:
    """Show the effect of losing a zone now."""
    page = fetch_page(node, "/_zones/if")
    if zone not in page:
        raise UnknownZoneError(zone, tuple(page), node)
    effect = page[zone]
    rows = [(name, f"{utilization:.0%}") for name, utilization in effect["full"].items()]
    show_table(("zone", "full"), rows)
    click.echo(f"refused: {effect['refused']:.1%}")


class UnknownZoneError(CommandError):
    """A zone that the node does not know."""

    def __init__(self, zone: str, known: tuple[str, ...], node: str) -> None:
        """Name the zones that the node knows."""
        super().__init__(f"{node} knows no zone {zone}; known are {', '.join(known)}")


class WrongZoneError(CommandError):
    """A zone that the settings file does not have."""

    def __init__(self, zone: str, known: tuple[str, ...]) -> None:
        """Name the zones of the file."""
        super().__init__(f"{zone!r} is none of {', '.join(known)}", ExitStatus.USAGE)


class OverrideNotTakenError(CommandError):
    """An override that the node did not accept."""

    def __init__(self, file: str) -> None:
        """Name the settings file of the node."""
        super().__init__(f"{file}: the node did not take it: its posts are full")


def override(file: str, action: str, zone: str, for_s: float, author: str) -> None:
    """Publish an override in the cluster; the file's node has it when this returns.

    Raises:
        CommandError: the zone is unknown, or the node does not respond or rejects the override.
    """
    installation = load_with_component(file, "zones")
    if zone not in installation.config.zones:
        raise WrongZoneError(zone, tuple(installation.config.zones))
    if not send_override(installation, action, zone, for_s, author or getpass.getuser()):
        raise OverrideNotTakenError(file)
    click.echo(f"{action} {zone}" + (f" for {for_s:g} s" if action != "release" else ""))


def send_override(
    installation: Installation, action: str, zone: str, for_s: float, author: str
) -> bool:
    """Send an override to the installation's node, and return whether the node accepted it.

    It is sent as a register update, authenticated by the cluster's secret; the node forwards it.
    """
    from badgercart.cluster.gossip_registers import RegisterUpdate
    from badgercart.cluster.hybrid_logical_clock import HybridTimestamp
    from badgercart.cluster.messages import Packet, Sync
    from badgercart.zones.operator_overrides import (
        OVERRIDES_TOPIC,
        OperatorOverride,
        encode_overrides,
    )

    config = installation.config
    topology = installation.component_settings["zones"].topology(
        config.zones, config.classes, config.tenants
    )
    now_ms = int(time.time() * 1000)
    expires_ms = now_ms + int(for_s * 1000)
    requested = OperatorOverride(
        config.zones[zone], action, now_ms, expires_ms, author[:MAX_AUTHOR_CHARS]
    )
    payload = encode_overrides(topology.digest, [requested])
    register_author = f"operator {zone}"[:MAX_AUTHOR_CHARS]
    update = RegisterUpdate(OVERRIDES_TOPIC, register_author, now_ms, payload)
    timestamp = HybridTimestamp(now_ms, 0)
    packet = Packet("operator", now_ms, 0, 1, timestamp, Sync(), (), (update,))
    return update in exchange_packet(installation, packet).updates


def _add_override_command(action: str, help_text: str) -> None:
    @zones.command(action, help=help_text)
    @FILE_ARGUMENT
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
        override(file, action, zone, for_s, by)


_add_override_command(
    "drain", "Have nothing new sent to ZONE, by any node of the group of FILE.toml, for a time."
)
_add_override_command("pin", "Keep ZONE open, whatever is seen of it, for a time.")
_add_override_command("release", "Take back what was said about ZONE.")
